#include "monitor-link.h"

#include "failover.h"
#include "feed.h"
#include "gate.h"
#include "place.h"

#include <string.h>

/* Time after its last poll for which a group not placed here stays monitored:
   requests may be sent to a later candidate for its gate. */
#define TOU_MONITOR_POLL_RETENTION_US (10 * TOU_US_PER_S)
/* Minimum time between the starts of two rounds of a group. Below the round
   trip to any database; prevents an endless loop of rounds with an endpoint
   that answers immediately. */
#define TOU_MONITOR_MIN_ROUND_INTERVAL_US 100
/* Groups checked per tick for being placed here; limits the time of a step. */
#define TOU_MONITOR_SCAN_PER_TICK 256

/* A monitored group. */
typedef struct
{
  TouName name;
  guint n_links;
  TouMonitorLink links[TOU_GROUP_MAX_ENDPOINTS];
  TouIndex *index;
  gboolean placed; /* this proxy is its gate or observer */
  guint64 polled_us;
  gboolean round_running;
  gboolean round_requested;
  guint64 round_started_us;
} MonitorGroup;

/* Group and endpoint of a connection. */
typedef struct
{
  MonitorGroup *group;
  guint endpoint;
} MonitorConn;

struct TouMonitor
{
  TouContext *ctx;
  GHashTable *groups; /* TouName in the value -> MonitorGroup */
  GHashTable *conns;  /* connection id -> MonitorConn */
  guint scan_left;    /* groups left to check in this pass */
  guint scan_next;    /* index of the next group to check */
};

static void
monitor_group_destroy (gpointer data)
{
  MonitorGroup *group = data;

  tou_index_destroy (group->index);
  g_free (group);
}

int
tou_monitor_create (TouMonitor **out, TouContext *ctx)
{
  TouMonitor *monitor = g_new0 (TouMonitor, 1);

  monitor->ctx = ctx;
  monitor->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                           NULL, monitor_group_destroy);
  monitor->conns
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  *out = monitor;
  return TOU_OK;
}

void
tou_monitor_destroy (TouMonitor *monitor)
{
  if (monitor == NULL)
    return;
  g_hash_table_destroy (monitor->conns);
  g_hash_table_destroy (monitor->groups);
  g_free (monitor);
}

static MonitorGroup *
monitor_find (const TouMonitor *monitor, const TouName *name)
{
  return g_hash_table_lookup (monitor->groups, name);
}

static void
monitor_try_open (TouMonitor *monitor, MonitorGroup *group, guint endpoint)
{
  TouMonitorLink *link = &group->links[endpoint];
  MonitorConn *owner;
  guint64 *key;

  if (!tou_link_try_open (link, monitor->ctx))
    return;
  key = g_new (guint64, 1);
  *key = link->conn;
  owner = g_new (MonitorConn, 1);
  *owner = (MonitorConn){ .group = group, .endpoint = endpoint };
  g_hash_table_insert (monitor->conns, key, owner);
}

static MonitorGroup *
monitor_add (TouMonitor *monitor, const TouGroupConfig *config)
{
  MonitorGroup *group = g_new0 (MonitorGroup, 1);

  group->name = config->name;
  group->n_links = config->n_endpoints;
  if (tou_index_create (&group->index, group->n_links) != TOU_OK)
    {
      g_free (group);
      return NULL;
    }
  g_hash_table_insert (monitor->groups, &group->name, group);
  for (guint i = 0; i < group->n_links; i++)
    {
      tou_link_init (&group->links[i], monitor->ctx, &config->endpoints[i]);
      monitor_try_open (monitor, group, i);
    }
  return group;
}

/* Closes the connections; the caller removes the group from the table. */
static void
monitor_close_links (TouMonitor *monitor, MonitorGroup *group)
{
  for (guint i = 0; i < group->n_links; i++)
    {
      g_hash_table_remove (monitor->conns, &group->links[i].conn);
      tou_link_close (&group->links[i], monitor->ctx);
    }
}

static gboolean
monitor_matches_config (const MonitorGroup *group, const TouGroupConfig *config)
{
  if (config == NULL || config->n_endpoints != group->n_links)
    return FALSE;
  for (guint i = 0; i < group->n_links; i++)
    if (!tou_name_equal (&config->endpoints[i].name,
                         &group->links[i].endpoint.name)
        || !tou_name_equal (&config->endpoints[i].address,
                            &group->links[i].endpoint.address))
      return FALSE;
  return TRUE;
}

static gboolean
monitor_is_used (const TouMonitor *monitor, const MonitorGroup *group)
{
  return group->placed
         || (group->polled_us > 0
             && monitor->ctx->now_us
                    < group->polled_us + TOU_MONITOR_POLL_RETENTION_US);
}

/* Removes groups whose configuration was removed or changed. With
   @a include_unused, also removes those neither placed here nor polled
   recently. */
