/* Guards against invalid configurations that are accepted, and operator
 * changes that are lost or reported with a wrong outcome. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "configop.h"
#include "fleet-stubs.h"

#include <string.h>

#define ENDPOINT                                                               \
  "{\"name\":\"a\",\"address\":\"10.0.0.1:5432\",\"region\":\"r\","            \
  "\"failure_domain\":\"f\"}"
#define GROUP(endpoints)                                                       \
  "{\"home_region\":\"r\",\"slots\":3,\"connection_limit\":20,"                \
  "\"endpoints\":[" endpoints "]}"

static TouConfigChange
make_change (const char *key, const char *value, guint64 revision,
             const char *reason)
{
  TouConfigChange change = { .expected_revision = revision, .time_ms = 5 };

  tou_str_init_c (&change.key, key);
  tou_str_init_c (&change.value, value);
  tou_str_init_c (&change.author, "op");
  tou_str_init_c (&change.reason, reason);
  return change;
}

static int
validate (Fleet *fleet, const char *key, const char *value, const char *reason)
{
  TouConfigChange change = make_change (key, value, 0, reason);
  int status = tou_config_validate (fleet->nodes[0].ctx.config, &change);

  tou_config_change_clear (&change);
  return status;
}

/* A mistyped or impossible setting must be rejected, not ignored. */
static void
test_invalid_groups_are_rejected (void **state)
{
  static const char *const invalid_values[]
      = { "{}",
          "[]",
          "7",
          "not json",
          "null",
          GROUP (""),
          GROUP (ENDPOINT "," ENDPOINT),
          "{\"home_region\":\"r\",\"slots\":0,\"connection_limit\":20,"
          "\"endpoints\":[" ENDPOINT "]}",
          "{\"home_region\":\"r\",\"slots\":3,\"connection_limit\":7,"
          "\"endpoints\":[" ENDPOINT "]}",
          "{\"home_region\":\"r\",\"slots\":3,\"connection_limit\":20,"
          "\"slot\":1,\"endpoints\":[" ENDPOINT "]}",
          GROUP ("{\"name\":\"a\",\"address\":\"host:1\",\"region\":\"r\","
                 "\"failure_domain\":\"f\"}"),
          GROUP ("{\"name\":\"a\",\"address\":\"[::1:1\",\"region\":\"r\","
                 "\"failure_domain\":\"f\"}") };
  Fleet *fleet = fleet_create (1);

  (void)state;
  for (gsize i = 0; i < G_N_ELEMENTS (invalid_values); i++)
    assert_int_equal (
        validate (fleet, "config/group/g", invalid_values[i], NULL),
        TOU_E_CONFIG_INVALID);
  assert_int_equal (validate (fleet, "config/group/g", GROUP (ENDPOINT), NULL),
                    TOU_OK);
  assert_int_equal (validate (fleet, "config/group/", GROUP (ENDPOINT), NULL),
                    TOU_E_CONFIG_INVALID);
  assert_int_equal (
      validate (fleet, "config/group/a b", GROUP (ENDPOINT), NULL),
      TOU_E_CONFIG_INVALID);
  assert_int_equal (validate (fleet, "record/g", "{}", NULL),
                    TOU_E_CONFIG_INVALID);
  assert_int_equal (validate (fleet, "config/default/x", "{}", NULL),
                    TOU_E_CONFIG_INVALID);
  /* Floors that add up to more than 100% cannot be guaranteed. */
  assert_int_equal (validate (fleet, "config/default/ranks",
                              "{\"review\":{\"floor_percent\":96}}", NULL),
                    TOU_E_CONFIG_INVALID);
  fleet_destroy (fleet);
}

/* An exception must have a reason, so that operators can tell why it exists,
 * and must have no effect once it is deleted. */
