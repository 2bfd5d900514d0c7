#include "proxy.h"

#include "client.h"
#include "credit.h"
#include "dispatch.h"
#include "refusal.h"
#include "relay.h"
#include "stream.h"

#include <jansson.h>

#include <string.h>

/* Share of the memory limit for the bytes of sessions and links, in percent.
   The rest is for the process itself, for a second copy of what is being sent,
   and for what the allocator cannot return. */
#define PROXY_BUDGET_SHARE 40
/* Smallest account: eight messages of the largest size. */
#define PROXY_MIN_BUDGET ((guint64)8 << 20)
/* Connections above the limit of sessions: those that receive a refusal, and
   those of other nodes while the sessions are at their limit. */
#define PROXY_EXTRA_CONNECTIONS 64
/* A client sends its first message at once; a connection without one may be
   closed after this time if others need its place. */
#define PROXY_STARTUP_US (2 * TOU_US_PER_S)
/* Maximum number of queued statements per rank and group. At 500 statements per
   second they wait 0.4 s; a longer wait misses the latency objectives. */
#define PROXY_QUEUE_LIMIT 200
/* Minimum slot shares of less urgent ranks in percent, as in src/core. */
#define PROXY_REVIEW_FLOOR 15
#define PROXY_STATUS_FLOOR 5
/* Listen backlog: all sessions of a failed VM may reconnect at once. */
#define PROXY_BACKLOG 512
/* File descriptors reserved for databases, the store, HTTP and the event loop:
   half of the connections of nine databases with 32 each, and a margin. */
#define PROXY_RESERVED_DESCRIPTORS 256
/* The primary's position is requested if no answer has contained it for this
   long; reads on replicas need one that is at most a few hundred ms old. */
#define PROXY_SAMPLE_US (600 * TOU_US_PER_MS)
/* With a panel, one of its members requests the position and the others if none
   has arrived for another interval; all nodes get it with their heartbeats. A
   node that gets none requests it before reads of 1.5 s wait for it. */
#define PROXY_MEMBER_SAMPLE_US (450 * TOU_US_PER_MS)
#define PROXY_MEMBER_SPACING_US (250 * TOU_US_PER_MS)
#define PROXY_OUTSIDE_SAMPLE_US (1250 * TOU_US_PER_MS)
/* Time for open transactions to end on a primary that is being replaced. */
#define PROXY_TXN_FINISH_US (300 * TOU_US_PER_MS)
/* The platform sends no new connections after two failed health checks, 1 s
   apart; idle sessions are closed after that. */
#define PROXY_CLOSE_IDLE_US (2200 * TOU_US_PER_MS)
/* The same for an isolated node, which accepts no connections. */
#define PROXY_CLOSE_ISOLATED_US (500 * TOU_US_PER_MS)

/* The target latency of a statement is the strictest latency objective divided
   by this: an operation has several statements and round trips. */
#define PROXY_TARGET_SHARE 8
/* A gateway's answer that it does not reach the primary holds for this long:
   gateways are asked again within it. */
#define PROXY_LOST_US (2 * TOU_US_PER_S)
/* Without a message of another node for this long, none is heard: two intervals
   of heartbeats with a panel. */
#define PROXY_UNHEARD_US (900 * TOU_US_PER_MS)
/* A node that is isolated for this long reports itself as not ready. */
#define PROXY_ISOLATED_US (200 * TOU_US_PER_MS)
/* Interval between log lines with a group's load. */
#define PROXY_LOAD_LOG_US (1000 * TOU_US_PER_MS)

/* Interval between log lines with all counters. */
#define PROXY_TOTALS_LOG_US (5 * TOU_US_PER_S)

static const struct
{
  const char *name;
  const char *help;
} proxy_counters[] = {
#define PROXY_COUNTER(name, exported, help) { exported, help },
  TOU_SESSION_COUNTERS (PROXY_COUNTER)
#undef PROXY_COUNTER
};

const guint tou_rank_floors[TOU_RANK_COUNT]
    = { 0, PROXY_REVIEW_FLOOR, PROXY_STATUS_FLOOR };

