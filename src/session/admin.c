#include "admin.h"

#include "stream.h"

#include "ready.h"

#include <microhttpd.h>

#include <stdlib.h>
#include <string.h>

/* The platform requests readiness once a second; the remaining connections are
   for operators. */
#define ADMIN_MAX_CONNECTIONS 16
#define ADMIN_IDLE_TIMEOUT_S 5
/* Interval at which idle connections are looked for: without it, connections
   that send nothing would occupy a port for good once it has the most. */
#define ADMIN_TIMEOUT_CHECK_MS 1000

typedef struct
{
  TouAdmin *admin;
  struct MHD_Daemon *daemon;
  uv_poll_t poll;
  uv_timer_t timer;
} AdminServer;

struct TouAdmin
{
  TouProxy *proxy;
  AdminServer ready;
  AdminServer metrics;
};

static enum MHD_Result
admin_reply (struct MHD_Connection *connection, unsigned int status, char *text,
             enum MHD_ResponseMemoryMode mode)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, mode);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
admin_on_request (void *user_data, struct MHD_Connection *connection,
                  const char *url, const char *method, const char *version,
                  const char *upload, size_t *upload_len, void **state)
{
  AdminServer *server = user_data;
  TouProxy *proxy = server->admin->proxy;

  (void)version;
  (void)upload;
  (void)upload_len;
  (void)state;
  if (strcmp (method, "GET") != 0)
    return admin_reply (connection, MHD_HTTP_METHOD_NOT_ALLOWED, (char *)"",
                        MHD_RESPMEM_PERSISTENT);
  if (strcmp (url, PLAT_READY_PATH) == 0)
    return admin_reply (
        connection,
        tou_proxy_is_ready (proxy) ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
        (char *)"", MHD_RESPMEM_PERSISTENT);
  if (server == &server->admin->metrics && strcmp (url, "/metrics") == 0)
    return admin_reply (connection, MHD_HTTP_OK, tou_proxy_metrics (proxy),
                        MHD_RESPMEM_MUST_FREE);
  if (server == &server->admin->metrics && strcmp (url, "/dump") == 0)
    return admin_reply (connection, MHD_HTTP_OK, tou_proxy_dump (proxy),
                        MHD_RESPMEM_MUST_FREE);
  return admin_reply (connection, MHD_HTTP_NOT_FOUND, (char *)"",
                      MHD_RESPMEM_PERSISTENT);
}

static void
admin_on_poll (uv_poll_t *poll, int status, int events)
{
  AdminServer *server = poll->data;

  (void)status;
  (void)events;
  MHD_run (server->daemon);
}

static void
admin_on_timer (uv_timer_t *timer)
{
  MHD_run (((AdminServer *)timer->data)->daemon);
}

static int
admin_listen (AdminServer *server, TouAdmin *admin, const TouName *listen)
{
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;
  int status = tou_stream_address (&address, listen);

  if (status != TOU_OK)
    return status;
  server->admin = admin;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL, 0, NULL, NULL, admin_on_request, server,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_CONNECTION_LIMIT, ADMIN_MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, ADMIN_IDLE_TIMEOUT_S, MHD_OPTION_END);
  info = server->daemon != NULL
             ? MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
             : NULL;
  if (info == NULL)
    return tou_status_set (TOU_E_IO, "cannot serve HTTP on %s", listen->data);
  uv_poll_init (admin->proxy->loop, &server->poll, info->epoll_fd);
  server->poll.data = server;
  uv_poll_start (&server->poll, UV_READABLE, admin_on_poll);
  uv_timer_init (admin->proxy->loop, &server->timer);
  server->timer.data = server;
  uv_timer_start (&server->timer, admin_on_timer, ADMIN_TIMEOUT_CHECK_MS,
                  ADMIN_TIMEOUT_CHECK_MS);
  return TOU_OK;
}

int
tou_admin_create (TouAdmin **out, TouProxy *proxy)
{
  TouAdmin *admin = g_new0 (TouAdmin, 1);
  int status;

  admin->proxy = proxy;
  status = admin_listen (&admin->ready, admin, &proxy->settings.ready_listen);
  if (status == TOU_OK)
    status = admin_listen (&admin->metrics, admin,
                           &proxy->settings.metrics_listen);
  if (status != TOU_OK)
    {
      tou_admin_destroy (admin);
      admin = NULL;
    }
  *out = admin;
  return status;
}

static void
admin_stop (AdminServer *server)
{
  if (server->daemon == NULL)
    return;
  uv_poll_stop (&server->poll);
  uv_timer_stop (&server->timer);
  MHD_stop_daemon (server->daemon);
}

void
tou_admin_destroy (TouAdmin *admin)
{
  if (admin == NULL)
    return;
  admin_stop (&admin->ready);
  admin_stop (&admin->metrics);
  g_free (admin);
}
