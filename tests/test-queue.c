/* Guards against ranks that do not get their share of a database, and requests
 * that are queued although they cannot meet their deadline. */
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
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
