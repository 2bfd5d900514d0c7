#include "control-private.h"

#include "revision.h"

/* Pause after a write of a set, or a failed one. */
#define LOGS_RETRY_US (200 * TOU_US_PER_MS)
/* Interval between log lines while a selection waits. */
#define LOGS_REPORT_US TOU_US_PER_S

/* With synchronous replicas, the leader keeps the set of logs in the store that
   may have acknowledged commits. A log is added when its database registers.
   When the database is no longer registered, the log stays until it is
   superseded, and until the database would have registered again if it were
   running. The other nodes follow the set, and continue with it when one of
   them becomes leader. */

void
tou_control_init_logs (ControlLogs *logs)
{
  tou_log_set_create (&logs->known);
  tou_log_set_create (&logs->stored);
  tou_log_set_create (&logs->superseded);
  tou_log_set_create (&logs->checked);
}

void
tou_control_clear_logs (ControlLogs *logs)
{
  tou_log_set_destroy (logs->known);
  tou_log_set_destroy (logs->stored);
  tou_log_set_destroy (logs->superseded);
  tou_log_set_destroy (logs->checked);
}

static TouLog
logs_of_endpoint (const TouEndpoint *endpoint)
{
  TouLog log = { endpoint->info.id, endpoint->info.started_ms };

  return log;
}

static void
logs_copy (TouLogSet *to, const TouLogSet *from)
{
  tou_log_set_clear (to);
  tou_log_set_add_all (to, from);
}

void
tou_control_store_logs (ControlGroup *state, const PlatStoreItem *item)
{
  ControlLogs *logs = &state->logs;
  gboolean restored = tou_revision_era (item->revision)
                      != tou_revision_era (logs->stored_revision);

  if (item->deleted || item->revision <= logs->stored_revision)
    return;
  logs->stored_revision = item->revision;
  if (tou_log_set_decode (logs->stored, &item->value) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_STATE, "group_logs_unreadable",
                 "\"group\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
                 state->group->name.data, item->revision);
      /* The leader writes the known ones in its place. */
      tou_log_set_clear (logs->stored);
      return;
    }
  /* A set that was restored from a copy may lack logs that were added since. */
  if (restored)
    tou_log_set_add_all (logs->known, logs->stored);
  else
    logs_copy (logs->known, logs->stored);
}

/* Returns since when the log's database has been missing from the registry, not
   counting the time before the last outage of the store ended; 0: it is there.
 */
static guint64
logs_missing_since_us (const ControlGroup *state, const TouLog *log)
{
  const TouControl *control = state->control;
  const TouEndpoint *endpoint
      = g_hash_table_lookup (control->proxy->endpoints, &log->endpoint);
  guint64 since_us
      = endpoint != NULL ? endpoint->missing_since_us : control->synced_us;

  return since_us != 0 ? MAX (since_us, control->store_back_us) : 0;
}

/* TRUE if its database has started anew since, with another log. */
static gboolean
logs_was_lost (const ControlGroup *state, const TouLog *log)
{
  const TouEndpoint *endpoint
      = g_hash_table_lookup (state->control->proxy->endpoints, &log->endpoint);

  return endpoint != NULL && endpoint->info.started_ms > log->started_ms;
}

/* TRUE if the log does not exist any more, or will not return as far as the
   registry tells: its database has been missing for the time in which one that
   leaves ends. */
static gboolean
logs_has_ended (const ControlGroup *state, const TouLog *log, guint64 now_us)
{
  guint64 since_us = logs_missing_since_us (state, log);

  return logs_was_lost (state, log)
         || (since_us != 0
             && now_us >= since_us + state->control->proxy->settings.drain_us);
}

static gboolean
logs_is_in_view (const ControlGroup *state, const TouHandoverView *view,
                 const TouLog *log)
{
  const TouEndpoint *endpoint
      = g_hash_table_lookup (state->control->proxy->endpoints, &log->endpoint);

  if (endpoint == NULL || endpoint->info.started_ms != log->started_ms)
    return FALSE;
  for (guint i = 0; i < view->n_endpoints; i++)
    if (tou_name_equal (&view->endpoints[i].id, &log->endpoint))
      return TRUE;
  return FALSE;
}

