/* Guards against a node that uses a replaced primary, for disturbances in any
 * order: nodes drain, are killed, return, lose the store and do not receive
 * heartbeats, while primaries are changed. Each seed is a run of its own.
 *
 * "test-soak FIRST LAST" plays other seeds; it prints what was disturbed and
 * how much of the time nodes had a proof.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/control-fleet.h"

#define NODES FLEET_MAX_NODES
#define DEFAULT_FIRST 16
#define DEFAULT_LAST 18
#define RUN_US (20 * TOU_US_PER_S)
#define STEP_US (10 * TOU_US_PER_MS)
#define MIN_PAUSE_MS 50
#define MAX_PAUSE_MS 700
/* Name of a node that differs from the others in its last byte, far behind the
   length that a TouName keeps; every second seed has such names. */
#define LONG_NAME                                                              \
  "node-of-the-trench-inspection-records-in-the-ulaanbaatar-districts-for-"    \
  "utility-works-and-reinstatement-"
/* Address without a listener. */
#define NOWHERE "127.0.0.1:9"

/* Disturbances of a node, and a change of the primary. */
enum
{
  SOAK_DRAIN,
  SOAK_KILL,
  SOAK_RESTART,
  SOAK_CUT,
  SOAK_CONNECT,
  SOAK_DEAF,
  SOAK_CHANGE
};

typedef struct
{
  guint64 at_us;
  gint kind;
  guint nodes; /* bits */
} SoakEvent;

typedef struct
{
  ControlFleet fleet;
  GRand *random;
  GArray *events; /* of SoakEvent */
  guint64 term;
  gboolean moving;
  gboolean deaf[NODES];
  gboolean cut[NODES];
  guint64
      majority_us[NODES]; /* since when the node counts one; 0: it does not */
  guint n_events;
  guint n_changes;
  guint n_checked;
  guint n_proved;
} Soak;

static gboolean
soak_is_up (const Soak *soak, guint node)
{
  return soak->fleet.nodes[node].proxy != NULL;
}

/* Sets the address at which the others send heartbeats to a node. */
static void
soak_set_deaf (Soak *soak, guint node, gboolean deaf)
{
  const TouProxy *proxy = soak->fleet.nodes[node].proxy;
  char *key = g_strconcat ("tou/node/", proxy->settings.node.data, NULL);
  char *value = kv_get (soak->fleet.kv, key);
  char *changed
      = g_strconcat (deaf ? NOWHERE : proxy->settings.peers_listen.data, " ",
                     proxy->settings.failure_domain.data, NULL);

  if (value != NULL)
    {
      soak->deaf[node] = deaf;
      kv_put (soak->fleet.kv, key, changed);
    }
  g_free (changed);
  g_free (value);
  g_free (key);
}

static void
soak_set_cut (Soak *soak, guint node, gboolean cut)
{
  soak->cut[node] = cut;
  fleet_cut (&soak->fleet, node, cut);
}

static void
soak_disturb_node (Soak *soak, guint node, gint kind)
{
  if (!soak_is_up (soak, node))
    {
      if (kind != SOAK_RESTART)
        return;
      fleet_restart (&soak->fleet, node);
      soak->deaf[node] = soak->cut[node] = FALSE;
      return;
    }
  switch (kind)
    {
    case SOAK_DRAIN:
      if (!soak->fleet.nodes[node].proxy->draining)
        fleet_drain (&soak->fleet, node);
      break;
    case SOAK_KILL:
      fleet_kill (&soak->fleet, node);
      soak->majority_us[node] = 0;
      break;
    case SOAK_CUT:
      soak_set_cut (soak, node, TRUE);
      break;
    case SOAK_CONNECT:
      soak_set_cut (soak, node, FALSE);
      break;
    case SOAK_DEAF:
      soak_set_deaf (soak, node, !soak->deaf[node]);
      break;
    default:
      break;
    }
}

