/* Fake database of a group: log, terms, fencing, asynchronous replication,
 * slots and a connection limit. Statements are "R row" and "W row write-id".
 */
#include "harness.h"

#include <stdio.h>
#include <string.h>

/* How often a replica fetches log records, in microseconds. */
#define REPLICATE_INTERVAL_US (5 * TOU_US_PER_MS)
/* Duration of statements without a slot (BEGIN, COMMIT, ROLLBACK), in
 * microseconds. */
#define CONTROL_SERVICE_US 50
#define NO_DATABASE G_MAXUINT

typedef struct
{
  guint64 term;
  guint row;
  guint write_id; /* 0: empty record written by a promotion */
  char key[32];   /* idempotency key or "" */
  guint64 appended_us;
} LogRecord;

typedef struct
{
  guint64 conn;
  Proxy *proxy;
  guint64 generation;
  FakeDatabase *db;
  gboolean control;
  guint64 term;
  gboolean closed;
  gboolean lost_message; /* the network was cut and dropped a message */
  gboolean running;      /* a statement is queued or runs */
  GArray *txn;           /* LogRecord; NULL outside a transaction */
  guint refs;
} Connection;

/* A statement in transit, queued or running. */
typedef struct
{
  Connection *connection;
  TouAction action;
} Statement;

struct FakeDatabase
{
  Harness *harness;
  guint index;
  gboolean up;
  gboolean paused;
  TouRole role;
  guint64 term; /* of its current role */
  guint64 term_start;
  guint64 fence_term;
  char fence_attempt[TOU_NAME_MAX + 1];
  GArray *log;     /* LogRecord; position = index + 1 */
  guint following; /* index of its primary or NO_DATABASE */
  guint64 lag_us;
  guint slots_in_use;
  guint64 busy_us;
  guint64 last_dispatch_us;
  guint max_connections;
  GQueue waiting; /* Statement that waits for a slot */
  GQueue arrived; /* Statement received while paused */
  GPtrArray *connections;
  GArray *highest; /* guint: highest write id of each row */
};

static const LogRecord *
log_at (const FakeDatabase *db, guint64 position)
{
  return &g_array_index (db->log, LogRecord, position - 1);
}

static TouLogPos
log_last (const FakeDatabase *db)
{
  if (db->log->len == 0)
    return (TouLogPos){ 0, 0 };
  return (TouLogPos){ log_at (db, db->log->len)->term, db->log->len };
}

static void
connection_unref (Connection *connection)
{
  if (--connection->refs > 0)
    return;
  if (connection->txn != NULL)
    g_array_free (connection->txn, TRUE);
  g_free (connection);
}

static gboolean
connection_is_cut (const Connection *connection)
{
  const FakeDatabase *db = connection->db;

  return harness_is_cut (db->harness, connection->proxy->index,
                         harness_db_entity (db->harness, db->index));
}

static guint64
connection_latency_us (const Connection *connection)
{
  const FakeDatabase *db = connection->db;

  return harness_latency_us (db->harness, connection->proxy->index,
                             harness_db_entity (db->harness, db->index));
}

/* Sends an event to the proxy, or drops it if the network is cut or an earlier
 * message of the connection was dropped. */
static void
connection_send (Connection *connection, TouEvent *event)
{
  if (connection_is_cut (connection) || connection->lost_message)
    {
      connection->lost_message = TRUE;
      tou_event_clear (event);
    }
  else if (connection->generation == connection->proxy->generation)
    harness_post (connection->db->harness, connection->proxy,
                  connection_latency_us (connection), event);
  else
    tou_event_clear (event);
}

static void
connection_close (Connection *connection, gboolean notify_proxy)
{
  TouEvent event = { .type = TOU_EVENT_DB_CLOSED };

  if (connection->closed)
    return;
  connection->closed = TRUE;
  g_ptr_array_remove_fast (connection->db->connections, connection);
  event.u.db_closed.conn = connection->conn;
  if (notify_proxy && connection->generation == connection->proxy->generation)
    harness_post (connection->db->harness, connection->proxy,
                  connection_latency_us (connection), &event);
  connection_unref (connection);
}

static void
update_highest_write (FakeDatabase *db, const LogRecord *record)
{
  guint *highest;

  if (record->row >= db->highest->len)
    g_array_set_size (db->highest, record->row + 1);
  highest = &g_array_index (db->highest, guint, record->row);
  *highest = MAX (*highest, record->write_id);
}

