#include "gate-internal.h"

/* Weight of a new measurement in the estimated confirmation time: 1 / 8. */
#define GATE_CONFIRM_SHIFT 3

static void
ack_send (TouContext *ctx, const TouName *to, TouReply *reply)
{
  TouMessage *message;

  if (tou_name_equal (to, &ctx->settings.node))
    {
      tou_front_on_reply (ctx->front, &ctx->settings.node, reply);
      return;
    }
  message = tou_message_create (TOU_MESSAGE_EXECUTE_REPLY);
  message->u.reply = *reply;
  tou_context_send (ctx, to, message);
}

static void
ack_count (TouContext *ctx, const TouReply *reply)
{
  if (reply->replayed)
    TOU_COUNT (ctx, KEY_REPLAYS);
  if (reply->code == TOU_E_QUEUE_FULL)
    TOU_COUNT (ctx, QUEUE_FULL);
  if (reply->code == TOU_E_DEADLINE)
    TOU_COUNT (ctx, DEADLINE_REFUSED);
}

/* The job is freed before the reply is delivered, because the front may call
   the gate again from tou_front_on_reply (). */
void
gate_finish (GateJob *job, TouOutcome outcome, int code, const char *detail)
{
  TouContext *ctx = job->gate->ctx;
  TouReply reply = job->reply;
  TouName to = job->from;
  gboolean cancelled = job->cancelled;

  job->reply = (TouReply){ 0 };
  reply.id = job->request.id;
  reply.code = code;
  reply.outcome = outcome;
  reply.gate = ctx->settings.node;
  if (outcome != TOU_OUTCOME_DONE)
    {
      tou_str_clear (&reply.result);
      reply.replayed = FALSE;
      reply.pos = (TouLogPos){ 0, 0 };
    }
  if (detail != NULL)
    {
      tou_str_clear (&reply.message);
      tou_str_init_c (&reply.message, detail);
    }
  gate_job_free (job);
  ack_count (ctx, &reply);
  if (cancelled)
    tou_reply_clear (&reply);
  else
    ack_send (ctx, &to, &reply);
}

void
gate_refuse (GateJob *job, int code, guint64 retry_after_us)
{
  job->reply.retry_after_us = retry_after_us;
  gate_finish (job, TOU_OUTCOME_NOT_RUN, code, NULL);
}

void
gate_finish_lost (GateJob *job, int code, const char *detail)
{
  switch (job->request.kind)
    {
    case TOU_REQUEST_BEGIN:
    case TOU_REQUEST_TXN_STATEMENT:
    case TOU_REQUEST_ROLLBACK:
      /* COMMIT was not sent and the connection is closed, so the database
         rolls the transaction back. */
      gate_finish (job, TOU_OUTCOME_NOT_RUN, TOU_E_TXN_LOST, detail);
      return;
    case TOU_REQUEST_STATEMENT:
    case TOU_REQUEST_COMMIT:
    default:
#ifdef TOU_DEFECT_NOT_RUN_AFTER_DISPATCH
      gate_finish (job, TOU_OUTCOME_NOT_RUN, code, detail);
#else
      gate_finish (job, TOU_OUTCOME_UNKNOWN, code, detail);
#endif
    }
}

void
gate_finish_txn_lost (GateJob *job)
{
  gate_finish (job, TOU_OUTCOME_NOT_RUN, TOU_E_TXN_LOST,
               "the transaction was rolled back");
}

/* Detaches the job from its connection. */
static void
ack_detach_conn (GateJob *job)
{
  job->conn->job = NULL;
  job->conn->sequence = 0;
  job->conn = NULL;
  job->db->in_flight--;
  job->state = GATE_JOB_NEW;
}

