/**
 * @file queue.h
 * Requests waiting for one database, by rank, with guaranteed shares.
 *
 * The urgent rank is served first. Every other rank with a backlog accrues
 * credit of its floor for all dispatched work and is served as soon as the
 * credit covers its first request.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

typedef struct TouQueue TouQueue;

/** One queued request; embedded in the owner's structure. */
typedef struct
{
  GList link; /**< private */
  gboolean queued;
  gboolean probe;  /**< the database is idle: run it whatever the estimates
                      say, or a bad one would never be measured again */
  gboolean pinned; /**< has its own connection (inside a transaction) */
  TouRank rank;
  guint64 deadline_us; /**< absolute */
  guint64 after_us;    /**< time needed between the statement and the answer */
  guint64 cost_us;     /**< estimated service time, set by push */
} TouQueueItem;

/**
 * @param limit most requests per rank
 * @param slots statements run at once, at least 1
 */
int tou_queue_create (TouQueue **out, guint limit, guint slots);

/** Frees the queue, which must be empty. */
void tou_queue_destroy (TouQueue *queue);

/**
 * Sets the number of statements in flight and each rank's floor, in percent of
 * all slots.
 */
void tou_queue_configure (TouQueue *queue, guint slots,
                          const guint floor_percent[TOU_RANK_COUNT]);

/**
 * Appends @a item, which stays owned by the caller.
 *
 * @param retry_after_us set when refused: estimated time until a request of
 * this rank would be accepted
 * @return TOU_E_QUEUE_FULL, or TOU_E_DEADLINE if the deadline cannot be met
 */
int tou_queue_push (TouQueue *queue, TouQueueItem *item, guint64 now_us,
                    guint64 *retry_after_us);

/** Takes @a item out; nothing happens if it is not queued. */
void tou_queue_remove (TouQueue *queue, TouQueueItem *item);

/**
 * Takes the next item to dispatch, or returns NULL.
 *
 * @param connection FALSE: only pinned items, no free connection is there
 */
TouQueueItem *tou_queue_pop (TouQueue *queue, gboolean connection);

/** Takes the next item of @a rank, or returns NULL. */
TouQueueItem *tou_queue_pop_rank (TouQueue *queue, TouRank rank);

/** TRUE if @a item, dispatched at @a now_us, is answered in time. */
gboolean tou_queue_is_in_time (const TouQueue *queue, const TouQueueItem *item,
                               guint64 now_us);

/** Takes an item whose deadline has passed at @a now_us, or returns NULL. */
TouQueueItem *tou_queue_pop_expired (TouQueue *queue, guint64 now_us);

/** Takes the first item of any rank, or returns NULL; for shutdown. */
TouQueueItem *tou_queue_pop_any (TouQueue *queue);

/** Corrects the estimate with the time for which a statement held a slot. */
void tou_queue_measure (TouQueue *queue, TouRank rank, guint64 held_us);

/** Returns the estimated wait of a new request of @a rank, in us. */
guint64 tou_queue_wait_us (const TouQueue *queue, TouRank rank, guint64 now_us);

/** Returns the estimated time for which a statement holds a slot, in us. */
guint64 tou_queue_cost_us (const TouQueue *queue, TouRank rank);

/** Number of queued requests, all ranks. */
guint tou_queue_length (const TouQueue *queue);

G_END_DECLS
