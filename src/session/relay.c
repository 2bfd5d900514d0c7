#include "relay.h"

#include "direct.h"
#include "dispatch.h"
#include "idle-txn.h"
#include "intake.h"
#include "pacing.h"
#include "stream.h"
#include "unreachable.h"
#include "values.h"

#include "access.h"

#include "wire.h"

#include <stdio.h>
#include <string.h>

/* Timeout of a statement run for another node, which itself stops waiting at
   its client's deadline: the longest configured timeout, 10 s, and a margin. */
#define RELAY_STATEMENT_TIMEOUT_US (12 * TOU_US_PER_S)
/* Time after the idle timeout at which a transaction is ended if the other node
   has not ended it. */
#define RELAY_IDLE_MARGIN_US (500 * TOU_US_PER_MS)
/* Maximum wait for a link while open transactions have pinned all of them and
   none ends in time; another endpoint may have an idle one. */
#define RELAY_LINK_WAIT_US (500 * TOU_US_PER_MS)
/* Maximum number of queued statements per rank: twice as many as a database
   queues itself. */
#define RELAY_QUEUE_LIMIT 64
/* A statement that waits or runs for this long is reported to the other node at
   this interval, which tells a long wait from a gateway that is cut off. */
#define RELAY_PROGRESS_US (150 * TOU_US_PER_MS)
/* Listen backlog for connections of other nodes. */
#define RELAY_BACKLOG 512

/* Keyword and maximum length of the line with a statement's rank. */
#define RELAY_RANK_KEYWORD "RANK"
#define RELAY_RANK_MAX (40 + TOU_NAME_MAX)
/* Maximum length of the reason for a refusal, in bytes. */
#define RELAY_REASON_MAX 80
/* Line that reports a statement in progress. */
#define RELAY_PROGRESS_LINE "WAIT"
/* Line that says that the gateway's process will end; sent between statements.
 */
#define RELAY_STOPPING_LINE "STOP"
#define RELAY_STOPPING_REASON "this node is stopping"

struct TouRelay
{
  TouProxy *proxy;
  TouName peer;          /* the other node */
  TouEndpoint *endpoint; /* NULL until the session has started */
  GList list_node;       /* in the endpoint's list, or in new_relays */
  TouQueueItem item;     /* in the endpoint's queue; has rank and deadline */
  uv_tcp_t tcp;
  TouIntake intake;
  gboolean parsing;
  gboolean closing;         /* the connection is being freed */
  gboolean close_requested; /* closes when its statement ends */
  gboolean busy;            /* a statement is queued or running */
  gboolean told_stopping;   /* RELAY_STOPPING_LINE was sent */
  guint64 last_activity_us; /* last statement received or answered */
  guint64 progress_us;      /* when the other node last received something */
  TouName team;             /* of the next or running statement; may be empty */
  TouSqlValues values;
  GHashTable *prepared;
  TouLink *link; /* pinned by the open transaction */
  TouPin pin;
  TouSlice id;
  TouTask task;
};

static void relay_parse (TouRelay *relay);

static TouRelay *
relay_of_item (TouQueueItem *item)
{
  return TOU_CONTAINER_OF (item, TouRelay, item);
}

static void
relay_send (TouRelay *relay, GString *message)
{
  if (!relay->closing && !relay->close_requested)
    tou_intake_send (&relay->intake, message);
  g_string_free (message, TRUE);
}

static void
relay_on_closed (uv_handle_t *handle)
{
  TouRelay *relay = handle->data;

  tou_values_clear (&relay->values);
  g_clear_pointer (&relay->prepared, g_hash_table_destroy);
  tou_intake_clear (&relay->intake);
  g_free (relay);
}

static void
relay_release_link (TouRelay *relay)
{
  TouLink *link = relay->link;

  relay->link = NULL;
  if (link != NULL)
    tou_link_unpin (link);
}

