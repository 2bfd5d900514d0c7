#include "gate-internal.h"

/* Connections reserved for statements outside transactions. */
#define GATE_TXN_RESERVED_CONNECTIONS 1

gboolean
gate_txn_may_begin (const GateGroup *group, const GateDb *db)
{
  guint cap = tou_pool_cap (db->pool);
  guint limit = MIN (group->gate->ctx->settings.txn_limit,
                     MAX (cap, GATE_TXN_RESERVED_CONNECTIONS + 1)
                         - GATE_TXN_RESERVED_CONNECTIONS);

  return group->n_txns < limit;
}

gboolean
gate_in_transaction (const GateJob *job)
{
  return job->request.kind != TOU_REQUEST_STATEMENT
         && job->request.kind != TOU_REQUEST_BEGIN;
}

/* Returns the code for a request whose transaction is not open on this gate. */
static int
txn_missing_code (const TouGate *gate, const TouRequestId *id)
{
  const TouCoreSettings *settings = &gate->ctx->settings;

  return tou_name_equal (&id->node, &settings->node)
                 && id->incarnation == settings->incarnation
             ? TOU_E_UNKNOWN_TXN
             : TOU_E_TXN_LOST;
}

void
gate_txn_admit (GateJob *job)
{
  TouGate *gate = job->gate;
  TouTxn *txn = tou_txn_find (gate->txns, &job->request.txn);

  job->reply.txn = job->request.txn;
  if (txn == NULL)
    gate_refuse (job, txn_missing_code (gate, &job->request.txn), 0);
  else if (txn->job != NULL)
    gate_refuse (job, TOU_E_TXN_BUSY, 0);
  else if (txn->aborted && job->request.kind != TOU_REQUEST_ROLLBACK)
    gate_refuse (job, TOU_E_TXN_ABORTED, 0);
  else
    {
      GateDb *db = txn->db;

      job->group = db->group;
      job->group->n_jobs++;
      job->txn = txn;
      job->item.pinned = TRUE;
      txn->job = job;
      gate_schedule (job);
    }
}

void
gate_txn_remove (TouGate *gate, TouTxn *txn)
{
  GateDb *db = txn->db;
  GateJob *job = txn->job;

  if (job != NULL)
    job->txn = NULL;
  db->group->n_txns--;
  tou_txn_close (gate->txns, txn);
}

void
gate_txn_abort (TouGate *gate, TouTxn *txn)
{
  GateJob *job = txn->job;
  TouConn *conn = txn->conn;

  if (job != NULL && job->state == GATE_JOB_RUNNING)
    {
      gate_abandon (job, TOU_E_TXN_LOST, "the transaction was ended");
      return;
    }
#ifdef TOU_DEFECT_REUSE_OPEN_TRANSACTION
  gate_txn_remove (gate, txn);
  tou_pool_release (conn->pool, conn);
#else
  gate_txn_remove (gate, txn);
  tou_pool_discard (conn->pool, conn);
#endif
  if (job != NULL)
    gate_finish_txn_lost (job);
}

static void
txn_on_begun (GateJob *job, TouConn *conn)
{
  TouGate *gate = job->group->gate;
  TouContext *ctx = gate->ctx;
  TouRequestId id = { .node = ctx->settings.node,
                      .incarnation = ctx->settings.incarnation };

  id.sequence = tou_context_next_id (ctx);
  tou_txn_open (gate->txns, &id, job->db, conn, ctx->now_us,
                ctx->settings.txn_idle_us);
  job->txn_counted = FALSE;
  job->reply.txn = id;
}

/* Ends the transaction. The connection returns to its pool if the database has
   ended the transaction too, otherwise it is closed. */
static void
txn_finish (GateJob *job, TouConn *conn, gboolean clean)
{
  gate_txn_remove (job->group->gate, job->txn);
  if (clean)
    tou_pool_release (conn->pool, conn);
  else
    tou_pool_discard (conn->pool, conn);
}

void
gate_txn_on_result (GateJob *job, TouConn *conn, TouDbOutcome outcome)
{
  switch (job->request.kind)
    {
    case TOU_REQUEST_BEGIN:
      if (outcome == TOU_DB_DONE)
        txn_on_begun (job, conn);
      else if (outcome == TOU_DB_REJECTED)
        tou_pool_release (conn->pool, conn);
      else
        tou_pool_discard (conn->pool, conn);
      break;
    case TOU_REQUEST_TXN_STATEMENT:
      job->txn->last_used_us = job->group->gate->ctx->now_us;
      if (outcome == TOU_DB_REJECTED)
        job->txn->aborted = TRUE;
      else if (outcome != TOU_DB_DONE)
        txn_finish (job, conn, FALSE);
      break;
    case TOU_REQUEST_COMMIT:
    case TOU_REQUEST_ROLLBACK:
      txn_finish (job, conn, outcome == TOU_DB_DONE);
      break;
    case TOU_REQUEST_STATEMENT:
    default:
      break;
    }
}

void
gate_txn_on_tick (TouGate *gate)
{
  TouTxn *txn;

  while ((txn = tou_txn_next_idle (gate->txns, gate->ctx->now_us)) != NULL)
    {
      tou_context_log (gate->ctx, G_LOG_LEVEL_INFO, TOU_E_TXN_LOST,
                       "transaction rolled back at the idle limit");
      gate_txn_abort (gate, txn);
    }
}
