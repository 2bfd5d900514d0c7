#include "window.h"

/* Weight of a new sample: 1 / 8. */
#define WINDOW_AVERAGE_SHIFT 3
/* Reduction factors after a slow answer and after a refusal. */
#define WINDOW_SLOW_FACTOR 0.85
#define WINDOW_REFUSED_FACTOR 0.5
/* Minimum time between reductions: a reduction takes this long to have an
   effect. */
#define WINDOW_REDUCE_INTERVAL_US (60 * TOU_US_PER_MS)
/* With many nodes per database, a node's window may be below one statement. */
#define WINDOW_MIN 0.2
/* Increase for each answer within the target, divided by the size: a full
   window of answers increases it by half a statement. */
#define WINDOW_GROWTH 0.5
/* Maximum size beyond the slots: one statement in transit in each direction. */
#define WINDOW_EXTRA 2
/* Number of urgent statements that may exceed the window. */
#define WINDOW_URGENT_EXTRA 2

guint64
tou_window_average (guint64 average, guint64 sample)
{
  return average - (average >> WINDOW_AVERAGE_SHIFT)
         + (sample >> WINDOW_AVERAGE_SHIFT);
}

void
tou_window_init (TouWindow *window, guint slots)
{
  window->size = MAX (slots, 1);
  window->rtt_us = 0;
  window->residence_us = 0;
  window->reduced_us = 0;
  window->resume_us = 0;
}

void
tou_window_round_trip (TouWindow *window, guint64 rtt_us)
{
  if (window->rtt_us == 0 || rtt_us < window->rtt_us)
    window->rtt_us = rtt_us;
}

static void
window_reduce (TouWindow *window, double factor, guint64 now_us)
{
  if (now_us < window->reduced_us + WINDOW_REDUCE_INTERVAL_US)
    return;
  window->reduced_us = now_us;
  window->size = MAX (window->size * factor, WINDOW_MIN);
}

void
tou_window_answered (TouWindow *window, guint64 elapsed_us, guint64 target_us,
                     guint slots, guint64 now_us)
{
  guint64 residence_us = elapsed_us - MIN (window->rtt_us, elapsed_us);

  window->residence_us
      = tou_window_average (window->residence_us, residence_us);
  if (window->residence_us > target_us)
    window_reduce (window, WINDOW_SLOW_FACTOR, now_us);
  else
    window->size = MIN (window->size + WINDOW_GROWTH / MAX (window->size, 1),
                        (double)slots + WINDOW_EXTRA);
  window->resume_us = now_us;
  if (window->size < 1)
    window->resume_us
        += (guint64)((double)residence_us * (1 / window->size - 1));
}

void
tou_window_refused (TouWindow *window, guint64 now_us)
{
  window_reduce (window, WINDOW_REFUSED_FACTOR, now_us);
}

gboolean
tou_window_has_room (const TouWindow *window, guint n_in_flight,
                     gboolean urgent, guint64 now_us)
{
  guint room = (guint)MAX (window->size, 1);

  if (urgent)
    return n_in_flight < room + WINDOW_URGENT_EXTRA;
  return n_in_flight < room && now_us >= window->resume_us;
}
