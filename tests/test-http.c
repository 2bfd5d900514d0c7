/* Guards against requests, outcomes and session cookies that are changed by
 * the HTTP ports, and invalid input that stops them. The core is faked. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http-callers.h"
#include "http-operators.h"
#include "support/process.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY 4096
#define MAX_HEADER 4096
#define MAX_CONNECTIONS 16
#define OVERLONG_LINE 1000000 /* bytes */

/* Behaviour of the fake core on the next requests. */
typedef enum
{
  CORE_ANSWERS,
  CORE_IS_FULL,
  CORE_DOES_NOT_ANSWER
} CoreMode;

/* Protects the fixture, which the test and the handlers' threads access. */
static pthread_mutex_t fixture_mutex = PTHREAD_MUTEX_INITIALIZER;

/* The fake core; the handlers' threads call it. */
typedef struct
{
  CoreMode mode;
  TouReply reply; /* template of the replies */
  TouRequest last_request;
  int config_code; /* answer to changes */
  guint n_cancelled;
  guint n_drains;
  TouSettings settings;
  TouRegistry *registry;
  TouHttpCallers *callers;
  TouHttpOperators *operators;
  guint callers_port;
  guint operators_port;
} Fixture;

static void
answer_request (Fixture *f, TouEvent *event)
{
  TouAction action = { .type = TOU_ACTION_REPLY };

  tou_request_clear (&f->last_request);
  tou_request_copy (&f->last_request, &event->u.request.request);
  if (f->mode == CORE_DOES_NOT_ANSWER)
    return;
  action.u.reply.caller = event->u.request.caller;
  action.u.reply.reply = f->reply;
  tou_str_copy (&action.u.reply.reply.message, &f->reply.message);
  tou_str_copy (&action.u.reply.reply.result, &f->reply.result);
  tou_http_callers_submit (f->callers, &action);
}

static void
answer_change (Fixture *f, const TouEvent *event)
{
  TouAction action = { .type = TOU_ACTION_CONFIG_REPLY };

  action.u.config_reply.caller = event->u.config_change.caller;
  action.u.config_reply.code = f->config_code;
  action.u.config_reply.revision
      = event->u.config_change.change.expected_revision + 1;
  if (f->config_code == TOU_E_CONFLICT)
    tou_str_init_c (&action.u.config_reply.current, "{\"author\":\"b\"}");
  tou_http_operators_submit (f->operators, &action);
}

static void
answer_query (Fixture *f, const TouEvent *event)
{
  TouAction action = { .type = TOU_ACTION_TEXT_REPLY };

  action.u.text_reply.caller = event->u.query.caller;
  tou_str_init_c (&action.u.text_reply.text,
                  event->type == TOU_EVENT_METRICS
                      ? "core_metric 1\n"
                      : "{\"config\":[{\"key\":\"config/group/a\","
                        "\"value\":{},\"revision\":3}]}");
  tou_http_operators_submit (f->operators, &action);
}

static int
fake_sink (gpointer data, TouEvent *event)
{
  Fixture *f = data;

  pthread_mutex_lock (&fixture_mutex);
  if (f->mode == CORE_IS_FULL)
    {
      pthread_mutex_unlock (&fixture_mutex);
      return TOU_E_RING_FULL;
    }
  if (event->type == TOU_EVENT_REQUEST)
    answer_request (f, event);
  else if (event->type == TOU_EVENT_CONFIG_CHANGE)
    answer_change (f, event);
  else if (event->type == TOU_EVENT_REQUEST_CANCELLED)
    f->n_cancelled++;
  else if (event->type == TOU_EVENT_DRAIN)
    f->n_drains++;
  else
    answer_query (f, event);
  pthread_mutex_unlock (&fixture_mutex);
  tou_event_clear (event);
  return TOU_OK;
}

