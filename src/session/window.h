/**
 * @file window.h
 * How many statements a node keeps in flight at a database.
 *
 * The nodes share the database's slots without telling each other their load:
 * each reduces its window while statements wait in the database, and widens it
 * otherwise. So the queue forms in the nodes, where urgent statements overtake,
 * and not in the database, which serves in order of arrival.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

typedef struct
{
  double size;        /**< statements in flight; below 1, one with pauses */
  guint64 resume_us;  /**< size below 1: no further statement before */
  guint64 rtt_us;     /**< shortest round trip seen; 0: none */
  guint64 held_us;    /**< moving average of the time in the database */
  guint64 reduced_us; /**< when it was reduced last */
} TouWindow;

/** Moving average in which @a sample counts for an eighth. */
guint64 tou_window_average (guint64 average, guint64 sample);

/** Starts with room for every slot. */
void tou_window_init (TouWindow *window, guint slots);

/** A round trip that takes no slot, such as a connection's first one. */
void tou_window_round_trip (TouWindow *window, guint64 rtt_us);

/**
 * A statement was answered after @a taken_us.
 *
 * @param target_us time in the database that callers' objectives allow
 * @param slots statements that the database runs at once
 */
void tou_window_answered (TouWindow *window, guint64 taken_us,
                          guint64 target_us, guint slots, guint64 now_us);

/** The database refused a statement because its queue is full. */
void tou_window_refused (TouWindow *window, guint64 now_us);

/** TRUE if another statement may be sent; urgent ones get extra room. */
gboolean tou_window_has_room (const TouWindow *window, guint n_in_flight,
                              gboolean urgent, guint64 now_us);

G_END_DECLS
