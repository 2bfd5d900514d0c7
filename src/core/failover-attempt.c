#include "failover-private.h"

#include "feed.h"
#include "storeop.h"

#include <xxhash.h>

/* Limit of the exponent of the back-off, which is half a claim timeout times
 * a power of two. */
#define TOU_ATTEMPT_MAX_BACKOFF_SHIFT 3
/* Delay before the write of the active record is repeated. */
#define TOU_ATTEMPT_WRITE_RETRY_US (500 * TOU_US_PER_MS)

static void
attempt_set_phase (FailoverGroup *group, AttemptPhase phase)
{
  group->observer->attempt.phase = phase;
  group->observer->attempt.phase_start_us = group->failover->ctx->now_us;
  for (guint i = 0; i < TOU_GROUP_MAX_ENDPOINTS; i++)
    group->observer->attempt.sent_us[i] = 0;
}

static void
attempt_end (FailoverGroup *group)
{
  tou_store_ops_cancel (group->failover->ctx->store_ops, group);
  group->observer->attempt = (FailoverAttempt){ 0 };
  group->observer->due_since_us = 0;
}

static void
attempt_back_off (FailoverGroup *group, guint shift, int code,
                  const char *reason)
{
  TouContext *ctx = group->failover->ctx;
  FailoverObserver *observer = group->observer;
  guint64 wait_us = (ctx->settings.claim_timeout_us / 2) << shift;

  tou_context_log (ctx, G_LOG_LEVEL_WARNING, code,
                   "group %s: abandoned claim of term %" G_GUINT64_FORMAT
                   ": %s",
                   group->name.data, observer->attempt.term, reason);
  observer->not_before_us
      = ctx->now_us + wait_us + tou_random_below (&ctx->random, wait_us / 2);
  attempt_end (group);
}

void
tou_attempt_abort (FailoverGroup *group, const char *reason)
{
  guint shift = MIN (group->observer->failures, TOU_ATTEMPT_MAX_BACKOFF_SHIFT);

  group->observer->failures++;
  attempt_back_off (group, shift, TOU_E_TERM_CHANGED, reason);
}

void
tou_attempt_on_record (FailoverGroup *group)
{
  FailoverAttempt *attempt = &group->observer->attempt;

  /* The outcome of a claim being written is that of its compare-and-swap. */
  if (attempt->phase == ATTEMPT_NONE || attempt->phase == ATTEMPT_CLAIMING)
    return;
  if (!tou_name_equal (&group->record.attempt, &attempt->id)
      && group->record.revision > attempt->claim_revision)
    tou_attempt_abort (group, "superseded by another claim");
}

static void
attempt_store_key (const FailoverGroup *group, TouStr *out)
{
  tou_str_printf (out, TOU_STORE_PREFIX TOU_RECORD_PREFIX "%s",
                  group->name.data);
}

/* Publishes the record's value in the store to the feed. */
static void
attempt_publish_value (FailoverGroup *group, const TouStr *value,
                       guint64 revision)
{
  TouEntry entry = { .revision = revision };

  tou_str_printf (&entry.key, TOU_RECORD_PREFIX "%s", group->name.data);
  tou_str_copy (&entry.value, value);
  tou_feed_publish (group->failover->ctx->feed, &entry);
  tou_entry_clear (&entry);
}

/* Sends the record directly to all candidates, which is faster than gossip. */
static void
attempt_notify_candidates (FailoverGroup *group, const TouStr *value,
                           guint64 revision)
{
  TouContext *ctx = group->failover->ctx;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);
  const TouPlacement *placement;
  TouStr key;

  if (config == NULL)
    return;
  placement = tou_place_group (ctx->place, config);
  tou_str_printf (&key, TOU_RECORD_PREFIX "%s", group->name.data);
  for (guint i = 0; i < placement->n_candidates; i++)
    {
      TouMessage *message = tou_message_create (TOU_MESSAGE_ENTRIES);

      message->u.entries.from = revision - 1;
      message->u.entries.to = revision;
      tou_entry_list_add (&message->u.entries.entries, key.data, key.len,
                          value->data, value->len, revision);
      tou_context_send (ctx, &placement->candidates[i], message);
    }
  tou_str_clear (&key);
}

static void
attempt_on_written (FailoverGroup *group, guint64 revision)
{
  TouStr value;

  tou_record_format (&value, &group->observer->attempt.record);
  attempt_notify_candidates (group, &value, revision);
  attempt_publish_value (group, &value, revision);
  tou_str_clear (&value);
}

