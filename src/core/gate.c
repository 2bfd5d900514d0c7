#include "gate-internal.h"

/* A group that is not placed on this proxy is removed this long after its last
   request, which frees its connections for the group's gate. */
#define GATE_GROUP_RETENTION_US (2 * TOU_US_PER_S)
/* A leaving endpoint is not announced again, nor is the reuse of its name or
   address, so the mark expires after this time. */
#define GATE_LEAVING_TTL_US (3600 * TOU_US_PER_S)
/* Limits memory usage. A failure domain has about 1,100 databases, and each is
   stored under its name and its address. */
#define GATE_MAX_LEAVING 16384

const TouGroupRecord *
gate_record (const GateGroup *group)
{
  return tou_failover_record (group->gate->ctx->failover, &group->name);
}

void
gate_job_detach (GateJob *job)
{
  switch (job->state)
    {
    case GATE_JOB_WAITING:
      g_queue_unlink (&job->group->waiting, &job->link);
      break;
    case GATE_JOB_CONFIRMING:
      g_queue_unlink (&job->group->confirming, &job->link);
      break;
    case GATE_JOB_QUEUED:
      tou_queue_remove (job->db->queue, &job->item);
      break;
    case GATE_JOB_NEW:
    case GATE_JOB_RUNNING:
      break;
    }
  if (job->txn_counted)
    job->group->n_txns--;
  job->txn_counted = FALSE;
  job->state = GATE_JOB_NEW;
}

void
gate_job_free (GateJob *job)
{
  gate_job_detach (job);
  if (job->txn != NULL)
    job->txn->job = NULL;
  if (job->group != NULL)
    job->group->n_jobs--;
  g_hash_table_remove (job->gate->jobs, &job->request.id);
  tou_request_clear (&job->request);
  tou_reply_clear (&job->reply);
  g_free (job);
}

int
tou_gate_create (TouGate **out, TouContext *ctx)
{
  TouGate *gate = g_new0 (TouGate, 1);

  gate->ctx = ctx;
  gate->groups = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  gate->jobs
      = g_hash_table_new (tou_request_id_hash, tou_request_id_equal_func);
  gate->conns = g_hash_table_new (g_int64_hash, g_int64_equal);
  gate->leaving = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         g_free, g_free);
  gate->failed_domains = g_hash_table_new_full (
      tou_name_hash, tou_name_equal_func, g_free, g_free);
  gate->member_version = G_MAXUINT64;
  tou_txn_table_create (&gate->txns);
  *out = gate;
  return TOU_OK;
}

static void
gate_refresh_all (TouGate *gate)
{
  GList *groups = g_hash_table_get_values (gate->groups);

  for (GList *item = groups; item != NULL; item = item->next)
    gate_group_refresh (item->data);
  g_list_free (groups);
}

void
tou_gate_on_change (TouGate *gate, const TouName *name)
{
  const TouGroupConfig *config;
  GateGroup *group;

  if (name == NULL)
    {
      gate_refresh_all (gate);
      return;
    }
  group = g_hash_table_lookup (gate->groups, name);
  config = tou_config_group (gate->ctx->config, name);
  if (group == NULL && config != NULL && !tou_drain_is_active (gate->ctx->drain)
      && tou_place_is_gate (gate->ctx->place, config))
    group = gate_group_create (gate, config);
  if (group != NULL)
    gate_group_refresh (group);
}

static void
gate_admit (GateJob *job)
{
  TouGate *gate = job->gate;
  TouContext *ctx = gate->ctx;
  const TouGroupConfig *config
      = tou_config_group (ctx->config, &job->request.group);
  GateGroup *group = g_hash_table_lookup (gate->groups, &job->request.group);

  if (tou_drain_is_active (ctx->drain))
    {
      gate_refuse (job, TOU_E_DRAINING, 0);
      return;
    }
  if (config == NULL)
    {
      gate_refuse (job, TOU_E_UNKNOWN_GROUP, 0);
      return;
    }
  if (group == NULL)
    {
      group = gate_group_create (gate, config);
      tou_monitor_poll (ctx->monitor, &group->name);
      gate_group_refresh (group);
    }
  group->last_used_us = ctx->now_us;
  group->n_jobs++;
  job->group = group;
  gate_schedule (job);
}

