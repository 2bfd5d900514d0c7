#include "link-private.h"

#include "direct.h"
#include "dispatch.h"
#include "relay.h"
#include "stream.h"
#include "values.h"

#include "access.h"

#include "wire.h"

#include <string.h>

/* Timeout for opening a link: 12 ms on a slot and two round trips within the
   region, behind a full queue of 24 statements of 30 ms on 3 slots. */
#define LINK_OPEN_TIMEOUT_US (600 * TOU_US_PER_MS)
/* Pause before the next link to a database that refused one for lack of
   connections or does not listen. Connections become free as transactions
   end. */
#define LINK_PAUSE_US (100 * TOU_US_PER_MS)
/* The same for a database that rejected the startup message. Its registration
   must change before a link can succeed. */
#define LINK_REJECTED_PAUSE_US TOU_US_PER_S
/* Maximum silence of a gateway while a statement is in flight: three reports of
   its progress. */
#define LINK_GATEWAY_SILENT_US (500 * TOU_US_PER_MS)
/* Maximum size of a buffered reply in bytes. */
#define LINK_MAX_ANSWER ((gsize)4 * PLAT_WIRE_MAX_MESSAGE)

TouEndpoint *
tou_link_endpoint (const TouLink *link)
{
  return link->endpoint;
}

static void
link_on_closed (uv_handle_t *handle)
{
  TouLink *link = handle->data;

  tou_values_clear (&link->values);
  g_clear_pointer (&link->full_team, g_ref_string_release);
  g_hash_table_destroy (link->prepared);
  g_string_free (link->in, TRUE);
  g_string_free (link->lines, TRUE);
  g_array_unref (link->steps);
  g_free (link);
}

/* Accounts for the link's buffers and values. */
static void
link_settle (TouLink *link)
{
  tou_budget_trim (link->in);
  tou_budget_set (&link->user, TOU_BUDGET_REPLY,
                  link->in->len + link->lines->len);
  tou_budget_set (&link->user, TOU_BUDGET_STATE, link->values.bytes);
  tou_budget_set (&link->user, TOU_BUDGET_OUTPUT,
                  uv_stream_get_write_queue_size ((uv_stream_t *)&link->tcp));
}

static void
link_on_evict (TouBudgetUser *user)
{
  TouLink *link = TOU_CONTAINER_OF (user, TouLink, user);

  TOU_COUNT (link->endpoint->proxy, SESSIONS_EVICTED);
  tou_link_close (link, "this node is short of memory");
}

static void
link_on_check (TouBudgetUser *user, guint64 now_us)
{
  (void)now_us;
  link_settle (TOU_CONTAINER_OF (user, TouLink, user));
}

static const TouBudgetClass link_budget_class
    = { "database", link_on_evict, link_on_check };

static void
link_send (TouLink *link, GString *message)
{
  tou_stream_send ((uv_stream_t *)&link->tcp, message->str, message->len);
  g_string_free (message, TRUE);
  link_settle (link);
}

static void
link_clear_answer (TouLink *link)
{
  g_string_truncate (link->lines, 0);
  link->row_len = 0;
  link->answered = FALSE;
  link->complete = FALSE;
  link->unreachable = FALSE;
}

/* Ends the task; its callback may run another task on the link. */
static void
link_finish (TouLink *link, TouTaskOutcome outcome, TouSqlState state,
             TouLogPos pos)
{
  TouTask *task = link->task;
  TouTaskResult result = { 0 };
  GString *lines = link->lines;

  link->task = NULL;
  link->endpoint->n_busy--;
  link->since_us = tou_clock_us ();
  result.outcome = outcome;
  result.unreachable = link->unreachable;
  result.complete = link->complete;
  result.error = link->error;
  result.lines = lines;
  result.row.data = lines->str + link->row_start;
  result.row.len = link->row_len;
  result.state = state;
  result.pos = pos;
  link->lines = g_string_new (NULL);
  task->done (task, link->closed ? NULL : link, &result);
  g_string_free (lines, TRUE);
}

/* TRUE if the reply to the task's statement itself, not to a setup step, was
   received. It is valid even if the READY message is missing. */
