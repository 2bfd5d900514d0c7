#include "queue.h"

#include <string.h>

/* Estimated cost of a statement before the first measurement, in us. */
#define TOU_QUEUE_FIRST_COST_US 1000
/* Weight of a new measurement in the moving average: 1 / 8. */
#define TOU_QUEUE_COST_SHIFT 3
/* Interval without a measurement after which an estimate falls by an eighth. An
   estimate above all time limits rejects the statements that would correct it,
   so it has to fall by itself. */
#define TOU_QUEUE_COST_DECAY_US (200 * TOU_US_PER_MS)
/* Credit is capped at this many statements, so that a rank that was blocked
   for a long time does not delay the urgent rank with a burst. */
#define TOU_QUEUE_MAX_CREDIT 4
/* A rank that has had a backlog for this long is assumed to keep it, so that
   less urgent ranks get only their floors. Longer than the backlog of a burst
   that the slots can absorb. */
#define TOU_QUEUE_SATURATED_US (100 * TOU_US_PER_MS)
/* Assumed minimum utilization of the slots. Floors are shares of all slots, but
   credit accrues only with dispatched work, so it is scaled up by this. For a
   database in another region, the connections limit the utilization. */
#define TOU_QUEUE_USED_PERCENT 90
/* Assumed share of a rank without a floor while a more urgent rank is
   saturated, in percent. */
#define TOU_QUEUE_MIN_SHARE 1
/* Credit is counted in hundredths of a microsecond: floors are in percent. */
#define TOU_QUEUE_CREDIT_UNIT 100
/* An item without a connection may be overtaken for the first of these times;
   then others are held back for the second. Opening a connection takes a round
   trip of 1 to 24 ms and 12 ms of a slot, after one of another flow has become
   idle. */
#define TOU_QUEUE_OVERTAKE_US (100 * TOU_US_PER_MS)
#define TOU_QUEUE_HOLD_US (50 * TOU_US_PER_MS)
/* A flow's share of the dispatched work is known after this many of its
   statements, and averaged over twice as many. */
#define TOU_QUEUE_SHARE_SAMPLES G_GUINT64_CONSTANT (16)

struct TouQueueFlow
{
  TouName name;
  GList link;             /* in the rank's list of backlogged or idle flows */
  GQueue items;           /* in order of arrival */
  guint64 backlog_us;     /* sum of the costs of the items */
  guint64 start_us;       /* virtual start time of the first or next item */
  guint64 served_us;      /* dispatched since the backlog began */
  guint64 rank_served_us; /* the rank's dispatched work at that time */
};

typedef struct
{
  GQueue pinned;            /* of TouQueueItem */
  GQueue backlogged;        /* of TouQueueFlow, by start time */
  GQueue idle;              /* of TouQueueFlow: ahead of the virtual time */
  GHashTable *flows;        /* TouName to TouQueueFlow; NULL until needed */
  TouQueueFlow unnamed;     /* flow of the items without a name */
  guint64 virtual_us;       /* virtual time */
  guint64 served_us;        /* dispatched work of all flows */
  guint n_free;             /* number of items that are not pinned */
  guint64 cost_us;          /* estimated service time of one statement */
  guint64 cost_updated_us;  /* last measurement or decay */
  guint64 backlog_us;       /* sum of the costs of the queued items */
  guint64 waiting_since_us; /* start of the backlog */
  guint64 credit;           /* in us / TOU_QUEUE_CREDIT_UNIT */
  guint floor_percent;      /* guaranteed share of the slots */
} TouQueueRank;

struct TouQueue
{
  guint limit;
  guint slots;
  guint64 earliest_us; /* no queued item has an earlier deadline */
  TouQueueRank ranks[TOU_RANK_COUNT];
};

int
tou_queue_create (TouQueue **out, guint limit, guint slots)
{
  TouQueue *queue = g_new0 (TouQueue, 1);

  queue->limit = limit;
  queue->slots = MAX (slots, 1);
  queue->earliest_us = G_MAXUINT64;
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      queue->ranks[r].unnamed.link.data = &queue->ranks[r].unnamed;
      queue->ranks[r].cost_us = TOU_QUEUE_FIRST_COST_US;
    }
  *out = queue;
  return TOU_OK;
}