static void
test_exception_validation_and_removal (void **state)
{
  Fleet *fleet = fleet_create (1);
  TouName group = tou_name (FLEET_GROUP);
  TouDefaults defaults;
  const char *value = "{\"group\":\"g\",\"staleness\":{\"max_age_ms\":7}}";

  (void)state;
  fleet_put_group (fleet);
  fleet_put (fleet, "config/default/staleness",
             "{\"value\":{\"max_age_ms\":9,\"max_lag_ms\":11}}");
  fleet_put (fleet, "config/exception/e1",
             "{\"value\":{\"group\":\"g\",\"staleness\":{\"max_age_ms\":7}}}");
  fleet_run (fleet, 3000);
  assert_int_equal (validate (fleet, "config/exception/e", value, " "),
                    TOU_E_REASON_MISSING);
  assert_int_equal (validate (fleet, "config/exception/e", value, "why"),
                    TOU_OK);
  assert_int_equal (validate (fleet, "config/exception/e",
                              "{\"group\":\"x\",\"staleness\":{}}", "why"),
                    TOU_E_CONFIG_INVALID);
  tou_config_defaults (fleet->nodes[0].ctx.config, &group, &defaults);
  assert_int_equal (defaults.max_age_us, 7 * TOU_US_PER_MS);
  assert_int_equal (defaults.max_lag_us, 11 * TOU_US_PER_MS);
  fleet_put (fleet, "config/exception/e1", "{\"value\":null}");
  fleet_run (fleet, 100);
  tou_config_defaults (fleet->nodes[0].ctx.config, &group, &defaults);
  assert_int_equal (defaults.max_age_us, 9 * TOU_US_PER_MS);
  fleet_destroy (fleet);
}

/* Sends a change through the last node and returns the code of the reply. */
static int
change (Fleet *fleet, const char *key, const char *value, guint64 revision)
{
  FleetNode *node = &fleet->nodes[fleet->n_nodes - 1];
  TouConfigChange content = make_change (key, value, revision, NULL);

  node->config_code = -1;
  tou_configop_change (&node->ctx, 1, &content);
  for (guint i = 0; i < 500 && node->config_code == -1; i++)
    fleet_run (fleet, 10);
  return node->config_code;
}

/* An accepted change must take effect on every proxy. A second operator must
 * get the current value instead of overwriting it. */
static void
test_change_and_conflict (void **state)
{
  Fleet *fleet = fleet_create (4);
  FleetNode *node = &fleet->nodes[3];
  const char *key = "config/group/h";
  TouName name = tou_name ("h");
  guint64 revision;

  (void)state;
  fleet_run (fleet, 2000);
  assert_int_equal (change (fleet, key, GROUP (ENDPOINT), 0), TOU_OK);
  revision = node->config_revision;
  assert_non_null (strstr (fleet_stored (fleet, key)->value.data,
                           "\"author\":\"op\",\"reason\":\"\",\"time\":5"));
  fleet_run (fleet, 1000);
  for (guint i = 0; i < 4; i++)
    assert_non_null (tou_config_group (fleet->nodes[i].ctx.config, &name));
  assert_int_equal (change (fleet, key, GROUP (ENDPOINT), 0), TOU_E_CONFLICT);
  assert_int_equal (node->config_revision, revision);
  assert_non_null (strstr (node->config_current.data, "\"author\":\"op\""));
  /* A deleted group stays deleted until it is created again. */
  assert_int_equal (change (fleet, key, NULL, revision), TOU_OK);
  fleet_run (fleet, 1000);
  assert_null (tou_config_group (fleet->nodes[0].ctx.config, &name));
  assert_int_equal (change (fleet, key, GROUP (ENDPOINT), 0), TOU_OK);
  fleet_destroy (fleet);
}

/* A change whose reply is lost must neither be reported as failed nor be
 * written twice. A change must not be reported as accepted while the store is
 * down. */
static void
test_lost_reply_and_outage (void **state)
{
  Fleet *fleet = fleet_create (2);
  const char *key = "config/default/staleness";
  guint n_writes;

  (void)state;
  fleet_run (fleet, 2000);
  n_writes = fleet->log.count;
  fleet->lose_replies = 1;
  assert_int_equal (change (fleet, key, "{\"max_age_ms\":5}", 0), TOU_OK);
  assert_int_equal (fleet->lose_replies, 0);
  assert_int_equal (fleet->log.count, n_writes + 1);
  assert_int_equal (fleet->nodes[1].config_revision,
                    fleet_stored (fleet, key)->revision);
  fleet->store_down = TRUE;
  assert_int_equal (change (fleet, key, "{\"max_age_ms\":6}",
                            fleet_stored (fleet, key)->revision),
                    TOU_E_STORE_DOWN);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_invalid_groups_are_rejected),
    cmocka_unit_test (test_exception_validation_and_removal),
    cmocka_unit_test (test_change_and_conflict),
    cmocka_unit_test (test_lost_reply_and_outage),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
