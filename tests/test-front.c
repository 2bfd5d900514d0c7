/* Guards what a front tells its callers when gates refuse, fail or are slow. */
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
} world;

/* Fakes of the modules around the front; the gates are other proxies. */

const TouGroupConfig *
tou_config_group (const TouConfig *config, const TouName *name)
{
  (void)config;
  return tou_name_equal (name, &world.group.name) ? &world.group : NULL;
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
  return &world.group;
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
  return &world.placement;
}

const TouMemberUpdate *
tou_member_find (const TouMember *member, const TouName *name)
{
  (void)member;
  for (guint i = 0; i < N_GATES; i++)
    if (tou_name_equal (&world.members[i].name, name))
      return &world.members[i];
  return NULL;
}

gboolean
tou_drain_rejects_requests (const TouDrain *drain)
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
      world.sent = message->u.execute.id;
      world.sent_to = *node;
      world.n_sent++;
    }
  tou_message_destroy (message);
}

/* Steps of the tests. */

static int
world_setup (void **state)
{
  (void)state;
  memset (&world, 0, sizeof world);
  tou_random_init (&world.ctx.random, 1);
  world.ctx.actions = &world.actions;
  world.ctx.now_us = TOU_US_PER_S;
  world.ctx.settings.node = tou_name ("front");
  world.ctx.settings.incarnation = 1;
  world.ctx.settings.pending_limit = 1000;
  world.ctx.settings.statement_limit = 1000;
  world.group.name = tou_name ("g");
  world.placement.n_candidates = N_GATES;
  world.members[0].name = tou_name ("gate0");
  world.members[1].name = tou_name ("gate1");
  for (guint i = 0; i < N_GATES; i++)
    world.placement.candidates[i] = world.members[i].name;
  return tou_front_create (&world.ctx.front, &world.ctx);
}

static int
world_teardown (void **state)
{
  (void)state;
  tou_front_destroy (world.ctx.front);
  tou_action_list_clear (&world.actions);
  return 0;
}

static void
world_request (TouRequestKind kind, TouReadMode mode, const char *key)
{
  TouRequest request
      = { .kind = kind, .mode = mode, .deadline_us = DEADLINE_US };

  /* As over HTTP, requests inside a transaction name no group. */
  if (kind == TOU_REQUEST_STATEMENT || kind == TOU_REQUEST_BEGIN)
    request.group = world.group.name;
  request.txn.node = world.members[0].name;
  tou_str_init_c (&request.idempotency_key, key);
  tou_front_request (world.ctx.front, CALLER, &request);
}

/* Answers the last attempt. */
static void
world_reply (TouOutcome outcome, int code)
{
  TouReply reply = { .id = world.sent, .outcome = outcome, .code = code };

  tou_front_on_reply (world.ctx.front, &world.sent_to, &reply);
}

static void
world_kill_gate (guint gate)
{
  world.members[gate].state = TOU_MEMBER_DEAD;
  tou_front_on_change (world.ctx.front);
}

static void
world_tick (guint64 after_us)
{
  world.ctx.now_us += after_us;
  tou_front_on_tick (world.ctx.front);
}

/* Checks the single answer to the caller. */
static void
assert_answer (TouOutcome outcome, int code)
{
  assert_int_equal (world.actions.count, 1);
  assert_int_equal (world.actions.items[0].type, TOU_ACTION_REPLY);
  assert_int_equal (world.actions.items[0].u.reply.caller, CALLER);
  assert_int_equal (world.actions.items[0].u.reply.reply.outcome, outcome);
  assert_int_equal (world.actions.items[0].u.reply.reply.code, code);
  assert_true (tou_front_is_idle (world.ctx.front));
  tou_action_list_reset (&world.actions);
}

/* A dead gate leaves writes and commits in doubt, and nothing else. */
static void
test_dead_gate_outcome_by_kind (void **state)
{
  (void)state;
  world_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  world_kill_gate (0);
  assert_answer (TOU_OUTCOME_UNKNOWN, TOU_E_GATE_LOST);
  world.members[0].state = TOU_MEMBER_ALIVE;
  world_request (TOU_REQUEST_COMMIT, TOU_READ_NONE, NULL);
  world_kill_gate (0);
  assert_answer (TOU_OUTCOME_UNKNOWN, TOU_E_GATE_LOST);
  world.members[0].state = TOU_MEMBER_ALIVE;
  world_request (TOU_REQUEST_TXN_STATEMENT, TOU_READ_NONE, NULL);
  world_kill_gate (0);
  assert_answer (TOU_OUTCOME_NOT_RUN, TOU_E_TXN_LOST);
  assert_int_equal (world.n_sent, 3);
}