static void
soak_add_event (Soak *soak, gint kind, guint nodes, guint min_ms, guint max_ms)
{
  SoakEvent event = { 0, kind, nodes };

  event.at_us = tou_clock_us ()
                + (guint64)g_rand_int_range (soak->random, (gint32)min_ms,
                                             (gint32)max_ms)
                      * TOU_US_PER_MS;
  g_array_append_val (soak->events, event);
}

static guint
soak_draw_nodes (Soak *soak, gdouble share)
{
  guint nodes = 0;

  for (guint i = 0; i < NODES; i++)
    if (g_rand_double (soak->random) < share)
      nodes |= 1U << i;
  return nodes;
}

/* Most nodes stop and return, while the store turns the others away. */
static void
soak_add_exchange (Soak *soak)
{
  guint nodes = soak_draw_nodes (soak, 0.65);

  soak_add_event (soak, SOAK_RESTART, ~0U, 0, 1);
  soak_add_event (soak, SOAK_CONNECT, ~0U, 0, 1);
  soak_add_event (soak, SOAK_DRAIN, nodes, 1000, 3000);
  soak_add_event (soak, SOAK_CUT, ~nodes, 3500, 6000);
  soak_add_event (soak, SOAK_RESTART, nodes, 5000, 8000);
  soak_add_event (soak, SOAK_CHANGE, 0, 6000, 9000);
  soak_add_event (soak, SOAK_CONNECT, ~0U, 9000, 13000);
}

/* Disturbs few, several or most nodes alike, or replaces the primary. */
static void
soak_add_disturbance (Soak *soak)
{
  static const gint kinds[]
      = { SOAK_DRAIN,   SOAK_DRAIN,  SOAK_KILL,   SOAK_RESTART, SOAK_RESTART,
          SOAK_RESTART, SOAK_CUT,    SOAK_CUT,    SOAK_CONNECT, SOAK_CONNECT,
          SOAK_DEAF,    SOAK_CHANGE, SOAK_CHANGE, SOAK_CHANGE };
  static const gdouble shares[] = { 0.17, 0.35, 0.7 };
  gint kind = kinds[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (kinds))];
  gdouble share
      = shares[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (shares))];

  soak_add_event (soak, kind, soak_draw_nodes (soak, share), MIN_PAUSE_MS,
                  MAX_PAUSE_MS);
}

static void
soak_play (Soak *soak, const SoakEvent *event)
{
  soak->n_events++;
  if (event->kind == SOAK_CHANGE && !soak->moving)
    {
      fleet_announce (&soak->fleet, soak->term);
      soak->moving = TRUE;
      memset (soak->majority_us, 0, sizeof soak->majority_us);
    }
  for (guint i = 0; i < NODES; i++)
    if ((event->nodes & 1U << i) != 0)
      soak_disturb_node (soak, i, event->kind);
}

static void
soak_play_due (Soak *soak)
{
  for (guint i = 0; i < soak->events->len;)
    {
      SoakEvent event = g_array_index (soak->events, SoakEvent, i);

      if (tou_clock_us () < event.at_us)
        {
          i++;
          continue;
        }
      g_array_remove_index (soak->events, i);
      soak_play (soak, &event);
    }
}

static void
soak_reap (Soak *soak)
{
  for (guint i = 0; i < NODES; i++)
    if (soak_is_up (soak, i) && soak->fleet.nodes[i].proxy->deregistered)
      {
        fleet_stop (&soak->fleet, i);
        soak->majority_us[i] = 0;
      }
}

/* TRUE if the store accepts a record that the node writes: it is the leader,
   and its panel the current one. */
static gboolean
soak_may_write (const Soak *soak, guint node)
{
  const TouProxy *proxy = soak->fleet.nodes[node].proxy;
  char *leader = kv_get (soak->fleet.kv, "tou/leader");
  char *stored = kv_get (soak->fleet.kv, "tou/panel");
  char *own = tou_panel_encode (&proxy->panel);
  gboolean may_write = !soak->cut[node] && !proxy->deregistered
                       && leader != NULL
                       && strcmp (leader, proxy->settings.node.data) == 0
                       && (stored == NULL ? proxy->panel.revision == 0
                                          : strcmp (stored, own) == 0);

  free (own);
  g_free (stored);
  g_free (leader);
  return may_write;
}

