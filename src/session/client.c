#include "client.h"

#include "access.h"
#include "dispatch.h"
#include "pacing.h"
#include "stream.h"
#include "values.h"

#include "wire.h"

#include <string.h>

/* Attempts per statement: one on each database of a group of three, and one
   after a change of primary. */
#define CLIENT_MAX_ATTEMPTS 4
/* Latency recorded for a failed statement when endpoints are compared; of the
   order of the strictest latency objective. */
#define CLIENT_FAILURE_COST_US (500 * TOU_US_PER_MS)
/* Clients abandon a session that is not accepted within 2 s. */
#define CLIENT_STARTUP_WAIT_US (1700 * TOU_US_PER_MS)
/* Maximum length of a request id or reason in a log line, in bytes. */
#define CLIENT_TEXT_MAX 160

TouClient *
tou_client_of_item (TouQueueItem *item)
{
  return TOU_CONTAINER_OF (item, TouClient, request.item);
}

static void
client_send (TouClient *client, GString *message)
{
  if (!client->closing)
    tou_intake_send (&client->intake, message);
  g_string_free (message, TRUE);
}

static void client_parse (TouClient *client);

/* Ends the current statement, so that the next one can be parsed. */
static void
client_finish_request (TouClient *client)
{
  client->busy = FALSE;
  client->pin.idle_since_us = tou_clock_us ();
  if (client->request.tried != NULL)
    g_ptr_array_set_size (client->request.tried, 0);
}

/* Answers a statement that was handled without a database. */
static void
client_answer_complete (TouClient *client)
{
  GString *out = g_string_new (NULL);

  plat_wire_put_complete (out, NULL);
  plat_wire_put_ready (out, client->state, (TouLogPos){ 0 });
  client_send (client, out);
  client_finish_request (client);
}

/* Answers the statement with an error. */
static void
client_answer_error (TouClient *client, TouSqlError code, const char *reason)
{
  GString *out = g_string_new (NULL);

  plat_wire_put_error (out, code, reason);
  plat_wire_put_ready (out, client->state, (TouLogPos){ 0 });
  client_send (client, out);
  client_finish_request (client);
}

static void
client_log (TouClient *client, TouEvlogClass class, const char *event,
            const char *outcome, const char *reason,
            const TouEndpoint *endpoint)
{
  const TouClientRequest *request = &client->request;
  const TouGroupRecord *record = NULL;
  char id[CLIENT_TEXT_MAX];
  guint64 now_us = tou_clock_us ();

  if (endpoint != NULL)
    record = tou_authority_record (endpoint->group->authority);
  tou_evlog (
      class, event,
      "\"request\":\"%s\",\"database\":\"%s\",\"group\":\"%s\",\"rank\":%d,"
      "\"outcome\":\"%s\",\"reason\":\"%s\",\"endpoint\":\"%s\","
      "\"ms\":%" G_GUINT64_FORMAT ",\"sent_ms\":%" G_GUINT64_FORMAT
      ",\"attempts\":%u,\"txn\":%s,\"config\":%" G_GUINT64_FORMAT
      ",\"term\":%" G_GUINT64_FORMAT ",\"after\":\"%" G_GUINT64_FORMAT
      ".%" G_GUINT64_FORMAT "\"",
      tou_evlog_sanitize (id, sizeof id, client->id), client->database.data,
      client->route.group.data, (int)client->route.rank, outcome, reason,
      endpoint != NULL ? endpoint->info.id.data : "",
      (now_us - request->arrived_us) / TOU_US_PER_MS,
      request->task.sent_us == 0
          ? 0
          : (now_us - request->task.sent_us) / TOU_US_PER_MS,
      request->attempts, client->state == TOU_SQL_STATE_IDLE ? "false" : "true",
      client->proxy->routing != NULL ? client->proxy->routing->version : 0,
      record != NULL ? record->term : 0, request->after.term,
      request->after.position);
}

/* Releases the pinned link, which rolls back its transaction. */
static void
client_release_link (TouClient *client)
{
  TouLink *link = client->link;

  client->link = NULL;
  if (link != NULL)
    tou_link_unpin (link);
}

/* Gives back the credit of an operation that has not been run. */
static void
client_return_credit (TouClient *client)
{
  /* At the end of the process there is none. */
  if (client->has_credit && client->proxy->credit != NULL)
    tou_credit_return (client->proxy->credit, &client->credit_wait,
                       tou_clock_us ());
  client->has_credit = FALSE;
}