TouGroup *
tou_group_get (TouProxy *proxy, const TouName *name)
{
  TouGroup *group = g_hash_table_lookup (proxy->groups, name);

  if (group != NULL)
    return group;
  group = g_new0 (TouGroup, 1);
  group->proxy = proxy;
  group->name = *name;
  group->endpoints = g_ptr_array_new ();
  tou_authority_create (&group->authority);
  tou_freshness_create (&group->freshness);
  tou_queue_create (&group->writes, PROXY_QUEUE_LIMIT, 1);
  tou_queue_create (&group->reads, PROXY_QUEUE_LIMIT, 1);
  g_hash_table_insert (proxy->groups, &group->name, group);
  return group;
}

static void
group_destroy (gpointer data)
{
  TouGroup *group = data;

  tou_authority_destroy (group->authority);
  tou_freshness_destroy (group->freshness);
  tou_queue_destroy (group->writes);
  tou_queue_destroy (group->reads);
  g_ptr_array_unref (group->endpoints);
  g_free (group);
}

TouEndpoint *
tou_group_recorded_primary (TouGroup *group)
{
  const TouGroupRecord *record = tou_authority_record (group->authority);

  for (guint i = 0; i < group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      if (tou_name_equal (&endpoint->info.id, &record->primary))
        return endpoint;
    }
  return NULL;
}

guint
tou_proxy_required_proofs (const TouProxy *proxy)
{
  return tou_panel_required (&proxy->panel, &proxy->settings.node);
}

gboolean
tou_proxy_has_proof (const TouProxy *proxy, const TouGroup *group,
                     guint64 now_us)
{
  return tou_authority_is_valid (group->authority,
                                 tou_proxy_required_proofs (proxy), now_us);
}

TouEndpoint *
tou_group_primary (TouGroup *group, guint64 now_us)
{
  TouEndpoint *primary;

  if (!tou_proxy_has_proof (group->proxy, group, now_us))
    return NULL;
  primary = tou_group_recorded_primary (group);
  if (primary == NULL || primary->lost_log
      || tou_endpoint_has_left (primary, now_us))
    return NULL;
  return primary;
}

gboolean
tou_group_may_write (TouGroup *group, const TouEndpoint *endpoint,
                     guint64 now_us)
{
  if (tou_group_primary (group, now_us) == endpoint)
    return TRUE;
  return tou_name_equal (&endpoint->info.id, &group->old_primary)
         && now_us < group->finish_until_us
         && !tou_group_is_quiesced (group, now_us);
}

gboolean
tou_group_is_quiesced (TouGroup *group, guint64 now_us)
{
  const TouEndpoint *primary;

  if (!tou_authority_record (group->authority)->moving)
    return FALSE;
  if (now_us >= group->finish_until_us)
    return TRUE;
  primary = tou_group_recorded_primary (group);
  /* Writes in flight cannot end on a primary that does not answer. */
  if (primary != NULL && !tou_endpoint_has_failed (primary)
      && tou_endpoint_writes_in_flight (primary) > 0)
    return FALSE;
  /* The leader may have been told. A primary that answers again, such as
     through another gateway, is not to acknowledge these writes. */
  group->finish_until_us = now_us;
  return TRUE;
}

void
tou_group_sample (TouGroup *group, const TouEndpoint *endpoint, guint64 sent_us,
                  TouLogPos pos)
{
  if (tou_group_primary (group, sent_us) == endpoint)
    tou_freshness_add (group->freshness, sent_us, pos);
}

/* After a change of primary, a database that lost its log is copied from the
   new primary and becomes usable again. */
static void
group_clear_lost_logs (TouGroup *group)
{
  for (guint i = 0; i < group->endpoints->len; i++)
    ((TouEndpoint *)g_ptr_array_index (group->endpoints, i))->lost_log = FALSE;
}

