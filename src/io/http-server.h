/**
 * @file http-server.h
 * HTTP server used for both ports: ulfius instance, limits and credentials.
 */
#pragma once

#include "toucanscale/status.h"

#include <ulfius.h>

G_BEGIN_DECLS

typedef struct TouHttpServer TouHttpServer;

typedef int (*TouHttpHandler) (const struct _u_request *request,
                               struct _u_response *response, void *user_data);

typedef struct
{
  const char *method;
  const char *path; /**< ulfius format, e.g. "/v1/transactions/:id/commit" */
  TouHttpHandler handler;
} TouHttpRoute;

/** The strings are not used after tou_http_server_create (). */
typedef struct
{
  const char *listen;        /**< "ip:port" */
  const char *tls_cert_file; /**< NULL: plain HTTP */
  const char *tls_key_file;
  const char *bearer_token; /**< NULL: no credentials required */
  guint max_connections;
  gsize max_body;          /**< bytes */
  gsize max_header;        /**< bytes of the URL and all headers */
  guint64 idle_timeout_us; /**< of a keep-alive connection */
} TouHttpServerSettings;

/** Number of open connections, and of requests refused for each reason. */
typedef struct
{
  guint64 connections;           /**< currently open */
  guint64 over_connection_limit; /**< requests on excess connections */
  guint64 body_too_large;
  guint64 header_too_large;
  guint64 unauthorized;
} TouHttpCounters;

/**
 * Creates a server that does not listen yet.
 *
 * @param routes static array
 * @param user_data passed to the handlers
 */
int tou_http_server_create (TouHttpServer **out,
                            const TouHttpServerSettings *settings,
                            const TouHttpRoute *routes, guint n_routes,
                            gpointer user_data);

/** Starts listening; each connection has a thread that runs the handlers. */
int tou_http_server_start (TouHttpServer *server);

/**
 * Checks connection limit, sizes, URL and credentials, in this order. Every
 * handler must call this first.
 */
int tou_http_server_check (TouHttpServer *server,
                           const struct _u_request *request);

void tou_http_server_counters (TouHttpServer *server, TouHttpCounters *out);

/** Appends the counters with the label port=@a port. */
void tou_http_server_metrics (TouHttpServer *server, const char *port,
                              GString *text);

/** Waits up to 2 s for running requests, then stops and frees the server. */
void tou_http_server_destroy (TouHttpServer *server);

/**
 * Parses the body as a JSON object of limited depth; an empty body gives an
 * empty object.
 *
 * On failure, returns TOU_E_INVALID_JSON, or TOU_E_INVALID_ARGUMENT for a NUL
 * byte, and sets the status message.
 */
int tou_http_body_parse (json_t **out, const struct _u_request *request);

/** Responds with problem details (RFC 9457) and the outcome not_run. */
void tou_http_problem (struct _u_response *response, int code,
                       const char *detail);

/**
 * Like tou_http_problem (), with an outcome and Retry-After (0: none).
 *
 * @param extra further members, owned by the function; or NULL
 */
void tou_http_problem_full (struct _u_response *response, int code,
                            const char *detail, const char *outcome,
                            guint64 retry_after_us, json_t *extra);

G_END_DECLS
