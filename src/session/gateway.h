/**
 * @file gateway.h
 * Selects the gateways of an endpoint.
 *
 * Pattern: more nodes than a database accepts connections from. A few nodes,
 * preferably in the database's failure domain, are its gateways and hold all
 * connections to it; the other nodes send their statements through a gateway.
 * Gateways are selected by rendezvous hashing of the node names, so nodes that
 * see the same nodes alive agree without exchanging messages.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** A registered node. */
typedef struct
{
  TouName node;
  TouName failure_domain;
  gboolean alive;    /**< recent heartbeat; always TRUE for this node */
  gboolean avoided;  /**< statements through it failed recently */
  gboolean expired;  /**< no heartbeat for 3 s; sessions relayed for it end */
  gboolean cut;      /**< only of this node: its direct path has failed */
  gboolean draining; /**< it will stop, and is to leave the panel before */
} TouGatewayNode;

/**
 * Returns the number of gateways of an endpoint; 0: every node connects
 * itself.
 *
 * @param connection_limit maximum connections to the database, of all nodes
 * @param n_nodes registered nodes
 */
guint tou_gateway_count (guint connection_limit, guint n_nodes);

/** Returns the maximum number of connections of one gateway. */
guint tou_gateway_share (guint connection_limit, guint n_gateways);

/**
 * Returns the maximum number of connections of a node that stands in for
 * gateways that do not reach the database.
 */
guint tou_gateway_stand_in_share (guint connection_limit);

/**
 * Returns a hash of what tou_gateway_choose() depends on besides the endpoint;
 * with equal hashes it selects the same gateway.
 */
guint64 tou_gateway_inputs (const TouGatewayNode *nodes, guint n_nodes);

/**
 * Selects the node through which @a self reaches an endpoint. If all gateways
 * are avoided, it is one of the next two nodes in the order of their hashes.
 *
 * @param endpoint id of the endpoint
 * @param failure_domain of the endpoint; nodes in it are preferred
 * @param n_gateways maximum number of gateways, at least 1; set to their number
 * @return index of the gateway, @a self if this node is one
 */
guint tou_gateway_choose (const TouGatewayNode *nodes, guint n_nodes,
                          guint self, const TouName *endpoint,
                          const TouName *failure_domain, guint *n_gateways);

/**
 * TRUE if @a node is one of the gateways; parameters as above.
 */
gboolean tou_gateway_contains (const TouGatewayNode *nodes, guint n_nodes,
                               guint self, guint node, const TouName *endpoint,
                               const TouName *failure_domain, guint n_gateways);

G_END_DECLS
