/* Guards against ranks and teams that do not get their share of a database, and
 * requests that are queued although they cannot meet their deadline. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "queue.h"

#include <string.h>

#define ITEMS_PER_RANK 1000

/* Set by the last push. */
static TouQueueItem *evicted;

static const guint floors[TOU_RANK_COUNT] = { 0, 15, 5 };

static TouQueue *
queue_new (guint limit, guint slots)
{
  TouQueue *queue;

  assert_int_equal (tou_queue_create (&queue, limit, slots), TOU_OK);
  tou_queue_configure (queue, slots, floors);
  return queue;
}

static int
queue_add (TouQueue *queue, TouQueueItem *item, TouRank rank,
           guint64 deadline_us, guint64 *retry_after_us)
{
  memset (item, 0, sizeof *item);
  item->rank = rank;
  item->deadline_us = deadline_us;
  return tou_queue_push (queue, item, 0, retry_after_us, &evicted);
}

/* Without credit, a flood of urgent requests starves the other ranks; with too
 * much credit, they displace urgent requests. */
static void
test_floors_hold_under_urgent_flood (void **state)
{
  TouQueueItem *items = g_new0 (TouQueueItem, 3 * ITEMS_PER_RANK);
  TouQueue *queue = queue_new (ITEMS_PER_RANK, 3);
  guint served[TOU_RANK_COUNT] = { 0 };
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 3 * ITEMS_PER_RANK; i++)
    assert_int_equal (
        queue_add (queue, &items[i], i % 3, G_MAXUINT64, &retry_us), TOU_OK);
  for (guint i = 0; i < ITEMS_PER_RANK; i++)
    served[tou_queue_pop (queue, TRUE)->rank]++;
  /* Floors are shares of all slots, of which 90% are assumed to be in use. */
  assert_in_range (served[TOU_RANK_REVIEW], 1500 / 9 - 1, 1500 / 9 + 1);
  assert_in_range (served[TOU_RANK_STATUS], 500 / 9 - 1, 500 / 9 + 1);
  while (tou_queue_pop_any (queue) != NULL)
    ;
  tou_queue_destroy (queue);
  g_free (items);
}

/* If a rank that is served anyway accumulated credit, a flood of that rank
 * would delay urgent requests. */
static void
test_urgent_goes_first_under_status_flood (void **state)
{
  TouQueueItem items[64];
  TouQueueItem urgent;
  TouQueue *queue = queue_new (64, 3);
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 64; i++)
    queue_add (queue, &items[i], TOU_RANK_STATUS, G_MAXUINT64, &retry_us);
  for (guint i = 0; i < 30; i++)
    {
      assert_int_equal (tou_queue_pop (queue, TRUE)->rank, TOU_RANK_STATUS);
      queue_add (queue, &urgent, TOU_RANK_URGENT, G_MAXUINT64, &retry_us);
      assert_ptr_equal (tou_queue_pop (queue, TRUE), &urgent);
    }
  while (tou_queue_pop_any (queue) != NULL)
    ;
  tou_queue_destroy (queue);
}

/* A request that cannot meet its deadline must be rejected, because it would
 * waste a slot. A full rank must not block the other ranks. */
static void
test_push_checks_deadline_and_rank_limit (void **state)
{
  TouQueueItem items[4];
  TouQueue *queue = queue_new (2, 1);
  guint64 retry_us = 0;

  (void)state;
  queue_add (queue, &items[0], TOU_RANK_STATUS, G_MAXUINT64, &retry_us);
  assert_int_equal (
      queue_add (queue, &items[1], TOU_RANK_STATUS, 1500, &retry_us),
      TOU_E_DEADLINE);
  assert_true (retry_us > 0);
  queue_add (queue, &items[1], TOU_RANK_STATUS, G_MAXUINT64, &retry_us);
  assert_int_equal (
      queue_add (queue, &items[2], TOU_RANK_STATUS, G_MAXUINT64, &retry_us),
      TOU_E_QUEUE_FULL);
  assert_int_equal (
      queue_add (queue, &items[3], TOU_RANK_URGENT, 1500, &retry_us), TOU_OK);
  assert_ptr_equal (tou_queue_pop_expired (queue, 1500), &items[3]);
  assert_null (tou_queue_pop_expired (queue, 1500));
  while (tou_queue_pop_any (queue) != NULL)
    ;
  tou_queue_destroy (queue);
}

