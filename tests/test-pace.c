/* Guards against a database that is flooded after a start or recovery, or that
 * is held back although it works: a simulation of nodes and databases counts
 * what is sent with and without the pace. Each test names its load pattern.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "pace.h"
#include "window.h"

#include <string.h>

#define START_US TOU_US_PER_S
#define MAX_NODES 40
#define MAX_DATABASES 3
#define STATEMENTS 20000
/* As in the product: statements that a database queues, the latency recorded
   for a failure, the detection of a silent database, a client's attempts. */
#define QUEUE_LIMIT 32
#define FAILURE_COST_US (500 * TOU_US_PER_MS)
#define SILENT_MS 500
#define MAX_ATTEMPTS 4
#define DECAY_US (200 * TOU_US_PER_MS)
/* Time limit of a statement and target latency in a database. */
#define DEADLINE_MS 2500
#define TARGET_US (60 * TOU_US_PER_MS)

/* A database of a load pattern. */
typedef struct
{
  guint service_ms;
  guint rtt_ms;
  guint factor_percent; /* of the service time; 0: 100 */
  guint factor_until_ms;
  guint failed_percent; /* failed after 1 ms on a slot */
  gboolean hangs;       /* accepts statements and never answers */
  guint flap_ms;        /* available and away alternately for this long */
} DatabaseLoad;

typedef struct
{
  guint n_nodes;
  guint slots;
  guint crowd; /* waiting statements of each node at the start */
  guint rate;  /* further ones of each node per second */
  guint duration_ms;
  guint n_databases; /* the first is the one that has started */
  DatabaseLoad databases[MAX_DATABASES];
} Load;

typedef struct
{
  guint sent;   /* to the first database */
  guint failed; /* answers of the first database */
  guint refused;
  guint lost;
  guint served;    /* by all databases */
  guint gave_up;   /* statements that no database answered */
  guint in_db_max; /* statements in the first database */
  guint window_ms; /* until the first pacing ended; 0: not */
  guint sent_late; /* to the first database in the last quarter */
  guint n_paces;
} Result;

typedef enum
{
  WAITING,
  TO_DATABASE,
  QUEUED,
  RUNNING,
  TO_NODE,
  ENDED
} Phase;

typedef struct
{
  Phase phase;
  guint node;
  guint database;
  guint tried; /* bits */
  guint attempts;
  guint arrived_ms;
  guint sent_ms;
  guint due_ms; /* end of the phase */
  TouPaceOutcome outcome;
} Statement;

/* What a node knows of a database. */
typedef struct
{
  TouPace pace;
  TouWindow window;
  guint64 latency_us;
  guint64 latency_updated_us;
  guint n_busy;
} View;

typedef struct
{
  const Load *load;
  gboolean paced;
  guint ms;
  View views[MAX_NODES][MAX_DATABASES];
  Statement statements[STATEMENTS];
  guint n_statements;
  guint n_oldest; /* all before it have ended */
  guint n_run;    /* by failing databases */
  Result result;
} Sim;

static guint64
sim_now (const Sim *sim)
{
  return START_US + sim->ms * TOU_US_PER_MS;
}

static gboolean
sim_is_sole (const Sim *sim)
{
  return sim->load->n_databases == 1;
}

static gboolean
sim_is_away (const Sim *sim, guint database)
{
  guint flap_ms = sim->load->databases[database].flap_ms;

  return flap_ms != 0 && sim->ms / flap_ms % 2 == 1;
}

static void
sim_add (Sim *sim, guint node)
{
  Statement *statement = &sim->statements[sim->n_statements++];

  assert_true (sim->n_statements < STATEMENTS);
  statement->node = node;
  statement->arrived_ms = sim->ms;
}

static guint
sim_count (const Sim *sim, guint database, Phase phase)
{
  guint count = 0;

  for (guint i = sim->n_oldest; i < sim->n_statements; i++)
    count += sim->statements[i].database == database
             && sim->statements[i].phase == phase;
  return count;
}

static void
sim_answer (Sim *sim, Statement *statement, TouPaceOutcome outcome)
{
  statement->phase = TO_NODE;
  statement->outcome = outcome;
  statement->due_ms
      = sim->ms + (sim->load->databases[statement->database].rtt_ms + 1) / 2;
}