/* Fails the statement and the open transaction, if any. */
static void
client_fail (TouClient *client, TouSqlError code, const char *reason,
             const TouEndpoint *endpoint)
{
  gboolean in_doubt = code == TOU_SQL_E_IN_DOUBT;

  client_return_credit (client);
  if (in_doubt)
    TOU_COUNT (client->proxy, IN_DOUBT);
  else
    TOU_COUNT (client->proxy, REFUSED);
  client_log (client, TOU_EVLOG_FAILURE, "failed", plat_wire_error_name (code),
              reason, endpoint);
  client_release_link (client);
  if (client->state == TOU_SQL_STATE_OPEN)
    client->state = TOU_SQL_STATE_FAILED;
  client_answer_error (client, code, reason);
}

void
tou_client_refuse_request (TouClient *client, TouSqlError code,
                           const char *reason)
{
  client_fail (client, code, reason, NULL);
  client_parse (client);
}

/* The pinned link was closed while no statement ran on it. */
static void
client_on_link_closed (TouPin *pin)
{
  TouClient *client = TOU_CONTAINER_OF (pin, TouClient, pin);

  client->link = NULL;
  client->txn_lost = TRUE;
}

/* Ends the open transaction, which is idle. */
static void
client_end_txn (TouPin *pin)
{
  TouClient *client = TOU_CONTAINER_OF (pin, TouClient, pin);

  client_release_link (client);
  client->txn_lost = TRUE;
}

/* Sets the position that a replica must have reached to run the statement.
   @return FALSE if only the primary may run it */
static gboolean
client_set_required_pos (TouClient *client, TouGroup *group)
{
  TouClientRequest *request = &client->request;
  const TouRoute *route = &client->route;
  guint64 since_us
      = request->arrived_us - MIN (route->max_age_us, request->arrived_us);

  memset (&request->after, 0, sizeof request->after);
  if (route->mode == TOU_READ_FRESH || request->writes
      || (route->mode == TOU_READ_SESSION && client->last_commit_unknown))
    return FALSE;
  if (route->max_age_us > 0
      && !tou_freshness_required (group->freshness, since_us, &request->after))
    return FALSE;
  if (route->mode == TOU_READ_SESSION
      && tou_name_equal (&client->last_commit_group, &group->name)
      && tou_log_pos_compare (client->last_commit_pos, request->after) > 0)
    request->after = client->last_commit_pos;
  return TRUE;
}

static TouQueue *
client_queue (const TouClient *client, const TouGroup *group)
{
  return client->request.needs_primary ? group->writes : group->reads;
}

/* TRUE if nothing that could correct the queue's estimates is in progress. */
static gboolean
client_is_probe (const TouClient *client, TouGroup *group)
{
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  if (tou_queue_length (client_queue (client, group)) > 0)
    return FALSE;
  if (client->request.needs_primary)
    return primary != NULL && primary->n_busy == 0;
  for (guint i = 0; i < group->endpoints->len; i++)
    if (((TouEndpoint *)g_ptr_array_index (group->endpoints, i))->n_busy > 0)
      return FALSE;
  return TRUE;
}

/* Refuses a statement that may be served after @a retry_us. */
static void
client_refuse_for (TouClient *client, const char *reason, guint64 retry_us)
{
  char text[CLIENT_TEXT_MAX];

  g_snprintf (text, sizeof text, "%s; retry after %" G_GUINT64_FORMAT " ms",
              reason, retry_us / TOU_US_PER_MS);
  client_fail (client, TOU_SQL_E_BUSY, text, NULL);
}

/* Refuses a statement that gave its place to one of another team. */
static void
client_evict (TouQueueItem *item, guint64 retry_us)
{
  TouClient *client = tou_client_of_item (item);

  TOU_COUNT (client->proxy, EVICTED);
  client_refuse_for (client, tou_status_text (TOU_E_QUEUE_FULL), retry_us);
  client_parse (client);
}

/* Queues the statement for the primary or for any endpoint of the group. */
static void
client_enqueue (TouClient *client)
{
  TouGroup *group = tou_group_get (client->proxy, &client->route.group);
  TouClientRequest *request = &client->request;
  guint64 now_us = tou_clock_us ();
  guint64 retry_us = 0;
  TouQueueItem *evicted;
  char reason[CLIENT_TEXT_MAX];
  int status;

  if (!request->needs_primary && !client_set_required_pos (client, group))
    request->needs_primary = TRUE;
  if (request->needs_primary
      && tou_group_refuses (group, request->arrived_us, request->deadline_us,
                            now_us, reason))
    {
      client_fail (client, TOU_SQL_E_BUSY, reason, NULL);
      return;
    }
  memset (&request->item, 0, sizeof request->item);
  request->item.rank = client->route.rank;
  request->item.flow = request->task.team;
  request->item.deadline_us = request->deadline_us;
  request->item.probe = client_is_probe (client, group);
  status = tou_queue_push (client_queue (client, group), &request->item, now_us,
                           &retry_us, &evicted);
  if (status != TOU_OK)
    client_refuse_for (client, tou_status_text (status), retry_us);
  else if (evicted != NULL)
    client_evict (evicted, retry_us);
}