static int
setup (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);
  TouEventSink sink = { fake_sink, f };

  f->callers_port = (guint)tou_process_free_port ();
  f->operators_port = (guint)tou_process_free_port ();
  f->settings = (TouSettings){
    .callers_listen = g_strdup_printf ("127.0.0.1:%u", f->callers_port),
    .operators_listen = g_strdup_printf ("127.0.0.1:%u", f->operators_port),
    .caller_token = (char *)"caller",
    .operator_token = (char *)"operator",
    .token_keys = { 1, { { 7 } } },
    .core = { .statement_limit = 100 },
    .max_body = MAX_BODY,
    .max_header = MAX_HEADER,
    .max_connections = MAX_CONNECTIONS,
    .max_operator_connections = MAX_CONNECTIONS,
    .max_deadline_us = 60 * TOU_US_PER_S,
    .idle_timeout_us = 60 * TOU_US_PER_S,
  };
  f->reply.outcome = TOU_OUTCOME_DONE;
  f->reply.role = TOU_ROLE_PRIMARY;
  f->reply.endpoint = tou_name ("db-1");
  f->reply.gate = tou_name ("vm-2");
  tou_str_init_c (&f->reply.result,
                  "{\"rows\":[[\"1\"]],\"tag\":\"SELECT 1\"}");
  assert_int_equal (tou_registry_create (&f->registry), TOU_OK);
  assert_int_equal (tou_http_callers_create (&f->callers, &f->settings, sink),
                    TOU_OK);
  assert_int_equal (tou_http_operators_create (&f->operators, &f->settings,
                                               f->registry, sink),
                    TOU_OK);
  assert_int_equal (tou_http_callers_start (f->callers), TOU_OK);
  assert_int_equal (tou_http_operators_start (f->operators), TOU_OK);
  *state = f;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *f = *state;

  tou_registry_remove_metrics (f->registry, f->callers);
  tou_http_callers_destroy (f->callers);
  tou_http_operators_destroy (f->operators);
  tou_registry_destroy (f->registry);
  tou_reply_clear (&f->reply);
  tou_request_clear (&f->last_request);
  g_free (f->settings.callers_listen);
  g_free (f->settings.operators_listen);
  g_free (f);
  return 0;
}

