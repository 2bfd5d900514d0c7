#include "connections-script.h"

#include "control-fleet.h"
#include "kv-server.h"

#include <string.h>

#define MAX_WORDS 4

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

static gboolean
has_panel (const FleetNode *node, guint64 n_members)
{
  return node->proxy->panel.n_members == n_members;
}

static void
run_panel (Script *script, guint64 n_members)
{
  TouPanel panel = { 0 };
  char *value;

  while (panel.n_members < n_members)
    panel.members[panel.n_members]
        = script->fleet.nodes[panel.n_members].proxy->settings.node,
        panel.n_members++;
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
  guint64 last_ms
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
    run_await_version (script, number, last_ms * TOU_US_PER_MS);
  else if (strcmp (line, "touch") == 0)
    kv_put (script->fleet.kv, "op/unused", "");
  else if (strcmp (words[0], "calls") == 0)
    run_calls (script, number);
  else if (strcmp (words[0], "wait") == 0)
    fleet_run_without (&script->fleet, last_ms * TOU_US_PER_MS, never, 0);
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
