#include "connections-script.h"

#include "control-fleet.h"
#include "kv-server.h"

#include <string.h>

#define MAX_WORDS 4
/* Seed of a soak that is started by hand. */
#define SOAK_SEED_VARIABLE "TOU_SOAK_SEED"
#define SOAK_RESTART_ONE_IN 6
#define SOAK_WAIT_MS 1200
#define SOAK_APPLY_US (3 * TOU_US_PER_S)

typedef struct
{
  GString *out;
  ControlFleet fleet;
  KvServer *server;
} Script;

static gboolean
never (const FleetNode *node, guint64 ignored)
{
  (void)node;
  (void)ignored;
  return FALSE;
}

static void
run_nodes (Script *script, guint64 n_nodes)
{
  fleet_configure (&script->fleet, 1);
  for (guint64 i = 0; i < n_nodes; i++)
    fleet_add (&script->fleet);
  if (!fleet_wait (&script->fleet, fleet_has_version, 1)
      || !fleet_wait (&script->fleet, fleet_has_mark, 0))
    g_string_append (script->out, "nodes do not start\n");
}

/* The leader may have added members before the last node has the panel. */
static gboolean
has_panel (const FleetNode *node, guint64 n_members)
{
  return node->proxy->panel.n_members >= n_members;
}

static void
run_panel (Script *script, guint64 n_members)
{
  TouPanel panel = { 0 };
  char *value;

  for (guint i = 0; i < n_members; i++)
    panel.members[panel.n_members++]
        = script->fleet.nodes[i].proxy->settings.node;
  value = tou_panel_encode (&panel);
  kv_put (script->fleet.kv, "tou/panel", value);
  free (value);
  if (!fleet_wait (&script->fleet, has_panel, n_members))
    g_string_append (script->out, "the panel is not adopted\n");
}

static void
run_await_version (Script *script, guint64 version, guint64 time_us)
{
  gboolean applied
      = fleet_wait_us (&script->fleet, time_us, fleet_has_version, version);

  g_string_append_printf (script->out, "version %" G_GUINT64_FORMAT " %s\n",
                          version, applied ? "in time" : "late");
}

/* Replaces a node by a new process, if there is room for one. */
static void
soak_restart (ControlFleet *fleet, GRand *rand)
{
  if (fleet->n_nodes == FLEET_MAX_NODES)
    return;
  fleet_kill (fleet, (guint)g_rand_int_range (rand, 0, (gint)fleet->n_nodes));
  fleet_add (fleet);
}

/* In each round, connections go silent up to twice and configurations are
   written before, between and after that. */
static void
run_soak (Script *script, guint64 seed, guint64 n_rounds)
{
  const char *other = g_getenv (SOAK_SEED_VARIABLE);
  GRand *rand = g_rand_new_with_seed (
      other != NULL ? (guint32)g_ascii_strtoull (other, NULL, 10)
                    : (guint32)seed);
  guint64 version = 1;
  guint n_late = 0;

  for (guint64 round = 0; round < n_rounds; round++)
    {
      for (gint i = g_rand_int_range (rand, 1, 3); i > 0; i--)
        {
          if (g_rand_boolean (rand))
            fleet_configure (&script->fleet, ++version);
          if (g_rand_int_range (rand, 0, SOAK_RESTART_ONE_IN) == 0)
            soak_restart (&script->fleet, rand);
          kv_server_silence (script->server, g_rand_int_range (rand, 0, 4) > 0
                                                 ? KV_SERVER_OPEN
                                                 : KV_SERVER_IDLE);
          fleet_run_without (&script->fleet,
                             (guint64)g_rand_int_range (rand, 0, SOAK_WAIT_MS)
                                 * TOU_US_PER_MS,
                             never, 0);
        }
      fleet_configure (&script->fleet, ++version);
      if (!fleet_wait_us (&script->fleet, SOAK_APPLY_US, fleet_has_version,
                          version))
        {
          n_late++;
          g_string_append_printf (script->out,
                                  "round %" G_GUINT64_FORMAT ": version "
                                  "%" G_GUINT64_FORMAT " late\n",
                                  round, version);
        }
    }
  g_string_append_printf (script->out, "%u late\n", n_late);
  g_rand_free (rand);
}

typedef struct
{
  guint n_ended;
  guint n_answered;
} Calls;

static void
on_call (gpointer user_data, const PlatStoreReply *reply)
{
  Calls *calls = user_data;

  calls->n_ended++;
  calls->n_answered += reply->result == PLAT_STORE_OK;
}

static void
run_calls (Script *script, guint64 n_calls)
{
  Calls calls = { 0 };

  for (guint64 i = 0; i < n_calls; i++)
    plat_store_list (script->fleet.nodes[0].store, "op/", NULL, on_call,
                     &calls);
  while (calls.n_ended < n_calls)
    uv_run (&script->fleet.loop, UV_RUN_ONCE);
  g_string_append_printf (script->out,
                          "%u of %" G_GUINT64_FORMAT " calls answered\n",
                          calls.n_answered, n_calls);
}

static void
run_line (Script *script, const char *line)
{
  char **words = g_strsplit (line, " ", MAX_WORDS);
  guint n_words = g_strv_length (words);
  guint64 number = n_words > 1 ? g_ascii_strtoull (words[1], NULL, 10) : 0;
  guint64 last
      = n_words > 1 ? g_ascii_strtoull (words[n_words - 1], NULL, 10) : 0;

  if (strcmp (words[0], "nodes") == 0)
    run_nodes (script, number);
  else if (strcmp (words[0], "panel") == 0)
    run_panel (script, number);
  else if (strcmp (line, "silence open") == 0)
    kv_server_silence (script->server, KV_SERVER_OPEN);
  else if (strcmp (line, "silence idle") == 0)
    kv_server_silence (script->server, KV_SERVER_IDLE);
  else if (strcmp (words[0], "configure") == 0)
    fleet_configure (&script->fleet, number);
  else if (strcmp (words[0], "await-version") == 0)
    run_await_version (script, number, last * TOU_US_PER_MS);
  else if (strcmp (line, "touch") == 0)
    kv_put (script->fleet.kv, "op/unused", "");
  else if (strcmp (words[0], "calls") == 0)
    run_calls (script, number);
  else if (strcmp (words[0], "soak") == 0)
    run_soak (script, number, last);
  else if (strcmp (words[0], "wait") == 0)
    fleet_run_without (&script->fleet, last * TOU_US_PER_MS, never, 0);
  else
    g_string_append_printf (script->out, "unknown command %s\n", line);
  g_strfreev (words);
}

GString *
connections_script_run (const char *text)
{
  Script script;
  char **lines = g_strsplit (text, "\n", -1);

  script.out = g_string_new (NULL);
  fleet_init (&script.fleet);
  script.server = kv_server_create (&script.fleet.loop, script.fleet.kv);
  kv_server_address (&script.fleet.store_address, script.server);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' && (*line)[0] != '#')
      run_line (&script, *line);
  g_strfreev (lines);
  kv_server_destroy (script.server);
  fleet_clear (&script.fleet);
  return script.out;
}
