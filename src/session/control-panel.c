#include "control-private.h"

#include "revision.h"

/* Pause after a change of the panel, or a failed one. */
#define CONTROL_PANEL_PAUSE_US (500 * TOU_US_PER_MS)

/* Several members often begin to drain at the same time, and each change of the
   panel takes seconds. */
#define CONTROL_PANEL_GATHER_US (100 * TOU_US_PER_MS)
/* Time for a change of the panel after a member has begun to drain: the lease
   and the election of a leader, two writes and the proofs of the panel before.
 */
#define CONTROL_PANEL_LEAVE_US (5 * TOU_US_PER_S)

/* A panel being written. It is adopted on success, before the watch returns
   it. */
typedef struct
{
  TouControl *control;
  TouPanel panel;
  guint64 era; /* in which it was sent */
} ControlPanelWrite;

static void
control_on_panel_written (gpointer user_data, const PlatStoreReply *reply)
{
  ControlPanelWrite *write = user_data;
  TouControl *control = write->control;

  tou_control_count_reply (control, reply, "write_panel");
  control->writing_panel = FALSE;
  control->panel_after_us = tou_clock_us () + CONTROL_PANEL_PAUSE_US;
  if (reply->result == PLAT_STORE_OK
      && tou_revision_era (reply->revision) == write->era)
    {
      write->panel.revision = reply->revision;
      tou_control_store_panel (control, &write->panel);
    }
  g_free (write);
}

void
tou_control_write_panel (TouControl *control, const TouPanel *panel,
                         guint64 replaced)
{
  char *value = tou_panel_encode (panel);
  PlatStoreCondition conditions[] = { { CONTROL_PANEL_KEY, replaced },
                                      { CONTROL_LEADER_KEY, control->token } };
  PlatStoreChange change
      = { conditions, G_N_ELEMENTS (conditions), CONTROL_PANEL_KEY, value, 0 };
  ControlPanelWrite *write = g_new0 (ControlPanelWrite, 1);

  write->control = control;
  write->panel = *panel;
  write->era = control->era;
  control->writing_panel = TRUE;
  plat_store_change (control->store, &change, control_on_panel_written, write);
  free (value);
}

/* TRUE once no node can obtain or use a proof of the previous panel. */
static gboolean
control_is_panel_settled (TouControl *control, guint64 now_us)
{
  const TouProxy *proxy = control->proxy;
  const TouPanel *panel = &proxy->panel;
  TouPanelVotes votes;

  if (now_us >= proxy->panel_adopted_us + TOU_AUTHORITY_STORE_TIMEOUT_US
                    + TOU_AUTHORITY_REMOVE_US
      && tou_peers_previous_expired (control->peers, now_us))
    return TRUE;
  tou_peers_count_votes (&votes, control->peers, NULL);
  if (!tou_panel_has_majority (panel, &votes))
    return FALSE;
  if (control->panel_acked_revision != panel->revision)
    {
      control->panel_acked_revision = panel->revision;
      control->panel_acked_us = now_us;
    }
  return now_us >= control->panel_acked_us + TOU_AUTHORITY_VALID_US;
}

gboolean
tou_control_holds_seat (const TouControl *control, guint64 now_us)
{
  const TouProxy *proxy = control->proxy;
  const TouPanel *panel = &proxy->panel;
  const TouName *self = &proxy->settings.node;
  TouFollowPanel store;
  GArray *nodes;
  gboolean holds;

  tou_peers_store (&store, control->peers, now_us);
  /* During an outage of the store the panel stays. */
  if (!control->connected && !store.informed)
    return FALSE;
  if (now_us >= proxy->drain_us + CONTROL_PANEL_LEAVE_US
      || !(tou_panel_contains (panel, self)
           || (panel->joint && tou_panel_is_previous (panel, self))))
    return FALSE;
  nodes = tou_peers_nodes (control->peers, now_us);
  holds = tou_panel_can_replace ((const TouGatewayNode *)(void *)nodes->data,
                                 nodes->len);
  g_array_unref (nodes);
  return holds;
}

/* TRUE once the panel has been found to need a change for a while. */
static gboolean
control_gather_changes (TouControl *control, gboolean wanted, guint64 now_us)
{
  if (!wanted)
    control->panel_wanted_us = 0;
  else if (control->panel_wanted_us == 0)
    control->panel_wanted_us = now_us;
  return wanted
         && (control->proxy->panel.revision == 0
             || now_us >= control->panel_wanted_us + CONTROL_PANEL_GATHER_US);
}

void
tou_control_run_panel (TouControl *control, guint64 now_us)
{
  TouPanel panel;
  GArray *nodes;
  gboolean wanted;

  if (!tou_control_may_act (control, now_us) || control->writing_panel
      || now_us < control->panel_after_us)
    return;
  if (control->proxy->panel.joint)
    {
      if (!control_is_panel_settled (control, now_us))
        return;
      panel = control->proxy->panel;
      panel.joint = FALSE;
      panel.n_previous = 0;
      tou_control_write_panel (control, &panel, control->proxy->panel.revision);
      return;
    }
  nodes = tou_peers_nodes (control->peers, now_us);
  wanted = tou_panel_choose (&panel, &control->proxy->panel,
                             (const TouGatewayNode *)(void *)nodes->data,
                             nodes->len);
  if (control_gather_changes (control, wanted, now_us))
    tou_control_write_panel (control, &panel, control->proxy->panel.revision);
  g_array_unref (nodes);
}
