#include "stream.h"

#include "toucanscale/status.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Size of the read buffer in bytes. */
#define STREAM_READ_BYTES (64U * 1024)
/* TCP_USER_TIMEOUT: the connection is closed if sent data stays unacknowledged
   for this long. The databases drop an unreachable connection after 3 s. */
#define STREAM_USER_TIMEOUT_MS 3000

typedef struct
{
  uv_write_t write;
  TouStreamWritten on_written; /* or NULL */
  gpointer user_data;
  gsize len;
  char data[];
} StreamWrite;

static void
stream_on_written (uv_write_t *write, int status)
{
  StreamWrite *rest = write->data;
  gpointer user_data = rest->user_data;
  TouStreamWritten on_written = rest->on_written;
  gsize len = rest->len;

  (void)status;
  g_free (rest);
  if (on_written != NULL)
    on_written (user_data, len);
}

gsize
tou_stream_send_counted (uv_stream_t *stream, const char *data, gsize len,
                         TouStreamWritten on_written, gpointer user_data)
{
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned int)len);
  int written = uv_try_write (stream, &buf, 1);
  StreamWrite *rest;

  if (written == (int)len)
    return 0;
  written = MAX (written, 0);
  len -= (gsize)written;
  rest = g_malloc (sizeof *rest + len);
  memcpy (rest->data, data + written, len);
  rest->write.data = rest;
  rest->on_written = on_written;
  rest->user_data = user_data;
  rest->len = len;
  buf = uv_buf_init (rest->data, (unsigned int)len);
  if (uv_write (&rest->write, stream, &buf, 1, stream_on_written) == 0)
    return len;
  g_free (rest);
  return 0;
}

void
tou_stream_send (uv_stream_t *stream, const char *data, gsize len)
{
  tou_stream_send_counted (stream, data, len, NULL, NULL);
}

void
tou_stream_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char buffer[STREAM_READ_BYTES];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

int
tou_stream_address (struct sockaddr_in *out, const TouName *address)
{
  char host[TOU_NAME_MAX + 1];
  const char *colon = strrchr (address->data, ':');
  guint64 port;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port,
                                      NULL))
    return tou_status_set (TOU_E_SETTING_INVALID, "\"%s\" is not ip:port",
                           address->data);
  g_strlcpy (host, address->data, (gsize)(colon - address->data) + 1);
  if (uv_ip4_addr (host, (int)port, out) != 0)
    return tou_status_set (TOU_E_SETTING_INVALID,
                           "\"%s\" is not an IPv4 address", host);
  return TOU_OK;
}

int
tou_stream_name (TouName *out, const struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];
  char text[TOU_NAME_MAX + 1];
  int error = uv_ip4_name (address, ip, sizeof ip);

  if (error != 0)
    return tou_status_set (TOU_E_IO, "cannot read an address: %s",
                           uv_strerror (error));
  g_snprintf (text, sizeof text, "%s:%u", ip, g_ntohs (address->sin_port));
  return tou_name_set_c (out, text);
}

void
tou_stream_tune (uv_tcp_t *tcp)
{
  uv_os_fd_t fd;
  unsigned int timeout_ms = STREAM_USER_TIMEOUT_MS;

  uv_tcp_nodelay (tcp, 1);
  if (uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
}

int
tou_stream_listen (uv_loop_t *loop, uv_tcp_t *server, const TouName *address,
                   int backlog, gpointer user_data,
                   uv_connection_cb on_connection)
{
  struct sockaddr_in parsed;
  int status = tou_stream_address (&parsed, address);
  int error;

  if (status != TOU_OK)
    return status;
  uv_tcp_init (loop, server);
  server->data = user_data;
  error = uv_tcp_bind (server, (const struct sockaddr *)&parsed, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)server, backlog, on_connection);
  if (error != 0)
    return tou_status_set (TOU_E_IO, "cannot listen on %s: %s", address->data,
                           uv_strerror (error));
  return TOU_OK;
}
