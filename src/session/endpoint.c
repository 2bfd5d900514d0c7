#include "link-private.h"

#include "direct.h"
#include "dispatch.h"
#include "gateway.h"
#include "idle-txn.h"
#include "pacing.h"
#include "relay.h"

#include "wire.h"

#include <string.h>

/* Idle time after which a link is closed. The first applies within the node's
   share of half of the database's connections; the second beyond it, because
   another node may need the connection. The last link of an endpoint stays
   open. */
#define LINK_IDLE_US (1000 * TOU_US_PER_MS)
#define LINK_IDLE_EXTRA_US (250 * TOU_US_PER_MS)
/* The same for a gateway, whose share no other node needs. */
#define LINK_IDLE_SHARE_US (10 * TOU_US_PER_S)
#define LINK_IDLE_SHARE_EXTRA_US (1000 * TOU_US_PER_MS)
/* Links through a gateway use no connection of the database. */
#define LINK_IDLE_GATEWAY_US (10 * TOU_US_PER_S)
/* Maximum number of links to an endpoint through its gateway. */
#define ENDPOINT_GATEWAY_LINKS 16
/* Time for which a failed gateway is avoided: as long as a database still
   counts the connections of a process that has failed. */
#define ENDPOINT_AVOID_US (3 * TOU_US_PER_S)
/* Maximum number of links to an endpoint that are being opened at a time. One
   new link may serve several waiting statements, and opening a link occupies a
   slot of the database for 12 ms. */
#define LINK_MAX_OPENING 2
/* Timeout of a status query or step-down request. */
#define ENDPOINT_PROBE_US (600 * TOU_US_PER_MS)
/* An endpoint is unreachable if no data was received for this time while a
   statement was in flight. */
#define ENDPOINT_UNREACHABLE_US (500 * TOU_US_PER_MS)
/* The same through a gateway, where a statement may be queued. The gateway
   detects an unreachable database itself, and a failed gateway sends no
   heartbeats; this limit detects a connection that no longer delivers data. */
#define ENDPOINT_GATEWAY_UNREACHABLE_US (1500 * TOU_US_PER_MS)
/* A draining endpoint is no longer used this long before its drain limit. */
#define ENDPOINT_LEAVING_MARGIN_US TOU_US_PER_S
/* Interval without samples after which the average latency falls by an eighth:
   the penalty of a failed statement is gone after about seven seconds. */
#define ENDPOINT_LATENCY_DECAY_US (200 * TOU_US_PER_MS)
/* Steps after which an average has all but reached the round-trip time: of
   500 ms, the largest sample of a failure, 0.1 ms are left. */
#define ENDPOINT_LATENCY_DECAY_STEPS 64
/* Interval of connection attempts to an unreachable endpoint. Attempts through
   a gateway, which itself retries at the shorter interval, come from all
   nodes. */
#define ENDPOINT_RETRY_US (250 * TOU_US_PER_MS)
#define ENDPOINT_GATEWAY_RETRY_US (1000 * TOU_US_PER_MS)

void
tou_endpoint_set_reachable (TouEndpoint *endpoint, guint64 now_us)
{
  TouPaceReason reason
      = endpoint->is_new ? TOU_PACE_REGISTERED : TOU_PACE_ANSWERS;

  endpoint->last_received_us = now_us;
  endpoint->gateway_refused_us = 0;
  endpoint->n_refused = 0;
  if (endpoint->unreachable_since_us == 0 && !endpoint->is_new)
    return;
  if (endpoint->unreachable_since_us != 0)
    tou_evlog (TOU_EVLOG_STATE, "endpoint_answers",
               "\"endpoint\":\"%s\",\"silent_ms\":%" G_GUINT64_FORMAT,
               endpoint->info.id.data,
               (now_us - endpoint->unreachable_since_us) / TOU_US_PER_MS);
  endpoint->unreachable_since_us = 0;
  endpoint->is_new = FALSE;
  tou_pacing_begin (endpoint, reason, now_us);
}

void
tou_endpoint_check_log (TouEndpoint *endpoint, TouLogPos pos, TouLogPos before)
{
  if (endpoint->lost_log
      || endpoint != tou_group_recorded_primary (endpoint->group)
      || tou_log_pos_compare (pos, before) >= 0)
    return;
  endpoint->lost_log = TRUE;
  tou_evlog (
      TOU_EVLOG_STATE, "endpoint_lost_log",
      "\"endpoint\":\"%s\",\"group\":\"%s\",\"position\":%" G_GUINT64_FORMAT
      ",\"before\":%" G_GUINT64_FORMAT,
      endpoint->info.id.data, endpoint->group->name.data, pos.position,
      before.position);
}