static int
connect_to (guint port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((guint16)port);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

/* Orders the test's accesses to the fixture with those of the handlers'
   threads; ThreadSanitizer does not recognize the order that sockets impose. */
static void
synchronize (void)
{
  pthread_mutex_lock (&fixture_mutex);
  pthread_mutex_unlock (&fixture_mutex);
}

/* Sends bytes and returns those received until the server closes the
   connection. */
static char *
exchange_raw (guint port, const char *data, gsize len)
{
  int fd = connect_to (port);
  GString *answer = g_string_new (NULL);
  char buffer[4096];
  ssize_t got;

  synchronize ();
  while (len > 0)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent <= 0)
        break;
      data += sent;
      len -= (gsize)sent;
    }
  shutdown (fd, SHUT_WR);
  while ((got = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (answer, buffer, got);
  close (fd);
  synchronize ();
  return g_string_free (answer, FALSE);
}

/* Sends a request; @a headers are complete lines. */
static char *
exchange (guint port, const char *line, const char *token, const char *headers,
          const char *body)
{
  char *text
      = g_strdup_printf ("%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                         "Authorization: Bearer %s\r\n"
                         "Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n%s",
                         line, token, strlen (body), headers, body);
  char *answer = exchange_raw (port, text, strlen (text));

  g_free (text);
  return answer;
}

static void
assert_contains (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    {
      fputs (text, stderr);
      fail_msg ("the response above does not contain an expected part");
    }
}

/* Checks the status line and code of a problem response and frees it. */
static void
assert_problem (char *answer, int http, int code)
{
  char *status = g_strdup_printf ("HTTP/1.1 %d ", http);
  char *member = g_strdup_printf ("\"code\":%d", code);

  assert_contains (answer, status);
  assert_contains (answer, member);
  assert_contains (answer, "application/problem+json");
  g_free (status);
  g_free (member);
  g_free (answer);
}

#define STATEMENT "POST /v1/groups/g/statements"
#define SELECT_1 "{\"sql\":\"SELECT 1\"}"

/* A field lost between HTTP and the core would change the meaning of the
   request. */
static void
test_statement_reaches_the_core (void **state)
{
  Fixture *f = *state;
  char *answer = exchange (
      f->callers_port, STATEMENT, "caller",
      "X-Toucanscale-Rank: review\r\nX-Toucanscale-Read: max-age=250\r\n"
      "X-Toucanscale-Deadline: 900\r\n",
      "{\"sql\":\"SELECT $1\",\"params\":[\"a\",1,2.5,true,null],"
      "\"read\":true}");

  assert_contains (answer, "HTTP/1.1 200 ");
  assert_contains (answer, "{\"outcome\":\"done\",\"rows\":[[\"1\"]],\"tag\":"
                           "\"SELECT 1\",\"served_by\":{\"endpoint\":\"db-1\","
                           "\"role\":\"primary\",\"node\":\"vm-2\"}}");
  g_free (answer);
  assert_string_equal (f->last_request.group.data, "g");
  assert_int_equal (f->last_request.rank, TOU_RANK_REVIEW);
  assert_int_equal (f->last_request.mode, TOU_READ_MAX_AGE);
  assert_int_equal (f->last_request.max_age_us, 250 * TOU_US_PER_MS);
  assert_true (f->last_request.deadline_us > 0);
  assert_int_equal (f->last_request.statement.n_params, 5);
  assert_string_equal (f->last_request.statement.params[1].data, "1");
  assert_string_equal (f->last_request.statement.params[3].data, "true");
  assert_null (f->last_request.statement.params[4].data);
}

/* With a wrong kind or id, a statement would be executed outside its
   transaction. */
static void
test_transaction_requests_keep_kind_and_id (void **state)
{
  Fixture *f = *state;
  char *answer;

  f->reply.txn = (TouRequestId){ tou_name ("vm.2"), 10, 11 };
  answer = exchange (f->callers_port, "POST /v1/groups/g/transactions",
                     "caller", "", "");
  assert_contains (answer, "\"transaction\":\"vm.2.a.b\"");
  g_free (answer);
  g_free (exchange (f->callers_port,
                    "POST /v1/transactions/vm.2.a.b/statements", "caller", "",
                    SELECT_1));
  assert_int_equal (f->last_request.kind, TOU_REQUEST_TXN_STATEMENT);
  assert_true (tou_request_id_equal (&f->last_request.txn, &f->reply.txn));
  g_free (exchange (f->callers_port, "POST /v1/transactions/vm.2.a.b/commit",
                    "caller", "", "{}"));
  assert_int_equal (f->last_request.kind, TOU_REQUEST_COMMIT);
  g_free (exchange (f->callers_port, "POST /v1/transactions/vm.2.a.b/rollback",
                    "caller", "", ""));
  assert_int_equal (f->last_request.kind, TOU_REQUEST_ROLLBACK);
}

/* Without the new cookie, a session might not read its own write; if the old
   cookies were not removed, they would accumulate. */
static void
test_session_cookies_are_merged_and_replaced (void **state)
{
  Fixture *f = *state;
  TouName g = tou_name ("g");
  TouName h = tou_name ("h");
  TouSession carried = { 0 };
  TouSession answered = { 0 };
  TouStr token;
  char *headers;
  char *answer;
  char *value;

  tou_session_raise (&carried, &h, (TouLogPos){ 1, 4 });
  tou_session_raise (&f->reply.session, &g, (TouLogPos){ 3, 9 });
  tou_token_encode (&token, &carried, &f->settings.token_keys);
  headers = g_strdup_printf ("Cookie: tou-session-1=%s\r\n", token.data);
  answer = exchange (f->callers_port, STATEMENT, "caller", headers, SELECT_1);
  assert_int_equal (tou_session_get (&f->last_request.session, &h).position, 4);
  assert_contains (answer, "tou-session-1=; Expires=Thu, 01 Jan 1970");
  value = strstr (answer, "X-Toucanscale-Session: ");
  assert_non_null (value);
  value += strlen ("X-Toucanscale-Session: ");
  assert_int_equal (tou_token_merge (&answered, value, strcspn (value, "\r"),
                                     &f->settings.token_keys),
                    TOU_OK);
  assert_int_equal (tou_session_get (&answered, &g).position, 9);
  assert_int_equal (tou_session_get (&answered, &h).position, 4);
  g_free (answer);
  g_free (headers);
  tou_str_clear (&token);
}

/* If a discarded position remained in the cookie, every later request of the
   session would be refused. */
static void
test_discarded_position_is_removed_from_the_session (void **state)
{
  Fixture *f = *state;
  TouName g = tou_name ("g");
  TouSession carried = { 0 };
  TouStr token;
  char *headers;
  char *answer;

  f->reply.outcome = TOU_OUTCOME_NOT_RUN;
  f->reply.code = TOU_E_TOKEN_DISCARDED;
  tou_session_raise (&carried, &g, (TouLogPos){ 1, 4 });
  tou_token_encode (&token, &carried, &f->settings.token_keys);
  headers = g_strdup_printf ("Cookie: tou-session-1=%s\r\n", token.data);
  answer = exchange (f->callers_port, STATEMENT, "caller", headers, SELECT_1);
  assert_contains (answer, "tou-session-1=; Expires=Thu, 01 Jan 1970");
  assert_null (strstr (answer, "X-Toucanscale-Session: "));
  assert_problem (answer, 409, TOU_E_TOKEN_DISCARDED);
  g_free (headers);
  tou_str_clear (&token);
}

typedef struct
{
  const char *line;
  const char *headers;
  const char *body;
  int code;
} BadRequest;

/* Malformed input must be answered with its code and must not be passed to the
   core. */
static void
test_malformed_requests_are_refused (void **state)
{
  static const BadRequest bad[] = {
    { STATEMENT, "", "{", TOU_E_INVALID_JSON },
    { STATEMENT, "", "[]", TOU_E_INVALID_JSON },
    { STATEMENT, "", "", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":1}", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":\"\"}", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":\"x\",\"sql\":\"y\"}", TOU_E_INVALID_JSON },
    /* Truncation at the NUL byte would cause another statement to run. */
    { STATEMENT, "", "{\"sql\":\"a\\u0000b\"}", TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "", "{\"sql\":\"a\",\"params\":[\"b\\u0000\"]}",
      TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "", "{\"sql\":\"x\",\"read\":1}", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":\"x\",\"more\":1}", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":\"x\",\"params\":{}}", TOU_E_INVALID_JSON },
    { STATEMENT, "", "{\"sql\":\"x\",\"params\":[[]]}", TOU_E_INVALID_JSON },
    { STATEMENT, "X-Toucanscale-Rank: top\r\n", SELECT_1,
      TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "X-Toucanscale-Read: max-age=0\r\n",
      "{\"sql\":\"x\",\"read\":true}", TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "X-Toucanscale-Deadline: 60001\r\n", SELECT_1,
      TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "X-Toucanscale-Deadline: -1\r\n", SELECT_1,
      TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "Idempotency-Key: \r\n", SELECT_1, TOU_E_INVALID_ARGUMENT },
    { STATEMENT, "X-Toucanscale-Session: 1.AAAA\r\n", SELECT_1,
      TOU_E_TOKEN_INVALID },
    { STATEMENT, "Cookie: tou-session-x=forged\r\n", SELECT_1,
      TOU_E_TOKEN_INVALID },
    { "POST /v1/transactions/x/commit", "", "", TOU_E_UNKNOWN_TXN },
    { "POST /v1/transactions/a.1.1/commit", "Idempotency-Key: k\r\n", "",
      TOU_E_INVALID_ARGUMENT },
    { "POST /v1/transactions/a.1.1/commit", "", "{\"sql\":\"x\"}",
      TOU_E_INVALID_JSON },
    { "POST /v1/groups/g/statements?group=h", "", SELECT_1,
      TOU_E_INVALID_ARGUMENT },
    { "GET /v1/groups/g/statements", "", "", TOU_E_NOT_FOUND },
    { "POST /", "", "", TOU_E_NOT_FOUND },
  };
  Fixture *f = *state;

  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_problem (exchange (f->callers_port, bad[i].line, "caller",
                              bad[i].headers, bad[i].body),
                    (int)tou_status_http (bad[i].code), bad[i].code);
  assert_null (f->last_request.statement.sql.data);
}

/* Oversized input must be refused with the code of its limit, on both ports,
   and deep nesting must not exhaust the thread's stack. */
static void
test_oversized_requests_are_refused (void **state)
{
  Fixture *f = *state;
  char *big = g_strnfill (MAX_BODY + 1, 'x');
  char *deep = g_strnfill (MAX_BODY, '[');
  char *header = g_strdup_printf ("X-Filler: %s\r\n", big);
  char *sql = g_strnfill (101, 'x');
  char *statement = g_strdup_printf ("{\"sql\":\"%s\"}", sql);
  const guint ports[] = { f->callers_port, f->operators_port };
  const char *const lines[] = { STATEMENT, "PUT /v1/config/group/a" };
  const char *const tokens[] = { "caller", "operator" };

  for (guint i = 0; i < G_N_ELEMENTS (ports); i++)
    {
      assert_problem (exchange (ports[i], lines[i], tokens[i], "", big), 413,
                      TOU_E_BODY_TOO_LARGE);
      assert_problem (exchange (ports[i], lines[i], tokens[i], header, "{}"),
                      431, TOU_E_HEADER_TOO_LARGE);
      assert_problem (exchange (ports[i], lines[i], tokens[i], "", deep), 400,
                      TOU_E_INVALID_JSON);
      assert_problem (exchange (ports[i], lines[i], "wrong", "", "{}"), 401,
                      TOU_E_UNAUTHORIZED);
    }
  assert_problem (
      exchange (f->callers_port, STATEMENT, "caller", "", statement), 413,
      TOU_E_STATEMENT_TOO_LONG);
  g_free (big);
  g_free (deep);
  g_free (header);
  g_free (sql);
  g_free (statement);
}

/* After input that is not HTTP, both ports must continue to serve requests. */
static void
test_ports_serve_after_invalid_input (void **state)
{
  static const char *const invalid[] = {
    "\r\n\r\n", "\x16\x03\x01\x02", "GET", "POST / HTTP/9.9\r\n\r\n",
    "POST /v1/groups/g/statements HTTP/1.1\r\nContent-Length: x\r\n\r\n"
  };
  Fixture *f = *state;
  char *line = g_strnfill (OVERLONG_LINE, 'A');
  char *answer;

  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_free (exchange_raw (f->callers_port, invalid[i], strlen (invalid[i])));
      g_free (
          exchange_raw (f->operators_port, invalid[i], strlen (invalid[i])));
    }
  g_free (exchange_raw (f->callers_port, line, strlen (line)));
  g_free (line);
  answer = exchange (f->callers_port, STATEMENT, "caller", "", SELECT_1);
  assert_contains (answer, "\"outcome\":\"done\"");
  g_free (answer);
  answer = exchange (f->operators_port, "GET /healthz", "operator", "", "");
  assert_contains (answer, "HTTP/1.1 200 ");
  g_free (answer);
}

