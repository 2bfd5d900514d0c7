#include "loop.h"

#include <math.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S G_GINT64_CONSTANT (1000000000)
#define NS_PER_US 1000.0
#define EVENTS_MAX 64

/* A statement that is due or in progress. */
typedef struct
{
  gint64 due_ns;
  gboolean read;
  guint number;
} Arrival;

typedef struct
{
  const Target *target;
  const LoopOptions *options;
  GRand *random;
  GQueue waiting;     /* of Arrival *; due, without a connection */
  Arrival **running;  /* by connection */
  GArray *free_conns; /* of guint */
  guint n_running;
  guint n_arrived;
  gint64 next_ns;
  gint64 end_ns;
  LoopResult *result;
} Loop;

static gint64
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * NS_PER_S + t.tv_nsec;
}

/* Queues the statements that are due and draws when the next one is due. */
static void
loop_queue_due (Loop *loop, gint64 now)
{
  while (loop->next_ns <= now && loop->next_ns < loop->end_ns)
    {
      Arrival *arrival = g_new (Arrival, 1);
      double gap_s
          = -log (1.0 - g_rand_double (loop->random)) / loop->options->rate;

      arrival->due_ns = loop->next_ns;
      arrival->read = (guint)g_rand_int_range (loop->random, 0, 100)
                      >= loop->options->writes_percent;
      arrival->number = loop->n_arrived++;
      g_queue_push_tail (&loop->waiting, arrival);
      loop->next_ns += (gint64)(gap_s * (double)NS_PER_S);
    }
}

static void
loop_send (Loop *loop)
{
  const Target *target = loop->target;

  while (loop->free_conns->len > 0 && !g_queue_is_empty (&loop->waiting))
    {
      guint i
          = g_array_index (loop->free_conns, guint, loop->free_conns->len - 1);
      Arrival *arrival = g_queue_pop_head (&loop->waiting);

      g_array_set_size (loop->free_conns, loop->free_conns->len - 1);
      loop->running[i] = arrival;
      loop->n_running++;
      target->send (target->data, i, arrival->read, arrival->number);
    }
}

static void
loop_receive (Loop *loop, guint i)
{
  Arrival *arrival = loop->running[i];
  TargetState state = loop->target->receive (loop->target->data, i);
  gint64 latency_ns;

  if (state == TARGET_PENDING || arrival == NULL)
    return;
  latency_ns = now_ns () - arrival->due_ns;
  if (state == TARGET_FAILED)
    loop->result->failed++;
  g_array_append_val (
      arrival->read ? loop->result->reads : loop->result->writes, latency_ns);
  g_array_append_val (loop->result->all, latency_ns);
  loop->running[i] = NULL;
  loop->n_running--;
  g_array_append_val (loop->free_conns, i);
  g_free (arrival);
}

static void
loop_poll (Loop *loop, int epoll_fd)
{
  struct epoll_event events[EVENTS_MAX];
  gint64 wait_ns = MAX (loop->next_ns - now_ns (), 0);
  struct timespec timeout = { wait_ns / NS_PER_S, wait_ns % NS_PER_S };
  gboolean ended = loop->next_ns >= loop->end_ns;
  int n = epoll_pwait2 (epoll_fd, events, EVENTS_MAX, ended ? NULL : &timeout,
                        NULL);

  for (int i = 0; i < n; i++)
    loop_receive (loop, events[i].data.u32);
}

static int
loop_register_connections (Loop *loop)
{
  int epoll_fd = epoll_create1 (EPOLL_CLOEXEC);

  for (guint i = 0; i < loop->target->n; i++)
    {
      struct epoll_event event = { .events = EPOLLIN, .data.u32 = i };

      epoll_ctl (epoll_fd, EPOLL_CTL_ADD,
                 loop->target->fd (loop->target->data, i), &event);
      g_array_append_val (loop->free_conns, i);
    }
  return epoll_fd;
}

static gint
compare_ns (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

void
loop_run (LoopResult *out, const Target *target, const LoopOptions *options)
{
  Loop loop = { .target = target, .options = options, .result = out };
  int epoll_fd;

  *out = (LoopResult){ g_array_new (FALSE, FALSE, sizeof (gint64)),
                       g_array_new (FALSE, FALSE, sizeof (gint64)),
                       g_array_new (FALSE, FALSE, sizeof (gint64)), 0 };
  loop.random = g_rand_new_with_seed (options->seed);
  loop.running = g_new0 (Arrival *, target->n);
  loop.free_conns = g_array_new (FALSE, FALSE, sizeof (guint));
  g_queue_init (&loop.waiting);
  epoll_fd = loop_register_connections (&loop);
  loop.next_ns = now_ns ();
  loop.end_ns = loop.next_ns + (gint64)options->seconds * NS_PER_S;
  while (loop.next_ns < loop.end_ns || loop.n_running > 0
         || !g_queue_is_empty (&loop.waiting))
    {
      loop_queue_due (&loop, now_ns ());
      loop_send (&loop);
      loop_poll (&loop, epoll_fd);
    }
  close (epoll_fd);
  g_array_free (loop.free_conns, TRUE);
  g_free (loop.running);
  g_rand_free (loop.random);
  g_array_sort (out->reads, compare_ns);
  g_array_sort (out->writes, compare_ns);
  g_array_sort (out->all, compare_ns);
}

void
loop_result_clear (LoopResult *result)
{
  g_array_free (result->reads, TRUE);
  g_array_free (result->writes, TRUE);
  g_array_free (result->all, TRUE);
}

double
loop_percentile_us (const GArray *sorted, double percent)
{
  guint i;

  if (sorted->len == 0)
    return 0;
  i = MIN ((guint)(sorted->len * percent / 100), sorted->len - 1);
  return (double)g_array_index (sorted, gint64, i) / NS_PER_US;
}