/* A wait estimate above all deadlines must be measured again, or all requests
 * are rejected permanently. */
static void
test_idle_database_is_probed (void **state)
{
  TouQueueItem items[2] = { { .deadline_us = 2000 }, { .deadline_us = 2000 } };
  TouQueue *queue = queue_new (2, 1);
  guint64 retry_us = 0;

  (void)state;
  for (guint i = 0; i < 100; i++)
    tou_queue_record_cost (queue, TOU_RANK_URGENT, TOU_US_PER_S, 0);
  assert_int_equal (tou_queue_push (queue, &items[0], 0, &retry_us, &evicted),
                    TOU_E_DEADLINE);
  items[1].probe = TRUE;
  assert_int_equal (tou_queue_push (queue, &items[1], 0, &retry_us, &evicted),
                    TOU_OK);
  assert_true (tou_queue_is_in_time (queue, &items[1], 1000));
  assert_ptr_equal (tou_queue_pop (queue, TRUE), &items[1]);
  tou_queue_destroy (queue);
}

/* An estimate that a silent database has raised above all time limits must not
 * reject every request from then on: no request would be measured any more. */
static void
test_estimate_recovers_without_measurements (void **state)
{
  TouQueueItem item = { 0 };
  TouQueue *queue = queue_new (2, 1);
  guint64 retry_us = 0;

  (void)state;
  for (guint i = 0; i < 100; i++)
    tou_queue_record_cost (queue, TOU_RANK_URGENT, 3 * TOU_US_PER_S, 0);
  item.deadline_us = TOU_US_PER_S;
  assert_int_equal (
      tou_queue_push (queue, &item, 200 * TOU_US_PER_MS, &retry_us, &evicted),
      TOU_E_DEADLINE);
  item.deadline_us = 6 * TOU_US_PER_S;
  assert_int_equal (
      tou_queue_push (queue, &item, 5 * TOU_US_PER_S, &retry_us, &evicted),
      TOU_OK);
  assert_ptr_equal (tou_queue_pop (queue, TRUE), &item);
  tou_queue_destroy (queue);
}

/* A statement of a transaction must not queue behind a request that waits for a
 * connection: its own transaction may hold that connection. */
static void
test_pinned_items_need_no_connection (void **state)
{
  TouQueueItem plain;
  TouQueueItem pinned = { .pinned = TRUE, .deadline_us = G_MAXUINT64 };
  TouQueue *queue = queue_new (8, 1);
  guint64 retry_us;

  (void)state;
  queue_add (queue, &plain, TOU_RANK_URGENT, G_MAXUINT64, &retry_us);
  assert_null (tou_queue_pop (queue, FALSE));
  assert_int_equal (tou_queue_push (queue, &pinned, 0, &retry_us, &evicted),
                    TOU_OK);
  assert_ptr_equal (tou_queue_pop (queue, FALSE), &pinned);
  assert_ptr_equal (tou_queue_pop (queue, TRUE), &plain);
  tou_queue_destroy (queue);
}

#define N_TEAMS 10
#define N_STATEMENTS 20000
/* The estimated cost of a statement that has not been measured. */
#define COST_US G_GUINT64_CONSTANT (1000)

static TouName teams[N_TEAMS];

static void
teams_init (void)
{
  for (guint i = 0; i < N_TEAMS; i++)
    {
      teams[i].len = 2;
      teams[i].data[0] = 't';
      teams[i].data[1] = (char)('0' + i);
    }
}

static guint
team_of (const TouQueueItem *item)
{
  return (guint)(item->flow - teams);
}

