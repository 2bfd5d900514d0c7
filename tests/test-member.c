/* Guards against proxies that disagree about the members or the placement, and
 * live members that are declared dead. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet-stubs.h"

#include <string.h>

static const TouMemberUpdate *
member_in_view (const Fleet *fleet, guint viewer, guint i)
{
  return tou_member_find (fleet->nodes[viewer].ctx.member,
                          &fleet->nodes[i].ctx.settings.node);
}

static void
assert_state_in_all_views (const Fleet *fleet, guint i, TouMemberState state)
{
  for (guint viewer = 0; viewer < fleet->n_nodes; viewer++)
    if (viewer != i && fleet->nodes[viewer].running)
      {
        assert_non_null (member_in_view (fleet, viewer, i));
        assert_int_equal (member_in_view (fleet, viewer, i)->state, state);
      }
}

/* A proxy that is not announced to its peers gets no requests as a gate. */
static void
test_join_by_seed (void **state)
{
  Fleet *fleet = fleet_create (6);

  (void)state;
  fleet_run (fleet, 3000);
  for (guint i = 0; i < 6; i++)
    {
      assert_int_equal (tou_member_count (fleet->nodes[i].ctx.member), 6);
      assert_state_in_all_views (fleet, i, TOU_MEMBER_ALIVE);
    }
  fleet_destroy (fleet);
}

/* All peers must detect a dead proxy and remove it after the retention
 * period. */
static void
test_dead_member_is_removed (void **state)
{
  Fleet *fleet = fleet_create (5);

  (void)state;
  fleet_run (fleet, 2000);
  fleet_stop_node (fleet, 3);
  fleet_run (fleet, 6000);
  for (guint i = 0; i < 5; i++)
    if (i != 3)
      assert_int_equal (
          tou_member_find (fleet->nodes[i].ctx.member, &(TouName){ 2, "n3" })
              ->state,
          TOU_MEMBER_DEAD);
  fleet_run (fleet, 620000);
  for (guint i = 0; i < 5; i++)
    if (i != 3)
      assert_int_equal (tou_member_count (fleet->nodes[i].ctx.member), 4);
  fleet_destroy (fleet);
}

/* A proxy that was only slow must refute the suspicion and remain a member. */
static void
test_suspicion_is_refuted (void **state)
{
  Fleet *fleet = fleet_create (5);
  gboolean suspected = FALSE;

  (void)state;
  fleet_run (fleet, 2000);
  fleet->nodes[2].paused = TRUE;
  for (guint i = 0; i < 100 && !suspected; i++)
    {
      fleet_run (fleet, 10);
      suspected = member_in_view (fleet, 0, 2)->state == TOU_MEMBER_SUSPECT;
    }
  assert_true (suspected);
  fleet->nodes[2].paused = FALSE;
  fleet_run (fleet, 3000);
  assert_state_in_all_views (fleet, 2, TOU_MEMBER_ALIVE);
  assert_true (member_in_view (fleet, 0, 2)->incarnation > 1);
  fleet_destroy (fleet);
}

/* A paused proxy must rejoin although its peers declared it dead. */
static void
test_paused_member_rejoins (void **state)
{
  Fleet *fleet = fleet_create (5);

  (void)state;
  fleet_run (fleet, 2000);
  fleet->nodes[2].paused = TRUE;
  fleet_run (fleet, 8000);
  assert_int_equal (member_in_view (fleet, 0, 2)->state, TOU_MEMBER_DEAD);
  fleet->nodes[2].paused = FALSE;
  fleet_run (fleet, 5000);
  for (guint i = 0; i < 5; i++)
    assert_state_in_all_views (fleet, i, TOU_MEMBER_ALIVE);
  fleet_destroy (fleet);
}

/* A resumed proxy must not suspect members whose acknowledgements it has not
 * processed yet. */
static void
test_pause_causes_no_suspicion (void **state)
{
  Fleet *fleet = fleet_create (5);

  (void)state;
  for (guint round = 0; round < 30; round++)
    {
      /* Starts the pause at a different time after a ping in each round. */
      fleet_run (fleet, 2000 + 10 * round);
      fleet->nodes[2].paused = TRUE;
      fleet_run (fleet, 350);
      fleet->nodes[2].paused = FALSE;
      fleet_run (fleet, 20);
      for (guint i = 0; i < 5; i++)
        assert_int_equal (member_in_view (fleet, 2, i)->state,
                          TOU_MEMBER_ALIVE);
    }
  fleet_destroy (fleet);
}

/* Two partitions that declared each other dead must merge within 15 s, also
 * after they have removed each other from the membership. */
static void
test_partitions_merge (void **state)
{
  static const guint durations_ms[] = { 8000, 700000 };
  Fleet *fleet = fleet_create (6);

  (void)state;
  fleet_run (fleet, 2000);
  for (gsize round = 0; round < G_N_ELEMENTS (durations_ms); round++)
    {
      for (guint i = 3; i < 6; i++)
        fleet->nodes[i].partition = 1;
      fleet_run (fleet, durations_ms[round]);
      for (guint i = 3; i < 6; i++)
        fleet->nodes[i].partition = 0;
      fleet_run (fleet, 15000);
      for (guint i = 0; i < 6; i++)
        assert_state_in_all_views (fleet, i, TOU_MEMBER_ALIVE);
    }
  fleet_destroy (fleet);
}

