/* Guards against entries of another writer among those of the databases: they
 * may end a node, stop it from following the store, or become a database. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "control/control-fleet.h"

/* Deeper than the JSON parser descends. */
#define DEPTH 100000
#define DATABASE                                                               \
  "{\"service\":\"g\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","             \
  "\"capacity\":3,\"state\":\"ready\",\"dbRole\":\"primary\"}"

static void
test_entries_of_another_writer (void **state)
{
  ControlFleet fleet;
  char *nested = g_strnfill (DEPTH, '[');
  const char *values[] = {
    nested,
    "",
    "not json",
    "null",
    "{\"service\":\"g\",\"address\":\"10.0.0.1:65536\",\"zone\":\"a\","
    "\"capacity\":3,\"state\":\"ready\",\"dbRole\":\"primary\"}",
    "{\"service\":\"g\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
    "\"capacity\":1e300,\"state\":\"ready\",\"dbRole\":\"primary\"}",
  };

  (void)state;
  fleet_init (&fleet);
  fleet_configure (&fleet, 1);
  fleet_add (&fleet);
  assert_true (fleet_wait (&fleet, fleet_has_version, 1));
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *key = g_strdup_printf ("servers/i-%u", i);

      kv_put (fleet.kv, key, values[i]);
      g_free (key);
    }
  /* Ids that would end a line of the databases' protocol, or name nothing. */
  kv_put (fleet.kv, "servers/i\r\nQUERY - STATUS", DATABASE);
  kv_put (fleet.kv, "servers/", DATABASE);
  fleet_configure (&fleet, 2);
  assert_true (fleet_wait (&fleet, fleet_has_version, 2));
  /* A process that starts now reads them in a list. */
  fleet_add (&fleet);
  assert_true (fleet_wait (&fleet, fleet_has_version, 2));
  for (guint i = 0; i < fleet.n_nodes; i++)
    assert_int_equal (g_hash_table_size (fleet.nodes[i].proxy->endpoints), 0);
  fleet_clear (&fleet);
  g_free (nested);
}

/* Parts of a version that are not used must be counted, but once a version: a
 * node reads the version in force again with each list of the store. */
static void
test_ignored_parts_are_counted_once (void **state)
{
  static const char config[]
      = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"host\":\"a b\","
        "\"type\":\"primary\",\"service\":\"g\"}],\"services\":[],"
        "\"limits\":{\"txIdleMs\":\"x\"}}";
  static const char refused[] = "{\"version\":3,\"routes\":[],\"services\":"
                                "[{\"name\":\"g\",\"syncReplicas\":\"x\"}]}";
  ControlFleet fleet;
  const guint64 *counters;

  (void)state;
  fleet_init (&fleet);
  fleet_configure (&fleet, 1);
  counters = fleet_add (&fleet)->proxy->counters;
  assert_true (fleet_wait (&fleet, fleet_has_version, 1));
  assert_int_equal (counters[TOU_COUNT_CONFIG_IGNORED], 0);
  kv_put (fleet.kv, "op/config", config);
  assert_true (fleet_wait (&fleet, fleet_has_version, 2));
  kv_put (fleet.kv, "op/config", config);
  kv_put (fleet.kv, "op/config", refused);
  fleet_run (&fleet, TOU_US_PER_S);
  assert_true (fleet_has_version (&fleet.nodes[0], 2));
  assert_int_equal (counters[TOU_COUNT_CONFIG_IGNORED], 2);
  assert_int_equal (counters[TOU_COUNT_CONFIGS_REFUSED], 1);
  fleet_clear (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entries_of_another_writer),
    cmocka_unit_test (test_ignored_parts_are_counted_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
