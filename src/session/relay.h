/**
 * @file relay.h
 * Statements of nodes that hold no connection to a database.
 *
 * A node that holds connections accepts the databases' protocol from other
 * nodes. A session there looks like a connection to the database; its
 * statements run one by one on the connections that this node shares out. What
 * the database answers is passed on unchanged, and a lost answer closes the
 * session, so the other node decides about outcomes as if it were connected
 * itself.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

typedef struct TouRelay TouRelay;

/** Appends what a gateway must know of the next statement. */
void tou_relay_put_rank (GString *out, TouRank rank, guint64 deadline_us);

/** Accepts other nodes on the address for traffic between nodes. */
int tou_relay_listen (TouProxy *proxy);

/** Runs statements that wait for a link to @a endpoint. */
void tou_relay_dispatch (TouEndpoint *endpoint, guint64 now_us);

/**
 * Ends the sessions of node @a peer (NULL: of all) for @a endpoint; running
 * statements end first.
 */
void tou_relay_close_all (TouEndpoint *endpoint, const TouName *peer);

/** Ends the sessions of a database that is withdrawn. */
void tou_relay_end (TouEndpoint *endpoint);

/** Refuses statements that have waited in vain. */
void tou_relay_tick (TouEndpoint *endpoint, guint64 now_us);

G_END_DECLS
