#include "private.h"

#include <glib/gstdio.h>

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

/* Program of the deploy file. */
#define PROGRAM "target/toucansessiond"
#define PORT_FRONTEND 8784
#define PORT_READINESS 8785
#define PORT_CONTROL 8782
#define PORT_INTERNAL 7440
#define PORT_PLATFORM 8783
#define PORT_CLOUD 8786
#define TICK_MS 2

static guint64
monotonic_ms (void)
{
  return (guint64)g_get_monotonic_time () / 1000;
}

guint64
bench_ms (const Bench *bench)
{
  return monotonic_ms () - bench->started_ms;
}

gboolean
bench_trouble (const Bench *bench)
{
  return bench->trouble;
}

void
bench_note (Bench *bench, const char *format, ...)
{
  va_list args;
  guint64 ms = bench_ms (bench);

  fprintf (bench->record, "%3" G_GUINT64_FORMAT ".%03" G_GUINT64_FORMAT " s  ",
           ms / 1000, ms % 1000);
  va_start (args, format);
  vfprintf (bench->record, format, args);
  va_end (args);
  fputc ('\n', bench->record);
  fflush (bench->record);
}

struct sockaddr_in
bench_address (const char *ip, guint port)
{
  struct sockaddr_in address;

  uv_ip4_addr (ip, (int)port, &address);
  return address;
}

/* Each process has a loopback network of its own, so that runs do not meet. */
char *
bench_next_ip (Bench *bench)
{
  bench->host++;
  return g_strdup_printf ("127.%u.%u.%u", 16 + bench->net / 250 % 200,
                          1 + bench->net % 250, bench->host);
}

void
bench_listen (Bench *bench, uv_tcp_t *listener, const char *ip, guint port,
              gpointer data, uv_connection_cb on_connection)
{
  struct sockaddr_in address = bench_address (ip, port);

  uv_tcp_init (&bench->loop, listener);
  listener->data = data;
  if (uv_tcp_bind (listener, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)listener, 512, on_connection) != 0)
    {
      fprintf (stderr, "cannot listen on %s:%u\n", ip, port);
      exit (CASE_NOT_RUN);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  Bench *bench = timer->data;

  platform_tick (bench);
  databases_tick (bench);
}

static void
on_stop (uv_signal_t *handle, int signum)
{
  (void)signum;
  bench_end (handle->data, CASE_NOT_RUN, "stopped by a signal");
}

Bench *
bench_new (const char *record_path, const char *trouble)
{
  Bench *bench = g_new0 (Bench, 1);

  bench->trouble = strcmp (trouble, "off") != 0;
  signal (SIGPIPE, SIG_IGN);
  bench->record = fopen (record_path, "w");
  if (bench->record == NULL || access (PROGRAM, X_OK) != 0)
    {
      fprintf (stderr, "cannot write %s or run " PROGRAM "\n", record_path);
      exit (CASE_NOT_RUN);
    }
  bench->started_ms = monotonic_ms ();
  bench->dir = g_dir_make_tmp ("review-XXXXXX", NULL);
  bench->net = (guint)getpid ();
  bench->result = CASE_NOT_RUN;
  bench->routes = g_ptr_array_new ();
  bench->databases = g_ptr_array_new ();
  bench->nodes = g_ptr_array_new ();
  bench->ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  bench->sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  bench->next_id = 0x5c0e7a2100000000;
  uv_loop_init (&bench->loop);
  platform_init (bench);
  uv_timer_init (&bench->loop, &bench->tick);
  bench->tick.data = bench;
  uv_timer_start (&bench->tick, on_tick, 0, TICK_MS);
  uv_signal_init (&bench->loop, &bench->term);
  bench->term.data = bench;
  uv_signal_start (&bench->term, on_stop, SIGTERM);
  uv_signal_init (&bench->loop, &bench->interrupt);
  bench->interrupt.data = bench;
  uv_signal_start (&bench->interrupt, on_stop, SIGINT);
  bench_note (bench, "trouble is %s", bench_trouble (bench) ? "on" : "off");
  return bench;
}

typedef struct
{
  uv_timer_t timer;
  void (*call) (gpointer);
  gpointer data;
} Later;

static void
later_on_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
later_on_timer (uv_timer_t *timer)
{
  Later *later = timer->data;

  later->call (later->data);
  uv_close ((uv_handle_t *)timer, later_on_closed);
}

void
bench_after (Bench *bench, guint64 ms, void (*call) (gpointer), gpointer data)
{
  Later *later = g_new0 (Later, 1);

  later->call = call;
  later->data = data;
  uv_timer_init (&bench->loop, &later->timer);
  later->timer.data = later;
  uv_update_time (&bench->loop);
  uv_timer_start (&later->timer, later_on_timer, ms, 0);
}

void
bench_end (Bench *bench, int result, const char *reason)
{
  if (bench->ended)
    return;
  bench->ended = TRUE;
  bench->result = result;
  bench_note (bench, "end: %s: %s",
              result == CASE_HELD     ? "the rule held"
              : result == CASE_BROKEN ? "the rule was broken"
                                      : "the case could not run",
              reason);
  uv_stop (&bench->loop);
}

