/* Guards against acknowledged commits that are lost with synchronous replicas:
 * a leader that does not know of a replica that has received them, because its
 * registration expired, and selects among the others. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "control/control-fleet.h"

#include "control-private.h"

#include <string.h>

#define NODES 3
#define LOGS_KEY "tou/logs/g"
#define STARTED_MS 1000
#define WAIT_US (20 * TOU_US_PER_S)

static gboolean
fleet_has_log (const FleetNode *node, guint64 number)
{
  char *id = g_strdup_printf ("\"db%" G_GUINT64_FORMAT "\"", number);
  char *value = kv_get (node->kv, LOGS_KEY);
  gboolean found = value != NULL && strstr (value, id) != NULL;

  g_free (value);
  g_free (id);
  return found;
}

/* Starts nodes, and databases of which db1 is the primary. */
static void
fleet_start (ControlFleet *fleet)
{
  fleet_init (fleet);
  fleet_configure_group (fleet, 1);
  for (guint i = 0; i < NODES; i++)
    fleet_add (fleet);
  assert_true (fleet_wait (fleet, fleet_has_mark, 0));
  fleet_put_record (fleet, 1);
  fleet_register (fleet, "db1", "primary", STARTED_MS);
  fleet_register (fleet, "db2", "replica", STARTED_MS);
  assert_true (fleet_wait (fleet, fleet_has_log, 2));
}

static void
node_fill_view (const FleetNode *node, TouHandoverView *view)
{
  TouName name = tou_name ("g");

  memset (view, 0, sizeof *view);
  view->record.primary = tou_name ("db1");
  tou_control_fill_logs (
      tou_control_group (node->control, tou_group_get (node->proxy, &name)),
      view, tou_clock_us ());
}

static gboolean
fleet_counts_absent (const FleetNode *node, guint64 number)
{
  TouHandoverView view;

  node_fill_view (node, &view);
  return view.n_absent == number;
}

static gboolean
fleet_counts_ended (const FleetNode *node, guint64 number)
{
  TouHandoverView view;

  node_fill_view (node, &view);
  return view.n_ended == number;
}

/* The nodes that have started since never saw the registration. */
static void
test_new_leader_knows_expired_replica (void **state)
{
  ControlFleet fleet;

  (void)state;
  fleet_start (&fleet);
  kv_remove (fleet.kv, "servers/db2");
  for (guint i = 0; i < NODES; i++)
    fleet_kill (&fleet, i);
  for (guint i = 0; i < NODES; i++)
    fleet_add (&fleet);
  assert_true (fleet_wait (&fleet, fleet_has_leader, 0));
  assert_true (fleet_wait (&fleet, fleet_counts_absent, 1));
  /* It may return for some time. */
  assert_true (
      fleet_run_without (&fleet, 2 * TOU_US_PER_S, fleet_counts_ended, 1));
  assert_true (fleet_wait (&fleet, fleet_counts_ended, 1));
  /* Nothing shows that another replica has its commits. */
  assert_true (fleet_has_log (&fleet.nodes[NODES], 2));
  fleet_clear (&fleet);
}

/* The time in which it may return does not pass while the store is away. */
static void
test_outage_extends_time_to_return (void **state)
{
  ControlFleet fleet;
  guint64 removed_us;
  guint64 back_us;

  (void)state;
  fleet_start (&fleet);
  kv_remove (fleet.kv, "servers/db2");
  removed_us = tou_clock_us ();
  fleet_run_without (&fleet, TOU_US_PER_S, fleet_counts_ended, 1);
  for (guint i = 0; i < NODES; i++)
    fleet_cut (&fleet, i, TRUE);
  fleet_run_without (&fleet, 4 * TOU_US_PER_S, fleet_counts_ended, 1);
  for (guint i = 0; i < NODES; i++)
    fleet_cut (&fleet, i, FALSE);
  back_us = tou_clock_us ();
  assert_true (fleet_run_without (
      &fleet, removed_us + 9 * TOU_US_PER_S - back_us, fleet_counts_ended, 1));
  assert_true (fleet_wait (&fleet, fleet_counts_ended, 1));
  fleet_clear (&fleet);
}

/* The restored store lacks a log that was added since the copy. */
static void
test_restored_set_is_completed (void **state)
{
  ControlFleet fleet;
  guint64 end_us;

  (void)state;
  fleet_start (&fleet);
  kv_backup (fleet.kv);
  fleet_register (&fleet, "db3", "replica", STARTED_MS);
  assert_true (fleet_wait (&fleet, fleet_has_log, 3));
  kv_remove (fleet.kv, "servers/db3");
  kv_restore (fleet.kv);
  kv_remove (fleet.kv, "servers/db3");
  end_us = tou_clock_us () + WAIT_US;
  assert_false (fleet_has_log (&fleet.nodes[0], 3));
  while (!fleet_has_log (&fleet.nodes[0], 3) && tou_clock_us () < end_us)
    uv_run (&fleet.loop, UV_RUN_ONCE);
  assert_true (fleet_has_log (&fleet.nodes[0], 3));
  fleet_clear (&fleet);
}

