/* Guards against wrong outcomes and unlimited retries when gates refuse
 * requests, fail or respond late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "front-internal.h"

#include <string.h>

#define N_GATES 2
#define CALLER 7
#define DEADLINE_US (2 * TOU_US_PER_S)

static struct
{
  TouContext ctx;
  TouActionList actions;
  TouGroupConfig group;
  TouPlacement placement;
  TouMemberUpdate members[N_GATES];
  TouRequestId sent; /* id of the last attempt */
  TouName sent_to;
  guint n_sent;
} fixture;

/* Fakes of the modules that the front calls; the gates are other proxies. */

const TouGroupConfig *
tou_config_group (const TouConfig *config, const TouName *name)
{
  (void)config;
  return tou_name_equal (name, &fixture.group.name) ? &fixture.group : NULL;
}

guint
tou_config_n_groups (const TouConfig *config)
{
  (void)config;
  return 1;
}

const TouGroupConfig *
tou_config_group_at (const TouConfig *config, guint i)
{
  (void)config;
  (void)i;
  return &fixture.group;
}

int
tou_group_endpoint_index (const TouGroupConfig *group, const TouName *endpoint)
{
  (void)group;
  (void)endpoint;
  return 0;
}

void
tou_config_defaults (const TouConfig *config, const TouName *group,
                     TouDefaults *out)
{
  (void)config;
  (void)group;
  *out = (TouDefaults){ 0 };
}

const TouPlacement *
tou_place_group (TouPlace *place, const TouGroupConfig *group)
{
  (void)place;
  (void)group;
  return &fixture.placement;
}

const TouMemberUpdate *
tou_member_find (const TouMember *member, const TouName *name)
{
  (void)member;
  for (guint i = 0; i < N_GATES; i++)
    if (tou_name_equal (&fixture.members[i].name, name))
      return &fixture.members[i];
  return NULL;
}

gboolean
tou_drain_refuses_requests (const TouDrain *drain)
{
  return drain != NULL;
}

gboolean
tou_feed_is_current (const TouFeed *feed)
{
  (void)feed;
  return TRUE;
}

void
tou_gate_execute (TouGate *gate, const TouName *from, TouRequest *request)
{
  (void)gate;
  (void)from;
  tou_request_clear (request);
}

void
tou_gate_cancel (TouGate *gate, const TouRequestId *id)
{
  (void)gate;
  (void)id;
}

guint64
tou_context_next_id (TouContext *ctx)
{
  return ++ctx->next_id;
}

void
tou_context_send (TouContext *ctx, const TouName *node, TouMessage *message)
{
  (void)ctx;
  if (message->type == TOU_MESSAGE_EXECUTE)
    {
      fixture.sent = message->u.execute.id;
      fixture.sent_to = *node;
      fixture.n_sent++;
    }
  tou_message_destroy (message);
}

/* Fixture and helpers. */

static int
fixture_setup (void **state)
{
  (void)state;
  memset (&fixture, 0, sizeof fixture);
  tou_random_init (&fixture.ctx.random, 1);
  fixture.ctx.actions = &fixture.actions;
  fixture.ctx.now_us = TOU_US_PER_S;
  fixture.ctx.settings.node = tou_name ("front");
  fixture.ctx.settings.incarnation = 1;
  fixture.ctx.settings.pending_limit = 1000;
  fixture.ctx.settings.statement_limit = 1000;
  fixture.group.name = tou_name ("g");
  fixture.placement.n_candidates = N_GATES;
  fixture.members[0].name = tou_name ("gate0");
  fixture.members[1].name = tou_name ("gate1");
  for (guint i = 0; i < N_GATES; i++)
    fixture.placement.candidates[i] = fixture.members[i].name;
  return tou_front_create (&fixture.ctx.front, &fixture.ctx);
}

static int
fixture_teardown (void **state)
{
  (void)state;
  tou_front_destroy (fixture.ctx.front);
  tou_action_list_clear (&fixture.actions);
  return 0;
}