void
tou_group_adopt (TouGroup *group, const TouGroupRecord *record,
                 const char *source)
{
  const TouGroupRecord *current = tou_authority_record (group->authority);
  guint64 now_us = tou_clock_us ();
  guint64 valid_until_us = 0;
  gboolean was_usable = current->revision != 0 && !current->moving;
  TouName old_primary = current->primary;

  if (was_usable)
    valid_until_us = tou_authority_proved_us (
                         group->authority,
                         tou_proxy_required_proofs (group->proxy), now_us)
                     + TOU_AUTHORITY_VALID_US;
  if (!tou_authority_adopt (group->authority, record))
    return;
  if (record->moving && (group->moving_since_us == 0 || was_usable))
    group->moving_since_us = now_us;
  if (was_usable)
    {
      group->old_primary = old_primary;
      group->finish_until_us
          = record->moving ? MIN (now_us + PROXY_TXN_FINISH_US, valid_until_us)
                           : 0;
    }
  group->adopted_us = now_us;
  if (!tou_name_equal (&old_primary, &record->primary))
    group_clear_lost_logs (group);
  group->proxy->record_changed = TRUE;
  tou_evlog (TOU_EVLOG_STATE, "group_record",
             "\"group\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
             ",\"term\":%" G_GUINT64_FORMAT
             ",\"primary\":\"%s\",\"moving\":%s,\"candidate\":\"%s\","
             "\"source\":\"%s\"",
             group->name.data, record->revision, record->term,
             record->primary.data, record->moving ? "true" : "false",
             record->candidate.data, source);
}

/* TRUE if no message of another node has arrived lately. */
static gboolean
proxy_hears_no_node (const TouProxy *proxy, guint64 now_us)
{
  return proxy->n_nodes > 1 && proxy->node_heard_us != 0
         && now_us >= proxy->node_heard_us + PROXY_UNHEARD_US;
}

static TouRefusalCause
group_refusal_cause (TouGroup *group, guint64 now_us, guint64 *since_us)
{
  const TouGroupRecord *record = tou_authority_record (group->authority);
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  *since_us = MAX (group->no_primary_since_us, group->adopted_us);
  if (record->moving)
    *since_us = group->moving_since_us;
  if (record->revision == 0 || record->moving || primary == NULL
      || tou_endpoint_has_left (primary, now_us))
    return TOU_REFUSAL_CHANGING;
  if (!tou_proxy_has_proof (group->proxy, group, now_us))
    return TOU_REFUSAL_UNPROVED;
  *since_us = MAX (*since_us, primary->unreachable_since_us);
  return primary->gateway_refused_us != 0
                 && now_us < primary->gateway_refused_us + PROXY_LOST_US
             ? TOU_REFUSAL_LOST
             : TOU_REFUSAL_UNREACHABLE;
}

gboolean
tou_group_refuses (TouGroup *group, guint64 arrived_us, guint64 deadline_us,
                   guint64 now_us, char reason[TOU_REFUSAL_TEXT_MAX])
{
  TouRefusalInput input = { 0 };
  TouRefusalVerdict verdict;
  const TouEndpoint *primary;
  guint64 since_us;

  if (group->no_primary_since_us == 0)
    return FALSE;
  primary = tou_group_primary (group, now_us);
  if (primary != NULL && !tou_endpoint_has_failed (primary))
    return FALSE;
  input.cause = group_refusal_cause (group, now_us, &since_us);
  input.cause_us = now_us - MIN (since_us, now_us);
  input.waited_us = now_us - MIN (arrived_us, now_us);
  input.left_us = deadline_us - MIN (now_us, deadline_us);
  input.isolated = proxy_hears_no_node (group->proxy, now_us);
  verdict = tou_refusal_decide (&input);
  switch (verdict.kind)
    {
    case TOU_REFUSAL_WAIT:
      return FALSE;
    case TOU_REFUSAL_LATER:
      TOU_COUNT (group->proxy, REFUSED_LATER);
      g_snprintf (reason, TOU_REFUSAL_TEXT_MAX,
                  "no primary; retry after %" G_GUINT64_FORMAT " ms",
                  verdict.as.retry_us / TOU_US_PER_MS);
      return TRUE;
    case TOU_REFUSAL_ELSEWHERE:
      TOU_COUNT (group->proxy, REFUSED_ELSEWHERE);
      g_strlcpy (reason,
                 input.isolated || input.cause == TOU_REFUSAL_UNPROVED
                     ? "this node is cut off; retry at another one"
                     : "primary is not reachable from this node; retry at "
                       "another one",
                 TOU_REFUSAL_TEXT_MAX);
      return TRUE;
    }
  return FALSE;
}

void
tou_group_configure (TouGroup *group)
{
  guint reads = 0;
  guint writes = 1;

  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      reads += endpoint->info.slots;
      writes = MAX (writes, endpoint->info.slots);
    }
  tou_queue_configure (group->writes, writes, tou_rank_floors);
  tou_queue_configure (group->reads, MAX (reads, 1), tou_rank_floors);
}

