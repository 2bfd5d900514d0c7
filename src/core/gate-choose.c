#include "gate-internal.h"

/* Writes wait for the replacement of an unreachable primary for this many times
   suspect_after. After that, the gate assumes that only this proxy cannot reach
   the primary. */
#define GATE_WRITE_WAIT_FACTOR 2
/* A failure domain is considered failed if at least this many of its members
   are in the member table and all are dead. A single dead VM is not evidence of
   a failed domain. */
#define GATE_DOMAIN_MIN_MEMBERS 2
/* Estimated additional wait at a database without an open connection. */
#define GATE_NO_CONNECTION_WAIT_US (10 * TOU_US_PER_S)

int
gate_primary (const GateGroup *group)
{
  const TouGroupRecord *record = gate_record (group);

  if (record->state != TOU_RECORD_ACTIVE)
    return TOU_ROUTE_NO_PRIMARY;
  return tou_group_endpoint_index (&group->config, &record->primary);
}

static const TouDbState *
choose_state (const GateGroup *group, guint endpoint)
{
  return tou_monitor_db (group->gate->ctx->monitor, &group->name, endpoint);
}

static gboolean
choose_is_reachable (const GateGroup *group, const TouDbState *state)
{
  const TouContext *ctx = group->gate->ctx;

  return state != NULL && state->connected && state->reported
         && ctx->now_us < state->received_us + ctx->settings.suspect_after_us;
}

gboolean
gate_primary_is_usable (const GateGroup *group)
{
  const TouGroupRecord *record = gate_record (group);
  int primary = gate_primary (group);
  const TouDbState *state;

  if (primary < 0)
    return FALSE;
  state = choose_state (group, (guint)primary);
  return choose_is_reachable (group, state)
         && state->report.role == TOU_ROLE_PRIMARY
         && state->report.last.term == record->term
         && state->report.fence_term <= record->term;
}

gboolean
gate_job_needs_primary (const GateJob *job)
{
  return job->request.kind != TOU_REQUEST_STATEMENT
         || job->request.mode == TOU_READ_NONE;
}

guint64
gate_job_max_age_us (const GateJob *job)
{
  const TouRequest *request = &job->request;
  guint64 since_arrival_us = job->group->gate->ctx->now_us - job->arrived_us;
  gboolean position_unknown
      = request->session.overflow
        && tou_session_get (&request->session, &request->group).term == 0;

  if (request->mode == TOU_READ_FRESH || position_unknown)
#ifdef TOU_DEFECT_FRESH_OLD_ROUND
    return since_arrival_us + TOU_US_PER_S;
#else
    return since_arrival_us;
#endif
  if (request->mode == TOU_READ_MAX_AGE)
    return request->max_age_us;
  return G_MAXUINT64;
}

gboolean
gate_db_qualifies (const GateJob *job, const GateDb *db)
{
  const GateGroup *group = job->group;
  TouContext *ctx = group->gate->ctx;
  const TouGroupRecord *record = gate_record (group);
  const TouDbState *state = choose_state (group, db->index);
  const TouIndex *index = tou_monitor_index (ctx->monitor, &group->name);
  TouLogPos token = tou_session_get (&job->request.session, &group->name);
  gboolean is_primary = (int)db->index == gate_primary (group);
  guint64 max_age_us = gate_job_max_age_us (job);

  /* The record's history ends with the record's term, so a log of a later term
     cannot be compared with the token. */
#ifdef TOU_DEFECT_SESSION_WITHOUT_TOKEN
  token.term = 0;
#endif
  if (state == NULL || !state->reported || index == NULL
      || state->report.last.term > record->term)
    return FALSE;
  if (token.term > 0 && !(is_primary && token.term <= record->term)
      && !tou_record_covers (record, state->report.last, token))
    return FALSE;
  if (max_age_us == G_MAXUINT64)
    return TRUE;
  return tou_index_age (index, record, db->index, ctx->now_us) <= max_age_us;
}

/* Returns the estimated wait of the job; the number of running statements
   breaks ties. */
static guint64
choose_wait_us (const GateJob *job, const GateDb *db)
{
  guint64 wait_us = tou_queue_wait_us (db->queue, job->request.rank, NULL,
                                       db->group->gate->ctx->now_us)
                    + db->in_flight;

  return tou_pool_count (db->pool) > 0 ? wait_us
                                       : wait_us + GATE_NO_CONNECTION_WAIT_US;
}

/* TRUE if the routing table permits the job to read from replica @a db. A
   replica withdrawn only for its lag still serves session reads whose position
   it covers. */
