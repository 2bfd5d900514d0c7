/* Guards against entries that proxies miss or apply out of order, and proxies
 * that become ready or end their drain too early. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "drain.h"
#include "fleet-stubs.h"

#include <string.h>

#define KEY "config/default/staleness"
#define OLD_VALUE "{\"value\":{\"max_age_ms\":1}}"
#define NEW_VALUE "{\"value\":{\"max_age_ms\":2}}"
#define TOMBSTONE "{\"value\":null}"

static gboolean front_idle;

gboolean
tou_front_is_idle (const TouFront *front)
{
  (void)front;
  return front_idle;
}

gboolean
tou_gate_is_idle (const TouGate *gate)
{
  (void)gate;
  return TRUE;
}

static void
send_entry (FleetNode *node, const char *value, guint64 revision)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_ENTRIES);

  message->from = tou_name ("other");
  message->u.entries.from = revision - 1;
  message->u.entries.to = revision;
  tou_entry_list_add (&message->u.entries.entries, KEY, strlen (KEY), value,
                      strlen (value), revision);
  tou_feed_on_message (node->ctx.feed, message);
  tou_message_destroy (message);
}

/* A delayed message must not restore an older value or a deleted entry. */
static void
test_older_revisions_are_ignored (void **state)
{
  Fleet *fleet = fleet_create (1);
  FleetNode *node = &fleet->nodes[0];

  (void)state;
  send_entry (node, NEW_VALUE, 9);
  send_entry (node, OLD_VALUE, 8);
  assert_string_equal (tou_feed_find (node->ctx.feed, KEY)->value.data,
                       NEW_VALUE);
  send_entry (node, TOMBSTONE, 12);
  send_entry (node, NEW_VALUE, 9);
  send_entry (node, OLD_VALUE, 11);
  assert_string_equal (tou_feed_find (node->ctx.feed, KEY)->value.data,
                       TOMBSTONE);
  assert_int_equal (node->ctx.counters.values[TOU_COUNTER_ENTRIES_STALE], 3);
  /* Revisions before 8 are missing, so no revision is complete. */
  assert_int_equal (tou_feed_revision (node->ctx.feed), 0);
  fleet_destroy (fleet);
}

/* A change must reach every proxy, while only the watchers call the store. */
static void
test_changes_reach_all (void **state)
{
  Fleet *fleet = fleet_create (8);
  guint n_watching = 0;
  guint64 revision;

  (void)state;
  fleet_run (fleet, 3000);
  revision = fleet_put (fleet, KEY, NEW_VALUE);
  fleet_run (fleet, 1000);
  for (guint i = 0; i < 8; i++)
    {
      assert_true (tou_feed_is_current (fleet->nodes[i].ctx.feed));
      assert_true (tou_feed_revision (fleet->nodes[i].ctx.feed) >= revision);
      assert_non_null (tou_feed_find (fleet->nodes[i].ctx.feed, KEY));
      if (fleet->nodes[i].watch_id != 0)
        n_watching++;
      else
        assert_int_equal (
            fleet->nodes[i].ctx.counters.values[TOU_COUNTER_STORE_CALLS], 0);
    }
  assert_int_equal (n_watching, 2);
  fleet_destroy (fleet);
}

/* A proxy that starts while the store is down must not become ready before it
 * has the entries of its peers, and never without any configuration. */
static void
test_readiness (void **state)
{
  Fleet *fleet = fleet_create (4);

  (void)state;
  fleet->store_down = TRUE;
  fleet_run (fleet, 5000);
  for (guint i = 0; i < 4; i++)
    assert_false (tou_feed_is_current (fleet->nodes[i].ctx.feed));
  fleet->store_down = FALSE;
  fleet_put (fleet, KEY, NEW_VALUE);
  fleet_run (fleet, 10000);
  fleet->store_down = TRUE;
  fleet_stop_node (fleet, 3);
  fleet_start_node (fleet, 3, 2);
  assert_false (tou_feed_is_current (fleet->nodes[3].ctx.feed));
  for (guint i = 0; i < 300; i++)
    {
      fleet_run (fleet, 10);
      if (tou_feed_is_current (fleet->nodes[3].ctx.feed))
        break;
    }
  assert_true (tou_feed_is_current (fleet->nodes[3].ctx.feed));
  assert_non_null (tou_feed_find (fleet->nodes[3].ctx.feed, KEY));
  fleet_destroy (fleet);
}

