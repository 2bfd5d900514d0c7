/* Guards against a node that is cut off from everything and still reports
 * itself as ready, so that the platform sends it new sessions, and against one
 * that is reported as not ready although something answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "link.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stream.h"

#include "support/peer-address.h"

/* Two heartbeats are missing. */
#define SILENT_US (950 * TOU_US_PER_MS)
#define PORT ":8125"

typedef struct
{
  uv_loop_t loop;
  TouProxy *proxy;
  TouGroup *group;
  TouEndpoint *endpoint;
} Node;

/* Starts a node that has last heard from everything @a SILENT_US ago, but whose
 * proofs have not expired yet. */
static void
node_init (Node *node, gboolean moving)
{
  TouNodeSettings settings = { 0 };
  TouEndpointInfo info = { 0 };
  TouGroupRecord record = { 0 };
  guint64 heard_us = tou_clock_us () - SILENT_US;

  settings.node = tou_name ("n1");
  info.id = tou_name ("d1");
  info.group = tou_name ("g");
  info.address = tou_name ("127.0.0.1:1");
  info.slots = 1;
  uv_loop_init (&node->loop);
  assert_int_equal (tou_proxy_create (&node->proxy, &node->loop, &settings),
                    TOU_OK);
  node->proxy->n_nodes = 3;
  node->proxy->synced = TRUE;
  node->proxy->routing = g_new0 (TouRouting, 1);
  node->proxy->routing->routes = g_hash_table_new (NULL, NULL);
  node->proxy->routing->groups = g_hash_table_new (NULL, NULL);
  node->proxy->node_heard_us = heard_us;
  node->proxy->store_answered_us = heard_us;
  node->endpoint = tou_endpoint_create (node->proxy, &info);
  node->endpoint->last_received_us = heard_us;
  node->endpoint->open_after_us = G_MAXUINT64;
  g_hash_table_insert (node->proxy->endpoints, &node->endpoint->info.id,
                       node->endpoint);
  node->group = node->endpoint->group;
  record.revision = 5;
  record.term = 1;
  record.primary = info.id;
  record.moving = moving;
  tou_group_adopt (node->group, &record, "test");
  tou_authority_prove_by_store (node->group->authority, 5, heard_us);
}

static void
node_clear (Node *node)
{
  tou_proxy_destroy (node->proxy);
  uv_run (&node->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&node->loop), 0);
}

static gboolean
node_is_ready (Node *node)
{
  tou_proxy_tick (node->proxy, tou_clock_us ());
  return tou_proxy_is_ready (node->proxy);
}

/* A record with a change in progress does not keep the node ready. */
static void
test_cut_off (void **state)
{
  Node node;

  (void)state;
  for (gboolean moving = FALSE; moving <= TRUE; moving++)
    {
      node_init (&node, moving);
      assert_false (node_is_ready (&node));
      node.proxy->node_heard_us = tou_clock_us ();
      assert_true (node_is_ready (&node));
      node_clear (&node);
    }
}

static void
test_one_answers (void **state)
{
  guint64 *answered_us;
  Node node;

  (void)state;
  for (guint i = 0; i < 3; i++)
    {
      node_init (&node, TRUE);
      answered_us = i == 0   ? &node.proxy->node_heard_us
                    : i == 1 ? &node.proxy->store_answered_us
                             : &node.endpoint->last_received_us;
      *answered_us = tou_clock_us () - SILENT_US / 4;
      assert_true (node_is_ready (&node));
      node_clear (&node);
    }
}

/* A node that is the only one misses no heartbeats. */
static void
test_single_node (void **state)
{
  Node node;

  (void)state;
  node_init (&node, FALSE);
  node.proxy->n_nodes = 1;
  node.proxy->node_heard_us = 0;
  assert_true (node_is_ready (&node));
  node_clear (&node);
}

static gboolean
node_accepts (const Node *node)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int error;

  assert_true (fd >= 0);
  assert_int_equal (
      tou_stream_address (&address, &node->proxy->settings.clients_listen),
      TOU_OK);
  error = connect (fd, (const struct sockaddr *)&address, sizeof address);
  close (fd);
  return error == 0;
}

/* Guards against connections to a node that is cut off: each would use up a try
 * of its client. The node accepts them again when it hears something. */
static void
test_connections (void **state)
{
  TouName *address;
  Node node;

  (void)state;
  node_init (&node, FALSE);
  /* No other process uses the IP address, so every port is free. */
  address = &node.proxy->settings.clients_listen;
  *address = peer_address ();
  g_strlcpy (strrchr (address->data, ':'), PORT, sizeof PORT);
  address->len = (guint8)strlen (address->data);
  assert_int_equal (tou_proxy_listen (node.proxy), TOU_OK);
  assert_true (node_accepts (&node));
  for (guint i = 0; i < 2; i++)
    {
      tou_proxy_tick (node.proxy, tou_clock_us ());
      uv_run (&node.loop, UV_RUN_NOWAIT);
      assert_false (node_accepts (&node));
    }
  node.proxy->node_heard_us = tou_clock_us ();
  tou_proxy_tick (node.proxy, tou_clock_us ());
  assert_true (node_accepts (&node));
  tou_proxy_close_listener (node.proxy);
  uv_run (&node.loop, UV_RUN_NOWAIT);
  node_clear (&node);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cut_off),
    cmocka_unit_test (test_one_answers),
    cmocka_unit_test (test_single_node),
    cmocka_unit_test (test_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
