#include "front-internal.h"

/* Interval between checks of the deadlines and retry times of requests. */
#define FRONT_SCAN_INTERVAL_US (5 * TOU_US_PER_MS)
/* Allowance for the reply of a gate, which is sent at the deadline at the
   latest. After it the front itself answers the request. */
#define FRONT_DEADLINE_GRACE_US (100 * TOU_US_PER_MS)
/* Retry-After when the front has too many pending requests. */
#define FRONT_FULL_RETRY_US (100 * TOU_US_PER_MS)

int
tou_front_create (TouFront **out, TouContext *ctx)
{
  TouFront *front = g_new0 (TouFront, 1);

  front->ctx = ctx;
  front_init_retry_budget (front);
  front->by_caller = g_hash_table_new (g_int64_hash, g_int64_equal);
  front->by_sequence = g_hash_table_new (g_int64_hash, g_int64_equal);
  *out = front;
  return TOU_OK;
}

static void
front_free_pending (FrontPending *pending)
{
  TouFront *front = pending->front;

  g_hash_table_remove (front->by_caller, &pending->caller);
  g_hash_table_remove (front->by_sequence, &pending->request.id.sequence);
  tou_request_clear (&pending->request);
  tou_reply_clear (&pending->last_reply);
  g_free (pending);
}

void
tou_front_destroy (TouFront *front)
{
  GList *all;

  if (front == NULL)
    return;
  all = g_hash_table_get_values (front->by_caller);
  for (GList *item = all; item != NULL; item = item->next)
    front_free_pending (item->data);
  g_list_free (all);
  g_hash_table_destroy (front->by_caller);
  g_hash_table_destroy (front->by_sequence);
  g_free (front);
}

static void
front_emit_reply (TouFront *front, guint64 caller, TouReply *reply)
{
  TouAction *action
      = tou_action_list_add (front->ctx->actions, TOU_ACTION_REPLY);

  switch (reply->outcome)
    {
    case TOU_OUTCOME_DONE:
      TOU_COUNT (front->ctx, DONE);
      break;
    case TOU_OUTCOME_NOT_RUN:
      TOU_COUNT (front->ctx, NOT_RUN);
      break;
    case TOU_OUTCOME_UNKNOWN:
      TOU_COUNT (front->ctx, UNKNOWN);
      break;
    }
  action->u.reply.caller = caller;
  action->u.reply.reply = *reply;
  *reply = (TouReply){ 0 };
}

void
front_answer (FrontPending *pending, TouReply *reply)
{
  TouFront *front = pending->front;
  const TouName *group = pending->request.group.len > 0
                             ? &pending->request.group
                             : &reply->group;

  /* The refusal of a later attempt does not undo an earlier attempt that may
     have been executed. */
  if (pending->may_have_run && reply->outcome == TOU_OUTCOME_NOT_RUN)
    {
      reply->outcome = TOU_OUTCOME_UNKNOWN;
      if (front_is_write (&pending->request))
        reply->code = TOU_E_UNCONFIRMED;
    }
  reply->session = pending->request.session;
  if (reply->pos.term > 0 && group->len > 0)
    tou_session_raise (&reply->session, group, reply->pos);
  front_emit_reply (front, pending->caller, reply);
  front_free_pending (pending);
}

static gsize
front_statement_size (const TouStatement *statement)
{
  gsize size = statement->sql.len;

  for (guint i = 0; i < statement->n_params; i++)
    size += statement->params[i].len;
  return size;
}

/* Returns TOU_OK, or the code for refusing the request. */
static int
front_check_request (const TouFront *front, const TouRequest *request)
{
  const TouContext *ctx = front->ctx;

  if (front_statement_size (&request->statement)
      > ctx->settings.statement_limit)
    return TOU_E_STATEMENT_TOO_LONG;
  if (g_hash_table_size (front->by_caller) >= ctx->settings.pending_limit)
    return TOU_E_QUEUE_FULL;
  if (front_in_transaction (request))
    return TOU_OK;
  if (tou_drain_refuses_requests (ctx->drain))
    return TOU_E_DRAINING;
  if (tou_config_group (ctx->config, &request->group) == NULL)
    return tou_feed_is_current (ctx->feed) ? TOU_E_UNKNOWN_GROUP
                                           : TOU_E_NOT_READY;
  return TOU_OK;
}

/* Sets the deadline and the maximum age if the client did not. */
static void
front_apply_defaults (const TouFront *front, TouRequest *request)
{
  const TouContext *ctx = front->ctx;
  TouDefaults defaults;

  tou_config_defaults (ctx->config, &request->group, &defaults);
  if (request->deadline_us == 0)
    request->deadline_us = ctx->now_us + defaults.deadline_us[request->rank];
  if (request->mode == TOU_READ_MAX_AGE && request->max_age_us == 0)
    request->max_age_us = defaults.max_age_us;
}

