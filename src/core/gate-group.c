#include "gate-internal.h"

#include <string.h>

static GateDb *
group_create_db (GateGroup *group, const TouEndpoint *endpoint)
{
  TouContext *ctx = group->gate->ctx;
  GateDb *db = g_new0 (GateDb, 1);

  db->group = group;
  db->endpoint = *endpoint;
  tou_queue_create (&db->queue, ctx->settings.queue_limit, group->config.slots);
  tou_pool_create (&db->pool, ctx, group->gate->conns, endpoint, db);
  return db;
}

static void
group_free_db (GateDb *db)
{
  tou_pool_destroy (db->pool);
  tou_queue_destroy (db->queue);
  g_free (db);
}

/* Frees a database that was removed from the group. Ends its transactions and
   the requests sent to it; reschedules the queued requests. */
static void
group_remove_db (GateGroup *group, GateDb *db)
{
  TouGate *gate = group->gate;
  GPtrArray *jobs;
  GList *link;
  TouTxn *txn;

  /* No endpoint has this index, so nothing more is dispatched to @a db. */
  db->index = TOU_GROUP_MAX_ENDPOINTS;
  while ((txn = tou_txn_find_by_db (gate->txns, db)) != NULL)
    gate_txn_abort (gate, txn);
  jobs = gate_running_jobs (group);
  for (guint i = 0; i < jobs->len; i++)
    {
      GateJob *job = g_ptr_array_index (jobs, i);

      if (job->db == db)
        gate_abandon (job, TOU_E_CONNECTION_LOST,
                      "the endpoint left the group");
    }
  g_ptr_array_free (jobs, TRUE);
  link = group->confirming.head;
  while (link != NULL)
    {
      GateJob *job = link->data;

      link = link->next;
      if (job->db == db)
        gate_finish_lost (job, TOU_E_UNCONFIRMED,
                          "the endpoint left the group");
    }
  gate_reschedule_queued (db);
  group_free_db (db);
}

/* Applies a configuration. Databases that remain in it keep their requests. */
static void
group_configure (GateGroup *group, const TouGroupConfig *config)
{
  GateDb *old[TOU_GROUP_MAX_ENDPOINTS];
  guint n_old = group->n;

  memcpy (old, group->dbs, sizeof old);
  group->config = *config;
  group->n = config->n_endpoints;
  for (guint i = 0; i < group->n; i++)
    {
      const TouEndpoint *endpoint = &config->endpoints[i];

      group->dbs[i] = NULL;
      for (guint k = 0; k < n_old && group->dbs[i] == NULL; k++)
        if (old[k] != NULL
            && tou_name_equal (&old[k]->endpoint.name, &endpoint->name)
            && tou_name_equal (&old[k]->endpoint.address, &endpoint->address))
          {
            group->dbs[i] = old[k];
            old[k] = NULL;
          }
      if (group->dbs[i] == NULL)
        group->dbs[i] = group_create_db (group, endpoint);
      group->dbs[i]->endpoint = *endpoint;
      group->dbs[i]->index = i;
    }
  if (group->routes == NULL || tou_routes_table (group->routes)->n != group->n)
    {
      tou_routes_destroy (group->routes);
      tou_routes_create (&group->routes, group->n);
    }
  for (guint k = 0; k < n_old; k++)
    if (old[k] != NULL)
      group_remove_db (group, old[k]);
}

GateGroup *
gate_group_create (TouGate *gate, const TouGroupConfig *config)
{
  GateGroup *group = g_new0 (GateGroup, 1);

  group->gate = gate;
  group->name = config->name;
  group->activated_us = gate->ctx->now_us;
  group->last_used_us = gate->ctx->now_us;
  g_queue_init (&group->waiting);
  g_queue_init (&group->confirming);
  g_hash_table_insert (gate->groups, &group->name, group);
  group_configure (group, config);
  return group;
}

void
gate_group_free (GateGroup *group)
{
  for (guint i = 0; i < group->n; i++)
    group_free_db (group->dbs[i]);
  tou_routes_destroy (group->routes);
  g_free (group);
}

/* Answers all requests of a group that was removed from the configuration, and
   frees the group. */
static void
group_remove (GateGroup *group)
{
  TouGate *gate = group->gate;
  guint n = group->n;

  g_hash_table_remove (gate->groups, &group->name);
  /* Prevents scheduling jobs on databases that are being removed. */
  group->n = 0;
  group->config.n_endpoints = 0;
  for (guint i = 0; i < n; i++)
    group_remove_db (group, group->dbs[i]);
  while (group->confirming.head != NULL)
    gate_finish_lost (group->confirming.head->data, TOU_E_UNCONFIRMED,
                      "the group was removed");
  while (group->waiting.head != NULL)
    gate_refuse (group->waiting.head->data, TOU_E_UNKNOWN_GROUP, 0);
  gate_group_free (group);
}

static void
group_configure_pools (GateGroup *group)
{
  TouContext *ctx = group->gate->ctx;
  const TouGroupRecord *record = gate_record (group);
  int primary = gate_primary (group);

  for (guint i = 0; i < group->n; i++)
    {
      const TouDbState *state = tou_monitor_db (ctx->monitor, &group->name, i);
      TouPoolConfig config
          = { .connection_limit = group->config.connection_limit,
              .gate_candidates = ctx->settings.gate_candidates,
              .slots = group->config.slots,
              .term = record->term,
              .is_primary = (int)i == primary };

      if (state != NULL)
        gate_update_rtt (group->dbs[i], state);
      tou_queue_configure (group->dbs[i]->queue, gate_window (group->dbs[i]),
                           group->defaults.floor_percent);
      tou_pool_configure (group->dbs[i]->pool, &config);
      if (state != NULL)
        tou_pool_observe (group->dbs[i]->pool, state);
    }
}

gboolean
gate_needs_poll (const GateGroup *group)
{
  if (group->confirming.length > 0)
    return TRUE;
  for (const GList *link = group->waiting.head; link != NULL; link = link->next)
    if (!gate_job_needs_primary (link->data))
      return TRUE;
  return FALSE;
}

gboolean
gate_group_refresh (GateGroup *group)
{
  TouContext *ctx = group->gate->ctx;
  const TouGroupConfig *config = tou_config_group (ctx->config, &group->name);
  gboolean new_term;

  if (config == NULL)
    {
      group_remove (group);
      return FALSE;
    }
  if (config->revision != group->config.revision)
    group_configure (group, config);
  tou_config_defaults (ctx->config, &group->name, &group->defaults);
  new_term = gate_record (group)->term != group->record_term;
  group->record_term = gate_record (group)->term;
  if (new_term)
    gate_abandon_old_term (group);
  group_configure_pools (group);
  if (gate_update_routes (group))
    {
      gate_abandon_reads (group);
      for (guint i = 0; i < group->n; i++)
        if (tou_routes_table (group->routes)->causes[i] != 0)
          gate_reschedule_queued (group->dbs[i]);
    }
  gate_check_confirming (group);
  gate_reschedule_waiting (group);
  for (guint i = 0; i < group->n; i++)
    gate_dispatch (group->dbs[i]);
  if (new_term || gate_needs_poll (group))
    tou_monitor_poll (ctx->monitor, &group->name);
  return TRUE;
}
