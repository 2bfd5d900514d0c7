#include "handover.h"

/* A status takes at most two round trips between regions and the wait for a
   slot. */
#define HANDOVER_STATUS_WAIT_US (250 * TOU_US_PER_MS)
/* A replica receives the last commits of a primary that stepped down within its
   usual lag. After this time its replication is regarded as broken. */
#define HANDOVER_CATCH_UP_US (800 * TOU_US_PER_MS)
/* Interval of step-down requests to the old primary. */
#define HANDOVER_STEP_DOWN_INTERVAL_US (50 * TOU_US_PER_MS)
/* A promotion takes 600 ms; after this time the order is repeated. */
#define HANDOVER_PROMOTE_TIMEOUT_US (1500 * TOU_US_PER_MS)
/* Pause after a write that failed or is in doubt. */
#define HANDOVER_RETRY_DELAY_US (200 * TOU_US_PER_MS)
/* Pause before a rejected candidate is considered again. */
#define HANDOVER_REJECTED_DELAY_US (1000 * TOU_US_PER_MS)
/* A new primary may be overloaded at first; suspicions of it are ignored for
   this time. */
#define HANDOVER_SUSPECT_DELAY_US (1000 * TOU_US_PER_MS)

/* Registrations expire during an outage of the store and are renewed within two
   seconds. */
#define HANDOVER_MISSING_GRACE_US (2500 * TOU_US_PER_MS)

/* The nodes of gateways that do not reach a primary use the others. While only
   some of the gateways suspect it, and it answers, it is not replaced: that
   would end all writes, for as long as the store is unavailable meanwhile. */
/* Time for the first answer to arrive, which the leader requests then. */
#define HANDOVER_ANSWER_WAIT_US (200 * TOU_US_PER_MS)
/* An answer counts for this long: several requests and a round trip through a
   gateway that has to be selected first. */
#define HANDOVER_ANSWERED_US (600 * TOU_US_PER_MS)
/* After this time it is replaced although it answers, because fewer gateways
   have fewer connections. */
#define HANDOVER_PARTIAL_US (10 * TOU_US_PER_S)

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
  HandoverStep next;    /* step after a successful write */
  guint64 resume_us;    /* no action before this time */
  guint64 suspected_us; /* since when half of the nodes suspect; 0: fewer */
  guint64 announced_us; /* QUIESCE: when the announcement was adopted */
  guint64 majority_us;  /* QUIESCE: when a majority had acknowledged */
  guint64 quiesced_us;  /* since then no node uses the old primary */
  guint64 ordered_us;
  gboolean step_down_requested;
  gboolean awaits_logs; /* CHOOSE */
  guint64 step_down_us;
  TouName candidate;
  TouName rejected;
  guint64 rejected_us;
};

gboolean
tou_handover_is_registered (guint64 missing_since_us, guint64 now_us)
{
  return missing_since_us == 0
         || now_us < missing_since_us + HANDOVER_MISSING_GRACE_US;
}

gboolean
tou_handover_is_registry_complete (guint64 available_since_us, guint64 now_us)
{
  return now_us >= available_since_us + HANDOVER_MISSING_GRACE_US;
}

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

gboolean
tou_handover_awaits_logs (const TouHandover *handover)
{
  return handover->step == HANDOVER_CHOOSE && handover->awaits_logs;
}

const char *
tou_handover_step_name (const TouHandover *handover)
{
  static const char *const names[]
      = { "idle", "writing", "quiesce", "choose", "ordering", "await" };

  return names[handover->step];
}

static const TouHandoverEndpoint *
handover_find_endpoint (const TouHandoverView *view, const TouName *id)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    if (tou_name_equal (&view->endpoints[i].id, id))
      return &view->endpoints[i];
  return NULL;
}

static gboolean
handover_is_primary (const TouHandoverEndpoint *endpoint, guint64 min_term)
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

/* Writes a record for an endpoint that is primary in a later term than the
   record's. With @a only, other endpoints are ignored, since a repeated order
   may supersede them. */
static gboolean
handover_publish (TouHandover *handover, const TouHandoverView *view,
                  const TouName *only, TouHandoverAction *out)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];
      TouGroupRecord record = { 0 };

      if (!handover_is_primary (endpoint, view->record.term + 1)
          || (only != NULL && !tou_name_equal (&endpoint->id, only)))
        continue;
      record.term = endpoint->term;
      record.primary = endpoint->id;
      handover_write (handover, &record, HANDOVER_IDLE, "promoted", out);
      return TRUE;
    }
  return FALSE;
}

/* Returns the database that leads the recorded term under another id than the
   recorded one, or NULL. Only one database leads a term. */
