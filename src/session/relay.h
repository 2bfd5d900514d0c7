/**
 * @file relay.h
 * Runs statements on behalf of other nodes, for which this node is the gateway.
 *
 * A gateway accepts the databases' protocol from other nodes. A session behaves
 * like a connection to the database; its statements run one at a time on links
 * that all sessions share. Answers of the database are forwarded unchanged. If
 * an answer is lost, the session is closed, so the other node determines the
 * outcome as if it were connected to the database itself.
 *
 * Before its process ends, a gateway tells the other nodes on their sessions,
 * so that they select another gateway, and completes what it has accepted.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

typedef struct TouRelay TouRelay;

/**
 * Appends the RANK line: rank and remaining time of the next statement, and its
 * team (NULL: none).
 */
void tou_relay_put_rank (GString *out, TouRank rank, guint64 deadline_us,
                         const TouName *team);

/** Starts to accept sessions of other nodes on the address for peers. */
int tou_relay_listen (TouProxy *proxy);

/**
 * Closes the oldest connection that has sent nothing since @a before_us.
 *
 * @return FALSE if there is none
 */
gboolean tou_relay_close_silent (TouProxy *proxy, guint64 before_us);

/** Runs as many queued statements as the links to @a endpoint allow. */
void tou_relay_dispatch (TouEndpoint *endpoint, guint64 now_us);

/**
 * Closes the sessions of @a peer (NULL: of all peers) for @a endpoint, after
 * their running statements have ended.
 */
void tou_relay_close_all (TouEndpoint *endpoint, const TouName *peer);

/** Closes all sessions for @a endpoint and frees its queue. */
void tou_relay_end_endpoint (TouEndpoint *endpoint);

/** Refuses statements that cannot run in time and closes unused sessions. */
void tou_relay_tick (TouEndpoint *endpoint, guint64 now_us);

/** TRUE if a statement or an open transaction of another node is in progress.
 */
gboolean tou_relay_has_work (const TouEndpoint *endpoint);

/** TRUE if a gateway's line only reports that a statement is in progress. */
gboolean tou_relay_is_progress (TouSlice line);
/** TRUE if a gateway's line says that its process will end. */
gboolean tou_relay_is_stopping (TouSlice line);

G_END_DECLS
