/* Guards against writes acknowledged without a majority, stale reads and wrong
 * outcomes at the gate. The database results are faked. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gate-internal.h"

#include <string.h>

#define N_DBS 3
#define START_US TOU_US_PER_S
#define DEADLINE_US (START_US + 300 * TOU_US_PER_MS)

static struct
{
  TouContext ctx;
  TouActionList actions;
  TouGroupConfig group;
  TouGroupRecord record;
  TouDbState dbs[N_DBS];
  TouIndex *index;
  TouReply reply; /* last reply to the front */
  guint n_replies;
  guint n_polls;
} fixture;

/* Fakes of the modules that the gate calls. */

const TouGroupConfig *
tou_config_group (const TouConfig *config, const TouName *name)
{
  (void)config;
  return tou_name_equal (name, &fixture.group.name) ? &fixture.group : NULL;
}

void
tou_config_defaults (const TouConfig *config, const TouName *group,
                     TouDefaults *out)
{
  (void)config;
  (void)group;
  *out = (TouDefaults){ .max_lag_us = TOU_US_PER_S,
                        .floor_percent = { 0, 15, 5 } };
}

int
tou_group_endpoint_index (const TouGroupConfig *group, const TouName *endpoint)
{
  for (guint i = 0; i < group->n_endpoints; i++)
    if (tou_name_equal (&group->endpoints[i].name, endpoint))
      return (int)i;
  return -1;
}

gboolean
tou_place_is_gate (TouPlace *place, const TouGroupConfig *group)
{
  (void)place;
  (void)group;
  return TRUE;
}

guint64
tou_member_version (const TouMember *member)
{
  (void)member;
  return 1;
}

guint
tou_member_count (const TouMember *member)
{
  (void)member;
  return 0;
}

const TouMemberUpdate *
tou_member_at (const TouMember *member, guint i)
{
  (void)member;
  (void)i;
  return NULL;
}

gboolean
tou_drain_is_active (const TouDrain *drain)
{
  return drain != NULL;
}

const TouGroupRecord *
tou_failover_record (const TouFailover *failover, const TouName *group)
{
  (void)failover;
  (void)group;
  return &fixture.record;
}

gboolean
tou_record_discards (const TouGroupRecord *record, TouLogPos pos)
{
  for (guint i = 0; i < record->n_history; i++)
    if (record->history[i].term > pos.term
        && pos.position > record->history[i].start)
      return TRUE;
  return FALSE;
}

gboolean
tou_record_covers (const TouGroupRecord *record, TouLogPos last, TouLogPos pos)
{
  return last.term >= pos.term && last.position >= pos.position
         && !tou_record_discards (record, pos);
}

const TouDbState *
tou_monitor_db (const TouMonitor *monitor, const TouName *group, guint endpoint)
{
  (void)monitor;
  (void)group;
  return endpoint < N_DBS ? &fixture.dbs[endpoint] : NULL;
}

TouIndex *
tou_monitor_index (TouMonitor *monitor, const TouName *group)
{
  (void)monitor;
  (void)group;
  return fixture.index;
}

void
tou_monitor_poll (TouMonitor *monitor, const TouName *group)
{
  (void)monitor;
  (void)group;
  fixture.n_polls++;
}

void
tou_front_on_reply (TouFront *front, const TouName *gate, TouReply *reply)
{
  (void)front;
  (void)gate;
  tou_reply_clear (&fixture.reply);
  fixture.reply = *reply;
  fixture.n_replies++;
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
  (void)node;
  tou_message_destroy (message);
}

void
tou_context_log (TouContext *ctx, GLogLevelFlags level, int code,
                 const char *format, ...)
{
  (void)ctx;
  (void)level;
  (void)code;
  (void)format;
}

/* Fixture and helpers. */

