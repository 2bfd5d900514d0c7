/* Guards against wrong outcomes and log positions from the endpoint service,
 * which runs against stand-in databases. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "io/database.h"
#include "support/process.h"
#include "toucanscale/ring.h"

#include <signal.h>
#include <sys/wait.h>

#define DATABASES 3

/* Fails a test that hangs; not reached otherwise. */
#define EVENT_TIMEOUT_US (30 * TOU_US_PER_S)

typedef struct
{
  pid_t pid[DATABASES];
  int port[DATABASES];
  TouDatabase *service;
  TouRing *events;
  GQueue pending; /* TouEvent of other types skipped by take_event () */
  guint64 sequence;
} Fixture;

static void
start_database (Fixture *f, guint i)
{
  char listen[32];
  static const char program[] = TOU_BIN_DIR "/standin-database";
  const char *argv[]
      = { program,         "--listen",           listen, "--connect-ms", "1",
          "--connections", i == 2 ? "400" : "4", NULL };

  f->port[i] = tou_process_free_port ();
  g_snprintf (listen, sizeof listen, "127.0.0.1:%d", f->port[i]);
  f->pid[i] = tou_process_start (argv);
  assert_true (f->pid[i] > 0);
  assert_true (tou_process_wait_ready (f->pid[i], f->port[i]));
}

static int
on_event (gpointer user_data, TouEvent *event)
{
  return tou_ring_push (user_data, 0, event);
}

static int
setup (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);
  TouDatabaseSettings settings = { .user = "proxy",
                                   .database = "records",
                                   .client_name = "vm1",
                                   .connect_timeout_us = 10 * TOU_US_PER_S,
                                   .ring_capacity = 1024,
                                   .result_max = 4096 };

  for (guint i = 0; i < DATABASES; i++)
    start_database (f, i);
  /* Small, so that the service has to queue events while the ring is full. */
  assert_int_equal (tou_ring_create (&f->events, 1, 2, sizeof (TouEvent)),
                    TOU_OK);
  *state = f;
  return tou_database_create (&f->service, &settings,
                              (TouEventSink){ on_event, f->events });
}

static int
teardown (void **state)
{
  Fixture *f = *state;
  TouEvent event;
  TouEvent *pending;

  for (guint i = 0; i < DATABASES; i++)
    tou_process_stop (&f->pid[i]);
  tou_database_destroy (f->service);
  while (tou_ring_pop (f->events, &event))
    tou_event_clear (&event);
  tou_ring_destroy (f->events);
  while ((pending = g_queue_pop_head (&f->pending)) != NULL)
    {
      tou_event_clear (pending);
      g_free (pending);
    }
  g_free (f);
  return 0;
}

/* Returns the next event of @a type and queues those of other types. The caller
   clears it. */
static TouEvent
take_event (Fixture *f, TouEventType type)
{
  for (guint i = 0;; i++)
    {
      TouEvent *found = g_queue_peek_nth (&f->pending, i);
      TouEvent event;

      if (found == NULL)
        {
          assert_true (tou_ring_wait (f->events, &event, EVENT_TIMEOUT_US));
          found = g_memdup2 (&event, sizeof event);
          g_queue_push_tail (&f->pending, found);
        }
      if (found->type != type)
        continue;
      event = *found;
      g_free (g_queue_pop_nth (&f->pending, i));
      return event;
    }
}

static void
open_conn (Fixture *f, guint64 conn, guint database, guint64 term)
{
  TouAction action = { .type = TOU_ACTION_DB_OPEN };
  char address[32];

  g_snprintf (address, sizeof address, "127.0.0.1:%d", f->port[database]);
  action.u.db_open.conn = conn;
  action.u.db_open.address = tou_name (address);
  action.u.db_open.control = term == 0;
  action.u.db_open.term = term;
  assert_int_equal (tou_database_submit (f->service, &action), TOU_OK);
}

static guint64
take_closed (Fixture *f)
{
  TouEvent event = take_event (f, TOU_EVENT_DB_CLOSED);
  guint64 conn = event.u.db_closed.conn;

  tou_event_clear (&event);
  return conn;
}

static void
expect_closed (Fixture *f, guint64 conn, gboolean refused)
{
  TouEvent event = take_event (f, TOU_EVENT_DB_CLOSED);

  assert_int_equal (event.u.db_closed.conn, conn);
  assert_int_equal (event.u.db_closed.refused, refused);
  tou_event_clear (&event);
}