static gboolean
link_has_answer (const TouLink *link)
{
  return link->answered && link->steps->len > 0
         && g_array_index (link->steps, LinkStep, 0) == STEP_STATEMENT;
}

void
tou_link_close (TouLink *link, const char *reason)
{
  TouEndpoint *endpoint = link->endpoint;
  TouTask *task = link->task;
  TouPin *pin = link->pin;

  if (link->closed)
    return;
  link->closed = TRUE;
  tou_budget_user_clear (&link->user);
  link->pin = NULL;
  g_ptr_array_remove_fast (endpoint->links, link);
  if (reason != NULL)
    tou_evlog (
        TOU_EVLOG_FAILURE, "link_closed",
        "\"endpoint\":\"%s\",\"reason\":\"%s\",\"age_ms\":%" G_GUINT64_FORMAT
        ",\"running\":%s",
        endpoint->info.id.data, reason,
        (tou_clock_us () - link->since_us) / TOU_US_PER_MS,
        task != NULL ? "true" : "false");
  if (task != NULL)
    {
      gboolean sent = task->sent_us != 0;
      gboolean done = link_has_answer (link) && link->complete;

      if (!done)
        {
          link->complete = FALSE;
          link->error = TOU_SQL_E_OTHER;
        }
      link_finish (link,
                   !sent  ? TOU_TASK_NOT_RUN
                   : done ? TOU_TASK_ANSWERED
                          : TOU_TASK_LOST,
                   TOU_SQL_STATE_IDLE, (TouLogPos){ 0 });
    }
  else if (pin != NULL)
    pin->on_closed (pin);
  uv_close ((uv_handle_t *)&link->tcp, link_on_closed);
}

static void
link_forget_prepared (TouLink *link)
{
  g_hash_table_remove_all (link->prepared);
  link->prepared_bytes = 0;
}

static void
link_push_step (TouLink *link, LinkStep step)
{
  g_array_append_val (link->steps, step);
}

/* Resets the session, which removes its values and prepared statements. */
static void
link_put_reset (TouLink *link, GString *out)
{
  TOU_COUNT (link->endpoint->proxy, RESETS);
  link_push_step (link, STEP_RESET);
  plat_wire_put_reset (out);
  tou_values_reset (&link->values);
  link_forget_prepared (link);
}

/* Sets the link's session values to @a target. The following statements are
   sent without waiting for the replies, because RESET and SET use no slot and
   are not refused. */
static void
link_put_values (TouLink *link, const TouSqlValues *target, GString *out)
{
  TouValuesStep step;
  guint i;

  while ((step = tou_values_next_step (&link->values, target, &i))
         != TOU_VALUES_EQUAL)
    {
      const char *name;
      const char *value;

      if (step == TOU_VALUES_RESET)
        {
          link_put_reset (link, out);
          continue;
        }
      name = g_ptr_array_index (target->names, i);
      value = g_ptr_array_index (target->values, i);
      TOU_COUNT (link->endpoint->proxy, SETS);
      link_push_step (link, STEP_SET);
      plat_wire_put_set (out, name, value);
      tou_values_set (&link->values, (TouSlice){ name, strlen (name) },
                      (TouSlice){ value, strlen (value) });
    }
}

/* TRUE if the link has to be reset before the statement is prepared on it. */
static gboolean
link_is_full (const TouLink *link, const TouPrepared *prepared)
{
  guint n = g_hash_table_size (link->prepared);

  return n > 0 && !link->in_txn
         && !g_hash_table_contains (link->prepared, prepared->link_name)
         && (n >= TOU_PREPARED_LINK_MAX
             || link->prepared_bytes + strlen (prepared->shape)
                    > TOU_PREPARED_LINK_MAX_BYTES);
}

static void
link_put_prepare (TouLink *link, const TouPrepared *prepared, GString *out)
{
  if (g_hash_table_contains (link->prepared, prepared->link_name))
    return;
  TOU_COUNT (link->endpoint->proxy, PREPARES);
  link_push_step (link, STEP_PREPARE);
  plat_wire_put_prepare (out, prepared->link_name, prepared->writes,
                         prepared->shape);
  g_hash_table_add (link->prepared, g_strdup (prepared->link_name));
  link->prepared_bytes += strlen (prepared->shape);
}

