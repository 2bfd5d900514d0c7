#include "failover-private.h"

#include "feed.h"

/* Observers that must suspect the primary (design 3.7). */
#define TOU_FAILOVER_QUORUM 2
/* Report intervals between repeated announcements of a suspicion. */
#define TOU_FAILOVER_ANNOUNCE_REPORTS 2
/* Report intervals for which an announced suspicion is valid: one of three
 * announcements may be lost. */
#define TOU_FAILOVER_VOTE_REPORTS 6
/* Delay per rank among the observers: two store calls and a margin. */
#define TOU_FAILOVER_RANK_STEP_US (150 * TOU_US_PER_MS)
/* Time between the announcement that a primary is leaving and its planned
 * replacement, so that writes in flight complete (design 3.14). */
#define TOU_FAILOVER_LEAVING_GRACE_US (300 * TOU_US_PER_MS)
/* Time without progress of any replica after which replication is considered
 * stalled. Far above the replicas' usual delay of 20 ms; leaves half of the
 * 1.5 s target for the promotion. */
#define TOU_FAILOVER_STALL_US (750 * TOU_US_PER_MS)
/* Minimum time between a change of primary and one for stalled replication. */
#define TOU_FAILOVER_STALL_HOLD_US (30 * TOU_US_PER_S)
/* Longest hold after a change of primary (design 3.7). */
#define TOU_FAILOVER_MAX_HOLD_US (60 * TOU_US_PER_S)

/* TRUE if no report was received for suspect_after_us. The time starts no
 * earlier than the end of the last pause of this process. */
static gboolean
suspicion_is_report_overdue (const FailoverGroup *group, const TouDbState *db)
{
  const TouContext *ctx = group->failover->ctx;
  guint64 since_us = db->reported ? db->received_us : db->first_attempt_us;

  if (!db->reported && db->first_attempt_us == 0)
    return FALSE;
  since_us = MAX (since_us, group->failover->resumed_us);
  return ctx->now_us >= since_us
         && ctx->now_us - since_us >= ctx->settings.suspect_after_us;
}

/* TRUE if a report requested after the record was received contradicts it. */
static gboolean
suspicion_contradicts_record (const FailoverGroup *group, const TouDbState *db)
{
  const TouGroupRecord *record = &group->record;

  if (!db->reported || db->requested_us <= group->record_us)
    return FALSE;
  return db->report.role != TOU_ROLE_PRIMARY
         || db->report.last.term != record->primary_term
         || db->report.fence_term > record->primary_term;
}

/* TRUE if the primary is leaving and a database that is not leaving can replace
 * it: these are a majority, or one has reached the primary's log position. */
static gboolean
suspicion_can_replace_leaving (const FailoverGroup *group,
                               const TouGroupConfig *config, guint primary,
                               const TouDbState *primary_db)
{
  const TouFailover *failover = group->failover;
  gboolean caught_up = FALSE;
  guint n_remaining = 0;
  guint64 since_us;

  if (!tou_failover_is_leaving (failover, &config->endpoints[primary],
                                &since_us)
      || failover->ctx->now_us - since_us < TOU_FAILOVER_LEAVING_GRACE_US)
    return FALSE;
  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db
          = tou_monitor_db (failover->ctx->monitor, &config->name, i);

      if (!tou_failover_is_reporting (failover, db)
          || tou_failover_is_leaving (failover, &config->endpoints[i],
                                      &since_us))
        continue;
      n_remaining++;
      if (tou_log_pos_compare (db->report.last, primary_db->report.last) >= 0)
        caught_up = TRUE;
    }
  return caught_up || n_remaining >= tou_group_majority (config);
}

/* Counts the databases that have reached the stalled position. */
static guint
suspicion_count_caught_up (const FailoverGroup *group,
                           const TouGroupConfig *config)
{
  const TouLogPos pos = group->observer->stalled_pos;
  guint n_caught_up = 0;

  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db
          = tou_monitor_db (group->failover->ctx->monitor, &config->name, i);

      if (db != NULL && db->reported && db->report.last.term == pos.term
          && db->report.last.position >= pos.position)
        n_caught_up++;
    }
  return n_caught_up;
}