void
tou_client_refuse_waiting (TouGroup *group, guint64 now_us)
{
  char reason[TOU_REFUSAL_TEXT_MAX];
  GList *next;

  for (GList *list_node = group->proxy->clients.head; list_node != NULL;
       list_node = next)
    {
      TouClient *client = list_node->data;
      TouClientRequest *request = &client->request;

      /* Closing a client removes it from the list. */
      next = list_node->next;
      if (!request->item.queued || !request->needs_primary
          || !tou_name_equal (&client->route.group, &group->name)
          || !tou_group_refuses (group, request->arrived_us,
                                 request->deadline_us, now_us, reason))
        continue;
      tou_queue_remove (group->writes, &request->item);
      tou_client_refuse_request (client, TOU_SQL_E_BUSY, reason);
    }
}

void
tou_client_requeue_request (TouClient *client)
{
  client_enqueue (client);
  if (!client->busy)
    client_parse (client);
}

/* Queues a statement that has not run, or is safe to repeat, for another
   attempt. @return FALSE if no attempt or time is left */
static gboolean
client_retry (TouClient *client, TouEndpoint *endpoint)
{
  TouClientRequest *request = &client->request;
  guint64 now_us = tou_clock_us ();

  if (request->attempts >= CLIENT_MAX_ATTEMPTS
      || now_us >= request->deadline_us)
    return FALSE;
  if (request->tried == NULL)
    request->tried = g_ptr_array_new ();
  g_ptr_array_add (request->tried, endpoint);
  TOU_COUNT (client->proxy, RETRIED);
  client_enqueue (client);
  return TRUE;
}

/* The replica has not reached the required position. The statement is queued
   again and may run on the replica after a pause, or earlier on the primary. */
static void
client_wait_for_replica (TouClient *client, TouEndpoint *endpoint)
{
  client->request.attempts--;
  tou_queue_refund (client_queue (client, endpoint->group),
                    &client->request.item);
  tou_dispatch_mark_lagging (endpoint, client->request.after, tou_clock_us ());
  client_enqueue (client);
}

static void
client_on_success (TouClient *client, TouEndpoint *endpoint,
                   const TouTaskResult *result, gboolean commit)
{
  TouClientRequest *request = &client->request;
  GString *out = g_string_sized_new (result->lines->len + 32);
  guint64 ms = (tou_clock_us () - request->arrived_us) / TOU_US_PER_MS;
  guint bucket = 0;

  while (bucket + 1 < TOU_LATENCY_BUCKETS && ms >> bucket != 0)
    bucket++;
  client->proxy->latency[client->route.rank][bucket]++;
  TOU_COUNT (client->proxy, SERVED);
  endpoint->lagging_pause_us = 0;
  if ((commit && client->wrote) || (!commit && request->task.may_commit))
    {
      client->last_commit_group = endpoint->group->name;
      client->last_commit_pos = result->pos;
      client->last_commit_unknown = result->pos.term == 0;
    }
  if (commit)
    {
      client->state = TOU_SQL_STATE_IDLE;
      client_release_link (client);
    }
  else if (client->state == TOU_SQL_STATE_OPEN
           && result->state != TOU_SQL_STATE_OPEN)
    {
      client->state = TOU_SQL_STATE_FAILED;
      client_release_link (client);
    }
  client_log (client, TOU_EVLOG_REQUEST, "served", "done", "", endpoint);
  g_string_append_len (out, result->lines->str, (gssize)result->lines->len);
  plat_wire_put_ready (out, client->state, result->pos);
  client_send (client, out);
  client_finish_request (client);
}

/* A commit may be acknowledged only while writes on the endpoint are valid. */
static gboolean
client_may_acknowledge (const TouClientRequest *request,
                        const TouEndpoint *endpoint)
{
  return !request->task.may_commit
         || tou_group_may_write (endpoint->group, endpoint, tou_clock_us ());
}