/* Writes the attempt's record; attempt id and state identify the value when
 * the outcome of the write is checked. */
static void
attempt_write_record (FailoverGroup *group, guint64 expected_revision,
                      TouCasFunc func)
{
  FailoverAttempt *attempt = &group->observer->attempt;
  TouStr key;
  TouStr value;
  TouStr marker;

  attempt_store_key (group, &key);
  tou_record_format (&value, &attempt->record);
  tou_str_printf (
      &marker, "\"attempt\":\"%s\",\"state\":\"%s\"", attempt->id.data,
      attempt->record.state == TOU_RECORD_ACTIVE ? "active" : "claimed");
  attempt->writing = TRUE;
  tou_store_ops_cas (group->failover->ctx->store_ops, key.data, &value,
                     expected_revision, 0, marker.data, func, group);
  tou_str_clear (&key);
  tou_str_clear (&value);
  tou_str_clear (&marker);
}

static guint64
attempt_choose_term (const FailoverGroup *group, const TouGroupConfig *config)
{
  guint64 term = MAX (group->record.term, group->observer->highest_term);

  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db
          = tou_monitor_db (group->failover->ctx->monitor, &config->name, i);

      if (db == NULL || !db->reported)
        continue;
      term = MAX (term, db->report.fence_term);
      term = MAX (term, db->report.last.term);
    }
  return term + 1;
}

static void
attempt_on_claimed (gpointer user_data, TouCasOutcome outcome, guint64 revision,
                    const TouStr *current)
{
  FailoverGroup *group = user_data;
  TouContext *ctx = group->failover->ctx;
  FailoverAttempt *attempt = &group->observer->attempt;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);

  attempt->writing = FALSE;
  switch (outcome)
    {
    case TOU_CAS_WRITTEN:
      TOU_COUNT (ctx, CLAIMS);
      attempt->claim_revision = revision;
      attempt_set_phase (group, ATTEMPT_FENCING);
      attempt_on_written (group, revision);
      if (config != NULL)
        tou_attempt_on_tick (group, config);
      break;
    case TOU_CAS_CONFLICT:
      tou_attempt_abort (group, "another claim was written first");
      if (current != NULL)
        attempt_publish_value (group, current, revision);
      break;
    case TOU_CAS_UNKNOWN:
    case TOU_CAS_FAILED:
      /* The back-off is not increased: it would extend beyond the outage. */
      attempt_back_off (group, 0, TOU_E_STORE_DOWN,
                        "the store does not answer");
      break;
    }
}

void
tou_attempt_start (FailoverGroup *group, const TouGroupConfig *config)
{
  TouContext *ctx = group->failover->ctx;
  const TouName *node = &ctx->settings.node;
  FailoverAttempt *attempt = &group->observer->attempt;
  TouStr id;

  *attempt = (FailoverAttempt){ 0 };
  attempt->term = attempt_choose_term (group, config);
  attempt->config_revision = config->revision;
  attempt->avoids_primary = group->observer->replication_stalled;
  tou_str_printf (&id,
                  "%016" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
                  "x.%" G_GINT64_MODIFIER "x",
                  (guint64)XXH3_64bits (node->data, node->len),
                  ctx->settings.incarnation, tou_context_next_id (ctx));
  attempt->id = tou_name (id.data);
  tou_str_clear (&id);
  attempt->record = group->record;
  attempt->record.state = TOU_RECORD_CLAIMED;
  attempt->record.term = attempt->term;
  attempt->record.owner = *node;
  attempt->record.attempt = attempt->id;
  attempt_set_phase (group, ATTEMPT_CLAIMING);
  tou_context_log (ctx, G_LOG_LEVEL_MESSAGE, TOU_OK,
                   "group %s: claiming term %" G_GUINT64_FORMAT,
                   group->name.data, attempt->term);
  attempt_write_record (group, group->record.revision, attempt_on_claimed);
}

/* Sends an operation unless one was sent within the last report interval. */
static void
attempt_send_control (FailoverGroup *group, const TouGroupConfig *config,
                      guint endpoint, TouDbControlOp op)
{
  TouContext *ctx = group->failover->ctx;
  FailoverAttempt *attempt = &group->observer->attempt;
  guint64 sent_us = attempt->sent_us[endpoint];

  if (sent_us != 0 && ctx->now_us - sent_us < ctx->settings.report_interval_us)
    return;
  /* Without a control connection, the next tick retries. */
  if (tou_monitor_control (ctx->monitor, config, endpoint, op, attempt->term,
                           &attempt->id, 0, 0)
      == TOU_OK)
    attempt->sent_us[endpoint] = ctx->now_us;
}