void
tou_queue_destroy (TouQueue *queue)
{
  for (guint r = 0; queue != NULL && r < TOU_RANK_COUNT; r++)
    if (queue->ranks[r].flows != NULL)
      g_hash_table_destroy (queue->ranks[r].flows);
  g_free (queue);
}

void
tou_queue_configure (TouQueue *queue, guint slots,
                     const guint floor_percent[TOU_RANK_COUNT])
{
  queue->slots = MAX (slots, 1);
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    queue->ranks[r].floor_percent
        = r == TOU_RANK_URGENT ? 0 : MIN (floor_percent[r], 100);
}

static guint
queue_rank_length (const TouQueueRank *rank)
{
  return rank->pinned.length + rank->n_free;
}

/* Returns the state of the flow, or NULL if it has none. */
static TouQueueFlow *
queue_find_flow (const TouQueueRank *rank, const TouName *name)
{
  if (name == NULL)
    return (TouQueueFlow *)&rank->unnamed;
  return rank->flows != NULL ? g_hash_table_lookup (rank->flows, name) : NULL;
}

static TouQueueFlow *
queue_get_flow (TouQueueRank *rank, const TouName *name)
{
  TouQueueFlow *flow = queue_find_flow (rank, name);

  if (flow != NULL)
    return flow;
  if (rank->flows == NULL)
    rank->flows = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, g_free);
  flow = g_new0 (TouQueueFlow, 1);
  flow->name = *name;
  flow->link.data = flow;
  g_queue_push_tail_link (&rank->idle, &flow->link);
  g_hash_table_insert (rank->flows, &flow->name, flow);
  return flow;
}

/* Inserts a flow behind those of the same start time. */
static void
queue_insert_flow (TouQueueRank *rank, TouQueueFlow *flow)
{
  GList *before = rank->backlogged.tail;

  while (before != NULL
         && ((TouQueueFlow *)before->data)->start_us > flow->start_us)
    before = before->prev;
  if (before != NULL)
    g_queue_insert_after_link (&rank->backlogged, before, &flow->link);
  else
    g_queue_push_head_link (&rank->backlogged, &flow->link);
}

/* Frees the state of idle flows that the virtual time has reached, because a
   new item of theirs would start at the virtual time anyway, and of the oldest
   ones beyond @a limit. */
static void
queue_trim_flows (TouQueueRank *rank, guint limit)
{
  while (rank->idle.length > 0)
    {
      TouQueueFlow *flow = rank->idle.head->data;

      if (flow->start_us > rank->virtual_us && rank->idle.length <= limit)
        return;
      g_queue_unlink (&rank->idle, &flow->link);
      g_hash_table_remove (rank->flows, &flow->name);
    }
}

/* Without a backlog, all flows start equal again. */
static void
queue_reset_flows (TouQueueRank *rank)
{
  queue_trim_flows (rank, 0);
  rank->virtual_us = 0;
  rank->served_us = 0;
  rank->unnamed.start_us = 0;
}

/* The item's flow gets a backlog, and starts at the virtual time unless it has
   had more than its share. */
static void
queue_begin_backlog (TouQueueRank *rank, TouQueueFlow *flow)
{
  if (flow != &rank->unnamed)
    g_queue_unlink (&rank->idle, &flow->link);
  flow->start_us = MAX (flow->start_us, rank->virtual_us);
  flow->served_us = 0;
  flow->rank_served_us = rank->served_us;
  queue_insert_flow (rank, flow);
}

static void
queue_end_backlog (TouQueue *queue, TouQueueRank *rank, TouQueueFlow *flow)
{
  g_queue_unlink (&rank->backlogged, &flow->link);
  if (flow != &rank->unnamed)
    g_queue_push_tail_link (&rank->idle, &flow->link);
  queue_trim_flows (rank, queue->limit);
}

/* Advances the flow's start time, and virtual time, for a dispatched item. */
static void
queue_charge (TouQueueRank *rank, TouQueueFlow *flow, guint64 cost_us)
{
  rank->virtual_us = MAX (rank->virtual_us, flow->start_us);
  rank->served_us += cost_us;
  flow->start_us += cost_us;
  flow->served_us += cost_us;
  if (flow->served_us > 2 * TOU_QUEUE_SHARE_SAMPLES * rank->cost_us)
    {
      flow->served_us /= 2;
      flow->rank_served_us
          = rank->served_us - (rank->served_us - flow->rank_served_us) / 2;
    }
  if (rank->backlogged.length == 1)
    return;
  g_queue_unlink (&rank->backlogged, &flow->link);
  queue_insert_flow (rank, flow);
}

