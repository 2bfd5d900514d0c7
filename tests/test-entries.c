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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entries_of_another_writer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