/* The endpoint answered with an error. */
static void
client_on_error (TouClient *client, TouEndpoint *endpoint,
                 const TouTaskResult *result, gboolean commit)
{
  TouClientRequest *request = &client->request;
  gboolean not_run = result->error == TOU_SQL_E_BUSY
                     || result->error == TOU_SQL_E_LAGGING
                     || result->error == TOU_SQL_E_READ_ONLY
                     || result->error == TOU_SQL_E_UNKNOWN_STATEMENT;

  if (result->error == TOU_SQL_E_LAGGING && client->state == TOU_SQL_STATE_IDLE)
    {
      client_wait_for_replica (client, endpoint);
      return;
    }
  /* The search for a gateway that reaches the database is not an attempt. */
  if (result->unreachable)
    request->attempts--;
  else if (result->error == TOU_SQL_E_BUSY)
    tou_window_refused (&endpoint->window, tou_clock_us ());
  else if (result->error == TOU_SQL_E_FAILED)
    tou_endpoint_add_latency (endpoint, CLIENT_FAILURE_COST_US,
                              tou_clock_us ());
  /* Outside a transaction the statement may run on any endpoint. If a gateway
     refused it as busy, it was already queued there for the primary for as long
     as waiting was useful. */
  if (!(result->error == TOU_SQL_E_BUSY && endpoint->gateway.len > 0
        && request->needs_primary && !result->unreachable)
      && client->state == TOU_SQL_STATE_IDLE
      && (not_run || !request->task.may_commit)
      && client_retry (client, endpoint))
    return;
  if (commit)
    client->state = TOU_SQL_STATE_IDLE;
  client_fail (client,
               result->error == TOU_SQL_E_UNKNOWN_STATEMENT ? TOU_SQL_E_BUSY
                                                            : result->error,
               "refused by the database", endpoint);
}

/* The link was closed after the statement was sent, before the answer. */
static void
client_on_lost (TouClient *client, TouEndpoint *endpoint, gboolean commit)
{
  TouClientRequest *request = &client->request;
  TouSqlError code = TOU_SQL_E_ABORTED;

  tou_endpoint_add_latency (endpoint, CLIENT_FAILURE_COST_US, tou_clock_us ());
  if (request->task.may_commit && (!commit || client->wrote))
    code = TOU_SQL_E_IN_DOUBT;
  else if (client->state == TOU_SQL_STATE_IDLE
           && client_retry (client, endpoint))
    return;
  if (commit)
    client->state = TOU_SQL_STATE_IDLE;
  client_fail (client, code, "connection to the database was lost", endpoint);
}

static void
client_on_not_run (TouClient *client, TouEndpoint *endpoint,
                   const TouTaskResult *result)
{
  TouClientRequest *request = &client->request;
  gboolean first = client->state != TOU_SQL_STATE_OPEN || request->task.begin;

  if (first)
    {
      client_release_link (client);
      if (result->error == TOU_SQL_E_LAGGING)
        {
          client_wait_for_replica (client, endpoint);
          return;
        }
      if (client_retry (client, endpoint))
        return;
    }
  client_fail (client, first ? TOU_SQL_E_BUSY : TOU_SQL_E_ABORTED,
               "the database did not take the statement", endpoint);
}

static void
client_on_result (TouTask *task, TouLink *link, const TouTaskResult *result)
{
  TouClient *client = TOU_CONTAINER_OF (task, TouClient, request.task);
  TouEndpoint *endpoint = task->assigned_endpoint;
  TouGroup *group = endpoint->group;
  TouClientRequest *request = &client->request;
  gboolean commit = request->commit;
  guint64 now_us = tou_clock_us ();

  if (link == NULL)
    client->link = NULL;
  tou_pacing_on_result (endpoint, task, result, now_us);
  if (result->outcome == TOU_TASK_ANSWERED && task->sent_us != 0)
    {
      guint64 elapsed_us = MIN (now_us - task->sent_us, TOU_SERVICE_MAX_US);

      tou_endpoint_add_latency (endpoint, elapsed_us, now_us);
      tou_window_answered (&endpoint->window, elapsed_us, group->target_us,
                           endpoint->info.slots, now_us);
      tou_queue_record_cost (client_queue (client, group), client->route.rank,
                             elapsed_us, now_us);
      if (result->pos.term != 0)
        tou_group_sample (group, endpoint, task->sent_us, result->pos);
    }
  switch (result->outcome)
    {
    case TOU_TASK_ANSWERED:
      if (!result->complete)
        client_on_error (client, endpoint, result, commit);
      else if (client_may_acknowledge (request, endpoint)
               || (commit && !client->wrote))
        client_on_success (client, endpoint, result, commit);
      else
        {
          if (commit)
            client->state = TOU_SQL_STATE_IDLE;
          client_fail (client, TOU_SQL_E_IN_DOUBT,
                       "primary changed during the statement", endpoint);
        }
      break;
    case TOU_TASK_NOT_RUN:
      client_on_not_run (client, endpoint, result);
      break;
    case TOU_TASK_LOST:
      client_on_lost (client, endpoint, commit);
      break;
    }
  if (client->close_requested)
    tou_client_close (client);
  else if (!client->busy)
    client_parse (client);
  tou_dispatch_group (group);
}