static int
team_add (TouQueue *queue, TouQueueItem *item, guint team, guint64 now_us,
          guint64 *retry_after_us)
{
  memset (item, 0, sizeof *item);
  item->rank = TOU_RANK_STATUS;
  item->deadline_us = G_MAXUINT64;
  item->flow = &teams[team];
  return tou_queue_push (queue, item, now_us, retry_after_us, &evicted);
}

static void
queue_end (TouQueue *queue)
{
  while (tou_queue_pop_any (queue) != NULL)
    ;
  assert_int_equal (tou_queue_flows (queue), 0);
  tou_queue_destroy (queue);
}

/* Load of a database of one slot for 10 s. The other nine teams use 72% of it;
   team 0 would use 8% and sends seven times as much. @return the number of
   statements of the other teams that are not dispatched within 100 ms */
static guint
run_overload (gboolean with_flows)
{
  TouQueueItem *items = g_new0 (TouQueueItem, N_STATEMENTS);
  TouQueue *queue = queue_new (200, 1);
  guint missed = 0;
  guint n = 0;

  for (guint64 now_us = 0; now_us < 10 * TOU_US_PER_S; now_us += COST_US)
    {
      TouQueueItem *item;
      guint64 ms = now_us / TOU_US_PER_MS;

      for (guint team = 0; team < N_TEAMS; team++)
        for (guint k = 0; k < (team == 0 ? 7U : 1U) && ms % 12 == team; k++)
          {
            guint64 retry_us;
            int status;

            items[n].rank = TOU_RANK_URGENT;
            items[n].deadline_us = now_us + 100 * TOU_US_PER_MS;
            items[n].flow = &teams[team];
            if (!with_flows)
              {
                items[n].flow = NULL;
                items[n].reserve_us = team == 0 ? 0 : 1;
              }
            status = tou_queue_push (queue, &items[n], now_us, &retry_us,
                                     &evicted);
            missed += status != TOU_OK && team != 0;
            missed += evicted != NULL && evicted->flow != &teams[0];
            n++;
          }
      while ((item = tou_queue_pop_expired (queue, now_us)) != NULL)
        missed += with_flows ? item->flow != &teams[0] : item->reserve_us != 0;
      tou_queue_pop (queue, TRUE);
    }
  queue_end (queue);
  g_free (items);
  return missed;
}

/* One team at seven times its demand takes the answers of the others: in order
   of arrival, 810 of their 7500 statements are refused. */
static void
test_overload_of_one_team_spares_others (void **state)
{
  (void)state;
  assert_int_equal (run_overload (TRUE), 0);
  assert_true (run_overload (FALSE) > 500);
}

/* A flood of one session delays everyone by its whole backlog, the estimate for
   the others includes the backlog that they overtake, or a team that sends one
   statement after the other is always first. */
static void
test_flood_of_one_session_is_overtaken (void **state)
{
  TouQueueItem items[98];
  TouQueueItem small;
  TouQueue *queue = queue_new (100, 1);
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 98; i++)
    assert_int_equal (team_add (queue, &items[i], 0, 0, &retry_us), TOU_OK);
  assert_int_equal (tou_queue_wait_us (queue, TOU_RANK_STATUS, &teams[1], 0),
                    COST_US);
  assert_int_equal (tou_queue_wait_us (queue, TOU_RANK_STATUS, &teams[0], 0),
                    98 * COST_US);
  for (guint i = 0; i < 50; i++)
    {
      assert_int_equal (team_add (queue, &small, 1, 0, &retry_us), TOU_OK);
      assert_ptr_equal (tou_queue_pop (queue, TRUE), &items[i]);
      assert_ptr_equal (tou_queue_pop (queue, TRUE), &small);
    }
  queue_end (queue);
}

/* An estimate that ignores the requests that will overtake the flood admits
   statements that expire in the queue. */
