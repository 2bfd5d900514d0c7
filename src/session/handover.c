#include "handover.h"

/* Statuses arrive within two region round trips and a slot's wait. */
#define HANDOVER_STATUS_WAIT_US (250 * TOU_US_PER_MS)
/* A replica of a primary that stepped down gets the last commits within its
   usual lag; more is a replica that receives nothing. */
#define HANDOVER_CATCH_UP_US (800 * TOU_US_PER_MS)
/* Pause before the old primary is told to step down again. */
#define HANDOVER_STEP_DOWN_US (50 * TOU_US_PER_MS)
/* A promotion takes 600 ms; an order without effect is repeated after this. */
#define HANDOVER_PROMOTE_US (1500 * TOU_US_PER_MS)
/* Pause after a write that failed or is in doubt. */
#define HANDOVER_RETRY_US (200 * TOU_US_PER_MS)
/* Pause before a rejected candidate is tried again. */
#define HANDOVER_REJECTED_US (1000 * TOU_US_PER_MS)
/* A new primary is busy for a moment; it is not suspected before. */
#define HANDOVER_HOLD_US (1000 * TOU_US_PER_MS)

typedef enum
{
  HANDOVER_IDLE,
  HANDOVER_WRITING,
  HANDOVER_QUIESCE,
  HANDOVER_CHOOSE,
  HANDOVER_ORDERING,
  HANDOVER_AWAIT
} HandoverStep;

struct TouHandover
{
  HandoverStep step;
  HandoverStep next;    /* after the write */
  guint64 resume_us;    /* no action before */
  guint64 announced_us; /* QUIESCE: when the announcement was known */
  guint64 majority_us;  /* QUIESCE: when a majority had acknowledged */
  guint64 quiet_us;     /* no node uses the old primary since */
  guint64 ordered_us;
  gboolean step_down_asked;
  guint64 step_down_us;
  TouName candidate;
  TouName rejected;
  guint64 rejected_us;
};

int
tou_handover_create (TouHandover **out)
{
  *out = g_new0 (TouHandover, 1);
  return TOU_OK;
}

void
tou_handover_destroy (TouHandover *handover)
{
  g_free (handover);
}

void
tou_handover_reset (TouHandover *handover)
{
  handover->step = HANDOVER_IDLE;
}

gboolean
tou_handover_is_active (const TouHandover *handover)
{
  return handover->step != HANDOVER_IDLE;
}

const char *
tou_handover_step_name (const TouHandover *handover)
{
  static const char *const names[]
      = { "idle", "writing", "quiesce", "choose", "ordering", "await" };

  return names[handover->step];
}

static const TouHandoverEndpoint *
handover_endpoint (const TouHandoverView *view, const TouName *id)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    if (tou_name_equal (&view->endpoints[i].id, id))
      return &view->endpoints[i];
  return NULL;
}

static gboolean
handover_leads (const TouHandoverEndpoint *endpoint, guint64 min_term)
{
  return endpoint != NULL && endpoint->usable
         && endpoint->role == TOU_ROLE_PRIMARY && endpoint->term >= min_term;
}

static void
handover_write (TouHandover *handover, const TouGroupRecord *record,
                HandoverStep next, const char *reason, TouHandoverAction *out)
{
  handover->step = HANDOVER_WRITING;
  handover->next = next;
  out->kind = TOU_HANDOVER_WRITE;
  out->record = *record;
  out->reason = reason;
}

/* Publishes an endpoint that leads a term after the record's; with @a only,
   just that one: another one's order may be repeated and supersede it. */
static gboolean
handover_publish (TouHandover *handover, const TouHandoverView *view,
                  const TouName *only, TouHandoverAction *out)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];
      TouGroupRecord record = { 0 };

      if (!handover_leads (endpoint, view->record.term + 1)
          || (only != NULL && !tou_name_equal (&endpoint->id, only)))
        continue;
      record.term = endpoint->term;
      record.primary = endpoint->id;
      handover_write (handover, &record, HANDOVER_IDLE, "promoted", out);
      return TRUE;
    }
  return FALSE;
}

