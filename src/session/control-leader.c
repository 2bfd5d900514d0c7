#include "control-private.h"

#include "revision.h"

#include <string.h>

/* A new leader waits until the previous leader's requests have arrived. */
#define CONTROL_TAKEOVER_DELAY_US (250 * TOU_US_PER_MS)
/* Interval of status requests during a change of primary. */
#define CONTROL_STATUS_INTERVAL_US (50 * TOU_US_PER_MS)
/* Interval of status requests while some gateways suspect the primary. */
#define CONTROL_SUSPECT_INTERVAL_US (100 * TOU_US_PER_MS)
/* Interval of step-down requests to a former primary. */
#define CONTROL_STEP_DOWN_INTERVAL_US (300 * TOU_US_PER_MS)
/* The registry updates a role some time after the promotion. A recorded primary
   that is registered as a replica is accepted for this long. */
#define CONTROL_ROLE_DELAY_US (3 * TOU_US_PER_S)
/* Interval of status requests that show which logs are no longer needed. */
#define CONTROL_LOG_CHECK_INTERVAL_US (500 * TOU_US_PER_MS)

static void
control_fill_endpoint (TouHandoverEndpoint *out, const TouEndpoint *endpoint)
{
  memset (out, 0, sizeof *out);
  out->id = endpoint->info.id;
  out->usable = !endpoint->removed && endpoint->unreachable_since_us == 0;
  out->draining = endpoint->info.draining;
  out->role = endpoint->status.role;
  out->term = endpoint->status.term;
  out->received = endpoint->status.received;
  out->status_us = endpoint->status_us;
}

/* Members of the panel stop to prove the old record when they adopt the new
   one. */
static gboolean
control_majority_has_record (const ControlGroup *state)
{
  const TouControl *control = state->control;
  TouPanelVotes votes;

  tou_peers_count_votes (&votes, control->peers, state->group);
  return tou_panel_has_majority (&control->proxy->panel, &votes);
}

/* The members of the panel and this node request statuses and positions; the
   results of the former arrive with heartbeats. */
static guint64
control_primary_answered_us (const TouGroup *group, const TouEndpoint *primary)
{
  const TouSqlStatus *status = &primary->status;
  guint64 term = tou_authority_record (group->authority)->term;

  return MAX (tou_freshness_newest_us (group->freshness),
              status->role == TOU_ROLE_PRIMARY && status->term >= term
                  ? primary->status_us
                  : 0);
}

static void
control_fill_view (ControlGroup *state, TouHandoverView *out, guint64 now_us)
{
  TouControl *control = state->control;
  TouGroup *group = state->group;
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  memset (out, 0, sizeof *out);
  out->record = *tou_authority_record (group->authority);
  out->primary_registered = tou_handover_is_registered (
      primary != NULL ? primary->missing_since_us
                      : MAX (group->adopted_us, control->synced_us),
      now_us);
  if (primary != NULL)
    {
      if (primary->removed)
        out->primary_registered = FALSE;
      /* A database that restarted under the same id is a replica. */
      if (primary->info.role == TOU_ROLE_REPLICA
          && now_us >= MAX (state->group->adopted_us,
                            control->restore.era_since_us)
                           + CONTROL_ROLE_DELAY_US)
        out->primary_registered = FALSE;
      out->primary_draining = primary->info.draining;
    }
  out->record_us = state->group->adopted_us;
  out->sync_replicas = group->limits.sync_replicas;
  out->n_nodes = control->proxy->n_nodes;
  out->reaches_voters = tou_control_reaches_voters (control, now_us);
  out->n_reporting = 1 + tou_peers_count_reporting (control->peers, now_us);
  if (primary != NULL)
    {
      out->n_observing = MIN (primary->n_gateways, out->n_reporting);
      out->primary_answered_us = control_primary_answered_us (group, primary);
    }
  out->n_suspecting
      = (primary != NULL && tou_endpoint_is_suspect (primary))
        + tou_peers_count_suspecting (control->peers, group, now_us);
  out->n_quiesced = tou_group_is_quiesced (group, now_us)
                    + tou_peers_count_quiesced (control->peers, group,
                                                out->record.revision);
  /* Nodes that registered or were removed lately may use the old primary. */
  out->nodes_uncertain
      = control->follow.revision < out->record.revision
        || !tou_peers_ignore_removed (control->peers)
        || (control->removed_us != 0
            && now_us < control->removed_us + TOU_AUTHORITY_REMOVE_US);
  out->majority_has_record = control_majority_has_record (state);
  g_array_set_size (state->endpoints, 0);
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);
      TouHandoverEndpoint entry;

      if (tou_log_pos_compare (endpoint->newest_pos, out->newest) > 0)
        out->newest = endpoint->newest_pos;
      if (endpoint->removed)
        continue;
      control_fill_endpoint (&entry, endpoint);
      g_array_append_val (state->endpoints, entry);
    }
  out->n_endpoints = state->endpoints->len;
  out->endpoints
      = (const TouHandoverEndpoint *)(gpointer)state->endpoints->data;
  tou_control_fill_logs (state, out, now_us);
}

