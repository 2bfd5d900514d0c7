#include "queue.h"

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

enum
{
  QUEUE_PINNED,
  QUEUE_FREE,
  QUEUE_LANES
};

typedef struct
{
  GQueue lanes[QUEUE_LANES];
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
      for (guint lane = 0; lane < QUEUE_LANES; lane++)
        g_queue_init (&queue->ranks[r].lanes[lane]);
      queue->ranks[r].cost_us = TOU_QUEUE_FIRST_COST_US;
    }
  *out = queue;
  return TOU_OK;
}

void
tou_queue_destroy (TouQueue *queue)
{
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
  return rank->lanes[QUEUE_PINNED].length + rank->lanes[QUEUE_FREE].length;
}

guint64
tou_queue_cost_us (const TouQueue *queue, TouRank rank)
{
  return queue->ranks[rank].cost_us;
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
tou_queue_wait_us (const TouQueue *queue, TouRank rank, guint64 now_us)
{
  const TouQueueRank *own = &queue->ranks[rank];
  guint64 ahead_us = own->backlog_us;
  guint percent = 100;

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      const TouQueueRank *other = &queue->ranks[r];

      if (r < (guint)rank && queue_is_saturated (other, now_us))
        return own->backlog_us * 100
               / MAX (own->floor_percent, TOU_QUEUE_MIN_SHARE) / queue->slots;
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

int
tou_queue_push (TouQueue *queue, TouQueueItem *item, guint64 now_us,
                guint64 *retry_after_us)
{
  TouQueueRank *rank = &queue->ranks[item->rank];
  guint64 wait_us = tou_queue_wait_us (queue, item->rank, now_us);
  guint64 remaining_us = item->deadline_us - MIN (now_us, item->deadline_us);
  guint64 needed_us;

  queue_decay_cost (rank, now_us);
  needed_us = wait_us + rank->cost_us + item->reserve_us;
  item->cost_us = rank->cost_us;
  if (queue_rank_length (rank) >= queue->limit)
    {
      *retry_after_us = MAX (wait_us, rank->cost_us);
      return TOU_E_QUEUE_FULL;
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
  rank->backlog_us += item->cost_us;
  queue->earliest_us = MIN (queue->earliest_us, item->deadline_us);
  g_queue_push_tail_link (
      &rank->lanes[item->pinned ? QUEUE_PINNED : QUEUE_FREE], &item->link);
  return TOU_OK;
}

void
tou_queue_remove (TouQueue *queue, TouQueueItem *item)
{
  TouQueueRank *rank = &queue->ranks[item->rank];

  if (!item->queued)
    return;
  g_queue_unlink (&rank->lanes[item->pinned ? QUEUE_PINNED : QUEUE_FREE],
                  &item->link);
  item->queued = FALSE;
  rank->backlog_us -= item->cost_us;
  if (queue_rank_length (rank) == 0)
    rank->credit = 0;
}

/* Pinned items are dispatched first because their transactions hold locks. */
static TouQueueItem *
queue_head (const TouQueueRank *rank, gboolean connection)
{
  const GList *link = rank->lanes[QUEUE_PINNED].head;

  if (link == NULL && connection)
    link = rank->lanes[QUEUE_FREE].head;
  return link != NULL ? link->data : NULL;
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
  tou_queue_remove (queue, item);
  return item;
}

TouQueueItem *
tou_queue_pop (TouQueue *queue, gboolean connection)
{
  return queue_take (queue, queue_choose (queue, connection));
}

TouQueueItem *
tou_queue_pop_rank (TouQueue *queue, TouRank rank)
{
  return queue_take (queue, queue_head (&queue->ranks[rank], TRUE));
}

TouQueueItem *
tou_queue_pop_expired (TouQueue *queue, guint64 now_us)
{
  guint64 earliest_us = G_MAXUINT64;

  if (now_us < queue->earliest_us)
    return NULL;
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    for (guint lane = 0; lane < QUEUE_LANES; lane++)
      for (GList *link = queue->ranks[r].lanes[lane].head; link != NULL;
           link = link->next)
        {
          TouQueueItem *item = link->data;

          if (item->deadline_us <= now_us)
            {
              tou_queue_remove (queue, item);
              return item;
            }
          earliest_us = MIN (earliest_us, item->deadline_us);
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