void
tou_control_fill_logs (const ControlGroup *state, TouHandoverView *view,
                       guint64 now_us)
{
  const TouControl *control = state->control;
  TouLog primary = { view->record.primary, 0 };
  gboolean primary_known = FALSE;

  view->registry_complete = tou_handover_is_registry_complete (
      MAX (control->synced_us, control->store_back_us), now_us);
  view->primary_ended = TRUE;
  for (guint i = 0; i < tou_log_set_size (state->logs.known); i++)
    {
      const TouLog *log = tou_log_set_get (state->logs.known, i);
      gboolean ended = logs_has_ended (state, log, now_us);

      if (tou_name_equal (&log->endpoint, &view->record.primary))
        {
          primary_known = TRUE;
          view->primary_ended = view->primary_ended && ended;
        }
      else if (!logs_is_in_view (state, view, log))
        {
          view->n_absent++;
          view->n_ended += ended;
        }
    }
  if (!primary_known)
    view->primary_ended = logs_has_ended (state, &primary, now_us);
}

/* Adds the logs of the group's registered databases. */
static void
logs_add_registered (const ControlGroup *state, TouLogSet *out)
{
  const TouGroupRecord *record = tou_authority_record (state->group->authority);
  const GPtrArray *endpoints = state->group->endpoints;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      TouLog log = logs_of_endpoint (endpoint);

      if (endpoint->missing_since_us != 0)
        continue;
      /* A recorded primary that has started anew receives nothing until another
         one is promoted. */
      if (tou_name_equal (&log.endpoint, &record->primary)
          && tou_log_set_has_endpoint (out, &log.endpoint))
        continue;
      tou_log_set_add (out, &log);
    }
}

/* Returns the statuses of the registered databases, of TouLogStatus. */
static GArray *
logs_collect_statuses (const ControlGroup *state)
{
  const TouGroupRecord *record = tou_authority_record (state->group->authority);
  const GPtrArray *endpoints = state->group->endpoints;
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (TouLogStatus));

  for (guint i = 0; i < endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      TouLogStatus status;

      if (endpoint->missing_since_us != 0)
        continue;
      status.status_us = endpoint->status_us;
      status.received = endpoint->status.received;
      status.primary = endpoint->status.role == TOU_ROLE_PRIMARY
                       && endpoint->status.term == record->term;
      g_array_append_val (statuses, status);
    }
  return statuses;
}

/* Updates which logs are superseded and which are checked. A check of fewer
   logs does not hold for the others, so it is repeated. */
static void
logs_classify (ControlLogs *logs, const ControlGroup *state, guint64 now_us)
{
  TouLogSet *superseded;
  TouLogSet *checked;

  tou_log_set_create (&superseded);
  tou_log_set_create (&checked);
  for (guint i = 0; i < tou_log_set_size (logs->known); i++)
    {
      const TouLog *log = tou_log_set_get (logs->known, i);

      if (logs_missing_since_us (state, log) == 0
          && !logs_was_lost (state, log))
        continue;
      tou_log_set_add (tou_log_set_contains (logs->superseded, log) ? superseded
                                                                    : checked,
                       log);
    }
  if (!tou_log_set_equal (checked, logs->checked))
    tou_log_check_start (&logs->check, now_us);
  logs_copy (logs->superseded, superseded);
  logs_copy (logs->checked, checked);
  tou_log_set_destroy (superseded);
  tou_log_set_destroy (checked);
}

/* Checks the logs that are not registered and not yet superseded.
   @return TRUE if the databases' statuses are needed for that */
static gboolean
logs_run_check (ControlGroup *state, guint64 now_us)
{
  ControlLogs *logs = &state->logs;
  GArray *statuses;
  gboolean superseded;

  logs_classify (logs, state, now_us);
  if (tou_log_set_size (logs->checked) == 0)
    return FALSE;
  /* During a change of primary, no database is known to have all commits. */
  if (tou_authority_record (state->group->authority)->moving)
    {
      tou_log_check_start (&logs->check, now_us);
      return FALSE;
    }
  statuses = logs_collect_statuses (state);
  superseded = tou_log_check_report (
      &logs->check, (const TouLogStatus *)(gpointer)statuses->data,
      statuses->len, state->group->limits.sync_replicas);
  g_array_unref (statuses);
  if (!superseded)
    return TRUE;
  tou_log_set_add_all (logs->superseded, logs->checked);
  tou_log_set_clear (logs->checked);
  return FALSE;
}

/* TRUE if the log is superseded, and its database has not received commits
   since: a running one would be registered. */
