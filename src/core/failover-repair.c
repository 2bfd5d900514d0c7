#include "failover-private.h"

/* Time between two FOLLOW operations to one database, and the delay per rank
 * among the observers. */
#define TOU_REPAIR_INTERVAL_US (1 * TOU_US_PER_S)

static void
repair_send_follow (FailoverGroup *group, const TouGroupConfig *config,
                    guint endpoint, guint primary)
{
  TouContext *ctx = group->failover->ctx;
  const TouGroupRecord *record = &group->record;

  if (record->n_history == 0)
    return;
  if (tou_monitor_control (ctx->monitor, config, endpoint, TOU_DB_FOLLOW,
                           record->primary_term, &record->attempt, primary,
                           record->history[record->n_history - 1].start)
      == TOU_OK)
    group->observer->follow_sent_us[endpoint] = ctx->now_us;
}

void
tou_repair_all (FailoverGroup *group, const TouGroupConfig *config)
{
  int primary = tou_group_endpoint_index (config, &group->record.primary);

  if (group->record.state != TOU_RECORD_ACTIVE || primary < 0)
    return;
  for (guint i = 0; i < config->n_endpoints; i++)
    if (i != (guint)primary)
      repair_send_follow (group, config, i, (guint)primary);
}

/* TRUE if a report requested after the record was received shows that the
 * database does not follow the primary, or has no log record of its term. */
static gboolean
repair_is_lagging (const FailoverGroup *group, const TouDbState *db)
{
  const TouGroupRecord *record = &group->record;

  if (!tou_failover_is_reporting (group->failover, db)
      || db->requested_us <= group->record_us)
    return FALSE;
  /* A higher fence term belongs to a claim that is not published yet. */
  if (db->report.fence_term > record->primary_term)
    return FALSE;
  return db->report.role != TOU_ROLE_REPLICA
         || db->report.fence_term < record->primary_term
         || db->report.last.term < record->primary_term;
}

static guint
repair_rank (const FailoverGroup *group, const TouPlacement *placement)
{
  const TouName *own = &group->failover->ctx->settings.node;
  guint rank = 0;

  while (rank < placement->n_observers
         && !tou_name_equal (&placement->observers[rank], own))
    rank++;
  return rank;
}

void
tou_repair_on_tick (FailoverGroup *group, const TouGroupConfig *config,
                    const TouPlacement *placement)
{
  TouContext *ctx = group->failover->ctx;
  FailoverObserver *observer = group->observer;
  int primary = tou_group_endpoint_index (config, &group->record.primary);
  guint64 wait_us = repair_rank (group, placement) * TOU_REPAIR_INTERVAL_US;

  if (group->record.state != TOU_RECORD_ACTIVE || primary < 0)
    return;
  for (guint i = 0; i < config->n_endpoints; i++)
    {
      const TouDbState *db = tou_monitor_db (ctx->monitor, &config->name, i);

      if (i == (guint)primary || !repair_is_lagging (group, db))
        {
          observer->lagging_since_us[i] = 0;
          continue;
        }
      if (observer->lagging_since_us[i] == 0)
        observer->lagging_since_us[i] = ctx->now_us;
      if (ctx->now_us - observer->lagging_since_us[i] >= wait_us
          && (observer->follow_sent_us[i] == 0
              || ctx->now_us - observer->follow_sent_us[i]
                     >= TOU_REPAIR_INTERVAL_US))
        repair_send_follow (group, config, i, (guint)primary);
    }
}
