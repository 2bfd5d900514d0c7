#include "http-callers.h"

#include "http-reply.h"
#include "http-request.h"
#include "http-server.h"
#include "log.h"
#include "waiters.h"

#include <sodium.h>

#include <stdatomic.h>

/* Time after a request's deadline to wait for the core's reply. */
#define CALLERS_REPLY_MARGIN_US (500 * TOU_US_PER_MS)

/* Retry-After value when the ring is full; the ring empties in less time. */
#define CALLERS_RETRY_AFTER_US TOU_US_PER_S

struct TouHttpCallers
{
  TouHttpServer *server;
  TouWaiters *waiters;
  TouEventSink sink;
  TouTokenKeys token_keys;
  TouHttpRequestLimits limits;
  gboolean secure;
  atomic_bool stopped;
  atomic_ullong timeouts;
  atomic_ullong late_replies;
  atomic_ullong ring_full;
  atomic_ullong statement_too_long;
  atomic_ullong cancels_lost;
};

static void
callers_cancel (TouHttpCallers *callers, guint64 caller)
{
  TouEvent event = { .type = TOU_EVENT_REQUEST_CANCELLED };

  event.u.cancelled.caller = caller;
  atomic_fetch_add (&callers->timeouts, 1);
  /* If the cancellation cannot be delivered, the core ends the request at its
     deadline. */
  if (callers->sink.func (callers->sink.user_data, &event) != TOU_OK)
    atomic_fetch_add (&callers->cancels_lost, 1);
}

/* Removes the group from a session whose position was discarded; otherwise the
   client's cookies would make every later request fail as well. */
static void
session_remove_group (TouSession *session, const TouName *group)
{
  for (guint i = 0; i < session->n_entries; i++)
    if (tou_name_equal (&session->entries[i].group, group))
      {
        session->entries[i] = session->entries[--session->n_entries];
        return;
      }
}

/* Data that the handler needs after the request was passed to the core. */
typedef struct
{
  TouRequestKind kind;
  TouName group;
  TouSession session;
  guint64 wait_until_us;
} CallerContext;

static void
render_reply (TouHttpCallers *callers, const struct _u_request *request,
              struct _u_response *response, CallerContext *context,
              const TouReply *reply)
{
  tou_http_reply_render (response, context->kind, reply);
  tou_session_merge (&context->session, &reply->session);
  if (reply->code == TOU_E_TOKEN_DISCARDED)
    {
      session_remove_group (&context->session, &context->group);
      tou_http_reply_expire (response, request, callers->secure);
    }
  if (tou_http_reply_session (response, request, &context->session,
                              &callers->token_keys, callers->secure)
      != TOU_OK)
    tou_log (G_LOG_LEVEL_CRITICAL, TOU_E_INVALID_ARGUMENT,
             "cannot write a session token: %s", tou_status_message ());
}

static void
wait_for_reply (TouHttpCallers *callers, const struct _u_request *request,
                struct _u_response *response, CallerContext *context,
                TouWaiter *waiter, guint64 caller)
{
  TouAction action;

  if (tou_waiters_wait (callers->waiters, waiter, context->wait_until_us,
                        &action))
    {
      render_reply (callers, request, response, context, &action.u.reply.reply);
      tou_action_clear (&action);
      return;
    }
  callers_cancel (callers, caller);
  tou_http_problem_full (response, TOU_E_UNCONFIRMED,
                         "no answer within the deadline", "unknown", 0, NULL);
}

static void
run_request (TouHttpCallers *callers, const struct _u_request *request,
             struct _u_response *response, TouEvent *event)
{
  const TouRequest *parsed = &event->u.request.request;
  CallerContext context
      = { parsed->kind, parsed->group, parsed->session, parsed->deadline_us };
  TouWaiter *waiter;
  guint64 caller = tou_waiters_add (callers->waiters, &waiter);

  if (context.wait_until_us == 0)
    context.wait_until_us
        = (guint64)g_get_monotonic_time () + callers->limits.max_deadline_us;
  context.wait_until_us += CALLERS_REPLY_MARGIN_US;
  event->u.request.caller = caller;
  if (callers->sink.func (callers->sink.user_data, event) != TOU_OK)
    {
      tou_waiters_remove (callers->waiters, waiter);
      tou_event_clear (event);
      atomic_fetch_add (&callers->ring_full, 1);
      tou_http_problem_full (response, TOU_E_RING_FULL,
                             "too many requests of this rank are waiting",
                             "not_run", CALLERS_RETRY_AFTER_US, NULL);
      return;
    }
  wait_for_reply (callers, request, response, &context, waiter, caller);
}

static void
refuse_request (TouHttpCallers *callers, const struct _u_request *request,
                struct _u_response *response, int code)
{
  tou_http_problem (response, code, tou_status_message ());
  if (code == TOU_E_STATEMENT_TOO_LONG)
    atomic_fetch_add (&callers->statement_too_long, 1);
  /* A browser would otherwise send the unusable cookie with every request. */
  if (code == TOU_E_TOKEN_INVALID)
    tou_http_reply_expire (response, request, callers->secure);
}

static int
handle_request (TouRequestKind kind, const struct _u_request *request,
                struct _u_response *response, void *user_data)
{
  TouHttpCallers *callers = user_data;
  TouEvent event = { .type = TOU_EVENT_REQUEST };
  int status = tou_http_server_check (callers->server, request);

