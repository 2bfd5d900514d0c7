/**
 * @file peers.h
 * Heartbeats between nodes: group records, proofs that a record is the latest,
 * and suspicions of primaries.
 */
#pragma once

#include "follow.h"
#include "gateway.h"
#include "link.h"
#include "panel.h"

#include <msgpack.h>

G_BEGIN_DECLS

typedef struct TouPeers TouPeers;

int tou_peers_create (TouPeers **out, TouProxy *proxy);
/** Closes the socket; memory is freed when the loop runs again. */
void tou_peers_destroy (TouPeers *peers);

/** Sets @a out to the address that receives heartbeats. */
int tou_peers_address (TouName *out, const TouPeers *peers);

/**
 * Adds or updates a registered node, unless a later registration is known.
 *
 * @param revision of the registration in the store
 */
void tou_peers_set (TouPeers *peers, const TouName *node,
                    const TouName *address, const TouName *failure_domain,
                    guint64 revision);
/**
 * Removes a node, unless it is known to have registered again.
 *
 * @param revision of the removal in the store
 */
void tou_peers_remove (TouPeers *peers, const TouName *node, guint64 revision);
/**
 * Removes the nodes that are not in @a nodes (set of TouName), the registered
 * ones at @a revision. Those that registered before the store was restored
 * stay: it may have lost the registration of a node that still runs.
 */
void tou_peers_retain (TouPeers *peers, GHashTable *nodes, guint64 revision);
/**
 * Removes nodes that have not registered since the store was restored and are
 * silent for as long as a leader waits before it removes a node.
 *
 * @param revision of the store
 * @return TRUE if one was removed
 */
gboolean tou_peers_drop_lost (TouPeers *peers, guint64 revision,
                              guint64 now_us);

/** Returns the time between heartbeats while no primary is being changed. */
guint64 tou_peers_interval_us (const TouProxy *proxy);

/**
 * Returns a digest of this node's group records, equal only for equal records;
 * 0 before the store has been read.
 */
guint64 tou_peers_digest (const TouProxy *proxy);

/** TRUE if heartbeats are exchanged with the panel; else with all nodes. */
gboolean tou_peers_have_panel (const TouProxy *proxy);

/** Adopts @a panel if it is newer than the current one. */
void tou_peers_adopt_panel (TouPeers *peers, const TouPanel *panel);

/**
 * Counts the members that have this node's record of @a group; NULL: that have
 * this node's panel.
 */
void tou_peers_count_votes (TouPanelVotes *out, const TouPeers *peers,
                            const TouGroup *group);

/**
 * TRUE if no majority of the panel, or of the one before, answers nodes whose
 * registrations have been removed: most of its members have read that.
 */
gboolean tou_peers_ignore_removed (const TouPeers *peers);

/**
 * TRUE if most members of the panel before have this node's panel, or have been
 * silent for so long that they no longer vouch for the one before.
 */
gboolean tou_peers_previous_expired (const TouPeers *peers, guint64 now_us);

/** Sets @a out to what the members of the panel report of the store. */
void tou_peers_store (TouFollowPanel *out, const TouPeers *peers,
                      guint64 now_us);

/** TRUE if a majority of the panel answers. */
gboolean tou_peers_reach_panel (const TouPeers *peers, guint64 now_us);

/** Handles a message of quotas. @return FALSE if it is malformed */
typedef gboolean (*TouPeersHandler) (gpointer context,
                                     const msgpack_object *message);

/** Sets the handler of messages that begin with a type of quota-wire.h. */
void tou_peers_set_quota_handler (TouPeers *peers, TouPeersHandler handler,
                                  gpointer context);
/** Sends a datagram. @return FALSE if the node is not registered */
gboolean tou_peers_send_to (TouPeers *peers, const TouName *node, char *data,
                            gsize size);
/**
 * Returns the round trip time of the last heartbeat that @a node returned;
 * G_MAXUINT64 if there was none lately. Without a panel, it includes the time
 * until the node's next heartbeat.
 */
guint64 tou_peers_rtt_us (const TouPeers *peers, const TouName *node,
                          guint64 now_us);

/** Sends the heartbeats that are due. */
void tou_peers_tick (TouPeers *peers, guint64 now_us);

/** Returns all registered nodes as TouGatewayNode, this one first. */
GArray *tou_peers_nodes (const TouPeers *peers, guint64 now_us);
/** Sets @a out to the address of @a node; zero if it is not registered. */
void tou_peers_node_address (struct sockaddr_in *out, const TouPeers *peers,
                             const TouName *node);

/** Counts nodes with a recent heartbeat, excluding this one. */
guint tou_peers_count_reporting (const TouPeers *peers, guint64 now_us);
/** Counts reporting nodes that suspect the primary of @a group. */
guint tou_peers_count_suspecting (const TouPeers *peers, const TouGroup *group,
                                  guint64 now_us);
/** Counts nodes that no longer use the primary of the record @a revision. */
guint tou_peers_count_quiesced (const TouPeers *peers, const TouGroup *group,
                                guint64 revision);
/**
 * Returns the node whose last heartbeat is the oldest, or NULL.
 *
 * @param last_heartbeat_us set to the time of its last heartbeat
 */
const TouName *tou_peers_least_recent (const TouPeers *peers,
                                       guint64 *last_heartbeat_us);

G_END_DECLS