static void
test_estimate_counts_arrivals_of_others (void **state)
{
  TouQueueItem *items = g_new0 (TouQueueItem, 200);
  TouQueueItem other;
  TouQueue *queue = queue_new (200, 1);
  guint64 wait_us;
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 200; i++)
    assert_int_equal (team_add (queue, &items[i], 0, 0, &retry_us), TOU_OK);
  for (guint i = 0; i < 40; i++)
    {
      tou_queue_pop (queue, TRUE);
      assert_int_equal (team_add (queue, &other, 1, 0, &retry_us), TOU_OK);
      tou_queue_pop (queue, TRUE);
    }
  wait_us = tou_queue_wait_us (queue, TOU_RANK_STATUS, &teams[0], 0);
  assert_in_range (wait_us, 300 * COST_US, 330 * COST_US);
  queue_end (queue);
  g_free (items);
}

/* A burst of 2.5 times the capacity in the lowest rank must neither cost its
   rank more than the floors allow, nor be served for one team only. */
static void
test_burst_of_lowest_rank_is_shared (void **state)
{
  TouQueueItem *items = g_new0 (TouQueueItem, 750);
  TouQueue *queue = queue_new (250, 1);
  guint served[N_TEAMS] = { 0 };
  guint ranks[TOU_RANK_COUNT] = { 0 };
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 250; i++)
    assert_int_equal (
        team_add (queue, &items[i], i < 150 ? 0 : i % 5, 0, &retry_us), TOU_OK);
  for (guint i = 250; i < 750; i++)
    {
      items[i] = (TouQueueItem){ .rank = i % 2,
                                 .deadline_us = G_MAXUINT64,
                                 .flow = &teams[i % N_TEAMS] };
      assert_int_equal (
          tou_queue_push (queue, &items[i], 0, &retry_us, &evicted), TOU_OK);
    }
  for (guint i = 0; i < 200; i++)
    {
      const TouQueueItem *item = tou_queue_pop (queue, TRUE);

      ranks[item->rank]++;
      if (item->rank == TOU_RANK_STATUS)
        served[team_of (item)]++;
    }
  assert_in_range (ranks[TOU_RANK_STATUS], 10, 12);
  for (guint team = 0; team < 5; team++)
    assert_in_range (served[team], 2, 3);
  queue_end (queue);
  g_free (items);
}

/* A full queue refuses every newcomer because of one team's backlog, or two
   teams of equal backlog displace each other without end. */
static void
test_full_rank_evicts_newest_of_longest_flow (void **state)
{
  TouQueueItem items[6];
  TouQueue *queue = queue_new (4, 1);
  guint64 retry_us;

  (void)state;
  assert_int_equal (team_add (queue, &items[0], 1, 0, &retry_us), TOU_OK);
  for (guint i = 1; i < 4; i++)
    assert_int_equal (team_add (queue, &items[i], 0, 0, &retry_us), TOU_OK);
  assert_int_equal (team_add (queue, &items[4], 0, 0, &retry_us),
                    TOU_E_QUEUE_FULL);
  assert_int_equal (retry_us, 4 * COST_US);
  assert_null (evicted);
  assert_int_equal (team_add (queue, &items[4], 1, 0, &retry_us), TOU_OK);
  assert_ptr_equal (evicted, &items[3]);
  assert_false (items[3].queued);
  assert_int_equal (retry_us, 4 * COST_US);
  assert_int_equal (team_add (queue, &items[5], 1, 0, &retry_us),
                    TOU_E_QUEUE_FULL);
  assert_null (evicted);
  queue_end (queue);
}

/* Teams that send one statement each leave state behind, or wait for the
   backlog of another team. */
static void
test_flows_that_come_and_go_leave_no_state (void **state)
{
  TouQueueItem *items = g_new0 (TouQueueItem, 10100);
  TouName *names = g_new0 (TouName, 10000);
  TouQueue *queue = queue_new (100, 1);
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 10; i++)
    team_add (queue, &items[10000 + i], 0, 0, &retry_us);
  for (guint i = 0; i < 10000; i++)
    {
      char text[8];

      g_snprintf (text, sizeof text, "%u", i);
      names[i] = tou_name (text);
      items[i].rank = TOU_RANK_STATUS;
      items[i].deadline_us = G_MAXUINT64;
      items[i].flow = &names[i];
      assert_int_equal (
          tou_queue_push (queue, &items[i], 0, &retry_us, &evicted), TOU_OK);
      assert_true (tou_queue_flows (queue) <= 200);
      assert_ptr_equal (tou_queue_pop (queue, TRUE),
                        &items[i == 0 ? 10000 : i - 1]);
    }
  queue_end (queue);
  g_free (names);
  g_free (items);
}

