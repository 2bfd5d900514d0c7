#include "pace.h"

/* Answers are within the normal time up to this multiple of it: a database with
   cold caches that takes 1.6 times as long is not held back. Above the second
   multiple the limit is lowered. */
#define PACE_NORMAL_FACTOR 2
#define PACE_SLOW_FACTOR 4
/* Variation of the network that counts as normal. */
#define PACE_JITTER_US (2 * TOU_US_PER_MS)
/* Weights of a sample, as shifts: in the normal time, which must not follow one
   mix of statements, and in the average of a pacing, which has few samples. */
#define PACE_NORMAL_SHIFT 4
#define PACE_AVERAGE_SHIFT 2
/* Increase of the limit for each answer within the normal time: it doubles with
   each round trip, so that six statements take three of them. */
#define PACE_GROWTH 1.0
/* The same for an answer that is slower, divided by the limit. */
#define PACE_SLOW_GROWTH 0.25
/* Factors after a failure or refusal and after slow answers. */
#define PACE_FAILED_FACTOR 0.5
#define PACE_REDUCE_FACTOR 0.8
/* Minimum time between reductions for slow answers. */
#define PACE_REDUCE_INTERVAL_US (100 * TOU_US_PER_MS)
/* Pause after a failure at a database that others can replace; it doubles with
   each consecutive failure, up to the shift. A failing database answers at
   once, so it would take most of the waiting statements without a pause. */
#define PACE_PAUSE_US (25 * TOU_US_PER_MS)
#define PACE_PAUSE_MAX_SHIFT 3
/* Maximum shift of the pause after a refusal, which applies to every database.
   A full queue of 32 statements of 10 ms is empty after 80 ms on 4 slots. */
#define PACE_REFUSED_MAX_SHIFT 2
/* Recent beginnings that count. Growth is divided by one more than their
   number, and each delays the first statement. One is forgotten in each
   interval. */
#define PACE_CAUTION_MAX 4
#define PACE_CAUTION_PAUSE_US (50 * TOU_US_PER_MS)
#define PACE_CAUTION_FADE_US (10 * TOU_US_PER_S)
/* One more statement may be sent after each interval without an answer. The
   second applies if other databases can run the statements: each of them costs
   a client the time until its deadline. */
#define PACE_SILENCE_SOLE_US (500 * TOU_US_PER_MS)
#define PACE_SILENCE_US (2 * TOU_US_PER_S)
/* A pacing without failures ends after this time and number of answers,
   whatever their times: the window limits a slow database as well. */
#define PACE_STEADY_US (2 * TOU_US_PER_S)
#define PACE_STEADY_ANSWERS 8
/* Weight of a statement in the share of failed ones. With the limit, three
   consecutive failures begin a pacing. */
#define PACE_SHARE_WEIGHT 0.125
#define PACE_FAILING_SHARE 0.25
/* Links beyond the limit, so that the next statement need not wait for one. */
#define PACE_SPARE_LINKS 1
/* Links being opened per statements of the limit. */
#define PACE_OPENING_DIVISOR 2

static const char *const pace_reason_names[]
    = { "registered", "restarted", "answers", "failing" };

const char *
tou_pace_reason_name (TouPaceReason reason)
{
  return pace_reason_names[reason];
}

static guint64
pace_average (guint64 average_us, guint64 sample_us, guint shift)
{
  if (average_us == 0)
    return MAX (sample_us, 1);
  return MAX (average_us - (average_us >> shift) + (sample_us >> shift), 1);
}

/* Counts a beginning; those before it fade. */
static void
pace_count_beginning (TouPace *pace, guint64 now_us)
{
  double faded
      = (double)(now_us - pace->began_us) / (double)PACE_CAUTION_FADE_US;

  if (pace->began_us == 0 || faded >= PACE_CAUTION_MAX)
    pace->caution = 0;
  else
    pace->caution = MIN (MAX (pace->caution - faded, 0) + 1, PACE_CAUTION_MAX);
}

void
tou_pace_begin (TouPace *pace, TouPaceReason reason, guint64 normal_us,
                guint64 now_us)
{
  /* A database that restarts is first registered and answers later. */
  gboolean unused = pace->active && pace->n_done == 0 && pace->n_failed == 0;

  if (!unused)
    pace_count_beginning (pace, now_us);
  pace->active = TRUE;
  pace->reason = reason;
  pace->limit = 1;
  pace->began_us = now_us;
  pace->heard_us = now_us;
  pace->resume_us = now_us;
  if (reason != TOU_PACE_FAILING)
    pace->resume_us += (guint64)(pace->caution * (double)PACE_CAUTION_PAUSE_US);
  pace->full_until_us = 0;
  pace->reduced_us = 0;
  pace->steady_us = 0;
  pace->n_done = 0;
  pace->n_failed = 0;
  if (pace->normal_us == 0)
    pace->normal_us = normal_us;
  pace->average_us = 0;
  pace->best_us = 0;
}

static double
pace_growth (const TouPace *pace)
{
  return PACE_GROWTH / (1 + pace->caution);
}

/* TRUE if the answers take at most @a factor times the normal time. */
static gboolean
pace_is_within (const TouPace *pace, guint factor)
{
  guint64 normal_us = pace->normal_us != 0 ? pace->normal_us : pace->best_us;

  return pace->average_us <= normal_us * factor + PACE_JITTER_US;
}

