/* Jobs: selects the batches that an action sends and derives its outcome. */
#include "database-private.h"

#include <string.h>

/* The report follows the statement in the same transaction, so its position
   covers the data that was read. */
static const TouDbStep batch_read[]
    = { TOU_DB_STEP_BEGIN_READ_ONLY, TOU_DB_STEP_STATEMENT, TOU_DB_STEP_REPORT,
        TOU_DB_STEP_COMMIT,          TOU_DB_STEP_SYNC,      TOU_DB_STEP_END };
static const TouDbStep batch_statement[]
    = { TOU_DB_STEP_STATEMENT, TOU_DB_STEP_SYNC, TOU_DB_STEP_REPORT,
        TOU_DB_STEP_SYNC, TOU_DB_STEP_END };
static const TouDbStep batch_begin[]
    = { TOU_DB_STEP_BEGIN, TOU_DB_STEP_SYNC, TOU_DB_STEP_REPORT,
        TOU_DB_STEP_SYNC, TOU_DB_STEP_END };
static const TouDbStep batch_commit[]
    = { TOU_DB_STEP_COMMIT, TOU_DB_STEP_SYNC, TOU_DB_STEP_REPORT,
        TOU_DB_STEP_SYNC, TOU_DB_STEP_END };
static const TouDbStep batch_rollback[]
    = { TOU_DB_STEP_ROLLBACK, TOU_DB_STEP_SYNC, TOU_DB_STEP_REPORT,
        TOU_DB_STEP_SYNC, TOU_DB_STEP_END };
static const TouDbStep batch_write_once[]
    = { TOU_DB_STEP_BEGIN,     TOU_DB_STEP_KEY_EXPIRE, TOU_DB_STEP_KEY_INSERT,
        TOU_DB_STEP_STATEMENT, TOU_DB_STEP_SYNC,       TOU_DB_STEP_END };
static const TouDbStep batch_write_once_commit[]
    = { TOU_DB_STEP_KEY_OUTCOME, TOU_DB_STEP_COMMIT, TOU_DB_STEP_SYNC,
        TOU_DB_STEP_REPORT,      TOU_DB_STEP_SYNC,   TOU_DB_STEP_END };
static const TouDbStep batch_write_once_replay[]
    = { TOU_DB_STEP_ROLLBACK, TOU_DB_STEP_SYNC,   TOU_DB_STEP_KEY_SELECT,
        TOU_DB_STEP_SYNC,     TOU_DB_STEP_REPORT, TOU_DB_STEP_SYNC,
        TOU_DB_STEP_END };
static const TouDbStep batch_control[]
    = { TOU_DB_STEP_CONTROL, TOU_DB_STEP_SYNC, TOU_DB_STEP_END };

TouDbJob *
tou_db_job_create (TouAction *action, gsize result_max)
{
  TouDbJob *job = g_new0 (TouDbJob, 1);

  job->action = *action;
  memset (action, 0, sizeof *action);
  action->type = TOU_ACTION_COUNT;
  job->rows = tou_db_rows_create (result_max);
  return job;
}

void
tou_db_job_destroy (TouDbJob *job)
{
  tou_action_clear (&job->action);
  tou_str_clear (&job->message);
  tou_str_clear (&job->result);
  tou_str_clear (&job->stored_fingerprint);
  tou_db_rows_destroy (job->rows);
  g_free (job);
}

static gboolean
job_is_control (const TouDbJob *job)
{
  return job->action.type == TOU_ACTION_DB_CONTROL;
}

static TouDbExecuteKind
job_kind (const TouDbJob *job)
{
  return job->action.u.db_execute.kind;
}

static void
job_fail (TouDbJob *job, int code, const char *message)
{
  if (job->failed)
    return;
  job->failed = TRUE;
  job->code = code;
  tou_str_clear (&job->message);
  tou_str_init_c (&job->message, message);
}

/* Emits DB_RESULT; moves the texts into the event. */
static void
job_emit (TouDatabase *database, TouDbJob *job, TouDbOutcome outcome, int code)
{
  TouEvent event = { .type = TOU_EVENT_DB_RESULT };

  event.u.db_result.conn = job->action.u.db_execute.conn;
  event.u.db_result.sequence = job->action.u.db_execute.sequence;
  event.u.db_result.outcome = outcome;
  event.u.db_result.code = code;
  event.u.db_result.replayed = job->replayed;
  if (job->started_us > 0)
    event.u.db_result.service_us
        = (guint64)g_get_monotonic_time () - job->started_us;
  if (job->reported)
    event.u.db_result.pos = job->report.last;
  if (outcome == TOU_DB_DONE)
    tou_str_move (&event.u.db_result.result, &job->result);
  tou_str_move (&event.u.db_result.message, &job->message);
  tou_db_emit (database, &event);
}

void
tou_db_execute_fail (TouDatabase *database, TouDbJob *job)
{
  TouDbOutcome outcome = TOU_DB_NOT_SENT;

  if (job_is_control (job))
    return;
  if (job->failed)
    outcome = TOU_DB_REJECTED;
  else if (job->may_commit)
    outcome = TOU_DB_LOST;
  if (job->message.data == NULL)
    tou_str_init_c (&job->message, "connection to the database was lost");
  job_emit (database, job, outcome,
            job->code != TOU_OK ? job->code : TOU_E_CONNECTION_LOST);
}

