#include "sessiond.h"

#include "admin.h"
#include "control.h"
#include "credit.h"
#include "placement.h"
#include "relay.h"

#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Deregistration starts at the latest this long before the platform kills the
   process. */
#define SESSIOND_EXIT_MARGIN_US (600 * TOU_US_PER_MS)
/* The process ends at the latest this long before it would be killed. */
#define SESSIOND_LAST_MARGIN_US (100 * TOU_US_PER_MS)
/* Larger blocks are returned to the system when they are freed. Set explicitly,
   because malloc raises the value when large blocks are freed, which leaves the
   memory of a burst of messages with the process. */
#define SESSIOND_MMAP_BYTES (128 * 1024)
/* Time to revoke the lease and remove the registration before the exit. */
#define SESSIOND_DEREGISTER_US (250 * TOU_US_PER_MS)

typedef struct
{
  TouProxy *proxy;
  TouAdmin *admin;
  TouPeers *peers;
  TouControl *control;
  PlatHttp *http;
  PlatStore *store;
  const char *settings_path;
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hangup;
  guint64 kill_deadline_us;    /* when the platform kills the process */
  guint64 deregister_start_us; /* when deregistration started */
} TouSessiond;

static void
sessiond_on_stop (uv_signal_t *handle, int signum)
{
  TouSessiond *daemon = handle->data;
  guint64 now_us = tou_clock_us ();

  if (daemon->proxy->draining)
    return;
  tou_evlog (TOU_EVLOG_STATE, "stopping", "\"signal\":%d,\"sessions\":%u",
             signum, daemon->proxy->clients.length);
  daemon->kill_deadline_us = now_us + daemon->proxy->settings.grace_us;
  tou_proxy_drain (daemon->proxy, now_us);
}

static void
sessiond_on_hangup (uv_signal_t *handle, int signum)
{
  TouSessiond *daemon = handle->data;
  TouNodeSettings settings;

  (void)signum;
  if (plat_settings_load (&settings, daemon->settings_path) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_STATE, "reload_failed", "\"error\":\"%s\"",
                 tou_status_message ());
      return;
    }
  daemon->proxy->settings.drain_us = settings.drain_us;
  daemon->proxy->settings.grace_us = settings.grace_us;
  tou_evlog (
      TOU_EVLOG_STATE, "reload",
      "\"drain_ms\":%" G_GUINT64_FORMAT ",\"grace_ms\":%" G_GUINT64_FORMAT,
      settings.drain_us / TOU_US_PER_MS, settings.grace_us / TOU_US_PER_MS);
}

/* Deregisters the node once all sessions are closed or the kill deadline is
   near. */
static void
sessiond_tick_stop (TouSessiond *daemon, guint64 now_us)
{
  TouProxy *proxy = daemon->proxy;

  if (daemon->deregister_start_us == 0
      && ((proxy->clients.length == 0
           && tou_proxy_should_close_sessions (proxy, now_us)
           && !tou_control_holds_seat (daemon->control, now_us))
          || now_us + SESSIOND_EXIT_MARGIN_US >= daemon->kill_deadline_us))
    {
      daemon->deregister_start_us = now_us;
      tou_control_deregister (daemon->control);
    }
  if (now_us + SESSIOND_EXIT_MARGIN_US >= daemon->kill_deadline_us)
    tou_proxy_refuse_waiting (proxy);
  /* Statements that are still running are answered if there is time. */
  if (daemon->deregister_start_us != 0
      && now_us >= daemon->deregister_start_us + SESSIOND_DEREGISTER_US
      && (!tou_proxy_has_work (proxy)
          || now_us + SESSIOND_LAST_MARGIN_US >= daemon->kill_deadline_us))
    uv_stop (&daemon->loop);
}

static void
sessiond_on_timer (uv_timer_t *timer)
{
  TouSessiond *daemon = timer->data;
  guint64 now_us = tou_clock_us ();

  tou_placement_tick (daemon->proxy, daemon->peers, now_us);
  tou_proxy_tick (daemon->proxy, now_us);
  tou_peers_tick (daemon->peers, now_us);
  tou_credit_tick (daemon->proxy->credit, now_us);
  if (daemon->deregister_start_us == 0)
    tou_control_tick (daemon->control, now_us);
  if (daemon->proxy->draining)
    sessiond_tick_stop (daemon, now_us);
}