/* Two flows that both have a backlog: the difference of their served costs must
   stay below the sum of their largest costs, whatever happens to the queue. */
static void
test_unfairness_is_bounded (void **state)
{
  static const guint64 max_cost_us = 8000;
  GRand *random = g_rand_new_with_seed (20260);
  TouQueue *queue = queue_new (60, 1);
  TouQueueItem items[200] = { 0 };
  gint64 served[N_TEAMS][N_TEAMS] = { 0 };
  guint queued[N_TEAMS] = { 0 };
  guint64 retry_us;

  (void)state;
  for (guint step = 0; step < N_STATEMENTS; step++)
    {
      TouQueueItem *item = &items[step % G_N_ELEMENTS (items)];
      guint team = (guint)g_rand_int_range (random, 0, N_TEAMS);
      guint before[N_TEAMS];

      memcpy (before, queued, sizeof before);
      tou_queue_record_cost (queue, TOU_RANK_STATUS,
                             (guint64)g_rand_int_range (random, 1, 8000), 0);
      if (item->queued)
        {
          queued[team_of (item)]--;
          tou_queue_remove (queue, item);
        }
      if (team_add (queue, item,
                    MIN (team, (guint)g_rand_int_range (random, 0, N_TEAMS)), 0,
                    &retry_us)
          == TOU_OK)
        queued[team_of (item)]++;
      if (evicted != NULL)
        queued[team_of (evicted)]--;
      if (g_rand_int_range (random, 0, 10) != 0)
        {
          item = tou_queue_pop (queue, TRUE);
          team = team_of (item);
          queued[team]--;
          for (guint i = 0; i < N_TEAMS; i++)
            {
              served[team][i] += (gint64)item->cost_us;
              served[i][team] -= (gint64)item->cost_us;
            }
        }
      for (guint i = 0; i < N_TEAMS; i++)
        for (guint k = 0; k < N_TEAMS; k++)
          {
            if (before[i] == 0 || before[k] == 0 || queued[i] == 0
                || queued[k] == 0)
              served[i][k] = 0;
            assert_true (ABS (served[i][k]) <= (gint64)(2 * max_cost_us));
          }
    }
  queue_end (queue);
  g_rand_free (random);
}

/* Without teams the order and the results must not change: every item, also
   after removals, comes in order of arrival and waits for all before it. */
static void
test_one_flow_is_first_in_first_out (void **state)
{
  GRand *random = g_rand_new_with_seed (20261);
  TouQueue *queue = queue_new (50, 2);
  TouQueueItem *items = g_new0 (TouQueueItem, N_STATEMENTS);
  GQueue expected = G_QUEUE_INIT;
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < N_STATEMENTS; i++)
    {
      guint length = expected.length;
      guint64 wait_us = (guint64)length * COST_US / 2;

      assert_int_equal (tou_queue_wait_us (queue, TOU_RANK_URGENT, NULL, 0),
                        wait_us);
      if (queue_add (queue, &items[i], TOU_RANK_URGENT, 20 * COST_US, &retry_us)
          == TOU_OK)
        g_queue_push_tail (&expected, &items[i]);
      assert_int_equal (expected.length > length,
                        wait_us + COST_US <= 20 * COST_US);
      assert_null (evicted);
      if (g_rand_int_range (random, 0, 8) == 0)
        {
          TouQueueItem *item = g_queue_pop_nth (
              &expected,
              (guint)g_rand_int_range (random, 0, (gint)expected.length));

          tou_queue_remove (queue, item);
        }
      for (gint n = g_rand_int_range (random, 0, 3); n > 0; n--)
        assert_ptr_equal (tou_queue_pop (queue, TRUE),
                          g_queue_pop_head (&expected));
    }
  g_queue_clear (&expected);
  queue_end (queue);
  g_free (items);
  g_rand_free (random);
}

