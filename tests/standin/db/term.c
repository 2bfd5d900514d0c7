/* Terms: report, fence, promote and follow, see docs/design.md, 3.1. */
#include "db.h"

gboolean
server_is_writable (const Server *server)
{
  return server->primary && server->fence_term == server->primary_term;
}

/* Raises the fence and stops replication from a primary of a lower term. */
static void
term_raise_fence (Server *server, guint64 term, const char *attempt)
{
  server->fence_term = term;
  g_free (server->fence_attempt);
  server->fence_attempt = g_strdup (attempt);
  if (server->upstream.term < term)
    upstream_stop (server);
}

gboolean
term_fence (Server *server, guint64 term, const char *attempt)
{
  if (term == server->fence_term)
    return g_strcmp0 (server->fence_attempt, attempt) == 0;
  if (term < server->fence_term)
    return FALSE;
  term_raise_fence (server, term, attempt);
  return TRUE;
}

gboolean
term_promote (Server *server, guint64 term, const char *attempt)
{
  if (term != server->fence_term || server->fence_attempt == NULL
      || g_strcmp0 (server->fence_attempt, attempt) != 0)
    return FALSE;
  if (server->primary && server->primary_term == term)
    return TRUE;
  server->primary = TRUE;
  server->primary_term = term;
  replica_disconnect_all (server);
  log_append (server, term, g_ptr_array_new_with_free_func (change_free));
  trace (server, json_pack ("{s:s, s:I, s:I}", "kind", "promote", "term",
                            (json_int_t)term, "position",
                            (json_int_t)log_last_position (server)));
  return TRUE;
}

/* Demotes the primary; closes its work connections, like a restart. */
static void
term_demote (Server *server)
{
  server->primary = FALSE;
  replica_disconnect_all (server);
  session_close_work_connections (server);
}

gboolean
term_follow (Server *server, guint64 term, const char *host, int port,
             guint64 start)
{
  if (term < server->fence_term
      || (server->primary && server->primary_term == term))
    return FALSE;
  if (term > server->fence_term)
    term_raise_fence (server, term, NULL);
  if (server->primary)
    term_demote (server);
  upstream_set (server, term, host, port, start);
  return TRUE;
}

/* Number of distinct application names that have work connections. */
static guint
count_work_clients (const Server *server)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  guint count;

  for (guint i = 0; i < server->sessions->len; i++)
    {
      const Session *session = g_ptr_array_index (server->sessions, i);

      if (session->state == SESSION_READY && session->term > 0)
        g_hash_table_add (names, session->application_name);
    }
  count = g_hash_table_size (names);
  g_hash_table_destroy (names);
  return count;
}

static guint
count_connections (const Server *server)
{
  guint count = 0;

  for (guint i = 0; i < server->sessions->len; i++)
    count += ((Session *)g_ptr_array_index (server->sessions, i))->counted;
  return count;
}

static char *
u64_text (guint64 value)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT, value);
}

/* Sets the eight columns of a report; the caller frees the values. */
void
term_report (Server *server, gboolean granted, char **values)
{
  const TermStart *last = NULL;

  if (server->history->len > 0)
    last
        = &g_array_index (server->history, TermStart, server->history->len - 1);
  values[0] = g_strdup (server_is_writable (server) ? "primary" : "replica");
  values[1] = u64_text (log_last_term (server));
  values[2] = u64_text (log_last_position (server));
  values[3] = u64_text (server->fence_term);
  values[4] = u64_text (last != NULL ? last->start : 0);
  values[5] = u64_text (count_work_clients (server));
  values[6] = u64_text (count_connections (server));
  values[7] = g_strdup (granted ? "t" : "f");
}