/* Messages above 64 KB are rejected, so an unsplit reply would never reach the
 * requester. A chunk that claims too large a range makes it skip entries. */
static void
test_large_replies_are_split (void **state)
{
  Fleet *fleet = fleet_create (2);
  FleetNode *node = &fleet->nodes[0];
  TouMessage *request = tou_message_create (TOU_MESSAGE_ENTRIES_REQUEST);
  char *filler = g_strnfill (3000, 'x');
  guint64 complete = 0;
  guint n_entries = 0;

  (void)state;
  for (guint i = 0; i < 100; i++)
    {
      char key[32];
      char *value
          = g_strdup_printf ("{\"value\":null,\"reason\":\"%s\"}", filler);

      g_snprintf (key, sizeof key, "config/exception/e%u", i);
      fleet_put (fleet, key, value);
      g_free (value);
    }
  fleet_run (fleet, 3000);
  request->from = fleet->nodes[1].ctx.settings.node;
  tou_feed_on_message (node->ctx.feed, request);
  for (guint i = 0; i < node->actions.count; i++)
    {
      const TouEntries *entries
          = &node->actions.items[i].u.send.message->u.entries;
      gsize bytes = 0;

      assert_int_equal (entries->from, complete);
      for (guint j = 0; j < entries->entries.count; j++)
        {
          assert_true (entries->entries.items[j].revision > entries->from);
          assert_true (entries->entries.items[j].revision <= entries->to);
          bytes += entries->entries.items[j].value.len;
        }
      assert_true (bytes > 0 && bytes < 65536);
      complete = entries->to;
      n_entries += entries->entries.count;
    }
  assert_int_equal (n_entries, 100);
  assert_int_equal (complete, tou_feed_revision (node->ctx.feed));
  tou_message_destroy (request);
  g_free (filler);
  fleet_destroy (fleet);
}

/* An entry that proxies forward more than once circulates endlessly. */
static void
test_entries_are_forwarded_once (void **state)
{
  Fleet *fleet = fleet_create (8);
  guint n_sent;

  (void)state;
  fleet_run (fleet, 5000);
  fleet_put (fleet, KEY, NEW_VALUE);
  fleet_run (fleet, 1000);
  for (guint i = 0; i < 8; i++)
    fleet->nodes[i].n_entries_sent = 0;
  fleet_put (fleet, KEY, OLD_VALUE);
  fleet_run (fleet, 2000);
  n_sent = 0;
  for (guint i = 0; i < 8; i++)
    n_sent += fleet->nodes[i].n_entries_sent;
  /* Each proxy forwards to four peers and answers at most one request of a
   * lagging peer. */
  assert_true (n_sent <= 8 * 4 + 8);
  fleet_destroy (fleet);
}

/* After a compaction the watch cannot continue. Changes are lost unless the
 * range is read again. */
static void
test_compacted_watch_reads_range (void **state)
{
  Fleet *fleet = fleet_create (1);
  FleetNode *node = &fleet->nodes[0];
  TouStoreResult lost = { .op = TOU_STORE_WATCH, .status = TOU_STORE_UNKNOWN };

  (void)state;
  fleet_run (fleet, 2000);
  lost.id = node->watch_id;
  assert_true (lost.id != 0);
  node->watch_id = 0;
  fleet_put (fleet, KEY, NEW_VALUE);
  fleet->compacted_revision = fleet->revision;
  assert_true (tou_feed_on_store (node->ctx.feed, &lost));
  fleet_run (fleet, 1000);
  assert_non_null (tou_feed_find (node->ctx.feed, KEY));
  assert_true (node->watch_id != 0 && node->watch_id != lost.id);
  fleet_destroy (fleet);
}

static void
receive_peer_revision (FleetNode *node, const char *from, guint64 revision)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING_ACK);

  message->from = tou_name (from);
  message->u.ping.sequence = 999;
  message->u.ping.feed_revision = revision;
  message->u.ping.n_updates = 1;
  message->u.ping.updates[0].name = message->from;
  message->u.ping.updates[0].address = message->from;
  tou_member_on_message (node->ctx.member, message);
  tou_feed_on_message (node->ctx.feed, message);
  tou_message_destroy (message);
}

