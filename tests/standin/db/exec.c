/*
 * Statement execution. A statement takes its row lock, waits for a slot, holds
 * the slot for the service time and is then applied. Only statements on the
 * table record and pg_sleep () take a slot; transaction control, the request
 * table and the functions of the schema toucanscale do not.
 */
#include "db.h"

#include <string.h>

static gboolean
kind_takes_slot (StmtKind kind)
{
  return kind <= STMT_SLEEP;
}

static gboolean
kind_writes (StmtKind kind)
{
  return kind == STMT_INSERT || kind == STMT_UPDATE || kind == STMT_DELETE
         || kind == STMT_KEY_INSERT || kind == STMT_KEY_OUTCOME
         || kind == STMT_KEY_EXPIRE;
}

/* Returns the key of the row that the statement refers to, or NULL. */
static char *
exec_row_key (Session *session)
{
  char **args = session->portal_args;

  switch (session->portal.kind)
    {
    case STMT_INSERT:
    case STMT_DELETE:
    case STMT_SELECT_BODY:
    case STMT_SELECT_ROW:
      return args[0] != NULL ? g_strconcat ("r", args[0], NULL) : NULL;
    case STMT_UPDATE:
      return args[1] != NULL ? g_strconcat ("r", args[1], NULL) : NULL;
    case STMT_KEY_INSERT:
    case STMT_KEY_SELECT:
    case STMT_KEY_EXPIRE:
      return args[0] != NULL ? g_strconcat ("q", args[0], NULL) : NULL;
    case STMT_KEY_OUTCOME:
      return args[1] != NULL ? g_strconcat ("q", args[1], NULL) : NULL;
    default:
      return NULL;
    }
}

static gboolean
row_is_expired (const Row *row, const char *now_ms)
{
  return row != NULL && row->field[2] != NULL && now_ms != NULL
         && g_ascii_strtoll (row->field[2], NULL, 10)
                <= g_ascii_strtoll (now_ms, NULL, 10);
}

/* TRUE if the statement would change the row in its current state. */
static gboolean
exec_needs_lock (Server *server, Session *session, const char *key)
{
  const Row *row = txn_find (server, session, key);

  switch (session->portal.kind)
    {
    case STMT_INSERT:
    case STMT_KEY_INSERT:
      return TRUE;
    case STMT_UPDATE:
    case STMT_DELETE:
    case STMT_KEY_OUTCOME:
      return row != NULL;
    case STMT_KEY_EXPIRE:
      return row_is_expired (row, session->portal_args[1]);
    default:
      return FALSE;
    }
}

/* TRUE if waiting for the lock of @a key would cause a deadlock. */
static gboolean
exec_would_deadlock (Server *server, Session *session, const char *key)
{
  Session *owner = g_hash_table_lookup (server->locks, key);

  while (owner != NULL && owner != session
         && owner->exec_state == EXEC_WAIT_LOCK)
    owner = g_hash_table_lookup (server->locks, owner->wait_key);
  return owner == session;
}

static void
exec_finish (Server *server, Session *session)
{
  session->exec_state = EXEC_IDLE;
  g_clear_pointer (&session->wait_key, g_free);
  if (session->simple_query)
    exec_sync (server, session);
}

static void
exec_fail (Server *server, Session *session, const char *sqlstate,
           const char *message)
{
  session_error (server, session, "ERROR", sqlstate, message);
  exec_finish (server, session);
}

static void
exec_reject_write (Server *server, Session *session)
{
  exec_fail (server, session, SQLSTATE_NOT_PRIMARY,
             "database is not the unfenced primary of the connection's term");
}

/*
 * Sends the rows of the table record ordered by id, unless @a count_only is
 * set, and returns their number.
 */