/* Sets a group's target latency from the strictest objective of its routes. */
static void
proxy_set_targets (TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouRoute *route = value;
      TouGroup *group = tou_group_get (proxy, &route->group);

      group->target_us
          = MIN (group->target_us, route->target_us / PROXY_TARGET_SHARE);
    }
}

/* Sets the limits of the teams that have a quota. */
static void
proxy_set_quotas (TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;

  tou_credit_begin_update (proxy->credit);
  if (proxy->routing->teams != NULL)
    {
      g_hash_table_iter_init (&iter, proxy->routing->teams);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const TouTeam *team = value;

          if (team->rate_per_s > 0)
            tou_credit_set_limit (proxy->credit, &team->name, team->rate_per_s,
                                  team->burst);
        }
    }
  tou_credit_end_update (proxy->credit);
}

void
tou_proxy_set_routing (TouProxy *proxy, TouRouting *routing)
{
  GHashTableIter iter;
  gpointer value;

  if (proxy->routing != NULL && routing->version <= proxy->routing->version)
    {
      tou_routing_destroy (routing);
      return;
    }
  tou_evlog (TOU_EVLOG_STATE, "config",
             "\"version\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
             ",\"routes\":%u",
             routing->version,
             proxy->routing != NULL ? proxy->routing->version : 0,
             g_hash_table_size (routing->routes));
  tou_routing_destroy (proxy->routing);
  proxy->routing = routing;
  g_hash_table_iter_init (&iter, routing->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouGroupLimits *limits = value;

      tou_group_get (proxy, &limits->name)->limits = *limits;
      tou_group_get (proxy, &limits->name)->target_us = G_MAXUINT64;
    }
  proxy_set_targets (proxy);
  if (proxy->credit != NULL)
    proxy_set_quotas (proxy);
}

gboolean
tou_proxy_is_isolated (const TouProxy *proxy, guint64 now_us)
{
  return proxy->isolated_since_us != 0
         && now_us >= proxy->isolated_since_us + PROXY_ISOLATED_US;
}

gboolean
tou_proxy_should_close_sessions (const TouProxy *proxy, guint64 now_us)
{
  if (proxy->draining)
    return now_us >= proxy->drain_us + PROXY_CLOSE_IDLE_US;
  return proxy->isolated_since_us != 0
         && now_us >= proxy->isolated_since_us + PROXY_CLOSE_ISOLATED_US;
}

gboolean
tou_proxy_is_ready (TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;

  if (proxy->draining || proxy->routing == NULL || !proxy->synced
      || tou_proxy_is_isolated (proxy, tou_clock_us ()))
    return FALSE;
  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (tou_endpoint_is_usable (value)
        && ((const TouEndpoint *)value)->last_received_us != 0)
      return TRUE;
  return FALSE;
}

static void
proxy_on_connection (uv_stream_t *server, int status)
{
  if (status == 0)
    tou_client_accept (server->data, server);
  else
    tou_evlog (TOU_EVLOG_FAILURE, "accept", "\"error\":\"%s\"",
               uv_strerror (status));
}

guint
tou_proxy_session_limit (const TouProxy *proxy)
{
  guint descriptors = proxy->settings.max_descriptors;

  return descriptors - MIN (descriptors, PROXY_RESERVED_DESCRIPTORS);
}

/* Returns the client that has been connected longest without a message. */
static TouClient *
proxy_silent_client (const TouProxy *proxy, guint64 now_us)
{
  for (const GList *list_node = proxy->clients.head; list_node != NULL;
       list_node = list_node->next)
    {
      TouClient *client = list_node->data;

      if (!client->started && client->config_wait_since_us == 0
          && now_us >= client->pin.idle_since_us + PROXY_STARTUP_US)
        return client;
    }
  return NULL;
}

gboolean
tou_proxy_admit_connection (TouProxy *proxy, guint64 now_us)
{
  guint limit = tou_proxy_session_limit (proxy);
  guint count = proxy->clients.length + proxy->n_relays;
  TouClient *client;

  if (limit == 0 || (proxy->clients.length <= limit && count <= limit))
    return TRUE;
  client = proxy_silent_client (proxy, now_us);
  if (client != NULL)
    {
      tou_client_close (client);
      return TRUE;
    }
  if (tou_relay_close_silent (proxy, now_us - MIN (now_us, PROXY_STARTUP_US))
      || count <= limit + PROXY_EXTRA_CONNECTIONS)
    return TRUE;
  TOU_COUNT (proxy, CONNECTIONS_REFUSED);
  return FALSE;
}

