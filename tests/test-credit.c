/* Guards against operations that wait for credit for ever, are answered twice
 * or are refused while another node has credit: nodes on one event loop that
 * exchange heartbeats and credit over loopback. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "credit.h"
#include "support/heartbeat-fleet.h"

#define RATE 20
#define BURST 30
#define WAIT_US (20 * TOU_US_PER_S)
/* Issuers wait 1 s and then fill their buckets in 1.5 s. */
#define FULL_US (4 * TOU_US_PER_S)

typedef struct
{
  HbFleet fleet;
  uv_timer_t timer;
  TouCredit *credits[FLEET_MAX_NODES];
} Nodes;

/* An operation and what became of it. */
typedef struct
{
  TouCreditWait wait;
  guint n_done;
  gboolean granted;
  guint64 retry_us;
  const char *reason;
} Operation;

static void
nodes_on_timer (uv_timer_t *timer)
{
  Nodes *nodes = timer->data;

  for (guint i = 0; i < nodes->fleet.n_nodes; i++)
    if (!nodes->fleet.stopped[i])
      tou_credit_tick (nodes->credits[i], tou_clock_us ());
}

static void
nodes_init (Nodes *nodes, guint n)
{
  memset (nodes, 0, sizeof *nodes);
  hbfleet_init (&nodes->fleet);
  for (guint i = 0; i < n; i++)
    {
      hbfleet_add (&nodes->fleet);
      tou_credit_create (&nodes->credits[i], nodes->fleet.proxies[i],
                         nodes->fleet.peers[i]);
    }
  uv_timer_init (&nodes->fleet.loop, &nodes->timer);
  nodes->timer.data = nodes;
  uv_timer_start (&nodes->timer, nodes_on_timer, 0,
                  TOU_PROXY_TICK_US / TOU_US_PER_MS);
}

static void
nodes_clear (Nodes *nodes)
{
  uv_close ((uv_handle_t *)&nodes->timer, NULL);
  for (guint i = 0; i < nodes->fleet.n_nodes; i++)
    if (!nodes->fleet.stopped[i])
      tou_credit_destroy (nodes->credits[i]);
  hbfleet_clear (&nodes->fleet);
}

static void
nodes_set_limit (Nodes *nodes, double rate, double burst)
{
  TouName team = tou_name ("t");

  for (guint i = 0; i < nodes->fleet.n_nodes; i++)
    {
      tou_credit_begin_update (nodes->credits[i]);
      tou_credit_set_limit (nodes->credits[i], &team, rate, burst);
      tou_credit_end_update (nodes->credits[i]);
    }
}

static void
operation_on_done (TouCreditWait *wait, gboolean granted, guint64 retry_us,
                   const char *reason)
{
  Operation *operation = TOU_CONTAINER_OF (wait, Operation, wait);

  operation->n_done++;
  operation->granted = granted;
  operation->retry_us = retry_us;
  operation->reason = reason;
}

static TouCreditResult
operation_start (Operation *operation, Nodes *nodes, guint node)
{
  guint64 now_us = tou_clock_us ();

  memset (operation, 0, sizeof *operation);
  operation->wait.done = operation_on_done;
  operation->wait.team = tou_name ("t");
  operation->wait.deadline_us = now_us + WAIT_US;
  return tou_credit_take (nodes->credits[node], &operation->wait, now_us,
                          &operation->retry_us, &operation->reason);
}

/* Runs an operation to its end. @return FALSE if it is refused */
static gboolean
operation_run (Operation *operation, Nodes *nodes, guint node)
{
  guint64 end_us = tou_clock_us () + WAIT_US;
  TouCreditResult result = operation_start (operation, nodes, node);

  if (result != TOU_CREDIT_WAITING)
    return result == TOU_CREDIT_GRANTED;
  assert_int_equal (operation->n_done, 0);
  while (operation->n_done == 0 && tou_clock_us () < end_us)
    uv_run (&nodes->fleet.loop, UV_RUN_ONCE);
  assert_int_equal (operation->n_done, 1);
  assert_false (operation->wait.waiting);
  if (!operation->granted)
    print_message ("refused: %s\n", operation->reason);
  return operation->granted;
}