/* A session with a running statement is closed when the statement ends. */
static void
relay_close (TouRelay *relay)
{
  if (relay->closing)
    return;
  relay->close_requested = TRUE;
  tou_intake_stop (&relay->intake);
  if (relay->busy && !relay->item.queued)
    return;
  relay->closing = TRUE;
  relay->proxy->n_relays--;
  tou_budget_user_clear (&relay->intake.user);
  if (relay->item.queued)
    tou_queue_remove (relay->endpoint->relay_queue, &relay->item);
  relay_release_link (relay);
  g_queue_unlink (relay->endpoint != NULL ? &relay->endpoint->relays
                                          : &relay->proxy->new_relays,
                  &relay->list_node);
  uv_close ((uv_handle_t *)&relay->tcp, relay_on_closed);
}

static void
relay_reject (TouRelay *relay, TouSqlError code, const char *reason)
{
  GString *out = g_string_new (NULL);

  plat_wire_put_error (out, code, reason);
  relay_send (relay, out);
  relay_close (relay);
}

/* Answers a statement that changes only the session. */
static void
relay_answer_complete (TouRelay *relay)
{
  GString *out = g_string_new (NULL);

  plat_wire_put_complete (out, NULL);
  plat_wire_put_ready (
      out, relay->link != NULL ? TOU_SQL_STATE_OPEN : TOU_SQL_STATE_IDLE,
      (TouLogPos){ 0 });
  relay_send (relay, out);
}

/* Refuses a statement that has not run, outside a transaction. */
static void
relay_refuse (TouRelay *relay, const char *reason)
{
  GString *out = g_string_new (NULL);

  TOU_COUNT (relay->proxy, RELAY_REFUSED);
  tou_evlog (TOU_EVLOG_FAILURE, "relay_refused",
             "\"endpoint\":\"%s\",\"reason\":\"%s\",\"links\":%u,"
             "\"busy\":%u",
             relay->endpoint->info.id.data, reason, relay->endpoint->links->len,
             relay->endpoint->n_busy);
  relay->busy = FALSE;
  plat_wire_put_error (out, TOU_SQL_E_BUSY, reason);
  plat_wire_put_ready (out, TOU_SQL_STATE_IDLE, (TouLogPos){ 0 });
  relay_send (relay, out);
}

static void
relay_on_link_closed (TouPin *pin)
{
  TouRelay *relay = TOU_CONTAINER_OF (pin, TouRelay, pin);

  relay->link = NULL;
  relay_close (relay);
}

/* The other node receives the end of its transaction as a lost connection. */
static void
relay_end_txn (TouPin *pin)
{
  relay_close (TOU_CONTAINER_OF (pin, TouRelay, pin));
}

static void
relay_on_answer (TouRelay *relay, TouLink *link, const TouTaskResult *result)
{
  GString *out = g_string_sized_new (result->lines->len + 32);

  g_string_append_len (out, result->lines->str, (gssize)result->lines->len);
  plat_wire_put_ready (out, result->state, result->pos);
  relay_send (relay, out);
  if (result->state == TOU_SQL_STATE_IDLE)
    relay_release_link (relay);
  else if (relay->link == NULL && link != NULL)
    {
      relay->link = link;
      tou_link_pin (link, &relay->pin);
    }
}

/* Refuses a statement because of the queue's limits. */
static void
relay_refuse_queued (TouRelay *relay, guint64 retry_us)
{
  char reason[RELAY_REASON_MAX];

  g_snprintf (reason, sizeof reason,
              "queue is too long; retry after %" G_GUINT64_FORMAT " ms",
              retry_us / TOU_US_PER_MS);
  relay_refuse (relay, reason);
}

/* Refuses a statement that gave its place to one of another team. */
static void
relay_evict (TouRelay *relay, guint64 retry_us)
{
  TOU_COUNT (relay->proxy, EVICTED);
  relay_refuse_queued (relay, retry_us);
  relay_parse (relay);
}

