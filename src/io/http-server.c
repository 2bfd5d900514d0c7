#include "http-server.h"

#include "toucanscale/types.h"

#include <sodium.h>

#include <arpa/inet.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Stack of a connection's thread in bytes. With the default of 8 MiB, 2,900
   connections would reserve 23 GiB of address space. */
#define HTTP_STACK_BYTES ((gsize)128 * 1024)

/* Memory that libmicrohttpd needs per connection in addition to the headers. */
#define HTTP_POOL_EXTRA_BYTES ((gsize)32 * 1024)

/* Connections accepted above the limit, so that their requests get an error
   response; further connections are closed without a response. */
#define HTTP_EXCESS_CONNECTIONS 16

/* Maximum number of libmicrohttpd options: eight, and two for TLS. */
#define HTTP_MAX_OPTIONS 10

/* Maximum wait at shutdown for requests in progress, and the interval of the
   checks. A request that the client sends more slowly than this is aborted. */
#define HTTP_STOP_WAIT_US (2 * TOU_US_PER_S)
#define HTTP_STOP_POLL_US TOU_US_PER_MS

struct TouHttpServer
{
  struct _u_instance instance;
  struct sockaddr_in address;
  gboolean initialised;
  gboolean started;
  char *cert; /* PEM text */
  char *key;
  char *bearer_token;
  guint max_connections;
  gsize max_body;
  gsize max_header;
  guint64 idle_timeout_us;
  atomic_ullong connections;
  atomic_ullong in_progress; /* requests without a complete response */
  atomic_ullong over_connection_limit;
  atomic_ullong body_too_large;
  atomic_ullong header_too_large;
  atomic_ullong unauthorized;
};

/* TRUE on the thread of a connection that exceeds the limit. */
static _Thread_local gboolean connection_exceeds_limit;

static void
connection_notify (void *data, struct MHD_Connection *connection,
                   void **socket_context,
                   enum MHD_ConnectionNotificationCode code)
{
  TouHttpServer *server = data;

  (void)connection;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      gboolean excess = atomic_fetch_add (&server->connections, 1)
                        >= server->max_connections;

      *socket_context = GINT_TO_POINTER (excess);
    }
  else
    {
      atomic_fetch_sub (&server->connections, 1);
    }
}

/* Called on the connection's thread before each request. */
static void *
connection_uri_logger (void *data, const char *uri,
                       struct MHD_Connection *connection)
{
  TouHttpServer *server = data;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  connection_exceeds_limit
      = info != NULL && GPOINTER_TO_INT (info->socket_context);
  atomic_fetch_add (&server->in_progress, 1);
  return ulfius_uri_logger (NULL, uri);
}

/* Called after the response was sent. */
static void
connection_completed (void *data, struct MHD_Connection *connection,
                      void **request_context,
                      enum MHD_RequestTerminationCode code)
{
  TouHttpServer *server = data;

  mhd_request_completed (NULL, connection, request_context, code);
  atomic_fetch_sub (&server->in_progress, 1);
}

static int
server_load_file (char **out, const char *path)
{
  GError *error = NULL;
  int status = TOU_OK;

  if (path == NULL)
    return TOU_OK;
  if (!g_file_get_contents (path, out, NULL, &error))
    {
      status = tou_status_set (TOU_E_IO, "cannot read %s: %s", path,
                               error->message);
      g_clear_error (&error);
    }
  return status;
}

static int
server_set_address (TouHttpServer *server, const char *listen)
{
  const char *colon = strrchr (listen, ':');
  guint64 port = 0;
  char *ip = colon != NULL ? g_strndup (listen, (gsize)(colon - listen)) : NULL;
  int status = TOU_OK;

  server->address.sin_family = AF_INET;
  if (ip == NULL || inet_pton (AF_INET, ip, &server->address.sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port,
                                      NULL))
    status = tou_status_set (TOU_E_INVALID_ARGUMENT,
                             "\"%s\" is not an address IPv4:PORT", listen);
  server->address.sin_port = htons ((guint16)port);
  g_free (ip);
  return status;
}

static int
server_add_routes (TouHttpServer *server, const TouHttpRoute *routes, guint n,
                   gpointer user_data)
{
  for (guint i = 0; i < n; i++)
    if (ulfius_add_endpoint_by_val (&server->instance, routes[i].method, NULL,
                                    routes[i].path, 0, routes[i].handler,
                                    user_data)
        != U_OK)
      return tou_status_set (TOU_E_NO_MEMORY, "cannot add route %s",
                             routes[i].path);
  return TOU_OK;
}