static void
sessiond_watch_signal (TouSessiond *daemon, uv_signal_t *handle,
                       uv_signal_cb on_signal, int signum)
{
  uv_signal_init (&daemon->loop, handle);
  handle->data = daemon;
  uv_signal_start (handle, on_signal, signum);
}

static void
sessiond_destroy (TouSessiond *daemon)
{
  tou_admin_destroy (daemon->admin);
  if (daemon->proxy != NULL)
    {
      tou_credit_destroy (daemon->proxy->credit);
      daemon->proxy->credit = NULL;
    }
  plat_http_destroy (daemon->http);
  tou_control_destroy (daemon->control);
  tou_peers_destroy (daemon->peers);
  tou_proxy_destroy (daemon->proxy);
  plat_store_destroy (daemon->store);
}

static void
sessiond_create_credit (TouProxy *proxy, TouPeers *peers)
{
  const TouNodeSettings *settings = &proxy->settings;
  TouQuotaBounds bounds = { settings->quota_window_us, settings->quota_excess,
                            settings->quota_slack };

  tou_credit_create (&proxy->credit, proxy, peers);
  tou_credit_set_bounds (proxy->credit, &bounds);
}

int
tou_sessiond_run (const TouNodeSettings *settings, const char *settings_path)
{
  TouSessiond daemon;
  int status;

  memset (&daemon, 0, sizeof daemon);
  daemon.settings_path = settings_path;
  signal (SIGPIPE, SIG_IGN);
  mallopt (M_MMAP_THRESHOLD, SESSIOND_MMAP_BYTES);
  uv_loop_init (&daemon.loop);
  status = tou_proxy_create (&daemon.proxy, &daemon.loop, settings);
  tou_evlog_init (plat_settings_node (&daemon.proxy->settings));
  if (status == TOU_OK)
    status = plat_http_create (&daemon.http, &daemon.loop);
  if (status == TOU_OK)
    status = plat_store_create (&daemon.store, daemon.http,
                                settings->store_address.data,
                                settings->cloud_api_address.data);
  if (status == TOU_OK)
    status = tou_peers_create (&daemon.peers, daemon.proxy);
  if (status == TOU_OK)
    sessiond_create_credit (daemon.proxy, daemon.peers);
  if (status == TOU_OK)
    status = tou_control_create (&daemon.control, daemon.proxy, daemon.store,
                                 daemon.peers);
  if (status == TOU_OK)
    status = tou_admin_create (&daemon.admin, daemon.proxy);
  if (status == TOU_OK)
    status = tou_relay_listen (daemon.proxy);
  if (status == TOU_OK)
    status = tou_proxy_listen (daemon.proxy);
  if (status == TOU_OK)
    {
      sessiond_watch_signal (&daemon, &daemon.term, sessiond_on_stop, SIGTERM);
      sessiond_watch_signal (&daemon, &daemon.interrupt, sessiond_on_stop,
                             SIGINT);
      sessiond_watch_signal (&daemon, &daemon.hangup, sessiond_on_hangup,
                             SIGHUP);
      uv_timer_init (&daemon.loop, &daemon.timer);
      daemon.timer.data = &daemon;
      uv_timer_start (&daemon.timer, sessiond_on_timer, 0,
                      TOU_PROXY_TICK_US / TOU_US_PER_MS);
      tou_evlog (TOU_EVLOG_STATE, "started",
                 "\"failure_domain\":\"%s\",\"callers\":\"%s\","
                 "\"incarnation\":%" G_GUINT64_FORMAT,
                 settings->failure_domain.data, settings->clients_listen.data,
                 daemon.proxy->incarnation);
      uv_run (&daemon.loop, UV_RUN_DEFAULT);
      tou_evlog (TOU_EVLOG_STATE, "stopped", "\"sessions\":%u",
                 daemon.proxy->clients.length);
    }
  sessiond_destroy (&daemon);
  return status;
}
