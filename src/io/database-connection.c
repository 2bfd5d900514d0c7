/* Opens, polls and closes database connections. */
#include "database-private.h"

#include <string.h>

static struct pollfd *
conn_pollfd (TouDbConn *conn)
{
  return &g_array_index (conn->database->fds, struct pollfd, conn->slot);
}

static void
conn_add_slot (TouDbConn *conn)
{
  TouDatabase *database = conn->database;
  struct pollfd fd = { .fd = PQsocket (conn->pg), .events = POLLOUT };

  conn->slot = database->fds->len;
  g_array_append_val (database->fds, fd);
  g_ptr_array_add (database->by_slot, conn);
}

/* Moves the last slot to the index of the removed one. */
static void
conn_remove_slot (TouDbConn *conn)
{
  TouDatabase *database = conn->database;
  TouDbConn *last;

  g_array_remove_index_fast (database->fds, conn->slot);
  g_ptr_array_remove_index_fast (database->by_slot, conn->slot);
  if (conn->slot == database->by_slot->len)
    return;
  last = g_ptr_array_index (database->by_slot, conn->slot);
  last->slot = conn->slot;
}

static void
ignore_notice (void *data, const PGresult *result)
{
  (void)data;
  (void)result;
}

/* TCP keepalive detects an unreachable host on an idle connection after
   10 s + 3 * 3 s. */
#define KEEPALIVE_IDLE_S "10"
#define KEEPALIVE_INTERVAL_S "3"
#define KEEPALIVE_COUNT "3"

/* Starts a libpq connection attempt; the address has the form "ip:port". */
static PGconn *
conn_start_connecting (const TouDatabase *database, const TouAction *action)
{
  const TouDatabaseSettings *settings = &database->settings;
  const char *address = action->u.db_open.address.data;
  const char *colon = strrchr (address, ':');
  /* Without a host libpq would connect to a local socket; this text makes the
     attempt fail. */
  g_autofree char *host = colon != NULL && colon > address
                              ? g_strndup (address, (gsize)(colon - address))
                              : g_strdup ("address is not ip:port");
  g_autofree char *options = g_strdup_printf (
      "-c toucanscale.term=%" G_GUINT64_FORMAT, action->u.db_open.term);
  gboolean control = action->u.db_open.control;
  gboolean separate_user = control && settings->control_user != NULL;
  const struct
  {
    const char *name;
    const char *value;
  } list[] = {
    { "hostaddr", host },
    { "port", colon != NULL ? colon + 1 : NULL },
    { "user", separate_user ? settings->control_user : settings->user },
    { "password",
      separate_user ? settings->control_password : settings->password },
    { "dbname", settings->database },
    { "application_name", settings->client_name },
    { "client_encoding", "UTF8" },
    { "gssencmode", "disable" },
    { "keepalives_idle", KEEPALIVE_IDLE_S },
    { "keepalives_interval", KEEPALIVE_INTERVAL_S },
    { "keepalives_count", KEEPALIVE_COUNT },
    { "options", control ? NULL : options },
  };
  const char *names[G_N_ELEMENTS (list) + 1] = { NULL };
  const char *values[G_N_ELEMENTS (list) + 1] = { NULL };

  for (guint i = 0; i < G_N_ELEMENTS (list); i++)
    {
      names[i] = list[i].name;
      values[i] = list[i].value;
    }
  return PQconnectStartParams (names, values, 0);
}

void
tou_db_conn_open (TouDatabase *database, const TouAction *action)
{
  TouDbConn *conn = g_new0 (TouDbConn, 1);

  conn->database = database;
  conn->id = action->u.db_open.conn;
  conn->pg = conn_start_connecting (database, action);
  conn->deadline_us = (guint64)g_get_monotonic_time ()
                      + database->settings.connect_timeout_us;
  PQsetNoticeReceiver (conn->pg, ignore_notice, NULL);
  /* The error text of a failed connection contains the SQLSTATE only if it is
     verbose. */
  PQsetErrorVerbosity (conn->pg, PQERRORS_VERBOSE);
  g_hash_table_insert (database->conns, &conn->id, conn);
  conn_add_slot (conn);
  g_queue_push_tail (&database->connecting, conn);
  if (PQstatus (conn->pg) == CONNECTION_BAD)
    tou_db_conn_close (conn, NULL);
}

static void
conn_emit_opened (TouDbConn *conn)
{
  TouEvent event = { .type = TOU_EVENT_DB_OPENED };

  event.u.db_opened.conn = conn->id;
  tou_db_emit (conn->database, &event);
}

