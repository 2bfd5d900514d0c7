/* Measures the decisions of the core in virtual time, for both deployments:
 * share of reads served by replicas, longest gap between writes for each fault,
 * share of requests answered in time for each rank under overload, store calls,
 * and time until a configuration change is applied by all proxies.
 *
 * Equal seeds give equal figures on every machine.
 */
#include "support/harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROXIES 8
/* Runs per fault; the seed of run i is BASE_SEED + i. */
#define FAULT_RUNS 20
#define BASE_SEED 100
/* Time in which the proxies join and promote the first primaries,
   microseconds. */
#define WARM_UP_US (4 * TOU_US_PER_S)
/* Replication delay and service time of the databases, microseconds. */
#define LAG_US (20 * TOU_US_PER_MS)
#define SERVICE_US (20 * TOU_US_PER_MS)
/* Load of a flood, as a multiple of the capacity of all slots. */
#define FLOOD_FACTOR 10

static const Deployment *const deployments[]
    = { &deployment_tuul, &deployment_nha_vung };

static Harness *
start_harness (const Deployment *deployment, guint proxies, guint64 seed)
{
  HarnessOptions options = { .deployment = deployment,
                             .n_proxies = proxies,
                             .seed = seed,
                             .lag_us = LAG_US,
                             .service_us = SERVICE_US };
  Harness *harness = harness_create (&options);

  harness_run (harness, harness->now_us + WARM_UP_US);
  return harness;
}

static void
run_for (Harness *harness, guint64 us)
{
  harness_run (harness, harness->now_us + us);
}

static void
set_rates (Harness *harness, guint urgent, guint review, guint status)
{
  workload_set_rate (harness->workload, TOU_RANK_URGENT, urgent);
  workload_set_rate (harness->workload, TOU_RANK_REVIEW, review);
  workload_set_rate (harness->workload, TOU_RANK_STATUS, status);
}

/* Stops the load, prints the first violations and returns their number. */
static guint
finish_harness (Harness *harness)
{
  guint violations;

  set_rates (harness, 0, 0, 0);
  run_for (harness, 5 * TOU_US_PER_S);
  workload_check_final (harness->workload);
  violations = harness->violations->len;
  for (guint i = 0; i < violations && i < 5; i++)
    printf ("  violation: %s\n", (char *)harness->violations->pdata[i]);
  harness_destroy (harness);
  return violations;
}

static double
percentage (guint64 part, guint64 other)
{
  return part + other > 0 ? 100.0 * (double)part / (double)(part + other) : 0;
}

static void
measure_reads (const Deployment *deployment)
{
  Harness *harness = start_harness (deployment, PROXIES, BASE_SEED);
  static const char *const modes[] = { "session", "max_age", "fresh" };

  set_rates (harness, 120, 120, 240);
  run_for (harness, 10 * TOU_US_PER_S);
  printf ("%s reads by replicas:", deployment->name);
  for (guint i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      char *replica = g_strdup_printf ("reads_%s_replica_total", modes[i]);
      char *primary = g_strdup_printf ("reads_%s_primary_total", modes[i]);

      printf ("  %s %.1f%%", modes[i],
              percentage (harness_counter (harness, replica),
                          harness_counter (harness, primary)));
      g_free (replica);
      g_free (primary);
    }
  printf ("  retries %.2f%%",
          100.0 * (double)harness_counter (harness, "retries_total")
              / (double)MAX (harness_counter (harness, "requests_total"), 1));
  printf ("  violations %u\n", finish_harness (harness));
}

typedef enum
{
  FAULT_CRASH,
  FAULT_PARTITION,
  FAULT_PARTIAL,
  FAULT_PAUSE,
  FAULT_FLAPPING,
  FAULT_COUNT
} Fault;

static const char *const fault_names[FAULT_COUNT]
    = { "crash", "partition", "partial", "pause", "flapping" };

static void
inject_fault (Harness *harness, Fault fault, guint primary)
{
  FakeDatabase *db = harness->databases[primary];
  guint entity = harness_db_entity (harness, primary);

  switch (fault)
    {
    case FAULT_CRASH:
      fake_database_kill (db);
      break;
    case FAULT_PARTITION:
      harness_isolate (harness, entity, TRUE);
      break;
    case FAULT_PARTIAL:
      /* Two thirds of the proxies, and the replicas, cannot reach the
         primary. */
      for (guint i = 0; i < harness->n_entities; i++)
        if (i != entity && (i >= harness->options.n_proxies || i % 3 != 0))
          harness_cut (harness, entity, i, TRUE);
      break;
    case FAULT_PAUSE:
      fake_database_pause (db, TRUE);
      break;
    case FAULT_FLAPPING:
      for (guint i = 0; i < 3; i++)
        {
          harness_isolate (harness, entity, TRUE);
          run_for (harness, 300 * TOU_US_PER_MS);
          harness_isolate (harness, entity, FALSE);
          run_for (harness, 300 * TOU_US_PER_MS);
        }
      harness_isolate (harness, entity, TRUE);
      break;
    case FAULT_COUNT:
      break;
    }
}

static int
compare_u64 (const void *a, const void *b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
}