static void
on_limit (gpointer data)
{
  bench_end (data, CASE_NOT_RUN, "time limit");
}

static gboolean
any_node_runs (const Bench *bench)
{
  for (guint i = 0; i < bench->nodes->len; i++)
    if (((const Node *)g_ptr_array_index (bench->nodes, i))->runs)
      return TRUE;
  return FALSE;
}

int
bench_run (Bench *bench, guint64 limit_ms)
{
  bench_after (bench, limit_ms, on_limit, bench);
  uv_run (&bench->loop, UV_RUN_DEFAULT);
  for (guint i = 0; i < bench->nodes->len; i++)
    {
      Node *node = g_ptr_array_index (bench->nodes, i);

      if (node->runs)
        uv_process_kill (&node->process, SIGKILL);
      g_unlink (node->settings);
    }
  while (any_node_runs (bench))
    uv_run (&bench->loop, UV_RUN_ONCE);
  g_rmdir (bench->dir);
  fclose (bench->record);
  return bench->result;
}

void
bench_service (Bench *bench, const char *name, guint max_conns,
               guint sync_replicas)
{
  bench->service = g_strdup (name);
  bench->max_conns = max_conns;
  bench->sync_replicas = sync_replicas;
}

void
bench_route (Bench *bench, const char *host, const char *type, guint timeout_ms,
             guint priority, gint max_staleness_ms)
{
  json_t *route = json_pack (
      "{s:s+,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name", "r-", host, "host",
      host, "pathPrefix", "/", "type", type, "timeoutMs", (int)timeout_ms,
      "targetLatencyMs", (int)timeout_ms, "priority", (int)priority, "service",
      bench->service, "maxAttempts", 2);

  if (max_staleness_ms >= 0)
    json_object_set_new (route, "maxStalenessMs",
                         json_integer (max_staleness_ms));
  g_ptr_array_add (bench->routes, route);
}

void
bench_configure (Bench *bench)
{
  json_t *routes = json_array ();
  json_t *root;
  char *text;

  for (guint i = 0; i < bench->routes->len; i++)
    json_array_append (routes, g_ptr_array_index (bench->routes, i));
  bench->version += 7;
  root = json_pack (
      "{s:I,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:i}],s:{s:i,s:i,s:i,s:i,s:i}}",
      "version", (json_int_t)bench->version, "routes", routes, "services",
      "name", bench->service, "healthPath", "/health", "maxConns",
      (int)bench->max_conns, "protocol", "h1", "tls", 0, "syncReplicas",
      (int)bench->sync_replicas, "limits", "headerBytes", 16384, "maxBodyBytes",
      262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000, "txIdleMs",
      3000);
  text = json_dumps (root, JSON_COMPACT);
  platform_put (bench, "op/config", text);
  bench_note (bench, "operator: configuration %" G_GUINT64_FORMAT " acked",
              bench->version);
  free (text);
  json_decref (root);
}

/* Settings of a small deployment; the bounds are those of the site file. */
static const char settings_text[]
    = "node=%s\nrole=proxy\nnodeClass=front\nserves=front\nip=%s\n"
      "zone=ub-east\nregion=ulaanbaatar\nzones.ub-east=ulaanbaatar\n"
      "listen.frontend=%s:%d\nlisten.readiness=%s:%d\n"
      "internalPorts=%d,%d\nseeds=\nbootstrap=%s\ninFaultBudget=false\n"
      "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
      "limits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
      "discovery=platform\nentry=vip\nheartbeatMs=1200\n"
      "contracts=base,drain,config,cost,recover,sql,platform\n"
      "faultTolerance.machines=2\nfaultTolerance.zones=0\n"
      "faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.addrReuseS=2\n"
      "bounds.contactMs=5000\nbounds.ackMs=6000\nbounds.catchupS=4\n"
      "bounds.drainMs=7000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
      "bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n"
      "bounds.skewMaxMs=15000\nbounds.recoverS=12\n"
      "bounds.requireFence=false\nbounds.thawSlackMs=300\n"
      "platform.address=%s:%d\nplatform.form=kv\nplatform.writesPerS=400\n"
      "platform.readsPerS=2000\nplatform.historyS=20\n"
      "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
      "cloudApi.address=%s:%d\ncloudApi.ratePerS=50.0\n"
      "cloudApi.duties=failover\ncloudApi.dutyPerS=50.0\n";

/* Pause before the platform starts an ended process again. */
#define RESTART_MS 900
/* Interval at which the platform compares the memory with the limit. */
#define MEMORY_CHECK_MS 10
#define MEMORY_LIMIT_MB 260

static void node_spawn (Node *node);

static void
node_restart (gpointer data)
{
  Node *node = data;

  if (!node->bench->ended)
    node_spawn (node);
}

