/* Guards against a node that does not receive a newer record, also if it joins
 * later, and heartbeats with only revisions that do not prove the records. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "peers.h"

#include <string.h>

#define MAX_NODES 3
/* Interval of the nodes' ticks, and timeout of a wait. */
#define TICK_US (10 * TOU_US_PER_MS)
#define WAIT_US (20 * TOU_US_PER_S)
/* Maximum bytes of a heartbeat without the record of its group: the sender's
   name, numbers of up to 9 bytes, and the group's name, revision and flags. */
#define BRIEF_BYTES 70

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timer;
  guint n_nodes;
  guint64 revision; /* of the last registration */
  TouProxy *proxies[MAX_NODES];
  TouPeers *peers[MAX_NODES];
} Fleet;

static void
fleet_on_timer (uv_timer_t *timer)
{
  Fleet *fleet = timer->data;

  for (guint i = 0; i < fleet->n_nodes; i++)
    tou_peers_tick (fleet->peers[i], tou_clock_us ());
}

static TouGroup *
fleet_group (const Fleet *fleet, guint node)
{
  TouName name = tou_name ("g");

  return tou_group_get (fleet->proxies[node], &name);
}

/* Passes the registration of @a node to node @a at. */
static void
fleet_register (Fleet *fleet, guint at, guint node, guint64 revision)
{
  TouName address;

  assert_int_equal (tou_peers_address (&address, fleet->peers[node]), TOU_OK);
  tou_peers_set (fleet->peers[at], &fleet->proxies[node]->settings.node,
                 &address, &fleet->proxies[node]->settings.failure_domain,
                 revision);
}

/* Adds a node and passes all registrations to all nodes. */
static void
fleet_add (Fleet *fleet)
{
  guint added = fleet->n_nodes++;
  TouNodeSettings settings = { 0 };
  char name[] = "node0";

  name[4] = (char)('0' + added);
  settings.node = tou_name (name);
  settings.peers_listen = tou_name ("127.0.0.1:0");
  assert_int_equal (
      tou_proxy_create (&fleet->proxies[added], &fleet->loop, &settings),
      TOU_OK);
  fleet->proxies[added]->synced = TRUE;
  fleet->proxies[added]->store_answered_us = tou_clock_us ();
  assert_int_equal (
      tou_peers_create (&fleet->peers[added], fleet->proxies[added]), TOU_OK);
  for (guint i = 0; i < fleet->n_nodes; i++)
    for (guint j = 0; j < fleet->n_nodes; j++)
      fleet_register (fleet, i, j, j + 1);
  fleet->revision = MAX_NODES;
}

/* Restarts a process after its wall clock was set back. */
static void
fleet_restart_with_earlier_clock (Fleet *fleet, guint node)
{
  TouProxy *proxy = fleet->proxies[node];

  proxy->incarnation -= TOU_US_PER_S;
  for (guint i = 0; i < fleet->n_nodes; i++)
    fleet_register (fleet, i, node, ++fleet->revision);
}

static void
proxy_adopt (TouProxy *proxy, const char *group, guint64 revision)
{
  TouName name = tou_name (group);
  TouGroupRecord record = { 0 };

  record.revision = revision;
  record.term = 1;
  record.primary = tou_name ("db1");
  tou_group_adopt (tou_group_get (proxy, &name), &record, "test");
}

static void
fleet_adopt (Fleet *fleet, guint node, guint64 revision)
{
  proxy_adopt (fleet->proxies[node], "g", revision);
}

static gboolean
fleet_is_valid (const Fleet *fleet, guint node, guint64 revision)
{
  TouGroup *group = fleet_group (fleet, node);

  return tou_authority_record (group->authority)->revision == revision
         && tou_authority_is_valid (group->authority, fleet->n_nodes,
                                    tou_clock_us ());
}

/* Runs until all nodes may use the primary of the record. */
static void
fleet_wait_valid (Fleet *fleet, guint64 revision)
{
  guint64 end_us = tou_clock_us () + WAIT_US;
  guint valid = 0;

  while (valid < fleet->n_nodes)
    {
      assert_true (tou_clock_us () < end_us);
      uv_run (&fleet->loop, UV_RUN_ONCE);
      valid = 0;
      for (guint i = 0; i < fleet->n_nodes; i++)
        valid += fleet_is_valid (fleet, i, revision);
    }
}

static void
fleet_run (Fleet *fleet, guint64 time_us)
{
  guint64 end_us = tou_clock_us () + time_us;

  while (tou_clock_us () < end_us)
    uv_run (&fleet->loop, UV_RUN_ONCE);
}