/* Guards against an empty database that counts for the log it had before: it
   answers, but without the commits that were acknowledged because of it. */
static void
test_new_incarnation_has_another_log (void **state)
{
  ControlFleet fleet;

  (void)state;
  fleet_start (&fleet);
  fleet_register (&fleet, "db2", "replica", STARTED_MS + 1);
  /* The test's view has no endpoints, so the new log counts as absent as well.
   */
  assert_true (fleet_wait (&fleet, fleet_counts_absent, 2));
  assert_true (fleet_wait (&fleet, fleet_counts_ended, 1));
  fleet_clear (&fleet);
}

/* Guards against a leader whose writes fail for ever, as it does not know the
   revision of a set that it cannot read. */
static void
test_unreadable_set_is_replaced (void **state)
{
  ControlFleet fleet;

  (void)state;
  fleet_start (&fleet);
  kv_put (fleet.kv, LOGS_KEY, "[");
  assert_true (fleet_wait (&fleet, fleet_has_log, 1));
  assert_true (fleet_wait (&fleet, fleet_has_log, 2));
  fleet_clear (&fleet);
}

/* All nodes have the status of a database, as after a request. */
static void
fleet_set_status (ControlFleet *fleet, const char *id, TouRole role,
                  guint64 position)
{
  TouName name = tou_name (id);

  for (guint i = 0; i < fleet->n_nodes; i++)
    {
      TouEndpoint *endpoint
          = g_hash_table_lookup (fleet->nodes[i].proxy->endpoints, &name);

      endpoint->status.role = role;
      endpoint->status.term = 1;
      endpoint->status.received = (TouLogPos){ 1, position };
      endpoint->status_us = tou_clock_us ();
    }
}

static gboolean
fleet_lacks_log (const FleetNode *node, guint64 number)
{
  return !fleet_has_log (node, number);
}

/* Guards against a log that is removed while it is the only one, beside the
   primary's, with an acknowledged commit, and against a group that waits for it
   when others have its commits. */
static void
test_log_is_removed_when_superseded (void **state)
{
  ControlFleet fleet;

  (void)state;
  fleet_start (&fleet);
  fleet_register (&fleet, "db3", "replica", STARTED_MS);
  assert_true (fleet_wait (&fleet, fleet_has_log, 3));
  kv_remove (fleet.kv, "servers/db2");
  fleet_run_without (&fleet, TOU_US_PER_S, fleet_lacks_log, 2);
  fleet_set_status (&fleet, "db1", TOU_ROLE_PRIMARY, 50);
  fleet_set_status (&fleet, "db3", TOU_ROLE_REPLICA, 49);
  assert_true (
      fleet_run_without (&fleet, 9 * TOU_US_PER_S, fleet_lacks_log, 2));
  fleet_set_status (&fleet, "db3", TOU_ROLE_REPLICA, 50);
  assert_true (fleet_wait (&fleet, fleet_lacks_log, 2));
  assert_true (fleet_has_log (&fleet.nodes[0], 3));
  fleet_clear (&fleet);
}

/* Guards against a log that is removed by what a former leader found out: since
   then its database has returned, received commits, and is missing again. */
static void
test_check_ends_with_leadership (void **state)
{
  ControlFleet fleet;
  TouName group = tou_name ("g");
  TouLog log = { tou_name ("db2"), STARTED_MS };

  (void)state;
  fleet_start (&fleet);
  kv_remove (fleet.kv, "servers/db2");
  for (guint i = 0; i < NODES; i++)
    {
      TouControl *control = fleet.nodes[i].control;
      const ControlLogs *logs
          = &tou_control_group (control,
                                tou_group_get (fleet.nodes[i].proxy, &group))
                 ->logs;

      if (control->is_leader)
        continue;
      tou_log_set_add (logs->superseded, &log);
      fleet_run_without (&fleet, TOU_US_PER_S / 2, fleet_lacks_log, 2);
      assert_false (control->is_leader);
      assert_int_equal (tou_log_set_size (logs->superseded), 0);
    }
  fleet_clear (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_leader_knows_expired_replica),
    cmocka_unit_test (test_outage_extends_time_to_return),
    cmocka_unit_test (test_restored_set_is_completed),
    cmocka_unit_test (test_new_incarnation_has_another_log),
    cmocka_unit_test (test_unreadable_set_is_replaced),
    cmocka_unit_test (test_log_is_removed_when_superseded),
    cmocka_unit_test (test_check_ends_with_leadership),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