static void
link_put_statement (TouLink *link, GString *out)
{
  TouTask *task = link->task;
  /* In a transaction, the condition was sent with BEGIN. */
  const TouLogPos *after = link->in_txn ? NULL : &task->after;
  GString *text;

  link_push_step (link, STEP_STATEMENT);
  task->sent_us = tou_clock_us ();
  if (task->prepared == NULL)
    {
      plat_wire_put_query (out, task->id, after, task->text);
      return;
    }
  text = g_string_new (NULL);
  plat_wire_put_execute_text (text, task->prepared->link_name, task->arguments);
  plat_wire_put_query (out, task->id, after,
                       (TouSlice){ text->str, text->len });
  g_string_free (text, TRUE);
}

/* Sends the setup steps of the task and its statement. If a transaction must be
   begun, the statement is sent only after the reply to BEGIN, because it must
   not run outside the transaction. */
static void
link_advance (TouLink *link)
{
  TouTask *task = link->task;
  GString *out = g_string_sized_new (256);

  if (task->prepared != NULL && link_is_full (link, task->prepared))
    link_put_reset (link, out);
  if (task->values != NULL)
    link_put_values (link, task->values, out);
  if (task->prepared != NULL)
    link_put_prepare (link, task->prepared, out);
  if (link->gateway_node.len > 0 && !link->in_txn)
    tou_relay_put_rank (out, task->rank, task->deadline_us, task->team);
  if (task->begin && !link->in_txn)
    {
      TOU_COUNT (link->endpoint->proxy, BEGINS);
      link_push_step (link, STEP_BEGIN);
      plat_wire_put_begin (out, &task->after, task->begin_read_only);
    }
  else
    link_put_statement (link, out);
  link_send (link, out);
}

void
tou_link_run (TouLink *link, TouTask *task)
{
  task->sent_us = 0;
  link->task = task;
  link->endpoint->n_busy++;
  link->since_us = tou_clock_us ();
  link_advance (link);
}

void
tou_link_pin (TouLink *link, TouPin *pin)
{
  link->pin = pin;
}

void
tou_link_unpin (TouLink *link)
{
  GString *out;

  link->pin = NULL;
  if (!link->in_txn)
    {
      tou_dispatch_group (link->endpoint->group);
      return;
    }
  out = g_string_new (NULL);
  link_push_step (link, STEP_ROLLBACK);
  link->since_us = tou_clock_us ();
  plat_wire_put_rollback (out);
  link_send (link, out);
}

/* Handles the complete reply to the oldest statement in flight. */
static void
link_on_step_done (TouLink *link, LinkStep step, const TouSqlReply *reply)
{
  TouEndpoint *endpoint = link->endpoint;

  link->in_txn = reply->state != TOU_SQL_STATE_IDLE;
  switch (step)
    {
    case STEP_RESET:
    case STEP_SET:
    case STEP_PREPARE:
      link->setup_failed = link->setup_failed || !link->complete;
      break;
    case STEP_BEGIN:
      if (link->setup_failed)
        tou_link_close (link, "statement could not be prepared");
      else if (link->complete)
        link_advance (link);
      else
        link_finish (link, TOU_TASK_NOT_RUN, reply->state, reply->pos);
      break;
    case STEP_STATEMENT:
      /* The other end has reset the session, which removed the prepared
         statements. */
      if (!link->complete && link->error == TOU_SQL_E_UNKNOWN_STATEMENT)
        link_forget_prepared (link);
      if (!link->setup_failed)
        {
          link_finish (link, TOU_TASK_ANSWERED, reply->state, reply->pos);
          break;
        }
      tou_link_close (link, "statement could not be prepared");
      break;
    case STEP_ROLLBACK:
      if (link->in_txn)
        tou_link_close (link, "rollback failed");
      else
        tou_dispatch_group (endpoint->group);
      break;
    }
}

