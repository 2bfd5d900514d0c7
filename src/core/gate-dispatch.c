#include "gate-internal.h"

#include <string.h>

/* Time reserved for the reply to reach a front in another region: 10 ms of
   network latency (design 1.1) and 1 ms of processing, but at most
   1 / DISPATCH_REPLY_DIVISOR of the time from the request's arrival to its
   deadline. */
#define DISPATCH_REPLY_US (11 * TOU_US_PER_MS)
#define DISPATCH_REPLY_DIVISOR 8

/* The window is at most this many times the slots. Without the limit, a wrong
   estimate could move the queue from the gate, which orders statements by rank,
   to the database, which does not. */
#define DISPATCH_MAX_WINDOW_FACTOR 2
/* Weight of a round trip above the estimate: 1 / 16. It may have been delayed
   by statements. */
#define DISPATCH_RTT_SHIFT 4

/* Computes the fingerprint of a statement. Requests with the same idempotency
   key must have the same fingerprint. */
static void
dispatch_fingerprint (TouStr *out, const TouStatement *statement)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (sum, (const guchar *)statement->sql.data,
                     (gssize)statement->sql.len);
  for (guint i = 0; i < statement->n_params; i++)
    {
      const TouStr *param = &statement->params[i];
      /* The length delimits the parameter; G_MAXUINT64 stands for NULL. */
      guint64 len = param->data != NULL ? param->len : G_MAXUINT64;

      g_checksum_update (sum, (const guchar *)&len, sizeof len);
      if (param->len > 0)
        g_checksum_update (sum, (const guchar *)param->data,
                           (gssize)param->len);
    }
  tou_str_init_c (out, g_checksum_get_string (sum));
  g_checksum_free (sum);
}

static TouDbExecuteKind
dispatch_kind (const GateJob *job)
{
  switch (job->request.kind)
    {
    case TOU_REQUEST_BEGIN:
      return TOU_DB_BEGIN;
    case TOU_REQUEST_TXN_STATEMENT:
      return TOU_DB_TXN_STATEMENT;
    case TOU_REQUEST_COMMIT:
      return TOU_DB_COMMIT;
    case TOU_REQUEST_ROLLBACK:
      return TOU_DB_ROLLBACK;
    case TOU_REQUEST_STATEMENT:
    default:
      break;
    }
  if (!gate_job_needs_primary (job))
    return TOU_DB_READ;
  return job->request.idempotency_key.data != NULL ? TOU_DB_WRITE_ONCE
                                                   : TOU_DB_WRITE;
}

static void
dispatch_count (const GateJob *job, gboolean replica)
{
  TouContext *ctx = job->group->gate->ctx;

  if (job->request.kind != TOU_REQUEST_STATEMENT)
    return;
  switch (job->request.mode)
    {
    case TOU_READ_NONE:
      TOU_COUNT (ctx, WRITES);
      break;
    case TOU_READ_SESSION:
      if (replica)
        TOU_COUNT (ctx, READS_SESSION_REPLICA);
      else
        TOU_COUNT (ctx, READS_SESSION_PRIMARY);
      break;
    case TOU_READ_MAX_AGE:
      if (replica)
        TOU_COUNT (ctx, READS_AGE_REPLICA);
      else
        TOU_COUNT (ctx, READS_AGE_PRIMARY);
      break;
    case TOU_READ_FRESH:
      if (replica)
        TOU_COUNT (ctx, READS_FRESH_REPLICA);
      else
        TOU_COUNT (ctx, READS_FRESH_PRIMARY);
      break;
    }
}