static void
fixture_request (TouRequestKind kind, TouReadMode mode, const char *key)
{
  TouRequest request
      = { .kind = kind, .mode = mode, .deadline_us = DEADLINE_US };

  /* As in the HTTP interface, requests of a transaction have no group. */
  if (kind == TOU_REQUEST_STATEMENT || kind == TOU_REQUEST_BEGIN)
    request.group = fixture.group.name;
  request.txn.node = fixture.members[0].name;
  tou_str_init_c (&request.idempotency_key, key);
  tou_front_request (fixture.ctx.front, CALLER, &request);
}

/* Sends a reply to the last attempt. */
static void
fixture_reply (TouOutcome outcome, int code)
{
  TouReply reply = { .id = fixture.sent, .outcome = outcome, .code = code };

  tou_front_on_reply (fixture.ctx.front, &fixture.sent_to, &reply);
}

static void
fixture_kill_gate (guint gate)
{
  fixture.members[gate].state = TOU_MEMBER_DEAD;
  tou_front_on_change (fixture.ctx.front);
}

static void
fixture_tick (guint64 after_us)
{
  fixture.ctx.now_us += after_us;
  tou_front_on_tick (fixture.ctx.front);
}

/* Checks the only reply to the client. */
static void
assert_client_reply (TouOutcome outcome, int code)
{
  assert_int_equal (fixture.actions.count, 1);
  assert_int_equal (fixture.actions.items[0].type, TOU_ACTION_REPLY);
  assert_int_equal (fixture.actions.items[0].u.reply.caller, CALLER);
  assert_int_equal (fixture.actions.items[0].u.reply.reply.outcome, outcome);
  assert_int_equal (fixture.actions.items[0].u.reply.reply.code, code);
  assert_true (tou_front_is_idle (fixture.ctx.front));
  tou_action_list_reset (&fixture.actions);
}

/* When a gate dies, only the outcome of writes and commits is unknown. Other
 * statements of a transaction are reported as not run. */
static void
test_dead_gate_outcome_by_kind (void **state)
{
  (void)state;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  fixture_kill_gate (0);
  assert_client_reply (TOU_OUTCOME_UNKNOWN, TOU_E_GATE_LOST);
  fixture.members[0].state = TOU_MEMBER_ALIVE;
  fixture_request (TOU_REQUEST_COMMIT, TOU_READ_NONE, NULL);
  fixture_kill_gate (0);
  assert_client_reply (TOU_OUTCOME_UNKNOWN, TOU_E_GATE_LOST);
  fixture.members[0].state = TOU_MEMBER_ALIVE;
  fixture_request (TOU_REQUEST_TXN_STATEMENT, TOU_READ_NONE, NULL);
  fixture_kill_gate (0);
  assert_client_reply (TOU_OUTCOME_NOT_RUN, TOU_E_TXN_LOST);
  assert_int_equal (fixture.n_sent, 3);
}

/* Requests that are safe to repeat, that is reads and writes with an
 * idempotency key, must be retried at another gate when their gate dies. */
static void
test_keyed_write_is_retried_at_next_gate (void **state)
{
  (void)state;
  fixture.ctx.front->budget = 10;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, "k");
  fixture_kill_gate (0);
  fixture_tick (100 * TOU_US_PER_MS);
  assert_int_equal (fixture.n_sent, 2);
  assert_true (tou_name_equal (&fixture.sent_to, &fixture.members[1].name));
  fixture_reply (TOU_OUTCOME_DONE, TOU_OK);
  assert_client_reply (TOU_OUTCOME_DONE, TOU_OK);
}

/* Guards against an unknown outcome of a keyed write that a new proxy sends to
 * a gate which was just killed: it needs a retry before other requests have
 * added to the retry budget. */
static void
test_new_proxy_retries_first_write (void **state)
{
  (void)state;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, "k");
  fixture_kill_gate (0);
  fixture_tick (100 * TOU_US_PER_MS);
  assert_int_equal (fixture.n_sent, 2);
  fixture_reply (TOU_OUTCOME_DONE, TOU_OK);
  assert_client_reply (TOU_OUTCOME_DONE, TOU_OK);
}

