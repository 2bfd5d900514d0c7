#include "daemon.h"

#include "core-service.h"
#include "database.h"
#include "http-callers.h"
#include "http-operators.h"
#include "log.h"
#include "peer.h"
#include "process-stats.h"
#include "store.h"

#include <sodium.h>

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Delay before the DRAIN event is sent again if the core's ring was full. */
#define DAEMON_DRAIN_RETRY_MS 10

/* Time after the limits of the drain at which the daemon stops even if the core
   has not reported the end of the drain. */
#define DAEMON_DRAIN_MARGIN_US (5 * TOU_US_PER_S)

struct TouDaemon
{
  const TouSettings *settings;
  TouCoreSettings core_settings;
  int drained_fd; /* eventfd, readable once the core has drained */
  TouRegistry *registry;
  TouCoreService *core;
  TouDatabase *database;
  TouPeer *peer;
  TouStoreClient *store;
  TouHttpCallers *callers;
  TouHttpOperators *operators;
  gboolean draining;       /* a stop signal has been received */
  gboolean drain_accepted; /* the core's ring has the DRAIN event */
  guint64 drain_deadline_us;
};

static int
daemon_submit (gpointer data, TouAction *action)
{
  const TouDaemon *daemon = data;
  guint64 one = 1;
  ssize_t written;

  if (action->type == TOU_ACTION_DRAINED)
    {
      written = write (daemon->drained_fd, &one, sizeof one);
      (void)written; /* the counter cannot overflow */
    }
  tou_action_clear (action);
  return TOU_OK;
}

static void
daemon_append_counter (GString *text, const char *name, guint64 value)
{
  g_string_append_printf (text,
                          "# TYPE toucanscale_peer_%s counter\n"
                          "toucanscale_peer_%s %" G_GUINT64_FORMAT "\n",
                          name, name, value);
}

static void
daemon_peer_metrics (gpointer service, GString *text)
{
  TouPeerCounters counters;

  tou_peer_counters (service, &counters);
  daemon_append_counter (text, "sent_total", counters.sent);
  daemon_append_counter (text, "received_total", counters.received);
  daemon_append_counter (text, "dropped_total", counters.dropped);
  daemon_append_counter (text, "invalid_total", counters.invalid);
  daemon_append_counter (text, "version_refused_total",
                         counters.version_refused);
  daemon_append_counter (text, "key_refused_total", counters.key_refused);
  daemon_append_counter (text, "core_full_total", counters.core_full);
}

static int
daemon_create_core (TouDaemon *daemon)
{
  const TouSettings *settings = daemon->settings;
  TouCoreServiceSettings core = { .core = &daemon->core_settings,
                                  .ring_capacity = settings->ring_capacity };

  daemon->core_settings = settings->core;
  /* Wall-clock time increases from one start of the proxy to the next. */
  daemon->core_settings.incarnation = (guint64)g_get_real_time ();
  randombytes_buf (&core.seed, sizeof core.seed);
  return tou_core_service_create (&daemon->core, &core, daemon->registry);
}

static int
daemon_create_database (TouDaemon *daemon, TouEventSink sink)
{
  const TouSettings *settings = daemon->settings;
  const TouDatabaseSettings database = {
    .user = settings->database_user,
    .password = settings->database_password,
    .database = settings->database_name,
    .client_name = settings->core.node.data,
    .connect_timeout_us = settings->connect_timeout_us,
    .ring_capacity = settings->ring_capacity,
  };
  int status = tou_database_create (&daemon->database, &database, sink);

  if (status == TOU_OK)
    status = tou_registry_register (daemon->registry, TOU_SERVICE_DATABASE,
                                    tou_database_submit, daemon->database);
  return status;
}

static int
daemon_create_peer (TouDaemon *daemon, TouEventSink sink)
{
  const TouSettings *settings = daemon->settings;
  const TouPeerSettings peer = {
    .listen_address = settings->peers_listen,
    .node = settings->core.node.data,
    .public_key = settings->curve_public_key,
    .secret_key = settings->curve_secret_key,
    .accepted_keys = (const char *const *)settings->curve_accepted_keys,
    .max_message = settings->max_message,
    .peer_queue_limit = settings->peer_buffer,
    .ring_capacity = settings->ring_capacity,
  };
  int status = tou_peer_create (&daemon->peer, &peer, sink);

  if (status != TOU_OK)
    return status;
  tou_registry_add_metrics (daemon->registry, daemon_peer_metrics,
                            daemon->peer);
  return tou_registry_register (daemon->registry, TOU_SERVICE_PEER,
                                tou_peer_submit, daemon->peer);
}

