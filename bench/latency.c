/**
 * @file latency.c
 * Measures the latency that one proxy adds on loopback, and its CPU time.
 *
 * Starts the stand-ins and a proxy, opens idle keep-alive connections, and
 * sends the same statements at the same rate through libpq and through the
 * proxy to the same database. docs/MEASUREMENTS.md has the results.
 */
#include "latency/loop.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

/* Design 1.3: idle connections and statements per second of one proxy. */
#define IDLE_CONNECTIONS 2900
#define RATE 2200

/* Connections that carry the load. libpq gets as many as the proxy may open to
   one database, so that both can run equally many statements at once. */
#define PROXY_CONNECTIONS 64
#define DIRECT_CONNECTIONS 5

/* Duration of the load before the measurement, which fills caches and
   sessions. */
#define WARM_UP_SECONDS 1

typedef struct
{
  const char *bin_dir;
  guint idle;
  LoopOptions load;
} Options;

static const struct argp_option argp_options[] = {
  { "bin", 'b', "DIR", 0, "Directory of the programs (required)", 0 },
  { "idle", 'i', "N", 0, "Idle connections (default 2900)", 0 },
  { "rate", 'r', "N", 0, "Statements per second (default 2200)", 0 },
  { "seconds", 's', "N", 0, "Duration of a run (default 10)", 0 },
  { "writes", 'w', "PERCENT", 0, "Share of writes (default 20)", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Options *options = state->input;
  guint value = arg != NULL ? (guint)strtoul (arg, NULL, 10) : 0;

  switch (key)
    {
    case 'b':
      options->bin_dir = arg;
      return 0;
    case 'i':
      options->idle = value;
      return 0;
    case 'r':
      options->load.rate = MAX (value, 1);
      return 0;
    case 's':
      options->load.seconds = value;
      return 0;
    case 'w':
      options->load.writes_percent = value;
      return 0;
    case ARGP_KEY_END:
      if (options->bin_dir == NULL)
        argp_error (state, "--bin is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns the CPU time of a process in seconds. */
static double
cpu_seconds (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/stat", (int)pid);
  unsigned long user = 0;
  unsigned long kernel = 0;
  FILE *file = fopen (path, "re");

  /* Fields 14 and 15. The %*s is safe: the program's name, field 2, has no
     space. */
  if (file == NULL
      || fscanf (file,
                 "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                 &user, &kernel)
             != 2)
    g_error ("cannot read %s", path);
  fclose (file);
  g_free (path);
  return (double)(user + kernel) / (double)sysconf (_SC_CLK_TCK);
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Runs one statement on each connection, so that the proxy keeps it alive. */
static void
run_once_on_each (const Target *idle)
{
  for (guint i = 0; i < idle->n; i++)
    {
      TargetState state = TARGET_PENDING;

      idle->send (idle->data, i, TRUE, i);
      while (state == TARGET_PENDING)
        state = idle->receive (idle->data, i);
    }
}

static void
print_row (const char *kind, const GArray *proxy, const GArray *direct)
{
  static const double percents[] = { 50, 99 };

  for (guint i = 0; i < G_N_ELEMENTS (percents); i++)
    {
      double proxy_us = loop_percentile_us (proxy, percents[i]);
      double libpq_us = loop_percentile_us (direct, percents[i]);

      printf ("| %s | p%.0f | %.0f | %.0f | %.0f | %.1f |\n", kind, percents[i],
              proxy_us, libpq_us, proxy_us - libpq_us,
              libpq_us > 0 ? proxy_us / libpq_us : 0);
    }
}

static void
print_table (const LoopResult *proxy, const LoopResult *direct, double cores)
{
  double load[3] = { 0 };

  printf ("| statements | percentile | proxy us | libpq us | added us | ratio "
          "|\n|---|---|---|---|---|---|\n");
  print_row ("all", proxy->all, direct->all);
  print_row ("reads", proxy->reads, direct->reads);
  print_row ("writes", proxy->writes, direct->writes);
  if (getloadavg (load, G_N_ELEMENTS (load)) < 0)
    load[0] = 0;
  printf ("\nproxy CPU %.2f cores; statements %u, failed %u; through libpq %u, "
          "failed %u; load average %.1f on %ld processors\n",
          cores, proxy->all->len, proxy->failed, direct->all->len,
          direct->failed, load[0], sysconf (_SC_NPROCESSORS_ONLN));
}

static void
warm_up (const Target *target, const LoopOptions *load)
{
  LoopOptions options = *load;
  LoopResult result;

  options.seconds = WARM_UP_SECONDS;
  options.writes_percent = 0;
  loop_run (&result, target, &options);
  loop_result_clear (&result);
}

/* Measures libpq, then the proxy; returns the number of failed statements. */
static guint
measure (const TouProcessFleet *fleet, const Options *options)
{
  Target direct;
  Target idle;
  Target active;
  LoopResult proxy_result;
  LoopResult libpq_result;
  double cpu;
  guint failed;

  target_open_direct (&direct, fleet, DIRECT_CONNECTIONS);
  warm_up (&direct, &options->load);
  loop_run (&libpq_result, &direct, &options->load);
  target_close_direct (&direct);
  target_open_http (&idle, fleet, options->idle);
  run_once_on_each (&idle);
  target_open_http (&active, fleet, PROXY_CONNECTIONS);
  warm_up (&active, &options->load);
  cpu = cpu_seconds (fleet->proxy[0]);
  loop_run (&proxy_result, &active, &options->load);
  cpu = cpu_seconds (fleet->proxy[0]) - cpu;
  print_table (&proxy_result, &libpq_result,
               cpu / MAX (options->load.seconds, 1));
  failed = proxy_result.failed + libpq_result.failed;
  target_close_http (&active);
  target_close_http (&idle);
  loop_result_clear (&proxy_result);
  loop_result_clear (&libpq_result);
  return failed;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    argp_options, parse_option, NULL, "Measures the latency that a proxy adds.",
    NULL,         NULL,         NULL
  };
  Options options
      = { .idle = IDLE_CONNECTIONS,
          .load
          = { .rate = RATE, .seconds = 10, .writes_percent = 20, .seed = 1 } };
  TouProcessFleetOptions fleet_options
      = { .n_proxies = 1,
          .database_options = "--connect-ms 1 --service-us 50",
          .slots = 3 };
  TouProcessFleet *fleet;
  guint failed;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  raise_descriptor_limit ();
  /* The default timer slack of 50 us would delay the statements. */
  prctl (PR_SET_TIMERSLACK, 1);
  fleet_options.bin_dir = options.bin_dir;
  fleet = tou_process_fleet_start (&fleet_options);
  if (fleet == NULL)
    {
      fputs ("cannot start the stand-ins and the proxy\n", stderr);
      return EXIT_FAILURE;
    }
  failed = measure (fleet, &options);
  tou_process_fleet_stop (fleet);
  return failed > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