/* Without a record, the endpoint that leads the highest term is adopted. */
static void
handover_found (TouHandover *handover, const TouHandoverView *view,
                TouHandoverAction *out)
{
  const TouHandoverEndpoint *best = NULL;
  TouGroupRecord record = { 0 };

  for (guint i = 0; i < view->n_endpoints; i++)
    if (handover_leads (&view->endpoints[i], 1)
        && (best == NULL || view->endpoints[i].term > best->term))
      best = &view->endpoints[i];
  if (best == NULL)
    return;
  record.term = best->term;
  record.primary = best->id;
  handover_write (handover, &record, HANDOVER_IDLE, "found", out);
}

static gboolean
handover_has_candidate (const TouHandoverView *view)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    if (view->endpoints[i].usable
        && !tou_name_equal (&view->endpoints[i].id, &view->record.primary))
      return TRUE;
  return FALSE;
}

static const char *
handover_reason (const TouHandoverView *view, guint64 now_us)
{
  guint n_observing
      = view->n_observing > 0 ? view->n_observing : view->n_reporting;

  if (!view->primary_registered)
    return "primary is gone";
  if (view->primary_draining)
    return "primary is leaving";
  if (view->n_suspecting > 0 && view->n_suspecting * 2 >= n_observing
      && view->n_reporting * 2 > view->n_nodes
      && now_us >= view->record_us + HANDOVER_HOLD_US)
    return "primary does not answer";
  return NULL;
}

static void
handover_idle (TouHandover *handover, const TouHandoverView *view,
               guint64 now_us, TouHandoverAction *out)
{
  const char *reason = handover_reason (view, now_us);
  TouGroupRecord record = view->record;

  if (view->record.revision == 0)
    {
      handover_found (handover, view, out);
      return;
    }
  if (view->record.moving)
    {
      handover->step = HANDOVER_QUIESCE;
      handover->announced_us = now_us;
      handover->majority_us = 0;
      handover->step_down_asked = FALSE;
      return;
    }
  if (reason == NULL || !handover_has_candidate (view))
    return;
  record.moving = TRUE;
  record.candidate.len = 0;
  handover_write (handover, &record, HANDOVER_IDLE, reason, out);
}

/* An announcement whose cause has passed is taken back before a candidate is
   named; after that the promotion may already be ordered. */
static gboolean
handover_take_back (TouHandover *handover, const TouHandoverView *view,
                    guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_endpoint (view, &view->record.primary);
  TouGroupRecord record = view->record;

  if (view->record.candidate.len > 0 || handover->step_down_asked
      || handover_reason (view, now_us) != NULL
      || !handover_leads (primary, view->record.term)
      || primary->status_us < handover->announced_us)
    return FALSE;
  record.moving = FALSE;
  handover_write (handover, &record, HANDOVER_IDLE, "primary answers again",
                  out);
  return TRUE;
}

static void
handover_step_down (TouHandover *handover, const TouHandoverEndpoint *primary,
                    guint64 now_us, TouHandoverAction *out)
{
  handover->step_down_asked = TRUE;
  handover->step_down_us = now_us;
  out->kind = TOU_HANDOVER_STEP_DOWN;
  out->endpoint = primary->id;
  out->reason = "no node uses it";
}

/* The order may be lost, or the database busy with another question. */
static gboolean
handover_step_down_again (TouHandover *handover, const TouHandoverView *view,
                          guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_endpoint (view, &view->record.primary);

  if (!handover->step_down_asked || primary == NULL || !primary->usable
      || primary->role != TOU_ROLE_PRIMARY
      || now_us < handover->step_down_us + HANDOVER_STEP_DOWN_US)
    return FALSE;
  handover_step_down (handover, primary, now_us, out);
  return TRUE;
}

static void
handover_quiesce (TouHandover *handover, const TouHandoverView *view,
                  guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_endpoint (view, &view->record.primary);

  if (handover_take_back (handover, view, now_us, out))
    return;
  if (view->n_acknowledged * 2 <= view->n_nodes)
    {
      handover->majority_us = 0;
      return;
    }
  if (handover->majority_us == 0)
    handover->majority_us = now_us;
  if (view->n_acknowledged < view->n_nodes
      && now_us < handover->majority_us + TOU_AUTHORITY_VALID_US)
    return;
  handover->quiet_us = now_us;
  handover->step = HANDOVER_CHOOSE;
  if (primary != NULL && primary->usable)
    handover_step_down (handover, primary, now_us, out);
}