static void
fixture_report (guint endpoint, guint64 term, guint64 position,
                guint64 fence_term)
{
  TouDbState *state = &fixture.dbs[endpoint];
  TouName primary = fixture.record.primary;
  gboolean is_primary
      = tou_name_equal (&fixture.group.endpoints[endpoint].name, &primary);

  state->connected = TRUE;
  state->reported = TRUE;
  state->requested_us = fixture.ctx.now_us;
  state->received_us = fixture.ctx.now_us;
  state->report.role = is_primary ? TOU_ROLE_PRIMARY : TOU_ROLE_REPLICA;
  state->report.last = (TouLogPos){ term, position };
  state->report.fence_term = fence_term;
  state->report.work_clients = 1;
  tou_index_on_report (fixture.index, endpoint, fixture.ctx.now_us,
                       fixture.ctx.now_us, &state->report);
  tou_gate_on_change (fixture.ctx.gate, &fixture.group.name);
}

static void
fixture_deliver_event (TouEvent *event)
{
  assert_true (tou_gate_on_event (fixture.ctx.gate, event));
  tou_event_clear (event);
}

/* Opens every connection that the gate requests, including those requested
 * meanwhile. */
static void
fixture_open_connections (void)
{
  for (guint i = 0; i < fixture.actions.count; i++)
    if (fixture.actions.items[i].type == TOU_ACTION_DB_OPEN)
      {
        TouEvent event = { .type = TOU_EVENT_DB_OPENED };

        event.u.db_opened.conn = fixture.actions.items[i].u.db_open.conn;
        fixture_deliver_event (&event);
      }
  tou_action_list_reset (&fixture.actions);
}

static int
fixture_setup (void **state)
{
  (void)state;
  memset (&fixture, 0, sizeof fixture);
  tou_random_init (&fixture.ctx.random, 1);
  fixture.ctx.actions = &fixture.actions;
  fixture.ctx.now_us = START_US;
  fixture.ctx.settings.node = tou_name ("n1");
  fixture.ctx.settings.incarnation = 1;
  fixture.ctx.settings.suspect_after_us = 400 * TOU_US_PER_MS;
  fixture.ctx.settings.report_interval_us = 100 * TOU_US_PER_MS;
  fixture.ctx.settings.session_wait_us = 50 * TOU_US_PER_MS;
  fixture.ctx.settings.txn_idle_us = 10 * TOU_US_PER_S;
  fixture.ctx.settings.gate_candidates = 8;
  fixture.ctx.settings.queue_limit = 16;
  fixture.ctx.settings.txn_limit = 8;
  fixture.group.name = tou_name ("g");
  fixture.group.n_endpoints = N_DBS;
  fixture.group.slots = 2;
  fixture.group.connection_limit = 20;
  for (guint i = 0; i < N_DBS; i++)
    {
      char text[4];

      g_snprintf (text, sizeof text, "e%u", i);
      fixture.group.endpoints[i].name = tou_name (text);
      fixture.group.endpoints[i].address = tou_name (text);
    }
  fixture.record
      = (TouGroupRecord){ .state = TOU_RECORD_ACTIVE,
                          .term = 1,
                          .primary = fixture.group.endpoints[0].name };
  assert_int_equal (tou_index_create (&fixture.index, N_DBS), TOU_OK);
  assert_int_equal (tou_gate_create (&fixture.ctx.gate, &fixture.ctx), TOU_OK);
  for (guint i = 0; i < N_DBS; i++)
    fixture_report (i, 1, 100, 1);
  fixture_open_connections ();
  return 0;
}

static int
fixture_teardown (void **state)
{
  (void)state;
  tou_gate_destroy (fixture.ctx.gate);
  tou_index_destroy (fixture.index);
  tou_reply_clear (&fixture.reply);
  tou_action_list_clear (&fixture.actions);
  return 0;
}

static void
fixture_request (TouRequest *request)
{
  request->id.node = fixture.ctx.settings.node;
  request->id.sequence = ++fixture.ctx.next_id;
  request->group = fixture.group.name;
  request->rank = TOU_RANK_URGENT;
  request->deadline_us = DEADLINE_US;
  tou_str_init_c (&request->statement.sql, "x");
  tou_gate_execute (fixture.ctx.gate, &fixture.ctx.settings.node, request);
}

/* Returns the last action of that type, or NULL. */
static const TouAction *
fixture_find_action (TouActionType type)
{
  for (guint i = fixture.actions.count; i > 0; i--)
    if (fixture.actions.items[i - 1].type == type)
      return &fixture.actions.items[i - 1];
  return NULL;
}