/* Work of the rank that is dispatched before a new item of the flow; see
   tou_queue_wait_us(). */
static guint64
queue_ahead_us (const TouQueueRank *rank, const TouName *name)
{
  guint64 start_us = rank->virtual_us;
  guint64 ahead_us = rank->backlog_us;
  guint64 shared_us = 0;
  guint64 own_us = 0;
  const TouQueueFlow *own = queue_find_flow (rank, name);

  if (own != NULL)
    {
      own_us = own->backlog_us;
      start_us = MAX (start_us, own->start_us + own_us);
    }
  for (const GList *link = rank->backlogged.head; link != NULL;
       link = link->next)
    {
      const TouQueueFlow *flow = link->data;
      guint64 first_us = 0;

      if (flow == own)
        continue;
      if (flow->start_us <= start_us)
        first_us = start_us - flow->start_us + rank->cost_us;
      ahead_us -= flow->backlog_us - MIN (flow->backlog_us, first_us);
    }
  if (own_us > 0 && own->served_us >= TOU_QUEUE_SHARE_SAMPLES * rank->cost_us)
    shared_us = (guint64)((double)own_us
                          * (double)(rank->served_us - own->rank_served_us)
                          / (double)own->served_us);
  return MAX (ahead_us, shared_us);
}

guint64
tou_queue_cost_us (const TouQueue *queue, TouRank rank)
{
  return queue->ranks[rank].cost_us;
}

guint
tou_queue_flows (const TouQueue *queue)
{
  guint n_flows = 0;

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    n_flows += queue->ranks[r].backlogged.length + queue->ranks[r].idle.length;
  return n_flows;
}

guint
tou_queue_length (const TouQueue *queue)
{
  guint length = 0;

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    length += queue_rank_length (&queue->ranks[r]);
  return length;
}

static gboolean
queue_is_saturated (const TouQueueRank *rank, guint64 now_us)
{
  return queue_rank_length (rank) > 0
         && now_us >= rank->waiting_since_us + TOU_QUEUE_SATURATED_US;
}

guint64
tou_queue_wait_us (const TouQueue *queue, TouRank rank, const TouName *flow,
                   guint64 now_us)
{
  const TouQueueRank *own = &queue->ranks[rank];
  guint64 own_us = queue_ahead_us (own, flow);
  guint64 ahead_us = own_us;
  guint percent = 100;

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      const TouQueueRank *other = &queue->ranks[r];

      if (r < (guint)rank && queue_is_saturated (other, now_us))
        return own_us * 100 / MAX (own->floor_percent, TOU_QUEUE_MIN_SHARE)
               / queue->slots;
      if (r < (guint)rank)
        ahead_us += other->backlog_us;
      if (r > (guint)rank && queue_rank_length (other) > 0)
        percent -= MIN (other->floor_percent, percent - 1);
    }
  return ahead_us * 100 / percent / queue->slots;
}

gboolean
tou_queue_is_in_time (const TouQueue *queue, const TouQueueItem *item,
                      guint64 now_us)
{
  if (item->probe)
    return now_us < item->deadline_us;
  return now_us + queue->ranks[item->rank].cost_us + item->reserve_us
         <= item->deadline_us;
}

static void
queue_decay_cost (TouQueueRank *rank, guint64 now_us)
{
  while (rank->cost_us > TOU_QUEUE_FIRST_COST_US
         && now_us >= rank->cost_updated_us + TOU_QUEUE_COST_DECAY_US)
    {
      rank->cost_us
          = MAX (rank->cost_us - (rank->cost_us >> TOU_QUEUE_COST_SHIFT),
                 TOU_QUEUE_FIRST_COST_US);
      rank->cost_updated_us += TOU_QUEUE_COST_DECAY_US;
    }
}

