#include "private.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  uv_write_t write;
  char data[];
} Pending;

static void
conn_on_written (uv_write_t *write, int status)
{
  (void)status;
  g_free (write->data);
}

static void
conn_write (Conn *conn, const char *data, gsize len)
{
  Pending *pending = g_malloc (sizeof *pending + len);
  uv_buf_t buf = uv_buf_init (pending->data, (unsigned int)len);

  memcpy (pending->data, data, len);
  pending->write.data = pending;
  if (uv_write (&pending->write, (uv_stream_t *)&conn->tcp, &buf, 1,
                conn_on_written)
      != 0)
    g_free (pending);
}

void
conn_send (Conn *conn, const char *data, gsize len)
{
  if (conn->closed || len == 0)
    return;
  if (conn->held)
    g_string_append_len (conn->out, data, (gssize)len);
  else
    conn_write (conn, data, len);
}

static void
conn_on_closed (uv_handle_t *handle)
{
  Conn *conn = handle->data;

  g_string_free (conn->in, TRUE);
  g_string_free (conn->out, TRUE);
  if (conn->on_free != NULL)
    conn->on_free (conn);
  else
    g_free (conn);
}

void
conn_close (Conn *conn)
{
  if (conn->closed)
    return;
  conn->closed = TRUE;
  uv_close ((uv_handle_t *)&conn->tcp, conn_on_closed);
}

static void
conn_handle (Conn *conn)
{
  while (!conn->closed && !conn->held && conn->in->len > 0)
    {
      gsize used = conn->on_bytes (conn, conn->in->str, conn->in->len);

      if (used == 0)
        return;
      g_string_erase (conn->in, 0, (gssize)used);
    }
}

static void
conn_on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Conn *conn = stream->data;

  if (n > 0)
    {
      g_string_append_len (conn->in, buf->base, n);
      conn_handle (conn);
    }
  else if (n < 0)
    {
      uv_read_stop (stream);
      /* What was received before the end may still be held; a reset loses it.
       */
      conn->finished = TRUE;
      if (conn->held && n == UV_EOF)
        return;
      if (conn->on_end != NULL)
        conn->on_end (conn);
      conn_close (conn);
    }
}

static void
conn_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char buffer[65536];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

void
conn_hold (Conn *conn, gboolean hold)
{
  if (conn->closed || conn->held == hold)
    return;
  conn->held = hold;
  if (hold)
    return;
  if (conn->out->len > 0)
    conn_write (conn, conn->out->str, conn->out->len);
  g_string_truncate (conn->out, 0);
  conn_handle (conn);
  if (conn->finished)
    conn_close (conn);
}

void
conn_init (Conn *conn, Bench *bench)
{
  conn->in = g_string_new (NULL);
  conn->out = g_string_new (NULL);
  uv_tcp_init (&bench->loop, &conn->tcp);
  conn->tcp.data = conn;
}

void
conn_start (Conn *conn)
{
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, conn_alloc, conn_on_read);
}