/* The reserve of a test's item is its verdict. */
static TouQueueVerdict
judge_item (const TouQueueItem *item, gpointer data)
{
  (void)data;
  return (TouQueueVerdict)item->reserve_us;
}

/* A team without a connection waits without limit while others overtake it, or
   holds the others up for good. */
static void
test_overtaking_is_bounded (void **state)
{
  TouQueueSelection selection = { .judge = judge_item };
  TouQueue *queue = queue_new (100, 1);
  TouQueueItem items[40];
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 40; i++)
    team_add (queue, &items[i], i == 0 ? 0 : 1, 0, &retry_us);
  items[0].reserve_us = TOU_QUEUE_NO_CONNECTION;
  for (guint64 i = 0; i < 30; i++)
    {
      gboolean held = i / 5 % 3 == 2;

      selection.now_us = (i + 1) * 10 * TOU_US_PER_MS;
      assert_int_equal (tou_queue_pop_matching (queue, &selection) == NULL,
                        held);
      assert_ptr_equal (selection.blocked, &items[0]);
    }
  items[0].reserve_us = TOU_QUEUE_RUNNABLE;
  assert_ptr_equal (tou_queue_pop_matching (queue, &selection), &items[0]);
  assert_null (selection.blocked);
  tou_queue_refund (queue, &items[0]);
  assert_int_equal (team_add (queue, &items[0], 0, 0, &retry_us), TOU_OK);
  assert_ptr_equal (tou_queue_pop (queue, TRUE), &items[0]);
  queue_end (queue);
}

/* A read that waits for a replica's position holds others up, or later reads of
   its team take its place in the order. */
static void
test_items_that_no_connection_helps_are_skipped (void **state)
{
  static const guint order[] = { 4, 1, 3, 5 };
  TouQueueSelection selection = { .judge = judge_item };
  TouQueue *queue = queue_new (100, 1);
  TouQueueItem items[6];
  guint64 retry_us;

  (void)state;
  for (guint i = 0; i < 6; i++)
    team_add (queue, &items[i], i / 2, 0, &retry_us);
  items[0].reserve_us = TOU_QUEUE_NOT_NOW;
  items[2].reserve_us = TOU_QUEUE_NOT_NOW;
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      selection.now_us += 120 * TOU_US_PER_MS;
      assert_ptr_equal (tou_queue_pop_matching (queue, &selection),
                        &items[order[i]]);
      assert_null (selection.blocked);
    }
  assert_null (tou_queue_pop_matching (queue, &selection));
  queue_end (queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_floors_hold_under_urgent_flood),
    cmocka_unit_test (test_urgent_goes_first_under_status_flood),
    cmocka_unit_test (test_push_checks_deadline_and_rank_limit),
    cmocka_unit_test (test_idle_database_is_probed),
    cmocka_unit_test (test_estimate_recovers_without_measurements),
    cmocka_unit_test (test_pinned_items_need_no_connection),
    cmocka_unit_test (test_overload_of_one_team_spares_others),
    cmocka_unit_test (test_flood_of_one_session_is_overtaken),
    cmocka_unit_test (test_estimate_counts_arrivals_of_others),
    cmocka_unit_test (test_burst_of_lowest_rank_is_shared),
    cmocka_unit_test (test_full_rank_evicts_newest_of_longest_flow),
    cmocka_unit_test (test_flows_that_come_and_go_leave_no_state),
    cmocka_unit_test (test_unfairness_is_bounded),
    cmocka_unit_test (test_one_flow_is_first_in_first_out),
    cmocka_unit_test (test_overtaking_is_bounded),
    cmocka_unit_test (test_items_that_no_connection_helps_are_skipped),
  };

  teams_init ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
