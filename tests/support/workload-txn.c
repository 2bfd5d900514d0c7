/* Clients with interactive transactions: begin, two writes of different rows,
 * commit, each sent to a randomly chosen proxy. Some clients abandon their
 * transaction, which the idle limit then ends.
 */
#include "harness.h"

#include <string.h>

/* Set in the request ids of these clients; the client's index is stored above
 * SEQUENCE_BITS. */
#define CLIENT_BIT (G_GUINT64_CONSTANT (1) << 63)
#define SEQUENCE_BITS 32
/* Rows and writes are numbered apart from those of workload.c. */
#define FIRST_ROW 10000
#define FIRST_WRITE (1u << 24)
#define WRITES_PER_TXN 2
#define REQUEST_TIMEOUT_US (2 * TOU_US_PER_S)
#define MAX_INTERVAL_US (20 * TOU_US_PER_MS)
/* After one in this many requests the client waits so long that a drain begins
 * and ends meanwhile; after one in as many it abandons the transaction. */
#define RARE_ONE_IN 8
#define LONG_INTERVAL_US (4 * TOU_US_PER_S)

typedef enum
{
  STEP_BEGIN,
  STEP_FIRST_WRITE,
  STEP_SECOND_WRITE,
  STEP_COMMIT
} Step;

typedef struct
{
  TxnClients *clients;
  guint index;
  Step step;
  gboolean running; /* in a transaction or waiting for the next */
  gboolean in_flight;
  guint64 sequence;
  Proxy *proxy;
  guint64 generation;
  TouRequestId txn;
  guint number; /* of the transaction */
} TxnClient;

typedef struct
{
  guint number;
  guint group;
  TouOutcome outcome;
} TxnOutcome;

struct TxnClients
{
  Harness *harness;
  TouRandom random;
  gboolean active;
  guint n;
  TxnClient *items;
  guint next_number;
  GArray *outcomes; /* TxnOutcome */
};

TxnClients *
txn_clients_create (Harness *harness, guint n)
{
  TxnClients *clients = g_new0 (TxnClients, 1);

  clients->harness = harness;
  tou_random_init (&clients->random, harness->options.seed);
  clients->n = n;
  clients->items = g_new0 (TxnClient, n);
  for (guint i = 0; i < n; i++)
    clients->items[i] = (TxnClient){ .clients = clients, .index = i };
  clients->outcomes = g_array_new (FALSE, FALSE, sizeof (TxnOutcome));
  return clients;
}

void
txn_clients_destroy (TxnClients *clients)
{
  if (clients == NULL)
    return;
  g_array_free (clients->outcomes, TRUE);
  g_free (clients->items);
  g_free (clients);
}

static guint
client_group (const TxnClient *client)
{
  return client->index % client->clients->harness->options.deployment->n_groups;
}

static void client_send (Harness *harness, gpointer data);

/* Schedules the next request after a random interval. */
static void
client_schedule_next (TxnClient *client)
{
  TxnClients *clients = client->clients;
  Harness *harness = clients->harness;
  guint64 interval_us = tou_random_below (&clients->random, MAX_INTERVAL_US);

  if (client->step != STEP_BEGIN
      && tou_random_below (&clients->random, RARE_ONE_IN) == 0)
    interval_us = LONG_INTERVAL_US;
  harness_schedule (harness, harness->now_us + interval_us, client_send,
                    client);
}

static void
client_end (TxnClient *client, TouOutcome outcome)
{
  TxnOutcome end = { client->number, client_group (client), outcome };

  g_array_append_val (client->clients->outcomes, end);
  client->step = STEP_BEGIN;
  client_schedule_next (client);
}

static void
client_request (const TxnClient *client, TouRequest *request)
{
  guint write = client->step == STEP_SECOND_WRITE ? 1 : 0;

  request->kind = TOU_REQUEST_TXN_STATEMENT;
  request->rank = TOU_RANK_URGENT;
  request->mode = TOU_READ_NONE;
  request->txn = client->txn;
  request->deadline_us = client->clients->harness->now_us + REQUEST_TIMEOUT_US;
  if (client->step == STEP_BEGIN)
    {
      request->kind = TOU_REQUEST_BEGIN;
      request->group = harness_group_name (client_group (client));
    }
  else if (client->step == STEP_COMMIT)
    request->kind = TOU_REQUEST_COMMIT;
  else
    tou_str_printf (&request->statement.sql, "W %u %u",
                    FIRST_ROW + WRITES_PER_TXN * client->index + write,
                    FIRST_WRITE + WRITES_PER_TXN * client->number + write);
}