void
tou_endpoint_set_unreachable (TouEndpoint *endpoint, const char *reason,
                              guint64 now_us)
{
  if (endpoint->unreachable_since_us != 0)
    return;
  endpoint->unreachable_since_us = now_us;
  tou_evlog (TOU_EVLOG_STATE, "endpoint_silent",
             "\"endpoint\":\"%s\",\"group\":\"%s\",\"reason\":\"%s\","
             "\"heard_ms_ago\":%" G_GUINT64_FORMAT,
             endpoint->info.id.data, endpoint->group->name.data, reason,
             (now_us - endpoint->last_received_us) / TOU_US_PER_MS);
}

void
tou_endpoint_avoid_gateway (TouEndpoint *endpoint, const TouName *gateway_node,
                            const char *reason, guint64 now_us)
{
  TouProxy *proxy = endpoint->proxy;
  TouAvoidedGateway *avoided = NULL;

  TOU_COUNT (proxy, GATEWAYS_AVOIDED);
  tou_evlog (TOU_EVLOG_STATE, "gateway_avoided",
             "\"gateway\":\"%s\",\"endpoint\":\"%s\",\"reason\":\"%s\"",
             gateway_node->data, endpoint->info.id.data, reason);
  for (guint i = 0; i < TOU_MAX_AVOIDED && avoided == NULL; i++)
    if (tou_name_equal (&endpoint->avoided[i].node, gateway_node))
      avoided = &endpoint->avoided[i];
  if (avoided == NULL)
    avoided = &endpoint->avoided[endpoint->n_avoided++ % TOU_MAX_AVOIDED];
  avoided->node = *gateway_node;
  avoided->until_us = now_us + ENDPOINT_AVOID_US;
  proxy->placement_due = TRUE;
}

static gboolean
endpoint_avoids_gateway (const TouEndpoint *endpoint, const TouName *node,
                         guint64 now_us)
{
  for (guint i = 0; i < TOU_MAX_AVOIDED; i++)
    if (now_us < endpoint->avoided[i].until_us
        && tou_name_equal (&endpoint->avoided[i].node, node))
      return TRUE;
  return FALSE;
}

/* A gateway that is silent for one database is so for all. Reads move to
   another gateway or database; writes that it may be running are kept. */
static void
endpoint_leave_silent_gateway (TouEndpoint *endpoint, TouName node,
                               guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, endpoint->proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (tou_name_equal (&((TouEndpoint *)value)->gateway, &node)
        && !endpoint_avoids_gateway (value, &node, now_us))
      tou_endpoint_avoid_gateway (value, &node, "gateway is silent", now_us);
  /* The next link waits until another gateway is selected. */
  endpoint->open_after_us = now_us + TOU_PROXY_TICK_US;
  for (guint i = endpoint->links->len; i-- > 0;)
    {
      TouLink *link = i < endpoint->links->len
                          ? g_ptr_array_index (endpoint->links, i)
                          : NULL;

      if (link != NULL && tou_name_equal (&link->gateway_node, &node)
          && tou_link_may_move (link))
        tou_link_close (link, "gateway is silent");
    }
}

void
tou_endpoint_add_latency (TouEndpoint *endpoint, guint64 elapsed_us,
                          guint64 now_us)
{
  endpoint->latency_us
      = endpoint->latency_us == 0
            ? elapsed_us
            : tou_window_average (endpoint->latency_us, elapsed_us);
  endpoint->latency_updated_us = now_us;
}

/* An endpoint that was slow or failed gets no reads while others are faster.
   Its average decays without samples, so that it is tried again. A step is
   taken for each interval that has passed: on a busy VM ticks are late, and one
   step a tick would keep the endpoint idle for longer. */
static void
endpoint_decay_latency (TouEndpoint *endpoint, guint64 now_us)
{
  guint64 rtt_us = MIN (endpoint->window.rtt_us, endpoint->latency_us);
  guint64 excess_us = endpoint->latency_us - rtt_us;
  guint64 n_steps
      = (now_us - endpoint->latency_updated_us) / ENDPOINT_LATENCY_DECAY_US;

  if (now_us < endpoint->latency_updated_us || n_steps == 0)
    return;
  for (guint64 i = 0; i < MIN (n_steps, ENDPOINT_LATENCY_DECAY_STEPS); i++)
    excess_us = tou_window_average (excess_us, 0);
  /* The round-trip time does not decay, so that near databases stay
     preferred over distant ones. */
  endpoint->latency_us = rtt_us + excess_us;
  endpoint->latency_updated_us += n_steps * ENDPOINT_LATENCY_DECAY_US;
}

