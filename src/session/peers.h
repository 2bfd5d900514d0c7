/**
 * @file peers.h
 * Heartbeats between nodes: proofs for primaries, records, suspicions.
 */
#pragma once

#include "gateway.h"
#include "link.h"

G_BEGIN_DECLS

typedef struct TouPeers TouPeers;

int tou_peers_create (TouPeers **out, TouProxy *proxy);
/** The loop must run once more to free it. */
void tou_peers_destroy (TouPeers *peers);

/** Address that other nodes send to. */
int tou_peers_address (TouName *out, const TouPeers *peers);

/**
 * A node is registered, or registered anew; this node itself is ignored.
 *
 * @param revision of the registration in the store
 */
void tou_peers_set (TouPeers *peers, const TouName *node,
                    const TouName *address, const TouName *failure_domain,
                    guint64 revision);
void tou_peers_remove (TouPeers *peers, const TouName *node);
/** Removes all nodes that @a nodes (TouName set) lacks. */
void tou_peers_retain (TouPeers *peers, GHashTable *nodes);

/** Time between heartbeats while no primary is changed. */
guint64 tou_peers_interval_us (const TouProxy *proxy);

/**
 * Digest of the records that the node knows, equal only for equal records; 0
 * before the store has been read.
 */
guint64 tou_peers_digest (const TouProxy *proxy);

/** Sends heartbeats that are due. */
void tou_peers_tick (TouPeers *peers, guint64 now_us);

/** All registered nodes as TouGatewayNode, this one first. */
GArray *tou_peers_nodes (const TouPeers *peers, guint64 now_us);
/** Where @a node listens; zero if it is not registered. */
void tou_peers_node_address (struct sockaddr_in *out, const TouPeers *peers,
                             const TouName *node);

/** Registered nodes heard from lately, this one not included. */
guint tou_peers_reporting (const TouPeers *peers, guint64 now_us);
/** Nodes heard from lately that cannot reach the primary of @a group. */
guint tou_peers_suspecting (const TouPeers *peers, const TouGroup *group,
                            guint64 now_us);
/** Nodes that no longer use the primary of the record @a revision. */
guint tou_peers_quiet (const TouPeers *peers, const TouGroup *group,
                       guint64 revision);
/**
 * The node that was not heard from for the longest time, or NULL.
 *
 * @param heard_us set to the time when it was heard from
 */
const TouName *tou_peers_most_silent (const TouPeers *peers, guint64 *heard_us);

G_END_DECLS
