#include "quota-holder.h"

#include <string.h>

/* A request without a reply for this long is lost: four times the round trip
   between regions. */
#define HOLDER_TIMEOUT_US (100 * TOU_US_PER_MS)
/* Another issuer is asked after this time already: twice the round trip between
   regions. */
#define HOLDER_SLOW_US (50 * TOU_US_PER_MS)
/* An issuer that did not reply is not asked again for this long: after a lost
   message, and after HOLDER_LOST_REQUESTS of them in a row. */
#define HOLDER_LOST_US (100 * TOU_US_PER_MS)
#define HOLDER_SILENT_US (500 * TOU_US_PER_MS)
#define HOLDER_LOST_REQUESTS 2
/* Used credit is reported within this time, so that it takes little of the
   issuer's float. */
#define HOLDER_REPORT_US (50 * TOU_US_PER_MS)
/* The stock covers the demand until the next reply: an interval of requests and
   a round trip between regions. */
#define HOLDER_STOCK_US (60 * TOU_US_PER_MS)
/* Credit that has not been needed for this long is given up, before it expires
   and is lost to the team. */
#define HOLDER_UNUSED_US (300 * TOU_US_PER_MS)
/* Guards sums against malformed messages. */
#define HOLDER_MAX_RETRY_US (3600 * TOU_US_PER_S)
/* While credit has been short for less than this time, operations wait for it:
   a team whose backlog passes, such as after a restart, is served later instead
   of refused. One that exceeds its limit for longer is refused at once. */
#define HOLDER_SHORTAGE_US (1 * TOU_US_PER_S)
/* Time over which the demand is averaged. */
#define HOLDER_DEMAND_US (500 * TOU_US_PER_MS)
/* The state of a team that is unused for this long is dropped, and looked for
   at this interval. */
#define HOLDER_IDLE_US (2 * TOU_US_PER_S)
#define HOLDER_SWEEP_US (1 * TOU_US_PER_S)
/* Estimated limit of the bytes of a request, for one packet; and the bytes of
   a team besides its name. */
#define HOLDER_MAX_BYTES 1200
#define HOLDER_ENTRY_BYTES 12

/* Credit of one reply. */
typedef struct
{
  gint issuer;
  guint64 amount;
  guint64 received_us;
  guint64 expires_us;
} HolderLot;

typedef struct
{
  TouName team;
  GArray *lots; /* of HolderLot, oldest first */
  guint waiting;
  guint urgent;  /* of these */
  double demand; /* operations per second on this node */
  guint64 demand_us;
  guint64 used_us;     /* last operation */
  guint32 none;        /* issuers without credit in this round */
  guint32 none_urgent; /* those without credit for urgent operations either */
  guint32 dirty;       /* issuers whose credit was used since the last report */
  guint64 dirty_us;    /* since when; 0: nothing to report */
  guint64 short_us;    /* since when credit has been short; 0: it is not */
  guint64 none_us[TOU_QUOTA_MAX_ISSUERS]; /* when credit is expected */
  guint8 causes[TOU_QUOTA_MAX_ISSUERS];   /* TouQuotaCause */
  GList link;
} HolderTeam;

typedef struct
{
  TouName name;
  gboolean local; /* this node itself */
  guint64 rtt_us;
  guint64 sequence;
  guint64 sent_us;
  gboolean answered; /* the request with the current sequence number */
  gboolean pending;  /* a reply is expected */
  guint n_lost;      /* requests without a reply since the last one */
  guint64 silent_until_us;
} HolderIssuer;

struct TouQuotaHolder
{
  TouName self;
  guint64 incarnation;
  const TouQuotaLimits *limits;
  guint generation; /* of the issuers */
  guint n_issuers;
  HolderIssuer issuers[TOU_QUOTA_MAX_ISSUERS];
  GHashTable *teams; /* TouName to HolderTeam: those in use */
  GQueue order;      /* of HolderTeam; those not in the last request first */
  guint64 sequence;  /* of requests to all issuers */
  guint64 sent_us;   /* last request to another node */
  guint64 swept_us;
};

static void
holder_team_free (gpointer data)
{
  HolderTeam *team = data;

  g_array_unref (team->lots);
  g_free (team);
}

