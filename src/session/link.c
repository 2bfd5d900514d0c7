#include "link.h"

#include "client.h"
#include "dispatch.h"
#include "stream.h"
#include "values.h"

#include "wire.h"

#include <string.h>

/* Time for a connection and its first answer: 12 ms of a slot and two region
   round trips, behind a full queue of 24 statements of 30 ms on 3 slots. */
#define LINK_OPEN_TIMEOUT_US (600 * TOU_US_PER_MS)
/* An idle link is closed after this time, because another node may need the
   connection; the last one of an endpoint stays. */
#define LINK_IDLE_US (500 * TOU_US_PER_MS)
/* Links of one endpoint that open at the same time: one that opens may serve
   several waiting statements, and each takes a slot for 12 ms. */
#define LINK_MAX_OPENING 2
/* Largest answer that is kept, in bytes. */
#define LINK_MAX_ANSWER ((gsize)4 * PLAT_WIRE_MAX_MESSAGE)

typedef enum
{
  LINK_CONNECTING,
  LINK_STARTING,
  LINK_READY
} LinkState;

/* What the outstanding statement is for. */
typedef enum
{
  STEP_NONE,
  STEP_RESET,
  STEP_SET,
  STEP_BEGIN,
  STEP_PREPARE,
  STEP_STATEMENT,
  STEP_ROLLBACK
} LinkStep;

struct TouLink
{
  TouEndpoint *endpoint;
  uv_tcp_t tcp;
  uv_connect_t connect;
  LinkState state;
  LinkStep step;
  gboolean closed;
  gboolean in_txn;
  guint set_index;  /* STEP_SET: value of the task */
  guint64 since_us; /* opened, or idle since */
  TouTask *task;
  TouClient *client; /* pinned by its transaction */
  TouSqlValues values;
  GHashTable *prepared; /* link names */
  GString *in;
  GString *lines; /* answer of the step so far */
  gsize row_start;
  gsize row_len;
  gboolean complete;
  gboolean answered; /* COMPLETE or ERROR has arrived */
  TouSqlError error;
};

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
  g_hash_table_destroy (link->prepared);
  g_string_free (link->in, TRUE);
  g_string_free (link->lines, TRUE);
  g_free (link);
}

static void
link_send (TouLink *link, GString *message)
{
  tou_stream_send ((uv_stream_t *)&link->tcp, message->str, message->len);
  g_string_free (message, TRUE);
}

/* Ends the task; the callback may run another one on the link. */
static void
link_finish (TouLink *link, TouTaskOutcome outcome, TouSqlState state,
             TouLogPos pos)
{
  TouTask *task = link->task;
  TouTaskResult result = { 0 };
  GString *lines = link->lines;

  link->task = NULL;
  link->step = STEP_NONE;
  link->endpoint->n_busy--;
  link->since_us = tou_clock_us ();
  result.outcome = outcome;
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

void
tou_link_close (TouLink *link, const char *reason)
{
  TouEndpoint *endpoint = link->endpoint;
  TouTask *task = link->task;
  TouClient *client = link->client;

  if (link->closed)
    return;
  link->closed = TRUE;
  link->client = NULL;
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

      /* A complete answer stands, even if the final message is missing. */
      if (!link->answered)
        {
          link->complete = FALSE;
          link->error = TOU_SQL_E_OTHER;
        }
      link_finish (link,
                   !sent                              ? TOU_TASK_NOT_RUN
                   : link->answered && link->complete ? TOU_TASK_ANSWERED
                                                      : TOU_TASK_LOST,
                   TOU_SQL_STATE_IDLE, (TouLogPos){ 0 });
    }
  else if (client != NULL)
    tou_client_link_lost (client);
  uv_close ((uv_handle_t *)&link->tcp, link_on_closed);
}

