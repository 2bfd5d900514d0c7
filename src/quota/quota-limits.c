#include "quota-limits.h"

#include <string.h>

/* Shares of the excess; the remaining burst x excess and a quarter of the slack
   allow the debts of the issuers. */
#define LIMITS_CAPACITY_EXCESS 0.2
#define LIMITS_FLOAT_EXCESS 0.6
#define LIMITS_FLOAT_SLACK 0.5
#define LIMITS_START_EXCESS 0.2
#define LIMITS_START_SLACK 0.25
/* Multipliers of the splitmix64 mixer. */
#define LIMITS_MIX_1 G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define LIMITS_MIX_2 G_GUINT64_CONSTANT (0x94d049bb133111eb)

struct TouQuotaLimits
{
  TouName self;
  TouQuotaBounds bounds;
  guint n_issuers;
  TouName issuers[TOU_QUOTA_MAX_ISSUERS];
  guint32 self_mask; /* 0: this node is no issuer */
  gboolean recorded; /* the issuers are */
  guint generation;
  guint update;
  GHashTable *teams; /* TouName to TouQuotaLimit */
};

void
tou_quota_limits_create (TouQuotaLimits **out, const TouName *self,
                         const TouQuotaBounds *bounds)
{
  TouQuotaLimits *limits = g_new0 (TouQuotaLimits, 1);

  limits->self = *self;
  limits->bounds = *bounds;
  limits->teams = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, g_free);
  *out = limits;
}

void
tou_quota_limits_destroy (TouQuotaLimits *limits)
{
  if (limits == NULL)
    return;
  g_hash_table_destroy (limits->teams);
  g_free (limits);
}

/* Operations in a window that the bounds allow beyond the limit's rate, as a
   share of it. */
static double
limits_excess (const TouQuotaLimits *limits, const TouQuotaLimit *limit)
{
  return limits->bounds.excess * limit->rate * (double)limits->bounds.window_us
         / (double)TOU_US_PER_S;
}

static double
limits_capacity (const TouQuotaLimits *limits, const TouQuotaLimit *limit)
{
  return MAX (limit->burst,
              LIMITS_CAPACITY_EXCESS * limits_excess (limits, limit));
}

static double
limits_float (const TouQuotaLimits *limits, const TouQuotaLimit *limit, guint n)
{
  return MAX (n, LIMITS_FLOAT_EXCESS * limits_excess (limits, limit)
                     + LIMITS_FLOAT_SLACK * limits->bounds.slack);
}

static double
limits_start (const TouQuotaLimits *limits, const TouQuotaLimit *limit)
{
  return LIMITS_START_EXCESS * limits_excess (limits, limit)
         + LIMITS_START_SLACK * limits->bounds.slack;
}

/* Returns the number of issuers that the bounds allow for a team. */
static guint
limits_count_issuers (const TouQuotaLimits *limits, const TouQuotaLimit *limit)
{
  double allowed = limits_excess (limits, limit)
                   + limit->burst * (1 + limits->bounds.excess)
                   + limits->bounds.slack;
  guint n = limits->n_issuers;

  /* Each issuer is to begin with a credit. */
  while (n > 1
         && (n > limits_start (limits, limit)
             || limits_capacity (limits, limit) + n
                        + limits_float (limits, limit, n)
                        + limits_start (limits, limit)
                    > allowed))
    n--;
  return n;
}

static guint64
limits_hash (const TouName *team, const TouName *issuer)
{
  guint64 value = (guint64)tou_name_hash (team) << 32 | tou_name_hash (issuer);

  value = (value ^ (value >> 30)) * LIMITS_MIX_1;
  value = (value ^ (value >> 27)) * LIMITS_MIX_2;
  return value ^ (value >> 31);
}

/* Selects the issuers with the lowest hashes of their names and the team's. */
static void
limits_select (const TouQuotaLimits *limits, TouQuotaLimit *limit)
{
  guint64 hashes[TOU_QUOTA_MAX_ISSUERS];

  limit->n_issuers = limits_count_issuers (limits, limit);
  limit->issuers = 0;
  for (guint i = 0; i < limits->n_issuers; i++)
    hashes[i] = limits_hash (&limit->team, &limits->issuers[i]);
  for (guint i = 0; i < limits->n_issuers; i++)
    {
      guint rank = 0;

      for (guint j = 0; j < limits->n_issuers; j++)
        rank += hashes[j] < hashes[i] || (hashes[j] == hashes[i] && j < i);
      if (rank < limit->n_issuers)
        limit->issuers |= 1U << i;
    }
}

void
tou_quota_limits_begin_update (TouQuotaLimits *limits)
{
  limits->update++;
}

