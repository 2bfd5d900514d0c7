#include "support/fleet.h"

#include <string.h>

#define FLEET_REPORT_US (100 * TOU_US_PER_MS)

/** Reply to a control operation in transit. */
typedef struct
{
  TouName group;
  guint endpoint;
  TouDbControlOp op;
  gboolean granted;
  TouDbReport report;
} FleetControlReply;

static void
fleet_node_name (TouName *out, guint i)
{
  char text[8];

  g_snprintf (text, sizeof text, "n%u", i);
  *out = tou_name (text);
}

void
fleet_start_node (Fleet *fleet, guint i, guint64 incarnation)
{
  FleetNode *node = &fleet->nodes[i];
  TouContext *ctx = &node->ctx;

  memset (node, 0, sizeof *node);
  node->fleet = fleet;
  node->running = TRUE;
  node->config_code = -1;
  tou_core_settings_init (&ctx->settings);
  fleet_node_name (&ctx->settings.node, i);
  ctx->settings.peer_address = ctx->settings.node;
  ctx->settings.region = tou_name ("r1");
  fleet_node_name (&ctx->settings.failure_domain, i % 3);
  ctx->settings.incarnation = incarnation;
  ctx->settings.n_seeds = 1;
  ctx->settings.seeds[0] = tou_name ("n0");
  ctx->now_us = fleet->now_us;
  ctx->actions = &node->actions;
  tou_random_init (&ctx->random, i + 1);
  ctx->monitor = (TouMonitor *)node;
  ctx->gate = (TouGate *)node;
  tou_store_ops_create (&ctx->store_ops, ctx);
  tou_member_create (&ctx->member, ctx);
  tou_config_create (&ctx->config, ctx);
  tou_place_create (&ctx->place, ctx);
  tou_failover_create (&ctx->failover, ctx);
  tou_feed_create (&ctx->feed, ctx);
}

void
fleet_stop_node (Fleet *fleet, guint i)
{
  FleetNode *node = &fleet->nodes[i];
  TouContext *ctx = &node->ctx;
  gpointer item;

  if (!node->running)
    return;
  node->running = FALSE;
  tou_store_ops_destroy (ctx->store_ops);
  tou_feed_destroy (ctx->feed);
  tou_failover_destroy (ctx->failover);
  tou_place_destroy (ctx->place);
  tou_config_destroy (ctx->config);
  tou_member_destroy (ctx->member);
  tou_action_list_clear (&node->actions);
  tou_str_clear (&node->config_current);
  while ((item = g_queue_pop_head (&node->messages)) != NULL)
    tou_message_destroy (item);
  while ((item = g_queue_pop_head (&node->results)) != NULL)
    {
      tou_store_result_clear (item);
      g_free (item);
    }
  while ((item = g_queue_pop_head (&node->control_replies)) != NULL)
    g_free (item);
}

Fleet *
fleet_create (guint n)
{
  Fleet *fleet = g_new0 (Fleet, 1);

  fleet->now_us = TOU_US_PER_S;
  fleet->revision = 1;
  fleet->n_nodes = n;
  for (guint i = 0; i < FLEET_DBS; i++)
    {
      fleet->dbs[i].up = TRUE;
      fleet->dbs[i].report.role = i == 0 ? TOU_ROLE_PRIMARY : TOU_ROLE_REPLICA;
      fleet->dbs[i].report.last = (TouLogPos){ 1, i == 0 ? 100 : 90 + i };
    }
  for (guint i = 0; i < n; i++)
    fleet_start_node (fleet, i, 1);
  return fleet;
}

void
fleet_destroy (Fleet *fleet)
{
  for (guint i = 0; i < fleet->n_nodes; i++)
    fleet_stop_node (fleet, i);
  for (guint i = 0; i < FLEET_DBS; i++)
    tou_str_clear (&fleet->dbs[i].attempt);
  tou_entry_list_clear (&fleet->log);
  g_free (fleet);
}

static const TouEntry *
fleet_last (const Fleet *fleet, const char *key)
{
  for (guint i = fleet->log.count; i > 0; i--)
    if (strcmp (fleet->log.items[i - 1].key.data, key) == 0)
      return &fleet->log.items[i - 1];
  return NULL;
}