/* Sends the next statement that the task needs. */
static void
link_advance (TouLink *link)
{
  TouTask *task = link->task;
  GString *out = g_string_sized_new (256);
  TouValuesStep values = TOU_VALUES_EQUAL;
  const TouLogPos *after = task->after.term != 0 ? &task->after : NULL;

  if (task->values != NULL)
    values = tou_values_step (&link->values, task->values, &link->set_index);
  g_string_truncate (link->lines, 0);
  link->row_len = 0;
  link->answered = FALSE;
  link->complete = FALSE;
  if (values == TOU_VALUES_RESET)
    {
      link->step = STEP_RESET;
      plat_wire_put_reset (out);
    }
  else if (values == TOU_VALUES_SET)
    {
      link->step = STEP_SET;
      plat_wire_put_set (
          out, g_ptr_array_index (task->values->names, link->set_index),
          g_ptr_array_index (task->values->values, link->set_index));
    }
  else if (task->prepared != NULL
           && !g_hash_table_contains (link->prepared,
                                      task->prepared->link_name))
    {
      link->step = STEP_PREPARE;
      plat_wire_put_prepare (out, task->prepared->link_name,
                             task->prepared->writes, task->prepared->shape);
    }
  else if (task->begin && !link->in_txn)
    {
      link->step = STEP_BEGIN;
      plat_wire_put_begin (out, after, task->begin_read_only);
    }
  else
    {
      link->step = STEP_STATEMENT;
      task->sent_us = tou_clock_us ();
      /* In a transaction, its beginning has carried the condition. */
      if (link->in_txn)
        after = NULL;
      if (task->prepared != NULL)
        {
          GString *text = g_string_new (NULL);

          plat_wire_put_execute_text (text, task->prepared->link_name,
                                      task->arguments);
          plat_wire_put_query (out, task->id, after,
                               (TouSlice){ text->str, text->len });
          g_string_free (text, TRUE);
        }
      else
        plat_wire_put_query (out, task->id, after, task->text);
    }
  if (link->step != STEP_STATEMENT)
    TOU_COUNT (link->endpoint->proxy, STEPS);
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
tou_link_pin (TouLink *link, TouClient *client)
{
  link->client = client;
}

void
tou_link_unpin (TouLink *link)
{
  GString *out;

  link->client = NULL;
  if (!link->in_txn)
    {
      tou_dispatch_group (link->endpoint->group);
      return;
    }
  out = g_string_new (NULL);
  link->step = STEP_ROLLBACK;
  link->since_us = tou_clock_us ();
  plat_wire_put_rollback (out);
  link_send (link, out);
}

/* Remembers what a completed step has changed on the link. */
static void
link_step_completed (TouLink *link)
{
  const TouSqlValues *target = link->task->values;
  const char *name;
  const char *value;

  switch (link->step)
    {
    case STEP_RESET:
      tou_values_reset (&link->values);
      g_hash_table_remove_all (link->prepared);
      break;
    case STEP_SET:
      name = g_ptr_array_index (target->names, link->set_index);
      value = g_ptr_array_index (target->values, link->set_index);
      tou_values_set (&link->values, (TouSlice){ name, strlen (name) },
                      (TouSlice){ value, strlen (value) });
      break;
    case STEP_PREPARE:
      g_hash_table_add (link->prepared,
                        g_strdup (link->task->prepared->link_name));
      break;
    case STEP_NONE:
    case STEP_BEGIN:
    case STEP_STATEMENT:
    case STEP_ROLLBACK:
      break;
    }
}

static void
endpoint_heard (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->silent_us != 0)
    tou_evlog (TOU_EVLOG_STATE, "endpoint_answers",
               "\"endpoint\":\"%s\",\"silent_ms\":%" G_GUINT64_FORMAT,
               endpoint->info.id.data,
               (now_us - endpoint->silent_us) / TOU_US_PER_MS);
  endpoint->silent_us = 0;
  endpoint->heard_us = now_us;
}

static void
endpoint_silent (TouEndpoint *endpoint, const char *reason, guint64 now_us)
{
  if (endpoint->silent_us != 0)
    return;
  endpoint->silent_us = now_us;
  tou_evlog (TOU_EVLOG_STATE, "endpoint_silent",
             "\"endpoint\":\"%s\",\"group\":\"%s\",\"reason\":\"%s\","
             "\"heard_ms_ago\":%" G_GUINT64_FORMAT,
             endpoint->info.id.data, endpoint->group->name.data, reason,
             (now_us - endpoint->heard_us) / TOU_US_PER_MS);
}