/* TRUE if a replica's log position changed since the last call. */
static gboolean
suspicion_replicas_advanced (FailoverGroup *group, const TouGroupConfig *config,
                             guint primary)
{
  FailoverObserver *observer = group->observer;
  gboolean progress = FALSE;

  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db
          = tou_monitor_db (group->failover->ctx->monitor, &config->name, i);

      if (i == primary || db == NULL || !db->reported
          || tou_log_pos_compare (db->report.last,
                                  observer->stalled_replica_pos[i])
                 == 0)
        continue;
      observer->stalled_replica_pos[i] = db->report.last;
      progress = TRUE;
    }
  return progress;
}

/* TRUE shortly after a change of primary: if replication from the new primary
 * stalls too, the replicas are slow and another change would not help. */
static gboolean
suspicion_changed_recently (const FailoverGroup *group)
{
  return group->n_changes > 0 && group->record.n_history > 1
         && group->failover->ctx->now_us
                    - group->changes_us[group->n_changes - 1]
                < TOU_FAILOVER_STALL_HOLD_US;
}

/* TRUE if the primary has log records that no majority holds and no replica has
 * advanced for TOU_FAILOVER_STALL_US: the primary is partitioned from its group
 * although this proxy reaches it. Replicas that are far behind but advance are
 * not a stall. */
static gboolean
suspicion_is_stalled (FailoverGroup *group, const TouGroupConfig *config,
                      guint primary, const TouDbState *db)
{
  FailoverObserver *observer = group->observer;
  guint64 now_us = group->failover->ctx->now_us;
  gboolean progress = suspicion_replicas_advanced (group, config, primary);

  if (!db->reported || db->report.last.term != group->record.primary_term)
    return FALSE;
  if (observer->last_progress_us == 0
      || suspicion_count_caught_up (group, config)
             >= tou_group_majority (config))
    {
      observer->stalled_pos = db->report.last;
      observer->last_progress_us = now_us;
      return FALSE;
    }
  if (progress)
    observer->last_progress_us = now_us;
  return now_us - observer->last_progress_us >= TOU_FAILOVER_STALL_US
         && !suspicion_changed_recently (group);
}

static gboolean
suspicion_evaluate (FailoverGroup *group, const TouGroupConfig *config)
{
  const TouDbState *db;
  int primary;

  if (group->record.state != TOU_RECORD_ACTIVE)
    return FALSE;
  primary = tou_group_endpoint_index (config, &group->record.primary);
  if (primary < 0)
    return TRUE;
  db = tou_monitor_db (group->failover->ctx->monitor, &config->name,
                       (guint)primary);
  if (db == NULL)
    return FALSE;
  group->observer->replication_stalled
      = suspicion_is_stalled (group, config, (guint)primary, db);
  return group->observer->replication_stalled
         || suspicion_is_report_overdue (group, db)
         || suspicion_contradicts_record (group, db)
         || suspicion_can_replace_leaving (group, config, (guint)primary, db);
}

static void
suspicion_announce (FailoverGroup *group, const TouPlacement *placement)
{
  TouContext *ctx = group->failover->ctx;

  group->observer->announced_us = ctx->now_us;
  for (guint i = 0; i < placement->n_observers; i++)
    {
      TouMessage *message;

      if (tou_name_equal (&placement->observers[i], &ctx->settings.node))
        continue;
      message = tou_message_create (TOU_MESSAGE_SUSPECT);
      message->u.suspect.group = group->name;
      message->u.suspect.term = group->record.term;
      message->u.suspect.suspected = group->observer->suspects;
      tou_context_send (ctx, &placement->observers[i], message);
    }
}

void
tou_suspicion_on_tick (FailoverGroup *group, const TouGroupConfig *config,
                       const TouPlacement *placement)
{
  const TouContext *ctx = group->failover->ctx;
  FailoverObserver *observer = group->observer;
  guint64 repeat_us
      = TOU_FAILOVER_ANNOUNCE_REPORTS * ctx->settings.report_interval_us;
  gboolean suspects = suspicion_evaluate (group, config);
  gboolean changed
      = suspects != observer->suspects
        || (suspects && observer->suspected_term != group->record.term);

  observer->suspects = suspects;
  observer->suspected_term = group->record.term;
  if (changed
      || (suspects && ctx->now_us - observer->announced_us >= repeat_us))
    suspicion_announce (group, placement);
}

static FailoverVote *
suspicion_vote_slot (FailoverObserver *observer, const TouName *node)
{
  FailoverVote *oldest = &observer->votes[0];

  for (guint i = 0; i < TOU_FAILOVER_MAX_VOTES; i++)
    {
      if (tou_name_equal (&observer->votes[i].node, node))
        return &observer->votes[i];
      if (observer->votes[i].updated_us < oldest->updated_us)
        oldest = &observer->votes[i];
    }
  return oldest;
}