/* A record being written. It is adopted on success, before the watch returns
   it. */
typedef struct
{
  ControlGroup *state;
  TouGroupRecord record;
  guint64 era; /* in which it was sent */
} ControlWrite;

static void
control_on_record_written (gpointer user_data, const PlatStoreReply *reply)
{
  ControlWrite *write = user_data;
  ControlGroup *state = write->state;
  gboolean done = reply->result == PLAT_STORE_OK
                  && tou_revision_era (reply->revision) == write->era;

  tou_control_count_reply (state->control, reply, "write_record");
  if (done)
    {
      write->record.revision = reply->revision;
      tou_control_store_record (state, &write->record);
      tou_authority_prove_by_store (state->group->authority, reply->revision,
                                    reply->sent_us);
    }
  tou_evlog (TOU_EVLOG_STATE, "handover_written",
             "\"group\":\"%s\",\"result\":%d,\"revision\":%" G_GUINT64_FORMAT,
             state->group->name.data, (int)reply->result, reply->revision);
  tou_handover_written (state->handover, done, tou_clock_us ());
  g_free (write);
}

static void
control_write_record (ControlGroup *state, const TouHandoverAction *action)
{
  TouControl *control = state->control;
  const TouGroupRecord *current
      = tou_authority_record (state->group->authority);
  char *key = g_strconcat (CONTROL_GROUP_PREFIX, state->group->name.data, NULL);
  char *value = tou_record_encode (&action->record);
  /* The write fails unless this node still has the leader key, so only the
     leader sends the promotion request that follows it, and unless the panel
     whose majority it waited for is the current one. */
  PlatStoreCondition conditions[]
      = { { key, current->revision },
          { CONTROL_LEADER_KEY, control->token },
          { CONTROL_PANEL_KEY, control->proxy->panel.revision } };
  PlatStoreChange change
      = { conditions, G_N_ELEMENTS (conditions), key, value, 0 };
  ControlWrite *write = g_new0 (ControlWrite, 1);

  write->state = state;
  write->record = action->record;
  write->era = control->era;
  plat_store_change (control->store, &change, control_on_record_written, write);
  g_free (key);
  free (value);
}

static void
control_on_promotion_answer (gpointer user_data, const PlatStoreReply *reply)
{
  ControlGroup *state = user_data;
  TouHandoverAnswer answer = TOU_HANDOVER_NO_ANSWER;

  if (reply->result == PLAT_STORE_OK)
    answer = TOU_HANDOVER_ACCEPTED;
  else if (reply->result == PLAT_STORE_CONFLICT)
    answer = TOU_HANDOVER_REJECTED;
  TOU_COUNT (state->control->proxy, STORE_CALLS);
  tou_evlog (TOU_EVLOG_STATE, "promotion_answer",
             "\"group\":\"%s\",\"result\":%d", state->group->name.data,
             (int)reply->result);
  tou_handover_ordered (state->handover, answer, tou_clock_us ());
}

/* The platform is told the full names, which the registry has. A database that
   has left it since it was selected is not running. */
static void
control_order_promotion (ControlGroup *state, const TouName *id, guint64 now_us)
{
  TouControl *control = state->control;
  const TouEndpoint *endpoint
      = g_hash_table_lookup (control->proxy->endpoints, id);

  if (endpoint == NULL || endpoint->group != state->group)
    {
      tou_handover_ordered (state->handover, TOU_HANDOVER_REJECTED, now_us);
      return;
    }
  TOU_COUNT (control->proxy, HANDOVERS);
  plat_store_request_promotion (
      control->store, &endpoint->info,
      plat_settings_node (&control->proxy->settings), control->token,
      control->lease_until_us - now_us, control_on_promotion_answer, state);
}

static TouEndpoint *
control_find_endpoint (ControlGroup *state, const TouName *id)
{
  return g_hash_table_lookup (state->control->proxy->endpoints, id);
}