/* Returns the item that @a item displaces from its full rank, or NULL. */
static TouQueueItem *
queue_find_victim (const TouQueueRank *rank, const TouQueueItem *item)
{
  const TouQueueFlow *own = queue_find_flow (rank, item->flow);
  const TouQueueFlow *longest = NULL;
  /* A smaller difference would only be reversed. */
  guint most = own != NULL ? own->items.length + 1 : 1;

  for (const GList *link = rank->backlogged.head; link != NULL && !item->pinned;
       link = link->next)
    {
      const TouQueueFlow *flow = link->data;

      if (flow->items.length <= most)
        continue;
      longest = flow;
      most = flow->items.length;
    }
  return longest != NULL ? longest->items.tail->data : NULL;
}

static void
queue_append (TouQueueRank *rank, TouQueueItem *item)
{
  TouQueueFlow *flow;

  rank->backlog_us += item->cost_us;
  if (item->pinned)
    {
      g_queue_push_tail_link (&rank->pinned, &item->link);
      return;
    }
  flow = queue_get_flow (rank, item->flow);
  if (flow->items.length == 0)
    queue_begin_backlog (rank, flow);
  item->queued_flow = flow;
  flow->backlog_us += item->cost_us;
  rank->n_free++;
  g_queue_push_tail_link (&flow->items, &item->link);
}

int
tou_queue_push (TouQueue *queue, TouQueueItem *item, guint64 now_us,
                guint64 *retry_after_us, TouQueueItem **evicted)
{
  TouQueueRank *rank = &queue->ranks[item->rank];
  guint64 wait_us = tou_queue_wait_us (queue, item->rank, item->flow, now_us);
  guint64 remaining_us = item->deadline_us - MIN (now_us, item->deadline_us);
  TouQueueItem *victim = NULL;
  guint64 needed_us;

  *evicted = NULL;
  queue_decay_cost (rank, now_us);
  needed_us = wait_us + rank->cost_us + item->reserve_us;
  item->cost_us = rank->cost_us;
  if (queue_rank_length (rank) >= queue->limit)
    {
      victim = queue_find_victim (rank, item);
      if (victim == NULL)
        {
          *retry_after_us = MAX (wait_us, rank->cost_us);
          return TOU_E_QUEUE_FULL;
        }
    }
  if (remaining_us == 0 || (needed_us > remaining_us && !item->probe))
    {
      *retry_after_us
          = MAX (needed_us - MIN (remaining_us, needed_us), item->cost_us);
      return TOU_E_DEADLINE;
    }
  if (queue_rank_length (rank) == 0)
    rank->waiting_since_us = now_us;
  item->link.data = item;
  item->queued = TRUE;
  item->overtaken_us = 0;
  queue->earliest_us = MIN (queue->earliest_us, item->deadline_us);
  queue_append (rank, item);
  if (victim != NULL)
    {
      tou_queue_remove (queue, victim);
      *evicted = victim;
      *retry_after_us
          = MAX (tou_queue_wait_us (queue, victim->rank, victim->flow, now_us),
                 rank->cost_us);
    }
  return TOU_OK;
}

void
tou_queue_remove (TouQueue *queue, TouQueueItem *item)
{
  TouQueueRank *rank = &queue->ranks[item->rank];
  TouQueueFlow *flow = item->queued_flow;

  if (!item->queued)
    return;
  item->queued = FALSE;
  rank->backlog_us -= item->cost_us;
  if (item->pinned)
    g_queue_unlink (&rank->pinned, &item->link);
  else
    {
      g_queue_unlink (&flow->items, &item->link);
      item->queued_flow = NULL;
      flow->backlog_us -= item->cost_us;
      rank->n_free--;
      if (flow->items.length == 0)
        queue_end_backlog (queue, rank, flow);
    }
  if (queue_rank_length (rank) == 0)
    {
      rank->credit = 0;
      queue_reset_flows (rank);
    }
}

/* Pinned items are dispatched first because their transactions hold locks. */
static TouQueueItem *
queue_head (const TouQueueRank *rank, gboolean connection)
{
  const TouQueueFlow *flow;

  if (rank->pinned.head != NULL)
    return rank->pinned.head->data;
  if (!connection || rank->backlogged.head == NULL)
    return NULL;
  flow = rank->backlogged.head->data;
  return flow->items.head->data;
}