int
tou_proxy_listen (TouProxy *proxy)
{
  int status = tou_stream_listen (proxy->loop, &proxy->listener,
                                  &proxy->settings.clients_listen,
                                  PROXY_BACKLOG, proxy, proxy_on_connection);

  /* The handle is also to be closed if listening fails. */
  proxy->listener_state = TOU_LISTENER_OPEN;
  return status;
}

static void
proxy_on_listener_closed (uv_handle_t *handle)
{
  TouProxy *proxy = handle->data;

  proxy->listener_state = TOU_LISTENER_CLOSED;
}

void
tou_proxy_close_listener (TouProxy *proxy)
{
  if (proxy->listener_state != TOU_LISTENER_OPEN)
    return;
  proxy->listener_state = TOU_LISTENER_CLOSING;
  uv_close ((uv_handle_t *)&proxy->listener, proxy_on_listener_closed);
}

/* An isolated node does not listen: a client whose connection is refused uses
   another node and loses no try, as it would by an error. */
static void
proxy_update_listener (TouProxy *proxy, guint64 now_us)
{
  if (tou_proxy_is_isolated (proxy, now_us))
    tou_proxy_close_listener (proxy);
  else if (proxy->listener_state == TOU_LISTENER_CLOSED
           && tou_proxy_listen (proxy) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_FAILURE, "listen", "\"error\":\"%s\"",
                 tou_status_message ());
      tou_proxy_close_listener (proxy);
    }
}

int
tou_proxy_create (TouProxy **out, uv_loop_t *loop,
                  const TouNodeSettings *settings)
{
  TouProxy *proxy = g_new0 (TouProxy, 1);

  proxy->loop = loop;
  proxy->settings = *settings;
  proxy->n_nodes = 1;
  proxy->incarnation = (guint64)g_get_real_time () / 1000;
  proxy->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, group_destroy);
  proxy->endpoints = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  g_queue_init (&proxy->clients);
  g_queue_init (&proxy->new_relays);
  tou_budget_create (&proxy->budget, settings->memory_bytes > 0
                                         ? MAX (settings->memory_bytes / 100
                                                    * PROXY_BUDGET_SHARE,
                                                PROXY_MIN_BUDGET)
                                         : 0);
  *out = proxy;
  return TOU_OK;
}

void
tou_proxy_destroy (TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;
  GList *next;

  if (proxy == NULL)
    return;
  /* Clients with a running statement close when it ends, at the latest with its
     endpoint. */
  for (GList *list_node = proxy->clients.head; list_node != NULL;
       list_node = next)
    {
      next = list_node->next;
      tou_client_close (list_node->data);
    }
  while (tou_relay_close_silent (proxy, G_MAXUINT64))
    ;
  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tou_endpoint_destroy (value);
  g_hash_table_destroy (proxy->endpoints);
  g_hash_table_destroy (proxy->groups);
  tou_routing_destroy (proxy->routing);
  tou_prepared_shapes_destroy ();
  tou_budget_destroy (proxy->budget);
  g_free (proxy);
}

/* Returns the age of the newest position at which this node requests one. */
static guint64
group_sample_us (const TouGroup *group)
{
  const TouProxy *proxy = group->proxy;
  const TouPanel *panel = &proxy->panel;
  guint order = tou_name_hash (&group->name);

  if (panel->revision == 0)
    return PROXY_SAMPLE_US;
  for (guint i = 0; i < panel->n_members; i++)
    if (tou_name_equal (&panel->members[(i + order) % panel->n_members],
                        &proxy->settings.node))
      return PROXY_MEMBER_SAMPLE_US + i * PROXY_MEMBER_SPACING_US;
  return PROXY_OUTSIDE_SAMPLE_US;
}

/* Requests the primary's position if the newest one is too old for reads on
   replicas. */
static void
group_refresh_position (TouGroup *group, TouEndpoint *primary, guint64 now_us)
{
  guint64 sample_us = group_sample_us (group);

  if (now_us < tou_freshness_newest_us (group->freshness) + sample_us
      || now_us < primary->status_queried_us + PROXY_SAMPLE_US)
    return;
  tou_endpoint_query_status (primary, now_us);
}

