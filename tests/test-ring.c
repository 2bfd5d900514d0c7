/* Guards against loss, duplication or reordering of items between threads. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/ring.h"
#include "toucanscale/status.h"

#include <poll.h>
#include <pthread.h>

#define LANES 3
#define CAPACITY 4
#define N_PRODUCERS 3
#define N_ITEMS 5000
#define WAIT_US 10000000

/* An overload of status items must neither delay nor displace urgent ones. */
static void
test_full_lane_does_not_affect_the_others (void **state)
{
  TouRing *ring;
  int item;

  (void)state;
  assert_int_equal (tou_ring_create (&ring, LANES, CAPACITY, sizeof item), 0);
  for (item = 0; item < CAPACITY; item++)
    assert_int_equal (tou_ring_push (ring, 2, &item), TOU_OK);
  assert_int_equal (tou_ring_push (ring, 2, &item), TOU_E_RING_FULL);
  item = 100;
  assert_int_equal (tou_ring_push (ring, 1, &item), TOU_OK);
  item = 200;
  assert_int_equal (tou_ring_push (ring, 0, &item), TOU_OK);
  assert_true (tou_ring_pop (ring, &item));
  assert_int_equal (item, 200);
  assert_true (tou_ring_pop (ring, &item));
  assert_int_equal (item, 100);
  for (int i = 0; i < CAPACITY; i++)
    {
      assert_true (tou_ring_pop (ring, &item));
      assert_int_equal (item, i);
    }
  assert_false (tou_ring_pop (ring, &item));
  assert_false (tou_ring_wait (ring, &item, 0));
  tou_ring_destroy (ring);
}

static gboolean
ring_is_readable (const TouRing *ring)
{
  struct pollfd fd = { .fd = tou_ring_fd (ring), .events = POLLIN };

  return poll (&fd, 1, 0) == 1;
}

/* If the descriptor did not match the content of the ring, a service would
   stall or poll in a busy loop. */
static void
test_descriptor_is_readable_while_items_remain (void **state)
{
  TouRing *ring;
  int item = 1;

  (void)state;
  assert_int_equal (tou_ring_create (&ring, LANES, CAPACITY, sizeof item), 0);
  assert_false (ring_is_readable (ring));
  tou_ring_push (ring, 0, &item);
  tou_ring_push (ring, 1, &item);
  assert_true (ring_is_readable (ring));
  tou_ring_pop (ring, &item);
  assert_true (ring_is_readable (ring));
  tou_ring_pop (ring, &item);
  assert_false (ring_is_readable (ring));
  tou_ring_destroy (ring);
}

typedef struct
{
  TouRing *ring;
  guint producer;
} Producer;

typedef struct
{
  guint producer;
  guint number; /* increases by 1 with each item of the producer */
} Item;

static void *
produce (void *data)
{
  const Producer *producer = data;

  for (guint i = 0; i < N_ITEMS;)
    {
      Item item = { producer->producer, i };

      if (tou_ring_push (producer->ring, producer->producer, &item) == TOU_OK)
        i++;
      else
        sched_yield ();
    }
  return NULL;
}

/* Lost, duplicated or reordered items would cause lost or repeated requests. */
static void
test_items_of_all_threads_arrive_once_and_in_order (void **state)
{
  pthread_t threads[N_PRODUCERS];
  Producer producers[N_PRODUCERS];
  guint next[N_PRODUCERS] = { 0 };
  TouRing *ring;
  Item item;

  (void)state;
  assert_int_equal (tou_ring_create (&ring, LANES, CAPACITY, sizeof item), 0);
  for (guint i = 0; i < N_PRODUCERS; i++)
    {
      producers[i] = (Producer){ ring, i };
      assert_int_equal (
          pthread_create (&threads[i], NULL, produce, &producers[i]), 0);
    }
  for (guint i = 0; i < N_PRODUCERS * N_ITEMS; i++)
    {
      assert_true (tou_ring_wait (ring, &item, WAIT_US));
      assert_int_equal (item.number, next[item.producer]);
      next[item.producer]++;
    }
  for (guint i = 0; i < N_PRODUCERS; i++)
    pthread_join (threads[i], NULL);
  assert_false (tou_ring_pop (ring, &item));
  tou_ring_destroy (ring);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_full_lane_does_not_affect_the_others),
    cmocka_unit_test (test_descriptor_is_readable_while_items_remain),
    cmocka_unit_test (test_items_of_all_threads_arrive_once_and_in_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