static gboolean
logs_may_remove (const ControlGroup *state, const TouLog *log, guint64 now_us)
{
  guint64 since_us = logs_missing_since_us (state, log);

  return tou_log_set_contains (state->logs.superseded, log)
         && (logs_was_lost (state, log)
             || (since_us != 0
                 && tou_handover_is_registry_complete (since_us, now_us)));
}

/* The logs to store: the known ones that are still needed, and those of
   registered databases. */
static void
logs_select (const ControlGroup *state, TouLogSet *out, guint64 now_us)
{
  const TouLogSet *known = state->logs.known;

  for (guint i = 0; i < tou_log_set_size (known); i++)
    {
      const TouLog *log = tou_log_set_get (known, i);

      if (!logs_may_remove (state, log, now_us))
        tou_log_set_add (out, log);
    }
  logs_add_registered (state, out);
}

/* A set being written. It is used on success, before the watch returns it. */
typedef struct
{
  ControlGroup *state;
  TouLogSet *set;
  guint64 era; /* in which it was sent */
} LogsWrite;

static void
logs_on_written (gpointer user_data, const PlatStoreReply *reply)
{
  LogsWrite *write = user_data;
  ControlLogs *logs = &write->state->logs;

  tou_control_count_reply (write->state->control, reply, "write_logs");
  logs->writing = FALSE;
  logs->retry_after_us = tou_clock_us () + LOGS_RETRY_US;
  if (reply->result == PLAT_STORE_OK
      && tou_revision_era (reply->revision) == write->era
      && reply->revision > logs->stored_revision)
    {
      logs->stored_revision = reply->revision;
      logs_copy (logs->stored, write->set);
      logs_copy (logs->known, write->set);
    }
  tou_log_set_destroy (write->set);
  g_free (write);
}

/* Takes ownership of @a set. */
static void
logs_write (ControlGroup *state, TouLogSet *set)
{
  TouControl *control = state->control;
  ControlLogs *logs = &state->logs;
  char *key = g_strconcat (CONTROL_LOGS_PREFIX, state->group->name.data, NULL);
  char *value = tou_log_set_encode (set);
  guint64 replaced = tou_revision_era (logs->stored_revision) == control->era
                         ? logs->stored_revision
                         : 0;
  PlatStoreCondition conditions[]
      = { { key, replaced }, { CONTROL_LEADER_KEY, control->token } };
  PlatStoreChange change
      = { conditions, G_N_ELEMENTS (conditions), key, value, 0 };
  LogsWrite *write = g_new0 (LogsWrite, 1);

  tou_evlog (TOU_EVLOG_STATE, "group_logs", "\"group\":\"%s\",\"logs\":%s",
             state->group->name.data, value);
  write->state = state;
  write->set = set;
  write->era = control->era;
  logs->writing = TRUE;
  plat_store_change (control->store, &change, logs_on_written, write);
  g_free (key);
  free (value);
}

gboolean
tou_control_run_logs (ControlGroup *state, guint64 now_us)
{
  ControlLogs *logs = &state->logs;
  TouLogSet *next;
  gboolean needs_statuses;

  if (state->group->limits.sync_replicas == 0 || logs->writing
      || now_us < logs->retry_after_us)
    return FALSE;
  needs_statuses = logs_run_check (state, now_us);
  tou_log_set_create (&next);
  logs_select (state, next, now_us);
  /* Logs that are not stored yet count as well. */
  tou_log_set_add_all (logs->known, next);
  if (tou_log_set_equal (next, logs->stored)
      && tou_revision_era (logs->stored_revision) == state->control->era)
    tou_log_set_destroy (next);
  else
    logs_write (state, next);
  return needs_statuses;
}

void
tou_control_reset_logs (ControlGroup *state)
{
  tou_log_set_clear (state->logs.superseded);
  tou_log_set_clear (state->logs.checked);
}

/* Tells why a group has no primary although databases answer. */
void
tou_control_report_logs (ControlGroup *state, const TouHandoverView *view,
                         guint64 now_us)
{
  if (!tou_handover_awaits_logs (state->handover)
      || now_us < state->logs.logged_us + LOGS_REPORT_US)
    return;
  state->logs.logged_us = now_us;
  tou_evlog (TOU_EVLOG_STATE, "handover_waits",
             "\"group\":\"%s\",\"sync_replicas\":%u,\"registry_complete\":%s,"
             "\"absent\":%u,\"ended\":%u,\"primary_ended\":%s",
             state->group->name.data, view->sync_replicas,
             view->registry_complete ? "true" : "false", view->n_absent,
             view->n_ended, view->primary_ended ? "true" : "false");
}
