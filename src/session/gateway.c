#include "gateway.h"

/* With this many connections per node no gateways are needed: a transaction
   uses one, and those of a restarted node are counted for another 3 s. */
#define GATEWAY_MIN_PER_NODE 3
/* Connections per gateway, shared by the statements of many nodes. */
#define GATEWAY_CONNECTIONS 8
/* With fewer gateways the failure of one makes half of the nodes suspect the
   database. */
#define GATEWAY_MIN_COUNT 3
/* More gateways do not make a database faster, but each opens connections of
   its own, which occupy the database's slots. */
#define GATEWAY_MAX_COUNT 6
/* An eighth of the connections is reserved for nodes that replace a failed
   gateway, whose connections the database counts for 3 s. */
#define GATEWAY_RESERVE_SHIFT 3

/* Number of nodes at a time that stand in for gateways that are all avoided.
   They share the reserved connections. */
#define GATEWAY_STAND_INS 2

#define GATEWAY_HASH_START G_GUINT64_CONSTANT (14695981039346656037)
#define GATEWAY_HASH_FACTOR G_GUINT64_CONSTANT (1099511628211)

guint
tou_gateway_count (guint connection_limit, guint n_nodes)
{
  guint n_gateways = CLAMP (connection_limit / GATEWAY_CONNECTIONS,
                            GATEWAY_MIN_COUNT, GATEWAY_MAX_COUNT);

  /* The limit is not configured yet. */
  if (connection_limit == 0)
    return 0;
  if (connection_limit >= n_nodes * GATEWAY_MIN_PER_NODE
      || n_gateways >= n_nodes)
    return 0;
  return n_gateways;
}

guint
tou_gateway_share (guint connection_limit, guint n_gateways)
{
  guint shared = connection_limit - (connection_limit >> GATEWAY_RESERVE_SHIFT);

  return MAX (shared / MAX (n_gateways, 1), 1);
}

guint
tou_gateway_stand_in_share (guint connection_limit)
{
  guint reserved = connection_limit >> GATEWAY_RESERVE_SHIFT;

  return MAX (reserved / GATEWAY_STAND_INS, 1);
}

/* FNV-1a over both names. */
static guint64
gateway_hash (const TouName *a, const TouName *b)
{
  guint64 hash = GATEWAY_HASH_START;

  for (guint i = 0; i < a->len; i++)
    hash = (hash ^ (guint8)a->data[i]) * GATEWAY_HASH_FACTOR;
  hash = (hash ^ 0xff) * GATEWAY_HASH_FACTOR;
  for (guint i = 0; i < b->len; i++)
    hash = (hash ^ (guint8)b->data[i]) * GATEWAY_HASH_FACTOR;
  /* Node names differ in their last digits, which FNV-1a does not spread to the
     high bits. */
  hash ^= hash >> 33;
  hash *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  return hash ^ (hash >> 33);
}

guint64
tou_gateway_inputs (const TouGatewayNode *nodes, guint n_nodes)
{
  guint64 inputs = n_nodes;

  /* A sum does not depend on the order of the nodes. */
  for (guint i = 0; i < n_nodes; i++)
    {
      TouName state = {
        1, { (char)(nodes[i].alive + 2 * nodes[i].avoided + 4 * nodes[i].cut) }
      };

      inputs += gateway_hash (&nodes[i].node, &state);
    }
  return inputs;
}

typedef struct
{
  guint index;
  gboolean local;
  guint64 hash;
} GatewayRank;

static gboolean
gateway_is_better (const GatewayRank *a, const GatewayRank *b)
{
  return a->local != b->local ? a->local : a->hash > b->hash;
}

/* Inserts @a rank into the sorted array @a best. @return its new length */
static guint
gateway_insert (GatewayRank *best, guint n_best, guint n_max,
                const GatewayRank *rank)
{
  guint i = n_best;

  while (i > 0 && gateway_is_better (rank, &best[i - 1]))
    i--;
  if (i == n_max)
    return n_best;
  if (n_best == n_max)
    n_best--;
  for (guint j = n_best; j > i; j--)
    best[j] = best[j - 1];
  best[i] = *rank;
  return n_best + 1;
}