/* If the ring is full, the outcome is not_run. If the core does not answer, the
   outcome is unknown and the request is cancelled. */
static void
test_outcomes_of_refused_and_unanswered_requests (void **state)
{
  Fixture *f = *state;
  char *answer;

  f->mode = CORE_IS_FULL;
  answer = exchange (f->callers_port, STATEMENT, "caller", "", SELECT_1);
  assert_contains (answer, "\"outcome\":\"not_run\"");
  assert_contains (answer, "Retry-After: 1");
  assert_problem (answer, 503, TOU_E_RING_FULL);
  f->mode = CORE_DOES_NOT_ANSWER;
  answer = exchange (f->callers_port, STATEMENT, "caller",
                     "X-Toucanscale-Deadline: 1\r\n", SELECT_1);
  assert_contains (answer, "\"outcome\":\"unknown\"");
  assert_problem (answer, 504, TOU_E_UNCONFIRMED);
  assert_int_equal (f->n_cancelled, 1);
}

static void *
send_statement (void *data)
{
  return exchange (((Fixture *)data)->callers_port, STATEMENT, "caller", "",
                   SELECT_1);
}

/* If the stop truncated a response, the client would not get an outcome. */
static void
test_stop_completes_the_responses (void **state)
{
  Fixture *f = *state;
  gboolean waiting = FALSE;
  pthread_t thread;
  void *answer;

  f->mode = CORE_DOES_NOT_ANSWER;
  assert_int_equal (pthread_create (&thread, NULL, send_statement, f), 0);
  while (!waiting)
    {
      pthread_mutex_lock (&fixture_mutex);
      waiting = f->last_request.statement.sql.data != NULL;
      pthread_mutex_unlock (&fixture_mutex);
      g_usleep (TOU_US_PER_MS);
    }
  tou_http_callers_destroy (f->callers);
  f->callers = NULL;
  pthread_join (thread, &answer);
  assert_contains (answer, "\"outcome\":\"unknown\"");
  assert_problem (answer, 504, TOU_E_UNCONFIRMED);
}