static void
client_run (TouClient *client, TouLink *link)
{
  TouClientRequest *request = &client->request;
  TouEndpoint *endpoint = tou_link_endpoint (link);
  gboolean in_txn = client->state == TOU_SQL_STATE_OPEN;

  client->has_credit = FALSE;
  request->attempts++;
  request->task.assigned_endpoint = endpoint;
  request->task.begin = in_txn && client->link == NULL;
  request->task.begin_read_only = client->read_only;
  request->task.after
      = request->needs_primary ? (TouLogPos){ 0 } : request->after;
  request->task.values = &client->values;
  request->task.rank = client->route.rank;
  request->task.deadline_us = request->deadline_us;
  if (endpoint == tou_group_recorded_primary (endpoint->group))
    TOU_COUNT (client->proxy, PRIMARY);
  else
    TOU_COUNT (client->proxy, REPLICA);
  if (in_txn && client->link == NULL)
    {
      client->link = link;
      tou_link_pin (link, &client->pin);
    }
  tou_link_run (link, &request->task);
}

void
tou_client_start_request (TouClient *client, TouEndpoint *endpoint)
{
  client->request.task.values = &client->values;
  client_run (client, tou_endpoint_idle_link (endpoint, &client->request.task));
}

/* Copies the current route of the database and identifies the team; an open
   transaction keeps those that it began with. @return TRUE if the session may
   run operations; otherwise @a error and @a reason say why not */
static gboolean
client_authorize (TouClient *client, TouSqlError *error, const char **reason)
{
  const TouRouting *routing = client->proxy->routing;
  const TouRoute *route
      = routing != NULL
            ? g_hash_table_lookup (routing->routes, &client->database)
            : NULL;

  if (route == NULL)
    {
      *error = TOU_SQL_E_UNKNOWN_DATABASE;
      *reason = "no such database";
      return FALSE;
    }
  client->route = *route;
  if (tou_access_check (routing, route, client->key, &client->team) == TOU_OK)
    return TRUE;
  TOU_COUNT (client->proxy, UNAUTHORIZED);
  *error = TOU_SQL_E_UNAUTHORIZED;
  *reason = "no team has this key";
  return FALSE;
}

/* Runs the next statement of a transaction on its pinned link. */
static void
client_continue_txn (TouClient *client)
{
  TouEndpoint *endpoint = tou_link_endpoint (client->link);

  if (client->read_only
      || tou_group_may_write (endpoint->group, endpoint, tou_clock_us ()))
    {
      client_run (client, client->link);
      return;
    }
  if (client->request.commit)
    client->state = TOU_SQL_STATE_IDLE;
  client_fail (client, TOU_SQL_E_ABORTED, "the primary is being changed",
               endpoint);
}

static void
client_submit (TouClient *client)
{
  client_enqueue (client);
  if (client->busy)
    tou_dispatch_group (tou_group_get (client->proxy, &client->route.group));
}

static void
client_on_credit (TouCreditWait *wait, gboolean granted, guint64 retry_us,
                  const char *reason)
{
  TouClient *client = TOU_CONTAINER_OF (wait, TouClient, credit_wait);

  client->has_credit = granted;
  if (granted)
    client_submit (client);
  else
    client_refuse_for (client, reason, retry_us);
  if (!client->busy)
    client_parse (client);
}

/* Submits a statement outside of a transaction, or the first one in it, within
   the quota of its team. */
static void
client_begin_operation (TouClient *client)
{
  TouCredit *credit = client->proxy->credit;
  TouCreditWait *wait = &client->credit_wait;
  guint64 retry_us;
  const char *reason;

  if (credit == NULL || client->team.len == 0)
    {
      client_submit (client);
      return;
    }
  wait->done = client_on_credit;
  wait->team = client->team;
  wait->urgent = client->route.rank == TOU_RANK_URGENT;
  wait->deadline_us = client->request.deadline_us;
  switch (tou_credit_take (credit, wait, client->request.arrived_us, &retry_us,
                           &reason))
    {
    case TOU_CREDIT_GRANTED:
      client->has_credit = TRUE;
      client_submit (client);
      break;
    case TOU_CREDIT_WAITING:
      break;
    case TOU_CREDIT_REFUSED:
      client_refuse_for (client, reason, retry_us);
      break;
    }
}

/* Sends a read, write, execution or commit to a database. */
static void
client_forward (TouClient *client, const TouSqlStatement *statement,
                const TouPrepared *prepared)
{
  TouClientRequest *request = &client->request;
  gboolean in_txn = client->state == TOU_SQL_STATE_OPEN;
  TouSqlError error;
  const char *reason;

  if (client->link == NULL && !client_authorize (client, &error, &reason))
    {
      client_fail (client, error, reason, NULL);
      if (error == TOU_SQL_E_UNAUTHORIZED)
        tou_client_close (client);
      return;
    }
  request->attempts = 0;
  request->arrived_us = tou_clock_us ();
  request->deadline_us = request->arrived_us + client->route.timeout_us;
  request->commit = statement->kind == TOU_SQL_COMMIT;
  request->writes = statement->kind == TOU_SQL_WRITE
                    || (prepared != NULL && prepared->writes);
  if (request->writes && in_txn)
    client->wrote = TRUE;
  memset (&request->task, 0, sizeof request->task);
  request->task.done = client_on_result;
  request->task.id = &client->id;
  if (client->team.len > 0)
    request->task.team = &client->team;
  request->task.text.data = client->id.data + client->id.len + 1;
  request->task.text.len = client->intake.text->len - client->id.len - 1;
  request->task.prepared = prepared;
  if (prepared != NULL)
    request->task.arguments = statement->as.execute.arguments;
  request->task.may_commit = request->commit || (request->writes && !in_txn);
  request->needs_primary = request->writes || (in_txn && !client->read_only);
  if (client->link != NULL)
    client_continue_txn (client);
  else
    client_begin_operation (client);
}

