#include "http-operators.h"

#include "http-config.h"
#include "http-server.h"
#include "waiters.h"

#include <stdatomic.h>
#include <string.h>

/* Time limit for the core's answer; a change needs up to three store calls. */
#define OPERATORS_TIMEOUT_US (10 * TOU_US_PER_S)

struct TouHttpOperators
{
  TouHttpServer *server;
  TouWaiters *waiters;
  TouRegistry *registry;
  TouEventSink sink;
  atomic_bool ready;
  atomic_bool draining;
  atomic_ullong changes;
};

/* Sends @a event to the core and waits for the answer. On failure, renders a
   problem. If the core does not answer in time, its code is @a timeout_code;
   TOU_E_STORE_UNKNOWN means that the outcome of a change is unknown. */
static gboolean
exchange_with_core (TouHttpOperators *operators, TouEvent *event,
                    guint64 *caller_out, int timeout_code,
                    struct _u_response *response, TouAction *answer)
{
  TouWaiter *waiter;

  *caller_out = tou_waiters_add (operators->waiters, &waiter);
  if (operators->sink.func (operators->sink.user_data, event) != TOU_OK)
    {
      tou_waiters_remove (operators->waiters, waiter);
      tou_event_clear (event);
      tou_http_problem_full (response, TOU_E_RING_FULL,
                             "too many events are waiting", "not_run",
                             TOU_US_PER_S, NULL);
      return FALSE;
    }
  if (tou_waiters_wait (operators->waiters, waiter,
                        (guint64)g_get_monotonic_time () + OPERATORS_TIMEOUT_US,
                        answer))
    return TRUE;
  tou_http_problem_full (
      response, timeout_code, "the core did not answer in time",
      timeout_code == TOU_E_STORE_UNKNOWN ? "unknown" : "not_run", 0, NULL);
  return FALSE;
}

static gboolean
query_core (TouHttpOperators *operators, TouEventType type,
            struct _u_response *response, TouAction *answer)
{
  TouEvent event = { .type = type };

  return exchange_with_core (operators, &event, &event.u.query.caller,
                             TOU_E_DEADLINE, response, answer);
}

/* Checks limits and credentials; renders a problem if the check fails. */
static gboolean
request_allowed (TouHttpOperators *operators, const struct _u_request *request,
                 struct _u_response *response)
{
  int status = tou_http_server_check (operators->server, request);

  if (status == TOU_OK)
    return TRUE;
  tou_http_problem (response, status, tou_status_message ());
  return FALSE;
}

static void
render_text (struct _u_response *response, const char *type, const char *text,
             gsize len)
{
  ulfius_set_binary_body_response (response, 200, text, len);
  u_map_put (response->map_header, "Content-Type", type);
}

static int
handle_dump (const struct _u_request *request, struct _u_response *response,
             void *user_data)
{
  TouAction answer;

  if (!request_allowed (user_data, request, response)
      || !query_core (user_data, TOU_EVENT_DUMP, response, &answer))
    return U_CALLBACK_COMPLETE;
  render_text (response, "application/json", answer.u.text_reply.text.data,
               answer.u.text_reply.text.len);
  tou_action_clear (&answer);
  return U_CALLBACK_COMPLETE;
}

static int
handle_metrics (const struct _u_request *request, struct _u_response *response,
                void *user_data)
{
  TouHttpOperators *operators = user_data;
  TouAction answer;
  GString *text;

  if (!request_allowed (operators, request, response)
      || !query_core (operators, TOU_EVENT_METRICS, response, &answer))
    return U_CALLBACK_COMPLETE;
  text = g_string_new_len (answer.u.text_reply.text.data,
                           (gssize)answer.u.text_reply.text.len);
  tou_registry_metrics (operators->registry, text);
  render_text (response, "text/plain; version=0.0.4", text->str, text->len);
  g_string_free (text, TRUE);
  tou_action_clear (&answer);
  return U_CALLBACK_COMPLETE;
}

static int
handle_health (const struct _u_request *request, struct _u_response *response,
               void *user_data)
{
  static const char body[] = "{\"status\":\"ok\"}";

  if (request_allowed (user_data, request, response))
    render_text (response, "application/json", body, strlen (body));
  return U_CALLBACK_COMPLETE;
}

static int
handle_ready (const struct _u_request *request, struct _u_response *response,
              void *user_data)
{
  static const char body[] = "{\"status\":\"ready\"}";
  TouHttpOperators *operators = user_data;

  if (!request_allowed (operators, request, response))
    return U_CALLBACK_COMPLETE;
  if (atomic_load (&operators->draining))
    tou_http_problem (response, TOU_E_DRAINING, "the proxy is leaving");
  else if (!atomic_load (&operators->ready))
    tou_http_problem (response, TOU_E_NOT_READY,
                      "the configuration is not current yet");
  else
    render_text (response, "application/json", body, strlen (body));
  return U_CALLBACK_COMPLETE;
}

static int
handle_config_list (const struct _u_request *request,
                    struct _u_response *response, void *user_data)
{
  TouAction answer;

  if (!request_allowed (user_data, request, response)
      || !query_core (user_data, TOU_EVENT_DUMP, response, &answer))
    return U_CALLBACK_COMPLETE;
  tou_http_config_render_list (response, &answer.u.text_reply.text, NULL);
  tou_action_clear (&answer);
  return U_CALLBACK_COMPLETE;
}

static int
handle_config_get (const struct _u_request *request,
                   struct _u_response *response, void *user_data)
{
  TouAction answer;
  char *key;