static void
database_append (FakeDatabase *db, const LogRecord *record)
{
  LogRecord copy = *record;

  copy.appended_us = db->harness->now_us;
  g_array_append_val (db->log, copy);
  update_highest_write (db, &copy);
}

static const LogRecord *
find_key (const FakeDatabase *db, const char *key)
{
  for (guint64 p = db->log->len; p > 0; p--)
    if (strcmp (log_at (db, p)->key, key) == 0)
      return log_at (db, p);
  return NULL;
}

/* Returns the highest write id of the row rather than the last: a write whose
 * outcome was unknown may be applied after a later one of the same session. */
static guint
read_row (const FakeDatabase *db, guint row)
{
  return row < db->highest->len ? g_array_index (db->highest, guint, row) : 0;
}

/* Returns TRUE if writes bound to @a term may commit. */
static gboolean
database_accepts_writes (const FakeDatabase *db, guint64 term)
{
  return db->role == TOU_ROLE_PRIMARY && db->term == term
         && db->fence_term <= term;
}

static gboolean
parse_write (LogRecord *out, const TouAction *action, guint64 term)
{
  guint row;
  guint write_id;

  if (sscanf (action->u.db_execute.statement.sql.data, "W %u %u", &row,
              &write_id)
      != 2)
    return FALSE;
  *out = (LogRecord){ .term = term, .row = row, .write_id = write_id };
  if (action->u.db_execute.idempotency_key.data != NULL)
#ifdef TOU_DEFECT_KEY_NOT_STORED
    out->key[0] = '\0';
#else
    g_strlcpy (out->key, action->u.db_execute.idempotency_key.data,
               sizeof out->key);
#endif
  return TRUE;
}

static void
result_reject (TouEvent *event, int code)
{
  event->u.db_result.outcome = TOU_DB_REJECTED;
  event->u.db_result.code = code;
}

static void
run_read (FakeDatabase *db, const TouAction *action, TouEvent *event)
{
  guint row = 0;

  sscanf (action->u.db_execute.statement.sql.data, "R %u", &row);
  tou_str_printf (&event->u.db_result.result, "%u", read_row (db, row));
}

static void
run_write (Connection *connection, const TouAction *action, TouEvent *event)
{
  FakeDatabase *db = connection->db;
  LogRecord record;
  const LogRecord *stored = NULL;

  if (!database_accepts_writes (db, connection->term))
    {
      result_reject (event, TOU_E_NOT_PRIMARY);
      return;
    }
  if (!parse_write (&record, action, connection->term))
    {
      result_reject (event, TOU_E_STATEMENT_REJECTED);
      return;
    }
  if (connection->txn != NULL)
    {
      g_array_append_val (connection->txn, record);
      return;
    }
  if (record.key[0] != '\0')
    stored = find_key (db, record.key);
  if (stored == NULL)
    database_append (db, &record);
  event->u.db_result.replayed = stored != NULL;
  tou_str_printf (&event->u.db_result.result, "%u",
                  stored != NULL ? stored->write_id : record.write_id);
}

static void
run_commit (Connection *connection, TouEvent *event)
{
  FakeDatabase *db = connection->db;

  if (connection->txn == NULL
      || !database_accepts_writes (db, connection->term))
    result_reject (event, TOU_E_NOT_PRIMARY);
  else
    for (guint i = 0; i < connection->txn->len; i++)
      database_append (db, &g_array_index (connection->txn, LogRecord, i));
  g_clear_pointer (&connection->txn, g_array_unref);
}

static gboolean
is_new_work (TouDbExecuteKind kind)
{
  return kind == TOU_DB_READ || kind == TOU_DB_WRITE
         || kind == TOU_DB_WRITE_ONCE || kind == TOU_DB_BEGIN;
}