static int
default_handler (const struct _u_request *request, struct _u_response *response,
                 void *user_data)
{
  int status = tou_http_server_check (user_data, request);

  if (status == TOU_OK)
    status = tou_status_set (TOU_E_NOT_FOUND, "no such path or method");
  tou_http_problem (response, status, tou_status_message ());
  return U_CALLBACK_COMPLETE;
}

static int
server_init (TouHttpServer *server, const TouHttpServerSettings *settings,
             const TouHttpRoute *routes, guint n_routes, gpointer user_data)
{
  int status;

  if (ulfius_init_instance (&server->instance, ntohs (server->address.sin_port),
                            &server->address, NULL)
      != U_OK)
    return tou_status_set (TOU_E_NO_MEMORY, "cannot create the HTTP server");
  server->initialised = TRUE;
  /* ulfius truncates longer bodies; the extra byte makes this detectable. */
  server->instance.max_post_body_size = settings->max_body + 1;
  server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
  status = server_add_routes (server, routes, n_routes, user_data);
  if (status == TOU_OK
      && ulfius_set_default_endpoint (&server->instance, default_handler,
                                      server)
             != U_OK)
    status = tou_status_set (TOU_E_NO_MEMORY, "cannot add the default route");
  return status;
}

static guint
server_options (TouHttpServer *server, struct MHD_OptionItem *options)
{
  guint n = 0;
  gsize pool = server->max_header * 2 + HTTP_POOL_EXTRA_BYTES;

  options[n++]
      = (struct MHD_OptionItem){ MHD_OPTION_NOTIFY_COMPLETED,
                                 (intptr_t)connection_completed, server };
  options[n++]
      = (struct MHD_OptionItem){ MHD_OPTION_URI_LOG_CALLBACK,
                                 (intptr_t)connection_uri_logger, server };
  options[n++] = (struct MHD_OptionItem){ MHD_OPTION_NOTIFY_CONNECTION,
                                          (intptr_t)connection_notify, server };
  options[n++]
      = (struct MHD_OptionItem){ MHD_OPTION_SOCK_ADDR, 0, &server->address };
  options[n++] = (struct MHD_OptionItem){ MHD_OPTION_CONNECTION_LIMIT,
                                          (intptr_t)server->max_connections
                                              + HTTP_EXCESS_CONNECTIONS,
                                          NULL };
  options[n++] = (struct MHD_OptionItem){ MHD_OPTION_THREAD_STACK_SIZE,
                                          (intptr_t)HTTP_STACK_BYTES, NULL };
  options[n++] = (struct MHD_OptionItem){ MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                          (intptr_t)pool, NULL };
  options[n++] = (struct MHD_OptionItem){
    MHD_OPTION_CONNECTION_TIMEOUT,
    (intptr_t)(server->idle_timeout_us / TOU_US_PER_S), NULL
  };
  if (server->cert != NULL)
    {
      options[n++] = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_CERT, 0,
                                              server->cert };
      options[n++]
          = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_KEY, 0, server->key };
    }
  return n;
}

int
tou_http_server_start (TouHttpServer *server)
{
  struct MHD_OptionItem options[HTTP_MAX_OPTIONS + 1];
  guint n = server_options (server, options);
  /* poll (), because select () supports file descriptors only up to 1,023. */
  unsigned int flags
      = MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION;

  options[n] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
  if (server->cert != NULL)
    flags |= MHD_USE_TLS;
  if (ulfius_start_framework_with_mhd_options (&server->instance, flags,
                                               options)
      != U_OK)
    return tou_status_set (TOU_E_IO, "cannot listen on port %u",
                           server->instance.port);
  server->started = TRUE;
  return TOU_OK;
}

int
tou_http_server_create (TouHttpServer **out,
                        const TouHttpServerSettings *settings,
                        const TouHttpRoute *routes, guint n_routes,
                        gpointer user_data)
{
  TouHttpServer *server = g_new0 (TouHttpServer, 1);
  int status;

  server->bearer_token = g_strdup (settings->bearer_token);
  server->max_connections = settings->max_connections;
  server->max_body = settings->max_body;
  server->max_header = settings->max_header;
  server->idle_timeout_us = settings->idle_timeout_us;
  status = server_set_address (server, settings->listen);
  if (status == TOU_OK)
    status = server_load_file (&server->cert, settings->tls_cert_file);
  if (status == TOU_OK)
    status = server_load_file (&server->key, settings->tls_key_file);
  if (status == TOU_OK)
    status = server_init (server, settings, routes, n_routes, user_data);
  if (status != TOU_OK)
    tou_http_server_destroy (server);
  else
    *out = server;
  return status;
}

static gsize
request_header_bytes (const struct _u_request *request)
{
  gsize total = strlen (request->http_url);

  for (int i = 0; i < request->map_header->nb_values; i++)
    total += strlen (request->map_header->keys[i])
             + request->map_header->lengths[i];
  return total;
}

