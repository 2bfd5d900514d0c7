/* CPU time and memory of served and observed groups, connections, requests and
 * transactions. Each figure per item is the difference between two runs. */
#include "fixture.h"
#include "measure.h"

#include <malloc.h>
#include <string.h>

#define N_GROUPS 3267
#define N_MONITORED 20
#define FEW_SLOTS 2
#define MANY_SLOTS 202
#define N_EXECUTES 2000
#define N_PENDING 200
#define N_TXNS 50
#define RUN_US (10 * TOU_US_PER_S)
#define DEADLINE_US (5 * TOU_US_PER_S)

static double
heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static Fixture *
serving_start (guint members, guint groups, guint served, guint slots)
{
  FixtureOptions options = { .n_members = members,
                             .n_groups = groups,
                             .n_served = served,
                             .slots = slots,
                             .ping_interval_us = TOU_US_PER_S };
  Fixture *fixture = fixture_create (&options);

  fixture_load_groups (fixture);
  return fixture;
}

static void
serving_fill_request (const Fixture *fixture, TouRequest *request,
                      TouRequestKind kind, guint64 sequence)
{
  TouMemberUpdate front;

  fixture_member (&front, 1);
  request->id.node = front.name;
  request->id.incarnation = 1;
  request->id.sequence = sequence;
  request->kind = kind;
  request->rank = TOU_RANK_URGENT;
  request->mode = TOU_READ_NONE;
  request->deadline_us = DEADLINE_US;
  request->group = tou_name (g_ptr_array_index (fixture->served, 0));
  tou_str_init_c (&request->statement.sql,
                  "UPDATE bond SET state = 'signed' WHERE id = 4711");
}

static void
serving_send_execute (Fixture *fixture, TouRequestKind kind, guint64 sequence)
{
  TouEvent event = { .type = TOU_EVENT_PEER };

  event.u.peer = fixture_message (TOU_MESSAGE_EXECUTE, 1);
  serving_fill_request (fixture, &event.u.peer->u.execute, kind, sequence);
  fixture_step (fixture, STEP_EXECUTE, &event);
}

/* Writes one after another, each with its result and the reports that confirm
   its commit. */
static void
serving_measure_execute (guint members)
{
  Fixture *fixture = serving_start (members, N_GROUPS, 1, FEW_SLOTS);
  double total_ns = 0;

  fixture_reset (fixture);
  for (guint i = 0; i < N_EXECUTES; i++)
    {
      serving_send_execute (fixture, TOU_REQUEST_STATEMENT, i + 1);
      fixture_deliver_answers (fixture);
    }
  for (guint i = 0; i < STEP_COUNT; i++)
    total_ns += fixture->cpu_ns[i];
  print_figure ("executes_done", members, N_GROUPS, (double)fixture->n_done,
                "of "
                "2000");
  print_figure ("cpu_execute_step", members, N_GROUPS,
                fixture_mean_us (fixture, STEP_EXECUTE), "us");
  print_figure ("cpu_execute_all_steps", members, N_GROUPS,
                total_ns / 1e3 / N_EXECUTES, "us");
  fixture_destroy (fixture);
}

static void
serving_measure_report (guint members)
{
  Fixture *fixture = serving_start (members, 100, N_MONITORED, FEW_SLOTS);

  fixture_reset (fixture);
  fixture_run (fixture, RUN_US);
  print_figure ("cpu_report", members, N_MONITORED,
                fixture_mean_us (fixture, STEP_REPORT), "us");
  print_figure ("reports_per_group", members, N_MONITORED,
                (double)fixture->steps[STEP_REPORT] * TOU_US_PER_S / RUN_US
                    / N_MONITORED,
                "1/s");
  print_figure ("cpu_tick_monitored", members, N_MONITORED,
                fixture_mean_us (fixture, STEP_TICK), "us");
  fixture_destroy (fixture);
}

/* Heap size of a core with @a served groups of @a slots. */
static double
serving_heap_bytes (guint members, guint served, guint slots)
{
  double before = heap_bytes ();
  Fixture *fixture = serving_start (members, 100, served, slots);
  double heap = heap_bytes () - before;

  fixture_destroy (fixture);
  return heap;
}