/*
 * Sends a batch that commits. If libpq did not accept its first step, nothing
 * can have been committed.
 */
static void
execute_send_commit (TouDbConn *conn, const TouDbStep *batch)
{
  tou_db_pipeline_send (conn, batch);
  conn->job->may_commit = conn->n_steps > 0;
}

/* Sends the first batch of an execute action. */
static void
execute_send (TouDbConn *conn)
{
  switch (job_kind (conn->job))
    {
    case TOU_DB_READ:
      tou_db_pipeline_send (conn, batch_read);
      break;
    case TOU_DB_WRITE:
      execute_send_commit (conn, batch_statement);
      break;
    case TOU_DB_TXN_STATEMENT:
      tou_db_pipeline_send (conn, batch_statement);
      break;
    case TOU_DB_WRITE_ONCE:
      tou_db_pipeline_send (conn, batch_write_once);
      break;
    case TOU_DB_BEGIN:
      tou_db_pipeline_send (conn, batch_begin);
      break;
    case TOU_DB_COMMIT:
      execute_send_commit (conn, batch_commit);
      break;
    case TOU_DB_ROLLBACK:
      tou_db_pipeline_send (conn, batch_rollback);
      break;
    }
}

static gboolean
kind_has_statement (TouDbExecuteKind kind)
{
  return kind == TOU_DB_READ || kind == TOU_DB_WRITE
         || kind == TOU_DB_WRITE_ONCE || kind == TOU_DB_TXN_STATEMENT;
}

void
tou_db_execute_start (TouDbConn *conn)
{
  TouDbJob *job = conn->job;
  int status = TOU_OK;

  job->started_us = (guint64)g_get_monotonic_time ();
  /* Detects a connection that the database has closed before anything is sent,
     so that the statement is known not to have run. */
  if (PQconsumeInput (conn->pg) != 1)
    {
      conn->failed = TRUE;
      return;
    }
  if (job_is_control (job))
    {
      tou_db_pipeline_send (conn, batch_control);
      return;
    }
  if (kind_has_statement (job_kind (job)))
    status = tou_db_guard_check (&job->action.u.db_execute.statement);
  if (status == TOU_OK)
    {
      execute_send (conn);
      return;
    }
  tou_str_init_c (&job->message, tou_status_message ());
  job_emit (conn->database, job, TOU_DB_REJECTED, status);
  conn->job = NULL;
  tou_db_job_destroy (job);
}

/*
 * Returns TRUE if the error proves that the transaction was rolled back. A
 * FATAL error ends the connection and may follow a commit; class 08 and 40003
 * mean that the outcome is unknown; an error without SQLSTATE comes from libpq.
 */
static gboolean
error_proves_rollback (const PGresult *result)
{
  const char *severity
      = PQresultErrorField (result, PG_DIAG_SEVERITY_NONLOCALIZED);
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);

  return state != NULL && g_strcmp0 (severity, "ERROR") == 0
         && !g_str_has_prefix (state, "08") && !g_str_equal (state, "40003");
}

static int
error_code (const TouDbJob *job, const char *state)
{
  if (g_str_equal (state, "TS001"))
    return TOU_E_NOT_PRIMARY;
  /* A hot standby rejects writes with this code. So does any database in the
     read-only transaction of a READ. */
  if (g_str_equal (state, "25006") && job_kind (job) != TOU_DB_READ)
    return TOU_E_NOT_PRIMARY;
  if (g_str_equal (state, "25P02"))
    return TOU_E_TXN_ABORTED;
  return TOU_E_STATEMENT_REJECTED;
}

static void
execute_on_error (TouDbConn *conn, TouDbStep step, const PGresult *result)
{
  TouDbJob *job = conn->job;
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (result, PG_DIAG_MESSAGE_PRIMARY);
  g_autofree char *message = NULL;

  if (!error_proves_rollback (result))
    {
      conn->failed = TRUE;
      return;
    }
  if (step == TOU_DB_STEP_REPORT)
    return;
  if (step == TOU_DB_STEP_KEY_INSERT && g_str_equal (state, "23505"))
    {
      /* The first request with this key may have committed, so this request
         must not be reported as not run. */
      job->duplicate = TRUE;
      job->may_commit = TRUE;
      return;
    }
  message = g_strdup_printf ("%s (SQLSTATE %s)", text != NULL ? text : "error",
                             state);
  job_fail (job,
            job_is_control (job) ? TOU_E_STATEMENT_REJECTED
                                 : error_code (job, state),
            message);
}

static void
execute_on_stored_request (TouDbJob *job, const PGresult *result)
{
  if (PQntuples (result) != 1 || PQnfields (result) != 2)
    return;
  job->stored = TRUE;
  tou_str_init_c (&job->stored_fingerprint, PQgetvalue (result, 0, 0));
  tou_str_clear (&job->result);
  tou_str_init_c (&job->result, PQgetvalue (result, 0, 1));
}