gboolean
tou_endpoint_has_room (TouEndpoint *endpoint, gboolean urgent, guint64 now_us)
{
  /* The gateway limits and queues the statements of all nodes by rank. */
  return endpoint->gateway.len > 0
         || (tou_window_has_room (&endpoint->window, endpoint->n_busy, urgent,
                                  now_us)
             && tou_pacing_has_room (endpoint, urgent, now_us));
}

guint
tou_endpoint_link_limit (const TouEndpoint *endpoint)
{
  guint limit = endpoint->group->limits.connection_limit;

  if (endpoint->gateway.len > 0)
    return ENDPOINT_GATEWAY_LINKS;
  if (tou_direct_stands_in (endpoint, tou_clock_us ()))
    return tou_gateway_stand_in_share (limit);
  if (endpoint->n_gateways > 0)
    return tou_gateway_share (limit, endpoint->n_gateways);
  /* Half of the database's connections, because load is distributed unevenly
     over the nodes. A refused node waits until an idle link is closed. */
  return MAX (limit / 2, 2);
}

/* Closes the link of another team that has been idle longest. */
static gboolean
endpoint_evict_link (TouEndpoint *endpoint, const TouName *team)
{
  TouLink *oldest = NULL;

  for (guint i = 0; i < endpoint->links->len; i++)
    {
      TouLink *link = g_ptr_array_index (endpoint->links, i);

      if (tou_link_is_idle (link) && !tou_link_serves (link, team)
          && (oldest == NULL || link->since_us < oldest->since_us))
        oldest = link;
    }
  if (oldest == NULL)
    return FALSE;
  TOU_COUNT (endpoint->proxy, LINKS_EVICTED);
  tou_link_close (oldest, NULL);
  return TRUE;
}

void
tou_endpoint_request_link (TouEndpoint *endpoint, const TouName *team,
                           guint64 now_us)
{
  guint n_opening = 0;
  gboolean has_place;

  if (now_us
          < MAX (endpoint->open_after_us, endpoint->proxy->link_hold_until_us)
      || endpoint->removed)
    return;
  for (guint i = 0; i < endpoint->links->len; i++)
    {
      const TouLink *link = g_ptr_array_index (endpoint->links, i);

      if (link->state == LINK_READY)
        continue;
      /* One new link may serve several waiting statements of the team. */
      if (team != NULL && tou_link_serves (link, team))
        return;
      n_opening++;
    }
  if (n_opening >= LINK_MAX_OPENING)
    return;
  has_place = endpoint->links->len < tou_endpoint_link_limit (endpoint);
  if ((has_place && tou_pacing_allows_link (endpoint, n_opening))
      || endpoint_evict_link (endpoint, team))
    tou_link_open (endpoint, team, now_us);
  else if (!has_place)
    tou_idle_txn_end_longest (endpoint, now_us);
}

TouLink *
tou_endpoint_idle_link (const TouEndpoint *endpoint, const TouTask *task)
{
  TouLink *best = NULL;
  guint best_score = 0;

  for (guint i = 0; i < endpoint->links->len; i++)
    {
      TouLink *link = g_ptr_array_index (endpoint->links, i);
      guint score;

      if (!tou_link_is_idle (link)
          || (task != NULL && !tou_link_serves (link, task->team)))
        continue;
      score = tou_link_score (link, task);
      if (best != NULL && score <= best_score)
        continue;
      best = link;
      best_score = score;
    }
  return best;
}

guint
tou_endpoint_writes_in_flight (const TouEndpoint *endpoint)
{
  guint count = 0;

  for (guint i = 0; i < endpoint->links->len; i++)
    {
      const TouLink *link = g_ptr_array_index (endpoint->links, i);

      if ((link->pin != NULL && !link->pin->relayed)
          || (link->task != NULL && link->task->may_commit
              && !link->task->relayed))
        count++;
    }
  return count;
}

gboolean
tou_endpoint_has_failed (const TouEndpoint *endpoint)
{
  return endpoint->unreachable_since_us != 0 || endpoint->lost_log;
}

gboolean
tou_endpoint_is_suspect (const TouEndpoint *endpoint)
{
  if (endpoint->direct_failed_us != 0)
    return endpoint->is_gateway;
  return endpoint->gateway.len == 0 && endpoint->standin_until_us == 0
         && tou_endpoint_has_failed (endpoint);
}