static void
client_execute (TouClient *client, const TouSqlStatement *statement)
{
  const TouPrepared *prepared = tou_prepared_find (client->prepared, statement);

  if (prepared != NULL)
    client_forward (client, statement, prepared);
  else
    client_fail (client, TOU_SQL_E_UNKNOWN_STATEMENT,
                 "no prepared statement has that name", NULL);
}

static void
client_begin (TouClient *client, const TouSqlStatement *statement)
{
  client->state = TOU_SQL_STATE_OPEN;
  client->read_only = statement->as.begin.read_only;
  client->wrote = FALSE;
  client->txn_lost = FALSE;
  client_answer_complete (client);
}

/* Ends a failed transaction, or rolls back an open one. */
static void
client_rollback (TouClient *client)
{
  client_release_link (client);
  client->state = TOU_SQL_STATE_IDLE;
  client_answer_complete (client);
}

/* A failed transaction accepts only ROLLBACK and COMMIT. */
static void
client_handle_in_failed_txn (TouClient *client,
                             const TouSqlStatement *statement)
{
  if (statement->kind == TOU_SQL_ROLLBACK)
    client_rollback (client);
  else if (statement->kind == TOU_SQL_COMMIT)
    {
      client->state = TOU_SQL_STATE_IDLE;
      client_fail (client, TOU_SQL_E_ABORTED, "the transaction had failed",
                   NULL);
    }
  else
    client_answer_error (client, TOU_SQL_E_MALFORMED,
                         "the transaction has failed; roll it back");
}

/* TRUE if the statement begins an operation that might not end before the
   process does. */
static gboolean
client_is_too_late (const TouClient *client, const TouSqlStatement *statement)
{
  const TouProxy *proxy = client->proxy;

  switch (statement->kind)
    {
    case TOU_SQL_BEGIN:
    case TOU_SQL_READ:
    case TOU_SQL_WRITE:
    case TOU_SQL_EXECUTE:
      return client->state == TOU_SQL_STATE_IDLE && proxy->draining
             && tou_clock_us () >= proxy->end_txns_us;
    default:
      return FALSE;
    }
}

/* Changes the session's values or prepared statements. */
static void
client_change_state (TouClient *client, const TouSqlStatement *statement)
{
  if (!tou_intake_may_change (&client->intake, statement, &client->values,
                              client->prepared))
    {
      client_answer_error (client, TOU_SQL_E_TOO_LARGE,
                           "too many session values or prepared statements");
      return;
    }
  if (statement->kind == TOU_SQL_SET)
    tou_values_set (&client->values, statement->as.set.name,
                    statement->as.set.value);
  else if (statement->kind == TOU_SQL_PREPARE)
    tou_prepared_put (&client->prepared, statement);
  else
    tou_prepared_remove (client->prepared, statement);
  tou_intake_set_state (&client->intake, statement, &client->values,
                        client->prepared);
  client_answer_complete (client);
}

static void
client_handle_statement (TouClient *client, const TouSqlStatement *statement)
{
  gboolean open = client->state == TOU_SQL_STATE_OPEN;

  if (client_is_too_late (client, statement))
    {
      client_fail (client, TOU_SQL_E_BUSY, TOU_PROXY_STOPPING_REASON, NULL);
      return;
    }
  if (open && client->txn_lost && statement->kind != TOU_SQL_ROLLBACK)
    {
      if (statement->kind == TOU_SQL_COMMIT)
        client->state = TOU_SQL_STATE_IDLE;
      client_fail (client, TOU_SQL_E_ABORTED,
                   "the transaction's connection was lost", NULL);
      return;
    }
  switch (statement->kind)
    {
    case TOU_SQL_BEGIN:
      if (!open)
        {
          client_begin (client, statement);
          return;
        }
      break;
    case TOU_SQL_ROLLBACK:
      if (open)
        {
          client_rollback (client);
          return;
        }
      break;
    case TOU_SQL_COMMIT:
      if (open)
        {
          client_forward (client, statement, NULL);
          return;
        }
      break;
    case TOU_SQL_READ:
    case TOU_SQL_WRITE:
      client_forward (client, statement, NULL);
      return;
    case TOU_SQL_EXECUTE:
      client_execute (client, statement);
      return;
    case TOU_SQL_SET:
    case TOU_SQL_PREPARE:
    case TOU_SQL_DEALLOCATE:
      client_change_state (client, statement);
      return;
    case TOU_SQL_INVALID:
      break;
    }
  TOU_COUNT (client->proxy, MALFORMED);
  client_answer_error (client, TOU_SQL_E_MALFORMED,
                       "statement is not legal here");
}