static TouQueueItem *
queue_choose (const TouQueue *queue, gboolean connection)
{
  for (guint r = TOU_RANK_URGENT + 1; r < TOU_RANK_COUNT; r++)
    {
      const TouQueueRank *rank = &queue->ranks[r];
      TouQueueItem *item = queue_head (rank, connection);

      if (item != NULL && rank->floor_percent > 0
          && rank->credit >= item->cost_us * TOU_QUEUE_CREDIT_UNIT)
        return item;
    }
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      TouQueueItem *item = queue_head (&queue->ranks[r], connection);

      if (item != NULL)
        return item;
    }
  return NULL;
}

/* The rank of the dispatched item accrues credit as well; otherwise a floor of
   15% would yield only 13%. */
static void
queue_accrue (TouQueue *queue, guint64 cost_us)
{
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      TouQueueRank *rank = &queue->ranks[r];
      guint64 max_credit
          = rank->cost_us * TOU_QUEUE_MAX_CREDIT * TOU_QUEUE_CREDIT_UNIT;

      if (queue_rank_length (rank) > 0)
        rank->credit = MIN (rank->credit
                                + cost_us * rank->floor_percent * 100
                                      / TOU_QUEUE_USED_PERCENT,
                            max_credit);
    }
}

static TouQueueItem *
queue_take (TouQueue *queue, TouQueueItem *item)
{
  TouQueueRank *rank;

  if (item == NULL)
    return NULL;
  queue_accrue (queue, item->cost_us);
  rank = &queue->ranks[item->rank];
  rank->credit -= MIN (rank->credit, item->cost_us * TOU_QUEUE_CREDIT_UNIT);
  if (!item->pinned)
    queue_charge (rank, item->queued_flow, item->cost_us);
  tou_queue_remove (queue, item);
  return item;
}

TouQueueItem *
tou_queue_pop (TouQueue *queue, gboolean connection)
{
  return queue_take (queue, queue_choose (queue, connection));
}

/* Result of the search for an item of one rank. */
typedef struct
{
  TouQueueItem *item;    /* the first runnable one */
  guint64 item_us;       /* its start time */
  TouQueueItem *blocked; /* the first one that lacks a connection */
  guint64 blocked_us;    /* its start time */
} QueueMatch;

/* Finds the flow's first runnable item, unless another flow's starts earlier.
 */
static void
queue_match_flow (const TouQueueFlow *flow, const TouQueueSelection *selection,
                  QueueMatch *match)
{
  guint64 start_us = flow->start_us;

  for (const GList *link = flow->items.head;
       link != NULL && (match->item == NULL || start_us < match->item_us);
       link = link->next)
    {
      TouQueueItem *item = link->data;

      switch (selection->judge (item, selection->data))
        {
        case TOU_QUEUE_RUNNABLE:
          match->item = item;
          match->item_us = start_us;
          return;
        case TOU_QUEUE_NO_CONNECTION:
          if (match->blocked == NULL || start_us < match->blocked_us)
            {
              match->blocked = item;
              match->blocked_us = start_us;
            }
          return;
        case TOU_QUEUE_NOT_NOW:
          break;
        }
      start_us += item->cost_us;
    }
}

static void
queue_match_rank (const TouQueueRank *rank, const TouQueueSelection *selection,
                  QueueMatch *match)
{
  memset (match, 0, sizeof *match);
  if (rank->pinned.head != NULL)
    {
      match->item = rank->pinned.head->data;
      return;
    }
  for (const GList *link = rank->backlogged.head; link != NULL;
       link = link->next)
    {
      const TouQueueFlow *flow = link->data;

      if (match->item != NULL && flow->start_us >= match->item_us)
        break;
      queue_match_flow (flow, selection, match);
    }
  if (match->item != NULL && match->item_us < match->blocked_us)
    match->blocked = NULL;
}

/* TRUE if nothing may overtake @a item at this time. */
static gboolean
queue_is_held (const TouQueueItem *item, guint64 now_us)
{
  return item != NULL && item->overtaken_us != 0
         && (now_us - item->overtaken_us)
                    % (TOU_QUEUE_OVERTAKE_US + TOU_QUEUE_HOLD_US)
                >= TOU_QUEUE_OVERTAKE_US;
}

/* Returns the item to dispatch. Sets @a blocked to the first item before it, or
   of the ranks before it, that lacks a connection. */
