/* Guards against messages between proxies that are lost or reordered, requests
 * without an outcome, and connections with keys that are not accepted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "peer.h"
#include "support/process.h"
#include "toucanscale/ring.h"

#include <zmq.h>

/* Fails a test that hangs; not reached otherwise. */
#define TEST_TIMEOUT_US (60 * TOU_US_PER_S)

/* Size limit of messages in these tests, in bytes. */
#define TEST_MAX_MESSAGE 65536

/* Sequence number of the pings that are sent to open a connection. */
#define TEST_CONNECT_SEQUENCE G_MAXUINT32

/* The peer service of a proxy and the ring of its core. */
typedef struct
{
  TouPeer *peer;
  TouRing *events;
  TouPeerCounters counters;
  char address[32];
} Proxy;

static int
sink_push (gpointer user_data, TouEvent *event)
{
  return tou_ring_push (user_data, 0, event);
}

/* Starts a proxy; the keys are Z85 text, or NULL. */
static void
proxy_start (Proxy *proxy, const char *name, const char *public_key,
             const char *secret_key, const char *const *accepted,
             guint capacity)
{
  TouPeerSettings settings = {
    .listen_address = proxy->address,
    .node = name,
    .public_key = public_key,
    .secret_key = secret_key,
    .accepted_keys = accepted,
    .max_message = TEST_MAX_MESSAGE,
    .peer_queue_limit = 100,
    .ring_capacity = 100,
  };

  proxy->counters = (TouPeerCounters){ 0 };
  g_snprintf (proxy->address, sizeof proxy->address, "127.0.0.1:%d",
              tou_process_free_port ());
  assert_int_equal (
      tou_ring_create (&proxy->events, 1, capacity, sizeof (TouEvent)), TOU_OK);
  assert_int_equal (
      tou_peer_create (&proxy->peer, &settings,
                       (TouEventSink){ sink_push, proxy->events }),
      TOU_OK);
}

static void
proxy_stop (Proxy *proxy)
{
  TouEvent event;

  tou_peer_destroy (proxy->peer);
  while (tou_ring_pop (proxy->events, &event))
    tou_event_clear (&event);
  tou_ring_destroy (proxy->events);
}

static void
proxy_send (const Proxy *from, const char *name, const char *address,
            TouMessage *message)
{
  TouAction action = { .type = TOU_ACTION_SEND };

  message->from = tou_name ("a");
  action.u.send.node = tou_name (name);
  action.u.send.address = tou_name (address);
  action.u.send.message = message;
  assert_int_equal (tou_peer_submit (from->peer, &action), TOU_OK);
}

static TouMessage *
request_create (const char *sql)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_EXECUTE);

  message->u.execute.id = (TouRequestId){ tou_name ("a"), 1, 2 };
  message->u.execute.deadline_us = TEST_TIMEOUT_US;
  tou_str_init_c (&message->u.execute.statement.sql, sql);
  return message;
}

/* Waits for the next message that @a proxy receives. */
static TouMessage *
proxy_wait (const Proxy *proxy)
{
  TouEvent event;

  assert_true (tou_ring_wait (proxy->events, &event, TEST_TIMEOUT_US));
  assert_int_equal (event.type, TOU_EVENT_PEER);
  return event.u.peer;
}

/* Waits until @a counter, a member of proxy->counters, is not 0. */
static void
wait_counter (Proxy *proxy, const guint64 *counter)
{
  for (guint tries = 0; *counter == 0; tries++)
    {
      assert_true (tries < TEST_TIMEOUT_US / TOU_US_PER_MS);
      g_usleep (TOU_US_PER_MS);
      tou_peer_counters (proxy->peer, &proxy->counters);
    }
}

static void
send_ping (const Proxy *from, const char *name, const Proxy *to,
           guint64 sequence)
{
  TouMessage *ping = tou_message_create (TOU_MESSAGE_PING);

  ping->u.ping.sequence = sequence;
  proxy_send (from, name, to->address, ping);
}

/* Sends pings to @a to until one is received; messages are dropped if the
   connection is not established in time. */
static void
proxy_connect (const Proxy *from, const char *name, const Proxy *to)
{
  TouEvent event;
  guint tries = 0;

  do
    {
      assert_true (++tries < 1000);
      send_ping (from, name, to, TEST_CONNECT_SEQUENCE);
    }
  while (!tou_ring_wait (to->events, &event, 50 * TOU_US_PER_MS));
  tou_event_clear (&event);
}

/* Sends numbered pings from @a a to @a b and checks that they are received in
   order. */
static void
check_delivery (const Proxy *a, const Proxy *b)
{
  proxy_connect (a, "b", b);
  for (guint64 i = 0; i < 20; i++)
    send_ping (a, "b", b, i);
  for (guint64 i = 0; i < 20;)
    {
      TouMessage *got = proxy_wait (b);

      assert_int_equal (got->type, TOU_MESSAGE_PING);
      if (got->u.ping.sequence != TEST_CONNECT_SEQUENCE)
        assert_int_equal (got->u.ping.sequence, i++);
      tou_message_destroy (got);
    }
}

/* Messages lost or reordered on an intact connection would delay requests; the
   last reply of a proxy that shuts down must not be lost either. */
