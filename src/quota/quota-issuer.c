#include "quota-issuer.h"

#include <math.h>

/* A holder's sequence numbers are forgotten after this time. Later replies are
   of no use to it, because the credit in them has expired. */
#define ISSUER_HOLDER_IDLE_US (5 * TOU_US_PER_S)
/* For this long after an issuer has started, credit of its predecessor may be
   in use. If that is another node, which may also still issue, it waits.
   Otherwise the predecessor was the last process of this node: it issues its
   rate at once, and the rest of its start level afterwards. */
#define ISSUER_START_US TOU_QUOTA_CREDIT_US
/* A new bucket forgets a debt of up to one credit, so it starts with one. */
#define ISSUER_START_LEVEL (-1.0)
/* Time until holders ask again: for use of credit to be reported, and for a
   majority to be heard. */
#define ISSUER_OUTSTANDING_RETRY_US (50 * TOU_US_PER_MS)
#define ISSUER_MAJORITY_RETRY_US (200 * TOU_US_PER_MS)
/* Share of an issuer's capacity that only urgent operations use. These are few,
   and would otherwise be refused under a flood of less urgent ones. */
#define ISSUER_RESERVE_SHARE 0.1
/* Time until a holder asks again for what is not urgent. */
#define ISSUER_RESERVED_RETRY_US (100 * TOU_US_PER_MS)
/* Guard conversions and sums against extreme limits and malformed messages. */
#define ISSUER_MAX_CREDIT G_MAXUINT32
#define ISSUER_MAX_RETRY_US (3600 * TOU_US_PER_S)

/* Unspent credit of a holder. */
typedef struct
{
  guint64 holder; /* number of the holder */
  guint64 amount;
  guint64 expires_us;
} IssuerGrant;

typedef struct
{
  TouName team;
  double level;
  guint64 updated_us;
  guint64 since_us; /* of the limit when the bucket was started */
  gboolean started; /* the start level has been added */
  guint64 outstanding;
  GArray *grants; /* of IssuerGrant, at most one for each holder */
} IssuerTeam;

typedef struct
{
  TouRequestId id; /* name and incarnation of the holder */
  guint64 number;
  guint64 sequence;
  guint64 seen_us;
} IssuerHolder;

struct TouQuotaIssuer
{
  TouName self;
  const TouQuotaLimits *limits;
  GHashTable *teams;   /* TouName to IssuerTeam: those in use */
  GHashTable *holders; /* TouRequestId to IssuerHolder */
  guint64 n_numbers;
};

static void
issuer_team_free (gpointer data)
{
  IssuerTeam *team = data;

  g_array_unref (team->grants);
  g_free (team);
}

void
tou_quota_issuer_create (TouQuotaIssuer **out, const TouName *self,
                         const TouQuotaLimits *limits)
{
  TouQuotaIssuer *issuer = g_new0 (TouQuotaIssuer, 1);

  issuer->self = *self;
  issuer->limits = limits;
  issuer->teams = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, issuer_team_free);
  issuer->holders = g_hash_table_new_full (
      tou_request_id_hash, tou_request_id_equal_func, NULL, g_free);
  *out = issuer;
}

void
tou_quota_issuer_destroy (TouQuotaIssuer *issuer)
{
  if (issuer == NULL)
    return;
  g_hash_table_destroy (issuer->teams);
  g_hash_table_destroy (issuer->holders);
  g_free (issuer);
}

static gboolean
issuer_is_starting (const TouQuotaLimit *limit, guint64 now_us)
{
  return now_us < limit->since_us + ISSUER_START_US;
}

/* Returns the level of a bucket that had @a level at @a updated_us. While a new
   issuer waits, its share of the rate is not used and adds up. */
static double
issuer_level (const TouQuotaIssuer *issuer, const TouQuotaLimit *limit,
              double level, guint64 updated_us, guint64 now_us)
{
  guint64 from_us = MAX (updated_us, limit->since_us);

  if (now_us > from_us)
    level += tou_quota_limits_refill (limit) * (double)(now_us - from_us)
             / (double)TOU_US_PER_S;
  return MIN (level, tou_quota_limits_capacity (issuer->limits, limit));
}

/* Returns the level of a bucket that has not been used since it was started. */
static double
issuer_unused_level (const TouQuotaIssuer *issuer, const TouQuotaLimit *limit,
                     guint64 now_us)
{
  double level = ISSUER_START_LEVEL;

  if (!issuer_is_starting (limit, now_us))
    level += tou_quota_limits_start (issuer->limits, limit);
  return issuer_level (issuer, limit, level, 0, now_us);
}

static void
issuer_team_expire (IssuerTeam *team, guint64 now_us)
{
  for (guint i = team->grants->len; i > 0; i--)
    {
      const IssuerGrant *grant
          = &g_array_index (team->grants, IssuerGrant, i - 1);

      if (now_us < grant->expires_us)
        continue;
      team->outstanding -= grant->amount;
      g_array_remove_index_fast (team->grants, i - 1);
    }
}