/* Logs the load of a group, so that the cause of a refusal can be traced. */
static void
group_log_load (TouGroup *group, guint64 now_us)
{
  GString *text;

  if (now_us < group->load_logged_us + PROXY_LOAD_LOG_US
      || group->endpoints->len == 0)
    return;
  group->load_logged_us = now_us;
  text = g_string_new (NULL);
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      g_string_append_printf (
          text, "%s\"%s\":\"%u/%u/%u w%.1f %" G_GUINT64_FORMAT "us\"",
          i > 0 ? "," : "", endpoint->info.id.data, endpoint->n_busy,
          tou_endpoint_writes_in_flight (endpoint), endpoint->links->len,
          endpoint->window.size, endpoint->latency_us);
    }
  tou_evlog (TOU_EVLOG_STATE, "load",
             "\"group\":\"%s\",\"waiting_writes\":%u,\"waiting_reads\":%u,"
             "\"busy_pinned_links\":{%s}",
             group->name.data, tou_queue_length (group->writes),
             tou_queue_length (group->reads), text->str);
  g_string_free (text, TRUE);
}

static void
group_tick (TouGroup *group, guint64 now_us)
{
  TouEndpoint *primary = tou_group_primary (group, now_us);
  gboolean usable = primary != NULL && !tou_endpoint_has_failed (primary);

  if (usable)
    group_refresh_position (group, primary, now_us);
  if (usable != (group->no_primary_since_us == 0))
    {
      group->no_primary_since_us = usable ? 0 : now_us;
      tou_evlog (TOU_EVLOG_STATE, usable ? "primary_usable" : "primary_lost",
                 "\"group\":\"%s\",\"primary\":\"%s\",\"proof_age_ms\":"
                 "%" G_GUINT64_FORMAT,
                 group->name.data,
                 tou_authority_record (group->authority)->primary.data,
                 (now_us
                  - tou_authority_proved_us (
                      group->authority,
                      tou_proxy_required_proofs (group->proxy), now_us))
                     / TOU_US_PER_MS);
    }
  tou_dispatch_group (group);
  tou_dispatch_expire (group, now_us);
  if (group->no_primary_since_us != 0)
    tou_client_refuse_waiting (group, now_us);
  group_log_load (group, now_us);
}

/* TRUE if neither nodes, nor databases, nor the store have answered lately. The
   primary's position is requested more often, and the store is read for proofs
   when heartbeats fail, so that one of them answers a node that is connected.
 */
static gboolean
proxy_is_cut_off (const TouProxy *proxy, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (!proxy_hears_no_node (proxy, now_us)
      || now_us < proxy->store_answered_us + PROXY_UNHEARD_US)
    return FALSE;
  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us
        < ((const TouEndpoint *)value)->last_received_us + PROXY_UNHEARD_US)
      return FALSE;
  return TRUE;
}

/* A node is isolated if it may use the primary of no group and no primary is
   being changed, or if it is cut off from everything: the proofs of a record
   and a change of primary that it knows of would hide that. */
static void
proxy_check_isolation (TouProxy *proxy, guint64 now_us)
{
  gboolean cut_off = proxy_is_cut_off (proxy, now_us);
  gboolean has_record = FALSE;
  gboolean isolated = TRUE;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      const TouGroupRecord *record = tou_authority_record (group->authority);

      if (record->revision == 0)
        continue;
      has_record = TRUE;
      isolated = isolated && !record->moving
                 && !tou_proxy_has_proof (proxy, group, now_us);
    }
  isolated = (isolated && has_record) || cut_off;
  /* Nothing has been heard for longer than a lost proof is tolerated. */
  if (cut_off && proxy->isolated_since_us == 0)
    now_us -= PROXY_ISOLATED_US;
  if (isolated == (proxy->isolated_since_us != 0))
    return;
  proxy->isolated_since_us = isolated ? now_us : 0;
  tou_evlog (TOU_EVLOG_STATE, isolated ? "isolated" : "connected",
             "\"nodes\":%u", proxy->n_nodes);
}