void
gate_abandon (GateJob *job, int code, const char *detail)
{
  TouConn *conn = job->conn;
  TouPool *pool = conn->pool;
  GateDb *db = job->db;

  ack_detach_conn (job);
  if (job->txn != NULL)
    gate_txn_remove (db->group->gate, job->txn);
  tou_pool_discard (pool, conn);
  gate_finish_lost (job, code, detail);
  gate_dispatch (db);
}

void
gate_on_conn_lost (TouGate *gate, TouConn *conn, gboolean refused)
{
  TouPool *pool = conn->pool;
  GateDb *db = tou_pool_user_data (pool);
  TouTxn *txn = tou_txn_find_by_conn (gate->txns, conn);
  GateJob *running = conn->job;
  GateJob *other = running == NULL && txn != NULL ? txn->job : NULL;

  if (running != NULL)
    ack_detach_conn (running);
  if (txn != NULL)
    gate_txn_remove (gate, txn);
  tou_pool_on_closed (pool, conn, refused);
  if (running != NULL)
    gate_finish_lost (running, TOU_E_CONNECTION_LOST,
                      "connection to the database was lost");
  if (other != NULL)
    gate_finish_txn_lost (other);
  gate_dispatch (db);
}

/* A reply with data is released only with evidence that the data survives a
   promotion. This includes reads on replicas: a superseded claim may still
   promote a database that lacks the position the replica has read
   (READ_REPLICA_AT_ONCE in models/failover.pml). */
static gboolean
ack_needs_evidence (const GateJob *job)
{
  return job->request.kind != TOU_REQUEST_BEGIN
         && job->request.kind != TOU_REQUEST_ROLLBACK;
}

/* TRUE for data of an earlier term that is part of the current primary's
   history. */
static gboolean
ack_is_in_history (const GateJob *job, const TouGroupRecord *record)
{
  return job->reply.role == TOU_ROLE_REPLICA
         && record->state == TOU_RECORD_ACTIVE && job->pos.term > 0
         && job->pos.term < record->term
         && !tou_record_discards (record, job->pos);
}

/* TRUE once a majority holds the first position of the current term, which
   implies that it holds all earlier positions of the history. */
static gboolean
ack_term_is_committed (const GateGroup *group, const TouGroupRecord *record,
                       const TouIndex *index)
{
  int primary = gate_primary (group);
  TouLogPos first = { record->term, 0 };

  if (primary < 0 || record->n_history == 0)
    return FALSE;
  first.position = record->history[record->n_history - 1].start + 1;
  return tou_index_is_committed (index, (guint)primary, first);
}

static void
ack_finish_term_changed (GateJob *job)
{
  if (job->txn != NULL)
    {
      TouTxn *txn = job->txn;

      txn->job = NULL;
      job->txn = NULL;
      gate_txn_abort (job->group->gate, txn);
    }
  gate_finish_lost (job, TOU_E_TERM_CHANGED,
                    "a later term is known than that of the answer");
}

static void
ack_measure_confirm (const GateJob *job)
{
  GateGroup *group = job->group;
  guint64 elapsed_us = group->gate->ctx->now_us - job->answered_us;

  group->confirm_us = group->confirm_us
                      - (group->confirm_us >> GATE_CONFIRM_SHIFT)
                      + (elapsed_us >> GATE_CONFIRM_SHIFT);
}

/* Releases the reply if its position is committed. Returns TRUE if the job was
   answered. */
static gboolean
ack_try_release (GateJob *job)
{
  const GateGroup *group = job->group;
  const TouGroupRecord *record = gate_record (group);
  const TouIndex *index
      = tou_monitor_index (group->gate->ctx->monitor, &group->name);

  if (ack_is_in_history (job, record))
    {
      if (index == NULL || !ack_term_is_committed (group, record, index))
        return FALSE;
    }
#if defined(TOU_DEFECT_IGNORE_TERM_CHANGE)                                     \
    || defined(TOU_DEFECT_IGNORE_FENCE_AND_TERM)
  else if (FALSE)
#else
  else if (record->term > job->pos.term)
#endif
    {
      ack_finish_term_changed (job);
      return TRUE;
    }
  else if (index == NULL
           || !tou_index_is_committed (index, job->db->index, job->pos))
    return FALSE;
  ack_measure_confirm (job);
  gate_finish (job, TOU_OUTCOME_DONE, TOU_OK, NULL);
  return TRUE;
}

