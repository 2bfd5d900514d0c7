/* Sends the steps of a batch and assigns the results to them. */
#include "database-private.h"

/* Formats the wall-clock time after_us from now in milliseconds, as stored for
   the expiry of idempotency keys. */
static char *
wall_clock_ms (guint64 after_us)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT,
                          ((guint64)g_get_real_time () + after_us)
                              / TOU_US_PER_MS);
}

static gboolean
send_params (TouDbConn *conn, const char *sql, const char *const *values,
             int n_values)
{
  return PQsendQueryParams (conn->pg, sql, n_values, NULL, values, NULL, NULL,
                            0)
         == 1;
}

static gboolean
send_statement (TouDbConn *conn, const TouStatement *statement)
{
  const char *values[TOU_STATEMENT_MAX_PARAMS];

  for (guint i = 0; i < statement->n_params; i++)
    values[i] = statement->params[i].data;
  return send_params (conn, statement->sql.data, values,
                      (int)statement->n_params);
}

static gboolean
send_control (TouDbConn *conn)
{
  char *values[4] = { NULL };
  int count = 0;
  const char *sql
      = tou_db_control_statement (&conn->job->action, values, &count);
  gboolean sent = send_params (conn, sql, (const char *const *)values, count);

  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    g_free (values[i]);
  return sent;
}

/* Sends a step that reads or changes the table of idempotency keys. */
static gboolean
send_key_step (TouDbConn *conn, TouDbStep step)
{
  const TouAction *action = &conn->job->action;
  const char *key = action->u.db_execute.idempotency_key.data;
  const char *fingerprint = action->u.db_execute.fingerprint.data;
  g_autofree char *now = wall_clock_ms (0);
  g_autofree char *expires = wall_clock_ms (action->u.db_execute.key_ttl_us);

  switch (step)
    {
    case TOU_DB_STEP_KEY_EXPIRE:
      return send_params (conn,
                          "DELETE FROM toucanscale.request WHERE key = $1"
                          " AND expires_ms <= $2",
                          (const char *[]){ key, now }, 2);
    case TOU_DB_STEP_KEY_INSERT:
      return send_params (conn,
                          "INSERT INTO toucanscale.request"
                          " (key, fingerprint, expires_ms)"
                          " VALUES ($1, $2, $3)",
                          (const char *[]){ key, fingerprint, expires }, 3);
    case TOU_DB_STEP_KEY_OUTCOME:
      return send_params (conn,
                          "UPDATE toucanscale.request SET outcome = $1"
                          " WHERE key = $2",
                          (const char *[]){ conn->job->result.data, key }, 2);
    default:
      return send_params (conn,
                          "SELECT fingerprint, outcome"
                          " FROM toucanscale.request WHERE key = $1",
                          &key, 1);
    }
}

static gboolean
send_step (TouDbConn *conn, TouDbStep step)
{
  switch (step)
    {
    case TOU_DB_STEP_BEGIN:
      return send_params (conn, "BEGIN", NULL, 0);
    case TOU_DB_STEP_BEGIN_READ_ONLY:
      return send_params (conn, "BEGIN READ ONLY", NULL, 0);
    case TOU_DB_STEP_COMMIT:
      return send_params (conn, "COMMIT", NULL, 0);
    case TOU_DB_STEP_ROLLBACK:
      return send_params (conn, "ROLLBACK", NULL, 0);
    case TOU_DB_STEP_REPORT:
      return send_params (conn, "SELECT * FROM toucanscale.report()", NULL, 0);
    case TOU_DB_STEP_STATEMENT:
      return send_statement (conn, &conn->job->action.u.db_execute.statement);
    case TOU_DB_STEP_CONTROL:
      return send_control (conn);
    case TOU_DB_STEP_SYNC:
      return PQpipelineSync (conn->pg) == 1;
    default:
      return send_key_step (conn, step);
    }
}

/* Selects single-row mode for the client's statement to bound memory use. */
static void
pipeline_prepare_step (TouDbConn *conn)
{
  if (conn->current_step < conn->n_steps
      && conn->steps[conn->current_step] == TOU_DB_STEP_STATEMENT)
    PQsetSingleRowMode (conn->pg);
}

void
tou_db_pipeline_send (TouDbConn *conn, const TouDbStep *steps)
{
  conn->n_steps = 0;
  conn->current_step = 0;
  for (; *steps != TOU_DB_STEP_END; steps++)
    {
      if (!send_step (conn, *steps))
        {
          conn->failed = TRUE;
          return;
        }
      conn->steps[conn->n_steps++] = *steps;
    }
  pipeline_prepare_step (conn);
  tou_db_pipeline_flush (conn);
}

void
tou_db_pipeline_flush (TouDbConn *conn)
{
  int pending = PQflush (conn->pg);
  struct pollfd *fd
      = &g_array_index (conn->database->fds, struct pollfd, conn->slot);

  if (pending < 0)
    conn->failed = TRUE;
  fd->events = pending > 0 ? POLLIN | POLLOUT : POLLIN;
}

/* Ends the batch; the job then sends another one or is finished. */
static void
pipeline_finish_batch (TouDbConn *conn)
{
  TouDbJob *job = conn->job;

  if (!tou_db_execute_on_batch_done (conn))
    return;
  conn->job = NULL;
  tou_db_job_destroy (job);
}

static void
pipeline_handle_result (TouDbConn *conn, const PGresult *result)
{
  TouDbStep step = conn->steps[conn->current_step];

  if (PQresultStatus (result) != PGRES_PIPELINE_SYNC)
    {
      tou_db_execute_on_result (conn, step, result);
      return;
    }
  while (conn->current_step < conn->n_steps
         && conn->steps[conn->current_step] != TOU_DB_STEP_SYNC)
    conn->current_step++;
  conn->current_step++;
  if (conn->current_step >= conn->n_steps)
    pipeline_finish_batch (conn);
  else
    pipeline_prepare_step (conn);
}

void
tou_db_pipeline_read (TouDbConn *conn)
{
  guint empty = 0;

  /* A NULL result ends one step; two in a row mean that libpq has no more
     results. */
  while (conn->job != NULL && !conn->failed && empty < 2
         && !PQisBusy (conn->pg))
    {
      PGresult *result = PQgetResult (conn->pg);

      if (result != NULL)
        {
          empty = 0;
          pipeline_handle_result (conn, result);
          PQclear (result);
          continue;
        }
      empty++;
      if (conn->steps[conn->current_step] != TOU_DB_STEP_SYNC)
        {
          conn->current_step++;
          pipeline_prepare_step (conn);
        }
    }
}