/* Returns the level of a bucket whose issuer has just started. The last process
   may have left a whole float, so this bucket and its unspent credit are at
   most its capacity. */
static double
issuer_start_limit (const TouQuotaIssuer *issuer, const TouQuotaLimit *limit,
                    const IssuerTeam *team)
{
  double room = tou_quota_limits_capacity (issuer->limits, limit)
                - (double)team->outstanding;

  return MIN (team->level, MAX (room, ISSUER_START_LEVEL));
}

/* Returns the state of a team as of now. */
static IssuerTeam *
issuer_team_get (TouQuotaIssuer *issuer, const TouQuotaLimit *limit,
                 guint64 now_us)
{
  IssuerTeam *team = g_hash_table_lookup (issuer->teams, &limit->team);

  if (team == NULL)
    {
      team = g_new0 (IssuerTeam, 1);
      team->team = limit->team;
      team->grants = g_array_new (FALSE, FALSE, sizeof (IssuerGrant));
      g_hash_table_insert (issuer->teams, &team->team, team);
    }
  if (team->updated_us == 0 || team->since_us != limit->since_us)
    {
      team->since_us = limit->since_us;
      team->started = !issuer_is_starting (limit, now_us);
      team->level = issuer_unused_level (issuer, limit, now_us);
    }
  else
    {
      if (!team->started && !issuer_is_starting (limit, now_us))
        {
          team->started = TRUE;
          team->level += tou_quota_limits_start (issuer->limits, limit);
        }
      team->level
          = issuer_level (issuer, limit, team->level, team->updated_us, now_us);
    }
  team->updated_us = now_us;
  issuer_team_expire (team, now_us);
  if (issuer_is_starting (limit, now_us))
    team->level = issuer_start_limit (issuer, limit, team);
  return team;
}

/* Sets the unspent credit of a holder. @return what it was before */
static guint64
issuer_team_set (IssuerTeam *team, guint64 holder, guint64 amount,
                 guint64 now_us)
{
  IssuerGrant added = { holder, amount, now_us + TOU_QUOTA_CREDIT_US };
  guint64 before = 0;
  guint i = 0;

  while (i < team->grants->len
         && g_array_index (team->grants, IssuerGrant, i).holder != holder)
    i++;
  if (i < team->grants->len)
    {
      before = g_array_index (team->grants, IssuerGrant, i).amount;
      g_array_remove_index_fast (team->grants, i);
    }
  if (amount > 0)
    g_array_append_val (team->grants, added);
  team->outstanding = team->outstanding - before + amount;
  return before;
}

/* Returns the credit that can be granted to urgent operations, and why it is
   not more. */
static guint64
issuer_team_available (const TouQuotaIssuer *issuer, const IssuerTeam *team,
                       const TouQuotaLimit *limit, TouQuotaGrant *grant)
{
  double refill = tou_quota_limits_refill (limit);
  double room = floor (tou_quota_limits_float (issuer->limits, limit))
                - (double)team->outstanding;
  double level = CLAMP (ceil (team->level), 0, ISSUER_MAX_CREDIT);

  if (room < level)
    {
      grant->cause = TOU_QUOTA_OUTSTANDING;
      grant->retry_us = ISSUER_OUTSTANDING_RETRY_US;
      return room > 0 ? (guint64)room : 0;
    }
  grant->cause = TOU_QUOTA_EMPTY;
  /* Until the level is above 0 after all of it has been granted. */
  grant->retry_us
      = 1
        + (guint64)MIN ((level - team->level) / refill * (double)TOU_US_PER_S,
                        (double)ISSUER_MAX_RETRY_US);
  return (guint64)level;
}

/* Returns the part of the level that is left to urgent operations. */
static guint64
issuer_team_reserve (const TouQuotaIssuer *issuer, const IssuerTeam *team,
                     const TouQuotaLimit *limit)
{
  double reserve = ISSUER_RESERVE_SHARE
                   * tou_quota_limits_capacity (issuer->limits, limit);

  return (guint64)CLAMP (reserve, 0, MAX (team->level, 0));
}

/* Returns the holder of a request that is later than its last one, or NULL. */
static IssuerHolder *
issuer_find_holder (TouQuotaIssuer *issuer, const TouQuotaRequest *request,
                    guint64 now_us)
{
  TouRequestId id = { request->holder, request->incarnation, 0 };
  IssuerHolder *holder = g_hash_table_lookup (issuer->holders, &id);

  if (holder == NULL)
    {
      holder = g_new0 (IssuerHolder, 1);
      holder->id = id;
      holder->number = issuer->n_numbers++;
      g_hash_table_insert (issuer->holders, &holder->id, holder);
    }
  else if (request->sequence <= holder->sequence)
    return NULL;
  holder->sequence = request->sequence;
  holder->seen_us = now_us;
  return holder;
}

