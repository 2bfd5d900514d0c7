#include "heartbeat-fleet.h"

#include "peer-address.h"

#include <string.h>

/* Interval of the nodes' ticks, and timeout of a wait. */
#define TICK_US (10 * TOU_US_PER_MS)
#define WAIT_US (20 * TOU_US_PER_S)

static void
hbfleet_on_timer (uv_timer_t *timer)
{
  HbFleet *fleet = timer->data;

  for (guint i = 0; i < fleet->n_nodes; i++)
    if (!fleet->stopped[i])
      tou_peers_tick (fleet->peers[i], tou_clock_us ());
}

TouGroup *
hbfleet_group (const HbFleet *fleet, guint node)
{
  TouName name = tou_name ("g");

  return tou_group_get (fleet->proxies[node], &name);
}

/* Passes the registration of @a node to node @a at. */
static void
hbfleet_register (HbFleet *fleet, guint at, guint node, guint64 revision)
{
  TouName address;

  if (fleet->stopped[at] || fleet->stopped[node])
    return;
  g_assert_cmpint (tou_peers_address (&address, fleet->peers[node]), ==,
                   TOU_OK);
  tou_peers_set (fleet->peers[at], &fleet->proxies[node]->settings.node,
                 &address, &fleet->proxies[node]->settings.failure_domain,
                 revision);
}

void
hbfleet_add (HbFleet *fleet)
{
  guint added = fleet->n_nodes++;
  TouNodeSettings settings = { 0 };
  char *name = g_strdup_printf ("node%u", added);

  settings.node = tou_name (name);
  g_free (name);
  settings.peers_listen = peer_address ();
  g_assert_cmpint (
      tou_proxy_create (&fleet->proxies[added], &fleet->loop, &settings), ==,
      TOU_OK);
  fleet->proxies[added]->synced = TRUE;
  fleet->proxies[added]->store_answered_us = tou_clock_us ();
  fleet->proxies[added]->store_followed_us = tou_clock_us ();
  g_assert_cmpint (
      tou_peers_create (&fleet->peers[added], fleet->proxies[added]), ==,
      TOU_OK);
  for (guint i = 0; i < fleet->n_nodes; i++)
    for (guint j = 0; j < fleet->n_nodes; j++)
      hbfleet_register (fleet, i, j, j + 1);
  fleet->revision = FLEET_MAX_NODES;
}

void
hbfleet_restart_with_earlier_clock (HbFleet *fleet, guint node)
{
  TouProxy *proxy = fleet->proxies[node];

  proxy->incarnation -= TOU_US_PER_S;
  fleet->revision++;
  for (guint i = 0; i < fleet->n_nodes; i++)
    hbfleet_register (fleet, i, node, fleet->revision);
}

void
hbfleet_stop (HbFleet *fleet, guint node)
{
  fleet->stopped[node] = TRUE;
  tou_peers_destroy (fleet->peers[node]);
}

void
hbfleet_proxy_adopt (TouProxy *proxy, const char *group, guint64 revision)
{
  TouName name = tou_name (group);
  TouGroupRecord record = { 0 };

  record.revision = revision;
  record.term = 1;
  record.primary = tou_name ("db1");
  tou_group_adopt (tou_group_get (proxy, &name), &record, "test");
}

void
hbfleet_adopt (HbFleet *fleet, guint node, guint64 revision)
{
  hbfleet_proxy_adopt (fleet->proxies[node], "g", revision);
}

void
hbfleet_adopt_panel (HbFleet *fleet, guint node, guint64 revision, guint first)
{
  TouPanel panel = { 0 };

  panel.revision = revision;
  for (guint i = 0; i < MIN (fleet->n_nodes, TOU_PANEL_SIZE); i++)
    panel.members[panel.n_members++] = fleet->proxies[first + i]->settings.node;
  tou_peers_adopt_panel (fleet->peers[node], &panel);
  fleet->proxies[node]->store_revision = revision;
  fleet->proxies[node]->records_revision = revision;
}

gboolean
hbfleet_is_valid (const HbFleet *fleet, guint node, guint64 revision)
{
  TouGroup *group = hbfleet_group (fleet, node);

  return tou_authority_record (group->authority)->revision == revision
         && tou_proxy_has_proof (fleet->proxies[node], group, tou_clock_us ());
}

gboolean
hbfleet_wait_valid (HbFleet *fleet, guint64 revision)
{
  guint64 end_us = tou_clock_us () + WAIT_US;
  guint valid = 0;

  while (valid < fleet->n_nodes)
    {
      if (tou_clock_us () >= end_us)
        return FALSE;
      uv_run (&fleet->loop, UV_RUN_ONCE);
      valid = 0;
      for (guint i = 0; i < fleet->n_nodes; i++)
        valid += fleet->stopped[i] || hbfleet_is_valid (fleet, i, revision);
    }
  return TRUE;
}

void
hbfleet_run (HbFleet *fleet, guint64 time_us)
{
  guint64 end_us = tou_clock_us () + time_us;

  while (tou_clock_us () < end_us)
    uv_run (&fleet->loop, UV_RUN_ONCE);
}

void
hbfleet_init (HbFleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  uv_loop_init (&fleet->loop);
  uv_timer_init (&fleet->loop, &fleet->timer);
  fleet->timer.data = fleet;
  uv_timer_start (&fleet->timer, hbfleet_on_timer, 0, TICK_US / TOU_US_PER_MS);
}

void
hbfleet_clear (HbFleet *fleet)
{
  uv_close ((uv_handle_t *)&fleet->timer, NULL);
  for (guint i = 0; i < fleet->n_nodes; i++)
    {
      if (!fleet->stopped[i])
        tou_peers_destroy (fleet->peers[i]);
      tou_proxy_destroy (fleet->proxies[i]);
    }
  uv_run (&fleet->loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&fleet->loop), ==, 0);
}