void
gate_check_confirming (GateGroup *group)
{
  GList *link = group->confirming.head;

  while (link != NULL)
    {
      GateJob *job = link->data;

      link = link->next;
      ack_try_release (job);
    }
}

/* TRUE for a read whose result does not include the session's position. This
   happens if an outdated group record routes the read to a replaced primary
   (PRIMARY_NO_TOKEN in models/group-state.pml). */
static gboolean
ack_is_behind_session (const GateJob *job)
{
  TouLogPos token
      = tou_session_get (&job->request.session, &job->request.group);

  return job->request.kind == TOU_REQUEST_STATEMENT
         && !gate_job_needs_primary (job)
#ifdef TOU_DEFECT_SESSION_WITHOUT_TOKEN
         && FALSE
#else
         && token.term > 0
#endif
         && !tou_record_covers (gate_record (job->group), job->pos, token);
}

/* Only writes and commits advance the session token. */
static void
ack_on_done (GateJob *job)
{
  GateGroup *group = job->group;

  job->answered_us = group->gate->ctx->now_us;
  if (job->request.kind == TOU_REQUEST_COMMIT
      || (job->request.kind == TOU_REQUEST_STATEMENT
          && gate_job_needs_primary (job)))
    job->reply.pos = job->pos;
  if (ack_is_behind_session (job))
    {
      gate_finish (job, TOU_OUTCOME_NOT_RUN, TOU_E_TERM_CHANGED,
                   "the endpoint lacks the session's position");
      return;
    }
  if (!ack_needs_evidence (job))
    {
      gate_finish (job, TOU_OUTCOME_DONE, TOU_OK, NULL);
      return;
    }
  if (ack_try_release (job))
    return;
  job->state = GATE_JOB_CONFIRMING;
  job->link.data = job;
  g_queue_push_tail_link (&group->confirming, &job->link);
  tou_monitor_poll (group->gate->ctx->monitor, &group->name);
}

/* Returns the connection of an answered statement to its pool, or closes it. */
static void
ack_release_conn (GateJob *job, TouConn *conn, TouDbOutcome outcome)
{
  if (job->request.kind != TOU_REQUEST_STATEMENT)
    gate_txn_on_result (job, conn, outcome);
  else if (outcome == TOU_DB_DONE || outcome == TOU_DB_REJECTED)
    tou_pool_release (conn->pool, conn);
  else
    tou_pool_discard (conn->pool, conn);
}

void
gate_on_result (TouGate *gate, TouConn *conn, TouEvent *event)
{
  GateJob *job = conn->job;
  TouDbOutcome outcome = event->u.db_result.outcome;
  int code = event->u.db_result.code;
  GateDb *db;

  if (job == NULL || conn->sequence != event->u.db_result.sequence)
    {
      TOU_COUNT (gate->ctx, LATE_REPLIES);
      return;
    }
  db = job->db;
  ack_detach_conn (job);
  job->pos = event->u.db_result.pos;
  job->reply.replayed = event->u.db_result.replayed;
  tou_str_move (&job->reply.result, &event->u.db_result.result);
  tou_str_move (&job->reply.message, &event->u.db_result.message);
  if (outcome == TOU_DB_DONE || outcome == TOU_DB_REJECTED)
    tou_queue_record_cost (db->queue, job->request.rank,
                           gate->ctx->now_us - job->sent_us, gate->ctx->now_us);
  ack_release_conn (job, conn, outcome);
  switch (outcome)
    {
    case TOU_DB_DONE:
      ack_on_done (job);
      break;
    case TOU_DB_REJECTED:
      gate_finish (job, TOU_OUTCOME_NOT_RUN,
                   code != TOU_OK ? code : TOU_E_STATEMENT_REJECTED, NULL);
      break;
    case TOU_DB_NOT_SENT:
      /* The connection was closed, which ended its transaction. */
      if (gate_in_transaction (job))
        code = TOU_E_TXN_LOST;
      gate_finish (job, TOU_OUTCOME_NOT_RUN,
                   code != TOU_OK ? code : TOU_E_CONNECTION_LOST, NULL);
      break;
    case TOU_DB_LOST:
    default:
      gate_finish_lost (job, code != TOU_OK ? code : TOU_E_CONNECTION_LOST,
                        NULL);
      break;
    }
  gate_dispatch (db);
}