static guint
exec_select_all (Server *server, Session *session, gboolean count_only)
{
  GHashTable *merged = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer row;
  GList *keys;
  guint count = 0;

  g_hash_table_iter_init (&iter, server->rows);
  while (g_hash_table_iter_next (&iter, &key, &row))
    g_hash_table_replace (merged, key, row);
  g_hash_table_iter_init (&iter, session->writes);
  while (g_hash_table_iter_next (&iter, &key, &row))
    g_hash_table_replace (merged, key, row);
  keys = g_list_sort (g_hash_table_get_keys (merged), (GCompareFunc)strcmp);
  for (GList *item = keys; item != NULL; item = item->next)
    {
      const char *id = item->data;
      Row *found = g_hash_table_lookup (merged, id);
      char *values[2] = { (char *)id + 1, NULL };

      if (id[0] != 'r' || found == NULL)
        continue;
      count++;
      values[1] = found->field[0];
      if (!count_only)
        out_row (session, values, 2);
    }
  g_list_free (keys);
  g_hash_table_destroy (merged);
  return count;
}

/* Sends the rows of a query and returns their number. */
static guint
exec_query (Server *server, Session *session, const char *key)
{
  const Row *row = key != NULL ? txn_find (server, session, key) : NULL;
  char *values[2] = { NULL, NULL };
  char number[16];

  switch (session->portal.kind)
    {
    case STMT_COUNT:
      g_snprintf (number, sizeof number, "%u",
                  exec_select_all (server, session, TRUE));
      values[0] = number;
      out_row (session, values, 1);
      return 1;
    case STMT_SELECT_ALL:
      return exec_select_all (server, session, FALSE);
    case STMT_SLEEP:
      values[0] = "";
      out_row (session, values, 1);
      return 1;
    default:
      break;
    }
  if (row == NULL)
    return 0;
  values[0] = row->field[0];
  values[1] = row->field[1];
  if (session->portal.kind == STMT_SELECT_ROW)
    {
      values[0] = session->portal_args[0];
      values[1] = row->field[0];
    }
  out_row (session, values, session->portal.kind == STMT_SELECT_BODY ? 1 : 2);
  return 1;
}

/* Adds a write to the transaction; returns the number of affected rows. */
static guint
exec_write (Server *server, Session *session, const char *key)
{
  const Row *row = txn_find (server, session, key);
  char **args = session->portal_args;

  if (!exec_needs_lock (server, session, key))
    return 0;
  switch (session->portal.kind)
    {
    case STMT_INSERT:
      txn_write (session, key, row_new (args[1], NULL, NULL));
      break;
    case STMT_KEY_INSERT:
      txn_write (session, key, row_new (args[1], NULL, args[2]));
      break;
    case STMT_UPDATE:
      txn_write (session, key, row_new (args[0], NULL, NULL));
      break;
    case STMT_KEY_OUTCOME:
      txn_write (session, key, row_new (row->field[0], args[0], row->field[2]));
      break;
    default:
      txn_write (session, key, NULL);
      break;
    }
  return 1;
}

static const char *
kind_command_tag (StmtKind kind)
{
  switch (kind)
    {
    case STMT_INSERT:
    case STMT_KEY_INSERT:
      return "INSERT 0";
    case STMT_UPDATE:
    case STMT_KEY_OUTCOME:
      return "UPDATE";
    case STMT_DELETE:
    case STMT_KEY_EXPIRE:
      return "DELETE";
    default:
      return "SELECT";
    }
}

/* Traces the statement with the value that it wrote or read. */
static void
exec_trace (Server *server, Session *session, const char *key)
{
  StmtKind kind = session->portal.kind;
  const Row *row = key != NULL ? txn_find (server, session, key) : NULL;
  g_autofree char *command = g_ascii_strdown (kind_command_tag (kind), 6);

  txn_trace (server, session, command, key, row != NULL ? row->field[0] : NULL);
}

