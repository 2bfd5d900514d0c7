/**
 * @file database-private.h
 * Internals of the database service: connections, pipelines and jobs.
 *
 * Everything here runs on the service's thread. A connection runs one job (an
 * execute or a control operation) at a time. A job sends one or more batches,
 * each a list of steps in the libpq pipeline.
 */
#pragma once

#include "database.h"

#include <libpq-fe.h>
#include <poll.h>

#include "toucanscale/ring.h"

G_BEGIN_DECLS

/** Maximum number of steps in a batch. */
#define TOU_DB_BATCH_STEPS_MAX 8

/** Maximum number of jobs waiting on a connection; the gate normally sends one
 *  at a time. */
#define TOU_DB_JOBS_MAX 64

/** A statement sent to the database, or a sync point that ends an implicit
 *  transaction. */
typedef enum
{
  TOU_DB_STEP_BEGIN,
  TOU_DB_STEP_BEGIN_READ_ONLY,
  TOU_DB_STEP_KEY_EXPIRE,
  TOU_DB_STEP_KEY_INSERT,
  TOU_DB_STEP_STATEMENT,
  TOU_DB_STEP_KEY_OUTCOME,
  TOU_DB_STEP_KEY_SELECT,
  TOU_DB_STEP_COMMIT,
  TOU_DB_STEP_ROLLBACK,
  TOU_DB_STEP_REPORT,
  TOU_DB_STEP_CONTROL,
  TOU_DB_STEP_SYNC,
  TOU_DB_STEP_END
} TouDbStep;

/** Collects the rows of a statement as JSON, up to a size limit. */
typedef struct TouDbRows TouDbRows;

TouDbRows *tou_db_rows_create (gsize limit);
void tou_db_rows_destroy (TouDbRows *rows);

/** Adds the rows, the columns and the command tag of @a result. */
void tou_db_rows_add (TouDbRows *rows, const PGresult *result);

/** TRUE if rows were dropped because of the limit. */
gboolean tou_db_rows_truncated (const TouDbRows *rows);

/** Writes {"columns","rows","tag"}; if truncated, "rows" is empty and
 *  "truncated" is added. */
void tou_db_rows_format (const TouDbRows *rows, TouStr *out);

/**
 * Rejects statements that would end their transaction or change the state of
 * the connection, such as COMMIT or SET.
 */
int tou_db_guard_check (const TouStatement *statement);

/** An execute or control action and the results received for it. */
typedef struct
{
  TouAction action;    /**< owned; DB_EXECUTE or DB_CONTROL */
  guint64 started_us;  /**< 0: not sent */
  gboolean failed;     /**< database reported an error; rolled back */
  gboolean may_commit; /**< outcome unknown if the connection is lost */
  gboolean duplicate;  /**< idempotency key already exists */
  int code;
  TouStr message;
  TouDbRows *rows;
  TouStr result;
  gboolean stored; /**< KEY_SELECT found the key */
  TouStr stored_fingerprint;
  gboolean replayed;
  gboolean reported;
  gboolean granted;
  TouDbReport report;
} TouDbJob;

typedef struct
{
  TouDatabase *database;
  guint64 id;
  gboolean ready;
  gboolean failed; /**< to be closed by the event loop */
  PGconn *pg;
  guint slot;          /**< index in the poll set */
  guint64 deadline_us; /**< while connecting */
  GQueue waiting;      /**< TouDbJob */
  TouDbJob *job;       /**< in flight, or NULL */
  TouDbStep steps[TOU_DB_BATCH_STEPS_MAX];
  guint n_steps;
  guint current_step;
} TouDbConn;

struct TouDatabase
{
  TouDatabaseSettings settings;
  TouEventSink sink;
  TouRing *ring;
  GThread *thread;
  GHashTable *conns;  /**< id to TouDbConn */
  GArray *fds;        /**< struct pollfd; slot 0 is the ring */
  GPtrArray *by_slot; /**< TouDbConn of each slot; NULL for slot 0 */
  GQueue connecting;  /**< TouDbConn in order of their deadlines */
  GQueue outbox;      /**< TouEvent not yet accepted by the core's ring */
};

/* database.c */

/** Delivers an event now, or when the core's ring has space again. */
void tou_db_emit (TouDatabase *database, TouEvent *event);

/* database-connection.c */

void tou_db_conn_open (TouDatabase *database, const TouAction *action);

/** Handles readiness of the socket; may close and free the connection. */
void tou_db_conn_on_ready (TouDbConn *conn, short revents);

/** Queues or starts a job; takes ownership of the action. */
void tou_db_conn_submit (TouDatabase *database, TouAction *action);

/** Fails all jobs, emits DB_CLOSED and frees the connection. */
void tou_db_conn_close (TouDbConn *conn, const char *reason);

/* database-pipeline.c */

/** Sends the steps up to TOU_DB_STEP_END; on error, sets conn->failed. */
void tou_db_pipeline_send (TouDbConn *conn, const TouDbStep *steps);

/** Processes the results that libpq has received. */
void tou_db_pipeline_read (TouDbConn *conn);

/** Writes buffered output; polls for POLLOUT if some remains. */
void tou_db_pipeline_flush (TouDbConn *conn);

/* database-execute.c and database-control.c */

TouDbJob *tou_db_job_create (TouAction *action, gsize result_max);
void tou_db_job_destroy (TouDbJob *job);

/** Starts the job of @a conn. */
void tou_db_execute_start (TouDbConn *conn);

/** Handles a result of @a step. */
void tou_db_execute_on_result (TouDbConn *conn, TouDbStep step,
                               const PGresult *result);

/** Handles the end of a batch; returns TRUE if the job is finished. */
gboolean tou_db_execute_on_batch_done (TouDbConn *conn);

/**
 * Emits the result of a job whose connection is lost or did not accept it;
 * for a control operation, nothing.
 */
void tou_db_execute_fail (TouDatabase *database, TouDbJob *job);

/** Parses the row of a report; returns FALSE if it is malformed. */
gboolean tou_db_report_parse (TouDbReport *out, gboolean *granted,
                              const PGresult *result);

/** Returns the SQL of a control operation and fills @a values, an array of 4
 *  whose strings the caller frees. */
const char *tou_db_control_statement (const TouAction *action, char **values,
                                      int *n_values);

/** Emits DB_REPORT; without a report, marks the connection as failed. */
void tou_db_control_finish (TouDbConn *conn);

G_END_DECLS