void
tou_db_execute_on_result (TouDbConn *conn, TouDbStep step,
                          const PGresult *result)
{
  TouDbJob *job = conn->job;
  ExecStatusType status = PQresultStatus (result);

  if (status == PGRES_PIPELINE_ABORTED)
    return;
  if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK
      && status != PGRES_SINGLE_TUPLE)
    {
      execute_on_error (conn, step, result);
      return;
    }
  switch (step)
    {
    case TOU_DB_STEP_STATEMENT:
      tou_db_rows_add (job->rows, result);
      break;
    case TOU_DB_STEP_KEY_SELECT:
      execute_on_stored_request (job, result);
      break;
    case TOU_DB_STEP_COMMIT:
      if (strcmp (PQcmdStatus ((PGresult *)result), "COMMIT") != 0)
        job_fail (job, TOU_E_TXN_ABORTED,
                  "transaction was aborted and is rolled back");
      break;
    case TOU_DB_STEP_REPORT:
    case TOU_DB_STEP_CONTROL:
      job->reported = tou_db_report_parse (&job->report, &job->granted, result);
      break;
    default:
      break;
    }
}

/* Handles the end of the first batch of WRITE_ONCE and sends the next one.
   Returns FALSE, because the job is not finished. */
static gboolean
execute_on_write_once (TouDbConn *conn)
{
  TouDbJob *job = conn->job;

  if (job->duplicate)
    {
      tou_db_pipeline_send (conn, batch_write_once_replay);
      return FALSE;
    }
  if (!job->failed && tou_db_rows_truncated (job->rows))
    job_fail (job, TOU_E_LIMIT, "result exceeds the size limit");
  if (job->failed)
    {
      tou_db_pipeline_send (conn, batch_rollback);
      return FALSE;
    }
  tou_db_rows_format (job->rows, &job->result);
  execute_send_commit (conn, batch_write_once_commit);
  return FALSE;
}

/* Emits the stored result if the stored fingerprint matches this request. */
static void
execute_check_replay (TouDbConn *conn)
{
  TouDbJob *job = conn->job;

  job->replayed = job->stored;
  if (!job->stored)
    {
      /* The key expired between the two statements. Nothing of this request
         was committed, and the client may send it again. */
      tou_str_init_c (&job->message, "idempotency key expired");
      job_emit (conn->database, job, TOU_DB_NOT_SENT, TOU_E_TXN_LOST);
      return;
    }
  if (!tou_str_equal (&job->stored_fingerprint,
                      &job->action.u.db_execute.fingerprint))
    {
      job->replayed = FALSE;
      tou_str_init_c (&job->message, "idempotency key belongs to another"
                                     " request");
      job_emit (conn->database, job, TOU_DB_REJECTED, TOU_E_KEY_REUSED);
      return;
    }
  job_emit (conn->database, job, TOU_DB_DONE, TOU_OK);
}

/* Emits the result of an execute action after its last batch. */
static void
execute_finish (TouDbConn *conn)
{
  TouDbJob *job = conn->job;
  gboolean read = job_kind (job) == TOU_DB_READ;

  if (!job->failed && read && tou_db_rows_truncated (job->rows))
    job_fail (job, TOU_E_LIMIT, "result exceeds the size limit");
  if (job->failed)
    {
      job_emit (conn->database, job, TOU_DB_REJECTED, job->code);
      return;
    }
  if (!job->reported)
    {
      /* The core cannot confirm a result without its log position. */
      tou_str_init_c (&job->message, "database gave no report");
      job_emit (conn->database, job,
                job->may_commit ? TOU_DB_LOST : TOU_DB_NOT_SENT,
                TOU_E_CONNECTION_LOST);
      return;
    }
  if (job->duplicate)
    {
      execute_check_replay (conn);
      return;
    }
  if (job->result.data == NULL)
    tou_db_rows_format (job->rows, &job->result);
  job_emit (conn->database, job, TOU_DB_DONE, TOU_OK);
}

static gboolean
batch_is_write_once (const TouDbConn *conn)
{
  return conn->n_steps > 2 && conn->steps[1] == TOU_DB_STEP_KEY_EXPIRE;
}

/* Returns TRUE if an error before COMMIT left the batch's transaction open. */
static gboolean
batch_left_transaction_open (const TouDbConn *conn)
{
  const TouDbJob *job = conn->job;

  if (conn->steps[0] == TOU_DB_STEP_BEGIN_READ_ONLY)
    return job->failed || !job->reported;
  return job->failed && conn->steps[0] == TOU_DB_STEP_KEY_OUTCOME;
}

gboolean
tou_db_execute_on_batch_done (TouDbConn *conn)
{
  TouDbJob *job = conn->job;

  if (job_is_control (job))
    {
      tou_db_control_finish (conn);
      return TRUE;
    }
  if (batch_is_write_once (conn))
    return execute_on_write_once (conn);
  if (batch_left_transaction_open (conn))
    {
      tou_db_pipeline_send (conn, batch_rollback);
      return FALSE;
    }
  execute_finish (conn);
  return TRUE;
}