  if (!request_allowed (user_data, request, response))
    return U_CALLBACK_COMPLETE;
  key = tou_http_config_key (request);
  if (key == NULL)
    {
      tou_http_problem (response, TOU_E_NOT_FOUND, tou_status_message ());
    }
  else if (query_core (user_data, TOU_EVENT_DUMP, response, &answer))
    {
      tou_http_config_render_list (response, &answer.u.text_reply.text, key);
      tou_action_clear (&answer);
    }
  g_free (key);
  return U_CALLBACK_COMPLETE;
}

static void
change_config (TouHttpOperators *operators, const struct _u_request *request,
               struct _u_response *response, gboolean is_delete)
{
  TouEvent event = { .type = TOU_EVENT_CONFIG_CHANGE };
  TouAction answer;
  int status = tou_http_config_parse (&event.u.config_change.change, request,
                                      is_delete);

  if (status != TOU_OK)
    {
      tou_http_problem (response, status, tou_status_message ());
      tou_event_clear (&event);
      return;
    }
  event.u.config_change.change.time_ms
      = (guint64)g_get_real_time () / TOU_US_PER_MS;
  atomic_fetch_add (&operators->changes, 1);
  if (!exchange_with_core (operators, &event, &event.u.config_change.caller,
                           TOU_E_STORE_UNKNOWN, response, &answer))
    return;
  tou_http_config_render (response, &answer);
  tou_action_clear (&answer);
}

static int
handle_config_put (const struct _u_request *request,
                   struct _u_response *response, void *user_data)
{
  if (request_allowed (user_data, request, response))
    change_config (user_data, request, response, FALSE);
  return U_CALLBACK_COMPLETE;
}

static int
handle_config_delete (const struct _u_request *request,
                      struct _u_response *response, void *user_data)
{
  if (request_allowed (user_data, request, response))
    change_config (user_data, request, response, TRUE);
  return U_CALLBACK_COMPLETE;
}

static int
handle_drain (const struct _u_request *request, struct _u_response *response,
              void *user_data)
{
  static const char body[] = "{\"status\":\"draining\"}";

  if (!request_allowed (user_data, request, response))
    return U_CALLBACK_COMPLETE;
  if (tou_http_operators_drain (user_data) != TOU_OK)
    {
      tou_http_problem_full (response, TOU_E_RING_FULL,
                             "too many events are waiting", "not_run",
                             TOU_US_PER_S, NULL);
      return U_CALLBACK_COMPLETE;
    }
  render_text (response, "application/json", body, strlen (body));
  response->status = 202;
  return U_CALLBACK_COMPLETE;
}

static const TouHttpRoute routes[] = {
  { "GET", "/dump", handle_dump },
  { "GET", "/metrics", handle_metrics },
  { "GET", "/healthz", handle_health },
  { "GET", "/readyz", handle_ready },
  { "GET", "/v1/config", handle_config_list },
  { "GET", "/v1/config/:kind/:name", handle_config_get },
  { "PUT", "/v1/config/:kind/:name", handle_config_put },
  { "DELETE", "/v1/config/:kind/:name", handle_config_delete },
  { "POST", "/v1/drain", handle_drain },
};

int
tou_http_operators_create (TouHttpOperators **out, const TouSettings *settings,
                           TouRegistry *registry, TouEventSink sink)
{
  TouHttpOperators *operators = g_new0 (TouHttpOperators, 1);
  const TouHttpServerSettings server = {
    .listen = settings->operators_listen,
    .tls_cert_file = settings->tls_cert_file,
    .tls_key_file = settings->tls_key_file,
    .bearer_token = settings->operator_token,
    .max_connections = settings->max_operator_connections,
    .max_body = settings->max_body,
    .max_header = settings->max_header,
    .idle_timeout_us = settings->idle_timeout_us,
  };
  int status;

  operators->registry = registry;
  operators->sink = sink;
  status = tou_waiters_create (&operators->waiters);
  if (status == TOU_OK)
    status = tou_http_server_create (&operators->server, &server, routes,
                                     G_N_ELEMENTS (routes), operators);
  if (status != TOU_OK)
    tou_http_operators_destroy (operators);
  else
    *out = operators;
  return status;
}

int
tou_http_operators_start (TouHttpOperators *operators)
{
  return tou_http_server_start (operators->server);
}

static guint64
action_caller (const TouAction *action)
{
  return action->type == TOU_ACTION_CONFIG_REPLY ? action->u.config_reply.caller
                                                 : action->u.text_reply.caller;
}

int
tou_http_operators_submit (gpointer service, TouAction *action)
{
  TouHttpOperators *operators = service;

  if (action->type == TOU_ACTION_READY)
    {
      atomic_store (&operators->ready, action->u.ready.ready);
      return TOU_OK;
    }
  /* A handler that timed out has already responded. */
  if (!tou_waiters_deliver (operators->waiters, action_caller (action), action))
    tou_action_clear (action);
  return TOU_OK;
}

void
tou_http_operators_metrics (gpointer service, GString *text)
{
  TouHttpOperators *operators = service;

  tou_http_server_metrics (operators->server, "operators", text);
  g_string_append_printf (text,
                          "# TYPE toucanscale_config_requests_total counter\n"
                          "toucanscale_config_requests_total %llu\n",
                          atomic_load (&operators->changes));
}

int
tou_http_operators_drain (TouHttpOperators *operators)
{
  TouEvent event = { .type = TOU_EVENT_DRAIN };

  atomic_store (&operators->draining, TRUE);
  return operators->sink.func (operators->sink.user_data, &event);
}

void
tou_http_operators_destroy (TouHttpOperators *operators)
{
  if (operators == NULL)
    return;
  if (operators->waiters != NULL)
    tou_waiters_close (operators->waiters);
  tou_http_server_destroy (operators->server);
  tou_waiters_destroy (operators->waiters);
  g_free (operators);
}