static void
run_statement (Statement *statement, TouEvent *event)
{
  Connection *connection = statement->connection;
  FakeDatabase *db = connection->db;

  if (connection->txn != NULL
      && is_new_work (statement->action.u.db_execute.kind))
    harness_violation (
        db->harness, "new statement on a connection with an open transaction");

  switch (statement->action.u.db_execute.kind)
    {
    case TOU_DB_READ:
      run_read (db, &statement->action, event);
      break;
    case TOU_DB_TXN_STATEMENT:
      if (statement->action.u.db_execute.statement.sql.data[0] == 'R')
        run_read (db, &statement->action, event);
      else
        run_write (connection, &statement->action, event);
      break;
    case TOU_DB_WRITE:
    case TOU_DB_WRITE_ONCE:
      run_write (connection, &statement->action, event);
      break;
    case TOU_DB_BEGIN:
      if (connection->txn != NULL)
        harness_violation (db->harness, "two transactions on one connection");
      connection->txn = g_array_new (FALSE, FALSE, sizeof (LogRecord));
      break;
    case TOU_DB_COMMIT:
      run_commit (connection, event);
      break;
    case TOU_DB_ROLLBACK:
      g_clear_pointer (&connection->txn, g_array_unref);
      break;
    }
}

static void
statement_free (Statement *statement)
{
  connection_unref (statement->connection);
  tou_action_clear (&statement->action);
  g_free (statement);
}

static gboolean
needs_slot (const Statement *statement)
{
  TouDbExecuteKind kind = statement->action.u.db_execute.kind;

  return kind != TOU_DB_BEGIN && kind != TOU_DB_ROLLBACK
         && kind != TOU_DB_COMMIT;
}

static guint64
service_time (FakeDatabase *db)
{
  guint64 mean = db->harness->options.service_us;

  /* Uniform between 0.5 and 1.5 times the mean. */
  return mean / 2 + tou_random_below (&db->harness->random, mean + 1);
}

static void statement_start (Statement *statement);

static void
statement_end (Harness *harness, gpointer data)
{
  Statement *statement = data;
  Connection *connection = statement->connection;
  FakeDatabase *db = connection->db;
  TouEvent event = { .type = TOU_EVENT_DB_RESULT };

  if (harness->closing)
    {
      statement_free (statement);
      return;
    }
  if (db->paused)
    {
      harness_schedule (harness, harness->now_us + TOU_US_PER_MS, statement_end,
                        statement);
      return;
    }
  if (needs_slot (statement) && db->slots_in_use > 0)
    db->slots_in_use--;
  if (!connection->closed)
    {
      connection->running = FALSE;
      event.u.db_result.conn = connection->conn;
      event.u.db_result.sequence = statement->action.u.db_execute.sequence;
      event.u.db_result.service_us = harness->options.service_us;
      run_statement (statement, &event);
      event.u.db_result.pos = log_last (db);
      connection_send (connection, &event);
    }
  statement_free (statement);
  while (db->slots_in_use < harness->options.deployment->slots
         && !g_queue_is_empty (&db->waiting))
    statement_start (g_queue_pop_head (&db->waiting));
}

static void
statement_start (Statement *statement)
{
  FakeDatabase *db = statement->connection->db;
  Harness *harness = db->harness;
  guint64 service_us = CONTROL_SERVICE_US;

  if (needs_slot (statement))
    {
      service_us = service_time (db);
      db->slots_in_use++;
      db->busy_us += service_us;
    }
  harness_schedule (harness, harness->now_us + service_us, statement_end,
                    statement);
}

static void
statement_queue (Statement *statement)
{
  FakeDatabase *db = statement->connection->db;

  if (statement->connection->running)
    harness_violation (db->harness,
                       "statement sent while the connection runs another");
  statement->connection->running = TRUE;
  if (db->harness->no_dispatch_after_us[db->index] != 0
      && db->harness->now_us > db->harness->no_dispatch_after_us[db->index]
      && is_new_work (statement->action.u.db_execute.kind))
    harness_violation (db->harness, "new statement on leaving endpoint %s",
                       harness_endpoint_name (db->index).data);
  db->last_dispatch_us = db->harness->now_us;
  if (needs_slot (statement)
      && db->slots_in_use >= db->harness->options.deployment->slots)
    g_queue_push_tail (&db->waiting, statement);
  else
    statement_start (statement);
}

static guint
work_clients (const FakeDatabase *db)
{
  guint64 seen = 0; /* bit per proxy */
  guint count = 0;

  for (guint i = 0; i < db->connections->len; i++)
    {
      const Connection *c = db->connections->pdata[i];
      guint64 bit = G_GUINT64_CONSTANT (1) << (c->proxy->index % 64);

      if (!c->control && (seen & bit) == 0)
        count++;
      if (!c->control)
        seen |= bit;
    }
  return count;
}