static gboolean
choose_is_routed (const GateJob *job, const GateDb *db, gboolean ignore_share)
{
  const GateGroup *group = job->group;
  TouContext *ctx = group->gate->ctx;
  guint causes = tou_routes_table (group->routes)->causes[db->index];
  guint share = tou_routes_share (group->routes, db->index, ctx->now_us);

  if (causes == TOU_CAUSE_LAG && gate_job_max_age_us (job) == G_MAXUINT64)
    return TRUE;
  if (causes != 0)
    return FALSE;
  return ignore_share || share == 100
         || tou_random_below (&ctx->random, 100) < share;
}

static GateDb *
choose_replica (const GateJob *job, gboolean ignore_share)
{
  GateGroup *group = job->group;
  int primary = gate_primary (group);
  GateDb *best = NULL;
  guint first = group->round_robin++;

  for (guint k = 0; k < group->n; k++)
    {
      GateDb *db = group->dbs[(first + k) % group->n];
      const TouDbState *state = choose_state (group, db->index);

      if ((int)db->index == primary || state == NULL
          || state->report.role != TOU_ROLE_REPLICA
          || !choose_is_routed (job, db, ignore_share)
          || !gate_db_qualifies (job, db))
        continue;
      if (best == NULL || choose_wait_us (job, db) < choose_wait_us (job, best))
        best = db;
    }
  return best;
}

/* TRUE if the wait at the replica exceeds the wait at the primary by more than
   session_wait. Without this check the primary's slots would be idle while
   reads are refused. */
static gboolean
choose_prefers_primary (const GateJob *job, const GateDb *replica,
                        const GateDb *primary)
{
  const TouContext *ctx = job->group->gate->ctx;

  return choose_wait_us (job, replica)
         > choose_wait_us (job, primary) + ctx->settings.session_wait_us;
}

static GateDb *
choose_for_read (const GateJob *job)
{
  GateGroup *group = job->group;
  const TouContext *ctx = group->gate->ctx;
  const TouRouteTable *table = tou_routes_table (group->routes);
  gboolean waited
      = ctx->now_us >= job->arrived_us + ctx->settings.session_wait_us;
  int primary = gate_primary (group);
  GateDb *db = choose_replica (job, FALSE);
  gboolean primary_qualifies = gate_primary_is_usable (group)
                               && table->causes[primary] == 0
                               && gate_db_qualifies (job, group->dbs[primary]);

  if (db != NULL)
    return primary_qualifies
                   && choose_prefers_primary (job, db, group->dbs[primary])
               ? group->dbs[primary]
               : db;
  if ((waited || table->reads_on_primary) && primary_qualifies)
    return group->dbs[primary];
  return waited ? choose_replica (job, TRUE) : NULL;
}

/* TRUE if the primary has been unreachable from this proxy for too long. A
   primary that no proxy can reach is replaced, and writes wait for this; if
   only this proxy cannot reach it, another gate has to serve the writes. */
static gboolean
choose_primary_timed_out (const GateGroup *group, int primary)
{
  const TouContext *ctx = group->gate->ctx;
  const TouDbState *state = choose_state (group, (guint)primary);
  guint64 since_us = group->activated_us;

  if (choose_is_reachable (group, state))
    return FALSE;
  if (state != NULL)
    since_us = MAX (since_us, state->received_us);
  return ctx->now_us
         >= since_us + GATE_WRITE_WAIT_FACTOR * ctx->settings.suspect_after_us;
}

static GateDb *
choose_for_write (const GateJob *job, int *code)
{
  const GateGroup *group = job->group;
  const TouGroupRecord *record = gate_record (group);
  TouLogPos token = tou_session_get (&job->request.session, &group->name);
  int primary = gate_primary (group);

  if (primary < 0 || token.term > record->term)
    return NULL;
  if (!gate_primary_is_usable (group))
    {
      if (choose_primary_timed_out (group, primary))
        *code = TOU_E_GATE_NO_PRIMARY;
      return NULL;
    }
  if (job->request.kind == TOU_REQUEST_BEGIN
      && !gate_txn_may_begin (group, group->dbs[primary]))
    return NULL;
  return group->dbs[primary];
}

GateDb *
gate_choose (GateJob *job, int *code)
{
  *code = TOU_OK;
  if (tou_record_discards (
          gate_record (job->group),
          tou_session_get (&job->request.session, &job->group->name)))
    {
      *code = TOU_E_TOKEN_DISCARDED;
      return NULL;
    }
  return gate_job_needs_primary (job) ? choose_for_write (job, code)
                                      : choose_for_read (job);
}

