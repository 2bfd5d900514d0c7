/* Guards against unnecessary or incomplete changes of primary, and promotions
 * that lose acknowledged writes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet-stubs.h"

#include <string.h>

/* Starts a fleet whose group has its first active record. */
static Fleet *
start_active (void)
{
  Fleet *fleet = fleet_create (4);

  fleet_put_group (fleet);
  assert_true (fleet_run_until_active (fleet, 0, 5000));
  /* Waits until the hold after the first promotion has ended. */
  fleet_run (fleet, 3000);
  return fleet;
}

static guint
primary_index (const Fleet *fleet)
{
  return (guint)(fleet_record (fleet).primary.data[1] - '0');
}

static void
cut_from_all_proxies (Fleet *fleet, guint db, gboolean cut)
{
  for (guint i = 0; i < fleet->n_nodes; i++)
    fleet->nodes[i].db_cut[db] = cut;
}

/* A group without a record never accepts writes. Promoting a database other
 * than the most advanced one loses data. */
static void
test_bootstrap_promotes_most_advanced (void **state)
{
  Fleet *fleet = start_active ();
  TouGroupRecord record = fleet_record (fleet);

  (void)state;
  assert_string_equal (record.primary.data, "d0");
  assert_int_equal (record.term, 2);
  assert_int_equal (record.n_history, 1);
  assert_int_equal (record.history[0].start, 100);
  assert_int_equal (fleet->n_claims, 1);
  for (guint i = 0; i < fleet->n_nodes; i++)
    {
      TouName name = tou_name (FLEET_GROUP);

      assert_int_equal (
          tou_failover_record (fleet->nodes[i].ctx.failover, &name)->term, 2);
    }
  fleet_destroy (fleet);
}

/* Without a promotion, writes stop after a crash of the primary. Unless it is
 * made a replica, the restarted database serves as a second primary. */
static void
test_crash_promotes_and_old_primary_follows (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  fleet->dbs[0].up = FALSE;
  assert_true (fleet_run_until_active (fleet, 2, 1500));
  assert_string_not_equal (fleet_record (fleet).primary.data, "d0");
  assert_int_equal (fleet_record (fleet).n_history, 2);
  fleet->dbs[0].up = TRUE;
  fleet_run (fleet, 3000);
  assert_int_equal (fleet->dbs[0].report.role, TOU_ROLE_REPLICA);
  assert_int_equal (fleet->n_claims, 2);
  fleet_destroy (fleet);
}

/* A single observer that cannot reach the primary must not replace it, not even
 * together with suspicions of an earlier term. */
static void
test_single_suspicion_causes_no_claim (void **state)
{
  Fleet *fleet = start_active ();
  FleetNode *cut = fleet_observer (fleet, 0);
  TouMessage *old = tou_message_create (TOU_MESSAGE_SUSPECT);

  (void)state;
  old->from = fleet_observer (fleet, 1)->ctx.settings.node;
  old->u.suspect.group = tou_name (FLEET_GROUP);
  old->u.suspect.term = fleet_record (fleet).term - 1;
  old->u.suspect.suspected = TRUE;
  cut->db_cut[0] = TRUE;
  for (guint i = 0; i < 100; i++)
    {
      tou_failover_on_message (cut->ctx.failover, old);
      fleet_run (fleet, 100);
    }
  tou_message_destroy (old);
  assert_int_equal (fleet->n_claims, 1);
  fleet_observer (fleet, 1)->db_cut[0] = TRUE;
  assert_true (fleet_run_until_active (fleet, 2, 1500));
  fleet_destroy (fleet);
}

/* If the reply to a claim is lost, the observer must recognise the claim as its
 * own instead of claiming again. */
static void
test_lost_claim_reply_is_resolved (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  fleet->lose_replies = 1;
  fleet->dbs[0].up = FALSE;
  assert_true (fleet_run_until_active (fleet, 2, 3000));
  assert_int_equal (fleet->n_claims, 2);
  assert_int_equal (fleet->lose_replies, 0);
  fleet_destroy (fleet);
}

/* After a lost write or a lost reply, reading back the claimed record must not
 * be taken for a successful publication. */
static void
test_lost_publish_is_resolved (void **state)
{
  (void)state;
  for (guint write_is_lost = 0; write_is_lost < 2; write_is_lost++)
    {
      Fleet *fleet = start_active ();
      guint n_claims = fleet->n_claims;

      fleet->dbs[0].up = FALSE;
      while (fleet->n_claims == n_claims)
        fleet_run (fleet, 10);
      fleet->lose_replies = 1 - write_is_lost;
      fleet->drop_writes = write_is_lost;
      assert_true (fleet_run_until_active (fleet, 2, 3000));
      fleet_run (fleet, 3000);
      assert_int_equal (fleet->lose_replies + fleet->drop_writes, 0);
      assert_int_equal (fleet->n_claims, n_claims + 1);
      assert_int_equal (fleet->dbs[primary_index (fleet)].report.role,
                        TOU_ROLE_PRIMARY);
      fleet_destroy (fleet);
    }
}

