#include "waiters.h"

#include <errno.h>
#include <pthread.h>
#include <time.h>

#define NS_PER_US 1000

struct TouWaiter
{
  guint64 id;
  pthread_cond_t answered;
  gboolean done;
  TouAction answer;
};

struct TouWaiters
{
  pthread_mutex_t mutex;
  guint64 last_id;
  gboolean closed;
  GHashTable *by_id; /* id to TouWaiter; the key points into the waiter */
};

int
tou_waiters_create (TouWaiters **out)
{
  TouWaiters *waiters = g_new0 (TouWaiters, 1);

  pthread_mutex_init (&waiters->mutex, NULL);
  waiters->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  *out = waiters;
  return TOU_OK;
}

guint64
tou_waiters_add (TouWaiters *waiters, TouWaiter **out)
{
  TouWaiter *waiter = g_new0 (TouWaiter, 1);
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&waiter->answered, &attr);
  pthread_condattr_destroy (&attr);
  pthread_mutex_lock (&waiters->mutex);
  waiter->id = ++waiters->last_id;
  g_hash_table_insert (waiters->by_id, &waiter->id, waiter);
  pthread_mutex_unlock (&waiters->mutex);
  *out = waiter;
  return waiter->id;
}

gboolean
tou_waiters_deliver (TouWaiters *waiters, guint64 id, TouAction *action)
{
  TouWaiter *waiter;
  gboolean delivered = FALSE;

  pthread_mutex_lock (&waiters->mutex);
  waiter = g_hash_table_lookup (waiters->by_id, &id);
  if (waiter != NULL && !waiter->done)
    {
      waiter->answer = *action;
      waiter->done = TRUE;
      delivered = TRUE;
      pthread_cond_signal (&waiter->answered);
    }
  pthread_mutex_unlock (&waiters->mutex);
  return delivered;
}

static void
waiter_free (TouWaiter *waiter)
{
  pthread_cond_destroy (&waiter->answered);
  g_free (waiter);
}

gboolean
tou_waiters_wait (TouWaiters *waiters, TouWaiter *waiter, guint64 deadline_us,
                  TouAction *answer)
{
  struct timespec deadline
      = { .tv_sec = (time_t)(deadline_us / TOU_US_PER_S),
          .tv_nsec = (long)(deadline_us % TOU_US_PER_S) * NS_PER_US };
  gboolean done;
  int error = 0;

  pthread_mutex_lock (&waiters->mutex);
  while (!waiter->done && !waiters->closed && error == 0)
    error = pthread_cond_timedwait (&waiter->answered, &waiters->mutex,
                                    &deadline);
  g_hash_table_remove (waiters->by_id, &waiter->id);
  pthread_mutex_unlock (&waiters->mutex);
  done = waiter->done;
  if (done)
    *answer = waiter->answer;
  waiter_free (waiter);
  return done;
}

void
tou_waiters_remove (TouWaiters *waiters, TouWaiter *waiter)
{
  pthread_mutex_lock (&waiters->mutex);
  g_hash_table_remove (waiters->by_id, &waiter->id);
  pthread_mutex_unlock (&waiters->mutex);
  waiter_free (waiter);
}

void
tou_waiters_close (TouWaiters *waiters)
{
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&waiters->mutex);
  waiters->closed = TRUE;
  g_hash_table_iter_init (&iter, waiters->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pthread_cond_signal (&((TouWaiter *)value)->answered);
  pthread_mutex_unlock (&waiters->mutex);
}

void
tou_waiters_destroy (TouWaiters *waiters)
{
  if (waiters == NULL)
    return;
  g_hash_table_destroy (waiters->by_id);
  pthread_mutex_destroy (&waiters->mutex);
  g_free (waiters);
}