gboolean
tou_endpoint_has_left (const TouEndpoint *endpoint, guint64 now_us)
{
  guint64 drain_us = endpoint->proxy->settings.drain_us;

  return endpoint->removed
         || (endpoint->leaving_since_us != 0
             && now_us + ENDPOINT_LEAVING_MARGIN_US
                    >= endpoint->leaving_since_us + drain_us);
}

gboolean
tou_endpoint_is_usable (const TouEndpoint *endpoint)
{
  return !endpoint->removed && !endpoint->info.draining
         && !tou_endpoint_has_failed (endpoint);
}

/* Half of the connections are shared out. The other half is for bursts and for
   a restart of all nodes: the databases count the connections of failed
   processes for 3 s. */
static guint64
endpoint_idle_us (const TouEndpoint *endpoint)
{
  guint n_shares = 2 * endpoint->proxy->n_nodes;
  guint limit = endpoint->group->limits.connection_limit;

  if (endpoint->gateway.len > 0)
    return LINK_IDLE_GATEWAY_US;
  if (endpoint->n_gateways > 0)
    return endpoint->links->len <= limit / (2 * endpoint->n_gateways)
               ? LINK_IDLE_SHARE_US
               : LINK_IDLE_SHARE_EXTRA_US;
  return endpoint->links->len <= (limit + n_shares - 1) / n_shares
             ? LINK_IDLE_US
             : LINK_IDLE_EXTRA_US;
}

void
tou_endpoint_tick (TouEndpoint *endpoint, guint64 now_us)
{
  guint64 oldest_us = G_MAXUINT64;
  guint64 limit_us = endpoint->gateway.len > 0 ? ENDPOINT_GATEWAY_UNREACHABLE_US
                                               : ENDPOINT_UNREACHABLE_US;

  endpoint_decay_latency (endpoint, now_us);
  for (guint i = endpoint->links->len; i-- > 0;)
    {
      TouLink *link;
      const char *reason;

      /* Closing a link may close others. */
      if (i >= endpoint->links->len)
        continue;
      link = g_ptr_array_index (endpoint->links, i);
      if (tou_link_gateway_is_silent (link, now_us)
          && (tou_link_may_move (link)
              || !endpoint_avoids_gateway (endpoint, &link->gateway_node,
                                           now_us)))
        {
          endpoint_leave_silent_gateway (endpoint, link->gateway_node, now_us);
          continue;
        }
      reason = tou_link_timeout_reason (link, now_us);
      if (!tou_link_is_idle (link)
          && tou_name_equal (&link->gateway_node, &endpoint->gateway))
        oldest_us = MIN (oldest_us, link->pin != NULL && link->task == NULL
                                        ? G_MAXUINT64
                                        : link->since_us);
      if (reason != NULL)
        {
          if (link->state != LINK_READY && link->gateway_node.len > 0)
            {
              tou_endpoint_avoid_gateway (endpoint, &link->gateway_node, reason,
                                          now_us);
              /* Another gateway is selected with the next tick. */
              endpoint->open_after_us
                  = MIN (endpoint->open_after_us, now_us + TOU_PROXY_TICK_US);
            }
          else if (link->state != LINK_READY)
            tou_direct_fail (endpoint, reason, now_us);
          tou_link_close (link, reason);
        }
      else if (tou_link_is_idle (link)
               && (!tou_name_equal (&link->gateway_node, &endpoint->gateway)
                   || (endpoint->links->len > 1
                       && now_us
                              >= link->since_us + endpoint_idle_us (endpoint))))
        tou_link_close (link, NULL);
    }
  if (oldest_us != G_MAXUINT64
      && now_us >= MAX (oldest_us, endpoint->last_received_us) + limit_us)
    {
      if (endpoint->unreachable_since_us == 0 && endpoint->gateway.len > 0)
        tou_endpoint_avoid_gateway (endpoint, &endpoint->gateway,
                                    "statement without answer", now_us);
      if (endpoint->gateway.len > 0)
        tou_endpoint_set_unreachable (endpoint, "statement without answer",
                                      now_us);
      else
        tou_direct_fail (endpoint, "statement without answer", now_us);
    }
  tou_direct_tick (endpoint, now_us);
  if (endpoint->unreachable_since_us != 0 && now_us >= endpoint->open_after_us)
    {
      endpoint->open_after_us
          = now_us
            + (endpoint->gateway.len > 0 ? ENDPOINT_GATEWAY_RETRY_US
                                         : ENDPOINT_RETRY_US);
      if (!endpoint->removed
          && endpoint->links->len < tou_endpoint_link_limit (endpoint))
        tou_link_open (endpoint, NULL, now_us);
    }
  else if (endpoint->links->len == 0)
    tou_endpoint_request_link (endpoint, NULL, now_us);
}