/* Logs the counters since the start; differences between lines give rates. */
static void
proxy_log_totals (TouProxy *proxy, guint64 now_us)
{
  GString *text;

  if (now_us < proxy->totals_logged_us + PROXY_TOTALS_LOG_US)
    return;
  proxy->totals_logged_us = now_us;
  text = g_string_new (NULL);
  for (guint i = 0; i < TOU_COUNT_N; i++)
    g_string_append_printf (text, "%s\"%s\":%" G_GUINT64_FORMAT,
                            i > 0 ? "," : "", proxy_counters[i].name,
                            proxy->counters[i]);
  tou_evlog (TOU_EVLOG_STATE, "totals", "\"sessions\":%u,%s",
             proxy->clients.length, text->str);
  g_string_free (text, TRUE);
}

/* Stops using a database that has been missing from the registry for longer
   than a new registration takes. */
static void
endpoint_check_missing (TouEndpoint *endpoint, guint64 now_us)
{
  if (!endpoint->removed && endpoint->missing_since_us != 0
      && tou_endpoint_has_left (endpoint, now_us))
    {
      endpoint->removed = TRUE;
      tou_evlog (TOU_EVLOG_STATE, "endpoint_gone",
                 "\"endpoint\":\"%s\",\"group\":\"%s\"", endpoint->info.id.data,
                 endpoint->group->name.data);
    }
}

void
tou_proxy_tick (TouProxy *proxy, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  GList *next;

  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_check_missing (value, now_us);
      tou_endpoint_tick (value, now_us);
      tou_relay_tick (value, now_us);
    }
  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    group_tick (value, now_us);
  proxy_check_isolation (proxy, now_us);
  proxy_update_listener (proxy, now_us);
  proxy_log_totals (proxy, now_us);
  tou_budget_check (proxy->budget, now_us);
  for (GList *list_node = proxy->clients.head; list_node != NULL;
       list_node = next)
    {
      next = list_node->next;
      tou_client_tick (list_node->data, now_us);
    }
}

void
tou_proxy_drain (TouProxy *proxy, guint64 now_us)
{
  proxy->draining = TRUE;
  proxy->drain_us = now_us;
  /* The leader has to learn of it while this node still votes. */
  proxy->record_changed = TRUE;
  proxy->end_txns_us = now_us + proxy->settings.grace_us / 2;
}

void
tou_proxy_refuse_waiting (TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tou_dispatch_refuse_all (value, TOU_PROXY_STOPPING_REASON);
}

gboolean
tou_proxy_has_work (const TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;

  if (proxy->clients.length > 0)
    return TRUE;
  g_hash_table_iter_init (&iter, proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (tou_relay_has_work (value))
      return TRUE;
  return FALSE;
}

char *
tou_proxy_metrics (TouProxy *proxy)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < TOU_COUNT_N; i++)
    g_string_append_printf (out,
                            "# HELP toucanscale_%s %s\n# TYPE toucanscale_%s "
                            "counter\ntoucanscale_%s %" G_GUINT64_FORMAT "\n",
                            proxy_counters[i].name, proxy_counters[i].help,
                            proxy_counters[i].name, proxy_counters[i].name,
                            proxy->counters[i]);
  g_string_append_printf (out,
                          "# HELP toucanscale_store_followed_age_ms time since "
                          "the store's changes were last read\n"
                          "# TYPE toucanscale_store_followed_age_ms gauge\n"
                          "toucanscale_store_followed_age_ms "
                          "%" G_GUINT64_FORMAT "\n",
                          (tou_clock_us () - proxy->store_followed_us)
                              / TOU_US_PER_MS);
  g_string_append_printf (out,
                          "# HELP toucanscale_held_bytes bytes held for "
                          "sessions and database connections\n"
                          "# TYPE toucanscale_held_bytes gauge\n"
                          "toucanscale_held_bytes %" G_GUINT64_FORMAT "\n",
                          tou_budget_total (proxy->budget));
  g_string_append_printf (out,
                          "# TYPE toucanscale_log_dropped_total counter\n"
                          "toucanscale_log_dropped_total %" G_GUINT64_FORMAT
                          "\n# TYPE toucanscale_latency_ms histogram\n",
                          tou_evlog_dropped ());
  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    {
      guint64 total = 0;

      for (guint i = 0; i < TOU_LATENCY_BUCKETS; i++)
        {
          total += proxy->latency[rank][i];
          if (i + 1 < TOU_LATENCY_BUCKETS)
            g_string_append_printf (out,
                                    "toucanscale_latency_ms_bucket{rank=\"%u\","
                                    "le=\"%u\"} %" G_GUINT64_FORMAT "\n",
                                    rank, 1U << i, total);
        }
      g_string_append_printf (out,
                              "toucanscale_latency_ms_bucket{rank=\"%u\","
                              "le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                              rank, total);
    }
  return g_string_free (out, FALSE);
}

