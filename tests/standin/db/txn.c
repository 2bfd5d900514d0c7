/* Transactions: uncommitted writes, row locks, and commit with term check. */
#include "db.h"

/* Finds a row in the transaction's writes, then in the committed rows. */
const Row *
txn_find (Server *server, Session *session, const char *key)
{
  gpointer row;

  if (g_hash_table_lookup_extended (session->writes, key, NULL, &row))
    return row;
  return g_hash_table_lookup (server->rows, key);
}

/* Locks the row of @a key; FALSE if another session holds the lock. */
gboolean
txn_lock (Server *server, Session *session, const char *key)
{
  Session *owner = g_hash_table_lookup (server->locks, key);

  if (owner == NULL)
    g_hash_table_insert (server->locks, g_strdup (key), session);
  return owner == NULL || owner == session;
}

void
txn_write (Session *session, const char *key, Row *row)
{
  g_hash_table_replace (session->writes, g_strdup (key), row);
}

/* Adds a trace line for a statement, written when the transaction ends. */
void
txn_trace (Server *server, Session *session, const char *kind, const char *key,
           const char *value)
{
  if (server->options.log == NULL)
    return;
  g_ptr_array_add (
      session->trace_lines,
      json_pack (
          "{s:s, s:s?, s:s?, s:s?, s:i, s:s, s:I, s:I}", "kind", kind, "table",
          key == NULL     ? NULL
          : key[0] == 'q' ? "request"
                          : "record",
          "key", key != NULL ? key + 1 : NULL, "value", value, "connection",
          (int)session->pid, "client", session->application_name, "read_term",
          (json_int_t)log_last_term (server), "read_position",
          (json_int_t)log_last_position (server)));
}

/* Writes the trace lines, discards the writes and releases the locks. */
static void
txn_end (Server *server, Session *session, gboolean committed)
{
  GHashTableIter iter;
  gpointer owner;

  for (guint i = 0; i < session->trace_lines->len; i++)
    {
      json_t *line = g_ptr_array_index (session->trace_lines, i);

      json_object_set_new (line, "committed", json_boolean (committed));
      json_object_set_new (line, "term",
                           json_integer ((json_int_t)log_last_term (server)));
      json_object_set_new (
          line, "position",
          json_integer ((json_int_t)log_last_position (server)));
      /* trace () releases one reference; the array holds another. */
      trace (server, json_incref (line));
    }
  g_ptr_array_set_size (session->trace_lines, 0);
  g_hash_table_remove_all (session->writes);
  session->read_only = FALSE;
  g_hash_table_iter_init (&iter, server->locks);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    if (owner == session)
      g_hash_table_iter_remove (&iter);
}

/* Returns NULL, or the SQLSTATE if the term check rejects the commit. */
const char *
txn_commit (Server *server, Session *session)
{
  GPtrArray *changes;
  GHashTableIter iter;
  gpointer key;
  gpointer row;

  if (g_hash_table_size (session->writes) == 0)
    {
      txn_end (server, session, TRUE);
      return NULL;
    }
  if (!server_is_writable (server) || session->term != server->primary_term)
    {
      txn_end (server, session, FALSE);
      return SQLSTATE_NOT_PRIMARY;
    }
  changes = g_ptr_array_new_with_free_func (change_free);
  g_hash_table_iter_init (&iter, session->writes);
  while (g_hash_table_iter_next (&iter, &key, &row))
    {
      Change *change = g_new0 (Change, 1);

      change->key = g_strdup (key);
      change->row = row_copy (row);
      g_ptr_array_add (changes, change);
    }
  log_append (server, server->primary_term, changes);
  txn_end (server, session, TRUE);
  return NULL;
}

void
txn_rollback (Server *server, Session *session)
{
  txn_end (server, session, FALSE);
}