/* Requests over the connection limit must be answered with a code instead of a
   closed connection. */
static void
test_connection_limit_is_answered_with_a_code (void **state)
{
  static const char keep_alive[]
      = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  Fixture *f = *state;
  int open_fds[MAX_CONNECTIONS];

  for (guint i = 0; i < G_N_ELEMENTS (open_fds); i++)
    {
      char byte;

      open_fds[i] = connect_to (f->callers_port);
      assert_true (send (open_fds[i], keep_alive, strlen (keep_alive), 0) > 0);
      assert_int_equal (recv (open_fds[i], &byte, 1, 0), 1);
    }
  assert_problem (exchange (f->callers_port, STATEMENT, "caller", "", SELECT_1),
                  503, TOU_E_TOO_MANY_CONNECTIONS);
  for (guint i = 0; i < G_N_ELEMENTS (open_fds); i++)
    close (open_fds[i]);
}

/* The load balancer sends requests only to proxies that report readiness. */
static void
test_readiness_metrics_and_drain (void **state)
{
  Fixture *f = *state;
  TouAction ready = { .type = TOU_ACTION_READY, .u.ready.ready = TRUE };
  char *answer;

  tou_registry_add_metrics (f->registry, tou_http_callers_metrics, f->callers);
  assert_problem (
      exchange (f->operators_port, "GET /readyz", "operator", "", ""), 503,
      TOU_E_NOT_READY);
  tou_http_operators_submit (f->operators, &ready);
  answer = exchange (f->operators_port, "GET /readyz", "operator", "", "");
  assert_contains (answer, "HTTP/1.1 200 ");
  g_free (answer);
  answer = exchange (f->operators_port, "GET /metrics", "operator", "", "");
  assert_contains (answer, "core_metric 1\n");
  assert_contains (answer, "toucanscale_callers_timeouts_total 0\n");
  g_free (answer);
  answer = exchange (f->operators_port, "POST /v1/drain", "operator", "", "");
  assert_contains (answer, "HTTP/1.1 202 ");
  g_free (answer);
  assert_int_equal (f->n_drains, 1);
  assert_problem (
      exchange (f->operators_port, "GET /readyz", "operator", "", ""), 503,
      TOU_E_DRAINING);
}