static void
control_execute (ControlGroup *state, const TouHandoverAction *action,
                 const TouHandoverView *view, guint64 now_us)
{
  TouControl *control = state->control;
  TouEndpoint *endpoint;

  if (action->kind == TOU_HANDOVER_NONE)
    return;
  tou_evlog (TOU_EVLOG_STATE, "handover",
             "\"group\":\"%s\",\"step\":\"%s\",\"action\":%d,\"reason\":\"%s\","
             "\"endpoint\":\"%s\",\"record\":%" G_GUINT64_FORMAT
             ",\"term\":%" G_GUINT64_FORMAT
             ",\"nodes\":%u,\"reporting\":%u,\"suspecting\":%u,\"quiet\":%u,"
             "\"token\":%" G_GUINT64_FORMAT,
             state->group->name.data, tou_handover_step_name (state->handover),
             (int)action->kind, action->reason,
             action->kind == TOU_HANDOVER_WRITE ? action->record.primary.data
                                                : action->endpoint.data,
             view->record.revision, view->record.term, view->n_nodes,
             view->n_reporting, view->n_suspecting, view->n_quiesced,
             control->token);
  switch (action->kind)
    {
    case TOU_HANDOVER_WRITE:
      control_write_record (state, action);
      break;
    case TOU_HANDOVER_STEP_DOWN:
      endpoint = control_find_endpoint (state, &action->endpoint);
      if (endpoint != NULL)
        tou_endpoint_step_down (endpoint, view->record.term + 1, now_us);
      break;
    case TOU_HANDOVER_PROMOTE:
      control_order_promotion (state, &action->endpoint, now_us);
      break;
    case TOU_HANDOVER_NONE:
      break;
    }
}

/* Requests former primaries that answer again to step down. */
static void
control_step_down_former (ControlGroup *state, guint64 now_us)
{
  TouGroup *group = state->group;
  const TouGroupRecord *record = tou_authority_record (group->authority);

  if (record->revision == 0 || record->moving
      || now_us < state->step_down_us + CONTROL_STEP_DOWN_INTERVAL_US)
    return;
  state->step_down_us = now_us;
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      if (tou_name_equal (&endpoint->info.id, &record->primary)
          || endpoint->removed || endpoint->unreachable_since_us != 0)
        continue;
      if (endpoint->status.role == TOU_ROLE_PRIMARY
          || (endpoint->info.role == TOU_ROLE_PRIMARY
              && endpoint->status_us < state->group->adopted_us))
        tou_endpoint_step_down (endpoint, record->term, now_us);
    }
}

static void
control_request_statuses (ControlGroup *state, guint64 interval_us,
                          guint64 now_us)
{
  if (now_us < state->status_requested_us + interval_us)
    return;
  state->status_requested_us = now_us;
  for (guint i = 0; i < state->group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (state->group->endpoints, i);

      if (!endpoint->removed && endpoint->unreachable_since_us == 0)
        tou_endpoint_query_status (endpoint, now_us);
    }
}

static void
control_run_group (ControlGroup *state, guint64 now_us)
{
  TouHandoverView view;
  TouHandoverAction action;
  gboolean checks_logs = tou_control_run_logs (state, now_us);

  control_fill_view (state, &view, now_us);
  if (view.n_endpoints == 0)
    return;
  tou_handover_step (state->handover, &view, now_us, &action);
  control_execute (state, &action, &view, now_us);
  tou_control_report_logs (state, &view, now_us);
  if (tou_handover_is_active (state->handover) || view.record.revision == 0)
    control_request_statuses (state, CONTROL_STATUS_INTERVAL_US, now_us);
  else if (tou_handover_is_partly_suspected (&view))
    control_request_statuses (state, CONTROL_SUSPECT_INTERVAL_US, now_us);
  else if (checks_logs)
    control_request_statuses (state, CONTROL_LOG_CHECK_INTERVAL_US, now_us);
  control_step_down_former (state, now_us);
}

ControlGroup *
tou_control_group (TouControl *control, TouGroup *group)
{
  ControlGroup *state = g_hash_table_lookup (control->groups, &group->name);

  if (state != NULL)
    return state;
  state = g_new0 (ControlGroup, 1);
  state->control = control;
  state->group = group;
  state->endpoints = g_array_new (FALSE, FALSE, sizeof (TouHandoverEndpoint));
  tou_handover_create (&state->handover);
  tou_control_init_logs (&state->logs);
  g_hash_table_insert (control->groups, &group->name, state);
  return state;
}

gboolean
tou_control_may_act (const TouControl *control, guint64 now_us)
{
  return tou_control_leads (control, now_us) && tou_control_is_marked (control);
}

gboolean
tou_control_leads (const TouControl *control, guint64 now_us)
{
  return control->is_leader && now_us < control->lease_until_us
         && now_us >= control->leader_since_us + CONTROL_TAKEOVER_DELAY_US;
}

void
tou_control_run_groups (TouControl *control, guint64 now_us)
{
  gboolean may_act = tou_control_may_act (control, now_us);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      ControlGroup *state = tou_control_group (control, group);

      if (may_act)
        {
          control_run_group (state, now_us);
          continue;
        }
      tou_handover_reset (state->handover);
      tou_control_reset_logs (state);
    }
}