static void
endpoint_on_probe (TouTask *task, TouLink *link, const TouTaskResult *result)
{
  TouEndpoint *endpoint = TOU_CONTAINER_OF (task, TouEndpoint, probe);
  TouSqlStatus status;

  (void)link;
  endpoint->probing = FALSE;
  if (result->outcome != TOU_TASK_ANSWERED || !result->complete
      || plat_wire_decode_status (&status, result->row) != TOU_OK)
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

/* Runs @a message, the text of a statement, as the probe; frees @a message. */
static void
endpoint_probe (TouEndpoint *endpoint, GString *message, guint64 now_us)
{
  TouLink *link = tou_endpoint_idle_link (endpoint, NULL);

  if (endpoint->probing || link == NULL)
    {
      if (link == NULL)
        tou_endpoint_request_link (endpoint, NULL, now_us);
      g_string_free (message, TRUE);
      return;
    }
  endpoint->probing = TRUE;
  memset (&endpoint->probe, 0, sizeof endpoint->probe);
  endpoint->probe.done = endpoint_on_probe;
  endpoint->probe.rank = TOU_RANK_URGENT;
  endpoint->probe.deadline_us = now_us + ENDPOINT_PROBE_US;
  endpoint->probe.text.data = message->str;
  endpoint->probe.text.len = message->len;
  tou_link_run (link, &endpoint->probe);
  g_string_free (message, TRUE);
}

void
tou_endpoint_query_status (TouEndpoint *endpoint, guint64 now_us)
{
  endpoint->status_queried_us = now_us;
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
  tou_endpoint_info_copy (&endpoint->info, info);
  endpoint->links = g_ptr_array_new ();
  tou_window_init (&endpoint->window, info->slots);
  if (info->draining)
    endpoint->leaving_since_us = tou_clock_us ();
  g_ptr_array_add (endpoint->group->endpoints, endpoint);
  tou_group_configure (endpoint->group);
  /* Before the first link: all nodes together have too many connections. */
  proxy->placement_due = TRUE;
  endpoint->is_new = proxy->synced;
  return endpoint;
}

void
tou_endpoint_close_gateway_links (TouEndpoint *endpoint, const TouName *gateway)
{
  /* Closing a link may close others. */
  for (guint i = endpoint->links->len; i-- > 0;)
    {
      TouLink *link = i < endpoint->links->len
                          ? g_ptr_array_index (endpoint->links, i)
                          : NULL;

      if (link != NULL && tou_name_equal (&link->gateway_node, gateway))
        tou_link_close (link, "gateway is lost");
    }
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
  gboolean restarted = !tou_name_equal (&endpoint->info.address, &info->address)
                       || (info->started_ms != 0
                           && endpoint->info.started_ms != info->started_ms);
  TouEndpointInfo updated;

  /* @a info may have the same full names. */
  tou_endpoint_info_copy (&updated, info);
  tou_endpoint_info_clear (&endpoint->info);
  endpoint->info = updated;
  tou_group_configure (endpoint->group);
  endpoint->removed = FALSE;
  endpoint->missing_since_us = 0;
  if (!info->draining)
    endpoint->leaving_since_us = 0;
  else if (endpoint->leaving_since_us == 0)
    endpoint->leaving_since_us = tou_clock_us ();
  if (!restarted)
    return;
  memset (&endpoint->status, 0, sizeof endpoint->status);
  memset (&endpoint->newest_pos, 0, sizeof endpoint->newest_pos);
  endpoint->lost_log = endpoint == tou_group_recorded_primary (endpoint->group);
  endpoint->status_us = 0;
  endpoint->open_after_us = 0;
  endpoint->unreachable_since_us = 0;
  tou_direct_answer (endpoint, tou_clock_us ());
  tou_pacing_begin (endpoint, TOU_PACE_RESTARTED, tou_clock_us ());
  endpoint_close_links (endpoint, "database started anew");
  tou_pacing_reset_estimates (endpoint);
}

void
tou_endpoint_destroy (TouEndpoint *endpoint)
{
  endpoint->removed = TRUE;
  endpoint_close_links (endpoint, NULL);
  tou_relay_end_endpoint (endpoint);
  g_ptr_array_remove_fast (endpoint->group->endpoints, endpoint);
  tou_group_configure (endpoint->group);
  g_ptr_array_unref (endpoint->links);
  tou_endpoint_info_clear (&endpoint->info);
  g_free (endpoint);
}