static void
node_check_memory (gpointer data)
{
  Node *node = data;
  char *path;
  char *text = NULL;
  unsigned long pages = 0;

  if (!node->runs)
    return;
  path = g_strdup_printf ("/proc/%d/statm", node->process.pid);
  if (g_file_get_contents (path, &text, NULL, NULL))
    sscanf (text, "%*u %lu", &pages);
  g_free (path);
  g_free (text);
  if (pages * (unsigned long)getpagesize () > MEMORY_LIMIT_MB << 20)
    {
      bench_note (node->bench, "node %s: over %d MB, killed", node->name,
                  MEMORY_LIMIT_MB);
      uv_process_kill (&node->process, SIGKILL);
      return;
    }
  bench_after (node->bench, MEMORY_CHECK_MS, node_check_memory, node);
}

void
node_keep (Node *node)
{
  node->kept = TRUE;
  node_check_memory (node);
}

guint
node_ends (const Node *node)
{
  return node->n_ends;
}

static void
node_on_exit (uv_process_t *process, int64_t status, int signum)
{
  Node *node = process->data;

  node->runs = FALSE;
  node->n_ends++;
  if (node->kept)
    bench_after (node->bench, RESTART_MS, node_restart, node);
  bench_note (node->bench, "node %s: process ended, status %d, signal %d",
              node->name, (int)status, signum);
}

static void
node_spawn (Node *node)
{
  char *variable = g_strconcat ("TOUCANSCALE_SETTINGS=", node->settings, NULL);
  char *args[] = { (char *)PROGRAM, NULL };
  char *env[] = { (char *)"PATH=/usr/bin:/bin", variable, NULL };
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE },
                                    { .flags = UV_IGNORE },
                                    { .flags = UV_IGNORE } };
  uv_process_options_t options = { 0 };
  int error;

  if (getenv ("REVIEW_LOG") != NULL)
    {
      FILE *file = fopen (getenv ("REVIEW_LOG"), "a");

      stdio[1].flags = UV_INHERIT_FD;
      stdio[1].data.fd = fileno (file);
    }
  options.exit_cb = node_on_exit;
  options.file = PROGRAM;
  options.args = args;
  options.env = env;
  options.stdio = stdio;
  options.stdio_count = G_N_ELEMENTS (stdio);
  node->process.data = node;
  error = uv_spawn (&node->bench->loop, &node->process, &options);
  if (error != 0)
    {
      fprintf (stderr, "cannot start " PROGRAM ": %s\n", uv_strerror (error));
      exit (CASE_NOT_RUN);
    }
  node->runs = TRUE;
  if (node->kept)
    node_check_memory (node);
  bench_note (node->bench, "node %s: started", node->name);
  g_free (variable);
}

Node *
node_start (Bench *bench, const char *name)
{
  Node *node = g_new0 (Node, 1);
  char *text;

  node->bench = bench;
  node->name = g_strdup (name);
  node->ip = bench_next_ip (bench);
  node->settings = g_strdup_printf ("%s/%s.conf", bench->dir, name);
  node->conns = g_ptr_array_new ();
  text = g_strdup_printf (settings_text, name, node->ip, node->ip,
                          PORT_FRONTEND, node->ip, PORT_READINESS,
                          PORT_INTERNAL, PORT_INTERNAL + 15, "false", node->ip,
                          PORT_PLATFORM, node->ip, PORT_CLOUD);
  g_file_set_contents (node->settings, text, -1, NULL);
  g_free (text);
  platform_listen (node);
  g_ptr_array_add (bench->nodes, node);
  node_spawn (node);
  return node;
}

const char *
node_name (const Node *node)
{
  return node->name;
}

gboolean
node_runs (const Node *node)
{
  return node->runs;
}

void
node_signal (Node *node, int signum)
{
  bench_note (node->bench, "node %s: %s sent", node->name,
              signum == SIGTERM   ? "SIGTERM"
              : signum == SIGKILL ? "SIGKILL"
              : signum == SIGSTOP ? "SIGSTOP"
              : signum == SIGCONT ? "SIGCONT"
                                  : "signal");
  uv_process_kill (&node->process, signum);
}

typedef struct
{
  uv_poll_t poll;
  int fd;
  void (*call) (gpointer);
  gpointer data;
} Precise;

static void
precise_on_closed (uv_handle_t *handle)
{
  Precise *precise = handle->data;

  close (precise->fd);
  g_free (precise);
}

static void
precise_on_poll (uv_poll_t *poll, int status, int events)
{
  Precise *precise = poll->data;

  (void)status;
  (void)events;
  uv_poll_stop (poll);
  precise->call (precise->data);
  uv_close ((uv_handle_t *)poll, precise_on_closed);
}

void
bench_after_us (Bench *bench, guint64 us, void (*call) (gpointer),
                gpointer data)
{
  Precise *precise = g_new0 (Precise, 1);
  struct itimerspec when = { 0 };

  when.it_value.tv_sec = (time_t)(us / 1000000);
  when.it_value.tv_nsec = (long)(us % 1000000 * 1000 + 1);
  precise->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  timerfd_settime (precise->fd, 0, &when, NULL);
  precise->call = call;
  precise->data = data;
  uv_poll_init (&bench->loop, &precise->poll, precise->fd);
  precise->poll.data = precise;
  uv_poll_start (&precise->poll, UV_READABLE, precise_on_poll);
}