/* A read and a write with a key survive the gate's death at another gate. */
static void
test_key_is_retried_at_next_gate (void **state)
{
  (void)state;
  world.ctx.front->budget = 10;
  world_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, "k");
  world_kill_gate (0);
  world_tick (100 * TOU_US_PER_MS);
  assert_int_equal (world.n_sent, 2);
  assert_true (tou_name_equal (&world.sent_to, &world.members[1].name));
  world_reply (TOU_OUTCOME_DONE, TOU_OK);
  assert_answer (TOU_OUTCOME_DONE, TOU_OK);
}

/* "Not run" from a later attempt says nothing about the first. */
static void
test_unknown_is_not_undone_by_refusal (void **state)
{
  (void)state;
  world.ctx.front->budget = 10;
  world_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, "k");
  world_reply (TOU_OUTCOME_UNKNOWN, TOU_E_TERM_CHANGED);
  world_tick (100 * TOU_US_PER_MS);
  world_reply (TOU_OUTCOME_NOT_RUN, TOU_E_QUEUE_FULL);
  assert_answer (TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
}

/* A retry without a budget multiplies the load of an overloaded group. */
static void
test_retries_stay_in_budget (void **state)
{
  (void)state;
  for (guint i = 0; i < 100; i++)
    {
      world_request (TOU_REQUEST_STATEMENT, TOU_READ_SESSION, NULL);
      world_reply (TOU_OUTCOME_UNKNOWN, TOU_E_CONNECTION_LOST);
      world_tick (100 * TOU_US_PER_MS);
      if (!tou_front_is_idle (world.ctx.front))
        world_reply (TOU_OUTCOME_DONE, TOU_OK);
      world.ctx.now_us = TOU_US_PER_S;
      world.ctx.front->next_scan_us = 0;
    }
  assert_in_range (world.n_sent, 101, 110);
  assert_int_equal (world.actions.count, 100);
}

/* A COMMIT names no group: its position must not go to another group that has
   an endpoint of the same name. */
static void
test_commit_raises_its_group (void **state)
{
  TouReply reply = { .pos = { 3, 9 } };
  const TouReply *answer;

  (void)state;
  world_request (TOU_REQUEST_COMMIT, TOU_READ_NONE, NULL);
  reply.id = world.sent;
  reply.group = tou_name ("other");
  reply.endpoint = tou_name ("db1");
  tou_front_on_reply (world.ctx.front, &world.sent_to, &reply);
  answer = &world.actions.items[0].u.reply.reply;
  assert_int_equal (answer->session.n_entries, 1);
  assert_string_equal (answer->session.entries[0].group.data, "other");
}

/* A draining gate must not fail the requests that still arrive there. */
static void
test_refusal_goes_to_next_gate (void **state)
{
  (void)state;
  world_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  world_reply (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
  assert_int_equal (world.n_sent, 2);
  assert_true (tou_name_equal (&world.sent_to, &world.members[1].name));
  world_reply (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
  assert_answer (TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
}

/* A late answer to an earlier attempt is not the answer to this one; a gate
   that stays silent leaves the outcome in doubt. */
static void
test_late_and_missing_answers (void **state)
{
  TouReply late = { .outcome = TOU_OUTCOME_DONE };

  (void)state;
  world_request (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  late.id = world.sent;
  late.id.incarnation++;
  tou_front_on_reply (world.ctx.front, &world.sent_to, &late);
  late.id = world.sent;
  tou_front_on_reply (world.ctx.front, &world.members[1].name, &late);
  assert_int_equal (world.actions.count, 0);
  assert_int_equal (world.ctx.counters.values[TOU_COUNTER_LATE_REPLIES], 2);
  world_tick (DEADLINE_US);
  assert_answer (TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
}

int
main (void)
{
#define FRONT_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, world_setup, world_teardown)
  const struct CMUnitTest tests[] = {
    FRONT_TEST (test_dead_gate_outcome_by_kind),
    FRONT_TEST (test_key_is_retried_at_next_gate),
    FRONT_TEST (test_unknown_is_not_undone_by_refusal),
    FRONT_TEST (test_retries_stay_in_budget),
    FRONT_TEST (test_commit_raises_its_group),
    FRONT_TEST (test_refusal_goes_to_next_gate),
    FRONT_TEST (test_late_and_missing_answers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
