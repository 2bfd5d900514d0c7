#include "control-private.h"

#include "revision.h"

#include <string.h>

/* Time for the databases to answer a new leader. */
#define RESTORE_STATUS_US (400 * TOU_US_PER_MS)
/* Interval of status requests. */
#define RESTORE_STATUS_INTERVAL_US (50 * TOU_US_PER_MS)
/* Pause after a write, or after a failed one. */
#define RESTORE_RETRY_US (100 * TOU_US_PER_MS)

gboolean
tou_control_is_marked (const TouControl *control)
{
  return control->restore.has_mark
         && control->restore.marked_era == control->era;
}

gboolean
tou_control_trusts_store (const TouControl *control)
{
  return control->restore.has_mark ? control->restore.marked_era == control->era
                                   : control->era == control->restore.first_era;
}

/* The store's record of a group; an empty one if the current store has none. */
static TouGroupRecord
restore_stored_record (const ControlGroup *state)
{
  TouGroupRecord none = { 0 };

  return tou_revision_era (state->stored.revision) == state->control->era
             ? state->stored
             : none;
}

static TouPanel
restore_stored_panel (const TouControl *control)
{
  TouPanel none = { 0 };

  return tou_revision_era (control->restore.stored_panel.revision)
                 == control->era
             ? control->restore.stored_panel
             : none;
}

void
tou_control_store_record (ControlGroup *state, const TouGroupRecord *record)
{
  if (record->revision > state->stored.revision)
    state->stored = *record;
  if (tou_control_trusts_store (state->control))
    tou_group_adopt (state->group, record, "store");
}

void
tou_control_store_panel (TouControl *control, const TouPanel *panel)
{
  if (panel->revision > control->restore.stored_panel.revision)
    control->restore.stored_panel = *panel;
  if (tou_control_trusts_store (control))
    tou_peers_adopt_panel (control->peers, panel);
}

void
tou_control_adopt_stored (TouControl *control)
{
  GHashTableIter iter;
  gpointer value;
  TouPanel panel = restore_stored_panel (control);

  if (!tou_control_trusts_store (control))
    return;
  tou_peers_adopt_panel (control->peers, &panel);
  g_hash_table_iter_init (&iter, control->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ControlGroup *state = value;
      TouGroupRecord record = restore_stored_record (state);

      tou_group_adopt (state->group, &record, "store");
    }
}

/* Requests the statuses of the group's databases once it is the leader.
   @return TRUE until they have answered or had enough time */
static gboolean
restore_awaits_status (ControlGroup *state, guint64 now_us)
{
  const TouControl *control = state->control;
  const TouGroup *group = state->group;
  gboolean missing = FALSE;
  gboolean request
      = now_us >= state->status_requested_us + RESTORE_STATUS_INTERVAL_US;

  if (now_us >= control->leader_since_us + RESTORE_STATUS_US)
    return FALSE;
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      if (endpoint->removed || endpoint->unreachable_since_us != 0
          || endpoint->status_us >= control->leader_since_us)
        continue;
      missing = TRUE;
      if (request)
        tou_endpoint_query_status (endpoint, now_us);
    }
  if (missing && request)
    state->status_requested_us = now_us;
  return missing;
}

/* Replaces @a record if a database is primary in a later term: its promotion
   took effect, but no node has the record of it any more. */
static void
restore_find_primary (const ControlGroup *state, TouGroupRecord *record)
{
  const TouGroup *group = state->group;

  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      if (endpoint->removed || endpoint->unreachable_since_us != 0
          || endpoint->status.role != TOU_ROLE_PRIMARY
          || endpoint->status.term <= record->term)
        continue;
      memset (record, 0, sizeof *record);
      record->term = endpoint->status.term;
      record->primary = endpoint->info.id;
    }
}

typedef struct
{
  ControlGroup *state;
  TouGroupRecord record;
} RestoreWrite;

static void
restore_on_record_written (gpointer user_data, const PlatStoreReply *reply)
{
  RestoreWrite *write = user_data;
  ControlGroup *state = write->state;

  tou_control_count_reply (state->control, reply, "restore_record");
  state->restoring = FALSE;
  if (reply->result == PLAT_STORE_OK)
    {
      write->record.revision = reply->revision;
      tou_control_store_record (state, &write->record);
    }
  g_free (write);
}