/* The database is ready for the next statement. */
static void
link_on_ready (TouLink *link, const TouSqlReply *reply)
{
  TouEndpoint *endpoint = link->endpoint;

  if (tou_log_pos_compare (reply->pos, endpoint->known) > 0)
    endpoint->known = reply->pos;
  if (link->state == LINK_STARTING)
    {
      link->state = LINK_READY;
      link->since_us = tou_clock_us ();
      tou_dispatch_group (endpoint->group);
      return;
    }
  link->in_txn = reply->state != TOU_SQL_STATE_IDLE;
  if (link->step == STEP_ROLLBACK)
    {
      link->step = STEP_NONE;
      if (link->in_txn)
        tou_link_close (link, "rollback failed");
      else
        tou_dispatch_group (endpoint->group);
      return;
    }
  if (link->task == NULL || !link->answered)
    {
      tou_link_close (link, "unexpected message");
      return;
    }
  if (link->step == STEP_STATEMENT)
    {
      /* The name is unknown after a reset that this side has not seen. */
      if (!link->complete && link->error == TOU_SQL_E_UNKNOWN_STATEMENT)
        g_hash_table_remove_all (link->prepared);
      link_finish (link, TOU_TASK_ANSWERED, reply->state, reply->pos);
      return;
    }
  if (!link->complete)
    {
      link_finish (link, TOU_TASK_NOT_RUN, reply->state, reply->pos);
      return;
    }
  link_step_completed (link);
  link_advance (link);
}

static void
link_on_start_error (TouLink *link, const TouSqlReply *reply)
{
  TouEndpoint *endpoint = link->endpoint;
  /* A full database frees connections as transactions end. */
  guint64 pause_us = reply->error == TOU_SQL_E_TOO_MANY_CONNECTIONS
                         ? 100 * TOU_US_PER_MS
                         : TOU_US_PER_S;

  TOU_COUNT (endpoint->proxy, LINKS_REFUSED);
  endpoint->open_after_us = tou_clock_us () + pause_us;
  tou_link_close (link, plat_wire_error_name (reply->error));
}

static void
link_on_message (TouLink *link, TouSlice line)
{
  TouSqlReply reply;

  plat_wire_reply (&reply, line);
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
  gsize len;
  TouSlice line;

  if (n < 0)
    {
      tou_link_close (link, "closed by the database");
      return;
    }
  endpoint_heard (link->endpoint, tou_clock_us ());
  g_string_append_len (link->in, buf->base, n);
  /* Freeing is deferred to the loop, so a closed link can be checked here. */
  while (!link->closed
         && (len = plat_wire_line (&line, link->in->str + used,
                                   link->in->len - used))
                > 0)
    {
      used += len;
      link_on_message (link, line);
    }
  g_string_erase (link->in, 0, (gssize)used);
  if (!link->closed && link->in->len > PLAT_WIRE_MAX_MESSAGE)
    tou_link_close (link, "message too long");
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

      endpoint_silent (link->endpoint, "connection refused", now_us);
      link->endpoint->open_after_us = now_us + 100 * TOU_US_PER_MS;
      tou_link_close (link, NULL);
      return;
    }
  tou_stream_tune (&link->tcp);
  link->state = LINK_STARTING;
  out = g_string_new (NULL);
  plat_wire_put_startup (out, &link->endpoint->info,
                         link->endpoint->proxy->site.node.data);
  link_send (link, out);
  uv_read_start ((uv_stream_t *)&link->tcp, tou_stream_alloc, link_on_read);
}

static void
endpoint_open_link (TouEndpoint *endpoint, guint64 now_us)
{
  struct sockaddr_in address;
  TouLink *link;

  if (tou_stream_address (&address, &endpoint->info.address) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_FAILURE, "endpoint_address",
                 "\"endpoint\":\"%s\",\"error\":\"%s\"", endpoint->info.id.data,
                 tou_status_message ());
      endpoint->open_after_us = now_us + TOU_US_PER_S;
      return;
    }
  link = g_new0 (TouLink, 1);
  link->endpoint = endpoint;
  link->since_us = now_us;
  tou_values_init (&link->values);
  link->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  link->in = g_string_new (NULL);
  link->lines = g_string_new (NULL);
  uv_tcp_init (endpoint->proxy->loop, &link->tcp);
  link->tcp.data = link;
  link->connect.data = link;
  g_ptr_array_add (endpoint->links, link);
  TOU_COUNT (endpoint->proxy, LINKS);
  if (uv_tcp_connect (&link->connect, &link->tcp,
                      (const struct sockaddr *)&address, link_on_connected)
      != 0)
    {
      endpoint->open_after_us = now_us + TOU_US_PER_S;
      tou_link_close (link, "cannot connect");
    }
}