void
tou_quota_limits_set (TouQuotaLimits *limits, const TouName *team,
                      double rate_per_s, double burst, guint64 now_us)
{
  TouQuotaLimit *limit = g_hash_table_lookup (limits->teams, team);
  gboolean was_issuer = FALSE;
  gboolean is_new = limit == NULL;

  if (is_new)
    {
      limit = g_new0 (TouQuotaLimit, 1);
      limit->team = *team;
      g_hash_table_insert (limits->teams, &limit->team, limit);
    }
  else
    was_issuer = tou_quota_limits_is_issuer (limits, limit);
  limit->update = limits->update;
  limit->rate = rate_per_s;
  limit->burst = burst;
  limits_select (limits, limit);
  if (was_issuer)
    return;
  limit->since_us = now_us;
  limit->succeeds = !is_new || !limits->recorded;
}

static gboolean
limits_is_outdated (gpointer key, gpointer value, gpointer data)
{
  const TouQuotaLimits *limits = data;

  (void)key;
  return ((TouQuotaLimit *)value)->update != limits->update;
}

void
tou_quota_limits_end_update (TouQuotaLimits *limits)
{
  g_hash_table_foreach_remove (limits->teams, limits_is_outdated, limits);
}

guint
tou_quota_limits_count (const TouQuotaLimits *limits)
{
  return g_hash_table_size (limits->teams);
}

const TouQuotaLimit *
tou_quota_limits_get (const TouQuotaLimits *limits, const TouName *team)
{
  return g_hash_table_lookup (limits->teams, team);
}

void
tou_quota_limits_iterate (GHashTableIter *iter, const TouQuotaLimits *limits)
{
  g_hash_table_iter_init (iter, limits->teams);
}

/* Orders by hash first, so that all nodes drop the same ones of too many. */
static int
limits_compare_issuers (gconstpointer a, gconstpointer b)
{
  guint hash_a = tou_name_hash (a);
  guint hash_b = tou_name_hash (b);

  if (hash_a != hash_b)
    return hash_a < hash_b ? -1 : 1;
  return tou_name_compare (a, b);
}

static gboolean
limits_have_issuers (const TouQuotaLimits *limits, const TouName *names,
                     guint n)
{
  if (n != limits->n_issuers)
    return FALSE;
  for (guint i = 0; i < n; i++)
    if (!tou_name_equal (&names[i], &limits->issuers[i]))
      return FALSE;
  return TRUE;
}

void
tou_quota_limits_set_issuers (TouQuotaLimits *limits, const TouName *names,
                              guint n, gboolean recorded, guint64 now_us)
{
  GArray *sorted = g_array_new (FALSE, FALSE, sizeof (TouName));
  guint32 old_self = limits->self_mask;
  gboolean had_issuers = limits->n_issuers > 0;
  GHashTableIter iter;
  gpointer value;

  if (n > 0)
    g_array_append_vals (sorted, names, n);
  g_array_sort (sorted, limits_compare_issuers);
  g_array_set_size (sorted, MIN (n, TOU_QUOTA_MAX_ISSUERS));
  names = (const TouName *)(gpointer)sorted->data;
  if (!limits_have_issuers (limits, names, sorted->len))
    {
      limits->generation++;
      limits->recorded = recorded;
      limits->n_issuers = sorted->len;
      limits->self_mask = 0;
      for (guint i = 0; i < sorted->len; i++)
        {
          limits->issuers[i] = names[i];
          if (tou_name_equal (&names[i], &limits->self))
            limits->self_mask = 1U << i;
        }
      g_hash_table_iter_init (&iter, limits->teams);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          TouQuotaLimit *limit = value;
          gboolean was_issuer = (limit->issuers & old_self) != 0;

          limits_select (limits, limit);
          if (was_issuer)
            continue;
          limit->since_us = now_us;
          limit->succeeds = had_issuers || !recorded;
        }
    }
  g_array_unref (sorted);
}

const TouName *
tou_quota_limits_issuers (const TouQuotaLimits *limits, guint *n)
{
  *n = limits->n_issuers;
  return limits->issuers;
}

guint
tou_quota_limits_generation (const TouQuotaLimits *limits)
{
  return limits->generation;
}

gboolean
tou_quota_limits_is_issuer (const TouQuotaLimits *limits,
                            const TouQuotaLimit *limit)
{
  return (limit->issuers & limits->self_mask) != 0;
}

double
tou_quota_limits_refill (const TouQuotaLimit *limit)
{
  return limit->rate / MAX (limit->n_issuers, 1);
}

double
tou_quota_limits_capacity (const TouQuotaLimits *limits,
                           const TouQuotaLimit *limit)
{
  return limits_capacity (limits, limit) / MAX (limit->n_issuers, 1);
}

double
tou_quota_limits_float (const TouQuotaLimits *limits,
                        const TouQuotaLimit *limit)
{
  guint n = MAX (limit->n_issuers, 1);

  return limits_float (limits, limit, n) / n;
}

double
tou_quota_limits_start (const TouQuotaLimits *limits,
                        const TouQuotaLimit *limit)
{
  return limits_start (limits, limit) / MAX (limit->n_issuers, 1);
}