/* Statements that are not answered by a database stay pending at the gate. */
static void
serving_measure_requests (guint members)
{
  Fixture *fixture = serving_start (members, 100, 1, MANY_SLOTS);
  double before = heap_bytes ();

  for (guint i = 0; i < N_TXNS; i++)
    {
      serving_send_execute (fixture, TOU_REQUEST_BEGIN, i + 1);
      fixture_deliver_answers (fixture);
    }
  print_figure ("txns_begun", members, 1, (double)fixture->n_done, "of 50");
  print_figure ("memory_txn", members, 1, (heap_bytes () - before) / N_TXNS,
                "B");
  fixture->drop_statements = TRUE;
  before = heap_bytes ();
  for (guint i = 0; i < N_PENDING; i++)
    serving_send_execute (fixture, TOU_REQUEST_STATEMENT, N_TXNS + i + 1);
  print_figure ("memory_pending_gate", members, 1,
                (heap_bytes () - before) / N_PENDING, "B");
  fixture_destroy (fixture);
}

/* Sends one statement of a transaction on member 1 to the front; returns the
   CPU time of handling the answer. */
static double
serving_txn_reply_us (Fixture *fixture, guint64 sequence)
{
  TouEvent request = { .type = TOU_EVENT_REQUEST };
  TouEvent answer = { .type = TOU_EVENT_PEER };
  TouReply *reply;
  double start_ns;

  request.u.request.caller = sequence;
  serving_fill_request (fixture, &request.u.request.request,
                        TOU_REQUEST_TXN_STATEMENT, 0);
  request.u.request.request.deadline_us += fixture->now_us;
  request.u.request.request.txn = request.u.request.request.id;
  request.u.request.request.txn.sequence = 1;
  request.u.request.request.id = (TouRequestId){ 0 };
  request.u.request.request.group = (TouName){ 0 };
  fixture_step (fixture, STEP_OTHER, &request);
  answer.u.peer = fixture_message (TOU_MESSAGE_EXECUTE_REPLY, 1);
  reply = &answer.u.peer->u.reply;
  reply->id = fixture->last_execute;
  reply->pos = (TouLogPos){ 4, 100 };
  reply->endpoint = tou_name ("group-3266-db2");
  start_ns = fixture->cpu_ns[STEP_RESULT];
  fixture_step (fixture, STEP_RESULT, &answer);
  return (fixture->cpu_ns[STEP_RESULT] - start_ns) / 1e3;
}

static void
serving_measure_front (guint members)
{
  Fixture *fixture = serving_start (members, N_GROUPS, 0, FEW_SLOTS);
  double total_us = 0;
  double before;

  g_ptr_array_add (fixture->served, g_strdup ("group-0001"));
  for (guint i = 0; i < N_EXECUTES; i++)
    total_us += serving_txn_reply_us (fixture, i + 1);
  print_figure ("cpu_front_txn_reply", members, N_GROUPS, total_us / N_EXECUTES,
                "us");
  fixture_reset (fixture);
  before = heap_bytes ();
  for (guint i = 0; i < N_PENDING; i++)
    {
      TouEvent event = { .type = TOU_EVENT_REQUEST };

      event.u.request.caller = N_EXECUTES + 1 + i;
      serving_fill_request (fixture, &event.u.request.request,
                            TOU_REQUEST_STATEMENT, 0);
      event.u.request.request.id = (TouRequestId){ 0 };
      event.u.request.request.deadline_us += fixture->now_us;
      fixture_step (fixture, STEP_OTHER, &event);
    }
  print_figure ("cpu_front_request", members, N_GROUPS,
                fixture_mean_us (fixture, STEP_OTHER), "us");
  print_figure ("memory_pending_front", members, N_GROUPS,
                (heap_bytes () - before) / N_PENDING, "B");
  fixture_destroy (fixture);
}

void
measure_serving (guint members)
{
  double none = serving_heap_bytes (members, 0, FEW_SLOTS);
  double few = serving_heap_bytes (members, N_MONITORED, FEW_SLOTS);
  double many = serving_heap_bytes (members, 1, MANY_SLOTS);
  double one = serving_heap_bytes (members, 1, FEW_SLOTS);

  print_figure ("memory_monitored_group", members, N_MONITORED,
                (few - none) / N_MONITORED, "B");
  print_figure ("memory_connection", members, 1,
                (many - one) / (FIXTURE_DBS * (MANY_SLOTS - FEW_SLOTS)), "B");
  serving_measure_requests (members);
  serving_measure_execute (members);
  serving_measure_report (members);
  serving_measure_front (members);
}