/* Runs the statements of a database for 1 ms. */
static void
sim_run_database (Sim *sim, guint database)
{
  const DatabaseLoad *load = &sim->load->databases[database];
  guint n_running = sim_count (sim, database, RUNNING);
  guint n_queued = sim_count (sim, database, QUEUED);
  guint service_ms = load->service_ms;

  if (load->factor_percent != 0 && sim->ms < load->factor_until_ms)
    service_ms = service_ms * load->factor_percent / 100;
  for (guint i = sim->n_oldest; i < sim->n_statements; i++)
    {
      Statement *statement = &sim->statements[i];
      guint age_ms = sim->ms - statement->sent_ms;

      if (statement->database != database || statement->phase == WAITING
          || statement->phase >= TO_NODE)
        continue;
      if (sim_is_away (sim, database) ? age_ms >= SILENT_MS
                                      : age_ms >= DEADLINE_MS)
        sim_answer (sim, statement, TOU_PACE_LOST);
      if (sim_is_away (sim, database) || sim->ms < statement->due_ms)
        continue;
      if (statement->phase == RUNNING)
        {
          n_running--;
          sim_answer (sim, statement, statement->outcome);
        }
      else if (statement->phase == TO_DATABASE && n_queued >= QUEUE_LIMIT)
        sim_answer (sim, statement, TOU_PACE_REFUSED);
      else if (statement->phase == TO_DATABASE)
        {
          statement->phase = QUEUED;
          n_queued++;
        }
      if (statement->phase == QUEUED && !load->hangs
          && n_running < sim->load->slots)
        {
          n_queued--;
          n_running++;
          statement->phase = RUNNING;
          statement->outcome = sim->n_run++ * 37 % 100 < load->failed_percent
                                   ? TOU_PACE_FAILED
                                   : TOU_PACE_DONE;
          statement->due_ms
              = sim->ms
                + (statement->outcome == TOU_PACE_FAILED ? 1 : service_ms);
        }
    }
}

static void
sim_add_latency (View *view, guint64 latency_us, guint64 now_us)
{
  view->latency_us = view->latency_us == 0
                         ? latency_us
                         : tou_window_average (view->latency_us, latency_us);
  view->latency_updated_us = now_us;
}

static void
sim_begin (Sim *sim, View *view, TouPaceReason reason)
{
  if (!sim->paced)
    return;
  tou_pace_begin (&view->pace, reason, 0, sim_now (sim));
  sim->result.n_paces++;
}

/* Feeds the estimates of the node with the end of a statement. */
static void
sim_measure (Sim *sim, View *view, const Statement *statement)
{
  guint64 elapsed_us = (sim->ms - statement->sent_ms) * TOU_US_PER_MS;
  TouPaceAnswer answer = { 0 };
  guint64 now_us = sim_now (sim);

  answer.outcome = statement->outcome;
  answer.sent_us = START_US + statement->sent_ms * TOU_US_PER_MS;
  answer.service_us = elapsed_us - MIN (view->window.rtt_us, elapsed_us);
  answer.sole = sim_is_sole (sim);
  if (statement->outcome == TOU_PACE_REFUSED)
    tou_window_refused (&view->window, now_us);
  if (statement->outcome != TOU_PACE_LOST)
    {
      sim_add_latency (view, MIN (elapsed_us, TOU_SERVICE_MAX_US), now_us);
      tou_window_answered (&view->window, MIN (elapsed_us, TOU_SERVICE_MAX_US),
                           TARGET_US, sim->load->slots, now_us);
    }
  if (statement->outcome == TOU_PACE_FAILED
      || statement->outcome == TOU_PACE_LOST)
    sim_add_latency (view, FAILURE_COST_US, now_us);
  if (!sim->paced)
    return;
  tou_pace_on_answer (&view->pace, &answer, now_us);
  if (statement->outcome != TOU_PACE_DONE && !answer.sole
      && tou_pace_is_failing (&view->pace))
    sim_begin (sim, view, TOU_PACE_FAILING);
  else if (tou_pace_is_done (&view->pace, view->window.size, now_us))
    {
      tou_pace_end (&view->pace);
      if (sim->result.window_ms == 0 && statement->database == 0)
        sim->result.window_ms = sim->ms;
    }
}