GPtrArray *
gate_running_jobs (const GateGroup *group)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, group->gate->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouConn *conn = value;
      const GateDb *db = tou_pool_user_data (conn->pool);

      if (db->group == group && conn->job != NULL)
        g_ptr_array_add (jobs, conn->job);
    }
  return jobs;
}

void
gate_abandon_old_term (GateGroup *group)
{
  TouGate *gate = group->gate;
  guint64 term = gate_record (group)->term;
  GPtrArray *jobs = gate_running_jobs (group);

  for (guint i = 0; i < jobs->len; i++)
    {
      GateJob *job = g_ptr_array_index (jobs, i);

      if (job->state == GATE_JOB_RUNNING && gate_job_needs_primary (job)
          && job->conn->term < term)
        gate_abandon (job, TOU_E_TERM_CHANGED,
                      "the primary was replaced while the statement ran");
    }
  g_ptr_array_free (jobs, TRUE);
  for (guint i = 0; i < group->n; i++)
    {
      TouTxn *txn;

      /* All transactions on a database have the same term, because the pool of
         a primary only holds connections of the record's term. */
      while ((txn = tou_txn_find_by_db (gate->txns, group->dbs[i])) != NULL
             && txn->conn->term < term)
        gate_txn_abort (gate, txn);
    }
}

void
gate_abandon_reads (GateGroup *group)
{
  const TouRouteTable *table = tou_routes_table (group->routes);
  GPtrArray *jobs = gate_running_jobs (group);

  for (guint i = 0; i < jobs->len; i++)
    {
      GateJob *job = g_ptr_array_index (jobs, i);

      if (!gate_job_needs_primary (job)
          && (table->causes[job->db->index] & TOU_CAUSE_FAILED) != 0)
        gate_abandon (job, TOU_E_CONNECTION_LOST,
                      "the endpoint was withdrawn as failed");
    }
  g_ptr_array_free (jobs, TRUE);
}

static void
ack_expire_confirming (GateGroup *group)
{
  GList *link = group->confirming.head;
  guint64 now_us = group->gate->ctx->now_us;

  while (link != NULL)
    {
      GateJob *job = link->data;

      link = link->next;
      if (job->request.deadline_us > now_us)
        continue;
      if (job->txn != NULL)
        {
          TouTxn *txn = job->txn;

          txn->job = NULL;
          job->txn = NULL;
          gate_txn_abort (group->gate, txn);
        }
      gate_finish_lost (job, TOU_E_UNCONFIRMED,
                        "no majority showed the position in time");
    }
}

void
gate_ack_on_tick (GateGroup *group)
{
  guint64 now_us = group->gate->ctx->now_us;
  GPtrArray *jobs = gate_running_jobs (group);

  for (guint i = 0; i < jobs->len; i++)
    {
      GateJob *job = g_ptr_array_index (jobs, i);

      if (job->request.deadline_us <= now_us)
        gate_abandon (job, TOU_E_UNCONFIRMED,
                      "the database did not answer before the deadline");
    }
  g_ptr_array_free (jobs, TRUE);
  ack_expire_confirming (group);
}