/* "Not run" for a retry does not apply to the first attempt, whose outcome
 * remains unknown. */
static void
test_refused_retry_keeps_outcome_unknown (void **state)
{
  (void)state;
  fixture.ctx.front->budget = 10;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, "k");
  fixture_reply (TOU_OUTCOME_UNKNOWN, TOU_E_TERM_CHANGED);
  fixture_tick (100 * TOU_US_PER_MS);
  fixture_reply (TOU_OUTCOME_NOT_RUN, TOU_E_QUEUE_FULL);
  assert_client_reply (TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
}

/* Without a retry budget, retries multiply the load of an overloaded group. */
static void
test_retries_stay_in_budget (void **state)
{
  (void)state;
  for (guint i = 0; i < 100; i++)
    {
      fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_SESSION, NULL);
      fixture_reply (TOU_OUTCOME_UNKNOWN, TOU_E_CONNECTION_LOST);
      fixture_tick (100 * TOU_US_PER_MS);
      if (!tou_front_is_idle (fixture.ctx.front))
        fixture_reply (TOU_OUTCOME_DONE, TOU_OK);
      fixture.ctx.now_us = TOU_US_PER_S;
      fixture.ctx.front->next_scan_us = 0;
    }
  assert_in_range (fixture.n_sent, 101, 110);
  assert_int_equal (fixture.actions.count, 100);
}

/* A COMMIT has no group: its position must be attributed to the group of the
 * reply, not to another group with an endpoint of the same name. */
static void
test_commit_raises_session_of_reply_group (void **state)
{
  TouReply reply = { .pos = { 3, 9 } };
  const TouReply *reply_to_client;

  (void)state;
  fixture_request (TOU_REQUEST_COMMIT, TOU_READ_NONE, NULL);
  reply.id = fixture.sent;
  reply.group = tou_name ("other");
  reply.endpoint = tou_name ("db1");
  tou_front_on_reply (fixture.ctx.front, &fixture.sent_to, &reply);
  reply_to_client = &fixture.actions.items[0].u.reply.reply;
  assert_int_equal (reply_to_client->session.n_entries, 1);
  assert_string_equal (reply_to_client->session.entries[0].group.data, "other");
}

/* Requests that arrive at a draining gate must be sent to another gate. */
static void
test_refusal_goes_to_next_gate (void **state)
{
  (void)state;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  fixture_reply (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
  assert_int_equal (fixture.n_sent, 2);
  assert_true (tou_name_equal (&fixture.sent_to, &fixture.members[1].name));
  fixture_reply (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
  assert_client_reply (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
}

/* A late reply to another attempt must not be taken for the reply to the
 * current one. If a gate does not reply before the deadline, the outcome is
 * unknown. */
static void
test_late_and_missing_replies (void **state)
{
  TouReply late = { .outcome = TOU_OUTCOME_DONE };

  (void)state;
  fixture_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  late.id = fixture.sent;
  late.id.incarnation++;
  tou_front_on_reply (fixture.ctx.front, &fixture.sent_to, &late);
  late.id = fixture.sent;
  tou_front_on_reply (fixture.ctx.front, &fixture.members[1].name, &late);
  assert_int_equal (fixture.actions.count, 0);
  assert_int_equal (fixture.ctx.counters.values[TOU_COUNTER_LATE_REPLIES], 2);
  fixture_tick (DEADLINE_US);
  assert_client_reply (TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
}

int
main (void)
{
#define FRONT_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, fixture_setup, fixture_teardown)
  const struct CMUnitTest tests[] = {
    FRONT_TEST (test_dead_gate_outcome_by_kind),
    FRONT_TEST (test_keyed_write_is_retried_at_next_gate),
    FRONT_TEST (test_refused_retry_keeps_outcome_unknown),
    FRONT_TEST (test_new_proxy_retries_first_write),
    FRONT_TEST (test_retries_stay_in_budget),
    FRONT_TEST (test_commit_raises_session_of_reply_group),
    FRONT_TEST (test_refusal_goes_to_next_gate),
    FRONT_TEST (test_late_and_missing_replies),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