static void
open_and_wait (Fixture *f, guint64 conn, guint database, guint64 term)
{
  TouEvent event;

  open_conn (f, conn, database, term);
  event = take_event (f, TOU_EVENT_DB_OPENED);
  assert_int_equal (event.u.db_opened.conn, conn);
}

/* Submits a statement; @a key is "key fingerprint" or NULL. */
static void
submit (Fixture *f, guint64 conn, TouDbExecuteKind kind, const char *sql,
        const char *key)
{
  TouAction action = { .type = TOU_ACTION_DB_EXECUTE };
  g_auto (GStrv) parts = g_strsplit (key != NULL ? key : "", " ", 2);

  action.u.db_execute.conn = conn;
  action.u.db_execute.sequence = ++f->sequence;
  action.u.db_execute.kind = kind;
  tou_str_init_c (&action.u.db_execute.statement.sql, sql);
  if (key != NULL)
    {
      tou_str_init_c (&action.u.db_execute.idempotency_key, parts[0]);
      tou_str_init_c (&action.u.db_execute.fingerprint, parts[1]);
      action.u.db_execute.key_ttl_us = 3600 * TOU_US_PER_S;
    }
  assert_int_equal (tou_database_submit (f->service, &action), TOU_OK);
}

/* Checks the next result and returns its position. */
static TouLogPos
expect_result (Fixture *f, TouDbOutcome outcome, int code, const char *result)
{
  TouEvent event = take_event (f, TOU_EVENT_DB_RESULT);
  TouLogPos pos = event.u.db_result.pos;

  assert_int_equal (event.u.db_result.sequence, f->sequence);
  assert_int_equal (event.u.db_result.outcome, outcome);
  assert_int_equal (event.u.db_result.code, code);
  if (result != NULL)
    assert_string_equal (event.u.db_result.result.data, result);
  tou_event_clear (&event);
  return pos;
}

static TouLogPos
run (Fixture *f, guint64 conn, TouDbExecuteKind kind, const char *sql,
     const char *result)
{
  submit (f, conn, kind, sql, NULL);
  return expect_result (f, TOU_DB_DONE, TOU_OK, result);
}

/* Runs a control operation on a control connection. */
static TouDbReport
control (Fixture *f, guint64 conn, TouDbControlOp op, guint64 term,
         guint primary, guint64 start, gboolean granted)
{
  TouAction action = { .type = TOU_ACTION_DB_CONTROL };
  char address[32];
  TouEvent event;

  g_snprintf (address, sizeof address, "127.0.0.1:%d", f->port[primary]);
  action.u.db_control.conn = conn;
  action.u.db_control.sequence = ++f->sequence;
  action.u.db_control.op = op;
  action.u.db_control.term = term;
  action.u.db_control.primary_address = tou_name (address);
  action.u.db_control.start = start;
  tou_str_printf (&action.u.db_control.attempt, "attempt-%" G_GUINT64_FORMAT,
                  term);
  assert_int_equal (tou_database_submit (f->service, &action), TOU_OK);
  event = take_event (f, TOU_EVENT_DB_REPORT);
  assert_int_equal (event.u.db_report.sequence, f->sequence);
  assert_int_equal (event.u.db_report.granted, granted);
  return event.u.db_report.report;
}

/* Makes the database with control connection @a conn the primary of @a term. */
static TouDbReport
promote (Fixture *f, guint64 conn, guint64 term)
{
  control (f, conn, TOU_DB_FENCE, term, 0, 0, TRUE);
  return control (f, conn, TOU_DB_PROMOTE, term, 0, 0, TRUE);
}

/* Polls until the database's last log record has position @a pos. */
static TouDbReport
wait_pos (Fixture *f, guint64 conn, TouLogPos pos)
{
  TouDbReport report;

  do
    report = control (f, conn, TOU_DB_REPORT, 0, 0, 0, TRUE);
  while (tou_log_pos_compare (report.last, pos) != 0);
  return report;
}

#define SELECT_A "SELECT body FROM record WHERE id = 'a'"
#define INSERT_A "INSERT INTO record (id, body) VALUES ('a', '1')"

/* Opens control connection 1 and work connection 2 to a primary of term 1. */
static void
open_primary (Fixture *f)
{
  open_and_wait (f, 1, 0, 0);
  assert_int_equal (promote (f, 1, 1).role, TOU_ROLE_PRIMARY);
  open_and_wait (f, 2, 0, 1);
}