void
tou_gate_execute (TouGate *gate, const TouName *from, TouRequest *request)
{
  TouName group = request->group;
  GateGroup *served;
  GateJob *job;

  if (g_hash_table_contains (gate->jobs, &request->id))
    {
      tou_request_clear (request);
      *request = (TouRequest){ 0 };
      return;
    }
  job = g_new0 (GateJob, 1);
  job->gate = gate;
  job->from = *from;
  job->request = *request;
  *request = (TouRequest){ 0 };
  job->arrived_us = gate->ctx->now_us;
  job->item.rank = job->request.rank;
  job->item.deadline_us = job->request.deadline_us;
  g_hash_table_insert (gate->jobs, &job->request.id, job);
  if (gate_in_transaction (job))
    gate_txn_admit (job);
  else
    gate_admit (job);
  served = g_hash_table_lookup (gate->groups, &group);
  if (served != NULL && gate_needs_poll (served))
    tou_monitor_poll (gate->ctx->monitor, &group);
}

void
tou_gate_cancel (TouGate *gate, const TouRequestId *id)
{
  GateJob *job = g_hash_table_lookup (gate->jobs, id);

  if (job == NULL)
    return;
  if (job->state == GATE_JOB_WAITING || job->state == GATE_JOB_QUEUED)
    gate_job_free (job);
  else
    job->cancelled = TRUE;
}

gboolean
tou_gate_on_event (TouGate *gate, TouEvent *event)
{
  TouConn *conn;
  TouPool *pool;

  switch (event->type)
    {
    case TOU_EVENT_DB_OPENED:
      conn = g_hash_table_lookup (gate->conns, &event->u.db_opened.conn);
      if (conn == NULL)
        return FALSE;
      /* tou_pool_on_opened () may free the connection. */
      pool = conn->pool;
      tou_pool_on_opened (pool, conn);
      gate_dispatch (tou_pool_user_data (pool));
      return TRUE;
    case TOU_EVENT_DB_CLOSED:
      conn = g_hash_table_lookup (gate->conns, &event->u.db_closed.conn);
      if (conn == NULL)
        return FALSE;
      gate_on_conn_lost (gate, conn, event->u.db_closed.refused);
      return TRUE;
    case TOU_EVENT_DB_RESULT:
      conn = g_hash_table_lookup (gate->conns, &event->u.db_result.conn);
      if (conn != NULL)
        gate_on_result (gate, conn, event);
      else
        TOU_COUNT (gate->ctx, LATE_REPLIES);
      return TRUE;
    default:
      return FALSE;
    }
}

static void
gate_mark_leaving (TouGate *gate, const TouName *name)
{
  guint64 until_us = gate->ctx->now_us + GATE_LEAVING_TTL_US;

  if (name->len > 0)
    g_hash_table_replace (gate->leaving, g_memdup2 (name, sizeof *name),
                          g_memdup2 (&until_us, sizeof until_us));
}

static gboolean
gate_leaving_is_expired (gpointer key, gpointer value, gpointer user_data)
{
  const TouContext *ctx = user_data;

  (void)key;
  return *(const guint64 *)value <= ctx->now_us;
}

