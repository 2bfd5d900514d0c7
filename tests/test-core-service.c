/* Guards against actions that a service refuses without a resulting event or
 * retry, so that the core waits forever. A stub replaces the core. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/ring.h"

#include "core-route.h"
#include "core-service.h"

#define CAPACITY 4
#define WAIT_US (10 * TOU_US_PER_S)

struct TouCore
{
  int unused;
};

static TouCore stub_core;

/* Types of the events passed to the stub core. */
static TouRing *received_types;

int
tou_core_create (TouCore **out, const TouCoreSettings *settings, guint64 now_us,
                 guint64 seed)
{
  (void)settings;
  (void)now_us;
  (void)seed;
  *out = &stub_core;
  return TOU_OK;
}

/* Emits an action for which no service is registered when a connection is
   opened. */
int
tou_core_step (TouCore *core, guint64 now_us, TouEvent *event,
               TouActionList *actions)
{
  TouEventType type = event->type;

  (void)core;
  (void)now_us;
  if (type == TOU_EVENT_DB_OPENED)
    tou_action_list_add (actions, TOU_ACTION_DB_EXECUTE)->u.db_execute.conn
        = event->u.db_opened.conn;
  tou_event_clear (event);
  return tou_ring_push (received_types, 0, &type);
}

guint64
tou_core_next_tick (const TouCore *core)
{
  (void)core;
  return G_MAXUINT64;
}

void
tou_core_destroy (TouCore *core)
{
  (void)core;
}

/* A service that refuses actions, as if its ring were full, until accepts is
   set. */
typedef struct
{
  gboolean accepts;
  guint n_accepted;
} StubService;

static int
stub_submit (gpointer data, TouAction *action)
{
  StubService *service = data;

  if (!service->accepts)
    return TOU_E_RING_FULL;
  service->n_accepted++;
  tou_action_clear (action);
  return TOU_OK;
}

typedef struct
{
  TouRegistry *registry;
  TouCoreRoute *route;
  StubService service;
} RouteFixture;

static int
setup_route (void **state)
{
  RouteFixture *f = g_new0 (RouteFixture, 1);
  const char *const names[]
      = { TOU_SERVICE_DATABASE, TOU_SERVICE_PEER, TOU_SERVICE_STORE };

  tou_registry_create (&f->registry);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    tou_registry_register (f->registry, names[i], stub_submit, &f->service);
  tou_core_route_create (&f->route, f->registry);
  *state = f;
  return 0;
}

static int
teardown_route (void **state)
{
  RouteFixture *f = *state;

  tou_core_route_destroy (f->route);
  tou_registry_destroy (f->registry);
  g_free (f);
  return 0;
}

/* An EXECUTE without a result would occupy its slot forever. */
static void
test_refused_execute_becomes_not_sent (void **state)
{
  RouteFixture *f = *state;
  TouAction action = { .type = TOU_ACTION_DB_EXECUTE };
  TouEvent event;

  action.u.db_execute.conn = 5;
  action.u.db_execute.sequence = 6;
  tou_str_init_c (&action.u.db_execute.statement.sql, "SELECT 1");
  tou_core_route_action (f->route, &action);
  assert_true (tou_core_route_pop (f->route, &event));
  assert_int_equal (event.type, TOU_EVENT_DB_RESULT);
  assert_int_equal (event.u.db_result.conn, 5);
  assert_int_equal (event.u.db_result.sequence, 6);
  assert_int_equal (event.u.db_result.outcome, TOU_DB_NOT_SENT);
  assert_int_equal (event.u.db_result.code, TOU_E_RING_FULL);
  tou_event_clear (&event);
}

/* A refused control operation must not cause a report, from which the core
   could draw conclusions about the database; the connection is closed on both
   sides. */
static void
test_refused_control_closes_the_connection (void **state)
{
  RouteFixture *f = *state;
  TouAction action = { .type = TOU_ACTION_DB_CONTROL };
  TouEvent event;

  action.u.db_control.conn = 5;
  tou_core_route_action (f->route, &action);
  assert_true (tou_core_route_pop (f->route, &event));
  assert_int_equal (event.type, TOU_EVENT_DB_CLOSED);
  assert_int_equal (event.u.db_closed.conn, 5);
  tou_event_clear (&event);
  assert_true (tou_core_route_retry (f->route));
  f->service.accepts = TRUE;
  assert_false (tou_core_route_retry (f->route));
  assert_int_equal (f->service.n_accepted, 1);
}

/* A store call without a result would block the failover attempt that made it
   until a timeout, and a watch that is not cancelled would never end. */
