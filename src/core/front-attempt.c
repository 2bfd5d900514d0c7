#include "front-internal.h"

/* Time for which a gate that refused a group is selected last for requests of
   that group. Long enough for the membership or the failover record to be
   updated. */
#define FRONT_AVOID_US TOU_US_PER_S

gboolean
front_in_transaction (const TouRequest *request)
{
  return request->kind != TOU_REQUEST_STATEMENT
         && request->kind != TOU_REQUEST_BEGIN;
}

gboolean
front_is_write (const TouRequest *request)
{
  return request->kind != TOU_REQUEST_STATEMENT
         || request->mode == TOU_READ_NONE;
}

gboolean
front_is_node_lost (const TouFront *front, const TouName *node)
{
  const TouMemberUpdate *update;

  if (tou_name_equal (node, &front->ctx->settings.node))
    return FALSE;
  update = tou_member_find (front->ctx->member, node);
  return update == NULL || update->state == TOU_MEMBER_DEAD;
}

void
front_avoid_gate (TouFront *front, const TouName *group, const TouName *gate,
                  gboolean writes_only)
{
  guint64 now_us = front->ctx->now_us;
  guint kept = 0;

  for (guint i = 0; i < front->n_avoided; i++)
    if (front->avoided[i].until_us > now_us)
      front->avoided[kept++] = front->avoided[i];
  front->n_avoided = kept;
  if (front->n_avoided < FRONT_MAX_AVOIDED)
    front->avoided[front->n_avoided++]
        = (FrontAvoided){ .group = *group,
                          .gate = *gate,
                          .writes_only = writes_only,
                          .until_us = now_us + FRONT_AVOID_US };
}

static gboolean
attempt_is_avoided (const FrontPending *pending, const TouName *gate)
{
  const TouFront *front = pending->front;

  for (guint i = 0; i < front->n_avoided; i++)
    {
      const FrontAvoided *avoided = &front->avoided[i];

      if (avoided->until_us > front->ctx->now_us
          && tou_name_equal (&avoided->gate, gate)
          && tou_name_equal (&avoided->group, &pending->request.group)
          && (!avoided->writes_only || front_is_write (&pending->request)))
        return TRUE;
    }
  return FALSE;
}

static gboolean
attempt_was_refused (const FrontPending *pending, const TouName *gate)
{
  for (guint i = 0; i < pending->n_refused; i++)
    if (tou_name_equal (&pending->refused[i], gate))
      return TRUE;
  return FALSE;
}

/* Returns the first candidate that has not refused the request, preferring
   those that are not avoided; NULL if there is none. */
static const TouName *
attempt_select_gate (const FrontPending *pending)
{
  TouContext *ctx = pending->front->ctx;
  const TouGroupConfig *config
      = tou_config_group (ctx->config, &pending->request.group);
  const TouPlacement *placement;
  const TouName *second_choice = NULL;

  if (config == NULL)
    return NULL;
  placement = tou_place_group (ctx->place, config);
  for (guint i = 0; i < placement->n_candidates; i++)
    {
      const TouName *gate = &placement->candidates[i];

      if (attempt_was_refused (pending, gate)
          || front_is_node_lost (pending->front, gate))
        continue;
      if (!attempt_is_avoided (pending, gate))
        return gate;
      if (second_choice == NULL)
        second_choice = gate;
    }
  return second_choice;
}

gboolean
front_has_candidate (FrontPending *pending)
{
  return attempt_select_gate (pending) != NULL;
}

/* Sends a copy of the request to the gate; the original is kept for retries. */
static void
attempt_send (FrontPending *pending)
{
  TouContext *ctx = pending->front->ctx;
  TouName gate = pending->gate;
  TouMessage *message;
  TouRequest copy;

  tou_request_copy (&copy, &pending->request);
  if (tou_name_equal (&gate, &ctx->settings.node))
    {
      tou_gate_execute (ctx->gate, &ctx->settings.node, &copy);
      return;
    }
  copy.deadline_us -= MIN (copy.deadline_us, ctx->now_us);
  message = tou_message_create (TOU_MESSAGE_EXECUTE);
  message->u.execute = copy;
  tou_context_send (ctx, &gate, message);
}

static void
attempt_refuse (FrontPending *pending, int code)
{
  TouReply reply = { .code = code, .outcome = TOU_OUTCOME_NOT_RUN };

  front_answer (pending, &reply);
}

void
front_attempt (FrontPending *pending)
{
  TouFront *front = pending->front;
  TouContext *ctx = front->ctx;
  TouRequestId *id = &pending->request.id;
  const TouName *gate;

  gate = front_in_transaction (&pending->request)
             ? &pending->request.txn.node
             : attempt_select_gate (pending);
  if (gate == NULL || front_is_node_lost (front, gate))
    {
      attempt_refuse (pending, front_in_transaction (&pending->request)
                                   ? TOU_E_TXN_LOST
                                   : TOU_E_NO_GATE);
      return;
    }
  if (pending->attempts++ > 0)
    TOU_COUNT (ctx, RETRIES);
  /* Every attempt has its own id, so that a late reply to an earlier attempt
     is not matched to this one. */
  g_hash_table_remove (front->by_sequence, &id->sequence);
  id->node = ctx->settings.node;
  id->incarnation = ctx->settings.incarnation;
  id->sequence = tou_context_next_id (ctx);
  g_hash_table_insert (front->by_sequence, &id->sequence, pending);
  pending->gate = *gate;
  pending->state = FRONT_IN_FLIGHT;
  attempt_send (pending);
}