static int
daemon_create_store (TouDaemon *daemon, TouEventSink sink)
{
  const TouSettings *settings = daemon->settings;
  const TouStoreSettings store = {
    .store_url = settings->store_url,
    .vm_list_url = settings->vm_list_url,
    .ca_file = settings->store_ca_file,
    .timeout_us = settings->core.store_timeout_us,
    .ring_capacity = settings->ring_capacity,
  };
  int status = tou_store_create (&daemon->store, &store, sink);

  if (status == TOU_OK)
    status = tou_registry_register (daemon->registry, TOU_SERVICE_STORE,
                                    tou_store_submit, daemon->store);
  return status;
}

static int
daemon_create_http (TouDaemon *daemon, TouEventSink sink)
{
  TouRegistry *registry = daemon->registry;
  int status
      = tou_http_callers_create (&daemon->callers, daemon->settings, sink);

  if (status == TOU_OK)
    status = tou_registry_register (registry, TOU_SERVICE_HTTP,
                                    tou_http_callers_submit, daemon->callers);
  if (status == TOU_OK)
    status = tou_http_operators_create (&daemon->operators, daemon->settings,
                                        registry, sink);
  if (status == TOU_OK)
    status
        = tou_registry_register (registry, TOU_SERVICE_OPERATOR,
                                 tou_http_operators_submit, daemon->operators);
  if (status != TOU_OK)
    return status;
  tou_registry_add_metrics (registry, tou_http_callers_metrics,
                            daemon->callers);
  tou_registry_add_metrics (registry, tou_http_operators_metrics,
                            daemon->operators);
  tou_registry_add_metrics (registry, tou_process_stats_metrics, NULL);
  return TOU_OK;
}

/* Creates the services, then starts the threads that use all of them. */
static int
daemon_start (TouDaemon *daemon)
{
  TouEventSink sink;
  int status = tou_registry_create (&daemon->registry);

  if (status == TOU_OK)
    status = tou_registry_register (daemon->registry, TOU_SERVICE_DAEMON,
                                    daemon_submit, daemon);
  if (status == TOU_OK)
    status = daemon_create_core (daemon);
  if (status != TOU_OK)
    return status;
  sink = tou_core_service_sink (daemon->core);
  status = daemon_create_database (daemon, sink);
  if (status == TOU_OK)
    status = daemon_create_peer (daemon, sink);
  if (status == TOU_OK)
    status = daemon_create_store (daemon, sink);
  if (status == TOU_OK)
    status = daemon_create_http (daemon, sink);
  if (status == TOU_OK)
    status = tou_core_service_start (daemon->core);
  if (status == TOU_OK)
    status = tou_http_operators_start (daemon->operators);
  if (status == TOU_OK)
    status = tou_http_callers_start (daemon->callers);
  return status;
}

int
tou_daemon_create (TouDaemon **out, const TouSettings *settings)
{
  TouDaemon *daemon = g_new0 (TouDaemon, 1);
  int status;

  daemon->settings = settings;
  daemon->drained_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (daemon->drained_fd < 0)
    status = tou_status_set (TOU_E_IO, "eventfd: %s", g_strerror (errno));
  else
    status = daemon_start (daemon);
  if (status != TOU_OK)
    tou_daemon_destroy (daemon);
  else
    *out = daemon;
  return status;
}