const TouEntry *
fleet_stored (const Fleet *fleet, const char *key)
{
  char *full = g_strconcat (TOU_STORE_PREFIX, key, NULL);
  const TouEntry *entry = fleet_last (fleet, full);

  g_free (full);
  return entry;
}

static void
fleet_write (Fleet *fleet, const char *key, const char *value, gsize len)
{
  if (strstr (value, "\"state\":\"claimed\"") != NULL)
    fleet->n_claims++;
  tou_entry_list_add (&fleet->log, key, strlen (key), value, len,
                      ++fleet->revision);
}

guint64
fleet_put (Fleet *fleet, const char *key, const char *value)
{
  char *full = g_strconcat (TOU_STORE_PREFIX, key, NULL);

  fleet_write (fleet, full, value, strlen (value));
  g_free (full);
  return fleet->revision;
}

void
fleet_put_group (Fleet *fleet)
{
  GString *text = g_string_new ("{\"value\":{\"home_region\":\"r1\","
                                "\"slots\":3,\"connection_limit\":20,"
                                "\"endpoints\":[");

  for (guint i = 0; i < FLEET_DBS; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"d%u\",\"address\":\"10.0.0.%u:1\","
                            "\"region\":\"r1\",\"failure_domain\":\"f%u\"}",
                            i > 0 ? "," : "", i, i, i);
  g_string_append (text, "]}}");
  fleet_put (fleet, TOU_CONFIG_GROUP_PREFIX FLEET_GROUP, text->str);
  g_string_free (text, TRUE);
}

TouGroupRecord
fleet_record (const Fleet *fleet)
{
  const TouEntry *entry = fleet_stored (fleet, TOU_RECORD_PREFIX FLEET_GROUP);
  TouGroupRecord record = { 0 };

  if (entry != NULL && tou_record_parse (&record, &entry->value) != TOU_OK)
    g_error ("stored record is invalid: %s", tou_status_message ());
  return record;
}

FleetNode *
fleet_observer (Fleet *fleet, guint rank)
{
  TouContext *ctx = &fleet->nodes[0].ctx;
  TouName name = tou_name (FLEET_GROUP);
  const TouPlacement *placement
      = tou_place_group (ctx->place, tou_config_group (ctx->config, &name));

  for (guint i = 0; i < fleet->n_nodes; i++)
    if (tou_name_equal (&fleet->nodes[i].ctx.settings.node,
                        &placement->observers[rank]))
      return &fleet->nodes[i];
  return NULL;
}

static gboolean
fleet_fence (FleetDb *db, guint64 term, const TouName *attempt)
{
  gboolean same = db->attempt.data != NULL
                  && strcmp (db->attempt.data, attempt->data) == 0;

  if (term < db->report.fence_term || (term == db->report.fence_term && !same))
    return FALSE;
  db->report.fence_term = term;
  tou_str_clear (&db->attempt);
  tou_str_init (&db->attempt, attempt->data, attempt->len);
  return TRUE;
}

static gboolean
fleet_promote (FleetDb *db, guint64 term, const TouName *attempt)
{
  if (db->report.fence_term != term
      || strcmp (db->attempt.data, attempt->data) != 0)
    return FALSE;
  if (db->report.last.term != term)
    {
      db->report.term_start = db->report.last.position;
      db->report.last = (TouLogPos){ term, db->report.term_start + 1 };
    }
  db->report.role = TOU_ROLE_PRIMARY;
  return TRUE;
}

int
fleet_control (FleetNode *node, const TouName *group, guint endpoint,
               TouDbControlOp op, guint64 term, const TouName *attempt,
               guint primary)
{
  FleetDb *db = &node->fleet->dbs[endpoint];
  FleetControlReply *reply;

  if (!db->up || node->db_cut[endpoint])
    return TOU_E_NO_ENDPOINT;
  reply = g_new0 (FleetControlReply, 1);
  reply->group = *group;
  reply->endpoint = endpoint;
  reply->op = op;
  if (op == TOU_DB_PROMOTE)
    reply->granted = fleet_promote (db, term, attempt);
  else
    reply->granted = fleet_fence (db, term, attempt);
  if (op == TOU_DB_FOLLOW && reply->granted)
    {
      db->report.role = TOU_ROLE_REPLICA;
      db->report.last = node->fleet->dbs[primary].report.last;
    }
  reply->report = db->report;
  g_queue_push_tail (&node->control_replies, reply);
  return TOU_OK;
}

