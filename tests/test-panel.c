/* Guards against control traffic that grows with the square of the nodes, and
 * against a panel that proves outdated records: many nodes, which
 * all need proofs several times a second. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support/heartbeat-fleet.h"

/* Nodes outside the panel; members are the nodes from 0 on. */
#define OUTSIDE TOU_PANEL_SIZE
/* Heartbeats of one node in a second, at an interval of 400 ms. */
#define MAX_SENT_PER_S ((guint64)TOU_PANEL_SIZE * 3)

static void
fleet_start (HbFleet *fleet)
{
  hbfleet_init (fleet);
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    hbfleet_add (fleet);
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    {
      hbfleet_adopt (fleet, i, 5);
      hbfleet_adopt_panel (fleet, i, 3, 0);
    }
  assert_true (hbfleet_wait_valid (fleet, 5));
}

static gboolean
fleet_finds_alive (const HbFleet *fleet, guint at, guint node)
{
  GArray *nodes = tou_peers_nodes (fleet->peers[at], tou_clock_us ());
  gboolean alive = FALSE;

  for (guint i = 0; i < nodes->len; i++)
    {
      const TouGatewayNode *found = &g_array_index (nodes, TouGatewayNode, i);

      if (tou_name_equal (&found->node, &fleet->proxies[node]->settings.node))
        alive = found->alive;
    }
  g_array_unref (nodes);
  return alive;
}

/* A node outside the panel sends to its members only, however many nodes there
   are. */
static void
test_heartbeats_do_not_grow_with_nodes (void **state)
{
  HbFleet fleet;
  guint64 sent;

  (void)state;
  fleet_start (&fleet);
  hbfleet_run (&fleet, TOU_US_PER_S);
  sent = fleet.proxies[OUTSIDE]->counters[TOU_COUNT_PEER_SENT];
  hbfleet_run (&fleet, TOU_US_PER_S);
  sent = fleet.proxies[OUTSIDE]->counters[TOU_COUNT_PEER_SENT] - sent;
  assert_true (sent > 0);
  assert_true (sent <= MAX_SENT_PER_S);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_clear (&fleet);
}

/* A record that only one member has reaches all nodes. */
static void
test_record_spreads_through_panel (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  hbfleet_adopt (&fleet, 1, 9);
  assert_true (hbfleet_wait_valid (&fleet, 9));
  hbfleet_clear (&fleet);
}

/* Two members that still answer are no majority: the others may have another
   record by now. */
static void
test_minority_of_panel_proves_nothing (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = 0; i < 3; i++)
    hbfleet_stop (&fleet, i);
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  for (guint i = 3; i < FLEET_MAX_NODES; i++)
    assert_false (hbfleet_is_valid (&fleet, i, 5));
  hbfleet_clear (&fleet);
}

/* Three members and all other nodes are enough. */
static void
test_majority_of_panel_is_enough (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = 0; i < 2; i++)
    hbfleet_stop (&fleet, i);
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_clear (&fleet);
}

/* A member that has not read the store for long, and does not hear all nodes,
   may be cut off together with the others: its records prove nothing. */
static void
test_isolated_panel_proves_nothing (void **state)
{
  HbFleet fleet;
  guint64 old_us;

  (void)state;
  fleet_start (&fleet);
  old_us = tou_clock_us () - TOU_AUTHORITY_STORE_TIMEOUT_US - TOU_US_PER_S;
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    fleet.proxies[i]->store_followed_us = old_us;
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  /* All nodes answer, so an outage of the store alone ends nothing. */
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_stop (&fleet, FLEET_MAX_NODES - 1);
  hbfleet_run (&fleet, 2 * TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  assert_false (hbfleet_is_valid (&fleet, OUTSIDE, 5));
  hbfleet_clear (&fleet);
}

/* Nodes learn of a new panel from its predecessor's members, and use it. */
static void
test_panel_is_replaced (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = OUTSIDE; i < 2 * OUTSIDE; i++)
    fleet.proxies[i]->records_revision = 7;
  hbfleet_adopt_panel (&fleet, 2, 7, OUTSIDE);
  hbfleet_run (&fleet, TOU_US_PER_S);
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    assert_int_equal (fleet.proxies[i]->panel.revision, 7);
  for (guint i = 0; i < TOU_PANEL_SIZE; i++)
    hbfleet_stop (&fleet, i);
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_clear (&fleet);
}

/* Members that have not read the store since their panel was written may lack a
   record that is older than it, and that its predecessor had. */
static void
test_outdated_panel_proves_nothing (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    {
      hbfleet_adopt_panel (&fleet, i, 7, OUTSIDE);
      fleet.proxies[i]->records_revision = 3;
    }
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  assert_int_equal (fleet.proxies[OUTSIDE]->panel.revision, 7);
  assert_false (hbfleet_is_valid (&fleet, 2, 5));
  assert_false (hbfleet_is_valid (&fleet, FLEET_MAX_NODES - 1, 5));
  hbfleet_clear (&fleet);
}