/* Handles READY: the reply is complete. */
static void
link_on_ready (TouLink *link, const TouSqlReply *reply)
{
  TouEndpoint *endpoint = link->endpoint;
  LinkStep step;

  if (link->state == LINK_STARTING && link->gateway_node.len == 0)
    tou_endpoint_check_log (endpoint, reply->pos, link->initial_pos);
  if (tou_log_pos_compare (reply->pos, endpoint->newest_pos) > 0)
    endpoint->newest_pos = reply->pos;
  if (link->state == LINK_STARTING)
    {
      link->state = LINK_READY;
      link->since_us = tou_clock_us ();
      tou_endpoint_set_reachable (endpoint, link->since_us);
      if (link->gateway_node.len == 0)
        tou_direct_answer (endpoint, link->since_us);
      tou_dispatch_group (endpoint->group);
      return;
    }
  if (link->steps->len == 0 || !link->answered)
    {
      tou_link_close (link, "unexpected message");
      return;
    }
  step = g_array_index (link->steps, LinkStep, 0);
  g_array_remove_index (link->steps, 0);
  link_on_step_done (link, step, reply);
  /* What follows is the reply to the next step. */
  if (!link->closed)
    link_clear_answer (link);
}

static void
link_on_start_error (TouLink *link, const TouSqlReply *reply)
{
  TouEndpoint *endpoint = link->endpoint;
  guint64 now_us = tou_clock_us ();
  guint64 pause_us = LINK_PAUSE_US;

  if (reply->error != TOU_SQL_E_TOO_MANY_CONNECTIONS
      && link->gateway_node.len == 0)
    pause_us = LINK_REJECTED_PAUSE_US;
  if (link->gateway_node.len == 0)
    {
      if (reply->error == TOU_SQL_E_MOVED)
        tou_direct_fail (endpoint, "another database is at its address",
                         now_us);
      else
        {
          tou_endpoint_set_reachable (endpoint, now_us);
          tou_direct_answer (endpoint, now_us);
        }
    }
  TOU_COUNT (endpoint->proxy, LINKS_REFUSED);
  if (link->gateway_node.len > 0 && reply->error == TOU_SQL_E_BUSY)
    {
      if (tou_direct_on_refusal (endpoint, &link->gateway_node, reply->text,
                                 now_us))
        {
          tou_link_close (link, plat_wire_error_name (reply->error));
          return;
        }
      /* It is stopping. Another one is tried at once, but only one. */
      if (endpoint->unreachable_since_us != 0)
        pause_us = LINK_REJECTED_PAUSE_US;
      tou_endpoint_set_unreachable (endpoint, "refused by its gateway", now_us);
      tou_endpoint_avoid_gateway (endpoint, &link->gateway_node,
                                  "gateway refused", now_us);
    }
  endpoint->open_after_us = now_us + pause_us;
  tou_link_close (link, plat_wire_error_name (reply->error));
}

static void
link_on_message (TouLink *link, TouSlice line)
{
  TouSqlReply reply;

  if (link->gateway_node.len > 0 && tou_relay_is_progress (line))
    return;
  if (link->gateway_node.len > 0 && tou_relay_is_stopping (line))
    {
      tou_endpoint_avoid_gateway (link->endpoint, &link->gateway_node,
                                  "gateway is stopping", tou_clock_us ());
      if (tou_link_is_idle (link))
        tou_link_close (link, NULL);
      return;
    }
  plat_wire_decode_reply (&reply, line);
  switch (reply.kind)
    {
    case TOU_SQL_REPLY_READY:
      link_on_ready (link, &reply);
      return;
    case TOU_SQL_REPLY_ERROR:
      if (link->state == LINK_STARTING)
        {
          link_on_start_error (link, &reply);
          return;
        }
      link->error = reply.error;
      link->answered = TRUE;
      if (link->gateway_node.len > 0 && reply.error == TOU_SQL_E_BUSY)
        link->unreachable = tou_direct_on_refusal (
            link->endpoint, &link->gateway_node, reply.text, link->received_us);
      break;
    case TOU_SQL_REPLY_COMPLETE:
      link->complete = TRUE;
      link->answered = TRUE;
      break;
    case TOU_SQL_REPLY_ROW:
      link->row_start = link->lines->len + (gsize)(reply.text.data - line.data);
      link->row_len = reply.text.len;
      break;
    case TOU_SQL_REPLY_INVALID:
      TOU_COUNT (link->endpoint->proxy, MALFORMED);
      tou_link_close (link, "malformed message");
      return;
    }
  g_string_append_len (link->lines, line.data, (gssize)line.len);
  g_string_append (link->lines, "\r\n");
  if (link->lines->len > LINK_MAX_ANSWER)
    tou_link_close (link, "answer too long");
}