static gboolean
database_fence (FakeDatabase *db, guint64 term, const char *attempt)
{
  if (term < db->fence_term
      || (term == db->fence_term
          && g_strcmp0 (db->fence_attempt, attempt) != 0))
    return FALSE;
  db->fence_term = term;
  g_strlcpy (db->fence_attempt, attempt != NULL ? attempt : "",
             sizeof db->fence_attempt);
  return TRUE;
}

static gboolean
database_promote (FakeDatabase *db, guint64 term, const char *attempt)
{
  LogRecord empty = { .term = term };

  if (db->fence_term != term || g_strcmp0 (db->fence_attempt, attempt) != 0)
    return FALSE;
  if (db->role == TOU_ROLE_PRIMARY && db->term == term)
    return TRUE;
  db->role = TOU_ROLE_PRIMARY;
  db->following = NO_DATABASE;
  db->term = term;
  db->term_start = db->log->len;
  database_append (db, &empty);
  return TRUE;
}

static gboolean
database_follow (FakeDatabase *db, guint64 term, const TouName *primary)
{
  if (term < db->fence_term)
    return FALSE;
  db->fence_term = term;
  db->role = TOU_ROLE_REPLICA;
  db->term = term;
  for (guint i = 0; i < db->harness->n_databases; i++)
    {
      TouName name = harness_endpoint_name (i);

      if (tou_name_equal (&name, primary))
        db->following = i;
    }
  return TRUE;
}

static void
run_control (Statement *statement)
{
  Connection *connection = statement->connection;
  FakeDatabase *db = connection->db;
  const TouAction *action = &statement->action;
  const char *attempt = action->u.db_control.attempt.data;
  guint64 term = action->u.db_control.term;
  TouEvent event = { .type = TOU_EVENT_DB_REPORT };

  event.u.db_report.granted = TRUE;
  switch (action->u.db_control.op)
    {
    case TOU_DB_REPORT:
      break;
    case TOU_DB_FENCE:
      event.u.db_report.granted = database_fence (db, term, attempt);
      break;
    case TOU_DB_PROMOTE:
      event.u.db_report.granted = database_promote (db, term, attempt);
      break;
    case TOU_DB_FOLLOW:
      event.u.db_report.granted
          = database_follow (db, term, &action->u.db_control.primary_endpoint);
      break;
    }
  event.u.db_report.conn = connection->conn;
  event.u.db_report.sequence = action->u.db_control.sequence;
  event.u.db_report.report = (TouDbReport){
    .role = db->role,
    .last = log_last (db),
    .fence_term = db->fence_term,
    .term_start = db->term_start,
    .work_clients = work_clients (db),
    .connections = db->connections->len,
  };
  connection_send (connection, &event);
  statement_free (statement);
}

static void
statement_handle (Statement *statement)
{
  if (statement->connection->closed)
    statement_free (statement);
  else if (statement->action.type == TOU_ACTION_DB_CONTROL)
    run_control (statement);
  else
    statement_queue (statement);
}

static void
statement_arrive (Harness *harness, gpointer data)
{
  Statement *statement = data;
  FakeDatabase *db = statement->connection->db;

  if (harness->closing || statement->connection->closed)
    statement_free (statement);
  else if (connection_is_cut (statement->connection)
           || statement->connection->lost_message)
    {
      statement->connection->lost_message = TRUE;
      statement_free (statement);
    }
  else if (db->paused)
    g_queue_push_tail (&db->arrived, statement);
  else
    statement_handle (statement);
}

static Connection *
find_connection (Harness *harness, const Proxy *proxy, guint64 conn)
{
  for (guint i = 0; i < harness->n_databases; i++)
    {
      GPtrArray *list = harness->databases[i]->connections;

      for (guint k = 0; k < list->len; k++)
        {
          Connection *c = list->pdata[k];

          if (c->proxy == proxy && c->conn == conn
              && c->generation == proxy->generation)
            return c;
        }
    }
  return NULL;
}

static void
connection_opened (Harness *harness, gpointer data)
{
  Connection *connection = data;
  FakeDatabase *db = connection->db;
  TouEvent event = { .type = TOU_EVENT_DB_OPENED };

  (void)harness;
  if (!connection->closed && !harness->closing)
    {
      if (db->paused)
        {
          harness_schedule (harness, harness->now_us + TOU_US_PER_MS,
                            connection_opened, connection);
          return;
        }
      event.u.db_opened.conn = connection->conn;
      connection_send (connection, &event);
    }
  connection_unref (connection);
}