guint
tou_endpoint_link_limit (const TouEndpoint *endpoint)
{
  guint limit = endpoint->group->limits.connection_limit;

  /* Half of the database's connections: load is spread unevenly over the
     nodes, and one that is refused waits for an idle link to be closed. */
  return MAX (limit / 2, 2);
}

void
tou_endpoint_want_link (TouEndpoint *endpoint, guint64 now_us)
{
  guint n_opening = 0;

  if (now_us < endpoint->open_after_us || endpoint->gone
      || endpoint->links->len >= tou_endpoint_link_limit (endpoint))
    return;
  for (guint i = 0; i < endpoint->links->len; i++)
    {
      const TouLink *link = g_ptr_array_index (endpoint->links, i);

      n_opening += link->state != LINK_READY;
    }
  if (n_opening < LINK_MAX_OPENING)
    endpoint_open_link (endpoint, now_us);
}

static gboolean
link_is_idle (const TouLink *link)
{
  return link->state == LINK_READY && link->task == NULL && link->client == NULL
         && link->step == STEP_NONE;
}

TouLink *
tou_endpoint_idle_link (const TouEndpoint *endpoint)
{
  for (guint i = 0; i < endpoint->links->len; i++)
    {
      TouLink *link = g_ptr_array_index (endpoint->links, i);

      if (link_is_idle (link))
        return link;
    }
  return NULL;
}

guint
tou_endpoint_writes_in_flight (const TouEndpoint *endpoint)
{
  guint count = 0;

  for (guint i = 0; i < endpoint->links->len; i++)
    {
      const TouLink *link = g_ptr_array_index (endpoint->links, i);

      if (link->client != NULL
          || (link->task != NULL && link->task->may_commit))
        count++;
    }
  return count;
}

gboolean
tou_endpoint_is_usable (const TouEndpoint *endpoint)
{
  return !endpoint->gone && !endpoint->info.draining
         && endpoint->silent_us == 0;
}

/* Silence is checked against the oldest statement under way. */
#define ENDPOINT_SILENT_US (700 * TOU_US_PER_MS)
/* A silent endpoint is tried again this often. */
#define ENDPOINT_RETRY_US (250 * TOU_US_PER_MS)

static const char *
link_late (const TouLink *link, guint64 now_us)
{
  if (link->state != LINK_READY)
    return now_us >= link->since_us + LINK_OPEN_TIMEOUT_US
               ? "no answer to start"
               : NULL;
  if (link->step == STEP_ROLLBACK)
    return now_us >= link->since_us + LINK_OPEN_TIMEOUT_US ? "rollback is late"
                                                           : NULL;
  if (link->task != NULL && now_us >= link->task->deadline_us)
    return "deadline";
  return NULL;
}

void
tou_endpoint_tick (TouEndpoint *endpoint, guint64 now_us)
{
  guint64 oldest_us = G_MAXUINT64;

  for (guint i = endpoint->links->len; i-- > 0;)
    {
      TouLink *link;
      const char *reason;

      /* Closing a link may close others. */
      if (i >= endpoint->links->len)
        continue;
      link = g_ptr_array_index (endpoint->links, i);
      reason = link_late (link, now_us);
      if (!link_is_idle (link))
        oldest_us = MIN (oldest_us, link->client != NULL && link->task == NULL
                                        ? G_MAXUINT64
                                        : link->since_us);
      if (reason != NULL)
        {
          if (link->state != LINK_READY)
            endpoint_silent (endpoint, reason, now_us);
          tou_link_close (link, reason);
        }
      else if (link_is_idle (link) && endpoint->links->len > 1
               && now_us >= link->since_us + LINK_IDLE_US)
        tou_link_close (link, NULL);
    }
  if (oldest_us != G_MAXUINT64
      && now_us >= MAX (oldest_us, endpoint->heard_us) + ENDPOINT_SILENT_US)
    endpoint_silent (endpoint, "statement without answer", now_us);
  if (endpoint->silent_us != 0 && now_us >= endpoint->open_after_us)
    {
      endpoint->open_after_us = now_us + ENDPOINT_RETRY_US;
      if (!endpoint->gone
          && endpoint->links->len < tou_endpoint_link_limit (endpoint))
        endpoint_open_link (endpoint, now_us);
    }
  else if (endpoint->links->len == 0)
    tou_endpoint_want_link (endpoint, now_us);
}