static void
link_on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  TouLink *link = stream->data;
  gsize used = 0;
  TouSlice line;

  if (n < 0)
    {
      if (link->state == LINK_STARTING)
        link->endpoint->open_after_us = tou_clock_us () + LINK_PAUSE_US;
      tou_link_close (link, "closed by the other side");
      return;
    }
  /* Until the database has accepted the link, another one, or a gateway, may be
     answering. */
  link->received_us = tou_clock_us ();
  if (link->state == LINK_READY)
    {
      tou_endpoint_set_reachable (link->endpoint, link->received_us);
      if (link->gateway_node.len == 0)
        tou_direct_answer (link->endpoint, link->received_us);
    }
  g_string_append_len (link->in, buf->base, n);
  /* A closed link is freed later by the event loop, so it can be read here. */
  while (!link->closed
         && plat_wire_next_line_after (&line, link->in->str, link->in->len,
                                       &used, &link->searched))
    link_on_message (link, line);
  if (used > 0)
    g_string_erase (link->in, 0, (gssize)used);
  link->searched -= MIN (link->searched, used);
  if (!link->closed && link->in->len > PLAT_WIRE_MAX_MESSAGE)
    tou_link_close (link, "message too long");
  link_settle (link);
  tou_budget_enforce (link->endpoint->proxy->budget);
}

/* Nodes call a database by its TouName, a database knows itself by its full
   name. */
static void
link_put_startup (const TouLink *link, GString *out)
{
  const TouEndpoint *endpoint = link->endpoint;
  const TouEndpointInfo *info = &endpoint->info;
  const TouNodeSettings *settings = &endpoint->proxy->settings;

  if (link->gateway_node.len > 0)
    plat_wire_put_startup (out, info->group.data, settings->node.data,
                           info->id.data);
  else
    plat_wire_put_startup (out, tou_endpoint_info_group (info),
                           link->full_team != NULL
                               ? link->full_team
                               : plat_settings_node (settings),
                           tou_endpoint_info_id (info));
}

static void
link_on_connected (uv_connect_t *connect, int status)
{
  TouLink *link = connect->data;
  GString *out;

  if (link->closed)
    return;
  if (status < 0)
    {
      guint64 now_us = tou_clock_us ();

      if (link->gateway_node.len > 0)
        tou_endpoint_avoid_gateway (link->endpoint, &link->gateway_node,
                                    "connection refused", now_us);
      else
        tou_direct_fail (link->endpoint, "connection refused", now_us);
      link->endpoint->open_after_us = now_us + LINK_PAUSE_US;
      tou_link_close (link, NULL);
      return;
    }
  tou_stream_tune (&link->tcp);
  tou_window_round_trip (&link->endpoint->window,
                         tou_clock_us () - link->since_us);
  link->state = LINK_STARTING;
  out = g_string_new (NULL);
  link_put_startup (link, out);
  link_send (link, out);
  uv_read_start ((uv_stream_t *)&link->tcp, tou_stream_alloc, link_on_read);
}