/* Handles one signal; returns FALSE if the daemon must stop immediately. */
static gboolean
daemon_on_signal (TouDaemon *daemon, int signal_fd)
{
  const TouCoreSettings *core = &daemon->core_settings;
  struct signalfd_siginfo info;

  if (read (signal_fd, &info, sizeof info) != (ssize_t)sizeof info)
    return TRUE;
  /* SIGHUP is the usual signal for a reload; its default action would terminate
     the process with its requests in flight. */
  if (info.ssi_signo == SIGHUP)
    {
      tou_log (G_LOG_LEVEL_WARNING, TOU_OK,
               "SIGHUP ignored: a change of settings, keys or certificates "
               "requires a restart");
      return TRUE;
    }
  if (daemon->draining)
    {
      tou_log (G_LOG_LEVEL_WARNING, TOU_OK,
               "second stop signal received, stopping without waiting for "
               "requests");
      return FALSE;
    }
  tou_log (G_LOG_LEVEL_MESSAGE, TOU_OK, "stop signal received, draining");
  daemon->draining = TRUE;
  daemon->drain_deadline_us = (guint64)g_get_monotonic_time ()
                              + core->drain_delay_us + core->drain_timeout_us
                              + DAEMON_DRAIN_MARGIN_US;
  return TRUE;
}

/* Returns the timeout for poll (2) in milliseconds; -1: no limit. */
static int
daemon_wait_ms (TouDaemon *daemon)
{
  guint64 now_us = (guint64)g_get_monotonic_time ();

  if (!daemon->draining)
    return -1;
  if (!daemon->drain_accepted)
    return DAEMON_DRAIN_RETRY_MS;
  if (now_us >= daemon->drain_deadline_us)
    return 0;
  return (int)((daemon->drain_deadline_us - now_us) / TOU_US_PER_MS) + 1;
}

/* Waits for one event and handles it; returns TRUE if the daemon must stop. */
static gboolean
daemon_step (TouDaemon *daemon, int signal_fd)
{
  struct pollfd fds[] = { { .fd = signal_fd, .events = POLLIN },
                          { .fd = daemon->drained_fd, .events = POLLIN } };

  if (daemon->draining && !daemon->drain_accepted)
    daemon->drain_accepted
        = tou_http_operators_drain (daemon->operators) == TOU_OK;
  if (poll (fds, G_N_ELEMENTS (fds), daemon_wait_ms (daemon)) < 0)
    return errno != EINTR;
  if ((fds[0].revents & POLLIN) != 0 && !daemon_on_signal (daemon, signal_fd))
    return TRUE;
  if ((fds[1].revents & POLLIN) != 0)
    {
      tou_log (G_LOG_LEVEL_MESSAGE, TOU_OK, "drained");
      return TRUE;
    }
  if (daemon->draining
      && (guint64)g_get_monotonic_time () >= daemon->drain_deadline_us)
    {
      tou_log (G_LOG_LEVEL_WARNING, TOU_E_DEADLINE,
               "the drain did not end within its time limit, stopping");
      return TRUE;
    }
  return FALSE;
}

int
tou_daemon_run (TouDaemon *daemon, int signal_fd)
{
  while (!daemon_step (daemon, signal_fd))
    continue;
  return TOU_OK;
}

/* Prevents the operators' handlers from reading counters of freed services. */
static void
daemon_remove_metrics (TouDaemon *daemon)
{
  if (daemon->registry == NULL)
    return;
  tou_registry_remove_metrics (daemon->registry, daemon->callers);
  tou_registry_remove_metrics (daemon->registry, daemon->operators);
  tou_registry_remove_metrics (daemon->registry, daemon->peer);
}

void
tou_daemon_destroy (TouDaemon *daemon)
{
  if (daemon == NULL)
    return;
  if (daemon->callers != NULL)
    tou_http_callers_refuse_new (daemon->callers);
  /* The core's thread calls the services and is therefore stopped before they
     are freed. The services push events to the core's ring, which is freed
     after them. */
  if (daemon->core != NULL)
    tou_core_service_stop (daemon->core);
  daemon_remove_metrics (daemon);
  tou_http_callers_destroy (daemon->callers);
  tou_http_operators_destroy (daemon->operators);
  if (daemon->database != NULL)
    tou_database_destroy (daemon->database);
  if (daemon->peer != NULL)
    tou_peer_destroy (daemon->peer);
  if (daemon->store != NULL)
    tou_store_destroy (daemon->store);
  tou_core_service_destroy (daemon->core);
  tou_registry_destroy (daemon->registry);
  if (daemon->drained_fd >= 0)
    close (daemon->drained_fd);
  g_free (daemon);
}