/* Starts a request and returns a result event for its statement. */
static TouEvent
fixture_start_statement (TouRequestKind kind, TouReadMode mode,
                         const TouRequestId *txn)
{
  TouRequest request = { .kind = kind, .mode = mode };
  TouEvent event = { .type = TOU_EVENT_DB_RESULT };
  const TouAction *action;

  if (txn != NULL)
    request.txn = *txn;
  fixture_request (&request);
  action = fixture_find_action (TOU_ACTION_DB_EXECUTE);
  assert_non_null (action);
  event.u.db_result.conn = action->u.db_execute.conn;
  event.u.db_result.sequence = action->u.db_execute.sequence;
  tou_action_list_reset (&fixture.actions);
  return event;
}

static void
fixture_deliver_result (TouEvent event, guint64 term, guint64 position)
{
  event.u.db_result.pos = (TouLogPos){ term, position };
  fixture_deliver_event (&event);
}

static void
fixture_tick_at (guint64 now_us)
{
  fixture.ctx.now_us = now_us;
  tou_gate_on_tick (fixture.ctx.gate);
}

static void
assert_reply (guint count, TouOutcome outcome, int code)
{
  assert_int_equal (fixture.n_replies, count);
  assert_int_equal (fixture.reply.outcome, outcome);
  assert_int_equal (fixture.reply.code, code);
}

static TouRequestId
fixture_begin (void)
{
  TouEvent event
      = fixture_start_statement (TOU_REQUEST_BEGIN, TOU_READ_NONE, NULL);

  fixture_deliver_result (event, 1, 100);
  assert_reply (1, TOU_OUTCOME_DONE, TOU_OK);
  return fixture.reply.txn;
}

/* A write that is acknowledged before a majority has it can be lost by a
 * promotion. */
static void
test_acknowledgement_needs_majority (void **state)
{
  (void)state;
  fixture_deliver_result (
      fixture_start_statement (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL), 1,
      110);
  assert_int_equal (fixture.n_replies, 0);
  assert_true (fixture.n_polls > 0);
  fixture_report (1, 1, 110, 2);
  assert_int_equal (fixture.n_replies, 0);
  fixture_report (2, 1, 110, 1);
  assert_reply (1, TOU_OUTCOME_DONE, TOU_OK);
  assert_int_equal (fixture.reply.pos.position, 110);
}

/* A write that is not confirmed by a majority may or may not survive, so its
 * outcome must be reported as unknown. */