static void
endpoint_on_probe (TouTask *task, TouLink *link, const TouTaskResult *result)
{
  TouEndpoint *endpoint
      = (TouEndpoint *)((char *)task - G_STRUCT_OFFSET (TouEndpoint, probe));
  TouSqlStatus status;

  (void)link;
  endpoint->probing = FALSE;
  if (result->outcome != TOU_TASK_ANSWERED || !result->complete
      || plat_wire_status (&status, result->row) != TOU_OK)
    return;
  if (status.role != endpoint->status.role
      || status.term != endpoint->status.term)
    tou_evlog (TOU_EVLOG_STATE, "endpoint_role",
               "\"endpoint\":\"%s\",\"group\":\"%s\",\"role\":\"%s\","
               "\"term\":%" G_GUINT64_FORMAT ",\"position\":%" G_GUINT64_FORMAT,
               endpoint->info.id.data, endpoint->group->name.data,
               status.role == TOU_ROLE_PRIMARY ? "primary" : "replica",
               status.term, status.received.position);
  endpoint->status = status;
  endpoint->status_us = task->sent_us;
  tou_group_sample (endpoint->group, endpoint, task->sent_us, result->pos);
  tou_dispatch_group (endpoint->group);
}

/* Takes the statement's text off @a message, which it frees. */
static void
endpoint_probe (TouEndpoint *endpoint, GString *message, guint64 now_us)
{
  TouLink *link = tou_endpoint_idle_link (endpoint);

  if (endpoint->probing || link == NULL)
    {
      if (link == NULL)
        tou_endpoint_want_link (endpoint, now_us);
      g_string_free (message, TRUE);
      return;
    }
  endpoint->probing = TRUE;
  memset (&endpoint->probe, 0, sizeof endpoint->probe);
  endpoint->probe.done = endpoint_on_probe;
  endpoint->probe.deadline_us = now_us + LINK_OPEN_TIMEOUT_US;
  endpoint->probe.text.data = message->str;
  endpoint->probe.text.len = message->len;
  tou_link_run (link, &endpoint->probe);
  g_string_free (message, TRUE);
}

void
tou_endpoint_ask_status (TouEndpoint *endpoint, guint64 now_us)
{
  endpoint->status_asked_us = now_us;
  endpoint_probe (endpoint, g_string_new (PLAT_WIRE_STATUS_TEXT), now_us);
}

void
tou_endpoint_step_down (TouEndpoint *endpoint, guint64 term, guint64 now_us)
{
  GString *message = g_string_new (NULL);

  plat_wire_put_step_down_text (message, term);
  endpoint_probe (endpoint, message, now_us);
}

TouEndpoint *
tou_endpoint_create (TouProxy *proxy, const TouEndpointInfo *info)
{
  TouEndpoint *endpoint = g_new0 (TouEndpoint, 1);

  endpoint->proxy = proxy;
  endpoint->group = tou_group_get (proxy, &info->group);
  endpoint->info = *info;
  endpoint->links = g_ptr_array_new ();
  if (info->draining)
    endpoint->leaving_since_us = tou_clock_us ();
  g_ptr_array_add (endpoint->group->endpoints, endpoint);
  return endpoint;
}

static void
endpoint_close_links (TouEndpoint *endpoint, const char *reason)
{
  while (endpoint->links->len > 0)
    tou_link_close (g_ptr_array_index (endpoint->links, 0), reason);
}

void
tou_endpoint_update (TouEndpoint *endpoint, const TouEndpointInfo *info)
{
  gboolean reborn
      = !tou_name_equal (&endpoint->info.address, &info->address)
        || (info->born_ms != 0 && endpoint->info.born_ms != info->born_ms);

  endpoint->info = *info;
  endpoint->gone = FALSE;
  endpoint->missing_since_us = 0;
  if (!info->draining)
    endpoint->leaving_since_us = 0;
  else if (endpoint->leaving_since_us == 0)
    endpoint->leaving_since_us = tou_clock_us ();
  if (!reborn)
    return;
  memset (&endpoint->status, 0, sizeof endpoint->status);
  endpoint->status_us = 0;
  endpoint->open_after_us = 0;
  endpoint->silent_us = 0;
  endpoint_close_links (endpoint, "database started anew");
}

void
tou_endpoint_destroy (TouEndpoint *endpoint)
{
  endpoint->gone = TRUE;
  endpoint_close_links (endpoint, NULL);
  g_ptr_array_remove_fast (endpoint->group->endpoints, endpoint);
  g_ptr_array_unref (endpoint->links);
  g_free (endpoint);
}