static void
monitor_remove_groups (TouMonitor *monitor, gboolean include_unused)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, monitor->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      MonitorGroup *group = value;
      const TouGroupConfig *config
          = tou_config_group (monitor->ctx->config, &group->name);

      if (monitor_matches_config (group, config)
          && (!include_unused || monitor_is_used (monitor, group)))
        continue;
      monitor_close_links (monitor, group);
      g_hash_table_iter_remove (&iter);
    }
}

static void
monitor_scan_group (TouMonitor *monitor, const TouGroupConfig *config)
{
  TouContext *ctx = monitor->ctx;
  MonitorGroup *group = monitor_find (monitor, &config->name);
  gboolean placed = tou_place_is_gate (ctx->place, config)
                    || tou_place_is_observer (ctx->place, config);

  if (group == NULL && placed)
    group = monitor_add (monitor, config);
  if (group != NULL)
    group->placed = placed;
}

/* Checks some of the groups for being placed here; there may be thousands. */
static void
monitor_scan (TouMonitor *monitor)
{
  TouContext *ctx = monitor->ctx;
  guint count = tou_config_n_groups (ctx->config);

  /* A starting proxy has an incomplete member table and would compute itself
     as gate and observer of most groups. */
  if (!tou_feed_is_current (ctx->feed))
    return;
  monitor->scan_left = MIN (monitor->scan_left, count);
  for (guint i = 0; i < TOU_MONITOR_SCAN_PER_TICK && monitor->scan_left > 0;
       i++)
    {
      monitor->scan_next %= count;
      monitor_scan_group (
          monitor, tou_config_group_at (ctx->config, monitor->scan_next));
      monitor->scan_next++;
      monitor->scan_left--;
    }
}

/* Starts another full pass from the current index: a restart at the first
   group would never reach the last ones while a failed rack causes a series of
   changes. */
void
tou_monitor_on_change (TouMonitor *monitor)
{
  monitor_remove_groups (monitor, FALSE);
  monitor->scan_left = tou_config_n_groups (monitor->ctx->config);
}

/* The gate may call back into the monitor and change its groups, so the name is
   passed by value. */
static void
monitor_notify_gate (TouMonitor *monitor, TouName name)
{
  tou_gate_on_change (monitor->ctx->gate, &name);
}

static void
monitor_link_failed (TouMonitor *monitor, MonitorGroup *group, guint endpoint)
{
  g_hash_table_remove (monitor->conns, &group->links[endpoint].conn);
  tou_link_fail (&group->links[endpoint], monitor->ctx);
}

static void
monitor_start_round (TouMonitor *monitor, MonitorGroup *group)
{
  group->round_requested = FALSE;
  group->round_running = TRUE;
  group->round_started_us = monitor->ctx->now_us;
  for (guint i = 0; i < group->n_links; i++)
    tou_link_report (&group->links[i], monitor->ctx);
}

/* A round ends when a majority has answered requests sent since its start, or
   when no request that could be answered is running. */
static void
monitor_check_round (TouMonitor *monitor, MonitorGroup *group)
{
  guint answered = 0;
  guint running = 0;

  for (guint i = 0; i < group->n_links; i++)
    {
      const TouMonitorLink *link = &group->links[i];

      if (link->state.reported
          && link->state.requested_us >= group->round_started_us)
        answered++;
      else if (link->sequence != 0)
        running++;
    }
  if (answered > group->n_links / 2 || running == 0)
    group->round_running = FALSE;
  if (!group->round_running && group->round_requested
      && monitor->ctx->now_us
             >= group->round_started_us + TOU_MONITOR_MIN_ROUND_INTERVAL_US)
    monitor_start_round (monitor, group);
}

void
tou_monitor_poll (TouMonitor *monitor, const TouName *name)
{
  MonitorGroup *group = monitor_find (monitor, name);
  const TouGroupConfig *config;

  if (group == NULL)
    {
      config = tou_config_group (monitor->ctx->config, name);
      group = config != NULL ? monitor_add (monitor, config) : NULL;
    }
  if (group == NULL)
    return;
  group->polled_us = monitor->ctx->now_us;
  group->round_requested = TRUE;
  monitor_check_round (monitor, group);
}

static void
monitor_tick_group (TouMonitor *monitor, MonitorGroup *group)
{
  TouContext *ctx = monitor->ctx;
  gboolean changed = FALSE;

  for (guint i = 0; i < group->n_links; i++)
    {
      TouMonitorLink *link = &group->links[i];

      if (tou_link_timed_out (link, ctx))
        {
          tou_context_log (ctx, G_LOG_LEVEL_WARNING, TOU_E_CONNECTION_LOST,
                           "control request to endpoint %s timed out",
                           link->endpoint.name.data);
          monitor_link_failed (monitor, group, i);
          changed = TRUE;
        }
      monitor_try_open (monitor, group, i);
      if (link->state.connected && link->sequence == 0
          && ctx->now_us >= link->next_report_us)
        tou_link_report (link, ctx);
    }
  monitor_check_round (monitor, group);
  if (changed)
    monitor_notify_gate (monitor, group->name);
}

