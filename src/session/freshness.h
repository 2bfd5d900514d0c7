/**
 * @file freshness.h
 * Determines the log position that a replica needs to serve a read with a
 * maximum age.
 *
 * The primary's reply to a statement sent at time t contains a position that
 * includes every commit acknowledged before t. A replica that has received this
 * position serves reads at least as current as t.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

typedef struct TouFreshness TouFreshness;

int tou_freshness_create (TouFreshness **out);
void tou_freshness_destroy (TouFreshness *freshness);

/**
 * Adds the position of the primary's reply to a statement sent at @a sent_us.
 */
void tou_freshness_add (TouFreshness *freshness, guint64 sent_us,
                        TouLogPos pos);

/**
 * Sets @a out to the oldest sampled position that is current as of @a since_us.
 *
 * @return FALSE if there is none
 */
gboolean tou_freshness_required (const TouFreshness *freshness,
                                 guint64 since_us, TouLogPos *out);

/** Returns the send time of the newest sample, or 0. */
guint64 tou_freshness_newest_us (const TouFreshness *freshness);

G_END_DECLS
