#include "drain.h"

#include "front.h"
#include "gate.h"
#include "member.h"

struct TouDrain
{
  TouContext *ctx;
  gboolean active;
  gboolean drained;
  guint64 start_us;
};

int
tou_drain_create (TouDrain **out, TouContext *ctx)
{
  TouDrain *drain = g_new0 (TouDrain, 1);

  drain->ctx = ctx;
  *out = drain;
  return TOU_OK;
}

void
tou_drain_destroy (TouDrain *drain)
{
  g_free (drain);
}

void
tou_drain_start (TouDrain *drain)
{
  TouAction *action;

  if (drain->active)
    return;
  drain->active = TRUE;
  drain->start_us = drain->ctx->now_us;
  action = tou_action_list_add (drain->ctx->actions, TOU_ACTION_READY);
  action->u.ready.ready = FALSE;
  tou_member_leave (drain->ctx->member);
  tou_context_log (drain->ctx, G_LOG_LEVEL_MESSAGE, TOU_OK, "drain started");
}

gboolean
tou_drain_is_active (const TouDrain *drain)
{
  return drain->active;
}

gboolean
tou_drain_refuses_requests (const TouDrain *drain)
{
  const TouContext *ctx = drain->ctx;

  return drain->active
         && ctx->now_us - drain->start_us >= ctx->settings.drain_delay_us;
}

/* The drain timeout starts when new requests are refused: requests accepted
 * until then get the full time. */
static gboolean
drain_is_over (const TouDrain *drain)
{
  const TouCoreSettings *settings = &drain->ctx->settings;

  return drain->ctx->now_us - drain->start_us
         >= settings->drain_delay_us + settings->drain_timeout_us;
}

void
tou_drain_on_tick (TouDrain *drain)
{
  const TouContext *ctx = drain->ctx;

  if (drain->drained || !tou_drain_refuses_requests (drain))
    return;
#ifdef TOU_DEFECT_DRAIN_CUTS_OFF
  if (!drain_is_over (drain) && FALSE)
#else
  if (!drain_is_over (drain)
      && (!tou_front_is_idle (ctx->front) || !tou_gate_is_idle (ctx->gate)))
#endif
    return;
  drain->drained = TRUE;
  tou_action_list_add (ctx->actions, TOU_ACTION_DRAINED);
}
