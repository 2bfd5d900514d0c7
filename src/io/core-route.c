#include "core-route.h"

#include "core-service.h"
#include "log.h"

#include <stdatomic.h>

/* Minimum interval between warnings about refused actions: a full ring can
   refuse thousands of actions per second. */
#define TOU_ROUTE_WARNING_INTERVAL_US G_USEC_PER_SEC

struct TouCoreRoute
{
  TouRegistry *registry;
  GQueue events;      /* of TouEvent *: failures to be reported to the core */
  GQueue retry_queue; /* of TouAction *: to be submitted again */
  gint64 last_warning_us;
  atomic_ullong refused[TOU_ACTION_COUNT];
};

static const char *const action_names[TOU_ACTION_COUNT] = {
  [TOU_ACTION_SEND] = "send",
  [TOU_ACTION_DB_OPEN] = "db_open",
  [TOU_ACTION_DB_EXECUTE] = "db_execute",
  [TOU_ACTION_DB_CONTROL] = "db_control",
  [TOU_ACTION_DB_CLOSE] = "db_close",
  [TOU_ACTION_STORE] = "store",
  [TOU_ACTION_VM_LIST] = "vm_list",
  [TOU_ACTION_REPLY] = "reply",
  [TOU_ACTION_CONFIG_REPLY] = "config_reply",
  [TOU_ACTION_TEXT_REPLY] = "text_reply",
  [TOU_ACTION_LOG] = "log",
  [TOU_ACTION_READY] = "ready",
  [TOU_ACTION_DRAINED] = "drained",
};

static const char *
action_name (TouActionType type)
{
  return type < TOU_ACTION_COUNT ? action_names[type] : "unknown";
}

static void
route_metrics (gpointer service, GString *text)
{
  TouCoreRoute *route = service;

  g_string_append (text, "# HELP toucanscale_actions_refused_total actions that"
                         " a service did not accept\n"
                         "# TYPE toucanscale_actions_refused_total counter\n");
  for (guint i = 0; i < TOU_ACTION_COUNT; i++)
    g_string_append_printf (
        text, "toucanscale_actions_refused_total{action=\"%s\"} %llu\n",
        action_names[i], atomic_load (&route->refused[i]));
}

int
tou_core_route_create (TouCoreRoute **out, TouRegistry *registry)
{
  TouCoreRoute *route = g_new0 (TouCoreRoute, 1);

  route->registry = registry;
  g_queue_init (&route->events);
  g_queue_init (&route->retry_queue);
  tou_registry_add_metrics (registry, route_metrics, route);
  *out = route;
  return TOU_OK;
}

static const char *
route_target (TouActionType type)
{
  switch (type)
    {
    case TOU_ACTION_SEND:
      return TOU_SERVICE_PEER;
    case TOU_ACTION_DB_OPEN:
    case TOU_ACTION_DB_EXECUTE:
    case TOU_ACTION_DB_CONTROL:
    case TOU_ACTION_DB_CLOSE:
      return TOU_SERVICE_DATABASE;
    case TOU_ACTION_STORE:
    case TOU_ACTION_VM_LIST:
      return TOU_SERVICE_STORE;
    case TOU_ACTION_REPLY:
      return TOU_SERVICE_HTTP;
    case TOU_ACTION_CONFIG_REPLY:
    case TOU_ACTION_TEXT_REPLY:
    case TOU_ACTION_READY:
      return TOU_SERVICE_OPERATOR;
    case TOU_ACTION_DRAINED:
      return TOU_SERVICE_DAEMON;
    case TOU_ACTION_LOG:
    case TOU_ACTION_COUNT:
      break;
    }
  return NULL;
}

static TouEvent *
route_add_event (TouCoreRoute *route, TouEventType type)
{
  TouEvent *event = g_new0 (TouEvent, 1);

  event->type = type;
  g_queue_push_tail (&route->events, event);
  return event;
}

static void
route_queue_retry (TouCoreRoute *route, TouAction *action)
{
  TouAction *copy = g_new (TouAction, 1);

  *copy = *action;
  action->type = TOU_ACTION_DRAINED; /* has no payload; the copy owns it */
  g_queue_push_tail (&route->retry_queue, copy);
}

static void
route_fail_conn (TouCoreRoute *route, guint64 conn, int code)
{
  TouEvent *event = route_add_event (route, TOU_EVENT_DB_CLOSED);

  event->u.db_closed.conn = conn;
  tou_str_init_c (&event->u.db_closed.message, tou_status_text (code));
}

/* A report cannot express a failure to send, and a made-up report could be
   used as evidence in a failover. Therefore the control connection is reported
   as closed. */
static void
route_fail_control (TouCoreRoute *route, guint64 conn, int code)
{
  TouAction close = { .type = TOU_ACTION_DB_CLOSE };

  route_fail_conn (route, conn, code);
  close.u.db_close.conn = conn;
  route_queue_retry (route, &close);
}

static void
route_fail_execute (TouCoreRoute *route, const TouAction *action, int code)
{
  TouEvent *event = route_add_event (route, TOU_EVENT_DB_RESULT);

  event->u.db_result.conn = action->u.db_execute.conn;
  event->u.db_result.sequence = action->u.db_execute.sequence;
  event->u.db_result.outcome = TOU_DB_NOT_SENT;
  event->u.db_result.code = code;
  tou_str_init_c (&event->u.db_result.message, tou_status_text (code));
}