void
tou_front_request (TouFront *front, guint64 caller, TouRequest *request)
{
  TouReply refusal = { .outcome = TOU_OUTCOME_NOT_RUN };
  FrontPending *pending;

  refusal.code = front_check_request (front, request);
  if (refusal.code != TOU_OK)
    {
      refusal.session = request->session;
      if (refusal.code == TOU_E_QUEUE_FULL)
        refusal.retry_after_us = FRONT_FULL_RETRY_US;
      front_emit_reply (front, caller, &refusal);
      tou_request_clear (request);
      *request = (TouRequest){ 0 };
      return;
    }
  pending = g_new0 (FrontPending, 1);
  pending->front = front;
  pending->caller = caller;
  pending->request = *request;
  *request = (TouRequest){ 0 };
  front_apply_defaults (front, &pending->request);
  g_hash_table_insert (front->by_caller, &pending->caller, pending);
  front_credit_retry_budget (front);
  front_attempt (pending);
}

static void
front_send_cancel (FrontPending *pending)
{
  TouContext *ctx = pending->front->ctx;
  TouMessage *message;

  if (pending->state != FRONT_IN_FLIGHT)
    return;
  if (tou_name_equal (&pending->gate, &ctx->settings.node))
    {
      tou_gate_cancel (ctx->gate, &pending->request.id);
      return;
    }
  message = tou_message_create (TOU_MESSAGE_CANCEL);
  message->u.cancel = pending->request.id;
  tou_context_send (ctx, &pending->gate, message);
}

void
tou_front_cancel (TouFront *front, guint64 caller)
{
  FrontPending *pending = g_hash_table_lookup (front->by_caller, &caller);

  if (pending == NULL)
    return;
  front_send_cancel (pending);
  front_free_pending (pending);
}

void
tou_front_on_reply (TouFront *front, const TouName *gate, TouReply *reply)
{
  const TouCoreSettings *settings = &front->ctx->settings;
  FrontPending *pending
      = g_hash_table_lookup (front->by_sequence, &reply->id.sequence);

  if (pending == NULL || pending->state != FRONT_IN_FLIGHT
      || reply->id.incarnation != settings->incarnation
      || !tou_name_equal (&reply->id.node, &settings->node)
      || !tou_name_equal (&pending->gate, gate))
    {
      TOU_COUNT (front->ctx, LATE_REPLIES);
      tou_reply_clear (reply);
    }
  else
    front_handle_reply (pending, reply);
  *reply = (TouReply){ 0 };
}

/* Calls @a func for every pending request. An attempt at this proxy's own gate
   may end other requests, so each is looked up again before its call. */
static void
front_for_each (TouFront *front, void (*func) (FrontPending *pending))
{
  guint count = g_hash_table_size (front->by_caller);
  guint64 *callers = g_new (guint64, count + 1);
  GHashTableIter iter;
  gpointer value;
  guint i = 0;

  g_hash_table_iter_init (&iter, front->by_caller);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    callers[i++] = ((FrontPending *)value)->caller;
  for (i = 0; i < count; i++)
    {
      FrontPending *pending
          = g_hash_table_lookup (front->by_caller, &callers[i]);

      if (pending != NULL)
        func (pending);
    }
  g_free (callers);
}

static void
front_check_gate (FrontPending *pending)
{
  if (pending->state == FRONT_IN_FLIGHT
      && front_is_node_lost (pending->front, &pending->gate))
    front_on_gate_lost (pending);
}

static void
front_check_time (FrontPending *pending)
{
  guint64 now_us = pending->front->ctx->now_us;
  guint64 deadline_us = pending->request.deadline_us;

  if (pending->state == FRONT_IN_FLIGHT)
    deadline_us += FRONT_DEADLINE_GRACE_US;
  if (now_us >= deadline_us)
    {
      front_send_cancel (pending);
      front_expire (pending);
    }
  else if (pending->state == FRONT_WAITING && now_us >= pending->retry_at_us)
    front_attempt (pending);
}

void
tou_front_on_change (TouFront *front)
{
  front_for_each (front, front_check_gate);
}

void
tou_front_on_tick (TouFront *front)
{
  guint64 now_us = front->ctx->now_us;

  if (now_us < front->next_scan_us)
    return;
  front->next_scan_us = now_us + FRONT_SCAN_INTERVAL_US;
  front_for_each (front, front_check_time);
}

gboolean
tou_front_is_idle (const TouFront *front)
{
  return g_hash_table_size (front->by_caller) == 0;
}