/* Ranks the gateways of an endpoint. @return their number */
static guint
gateway_rank_all (GatewayRank *best, guint n_max, const TouGatewayNode *nodes,
                  guint n_nodes, guint self, const TouName *endpoint,
                  const TouName *failure_domain)
{
  guint n_best = 0;
  guint n_local = 0;

  for (guint i = 0; i < n_nodes; i++)
    {
      GatewayRank rank = { i, FALSE, 0 };

      if (!nodes[i].alive && i != self)
        continue;
      rank.local = tou_name_equal (&nodes[i].failure_domain, failure_domain);
      rank.hash = gateway_hash (endpoint, &nodes[i].node);
      n_best = gateway_insert (best, n_best, n_max, &rank);
    }
  while (n_local < n_best && best[n_local].local)
    n_local++;
  /* Statements through remote gateways cross failure domains twice. */
  return n_local >= GATEWAY_MIN_COUNT ? n_local : n_best;
}

static gboolean
gateway_is_ranked (const GatewayRank *best, guint n_best, guint node)
{
  for (guint i = 0; i < n_best; i++)
    if (best[i].index == node)
      return TRUE;
  return FALSE;
}

/* Distributes the nodes over the gateways by a second hash. @return the
   gateway, or @a self if there is no other one */
static guint
gateway_select (const GatewayRank *best, guint n_best,
                const TouGatewayNode *nodes, guint self, gboolean avoided)
{
  guint chosen = self;
  guint64 chosen_hash = 0;

  for (guint i = 0; i < n_best; i++)
    {
      guint64 hash
          = gateway_hash (&nodes[self].node, &nodes[best[i].index].node);

      if (best[i].index == self || nodes[best[i].index].avoided != avoided
          || (chosen != self && hash <= chosen_hash))
        continue;
      chosen = best[i].index;
      chosen_hash = hash;
    }
  return chosen;
}

/* Selects a node that is not a gateway, or returns @a n_nodes. The failure
   domain does not count here: it may be the one that is cut off. */
static guint
gateway_stand_in (const GatewayRank *best, guint n_best,
                  const TouGatewayNode *nodes, guint n_nodes, guint self,
                  const TouName *endpoint)
{
  GatewayRank others[GATEWAY_STAND_INS];
  guint n_others = 0;

  for (guint i = 0; i < n_nodes; i++)
    {
      GatewayRank rank = { i, FALSE, 0 };

      if ((!nodes[i].alive && i != self) || nodes[i].avoided || nodes[i].cut
          || gateway_is_ranked (best, n_best, i))
        continue;
      rank.hash = gateway_hash (endpoint, &nodes[i].node);
      n_others = gateway_insert (others, n_others, GATEWAY_STAND_INS, &rank);
    }
  if (n_others == 0)
    return n_nodes;
  return gateway_is_ranked (others, n_others, self)
             ? self
             : gateway_select (others, n_others, nodes, self, FALSE);
}

guint
tou_gateway_choose (const TouGatewayNode *nodes, guint n_nodes, guint self,
                    const TouName *endpoint, const TouName *failure_domain,
                    guint *n_gateways)
{
  GatewayRank *best = g_new (GatewayRank, *n_gateways);
  guint n_best = gateway_rank_all (best, *n_gateways, nodes, n_nodes, self,
                                   endpoint, failure_domain);
  guint chosen = self;

  *n_gateways = n_best;
  if (nodes[self].cut || !gateway_is_ranked (best, n_best, self))
    {
      chosen = gateway_select (best, n_best, nodes, self, FALSE);
      if (chosen == self)
        chosen
            = gateway_stand_in (best, n_best, nodes, n_nodes, self, endpoint);
      /* An avoided gateway is used only if there is no other node. */
      if (chosen == n_nodes)
        chosen = gateway_select (best, n_best, nodes, self, TRUE);
    }
  g_free (best);
  return chosen;
}

gboolean
tou_gateway_contains (const TouGatewayNode *nodes, guint n_nodes, guint self,
                      guint node, const TouName *endpoint,
                      const TouName *failure_domain, guint n_gateways)
{
  GatewayRank *best = g_new (GatewayRank, MAX (n_gateways, 1));
  guint n_best = gateway_rank_all (best, n_gateways, nodes, n_nodes, self,
                                   endpoint, failure_domain);
  gboolean found = gateway_is_ranked (best, n_best, node);

  g_free (best);
  return found;
}