/* Compares hashes in constant time, so that the duration depends only on the
   length of the given token. */
static gboolean
token_matches (const char *expected, const char *given)
{
  guint8 a[crypto_generichash_BYTES];
  guint8 b[crypto_generichash_BYTES];

  crypto_generichash (a, sizeof a, (const guint8 *)expected, strlen (expected),
                      NULL, 0);
  crypto_generichash (b, sizeof b, (const guint8 *)given, strlen (given), NULL,
                      0);
  return sodium_memcmp (a, b, sizeof a) == 0;
}

static gboolean
request_is_authorized (const TouHttpServer *server,
                       const struct _u_request *request)
{
  static const char scheme[] = "Bearer ";
  const char *header = u_map_get_case (request->map_header, "Authorization");

  if (server->bearer_token == NULL)
    return TRUE;
  return header != NULL
         && g_ascii_strncasecmp (header, scheme, strlen (scheme)) == 0
         && token_matches (server->bearer_token, header + strlen (scheme));
}

int
tou_http_server_check (TouHttpServer *server, const struct _u_request *request)
{
  if (connection_exceeds_limit)
    {
      atomic_fetch_add (&server->over_connection_limit, 1);
      return tou_status_set (TOU_E_TOO_MANY_CONNECTIONS,
                             "the limit is %u connections",
                             server->max_connections);
    }
  if (request_header_bytes (request) > server->max_header)
    {
      atomic_fetch_add (&server->header_too_large, 1);
      return tou_status_set (TOU_E_HEADER_TOO_LARGE,
                             "the limit is %" G_GSIZE_FORMAT " bytes",
                             server->max_header);
    }
  if (request->binary_body_length > server->max_body)
    {
      atomic_fetch_add (&server->body_too_large, 1);
      return tou_status_set (TOU_E_BODY_TOO_LARGE,
                             "the limit is %" G_GSIZE_FORMAT " bytes",
                             server->max_body);
    }
  /* ulfius would merge query parameters into the path variables. */
  if (strchr (request->http_url, '?') != NULL)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "query parameters are not supported");
  if (!request_is_authorized (server, request))
    {
      atomic_fetch_add (&server->unauthorized, 1);
      return tou_status_set (TOU_E_UNAUTHORIZED,
                             "the bearer token is missing or wrong");
    }
  return TOU_OK;
}

void
tou_http_server_counters (TouHttpServer *server, TouHttpCounters *out)
{
  *out = (TouHttpCounters){
    .connections = atomic_load (&server->connections),
    .over_connection_limit = atomic_load (&server->over_connection_limit),
    .body_too_large = atomic_load (&server->body_too_large),
    .header_too_large = atomic_load (&server->header_too_large),
    .unauthorized = atomic_load (&server->unauthorized),
  };
}

static void
append_refused (GString *text, const char *port, const char *limit,
                guint64 value)
{
  g_string_append_printf (text,
                          "toucanscale_http_refused_total{port=\"%s\","
                          "reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          port, limit, value);
}

void
tou_http_server_metrics (TouHttpServer *server, const char *port, GString *text)
{
  TouHttpCounters counters;

  tou_http_server_counters (server, &counters);
  g_string_append_printf (text,
                          "toucanscale_http_connections{port=\"%s\"} "
                          "%" G_GUINT64_FORMAT "\n"
                          "toucanscale_http_in_progress{port=\"%s\"} %llu\n",
                          port, counters.connections, port,
                          atomic_load (&server->in_progress));
  append_refused (text, port, "connection_limit",
                  counters.over_connection_limit);
  append_refused (text, port, "body_size", counters.body_too_large);
  append_refused (text, port, "header_size", counters.header_too_large);
  append_refused (text, port, "credentials", counters.unauthorized);
}

/* Waits for requests in progress, because libmicrohttpd shuts down all sockets
   when it stops, also those on which a response is being sent. */
static void
server_wait_for_responses (TouHttpServer *server)
{
  guint64 until_us = (guint64)g_get_monotonic_time () + HTTP_STOP_WAIT_US;

  while (atomic_load (&server->in_progress) > 0
         && (guint64)g_get_monotonic_time () < until_us)
    g_usleep (HTTP_STOP_POLL_US);
}

void
tou_http_server_destroy (TouHttpServer *server)
{
  if (server == NULL)
    return;
  if (server->started)
    {
      server_wait_for_responses (server);
      ulfius_stop_framework (&server->instance);
    }
  if (server->initialised)
    ulfius_clean_instance (&server->instance);
  g_free (server->cert);
  if (server->key != NULL)
    sodium_memzero (server->key, strlen (server->key));
  g_free (server->key);
  g_free (server->bearer_token);
  g_free (server);
}