/* Raises, holds or lowers the limit after a statement that was run. */
static void
pace_adjust (TouPace *pace, gboolean sole, guint64 now_us)
{
  if (pace_is_within (pace, PACE_NORMAL_FACTOR))
    pace->limit += pace_growth (pace);
  else if (sole || pace_is_within (pace, PACE_SLOW_FACTOR))
    pace->limit += pace_growth (pace) * PACE_SLOW_GROWTH / pace->limit;
  else if (now_us >= pace->reduced_us + PACE_REDUCE_INTERVAL_US)
    {
      pace->reduced_us = now_us;
      pace->limit = MAX (pace->limit * PACE_REDUCE_FACTOR, 1);
    }
}

static void
pace_on_done (TouPace *pace, const TouPaceAnswer *answer, guint64 now_us)
{
  pace->failed_share -= pace->failed_share * PACE_SHARE_WEIGHT;
  pace->n_failed = 0;
  if (!pace->active)
    {
      pace->normal_us = pace_average (pace->normal_us, answer->service_us,
                                      PACE_NORMAL_SHIFT);
      return;
    }
  pace->average_us
      = pace_average (pace->average_us, answer->service_us, PACE_AVERAGE_SHIFT);
  if (pace->best_us == 0 || pace->average_us < pace->best_us)
    pace->best_us = pace->average_us;
  if (pace->n_done++ == 0)
    pace->steady_us = now_us;
  pace_adjust (pace, answer->sole, now_us);
}

static void
pace_on_failure (TouPace *pace, const TouPaceAnswer *answer, guint64 now_us)
{
  gboolean refused = answer->outcome == TOU_PACE_REFUSED;
  guint shift = MIN (pace->n_failed,
                     refused ? PACE_REFUSED_MAX_SHIFT : PACE_PAUSE_MAX_SHIFT);
  guint64 resume_us = now_us + (PACE_PAUSE_US << shift);

  /* A full queue is the result of load, which the window handles. */
  if (!refused)
    pace->failed_share += (1 - pace->failed_share) * PACE_SHARE_WEIGHT;
  if (!pace->active)
    return;
  pace->n_failed++;
  if (answer->sole && answer->outcome == TOU_PACE_FAILED)
    return;
  pace->n_done = 0;
  pace->steady_us = 0;
  /* A database that fails a part of its statements serves the others, which
     counts when the rest of the group is busy. */
  if (answer->outcome == TOU_PACE_FAILED && pace->n_failed == 1)
    {
      pace->limit = MAX (pace->limit - pace_growth (pace), 1);
      return;
    }
  pace->limit = MAX (pace->limit * PACE_FAILED_FACTOR, 1);
  pace->resume_us = MAX (pace->resume_us, resume_us);
  if (refused)
    pace->full_until_us = MAX (pace->full_until_us, resume_us);
}

void
tou_pace_on_answer (TouPace *pace, const TouPaceAnswer *answer, guint64 now_us)
{
  if (answer->sent_us < pace->began_us)
    return;
  pace->heard_us = now_us;
  switch (answer->outcome)
    {
    case TOU_PACE_DONE:
      pace_on_done (pace, answer, now_us);
      break;
    case TOU_PACE_FAILED:
    case TOU_PACE_REFUSED:
    case TOU_PACE_LOST:
      pace_on_failure (pace, answer, now_us);
      break;
    }
}

gboolean
tou_pace_is_failing (const TouPace *pace)
{
  return !pace->active && pace->failed_share >= PACE_FAILING_SHARE;
}

gboolean
tou_pace_allows (TouPace *pace, guint n_in_flight, gboolean urgent,
                 gboolean sole, guint64 now_us)
{
  guint64 silence_us = sole ? PACE_SILENCE_SOLE_US : PACE_SILENCE_US;

  if (!pace->active)
    return TRUE;
  if (n_in_flight == 0)
    pace->heard_us = now_us;
  if (now_us < (sole ? pace->full_until_us : pace->resume_us))
    return FALSE;
  return n_in_flight < (guint)pace->limit + (urgent ? 1 : 0)
                           + (now_us - pace->heard_us) / silence_us;
}

gboolean
tou_pace_allows_link (const TouPace *pace, guint n_links, guint n_opening)
{
  guint limit = (guint)pace->limit;

  return !pace->active
         || (n_links < limit + PACE_SPARE_LINKS
             && n_opening < MAX (limit / PACE_OPENING_DIVISOR, 1));
}

gboolean
tou_pace_is_done (const TouPace *pace, double window, guint64 now_us)
{
  if (!pace->active || pace->n_done == 0)
    return FALSE;
  return ((guint)pace->limit >= (guint)MAX (window, 1)
          && pace_is_within (pace, PACE_NORMAL_FACTOR))
         || (pace->n_done >= PACE_STEADY_ANSWERS
             && now_us >= pace->steady_us + PACE_STEADY_US);
}

void
tou_pace_end (TouPace *pace)
{
  pace->active = FALSE;
  if (pace->normal_us == 0)
    pace->normal_us = pace->best_us;
}