static void
expect_rejected (Fixture *f, TouDbExecuteKind kind, const char *sql, int code)
{
  submit (f, 2, kind, sql, NULL);
  expect_result (f, TOU_DB_REJECTED, code, NULL);
}

/* The gate cannot confirm a result without its log position. */
static void
test_write_and_read_report_position (void **state)
{
  Fixture *f = *state;
  TouLogPos pos;

  open_primary (f);
  pos = run (f, 2, TOU_DB_WRITE, INSERT_A,
             "{\"columns\":[],\"rows\":[],\"tag\":\"INSERT 0 1\"}");
  assert_int_equal (pos.term, 1);
  assert_int_equal (pos.position, 2);
  pos = run (f, 2, TOU_DB_READ, SELECT_A,
             "{\"columns\":[\"body\"],\"rows\":[[\"1\"]],"
             "\"tag\":\"SELECT 1\"}");
  assert_int_equal (pos.position, 2);
}

/* A statement that the database refuses must not be reported as executed. */
static void
test_refused_statement_is_reported_as_rejected (void **state)
{
  Fixture *f = *state;
  g_autofree char *big = g_strnfill (5000, 'x');
  g_autofree char *insert
      = g_strdup_printf ("INSERT INTO record VALUES ('big', '%s')", big);

  open_primary (f);
  run (f, 2, TOU_DB_WRITE, INSERT_A, NULL);
  expect_rejected (f, TOU_DB_WRITE, INSERT_A, TOU_E_STATEMENT_REJECTED);
  expect_rejected (f, TOU_DB_READ, "DELETE FROM record WHERE id = 'a'",
                   TOU_E_STATEMENT_REJECTED);
  expect_rejected (f, TOU_DB_WRITE, "VACUUM", TOU_E_STATEMENT_REJECTED);
  expect_rejected (f, TOU_DB_WRITE,
                   "; /* x /* y */ */ -- z\n SET toucanscale.term = 9",
                   TOU_E_STATEMENT_REJECTED);
  run (f, 2, TOU_DB_WRITE, insert, NULL);
  expect_rejected (f, TOU_DB_READ, "SELECT id, body FROM record", TOU_E_LIMIT);
  run (f, 2, TOU_DB_READ, SELECT_A, NULL);
  open_and_wait (f, 3, 0, 9);
  submit (f, 3, TOU_DB_WRITE, "DELETE FROM record WHERE id = 'a'", NULL);
  expect_result (f, TOU_DB_REJECTED, TOU_E_NOT_PRIMARY, NULL);
}

/* A retried write must not be executed twice, and its stored result must not be
   returned for another request with the same key. */
static void
test_idempotency_key_replays_the_result (void **state)
{
  Fixture *f = *state;
  static const char done[]
      = "{\"columns\":[],\"rows\":[],\"tag\":\"INSERT 0 1\"}";
  TouEvent event;

  open_primary (f);
  submit (f, 2, TOU_DB_WRITE_ONCE, INSERT_A, "k1 f1");
  expect_result (f, TOU_DB_DONE, TOU_OK, done);
  submit (f, 2, TOU_DB_WRITE_ONCE, INSERT_A, "k1 f1");
  event = take_event (f, TOU_EVENT_DB_RESULT);
  assert_int_equal (event.u.db_result.outcome, TOU_DB_DONE);
  assert_true (event.u.db_result.replayed);
  assert_int_equal (event.u.db_result.pos.position, 2);
  assert_string_equal (event.u.db_result.result.data, done);
  tou_event_clear (&event);
  submit (f, 2, TOU_DB_WRITE_ONCE, "DELETE FROM record WHERE id = 'a'",
          "k1 f2");
  expect_result (f, TOU_DB_REJECTED, TOU_E_KEY_REUSED, NULL);
  /* A rejected statement does not use up its key. */
  submit (f, 2, TOU_DB_WRITE_ONCE, INSERT_A, "k2 f1");
  expect_result (f, TOU_DB_REJECTED, TOU_E_STATEMENT_REJECTED, NULL);
  submit (f, 2, TOU_DB_WRITE_ONCE, "DELETE FROM record WHERE id = 'a'",
          "k2 f2");
  expect_result (f, TOU_DB_DONE, TOU_OK, NULL);
}