void
tou_gate_on_leaving (TouGate *gate, const TouVm *vms, guint count)
{
  g_hash_table_foreach_remove (gate->leaving, gate_leaving_is_expired,
                               gate->ctx);
  for (guint i = 0; i < count; i++)
    if (vms[i].state == TOU_VM_LEAVING
        && g_hash_table_size (gate->leaving) < GATE_MAX_LEAVING)
      {
        gate_mark_leaving (gate, &vms[i].name);
        gate_mark_leaving (gate, &vms[i].address);
      }
    else if (vms[i].state != TOU_VM_LEAVING)
      {
        g_hash_table_remove (gate->leaving, &vms[i].name);
        g_hash_table_remove (gate->leaving, &vms[i].address);
      }
  gate_refresh_all (gate);
}

gboolean
tou_gate_is_leaving (const TouGate *gate, const TouEndpoint *endpoint)
{
  return g_hash_table_contains (gate->leaving, &endpoint->name)
         || g_hash_table_contains (gate->leaving, &endpoint->address);
}

static int
gate_expiry_code (const GateJob *job)
{
  if (gate_job_needs_primary (job))
    return gate_primary_is_usable (job->group) ? TOU_E_DEADLINE
                                               : TOU_E_GATE_NO_PRIMARY;
  return job->request.mode == TOU_READ_MAX_AGE ? TOU_E_TOO_STALE
                                               : TOU_E_NO_ENDPOINT;
}

/* Refuses requests whose deadline passed before they were dispatched. */
static void
gate_expire (GateGroup *group)
{
  guint64 now_us = group->gate->ctx->now_us;
  GList *link = group->waiting.head;

  while (link != NULL)
    {
      GateJob *job = link->data;

      link = link->next;
      if (job->request.deadline_us <= now_us)
        gate_refuse (job, gate_expiry_code (job), 0);
    }
  for (guint i = 0; i < group->n; i++)
    {
      TouQueue *queue = group->dbs[i]->queue;
      TouQueueItem *item;

      while ((item = tou_queue_pop_expired (queue, now_us)) != NULL)
        gate_refuse ((GateJob *)item, TOU_E_DEADLINE,
                     tou_queue_wait_us (queue, item->rank, item->flow, now_us));
    }
}

static gboolean
gate_group_is_unused (const GateGroup *group)
{
  TouContext *ctx = group->gate->ctx;

  return group->n_jobs == 0 && group->n_txns == 0
         && ctx->now_us >= group->last_used_us + GATE_GROUP_RETENTION_US
         && (tou_drain_is_active (ctx->drain)
             || !tou_place_is_gate (ctx->place, &group->config));
}

void
tou_gate_on_tick (TouGate *gate)
{
  GList *groups = g_hash_table_get_values (gate->groups);

  gate_txn_on_tick (gate);
  for (GList *item = groups; item != NULL; item = item->next)
    {
      GateGroup *group = item->data;

      gate_ack_on_tick (group);
      gate_expire (group);
      for (guint i = 0; i < group->n; i++)
        tou_pool_on_tick (group->dbs[i]->pool);
      if (gate_group_refresh (group) && gate_group_is_unused (group))
        {
          g_hash_table_remove (gate->groups, &group->name);
          gate_group_free (group);
        }
    }
  g_list_free (groups);
}

gboolean
tou_gate_is_idle (const TouGate *gate)
{
  return g_hash_table_size (gate->jobs) == 0 && tou_txn_count (gate->txns) == 0;
}

void
tou_gate_destroy (TouGate *gate)
{
  GHashTableIter iter;
  gpointer value;

  if (gate == NULL)
    return;
  g_hash_table_iter_init (&iter, gate->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GateJob *job = value;

      tou_request_clear (&job->request);
      tou_reply_clear (&job->reply);
      g_free (job);
    }
  g_hash_table_iter_init (&iter, gate->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gate_group_free (value);
  g_hash_table_destroy (gate->groups);
  g_hash_table_destroy (gate->jobs);
  g_hash_table_destroy (gate->conns);
  g_hash_table_destroy (gate->leaving);
  g_hash_table_destroy (gate->failed_domains);
  tou_txn_table_destroy (gate->txns);
  g_free (gate);
}