static void
fleet_read (const Fleet *fleet, const TouStoreCall *call, TouStoreResult *out)
{
  for (guint i = 0; i < fleet->log.count; i++)
    {
      const TouEntry *entry = &fleet->log.items[i];
      gboolean matches
          = call->op == TOU_STORE_RANGE
                ? g_str_has_prefix (entry->key.data, call->key.data)
                : strcmp (entry->key.data, call->key.data) == 0;

      if (matches && fleet_last (fleet, entry->key.data) == entry)
        tou_entry_list_add (&out->entries, entry->key.data, entry->key.len,
                            entry->value.data, entry->value.len,
                            entry->revision);
    }
}

static void
fleet_cas (Fleet *fleet, const TouStoreCall *call, TouStoreResult *out)
{
  const TouEntry *entry = fleet_last (fleet, call->key.data);
  guint64 revision = entry != NULL ? entry->revision : 0;

  out->succeeded = revision == call->expected_revision;
  if (out->succeeded)
    fleet_write (fleet, call->key.data, call->value.data, call->value.len);
  else
    fleet_read (fleet, call, out);
}

static void
fleet_store_call (FleetNode *node, const TouStoreCall *call)
{
  Fleet *fleet = node->fleet;
  TouStoreResult *result;

  if (fleet->store_down || call->op == TOU_STORE_WATCH_CANCEL)
    return;
  if (call->op == TOU_STORE_CAS && fleet->drop_writes > 0)
    {
      fleet->drop_writes--;
      return;
    }
  if (call->op == TOU_STORE_WATCH
      && call->after_revision >= fleet->compacted_revision)
    {
      node->watch_id = call->id;
      node->watch_revision = call->after_revision;
      return;
    }
  result = g_new0 (TouStoreResult, 1);
  result->id = call->id;
  result->op = call->op;
  result->lease = 1;
  result->ttl_us = 5 * TOU_US_PER_S;
  if (call->op == TOU_STORE_WATCH)
    result->status = TOU_STORE_COMPACTED;
  else if (call->op == TOU_STORE_CAS)
    fleet_cas (fleet, call, result);
  else if (call->op == TOU_STORE_GET || call->op == TOU_STORE_RANGE)
    fleet_read (fleet, call, result);
  result->revision = fleet->revision;
  if (call->op == TOU_STORE_CAS && fleet->lose_replies > 0)
    {
      fleet->lose_replies--;
      tou_store_result_clear (result);
      g_free (result);
      return;
    }
  g_queue_push_tail (&node->results, result);
}

static void
fleet_queue_watch_result (FleetNode *node)
{
  Fleet *fleet = node->fleet;
  TouStoreResult *result;

  if (node->watch_id == 0 || fleet->store_down
      || node->watch_revision == fleet->revision)
    return;
  result = g_new0 (TouStoreResult, 1);
  result->id = node->watch_id;
  result->op = TOU_STORE_WATCH;
  for (guint i = 0; i < fleet->log.count; i++)
    {
      const TouEntry *entry = &fleet->log.items[i];

      if (entry->revision > node->watch_revision)
        tou_entry_list_add (&result->entries, entry->key.data, entry->key.len,
                            entry->value.data, entry->value.len,
                            entry->revision);
    }
  node->watch_revision = fleet->revision;
  result->revision = fleet->revision;
  g_queue_push_tail (&node->results, result);
}

static void
fleet_send (FleetNode *node, const TouName *address, TouMessage *message)
{
  Fleet *fleet = node->fleet;

  if (message->type == TOU_MESSAGE_ENTRIES)
    node->n_entries_sent++;
  if (message->type <= TOU_MESSAGE_PING_REQ)
    node->max_updates = MAX (node->max_updates, message->u.ping.n_updates);
  for (guint i = 0; i < fleet->n_nodes; i++)
    if (fleet->nodes[i].running && fleet->nodes[i].partition == node->partition
        && tou_name_equal (&fleet->nodes[i].ctx.settings.peer_address, address))
      {
        g_queue_push_tail (&fleet->nodes[i].messages, message);
        return;
      }
  tou_message_destroy (message);
}

