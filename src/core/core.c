#include "toucanscale/core.h"

#include "config.h"
#include "configop.h"
#include "context.h"
#include "drain.h"
#include "dump.h"
#include "failover.h"
#include "feed.h"
#include "front.h"
#include "gate.h"
#include "member.h"
#include "monitor.h"
#include "place.h"
#include "storeop.h"

/* Tick interval while requests are in flight, in microseconds: the resolution
 * of queue and acknowledgement deadlines. */
#define TOU_TICK_BUSY_US (2 * TOU_US_PER_MS)
/* Tick interval otherwise, in microseconds. */
#define TOU_TICK_IDLE_US (10 * TOU_US_PER_MS)

struct TouCore
{
  TouContext ctx;
  gboolean ready;
  guint64 next_tick_us;
  /* State at the last change notification. */
  guint64 notified_live_version;
  guint64 notified_member_version;
  guint64 notified_entries;
};

int
tou_core_create (TouCore **out, const TouCoreSettings *settings, guint64 now_us,
                 guint64 seed)
{
  TouCore *core = g_new0 (TouCore, 1);
  TouContext *ctx = &core->ctx;
  int status;

  ctx->settings = *settings;
  ctx->now_us = now_us;
  tou_random_init (&ctx->random, seed);
  if ((status = tou_config_create (&ctx->config, ctx)) != TOU_OK
      || (status = tou_store_ops_create (&ctx->store_ops, ctx)) != TOU_OK
      || (status = tou_member_create (&ctx->member, ctx)) != TOU_OK
      || (status = tou_place_create (&ctx->place, ctx)) != TOU_OK
      || (status = tou_feed_create (&ctx->feed, ctx)) != TOU_OK
      || (status = tou_failover_create (&ctx->failover, ctx)) != TOU_OK
      || (status = tou_monitor_create (&ctx->monitor, ctx)) != TOU_OK
      || (status = tou_gate_create (&ctx->gate, ctx)) != TOU_OK
      || (status = tou_front_create (&ctx->front, ctx)) != TOU_OK
      || (status = tou_drain_create (&ctx->drain, ctx)) != TOU_OK)
    {
      tou_core_destroy (core);
      return status;
    }
  *out = core;
  return TOU_OK;
}

void
tou_core_destroy (TouCore *core)
{
  TouActionList discarded = { 0 };

  if (core == NULL)
    return;
  /* Submodules emit actions to close their connections. These are discarded:
   * the driver closes all connections itself. */
  core->ctx.actions = &discarded;
  tou_drain_destroy (core->ctx.drain);
  tou_front_destroy (core->ctx.front);
  tou_gate_destroy (core->ctx.gate);
  tou_monitor_destroy (core->ctx.monitor);
  tou_failover_destroy (core->ctx.failover);
  tou_feed_destroy (core->ctx.feed);
  tou_place_destroy (core->ctx.place);
  tou_member_destroy (core->ctx.member);
  tou_store_ops_destroy (core->ctx.store_ops);
  tou_config_destroy (core->ctx.config);
  tou_action_list_clear (&discarded);
  g_free (core);
}

/* Notifies the gate of every group after a change of the placement. */
static void
core_notify_groups (TouContext *ctx)
{
  for (guint i = 0; i < tou_config_n_groups (ctx->config); i++)
    tou_gate_on_change (ctx->gate, &tou_config_group_at (ctx->config, i)->name);
}

/* Notifies the submodules of changes of membership, configuration or records.
 * Placement depends only on the live members, and each changed group is
 * announced when its feed entry is applied, so any other change concerns only
 * the groups already served here. A starting proxy has an incomplete member
 * table and would compute itself as gate and observer of most groups, so
 * nothing is notified until the feed is current. */