static guint64
nodes_count (const Nodes *nodes, TouSessionCounter counter)
{
  guint64 sum = 0;

  for (guint i = 0; i < nodes->fleet.n_nodes; i++)
    sum += nodes->fleet.proxies[i]->counters[counter];
  return sum;
}

/* All of the burst can be used at one node, also if all nodes are issuers; then
   operations are refused. */
static void
test_credit_of_other_nodes (void **state)
{
  Nodes nodes;
  Operation operation;
  guint n = 0;
  json_t *dump;

  (void)state;
  nodes_init (&nodes, 3);
  nodes_set_limit (&nodes, RATE, BURST);
  hbfleet_run (&nodes.fleet, FULL_US);
  for (guint i = 0; i < BURST; i++)
    assert_true (operation_run (&operation, &nodes, 0));
  assert_true (nodes_count (&nodes, TOU_COUNT_QUOTA_ANSWERED) > 0);
  nodes_set_limit (&nodes, 0.1, 1);
  while (operation_run (&operation, &nodes, 0))
    assert_true (++n < BURST);
  assert_string_equal (operation.reason, "the quota of the team is used up");
  assert_true (operation.retry_us > 0);
  assert_true (nodes_count (&nodes, TOU_COUNT_QUOTA_REFUSED) > 0);
  assert_int_equal (nodes_count (&nodes, TOU_COUNT_MALFORMED), 0);
  dump = tou_credit_dump (nodes.credits[0], tou_clock_us ());
  assert_int_equal (json_array_size (json_object_get (dump, "teams")), 1);
  assert_int_equal (json_array_size (json_object_get (dump, "issuers")), 3);
  json_decref (dump);
  nodes_clear (&nodes);
}

/* A node outside the panel gets its credit from the panel. */
static void
test_credit_of_panel (void **state)
{
  Nodes nodes;
  Operation operation;

  (void)state;
  nodes_init (&nodes, TOU_PANEL_SIZE + 1);
  for (guint i = 0; i < nodes.fleet.n_nodes; i++)
    hbfleet_adopt_panel (&nodes.fleet, i, 3, 0);
  nodes_set_limit (&nodes, RATE, BURST);
  hbfleet_run (&nodes.fleet, FULL_US);
  assert_true (operation_run (&operation, &nodes, TOU_PANEL_SIZE));
  assert_int_equal (
      nodes.fleet.proxies[TOU_PANEL_SIZE]->counters[TOU_COUNT_QUOTA_ANSWERED],
      0);
  /* Credit that was not used serves the next operation. */
  tou_credit_return (nodes.credits[TOU_PANEL_SIZE], &operation.wait,
                     tou_clock_us ());
  assert_int_equal (operation_start (&operation, &nodes, TOU_PANEL_SIZE),
                    TOU_CREDIT_GRANTED);
  nodes_clear (&nodes);
}

/* Nodes without a majority refuse in time, and say why. */
static void
test_minority_refuses (void **state)
{
  Nodes nodes;
  Operation operation;

  (void)state;
  nodes_init (&nodes, 3);
  nodes_set_limit (&nodes, RATE, BURST);
  hbfleet_run (&nodes.fleet, FULL_US);
  for (guint i = 1; i < 3; i++)
    {
      tou_credit_destroy (nodes.credits[i]);
      hbfleet_stop (&nodes.fleet, i);
    }
  hbfleet_run (&nodes.fleet, 2 * TOU_US_PER_S);
  assert_false (operation_run (&operation, &nodes, 0));
  assert_non_null (strstr (operation.reason, "retry at another node"));
  nodes_clear (&nodes);
}

/* A wait ends without a call when it is cancelled, at its deadline, and with
   credit when the limit is removed. */