static void
fleet_apply_actions (FleetNode *node)
{
  for (guint i = 0; i < node->actions.count; i++)
    {
      TouAction *action = &node->actions.items[i];

      switch (action->type)
        {
        case TOU_ACTION_SEND:
          fleet_send (node, &action->u.send.address, action->u.send.message);
          action->u.send.message = NULL;
          break;
        case TOU_ACTION_STORE:
          fleet_store_call (node, &action->u.store);
          break;
        case TOU_ACTION_CONFIG_REPLY:
          node->config_code = action->u.config_reply.code;
          node->config_revision = action->u.config_reply.revision;
          tou_str_clear (&node->config_current);
          tou_str_move (&node->config_current, &action->u.config_reply.current);
          break;
        default:
          break;
        }
    }
  tou_action_list_reset (&node->actions);
}

static void
fleet_poll_dbs (FleetNode *node)
{
  Fleet *fleet = node->fleet;

  for (guint i = 0; i < FLEET_DBS; i++)
    {
      TouDbState *state = &node->db_state[i];

      if (state->first_attempt_us == 0)
        state->first_attempt_us = fleet->now_us;
      if (!fleet->dbs[i].up || node->db_cut[i]
          || fleet->now_us - state->received_us < FLEET_REPORT_US)
        continue;
      state->reported = TRUE;
      state->report = fleet->dbs[i].report;
      state->requested_us = fleet->now_us;
      state->received_us = fleet->now_us;
    }
}

static void
fleet_deliver_control_replies (FleetNode *node)
{
  TouContext *ctx = &node->ctx;

  for (guint n = g_queue_get_length (&node->control_replies); n > 0; n--)
    {
      FleetControlReply *reply = g_queue_pop_head (&node->control_replies);
      const TouGroupConfig *config
          = tou_config_group (ctx->config, &reply->group);

      if (config != NULL)
        tou_failover_on_report (ctx->failover, config, reply->endpoint,
                                reply->op, reply->granted, &reply->report);
      g_free (reply);
    }
}

/* Messages come last: a proxy that resumes after a pause acts on old replies
 * before it receives the messages that were sent meanwhile. */
static void
fleet_deliver (FleetNode *node)
{
  TouContext *ctx = &node->ctx;
  gpointer item;

  while ((item = g_queue_pop_head (&node->results)) != NULL)
    {
      if (!tou_feed_on_store (ctx->feed, item))
        tou_store_ops_on_result (ctx->store_ops, item);
      tou_store_result_clear (item);
      g_free (item);
    }
  for (guint n = g_queue_get_length (&node->messages); n > 0; n--)
    {
      item = g_queue_pop_head (&node->messages);
      tou_member_on_message (ctx->member, item);
      tou_feed_on_message (ctx->feed, item);
      tou_failover_on_message (ctx->failover, item);
      tou_message_destroy (item);
    }
}

static void
fleet_step_node (FleetNode *node)
{
  TouContext *ctx = &node->ctx;

  fleet_queue_watch_result (node);
  if (!node->running || node->paused)
    return;
  ctx->now_us = node->fleet->now_us;
  fleet_deliver_control_replies (node);
  tou_store_ops_on_tick (ctx->store_ops);
  tou_member_on_tick (ctx->member);
  tou_feed_on_tick (ctx->feed);
  tou_failover_on_tick (ctx->failover);
  fleet_poll_dbs (node);
  fleet_deliver (node);
  fleet_apply_actions (node);
}

static void
fleet_step (Fleet *fleet)
{
  fleet->now_us += FLEET_STEP_US;
  for (guint i = 0; i < fleet->n_nodes; i++)
    fleet_step_node (&fleet->nodes[i]);
}

void
fleet_run (Fleet *fleet, guint ms)
{
  guint64 end_us = fleet->now_us + ms * TOU_US_PER_MS;

  while (fleet->now_us < end_us)
    fleet_step (fleet);
}

gboolean
fleet_run_until_active (Fleet *fleet, guint64 term, guint ms)
{
  guint64 end_us = fleet->now_us + ms * TOU_US_PER_MS;

  while (fleet->now_us < end_us)
    {
      TouGroupRecord record = fleet_record (fleet);

      if (record.state == TOU_RECORD_ACTIVE && record.term > term)
        return TRUE;
      fleet_step (fleet);
    }
  return FALSE;
}
