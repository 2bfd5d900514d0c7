/* Guards against a node that does not receive a newer record, also if it joins
 * later, and heartbeats with only revisions that do not prove the records. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support/heartbeat-fleet.h"

/* Maximum bytes of a heartbeat without the record of its group: the sender's
   name, numbers of up to 9 bytes, and the group's name, revision and flags. */
#define BRIEF_BYTES 70
/* Their records do not fit into a datagram of 65,507 bytes. */
#define MANY_GROUPS 2000
#define LONG_NAME_LEN 100
#define MANY_WAIT_US (20 * TOU_US_PER_S)

/* All nodes are in the panel and have read it from the store. */
static void
fleet_adopt_panel (HbFleet *fleet, guint64 revision)
{
  for (guint i = 0; i < fleet->n_nodes; i++)
    hbfleet_adopt_panel (fleet, i, revision, 0);
}

/* Starts two nodes and waits until both have a proof of revision 5. */
static void
fleet_start (HbFleet *fleet)
{
  hbfleet_init (fleet);
  hbfleet_add (fleet);
  hbfleet_add (fleet);
  fleet_adopt_panel (fleet, 3);
  hbfleet_adopt (fleet, 0, 5);
  assert_true (hbfleet_wait_valid (fleet, 5));
}

static void
test_record_is_replicated (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  /* Long enough for heartbeats without the record. */
  hbfleet_run (&fleet, 2 * TOU_US_PER_S);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  /* A node that joins later has no record. */
  hbfleet_add (&fleet);
  fleet_adopt_panel (&fleet, 4);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_adopt (&fleet, 2, 7);
  assert_true (hbfleet_wait_valid (&fleet, 7));
  hbfleet_clear (&fleet);
}

/* Guards against heartbeats that are ignored for as long as the clock was set
   back: changes of primary would wait for the node, and it would be removed. */
static void
test_restart_with_earlier_clock (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  hbfleet_restart_with_earlier_clock (&fleet, 1);
  /* Earlier proofs have expired by then. */
  hbfleet_run (&fleet, 2 * TOU_US_PER_S);
  assert_int_equal (tou_peers_count_reporting (fleet.peers[0], tou_clock_us ()),
                    1);
  assert_true (hbfleet_is_valid (&fleet, 0, 5));
  assert_true (hbfleet_is_valid (&fleet, 1, 5));
  hbfleet_clear (&fleet);
}

/* Traffic between regions has a price, so a record that every node has is not
   sent with each heartbeat, five times a second. */
static void
test_record_is_sent_once (void **state)
{
  HbFleet fleet;
  guint64 bytes;
  guint64 messages;

  (void)state;
  fleet_start (&fleet);
  hbfleet_run (&fleet, 2 * TOU_US_PER_S);
  bytes = fleet.proxies[0]->counters[TOU_COUNT_PEER_BYTES];
  messages = fleet.proxies[0]->counters[TOU_COUNT_PEER_SENT];
  hbfleet_run (&fleet, TOU_US_PER_S);
  bytes = fleet.proxies[0]->counters[TOU_COUNT_PEER_BYTES] - bytes;
  messages = fleet.proxies[0]->counters[TOU_COUNT_PEER_SENT] - messages;
  assert_true (messages > 0);
  assert_true (bytes <= messages * BRIEF_BYTES);
  hbfleet_clear (&fleet);
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
  hbfleet_proxy_adopt (proxies[0], "g", 105);
  hbfleet_proxy_adopt (proxies[0], "h", 110);
  hbfleet_proxy_adopt (proxies[1], "g", 108);
  hbfleet_proxy_adopt (proxies[1], "h", 107);
  hbfleet_proxy_adopt (proxies[2], "h", 110);
  hbfleet_proxy_adopt (proxies[2], "g", 105);
  assert_true (tou_peers_digest (proxies[0]) != tou_peers_digest (proxies[1]));
  assert_true (tou_peers_digest (proxies[0]) == tou_peers_digest (proxies[2]));
  for (guint i = 0; i < G_N_ELEMENTS (proxies); i++)
    tou_proxy_destroy (proxies[i]);
  uv_loop_close (&loop);
}

/* Waits until a node has the records of the first one. */
static void
fleet_wait_digest (HbFleet *fleet, guint node)
{
  guint64 end_us = tou_clock_us () + MANY_WAIT_US;
  guint64 digest = tou_peers_digest (fleet->proxies[0]);

  while (tou_peers_digest (fleet->proxies[node]) != digest
         && tou_clock_us () < end_us)
    hbfleet_run (fleet, TOU_US_PER_S / 10);
  assert_true (tou_peers_digest (fleet->proxies[node]) == digest);
}

/* Guards against heartbeats that do not fit into a datagram, because of many
 * records with long names: a node that needs them would hear nothing at all. */
static void
test_many_records_are_replicated (void **state)
{
  HbFleet fleet;

  (void)state;
  fleet_start (&fleet);
  for (guint i = 0; i < MANY_GROUPS; i++)
    {
      char *name = g_strdup_printf ("%0*u", LONG_NAME_LEN, i);

      hbfleet_proxy_adopt (fleet.proxies[0], name, 100 + i);
      g_free (name);
    }
  fleet_wait_digest (&fleet, 1);
  /* A node that joins later has no record. */
  hbfleet_add (&fleet);
  fleet_adopt_panel (&fleet, 4);
  fleet_wait_digest (&fleet, 2);
  assert_true (hbfleet_wait_valid (&fleet, 5));
  hbfleet_clear (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_record_is_replicated),
          cmocka_unit_test (test_restart_with_earlier_clock),
          cmocka_unit_test (test_digest_differs_between_records),
          cmocka_unit_test (test_record_is_sent_once),
          cmocka_unit_test (test_many_records_are_replicated) };

  return cmocka_run_group_tests_name ("heartbeat", tests, NULL, NULL);
}
