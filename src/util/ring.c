#include "toucanscale/ring.h"

#include "toucanscale/status.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#define TOU_NS_PER_US 1000
#define TOU_NS_PER_S 1000000000
#define TOU_RING_US_PER_S 1000000

typedef struct
{
  guint8 *items;
  guint head; /* index of the oldest item */
  guint count;
} RingLane;

struct TouRing
{
  pthread_mutex_t mutex;
  pthread_cond_t not_empty;
  int fd; /* eventfd; its counter is 1 while the ring has items */
  guint n_lanes;
  guint capacity;
  gsize item_size;
  guint total;
  RingLane *lanes;
};

int
tou_ring_create (TouRing **out, guint lanes, guint capacity, gsize item_size)
{
  TouRing *ring;
  pthread_condattr_t attr;
  int fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);

  if (fd < 0)
    return tou_status_set (TOU_E_IO, "eventfd: %s", g_strerror (errno));
  ring = g_new0 (TouRing, 1);
  ring->fd = fd;
  ring->n_lanes = lanes;
  ring->capacity = capacity;
  ring->item_size = item_size;
  ring->lanes = g_new0 (RingLane, lanes);
  for (guint i = 0; i < lanes; i++)
    ring->lanes[i].items = g_malloc (item_size * capacity);
  pthread_mutex_init (&ring->mutex, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&ring->not_empty, &attr);
  pthread_condattr_destroy (&attr);
  *out = ring;
  return TOU_OK;
}

static void
ring_signal (TouRing *ring)
{
  guint64 one = 1;
  ssize_t written = write (ring->fd, &one, sizeof one);

  (void)written; /* the counter is 0 here, so the write cannot block */
  pthread_cond_signal (&ring->not_empty);
}

static void
ring_clear_signal (TouRing *ring)
{
  guint64 value;
  ssize_t n_read = read (ring->fd, &value, sizeof value);

  (void)n_read; /* the counter is 1 here, so the read cannot block */
}

int
tou_ring_push (TouRing *ring, guint lane, const void *item)
{
  RingLane *l = &ring->lanes[lane];
  int status = TOU_E_RING_FULL;

  pthread_mutex_lock (&ring->mutex);
  if (l->count < ring->capacity)
    {
      guint slot = (l->head + l->count) % ring->capacity;

      memcpy (l->items + slot * ring->item_size, item, ring->item_size);
      l->count++;
      if (ring->total++ == 0)
        ring_signal (ring);
      else
        pthread_cond_signal (&ring->not_empty);
      status = TOU_OK;
    }
  pthread_mutex_unlock (&ring->mutex);
  return status;
}

/* Removes the oldest item of the first non-empty lane; requires the mutex. */
static gboolean
ring_take (TouRing *ring, void *item)
{
  for (guint i = 0; i < ring->n_lanes; i++)
    {
      RingLane *l = &ring->lanes[i];

      if (l->count == 0)
        continue;
      memcpy (item, l->items + l->head * ring->item_size, ring->item_size);
      l->head = (l->head + 1) % ring->capacity;
      l->count--;
      if (--ring->total == 0)
        ring_clear_signal (ring);
      return TRUE;
    }
  return FALSE;
}

gboolean
tou_ring_pop (TouRing *ring, void *item)
{
  gboolean taken;

  pthread_mutex_lock (&ring->mutex);
  taken = ring_take (ring, item);
  pthread_mutex_unlock (&ring->mutex);
  return taken;
}

static struct timespec
deadline_after (guint64 timeout_us)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  t.tv_sec += (time_t)(timeout_us / TOU_RING_US_PER_S);
  t.tv_nsec += (long)(timeout_us % TOU_RING_US_PER_S) * TOU_NS_PER_US;
  if (t.tv_nsec >= TOU_NS_PER_S)
    {
      t.tv_sec++;
      t.tv_nsec -= TOU_NS_PER_S;
    }
  return t;
}

gboolean
tou_ring_wait (TouRing *ring, void *item, guint64 timeout_us)
{
  struct timespec deadline = deadline_after (timeout_us);
  gboolean taken;
  int error = 0;

  pthread_mutex_lock (&ring->mutex);
  while (ring->total == 0 && error == 0)
    error = pthread_cond_timedwait (&ring->not_empty, &ring->mutex, &deadline);
  taken = ring_take (ring, item);
  pthread_mutex_unlock (&ring->mutex);
  return taken;
}

int
tou_ring_fd (const TouRing *ring)
{
  return ring->fd;
}

void
tou_ring_destroy (TouRing *ring)
{
  if (ring == NULL)
    return;
  for (guint i = 0; i < ring->n_lanes; i++)
    g_free (ring->lanes[i].items);
  g_free (ring->lanes);
  pthread_cond_destroy (&ring->not_empty);
  pthread_mutex_destroy (&ring->mutex);
  close (ring->fd);
  g_free (ring);
}