static void
measure_fault (const Deployment *deployment, Fault fault)
{
  guint64 gaps[FAULT_RUNS];
  guint violations = 0;

  for (guint i = 0; i < FAULT_RUNS; i++)
    {
      Harness *harness = start_harness (deployment, PROXIES, BASE_SEED + i);
      int primary;

      set_rates (harness, 150, 30, 60);
      run_for (harness, 2 * TOU_US_PER_S);
      workload_reset_stats (harness->workload);
      primary = MAX (fake_group_primary (harness, 0), 0);
      inject_fault (harness, fault, harness_db (0, (guint)primary));
      run_for (harness, 8 * TOU_US_PER_S);
      gaps[i] = workload_write_gap_us (harness->workload, 0);
      harness_isolate (
          harness, harness_db_entity (harness, harness_db (0, (guint)primary)),
          FALSE);
      fake_database_pause (harness->databases[harness_db (0, (guint)primary)],
                           FALSE);
      violations += finish_harness (harness);
    }
  qsort (gaps, FAULT_RUNS, sizeof gaps[0], compare_u64);
  printf ("%s write gap, %s: p50 %" G_GUINT64_FORMAT
          " ms  max %" G_GUINT64_FORMAT " ms  runs %d  violations %u\n",
          deployment->name, fault_names[fault],
          gaps[FAULT_RUNS / 2] / TOU_US_PER_MS,
          gaps[FAULT_RUNS - 1] / TOU_US_PER_MS, FAULT_RUNS, violations);
}

static void
print_ranks (const Harness *harness)
{
  static const char *const names[] = { "urgent", "review", "status" };

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      const RankStats *s = workload_stats (harness->workload, (TouRank)r);

      printf ("  %s %.2f%% of %u", names[r],
              s->offered > 0 ? 100.0 * s->on_time / s->offered : 0, s->offered);
    }
}

/* Utilization of all slots during span_us, in percent. */
static double
slot_use_percent (const Harness *harness, const guint64 *busy_before,
                  guint64 span_us)
{
  guint64 busy = 0;

  for (guint i = 0; i < harness->n_databases; i++)
    busy += fake_database_busy_us (harness->databases[i]) - busy_before[i];
  return 100.0 * (double)busy
         / ((double)span_us * harness->options.deployment->slots
            * harness->n_databases);
}

static void
measure_flood (const Deployment *deployment, const char *name, int flood_rank,
               gboolean failover)
{
  Harness *harness = start_harness (deployment, PROXIES, BASE_SEED);
  guint capacity = (guint)((guint64)harness->n_databases * deployment->slots
                           * TOU_US_PER_S / SERVICE_US);
  guint rates[TOU_RANK_COUNT] = { capacity / 20, capacity / 20, capacity / 20 };
  guint64 busy[16] = { 0 };
  guint64 span_us = 8 * TOU_US_PER_S;

  if (flood_rank >= 0)
    rates[flood_rank] = FLOOD_FACTOR * capacity;
  set_rates (harness, rates[0], rates[1], rates[2]);
  run_for (harness, 2 * TOU_US_PER_S);
  workload_reset_stats (harness->workload);
  for (guint i = 0; i < harness->n_databases; i++)
    busy[i] = fake_database_busy_us (harness->databases[i]);
  run_for (harness, span_us / 2);
  if (failover)
    fake_database_kill (harness->databases[harness_db (
        0, (guint)MAX (fake_group_primary (harness, 0), 0))]);
  run_for (harness, span_us / 2);
  printf ("%s %s:", deployment->name, name);
  print_ranks (harness);
  printf ("  slot use %.1f%%", slot_use_percent (harness, busy, span_us));
  printf ("  violations %u\n", finish_harness (harness));
}

/* Numbers of proxies for which store calls and configuration changes are
   measured. */
static const guint fleet_sizes[] = { 3, 6, 8, 24, 72 };

static void
measure_fleet (const Deployment *deployment, guint proxies)
{
  Harness *harness = start_harness (deployment, proxies, BASE_SEED);
  guint64 calls = fake_store_calls (harness->store);
  guint64 started;
  guint n_behind = 1;

  run_for (harness, 20 * TOU_US_PER_S);
  printf ("%s fleet of %u: store calls %.1f/s", deployment->name, proxies,
          (double)(fake_store_calls (harness->store) - calls) / 20);
  started = harness->now_us;
  harness_change_config (harness, 0, "config/default/staleness",
                         "{\"max_age_ms\":4000}", 0);
  while (n_behind > 0 && harness->now_us < started + 30 * TOU_US_PER_S)
    {
      run_for (harness, 5 * TOU_US_PER_MS);
      n_behind = 0;
      for (guint i = 0; i < proxies; i++)
        n_behind
            += harness->config_code != TOU_OK
               || harness_feed_revision (harness, i) < harness->config_revision;
    }
  printf ("  configuration in force everywhere after %" G_GUINT64_FORMAT
          " ms (code %d, behind %u)",
          (harness->now_us - started) / TOU_US_PER_MS, harness->config_code,
          n_behind);
  printf ("  violations %u\n", finish_harness (harness));
}

int
main (void)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (guint d = 0; d < G_N_ELEMENTS (deployments); d++)
    {
      measure_reads (deployments[d]);
      for (guint f = 0; f < FAULT_COUNT; f++)
        measure_fault (deployments[d], (Fault)f);
      measure_flood (deployments[d], "without flood", -1, FALSE);
      measure_flood (deployments[d], "status flood", TOU_RANK_STATUS, FALSE);
      measure_flood (deployments[d], "urgent flood", TOU_RANK_URGENT, FALSE);
      measure_flood (deployments[d], "status flood and failover",
                     TOU_RANK_STATUS, TRUE);
      measure_flood (deployments[d], "urgent flood and failover",
                     TOU_RANK_URGENT, TRUE);
      for (guint i = 0; i < G_N_ELEMENTS (fleet_sizes); i++)
        measure_fleet (deployments[d], fleet_sizes[i]);
    }
  return 0;
}
