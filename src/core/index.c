#include "index.h"

#include <string.h>

/* Maximum number of rounds kept. When full, every second round of the older
   half is dropped: recent rounds stay dense, and a dropped round can only make
   a computed age too high. */
#define TOU_INDEX_MAX_ROUNDS 64

/* Latest report of one endpoint. */
typedef struct
{
  gboolean reported;
  guint64 requested_us;
  TouLogPos last;
  guint64 fence_term;
} TouIndexSample;

/* Read index of one poll round. */
typedef struct
{
  guint64 started_us;
  TouLogPos read_index;
} TouIndexRound;

struct TouIndex
{
  guint n_endpoints;
  TouIndexSample samples[TOU_GROUP_MAX_ENDPOINTS];
  guint n_rounds;
  TouIndexRound rounds[TOU_INDEX_MAX_ROUNDS]; /* oldest first */
};

int
tou_index_create (TouIndex **out, guint n_endpoints)
{
  TouIndex *index;

  if (n_endpoints == 0 || n_endpoints > TOU_GROUP_MAX_ENDPOINTS)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "index of %u endpoints, permitted are 1 to %d",
                           n_endpoints, TOU_GROUP_MAX_ENDPOINTS);
  index = g_new0 (TouIndex, 1);
  index->n_endpoints = n_endpoints;
  *out = index;
  return TOU_OK;
}

void
tou_index_destroy (TouIndex *index)
{
  g_free (index);
}

static guint
index_majority (const TouIndex *index)
{
  return index->n_endpoints / 2 + 1;
}

static void
index_thin_rounds (TouIndex *index)
{
  guint kept = 0;

  for (guint i = 0; i < index->n_rounds; i++)
    if (i >= index->n_rounds / 2 || i % 2 == 1)
      index->rounds[kept++] = index->rounds[i];
  index->n_rounds = kept;
}

/* Sorts up to TOU_GROUP_MAX_ENDPOINTS positions, lowest first. */
static void
index_sort_positions (TouLogPos *items, guint count)
{
  for (guint i = 1; i < count; i++)
    for (guint k = i; k > 0 && tou_log_pos_compare (items[k - 1], items[k]) > 0;
         k--)
      {
        TouLogPos swap = items[k];

        items[k] = items[k - 1];
        items[k - 1] = swap;
      }
}

/* Returns the latest time such that a majority has answered requests sent at
   or after it, or 0. */
static guint64
index_majority_time (const TouIndex *index)
{
  guint64 best = 0;

  for (guint i = 0; i < index->n_endpoints; i++)
    {
      const TouIndexSample *sample = &index->samples[i];
      guint answered = 0;

      for (guint k = 0; k < index->n_endpoints; k++)
        if (index->samples[k].reported
            && index->samples[k].requested_us >= sample->requested_us)
          answered++;
      if (sample->reported && answered >= index_majority (index))
        best = MAX (best, sample->requested_us);
    }
  return best;
}

/* The highest position in any majority of answers is an upper bound for every
   acknowledged write, because two majorities share at least one database. The
   majority with the lowest such position is used, so that replicas reach the
   read index as early as possible. */
static void
index_add_round (TouIndex *index, guint64 started_us)
{
  TouLogPos answers[TOU_GROUP_MAX_ENDPOINTS] = { { 0, 0 } };
  TouIndexRound *last
      = index->n_rounds > 0 ? &index->rounds[index->n_rounds - 1] : NULL;
  TouIndexRound round = { .started_us = started_us };
  guint count = 0;

  for (guint i = 0; i < index->n_endpoints; i++)
    if (index->samples[i].reported
        && index->samples[i].requested_us >= started_us)
      answers[count++] = index->samples[i].last;
  index_sort_positions (answers, count);
  round.read_index = answers[index_majority (index) - 1];
  if (last != NULL && last->started_us == started_us)
    {
      if (tou_log_pos_compare (round.read_index, last->read_index) < 0)
        last->read_index = round.read_index;
      return;
    }
  if (index->n_rounds == TOU_INDEX_MAX_ROUNDS)
    index_thin_rounds (index);
  index->rounds[index->n_rounds++] = round;
}

void
tou_index_on_report (TouIndex *index, guint endpoint, guint64 requested_us,
                     guint64 received_us, const TouDbReport *report)
{
  TouIndexSample *sample;
  guint64 started_us;

  (void)received_us;
  if (endpoint >= index->n_endpoints)
    return;
  sample = &index->samples[endpoint];
  if (sample->reported && requested_us < sample->requested_us)
    return;
  sample->reported = TRUE;
  sample->requested_us = requested_us;
  sample->last = report->last;
  sample->fence_term = report->fence_term;
  started_us = index_majority_time (index);
  if (started_us > 0
      && (index->n_rounds == 0
          || started_us >= index->rounds[index->n_rounds - 1].started_us))
    index_add_round (index, started_us);
}

gboolean
tou_index_read_index (const TouIndex *index, guint64 not_before_us,
                      TouLogPos *out)
{
  for (guint i = 0; i < index->n_rounds; i++)
    if (index->rounds[i].started_us >= not_before_us)
      {
        *out = index->rounds[i].read_index;
        return TRUE;
      }
  return FALSE;
}

guint64
tou_index_age (const TouIndex *index, const TouGroupRecord *record,
               guint endpoint, guint64 now_us)
{
  if (endpoint >= index->n_endpoints || !index->samples[endpoint].reported)
    return G_MAXUINT64;
  for (guint i = index->n_rounds; i > 0; i--)
    {
      const TouIndexRound *round = &index->rounds[i - 1];

      if (tou_record_covers (record, index->samples[endpoint].last,
                             round->read_index))
        return now_us - MIN (now_us, round->started_us);
    }
  return G_MAXUINT64;
}

gboolean
tou_index_is_committed (const TouIndex *index, guint primary, TouLogPos pos)
{
  guint copies = 1;

  if (primary >= index->n_endpoints
#if defined(TOU_DEFECT_IGNORE_FENCE)                                           \
    || defined(TOU_DEFECT_IGNORE_FENCE_AND_TERM)
  )
#else
      || index->samples[primary].fence_term > pos.term)
#endif
    return FALSE;
  for (guint i = 0; i < index->n_endpoints; i++)
    {
      const TouIndexSample *sample = &index->samples[i];

      if (i != primary && sample->reported
#if !defined(TOU_DEFECT_IGNORE_FENCE)                                          \
    && !defined(TOU_DEFECT_IGNORE_FENCE_AND_TERM)
          && sample->fence_term <= pos.term
#endif
#ifndef TOU_DEFECT_IGNORE_FENCE_AND_TERM
          && sample->last.term == pos.term
#endif
          && sample->last.position >= pos.position)
        copies++;
    }
#ifdef TOU_DEFECT_ACK_WITHOUT_MAJORITY
  return copies >= 1;
#else
  return copies >= index_majority (index);
#endif
}