static void
core_notify_changes (TouCore *core)
{
  TouContext *ctx = &core->ctx;
  guint64 live_version = tou_member_live_version (ctx->member);
  guint64 member_version = tou_member_version (ctx->member);
  guint64 entries = ctx->counters.values[TOU_COUNTER_ENTRIES_APPLIED];

  if (!tou_feed_is_current (ctx->feed)
      || (member_version == core->notified_member_version
          && entries == core->notified_entries))
    return;
  core->notified_member_version = member_version;
  core->notified_entries = entries;
  if (live_version != core->notified_live_version)
    {
      core->notified_live_version = live_version;
      tou_monitor_on_change (ctx->monitor);
      core_notify_groups (ctx);
    }
  else
    tou_gate_on_change (ctx->gate, NULL);
  tou_front_on_change (ctx->front);
}

static void
core_update_ready (TouCore *core)
{
  TouContext *ctx = &core->ctx;
  gboolean ready
      = tou_feed_is_current (ctx->feed) && !tou_drain_is_active (ctx->drain);

  if (ready == core->ready)
    return;
  core->ready = ready;
  tou_action_list_add (ctx->actions, TOU_ACTION_READY)->u.ready.ready = ready;
}

static void
core_on_tick (TouContext *ctx)
{
  tou_store_ops_on_tick (ctx->store_ops);
  tou_member_on_tick (ctx->member);
  tou_feed_on_tick (ctx->feed);
  tou_monitor_on_tick (ctx->monitor);
  tou_failover_on_tick (ctx->failover);
  tou_gate_on_tick (ctx->gate);
  tou_front_on_tick (ctx->front);
  tou_drain_on_tick (ctx->drain);
}

/* Converts the remaining time in the message to an absolute deadline. */
static void
core_on_execute (TouContext *ctx, const TouName *from, TouRequest *request)
{
  request->deadline_us += ctx->now_us;
  tou_gate_execute (ctx->gate, from, request);
}

static void
core_on_message (TouContext *ctx, TouMessage *message)
{
  TOU_COUNT (ctx, MESSAGES_RECEIVED);
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
      tou_member_on_message (ctx->member, message);
      tou_feed_on_message (ctx->feed, message);
      break;
    case TOU_MESSAGE_EXECUTE:
      core_on_execute (ctx, &message->from, &message->u.execute);
      break;
    case TOU_MESSAGE_EXECUTE_REPLY:
      tou_front_on_reply (ctx->front, &message->from, &message->u.reply);
      break;
    case TOU_MESSAGE_CANCEL:
      tou_gate_cancel (ctx->gate, &message->u.cancel);
      break;
    case TOU_MESSAGE_SUSPECT:
      tou_failover_on_message (ctx->failover, message);
      break;
    case TOU_MESSAGE_ENTRIES:
    case TOU_MESSAGE_ENTRIES_REQUEST:
      tou_feed_on_message (ctx->feed, message);
      break;
    case TOU_MESSAGE_LEAVING:
      tou_feed_on_message (ctx->feed, message);
      break;
    case TOU_MESSAGE_COUNT:
      break;
    }
}

static void
core_refuse (TouContext *ctx, guint64 caller, int code)
{
  TouAction *action = tou_action_list_add (ctx->actions, TOU_ACTION_REPLY);
  TouReply *reply = &action->u.reply.reply;

  action->u.reply.caller = caller;
  reply->code = code;
  reply->outcome = TOU_OUTCOME_NOT_RUN;
  reply->gate = ctx->settings.node;
  tou_str_init_c (&reply->message, tou_status_text (code));
  TOU_COUNT (ctx, NOT_RUN);
}

static gboolean
request_is_in_txn (const TouRequest *request)
{
  return request->kind == TOU_REQUEST_TXN_STATEMENT
         || request->kind == TOU_REQUEST_COMMIT
         || request->kind == TOU_REQUEST_ROLLBACK;
}