/* Of two concurrent requests with the same key, only one must be executed. */
static void
test_concurrent_writes_with_one_key_run_once (void **state)
{
  Fixture *f = *state;
  guint replayed = 0;

  open_primary (f);
  open_and_wait (f, 3, 0, 1);
  open_and_wait (f, 4, 0, 1);
  run (f, 3, TOU_DB_BEGIN, NULL, NULL);
  run (f, 3, TOU_DB_TXN_STATEMENT, INSERT_A, NULL);
  submit (f, 2, TOU_DB_WRITE_ONCE, INSERT_A, "k f");
  submit (f, 4, TOU_DB_WRITE_ONCE, INSERT_A, "k f");
  submit (f, 3, TOU_DB_ROLLBACK, NULL, NULL);
  for (guint i = 0; i < 3; i++)
    {
      TouEvent event = take_event (f, TOU_EVENT_DB_RESULT);

      assert_int_equal (event.u.db_result.outcome, TOU_DB_DONE);
      replayed += event.u.db_result.replayed;
      tou_event_clear (&event);
    }
  assert_int_equal (replayed, 1);
  assert_int_equal (run (f, 2, TOU_DB_READ, SELECT_A, NULL).position, 2);
}

/* Uncommitted writes must not be visible to other connections, and an aborted
   transaction must not be committed. */
static void
test_transaction_is_isolated_and_atomic (void **state)
{
  Fixture *f = *state;

  open_primary (f);
  open_and_wait (f, 3, 0, 1);
  run (f, 2, TOU_DB_BEGIN, NULL, NULL);
  run (f, 2, TOU_DB_TXN_STATEMENT, INSERT_A, NULL);
  run (f, 3, TOU_DB_READ, "SELECT count(*) FROM record",
       "{\"columns\":[\"count\"],\"rows\":[[\"0\"]],"
       "\"tag\":\"SELECT 1\"}");
  expect_rejected (f, TOU_DB_TXN_STATEMENT, "COMMIT", TOU_E_STATEMENT_REJECTED);
  assert_int_equal (run (f, 2, TOU_DB_COMMIT, NULL, NULL).position, 2);
  run (f, 2, TOU_DB_BEGIN, NULL, NULL);
  run (f, 2, TOU_DB_TXN_STATEMENT, "DELETE FROM record WHERE id = 'a'", NULL);
  expect_rejected (f, TOU_DB_TXN_STATEMENT, "VACUUM", TOU_E_STATEMENT_REJECTED);
  expect_rejected (f, TOU_DB_TXN_STATEMENT, SELECT_A, TOU_E_TXN_ABORTED);
  expect_rejected (f, TOU_DB_COMMIT, NULL, TOU_E_TXN_ABORTED);
  assert_int_equal (run (f, 2, TOU_DB_READ, SELECT_A, NULL).position, 2);
  /* A fence set between statement and commit must make the commit fail. */
  run (f, 2, TOU_DB_BEGIN, NULL, NULL);
  run (f, 2, TOU_DB_TXN_STATEMENT, "DELETE FROM record WHERE id = 'a'", NULL);
  control (f, 1, TOU_DB_FENCE, 2, 0, 0, TRUE);
  expect_rejected (f, TOU_DB_COMMIT, NULL, TOU_E_NOT_PRIMARY);
}

/* The pool backs off only if a refusal at the connection limit is reported
   differently from other connection failures. */
static void
test_connection_limit_is_reported_as_refusal (void **state)
{
  Fixture *f = *state;

  for (guint64 conn = 1; conn <= 4; conn++)
    open_and_wait (f, conn, 0, 0);
  open_conn (f, 5, 0, 0);
  expect_closed (f, 5, TRUE);
  tou_process_stop (&f->pid[1]);
  open_conn (f, 6, 1, 0);
  expect_closed (f, 6, FALSE);
}

static void
close_conn (Fixture *f, guint64 conn)
{
  TouAction action = { .type = TOU_ACTION_DB_CLOSE };

  action.u.db_close.conn = conn;
  assert_int_equal (tou_database_submit (f->service, &action), TOU_OK);
}

/* Closes connection 2 while a statement is in progress on a suspended database,
   checks the outcome and opens the connection again. */