static json_t *
proxy_dump_endpoint (const TouEndpoint *endpoint)
{
  json_t *dump = json_pack (
      "{s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:b,s:b,s:b,s:i,s:i,s:I,s:I,s:I}", "id",
      tou_endpoint_info_id (&endpoint->info), "address",
      endpoint->info.address.data, "gateway", endpoint->gateway.data,
      "is_gateway", endpoint->is_gateway, "direct_failed",
      endpoint->direct_failed_us != 0, "stands_in",
      endpoint->standin_until_us != 0, "relays", (int)endpoint->relays.length,
      "draining", endpoint->info.draining, "gone", endpoint->removed, "silent",
      endpoint->unreachable_since_us != 0, "links", (int)endpoint->links->len,
      "busy", (int)endpoint->n_busy, "latency_us",
      (json_int_t)endpoint->latency_us, "term",
      (json_int_t)endpoint->newest_pos.term, "position",
      (json_int_t)endpoint->newest_pos.position);

  if (endpoint->pace.active && endpoint->gateway.len == 0)
    json_object_set_new (dump, "pace_limit", json_real (endpoint->pace.limit));
  return dump;
}

static json_t *
proxy_dump_memory (const TouBudget *budget)
{
  return json_pack (
      "{s:I,s:I,s:I,s:b,s:i,s:I,s:I,s:I,s:I,s:I}", "limit",
      (json_int_t)tou_budget_limit (budget), "held",
      (json_int_t)tou_budget_total (budget), "peak",
      (json_int_t)tou_budget_peak (budget), "tight",
      tou_budget_is_tight (budget), "holders",
      (int)tou_budget_n_tracked (budget), "input",
      (json_int_t)tou_budget_used (budget, TOU_BUDGET_INPUT), "statements",
      (json_int_t)tou_budget_used (budget, TOU_BUDGET_STATEMENT), "state",
      (json_int_t)tou_budget_used (budget, TOU_BUDGET_STATE), "replies",
      (json_int_t)tou_budget_used (budget, TOU_BUDGET_REPLY), "unsent",
      (json_int_t)tou_budget_used (budget, TOU_BUDGET_OUTPUT));
}

char *
tou_proxy_dump (TouProxy *proxy)
{
  json_t *groups = json_array ();
  json_t *root;
  char *text;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      const TouGroupRecord *record = tou_authority_record (group->authority);
      json_t *endpoints = json_array ();

      for (guint i = 0; i < group->endpoints->len; i++)
        json_array_append_new (
            endpoints,
            proxy_dump_endpoint (g_ptr_array_index (group->endpoints, i)));
      json_array_append_new (
          groups,
          json_pack ("{s:s,s:I,s:I,s:s,s:b,s:i,s:i,s:i,s:o}", "name",
                     group->name.data, "revision", (json_int_t)record->revision,
                     "term", (json_int_t)record->term, "primary",
                     record->primary.data, "moving", record->moving,
                     "queued_writes", (int)tou_queue_length (group->writes),
                     "queued_reads", (int)tou_queue_length (group->reads),
                     "queued_flows",
                     (int)(tou_queue_flows (group->writes)
                           + tou_queue_flows (group->reads)),
                     "endpoints", endpoints));
    }
  root = json_pack (
      "{s:s,s:I,s:i,s:i,s:i,s:b,s:o,s:o}", "node", proxy->settings.node.data,
      "config",
      (json_int_t)(proxy->routing != NULL ? proxy->routing->version : 0),
      "sessions", (int)proxy->clients.length, "nodes", (int)proxy->n_nodes,
      "relays", (int)proxy->n_relays, "draining", proxy->draining, "memory",
      proxy_dump_memory (proxy->budget), "groups", groups);
  if (proxy->credit != NULL)
    json_object_set_new (root, "quotas",
                         tou_credit_dump (proxy->credit, tou_clock_us ()));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