static void
core_on_request (TouCore *core, guint64 caller, TouRequest *request)
{
  TouContext *ctx = &core->ctx;

  TOU_COUNT (ctx, REQUESTS);
  if (!tou_feed_is_current (ctx->feed))
    core_refuse (ctx, caller, TOU_E_NOT_READY);
  else if (tou_drain_refuses_requests (ctx->drain)
           && !request_is_in_txn (request))
    core_refuse (ctx, caller, TOU_E_DRAINING);
  else
    tou_front_request (ctx->front, caller, request);
}

static void
core_on_connection_event (TouContext *ctx, TouEvent *event)
{
  if (!tou_monitor_on_event (ctx->monitor, event)
      && !tou_gate_on_event (ctx->gate, event))
    TOU_COUNT (ctx, LATE_REPLIES);
}

static void
core_on_query (TouCore *core, TouEventType type, guint64 caller)
{
  TouAction *action
      = tou_action_list_add (core->ctx.actions, TOU_ACTION_TEXT_REPLY);

  action->u.text_reply.caller = caller;
  if (type == TOU_EVENT_DUMP)
    tou_dump_format (&action->u.text_reply.text, &core->ctx, core->ready);
  else
    tou_counters_format (&action->u.text_reply.text, &core->ctx.counters);
}

static void
core_dispatch (TouCore *core, TouEvent *event)
{
  TouContext *ctx = &core->ctx;

  switch (event->type)
    {
    case TOU_EVENT_TICK:
      core_on_tick (ctx);
      break;
    case TOU_EVENT_PEER:
      core_on_message (ctx, event->u.peer);
      break;
    case TOU_EVENT_DB_OPENED:
    case TOU_EVENT_DB_CLOSED:
    case TOU_EVENT_DB_RESULT:
    case TOU_EVENT_DB_REPORT:
      core_on_connection_event (ctx, event);
      break;
    case TOU_EVENT_STORE:
      if (!tou_feed_on_store (ctx->feed, &event->u.store))
        tou_store_ops_on_result (ctx->store_ops, &event->u.store);
      break;
    case TOU_EVENT_VM_LIST:
      tou_feed_on_vm_list (ctx->feed, event->u.vm_list.ok, event->u.vm_list.vms,
                           event->u.vm_list.count);
      break;
    case TOU_EVENT_REQUEST:
      core_on_request (core, event->u.request.caller,
                       &event->u.request.request);
      break;
    case TOU_EVENT_REQUEST_CANCELLED:
      tou_front_cancel (ctx->front, event->u.cancelled.caller);
      break;
    case TOU_EVENT_CONFIG_CHANGE:
      tou_configop_change (ctx, event->u.config_change.caller,
                           &event->u.config_change.change);
      break;
    case TOU_EVENT_DUMP:
    case TOU_EVENT_METRICS:
      core_on_query (core, event->type, event->u.query.caller);
      break;
    case TOU_EVENT_DRAIN:
      tou_drain_start (ctx->drain);
      break;
    case TOU_EVENT_COUNT:
      break;
    }
}

int
tou_core_step (TouCore *core, guint64 now_us, TouEvent *event,
               TouActionList *actions)
{
  TouContext *ctx = &core->ctx;
  int status = TOU_OK;

  if (event->type >= TOU_EVENT_COUNT)
    status = tou_status_set (TOU_E_INVALID_ARGUMENT, "unknown event type %d",
                             (int)event->type);
  else
    {
      ctx->now_us = MAX (ctx->now_us, now_us);
      ctx->actions = actions;
      core_dispatch (core, event);
      core_notify_changes (core);
      core_update_ready (core);
      if (event->type == TOU_EVENT_TICK)
        core->next_tick_us
            = ctx->now_us
              + (tou_front_is_idle (ctx->front) && tou_gate_is_idle (ctx->gate)
                     ? TOU_TICK_IDLE_US
                     : TOU_TICK_BUSY_US);
      ctx->actions = NULL;
    }
  tou_event_clear (event);
  return status;
}

guint64
tou_core_next_tick (const TouCore *core)
{
  return core->next_tick_us;
}