static TouQueueItem *
queue_choose_matching (const TouQueue *queue,
                       const TouQueueSelection *selection,
                       TouQueueItem **blocked)
{
  guint n_ranks = selection->urgent_only ? 1 : TOU_RANK_COUNT;
  QueueMatch matches[TOU_RANK_COUNT];

  *blocked = NULL;
  for (guint r = 0; r < n_ranks; r++)
    queue_match_rank (&queue->ranks[r], selection, &matches[r]);
  for (guint r = TOU_RANK_URGENT + 1; r < n_ranks; r++)
    if (matches[r].item != NULL && queue->ranks[r].floor_percent > 0
        && queue->ranks[r].credit
               >= matches[r].item->cost_us * TOU_QUEUE_CREDIT_UNIT
        && !queue_is_held (matches[r].blocked, selection->now_us))
      {
        *blocked = matches[r].blocked;
        return matches[r].item;
      }
  for (guint r = 0; r < n_ranks; r++)
    {
      if (*blocked == NULL)
        *blocked = matches[r].blocked;
      if (queue_is_held (matches[r].blocked, selection->now_us))
        return NULL;
      if (matches[r].item != NULL)
        return matches[r].item;
    }
  return NULL;
}

TouQueueItem *
tou_queue_pop_matching (TouQueue *queue, TouQueueSelection *selection)
{
  TouQueueItem *blocked;
  TouQueueItem *item = queue_choose_matching (queue, selection, &blocked);

  selection->blocked = blocked;
  if (item != NULL && blocked != NULL && blocked->overtaken_us == 0)
    blocked->overtaken_us = selection->now_us;
  return queue_take (queue, item);
}

void
tou_queue_refund (TouQueue *queue, const TouQueueItem *item)
{
  TouQueueRank *rank = &queue->ranks[item->rank];
  TouQueueFlow *flow = queue_find_flow (rank, item->flow);

  if (flow == NULL || item->pinned)
    return;
  flow->start_us -= MIN (flow->start_us, item->cost_us);
  if (rank->backlogged.length <= 1 || flow->items.length == 0)
    return;
  g_queue_unlink (&rank->backlogged, &flow->link);
  queue_insert_flow (rank, flow);
}

/* Returns the first expired item of the list, or lowers @a earliest_us to the
   earliest of its deadlines. */
static TouQueueItem *
queue_find_expired (const GQueue *items, guint64 now_us, guint64 *earliest_us)
{
  for (const GList *link = items->head; link != NULL; link = link->next)
    {
      TouQueueItem *item = link->data;

      if (item->deadline_us <= now_us)
        return item;
      *earliest_us = MIN (*earliest_us, item->deadline_us);
    }
  return NULL;
}

TouQueueItem *
tou_queue_pop_expired (TouQueue *queue, guint64 now_us)
{
  guint64 earliest_us = G_MAXUINT64;

  if (now_us < queue->earliest_us)
    return NULL;
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      const TouQueueRank *rank = &queue->ranks[r];
      TouQueueItem *item
          = queue_find_expired (&rank->pinned, now_us, &earliest_us);

      for (const GList *link = rank->backlogged.head;
           item == NULL && link != NULL; link = link->next)
        item = queue_find_expired (&((TouQueueFlow *)link->data)->items, now_us,
                                   &earliest_us);
      if (item != NULL)
        {
          tou_queue_remove (queue, item);
          return item;
        }
    }
  queue->earliest_us = earliest_us;
  return NULL;
}

TouQueueItem *
tou_queue_pop_any (TouQueue *queue)
{
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      TouQueueItem *item = queue_head (&queue->ranks[r], TRUE);

      if (item != NULL)
        {
          tou_queue_remove (queue, item);
          return item;
        }
    }
  return NULL;
}

void
tou_queue_record_cost (TouQueue *queue, TouRank rank, guint64 cost_us,
                       guint64 now_us)
{
  guint64 *average_us = &queue->ranks[rank].cost_us;

  queue->ranks[rank].cost_updated_us = now_us;
  *average_us = *average_us - (*average_us >> TOU_QUEUE_COST_SHIFT)
                + (cost_us >> TOU_QUEUE_COST_SHIFT);
  *average_us = MAX (*average_us, 1);
}
