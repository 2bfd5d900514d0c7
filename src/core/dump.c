#include "dump.h"

#include "config.h"
#include "drain.h"
#include "failover.h"
#include "feed.h"
#include "front.h"
#include "gate.h"
#include "member.h"
#include "monitor.h"
#include "place.h"
#include "storeop.h"

#include <jansson.h>

static const char *const member_state_names[]
    = { "alive", "leaving", "suspect", "dead" };
static const char *const role_names[] = { "unknown", "primary", "replica" };
static const char *const record_state_names[] = { "none", "claimed", "active" };

static json_t *
dump_members (const TouMember *member)
{
  json_t *list = json_array ();

  for (guint i = 0; i < tou_member_count (member); i++)
    {
      const TouMemberUpdate *m = tou_member_at (member, i);

      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:s, s:s, s:I}", "name", m->name.data,
                     "address", m->address.data, "region", m->region.data,
                     "failure_domain", m->failure_domain.data, "state",
                     member_state_names[m->state], "incarnation",
                     (json_int_t)m->incarnation));
    }
  return list;
}

static json_t *
dump_endpoint (const TouContext *ctx, const TouGroupConfig *group, guint i)
{
  const TouDbState *db = tou_monitor_db (ctx->monitor, &group->name, i);
  json_t *object
      = json_pack ("{s:s, s:s}", "name", group->endpoints[i].name.data,
                   "address", group->endpoints[i].address.data);

  if (db == NULL)
    return object;
  json_object_set_new (object, "connected", json_boolean (db->connected));
  if (!db->reported)
    return object;
  json_object_set_new (object, "role",
                       json_string (role_names[db->report.role]));
  json_object_set_new (object, "log_term",
                       json_integer ((json_int_t)db->report.last.term));
  json_object_set_new (object, "position",
                       json_integer ((json_int_t)db->report.last.position));
  json_object_set_new (object, "fence_term",
                       json_integer ((json_int_t)db->report.fence_term));
  json_object_set_new (
      object, "report_age_us",
      json_integer ((json_int_t)(ctx->now_us - db->requested_us)));
  return object;
}

static json_t *
dump_group (const TouContext *ctx, const TouGroupConfig *group)
{
  const TouGroupRecord *record
      = tou_failover_record (ctx->failover, &group->name);
  const TouPlacement *placement = tou_place_group (ctx->place, group);
  json_t *endpoints = json_array ();
  json_t *candidates = json_array ();

  for (guint i = 0; i < group->n_endpoints; i++)
    json_array_append_new (endpoints, dump_endpoint (ctx, group, i));
  for (guint i = 0; i < placement->n_candidates; i++)
    json_array_append_new (candidates,
                           json_string (placement->candidates[i].data));
  return json_pack ("{s:s, s:s, s:I, s:s, s:I, s:b, s:b, s:o, s:o}", "name",
                    group->name.data, "record",
                    record_state_names[record->state], "term",
                    (json_int_t)record->term, "primary", record->primary.data,
                    "revision", (json_int_t)record->revision, "gate",
                    tou_place_is_gate (ctx->place, group), "observer",
                    tou_place_is_observer (ctx->place, group), "candidates",
                    candidates, "endpoints", endpoints);
}

/* Adds one entry with its author, reason and time. Deleted entries, which
   have a null value, are omitted. */
static void
dump_config_entry (gpointer list, const TouEntry *entry)
{
  json_t *object = json_loadb (entry->value.data, entry->value.len, 0, NULL);

  if (json_is_object (object)
      && !json_is_null (json_object_get (object, "value")))
    {
      json_object_set_new (object, "key", json_string (entry->key.data));
      json_object_set_new (object, "revision",
                           json_integer ((json_int_t)entry->revision));
      json_array_append (list, object);
    }
  json_decref (object);
}

static json_t *
dump_config (const TouFeed *feed)
{
  json_t *list = json_array ();

  tou_feed_foreach (feed, "config/", dump_config_entry, list);
  return list;
}

void
tou_dump_format (TouStr *out, const TouContext *ctx, gboolean ready)
{
  json_t *groups = json_array ();
  json_t *root;

  for (guint i = 0; i < tou_config_n_groups (ctx->config); i++)
    json_array_append_new (
        groups, dump_group (ctx, tou_config_group_at (ctx->config, i)));
  root = json_pack (
      "{s:s, s:s, s:s, s:I, s:b, s:b, s:b, s:I, s:b, s:b, s:o, s:o, s:o}",
      "node", ctx->settings.node.data, "region", ctx->settings.region.data,
      "failure_domain", ctx->settings.failure_domain.data, "incarnation",
      (json_int_t)ctx->settings.incarnation, "ready", ready, "draining",
      tou_drain_is_active (ctx->drain), "store_up",
      tou_store_ops_is_up (ctx->store_ops), "feed_revision",
      (json_int_t)tou_feed_revision (ctx->feed), "front_idle",
      tou_front_is_idle (ctx->front), "gate_idle", tou_gate_is_idle (ctx->gate),
      "members", dump_members (ctx->member), "groups", groups, "config",
      dump_config (ctx->feed));
  out->data = json_dumps (root, JSON_COMPACT);
  out->len = strlen (out->data);
  json_decref (root);
}
