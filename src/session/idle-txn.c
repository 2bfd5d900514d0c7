#include "idle-txn.h"

#include "link-private.h"

/* Additional idle time of another node's transaction: its node ends it on its
   own clock, up to a tick late, and its rollback takes up to 24 ms between
   regions. */
#define IDLE_TXN_RELAY_MARGIN_US (50 * TOU_US_PER_MS)

static guint64
idle_txn_link_end_us (const TouLink *link)
{
  const TouRouting *routing = link->endpoint->proxy->routing;

  if (routing == NULL)
    return G_MAXUINT64;
  return link->pin->idle_since_us + routing->txn_idle_us
         + (link->pin->relayed ? IDLE_TXN_RELAY_MARGIN_US : 0);
}

/* Returns the link whose idle transaction ends first, or NULL if not all links
   are pinned by idle transactions. */
static TouLink *
idle_txn_first (const TouEndpoint *endpoint)
{
  TouLink *first = NULL;

  if (endpoint->links->len < tou_endpoint_link_limit (endpoint)
      || endpoint->n_busy > 0)
    return NULL;
  for (guint i = 0; i < endpoint->links->len; i++)
    {
      TouLink *link = g_ptr_array_index (endpoint->links, i);

      /* One that is not pinned is being opened, is rolling back or is free. */
      if (link->pin == NULL || link->task != NULL)
        return NULL;
      if (first == NULL
          || idle_txn_link_end_us (link) < idle_txn_link_end_us (first))
        first = link;
    }
  return first;
}

guint64
tou_idle_txn_end_us (const TouEndpoint *endpoint)
{
  const TouLink *first = idle_txn_first (endpoint);

  return first != NULL ? idle_txn_link_end_us (first) : 0;
}

void
tou_idle_txn_end_longest (TouEndpoint *endpoint, guint64 now_us)
{
  const TouLink *first = idle_txn_first (endpoint);

  if (first == NULL || now_us < idle_txn_link_end_us (first))
    return;
  TOU_COUNT (endpoint->proxy, IDLE_ENDED);
  tou_evlog (TOU_EVLOG_FAILURE, "idle_txn_ended",
             "\"endpoint\":\"%s\",\"links\":%u,\"idle_ms\":%" G_GUINT64_FORMAT,
             endpoint->info.id.data, endpoint->links->len,
             (now_us - first->pin->idle_since_us) / TOU_US_PER_MS);
  first->pin->end (first->pin);
}
