/* A service with syncReplicas 1. One replica is being replaced: it drains, and
   still counts. The other one receives nothing for a while, and the primary
   crashes meanwhile. Only the draining replica has the commits since. */
#include "standin.h"

#include <string.h>

#define N_READERS 12
#define N_WRITERS 4
#define BEGIN_MS 3000
/* Less than the 7 s of the site file. */
#define DEAF_MS 6500
#define DEAF_FOR_MS 6500
#define DRAIN_MS 6000
/* drainMs, and a second longer. */
#define DRAIN_FOR_MS 8000
#define CRASH_MS 8000
/* After a promotion, when it has taken effect. */
#define LEADS_MS 700
#define END_MS 20000

typedef struct
{
  Bench *bench;
  Node *nodes[3];
  Database *primary;
  Database *holder; /* has all commits, and drains */
  Database *deaf;
  Database *promoted;
  GPtrArray *acked; /* ids of acknowledged writes */
  guint n_reads;
} Case;

typedef struct
{
  Case *test;
  Client *client;
  guint number;
  gboolean writer;
  char *id; /* of the write in progress */
  guint n;
} Session;

static void session_on_event (gpointer data, Client *client, ClientEvent event);

static void
session_open (gpointer data)
{
  Session *session = data;
  Case *test = session->test;

  session->client = client_new (
      test->bench, test->nodes[session->number % G_N_ELEMENTS (test->nodes)],
      session->writer ? "sign" : "review", session_on_event, session);
}

static void
session_send (gpointer data)
{
  Session *session = data;

  g_clear_pointer (&session->id, g_free);
  if (session->writer)
    session->id = g_strdup (client_query (session->client, "WRITE w%u d%u",
                                          session->number, session->n++));
  else
    client_query (session->client, "READ w%u",
                  N_READERS + session->number % N_WRITERS);
}

static void
session_on_event (gpointer data, Client *client, ClientEvent event)
{
  Session *session = data;
  Case *test = session->test;
  gboolean complete = client_answer (client)->complete;

  switch (event)
    {
    case CLIENT_READY:
      session_send (session);
      break;
    case CLIENT_ANSWER:
      if (session->id != NULL && complete)
        g_ptr_array_add (test->acked, g_strdup (session->id));
      test->n_reads += session->id == NULL && complete;
      bench_after (test->bench, complete ? 0 : 100, session_send, session);
      break;
    case CLIENT_CLOSED:
      bench_after (test->bench, 100, session_open, session);
      break;
    }
}

static void
begin (gpointer data)
{
  Case *test = data;

  for (guint i = 0; i < N_READERS + N_WRITERS; i++)
    {
      Session *session = g_new0 (Session, 1);

      session->test = test;
      session->number = i;
      session->writer = i >= N_READERS;
      session_open (session);
    }
}

static void
deafen (gpointer data)
{
  Case *test = data;

  database_set_deaf (test->deaf, TRUE);
}

static void
hear (gpointer data)
{
  Case *test = data;

  database_set_deaf (test->deaf, FALSE);
}

static void
drain (gpointer data)
{
  Case *test = data;

  database_drain (test->holder, DRAIN_FOR_MS);
}

static void
crash (gpointer data)
{
  Case *test = data;

  bench_note (test->bench, "%u writes acknowledged, %u reads answered",
              test->acked->len, test->n_reads);
  database_crash (test->primary);
}

static void
judge (gpointer data)
{
  Case *test = data;
  guint n_lost = 0;

  for (guint i = 0; i < test->acked->len; i++)
    if (!database_has_write (test->promoted,
                             g_ptr_array_index (test->acked, i)))
      {
        if (n_lost++ < 5)
          bench_note (test->bench, "write %s was acknowledged, but %s lacks it",
                      (char *)g_ptr_array_index (test->acked, i),
                      database_id (test->promoted));
      }
  bench_note (test->bench, "%u of %u acknowledged writes are lost", n_lost,
              test->acked->len);
  bench_end (test->bench, n_lost > 0 ? CASE_BROKEN : CASE_HELD,
             "log of the promoted database");
}

static void
on_promotion (gpointer data, Database *database, guint64 token)
{
  Case *test = data;

  (void)token;
  if (test->promoted != NULL)
    return;
  test->promoted = database;
  bench_note (test->bench,
              "promotion of %s, which has received %" G_GUINT64_FORMAT
              " commits; %s has %" G_GUINT64_FORMAT,
              database_id (database), database_received (database),
              database_id (test->holder), database_received (test->holder));
  bench_after (test->bench, LEADS_MS, judge, test);
}

static void
finish (gpointer data)
{
  Case *test = data;

  bench_note (test->bench, "%u writes acknowledged, %u reads answered",
              test->acked->len, test->n_reads);
  bench_end (test->bench,
             bench_trouble (test->bench) || test->acked->len < 100
                 ? CASE_NOT_RUN
                 : CASE_HELD,
             "no promotion");
}

int
main (int argc, char **argv)
{
  Case test = { 0 };

  if (argc != 3)
    return CASE_NOT_RUN;
  test.bench = bench_new (argv[1], argv[2]);
  test.acked = g_ptr_array_new ();
  bench_service (test.bench, "records", 22, 1);
  bench_route (test.bench, "sign", "primary", 800, 0, -1);
  bench_route (test.bench, "review", "bounded", 2000, 1, 1500);
  bench_configure (test.bench);
  bench_on_promotion (test.bench, on_promotion, &test);
  test.primary = database_new (test.bench, "i-1a", 3, 6, TRUE);
  test.holder = database_new (test.bench, "i-2b", 3, 6, FALSE);
  test.deaf = database_new (test.bench, "i-3c", 3, 6, FALSE);
  for (guint i = 0; i < G_N_ELEMENTS (test.nodes); i++)
    {
      char *name = g_strdup_printf ("front-%u", i + 1);

      test.nodes[i] = node_start (test.bench, name);
      g_free (name);
    }
  bench_after (test.bench, BEGIN_MS, begin, &test);
  if (bench_trouble (test.bench))
    {
      bench_after (test.bench, DRAIN_MS, drain, &test);
      bench_after (test.bench, DEAF_MS, deafen, &test);
      bench_after (test.bench, DEAF_MS + DEAF_FOR_MS, hear, &test);
      bench_after (test.bench, CRASH_MS, crash, &test);
    }
  bench_after (test.bench, END_MS, finish, &test);
  return bench_run (test.bench, 60000);
}