/* TRUE if a database has been promoted under the term of the record. */
static gboolean
is_promoted (const Fleet *fleet)
{
  for (guint i = 0; i < FLEET_DBS; i++)
    if (fleet->dbs[i].report.last.term == fleet_record (fleet).term)
      return TRUE;
  return FALSE;
}

/* An owner that is paused after its claim or its promotion must not overwrite
 * the record of the observer that took over with one of an older term. */
static void
test_paused_owner_cannot_publish (void **state)
{
  (void)state;
  for (guint after_promotion = 0; after_promotion < 2; after_promotion++)
    {
      Fleet *fleet = start_active ();
      FleetNode *owner;
      guint64 old_term;
      TouGroupRecord current;

      fleet->dbs[0].up = FALSE;
      while (fleet_record (fleet).state != TOU_RECORD_CLAIMED
             || (after_promotion && !is_promoted (fleet)))
        fleet_run (fleet, 10);
      current = fleet_record (fleet);
      old_term = current.term;
      owner = &fleet->nodes[current.owner.data[1] - '0'];
      owner->paused = TRUE;
      assert_true (fleet_run_until_active (fleet, old_term, 5000));
      current = fleet_record (fleet);
      owner->paused = FALSE;
      fleet_run (fleet, 5000);
      assert_int_equal (fleet_record (fleet).revision, current.revision);
      assert_true (current.term > old_term);
      assert_int_equal (fleet->dbs[primary_index (fleet)].report.last.term,
                        current.term);
      fleet_destroy (fleet);
    }
}

/* Delivers the reply to a fence of an earlier attempt to all proxies. */
static void
deliver_stale_fence_reply (Fleet *fleet, guint endpoint, guint64 term)
{
  TouDbReport report = { .role = TOU_ROLE_REPLICA, .fence_term = term };
  TouName name = tou_name (FLEET_GROUP);

  for (guint i = 0; i < fleet->n_nodes; i++)
    {
      TouContext *ctx = &fleet->nodes[i].ctx;

      tou_failover_on_report (ctx->failover,
                              tou_config_group (ctx->config, &name), endpoint,
                              TOU_DB_FENCE, TRUE, &report);
    }
}

/* Promoting without a fenced majority can leave two primaries that commit. The
 * attempt must be retried, or the group stays without a primary. */
static void
test_no_promotion_without_majority (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  fleet->dbs[0].up = FALSE;
  while (fleet_record (fleet).state != TOU_RECORD_CLAIMED)
    fleet_run (fleet, 10);
  cut_from_all_proxies (fleet, 1, TRUE);
  fleet->dbs[1].report.fence_term = 1000;
  for (guint i = 0; i < 1000; i++)
    {
      deliver_stale_fence_reply (fleet, 1, fleet_record (fleet).term - 1);
      fleet_run (fleet, 10);
    }
  assert_int_equal (fleet_record (fleet).state, TOU_RECORD_CLAIMED);
  cut_from_all_proxies (fleet, 1, FALSE);
  assert_true (fleet_run_until_active (fleet, 1000, 15000));
  fleet_destroy (fleet);
}

/* No database may be promoted while the store is down; once the store is back,
 * one must be. */
static void
test_store_outage_delays_promotion (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  fleet->store_down = TRUE;
  fleet->dbs[0].up = FALSE;
  fleet_run (fleet, 20000);
  for (guint i = 1; i < FLEET_DBS; i++)
    assert_int_equal (fleet->dbs[i].report.fence_term, 2);
  fleet->store_down = FALSE;
  assert_true (fleet_run_until_active (fleet, 2, 10000));
  fleet_destroy (fleet);
}

/* A primary that only two observers lose soon after a change must not be
 * replaced within the hold. One that all proxies lose must be replaced at
 * once. */