/* Queues the statement until a link is idle and the endpoint has room. */
static void
relay_enqueue (TouRelay *relay)
{
  TouEndpoint *endpoint = relay->endpoint;
  guint64 retry_us = 0;
  TouQueueItem *evicted;
  int status;

  relay->item.flow = relay->task.team;
  relay->item.probe
      = endpoint->n_busy == 0 && tou_queue_length (endpoint->relay_queue) == 0;
  status = tou_queue_push (endpoint->relay_queue, &relay->item, tou_clock_us (),
                           &retry_us, &evicted);
  if (status != TOU_OK)
    relay_refuse_queued (relay, retry_us);
  else if (evicted != NULL)
    relay_evict (relay_of_item (evicted), retry_us);
}

static void
relay_measure (TouRelay *relay, guint64 now_us)
{
  TouEndpoint *endpoint = relay->endpoint;
  guint64 elapsed_us = MIN (now_us - relay->task.sent_us, TOU_SERVICE_MAX_US);

  tou_window_answered (&endpoint->window, elapsed_us,
                       endpoint->group->target_us, endpoint->info.slots,
                       now_us);
  tou_queue_record_cost (endpoint->relay_queue, relay->item.rank, elapsed_us,
                         now_us);
}

static void
relay_on_result (TouTask *task, TouLink *link, const TouTaskResult *result)
{
  TouRelay *relay = TOU_CONTAINER_OF (task, TouRelay, task);
  TouEndpoint *endpoint = relay->endpoint;
  gboolean in_txn = relay->link != NULL;
  guint64 now_us = tou_clock_us ();
  gboolean busy = result->outcome == TOU_TASK_ANSWERED && !result->complete
                  && result->error == TOU_SQL_E_BUSY;

  relay->busy = FALSE;
  relay->last_activity_us = now_us;
  relay->pin.idle_since_us = now_us;
  if (link == NULL)
    relay->link = NULL;
  tou_pacing_on_result (endpoint, task, result, now_us);
  if (busy)
    tou_window_refused (&endpoint->window, now_us);
  else if (result->outcome == TOU_TASK_ANSWERED)
    relay_measure (relay, now_us);
  if (busy && !in_txn && !relay->close_requested)
    {
      relay->busy = TRUE;
      relay_enqueue (relay);
    }
  else if (result->outcome == TOU_TASK_ANSWERED)
    relay_on_answer (relay, link, result);
  else if (result->outcome == TOU_TASK_NOT_RUN && !in_txn)
    relay_refuse (relay, "not taken by the database");
  else
    relay->close_requested = TRUE;
  if (relay->close_requested)
    relay_close (relay);
  else
    relay_parse (relay);
  tou_dispatch_group (endpoint->group);
}

static void
relay_run (TouRelay *relay, TouLink *link)
{
  TOU_COUNT (relay->proxy, RELAYED);
  relay->task.deadline_us = tou_clock_us () + RELAY_STATEMENT_TIMEOUT_US;
  tou_link_run (link, &relay->task);
}

void
tou_relay_dispatch (TouEndpoint *endpoint, guint64 now_us)
{
  TouQueueItem *item;

  /* A node that stands in uses its own connections only. */
  if (endpoint->relay_queue == NULL || endpoint->direct_failed_us != 0
      || (endpoint->standin_until_us != 0 && endpoint->gateway.len > 0)
      || tou_endpoint_has_left (endpoint, now_us))
    return;
  while ((item = tou_dispatch_next (endpoint->relay_queue, endpoint, now_us))
         != NULL)
    {
      TouRelay *relay = relay_of_item (item);

      relay_run (relay, tou_endpoint_idle_link (endpoint, &relay->task));
    }
}

/* Maximum wait for a link that idle transactions hold until @a end_us. A write
   has no other endpoint. */
static guint64
relay_link_wait_us (const TouRelay *relay, guint64 end_us)
{
  if (end_us < relay->item.deadline_us
      && (relay->endpoint == tou_group_recorded_primary (relay->endpoint->group)
          || end_us < relay->last_activity_us + 2 * RELAY_LINK_WAIT_US))
    return RELAY_STATEMENT_TIMEOUT_US;
  return RELAY_LINK_WAIT_US;
}

gboolean
tou_relay_is_progress (TouSlice line)
{
  return tou_slice_is (line, RELAY_PROGRESS_LINE);
}

