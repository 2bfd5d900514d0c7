/* Guards against a common cause that takes effect in several steps, a group
 * whose endpoints are all withdrawn, and endpoints that get all reads back at
 * once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "routes.h"

#define N_ENDPOINTS 3

static TouRoutes *
routes_new (TouRouteInput *inputs)
{
  TouRoutes *routes;

  assert_int_equal (tou_routes_create (&routes, N_ENDPOINTS), TOU_OK);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    inputs[i] = (TouRouteInput){ .received_us = 1 };
  tou_routes_update (routes, 0, inputs, 1);
  return routes;
}

/* A cause that affects several endpoints must take effect in one version of the
 * routing table. */
static void
test_cause_is_applied_in_one_version (void **state)
{
  TouRouteInput inputs[N_ENDPOINTS];
  TouRoutes *routes = routes_new (inputs);
  guint64 version = tou_routes_table (routes)->version;

  (void)state;
  inputs[1].causes = TOU_CAUSE_LEAVING;
  inputs[2].causes = TOU_CAUSE_LEAVING;
  assert_true (tou_routes_update (routes, 0, inputs, 2));
  assert_int_equal (tou_routes_table (routes)->version, version + 1);
  assert_true (tou_routes_table (routes)->reads_on_primary);
  assert_false (tou_routes_update (routes, 0, inputs, 3));
  assert_int_equal (tou_routes_table (routes)->version, version + 1);
  tou_routes_destroy (routes);
}

/* Withdrawing every database stops the group. The least harmful cause is
 * ignored instead, but never the replacement of a primary. */
static void
test_least_harmful_cause_is_ignored (void **state)
{
  TouRouteInput inputs[N_ENDPOINTS];
  TouRoutes *routes = routes_new (inputs);

  (void)state;
  inputs[0].causes = TOU_CAUSE_REPLACED;
  inputs[1].causes = TOU_CAUSE_LAG | TOU_CAUSE_LEAVING;
  inputs[2].causes = TOU_CAUSE_LAG;
  tou_routes_update (routes, TOU_ROUTE_NO_PRIMARY, inputs, 2);
  assert_int_equal (tou_routes_table (routes)->causes[0], TOU_CAUSE_REPLACED);
  assert_int_equal (tou_routes_table (routes)->causes[1], TOU_CAUSE_LEAVING);
  assert_int_equal (tou_routes_table (routes)->causes[2], 0);
  tou_routes_destroy (routes);
}

/* A database that gets all its reads back at once may fail again under the
 * load. */
static void
test_reentry_is_checked_and_gradual (void **state)
{
  TouRouteInput inputs[N_ENDPOINTS];
  TouRoutes *routes = routes_new (inputs);

  (void)state;
  assert_int_equal (tou_routes_share (routes, 2, 1), 100);
  inputs[2].causes = TOU_CAUSE_FAILED;
  tou_routes_update (routes, 0, inputs, 2);
  inputs[2].causes = 0;
  for (guint64 i = 0; i < 3; i++)
    {
      assert_int_equal (tou_routes_share (routes, 2, 10), 0);
      inputs[2].received_us = 10 + i;
      tou_routes_update (routes, 0, inputs, 10);
      tou_routes_update (routes, 0, inputs, 10);
    }
  assert_int_equal (tou_routes_share (routes, 2, 10), 10);
  assert_int_equal (tou_routes_share (routes, 2, 10 + 2500 * TOU_US_PER_MS),
                    55);
  assert_int_equal (tou_routes_share (routes, 2, 10 + 5 * TOU_US_PER_S), 100);
  tou_routes_destroy (routes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cause_is_applied_in_one_version),
    cmocka_unit_test (test_least_harmful_cause_is_ignored),
    cmocka_unit_test (test_reentry_is_checked_and_gradual),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