static void
test_waits_end (void **state)
{
  Nodes nodes;
  Operation cancelled;
  Operation late;
  Operation freed;
  guint64 now_us = tou_clock_us ();

  (void)state;
  nodes_init (&nodes, TOU_PANEL_SIZE + 1);
  for (guint i = 0; i < nodes.fleet.n_nodes; i++)
    hbfleet_adopt_panel (&nodes.fleet, i, 3, 0);
  nodes_set_limit (&nodes, RATE, BURST);
  assert_int_equal (operation_start (&cancelled, &nodes, TOU_PANEL_SIZE),
                    TOU_CREDIT_WAITING);
  assert_int_equal (operation_start (&late, &nodes, TOU_PANEL_SIZE),
                    TOU_CREDIT_WAITING);
  late.wait.until_us = now_us;
  tou_credit_cancel (nodes.credits[TOU_PANEL_SIZE], &cancelled.wait);
  tou_credit_tick (nodes.credits[TOU_PANEL_SIZE], now_us);
  assert_int_equal (cancelled.n_done, 0);
  assert_int_equal (late.n_done, 1);
  assert_false (late.granted);
  assert_int_equal (operation_start (&freed, &nodes, TOU_PANEL_SIZE),
                    TOU_CREDIT_WAITING);
  tou_credit_begin_update (nodes.credits[TOU_PANEL_SIZE]);
  tou_credit_end_update (nodes.credits[TOU_PANEL_SIZE]);
  tou_credit_tick (nodes.credits[TOU_PANEL_SIZE], now_us);
  assert_int_equal (freed.n_done, 1);
  assert_true (freed.granted);
  nodes_clear (&nodes);
}

/* Guards against refusals after a pause of the process: the replies of issuers
   that arrived in it have not been read yet. */
static void
test_pause (void **state)
{
  Nodes nodes;
  Operation operation;
  guint64 now_us;
  TouCredit *credit;

  (void)state;
  nodes_init (&nodes, TOU_PANEL_SIZE + 1);
  for (guint i = 0; i < nodes.fleet.n_nodes; i++)
    hbfleet_adopt_panel (&nodes.fleet, i, 3, 0);
  nodes_set_limit (&nodes, RATE, BURST);
  credit = nodes.credits[TOU_PANEL_SIZE];
  now_us = tou_clock_us ();
  tou_credit_tick (credit, now_us);
  assert_int_equal (operation_start (&operation, &nodes, TOU_PANEL_SIZE),
                    TOU_CREDIT_WAITING);
  now_us = operation.wait.until_us;
  tou_credit_tick (credit, now_us);
  assert_int_equal (operation.n_done, 0);
  tou_credit_tick (credit, now_us + TOU_PROXY_TICK_US);
  assert_int_equal (operation.n_done, 1);
  nodes_clear (&nodes);
}

/* Without limits there is no cost. */
static void
test_no_limits (void **state)
{
  Nodes nodes;
  Operation operation;
  guint64 sent;

  (void)state;
  nodes_init (&nodes, 3);
  for (guint i = 0; i < 100; i++)
    assert_int_equal (operation_start (&operation, &nodes, 0),
                      TOU_CREDIT_GRANTED);
  sent = nodes_count (&nodes, TOU_COUNT_PEER_SENT);
  tou_credit_tick (nodes.credits[0], tou_clock_us ());
  assert_int_equal (nodes_count (&nodes, TOU_COUNT_PEER_SENT), sent);
  assert_int_equal (nodes_count (&nodes, TOU_COUNT_QUOTA_GRANTED), 0);
  nodes_clear (&nodes);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_no_limits),
          cmocka_unit_test (test_waits_end),
          cmocka_unit_test (test_pause),
          cmocka_unit_test (test_credit_of_other_nodes),
          cmocka_unit_test (test_credit_of_panel),
          cmocka_unit_test (test_minority_refuses) };

  return cmocka_run_group_tests_name ("credit", tests, NULL, NULL);
}