/* If the store fails right after a panel was written, only its writer has it.
   The other nodes must not lose the proofs of its predecessor to it. */
static void
test_unknown_panel_does_not_spread (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  hbfleet_adopt_panel (&fleet, 2, 7, OUTSIDE);
  /* The writer's watch has not returned the panel either. */
  fleet.proxies[2]->records_revision = 3;
  hbfleet_run (&fleet, TOU_AUTHORITY_VALID_US + TOU_US_PER_S);
  assert_int_equal (fleet.proxies[OUTSIDE]->panel.revision, 3);
  assert_false (hbfleet_is_valid (&fleet, 2, 5));
  assert_true (hbfleet_is_valid (&fleet, FLEET_MAX_NODES - 1, 5));
  hbfleet_clear (&fleet);
}

/* If one node has read the store since, the members learn from it that they
   have all records, and no node is without a proof meanwhile. */
static void
test_panel_spreads_from_one_node (void **state)
{
  HbFleet fleet;
  guint64 end_us;

  (void)state;
  fleet_start (&fleet);
  hbfleet_adopt_panel (&fleet, 2, 7, OUTSIDE);
  end_us = tou_clock_us () + 2 * TOU_AUTHORITY_VALID_US;
  while (tou_clock_us () < end_us)
    {
      hbfleet_run (&fleet, 10 * TOU_US_PER_MS);
      for (guint i = 0; i < FLEET_MAX_NODES; i++)
        assert_true (hbfleet_is_valid (&fleet, i, 5));
    }
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    assert_int_equal (fleet.proxies[i]->panel.revision, 7);
  hbfleet_clear (&fleet);
}

/* Guards against members that take their records for the store's although they
   lack one: another record is as recent as the panel. */
static void
test_outdated_records_stay_outdated (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = 0; i < TOU_PANEL_SIZE; i++)
    hbfleet_stop (&fleet, i);
  for (guint i = OUTSIDE; i < FLEET_MAX_NODES; i++)
    hbfleet_adopt_panel (&fleet, i, 7, OUTSIDE);
  for (guint i = OUTSIDE + 1; i < FLEET_MAX_NODES; i++)
    fleet.proxies[i]->records_revision = 3;
  hbfleet_adopt (&fleet, OUTSIDE, 6);
  hbfleet_run (&fleet, 20 * TOU_US_PER_MS);
  for (guint i = OUTSIDE + 1; i < FLEET_MAX_NODES; i++)
    assert_true (fleet.proxies[i]->records_revision == 3
                 || !hbfleet_is_valid (&fleet, i, 5));
  assert_true (hbfleet_wait_valid (&fleet, 6));
  assert_int_equal (fleet.proxies[OUTSIDE + 1]->records_revision, 7);
  hbfleet_clear (&fleet);
}

/* Makes a node read the panel that follows the one of the nodes from 0 on. */
static void
fleet_adopt_joint (HbFleet *fleet, guint node)
{
  TouPanel panel = fleet->proxies[node]->panel;

  panel.revision = 9;
  panel.joint = TRUE;
  panel.n_previous = TOU_PANEL_SIZE;
  for (guint i = 0; i < TOU_PANEL_SIZE; i++)
    {
      panel.previous[i] = fleet->proxies[i]->settings.node;
      panel.members[i] = fleet->proxies[i + 3]->settings.node;
    }
  tou_peers_adopt_panel (fleet->peers[node], &panel);
}

/* Guards against a leader that goes on without a former panel whose members
   still vouch for it to each other: they do so for an hour if they hear all
   nodes that they know, and they may not know one that has started since. */
static void
test_former_panel_expires (void **state)
{
  HbFleet fleet;
  const guint old = 6;
  const guint newcomer = 8;
  guint64 now_us;

  (void)state;
  hbfleet_init (&fleet);
  for (guint i = 0; i < newcomer; i++)
    hbfleet_add (&fleet);
  for (guint i = 0; i < newcomer; i++)
    {
      hbfleet_adopt (&fleet, i, 5);
      hbfleet_adopt_panel (&fleet, i, 3, 0);
    }
  assert_true (hbfleet_wait_valid (&fleet, 5));
  for (guint i = 0; i < 3; i++)
    hbfleet_stop (&fleet, i);
  hbfleet_add (&fleet);
  fleet_adopt_joint (&fleet, old);
  fleet_adopt_joint (&fleet, newcomer);
  now_us = tou_clock_us ();
  assert_false (tou_peers_previous_expired (fleet.peers[old],
                                            now_us + 65 * TOU_US_PER_S));
  assert_true (tou_peers_previous_expired (fleet.peers[old],
                                           now_us + 67 * TOU_US_PER_S));
  assert_false (tou_peers_previous_expired (fleet.peers[newcomer],
                                            now_us + 3600 * TOU_US_PER_S));
  assert_true (tou_peers_previous_expired (fleet.peers[newcomer],
                                           now_us + 3607 * TOU_US_PER_S));
  hbfleet_clear (&fleet);
}