static void
restore_write_record (ControlGroup *state, const TouGroupRecord *record,
                      guint64 stored_revision)
{
  TouControl *control = state->control;
  char *key = g_strconcat (CONTROL_GROUP_PREFIX, state->group->name.data, NULL);
  char *value = tou_record_encode (record);
  PlatStoreCondition conditions[]
      = { { key, stored_revision }, { CONTROL_LEADER_KEY, control->token } };
  PlatStoreChange change
      = { conditions, G_N_ELEMENTS (conditions), key, value, 0 };
  RestoreWrite *write = g_new0 (RestoreWrite, 1);

  tou_evlog (TOU_EVLOG_STATE, "record_restored",
             "\"group\":\"%s\",\"term\":%" G_GUINT64_FORMAT
             ",\"primary\":\"%s\",\"moving\":%s,\"era\":%" G_GUINT64_FORMAT,
             state->group->name.data, record->term, record->primary.data,
             record->moving ? "true" : "false", control->era);
  state->restoring = TRUE;
  write->state = state;
  write->record = *record;
  plat_store_change (control->store, &change, restore_on_record_written, write);
  g_free (key);
  free (value);
}

/* @return TRUE if the store may lack a later record of the group */
static gboolean
restore_group (ControlGroup *state, guint64 now_us)
{
  TouGroupRecord stored = restore_stored_record (state);
  TouGroupRecord latest = *tou_group_record_later (
      &stored, tou_authority_record (state->group->authority));

  if (state->restoring || restore_awaits_status (state, now_us))
    return TRUE;
  if (latest.revision == 0)
    return FALSE;
  restore_find_primary (state, &latest);
  if (tou_group_record_equal (&latest, &stored))
    return FALSE;
  restore_write_record (state, &latest, stored.revision);
  return TRUE;
}

/* @return TRUE if the store may lack a later panel */
static gboolean
restore_panel (TouControl *control)
{
  const TouPanel *known = &control->proxy->panel;
  TouPanel stored = restore_stored_panel (control);

  if (known->revision == 0 || tou_panel_equal (known, &stored)
      || tou_panel_follows (&stored, known))
    return FALSE;
  tou_control_write_panel (control, known, stored.revision);
  return TRUE;
}

static void
restore_on_marked (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "mark_era");
  control->restore.writing = FALSE;
  if (reply->result == PLAT_STORE_OK
      && tou_revision_era (reply->revision) == control->restore.writing_era)
    tou_control_mark (control, control->restore.writing_era);
}

static void
restore_write_mark (TouControl *control)
{
  char *value = g_strdup_printf ("%" G_GUINT64_FORMAT, control->era);
  PlatStoreCondition condition = { CONTROL_LEADER_KEY, control->token };
  PlatStoreChange change = { &condition, 1, CONTROL_ERA_KEY, value, 0 };

  control->restore.writing = TRUE;
  control->restore.writing_era = control->era;
  plat_store_change (control->store, &change, restore_on_marked, control);
  g_free (value);
}

void
tou_control_mark (TouControl *control, guint64 era)
{
  if (!control->restore.has_mark || control->restore.marked_era != era)
    tou_evlog (TOU_EVLOG_STATE, "era_marked", "\"era\":%" G_GUINT64_FORMAT,
               era);
  control->restore.has_mark = TRUE;
  control->restore.marked_era = era;
  tou_control_adopt_stored (control);
}

void
tou_control_run_restore (TouControl *control, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  gboolean pending = FALSE;

  if (!tou_control_leads (control, now_us) || tou_control_is_marked (control)
      || control->must_list || control->listing || control->restore.writing
      || control->writing_panel || now_us < control->restore.retry_after_us)
    return;
  control->restore.retry_after_us = now_us + RESTORE_RETRY_US;
  g_hash_table_iter_init (&iter, control->proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pending
        = restore_group (tou_control_group (control, value), now_us) || pending;
  pending = restore_panel (control) || pending;
  if (!pending)
    restore_write_mark (control);
}
