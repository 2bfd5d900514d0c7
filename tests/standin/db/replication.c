/*
 * Replication between database stand-ins. A replica connects to the port of
 * its primary with the startup parameter replication=true. The primary sends
 * its history of terms ('h'). The replica truncates its log to the part that
 * is also in the primary's log and sends its position ('p'). The primary then
 * streams the log records after this position ('r').
 */
#include "db.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Interval between attempts to connect to the primary. */
#define RETRY_US (50 * G_GINT64_CONSTANT (1000))

/* Size of a replica's output buffer at which streaming pauses, in bytes. */
#define STREAM_MAX (1024 * 1024)

/* A received log record; it is applied after the configured lag. */
typedef struct
{
  gint64 apply_us;
  guint64 term;
  GPtrArray *changes;
} DelayedRecord;

static void
delayed_free (gpointer data)
{
  DelayedRecord *delayed = data;

  if (delayed->changes != NULL)
    g_ptr_array_unref (delayed->changes);
  g_free (delayed);
}

/* Accepts the connection of a replica if this is the primary of @a term. */
void
replica_accept (Server *server, Session *session, guint64 term)
{
  if (!server->primary || server->primary_term != term)
    {
      session_error (server, session, "FATAL", SQLSTATE_NOT_PRIMARY,
                     "database is not the primary of the replica's term");
      session->state = SESSION_CLOSING;
      return;
    }
  session->state = SESSION_REPLICA;
  out_begin (session, 'h');
  out_i32 (session->out, server->history->len);
  for (guint i = 0; i < server->history->len; i++)
    {
      const TermStart *term_start
          = &g_array_index (server->history, TermStart, i);

      out_i64 (session->out, term_start->term);
      out_i64 (session->out, term_start->start);
    }
  out_i64 (session->out, log_last_position (server));
  out_end (session);
}

static void
replica_send (Session *session, guint64 position, const LogRecord *record)
{
  out_begin (session, 'r');
  out_i64 (session->out, position);
  out_i64 (session->out, record->term);
  out_i32 (session->out, record->changes->len);
  for (guint i = 0; i < record->changes->len; i++)
    {
      const Change *change = g_ptr_array_index (record->changes, i);

      out_value (session->out, change->key);
      out_i16 (session->out, change->row != NULL);
      for (guint j = 0; change->row != NULL && j < ROW_FIELDS; j++)
        out_value (session->out, change->row->field[j]);
    }
  out_end (session);
}

/* Queues the records after the replica's position up to the buffer limit. */
void
replica_stream (Server *server, Session *session)
{
  while (session->streaming
         && session->sent_position < log_last_position (server)
         && session->out->len < STREAM_MAX)
    {
      replica_send (session, session->sent_position + 1,
                    &g_array_index (server->log, LogRecord,
                                    (guint)session->sent_position));
      session->sent_position++;
    }
}

void
replica_disconnect_all (Server *server)
{
  for (guint i = 0; i < server->sessions->len; i++)
    {
      Session *session = g_ptr_array_index (server->sessions, i);

      if (session->state == SESSION_REPLICA)
        session->state = SESSION_CLOSING;
    }
}

/*
 * Closes the connection to the primary. Received records that were not applied
 * are discarded; they are requested again after reconnecting.
 */
static void
upstream_disconnect (Upstream *upstream)
{
  if (upstream->fd >= 0)
    close (upstream->fd);
  upstream->fd = -1;
  upstream->handshake_done = FALSE;
  upstream->retry_us = g_get_monotonic_time () + RETRY_US;
  g_byte_array_set_size (upstream->in, 0);
  g_byte_array_set_size (upstream->out, 0);
  g_queue_clear_full (&upstream->delayed, delayed_free);
}

void
upstream_stop (Server *server)
{
  upstream_disconnect (&server->upstream);
  server->upstream.term = 0;
}