static void
issuer_on_demand (TouQuotaIssuer *issuer, TouQuotaGrant *grant,
                  const TouQuotaDemand *demand, const IssuerHolder *holder,
                  gboolean may_issue, guint64 now_us)
{
  const TouQuotaLimit *limit
      = tou_quota_limits_get (issuer->limits, &demand->team);
  guint64 held = MIN (demand->held, ISSUER_MAX_CREDIT);
  guint64 available;
  guint64 reserve;
  guint64 before;
  IssuerTeam *team;

  grant->team = demand->team;
  grant->granted = 0;
  grant->retry_us = ISSUER_MAJORITY_RETRY_US;
  if (limit == NULL || !tou_quota_limits_is_issuer (issuer->limits, limit))
    {
      grant->cause = TOU_QUOTA_NOT_ISSUER;
      return;
    }
  team = issuer_team_get (issuer, limit, now_us);
  before = issuer_team_set (team, holder->number, held, now_us);
  if (before > held)
    team->level
        = MIN (team->level + (double)MIN (demand->returned, before - held),
               tou_quota_limits_capacity (issuer->limits, limit));
  grant->cause = TOU_QUOTA_NO_MAJORITY;
  if (!may_issue)
    return;
  if (limit->succeeds && issuer_is_starting (limit, now_us))
    {
      grant->cause = TOU_QUOTA_STARTING;
      grant->retry_us = limit->since_us + ISSUER_START_US - now_us;
      return;
    }
  available = issuer_team_available (issuer, team, limit, grant);
  reserve = issuer_team_reserve (issuer, team, limit);
  grant->granted = MIN (demand->want, available - MIN (available, reserve));
  if (grant->granted < demand->urgent)
    grant->granted = MIN (MIN (demand->urgent, demand->want), available);
  if (grant->granted < MIN (demand->want, available))
    {
      grant->cause = TOU_QUOTA_RESERVED;
      grant->retry_us = ISSUER_RESERVED_RETRY_US;
    }
  if (grant->granted == demand->want)
    {
      grant->cause = TOU_QUOTA_ENOUGH;
      grant->retry_us = 0;
    }
  if (grant->granted == 0)
    return;
  team->level -= (double)grant->granted;
  issuer_team_set (team, holder->number, held + grant->granted, now_us);
}

gboolean
tou_quota_issuer_on_request (TouQuotaIssuer *issuer, TouQuotaReply *reply,
                             const TouQuotaRequest *request, gboolean may_issue,
                             guint64 now_us)
{
  const IssuerHolder *holder = issuer_find_holder (issuer, request, now_us);

  if (holder == NULL)
    return FALSE;
  reply->issuer = issuer->self;
  reply->incarnation = request->incarnation;
  reply->sequence = request->sequence;
  reply->n = 0;
  for (guint i = 0; i < request->n; i++)
    {
      issuer_on_demand (issuer, &reply->entries[reply->n], &request->entries[i],
                        holder, may_issue, now_us);
      /* A report of use needs no answer. */
      reply->n += request->entries[i].want > 0;
    }
  return TRUE;
}

void
tou_quota_issuer_sweep (TouQuotaIssuer *issuer, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, issuer->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us >= ((IssuerHolder *)value)->seen_us + ISSUER_HOLDER_IDLE_US)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, issuer->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      IssuerTeam *team = value;
      const TouQuotaLimit *limit
          = tou_quota_limits_get (issuer->limits, &team->team);
      double capacity;

      if (limit == NULL || !tou_quota_limits_is_issuer (issuer->limits, limit))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      issuer_team_get (issuer, limit, now_us);
      capacity = tou_quota_limits_capacity (issuer->limits, limit);
      /* A bucket without state counts as full from this time on. */
      if (team->outstanding == 0 && team->level >= capacity
          && issuer_unused_level (issuer, limit, now_us) >= capacity)
        g_hash_table_iter_remove (&iter);
    }
}

void
tou_quota_issuer_get_state (TouQuotaIssuerState *out, TouQuotaIssuer *issuer,
                            const TouName *team, guint64 now_us)
{
  const TouQuotaLimit *limit = tou_quota_limits_get (issuer->limits, team);
  IssuerTeam *state = g_hash_table_lookup (issuer->teams, team);

  out->level = 0;
  out->outstanding = 0;
  if (limit == NULL || !tou_quota_limits_is_issuer (issuer->limits, limit))
    return;
  if (state == NULL)
    {
      out->level = issuer_unused_level (issuer, limit, now_us);
      return;
    }
  state = issuer_team_get (issuer, limit, now_us);
  out->level = state->level;
  out->outstanding = state->outstanding;
}

guint
tou_quota_issuer_count (const TouQuotaIssuer *issuer)
{
  return g_hash_table_size (issuer->teams);
}