/* The replica with the newest log among those that answered since. */
static const TouHandoverEndpoint *
handover_best (const TouHandover *handover, const TouHandoverView *view,
               guint64 now_us, gboolean *waiting)
{
  const TouHandoverEndpoint *best = NULL;

  *waiting = FALSE;
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];

      if (!endpoint->usable
          || tou_name_equal (&endpoint->id, &view->record.primary))
        continue;
      if (tou_name_equal (&endpoint->id, &handover->rejected)
          && now_us < handover->rejected_us + HANDOVER_REJECTED_US)
        continue;
      if (endpoint->status_us < handover->quiet_us)
        {
          *waiting = TRUE;
          continue;
        }
      /* Its promotion may be ordered already. */
      if (tou_name_equal (&endpoint->id, &view->record.candidate))
        return endpoint;
      if (best == NULL
          || tou_log_pos_compare (endpoint->received, best->received) > 0)
        best = endpoint;
    }
  return best;
}

/* TRUE while the old primary has not stepped down yet, or has commits that
   @a best lacks and may still get. */
static gboolean
handover_must_catch_up (const TouHandover *handover,
                        const TouHandoverView *view,
                        const TouHandoverEndpoint *best, guint64 now_us)
{
  const TouHandoverEndpoint *primary
      = handover_endpoint (view, &view->record.primary);

  if (primary == NULL || !primary->usable || !handover->step_down_asked
      || now_us >= handover->quiet_us + HANDOVER_CATCH_UP_US)
    return FALSE;
  return primary->status_us < handover->quiet_us
         || primary->role == TOU_ROLE_PRIMARY
         || tou_log_pos_compare (best->received, primary->received) < 0;
}

static void
handover_choose (TouHandover *handover, const TouHandoverView *view,
                 guint64 now_us, TouHandoverAction *out)
{
  gboolean waiting;
  const TouHandoverEndpoint *best;
  TouGroupRecord record = view->record;

  if (handover_publish (handover, view, NULL, out)
      || handover_step_down_again (handover, view, now_us, out))
    return;
  best = handover_best (handover, view, now_us, &waiting);
  if (best == NULL
      || (waiting && now_us < handover->quiet_us + HANDOVER_STATUS_WAIT_US)
      || handover_must_catch_up (handover, view, best, now_us))
    return;
  handover->candidate = best->id;
  record.candidate = best->id;
  handover_write (handover, &record, HANDOVER_ORDERING, "candidate", out);
}

static void
handover_order (TouHandover *handover, guint64 now_us, TouHandoverAction *out)
{
  handover->ordered_us = now_us;
  handover->step = HANDOVER_AWAIT;
  out->kind = TOU_HANDOVER_PROMOTE;
  out->endpoint = handover->candidate;
  out->reason = "newest log";
}

void
tou_handover_step (TouHandover *handover, const TouHandoverView *view,
                   guint64 now_us, TouHandoverAction *out)
{
  out->kind = TOU_HANDOVER_NONE;
  if (now_us < handover->resume_us || handover->step == HANDOVER_WRITING)
    return;
  /* Another node has ended the change. */
  if (handover->step != HANDOVER_IDLE && !view->record.moving)
    tou_handover_reset (handover);
  switch (handover->step)
    {
    case HANDOVER_IDLE:
      handover_idle (handover, view, now_us, out);
      break;
    case HANDOVER_QUIESCE:
      handover_quiesce (handover, view, now_us, out);
      break;
    case HANDOVER_CHOOSE:
      handover_choose (handover, view, now_us, out);
      break;
    case HANDOVER_ORDERING:
      handover_order (handover, now_us, out);
      break;
    case HANDOVER_AWAIT:
      if (!handover_publish (handover, view, &handover->candidate, out)
          && now_us >= handover->ordered_us + HANDOVER_PROMOTE_US)
        handover->step = HANDOVER_CHOOSE;
      break;
    case HANDOVER_WRITING:
      break;
    }
}

void
tou_handover_written (TouHandover *handover, gboolean done, guint64 now_us)
{
  if (handover->step != HANDOVER_WRITING)
    return;
  handover->step = done ? handover->next : HANDOVER_IDLE;
  if (!done)
    handover->resume_us = now_us + HANDOVER_RETRY_US;
}

void
tou_handover_ordered (TouHandover *handover, TouHandoverOrder order,
                      guint64 now_us)
{
  if (order != TOU_HANDOVER_REJECTED || handover->step != HANDOVER_AWAIT)
    return;
  handover->rejected = handover->candidate;
  handover->rejected_us = now_us;
  handover->step = HANDOVER_CHOOSE;
}