  if (status == TOU_OK && atomic_load (&callers->stopped))
    status = tou_status_set (TOU_E_DRAINING, "the proxy is stopping");
  if (status == TOU_OK)
    status = tou_http_request_parse (&event.u.request.request, kind, request,
                                     &callers->limits,
                                     (guint64)g_get_monotonic_time ());
  if (status == TOU_OK)
    {
      run_request (callers, request, response, &event);
    }
  else
    {
      refuse_request (callers, request, response, status);
      tou_event_clear (&event);
    }
  return U_CALLBACK_COMPLETE;
}

static int
handle_statement (const struct _u_request *request,
                  struct _u_response *response, void *user_data)
{
  return handle_request (TOU_REQUEST_STATEMENT, request, response, user_data);
}

static int
handle_begin (const struct _u_request *request, struct _u_response *response,
              void *user_data)
{
  return handle_request (TOU_REQUEST_BEGIN, request, response, user_data);
}

static int
handle_txn_statement (const struct _u_request *request,
                      struct _u_response *response, void *user_data)
{
  return handle_request (TOU_REQUEST_TXN_STATEMENT, request, response,
                         user_data);
}

static int
handle_commit (const struct _u_request *request, struct _u_response *response,
               void *user_data)
{
  return handle_request (TOU_REQUEST_COMMIT, request, response, user_data);
}

static int
handle_rollback (const struct _u_request *request, struct _u_response *response,
                 void *user_data)
{
  return handle_request (TOU_REQUEST_ROLLBACK, request, response, user_data);
}

static const TouHttpRoute routes[] = {
  { "POST", "/v1/groups/:group/statements", handle_statement },
  { "POST", "/v1/groups/:group/transactions", handle_begin },
  { "POST", "/v1/transactions/:id/statements", handle_txn_statement },
  { "POST", "/v1/transactions/:id/commit", handle_commit },
  { "POST", "/v1/transactions/:id/rollback", handle_rollback },
};

int
tou_http_callers_create (TouHttpCallers **out, const TouSettings *settings,
                         TouEventSink sink)
{
  TouHttpCallers *callers = g_new0 (TouHttpCallers, 1);
  const TouHttpServerSettings server = {
    .listen = settings->callers_listen,
    .tls_cert_file = settings->tls_cert_file,
    .tls_key_file = settings->tls_key_file,
    .bearer_token = settings->caller_token,
    .max_connections = settings->max_connections,
    .max_body = settings->max_body,
    .max_header = settings->max_header,
    .idle_timeout_us = settings->idle_timeout_us,
  };
  int status;

  callers->sink = sink;
  callers->token_keys = settings->token_keys;
  callers->secure = settings->tls_cert_file != NULL;
  callers->limits = (TouHttpRequestLimits){
    .token_keys = &callers->token_keys,
    .statement_limit = settings->core.statement_limit,
    .max_deadline_us = settings->max_deadline_us,
  };
  status = tou_waiters_create (&callers->waiters);
  if (status == TOU_OK)
    status = tou_http_server_create (&callers->server, &server, routes,
                                     G_N_ELEMENTS (routes), callers);
  if (status != TOU_OK)
    tou_http_callers_destroy (callers);
  else
    *out = callers;
  return status;
}

int
tou_http_callers_start (TouHttpCallers *callers)
{
  return tou_http_server_start (callers->server);
}

int
tou_http_callers_submit (gpointer service, TouAction *action)
{
  TouHttpCallers *callers = service;

  if (tou_waiters_deliver (callers->waiters, action->u.reply.caller, action))
    return TOU_OK;
  /* The handler timed out and has already replied with outcome "unknown". */
  atomic_fetch_add (&callers->late_replies, 1);
  tou_action_clear (action);
  return TOU_OK;
}

static void
append_counter (GString *text, const char *name, guint64 value)
{
  g_string_append_printf (text,
                          "# TYPE toucanscale_callers_%s counter\n"
                          "toucanscale_callers_%s %" G_GUINT64_FORMAT "\n",
                          name, name, value);
}

void
tou_http_callers_metrics (gpointer service, GString *text)
{
  TouHttpCallers *callers = service;

  tou_http_server_metrics (callers->server, "callers", text);
  append_counter (text, "timeouts_total", atomic_load (&callers->timeouts));
  append_counter (text, "late_replies_total",
                  atomic_load (&callers->late_replies));
  append_counter (text, "ring_full_total", atomic_load (&callers->ring_full));
  append_counter (text, "statement_too_long_total",
                  atomic_load (&callers->statement_too_long));
  append_counter (text, "cancels_lost_total",
                  atomic_load (&callers->cancels_lost));
}

void
tou_http_callers_refuse_new (TouHttpCallers *callers)
{
  atomic_store (&callers->stopped, TRUE);
}

void
tou_http_callers_destroy (TouHttpCallers *callers)
{
  if (callers == NULL)
    return;
  tou_http_callers_refuse_new (callers);
  if (callers->waiters != NULL)
    tou_waiters_close (callers->waiters);
  tou_http_server_destroy (callers->server);
  tou_waiters_destroy (callers->waiters);
  sodium_memzero (&callers->token_keys, sizeof callers->token_keys);
  g_free (callers);
}
