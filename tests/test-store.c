/* Guards against wrong outcomes from the store service, which runs against the
 * stand-in, and watches that omit changes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "store.h"
#include "support/process.h"
#include "toucanscale/ring.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Fails a test that hangs; not reached otherwise. */
#define TEST_TIMEOUT_US (60 * TOU_US_PER_S)

/* Timeout of calls that a stalled store does not answer. */
#define TEST_STALL_TIMEOUT_US (200 * TOU_US_PER_MS)

static pid_t standin_pid;
static char standin_url[64];

/* The service under test and the ring of its core. */
static TouStoreClient *client;
static TouRing *events;
static guint64 last_id;

static int
standin_start (void **state)
{
  char port[8];
  const char *argv[] = { TOU_BIN_DIR "/standin-store", "--port", port, NULL };
  int number = tou_process_free_port ();

  (void)state;
  g_snprintf (port, sizeof port, "%d", number);
  g_snprintf (standin_url, sizeof standin_url, "http://127.0.0.1:%d", number);
  standin_pid = tou_process_start (argv);
  assert_true (tou_process_wait_ready (standin_pid, number));
  return 0;
}

static int
standin_stop (void **state)
{
  (void)state;
  tou_process_stop (&standin_pid);
  return 0;
}

static void
standin_post (const char *path, const char *body)
{
  CURL *easy = curl_easy_init ();
  char *url = g_strconcat (standin_url, path, NULL);

  curl_easy_setopt (easy, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  assert_int_equal (curl_easy_perform (easy), CURLE_OK);
  curl_easy_cleanup (easy);
  g_free (url);
}

static int
sink_push (gpointer user_data, TouEvent *event)
{
  (void)user_data;
  return tou_ring_push (events, 0, event);
}

static void
start_client (const char *url, guint64 timeout_us)
{
  char *vms = g_strconcat (url, "/vms", NULL);
  TouStoreSettings settings = { .store_url = url,
                                .vm_list_url = vms,
                                .timeout_us = timeout_us,
                                .ring_capacity = 16 };

  assert_int_equal (
      tou_store_create (&client, &settings, (TouEventSink){ sink_push, NULL }),
      TOU_OK);
  g_free (vms);
}

static int
client_start (void **state)
{
  (void)state;
  standin_post ("/standin/fault", "{\"mode\":\"up\"}");
  assert_int_equal (tou_ring_create (&events, 1, 16, sizeof (TouEvent)), 0);
  start_client (standin_url, TEST_TIMEOUT_US);
  return 0;
}

static int
client_stop (void **state)
{
  TouEvent event;

  (void)state;
  tou_store_destroy (client);
  while (tou_ring_pop (events, &event))
    tou_event_clear (&event);
  tou_ring_destroy (events);
  return 0;
}

/* Submits a call for @a key; the other fields are set by the caller. */
static guint64
submit (TouStoreCall call, const char *key, const char *value)
{
  TouAction action = { .type = TOU_ACTION_STORE };

  if (call.id == 0)
    call.id = ++last_id;
  tou_str_init_c (&call.key, key);
  tou_str_init_c (&call.value, value);
  action.u.store = call;
  assert_int_equal (tou_store_submit (client, &action), TOU_OK);
  return call.id;
}

static TouEvent
wait_event (TouEventType type)
{
  TouEvent event;

  assert_true (tou_ring_wait (events, &event, TEST_TIMEOUT_US));
  assert_int_equal (event.type, type);
  return event;
}

/* Waits for the next result and checks its call and status. */
static TouStoreResult
wait_result (guint64 id, TouStoreStatus status)
{
  TouStoreResult result = wait_event (TOU_EVENT_STORE).u.store;

  assert_int_equal (result.id, id);
  assert_int_equal (result.status, status);
  return result;
}

/* Writes @a key if its revision is @a expected; returns the new revision. */
static guint64
put (const char *key, const char *value, guint64 expected, guint64 lease)
{
  TouStoreCall call
      = { .op = TOU_STORE_CAS, .expected_revision = expected, .lease = lease };
  TouStoreResult result = wait_result (submit (call, key, value), TOU_STORE_OK);

  assert_true (result.succeeded);
  return result.revision;
}

static void
check_entry (const TouEntry *entry, const char *key, const char *value)
{
  assert_string_equal (entry->key.data, key);
  assert_int_equal (g_strcmp0 (entry->value.data, value), 0);
}

/* Checks the value of @a key. @a read is the key, or with TOU_STORE_RANGE a
   prefix that matches only this key. */
static void
expect_stored (TouStoreOp op, const char *read, const char *key,
               const char *value)
{
  TouStoreResult result = wait_result (
      submit ((TouStoreCall){ .op = op }, read, NULL), TOU_STORE_OK);

  assert_int_equal (result.entries.count, 1);
  check_entry (result.entries.items, key, value);
  tou_store_result_clear (&result);
}

/* If a conflict were reported as success, two proxies could both act as the
   owner of a record. */
static void
test_compare_and_swap_reports_conflicts (void **state)
{
  TouStoreCall stale = { .op = TOU_STORE_CAS };
  guint64 first = put ("/cas/a", "1", 0, 0);
  TouStoreResult result;

  (void)state;
  put ("/cas0", "next prefix", 0, 0);
  result = wait_result (submit (stale, "/cas/a", "2"), TOU_STORE_OK);
  assert_false (result.succeeded);
  assert_int_equal (result.entries.count, 1);
  check_entry (result.entries.items, "/cas/a", "1");
  assert_true (result.entries.items->revision == first);
  tou_store_result_clear (&result);
  assert_true (put ("/cas/a", "3", first, 0) > first);
  stale.expected_revision = first;
  result = wait_result (submit (stale, "/cas/a", "4"), TOU_STORE_OK);
  assert_false (result.succeeded);
  tou_store_result_clear (&result);
  expect_stored (TOU_STORE_RANGE, "/cas/", "/cas/a", "3");
}

/* A write whose reply is lost must not be reported as failed, because it may
   have taken effect, and must not be repeated by the HTTP library. */
static void
test_write_with_lost_reply_is_unknown (void **state)
{
  TouStoreCall call = { .op = TOU_STORE_CAS };

  (void)state;
  expect_stored (TOU_STORE_GET, "/cas/a", "/cas/a", "3"); /* open connection */
  standin_post ("/standin/fault", "{\"mode\":\"lose-replies\",\"count\":1}");
  wait_result (submit (call, "/lost", "1"), TOU_STORE_UNKNOWN);
  expect_stored (TOU_STORE_GET, "/lost", "/lost", "1");
}

/* If a watch omitted or reordered changes, proxies would keep an outdated
   configuration. */
static void
test_watch_reports_changes_in_order (void **state)
{
  guint64 before = put ("/watch/a", "1", 0, 0);
  TouStoreCall watch = { .op = TOU_STORE_WATCH, .after_revision = before };
  guint64 revision = before;
  TouStoreResult result;
  guint64 id;

  (void)state;
  put ("/watch/b", "2", 0, 0);
  id = submit (watch, "/watch/", NULL);
  for (guint i = 0; i < 2; i++)
    {
      result = wait_result (id, TOU_STORE_OK);
      assert_int_equal (result.entries.count, 1);
      check_entry (result.entries.items, i == 0 ? "/watch/b" : "/watch/c",
                   i == 0 ? "2" : "3");
      assert_true (result.revision > revision);
      revision = result.revision;
      tou_store_result_clear (&result);
      if (i == 0)
        standin_post ("/v3/kv/put",
                      "{\"key\":\"L3dhdGNoL2M=\",\"value\":\"Mw==\"}");
    }
  submit ((TouStoreCall){ .id = id, .op = TOU_STORE_WATCH_CANCEL }, "", NULL);
  put ("/watch/d", "4", 0, 0); /* the cancelled watch reports no event */
}

/* If the end of a watch were not reported, proxies would receive no further
   changes of the configuration. */
static void
test_watch_end_is_reported (void **state)
{
  TouStoreCall watch = { .op = TOU_STORE_WATCH };
  TouStoreResult result;
  guint64 id;

  (void)state;
  put ("/end/a", "1", 0, 0);
  id = submit (watch, "/end/", NULL);
  result = wait_result (id, TOU_STORE_OK);
  tou_store_result_clear (&result);
  standin_post ("/standin/fault", "{\"mode\":\"down\"}");
  wait_result (id, TOU_STORE_FAILED);
  standin_post ("/standin/fault", "{\"mode\":\"up\"}");
  standin_post ("/v3/kv/compaction", "{\"revision\":\"2\"}");
  wait_result (submit (watch, "/end/", NULL), TOU_STORE_COMPACTED);
}

/* If its lease did not expire, a failed proxy would stay registered as a
   watcher of its region and keep others from becoming watchers. */
static void
test_lease_expires (void **state)
{
  TouStoreCall grant
      = { .op = TOU_STORE_LEASE_GRANT, .ttl_us = 5 * TOU_US_PER_S / 2 };
  TouStoreCall keepalive = { .op = TOU_STORE_LEASE_KEEPALIVE };
  TouStoreCall watch = { .op = TOU_STORE_WATCH };
  TouStoreResult result = wait_result (submit (grant, "", NULL), TOU_STORE_OK);
  guint64 id;

  (void)state;
  keepalive.lease = result.lease;
  watch.after_revision = put ("/lease/a", "1", 0, keepalive.lease);
  id = submit (watch, "/lease/", NULL);
  result = wait_result (id, TOU_STORE_OK);
  assert_int_equal (result.entries.count, 1);
  check_entry (result.entries.items, "/lease/a", NULL);
  tou_store_result_clear (&result);
  result = wait_result (submit (keepalive, "", NULL), TOU_STORE_OK);
  assert_true (result.ttl_us == 0);
}

/* TOU_STORE_FAILED means that the call had no effect; it must not be reported
   for a write that the store may have received. */
static void
test_outcomes_while_the_store_is_down (void **state)
{
  TouStoreCall call = { .op = TOU_STORE_CAS };
  TouStoreCall watch = { .op = TOU_STORE_WATCH };

  (void)state;
  standin_post ("/standin/fault", "{\"mode\":\"down\"}");
  wait_result (submit (call, "/down", "1"), TOU_STORE_UNKNOWN);
  tou_store_destroy (client);
  standin_post ("/standin/fault", "{\"mode\":\"stall\"}");
  start_client (standin_url, TEST_STALL_TIMEOUT_US);
  wait_result (submit (call, "/down", "2"), TOU_STORE_UNKNOWN);
  wait_result (submit (watch, "/down", NULL), TOU_STORE_FAILED);
  tou_store_destroy (client);
  /* Nothing listens on port 1. */
  start_client ("http://127.0.0.1:1", TEST_TIMEOUT_US);
  wait_result (submit (call, "/down", "3"), TOU_STORE_FAILED);
}

/* A malformed list must not be treated as a list without VMs. */
static void
test_malformed_vm_list_is_reported (void **state)
{
  TouAction action = { .type = TOU_ACTION_VM_LIST };
  TouEvent event;

  (void)state;
  standin_post ("/standin/vms",
                "{\"vms\":[{\"name\":\"vm1\",\"address\":\"127.0.0.1:9\","
                "\"region\":\"Hanoi\",\"failure_domain\":\"h1\","
                "\"state\":\"leaving\"}]}");
  assert_int_equal (tou_store_submit (client, &action), TOU_OK);
  event = wait_event (TOU_EVENT_VM_LIST);
  assert_true (event.u.vm_list.ok);
  assert_int_equal (event.u.vm_list.count, 1);
  assert_string_equal (event.u.vm_list.vms[0].failure_domain.data, "h1");
  assert_int_equal (event.u.vm_list.vms[0].state, TOU_VM_LEAVING);
  tou_event_clear (&event);
  standin_post ("/standin/vms", "{\"vms\":[{\"name\":\"vm1\"}]}");
  assert_int_equal (tou_store_submit (client, &action), TOU_OK);
  event = wait_event (TOU_EVENT_VM_LIST);
  assert_false (event.u.vm_list.ok);
}

/* A store on loopback that answers one call on each connection and is silent on
   it from then on, until the client closes it. */
static gpointer
silent_store_run (gpointer data)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 25\r\n\r\n{\"header\":{\"revision\":5}}";
  int listener = GPOINTER_TO_INT (data);
  int connections[2];
  char buf[4096];

  for (guint i = 0; i < G_N_ELEMENTS (connections); i++)
    {
      connections[i] = accept (listener, NULL, NULL);
      if (connections[i] < 0)
        return NULL;
      if (recv (connections[i], buf, sizeof buf, 0) > 0)
        send (connections[i], answer, sizeof answer - 1, MSG_NOSIGNAL);
    }
  for (guint i = 0; i < G_N_ELEMENTS (connections); i++)
    {
      while (recv (connections[i], buf, sizeof buf, 0) > 0)
        ;
      close (connections[i]);
    }
  return NULL;
}

/* Guards against calls, such as keep-alives of leases, that wait on an open
   connection which has gone silent. */
static void
test_silent_connection_is_not_used (void **state)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  TouStoreCall call = { .op = TOU_STORE_GET };
  GThread *store;
  char *url;

  (void)state;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (listener, (struct sockaddr *)&address, len), 0);
  assert_int_equal (listen (listener, 2), 0);
  getsockname (listener, (struct sockaddr *)&address, &len);
  url = g_strdup_printf ("http://127.0.0.1:%u", ntohs (address.sin_port));
  store = g_thread_new ("store", silent_store_run, GINT_TO_POINTER (listener));
  tou_store_destroy (client);
  start_client (url, TEST_STALL_TIMEOUT_US);
  for (guint i = 0; i < 2; i++)
    {
      TouStoreResult result
          = wait_result (submit (call, "/silent", NULL), TOU_STORE_OK);

      tou_store_result_clear (&result);
    }
  shutdown (listener, SHUT_RDWR);
  g_thread_join (store);
  close (listener);
  g_free (url);
}

#define STORE_TEST(name)                                                       \
  cmocka_unit_test_setup_teardown (name, client_start, client_stop)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    STORE_TEST (test_compare_and_swap_reports_conflicts),
    STORE_TEST (test_write_with_lost_reply_is_unknown),
    STORE_TEST (test_watch_reports_changes_in_order),
    STORE_TEST (test_watch_end_is_reported),
    STORE_TEST (test_lease_expires),
    STORE_TEST (test_outcomes_while_the_store_is_down),
    STORE_TEST (test_malformed_vm_list_is_reported),
    STORE_TEST (test_silent_connection_is_not_used),
  };

  return cmocka_run_group_tests (tests, standin_start, standin_stop);
}
