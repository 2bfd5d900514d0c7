#include "failover-private.h"

#include "feed.h"
#include "gate.h"
#include "storeop.h"

#include <string.h>

/* Age up to which changes of primary extend the hold (design 3.7). */
#define TOU_FAILOVER_CHANGE_WINDOW_US (600 * TOU_US_PER_S)

/* Groups checked per tick for being observed by this proxy. The first check of
 * a group ranks all members, so checking all at once would delay requests. */
#define TOU_FAILOVER_SCAN 128

static const TouGroupRecord no_record;

static void
failover_group_free (gpointer data)
{
  FailoverGroup *group = data;

  g_free (group->observer);
  g_free (group);
}

int
tou_failover_create (TouFailover **out, TouContext *ctx)
{
  TouFailover *failover = g_new0 (TouFailover, 1);

  failover->ctx = ctx;
  failover->last_tick_us = ctx->now_us;
  failover->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                            NULL, failover_group_free);
  failover->observed = g_ptr_array_new ();
  *out = failover;
  return TOU_OK;
}

void
tou_failover_destroy (TouFailover *failover)
{
  if (failover == NULL)
    return;
  g_ptr_array_free (failover->observed, TRUE);
  g_hash_table_destroy (failover->groups);
  g_free (failover);
}

static FailoverGroup *
failover_find (const TouFailover *failover, const TouName *name)
{
  return g_hash_table_lookup (failover->groups, name);
}

static FailoverGroup *
failover_get (TouFailover *failover, const TouName *name)
{
  FailoverGroup *group = failover_find (failover, name);

  if (group != NULL)
    return group;
  group = g_new0 (FailoverGroup, 1);
  group->failover = failover;
  group->name = *name;
  g_hash_table_insert (failover->groups, &group->name, group);
  return group;
}

const TouGroupRecord *
tou_failover_record (const TouFailover *failover, const TouName *name)
{
  const FailoverGroup *group = failover_find (failover, name);

  return group != NULL ? &group->record : &no_record;
}

gboolean
tou_failover_is_reporting (const TouFailover *failover, const TouDbState *db)
{
  const TouContext *ctx = failover->ctx;

  return db != NULL && db->reported
         && ctx->now_us - db->received_us < ctx->settings.suspect_after_us;
}

gboolean
tou_failover_is_leaving (const TouFailover *failover,
                         const TouEndpoint *endpoint, guint64 *since_us)
{
  return tou_feed_is_leaving (failover->ctx->feed, &endpoint->name,
                              &endpoint->address, since_us);
}

/* Adds a change of primary and removes those outside the window. */
static void
failover_add_change (FailoverGroup *group)
{
  guint64 now_us = group->failover->ctx->now_us;
  guint kept = 0;

  for (guint i = 0; i < group->n_changes; i++)
    if (now_us - group->changes_us[i] < TOU_FAILOVER_CHANGE_WINDOW_US)
      group->changes_us[kept++] = group->changes_us[i];
  if (kept == TOU_FAILOVER_MAX_CHANGES)
    {
      kept--;
      memmove (&group->changes_us[0], &group->changes_us[1],
               sizeof group->changes_us[0] * kept);
    }
  group->changes_us[kept++] = now_us;
  group->n_changes = kept;
}

void
tou_failover_apply (TouFailover *failover, const TouEntry *entry)
{
  TouContext *ctx = failover->ctx;
  TouName name = tou_name (entry->key.data + strlen (TOU_RECORD_PREFIX));
  TouGroupRecord record;
  FailoverGroup *group;

  if (tou_record_parse (&record, &entry->value) != TOU_OK)
    {
      tou_context_log (
          ctx, G_LOG_LEVEL_WARNING, TOU_E_CONFIG_INVALID,
          "ignored invalid record %s at revision %" G_GUINT64_FORMAT ": %s",
          entry->key.data, entry->revision, tou_status_message ());
      return;
    }
  group = failover_get (failover, &name);
  if (entry->revision <= group->record.revision)
    return;
  record.revision = entry->revision;
  /* While the feed is not current, the first record read for a group may
   * describe a change of any age. */
  if (record.primary_term > group->record.primary_term
      && (group->record.revision > 0 || tou_feed_is_current (ctx->feed)))
    failover_add_change (group);
  group->record = record;
  group->record_us = ctx->now_us;
  if (group->observer != NULL)
    {
      tou_attempt_on_record (group);
      if (record.state == TOU_RECORD_ACTIVE)
        group->observer->failures = 0;
    }
  tou_gate_on_change (ctx->gate, &group->name);
}