/* Sends the job's statement; the action takes ownership of its content. */
static void
dispatch_execute (GateJob *job, GateDb *db, TouConn *conn)
{
  TouContext *ctx = db->group->gate->ctx;
  gboolean replica = (int)db->index != gate_primary (db->group);
  TouAction *action = tou_action_list_add (ctx->actions, TOU_ACTION_DB_EXECUTE);

  conn->sequence = tou_context_next_id (ctx);
  conn->job = job;
  job->conn = conn;
  job->state = GATE_JOB_RUNNING;
  job->sent_us = ctx->now_us;
  job->reply.group = db->group->name;
  job->reply.endpoint = db->endpoint.name;
  job->reply.role = replica ? TOU_ROLE_REPLICA : TOU_ROLE_PRIMARY;
  db->in_flight++;
  dispatch_count (job, replica);
  action->u.db_execute.conn = conn->id;
  action->u.db_execute.sequence = conn->sequence;
  action->u.db_execute.kind = dispatch_kind (job);
  if (action->u.db_execute.kind == TOU_DB_WRITE_ONCE)
    {
      dispatch_fingerprint (&action->u.db_execute.fingerprint,
                            &job->request.statement);
      tou_str_copy (&action->u.db_execute.idempotency_key,
                    &job->request.idempotency_key);
      action->u.db_execute.key_ttl_us = ctx->settings.idempotency_ttl_us;
    }
  action->u.db_execute.statement = job->request.statement;
  job->request.statement = (TouStatement){ 0 };
}

static void
dispatch_wait (GateJob *job)
{
  GateGroup *group = job->group;
  const TouContext *ctx = group->gate->ctx;

  if (group->waiting.length >= ctx->settings.queue_limit * TOU_RANK_COUNT)
    {
      gate_refuse (job, TOU_E_QUEUE_FULL, ctx->settings.session_wait_us);
      return;
    }
  job->state = GATE_JOB_WAITING;
  job->link.data = job;
  g_queue_push_tail_link (&group->waiting, &job->link);
}

/* Returns the time to reserve between the statement's result and the deadline,
   for the confirmation and the reply. */
static guint64
dispatch_reserve_us (const GateJob *job, const GateDb *db)
{
  const GateGroup *group = db->group;
  guint64 budget_us = job->request.deadline_us
                      - MIN (job->arrived_us, job->request.deadline_us);
  guint64 reply_us
      = MIN (DISPATCH_REPLY_US, budget_us / DISPATCH_REPLY_DIVISOR);

  if (tou_name_equal (&job->from, &group->gate->ctx->settings.node))
    reply_us = 0;
  if ((int)db->index != gate_primary (group))
    return reply_us;
  /* The mean service time is added as a margin, so that a write that is slower
     than the mean is still confirmed in time. */
  return reply_us + group->confirm_us
         + tou_queue_cost_us (db->queue, job->request.rank);
}

static gboolean
dispatch_enqueue (GateJob *job, GateDb *db)
{
  guint64 retry_after_us = 0;
  TouQueueItem *evicted;
  int code;

  job->item.reserve_us = dispatch_reserve_us (job, db);
  job->item.probe = db->in_flight == 0 && tou_queue_length (db->queue) == 0;
  code = tou_queue_push (db->queue, &job->item, db->group->gate->ctx->now_us,
                         &retry_after_us, &evicted);
  if (evicted != NULL)
    gate_refuse ((GateJob *)evicted, TOU_E_QUEUE_FULL, retry_after_us);
  if (code != TOU_OK)
    {
      gate_refuse (job, code, retry_after_us);
      return FALSE;
    }
  job->db = db;
  job->state = GATE_JOB_QUEUED;
  if (job->request.kind == TOU_REQUEST_BEGIN)
    {
      job->txn_counted = TRUE;
      db->group->n_txns++;
    }
  return TRUE;
}

void
gate_schedule (GateJob *job)
{
  GateDb *db;
  int code = TOU_OK;

  if (job->txn != NULL)
    db = job->txn->db;
  else
    db = gate_choose (job, &code);
  if (code != TOU_OK)
    gate_refuse (job, code, 0);
  else if (db == NULL)
    dispatch_wait (job);
  else if (dispatch_enqueue (job, db))
    gate_dispatch (db);
}

/* Checks again whether @a db may run the job, because the state of the group
   may have changed while the job was queued. */