/* Applies a statement that holds its lock and slot and sends its result. */
static void
exec_apply (Server *server, Session *session)
{
  StmtKind kind = session->portal.kind;
  g_autofree char *key = exec_row_key (session);
  gboolean insert = kind == STMT_INSERT || kind == STMT_KEY_INSERT;
  char tag[32];
  guint rows;

  if (kind_writes (kind)
      && (!server_is_writable (server)
          || session->term != server->primary_term))
    {
      exec_reject_write (server, session);
      return;
    }
  if (insert && txn_find (server, session, key) != NULL)
    {
      exec_fail (server, session, "23505",
                 "duplicate key value violates unique constraint");
      return;
    }
  rows = kind_writes (kind) ? exec_write (server, session, key)
                            : exec_query (server, session, key);
  exec_trace (server, session, key);
  g_snprintf (tag, sizeof tag, "%s %u", kind_command_tag (kind), rows);
  out_command_tag (session, tag);
  exec_finish (server, session);
}

/* Takes a slot and starts the service time. */
static void
exec_take_slot (Server *server, Session *session)
{
  gint64 duration = server->options.service_us;

  if (session->portal.kind == STMT_SLEEP && session->portal_args[0] != NULL)
    duration = (gint64)(g_ascii_strtod (session->portal_args[0], NULL)
                        * G_USEC_PER_SEC);
  server->slots_used++;
  session->exec_state = EXEC_RUNNING;
  session->done_us = g_get_monotonic_time () + duration;
}

static void
exec_lock_acquired (Server *server, Session *session)
{
  if (!kind_takes_slot (session->portal.kind))
    {
      exec_apply (server, session);
      return;
    }
  session->exec_state = EXEC_WAIT_SLOT;
  g_queue_push_tail (&server->slot_queue, session);
}

static void
exec_try_lock (Server *server, Session *session)
{
  g_autofree char *key = exec_row_key (session);

  if (kind_writes (session->portal.kind) && key == NULL)
    {
      exec_fail (server, session, "23502", "null value in the key column");
      return;
    }
  if (key != NULL && exec_needs_lock (server, session, key)
      && !txn_lock (server, session, key))
    {
      if (exec_would_deadlock (server, session, key))
        {
          exec_fail (server, session, "40P01", "deadlock detected");
          return;
        }
      g_free (session->wait_key);
      session->wait_key = g_steal_pointer (&key);
      session->exec_state = EXEC_WAIT_LOCK;
      g_queue_push_tail (&server->lock_queue, session);
      return;
    }
  exec_lock_acquired (server, session);
}

/* Advances a waiting or running statement as far as possible. */
void
exec_continue (Server *server, Session *session)
{
  if (session->exec_state == EXEC_WAIT_LOCK
      && g_hash_table_lookup (server->locks, session->wait_key) == NULL)
    {
      g_queue_remove (&server->lock_queue, session);
      session->exec_state = EXEC_IDLE;
      exec_try_lock (server, session);
    }
  if (session->exec_state == EXEC_WAIT_SLOT
      && server->slots_used < (guint)server->options.slots
      && g_queue_peek_head (&server->slot_queue) == session)
    {
      g_queue_pop_head (&server->slot_queue);
      exec_take_slot (server, session);
    }
  if (session->exec_state == EXEC_RUNNING
      && g_get_monotonic_time () >= session->done_us)
    {
      server->slots_used--;
      session->exec_state = EXEC_IDLE;
      exec_apply (server, session);
    }
}

/* Removes the session's statement from all queues and frees its slot. */
void
exec_abort (Server *server, Session *session)
{
  g_queue_remove (&server->lock_queue, session);
  g_queue_remove (&server->slot_queue, session);
  if (session->exec_state == EXEC_RUNNING)
    server->slots_used--;
  session->exec_state = EXEC_IDLE;
}

void
exec_cancel (Server *server, Session *session)
{
  if (session->exec_state == EXEC_IDLE)
    return;
  exec_abort (server, session);
  exec_fail (server, session, "57014", "canceling statement due to request");
}