static void
client_on_query (TouClient *client, const TouSqlClientMessage *message)
{
  TouSqlStatement statement;
  TouSlice text;

  client->busy = TRUE;
  TOU_COUNT (client->proxy, STATEMENTS);
  tou_sql_copy_query (client->intake.text, message, &client->id, &text);
  plat_wire_decode_statement (&statement, text);
  if (client->state == TOU_SQL_STATE_FAILED)
    client_handle_in_failed_txn (client, &statement);
  else
    client_handle_statement (client, &statement);
}

/* Sends an error and ends the session. */
static void
client_reject (TouClient *client, TouSqlError code, const char *reason)
{
  GString *out = g_string_new (NULL);

  plat_wire_put_error (out, code, reason);
  client_send (client, out);
  tou_client_close (client);
}

/* Closes an idle session whose key a new configuration no longer has. */
static void
client_check_key (TouClient *client)
{
  const TouRouting *routing = client->proxy->routing;
  TouSqlError error = TOU_SQL_E_OTHER;
  const char *reason;

  if (routing == NULL || routing->teams == NULL || !client->started
      || client->state != TOU_SQL_STATE_IDLE
      || client->checked_version == routing->version)
    return;
  client->checked_version = routing->version;
  if (!client_authorize (client, &error, &reason)
      && error == TOU_SQL_E_UNAUTHORIZED)
    tou_client_close (client);
}

/* Accepts the session if it may run operations. */
static void
client_admit (TouClient *client)
{
  TouSqlError error;
  const char *reason;
  GString *out;

  client->config_wait_since_us = 0;
  if (!client_authorize (client, &error, &reason))
    {
      client_reject (client, error, reason);
      return;
    }
  client->started = TRUE;
  out = g_string_new (NULL);
  plat_wire_put_ready (out, TOU_SQL_STATE_IDLE, (TouLogPos){ 0 });
  client_send (client, out);
}

static void
client_on_startup (TouClient *client, const TouSqlClientMessage *message)
{
  if (client->proxy->clients.length > tou_proxy_session_limit (client->proxy))
    client_reject (client, TOU_SQL_E_TOO_MANY_CONNECTIONS,
                   "too many sessions on this node; retry at another one");
  else
    {
      tou_name_shorten (&client->database, message->database.data,
                        message->database.len);
      client->key = tou_access_new_key (message->user);
      if (client->proxy->routing != NULL)
        client_admit (client);
      else
        client->config_wait_since_us = tou_clock_us ();
    }
}

/* After a restart the configuration arrives shortly, unless the store is down.
   Refusing sessions until then would use up the clients' retries. */
static void
client_tick_config_wait (TouClient *client, guint64 now_us)
{
  if (client->proxy->routing != NULL)
    client_admit (client);
  else if (now_us >= client->config_wait_since_us + CLIENT_STARTUP_WAIT_US)
    client_reject (client, TOU_SQL_E_BUSY, "no configuration yet");
}

static void
client_on_message (TouClient *client, TouSlice line)
{
  TouSqlClientMessage message;

  plat_wire_decode_client_message (&message, line);
  if (message.kind == TOU_SQL_CLIENT_STARTUP && !client->started
      && client->config_wait_since_us == 0)
    client_on_startup (client, &message);
  else if (message.kind == TOU_SQL_CLIENT_QUERY && client->started)
    client_on_query (client, &message);
  else if (message.kind == TOU_SQL_CLIENT_TERMINATE)
    tou_client_close (client);
  else
    {
      TOU_COUNT (client->proxy, MALFORMED);
      client_reject (client, TOU_SQL_E_MALFORMED, "message is not legal here");
    }
}

/* Handles the received messages, one statement at a time. */
static void
client_parse (TouClient *client)
{
  gsize used = 0;
  TouSlice line;

  if (client->parsing)
    return;
  client->parsing = TRUE;
  while (!client->closing && !client->busy
         && !tou_intake_is_blocked (&client->intake)
         && tou_intake_next_line (&client->intake, &line, &used))
    client_on_message (client, line);
  tou_intake_settle (&client->intake, used, client->busy);
  client->parsing = FALSE;
  if (!client->closing && client->intake.in->len > PLAT_WIRE_MAX_MESSAGE)
    client_reject (client, TOU_SQL_E_TOO_LARGE, "message is too long");
}

