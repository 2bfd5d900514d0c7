#include "script.h"

#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 6

static const char *const rank_names[TOU_RANK_COUNT]
    = { "urgent", "review", "status" };

typedef struct
{
  HarnessOptions options;
  Harness *harness;
  GString *out;
  guint last_member; /* member in the last command that named a database */
  guint reported;    /* violations already printed */
} Script;

typedef struct
{
  const char *name;
  void (*func) (Script *script, char **words);
} Command;

static guint64
parse_time (const char *text)
{
  char *unit = NULL;
  guint64 value = strtoull (text, &unit, 10);

  return g_str_equal (unit, "ms") ? value * TOU_US_PER_MS
                                  : value * TOU_US_PER_S;
}

static TouRank
parse_rank (const char *text)
{
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    if (g_str_equal (text, rank_names[r]))
      return (TouRank)r;
  g_error ("script: unknown rank %s", text);
}

static guint
parse_number (const char *text)
{
  return (guint)strtoul (text, NULL, 10);
}

/* Proxies, groups and members are numbered from 1 in scripts. */
static guint
parse_index (const char *text)
{
  return parse_number (text) - 1;
}

static guint
parse_db (Script *script, const char *group, const char *member)
{
  guint g = parse_index (group + 1);

  if (g_str_equal (member, "primary"))
    {
      int primary = fake_group_primary (script->harness, g);

      script->last_member = primary < 0 ? 0 : (guint)primary;
    }
  else if (!g_str_equal (member, "old"))
    script->last_member = parse_index (member);
  return harness_db (g, script->last_member);
}

static FakeDatabase *
script_db (Script *script, char **words)
{
  return script->harness->databases[parse_db (script, words[1], words[2])];
}

static void
do_deployment (Script *script, char **words)
{
  script->options.deployment = g_str_equal (words[1], "tuul")
                                   ? &deployment_tuul
                                   : &deployment_nha_vung;
}

static void
do_proxies (Script *script, char **words)
{
  script->options.n_proxies = parse_number (words[1]);
}

static void
do_seed (Script *script, char **words)
{
  script->options.seed = parse_number (words[1]);
}

static void
do_lag (Script *script, char **words)
{
  script->options.lag_us = parse_time (words[1]);
}

static void
do_service (Script *script, char **words)
{
  script->options.service_us = parse_time (words[1]);
}

static void
do_start (Script *script, char **words)
{
  (void)words;
  script->harness = harness_create (&script->options);
}

/* For debugging: prints the cores' log after the run. */
static void
do_log (Script *script, char **words)
{
  (void)words;
  script->harness->log = g_string_new (NULL);
}

/* For debugging: prints the counts of result codes. */
static void
do_codes (Script *script, char **words)
{
  (void)words;
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    for (guint code = 0; code < HARNESS_MAX_CODE; code++)
      {
        const RankStats *stats
            = workload_stats (script->harness->workload, (TouRank)r);

        if (stats->codes[code] > 0)
          g_string_append_printf (script->out, "  %s %s %u\n", rank_names[r],
                                  tou_status_name ((int)code),
                                  stats->codes[code]);
      }
}

static void
do_rate (Script *script, char **words)
{
  workload_set_rate (script->harness->workload, parse_rank (words[1]),
                     parse_number (words[2]));
}

static void
do_run (Script *script, char **words)
{
  harness_run (script->harness,
               script->harness->now_us + parse_time (words[1]));
}

static void
do_reset (Script *script, char **words)
{
  (void)words;
  workload_reset_stats (script->harness->workload);
}

static void
do_kill_db (Script *script, char **words)
{
  fake_database_kill (script_db (script, words));
}

static void
do_start_db (Script *script, char **words)
{
  fake_database_start (script_db (script, words));
}

static void
do_pause_db (Script *script, char **words)
{
  fake_database_pause (script_db (script, words), TRUE);
}

static void
do_resume_db (Script *script, char **words)
{
  fake_database_pause (script_db (script, words), FALSE);
}

static void
set_db_cut (Script *script, char **words, gboolean cut)
{
  guint db = parse_db (script, words[1], words[2]);

  harness_isolate (script->harness, harness_db_entity (script->harness, db),
                   cut);
}

