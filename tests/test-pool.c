/* Guards against pools that exceed the connection limit, keep connections of
 * an earlier term, or retry too often or not at all. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "pool.h"

#include <string.h>

static struct
{
  TouContext ctx;
  TouActionList actions;
  GHashTable *conns;
  TouPool *pool;
} fixture;

guint64
tou_context_next_id (TouContext *ctx)
{
  return ++ctx->next_id;
}

static void
pool_configure (guint64 term, gboolean is_primary)
{
  const TouPoolConfig config = { .connection_limit = 20,
                                 .gate_candidates = 8,
                                 .slots = 3,
                                 .term = term,
                                 .is_primary = is_primary };

  tou_pool_configure (fixture.pool, &config);
}

static int
fixture_setup (void **state)
{
  const TouEndpoint endpoint = { 0 };

  (void)state;
  memset (&fixture, 0, sizeof fixture);
  tou_random_init (&fixture.ctx.random, 1);
  fixture.ctx.actions = &fixture.actions;
  fixture.ctx.now_us = TOU_US_PER_S;
  fixture.conns = g_hash_table_new (g_int64_hash, g_int64_equal);
  tou_pool_create (&fixture.pool, &fixture.ctx, fixture.conns, &endpoint, NULL);
  pool_configure (1, TRUE);
  return 0;
}

static int
fixture_teardown (void **state)
{
  (void)state;
  tou_pool_destroy (fixture.pool);
  g_hash_table_destroy (fixture.conns);
  tou_action_list_clear (&fixture.actions);
  return 0;
}

/* Returns any connection in that state, or NULL. */
static TouConn *
pool_conn (TouConnState state)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fixture.conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((TouConn *)value)->state == state)
      return value;
  return NULL;
}

static void
pool_open_all (void)
{
  TouConn *conn;

  while ((conn = pool_conn (TOU_CONN_OPENING)) != NULL)
    tou_pool_on_opened (fixture.pool, conn);
}

static void
pool_observe (guint work_clients)
{
  TouDbState state = { .reported = TRUE, .requested_us = fixture.ctx.now_us };

  state.report.work_clients = work_clients;
  tou_pool_observe (fixture.pool, &state);
  tou_pool_on_tick (fixture.pool);
  pool_open_all ();
}

/* Eight candidates that each act as the gate must stay within the limit of 20
 * connections, including control connections: 6 for a single gate, 2 for each
 * of the others. */
static void
test_cap_depends_on_other_proxies (void **state)
{
  (void)state;
  assert_int_equal (tou_pool_count (fixture.pool), 1);
  pool_open_all ();
  tou_pool_on_tick (fixture.pool);
  assert_int_equal (tou_pool_count (fixture.pool), 1);
  pool_observe (1);
  assert_int_equal (tou_pool_cap (fixture.pool), 5);
  assert_int_equal (tou_pool_count (fixture.pool), 4);
  pool_observe (2);
  assert_int_equal (tou_pool_cap (fixture.pool), 1);
  assert_int_equal (tou_pool_count (fixture.pool), 1);
}

/* A report requested before the first connection was open does not include a
 * connection that another proxy opened at the same time. */
static void
test_early_report_does_not_raise_cap (void **state)
{
  TouDbState report = { .reported = TRUE };

  (void)state;
  report.requested_us = fixture.ctx.now_us;
  fixture.ctx.now_us++;
  pool_open_all ();
  tou_pool_observe (fixture.pool, &report);
  assert_int_equal (tou_pool_cap (fixture.pool), 1);
}

/* Connections of an earlier term must be replaced, because the database rejects
 * writes on them. */
static void
test_new_term_replaces_connections (void **state)
{
  TouConn *busy;

  (void)state;
  pool_open_all ();
  pool_observe (1);
  busy = tou_pool_acquire (fixture.pool);
  pool_configure (2, TRUE);
  pool_open_all ();
  assert_int_equal (busy->term, 1);
  tou_pool_release (fixture.pool, busy);
  for (TouConn *conn; (conn = tou_pool_acquire (fixture.pool)) != NULL;)
    assert_int_equal (conn->term, 2);
}

/* Connections lost together must increase the back-off only once: counting five
 * losses kept a primary without connections for more than a second. */
static void
test_simultaneous_losses_back_off_once (void **state)
{
  TouConn *conn;

  (void)state;
  pool_open_all ();
  pool_observe (1);
  while ((conn = pool_conn (TOU_CONN_IDLE)) != NULL)
    tou_pool_on_closed (fixture.pool, conn, FALSE);
  tou_pool_on_tick (fixture.pool);
  assert_int_equal (tou_pool_count (fixture.pool), 0);
  fixture.ctx.now_us += 100 * TOU_US_PER_MS;
  tou_pool_on_tick (fixture.pool);
  assert_int_equal (tou_pool_count (fixture.pool), 1);
}

/* An attempt to connect during a partition must be abandoned and repeated, or
 * the database has no connections until a long timeout expires. */
static void
test_stalled_connect_is_retried (void **state)
{
  guint64 stalled_id = pool_conn (TOU_CONN_OPENING)->id;

  (void)state;
  fixture.ctx.now_us += 200 * TOU_US_PER_MS;
  tou_pool_on_tick (fixture.pool);
  assert_int_equal (tou_pool_count (fixture.pool), 0);
  fixture.ctx.now_us += 100 * TOU_US_PER_MS;
  tou_pool_on_tick (fixture.pool);
  assert_int_not_equal (pool_conn (TOU_CONN_OPENING)->id, stalled_id);
}

int
main (void)
{
#define POOL_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, fixture_setup, fixture_teardown)
  const struct CMUnitTest tests[] = {
    POOL_TEST (test_cap_depends_on_other_proxies),
    POOL_TEST (test_early_report_does_not_raise_cap),
    POOL_TEST (test_new_term_replaces_connections),
    POOL_TEST (test_stalled_connect_is_retried),
    POOL_TEST (test_simultaneous_losses_back_off_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