static void
link_open (TouEndpoint *endpoint, const TouName *gateway, const TouName *team,
           guint64 now_us)
{
  struct sockaddr_in address = endpoint->gateway_address;
  const char *full_team = NULL;
  TouLink *link;

  if (gateway->len == 0
      && tou_stream_address (&address, &endpoint->info.address) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_FAILURE, "endpoint_address",
                 "\"endpoint\":\"%s\",\"error\":\"%s\"", endpoint->info.id.data,
                 tou_status_message ());
      endpoint->open_after_us = now_us + LINK_REJECTED_PAUSE_US;
      return;
    }
  if (team != NULL && gateway->len == 0)
    {
      full_team = tou_access_full_name (endpoint->proxy->routing, team);
      /* A new configuration has withdrawn the team. */
      if (full_team == NULL)
        {
          tou_evlog (TOU_EVLOG_FAILURE, "team_unknown",
                     "\"endpoint\":\"%s\",\"team\":\"%s\"",
                     endpoint->info.id.data, team->data);
          endpoint->open_after_us = now_us + LINK_PAUSE_US;
          return;
        }
    }
  link = g_new0 (TouLink, 1);
  link->endpoint = endpoint;
  link->since_us = now_us;
  link->initial_pos = endpoint->newest_pos;
  link->gateway_node = *gateway;
  if (full_team != NULL)
    {
      link->team = *team;
      link->full_team = g_ref_string_new_intern (full_team);
    }
  tou_values_init (&link->values);
  link->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tou_budget_user_init (&link->user, endpoint->proxy->budget,
                        &link_budget_class);
  link->in = g_string_new (NULL);
  link->lines = g_string_new (NULL);
  link->steps = g_array_new (FALSE, FALSE, sizeof (LinkStep));
  uv_tcp_init (endpoint->proxy->loop, &link->tcp);
  link->tcp.data = link;
  link->connect.data = link;
  g_ptr_array_add (endpoint->links, link);
  if (link->gateway_node.len > 0)
    TOU_COUNT (endpoint->proxy, GATEWAY_LINKS);
  else
    TOU_COUNT (endpoint->proxy, LINKS);
  if (uv_tcp_connect (&link->connect, &link->tcp,
                      (const struct sockaddr *)&address, link_on_connected)
      != 0)
    {
      endpoint->open_after_us = now_us + LINK_REJECTED_PAUSE_US;
      tou_link_close (link, "cannot connect");
    }
}

void
tou_link_open (TouEndpoint *endpoint, const TouName *team, guint64 now_us)
{
  link_open (endpoint, &endpoint->gateway, team, now_us);
}

void
tou_link_open_direct (TouEndpoint *endpoint, guint64 now_us)
{
  TouName none = { 0 };

  link_open (endpoint, &none, NULL, now_us);
}

gboolean
tou_link_serves (const TouLink *link, const TouName *team)
{
  if (link->gateway_node.len > 0)
    return TRUE;
  return team != NULL ? tou_name_equal (&link->team, team)
                      : link->team.len == 0;
}

gboolean
tou_link_is_idle (const TouLink *link)
{
  return link->state == LINK_READY && link->task == NULL && link->pin == NULL
         && link->steps->len == 0;
}

guint
tou_link_score (const TouLink *link, const TouTask *task)
{
  guint score = 0;
  guint index;

  if (task == NULL)
    return 0;
  if (task->prepared != NULL
      && g_hash_table_contains (link->prepared, task->prepared->link_name))
    score++;
  if (task->values == NULL)
    return score;
  switch (tou_values_next_step (&link->values, task->values, &index))
    {
    case TOU_VALUES_EQUAL:
      return score + 4;
    case TOU_VALUES_SET:
      return score + 2;
    case TOU_VALUES_RESET:
      return score;
    }
  return score;
}

gboolean
tou_link_gateway_is_silent (const TouLink *link, guint64 now_us)
{
  return link->gateway_node.len > 0 && link->state == LINK_READY
         && (link->task != NULL || link->steps->len > 0)
         && now_us >= MAX (link->since_us, link->received_us)
                          + LINK_GATEWAY_SILENT_US;
}

gboolean
tou_link_may_move (const TouLink *link)
{
  return link->state == LINK_READY && link->pin == NULL
         && (link->task == NULL || !link->task->may_commit);
}

const char *
tou_link_timeout_reason (const TouLink *link, guint64 now_us)
{
  if (link->state != LINK_READY)
    return now_us >= link->since_us + LINK_OPEN_TIMEOUT_US
               ? "no answer to start"
               : NULL;
  if (link->task != NULL)
    return now_us >= link->task->deadline_us ? "deadline" : NULL;
  return link->steps->len > 0 && now_us >= link->since_us + LINK_OPEN_TIMEOUT_US
             ? "rollback is late"
             : NULL;
}