static void
route_fail_store (TouCoreRoute *route, TouAction *action)
{
  TouEvent *event;

  if (action->u.store.op == TOU_STORE_WATCH_CANCEL)
    {
      route_queue_retry (route, action);
      return;
    }
  event = route_add_event (route, TOU_EVENT_STORE);
  event->u.store.id = action->u.store.id;
  event->u.store.op = action->u.store.op;
  event->u.store.status = TOU_STORE_FAILED;
}

/* Creates the gate's reply "not run" to an EXECUTE that was not sent, so that
   the front retries at once. Lost messages of other types are sent again by
   their protocols or resolved at the deadline of the request. */
static void
route_fail_send (TouCoreRoute *route, const TouAction *action, int code)
{
  const TouMessage *message = action->u.send.message;
  TouMessage *execute_reply;

  if (message->type != TOU_MESSAGE_EXECUTE)
    return;
  execute_reply = tou_message_create (TOU_MESSAGE_EXECUTE_REPLY);
  execute_reply->from = action->u.send.node;
  execute_reply->u.reply.id = message->u.execute.id;
  execute_reply->u.reply.code = code;
  execute_reply->u.reply.outcome = TOU_OUTCOME_NOT_RUN;
  execute_reply->u.reply.gate = action->u.send.node;
  tou_str_init_c (&execute_reply->u.reply.message, tou_status_text (code));
  route_add_event (route, TOU_EVENT_PEER)->u.peer = execute_reply;
}

static void
route_warn (TouCoreRoute *route, const TouAction *action, int code)
{
  gint64 now_us = g_get_monotonic_time ();

  if (route->last_warning_us != 0
      && now_us - route->last_warning_us < TOU_ROUTE_WARNING_INTERVAL_US)
    return;
  route->last_warning_us = now_us;
  tou_log (G_LOG_LEVEL_WARNING, code, "service %s refused action %s",
           route_target (action->type), action_name (action->type));
}

static void
route_handle_refusal (TouCoreRoute *route, TouAction *action, int code)
{
  atomic_fetch_add (&route->refused[action->type], 1);
  route_warn (route, action, code);
  switch (action->type)
    {
    case TOU_ACTION_SEND:
      route_fail_send (route, action, code);
      break;
    case TOU_ACTION_DB_OPEN:
      route_fail_conn (route, action->u.db_open.conn, code);
      break;
    case TOU_ACTION_DB_EXECUTE:
      route_fail_execute (route, action, code);
      break;
    case TOU_ACTION_DB_CONTROL:
      route_fail_control (route, action->u.db_control.conn, code);
      break;
    case TOU_ACTION_DB_CLOSE:
      route_queue_retry (route, action);
      break;
    case TOU_ACTION_STORE:
      route_fail_store (route, action);
      break;
    case TOU_ACTION_VM_LIST:
      route_add_event (route, TOU_EVENT_VM_LIST);
      break;
    case TOU_ACTION_REPLY:
    case TOU_ACTION_CONFIG_REPLY:
    case TOU_ACTION_TEXT_REPLY:
    case TOU_ACTION_LOG:
    case TOU_ACTION_READY:
    case TOU_ACTION_DRAINED:
    case TOU_ACTION_COUNT:
      break;
    }
}

void
tou_core_route_action (TouCoreRoute *route, TouAction *action)
{
  const char *target = route_target (action->type);
  int status = TOU_OK;

  if (action->type == TOU_ACTION_LOG)
    tou_log (action->u.log.level, action->u.log.code, "%s",
             action->u.log.message.data);
  else if (target != NULL)
    status = tou_registry_submit (route->registry, target, action);
  if (status == TOU_OK && target != NULL)
    return;
  if (status != TOU_OK)
    route_handle_refusal (route, action, status);
  tou_action_clear (action);
}

gboolean
tou_core_route_retry (TouCoreRoute *route)
{
  while (!g_queue_is_empty (&route->retry_queue))
    {
      TouAction *action = g_queue_peek_head (&route->retry_queue);
      const char *target = route_target (action->type);

      if (tou_registry_submit (route->registry, target, action) != TOU_OK)
        return TRUE;
      g_free (g_queue_pop_head (&route->retry_queue));
    }
  return FALSE;
}

gboolean
tou_core_route_pop (TouCoreRoute *route, TouEvent *event)
{
  TouEvent *first = g_queue_pop_head (&route->events);

  if (first == NULL)
    return FALSE;
  *event = *first;
  g_free (first);
  return TRUE;
}

static void
route_free_event (gpointer data)
{
  tou_event_clear (data);
  g_free (data);
}

static void
route_free_action (gpointer data)
{
  tou_action_clear (data);
  g_free (data);
}

void
tou_core_route_destroy (TouCoreRoute *route)
{
  if (route == NULL)
    return;
  tou_registry_remove_metrics (route->registry, route);
  g_queue_clear_full (&route->events, route_free_event);
  g_queue_clear_full (&route->retry_queue, route_free_action);
  g_free (route);
}