void
tou_quota_holder_create (TouQuotaHolder **out, const TouName *self,
                         guint64 incarnation, const TouQuotaLimits *limits)
{
  TouQuotaHolder *holder = g_new0 (TouQuotaHolder, 1);

  holder->self = *self;
  holder->incarnation = incarnation;
  holder->limits = limits;
  holder->teams = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, holder_team_free);
  g_queue_init (&holder->order);
  *out = holder;
}

void
tou_quota_holder_destroy (TouQuotaHolder *holder)
{
  if (holder == NULL)
    return;
  g_hash_table_destroy (holder->teams);
  g_free (holder);
}

/* Adopts the current issuers. Credit of the previous ones is dropped: they and
   their successors no longer learn whether it is used. */
static void
holder_update_issuers (TouQuotaHolder *holder)
{
  const TouName *names;

  if (holder->generation == tou_quota_limits_generation (holder->limits))
    return;
  holder->generation = tou_quota_limits_generation (holder->limits);
  names = tou_quota_limits_issuers (holder->limits, &holder->n_issuers);
  memset (holder->issuers, 0, sizeof holder->issuers);
  for (guint i = 0; i < holder->n_issuers; i++)
    {
      holder->issuers[i].name = names[i];
      holder->issuers[i].local = tou_name_equal (&names[i], &holder->self);
      holder->issuers[i].answered = TRUE;
    }
  for (GList *link = holder->order.head; link != NULL; link = link->next)
    {
      HolderTeam *team = link->data;

      g_array_set_size (team->lots, 0);
      team->none = 0;
      team->none_urgent = 0;
      team->dirty = 0;
    }
}