static void
sim_receive (Sim *sim, Statement *statement)
{
  View *view = &sim->views[statement->node][statement->database];
  Result *result = &sim->result;

  view->n_busy--;
  sim_measure (sim, view, statement);
  if (statement->database == 0)
    {
      result->failed += statement->outcome == TOU_PACE_FAILED;
      result->refused += statement->outcome == TOU_PACE_REFUSED;
      result->lost += statement->outcome == TOU_PACE_LOST;
    }
  statement->phase = ENDED;
  if (statement->outcome == TOU_PACE_DONE)
    result->served++;
  else if (statement->attempts >= MAX_ATTEMPTS
           || sim->ms >= statement->arrived_ms + DEADLINE_MS)
    result->gave_up++;
  else
    {
      statement->phase = WAITING;
      if (!sim_is_sole (sim))
        statement->tried |= 1U << statement->database;
    }
}

static gboolean
sim_has_room (Sim *sim, View *view)
{
  return tou_window_has_room (&view->window, view->n_busy, FALSE, sim_now (sim))
         && (!sim->paced
             || tou_pace_allows (&view->pace, view->n_busy, FALSE,
                                 sim_is_sole (sim), sim_now (sim)));
}

/* Sends the statement to the database of the lowest cost, as the node does. */
static void
sim_dispatch (Sim *sim, Statement *statement)
{
  View *views = sim->views[statement->node];
  guint64 best_cost_us = G_MAXUINT64;
  guint best = MAX_DATABASES;

  for (guint i = 0; i < sim->load->n_databases; i++)
    {
      guint64 latency_us = MAX (views[i].latency_us, TOU_US_PER_MS);
      guint64 cost_us
          = latency_us + latency_us * views[i].n_busy / sim->load->slots;

      if ((statement->tried & 1U << i) != 0 || sim_is_away (sim, i)
          || cost_us >= best_cost_us || !sim_has_room (sim, &views[i]))
        continue;
      best_cost_us = cost_us;
      best = i;
    }
  if (best == MAX_DATABASES)
    return;
  views[best].n_busy++;
  statement->attempts++;
  statement->phase = TO_DATABASE;
  statement->database = best;
  statement->sent_ms = sim->ms;
  statement->due_ms = sim->ms + sim->load->databases[best].rtt_ms / 2;
  if (best != 0)
    return;
  sim->result.sent++;
  sim->result.sent_late += sim->ms >= sim->load->duration_ms / 4 * 3;
}

/* Flapping databases begin a pacing when they return; latencies decay. */
static void
sim_update_views (Sim *sim)
{
  for (guint node = 0; node < sim->load->n_nodes; node++)
    for (guint i = 0; i < sim->load->n_databases; i++)
      {
        View *view = &sim->views[node][i];
        guint flap_ms = sim->load->databases[i].flap_ms;

        if (flap_ms != 0 && sim->ms != 0 && sim->ms % (2 * flap_ms) == 0)
          sim_begin (sim, view, TOU_PACE_ANSWERS);
        if (sim_now (sim) < view->latency_updated_us + DECAY_US)
          continue;
        view->latency_us = tou_window_average (view->latency_us, 0);
        view->latency_updated_us = sim_now (sim);
      }
}

static void
sim_step (Sim *sim)
{
  const Load *load = sim->load;
  guint before = sim->ms == 0 ? 0 : (sim->ms - 1) * load->rate / 1000;
  guint n_new
      = sim->ms == 0 ? load->crowd : sim->ms * load->rate / 1000 - before;

  sim_update_views (sim);
  for (guint node = 0; node < load->n_nodes; node++)
    for (guint i = 0; i < n_new; i++)
      sim_add (sim, node);
  for (guint i = 0; i < load->n_databases; i++)
    sim_run_database (sim, i);
  sim->result.in_db_max
      = MAX (sim->result.in_db_max,
             sim_count (sim, 0, RUNNING) + sim_count (sim, 0, QUEUED));
  for (guint i = sim->n_oldest; i < sim->n_statements; i++)
    if (sim->statements[i].phase == TO_NODE
        && sim->ms >= sim->statements[i].due_ms)
      sim_receive (sim, &sim->statements[i]);
  for (guint i = sim->n_oldest; i < sim->n_statements; i++)
    if (sim->statements[i].phase == WAITING)
      {
        if (sim->ms < sim->statements[i].arrived_ms + DEADLINE_MS)
          sim_dispatch (sim, &sim->statements[i]);
        else
          sim->statements[i].phase = ENDED;
      }
  while (sim->n_oldest < sim->n_statements
         && sim->statements[sim->n_oldest].phase == ENDED)
    sim->n_oldest++;
}