/* A proxy that becomes ready before it has the revision of its peers may serve
 * with a setting that was changed before it started. */
static void
test_not_ready_until_peer_revision (void **state)
{
  Fleet *fleet = fleet_create (1);
  FleetNode *node = &fleet->nodes[0];

  (void)state;
  fleet->store_down = TRUE;
  receive_peer_revision (node, "p1", 2);
  receive_peer_revision (node, "p2", 1);
  send_entry (node, OLD_VALUE, 1);
  fleet_run (fleet, 1000);
  assert_int_equal (tou_feed_revision (node->ctx.feed), 1);
  assert_false (tou_feed_is_current (node->ctx.feed));
  send_entry (node, NEW_VALUE, 2);
  fleet_run (fleet, 10);
  assert_true (tou_feed_is_current (node->ctx.feed));
  fleet_destroy (fleet);
}

/* A proxy that does not receive the announcement continues to send work to the
 * leaving endpoint. */
static void
test_leaving_is_relayed (void **state)
{
  Fleet *fleet = fleet_create (8);
  TouVm vms[2] = { { .name = tou_name ("d0"), .state = TOU_VM_LEAVING },
                   { .name = tou_name ("n5"), .state = TOU_VM_LEAVING } };
  TouName leaving = tou_name ("n5");

  (void)state;
  fleet_run (fleet, 3000);
  tou_feed_on_vm_list (fleet->nodes[0].ctx.feed, TRUE, vms, 2);
  fleet_run (fleet, 100);
  for (guint i = 0; i < 8; i++)
    {
      assert_int_equal (fleet->nodes[i].n_leaving_calls, 1);
      assert_int_equal (
          tou_member_find (fleet->nodes[i].ctx.member, &leaving)->state,
          TOU_MEMBER_LEAVING);
    }
  /* Later polls repeat the message without another withdrawal. */
  for (guint poll = 0; poll < 6; poll++)
    {
      tou_feed_on_vm_list (fleet->nodes[0].ctx.feed, TRUE, vms, 2);
      fleet_run (fleet, 500);
    }
  for (guint i = 0; i < 8; i++)
    assert_int_equal (fleet->nodes[i].n_leaving_calls, 1);
  fleet_destroy (fleet);
}

/* A drain that rejects requests too early fails requests that the load balancer
 * still sends; one that ends too early interrupts requests in flight. */
static void
test_drain (void **state)
{
  Fleet *fleet = fleet_create (1);
  TouContext *ctx = &fleet->nodes[0].ctx;
  TouDrain *drain;

  (void)state;
  front_idle = FALSE;
  ctx->now_us = fleet->now_us;
  tou_drain_create (&drain, ctx);
  tou_drain_start (drain);
  tou_drain_start (drain);
  assert_int_equal (ctx->actions->items[0].type, TOU_ACTION_READY);
  assert_false (ctx->actions->items[0].u.ready.ready);
  assert_false (tou_drain_refuses_requests (drain));
  tou_action_list_reset (ctx->actions);
  ctx->now_us += ctx->settings.drain_delay_us;
  tou_drain_on_tick (drain);
  assert_true (tou_drain_refuses_requests (drain));
  assert_int_equal (ctx->actions->count, 0);
  front_idle = TRUE;
  tou_drain_on_tick (drain);
  tou_drain_on_tick (drain);
  assert_int_equal (ctx->actions->count, 1);
  assert_int_equal (ctx->actions->items[0].type, TOU_ACTION_DRAINED);
  tou_drain_destroy (drain);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_older_revisions_are_ignored),
    cmocka_unit_test (test_changes_reach_all),
    cmocka_unit_test (test_readiness),
    cmocka_unit_test (test_not_ready_until_peer_revision),
    cmocka_unit_test (test_large_replies_are_split),
    cmocka_unit_test (test_entries_are_forwarded_once),
    cmocka_unit_test (test_compacted_watch_reads_range),
    cmocka_unit_test (test_leaving_is_relayed),
    cmocka_unit_test (test_drain),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
