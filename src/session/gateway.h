/**
 * @file gateway.h
 * Which nodes hold the connections to a database.
 *
 * Pattern: more nodes than a database takes connections from. A few nodes next
 * to the database hold all of its connections; the others send their statements
 * through one of these. Every node ranks the nodes alike from their names, so
 * they agree without a message as long as they see the same nodes alive.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** A node that is registered. */
typedef struct
{
  TouName node;
  TouName failure_domain;
  gboolean alive;   /**< heard from lately; this node always is */
  gboolean avoided; /**< statements through it failed a moment ago */
  gboolean lost;    /**< its connections count as closed */
} TouGatewayNode;

/**
 * Number of nodes that hold connections to a database; 0 means all.
 *
 * @param connection_limit of the database, all callers together
 * @param n_nodes registered nodes
 */
guint tou_gateway_holders (guint connection_limit, guint n_nodes);

/** Most connections of one holder. */
guint tou_gateway_share (guint connection_limit, guint n_holders);

/**
 * Chooses the node through which @a self reaches a database.
 *
 * @param endpoint the database's id
 * @param failure_domain the database's; nodes there are preferred
 * @param n_holders most holders, at least 1; set to their number
 * @return index of a node, that of @a self if it is a holder
 */
guint tou_gateway_choose (const TouGatewayNode *nodes, guint n_nodes,
                          guint self, const TouName *endpoint,
                          const TouName *failure_domain, guint *n_holders);

G_END_DECLS