static void
refuse_connection (FakeDatabase *db, Proxy *proxy, guint64 conn, gboolean limit)
{
  TouEvent event = { .type = TOU_EVENT_DB_CLOSED };

  event.u.db_closed.conn = conn;
  event.u.db_closed.refused = limit;
  harness_post (db->harness, proxy, db->harness->options.deployment->connect_us,
                &event);
}

void
fake_database_open (FakeDatabase *db, Proxy *proxy, guint64 conn,
                    gboolean control, guint64 term)
{
  Harness *harness = db->harness;
  const Deployment *d = harness->options.deployment;
  Connection *connection;

  if (!db->up)
    {
      refuse_connection (db, proxy, conn, FALSE);
      return;
    }
  if (harness_is_cut (harness, proxy->index,
                      harness_db_entity (harness, db->index)))
    return; /* the proxy ends the attempt at its timeout */
  if (db->connections->len >= d->connection_limit)
    {
      refuse_connection (db, proxy, conn, TRUE);
      return;
    }
  connection = g_new0 (Connection, 1);
  *connection = (Connection){ .conn = conn,
                              .proxy = proxy,
                              .generation = proxy->generation,
                              .db = db,
                              .control = control,
                              .term = term,
                              .refs = 2 };
  g_ptr_array_add (db->connections, connection);
  db->max_connections = MAX (db->max_connections, db->connections->len);
  harness_schedule (harness, harness->now_us + d->connect_us, connection_opened,
                    connection);
}

void
fake_database_action (Harness *harness, Proxy *proxy, TouAction *action)
{
  Statement *statement;
  Connection *connection;

  if (action->type == TOU_ACTION_DB_OPEN)
    {
      for (guint i = 0; i < harness->n_databases; i++)
        {
          TouName name = harness_endpoint_name (i);

          if (tou_name_equal (&name, &action->u.db_open.endpoint))
            fake_database_open (
                harness->databases[i], proxy, action->u.db_open.conn,
                action->u.db_open.control, action->u.db_open.term);
        }
      return;
    }
  connection = find_connection (
      harness, proxy,
      action->type == TOU_ACTION_DB_CLOSE     ? action->u.db_close.conn
      : action->type == TOU_ACTION_DB_CONTROL ? action->u.db_control.conn
                                              : action->u.db_execute.conn);
  if (connection == NULL)
    return;
  if (action->type == TOU_ACTION_DB_CLOSE)
    {
      connection_close (connection, FALSE);
      return;
    }
  statement = g_new0 (Statement, 1);
  statement->connection = connection;
  connection->refs++;
  statement->action = *action;
  memset (action, 0, sizeof *action);
  action->type = TOU_ACTION_READY;
  harness_schedule (harness,
                    harness->now_us + connection_latency_us (connection),
                    statement_arrive, statement);
}

void
fake_database_on_proxy_exit (Harness *harness, const Proxy *proxy)
{
  for (guint i = 0; i < harness->n_databases; i++)
    {
      GPtrArray *list = harness->databases[i]->connections;

      for (guint k = list->len; k > 0; k--)
        if (((Connection *)list->pdata[k - 1])->proxy == proxy)
          connection_close (list->pdata[k - 1], FALSE);
    }
}

static void
close_all_connections (FakeDatabase *db)
{
  while (db->connections->len > 0)
    connection_close (db->connections->pdata[db->connections->len - 1], TRUE);
}

void
fake_database_kill (FakeDatabase *db)
{
  Statement *statement;

  db->up = FALSE;
  close_all_connections (db);
  while ((statement = g_queue_pop_head (&db->waiting)) != NULL
         || (statement = g_queue_pop_head (&db->arrived)) != NULL)
    statement_free (statement);
}

void
fake_database_start (FakeDatabase *db)
{
  db->up = TRUE;
}

void
fake_database_pause (FakeDatabase *db, gboolean paused)
{
  Statement *statement;

  db->paused = paused;
  while (!paused && (statement = g_queue_pop_head (&db->arrived)) != NULL)
    statement_handle (statement);
}

void
fake_database_set_lag (FakeDatabase *db, guint64 lag_us)
{
  db->lag_us = lag_us;
}

/* Resets the connections that dropped messages once the network is healed. */
void
fake_database_on_network_healed (FakeDatabase *db)
{
  for (guint k = db->connections->len; k > 0; k--)
    {
      Connection *connection = db->connections->pdata[k - 1];

      if (connection->lost_message && !connection_is_cut (connection))
        connection_close (connection, TRUE);
    }
}