/* Counts the dead members of each failure domain after a membership change. */
static void
choose_update_domains (TouGate *gate)
{
  const TouMember *member = gate->ctx->member;
  guint64 version = tou_member_version (member);
  GHashTable *counts;

  if (version == gate->member_version)
    return;
  gate->member_version = version;
  g_hash_table_remove_all (gate->failed_domains);
  counts = gate->failed_domains;
  for (guint i = 0; i < tou_member_count (member); i++)
    {
      const TouMemberUpdate *update = tou_member_at (member, i);
      guint *dead = g_hash_table_lookup (counts, &update->failure_domain);

      /* 0 marks a domain with at least one member that is not dead. */
      if (dead == NULL)
        {
          dead = g_new (guint, 1);
          *dead = update->state == TOU_MEMBER_DEAD ? 1 : 0;
          g_hash_table_insert (counts,
                               g_memdup2 (&update->failure_domain,
                                          sizeof update->failure_domain),
                               dead);
        }
      else if (update->state != TOU_MEMBER_DEAD)
        *dead = 0;
      else if (*dead > 0)
        (*dead)++;
    }
}

static gboolean
choose_domain_failed (const TouGate *gate, const TouName *domain)
{
  const guint *dead = g_hash_table_lookup (gate->failed_domains, domain);

  return dead != NULL && *dead >= GATE_DOMAIN_MIN_MEMBERS;
}

/* TRUE for a primary that was or is being replaced, and for a replica whose log
   contains positions that the promotion discarded. The reported role is not
   sufficient, because a fenced primary reports itself as replica. */
static gboolean
choose_is_replaced (const GateGroup *group, const GateDb *db,
                    const TouDbState *state, gboolean is_primary)
{
  const TouGroupRecord *record = gate_record (group);

  if (state == NULL || is_primary)
    return FALSE;
  if (record->state == TOU_RECORD_CLAIMED
      && tou_name_equal (&record->primary, &db->endpoint.name))
    return TRUE;
  return state->report.role == TOU_ROLE_PRIMARY
         || tou_record_discards (record, state->report.last);
}

static guint
choose_causes (const GateGroup *group, const GateDb *db, int primary)
{
  TouGate *gate = group->gate;
  TouContext *ctx = gate->ctx;
  const TouDbState *state = choose_state (group, db->index);
  const TouIndex *index = tou_monitor_index (ctx->monitor, &group->name);
  gboolean is_primary = (int)db->index == primary;
  guint causes = 0;

  /* A database that still sends reports is not withdrawn because its failure
     domain failed. */
  if (!choose_is_reachable (group, state)
      || (choose_domain_failed (gate, &db->endpoint.failure_domain)
          && ctx->now_us
                 > state->received_us + 2 * ctx->settings.report_interval_us))
    causes |= TOU_CAUSE_FAILED;
#ifdef TOU_DEFECT_LEAVING_KEPT
  if (FALSE)
#else
  if (tou_gate_is_leaving (gate, &db->endpoint))
#endif
    causes |= TOU_CAUSE_LEAVING;
  if (!is_primary && index != NULL
      && tou_index_age (index, gate_record (group), db->index, ctx->now_us)
             > group->defaults.max_lag_us)
    causes |= TOU_CAUSE_LAG;
  if (choose_is_replaced (group, db, state, is_primary))
    causes |= TOU_CAUSE_REPLACED;
  return causes;
}

gboolean
gate_update_routes (GateGroup *group)
{
  TouContext *ctx = group->gate->ctx;
  TouRouteInput inputs[TOU_GROUP_MAX_ENDPOINTS] = { { 0, 0 } };
  int primary = gate_primary (group);

  choose_update_domains (group->gate);
  for (guint i = 0; i < group->n; i++)
    {
      const TouDbState *state = choose_state (group, i);

      inputs[i].causes = choose_causes (group, group->dbs[i], primary);
      inputs[i].received_us = state != NULL ? state->received_us : 0;
    }
  if (!tou_routes_update (group->routes, primary, inputs, ctx->now_us))
    return FALSE;
  TOU_COUNT (ctx, WITHDRAWALS);
  tou_context_log (ctx, G_LOG_LEVEL_MESSAGE, TOU_OK,
                   "endpoints of group %s withdrawn, routing table version "
                   "%" G_GUINT64_FORMAT,
                   group->name.data, tou_routes_table (group->routes)->version);
  return TRUE;
}
