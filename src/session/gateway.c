#include "gateway.h"

/* With this many connections for each node, every node has its own: a
   transaction takes one, and a restart needs as many again for 3 s. */
#define GATEWAY_MIN_PER_NODE 3
/* Connections of one holder: statements of many nodes share them. */
#define GATEWAY_PER_HOLDER 8
/* With fewer holders the loss of one makes half of the nodes believe that the
   database has failed. */
#define GATEWAY_MIN_HOLDERS 3
/* Part of the connections that stays free for nodes that take over from a lost
   holder, whose connections the database counts for 3 s: 1 / 8. */
#define GATEWAY_RESERVE_SHIFT 3

#define GATEWAY_HASH_START G_GUINT64_CONSTANT (14695981039346656037)
#define GATEWAY_HASH_FACTOR G_GUINT64_CONSTANT (1099511628211)

guint
tou_gateway_holders (guint connection_limit, guint n_nodes)
{
  guint n_holders
      = MAX (connection_limit / GATEWAY_PER_HOLDER, GATEWAY_MIN_HOLDERS);

  /* Not configured yet. */
  if (connection_limit == 0)
    return 0;
  if (connection_limit >= n_nodes * GATEWAY_MIN_PER_NODE
      || n_holders >= n_nodes)
    return 0;
  return n_holders;
}

guint
tou_gateway_share (guint connection_limit, guint n_holders)
{
  guint shared = connection_limit - (connection_limit >> GATEWAY_RESERVE_SHIFT);

  return MAX (shared / MAX (n_holders, 1), 1);
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
  /* Names differ in their last digits, which reach the high bits only so. */
  hash ^= hash >> 33;
  hash *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  return hash ^ (hash >> 33);
}

typedef struct
{
  guint index;
  gboolean near;
  guint64 hash;
} GatewayRank;

static gboolean
gateway_is_better (const GatewayRank *a, const GatewayRank *b)
{
  return a->near != b->near ? a->near : a->hash > b->hash;
}

/* Inserts @a rank into the best ones. @return their number */
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

guint
tou_gateway_choose (const TouGatewayNode *nodes, guint n_nodes, guint self,
                    const TouName *endpoint, const TouName *failure_domain,
                    guint *n_holders)
{
  GatewayRank *best = g_new (GatewayRank, *n_holders);
  guint n_best = 0;
  guint n_near = 0;
  guint chosen = self;
  guint64 chosen_hash = 0;
  gboolean holds = FALSE;

  for (guint i = 0; i < n_nodes; i++)
    {
      GatewayRank rank = { i, FALSE, 0 };

      if (!nodes[i].alive && i != self)
        continue;
      rank.near = tou_name_equal (&nodes[i].failure_domain, failure_domain);
      rank.hash = gateway_hash (endpoint, &nodes[i].node);
      n_best = gateway_insert (best, n_best, *n_holders, &rank);
    }
  while (n_near < n_best && best[n_near].near)
    n_near++;
  /* Far holders make statements travel twice. */
  if (n_near >= GATEWAY_MIN_HOLDERS)
    n_best = n_near;
  *n_holders = n_best;
  for (guint i = 0; i < n_best; i++)
    holds = holds || best[i].index == self;
  for (guint i = 0; i < n_best && !holds; i++)
    {
      const TouGatewayNode *node = &nodes[best[i].index];
      guint64 hash = gateway_hash (&nodes[self].node, &node->node) >> 1;

      /* An avoided holder is better than none. */
      if (!node->avoided)
        hash |= G_GUINT64_CONSTANT (1) << 63;
      if (chosen != self && hash <= chosen_hash)
        continue;
      chosen = best[i].index;
      chosen_hash = hash;
    }
  g_free (best);
  return chosen;
}