/* Removes log records that are not in the primary's log. */
static void
truncate_diverged (FakeDatabase *db, const FakeDatabase *primary)
{
  gboolean truncated = FALSE;

  while (db->log->len > 0
         && (db->log->len > primary->log->len
             || log_at (db, db->log->len)->term
                    != log_at (primary, db->log->len)->term))
    {
      g_array_set_size (db->log, db->log->len - 1);
      truncated = TRUE;
    }
  if (!truncated)
    return;
  g_array_set_size (db->highest, 0);
  for (guint64 p = 1; p <= db->log->len; p++)
    update_highest_write (db, log_at (db, p));
}

static void
replicate (Harness *harness, gpointer data)
{
  FakeDatabase *db = data;
  FakeDatabase *primary;

  if (harness->closing)
    return;
  harness_schedule (harness, harness->now_us + REPLICATE_INTERVAL_US, replicate,
                    db);
  if (!db->up || db->paused || db->following == NO_DATABASE)
    return;
  primary = harness->databases[db->following];
  if (!primary->up || primary->paused || primary->role != TOU_ROLE_PRIMARY
      || primary->term < db->fence_term
      || harness_is_cut (harness, harness_db_entity (harness, db->index),
                         harness_db_entity (harness, primary->index)))
    return;
  truncate_diverged (db, primary);
  while (db->log->len < primary->log->len
         && log_at (primary, db->log->len + 1)->appended_us + db->lag_us
                <= harness->now_us)
    {
      LogRecord record = *log_at (primary, db->log->len + 1);

      g_array_append_val (db->log, record);
      update_highest_write (db, &record);
    }
}

FakeDatabase *
fake_database_create (Harness *harness, guint index)
{
  FakeDatabase *db = g_new0 (FakeDatabase, 1);

  db->harness = harness;
  db->index = index;
  db->up = TRUE;
  db->role = TOU_ROLE_REPLICA;
  db->following = NO_DATABASE;
  db->lag_us = harness->options.lag_us;
  db->log = g_array_new (FALSE, FALSE, sizeof (LogRecord));
  db->connections = g_ptr_array_new ();
  db->highest = g_array_new (FALSE, TRUE, sizeof (guint));
  harness_schedule (harness, harness->now_us + index, replicate, db);
  return db;
}

void
fake_database_destroy (FakeDatabase *db)
{
  fake_database_kill (db);
  g_array_free (db->log, TRUE);
  g_array_free (db->highest, TRUE);
  g_ptr_array_free (db->connections, TRUE);
  g_free (db);
}

int
fake_group_primary (const Harness *harness, guint group)
{
  int best = -1;
  guint64 best_term = 0;

  for (guint i = 0; i < HARNESS_DBS_PER_GROUP; i++)
    {
      const FakeDatabase *db = harness->databases[harness_db (group, i)];

      if (db->role == TOU_ROLE_PRIMARY && db->term > best_term)
        {
          best = (int)i;
          best_term = db->term;
        }
    }
  return best;
}

guint
fake_database_count_write (const FakeDatabase *db, guint64 write_id)
{
  guint count = 0;

  for (guint64 p = 1; p <= db->log->len; p++)
    count += log_at (db, p)->write_id == write_id;
  return count;
}

guint64
fake_database_find_write (const FakeDatabase *db, guint64 write_id)
{
  for (guint64 p = 1; p <= db->log->len; p++)
    if (log_at (db, p)->write_id == write_id)
      return p;
  return 0;
}

gboolean
fake_database_has_txn (const Harness *harness, const Proxy *proxy)
{
  for (guint i = 0; i < harness->n_databases; i++)
    {
      const GPtrArray *list = harness->databases[i]->connections;

      for (guint k = 0; k < list->len; k++)
        {
          const Connection *connection = list->pdata[k];

          if (connection->proxy == proxy && connection->txn != NULL)
            return TRUE;
        }
    }
  return FALSE;
}

guint
fake_database_max_connections (const FakeDatabase *db)
{
  return db->max_connections;
}

guint64
fake_database_busy_us (const FakeDatabase *db)
{
  return db->busy_us;
}

guint64
fake_database_last_dispatch_us (const FakeDatabase *db)
{
  return db->last_dispatch_us;
}