static HolderTeam *
holder_get (TouQuotaHolder *holder, const TouName *name)
{
  HolderTeam *team = g_hash_table_lookup (holder->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (HolderTeam, 1);
  team->team = *name;
  team->lots = g_array_new (FALSE, FALSE, sizeof (HolderLot));
  team->link.data = team;
  g_hash_table_insert (holder->teams, &team->team, team);
  g_queue_push_tail_link (&holder->order, &team->link);
  return team;
}

static guint64
holder_team_stock (const HolderTeam *team, guint64 now_us)
{
  guint64 stock = 0;

  for (guint i = 0; i < team->lots->len; i++)
    {
      const HolderLot *lot = &g_array_index (team->lots, HolderLot, i);

      if (now_us < lot->expires_us)
        stock += lot->amount;
    }
  return stock;
}

static void
holder_team_expire (HolderTeam *team, guint64 now_us)
{
  for (guint i = team->lots->len; i > 0; i--)
    {
      const HolderLot *lot = &g_array_index (team->lots, HolderLot, i - 1);

      if (lot->amount == 0 || now_us >= lot->expires_us)
        g_array_remove_index (team->lots, i - 1);
    }
}

static void
holder_team_mark (HolderTeam *team, gint issuer, guint64 now_us)
{
  if (team->dirty == 0)
    team->dirty_us = now_us;
  team->dirty |= 1U << issuer;
}

/* Uses the oldest credit, which expires first. */
static gboolean
holder_team_use (const TouQuotaHolder *holder, HolderTeam *team, guint64 now_us,
                 TouQuotaCredit *credit)
{
  HolderLot *lot;

  holder_team_expire (team, now_us);
  if (team->lots->len == 0)
    return FALSE;
  lot = &g_array_index (team->lots, HolderLot, 0);
  lot->amount--;
  credit->issuer = lot->issuer;
  credit->generation = holder->generation;
  credit->expires_us = lot->expires_us;
  holder_team_mark (team, lot->issuer, now_us);
  return TRUE;
}

/* Returns the demand as of now. The mean is over HOLDER_DEMAND_US if operations
   are frequent, and declines more slowly after the last of them. */
static double
holder_team_demand (const HolderTeam *team, guint64 now_us)
{
  return team->demand
         / (1
            + (double)(now_us - MIN (team->demand_us, now_us))
                  / HOLDER_DEMAND_US);
}

static void
holder_team_count_demand (HolderTeam *team, guint64 now_us)
{
  team->demand = holder_team_demand (team, now_us)
                 + (double)TOU_US_PER_S / HOLDER_DEMAND_US;
  team->demand_us = now_us;
  team->used_us = now_us;
}

static guint64
holder_team_target (const HolderTeam *team, guint64 now_us)
{
  return (guint64)(holder_team_demand (team, now_us) * HOLDER_STOCK_US
                   / (double)TOU_US_PER_S);
}

/* Returns the issuers of @a limit that do not answer. */
static guint32
holder_silent (const TouQuotaHolder *holder, guint64 now_us)
{
  guint32 silent = 0;

  for (guint i = 0; i < holder->n_issuers; i++)
    if (now_us < holder->issuers[i].silent_until_us)
      silent |= 1U << i;
  return silent;
}

/* TRUE if an issuer has no credit now, but not because the team used it up. */
static gboolean
holder_is_temporary (TouQuotaCause cause)
{
  return cause == TOU_QUOTA_STARTING || cause == TOU_QUOTA_NO_MAJORITY;
}

/* TRUE if operations of a team wait until issuers have credit again. */
static gboolean
holder_team_is_patient (const HolderTeam *team, guint64 now_us)
{
  return team->short_us != 0 && now_us < team->short_us + HOLDER_SHORTAGE_US;
}

/* Begins a round if no operation waits: issuers that may have credit again are
   asked again. Those that could not issue are asked again in any case. While
   credit has been short for a short time, a round follows when all issuers have
   been asked. */
static void
holder_team_begin_round (HolderTeam *team, const TouQuotaLimit *limit,
                         guint32 silent, guint64 now_us)
{
  gboolean again = team->waiting == team->urgent
                   || (holder_team_is_patient (team, now_us)
                       && (limit->issuers & ~(team->none | silent)) == 0);

  for (guint i = 0; i < TOU_QUOTA_MAX_ISSUERS; i++)
    if (now_us >= team->none_us[i])
      {
        team->none_urgent &= ~(1U << i);
        if (again || holder_is_temporary (team->causes[i]))
          team->none &= ~(1U << i);
      }
}

static gboolean
holder_team_is_refused (const TouQuotaHolder *holder, const HolderTeam *team,
                        const TouQuotaLimit *limit, gboolean urgent,
                        guint64 now_us, TouQuotaRefusal *refusal)
{
  guint32 none = urgent ? team->none_urgent : team->none;
  guint32 silent = holder_silent (holder, now_us);
  guint64 until_us = now_us + HOLDER_SILENT_US;

  refusal->cause = TOU_QUOTA_SILENT;
  for (guint i = 0; i < holder->n_issuers; i++)
    if ((limit->issuers & none & ~silent & 1U << i) != 0
        && (refusal->cause == TOU_QUOTA_SILENT || team->none_us[i] < until_us))
      {
        refusal->cause = team->causes[i];
        until_us = team->none_us[i];
      }
  refusal->retry_us = until_us - MIN (until_us, now_us);
  refusal->temporary = holder_is_temporary (refusal->cause);
  if (holder_team_is_patient (team, now_us)
      && until_us < now_us + TOU_QUOTA_WAIT_US)
    return FALSE;
  return (limit->issuers & ~(none | silent)) == 0;
}

TouQuotaResult
tou_quota_holder_take (TouQuotaHolder *holder, const TouName *name,
                       gboolean urgent, guint64 now_us, TouQuotaCredit *credit,
                       TouQuotaRefusal *refusal)
{
  const TouQuotaLimit *limit = tou_quota_limits_get (holder->limits, name);
  HolderTeam *team;

  memset (credit, 0, sizeof *credit);
  if (limit == NULL)
    return TOU_QUOTA_TAKEN;
  holder_update_issuers (holder);
  team = holder_get (holder, name);
  holder_team_count_demand (team, now_us);
  if ((urgent ? team->urgent : team->waiting) == 0
      && holder_team_use (holder, team, now_us, credit))
    return TOU_QUOTA_TAKEN;
  holder_team_begin_round (team, limit, holder_silent (holder, now_us), now_us);
  return holder_team_is_refused (holder, team, limit, urgent, now_us, refusal)
             ? TOU_QUOTA_REFUSED
             : TOU_QUOTA_WAIT;
}

gboolean
tou_quota_holder_take_stock (TouQuotaHolder *holder, const TouName *name,
                             guint64 now_us, TouQuotaCredit *credit)
{
  HolderTeam *team = g_hash_table_lookup (holder->teams, name);

  memset (credit, 0, sizeof *credit);
  if (tou_quota_limits_get (holder->limits, name) == NULL)
    return TRUE;
  holder_update_issuers (holder);
  return team != NULL && holder_team_use (holder, team, now_us, credit);
}

void
tou_quota_holder_return (TouQuotaHolder *holder, const TouName *name,
                         const TouQuotaCredit *credit, guint64 now_us)
{
  HolderLot lot = { credit->issuer, 1, now_us, credit->expires_us };

  holder_update_issuers (holder);
  if (now_us < credit->expires_us && credit->generation == holder->generation)
    g_array_prepend_val (holder_get (holder, name)->lots, lot);
}

void
tou_quota_holder_set_waiting (TouQuotaHolder *holder, const TouName *name,
                              guint n, guint n_urgent, guint64 now_us)
{
  HolderTeam *team = holder_get (holder, name);

  team->waiting = n;
  team->urgent = n_urgent;
  team->used_us = now_us;
}

gboolean
tou_quota_holder_is_refused (TouQuotaHolder *holder, const TouName *name,
                             gboolean urgent, guint64 now_us,
                             TouQuotaRefusal *refusal)
{
  const TouQuotaLimit *limit = tou_quota_limits_get (holder->limits, name);

  holder_update_issuers (holder);
  return limit != NULL
         && holder_team_is_refused (holder, holder_get (holder, name), limit,
                                    urgent, now_us, refusal);
}

void
tou_quota_holder_set_rtt (TouQuotaHolder *holder, const TouName *issuer,
                          guint64 rtt_us)
{
  holder_update_issuers (holder);
  for (guint i = 0; i < holder->n_issuers; i++)
    if (!holder->issuers[i].local
        && tou_name_equal (&holder->issuers[i].name, issuer))
      holder->issuers[i].rtt_us = rtt_us;
}

/* Returns the nearest issuer that may have credit for a team, or -1. */
static gint
holder_choose (const TouQuotaHolder *holder, HolderTeam *team,
               const TouQuotaLimit *limit, guint64 now_us)
{
  guint32 silent = holder_silent (holder, now_us);
  guint32 usable;
  gint best = -1;

  holder_team_begin_round (team, limit, silent, now_us);
  usable = limit->issuers
           & ~((team->urgent > 0 ? team->none_urgent : team->none) | silent);
  for (guint i = 0; i < holder->n_issuers; i++)
    {
      const HolderIssuer *issuer = &holder->issuers[i];

      if ((usable & 1U << i) == 0
          || (issuer->pending && now_us >= issuer->sent_us + HOLDER_SLOW_US))
        continue;
      if (issuer->local)
        return (gint)i;
      if (best < 0 || issuer->rtt_us < holder->issuers[best].rtt_us)
        best = (gint)i;
    }
  return best;
}

/* Returns the credit that a team needs. The stock is filled up when half of it
   has been used, so that not every operation causes a request. */
static guint64
holder_team_need (const HolderTeam *team, guint64 now_us)
{
  guint64 stock = holder_team_stock (team, now_us);
  guint64 target = holder_team_target (team, now_us);

  if (stock < team->waiting || stock < (target + 1) / 2)
    return team->waiting + target - MIN (stock, team->waiting + target);
  return 0;
}

/* Returns the issuer that a team has to ask now, or -1. */
static gint
holder_team_due (const TouQuotaHolder *holder, HolderTeam *team, guint64 now_us)
{
  const TouQuotaLimit *limit;
  const HolderIssuer *issuer;
  gint index;

  if (holder_team_need (team, now_us) == 0)
    return -1;
  limit = tou_quota_limits_get (holder->limits, &team->team);
  if (limit == NULL)
    return -1;
  index = holder_choose (holder, team, limit, now_us);
  if (index < 0)
    return -1;
  issuer = &holder->issuers[index];
  if (issuer->pending
      || (!issuer->local
          && now_us < holder->sent_us + TOU_QUOTA_REQUEST_INTERVAL_US))
    return -1;
  return index;
}

/* Returns the credit of a lot that is not needed. */
static guint64
holder_lot_unused (const HolderLot *lot, guint64 excess, guint64 now_us)
{
  if (now_us < lot->received_us + HOLDER_UNUSED_US || now_us >= lot->expires_us)
    return 0;
  return MIN (lot->amount, excess);
}

/* Returns the stock of a team beyond what it needs. */
static guint64
holder_team_excess (const HolderTeam *team, guint64 now_us)
{
  guint64 stock = holder_team_stock (team, now_us);
  guint64 needed = team->waiting + holder_team_target (team, now_us);

  return stock - MIN (stock, needed);
}

/* Returns an issuer with credit to be given up or use to be reported, or -1. */
static gint
holder_team_report (const TouQuotaHolder *holder, const HolderTeam *team,
                    guint64 now_us)
{
  guint64 excess = holder_team_excess (team, now_us);
  guint32 issuers = 0;

  if (team->dirty != 0 && now_us >= team->dirty_us + HOLDER_REPORT_US)
    issuers = team->dirty;
  for (guint i = 0; excess > 0 && i < team->lots->len; i++)
    {
      const HolderLot *lot = &g_array_index (team->lots, HolderLot, i);

      if (holder_lot_unused (lot, excess, now_us) > 0)
        issuers |= 1U << lot->issuer;
    }
  issuers &= ~holder_silent (holder, now_us);
  for (guint i = 0; i < holder->n_issuers; i++)
    if ((issuers & 1U << i) != 0 && !holder->issuers[i].pending
        && (holder->issuers[i].local
            || now_us >= holder->sent_us + TOU_QUOTA_REQUEST_INTERVAL_US))
      return (gint)i;
  return -1;
}

/* Returns the issuer to ask next, or -1: first for teams with operations that
   wait, then for stocks, then to report. */
static gint
holder_next_issuer (TouQuotaHolder *holder, guint64 now_us)
{
  gint stock = -1;
  gint report = -1;

  for (GList *link = holder->order.head; link != NULL; link = link->next)
    {
      HolderTeam *team = link->data;
      gint index = holder_team_due (holder, team, now_us);

      if (index >= 0 && team->waiting > 0)
        return index;
      if (stock < 0)
        stock = index;
      if (report < 0)
        report = holder_team_report (holder, team, now_us);
    }
  return stock >= 0 ? stock : report;
}

/* Gives up what is not needed of an issuer's credit. @return the amount */
static guint64
holder_team_give_up (HolderTeam *team, gint index, guint64 *held,
                     guint64 now_us)
{
  guint64 excess = holder_team_excess (team, now_us);
  guint64 returned = 0;

  *held = 0;
  for (guint i = 0; i < team->lots->len; i++)
    {
      HolderLot *lot = &g_array_index (team->lots, HolderLot, i);
      guint64 amount;

      if (lot->issuer != index || now_us >= lot->expires_us)
        continue;
      amount = holder_lot_unused (lot, excess, now_us);
      lot->amount -= amount;
      excess -= amount;
      returned += amount;
      *held += lot->amount;
    }
  return returned;
}

/* Adds a team to a request. @return FALSE if it has nothing for the issuer */
static gboolean
holder_add_entry (const TouQuotaHolder *holder, TouQuotaRequest *request,
                  HolderTeam *team, gint index, guint64 now_us)
{
  TouQuotaDemand *entry = &request->entries[request->n];
  guint32 bit = 1U << index;

  entry->want = 0;
  if (holder_team_due (holder, team, now_us) == index)
    entry->want = holder_team_need (team, now_us);
  entry->urgent = MIN (team->urgent, entry->want);
  entry->returned = holder_team_give_up (team, index, &entry->held, now_us);
  if (entry->want == 0 && entry->returned == 0 && (team->dirty & bit) == 0)
    return FALSE;
  entry->team = team->team;
  team->dirty &= ~bit;
  request->n++;
  return TRUE;
}

static void
holder_sweep (TouQuotaHolder *holder, guint64 now_us)
{
  GList *next;

  if (now_us < holder->swept_us + HOLDER_SWEEP_US)
    return;
  holder->swept_us = now_us;
  for (GList *link = holder->order.head; link != NULL; link = next)
    {
      HolderTeam *team = link->data;

      next = link->next;
      holder_team_expire (team, now_us);
      if (team->waiting > 0 || team->lots->len > 0
          || now_us < team->used_us + HOLDER_IDLE_US)
        continue;
      g_queue_unlink (&holder->order, link);
      g_hash_table_remove (holder->teams, &team->team);
    }
}

const TouName *
tou_quota_holder_next_request (TouQuotaHolder *holder, TouQuotaRequest *request,
                               guint64 now_us)
{
  gboolean may_ask = now_us >= holder->sent_us + TOU_QUOTA_REQUEST_INTERVAL_US;
  HolderIssuer *issuer;
  gsize bytes = 0;
  gint index;

  holder_update_issuers (holder);
  holder_sweep (holder, now_us);
  for (guint i = 0; i < holder->n_issuers; i++)
    {
      issuer = &holder->issuers[i];
      may_ask = may_ask || issuer->local;
      if (!issuer->pending || now_us < issuer->sent_us + HOLDER_TIMEOUT_US)
        continue;
      issuer->pending = FALSE;
      issuer->n_lost++;
      issuer->silent_until_us
          = now_us
            + (issuer->n_lost < HOLDER_LOST_REQUESTS ? HOLDER_LOST_US
                                                     : HOLDER_SILENT_US);
    }
  index = may_ask ? holder_next_issuer (holder, now_us) : -1;
  if (index < 0)
    return NULL;
  issuer = &holder->issuers[index];
  request->holder = holder->self;
  request->incarnation = holder->incarnation;
  issuer->sequence = ++holder->sequence;
  request->sequence = issuer->sequence;
  request->n = 0;
  for (guint i = holder->order.length; i > 0; i--)
    {
      GList *link = g_queue_pop_head_link (&holder->order);
      HolderTeam *team = link->data;

      g_queue_push_tail_link (&holder->order, link);
      if (holder_add_entry (holder, request, team, index, now_us))
        bytes += team->team.len + HOLDER_ENTRY_BYTES;
      if (request->n == TOU_QUOTA_MAX_ENTRIES || bytes >= HOLDER_MAX_BYTES)
        break;
    }
  issuer->answered = FALSE;
  issuer->sent_us = now_us;
  issuer->pending = FALSE;
  for (guint i = 0; i < request->n; i++)
    issuer->pending = issuer->pending || request->entries[i].want > 0;
  if (!issuer->local)
    holder->sent_us = now_us;
  return &issuer->name;
}

static void
holder_on_grant (TouQuotaHolder *holder, gint index, const TouQuotaGrant *grant,
                 guint64 now_us)
{
  HolderTeam *team = g_hash_table_lookup (holder->teams, &grant->team);
  HolderLot lot = { index, MIN (grant->granted, G_MAXUINT32), now_us,
                    holder->issuers[index].sent_us + TOU_QUOTA_CREDIT_US };

  if (team == NULL)
    return;
  if (grant->granted > 0)
    g_array_append_val (team->lots, lot);
  if (grant->cause == TOU_QUOTA_ENOUGH)
    team->short_us = 0;
  if (grant->cause == TOU_QUOTA_ENOUGH || grant->cause >= TOU_QUOTA_CAUSES)
    return;
  if (team->short_us == 0)
    team->short_us = now_us;
  team->none |= 1U << index;
  if (grant->cause != TOU_QUOTA_RESERVED)
    team->none_urgent |= 1U << index;
  team->none_us[index] = now_us + MIN (grant->retry_us, HOLDER_MAX_RETRY_US);
  team->causes[index] = (guint8)grant->cause;
}

gboolean
tou_quota_holder_on_reply (TouQuotaHolder *holder, const TouQuotaReply *reply,
                           guint64 now_us)
{
  HolderIssuer *issuer = NULL;
  gint index = 0;

  holder_update_issuers (holder);
  for (guint i = 0; i < holder->n_issuers; i++)
    if (tou_name_equal (&holder->issuers[i].name, &reply->issuer))
      {
        issuer = &holder->issuers[i];
        index = (gint)i;
      }
  if (issuer == NULL || reply->incarnation != holder->incarnation
      || reply->sequence != issuer->sequence || issuer->answered)
    return FALSE;
  issuer->answered = TRUE;
  issuer->pending = FALSE;
  issuer->n_lost = 0;
  issuer->silent_until_us = 0;
  if (now_us >= issuer->sent_us + TOU_QUOTA_CREDIT_US)
    return FALSE;
  for (guint i = 0; i < reply->n; i++)
    holder_on_grant (holder, index, &reply->entries[i], now_us);
  return TRUE;
}

guint64
tou_quota_holder_stock (const TouQuotaHolder *holder, const TouName *name,
                        guint64 now_us)
{
  const HolderTeam *team = g_hash_table_lookup (holder->teams, name);

  return team != NULL ? holder_team_stock (team, now_us) : 0;
}

guint
tou_quota_holder_count (const TouQuotaHolder *holder)
{
  return g_hash_table_size (holder->teams);
}