/* Gossip about the earlier incarnation of a proxy must not hide the restarted
 * one. */
static void
test_restart_replaces_earlier_incarnation (void **state)
{
  Fleet *fleet = fleet_create (4);
  TouMessage *stale = tou_message_create (TOU_MESSAGE_PING_ACK);

  (void)state;
  fleet_run (fleet, 2000);
  stale->from = fleet->nodes[1].ctx.settings.node;
  stale->u.ping.sequence = 999;
  stale->u.ping.n_updates = 1;
  stale->u.ping.updates[0] = *member_in_view (fleet, 0, 3);
  stale->u.ping.updates[0].state = TOU_MEMBER_DEAD;
  fleet_stop_node (fleet, 3);
  fleet_start_node (fleet, 3, 50);
  fleet_run (fleet, 3000);
  assert_state_in_all_views (fleet, 3, TOU_MEMBER_ALIVE);
  tou_member_on_message (fleet->nodes[0].ctx.member, stale);
  assert_int_equal (member_in_view (fleet, 0, 3)->state, TOU_MEMBER_ALIVE);
  assert_int_equal (member_in_view (fleet, 0, 3)->incarnation, 50);
  tou_message_destroy (stale);
  fleet_destroy (fleet);
}

/* Updates that are sent without a limit would fill every message in a large
 * fleet. */
static void
test_updates_are_sent_a_bounded_number_of_times (void **state)
{
  Fleet *fleet = fleet_create (6);

  (void)state;
  fleet_run (fleet, 20000);
  for (guint i = 0; i < 6; i++)
    fleet->nodes[i].max_updates = 0;
  fleet_run (fleet, 5000);
  /* Each message contains only the sender's own update. */
  for (guint i = 0; i < 6; i++)
    assert_int_equal (fleet->nodes[i].max_updates, 1);
  fleet_destroy (fleet);
}

/* A leaving proxy must be removed from the gate candidates without being
 * declared dead. */
static void
test_leaving_is_gossiped (void **state)
{
  Fleet *fleet = fleet_create (5);
  TouGroupConfig group
      = { .name = tou_name ("x"), .home_region = tou_name ("r1") };

  (void)state;
  fleet_run (fleet, 2000);
  tou_member_leave (fleet->nodes[1].ctx.member);
  fleet_run (fleet, 1500);
  assert_state_in_all_views (fleet, 1, TOU_MEMBER_LEAVING);
  assert_int_equal (
      tou_place_group (fleet->nodes[0].ctx.place, &group)->n_candidates, 4);
  fleet_destroy (fleet);
}

static void
place_set_state (TouMember *member, guint i, TouMemberState state,
                 guint64 incarnation)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING_ACK);
  TouMemberUpdate *update = &message->u.ping.updates[0];
  char text[16];

  message->from = tou_name ("other");
  message->u.ping.sequence = 999;
  message->u.ping.n_updates = 1;
  g_snprintf (text, sizeof text, "m%u", i);
  update->name = tou_name (text);
  update->address = update->name;
  update->region = tou_name (i % 10 == 0 ? "r1" : "r2");
  g_snprintf (text, sizeof text, "f%u", i % 3);
  update->failure_domain = tou_name (text);
  update->state = state;
  update->incarnation = incarnation;
  tou_member_on_message (member, message);
  tou_message_destroy (message);
}

/* Proxies that received the members in a different order, or updated the
 * placement incrementally, must select the same gates and observers. */
static void
test_incremental_placement_equals_rebuilt (void **state)
{
  Fleet *fleet = fleet_create (1);
  TouContext *ctx = &fleet->nodes[0].ctx;
  TouGroupConfig group
      = { .name = tou_name ("x"), .home_region = tou_name ("r1") };
  TouRandom random;

  (void)state;
  tou_random_init (&random, 7);
  for (guint round = 1; round <= 2000; round++)
    {
      guint i = (guint)tou_random_below (&random, 150);
      gboolean is_dead = tou_random_below (&random, 3) == 0;
      const TouPlacement *incremental;
      const TouPlacement *rebuilt;
      TouPlace *place;

      place_set_state (ctx->member, i,
                       is_dead ? TOU_MEMBER_DEAD : TOU_MEMBER_ALIVE, round);
      incremental = tou_place_group (ctx->place, &group);
      tou_place_create (&place, ctx);
      rebuilt = tou_place_group (place, &group);
      assert_memory_equal (incremental, rebuilt, sizeof *rebuilt);
      assert_int_equal (rebuilt->n_observers, MIN (rebuilt->n_candidates, 3));
      tou_place_destroy (place);
    }
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_join_by_seed),
    cmocka_unit_test (test_dead_member_is_removed),
    cmocka_unit_test (test_suspicion_is_refuted),
    cmocka_unit_test (test_paused_member_rejoins),
    cmocka_unit_test (test_pause_causes_no_suspicion),
    cmocka_unit_test (test_partitions_merge),
    cmocka_unit_test (test_restart_replaces_earlier_incarnation),
    cmocka_unit_test (test_updates_are_sent_a_bounded_number_of_times),
    cmocka_unit_test (test_leaving_is_gossiped),
    cmocka_unit_test (test_incremental_placement_equals_rebuilt),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