gboolean
tou_relay_is_stopping (TouSlice line)
{
  return tou_slice_is (line, RELAY_STOPPING_LINE);
}

static gboolean
relay_has_work (const TouRelay *relay)
{
  return relay->busy || relay->link != NULL;
}

gboolean
tou_relay_has_work (const TouEndpoint *endpoint)
{
  for (const GList *list_node = endpoint->relays.head; list_node != NULL;
       list_node = list_node->next)
    if (relay_has_work (list_node->data))
      return TRUE;
  return FALSE;
}

static void
relay_tell_stopping (TouRelay *relay)
{
  if (!relay->proxy->deregistered || relay->told_stopping
      || relay_has_work (relay))
    return;
  relay->told_stopping = TRUE;
  relay_send (relay, g_string_new (RELAY_STOPPING_LINE "\r\n"));
}

static void
relay_report_progress (TouRelay *relay, guint64 now_us)
{
  if (!relay->busy || now_us < relay->progress_us + RELAY_PROGRESS_US)
    return;
  relay->progress_us = now_us;
  relay_send (relay, g_string_new (RELAY_PROGRESS_LINE "\r\n"));
}

/* Refuses a statement that has waited too long for a link, and closes an idle
   session if its transaction has timed out or the database is unavailable. The
   other node receives the reason when it opens its next session. */
static void
relay_check (TouRelay *relay, gboolean unavailable, guint64 txn_end_us,
             guint64 now_us)
{
  const TouRouting *routing = relay->proxy->routing;

  if (relay->item.queued)
    {
      if (txn_end_us == 0
          || now_us < relay->last_activity_us
                          + relay_link_wait_us (relay, txn_end_us))
        return;
      tou_queue_remove (relay->endpoint->relay_queue, &relay->item);
      relay_refuse (relay, "transactions hold all connections");
      relay_parse (relay);
      return;
    }
  if (relay->busy)
    return;
  /* The other node ends idle transactions itself, unless it has failed. */
  if (relay->link == NULL
          ? unavailable
          : routing != NULL
                && now_us >= relay->last_activity_us + routing->txn_idle_us
                                 + RELAY_IDLE_MARGIN_US)
    relay_close (relay);
}

void
tou_relay_tick (TouEndpoint *endpoint, guint64 now_us)
{
  char unreachable[TOU_UNREACHABLE_TEXT_MAX];
  const char *reason = tou_endpoint_has_left (endpoint, now_us)
                           ? "database is leaving"
                       : !tou_direct_serves (endpoint) ? unreachable
                                                       : NULL;
  guint64 txn_end_us;
  TouQueueItem *item;
  GList *next;

  if (endpoint->relay_queue == NULL)
    return;
  tou_unreachable_text (unreachable, tou_direct_hint (endpoint));
  if (endpoint->relays.length > 0 && endpoint->standin_until_us != 0)
    tou_direct_on_request (endpoint, now_us);
  txn_end_us = tou_idle_txn_end_us (endpoint);
  for (GList *list_node = endpoint->relays.head; list_node != NULL;
       list_node = next)
    {
      next = list_node->next;
      relay_report_progress (list_node->data, now_us);
      relay_tell_stopping (list_node->data);
      relay_check (list_node->data, reason != NULL, txn_end_us, now_us);
    }
  while ((item = reason != NULL
                     ? tou_queue_pop_any (endpoint->relay_queue)
                     : tou_queue_pop_expired (endpoint->relay_queue, now_us))
         != NULL)
    {
      TouRelay *relay = relay_of_item (item);

      relay_refuse (relay,
                    reason != NULL ? reason : "waited until its time-out");
      relay_parse (relay);
    }
}

