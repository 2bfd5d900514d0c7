#include "direct.h"

#include "link-private.h"
#include "unreachable.h"

/* Interval of attempts to reach the database directly while another gateway is
   used. A successful one occupies a slot of the database for 12 ms. */
#define DIRECT_PROBE_US (500 * TOU_US_PER_MS)
/* A node stands in for this long after the last session of another node; as
   long as a database counts the connections of a process that has failed. */
#define DIRECT_STAND_IN_US (3 * TOU_US_PER_S)
/* A gateway that another one has named is preferred as long as that one is
   avoided. */
#define DIRECT_HINT_US (3 * TOU_US_PER_S)

void
tou_direct_fail (TouEndpoint *endpoint, const char *reason, guint64 now_us)
{
  if (endpoint->n_gateways > 0 && endpoint->direct_failed_us == 0)
    {
      endpoint->direct_failed_us = now_us;
      endpoint->direct_probe_us = now_us + DIRECT_PROBE_US;
      endpoint->proxy->placement_due = TRUE;
      TOU_COUNT (endpoint->proxy, DIRECT_FAILED);
      tou_evlog (TOU_EVLOG_STATE, "direct_failed",
                 "\"endpoint\":\"%s\",\"reason\":\"%s\",\"gateway\":%s",
                 endpoint->info.id.data, reason,
                 endpoint->is_gateway ? "true" : "false");
    }
  if (endpoint->gateway.len == 0)
    tou_endpoint_set_unreachable (endpoint, reason, now_us);
}

void
tou_direct_answer (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->direct_failed_us == 0)
    return;
  tou_evlog (TOU_EVLOG_STATE, "direct_answers",
             "\"endpoint\":\"%s\",\"failed_ms\":%" G_GUINT64_FORMAT,
             endpoint->info.id.data,
             (now_us - endpoint->direct_failed_us) / TOU_US_PER_MS);
  endpoint->direct_failed_us = 0;
  endpoint->proxy->placement_due = TRUE;
}

void
tou_direct_tick (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->direct_failed_us == 0 || endpoint->gateway.len == 0
      || !endpoint->is_gateway || endpoint->removed
      || now_us < endpoint->direct_probe_us)
    return;
  endpoint->direct_probe_us = now_us + DIRECT_PROBE_US;
  /* An attempt ends after 600 ms; there is one at a time. */
  for (guint i = 0; i < endpoint->links->len; i++)
    {
      const TouLink *link = g_ptr_array_index (endpoint->links, i);

      if (link->gateway_node.len == 0 && link->state != LINK_READY)
        return;
    }
  tou_link_open_direct (endpoint, now_us);
}

void
tou_direct_leave (TouEndpoint *endpoint)
{
  for (guint i = endpoint->links->len; i-- > 0;)
    {
      /* Closing a link may close others. */
      TouLink *link = i < endpoint->links->len
                          ? g_ptr_array_index (endpoint->links, i)
                          : NULL;

      if (link != NULL && link->gateway_node.len == 0
          && tou_link_may_move (link))
        tou_link_close (link, "direct path failed");
    }
}

gboolean
tou_direct_serves (const TouEndpoint *endpoint)
{
  if (endpoint->direct_failed_us != 0)
    return FALSE;
  return !tou_endpoint_has_failed (endpoint)
         || (!endpoint->lost_log && endpoint->standin_until_us != 0);
}

void
tou_direct_on_request (TouEndpoint *endpoint, guint64 now_us)
{
  /* Through a gateway that reaches the database, no connection is needed. */
  if (endpoint->direct_failed_us != 0 || endpoint->is_gateway
      || endpoint->n_gateways == 0 || endpoint->lost_log
      || (endpoint->standin_until_us == 0
          && endpoint->unreachable_since_us == 0))
    return;
  tou_direct_stand_in (endpoint, now_us);
}

gboolean
tou_direct_stands_in (const TouEndpoint *endpoint, guint64 now_us)
{
  return now_us < endpoint->standin_until_us;
}

void
tou_direct_stand_in (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->standin_until_us == 0)
    {
      endpoint->proxy->placement_due = TRUE;
      TOU_COUNT (endpoint->proxy, STAND_INS);
      tou_evlog (TOU_EVLOG_STATE, "stands_in", "\"endpoint\":\"%s\"",
                 endpoint->info.id.data);
    }
  endpoint->standin_until_us = now_us + DIRECT_STAND_IN_US;
}

const TouName *
tou_direct_hint (const TouEndpoint *endpoint)
{
  return endpoint->gateway.len > 0 && !tou_endpoint_has_failed (endpoint)
             ? &endpoint->gateway
             : NULL;
}

gboolean
tou_direct_on_refusal (TouEndpoint *endpoint, const TouName *gateway,
                       TouSlice text, guint64 now_us)
{
  TouName through;

  if (!tou_unreachable_parse (text, &through))
    return FALSE;
  TOU_COUNT (endpoint->proxy, GATEWAY_UNREACHABLE);
  endpoint->n_refused++;
  if (through.len > 0)
    {
      endpoint->hint = through;
      endpoint->hint_until_us = now_us + DIRECT_HINT_US;
    }
  tou_endpoint_set_unreachable (endpoint, "not reachable from its gateway",
                                now_us);
  endpoint->gateway_refused_us = now_us;
  tou_endpoint_avoid_gateway (endpoint, gateway, "database is lost", now_us);
  endpoint->open_after_us
      = now_us
        + tou_unreachable_pause_us (endpoint->n_refused, endpoint->n_gateways);
  return TRUE;
}