static const TouHandoverEndpoint *
handover_find_renamed_primary (const TouHandoverView *view)
{
  const TouHandoverEndpoint *recorded
      = handover_find_endpoint (view, &view->record.primary);

  if (recorded != NULL && recorded->usable)
    return NULL;
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];

      /* One without the newest commits has started anew. */
      if (handover_is_primary (endpoint, view->record.term)
          && endpoint->term == view->record.term
          && tou_log_pos_compare (endpoint->received, view->newest) >= 0
          && !tou_name_equal (&endpoint->id, &view->record.primary))
        return endpoint;
    }
  return NULL;
}

/* A primary that crashed may return with its log under another id; its
   promotion would change nothing. Once a candidate is recorded, the promotion
   of that one may have been ordered. */
static gboolean
handover_record_renamed_primary (TouHandover *handover,
                                 const TouHandoverView *view,
                                 TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary = handover_find_renamed_primary (view);
  TouGroupRecord record = { 0 };

  if (primary == NULL || view->record.candidate.len > 0)
    return FALSE;
  record.term = view->record.term;
  record.primary = primary->id;
  handover_write (handover, &record, HANDOVER_IDLE,
                  "primary returned under another id", out);
  return TRUE;
}

/* Without a record, the primary with the highest term is recorded. */
static void
handover_adopt_existing (TouHandover *handover, const TouHandoverView *view,
                         TouHandoverAction *out)
{
  const TouHandoverEndpoint *best = NULL;
  TouGroupRecord record = { 0 };

  for (guint i = 0; i < view->n_endpoints; i++)
    if (handover_is_primary (&view->endpoints[i], 1)
        && (best == NULL || view->endpoints[i].term > best->term))
      best = &view->endpoints[i];
  if (best == NULL)
    return;
  record.term = best->term;
  record.primary = best->id;
  handover_write (handover, &record, HANDOVER_IDLE, "found", out);
}

static gboolean
handover_is_replica (const TouHandoverView *view,
                     const TouHandoverEndpoint *endpoint)
{
  return !tou_name_equal (&endpoint->id, &view->record.primary);
}

static gboolean
handover_may_select (const TouHandoverView *view,
                     const TouHandoverEndpoint *endpoint)
{
  return endpoint->usable && handover_is_replica (view, endpoint)
         && (!endpoint->draining || view->sync_replicas > 0);
}

static gboolean
handover_has_candidate (const TouHandoverView *view)
{
  for (guint i = 0; i < view->n_endpoints; i++)
    if (handover_may_select (view, &view->endpoints[i]))
      return TRUE;
  return FALSE;
}

gboolean
tou_handover_is_partly_suspected (const TouHandoverView *view)
{
  return view->n_observing > 0 && view->n_suspecting > 0
         && view->n_suspecting < view->n_observing;
}

/* TRUE if the primary can be used through gateways that do not suspect it. */
static gboolean
handover_can_route_around (const TouHandover *handover,
                           const TouHandoverView *view, guint64 now_us)
{
  if (!tou_handover_is_partly_suspected (view) || view->primary_answered_us == 0
      || now_us >= handover->suspected_us + HANDOVER_PARTIAL_US)
    return FALSE;
  return now_us < MAX (handover->suspected_us + HANDOVER_ANSWER_WAIT_US,
                       view->primary_answered_us + HANDOVER_ANSWERED_US);
}

static const char *
handover_reason (TouHandover *handover, const TouHandoverView *view,
                 guint64 now_us)
{
  guint n_observing
      = view->n_observing > 0 ? view->n_observing : view->n_reporting;

  if (!view->primary_registered)
    return "primary is gone";
  if (view->primary_draining)
    return "primary is leaving";
  if (view->n_suspecting == 0 || view->n_suspecting * 2 < n_observing)
    {
      handover->suspected_us = 0;
      return NULL;
    }
  if (handover->suspected_us == 0)
    handover->suspected_us = now_us;
  return now_us >= view->record_us + HANDOVER_SUSPECT_DELAY_US
                 && !handover_can_route_around (handover, view, now_us)
             ? "primary does not answer"
             : NULL;
}

static void
handover_idle (TouHandover *handover, const TouHandoverView *view,
               guint64 now_us, TouHandoverAction *out)
{
  const char *reason = handover_reason (handover, view, now_us);
  TouGroupRecord record = view->record;

  if (view->record.revision == 0)
    {
      handover_adopt_existing (handover, view, out);
      return;
    }
  if (handover_record_renamed_primary (handover, view, out))
    return;
  if (view->record.moving)
    {
      handover->step = HANDOVER_QUIESCE;
      handover->announced_us = now_us;
      handover->majority_us = 0;
      handover->step_down_requested = FALSE;
      return;
    }
  /* An announcement ends all writes. A leader that does not reach the voters
     could not complete the change. */
  if (reason == NULL || !view->reaches_voters || !handover_has_candidate (view))
    return;
  record.moving = TRUE;
  record.candidate.len = 0;
  handover_write (handover, &record, HANDOVER_IDLE, reason, out);
}

