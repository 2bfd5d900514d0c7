/* SIGTERM of a node while sessions run one statement after the other on it. */
#include "standin.h"

#include <signal.h>

#define N_SESSIONS 40
/* When requesters begin, when SIGTERM comes, and the judged time: until 1 s
   after graceS. */
#define BEGIN_MS 3000
#define TERM_MS 6000
#define GRACE_MS 6000
#define END_MS (TERM_MS + GRACE_MS + 1000)
/* A request counts if it was sent later than this after the SIGTERM. */
#define LATE_MS 3000
#define TIMEOUT_MS 2000

typedef struct
{
  Bench *bench;
  Node *node;  /* gets SIGTERM */
  Node *other; /* where closed sessions go on */
  guint n_sent;
  guint n_answered;
  guint n_cut;
  guint n_broken;
} Case;

typedef struct
{
  Case *test;
  Client *client;
  guint number;
  gboolean on_other;
  const char *id; /* of the request in progress, or NULL */
  guint64 sent_ms;
  guint n;
} Session;

static void session_on_event (gpointer data, Client *client, ClientEvent event);

static void
session_send (Session *session)
{
  Case *test = session->test;

  session->sent_ms = bench_ms (test->bench);
  session->n++;
  test->n_sent++;
  if (session->number % 4 == 0)
    session->id = client_query (session->client, "WRITE w%u d%u",
                                session->number, session->n);
  else
    session->id
        = client_query (session->client, "READ w%u", session->number / 4 * 4);
}

static void
session_open (Session *session)
{
  Case *test = session->test;

  session->client = client_new (
      test->bench, session->on_other ? test->other : test->node,
      session->number % 4 == 0 ? "sign" : "review", session_on_event, session);
}

/* The connection has ended with a request in progress. */
static void
session_judge (Session *session)
{
  Case *test = session->test;
  Bench *bench = test->bench;
  guint64 ran_ms = bench_ran_ms (bench, session->id);
  guint64 now_ms = bench_ms (bench);

  test->n_cut++;
  bench_note (bench,
              "session %u on %s: connection ended without an answer to %s, "
              "sent %u ms after the SIGTERM, %u ms ago, %s",
              session->number,
              node_name (session->on_other ? test->other : test->node),
              session->id, (guint)(session->sent_ms - TERM_MS),
              (guint)(now_ms - session->sent_ms),
              ran_ms != 0 ? "run by a database" : "not run");
  if (ran_ms != 0 && bench_trouble (bench)
      && session->sent_ms > TERM_MS + LATE_MS && now_ms < END_MS
      && now_ms < session->sent_ms + TIMEOUT_MS)
    test->n_broken++;
}

static void
session_on_event (gpointer data, Client *client, ClientEvent event)
{
  Session *session = data;
  Case *test = session->test;

  (void)client;
  switch (event)
    {
    case CLIENT_READY:
      session_send (session);
      break;
    case CLIENT_ANSWER:
      test->n_answered++;
      session->id = NULL;
      if (bench_ms (test->bench) < END_MS)
        session_send (session);
      break;
    case CLIENT_CLOSED:
      if (session->id != NULL)
        session_judge (session);
      session->id = NULL;
      session->on_other = TRUE;
      if (bench_ms (test->bench) < END_MS)
        session_open (session);
      break;
    }
}

static void
begin (gpointer data)
{
  Case *test = data;

  bench_note (test->bench, "requesters: %u sessions on %s", N_SESSIONS,
              node_name (test->node));
  for (guint i = 0; i < N_SESSIONS; i++)
    {
      Session *session = g_new0 (Session, 1);

      session->test = test;
      session->number = i;
      session_open (session);
    }
}

/* The platform does this after graceS. */
static void
kill_node (gpointer data)
{
  Case *test = data;

  if (node_runs (test->node))
    {
      bench_note (test->bench, "node %s: has not ended within graceS",
                  node_name (test->node));
      node_signal (test->node, SIGKILL);
    }
}

static void
stop_node (gpointer data)
{
  Case *test = data;

  bench_note (test->bench, "so far %u requests sent, %u answered", test->n_sent,
              test->n_answered);
  if (!bench_trouble (test->bench))
    return;
  node_signal (test->node, SIGTERM);
  bench_after (test->bench, GRACE_MS, kill_node, test);
}

static void
finish (gpointer data)
{
  Case *test = data;

  bench_note (test->bench,
              "%u requests sent, %u answered, %u connections ended with a "
              "request in progress, %u of them against the rule",
              test->n_sent, test->n_answered, test->n_cut, test->n_broken);
  if (test->n_answered < 500 || (!bench_trouble (test->bench) && test->n_cut))
    bench_end (test->bench, test->n_cut ? CASE_BROKEN : CASE_NOT_RUN,
               "without trouble, too");
  else if (test->n_broken > 0)
    bench_end (test->bench, CASE_BROKEN, "LOST around a SIGTERM");
  else
    bench_end (test->bench, CASE_HELD, "all requests were answered");
}

int
main (int argc, char **argv)
{
  Case test = { 0 };

  if (argc != 3)
    return CASE_NOT_RUN;
  test.bench = bench_new (argv[1], argv[2]);
  bench_service (test.bench, "records", 22, 0);
  bench_route (test.bench, "sign", "primary", 800, 0, -1);
  bench_route (test.bench, "review", "bounded", TIMEOUT_MS, 1, 1500);
  bench_configure (test.bench);
  database_new (test.bench, "i-1a", 3, 30, TRUE);
  database_new (test.bench, "i-2b", 3, 30, FALSE);
  database_new (test.bench, "i-3c", 3, 30, FALSE);
  test.node = node_start (test.bench, "front-a");
  test.other = node_start (test.bench, "front-b");
  bench_after (test.bench, BEGIN_MS, begin, &test);
  bench_after (test.bench, TERM_MS, stop_node, &test);
  bench_after (test.bench, END_MS + 500, finish, &test);
  return bench_run (test.bench, 60000);
}
