/* Guards against connections beyond a database's limit: hundreds of nodes that
 * connect to a new database before they have selected its gateways, and against
 * statements that are sent to the former address of a gateway. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "direct.h"
#include "placement.h"
#include "unreachable.h"

#include <arpa/inet.h>
#include <string.h>

/* More nodes than a third of the database's connections. */
#define N_OTHERS 40
#define CONNECTION_LIMIT 22

typedef struct
{
  uv_loop_t loop;
  TouProxy *proxy;
  TouPeers *peers;
} Node;

static void
node_register (Node *node, guint i, const char *host, guint64 revision)
{
  char *name = g_strdup_printf ("node%u", i);
  char *address = g_strdup_printf ("%s:%u", host, 7000 + i);
  TouName node_name = tou_name (name);
  TouName node_address = tou_name (address);
  TouName failure_domain = tou_name ("a");

  tou_peers_set (node->peers, &node_name, &node_address, &failure_domain,
                 revision);
  g_free (name);
  g_free (address);
}

static void
node_init (Node *node)
{
  TouNodeSettings settings = { 0 };
  TouName group = tou_name ("g");

  settings.node = tou_name ("self");
  settings.failure_domain = tou_name ("b");
  settings.peers_listen = tou_name ("127.0.0.1:0");
  uv_loop_init (&node->loop);
  assert_int_equal (tou_proxy_create (&node->proxy, &node->loop, &settings),
                    TOU_OK);
  assert_int_equal (tou_peers_create (&node->peers, node->proxy), TOU_OK);
  node->proxy->synced = TRUE;
  tou_group_get (node->proxy, &group)->limits.connection_limit
      = CONNECTION_LIMIT;
  for (guint i = 0; i < N_OTHERS; i++)
    node_register (node, i, "127.0.0.1", i + 1);
}

static TouEndpoint *
node_add_endpoint (Node *node)
{
  TouEndpointInfo info = { 0 };
  TouEndpoint *endpoint;

  info.id = tou_name ("db1");
  info.group = tou_name ("g");
  info.failure_domain = tou_name ("a");
  info.address = tou_name ("127.0.0.1:1");
  info.slots = 4;
  endpoint = tou_endpoint_create (node->proxy, &info);
  g_hash_table_insert (node->proxy->endpoints, &endpoint->info.id, endpoint);
  return endpoint;
}

static void
node_clear (Node *node)
{
  tou_peers_destroy (node->peers);
  tou_proxy_destroy (node->proxy);
  uv_run (&node->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&node->loop), 0);
}

static void
test_new_endpoint_has_gateway (void **state)
{
  guint64 now_us = tou_clock_us ();
  const TouEndpoint *endpoint;
  Node node;

  (void)state;
  node_init (&node);
  tou_placement_tick (node.proxy, node.peers, now_us);
  endpoint = node_add_endpoint (&node);
  /* The next tick, long before the next regular selection. */
  tou_placement_tick (node.proxy, node.peers, now_us + TOU_PROXY_TICK_US);
  assert_true (endpoint->n_gateways > 0);
  assert_true (endpoint->gateway.len > 0);
  node_clear (&node);
}

static void
test_gateway_moves_to_another_address (void **state)
{
  guint64 now_us = tou_clock_us ();
  const TouEndpoint *endpoint;
  char host[INET_ADDRSTRLEN];
  Node node;

  (void)state;
  node_init (&node);
  endpoint = node_add_endpoint (&node);
  tou_placement_tick (node.proxy, node.peers, now_us);
  for (guint i = 0; i < N_OTHERS; i++)
    node_register (&node, i, "127.0.0.2", N_OTHERS + i + 1);
  tou_placement_tick (node.proxy, node.peers, now_us + TOU_US_PER_S);
  assert_int_equal (uv_ip4_name (&endpoint->gateway_address, host, sizeof host),
                    0);
  assert_string_equal (host, "127.0.0.2");
  node_clear (&node);
}