static void
do_cut_db (Script *script, char **words)
{
  set_db_cut (script, words, TRUE);
}

static void
do_heal_db (Script *script, char **words)
{
  set_db_cut (script, words, FALSE);
}

/* Cuts the network between a database and all other databases. */
static void
do_cut_replication (Script *script, char **words)
{
  Harness *harness = script->harness;
  guint db = parse_db (script, words[1], words[2]);

  for (guint i = 0; i < harness->n_databases; i++)
    if (i != db)
      harness_cut (harness, harness_db_entity (harness, db),
                   harness_db_entity (harness, i), TRUE);
}

static void
do_set_lag (Script *script, char **words)
{
  fake_database_set_lag (script_db (script, words), parse_time (words[3]));
}

static void
set_link_cut (Script *script, char **words, gboolean cut)
{
  guint db = parse_db (script, words[2], words[3]);

  harness_cut (script->harness, parse_index (words[1]),
               harness_db_entity (script->harness, db), cut);
}

static void
do_cut_link (Script *script, char **words)
{
  set_link_cut (script, words, TRUE);
}

static void
do_heal_link (Script *script, char **words)
{
  set_link_cut (script, words, FALSE);
}

static void
do_kill_proxy (Script *script, char **words)
{
  harness_kill_proxy (script->harness, parse_index (words[1]));
}

static void
do_start_proxy (Script *script, char **words)
{
  harness_start_proxy (script->harness, parse_index (words[1]));
}

static void
do_pause_proxy (Script *script, char **words)
{
  harness_pause_proxy (script->harness, parse_index (words[1]), TRUE);
}

static void
do_resume_proxy (Script *script, char **words)
{
  harness_pause_proxy (script->harness, parse_index (words[1]), FALSE);
}

static void
do_drain_proxy (Script *script, char **words)
{
  harness_drain_proxy (script->harness, parse_index (words[1]));
}

static void
do_cut_proxy (Script *script, char **words)
{
  harness_isolate (script->harness, parse_index (words[1]), TRUE);
}

static void
do_heal_proxy (Script *script, char **words)
{
  harness_isolate (script->harness, parse_index (words[1]), FALSE);
}

static void
do_store (Script *script, char **words)
{
  StoreMode mode = STORE_UP;

  if (g_str_equal (words[1], "down"))
    mode = STORE_DOWN;
  else if (g_str_equal (words[1], "stall"))
    mode = STORE_STALL;
  else if (g_str_equal (words[1], "lose"))
    mode = STORE_LOSE_REPLIES;
  fake_store_set_mode (script->harness->store, mode);
}

static void
do_vm_leaving (Script *script, char **words)
{
  TouName name = harness_endpoint_name (parse_db (script, words[1], words[2]));

  fake_store_mark_leaving (script->harness->store, &name);
}

/* Prints "ok", or "FAILED" with the measured value. */
static void G_GNUC_PRINTF (3, 4)
    print_result (Script *script, gboolean ok, const char *format, ...)
{
  va_list args;

  if (ok)
    {
      g_string_append (script->out, "  ok\n");
      return;
    }
  g_string_append (script->out, "  FAILED: ");
  va_start (args, format);
  g_string_append_vprintf (script->out, format, args);
  va_end (args);
  g_string_append_c (script->out, '\n');
}

static void
do_expect_gap (Script *script, char **words)
{
  guint64 limit = parse_time (words[2]);
  guint64 gap = workload_write_gap_us (script->harness->workload,
                                       parse_index (words[1] + 1));

  print_result (script, gap <= limit, "%" G_GUINT64_FORMAT " ms",
                gap / TOU_US_PER_MS);
}

static void
do_expect_service (Script *script, char **words)
{
  const RankStats *stats
      = workload_stats (script->harness->workload, parse_rank (words[1]));
  double percent
      = stats->offered > 0 ? 100.0 * stats->on_time / stats->offered : 0;

  print_result (script, percent >= g_ascii_strtod (words[2], NULL),
                "%.2f%% of %u (not run %u, unknown %u)", percent,
                stats->offered, stats->not_run, stats->unknown);
}