/* Cancels an announced change if its reason no longer applies and no candidate
   is recorded. Once one is, its promotion may have been ordered. */
static gboolean
handover_cancel (TouHandover *handover, const TouHandoverView *view,
                 guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);
  TouGroupRecord record = view->record;

  if (view->record.candidate.len > 0 || handover->step_down_requested
      || handover_reason (handover, view, now_us) != NULL
      || !handover_is_primary (primary, view->record.term)
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
  handover->step_down_requested = TRUE;
  handover->step_down_us = now_us;
  out->kind = TOU_HANDOVER_STEP_DOWN;
  out->endpoint = primary->id;
  out->reason = "no node uses the old primary";
}

/* Repeats the request, which may be lost or rejected while the database handles
   another one. A primary that has returned under another id is requested as
   well: as a replica, it may be selected. */
static gboolean
handover_repeat_step_down (TouHandover *handover, const TouHandoverView *view,
                           guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);

  if (primary == NULL || !primary->usable)
    primary = handover_find_renamed_primary (view);
  else if (!handover->step_down_requested || primary->role != TOU_ROLE_PRIMARY)
    primary = NULL;
  if (primary == NULL
      || now_us < handover->step_down_us + HANDOVER_STEP_DOWN_INTERVAL_US)
    return FALSE;
  handover_step_down (handover, primary, now_us, out);
  return TRUE;
}

static void
handover_quiesce (TouHandover *handover, const TouHandoverView *view,
                  guint64 now_us, TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);

  if (handover_cancel (handover, view, now_us, out))
    return;
  if (!view->majority_has_record)
    {
      handover->majority_us = 0;
      return;
    }
  if (handover->majority_us == 0)
    handover->majority_us = now_us;
  if ((view->n_quiesced < view->n_nodes || view->nodes_uncertain)
      && now_us < handover->majority_us + TOU_AUTHORITY_VALID_US)
    return;
  handover->quiesced_us = now_us;
  handover->step = HANDOVER_CHOOSE;
  if (primary != NULL && primary->usable)
    handover_step_down (handover, primary, now_us, out);
}

static gboolean
handover_was_rejected (const TouHandover *handover,
                       const TouHandoverEndpoint *endpoint, guint64 now_us)
{
  return tou_name_equal (&endpoint->id, &handover->rejected)
         && now_us < handover->rejected_us + HANDOVER_REJECTED_DELAY_US;
}

/* A draining replica is selected only if no other one has as many commits. */
static gboolean
handover_is_better (const TouHandoverEndpoint *endpoint,
                    const TouHandoverEndpoint *best)
{
  int order = tou_log_pos_compare (endpoint->received, best->received);

  return order > 0 || (order == 0 && best->draining && !endpoint->draining);
}

/* Returns the replica with the highest log position among those that answered
   after quiesced_us. */
static const TouHandoverEndpoint *
handover_best_candidate (const TouHandover *handover,
                         const TouHandoverView *view, guint64 now_us,
                         gboolean *waiting)
{
  const TouHandoverEndpoint *best = NULL;
  const TouHandoverEndpoint *renamed = handover_find_renamed_primary (view);

  *waiting = FALSE;
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];

      if (!handover_may_select (view, endpoint)
          || handover_was_rejected (handover, endpoint, now_us)
          || endpoint == renamed)
        continue;
      if (endpoint->status_us < handover->quiesced_us)
        {
          *waiting = TRUE;
          continue;
        }
      /* Its promotion may already be ordered. */
      if (tou_name_equal (&endpoint->id, &view->record.candidate))
        return endpoint;
      if (best == NULL || handover_is_better (endpoint, best))
        best = endpoint;
    }
  return best;
}

/* Whether a candidate has all acknowledged commits. */
typedef enum
{
  HANDOVER_HAS_ALL,
  HANDOVER_MAY_LACK, /* logs that may have more of them can still return */
  HANDOVER_LACKS     /* none of these logs will return */
} HandoverCompleteness;

/* A commit may have been acknowledged because replicas have received it that
   have not answered since no node uses the old primary. */