static void
attempt_on_active (gpointer user_data, TouCasOutcome outcome, guint64 revision,
                   const TouStr *current)
{
  FailoverGroup *group = user_data;
  TouContext *ctx = group->failover->ctx;
  FailoverAttempt *attempt = &group->observer->attempt;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);

  attempt->writing = FALSE;
  switch (outcome)
    {
    case TOU_CAS_WRITTEN:
      TOU_COUNT (ctx, PROMOTIONS);
      tou_context_log (ctx, G_LOG_LEVEL_MESSAGE, TOU_OK,
                       "group %s: %s is the primary of term %" G_GUINT64_FORMAT,
                       group->name.data, attempt->record.primary.data,
                       attempt->term);
      attempt_on_written (group, revision);
      group->observer->failures = 0;
      attempt_end (group);
      if (config != NULL)
        tou_repair_all (group, config);
      break;
    case TOU_CAS_CONFLICT:
      tou_attempt_abort (group, "superseded by another claim");
      if (current != NULL)
        attempt_publish_value (group, current, revision);
      break;
    case TOU_CAS_UNKNOWN:
    case TOU_CAS_FAILED:
      attempt->next_write_us = ctx->now_us + TOU_ATTEMPT_WRITE_RETRY_US;
      break;
    }
}

static void
attempt_publish (FailoverGroup *group, const TouGroupConfig *config,
                 guint64 start)
{
  FailoverAttempt *attempt = &group->observer->attempt;

  attempt->record.state = TOU_RECORD_ACTIVE;
  attempt->record.primary = config->endpoints[attempt->target].name;
  attempt->record.primary_term = attempt->term;
  tou_record_add_term (&attempt->record, attempt->term, start);
  attempt_set_phase (group, ATTEMPT_PUBLISHING);
  attempt_write_record (group, attempt->claim_revision, attempt_on_active);
}

static guint
attempt_count (const gboolean *flags, const TouGroupConfig *config)
{
  guint count = 0;

  for (guint i = 0; i < config->n_endpoints; i++)
    count += flags[i] ? 1 : 0;
  return count;
}

/* Returns the most advanced of the chosen databases; ties go to the first. */
static guint
attempt_most_advanced (const FailoverAttempt *attempt,
                       const TouGroupConfig *config, const gboolean *choice)
{
  guint best = config->n_endpoints;

  for (guint i = 0; i < config->n_endpoints; i++)
    if (choice[i]
#ifdef TOU_DEFECT_PROMOTE_LEAST_ADVANCED
        && (best == config->n_endpoints
            || tou_log_pos_compare (attempt->last[i], attempt->last[best]) < 0))
#else
        && (best == config->n_endpoints
            || tou_log_pos_compare (attempt->last[i], attempt->last[best]) > 0))
#endif
      best = i;
  return best;
}

/* Chooses the most advanced fenced database. One that is neither leaving nor
 * a primary with stalled replication is preferred if it is as advanced, or if
 * such databases are a majority by themselves: then they hold every
 * acknowledged write. */
static guint
attempt_choose_target (const FailoverGroup *group, const TouGroupConfig *config)
{
  const FailoverAttempt *attempt = &group->observer->attempt;
  gboolean remains[TOU_GROUP_MAX_ENDPOINTS] = { FALSE };
  guint best = attempt_most_advanced (attempt, config, attempt->granted);
  guint remaining;
  guint64 since_us;

  for (guint i = 0; i < config->n_endpoints; i++)
    remains[i] = attempt->granted[i]
                 && !(attempt->avoids_primary
                      && tou_name_equal (&config->endpoints[i].name,
                                         &group->record.primary))
                 && !tou_failover_is_leaving (group->failover,
                                              &config->endpoints[i], &since_us);
  remaining = attempt_most_advanced (attempt, config, remains);
  if (remaining == config->n_endpoints)
    return best;
  if (attempt_count (remains, config) >= tou_group_majority (config)
      || tou_log_pos_compare (attempt->last[remaining], attempt->last[best])
             == 0)
    return remaining;
  return best;
}

static void
attempt_promote (FailoverGroup *group, const TouGroupConfig *config)
{
  FailoverAttempt *attempt = &group->observer->attempt;

  attempt->target = attempt_choose_target (group, config);
  attempt_set_phase (group, ATTEMPT_PROMOTING);
  attempt_send_control (group, config, attempt->target, TOU_DB_PROMOTE);
}