static void
test_messages_are_delivered_in_order (void **state)
{
  TouMessage *last;
  Proxy a;
  Proxy b;

  (void)state;
  proxy_start (&a, "a", NULL, NULL, NULL, 100);
  proxy_start (&b, "b", NULL, NULL, NULL, 100);
  check_delivery (&a, &b);
  send_ping (&a, "b", &b, 20);
  proxy_stop (&a);
  last = proxy_wait (&b);
  assert_int_equal (last->u.ping.sequence, 20);
  tou_message_destroy (last);
  proxy_stop (&b);
}

static void
expect_refusal (const Proxy *proxy, int code)
{
  TouMessage *reply = proxy_wait (proxy);

  while (reply->type == TOU_MESSAGE_PING)
    {
      tou_message_destroy (reply);
      reply = proxy_wait (proxy);
    }
  assert_int_equal (reply->type, TOU_MESSAGE_EXECUTE_REPLY);
  assert_int_equal (reply->u.reply.outcome, TOU_OUTCOME_NOT_RUN);
  assert_int_equal (reply->u.reply.code, code);
  assert_int_equal (reply->u.reply.id.sequence, 2);
  tou_message_destroy (reply);
}

/* During a key rotation, proxies with the old key pair and with the new one
   must be able to connect; a key that is not accepted must be refused. */
static void
test_only_accepted_keys_can_connect (void **state)
{
  char public_keys[3][41];
  char secret_keys[3][41];
  const char *accepted[] = { public_keys[0], public_keys[1], NULL };
  guint64 received;
  Proxy a;
  Proxy b;
  Proxy c;

  (void)state;
  for (guint i = 0; i < 3; i++)
    assert_int_equal (zmq_curve_keypair (public_keys[i], secret_keys[i]), 0);
  proxy_start (&a, "a", public_keys[0], secret_keys[0], accepted, 100);
  proxy_start (&b, "b", public_keys[1], secret_keys[1], accepted, 100);
  accepted[0] = public_keys[2];
  proxy_start (&c, "c", public_keys[2], secret_keys[2], accepted, 100);
  check_delivery (&a, &b);
  check_delivery (&b, &a);
  tou_peer_counters (b.peer, &b.counters);
  received = b.counters.received;
  while (b.counters.key_refused == 0)
    {
      proxy_send (&c, "b", b.address, request_create ("select 1"));
      expect_refusal (&c, TOU_E_NO_GATE);
      tou_peer_counters (b.peer, &b.counters);
    }
  assert_true (b.counters.received == received);
  proxy_stop (&a);
  proxy_stop (&b);
  proxy_stop (&c);
}

/* A request that cannot be sent must be answered as not run; otherwise the
   client waits until the deadline and receives the outcome unknown. */
static void
test_unsent_request_is_answered_as_not_run (void **state)
{
  char *large = g_strnfill (TEST_MAX_MESSAGE, 'x');
  Proxy a;

  (void)state;
  proxy_start (&a, "a", NULL, NULL, NULL, 100);
  /* Nothing listens on port 1. */
  proxy_send (&a, "b", "127.0.0.1:1", request_create ("select 1"));
  expect_refusal (&a, TOU_E_NO_GATE);
  proxy_send (&a, "b", "127.0.0.1:1", request_create (large));
  expect_refusal (&a, TOU_E_MESSAGE_TOO_LARGE);
  proxy_stop (&a);
  g_free (large);
}

/* A proxy that cannot pass a request to its core because the ring is full must
   refuse it; without a reply, the sender would wait until the deadline. */
static void
test_full_core_refuses_request (void **state)
{
  Proxy a;
  Proxy b;

  (void)state;
  proxy_start (&a, "a", NULL, NULL, NULL, 100);
  proxy_start (&b, "b", NULL, NULL, NULL, 1);
  proxy_connect (&b, "a", &a);
  proxy_connect (&a, "b", &b);
  proxy_send (&a, "b", b.address, request_create ("select 1"));
  proxy_send (&a, "b", b.address, request_create ("select 2"));
  expect_refusal (&a, TOU_E_RING_FULL);
  proxy_stop (&a);
  proxy_stop (&b);
}

/* Malformed messages and those of other versions must be counted and must not
   stop the service. */
static void
test_invalid_input_is_counted (void **state)
{
  static const char version[] = "\x81\xa7version\x02";
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  char endpoint[64];
  int linger = 0;
  Proxy a;
  Proxy b;

  (void)state;
  proxy_start (&a, "a", NULL, NULL, NULL, 100);
  proxy_start (&b, "b", NULL, NULL, NULL, 100);
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s", b.address);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  assert_int_equal (zmq_connect (socket, endpoint), 0);
  zmq_send (socket, "garbage", 7, 0);
  wait_counter (&b, &b.counters.invalid);
  zmq_send (socket, version, sizeof version - 1, 0);
  wait_counter (&b, &b.counters.version_refused);
  check_delivery (&a, &b);
  zmq_close (socket);
  zmq_ctx_term (context);
  proxy_stop (&a);
  proxy_stop (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_messages_are_delivered_in_order),
    cmocka_unit_test (test_only_accepted_keys_can_connect),
    cmocka_unit_test (test_unsent_request_is_answered_as_not_run),
    cmocka_unit_test (test_full_core_refuses_request),
    cmocka_unit_test (test_invalid_input_is_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