static void
test_refused_store_calls_fail_or_are_retried (void **state)
{
  RouteFixture *f = *state;
  TouAction call = { .type = TOU_ACTION_STORE };
  TouAction cancel = { .type = TOU_ACTION_STORE };
  TouAction vms = { .type = TOU_ACTION_VM_LIST };
  TouEvent event;

  call.u.store.id = 9;
  call.u.store.op = TOU_STORE_CAS;
  cancel.u.store.op = TOU_STORE_WATCH_CANCEL;
  tou_core_route_action (f->route, &call);
  tou_core_route_action (f->route, &cancel);
  tou_core_route_action (f->route, &vms);
  assert_true (tou_core_route_pop (f->route, &event));
  assert_int_equal (event.type, TOU_EVENT_STORE);
  assert_int_equal (event.u.store.id, 9);
  assert_int_equal (event.u.store.status, TOU_STORE_FAILED);
  assert_true (tou_core_route_pop (f->route, &event));
  assert_int_equal (event.type, TOU_EVENT_VM_LIST);
  assert_false (event.u.vm_list.ok);
  assert_false (tou_core_route_pop (f->route, &event));
  assert_true (tou_core_route_retry (f->route));
}

/* A front must receive the outcome of a request that was not sent without
   waiting for a timeout. */
static void
test_refused_request_to_a_gate_becomes_not_run (void **state)
{
  RouteFixture *f = *state;
  TouAction action = { .type = TOU_ACTION_SEND };
  TouEvent event;

  action.u.send.node = tou_name ("vm-2");
  action.u.send.message = tou_message_create (TOU_MESSAGE_EXECUTE);
  action.u.send.message->u.execute.id
      = (TouRequestId){ tou_name ("vm-1"), 1, 2 };
  tou_core_route_action (f->route, &action);
  assert_true (tou_core_route_pop (f->route, &event));
  assert_int_equal (event.u.peer->type, TOU_MESSAGE_EXECUTE_REPLY);
  assert_string_equal (event.u.peer->from.data, "vm-2");
  assert_int_equal (event.u.peer->u.reply.id.sequence, 2);
  assert_int_equal (event.u.peer->u.reply.outcome, TOU_OUTCOME_NOT_RUN);
  tou_event_clear (&event);
}

/* If urgent requests could fill lane 0, results of statements that were already
   executed would be refused. */
static void
test_urgent_requests_leave_room_for_control_events (void **state)
{
  const TouCoreServiceSettings settings = { .ring_capacity = CAPACITY };
  TouEvent request = { .type = TOU_EVENT_REQUEST };
  TouEvent closed = { .type = TOU_EVENT_DB_CLOSED };
  TouCoreService *service;
  TouEventSink sink;
  TouRegistry *registry;

  (void)state;
  tou_registry_create (&registry);
  assert_int_equal (tou_core_service_create (&service, &settings, registry), 0);
  sink = tou_core_service_sink (service);
  request.u.request.request.rank = TOU_RANK_URGENT;
  for (guint i = 0; i < CAPACITY / 2; i++)
    assert_int_equal (sink.func (sink.user_data, &request), TOU_OK);
  assert_int_equal (sink.func (sink.user_data, &request), TOU_E_RING_FULL);
  for (guint i = 0; i < CAPACITY / 2; i++)
    assert_int_equal (sink.func (sink.user_data, &closed), TOU_OK);
  assert_int_equal (sink.func (sink.user_data, &closed), TOU_E_RING_FULL);
  request.u.request.request.rank = TOU_RANK_STATUS;
  assert_int_equal (sink.func (sink.user_data, &request), TOU_OK);
  tou_core_service_destroy (service);
  tou_registry_destroy (registry);
}

/* The complete cycle: an event is received, an action that no service accepts
   is emitted, and its failure is passed to the core. */
static void
test_thread_passes_refusals_to_the_core (void **state)
{
  const TouCoreServiceSettings settings = { .ring_capacity = CAPACITY };
  TouEvent opened = { .type = TOU_EVENT_DB_OPENED };
  TouCoreService *service;
  TouEventSink sink;
  TouRegistry *registry;
  TouEventType type;

  (void)state;
  tou_ring_create (&received_types, 1, CAPACITY, sizeof (TouEventType));
  tou_registry_create (&registry);
  assert_int_equal (tou_core_service_create (&service, &settings, registry), 0);
  assert_int_equal (tou_core_service_start (service), TOU_OK);
  sink = tou_core_service_sink (service);
  assert_int_equal (sink.func (sink.user_data, &opened), TOU_OK);
  assert_true (tou_ring_wait (received_types, &type, WAIT_US));
  assert_int_equal (type, TOU_EVENT_DB_OPENED);
  assert_true (tou_ring_wait (received_types, &type, WAIT_US));
  assert_int_equal (type, TOU_EVENT_DB_RESULT);
  tou_core_service_destroy (service);
  tou_registry_destroy (registry);
  tou_ring_destroy (received_types);
}

#define ROUTE_TEST(name)                                                       \
  cmocka_unit_test_setup_teardown (name, setup_route, teardown_route)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ROUTE_TEST (test_refused_execute_becomes_not_sent),
    ROUTE_TEST (test_refused_control_closes_the_connection),
    ROUTE_TEST (test_refused_store_calls_fail_or_are_retried),
    ROUTE_TEST (test_refused_request_to_a_gate_becomes_not_run),
    cmocka_unit_test (test_urgent_requests_leave_room_for_control_events),
    cmocka_unit_test (test_thread_passes_refusals_to_the_core),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