void
upstream_set (Server *server, guint64 term, const char *host, int port,
              guint64 start)
{
  Upstream *upstream = &server->upstream;

  if (upstream->term == term && upstream->port == port
      && g_strcmp0 (upstream->host, host) == 0)
    return;
  upstream_disconnect (upstream);
  upstream->term = term;
  upstream->start = start;
  upstream->port = port;
  upstream->retry_us = 0;
  g_free (upstream->host);
  upstream->host = g_strdup (host);
}

/* Queues the startup packet. */
static void
upstream_queue_startup (Server *server)
{
  GByteArray *out = server->upstream.out;
  char last[64];
  char term[32];
  guint32 len;

  g_snprintf (last, sizeof last, "%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
              log_last_term (server), log_last_position (server));
  g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, server->upstream.term);
  out_i32 (out, 0);
  out_i32 (out, 196608);
  out_text (out, "user");
  out_text (out, server->options.name);
  out_text (out, "replication");
  out_text (out, "true");
  out_text (out, "toucanscale.last");
  out_text (out, last);
  out_text (out, "toucanscale.follow_term");
  out_text (out, term);
  out_text (out, "");
  len = GUINT32_TO_BE (out->len);
  memcpy (out->data, &len, sizeof len);
}

static void
upstream_connect (Server *server)
{
  Upstream *upstream = &server->upstream;
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;

  address.sin_port = htons ((guint16)upstream->port);
  inet_pton (AF_INET, upstream->host, &address.sin_addr);
  upstream->fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (upstream->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (upstream->fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS)
    {
      upstream_disconnect (upstream);
      return;
    }
  upstream_queue_startup (server);
}

/* Position of the last record of the term with index @a i of a history. */
static guint64
term_end (const TermStart *terms, guint count, guint i, guint64 last)
{
  return i + 1 < count ? terms[i + 1].start : last;
}

/*
 * Returns the last position up to which both logs are identical. Only one
 * primary writes in a term, so two logs in which a term starts at the same
 * position have the same records up to the shorter end of the term.
 */
static guint64
common_position (const Server *server, const TermStart *primary_history,
                 guint count, guint64 last)
{
  const TermStart *own_history
      = (const TermStart *)(void *)server->history->data;
  guint64 common = 0;

  for (guint i = 0; i < MIN (count, server->history->len); i++)
    {
      guint64 own_end = term_end (own_history, server->history->len, i,
                                  log_last_position (server));
      guint64 primary_end = term_end (primary_history, count, i, last);

      if (own_history[i].term != primary_history[i].term
          || own_history[i].start != primary_history[i].start)
        break;
      common = MIN (own_end, primary_end);
    }
  return common;
}

/* Truncates the log to @a common and requests the records after it. */
static void
upstream_request_records (Server *server, guint64 common)
{
  GByteArray *out = server->upstream.out;

  if (common < log_last_position (server))
    {
      session_close_work_connections (server);
      log_truncate (server, common);
    }
  g_byte_array_append (out, (const guint8 *)"p", 1);
  out_i32 (out, 12);
  out_i64 (out, common);
  server->upstream.handshake_done = TRUE;
}

/*
 * Handles 'h', the primary's history. FALSE if it is malformed or does not
 * contain the term to follow; the connection is then closed.
 */
static gboolean
upstream_receive_history (Server *server, const guint8 *data, gsize len)
{
  const Upstream *upstream = &server->upstream;
  guint count = len >= 4 ? in_i32 (data) : 0;
  gboolean listed = FALSE;
  TermStart *terms;

  if (len != 4 + (gsize)count * 16 + 8)
    return FALSE;
  terms = g_new0 (TermStart, count + 1);
  for (guint i = 0; i < count; i++)
    {
      terms[i].term = in_i64 (data + 4 + (gsize)i * 16);
      terms[i].start = in_i64 (data + 12 + (gsize)i * 16);
      listed = listed
               || (terms[i].term == upstream->term
                   && terms[i].start == upstream->start);
    }
  if (listed)
    upstream_request_records (
        server,
        common_position (server, terms, count, in_i64 (data + len - 8)));
  g_free (terms);
  return listed;
}

/*
 * Reads a length-prefixed value and advances @a data. The length is not checked
 * because the sender is always another stand-in.
 */
static char *
take_value (const guint8 **data)
{
  guint32 len = in_i32 (*data);
  char *text;

  *data += 4;
  if (len == G_MAXUINT32)
    return NULL;
  text = g_strndup ((const char *)*data, len);
  *data += len;
  return text;
}

static void
upstream_receive_record (Server *server, const guint8 *data)
{
  DelayedRecord *delayed = g_new0 (DelayedRecord, 1);
  guint32 count = in_i32 (data + 16);

  delayed->apply_us = g_get_monotonic_time () + server->options.lag_us;
  delayed->term = in_i64 (data + 8);
  delayed->changes = g_ptr_array_new_with_free_func (change_free);
  data += 20;
  for (guint32 i = 0; i < count; i++)
    {
      Change *change = g_new0 (Change, 1);
      gboolean present;

      change->key = take_value (&data);
      present = data[1] != 0;
      data += 2;
      if (present)
        change->row = g_new0 (Row, 1);
      for (guint j = 0; present && j < ROW_FIELDS; j++)
        change->row->field[j] = take_value (&data);
      g_ptr_array_add (delayed->changes, change);
    }
  g_queue_push_tail (&server->upstream.delayed, delayed);
}

/* Handles the next message; FALSE if it is incomplete or malformed. */
static gboolean
upstream_next_message (Server *server)
{
  GByteArray *in = server->upstream.in;
  gboolean alive = TRUE;
  guint32 len;

  if (in->len < 5)
    return FALSE;
  len = in_i32 (in->data + 1);
  if (in->len < 1 + (gsize)len)
    return FALSE;
  if (in->data[0] == 'h')
    alive = upstream_receive_history (server, in->data + 5, len - 4);
  else if (in->data[0] == 'r')
    upstream_receive_record (server, in->data + 5);
  else
    alive = FALSE;
  if (alive)
    g_byte_array_remove_range (in, 0, 1 + len);
  else
    upstream_disconnect (&server->upstream);
  return alive;
}

static void
upstream_apply_records (Server *server, gint64 now)
{
  GQueue *queue = &server->upstream.delayed;
  DelayedRecord *delayed = g_queue_peek_head (queue);

  while (delayed != NULL && delayed->apply_us <= now)
    {
      g_queue_pop_head (queue);
      log_append (server, delayed->term, g_steal_pointer (&delayed->changes));
      delayed_free (delayed);
      delayed = g_queue_peek_head (queue);
    }
}

/* Connects, exchanges data and applies records whose lag has elapsed. */
void
upstream_step (Server *server, short revents, gint64 now)
{
  Upstream *upstream = &server->upstream;
  gboolean alive = TRUE;

  if (upstream->term == 0)
    return;
  if (upstream->fd < 0 && now >= upstream->retry_us)
    {
      upstream->retry_us = now + RETRY_US;
      if (!server->partitioned)
        upstream_connect (server);
    }
  if (upstream->fd >= 0 && revents != 0)
    {
      if ((revents & (POLLIN | POLLHUP | POLLERR)) != 0)
        alive = io_read (upstream->fd, upstream->in);
      while (upstream_next_message (server))
        ;
      if (alive && upstream->fd >= 0)
        alive = io_write (upstream->fd, upstream->out);
      if (!alive)
        upstream_disconnect (upstream);
    }
  upstream_apply_records (server, now);
}

/* Time of the next reconnection or delayed record; G_MAXINT64 for none. */
gint64
upstream_deadline (const Server *server)
{
  const Upstream *upstream = &server->upstream;
  const DelayedRecord *delayed
      = g_queue_peek_head ((GQueue *)&upstream->delayed);

  if (upstream->term == 0)
    return G_MAXINT64;
  if (upstream->fd < 0)
    return upstream->retry_us;
  return delayed != NULL ? delayed->apply_us : G_MAXINT64;
}