static void
client_on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  TouClient *client = stream->data;

  if (n < 0)
    {
      tou_client_close (client);
      return;
    }
  g_string_append_len (client->intake.in, buf->base, n);
  client_parse (client);
  tou_budget_enforce (client->proxy->budget);
}

static void
client_free (TouClient *client)
{
  if (client->request.tried != NULL)
    g_ptr_array_unref (client->request.tried);
  tou_values_clear (&client->values);
  g_free (client->key);
  g_clear_pointer (&client->prepared, g_hash_table_destroy);
  tou_intake_clear (&client->intake);
  g_free (client);
}

static void
client_on_closed (uv_handle_t *handle)
{
  client_free (handle->data);
}

/* A client with a running statement is freed when the statement ends. */
static gboolean
client_is_running (const TouClient *client)
{
  return client->busy && !client->request.item.queued
         && !client->credit_wait.waiting;
}

void
tou_client_close (TouClient *client)
{
  TouGroup *group;

  if (client->closing)
    return;
  client->close_requested = TRUE;
  tou_intake_stop (&client->intake);
  if (client_is_running (client))
    return;
  client->closing = TRUE;
  tou_budget_user_clear (&client->intake.user);
  client_return_credit (client);
  if (client->credit_wait.waiting)
    {
      /* At the end of the process, the waits have been dropped before. */
      if (client->proxy->credit != NULL)
        tou_credit_cancel (client->proxy->credit, &client->credit_wait);
    }
  else if (client->busy)
    {
      group = tou_group_get (client->proxy, &client->route.group);
      tou_queue_remove (client_queue (client, group), &client->request.item);
    }
  client_release_link (client);
  g_queue_unlink (&client->proxy->clients, &client->list_node);
  uv_close ((uv_handle_t *)&client->tcp, client_on_closed);
}

static TouClient *
client_of_intake (TouIntake *intake)
{
  return TOU_CONTAINER_OF (intake, TouClient, intake);
}

static void
client_on_intake_close (TouIntake *intake, const char *reason)
{
  TouClient *client = client_of_intake (intake);

  if (client_is_running (client))
    tou_client_close (client);
  else
    client_reject (client, TOU_SQL_E_BUSY, reason);
}

static void
client_on_intake_resume (TouIntake *intake)
{
  client_parse (client_of_intake (intake));
}

static const TouIntakeClass client_intake_class
    = { { "client", tou_intake_evict, tou_intake_check },
        client_on_intake_close,
        client_on_intake_resume,
        client_on_read,
        TOU_PREPARED_MAX,
        TOU_PREPARED_MAX_BYTES };

void
tou_client_accept (TouProxy *proxy, uv_stream_t *server)
{
  TouClient *client = g_new0 (TouClient, 1);

  client->proxy = proxy;
  client->pin.on_closed = client_on_link_closed;
  client->pin.end = client_end_txn;
  tou_intake_init (&client->intake, proxy, &client->tcp, &client_intake_class);
  client->pin.idle_since_us = tou_clock_us ();
  client->list_node.data = client;
  tou_values_init (&client->values);
  uv_tcp_init (proxy->loop, &client->tcp);
  client->tcp.data = client;
  g_queue_push_tail_link (&proxy->clients, &client->list_node);
  TOU_COUNT (proxy, SESSIONS);
  if (uv_accept (server, (uv_stream_t *)&client->tcp) != 0)
    {
      tou_client_close (client);
      return;
    }
  tou_stream_tune (&client->tcp);
  tou_intake_start (&client->intake);
  if (!tou_proxy_admit_connection (proxy, tou_clock_us ()))
    client_reject (client, TOU_SQL_E_TOO_MANY_CONNECTIONS,
                   "too many connections to this node; retry at another one");
}

void
tou_client_tick (TouClient *client, guint64 now_us)
{
  const TouProxy *proxy = client->proxy;
  guint64 idle_us
      = proxy->routing != NULL ? proxy->routing->txn_idle_us : G_MAXUINT64;

  if (client->busy || client->closing)
    return;
  if (client->config_wait_since_us != 0)
    {
      client_tick_config_wait (client, now_us);
      return;
    }
  client_check_key (client);
  if (client->closing)
    return;
  if (client->link != NULL
      && (now_us - client->pin.idle_since_us >= idle_us
          || (proxy->draining && now_us >= proxy->end_txns_us)))
    client_end_txn (&client->pin);
  /* An idle session can be closed without loss: the client reconnects to a node
     that can serve it. */
  if (tou_proxy_should_close_sessions (proxy, now_us) && client->started
      && client->state == TOU_SQL_STATE_IDLE && client->intake.in->len == 0)
    tou_client_close (client);
}
