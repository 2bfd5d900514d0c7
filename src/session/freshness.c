#include "freshness.h"

/* 32 samples at least 100 ms apart cover more than ages of 2.5 s. */
#define FRESHNESS_SAMPLES 32
#define FRESHNESS_SPACING_US (100 * TOU_US_PER_MS)

typedef struct
{
  guint64 sent_us;
  TouLogPos pos;
} FreshnessSample;

struct TouFreshness
{
  FreshnessSample samples[FRESHNESS_SAMPLES]; /* ring, by send time */
  guint first;
  guint count;
};

int
tou_freshness_create (TouFreshness **out)
{
  *out = g_new0 (TouFreshness, 1);
  return TOU_OK;
}

void
tou_freshness_destroy (TouFreshness *freshness)
{
  g_free (freshness);
}

static const FreshnessSample *
freshness_sample (const TouFreshness *freshness, guint i)
{
  return &freshness->samples[(freshness->first + i) % FRESHNESS_SAMPLES];
}

guint64
tou_freshness_newest_us (const TouFreshness *freshness)
{
  return freshness->count == 0
             ? 0
             : freshness_sample (freshness, freshness->count - 1)->sent_us;
}

void
tou_freshness_add (TouFreshness *freshness, guint64 sent_us, TouLogPos pos)
{
  FreshnessSample *sample;

  if (pos.term == 0)
    return;
  if (freshness->count > 0
      && sent_us < tou_freshness_newest_us (freshness) + FRESHNESS_SPACING_US)
    return;
  if (freshness->count == FRESHNESS_SAMPLES)
    {
      freshness->first = (freshness->first + 1) % FRESHNESS_SAMPLES;
      freshness->count--;
    }
  sample = &freshness->samples[(freshness->first + freshness->count)
                               % FRESHNESS_SAMPLES];
  sample->sent_us = sent_us;
  sample->pos = pos;
  freshness->count++;
}

gboolean
tou_freshness_required (const TouFreshness *freshness, guint64 since_us,
                        TouLogPos *out)
{
  for (guint i = 0; i < freshness->count; i++)
    {
      const FreshnessSample *sample = freshness_sample (freshness, i);

      if (sample->sent_us < since_us)
        continue;
      *out = sample->pos;
      return TRUE;
    }
  return FALSE;
}