void
tou_suspicion_on_message (FailoverGroup *group, const TouMessage *message)
{
  FailoverVote *vote = suspicion_vote_slot (group->observer, &message->from);

  vote->node = message->from;
  vote->term = message->u.suspect.term;
  vote->suspected = message->u.suspect.suspected;
  vote->updated_us = group->failover->ctx->now_us;
}

static gboolean
suspicion_is_suspecting (const FailoverGroup *group,
                         const TouName *observer_name)
{
  const TouContext *ctx = group->failover->ctx;
  const FailoverObserver *observer = group->observer;
  guint64 validity_us
      = TOU_FAILOVER_VOTE_REPORTS * ctx->settings.report_interval_us;

  if (tou_name_equal (observer_name, &ctx->settings.node))
    return observer->suspects;
  for (guint i = 0; i < TOU_FAILOVER_MAX_VOTES; i++)
    {
      const FailoverVote *vote = &observer->votes[i];

      if (tou_name_equal (&vote->node, observer_name))
        return vote->suspected && vote->term == group->record.term
               && ctx->now_us - vote->updated_us < validity_us;
    }
  return FALSE;
}

/* TRUE during the hold after the last change of primary. */
static gboolean
suspicion_is_hold_active (const FailoverGroup *group)
{
  const TouContext *ctx = group->failover->ctx;
  guint64 hold_us = ctx->settings.failover_hold_us;

  if (group->n_changes == 0)
    return FALSE;
  hold_us = MIN (hold_us << (group->n_changes - 1), TOU_FAILOVER_MAX_HOLD_US);
  return ctx->now_us - group->changes_us[group->n_changes - 1] < hold_us;
}

/* TRUE if enough observers suspect the primary. Sets @a rank to this proxy's
 * rank among the suspecting observers. */
static gboolean
suspicion_has_quorum (const FailoverGroup *group, const TouPlacement *placement,
                      guint *rank)
{
  const TouName *own = &group->failover->ctx->settings.node;
  guint n_suspecting = 0;

  for (guint i = 0; i < placement->n_observers; i++)
    {
      if (!suspicion_is_suspecting (group, &placement->observers[i]))
        continue;
      if (tou_name_equal (&placement->observers[i], own))
        *rank = n_suspecting;
      n_suspecting++;
    }
  if (!group->observer->suspects || n_suspecting < TOU_FAILOVER_QUORUM)
    return FALSE;
  return n_suspecting == placement->n_observers
         || !suspicion_is_hold_active (group);
}

static gboolean
suspicion_is_due (const FailoverGroup *group, const TouPlacement *placement,
                  guint *rank)
{
  const TouContext *ctx = group->failover->ctx;

  *rank = 0;
  while (*rank < placement->n_observers
         && !tou_name_equal (&placement->observers[*rank], &ctx->settings.node))
    (*rank)++;
  if (*rank == placement->n_observers)
    return FALSE;
  switch (group->record.state)
    {
    case TOU_RECORD_NONE:
      return tou_feed_is_current (ctx->feed);
    case TOU_RECORD_CLAIMED:
      return ctx->now_us - group->record_us >= ctx->settings.claim_timeout_us;
    case TOU_RECORD_ACTIVE:
      break;
    }
  return suspicion_has_quorum (group, placement, rank);
}

/* An observer that cannot reach a majority of databases cannot fence one. */
static gboolean
suspicion_reaches_majority (const FailoverGroup *group,
                            const TouGroupConfig *config)
{
  guint n_reporting = 0;

  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db
          = tou_monitor_db (group->failover->ctx->monitor, &config->name, i);

      if (tou_failover_is_reporting (group->failover, db))
        n_reporting++;
    }
  return n_reporting >= tou_group_majority (config);
}

gboolean
tou_suspicion_is_claim_due (FailoverGroup *group, const TouGroupConfig *config,
                            const TouPlacement *placement)
{
  guint64 now_us = group->failover->ctx->now_us;
  FailoverObserver *observer = group->observer;
  guint rank;

  if (!suspicion_is_due (group, placement, &rank)
      || !suspicion_reaches_majority (group, config))
    {
      observer->due_since_us = 0;
      return FALSE;
    }
  if (observer->due_since_us == 0)
    observer->due_since_us = now_us;
  return now_us >= observer->not_before_us
         && now_us - observer->due_since_us >= rank * TOU_FAILOVER_RANK_STEP_US;
}
