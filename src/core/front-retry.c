#include "front-internal.h"

/* The budget counts tenths of a retry and each request adds one tenth, so
   retries increase the load by at most 10% (design 3.10). A new proxy has the
   share of its first requests in advance: without it, a request to a gate that
   was just lost could not be retried. */
#define FRONT_RETRY_COST 10
#define FRONT_MAX_BUDGET (10 * FRONT_RETRY_COST)
/* Delay before a retry: exponential back-off with jitter. */
#define FRONT_MIN_DELAY_US (5 * TOU_US_PER_MS)
#define FRONT_MAX_DELAY_US (100 * TOU_US_PER_MS)
#define FRONT_MAX_DELAY_SHIFT 8

void
front_init_retry_budget (TouFront *front)
{
  front->budget = FRONT_RETRY_COST;
  front->n_advanced = FRONT_RETRY_COST;
}

void
front_credit_retry_budget (TouFront *front)
{
  if (front->n_advanced > 0)
    {
      front->n_advanced--;
      return;
    }
  front->budget = MIN (front->budget + 1, FRONT_MAX_BUDGET);
}

static gboolean
retry_charge_budget (TouFront *front)
{
  if (front->budget < FRONT_RETRY_COST)
    {
      TOU_COUNT (front->ctx, RETRIES_REFUSED);
      return FALSE;
    }
  front->budget -= FRONT_RETRY_COST;
  return TRUE;
}

/* A write without an idempotency key is dispatched at most once. */
static gboolean
retry_is_safe (const TouRequest *request)
{
  if (request->kind == TOU_REQUEST_BEGIN)
    return TRUE;
#ifdef TOU_DEFECT_RETRY_WITHOUT_KEY
  if (request->kind == TOU_REQUEST_STATEMENT)
    return TRUE;
#endif
  return request->kind == TOU_REQUEST_STATEMENT
         && (!front_is_write (request)
             || request->idempotency_key.data != NULL);
}

/* TRUE if the gate refused the request before dispatching anything. */
static gboolean
retry_is_refusal (const TouReply *reply)
{
  return reply->outcome == TOU_OUTCOME_NOT_RUN
         && (reply->code == TOU_E_DRAINING || reply->code == TOU_E_NO_GATE
             || reply->code == TOU_E_GATE_NO_PRIMARY);
}

/* TRUE for failures that a later attempt may avoid. */
static gboolean
retry_is_transient (const TouReply *reply)
{
  if (reply->outcome == TOU_OUTCOME_UNKNOWN)
    return TRUE;
  switch (reply->code)
    {
    case TOU_E_CONNECTION_LOST:
    case TOU_E_TXN_LOST:
    case TOU_E_TERM_CHANGED:
    case TOU_E_GATE_LOST:
    case TOU_E_NOT_PRIMARY:
    case TOU_E_TOO_MANY_CONNECTIONS:
      return TRUE;
    default:
      return FALSE;
    }
}

/* A reply with an unknown outcome keeps its code, because the cause is more
   useful to the client than the exhausted budget. */
static void
retry_answer_over_budget (FrontPending *pending, TouReply *reply)
{
  if (reply->outcome == TOU_OUTCOME_NOT_RUN)
    {
      tou_str_clear (&reply->message);
      tou_str_printf (&reply->message, "last attempt: %s",
                      tou_status_text (reply->code));
      reply->code = TOU_E_RETRY_BUDGET;
    }
  front_answer (pending, reply);
}

/* Tries the next candidate. A refusal by a leaving gate is not charged to the
   budget: nothing was dispatched, and such refusals end as soon as the
   membership has been updated. */
static void
retry_next_gate (FrontPending *pending, TouReply *reply)
{
  TouFront *front = pending->front;
  gboolean no_primary = reply->code == TOU_E_GATE_NO_PRIMARY;

  front_avoid_gate (front, &pending->request.group, &pending->gate, no_primary);
  if (pending->n_refused < TOU_MAX_CANDIDATES)
    pending->refused[pending->n_refused++] = pending->gate;
  if (front->ctx->now_us >= pending->request.deadline_us
      || !front_has_candidate (pending))
    front_answer (pending, reply);
  else if (no_primary && !retry_charge_budget (front))
    retry_answer_over_budget (pending, reply);
  else
    {
      tou_reply_clear (reply);
      front_attempt (pending);
    }
}

static guint64
retry_delay_us (FrontPending *pending)
{
  guint shift = MIN (pending->attempts, FRONT_MAX_DELAY_SHIFT);
  guint64 delay_us = MIN (FRONT_MIN_DELAY_US << shift, FRONT_MAX_DELAY_US);

  return delay_us / 2
         + tou_random_below (&pending->front->ctx->random, delay_us / 2);
}

static void
retry_schedule (FrontPending *pending, TouReply *reply)
{
  TouFront *front = pending->front;
  guint64 retry_at_us = front->ctx->now_us + retry_delay_us (pending);

  if (retry_at_us >= pending->request.deadline_us)
    {
      front_answer (pending, reply);
      return;
    }
  if (!retry_charge_budget (front))
    {
      retry_answer_over_budget (pending, reply);
      return;
    }
  tou_reply_clear (&pending->last_reply);
  pending->last_reply = *reply;
  *reply = (TouReply){ 0 };
  pending->state = FRONT_WAITING;
  pending->retry_at_us = retry_at_us;
}

void
front_handle_reply (FrontPending *pending, TouReply *reply)
{
  if (reply->outcome == TOU_OUTCOME_UNKNOWN)
    pending->may_have_run = TRUE;
  if (reply->outcome == TOU_OUTCOME_DONE)
    front_answer (pending, reply);
  else if (retry_is_refusal (reply)
           && !front_in_transaction (&pending->request))
    retry_next_gate (pending, reply);
  else if (retry_is_transient (reply) && retry_is_safe (&pending->request))
    retry_schedule (pending, reply);
  else
    front_answer (pending, reply);
}

void
front_on_gate_lost (FrontPending *pending)
{
  TouReply reply = { .code = TOU_E_GATE_LOST, .outcome = TOU_OUTCOME_UNKNOWN };

  switch (pending->request.kind)
    {
    case TOU_REQUEST_TXN_STATEMENT:
    case TOU_REQUEST_ROLLBACK:
      /* COMMIT is sent only for a COMMIT request, so nothing has committed. */
      reply.code = TOU_E_TXN_LOST;
      reply.outcome = TOU_OUTCOME_NOT_RUN;
      break;
    case TOU_REQUEST_BEGIN:
      reply.outcome = TOU_OUTCOME_NOT_RUN;
      break;
    case TOU_REQUEST_COMMIT:
    case TOU_REQUEST_STATEMENT:
      break;
    }
  reply.gate = pending->gate;
  front_handle_reply (pending, &reply);
}

void
front_expire (FrontPending *pending)
{
  TouReply reply
      = { .code = TOU_E_UNCONFIRMED, .outcome = TOU_OUTCOME_UNKNOWN };

  if (pending->state == FRONT_WAITING)
    {
      reply = pending->last_reply;
      pending->last_reply = (TouReply){ 0 };
    }
  front_answer (pending, &reply);
}
