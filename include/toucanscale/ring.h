/**
 * @file ring.h
 * Bounded queue between threads, with lanes in order of priority.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** A ring; all functions except destroy are thread-safe. */
typedef struct TouRing TouRing;

/**
 * Creates a ring.
 *
 * @param out owned by the caller
 * @param lanes number of lanes; lane 0 has the highest priority
 * @param capacity items per lane
 * @param item_size bytes per item; items are copied bytewise
 */
int tou_ring_create (TouRing **out, guint lanes, guint capacity,
                     gsize item_size);

/**
 * Appends an item; never blocks.
 *
 * @return TOU_E_RING_FULL if the lane is full; the caller keeps the item
 */
int tou_ring_push (TouRing *ring, guint lane, const void *item);

/** Removes the oldest item of the first non-empty lane; FALSE if empty. */
gboolean tou_ring_pop (TouRing *ring, void *item);

/** Like tou_ring_pop (), waiting at most @a timeout_us. */
gboolean tou_ring_wait (TouRing *ring, void *item, guint64 timeout_us);

/**
 * Returns a file descriptor that is readable while the ring has items.
 *
 * The ring owns it. Use it for poll () only and do not read from it.
 */
int tou_ring_fd (const TouRing *ring);

/** Frees the ring; items still in it are not cleared. */
void tou_ring_destroy (TouRing *ring);

G_END_DECLS