/* The response to a conflict must contain the other operator's value, and a
   malformed change must not be passed to the store. */
static void
test_operator_changes_are_validated (void **state)
{
  static const char change[] = "{\"value\":{\"a\":1},\"expected_revision\":6,"
                               "\"author\":\"me\"}";
  static const BadRequest bad[] = {
    { "PUT /v1/config/group/a", "", "{\"author\":\"me\"}", TOU_E_INVALID_JSON },
    { "PUT /v1/config/group/a", "", "{\"value\":1}", TOU_E_INVALID_JSON },
    { "PUT /v1/config/promotion/a", "", "{}", TOU_E_NOT_FOUND },
    { "DELETE /v1/config/group/a", "", "{\"author\":\"me\"}",
      TOU_E_INVALID_JSON },
    { "GET /v1/config/group/b", "", "", TOU_E_NOT_FOUND },
  };
  Fixture *f = *state;
  char *answer = exchange (f->operators_port, "PUT /v1/config/group/a",
                           "operator", "", change);

  assert_contains (answer, "{\"outcome\":\"done\",\"revision\":7}");
  g_free (answer);
  answer = exchange (f->operators_port, "GET /v1/config/group/a", "operator",
                     "", "");
  assert_contains (answer, "\"revision\":3");
  g_free (answer);
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_problem (exchange (f->operators_port, bad[i].line, "operator",
                              bad[i].headers, bad[i].body),
                    (int)tou_status_http (bad[i].code), bad[i].code);
  f->config_code = TOU_E_CONFLICT;
  answer = exchange (f->operators_port, "PUT /v1/config/group/a", "operator",
                     "", change);
  assert_contains (answer, "\"current\":{\"author\":\"b\"}");
  assert_problem (answer, 409, TOU_E_CONFLICT);
}

#define HTTP_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    HTTP_TEST (test_statement_reaches_the_core),
    HTTP_TEST (test_transaction_requests_keep_kind_and_id),
    HTTP_TEST (test_session_cookies_are_merged_and_replaced),
    HTTP_TEST (test_discarded_position_is_removed_from_the_session),
    HTTP_TEST (test_malformed_requests_are_refused),
    HTTP_TEST (test_oversized_requests_are_refused),
    HTTP_TEST (test_ports_serve_after_invalid_input),
    HTTP_TEST (test_outcomes_of_refused_and_unanswered_requests),
    HTTP_TEST (test_stop_completes_the_responses),
    HTTP_TEST (test_connection_limit_is_answered_with_a_code),
    HTTP_TEST (test_readiness_metrics_and_drain),
    HTTP_TEST (test_operator_changes_are_validated),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
