/**
 * @file queue.h
 * Queue of the requests for one database, by rank, with guaranteed shares.
 *
 * The urgent rank is dispatched first. Every other rank with a backlog accrues
 * credit: its floor as a share of the cost of all dispatched requests. It takes
 * precedence as soon as its credit covers the cost of its first request.
 *
 * Within a rank, flows (teams) share by start-time fair queueing with equal
 * weights: every flow has a start tag, the virtual time at which its first
 * request is due; the smallest tag is dispatched first, and a dispatched
 * request advances its flow's tag by its cost. Virtual time is the largest tag
 * that was dispatched; a flow without a backlog starts there. Requests of one
 * flow are dispatched in the order of their arrival.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

typedef struct TouQueue TouQueue;

typedef struct TouQueueFlow TouQueueFlow;

/** One queued request; embedded in the owner's structure. */
typedef struct
{
  GList link;                /**< private */
  TouQueueFlow *queued_flow; /**< private */
  guint64 overtaken_us; /**< private: when it was first overtaken; 0: never */
  /** Requests of equal names share one flow; NULL is a flow as well. Borrowed:
      valid while the item is queued. */
  const TouName *flow;
  gboolean queued;
  gboolean probe;  /**< admitted despite the estimates because the database is
                      idle; a wrong estimate would never be corrected */
  gboolean pinned; /**< has its own connection (in a transaction) */
  TouRank rank;
  guint64 deadline_us; /**< absolute */
  guint64 reserve_us;  /**< time reserved between result and deadline */
  guint64 cost_us;     /**< estimated service time, set by push */
} TouQueueItem;

/** Whether an item can be dispatched now. */
typedef enum
{
  TOU_QUEUE_RUNNABLE,
  TOU_QUEUE_NO_CONNECTION, /**< all requests of its flow lack a connection */
  TOU_QUEUE_NOT_NOW        /**< no connection would help, as when a replica has
                              not reached the position that it requires */
} TouQueueVerdict;

/** Selection of an item for tou_queue_pop_matching(). */
typedef struct
{
  guint64 now_us;
  gboolean urgent_only; /**< only items of the urgent rank */
  /** Not called for pinned items, which have a connection. */
  TouQueueVerdict (*judge) (const TouQueueItem *item, gpointer data);
  gpointer data;
  /** Set by the call: the first item in dispatch order that lacks a connection;
      open one for it. NULL: none. */
  const TouQueueItem *blocked;
} TouQueueSelection;

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
 * Appends @a item, which stays owned by the caller. If its rank is full and
 * another flow has at least two more requests queued, the newest request of the
 * flow with the most is evicted instead.
 *
 * @param retry_after_us set if a request is refused or evicted: estimated time
 * until a request of its rank and flow would be accepted
 * @param evicted set to the evicted item, which the caller has to refuse, or to
 * NULL
 * @return TOU_E_QUEUE_FULL, or TOU_E_DEADLINE if the deadline cannot be met
 */
int tou_queue_push (TouQueue *queue, TouQueueItem *item, guint64 now_us,
                    guint64 *retry_after_us, TouQueueItem **evicted);

/** Removes @a item from the queue if it is queued. */
void tou_queue_remove (TouQueue *queue, TouQueueItem *item);

/**
 * Removes and returns the next item to dispatch, or returns NULL.
 *
 * @param connection FALSE if no connection is free: only pinned items
 */
TouQueueItem *tou_queue_pop (TouQueue *queue, gboolean connection);

/**
 * Removes and returns the first item in dispatch order that is runnable, or
 * returns NULL. Connections that serve one flow only are the reason why the
 * first item may have to wait while others can run.
 *
 * Overtaking is bounded: an item that lacks a connection is overtaken for at
 * most 100 ms; then nothing behind it is dispatched for 50 ms, except by a
 * floor, so that connections become idle and one can be opened for it. If it
 * still lacks one, this repeats until its deadline: a flow whose connections
 * fail costs the others at most a third of the time.
 */
TouQueueItem *tou_queue_pop_matching (TouQueue *queue,
                                      TouQueueSelection *selection);

/**
 * Gives the flow of @a item, which was popped but did not use a slot, the cost
 * back. Call it before the item is pushed again.
 */
void tou_queue_refund (TouQueue *queue, const TouQueueItem *item);

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

/**
 * Returns the estimated wait of a new request of @a rank and @a flow, in us.
 *
 * Ahead of it are the backlogs of its own flow and of more urgent ranks, and
 * of every other flow of the rank what start-time fair queueing dispatches
 * first: min (backlog, S - start + cost), where S is the request's start tag.
 * Requests that will arrive and overtake it are estimated from the share of the
 * dispatched work that its flow has had since its backlog began:
 * backlog of the flow x (work of the rank) / (work of the flow), if larger.
 */
guint64 tou_queue_wait_us (const TouQueue *queue, TouRank rank,
                           const TouName *flow, guint64 now_us);

/** Returns the estimated time for which a statement uses a slot, in us. */
guint64 tou_queue_cost_us (const TouQueue *queue, TouRank rank);

/** Returns the number of queued requests of all ranks. */
guint tou_queue_length (const TouQueue *queue);

/** Returns the number of flows with state, of all ranks. */
guint tou_queue_flows (const TouQueue *queue);

G_END_DECLS