static void
lose_connection (Fixture *f, TouDbExecuteKind kind, const char *key,
                 TouDbOutcome outcome)
{
  kill (f->pid[0], SIGSTOP);
  assert_int_equal (waitpid (f->pid[0], NULL, WUNTRACED), f->pid[0]);
  submit (f, 2, kind, kind == TOU_DB_COMMIT ? NULL : SELECT_A, key);
  close_conn (f, 2);
  expect_result (f, outcome, TOU_E_CONNECTION_LOST, NULL);
  expect_closed (f, 2, FALSE);
  kill (f->pid[0], SIGCONT);
  open_and_wait (f, 2, 0, 1);
}

/* If a write that may have been committed were reported as not run, a retry
   would execute it twice. */
static void
test_outcomes_of_lost_connections (void **state)
{
  Fixture *f = *state;

  open_primary (f);
  lose_connection (f, TOU_DB_READ, NULL, TOU_DB_NOT_SENT);
  lose_connection (f, TOU_DB_WRITE, NULL, TOU_DB_LOST);
  lose_connection (f, TOU_DB_WRITE_ONCE, "k f", TOU_DB_NOT_SENT);
  run (f, 2, TOU_DB_BEGIN, NULL, NULL);
  lose_connection (f, TOU_DB_TXN_STATEMENT, NULL, TOU_DB_NOT_SENT);
  run (f, 2, TOU_DB_BEGIN, NULL, NULL);
  lose_connection (f, TOU_DB_COMMIT, NULL, TOU_DB_LOST);
  tou_process_stop (&f->pid[0]);
  assert_int_equal (take_closed (f) + take_closed (f), 1 + 2);
  submit (f, 2, TOU_DB_WRITE, INSERT_A, NULL);
  expect_result (f, TOU_DB_NOT_SENT, TOU_E_CONNECTION_LOST, NULL);
}

/* A connection mapped to the slot of another would receive the other's
   results. */
static void
test_results_of_many_connections_are_not_mixed (void **state)
{
  Fixture *f = *state;
  enum
  {
    CONNECTIONS = 300
  };

  for (guint64 conn = 1; conn <= CONNECTIONS; conn++)
    open_conn (f, conn, 2, 1);
  for (guint64 conn = 1; conn <= CONNECTIONS; conn++)
    take_event (f, TOU_EVENT_DB_OPENED);
  for (guint64 conn = CONNECTIONS; conn > 0; conn--)
    run (f, conn, TOU_DB_READ, SELECT_A,
         "{\"columns\":[\"body\"],\"rows\":[],\"tag\":\"SELECT 0\"}");
  close_conn (f, 1);
  assert_int_equal (take_closed (f), 1);
  run (f, CONNECTIONS, TOU_DB_READ, SELECT_A, NULL);
  tou_process_stop (&f->pid[2]);
  for (guint64 conn = 2; conn <= CONNECTIONS; conn++)
    take_closed (f);
}

/* Writes that exist only on a replaced primary must be discarded when it
   becomes a replica. */
static void
test_diverged_primary_is_truncated (void **state)
{
  Fixture *f = *state;
  TouDbReport report;

  for (guint i = 0; i < DATABASES; i++)
    open_and_wait (f, i + 1, i, 0);
  promote (f, 1, 1);
  control (f, 2, TOU_DB_FOLLOW, 1, 0, 0, TRUE);
  control (f, 3, TOU_DB_FOLLOW, 1, 0, 0, TRUE);
  open_and_wait (f, 10, 0, 1);
  run (f, 10, TOU_DB_WRITE, INSERT_A, NULL);
  wait_pos (f, 2, (TouLogPos){ 1, 2 });
  wait_pos (f, 3, (TouLogPos){ 1, 2 });

  /* Databases 1 and 2 are promoted for terms 2 and 3 while database 0 continues
     to accept writes. */
  report = promote (f, 2, 2);
  assert_int_equal (report.term_start, 2);
  run (f, 10, TOU_DB_WRITE, "UPDATE record SET body = 'x' WHERE id = 'a'",
       NULL);
  run (f, 10, TOU_DB_WRITE, "INSERT INTO record VALUES ('b', 'x')", NULL);
  run (f, 10, TOU_DB_WRITE, "INSERT INTO record VALUES ('c', 'x')", NULL);
  control (f, 3, TOU_DB_FOLLOW, 2, 1, 2, TRUE);
  wait_pos (f, 3, (TouLogPos){ 2, 3 });
  report = promote (f, 3, 3);
  assert_int_equal (report.term_start, 3);
  control (f, 2, TOU_DB_FOLLOW, 3, 2, 3, TRUE);

  control (f, 1, TOU_DB_FENCE, 3, 0, 0, TRUE);
  submit (f, 10, TOU_DB_WRITE, "INSERT INTO record VALUES ('d', 'x')", NULL);
  expect_result (f, TOU_DB_REJECTED, TOU_E_NOT_PRIMARY, NULL);
  control (f, 1, TOU_DB_FOLLOW, 3, 2, 3, TRUE);
  report = wait_pos (f, 1, (TouLogPos){ 3, 4 });
  assert_int_equal (report.role, TOU_ROLE_REPLICA);
  expect_closed (f, 10, FALSE);
  open_and_wait (f, 11, 0, 3);
  run (f, 11, TOU_DB_READ, "SELECT id, body FROM record ORDER BY id",
       "{\"columns\":[\"id\",\"body\"],\"rows\":[[\"a\",\"1\"]],"
       "\"tag\":\"SELECT 1\"}");
  control (f, 2, TOU_DB_FENCE, 2, 0, 0, FALSE);
}