static void
test_hold_limits_changes_of_primary (void **state)
{
  Fleet *fleet = start_active ();
  guint primary;
  guint64 term;

  (void)state;
  fleet->dbs[0].up = FALSE;
  assert_true (fleet_run_until_active (fleet, 2, 1500));
  fleet->dbs[0].up = TRUE;
  fleet_run (fleet, 500);
  primary = primary_index (fleet);
  term = fleet_record (fleet).term;
  fleet_observer (fleet, 0)->db_cut[primary] = TRUE;
  fleet_observer (fleet, 1)->db_cut[primary] = TRUE;
  fleet_run (fleet, 2500);
  assert_int_equal (fleet_record (fleet).term, term);
  cut_from_all_proxies (fleet, primary, TRUE);
  assert_true (fleet_run_until_active (fleet, term, 1500));
  fleet_destroy (fleet);
}

/* Announces the first @a n databases as leaving, once per second. */
static void
announce_leaving (Fleet *fleet, guint n, guint seconds)
{
  TouVm vms[FLEET_DBS] = { { .name = tou_name ("d0") },
                           { .name = tou_name ("d1") },
                           { .name = tou_name ("d2") } };

  for (guint i = 0; i < n; i++)
    vms[i].state = TOU_VM_LEAVING;
  for (guint i = 0; i < seconds; i++)
    {
      tou_feed_on_vm_list (fleet->nodes[0].ctx.feed, TRUE, vms, FLEET_DBS);
      fleet_run (fleet, 1000);
    }
}

/* A leaving primary that is not replaced receives writes until it stops.
 * Promoting another leaving database would require a second change. */
static void
test_leaving_primary_is_replaced (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  announce_leaving (fleet, 2, 3);
  assert_string_equal (fleet_record (fleet).primary.data, "d2");
  assert_int_equal (fleet->n_claims, 2);
  assert_int_equal (fleet->dbs[0].report.role, TOU_ROLE_REPLICA);
  fleet_destroy (fleet);
}

/* A database that is not leaving but lags may lack acknowledged writes. It must
 * not be promoted unless the databases that are not leaving form a majority. */
static void
test_lagging_database_is_not_promoted (void **state)
{
  Fleet *fleet = start_active ();

  (void)state;
  fleet->dbs[2].report.last.position--;
  announce_leaving (fleet, 2, 5);
  assert_int_equal (fleet->n_claims, 1);
  /* The earlier announcement that d1 leaves expires after 15 s. */
  announce_leaving (fleet, 1, 20);
  assert_string_equal (fleet_record (fleet).primary.data, "d1");
  assert_int_equal (fleet->n_claims, 2);
  fleet_destroy (fleet);
}

/* A position that a promotion discarded must never be reported as covered. */
static void
test_record_history (void **state)
{
  TouGroupRecord record = { .n_history = 0 };

  (void)state;
  tou_record_add_term (&record, 2, 100);
  tou_record_add_term (&record, 5, 200);
  assert_false (tou_record_discards (&record, (TouLogPos){ 2, 200 }));
  assert_true (tou_record_discards (&record, (TouLogPos){ 2, 201 }));
  assert_true (tou_record_discards (&record, (TouLogPos){ 1, 101 }));
  assert_true (tou_record_covers (&record, (TouLogPos){ 5, 300 },
                                  (TouLogPos){ 2, 200 }));
  assert_false (tou_record_covers (&record, (TouLogPos){ 5, 300 },
                                   (TouLogPos){ 2, 201 }));
  assert_false (
      tou_record_covers (&record, (TouLogPos){ 6, 300 }, (TouLogPos){ 2, 50 }));
  assert_false (tou_record_covers (&record, (TouLogPos){ 2, 150 },
                                   (TouLogPos){ 5, 120 }));
  for (guint64 term = 6; record.history[0].term == 2; term++)
    tou_record_add_term (&record, term, 200 + term);
  assert_int_equal (record.n_history, TOU_RECORD_MAX_HISTORY);
  assert_true (tou_record_discards (&record, (TouLogPos){ 2, 1 }));
  assert_false (
      tou_record_covers (&record, (TouLogPos){ 5, 300 }, (TouLogPos){ 2, 1 }));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bootstrap_promotes_most_advanced),
    cmocka_unit_test (test_crash_promotes_and_old_primary_follows),
    cmocka_unit_test (test_single_suspicion_causes_no_claim),
    cmocka_unit_test (test_lost_claim_reply_is_resolved),
    cmocka_unit_test (test_lost_publish_is_resolved),
    cmocka_unit_test (test_paused_owner_cannot_publish),
    cmocka_unit_test (test_no_promotion_without_majority),
    cmocka_unit_test (test_store_outage_delays_promotion),
    cmocka_unit_test (test_hold_limits_changes_of_primary),
    cmocka_unit_test (test_leaving_primary_is_replaced),
    cmocka_unit_test (test_lagging_database_is_not_promoted),
    cmocka_unit_test (test_record_history),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