/* Runs the statement on the transaction's link, or queues it. */
static void
relay_submit (TouRelay *relay, const TouSqlStatement *statement, TouSlice text,
              TouLogPos after)
{
  TouTask *task = &relay->task;

  memset (task, 0, sizeof *task);
  task->done = relay_on_result;
  task->assigned_endpoint = relay->endpoint;
  task->relayed = TRUE;
  task->text = text;
  task->after = after;
  task->values = &relay->values;
  if (relay->team.len > 0)
    task->team = &relay->team;
  if (!plat_wire_is_internal (relay->id))
    task->id = &relay->id;
  if (statement->kind == TOU_SQL_EXECUTE)
    {
      task->prepared = tou_prepared_find (relay->prepared, statement);
      task->arguments = statement->as.execute.arguments;
    }
  relay->busy = TRUE;
  relay->last_activity_us = tou_clock_us ();
  relay->progress_us = relay->last_activity_us;
  if (relay->link != NULL)
    {
      relay_run (relay, relay->link);
      return;
    }
  if (relay->proxy->deregistered)
    {
      relay_refuse (relay, RELAY_STOPPING_REASON);
      return;
    }
  /* No connection can be opened for it; this node may have an older
     configuration than the other one. */
  if (tou_access_full_name (relay->proxy->routing, &relay->team) == NULL)
    {
      relay_refuse (relay, "the team is not known at this node");
      return;
    }
  relay_enqueue (relay);
  tou_dispatch_group (relay->endpoint->group);
}

/* Handles a statement by which the other node controls its session and which
   needs no database. @return FALSE if it is another statement */
static gboolean
relay_handle_control (TouRelay *relay, const TouSqlStatement *statement,
                      TouSlice text)
{
  if (!tou_intake_may_change (&relay->intake, statement, &relay->values,
                              relay->prepared))
    {
      relay_close (relay);
      return TRUE;
    }
  switch (statement->kind)
    {
    case TOU_SQL_SET:
      tou_values_set (&relay->values, statement->as.set.name,
                      statement->as.set.value);
      break;
    case TOU_SQL_PREPARE:
      tou_prepared_put (&relay->prepared, statement);
      break;
    case TOU_SQL_ROLLBACK:
      relay_release_link (relay);
      break;
    case TOU_SQL_INVALID:
      if (!tou_slice_is (text, PLAT_WIRE_RESET_TEXT))
        return FALSE;
      tou_values_reset (&relay->values);
      g_clear_pointer (&relay->prepared, g_hash_table_destroy);
      break;
    case TOU_SQL_BEGIN:
    case TOU_SQL_COMMIT:
    case TOU_SQL_READ:
    case TOU_SQL_WRITE:
    case TOU_SQL_EXECUTE:
    case TOU_SQL_DEALLOCATE:
      return FALSE;
    }
  tou_intake_set_state (&relay->intake, statement, &relay->values,
                        relay->prepared);
  relay_answer_complete (relay);
  return TRUE;
}

static void
relay_on_query (TouRelay *relay, const TouSqlClientMessage *message)
{
  TouSqlStatement statement;
  TouLogPos after;
  TouSlice text;

  tou_sql_copy_query (relay->intake.text, message, &relay->id, &text);
  if (!plat_wire_parse_after (&after, &text))
    {
      TOU_COUNT (relay->proxy, MALFORMED);
      relay_close (relay);
      return;
    }
  plat_wire_decode_statement (&statement, text);
  if (plat_wire_is_internal (relay->id)
      && relay_handle_control (relay, &statement, text))
    return;
  relay_submit (relay, &statement, text, after);
}

/* The gateways of a database share its slots equally. */
static void
relay_configure_queue (TouEndpoint *endpoint)
{
  guint slots = MAX (endpoint->info.slots / MAX (endpoint->n_gateways, 1), 1);

  if (endpoint->relay_queue == NULL)
    tou_queue_create (&endpoint->relay_queue, RELAY_QUEUE_LIMIT, slots);
  tou_queue_configure (endpoint->relay_queue, slots, tou_rank_floors);
}