static gboolean
dispatch_is_valid (const GateJob *job, const GateDb *db)
{
  if (job->txn != NULL)
    return TRUE;
  if (gate_job_needs_primary (job))
    return (int)db->index == gate_primary (db->group)
           && gate_primary_is_usable (db->group);
  return gate_db_qualifies (job, db);
}

/* Returns a connection for the job, or NULL. Writes need a connection of the
   record's term. */
static TouConn *
dispatch_conn (const GateJob *job, const GateDb *db)
{
  TouConn *conn;

  if (job->txn != NULL)
    return job->txn->conn;
  conn = tou_pool_acquire (db->pool);
  if (conn != NULL && gate_job_needs_primary (job)
      && conn->term != gate_record (db->group)->term)
    {
      tou_pool_discard (db->pool, conn);
      conn = NULL;
    }
  return conn;
}

void
gate_update_rtt (GateDb *db, const TouDbState *state)
{
  guint64 round_trip_us = state->received_us - state->requested_us;

  if (!state->reported || state->requested_us == db->rtt_requested_us)
    return;
  db->rtt_requested_us = state->requested_us;
  if (db->rtt_us == 0 || round_trip_us < db->rtt_us)
    db->rtt_us = round_trip_us;
  else
    db->rtt_us += (round_trip_us - db->rtt_us) >> DISPATCH_RTT_SHIFT;
}

guint
gate_window (const GateDb *db)
{
  guint slots = db->group->config.slots;
  guint64 slot_time_us = 0;
  guint64 service_us;
  guint64 in_transit;

  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    slot_time_us
        = MAX (slot_time_us, tou_queue_cost_us (db->queue, (TouRank)r));
  service_us = MAX (slot_time_us, db->rtt_us + 1) - db->rtt_us;
  in_transit = (slots * db->rtt_us + service_us - 1) / service_us;
  return (guint)MIN (slots + in_transit,
                     (guint64)slots * DISPATCH_MAX_WINDOW_FACTOR);
}

void
gate_dispatch (GateDb *db)
{
  GateGroup *group = db->group;
  guint64 now_us = group->gate->ctx->now_us;

  while (db->in_flight < gate_window (db))
    {
      TouQueueItem *item
          = tou_queue_pop (db->queue, tou_pool_has_idle (db->pool));
      GateJob *job = (GateJob *)item;
      TouConn *conn;

      if (item == NULL)
        return;
      /* A statement that cannot be answered before its deadline would only
         occupy a slot. */
      if (!tou_queue_is_in_time (db->queue, item, now_us))
        {
          gate_refuse (
              job, TOU_E_DEADLINE,
              tou_queue_wait_us (db->queue, item->rank, item->flow, now_us));
          continue;
        }
      conn = dispatch_is_valid (job, db) ? dispatch_conn (job, db) : NULL;
      if (conn != NULL)
        {
          dispatch_execute (job, db, conn);
          continue;
        }
      gate_job_detach (job);
      dispatch_wait (job);
    }
}

void
gate_reschedule_queued (GateDb *db)
{
  GateGroup *group = db->group;
  TouQueueItem *item;
  GQueue jobs = G_QUEUE_INIT;
  GList *link;

  while ((item = tou_queue_pop_any (db->queue)) != NULL)
    {
      GateJob *job = (GateJob *)item;

      gate_job_detach (job);
      job->link.data = job;
      g_queue_push_tail_link (&jobs, &job->link);
    }
  while ((link = g_queue_pop_head_link (&jobs)) != NULL)
    {
      GateJob *job = link->data;

      if (job->txn != NULL)
        gate_schedule (job);
      else
        dispatch_wait (job);
    }
  gate_reschedule_waiting (group);
}

void
gate_reschedule_waiting (GateGroup *group)
{
  GQueue jobs = group->waiting;

  g_queue_init (&group->waiting);
  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    {
      GList *link = jobs.head;

      while (link != NULL)
        {
          GateJob *job = link->data;

          link = link->next;
          if ((guint)job->request.rank != rank)
            continue;
          g_queue_unlink (&jobs, &job->link);
          job->state = GATE_JOB_NEW;
          gate_schedule (job);
        }
    }
}