static void
fleet_init (Fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  uv_loop_init (&fleet->loop);
  uv_timer_init (&fleet->loop, &fleet->timer);
  fleet->timer.data = fleet;
  uv_timer_start (&fleet->timer, fleet_on_timer, 0, TICK_US / TOU_US_PER_MS);
}

/* Starts two nodes and waits until both have a proof of revision 5. */
static void
fleet_start (Fleet *fleet)
{
  fleet_init (fleet);
  fleet_add (fleet);
  fleet_add (fleet);
  fleet_adopt (fleet, 0, 5);
  fleet_wait_valid (fleet, 5);
}

static void
fleet_clear (Fleet *fleet)
{
  uv_close ((uv_handle_t *)&fleet->timer, NULL);
  for (guint i = 0; i < fleet->n_nodes; i++)
    {
      tou_peers_destroy (fleet->peers[i]);
      tou_proxy_destroy (fleet->proxies[i]);
    }
  uv_run (&fleet->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&fleet->loop), 0);
}

static void
test_record_is_replicated (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_start (&fleet);
  /* Long enough for heartbeats without the record. */
  fleet_run (&fleet, 2 * TOU_US_PER_S);
  fleet_wait_valid (&fleet, 5);
  /* A node that joins later has no record. */
  fleet_add (&fleet);
  fleet_wait_valid (&fleet, 5);
  fleet_adopt (&fleet, 2, 7);
  fleet_wait_valid (&fleet, 7);
  fleet_clear (&fleet);
}

/* Guards against heartbeats that are ignored for as long as the clock was set
   back: changes of primary would wait for the node, and it would be removed. */
static void
test_restart_with_earlier_clock (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_start (&fleet);
  fleet_restart_with_earlier_clock (&fleet, 1);
  /* Earlier proofs have expired by then. */
  fleet_run (&fleet, 2 * TOU_US_PER_S);
  assert_int_equal (tou_peers_count_reporting (fleet.peers[0], tou_clock_us ()),
                    1);
  assert_true (fleet_is_valid (&fleet, 0, 5));
  assert_true (fleet_is_valid (&fleet, 1, 5));
  fleet_clear (&fleet);
}

/* Traffic between regions has a price, so a record that every node has is not
   sent with each heartbeat, five times a second. */
static void
test_record_is_sent_once (void **state)
{
  Fleet fleet;
  guint64 bytes;
  guint64 messages;

  (void)state;
  fleet_start (&fleet);
  fleet_run (&fleet, 2 * TOU_US_PER_S);
  bytes = fleet.proxies[0]->counters[TOU_COUNT_PEER_BYTES];
  messages = fleet.proxies[0]->counters[TOU_COUNT_PEER_SENT];
  fleet_run (&fleet, TOU_US_PER_S);
  bytes = fleet.proxies[0]->counters[TOU_COUNT_PEER_BYTES] - bytes;
  messages = fleet.proxies[0]->counters[TOU_COUNT_PEER_SENT] - messages;
  assert_true (messages > 0);
  assert_true (bytes <= messages * BRIEF_BYTES);
  fleet_clear (&fleet);
}

/* Guards against equal digests of different records: two nodes that each have
   the newer record of one group would prove the older one to each other. */
static void
test_digest_differs_between_records (void **state)
{
  uv_loop_t loop;
  TouNodeSettings settings = { 0 };
  TouProxy *proxies[3];

  (void)state;
  uv_loop_init (&loop);
  for (guint i = 0; i < G_N_ELEMENTS (proxies); i++)
    {
      assert_int_equal (tou_proxy_create (&proxies[i], &loop, &settings),
                        TOU_OK);
      proxies[i]->synced = TRUE;
    }
  proxy_adopt (proxies[0], "g", 105);
  proxy_adopt (proxies[0], "h", 110);
  proxy_adopt (proxies[1], "g", 108);
  proxy_adopt (proxies[1], "h", 107);
  proxy_adopt (proxies[2], "h", 110);
  proxy_adopt (proxies[2], "g", 105);
  assert_true (tou_peers_digest (proxies[0]) != tou_peers_digest (proxies[1]));
  assert_true (tou_peers_digest (proxies[0]) == tou_peers_digest (proxies[2]));
  for (guint i = 0; i < G_N_ELEMENTS (proxies); i++)
    tou_proxy_destroy (proxies[i]);
  uv_loop_close (&loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_record_is_replicated),
          cmocka_unit_test (test_restart_with_earlier_clock),
          cmocka_unit_test (test_digest_differs_between_records),
          cmocka_unit_test (test_record_is_sent_once) };

  return cmocka_run_group_tests_name ("heartbeat", tests, NULL, NULL);
}