static void
relay_on_startup (TouRelay *relay, const TouSqlClientMessage *message)
{
  TouEndpoint *endpoint = NULL;
  char unreachable[TOU_UNREACHABLE_TEXT_MAX];
  TouName id;
  GString *out;

  if (message->user.len <= TOU_NAME_MAX
      && tou_name_set (&id, message->endpoint.data, message->endpoint.len)
             == TOU_OK)
    endpoint = g_hash_table_lookup (relay->proxy->endpoints, &id);
  if (endpoint == NULL || tou_endpoint_has_left (endpoint, tou_clock_us ())
      || !tou_slice_is (message->database, endpoint->group->name.data))
    {
      relay_reject (relay, TOU_SQL_E_MOVED, "not known at this node");
      return;
    }
  if (relay->proxy->deregistered)
    {
      relay_reject (relay, TOU_SQL_E_BUSY, RELAY_STOPPING_REASON);
      return;
    }
  tou_direct_on_request (endpoint, tou_clock_us ());
  if (!tou_direct_serves (endpoint))
    {
      tou_unreachable_text (unreachable, tou_direct_hint (endpoint));
      relay_reject (relay, TOU_SQL_E_BUSY, unreachable);
      return;
    }
  tou_name_set (&relay->peer, message->user.data, message->user.len);
  relay->endpoint = endpoint;
  g_queue_unlink (&relay->proxy->new_relays, &relay->list_node);
  g_queue_push_tail_link (&endpoint->relays, &relay->list_node);
  relay_configure_queue (endpoint);
  TOU_COUNT (relay->proxy, RELAY_SESSIONS);
  out = g_string_new (NULL);
  plat_wire_put_ready (out, TOU_SQL_STATE_IDLE, (TouLogPos){ 0 });
  relay_send (relay, out);
}

/* Parses the RANK line that other nodes send before a statement, an extension
   of the databases' protocol: the statement's rank, the ms until its deadline,
   and its team, if it has one. @return FALSE if it is another line */
static gboolean
relay_parse_rank (TouRelay *relay, TouSlice line)
{
  char text[RELAY_RANK_MAX + 1] = "";
  unsigned int rank;
  guint64 left_ms;
  int team_at = 0;

  if (line.len > RELAY_RANK_MAX)
    return FALSE;
  memcpy (text, line.data, line.len);
  if (sscanf (text, RELAY_RANK_KEYWORD " %u %" G_GUINT64_FORMAT " %n", &rank,
              &left_ms, &team_at)
          != 2
      || rank >= TOU_RANK_COUNT
      || tou_name_set_c (&relay->team, text + team_at) != TOU_OK)
    return FALSE;
  relay->item.rank = (TouRank)rank;
  relay->item.deadline_us
      = tou_clock_us ()
        + MIN (left_ms * TOU_US_PER_MS, (guint64)RELAY_STATEMENT_TIMEOUT_US);
  return TRUE;
}

void
tou_relay_put_rank (GString *out, TouRank rank, guint64 deadline_us,
                    const TouName *team)
{
  guint64 now_us = tou_clock_us ();

  g_string_append_printf (
      out, RELAY_RANK_KEYWORD " %u %" G_GUINT64_FORMAT "%s%s\r\n", (guint)rank,
      (deadline_us - MIN (now_us, deadline_us)) / TOU_US_PER_MS,
      team != NULL ? " " : "", team != NULL ? team->data : "");
}

static void
relay_on_message (TouRelay *relay, TouSlice line)
{
  TouSqlClientMessage message;

  if (relay_parse_rank (relay, line))
    return;
  plat_wire_decode_client_message (&message, line);
  if (message.kind == TOU_SQL_CLIENT_STARTUP && relay->endpoint == NULL)
    relay_on_startup (relay, &message);
  else if (message.kind == TOU_SQL_CLIENT_QUERY && relay->endpoint != NULL)
    relay_on_query (relay, &message);
  else
    {
      if (message.kind == TOU_SQL_CLIENT_INVALID)
        TOU_COUNT (relay->proxy, MALFORMED);
      relay_close (relay);
    }
}