static gboolean
soak_counts_majority (const Soak *soak, guint node)
{
  const FleetNode *counting = &soak->fleet.nodes[node];
  TouName name = tou_name ("g");
  TouGroup *group = tou_group_get (counting->proxy, &name);
  const TouGroupRecord *record = tou_authority_record (group->authority);
  TouPanelVotes votes;

  tou_peers_count_votes (&votes, counting->peers, group);
  return record->moving && record->term == soak->term
         && tou_panel_has_majority (&counting->proxy->panel, &votes);
}

/* Replaces the primary as a leader does: once a majority of the panel has had
   the announcement for as long as a proof is valid. */
static void
soak_change (Soak *soak)
{
  guint64 now_us = tou_clock_us ();

  for (guint i = 0; i < NODES && soak->moving; i++)
    {
      if (!soak_is_up (soak, i) || !soak_counts_majority (soak, i))
        {
          soak->majority_us[i] = 0;
          continue;
        }
      if (soak->majority_us[i] == 0)
        soak->majority_us[i] = now_us;
      if (now_us < soak->majority_us[i] + TOU_AUTHORITY_VALID_US
          || !soak_may_write (soak, i))
        continue;
      soak->term++;
      soak->moving = FALSE;
      soak->n_changes++;
      fleet_put_record (&soak->fleet, soak->term);
    }
}

/* @return FALSE if a node uses a primary that was replaced */
static gboolean
soak_check (Soak *soak)
{
  for (guint i = 0; i < NODES; i++)
    {
      if (!soak_is_up (soak, i))
        continue;
      soak->n_checked++;
      soak->n_proved += fleet_uses_term (&soak->fleet.nodes[i], soak->term);
      for (guint64 term = 1; term < soak->term; term++)
        if (fleet_uses_term (&soak->fleet.nodes[i], term))
          {
            printf ("node%u uses term %" G_GUINT64_FORMAT
                    ", replaced by %" G_GUINT64_FORMAT "\n",
                    i, term, soak->term);
            return FALSE;
          }
    }
  return TRUE;
}

static gboolean
soak_run (guint32 seed)
{
  Soak soak = { 0 };
  guint64 end_us;
  gboolean exchanges;
  gboolean ok = TRUE;

  soak.random = g_rand_new_with_seed (seed);
  soak.term = 1;
  fleet_start_named (&soak.fleet, NODES, seed % 2 == 0 ? "node" : LONG_NAME);
  soak.events = g_array_new (FALSE, FALSE, sizeof (SoakEvent));
  exchanges = g_rand_boolean (soak.random);
  end_us = tou_clock_us () + RUN_US;
  while (ok && tou_clock_us () < end_us)
    {
      fleet_run (&soak.fleet, STEP_US);
      soak_reap (&soak);
      soak_change (&soak);
      ok = soak_check (&soak);
      soak_play_due (&soak);
      if (soak.events->len > 0)
        continue;
      if (exchanges)
        soak_add_exchange (&soak);
      else
        soak_add_disturbance (&soak);
    }
  printf ("seed %u: %s, %u events, %u changes, proofs %u of %u\n", seed,
          ok ? "held" : "BROKEN", soak.n_events, soak.n_changes, soak.n_proved,
          soak.n_checked);
  fflush (stdout);
  fleet_clear (&soak.fleet);
  g_array_unref (soak.events);
  g_rand_free (soak.random);
  return ok;
}

int
main (int argc, char **argv)
{
  guint first = argc > 2 ? (guint)atoi (argv[1]) : DEFAULT_FIRST;
  guint last = argc > 2 ? (guint)atoi (argv[2]) : DEFAULT_LAST;
  gboolean ok = TRUE;

  for (guint seed = first; seed <= last; seed++)
    ok = soak_run (seed) && ok;
  return ok ? 0 : 1;
}