/* Executes COMMIT or ROLLBACK; a failed transaction is rolled back. */
static void
exec_end_transaction (Server *server, Session *session, gboolean commit)
{
  const char *sqlstate = NULL;
  gboolean committed = commit && session->status != 'E';

  if (committed)
    sqlstate = txn_commit (server, session);
  else
    txn_rollback (server, session);
  session->status = 'I';
  if (sqlstate != NULL)
    {
      exec_reject_write (server, session);
      return;
    }
  out_command_tag (session, committed ? "COMMIT" : "ROLLBACK");
  exec_finish (server, session);
}

static void
exec_begin (Server *server, Session *session, gboolean read_only)
{
  session->status = 'T';
  session->read_only = read_only;
  out_command_tag (session, "BEGIN");
  exec_finish (server, session);
}

static guint64
argument_number (const Session *session, guint i)
{
  const char *text = session->portal_args[i];

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

/* Calls a function of the schema toucanscale; each returns a report. */
static void
exec_control_function (Server *server, Session *session)
{
  char **args = session->portal_args;
  guint64 term = argument_number (session, 0);
  gboolean granted = TRUE;
  char *values[8];

  switch (session->portal.kind)
    {
    case STMT_FENCE:
      granted = term_fence (server, term, args[1]);
      break;
    case STMT_PROMOTE:
      granted = term_promote (server, term, args[1]);
      break;
    case STMT_FOLLOW:
      granted = args[1] != NULL
                && term_follow (server, term, args[1],
                                (int)argument_number (session, 2),
                                argument_number (session, 3));
      break;
    default:
      break;
    }
  term_report (server, granted, values);
  out_row (session, values, G_N_ELEMENTS (values));
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    g_free (values[i]);
  out_command_tag (session, "SELECT 1");
  exec_finish (server, session);
}

/* Starts the portal's statement, which may complete asynchronously. */
void
exec_start (Server *server, Session *session, gboolean simple_query)
{
  StmtKind kind = session->portal.kind;

  session->simple_query = simple_query;
  if (session->status == 'E' && kind != STMT_COMMIT && kind != STMT_ROLLBACK)
    {
      exec_fail (server, session, "25P02", "current transaction is aborted");
      return;
    }
  if (kind_writes (kind) && session->read_only)
    {
      exec_fail (server, session, "25006",
                 "cannot write in a read-only transaction");
      return;
    }
  if (kind_writes (kind)
      && (!server_is_writable (server)
          || session->term != server->primary_term))
    {
      exec_reject_write (server, session);
      return;
    }
  switch (kind)
    {
    case STMT_BEGIN:
    case STMT_BEGIN_READ_ONLY:
      exec_begin (server, session, kind == STMT_BEGIN_READ_ONLY);
      break;
    case STMT_COMMIT:
    case STMT_ROLLBACK:
      exec_end_transaction (server, session, kind == STMT_COMMIT);
      break;
    case STMT_SET_TERM:
      session->term = argument_number (session, 0);
      out_command_tag (session, "SET");
      exec_finish (server, session);
      break;
    case STMT_REPORT:
    case STMT_FENCE:
    case STMT_PROMOTE:
    case STMT_FOLLOW:
      exec_control_function (server, session);
      break;
    default:
      exec_try_lock (server, session);
      exec_continue (server, session);
      break;
    }
}

/* Handles Sync: commits an implicit transaction and sends ReadyForQuery. */
void
exec_sync (Server *server, Session *session)
{
  if (session->status == 'I' && txn_commit (server, session) != NULL)
    session_error (
        server, session, "ERROR", SQLSTATE_NOT_PRIMARY,
        "database is not the unfenced primary of the connection's term");
  session->skip_until_sync = FALSE;
  out_begin (session, 'Z');
  g_byte_array_append (session->out, (const guint8 *)&session->status, 1);
  out_end (session);
}
