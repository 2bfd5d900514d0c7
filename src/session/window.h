/**
 * @file window.h
 * Limits the statements that a node has in flight at an endpoint.
 *
 * The nodes share the database's slots without exchanging their load. Each
 * reduces its window while statements wait in the database and increases it
 * otherwise. Statements therefore queue in the nodes, which can send urgent
 * ones first, and not in the database, which runs them in order of arrival.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/**
 * Longest time that counts as a statement's service time. A database that does
 * not answer for this long is treated as unreachable, so a longer time contains
 * a silence, which says nothing about the time of the next statement.
 */
#define TOU_SERVICE_MAX_US (500 * TOU_US_PER_MS)

typedef struct
{
  double size;          /**< statements in flight; below 1: one, with pauses */
  guint64 resume_us;    /**< size below 1: time of the next statement */
  guint64 rtt_us;       /**< shortest round trip measured; 0: none */
  guint64 residence_us; /**< moving average of the time in the database */
  guint64 reduced_us;   /**< time of the last reduction */
} TouWindow;

/** Returns a moving average with a weight of 1/8 for @a sample. */
guint64 tou_window_average (guint64 average, guint64 sample);

/** Sets the window's size to the number of slots. */
void tou_window_init (TouWindow *window, guint slots);

/** Records a round trip that uses no slot, such as that of connecting. */
void tou_window_round_trip (TouWindow *window, guint64 rtt_us);

/**
 * Records that a statement was answered after @a elapsed_us.
 *
 * @param target_us time in the database that clients' latency targets allow
 * @param slots statements that the database runs concurrently
 */
void tou_window_answered (TouWindow *window, guint64 elapsed_us,
                          guint64 target_us, guint slots, guint64 now_us);

/** Records that the database refused a statement because its queue is full. */
void tou_window_refused (TouWindow *window, guint64 now_us);

/**
 * Returns TRUE if a statement may be sent; urgent ones may exceed the size.
 */
gboolean tou_window_has_room (const TouWindow *window, guint n_in_flight,
                              gboolean urgent, guint64 now_us);

G_END_DECLS
