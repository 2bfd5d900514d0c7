/**
 * @file pacing.h
 * Paces of the endpoints: when they begin and end, and what feeds them.
 *
 * Only nodes with direct connections pace a database; a gateway does so for the
 * nodes that use it.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/** Begins the pacing of @a endpoint unless the setting is off. */
void tou_pacing_begin (TouEndpoint *endpoint, TouPaceReason reason,
                       guint64 now_us);

/**
 * Discards window and average latency, which were measured before the database
 * stopped. With them, it would get no reads for seconds.
 */
void tou_pacing_reset_estimates (TouEndpoint *endpoint);

/** TRUE if the pace admits another statement; urgent ones get more room. */
gboolean tou_pacing_has_room (TouEndpoint *endpoint, gboolean urgent,
                              guint64 now_us);

/**
 * TRUE if the pace admits another link.
 *
 * @param n_opening links that are being opened
 */
gboolean tou_pacing_allows_link (const TouEndpoint *endpoint, guint n_opening);

/** Records the result of a task that ran on @a endpoint. */
void tou_pacing_on_result (TouEndpoint *endpoint, const TouTask *task,
                           const TouTaskResult *result, guint64 now_us);

G_END_DECLS