void
tou_monitor_on_tick (TouMonitor *monitor)
{
  GList *groups;

  monitor_scan (monitor);
  if (monitor->scan_left == 0)
    monitor_remove_groups (monitor, TRUE);
  /* A notification of the gate may add a group, which would invalidate an
     iterator of the table. */
  groups = g_hash_table_get_values (monitor->groups);
  for (GList *item = groups; item != NULL; item = item->next)
    monitor_tick_group (monitor, item->data);
  g_list_free (groups);
}

static gboolean
monitor_on_closed (TouMonitor *monitor, guint64 conn, gboolean refused,
                   const TouStr *message)
{
  const MonitorConn *owner = g_hash_table_lookup (monitor->conns, &conn);
  MonitorGroup *group;
  guint endpoint;

  if (owner == NULL)
    return FALSE;
  group = owner->group;
  endpoint = owner->endpoint;
  if (refused)
    TOU_COUNT (monitor->ctx, CONNECTIONS_REFUSED);
  tou_context_log (monitor->ctx, G_LOG_LEVEL_INFO, TOU_E_CONNECTION_LOST,
                   "control connection to endpoint %s closed: %s",
                   group->links[endpoint].endpoint.name.data,
                   message->data != NULL ? message->data : "no reason given");
  monitor_link_failed (monitor, group, endpoint);
  monitor_check_round (monitor, group);
  monitor_notify_gate (monitor, group->name);
  return TRUE;
}

static gboolean
monitor_on_report (TouMonitor *monitor, const TouEvent *event)
{
  TouContext *ctx = monitor->ctx;
  guint64 conn = event->u.db_report.conn;
  const MonitorConn *owner = g_hash_table_lookup (monitor->conns, &conn);
  const TouDbReport *report = &event->u.db_report.report;
  const TouGroupConfig *config;
  TouMonitorLink *link;
  MonitorGroup *group;
  TouDbControlOp op;
  TouName name;
  guint endpoint;

  if (owner == NULL)
    return FALSE;
  group = owner->group;
  name = group->name;
  endpoint = owner->endpoint;
  link = &group->links[endpoint];
  if (link->sequence == 0 || link->sequence != event->u.db_report.sequence)
    {
      TOU_COUNT (ctx, LATE_REPLIES);
      return TRUE;
    }
  op = link->op;
  tou_index_on_report (group->index, endpoint, link->sent_us, ctx->now_us,
                       report);
  tou_link_answered (link, ctx, report);
  monitor_check_round (monitor, group);
  config = tou_config_group (ctx->config, &name);
  if (config != NULL)
    tou_failover_on_report (ctx->failover, config, endpoint, op,
                            event->u.db_report.granted, report);
  monitor_notify_gate (monitor, name);
  return TRUE;
}

static gboolean
monitor_on_opened (TouMonitor *monitor, guint64 conn)
{
  const MonitorConn *owner = g_hash_table_lookup (monitor->conns, &conn);

  if (owner == NULL)
    return FALSE;
  tou_link_opened (&owner->group->links[owner->endpoint], monitor->ctx);
  return TRUE;
}

gboolean
tou_monitor_on_event (TouMonitor *monitor, const TouEvent *event)
{
  switch (event->type)
    {
    case TOU_EVENT_DB_OPENED:
      return monitor_on_opened (monitor, event->u.db_opened.conn);
    case TOU_EVENT_DB_CLOSED:
      return monitor_on_closed (monitor, event->u.db_closed.conn,
                                event->u.db_closed.refused,
                                &event->u.db_closed.message);
    case TOU_EVENT_DB_REPORT:
      return monitor_on_report (monitor, event);
    default:
      return FALSE;
    }
}

const TouDbState *
tou_monitor_db (const TouMonitor *monitor, const TouName *name, guint endpoint)
{
  const MonitorGroup *group = monitor_find (monitor, name);

  if (group == NULL || endpoint >= group->n_links)
    return NULL;
  return &group->links[endpoint].state;
}

TouIndex *
tou_monitor_index (TouMonitor *monitor, const TouName *name)
{
  const MonitorGroup *group = monitor_find (monitor, name);

  return group != NULL ? group->index : NULL;
}

int
tou_monitor_control (TouMonitor *monitor, const TouGroupConfig *config,
                     guint endpoint, TouDbControlOp op, guint64 term,
                     const TouName *attempt, guint primary, guint64 start)
{
  MonitorGroup *group = monitor_find (monitor, &config->name);
  TouControlRequest request = { .op = op, .term = term, .start = start };

  if (group == NULL || endpoint >= group->n_links || primary >= group->n_links)
    return tou_status_set (TOU_E_NO_ENDPOINT, "group %s is not monitored",
                           config->name.data);
  if (attempt != NULL)
    request.attempt = *attempt;
  if (op == TOU_DB_FOLLOW)
    {
      request.primary_endpoint = group->links[primary].endpoint.name;
      request.primary_address = group->links[primary].endpoint.address;
    }
  return tou_link_control (&group->links[endpoint], monitor->ctx, &request);
}
