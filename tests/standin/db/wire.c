/* Message encoding of the PostgreSQL v3 protocol and socket I/O. */
#include "db.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Maximum number of bytes per read from a socket. */
#define READ_CHUNK 65536

void
out_i16 (GByteArray *out, guint value)
{
  guint8 data[2] = { (guint8)(value >> 8), (guint8)value };

  g_byte_array_append (out, data, sizeof data);
}

void
out_i32 (GByteArray *out, guint32 value)
{
  out_i16 (out, value >> 16);
  out_i16 (out, value & 0xFFFF);
}

void
out_i64 (GByteArray *out, guint64 value)
{
  out_i32 (out, (guint32)(value >> 32));
  out_i32 (out, (guint32)value);
}

void
out_text (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text) + 1);
}

/* Appends the length and the bytes; the length of NULL is -1. */
void
out_value (GByteArray *out, const char *text)
{
  guint len = text != NULL ? (guint)strlen (text) : G_MAXUINT32;

  out_i32 (out, len);
  if (text != NULL)
    g_byte_array_append (out, (const guint8 *)text, len);
}

void
out_begin (Session *session, char type)
{
  g_byte_array_append (session->out, (const guint8 *)&type, 1);
  session->message_start = session->out->len;
  out_i32 (session->out, 0);
}

void
out_end (Session *session)
{
  guint32 len = (guint32)(session->out->len - session->message_start);
  guint32 len_be = GUINT32_TO_BE (len);

  memcpy (session->out->data + session->message_start, &len_be, sizeof len_be);
}

void
out_row (Session *session, char **values, guint count)
{
  out_begin (session, 'D');
  out_i16 (session->out, count);
  for (guint i = 0; i < count; i++)
    out_value (session->out, values[i]);
  out_end (session);
}

void
out_command_tag (Session *session, const char *tag)
{
  out_begin (session, 'C');
  out_text (session->out, tag);
  out_end (session);
}

guint32
in_i32 (const guint8 *data)
{
  guint32 value;

  memcpy (&value, data, sizeof value);
  return GUINT32_FROM_BE (value);
}

guint64
in_i64 (const guint8 *data)
{
  guint64 value;

  memcpy (&value, data, sizeof value);
  return GUINT64_FROM_BE (value);
}

/* Reads available data; FALSE if the connection is closed or failed. */
gboolean
io_read (int fd, GByteArray *in)
{
  guint8 chunk[READ_CHUNK];
  ssize_t received = recv (fd, chunk, sizeof chunk, MSG_DONTWAIT);

  if (received > 0)
    g_byte_array_append (in, chunk, (guint)received);
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
}

gboolean
io_write (int fd, GByteArray *out)
{
  ssize_t sent;

  if (out->len == 0)
    return TRUE;
  sent = send (fd, out->data, out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent > 0)
    g_byte_array_remove_range (out, 0, (guint)sent);
  return sent >= 0 || errno == EAGAIN || errno == EINTR;
}