static void
do_expect_done (Script *script, char **words)
{
  const RankStats *stats
      = workload_stats (script->harness->workload, parse_rank (words[1]));

  print_result (script, stats->done >= parse_number (words[2]), "%u",
                stats->done);
}

static void
do_expect_drained (Script *script, char **words)
{
  print_result (script,
                script->harness->proxies[parse_index (words[1])].drained,
                "not drained");
}

static void
do_expect_connections (Script *script, char **words)
{
  guint most = 0;

  (void)words;
  for (guint i = 0; i < script->harness->n_databases; i++)
    most = MAX (most,
                fake_database_max_connections (script->harness->databases[i]));
  print_result (script, most <= script->options.deployment->connection_limit,
                "%u", most);
}

static void
do_expect_no_work (Script *script, char **words)
{
  guint64 last = fake_database_last_dispatch_us (script_db (script, words));
  guint64 now = script->harness->now_us;

  print_result (script, last + parse_time (words[3]) <= now,
                "last statement %" G_GUINT64_FORMAT " ms ago",
                (now - last) / TOU_US_PER_MS);
}

static void
do_check (Script *script, char **words)
{
  GPtrArray *violations = script->harness->violations;

  (void)words;
  workload_check_final (script->harness->workload);
  for (; script->reported < violations->len && script->reported < 10;
       script->reported++)
    g_string_append_printf (script->out, "  violation: %s\n",
                            (char *)violations->pdata[script->reported]);
  g_string_append_printf (script->out, "  violations: %u\n", violations->len);
}

static const Command commands[] = {
  { "deployment", do_deployment },
  { "proxies", do_proxies },
  { "seed", do_seed },
  { "lag", do_lag },
  { "service", do_service },
  { "start", do_start },
  { "log", do_log },
  { "codes", do_codes },
  { "rate", do_rate },
  { "run", do_run },
  { "reset", do_reset },
  { "kill-db", do_kill_db },
  { "start-db", do_start_db },
  { "pause-db", do_pause_db },
  { "resume-db", do_resume_db },
  { "cut-db", do_cut_db },
  { "heal-db", do_heal_db },
  { "set-lag", do_set_lag },
  { "cut-replication", do_cut_replication },
  { "cut-link", do_cut_link },
  { "heal-link", do_heal_link },
  { "kill-proxy", do_kill_proxy },
  { "start-proxy", do_start_proxy },
  { "pause-proxy", do_pause_proxy },
  { "resume-proxy", do_resume_proxy },
  { "drain-proxy", do_drain_proxy },
  { "cut-proxy", do_cut_proxy },
  { "heal-proxy", do_heal_proxy },
  { "store", do_store },
  { "vm-leaving", do_vm_leaving },
  { "expect-gap", do_expect_gap },
  { "expect-service", do_expect_service },
  { "expect-done", do_expect_done },
  { "expect-drained", do_expect_drained },
  { "expect-connections", do_expect_connections },
  { "expect-no-work", do_expect_no_work },
  { "check", do_check },
};

static void
run_line (Script *script, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", MAX_WORDS);

  g_string_append_printf (script->out, "%s\n", line);
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    if (words[0] != NULL && g_str_equal (words[0], commands[i].name))
      {
        commands[i].func (script, words);
        g_strfreev (words);
        return;
      }
  g_error ("script: unknown command: %s", line);
}

GString *
script_run (const char *text)
{
  Script script = { 0 };
  char **lines = g_strsplit (text, "\n", -1);

  script.out = g_string_new (NULL);
  script.options = (HarnessOptions){ .deployment = &deployment_tuul,
                                     .n_proxies = 6,
                                     .seed = 1,
                                     .lag_us = 20 * TOU_US_PER_MS,
                                     .service_us = 4 * TOU_US_PER_MS };
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' && (*line)[0] != '#')
      run_line (&script, *line);
  if (script.harness != NULL && script.harness->log != NULL)
    g_string_append (script.out, script.harness->log->str);
  if (script.harness != NULL)
    harness_destroy (script.harness);
  g_strfreev (lines);
  return script.out;
}