static void
client_send (Harness *harness, gpointer data)
{
  TxnClient *client = data;
  TxnClients *clients = client->clients;
  TouEvent event = { .type = TOU_EVENT_REQUEST };

  if (harness->closing)
    return;
  if (client->step == STEP_BEGIN)
    {
      client->running = clients->active;
      if (!clients->active)
        return;
      client->number = clients->next_number++;
    }
  client->proxy = harness_pick_proxy (harness, &clients->random);
  if (client->proxy == NULL)
    {
      client_end (client, TOU_OUTCOME_NOT_RUN);
      return;
    }
  client->generation = client->proxy->generation;
  client->in_flight = TRUE;
  client->sequence++;
  event.u.request.caller
      = CLIENT_BIT | (guint64)client->index << SEQUENCE_BITS | client->sequence;
  client_request (client, &event.u.request.request);
  harness_step (harness, client->proxy, &event);
}

/* Returns the outcome of a transaction whose request was not answered: unknown
 * for COMMIT; before COMMIT no write may become visible. */
static TouOutcome
client_lost_outcome (const TxnClient *client)
{
  return client->step == STEP_COMMIT ? TOU_OUTCOME_UNKNOWN
                                     : TOU_OUTCOME_NOT_RUN;
}

gboolean
txn_clients_on_reply (TxnClients *clients, guint64 number,
                      const TouReply *reply)
{
  TxnClient *client;

  if ((number & CLIENT_BIT) == 0)
    return FALSE;
  client = &clients->items[(number & ~CLIENT_BIT) >> SEQUENCE_BITS];
  if (!client->in_flight || (guint32)number != (guint32)client->sequence)
    {
      harness_violation (clients->harness,
                         "request of a transaction was answered twice");
      return TRUE;
    }
  client->in_flight = FALSE;
  /* Abandoned transactions can occupy all connections for transactions, also
   * without a drain; BEGIN then fails with TOU_E_DEADLINE. */
  if (clients->harness->only_drains && reply->outcome != TOU_OUTCOME_DONE
      && (client->step != STEP_BEGIN || reply->code != TOU_E_DEADLINE))
    harness_violation (clients->harness,
                       "step %d of a transaction failed with code %d although "
                       "proxies were only drained",
                       client->step, reply->code);
  if (client->step == STEP_COMMIT)
    client_end (client, reply->outcome);
  else if (reply->outcome != TOU_OUTCOME_DONE
           || tou_random_below (&clients->random, RARE_ONE_IN) == 0)
    client_end (client, TOU_OUTCOME_NOT_RUN);
  else
    {
      if (client->step == STEP_BEGIN)
        client->txn = reply->txn;
      client->step++;
      client_schedule_next (client);
    }
  return TRUE;
}

gboolean
txn_clients_on_proxy_exit (TxnClients *clients, const Proxy *proxy)
{
  gboolean lost = FALSE;

  for (guint i = 0; clients != NULL && i < clients->n; i++)
    {
      TxnClient *client = &clients->items[i];

      if (!client->in_flight || client->proxy != proxy)
        continue;
      lost = TRUE;
      client->in_flight = FALSE;
      client_end (client, client_lost_outcome (client));
    }
  return lost;
}

void
txn_clients_set_active (TxnClients *clients, gboolean active)
{
  clients->active = active;
  for (guint i = 0; active && i < clients->n; i++)
    if (!clients->items[i].running)
      {
        clients->items[i].running = TRUE;
        client_schedule_next (&clients->items[i]);
      }
}

static void
check_txn (Harness *harness, const TxnOutcome *txn)
{
  guint first = FIRST_WRITE + WRITES_PER_TXN * txn->number;
  int primary = fake_group_primary (harness, txn->group);
  const FakeDatabase *db;
  guint counts[WRITES_PER_TXN];

  if (primary < 0)
    return;
  db = harness->databases[harness_db (txn->group, (guint)primary)];
  for (guint i = 0; i < WRITES_PER_TXN; i++)
    counts[i] = fake_database_count_write (db, first + i);
  if (counts[0] != counts[1] || counts[0] > 1)
    harness_violation (harness,
                       "transaction %u: writes were applied %u and %u times",
                       txn->number, counts[0], counts[1]);
  if (counts[0] > 0 && txn->outcome == TOU_OUTCOME_NOT_RUN)
    harness_violation (harness,
                       "transaction %u was applied but reported as not run",
                       txn->number);
  if (counts[0] == 0 && txn->outcome == TOU_OUTCOME_DONE)
    harness_violation (harness, "acknowledged transaction %u is lost",
                       txn->number);
  if (counts[0] == 1 && counts[1] == 1
      && fake_database_find_write (db, first + 1)
             != fake_database_find_write (db, first) + 1)
    harness_violation (harness,
                       "writes of transaction %u are not adjacent in the log",
                       txn->number);
}

void
txn_clients_check_final (TxnClients *clients)
{
  for (guint i = 0; i < clients->n; i++)
    if (clients->items[i].in_flight)
      harness_violation (clients->harness,
                         "request of a transaction was not answered");
  for (guint i = 0; i < clients->outcomes->len; i++)
    check_txn (clients->harness,
               &g_array_index (clients->outcomes, TxnOutcome, i));
}