static HandoverCompleteness
handover_check_completeness (const TouHandover *handover,
                             const TouHandoverView *view,
                             const TouHandoverEndpoint *best, guint64 now_us)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);
  guint n_unheard = view->n_absent;

  /* One that was not asked to step down has started anew, without its log. */
  if (view->sync_replicas == 0
      || (primary != NULL && primary->usable && handover->step_down_requested
          && primary->status_us >= handover->quiesced_us
          && primary->role == TOU_ROLE_REPLICA
          && tou_log_pos_compare (best->received, primary->received) >= 0))
    return HANDOVER_HAS_ALL;
  if (!view->registry_complete)
    return HANDOVER_MAY_LACK;
  for (guint i = 0; i < view->n_endpoints; i++)
    {
      const TouHandoverEndpoint *endpoint = &view->endpoints[i];

      if (handover_is_replica (view, endpoint)
          && (!endpoint->usable || endpoint->status_us < handover->quiesced_us
              || handover_was_rejected (handover, endpoint, now_us)))
        n_unheard++;
    }
  if (n_unheard < view->sync_replicas)
    return HANDOVER_HAS_ALL;
  return view->primary_ended && n_unheard == view->n_ended ? HANDOVER_LACKS
                                                           : HANDOVER_MAY_LACK;
}

/* Returns TRUE while the old primary has not stepped down, or has commits that
   @a best may still receive. */
static gboolean
handover_must_catch_up (const TouHandover *handover,
                        const TouHandoverView *view,
                        const TouHandoverEndpoint *best, guint64 now_us)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);

  if (primary == NULL || !primary->usable || !handover->step_down_requested
      || now_us >= handover->quiesced_us + HANDOVER_CATCH_UP_US)
    return FALSE;
  return primary->status_us < handover->quiesced_us
         || primary->role == TOU_ROLE_PRIMARY
         || tou_log_pos_compare (best->received, primary->received) < 0;
}

/* The old primary returned while the selection waited. It may have commits that
   no replica has, which these receive once it has stepped down. */
static gboolean
handover_use_returned_primary (TouHandover *handover,
                               const TouHandoverView *view, guint64 now_us,
                               TouHandoverAction *out)
{
  const TouHandoverEndpoint *primary
      = handover_find_endpoint (view, &view->record.primary);

  if (view->sync_replicas == 0 || handover->step_down_requested
      || !handover_is_primary (primary, view->record.term)
      || primary->status_us < handover->quiesced_us)
    return FALSE;
  if (handover_cancel (handover, view, now_us, out))
    return TRUE;
  handover->quiesced_us = now_us;
  handover_step_down (handover, primary, now_us, out);
  return TRUE;
}

static void
handover_choose (TouHandover *handover, const TouHandoverView *view,
                 guint64 now_us, TouHandoverAction *out)
{
  gboolean waiting;
  const TouHandoverEndpoint *best;
  HandoverCompleteness completeness;
  TouGroupRecord record = view->record;

  handover->awaits_logs = FALSE;
  if (handover_publish (handover, view, NULL, out)
      || handover_record_renamed_primary (handover, view, out)
      || handover_use_returned_primary (handover, view, now_us, out)
      || handover_repeat_step_down (handover, view, now_us, out))
    return;
  best = handover_best_candidate (handover, view, now_us, &waiting);
  if (best == NULL
      || (waiting && now_us < handover->quiesced_us + HANDOVER_STATUS_WAIT_US)
      || handover_must_catch_up (handover, view, best, now_us))
    return;
  completeness = handover_check_completeness (handover, view, best, now_us);
  handover->awaits_logs = completeness == HANDOVER_MAY_LACK;
  if (handover->awaits_logs)
    return;
  handover->candidate = best->id;
  record.candidate = best->id;
  handover_write (handover, &record, HANDOVER_ORDERING,
                  completeness == HANDOVER_LACKS
                      ? "candidate; acknowledged commits may be lost"
                      : "candidate",
                  out);
}

static void
handover_order (TouHandover *handover, guint64 now_us, TouHandoverAction *out)
{
  handover->ordered_us = now_us;
  handover->step = HANDOVER_AWAIT;
  out->kind = TOU_HANDOVER_PROMOTE;
  out->endpoint = handover->candidate;
  out->reason = "highest log position";
}

void
tou_handover_step (TouHandover *handover, const TouHandoverView *view,
                   guint64 now_us, TouHandoverAction *out)
{
  out->kind = TOU_HANDOVER_NONE;
  if (now_us < handover->resume_us || handover->step == HANDOVER_WRITING)
    return;
  /* Another node has completed or cancelled the change. */
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
          && now_us >= handover->ordered_us + HANDOVER_PROMOTE_TIMEOUT_US)
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
    handover->resume_us = now_us + HANDOVER_RETRY_DELAY_US;
}

void
tou_handover_ordered (TouHandover *handover, TouHandoverAnswer answer,
                      guint64 now_us)
{
  if (answer != TOU_HANDOVER_REJECTED || handover->step != HANDOVER_AWAIT)
    return;
  handover->rejected = handover->candidate;
  handover->rejected_us = now_us;
  handover->step = HANDOVER_CHOOSE;
}
