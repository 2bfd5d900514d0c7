#include "placement.h"

#include "direct.h"
#include "gateway.h"
#include "link.h"
#include "relay.h"

/* Interval between selections, and so the delay after a change of nodes. */
#define PLACEMENT_INTERVAL_US (500 * TOU_US_PER_MS)
/* When all nodes start for the first time, gateways would be selected from a
   few of them. Links are opened after the number of nodes has been stable for
   the first time, or after the second at the latest. Slow VMs take 4 s to
   start, and nodes may pause for 2 s between watches. */
#define PLACEMENT_STABLE_US (3200 * TOU_US_PER_MS)
#define PLACEMENT_STABLE_MAX_US (8 * TOU_US_PER_S)

static void
placement_apply (TouEndpoint *endpoint, const TouGatewayNode *gateway,
                 const TouPeers *peers)
{
  TouName none = { 0 };
  const TouName *name = gateway != NULL ? &gateway->node : &none;
  gboolean was_direct = endpoint->gateway.len == 0;

  if (tou_name_equal (&endpoint->gateway, name))
    return;
  tou_evlog (TOU_EVLOG_STATE, "gateway",
             "\"endpoint\":\"%s\",\"gateway\":\"%s\",\"before\":\"%s\","
             "\"holders\":%u,\"nodes\":%u",
             endpoint->info.id.data, name->data, endpoint->gateway.data,
             endpoint->n_gateways, endpoint->proxy->n_nodes);
  endpoint->gateway = *name;
  if (endpoint->unreachable_since_us == 0 || was_direct || gateway == NULL)
    endpoint->open_after_us = 0;
  if (gateway != NULL)
    tou_peers_node_address (&endpoint->gateway_address, peers, name);
  if (was_direct && endpoint->direct_failed_us != 0)
    tou_direct_leave (endpoint);
}

static void
placement_mark_avoided (GArray *nodes, const TouEndpoint *endpoint,
                        guint64 now_us)
{
  for (guint i = 0; i < nodes->len; i++)
    {
      TouGatewayNode *node = &g_array_index (nodes, TouGatewayNode, i);

      node->avoided = FALSE;
      for (guint j = 0; j < TOU_MAX_AVOIDED; j++)
        if (now_us < endpoint->avoided[j].until_us
            && tou_name_equal (&endpoint->avoided[j].node, &node->node))
          node->avoided = TRUE;
    }
}

/* Returns the node that a gateway has named as one that reaches the endpoint,
   or NULL if there is none or it cannot be used. */
static const TouGatewayNode *
placement_hinted (const GArray *nodes, const TouEndpoint *endpoint,
                  guint64 now_us)
{
  if (now_us >= endpoint->hint_until_us)
    return NULL;
  for (guint i = 1; i < nodes->len; i++)
    {
      const TouGatewayNode *node = &g_array_index (nodes, TouGatewayNode, i);

      if (tou_name_equal (&node->node, &endpoint->hint))
        return node->alive && !node->avoided ? node : NULL;
    }
  return NULL;
}

/* Selects the gateway; NULL: direct connections. */
static const TouGatewayNode *
placement_choose (TouEndpoint *endpoint, const GArray *nodes, guint64 now_us)
{
  const TouGatewayNode *first = (const void *)nodes->data;
  const TouName *failure_domain = &endpoint->info.failure_domain;
  guint n_gateways = endpoint->n_gateways;
  const TouGatewayNode *hinted;
  guint chosen;

  chosen = tou_gateway_choose (first, nodes->len, 0, &endpoint->info.id,
                               failure_domain, &n_gateways);
  endpoint->is_gateway
      = tou_gateway_contains (first, nodes->len, 0, 0, &endpoint->info.id,
                              failure_domain, endpoint->n_gateways);
  endpoint->n_gateways = n_gateways;
  if ((chosen == 0 && endpoint->is_gateway)
      || (!first->cut && tou_direct_stands_in (endpoint, now_us)))
    return NULL;
  hinted = placement_hinted (nodes, endpoint, now_us);
  if (hinted != NULL)
    return hinted;
  if (chosen != 0)
    return &first[chosen];
  tou_direct_stand_in (endpoint, now_us);
  return NULL;
}