static void
attempt_tick_fencing (FailoverGroup *group, const TouGroupConfig *config)
{
  const TouContext *ctx = group->failover->ctx;
  FailoverAttempt *attempt = &group->observer->attempt;
  guint n_granted = attempt_count (attempt->granted, config);
  guint n_refused = attempt_count (attempt->refused, config);

  if (n_granted >= tou_group_majority (config))
    {
      if (attempt->majority_us == 0)
        attempt->majority_us = ctx->now_us;
      if (n_granted + n_refused == config->n_endpoints
          || ctx->now_us - attempt->majority_us >= ctx->settings.fence_grace_us)
        {
          attempt_promote (group, config);
          return;
        }
    }
  else if (config->n_endpoints - n_refused < tou_group_majority (config))
    {
      tou_attempt_abort (group, "databases are fenced with a higher term");
      return;
    }
  else if (ctx->now_us - attempt->phase_start_us
           >= ctx->settings.claim_timeout_us)
    {
      tou_attempt_abort (group, "no majority of databases fenced in time");
      return;
    }
  for (guint i = 0; i < config->n_endpoints; i++)
    if (!attempt->granted[i] && !attempt->refused[i])
      attempt_send_control (group, config, i, TOU_DB_FENCE);
}

static void
attempt_tick_promoting (FailoverGroup *group, const TouGroupConfig *config)
{
  const TouContext *ctx = group->failover->ctx;
  FailoverAttempt *attempt = &group->observer->attempt;

  /* At most one database is promoted per term: the chosen one may have run the
   * operation although its answer was lost. */
  if (ctx->now_us - attempt->phase_start_us >= ctx->settings.claim_timeout_us)
    tou_attempt_abort (group, "the database did not confirm its promotion");
  else
    attempt_send_control (group, config, attempt->target, TOU_DB_PROMOTE);
}

void
tou_attempt_on_tick (FailoverGroup *group, const TouGroupConfig *config)
{
  FailoverAttempt *attempt = &group->observer->attempt;

  if (attempt->config_revision != config->revision)
    {
      tou_attempt_abort (group, "the group's configuration changed");
      return;
    }
  switch (attempt->phase)
    {
    case ATTEMPT_FENCING:
      attempt_tick_fencing (group, config);
      break;
    case ATTEMPT_PROMOTING:
      attempt_tick_promoting (group, config);
      break;
    case ATTEMPT_PUBLISHING:
      if (!attempt->writing
          && group->failover->ctx->now_us >= attempt->next_write_us)
        attempt_write_record (group, attempt->claim_revision,
                              attempt_on_active);
      break;
    case ATTEMPT_CLAIMING:
    case ATTEMPT_NONE:
      break;
    }
}

static void
attempt_on_fence (FailoverGroup *group, const TouGroupConfig *config,
                  guint endpoint, gboolean granted, const TouDbReport *report)
{
  FailoverAttempt *attempt = &group->observer->attempt;

  if (report->fence_term > attempt->term)
    attempt->refused[endpoint] = TRUE;
  else if (granted && report->fence_term == attempt->term)
    {
      attempt->granted[endpoint] = TRUE;
      attempt->last[endpoint] = report->last;
    }
  attempt_tick_fencing (group, config);
}

static void
attempt_on_promote (FailoverGroup *group, const TouGroupConfig *config,
                    guint endpoint, gboolean granted, const TouDbReport *report)
{
  const FailoverAttempt *attempt = &group->observer->attempt;

  if (endpoint != attempt->target)
    return;
  if (report->fence_term > attempt->term)
    tou_attempt_abort (group, "the database is fenced with a higher term");
  else if (granted && report->fence_term == attempt->term
           && report->role == TOU_ROLE_PRIMARY)
    attempt_publish (group, config, report->term_start);
}

void
tou_attempt_on_report (FailoverGroup *group, const TouGroupConfig *config,
                       guint endpoint, TouDbControlOp op, gboolean granted,
                       const TouDbReport *report)
{
  FailoverObserver *observer = group->observer;

  observer->highest_term = MAX (observer->highest_term, report->fence_term);
  if (observer->attempt.config_revision != config->revision
      || endpoint >= config->n_endpoints)
    return;
  /* The fence term in the report identifies answers to older attempts. */
  if (op == TOU_DB_FENCE && observer->attempt.phase == ATTEMPT_FENCING)
    attempt_on_fence (group, config, endpoint, granted, report);
  else if (op == TOU_DB_PROMOTE && observer->attempt.phase == ATTEMPT_PROMOTING)
    attempt_on_promote (group, config, endpoint, granted, report);
}