static Result
run (const Load *load, gboolean paced)
{
  Sim *sim = g_new0 (Sim, 1);
  Result result;

  sim->load = load;
  sim->paced = paced;
  for (guint node = 0; node < load->n_nodes; node++)
    for (guint i = 0; i < load->n_databases; i++)
      {
        View *view = &sim->views[node][i];

        tou_window_init (&view->window, load->slots);
        tou_window_round_trip (&view->window,
                               load->databases[i].rtt_ms * TOU_US_PER_MS);
        view->pace.normal_us = load->databases[i].service_ms * TOU_US_PER_MS;
        if (i == 0)
          sim_begin (sim, view, TOU_PACE_RESTARTED);
      }
  for (sim->ms = 0; sim->ms < load->duration_ms; sim->ms++)
    sim_step (sim);
  result = sim->result;
  print_message ("  %-7s sent %u (late %u), failed %u, refused %u, lost %u, "
                 "in database at most %u; served %u, not answered %u; paced "
                 "%u times, first until %u ms\n",
                 paced ? "paced" : "unpaced", result.sent, result.sent_late,
                 result.failed, result.refused, result.lost, result.in_db_max,
                 result.served, result.gave_up, result.n_paces,
                 result.window_ms);
  g_free (sim);
  return result;
}

/* A restarted primary, and 40 nodes with 10 waiting statements each. Without
   the pace the nodes overfill its queue. */