/*
 * Database 1 writes three log records in term 2 that are not replicated to
 * database 0. Database 0 writes @a kept more in term 1 and is then promoted for
 * term 3; database 1 must discard its records of term 2.
 */
static void
discard_unreplicated_term (Fixture *f, guint64 kept)
{
  g_autofree char *rows
      = g_strdup_printf ("{\"columns\":[\"id\",\"body\"],\"rows\":[[\"a\","
                         "\"%s\"]],\"tag\":\"SELECT 1\"}",
                         kept > 0 ? "kept" : "1");

  open_primary (f);
  open_and_wait (f, 3, 1, 0);
  control (f, 3, TOU_DB_FOLLOW, 1, 0, 0, TRUE);
  run (f, 2, TOU_DB_WRITE, INSERT_A, NULL);
  wait_pos (f, 3, (TouLogPos){ 1, 2 });
  promote (f, 3, 2);
  open_and_wait (f, 4, 1, 2);
  run (f, 4, TOU_DB_WRITE, "INSERT INTO record VALUES ('b', 'lost')", NULL);
  run (f, 4, TOU_DB_WRITE, "INSERT INTO record VALUES ('c', 'lost')", NULL);
  for (guint64 i = 0; i < kept; i++)
    run (f, 2, TOU_DB_WRITE, "UPDATE record SET body = 'kept' WHERE id = 'a'",
         NULL);
  assert_int_equal (promote (f, 1, 3).term_start, 2 + kept);
  control (f, 3, TOU_DB_FOLLOW, 3, 0, 2 + kept, TRUE);
  wait_pos (f, 3, (TouLogPos){ 3, 3 + kept });
  open_and_wait (f, 5, 1, 3);
  run (f, 5, TOU_DB_READ, "SELECT id, body FROM record", rows);
}

/* The logs diverge at the first record of the new primary's term. */
static void
test_unreplicated_term_is_discarded (void **state)
{
  discard_unreplicated_term (*state, 0);
}

/* The logs diverge at a position below the start of the new primary's term. */
static void
test_unreplicated_term_below_start_is_discarded (void **state)
{
  discard_unreplicated_term (*state, 3);
}

int
main (void)
{
#define DATABASE_TEST(test)                                                    \
  cmocka_unit_test_setup_teardown (test, setup, teardown)
  const struct CMUnitTest tests[] = {
    DATABASE_TEST (test_write_and_read_report_position),
    DATABASE_TEST (test_refused_statement_is_reported_as_rejected),
    DATABASE_TEST (test_idempotency_key_replays_the_result),
    DATABASE_TEST (test_concurrent_writes_with_one_key_run_once),
    DATABASE_TEST (test_transaction_is_isolated_and_atomic),
    DATABASE_TEST (test_connection_limit_is_reported_as_refusal),
    DATABASE_TEST (test_outcomes_of_lost_connections),
    DATABASE_TEST (test_results_of_many_connections_are_not_mixed),
    DATABASE_TEST (test_diverged_primary_is_truncated),
    DATABASE_TEST (test_unreplicated_term_is_discarded),
    DATABASE_TEST (test_unreplicated_term_below_start_is_discarded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
