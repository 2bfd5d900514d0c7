/**
 * @file queue.h
 * Queue of the requests for one database, by rank, with guaranteed shares.
 *
 * The urgent rank is dispatched first. Every other rank with a backlog accrues
 * credit: its floor as a share of the cost of all dispatched requests. It takes
 * precedence as soon as its credit covers the cost of its first request.
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
  gboolean probe;  /**< admitted despite the estimates because the database is
                      idle; a wrong estimate would never be corrected */
  gboolean pinned; /**< has its own connection (in a transaction) */
  TouRank rank;
  guint64 deadline_us; /**< absolute */
  guint64 reserve_us;  /**< time reserved between result and deadline */
  guint64 cost_us;     /**< estimated service time, set by push */
} TouQueueItem;

/**
 * @param limit maximum number of requests per rank
 * @param slots number of concurrent statements, at least 1
 */
int tou_queue_create (TouQueue **out, guint limit, guint slots);

/** Frees the queue, which must be empty. */
void tou_queue_destroy (TouQueue *queue);

/**
 * Sets the number of concurrent statements and the floor of each rank, in
 * percent of all slots.
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

/** Removes @a item from the queue if it is queued. */
void tou_queue_remove (TouQueue *queue, TouQueueItem *item);

/**
 * Removes and returns the next item to dispatch, or returns NULL.
 *
 * @param connection FALSE if no connection is free: only pinned items
 */
TouQueueItem *tou_queue_pop (TouQueue *queue, gboolean connection);

/** Removes and returns the next item of @a rank, or returns NULL. */
TouQueueItem *tou_queue_pop_rank (TouQueue *queue, TouRank rank);

/** TRUE if @a item, dispatched at @a now_us, can meet its deadline. */
gboolean tou_queue_is_in_time (const TouQueue *queue, const TouQueueItem *item,
                               guint64 now_us);

/** Removes and returns an item whose deadline has passed, or returns NULL. */
TouQueueItem *tou_queue_pop_expired (TouQueue *queue, guint64 now_us);

/** Removes and returns any item, or returns NULL; for shutdown. */
TouQueueItem *tou_queue_pop_any (TouQueue *queue);

/**
 * Updates the estimate with the time for which a statement used a slot. Without
 * further measurements the estimate decays.
 */
void tou_queue_record_cost (TouQueue *queue, TouRank rank, guint64 cost_us,
                            guint64 now_us);

/** Returns the estimated wait of a new request of @a rank, in us. */
guint64 tou_queue_wait_us (const TouQueue *queue, TouRank rank, guint64 now_us);

/** Returns the estimated time for which a statement uses a slot, in us. */
guint64 tou_queue_cost_us (const TouQueue *queue, TouRank rank);

/** Returns the number of queued requests of all ranks. */
guint tou_queue_length (const TouQueue *queue);

G_END_DECLS