static void
test_crowd_at_a_restarted_primary (void **state)
{
  const Load load = { .n_nodes = 40,
                      .slots = 4,
                      .crowd = 10,
                      .rate = 6,
                      .duration_ms = 1000,
                      .n_databases = 1,
                      .databases = { { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (without.refused >= 100);
  assert_true (with.refused <= without.refused / 4);
  assert_true (with.served >= without.served);
}

/* A database with cold caches takes 1.6 times as long for 3 s. Holding it back
   would waste what it can do. */
static void
test_cold_database (void **state)
{
  const Load load = { .n_nodes = 4,
                      .slots = 4,
                      .crowd = 50,
                      .rate = 40,
                      .duration_ms = 1000,
                      .n_databases = 1,
                      .databases = { { .service_ms = 10,
                                       .rtt_ms = 2,
                                       .factor_percent = 160,
                                       .factor_until_ms = 3000 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.served * 100 >= without.served * 90);
  assert_true (with.window_ms > 0 && with.window_ms <= 500);
}

/* A replica comes and goes every 600 ms. Each time that it goes, the statements
   that it had are lost. */
static void
test_flapping_database (void **state)
{
  const Load load
      = { .n_nodes = 2,
          .slots = 4,
          .crowd = 10,
          .rate = 200,
          .duration_ms = 16000,
          .n_databases = 2,
          .databases = { { .service_ms = 10, .rtt_ms = 2, .flap_ms = 600 },
                         { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.lost <= without.lost);
  assert_true (with.served * 100 >= without.served * 98);
  assert_true (with.sent_late > 0);
}

/* A replica fails 40% of its statements at once. It must get less work, but be
   tried again. */
static void
test_grey_replica (void **state)
{
  const Load load
      = { .n_nodes = 2,
          .slots = 4,
          .crowd = 20,
          .rate = 330,
          .duration_ms = 4000,
          .n_databases = 3,
          .databases
          = { { .service_ms = 10, .rtt_ms = 2, .failed_percent = 40 },
              { .service_ms = 10, .rtt_ms = 2 },
              { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.failed <= without.failed / 2);
  assert_true (with.served * 100 >= without.served * 98);
  assert_true (with.sent_late > 0);
}

/* The same where the others can't serve all: what the replica answers counts.
   It must still do half of what it does without the pace. */
static void
test_grey_replica_under_overload (void **state)
{
  const Load load
      = { .n_nodes = 2,
          .slots = 4,
          .crowd = 20,
          .rate = 480,
          .duration_ms = 4000,
          .n_databases = 3,
          .databases
          = { { .service_ms = 10, .rtt_ms = 2, .failed_percent = 40 },
              { .service_ms = 10, .rtt_ms = 2 },
              { .service_ms = 10, .rtt_ms = 2 } } };
  Load others = load;
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);
  Result alone;

  (void)state;
  others.n_databases = 2;
  others.databases[0] = load.databases[1];
  alone = run (&others, FALSE);
  assert_true (with.failed < without.failed);
  assert_true (with.served >= (without.served + alone.served) / 2);
}

/* The same at a primary: its statements can go nowhere else, so that sending
   fewer of them helps no one. */
static void
test_grey_primary (void **state)
{
  const Load load
      = { .n_nodes = 4,
          .slots = 4,
          .crowd = 20,
          .rate = 40,
          .duration_ms = 1000,
          .n_databases = 1,
          .databases
          = { { .service_ms = 10, .rtt_ms = 2, .failed_percent = 40 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.served * 100 >= without.served * 90);
}

/* A replica whose registration is healthy fails all statements at once. It
   would take most of what waits. */
static void
test_replica_that_fails_all (void **state)
{
  const Load load
      = { .n_nodes = 2,
          .slots = 4,
          .crowd = 40,
          .rate = 330,
          .duration_ms = 12000,
          .n_databases = 3,
          .databases
          = { { .service_ms = 10, .rtt_ms = 2, .failed_percent = 100 },
              { .service_ms = 10, .rtt_ms = 2 },
              { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.sent <= without.sent / 4);
  assert_true (with.served * 100 >= without.served * 98);
  assert_true (with.sent_late > 0);
}

/* A replica accepts statements and never answers. Each of them costs a client
   its time limit. */
static void
test_replica_that_hangs (void **state)
{
  const Load load
      = { .n_nodes = 2,
          .slots = 4,
          .crowd = 20,
          .rate = 200,
          .duration_ms = 4000,
          .n_databases = 2,
          .databases = { { .service_ms = 10, .rtt_ms = 2, .hangs = TRUE },
                         { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.sent <= without.sent / 2);
  assert_true (with.sent > 0);
}

/* A primary that takes five times as long. Its statements can go nowhere else,
   so it must soon run as many as its slots permit. */
static void
test_slow_primary (void **state)
{
  const Load load = { .n_nodes = 4,
                      .slots = 4,
                      .crowd = 50,
                      .rate = 10,
                      .duration_ms = 2000,
                      .n_databases = 1,
                      .databases = { { .service_ms = 10,
                                       .rtt_ms = 2,
                                       .factor_percent = 500,
                                       .factor_until_ms = 9000 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.served * 100 >= without.served * 90);
  assert_true (with.in_db_max < without.in_db_max);
}

/* A replica that takes five times as long. Until its answers show that, it must
   get few statements: each takes a client five times as long. */
static void
test_slow_replica (void **state)
{
  const Load load = { .n_nodes = 2,
                      .slots = 4,
                      .crowd = 20,
                      .rate = 200,
                      .duration_ms = 1000,
                      .n_databases = 2,
                      .databases = { { .service_ms = 10,
                                       .rtt_ms = 2,
                                       .factor_percent = 500,
                                       .factor_until_ms = 9000 },
                                     { .service_ms = 10, .rtt_ms = 2 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.in_db_max <= without.in_db_max / 2);
  assert_true (with.served * 100 >= without.served * 95);
}

/* A fast database, alone with all the load. It must not be held back. */
static void
test_fast_database (void **state)
{
  const Load load = { .n_nodes = 1,
                      .slots = 4,
                      .crowd = 2000,
                      .duration_ms = 1000,
                      .n_databases = 1,
                      .databases = { { .service_ms = 3, .rtt_ms = 1 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.served * 100 >= without.served * 97);
  assert_true (with.window_ms > 0 && with.window_ms <= 50);
}

/* A database in another region, 24 ms away. */
static void
test_long_round_trip (void **state)
{
  const Load load = { .n_nodes = 1,
                      .slots = 4,
                      .crowd = 500,
                      .duration_ms = 1000,
                      .n_databases = 1,
                      .databases = { { .service_ms = 10, .rtt_ms = 24 } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);

  (void)state;
  assert_true (with.served * 100 >= without.served * 88);
  assert_true (with.window_ms > 0 && with.window_ms <= 200);
}

/* Silence during a pacing: the pace must not block for good. */
static void
test_silence (void **state)
{
  const Load load
      = { .n_nodes = 1,
          .slots = 4,
          .crowd = 100,
          .rate = 10,
          .duration_ms = 2500,
          .n_databases = 1,
          .databases = { { .service_ms = 10, .rtt_ms = 2, .hangs = TRUE } } };
  Result without = run (&load, FALSE);
  Result with = run (&load, TRUE);
  TouPace pace = { 0 };

  (void)state;
  assert_true (with.sent >= 3 && with.sent <= 6);
  assert_true (without.sent >= 4);
  tou_pace_begin (&pace, TOU_PACE_ANSWERS, 0, START_US);
  assert_true (tou_pace_allows (&pace, 0, FALSE, TRUE, START_US));
  assert_false (tou_pace_allows (&pace, 1, FALSE, TRUE, START_US));
  assert_true (tou_pace_allows (&pace, 1, TRUE, TRUE, START_US));
  assert_true (
      tou_pace_allows (&pace, 1, FALSE, FALSE, START_US + 2 * TOU_US_PER_S));
}

/* A database that starts again and again: each start is more careful, and after
   a minute nothing of that is left. */
static void
test_repeated_starts (void **state)
{
  const guint pause_s = 60;
  TouPaceAnswer answer = { .outcome = TOU_PACE_DONE, .sole = TRUE };
  TouPace pace = { 0 };
  guint64 now_us = START_US;
  guint answers[4];

  (void)state;
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      if (i == 3)
        now_us += pause_s * TOU_US_PER_S;
      /* Two signs of the same start. */
      tou_pace_begin (&pace, TOU_PACE_RESTARTED, 0, now_us);
      tou_pace_begin (&pace, TOU_PACE_ANSWERS, 0, now_us);
      for (answers[i] = 0; !tou_pace_is_done (&pace, 6, now_us); answers[i]++)
        {
          assert_true (answers[i] < 1000);
          answer.sent_us = now_us;
          answer.service_us = 10 * TOU_US_PER_MS;
          now_us += TOU_US_PER_MS;
          tou_pace_on_answer (&pace, &answer, now_us);
        }
      tou_pace_end (&pace);
    }
  print_message ("  answers until the end: %u, %u, %u; after %u s %u\n",
                 answers[0], answers[1], answers[2], pause_s, answers[3]);
  assert_int_equal (answers[0], 5);
  assert_true (answers[1] > answers[0] && answers[2] > answers[1]);
  assert_int_equal (answers[3], answers[0]);
}

/* Links: one is opened at first, each occupies a slot of the database. */
static void
test_links (void **state)
{
  TouPace pace = { 0 };

  (void)state;
  assert_true (tou_pace_allows_link (&pace, 20, 2));
  tou_pace_begin (&pace, TOU_PACE_REGISTERED, 0, START_US);
  assert_true (tou_pace_allows_link (&pace, 0, 0));
  assert_true (tou_pace_allows_link (&pace, 1, 0));
  assert_false (tou_pace_allows_link (&pace, 1, 1));
  assert_false (tou_pace_allows_link (&pace, 2, 0));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_crowd_at_a_restarted_primary),
    cmocka_unit_test (test_cold_database),
    cmocka_unit_test (test_flapping_database),
    cmocka_unit_test (test_grey_replica),
    cmocka_unit_test (test_grey_replica_under_overload),
    cmocka_unit_test (test_grey_primary),
    cmocka_unit_test (test_replica_that_fails_all),
    cmocka_unit_test (test_replica_that_hangs),
    cmocka_unit_test (test_slow_primary),
    cmocka_unit_test (test_slow_replica),
    cmocka_unit_test (test_fast_database),
    cmocka_unit_test (test_long_round_trip),
    cmocka_unit_test (test_silence),
    cmocka_unit_test (test_repeated_starts),
    cmocka_unit_test (test_links),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