/* The same for members that answer, but do not get the new panel. */
static void
test_former_panel_that_answers_stays (void **state)
{
  HbFleet fleet;
  guint64 now_us;

  (void)state;
  fleet_start (&fleet);
  now_us = tou_clock_us ();
  fleet.proxies[OUTSIDE]->leader = fleet.proxies[OUTSIDE]->settings.node;
  fleet_adopt_joint (&fleet, OUTSIDE);
  hbfleet_run (&fleet, TOU_US_PER_S);
  assert_false (tou_peers_previous_expired (fleet.peers[OUTSIDE],
                                            now_us + 66 * TOU_US_PER_S));
  hbfleet_clear (&fleet);
}

/* Guards against a change of primary that takes all registered nodes for all
   that can have a proof: members that have not read that a node was removed
   still answer it. */
static void
test_removed_node_is_answered (void **state)
{
  HbFleet fleet;
  TouPeers *leader;

  (void)state;
  fleet_start (&fleet);
  leader = fleet.peers[0];
  assert_true (tou_peers_ignore_removed (leader));
  fleet.proxies[0]->store_revision = 30;
  fleet.proxies[1]->store_revision = 30;
  tou_peers_remove (leader, &fleet.proxies[OUTSIDE]->settings.node, 30);
  hbfleet_run (&fleet, TOU_US_PER_S);
  assert_true (hbfleet_is_valid (&fleet, OUTSIDE, 5));
  assert_false (tou_peers_ignore_removed (leader));
  fleet.proxies[2]->store_revision = 30;
  hbfleet_run (&fleet, TOU_US_PER_S);
  assert_true (tou_peers_ignore_removed (leader));
  hbfleet_clear (&fleet);
}

/* Each node would ask each primary for its position; instead, one member's
   answer reaches all, and is never taken for newer than it is. */
static void
test_position_is_shared (void **state)
{
  HbFleet fleet;
  TouLogPos pos = { 1, 20 };
  guint64 sent_us;

  (void)state;
  fleet_start (&fleet);
  sent_us = tou_clock_us ();
  tou_freshness_add (hbfleet_group (&fleet, 1)->freshness, sent_us, pos);
  hbfleet_run (&fleet, 1500 * TOU_US_PER_MS);
  for (guint i = 0; i < FLEET_MAX_NODES; i++)
    {
      const TouFreshness *freshness = hbfleet_group (&fleet, i)->freshness;

      assert_true (tou_freshness_required (freshness, 1, &pos));
      assert_int_equal (pos.position, 20);
      assert_true (tou_freshness_newest_us (freshness) <= sent_us);
    }
  hbfleet_clear (&fleet);
}

/* Nodes outside the panel do not hear each other, so its members report which
   nodes are silent. */
static void
test_silent_node_is_reported (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  assert_true (fleet_finds_alive (&fleet, OUTSIDE, FLEET_MAX_NODES - 1));
  hbfleet_stop (&fleet, FLEET_MAX_NODES - 1);
  hbfleet_run (&fleet, 3 * TOU_US_PER_S);
  for (guint i = 0; i < FLEET_MAX_NODES - 1; i++)
    {
      assert_false (fleet_finds_alive (&fleet, i, FLEET_MAX_NODES - 1));
      assert_true (fleet_finds_alive (&fleet, i, (i + 1) % OUTSIDE));
    }
  hbfleet_clear (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_heartbeats_do_not_grow_with_nodes),
          cmocka_unit_test (test_record_spreads_through_panel),
          cmocka_unit_test (test_minority_of_panel_proves_nothing),
          cmocka_unit_test (test_majority_of_panel_is_enough),
          cmocka_unit_test (test_isolated_panel_proves_nothing),
          cmocka_unit_test (test_panel_is_replaced),
          cmocka_unit_test (test_outdated_panel_proves_nothing),
          cmocka_unit_test (test_unknown_panel_does_not_spread),
          cmocka_unit_test (test_panel_spreads_from_one_node),
          cmocka_unit_test (test_outdated_records_stay_outdated),
          cmocka_unit_test (test_former_panel_expires),
          cmocka_unit_test (test_former_panel_that_answers_stays),
          cmocka_unit_test (test_removed_node_is_answered),
          cmocka_unit_test (test_position_is_shared),
          cmocka_unit_test (test_silent_node_is_reported) };

  return cmocka_run_group_tests_name ("panel", tests, NULL, NULL);
}
