#include "private.h"

#include <stdio.h>
#include <string.h>

#define PORT_FRONTEND 8784

struct Client
{
  Conn conn;
  Bench *bench;
  Node *node;
  char *host;
  uv_connect_t connect;
  ClientCall call;
  gpointer data;
  gboolean started;
  gboolean silent; /* closed by the owner */
  gboolean ended;
  ClientAnswer answer;
  char id[24];
};

static void
client_event (Client *client, ClientEvent event)
{
  if (client->silent || client->ended)
    return;
  client->ended = event == CLIENT_CLOSED;
  client->call (client->data, client, event);
}

static void
client_on_line (Client *client, const char *line)
{
  ClientAnswer *answer = &client->answer;

  if (g_str_has_prefix (line, "READY "))
    {
      answer->state = line[6];
      if (client->started)
        bench_note (client->bench, "answered %s: %s", client->id,
                    answer->complete ? "COMPLETE" : answer->code);
      client_event (client, client->started ? CLIENT_ANSWER : CLIENT_READY);
      client->started = TRUE;
    }
  else if (g_str_has_prefix (line, "DATAROW "))
    g_strlcpy (answer->row, line + 8, sizeof answer->row);
  else if (g_str_has_prefix (line, "COMPLETE "))
    answer->complete = TRUE;
  else if (g_str_has_prefix (line, "ERROR "))
    g_strlcpy (answer->code, line + 6,
               MIN (sizeof answer->code, strcspn (line + 6, " ") + 1));
}

static gsize
client_on_bytes (gpointer conn, const char *data, gsize len)
{
  const char *end = memmem (data, len, "\r\n", 2);
  char *line;

  if (end == NULL)
    return 0;
  line = g_strndup (data, (gsize)(end - data));
  client_on_line (conn, line);
  g_free (line);
  return (gsize)(end - data) + 2;
}

static void
client_on_end (gpointer conn)
{
  client_event (conn, CLIENT_CLOSED);
}

static void
client_on_connected (uv_connect_t *connect, int status)
{
  Client *client = connect->data;
  char *text;

  if (status != 0)
    {
      client_event (client, CLIENT_CLOSED);
      conn_close (&client->conn);
      return;
    }
  conn_start (&client->conn);
  text = g_strdup_printf ("STARTUP %s u1\r\n", client->host);
  conn_send (&client->conn, text, strlen (text));
  g_free (text);
}

Client *
client_new (Bench *bench, Node *node, const char *host, ClientCall call,
            gpointer data)
{
  Client *client = g_new0 (Client, 1);
  struct sockaddr_in address = bench_address (node->ip, PORT_FRONTEND);

  client->bench = bench;
  client->node = node;
  client->host = g_strdup (host);
  client->call = call;
  client->data = data;
  client->conn.on_bytes = client_on_bytes;
  client->conn.on_end = client_on_end;
  conn_init (&client->conn, bench);
  client->connect.data = client;
  uv_tcp_connect (&client->connect, &client->conn.tcp,
                  (const struct sockaddr *)&address, client_on_connected);
  return client;
}

const char *
client_query_bytes (Client *client, const char *text, gsize len)
{
  GString *line = g_string_new (NULL);

  g_snprintf (client->id, sizeof client->id, "%016" G_GINT64_MODIFIER "x",
              client->bench->next_id++);
  memset (&client->answer, 0, sizeof client->answer);
  g_string_append_printf (line, "QUERY %s ", client->id);
  g_string_append_len (line, text, (gssize)len);
  g_string_append (line, "\r\n");
  g_hash_table_replace (client->bench->sent, g_strdup (client->id),
                        g_strdup (text));
  bench_note (client->bench, "sent     %s to %s: %s%s", client->id,
              client->node->name, text,
              strlen (text) < len ? " (and more bytes after a NUL)" : "");
  conn_send (&client->conn, line->str, line->len);
  g_string_free (line, TRUE);
  return client->id;
}

const char *
client_query (Client *client, const char *format, ...)
{
  va_list args;
  char *text;
  const char *id;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  id = client_query_bytes (client, text, strlen (text));
  g_free (text);
  return id;
}

const ClientAnswer *
client_answer (const Client *client)
{
  return &client->answer;
}

void
client_close (Client *client)
{
  client->silent = TRUE;
  conn_close (&client->conn);
}