static void
node_tick (Node *node, TouEndpoint *endpoint, guint64 now_us)
{
  node->proxy->placement_due = TRUE;
  tou_placement_tick (node->proxy, node->peers, now_us);
  assert_true (endpoint->n_gateways > 0);
}

/* A gateway that does not reach its database has to use another one, suspect
 * the database as long as its own path has failed, and return to it. */
static void
test_gateway_loses_its_path (void **state)
{
  guint64 now_us = tou_clock_us ();
  TouEndpoint *endpoint;
  Node node;

  (void)state;
  node_init (&node);
  endpoint = node_add_endpoint (&node);
  endpoint->info.failure_domain = tou_name ("b");
  node_tick (&node, endpoint, now_us);
  assert_true (endpoint->is_gateway);
  assert_int_equal (endpoint->gateway.len, 0);
  tou_direct_fail (endpoint, "test", now_us);
  node_tick (&node, endpoint, now_us);
  assert_true (endpoint->gateway.len > 0);
  assert_true (tou_endpoint_is_suspect (endpoint));
  assert_false (tou_direct_serves (endpoint));
  tou_direct_answer (endpoint, now_us);
  node_tick (&node, endpoint, now_us);
  assert_int_equal (endpoint->gateway.len, 0);
  node_clear (&node);
}

/* When all gateways fail, a node that is none of them has to be tried. */
static void
test_all_gateways_fail (void **state)
{
  guint64 now_us = tou_clock_us ();
  GHashTable *tried = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                             g_free, NULL);
  TouSlice refusal = { "not reachable from this node", 28 };
  TouEndpoint *endpoint;
  Node node;

  (void)state;
  node_init (&node);
  endpoint = node_add_endpoint (&node);
  node_tick (&node, endpoint, now_us);
  for (guint i = 0; i < endpoint->n_gateways + 2 && endpoint->gateway.len > 0;
       i++)
    {
      TouName gateway = endpoint->gateway;

      assert_true (
          g_hash_table_add (tried, g_memdup2 (&gateway, sizeof gateway)));
      assert_true (tou_direct_on_refusal (endpoint, &gateway, refusal, now_us));
      node_tick (&node, endpoint, now_us);
    }
  assert_true (g_hash_table_size (tried) >= endpoint->n_gateways);
  assert_true (endpoint->gateway.len == 0
               || !g_hash_table_contains (tried, &endpoint->gateway));
  /* It cannot take connections from the gateways. */
  tou_direct_stand_in (endpoint, now_us);
  node_tick (&node, endpoint, now_us);
  assert_int_equal (endpoint->gateway.len, 0);
  assert_int_equal (tou_endpoint_link_limit (endpoint), 1);
  g_hash_table_destroy (tried);
  node_clear (&node);
}

/* A gateway that reaches the database is not searched for if another one has
 * named it. */
static void
test_gateway_is_named (void **state)
{
  guint64 now_us = tou_clock_us ();
  TouName named = tou_name ("node7");
  char text[TOU_UNREACHABLE_TEXT_MAX];
  TouEndpoint *endpoint;
  TouName gateway;
  Node node;

  (void)state;
  node_init (&node);
  endpoint = node_add_endpoint (&node);
  node_tick (&node, endpoint, now_us);
  gateway = endpoint->gateway;
  tou_unreachable_text (text, &named);
  assert_true (tou_direct_on_refusal (
      endpoint, &gateway, (TouSlice){ text, strlen (text) }, now_us));
  node_tick (&node, endpoint, now_us);
  assert_string_equal (endpoint->gateway.data, "node7");
  assert_false (tou_direct_on_refusal (
      endpoint, &gateway, (TouSlice){ "queue is too long", 17 }, now_us));
  node_clear (&node);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_new_endpoint_has_gateway),
          cmocka_unit_test (test_gateway_moves_to_another_address),
          cmocka_unit_test (test_gateway_loses_its_path),
          cmocka_unit_test (test_all_gateways_fail),
          cmocka_unit_test (test_gateway_is_named) };

  return cmocka_run_group_tests_name ("placement", tests, NULL, NULL);
}