static void
conn_start_next_job (TouDbConn *conn)
{
  while (conn->ready && conn->job == NULL && !conn->failed
         && !g_queue_is_empty (&conn->waiting))
    {
      conn->job = g_queue_pop_head (&conn->waiting);
      tou_db_execute_start (conn);
    }
}

/* Polls libpq until the connection is established or has failed. */
static void
conn_continue_connecting (TouDbConn *conn)
{
  PostgresPollingStatusType status = PQconnectPoll (conn->pg);

  conn_pollfd (conn)->fd = PQsocket (conn->pg);
  conn_pollfd (conn)->events
      = status == PGRES_POLLING_WRITING ? POLLOUT : POLLIN;
  if (status == PGRES_POLLING_FAILED)
    {
      conn->failed = TRUE;
      return;
    }
  if (status != PGRES_POLLING_OK)
    return;
  g_queue_remove (&conn->database->connecting, conn);
  conn->ready = PQsetnonblocking (conn->pg, 1) == 0
                && PQenterPipelineMode (conn->pg) == 1;
  conn->failed = !conn->ready;
  if (conn->ready)
    conn_emit_opened (conn);
}

static void
conn_process_io (TouDbConn *conn)
{
  gboolean alive = PQconsumeInput (conn->pg) == 1;

  tou_db_pipeline_read (conn);
  conn->failed = conn->failed || !alive;
  if (!conn->failed)
    tou_db_pipeline_flush (conn);
}

void
tou_db_conn_on_ready (TouDbConn *conn, short revents)
{
  (void)revents;
  if (conn->ready)
    conn_process_io (conn);
  else
    conn_continue_connecting (conn);
  conn_start_next_job (conn);
  if (conn->failed)
    tou_db_conn_close (conn, NULL);
}

static guint64
action_conn_id (const TouAction *action)
{
  if (action->type == TOU_ACTION_DB_EXECUTE)
    return action->u.db_execute.conn;
  return action->u.db_control.conn;
}

/* Emits a result for an action that no connection accepts. */
static void
conn_refuse_action (TouDatabase *database, TouAction *action, int code,
                    const char *message)
{
  TouDbJob *job = tou_db_job_create (action, database->settings.result_max);

  job->code = code;
  tou_str_init_c (&job->message, message);
  tou_db_execute_fail (database, job);
  tou_db_job_destroy (job);
}

void
tou_db_conn_submit (TouDatabase *database, TouAction *action)
{
  guint64 id = action_conn_id (action);
  TouDbConn *conn = g_hash_table_lookup (database->conns, &id);

  if (conn == NULL)
    {
      conn_refuse_action (database, action, TOU_E_CONNECTION_LOST,
                          "connection is closed");
      return;
    }
  if (g_queue_get_length (&conn->waiting) >= TOU_DB_JOBS_MAX)
    {
      conn_refuse_action (database, action, TOU_E_RING_FULL,
                          "too many statements wait on the connection");
      return;
    }
  g_queue_push_tail (&conn->waiting,
                     tou_db_job_create (action, database->settings.result_max));
  conn_start_next_job (conn);
  if (conn->failed)
    tou_db_conn_close (conn, NULL);
}

/* Writes the reason, or libpq's error message without its trailing newline. */
static void
conn_format_message (const TouDbConn *conn, const char *reason, TouStr *out)
{
  g_autofree char *text
      = g_strdup (reason != NULL ? reason : PQerrorMessage (conn->pg));

  tou_str_init_c (out, g_strchomp (text));
}

void
tou_db_conn_close (TouDbConn *conn, const char *reason)
{
  TouDatabase *database = conn->database;
  TouEvent event = { .type = TOU_EVENT_DB_CLOSED };

  event.u.db_closed.conn = conn->id;
  event.u.db_closed.refused
      = !conn->ready && strstr (PQerrorMessage (conn->pg), "53300:") != NULL;
  conn_format_message (conn, reason, &event.u.db_closed.message);
  if (conn->job != NULL)
    g_queue_push_head (&conn->waiting, conn->job);
  while (!g_queue_is_empty (&conn->waiting))
    {
      TouDbJob *job = g_queue_pop_head (&conn->waiting);

      tou_db_execute_fail (database, job);
      tou_db_job_destroy (job);
    }
  tou_db_emit (database, &event);
  g_queue_remove (&database->connecting, conn);
  conn_remove_slot (conn);
  g_hash_table_remove (database->conns, &conn->id);
  PQfinish (conn->pg);
  g_free (conn);
}