static void
failover_stop_observing (FailoverGroup *group)
{
  tou_store_ops_cancel (group->failover->ctx->store_ops, group);
  g_free (group->observer);
  group->observer = NULL;
}

/* A running attempt continues when this proxy is no longer an observer. */
static gboolean
failover_still_observes (FailoverGroup *group)
{
  TouContext *ctx = group->failover->ctx;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);

  if (config == NULL)
    return FALSE;
  return group->observer->attempt.phase != ATTEMPT_NONE
         || tou_place_is_observer (ctx->place, config);
}

/* Removes groups that this proxy no longer observes. */
static void
failover_prune_observed (TouFailover *failover)
{
  for (guint i = failover->observed->len; i > 0; i--)
    {
      FailoverGroup *group = g_ptr_array_index (failover->observed, i - 1);

      if (failover_still_observes (group))
        continue;
      failover_stop_observing (group);
      g_ptr_array_remove_index (failover->observed, i - 1);
    }
}

/* Checks some of the groups and starts observing those placed here. */
static void
failover_scan (TouFailover *failover)
{
  TouContext *ctx = failover->ctx;
  guint count = tou_config_n_groups (ctx->config);

  failover->scan_left = MIN (failover->scan_left, count);
  for (guint i = 0; i < TOU_FAILOVER_SCAN && failover->scan_left > 0; i++)
    {
      const TouGroupConfig *config
          = tou_config_group_at (ctx->config, failover->scan_next++ % count);
      FailoverGroup *group = failover_find (failover, &config->name);

      failover->scan_left--;
      if ((group != NULL && group->observer != NULL)
          || !tou_place_is_observer (ctx->place, config))
        continue;
      group = failover_get (failover, &config->name);
      group->observer = g_new0 (FailoverObserver, 1);
      g_ptr_array_add (failover->observed, group);
    }
  failover->scan_next = count > 0 ? failover->scan_next % count : 0;
}

static void
failover_tick_group (FailoverGroup *group)
{
  TouContext *ctx = group->failover->ctx;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);
  const TouPlacement *placement;

  if (config == NULL || group->observer == NULL)
    return;
  placement = tou_place_group (ctx->place, config);
  tou_suspicion_on_tick (group, config, placement);
  if (group->observer->attempt.phase != ATTEMPT_NONE)
    tou_attempt_on_tick (group, config);
  else if (tou_suspicion_is_claim_due (group, config, placement))
    tou_attempt_start (group, config);
  tou_repair_on_tick (group, config, placement);
}

void
tou_failover_on_tick (TouFailover *failover)
{
  TouContext *ctx = failover->ctx;
  guint64 live_version = tou_member_live_version (ctx->member);
  guint64 config_version = tou_config_version (ctx->config);

  /* Reports that arrived during a pause of this process are still unread. */
  if (ctx->now_us - failover->last_tick_us >= ctx->settings.suspect_after_us)
    failover->resumed_us = ctx->now_us;
  failover->last_tick_us = ctx->now_us;
  if (live_version != failover->live_version
      || config_version != failover->config_version)
    {
      failover->live_version = live_version;
      failover->config_version = config_version;
      failover_prune_observed (failover);
      /* Another full pass from the current index: a restart at the first group
       * would leave the last ones unobserved during a series of changes. */
      failover->scan_left = tou_config_n_groups (ctx->config);
    }
  if (failover->scan_left > 0)
    failover_scan (failover);
  for (guint i = 0; i < failover->observed->len; i++)
    failover_tick_group (g_ptr_array_index (failover->observed, i));
}

void
tou_failover_on_message (TouFailover *failover, const TouMessage *message)
{
  FailoverGroup *group;

  if (message->type != TOU_MESSAGE_SUSPECT)
    return;
  group = failover_find (failover, &message->u.suspect.group);
  if (group != NULL && group->observer != NULL)
    tou_suspicion_on_message (group, message);
}

void
tou_failover_on_report (TouFailover *failover, const TouGroupConfig *config,
                        guint endpoint, TouDbControlOp op, gboolean granted,
                        const TouDbReport *report)
{
  FailoverGroup *group = failover_find (failover, &config->name);

  if (group != NULL && group->observer != NULL)
    tou_attempt_on_report (group, config, endpoint, op, granted, report);
}
