#include "kv-server.h"

#include "stream.h"

#include <string.h>

#define KV_SERVER_BACKLOG 64

struct KvServer
{
  uv_loop_t *loop;
  KvStandin *kv;
  uv_tcp_t listener;
  GPtrArray *connections; /* of KvConnection */
};

typedef struct
{
  uv_tcp_t tcp;
  KvServer *server; /* NULL: closed */
  GString *in;
  guint n_references; /* the open connection, and its call */
  gboolean calling;
  gboolean silent;
} KvConnection;

typedef struct
{
  uv_write_t write;
  char *text;
} KvResponse;

static void
kv_connection_unref (KvConnection *connection)
{
  if (--connection->n_references > 0)
    return;
  g_string_free (connection->in, TRUE);
  g_free (connection);
}

static void
kv_connection_on_closed (uv_handle_t *handle)
{
  kv_connection_unref (handle->data);
}

static void
kv_connection_close (KvConnection *connection)
{
  if (connection->server == NULL)
    return;
  g_ptr_array_remove_fast (connection->server->connections, connection);
  connection->server = NULL;
  uv_close ((uv_handle_t *)&connection->tcp, kv_connection_on_closed);
}

static void
kv_response_on_written (uv_write_t *write, int status)
{
  KvResponse *response = write->data;

  (void)status;
  g_free (response->text);
  g_free (response);
}

static void
kv_connection_respond (KvConnection *connection, const PlatHttpReply *reply)
{
  KvResponse *response = g_new0 (KvResponse, 1);
  uv_buf_t buf;

  response->text = g_strdup_printf (
      "HTTP/1.1 %ld -\r\nContent-Type: application/json\r\n"
      "Store-Era: %" G_GUINT64_FORMAT "\r\nContent-Length: %zu\r\n\r\n%s",
      reply->status, reply->era, reply->body_len, reply->body);
  response->write.data = response;
  buf = uv_buf_init (response->text, (unsigned int)strlen (response->text));
  uv_write (&response->write, (uv_stream_t *)&connection->tcp, &buf, 1,
            kv_response_on_written);
}

static void
kv_connection_on_reply (gpointer user_data, const PlatHttpReply *reply)
{
  KvConnection *connection = user_data;

  connection->calling = FALSE;
  if (connection->server != NULL && !connection->silent)
    {
      if (reply->status == 0)
        kv_connection_close (connection);
      else
        kv_connection_respond (connection, reply);
    }
  kv_connection_unref (connection);
}

/* Calls the store once a request is complete; a client sends the next one after
   the response. */
static void
kv_connection_parse (KvConnection *connection)
{
  const char *end = strstr (connection->in->str, "\r\n\r\n");
  const char *length = strstr (connection->in->str, "Content-Length: ");
  PlatHttpCall call = { 0 };
  gsize body_len = 0;
  char **words;
  char *url;

  if (end == NULL)
    return;
  end += strlen ("\r\n\r\n");
  if (length != NULL && length < end)
    body_len
        = g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
  if (strlen (end) < body_len)
    return;
  words = g_strsplit (connection->in->str, " ", 3);
  url = g_strconcat ("http://127.0.0.1", words[1], NULL);
  call.method = words[0];
  call.url = url;
  call.body = body_len > 0 ? end : NULL;
  connection->calling = TRUE;
  connection->n_references++;
  kv_call (connection->server->kv, &call, kv_connection_on_reply, connection);
  g_string_truncate (connection->in, 0);
  g_strfreev (words);
  g_free (url);
}

static void
kv_connection_on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  KvConnection *connection = stream->data;

  if (n < 0)
    kv_connection_close (connection);
  else if (n > 0 && !connection->silent)
    {
      g_string_append_len (connection->in, buf->base, n);
      kv_connection_parse (connection);
    }
}

static void
kv_server_on_connection (uv_stream_t *listener, int status)
{
  KvServer *server = listener->data;
  KvConnection *connection;

  g_assert_cmpint (status, ==, 0);
  connection = g_new0 (KvConnection, 1);
  connection->server = server;
  connection->in = g_string_new (NULL);
  connection->n_references = 1;
  uv_tcp_init (server->loop, &connection->tcp);
  connection->tcp.data = connection;
  g_ptr_array_add (server->connections, connection);
  g_assert_cmpint (uv_accept (listener, (uv_stream_t *)&connection->tcp), ==,
                   0);
  uv_read_start ((uv_stream_t *)&connection->tcp, tou_stream_alloc,
                 kv_connection_on_read);
}

KvServer *
kv_server_create (uv_loop_t *loop, KvStandin *kv)
{
  KvServer *server = g_new0 (KvServer, 1);
  struct sockaddr_in address;

  server->loop = loop;
  server->kv = kv;
  server->connections = g_ptr_array_new ();
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  uv_tcp_bind (&server->listener, (const struct sockaddr *)&address, 0);
  g_assert_cmpint (uv_listen ((uv_stream_t *)&server->listener,
                              KV_SERVER_BACKLOG, kv_server_on_connection),
                   ==, 0);
  return server;
}

static void
kv_server_on_closed (uv_handle_t *handle)
{
  KvServer *server = handle->data;

  g_ptr_array_unref (server->connections);
  g_free (server);
}

void
kv_server_destroy (KvServer *server)
{
  while (server->connections->len > 0)
    kv_connection_close (g_ptr_array_index (server->connections, 0));
  uv_close ((uv_handle_t *)&server->listener, kv_server_on_closed);
}

void
kv_server_address (TouName *out, const KvServer *server)
{
  struct sockaddr_in address;
  int len = sizeof address;
  char *text;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address, &len);
  text = g_strdup_printf ("127.0.0.1:%u", g_ntohs (address.sin_port));
  *out = tou_name (text);
  g_free (text);
}

void
kv_server_silence (KvServer *server, KvServerConnections which)
{
  for (guint i = 0; i < server->connections->len; i++)
    {
      KvConnection *connection = g_ptr_array_index (server->connections, i);

      if (which == KV_SERVER_OPEN || !connection->calling)
        connection->silent = TRUE;
    }
}