static void
relay_parse (TouRelay *relay)
{
  gsize used = 0;
  TouSlice line;

  if (relay->parsing)
    return;
  relay->parsing = TRUE;
  while (!relay->close_requested && !relay->busy
         && !tou_intake_is_blocked (&relay->intake)
         && tou_intake_next_line (&relay->intake, &line, &used))
    relay_on_message (relay, line);
  tou_intake_settle (&relay->intake, used, relay->busy);
  relay->parsing = FALSE;
  if (!relay->close_requested && relay->intake.in->len > PLAT_WIRE_MAX_MESSAGE)
    relay_close (relay);
}

static void
relay_on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  TouRelay *relay = stream->data;

  if (n < 0)
    {
      relay_close (relay);
      return;
    }
  g_string_append_len (relay->intake.in, buf->base, n);
  relay_parse (relay);
  tou_budget_enforce (relay->proxy->budget);
}

static TouRelay *
relay_of_intake (TouIntake *intake)
{
  return TOU_CONTAINER_OF (intake, TouRelay, intake);
}

static void
relay_on_intake_close (TouIntake *intake, const char *reason)
{
  (void)reason;
  relay_close (relay_of_intake (intake));
}

static void
relay_on_intake_resume (TouIntake *intake)
{
  relay_parse (relay_of_intake (intake));
}

static const TouIntakeClass relay_intake_class
    = { { "node", tou_intake_evict, tou_intake_check },
        relay_on_intake_close,
        relay_on_intake_resume,
        relay_on_read,
        TOU_PREPARED_RELAY_MAX,
        TOU_PREPARED_RELAY_MAX_BYTES };

gboolean
tou_relay_close_silent (TouProxy *proxy, guint64 before_us)
{
  TouRelay *relay
      = proxy->new_relays.head != NULL ? proxy->new_relays.head->data : NULL;

  if (relay == NULL || relay->last_activity_us > before_us)
    return FALSE;
  relay_close (relay);
  return TRUE;
}

static void
relay_on_connection (uv_stream_t *server, int status)
{
  TouProxy *proxy = server->data;
  TouRelay *relay;

  if (status != 0)
    {
      tou_evlog (TOU_EVLOG_FAILURE, "accept_node", "\"error\":\"%s\"",
                 uv_strerror (status));
      return;
    }
  relay = g_new0 (TouRelay, 1);
  relay->proxy = proxy;
  relay->list_node.data = relay;
  relay->last_activity_us = tou_clock_us ();
  g_queue_push_tail_link (&proxy->new_relays, &relay->list_node);
  proxy->n_relays++;
  tou_intake_init (&relay->intake, proxy, &relay->tcp, &relay_intake_class);
  relay->pin.on_closed = relay_on_link_closed;
  relay->pin.end = relay_end_txn;
  relay->pin.relayed = TRUE;
  tou_values_init (&relay->values);
  uv_tcp_init (proxy->loop, &relay->tcp);
  relay->tcp.data = relay;
  if (uv_accept (server, (uv_stream_t *)&relay->tcp) != 0)
    {
      relay_close (relay);
      return;
    }
  tou_stream_tune (&relay->tcp);
  tou_intake_start (&relay->intake);
  if (!tou_proxy_admit_connection (proxy, tou_clock_us ()))
    relay_reject (relay, TOU_SQL_E_TOO_MANY_CONNECTIONS,
                  "too many connections to this node");
}

void
tou_relay_close_all (TouEndpoint *endpoint, const TouName *peer)
{
  GList *next;

  for (GList *list_node = endpoint->relays.head; list_node != NULL;
       list_node = next)
    {
      TouRelay *relay = list_node->data;

      next = list_node->next;
      if (peer == NULL || tou_name_equal (peer, &relay->peer))
        relay_close (relay);
    }
}

void
tou_relay_end_endpoint (TouEndpoint *endpoint)
{
  tou_relay_close_all (endpoint, NULL);
  tou_queue_destroy (endpoint->relay_queue);
}

int
tou_relay_listen (TouProxy *proxy)
{
  return tou_stream_listen (proxy->loop, &proxy->relay_listener,
                            &proxy->settings.peers_listen, RELAY_BACKLOG, proxy,
                            relay_on_connection);
}