/* After standing in, the direct path counts again only when it is used. */
static void
placement_end_stand_in (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->standin_until_us != 0
      && !tou_direct_stands_in (endpoint, now_us))
    endpoint->standin_until_us = 0;
  if (!endpoint->is_gateway && endpoint->standin_until_us == 0)
    endpoint->direct_failed_us = 0;
}

/* Selects the endpoint's gateway if something that it depends on has changed
   since the last time: ranking hundreds of nodes costs more than a statement.
 */
static void
placement_select (TouEndpoint *endpoint, GArray *nodes, const TouPeers *peers,
                  guint64 now_us)
{
  TouGatewayNode *first = (void *)nodes->data;
  const TouGatewayNode *hinted;
  guint connection_limit = endpoint->group->limits.connection_limit;
  guint n_gateways = tou_gateway_count (connection_limit, nodes->len);
  guint64 inputs;

  placement_end_stand_in (endpoint, now_us);
  placement_mark_avoided (nodes, endpoint, now_us);
  first->cut = endpoint->direct_failed_us != 0;
  hinted = placement_hinted (nodes, endpoint, now_us);
  inputs = tou_gateway_inputs (first, nodes->len) ^ n_gateways
           ^ (guint64)tou_name_hash (&endpoint->info.failure_domain) << 32;
  inputs += endpoint->standin_until_us != 0;
  inputs += hinted != NULL ? tou_name_hash (&hinted->node) : 0;
  if (inputs == endpoint->gateway_inputs)
    {
      /* The gateway may have been replaced at another address. */
      if (endpoint->gateway.len > 0)
        tou_peers_node_address (&endpoint->gateway_address, peers,
                                &endpoint->gateway);
      return;
    }
  endpoint->gateway_inputs = inputs;
  endpoint->n_gateways = n_gateways;
  endpoint->is_gateway = FALSE;
  placement_apply (endpoint,
                   n_gateways > 0 ? placement_choose (endpoint, nodes, now_us)
                                  : NULL,
                   peers);
}

/* Closes links through unreachable gateways, so that clients are answered at
   once, and sessions relayed for expired nodes, to end their transactions. */
static void
placement_close_unreachable (TouEndpoint *endpoint, const GArray *nodes)
{
  for (guint i = 1; i < nodes->len; i++)
    {
      const TouGatewayNode *node = &g_array_index (nodes, TouGatewayNode, i);

      if (!node->alive)
        tou_endpoint_close_gateway_links (endpoint, &node->node);
      if (node->expired)
        tou_relay_close_all (endpoint, &node->node);
    }
}

/* Delays the first links while the nodes start for the first time. */
static void
placement_delay_links (TouProxy *proxy, guint n_nodes, guint64 now_us)
{
  if (!proxy->settings.first_start || n_nodes == proxy->placed_nodes)
    return;
  if (proxy->placed_us == 0)
    proxy->link_hold_limit_us = now_us + PLACEMENT_STABLE_MAX_US;
  proxy->placed_nodes = n_nodes;
  if (now_us < proxy->link_hold_limit_us)
    proxy->link_hold_until_us
        = MIN (now_us + PLACEMENT_STABLE_US, proxy->link_hold_limit_us);
}

void
tou_placement_tick (TouProxy *proxy, const TouPeers *peers, guint64 now_us)
{
  GArray *nodes;
  GHashTableIter iter;
  gpointer value;

  if (!proxy->synced
      || (now_us < proxy->placed_us + PLACEMENT_INTERVAL_US
          && !proxy->placement_due))
    return;
  proxy->placement_due = FALSE;
  nodes = tou_peers_nodes (peers, now_us);
  placement_delay_links (proxy, nodes->len, now_us);
  proxy->placed_us = now_us;
  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouEndpoint *endpoint = value;

      placement_select (endpoint, nodes, peers, now_us);
      placement_close_unreachable (endpoint, nodes);
    }
  g_array_unref (nodes);
}