static void
test_unconfirmed_write_is_unknown (void **state)
{
  (void)state;
  fixture_deliver_result (
      fixture_start_statement (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL), 1,
      110);
  fixture_tick_at (DEADLINE_US - 1);
  assert_int_equal (fixture.n_replies, 0);
  fixture_tick_at (DEADLINE_US);
  assert_reply (1, TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
  assert_true (tou_gate_is_idle (fixture.ctx.gate));
}

/* A result from the old primary after a claim is not an acknowledgement, even
 * if replicas report the position later. */
static void
test_later_term_makes_write_unknown (void **state)
{
  (void)state;
  fixture_deliver_result (
      fixture_start_statement (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL), 1,
      110);
  fixture.record.state = TOU_RECORD_CLAIMED;
  fixture.record.term = 2;
  fixture_report (1, 1, 110, 1);
  assert_reply (1, TOU_OUTCOME_UNKNOWN, TOU_E_TERM_CHANGED);
}

/* A read whose token refers to a discarded position must be refused: serving it
 * breaks read-your-writes without an error. */
static void
test_discarded_token_is_refused (void **state)
{
  TouRequest request
      = { .kind = TOU_REQUEST_STATEMENT, .mode = TOU_READ_SESSION };

  (void)state;
  fixture.record.term = 2;
  fixture.record.n_history = 1;
  fixture.record.history[0] = (TouTermStart){ .term = 2, .start = 120 };
  tou_session_raise (&request.session, &fixture.group.name,
                     (TouLogPos){ 1, 121 });
  fixture_request (&request);
  assert_reply (1, TOU_OUTCOME_NOT_RUN, TOU_E_TOKEN_DISCARDED);
}

/* A session read must wait for a database that has the position of the
 * token. */
static void
test_session_read_waits_for_token (void **state)
{
  TouRequest request
      = { .kind = TOU_REQUEST_STATEMENT, .mode = TOU_READ_SESSION };
  const TouAction *action;

  (void)state;
  tou_session_raise (&request.session, &fixture.group.name,
                     (TouLogPos){ 1, 110 });
  fixture_request (&request);
  assert_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
  fixture_report (2, 1, 110, 1);
  action = fixture_find_action (TOU_ACTION_DB_EXECUTE);
  assert_non_null (action);
  assert_int_equal (fixture.n_replies, 0);
}

/* Reports requested before the arrival of a fresh read may miss writes that
 * were acknowledged before it. */
static void
test_fresh_read_waits_for_majority_reports (void **state)
{
  TouRequest request
      = { .kind = TOU_REQUEST_STATEMENT, .mode = TOU_READ_FRESH };

  (void)state;
  fixture.ctx.now_us++;
  fixture_request (&request);
  assert_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
  fixture_report (1, 1, 100, 1);
  assert_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
  fixture_report (2, 1, 100, 1);
  assert_non_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
}

/* A late result must not be delivered to the client of another request. */
static void
test_late_result_is_discarded (void **state)
{
  TouEvent event;

  (void)state;
  event
      = fixture_start_statement (TOU_REQUEST_STATEMENT, TOU_READ_SESSION, NULL);
  event.u.db_result.sequence--;
  fixture_deliver_result (event, 1, 100);
  assert_int_equal (fixture.n_replies, 0);
  event.u.db_result.conn = G_MAXUINT64;
  fixture_deliver_result (event, 1, 100);
  assert_int_equal (fixture.n_replies, 0);
  assert_int_equal (fixture.ctx.counters.values[TOU_COUNTER_LATE_REPLIES], 2);
}

/* The connection of an abandoned statement must be closed, or the next request
 * on it gets the result of that statement. */
static void
test_abandoned_connection_is_closed (void **state)
{
  TouEvent event;

  (void)state;
  event = fixture_start_statement (TOU_REQUEST_STATEMENT, TOU_READ_NONE, NULL);
  fixture_tick_at (DEADLINE_US);
  assert_reply (1, TOU_OUTCOME_UNKNOWN, TOU_E_UNCONFIRMED);
  assert_int_equal (fixture_find_action (TOU_ACTION_DB_CLOSE)->u.db_close.conn,
                    event.u.db_result.conn);
  fixture_deliver_result (event, 1, 110);
  assert_int_equal (fixture.n_replies, 1);
}

/* A lost transaction is reported as not run unless COMMIT was sent. */
static void
test_lost_transaction_outcomes (void **state)
{
  TouRequestId txn = fixture_begin ();
  TouEvent event = fixture_start_statement (TOU_REQUEST_TXN_STATEMENT,
                                            TOU_READ_NONE, &txn);

  (void)state;
  event.u.db_result.outcome = TOU_DB_LOST;
  fixture_deliver_result (event, 0, 0);
  assert_reply (2, TOU_OUTCOME_NOT_RUN, TOU_E_TXN_LOST);
  fixture.n_replies = 0;
  fixture_open_connections ();
  txn = fixture_begin ();
  event = fixture_start_statement (TOU_REQUEST_COMMIT, TOU_READ_NONE, &txn);
  event.u.db_result.outcome = TOU_DB_LOST;
  fixture_deliver_result (event, 0, 0);
  assert_reply (2, TOU_OUTCOME_UNKNOWN, TOU_E_CONNECTION_LOST);
  assert_true (tou_gate_is_idle (fixture.ctx.gate));
}

/* A second statement on the connection of a transaction could get the result of
 * the first. */
static void
test_concurrent_statement_in_transaction_is_refused (void **state)
{
  TouRequestId txn = fixture_begin ();
  TouRequest request = { .kind = TOU_REQUEST_COMMIT, .txn = txn };
  TouEvent event = fixture_start_statement (TOU_REQUEST_TXN_STATEMENT,
                                            TOU_READ_NONE, &txn);

  (void)state;
  fixture_request (&request);
  assert_reply (2, TOU_OUTCOME_NOT_RUN, TOU_E_TXN_BUSY);
  fixture_deliver_result (event, 1, 100);
  assert_reply (3, TOU_OUTCOME_DONE, TOU_OK);
  fixture_tick_at (START_US + 11 * TOU_US_PER_S);
  assert_non_null (fixture_find_action (TOU_ACTION_DB_CLOSE));
  assert_true (tou_gate_is_idle (fixture.ctx.gate));
}

/* A draining gate must continue to serve its open transactions, because
 * refusing them interrupts work in flight. */
static void
test_drain_keeps_transactions (void **state)
{
  TouRequestId txn = fixture_begin ();
  TouRequest request = { .kind = TOU_REQUEST_BEGIN };

  (void)state;
  fixture.ctx.drain = (TouDrain *)&fixture;
  fixture_request (&request);
  assert_reply (2, TOU_OUTCOME_NOT_RUN, TOU_E_DRAINING);
  fixture_deliver_result (
      fixture_start_statement (TOU_REQUEST_COMMIT, TOU_READ_NONE, &txn), 1,
      100);
  assert_reply (3, TOU_OUTCOME_DONE, TOU_OK);
}

/* A fenced primary reports the replica role, but the promotion may discard its
 * last log records, so it must not serve reads. */
static void
test_fenced_primary_serves_no_reads (void **state)
{
  TouRequest request
      = { .kind = TOU_REQUEST_STATEMENT, .mode = TOU_READ_SESSION };

  (void)state;
  fixture.record.state = TOU_RECORD_CLAIMED;
  fixture.record.term = 2;
  fixture_report (0, 1, 110, 2);
  fixture.dbs[0].report.role = TOU_ROLE_REPLICA;
  tou_gate_on_change (fixture.ctx.gate, &fixture.group.name);
  /* Only the fenced primary covers this token. */
  tou_session_raise (&request.session, &fixture.group.name,
                     (TouLogPos){ 1, 105 });
  fixture_request (&request);
  fixture_tick_at (START_US + 200 * TOU_US_PER_MS);
  assert_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
  fixture.record.state = TOU_RECORD_ACTIVE;
  fixture.record.primary = fixture.group.endpoints[1].name;
  fixture.record.n_history = 1;
  fixture.record.history[0] = (TouTermStart){ .term = 2, .start = 105 };
  tou_gate_on_change (fixture.ctx.gate, &fixture.group.name);
  assert_null (fixture_find_action (TOU_ACTION_DB_EXECUTE));
}

/* Queueing writes for a primary that only this gate cannot reach fails requests
 * that another gate could serve. */
static void
test_write_is_refused_without_primary_connection (void **state)
{
  TouRequest request = { .kind = TOU_REQUEST_STATEMENT };

  (void)state;
  fixture.dbs[0].connected = FALSE;
  tou_gate_on_change (fixture.ctx.gate, &fixture.group.name);
  fixture_request (&request);
  assert_int_equal (fixture.n_replies, 0);
  fixture_tick_at (DEADLINE_US);
  assert_reply (1, TOU_OUTCOME_NOT_RUN, TOU_E_GATE_NO_PRIMARY);
}

int
main (void)
{
#define GATE_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, fixture_setup, fixture_teardown)
  const struct CMUnitTest tests[] = {
    GATE_TEST (test_acknowledgement_needs_majority),
    GATE_TEST (test_unconfirmed_write_is_unknown),
    GATE_TEST (test_later_term_makes_write_unknown),
    GATE_TEST (test_discarded_token_is_refused),
    GATE_TEST (test_session_read_waits_for_token),
    GATE_TEST (test_fresh_read_waits_for_majority_reports),
    GATE_TEST (test_late_result_is_discarded),
    GATE_TEST (test_abandoned_connection_is_closed),
    GATE_TEST (test_lost_transaction_outcomes),
    GATE_TEST (test_concurrent_statement_in_transaction_is_refused),
    GATE_TEST (test_drain_keeps_transactions),
    GATE_TEST (test_fenced_primary_serves_no_reads),
    GATE_TEST (test_write_is_refused_without_primary_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
