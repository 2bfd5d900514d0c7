/**
 * @file direct.h
 * The direct path of a gateway to its database.
 *
 * A gateway whose direct path has failed runs its own statements through
 * another gateway, refuses those of other nodes, and goes on to report its
 * suspicion of the database. It tries the direct path at a low rate and returns
 * to it when the database answers.
 *
 * A node whose gateways do not reach the database, and which is asked to run
 * statements of another node, stands in as a gateway with few connections.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/** The direct path has failed; another gateway is selected, if there is one. */
void tou_direct_fail (TouEndpoint *endpoint, const char *reason,
                      guint64 now_us);

/** The database has answered over the direct path. */
void tou_direct_answer (TouEndpoint *endpoint, guint64 now_us);

/** Tries a failed direct path while another gateway is used. */
void tou_direct_tick (TouEndpoint *endpoint, guint64 now_us);

/** Closes the direct links that may move to the gateway now used. */
void tou_direct_leave (TouEndpoint *endpoint);

/** TRUE if this node may run statements of other nodes on the endpoint. */
gboolean tou_direct_serves (const TouEndpoint *endpoint);

/** Another node asks this one to run its statements; may start to stand in. */
void tou_direct_on_request (TouEndpoint *endpoint, guint64 now_us);

/** TRUE while this node stands in as a gateway. */
gboolean tou_direct_stands_in (const TouEndpoint *endpoint, guint64 now_us);

/** Stands in for a while: no other gateway reaches the database. */
void tou_direct_stand_in (TouEndpoint *endpoint, guint64 now_us);

/** The gateway to name in a refusal, or NULL. */
const TouName *tou_direct_hint (const TouEndpoint *endpoint);

/**
 * @a gateway refused a session or statement with @a text.
 *
 * @return TRUE if it does not reach the database
 */
gboolean tou_direct_on_refusal (TouEndpoint *endpoint, const TouName *gateway,
                                TouSlice text, guint64 now_us);

G_END_DECLS
