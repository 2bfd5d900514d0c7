#include "dispatch.h"

#include "client.h"
#include "relay.h"

/* Pause before a replica that lacked a position is tried again. Its lag is not
   reported, so the pause doubles up to the maximum. An attempt costs a round
   trip but no slot. */
#define DISPATCH_LAG_PAUSE_MIN_US (20 * TOU_US_PER_MS)
#define DISPATCH_LAG_PAUSE_MAX_US (80 * TOU_US_PER_MS)
/* Reads go to the primary only if its cost is lower than a replica's by this
   factor, because only the primary's slots can run writes. */
#define DISPATCH_PRIMARY_COST_FACTOR 2

static guint64
dispatch_cost_us (const TouEndpoint *endpoint)
{
  guint64 latency_us = MAX (endpoint->latency_us, TOU_US_PER_MS);

  return latency_us
         + latency_us * endpoint->n_busy / MAX (endpoint->info.slots, 1);
}

static gboolean
dispatch_was_tried (const TouClientRequest *request,
                    const TouEndpoint *endpoint)
{
  return request->tried != NULL
         && g_ptr_array_find (request->tried, endpoint, NULL);
}

/* FALSE if @a endpoint, a replica, lacked the position @a after or an earlier
   one recently and has not reported @a after since. */
static gboolean
dispatch_is_current (const TouEndpoint *endpoint, TouLogPos after,
                     guint64 now_us)
{
  return now_us >= endpoint->lagging_until_us
         || tou_log_pos_compare (after, endpoint->lagging_pos) < 0
         || tou_log_pos_compare (after, endpoint->newest_pos) <= 0;
}

typedef struct
{
  TouEndpoint *best_idle; /* lowest cost of those with an idle link */
  TouEndpoint *best;      /* lowest cost */
} DispatchChoice;

/* Selects the endpoint of the lowest cost that may run @a request; NULL: any
   read. */
static void
dispatch_choose (TouGroup *group, const TouClientRequest *request,
                 const TouEndpoint *primary, gboolean urgent, guint64 now_us,
                 DispatchChoice *out)
{
  guint64 best_idle_cost_us = G_MAXUINT64;
  guint64 best_cost_us = G_MAXUINT64;

  memset (out, 0, sizeof *out);
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);
      guint64 cost_us = dispatch_cost_us (endpoint);

      if (!tou_endpoint_is_usable (endpoint))
        continue;
      if (request != NULL && dispatch_was_tried (request, endpoint))
        continue;
      if (request != NULL && endpoint != primary
          && !dispatch_is_current (endpoint, request->after, now_us))
        continue;
      if (endpoint == primary)
        cost_us *= DISPATCH_PRIMARY_COST_FACTOR;
      if (!tou_endpoint_has_room (endpoint, urgent, now_us))
        continue;
      if (cost_us < best_cost_us)
        {
          best_cost_us = cost_us;
          out->best = endpoint;
        }
      if (cost_us < best_idle_cost_us
          && tou_endpoint_idle_link (endpoint, NULL) != NULL)
        {
          best_idle_cost_us = cost_us;
          out->best_idle = endpoint;
        }
    }
}

/* Removes the next statement; with @a urgent, the next urgent one, because the
   window is full for others. */
static TouQueueItem *
dispatch_pop (TouQueue *queue, gboolean urgent)
{
  return urgent ? tou_queue_pop_rank (queue, TOU_RANK_URGENT)
                : tou_queue_pop (queue, TRUE);
}

TouQueueItem *
tou_dispatch_next (TouQueue *queue, TouEndpoint *endpoint, guint64 now_us)
{
  gboolean urgent;

  if (tou_queue_length (queue) == 0)
    return NULL;
  urgent = !tou_endpoint_has_room (endpoint, FALSE, now_us);
  if (urgent && !tou_endpoint_has_room (endpoint, TRUE, now_us))
    return NULL;
  if (tou_endpoint_idle_link (endpoint, NULL) == NULL)
    {
      tou_endpoint_request_link (endpoint, now_us);
      return NULL;
    }
  return dispatch_pop (queue, urgent);
}

static void
dispatch_writes (TouGroup *group, guint64 now_us)
{
  TouEndpoint *primary = tou_group_primary (group, now_us);
  TouQueueItem *item;

  if (primary == NULL || tou_endpoint_has_failed (primary))
    return;
  while ((item = tou_dispatch_next (group->writes, primary, now_us)) != NULL)
    tou_client_start_request (tou_client_of_item (item), primary);
}

static void
dispatch_reads (TouGroup *group, guint64 now_us)
{
  TouEndpoint *primary = tou_group_primary (group, now_us);
  GPtrArray *deferred = NULL;
  DispatchChoice choice;

  while (tou_queue_length (group->reads) > 0)
    {
      TouClient *client;
      TouQueueItem *item;
      gboolean urgent = FALSE;

      dispatch_choose (group, NULL, primary, FALSE, now_us, &choice);
      if (choice.best == NULL)
        {
          urgent = TRUE;
          dispatch_choose (group, NULL, primary, TRUE, now_us, &choice);
        }
      if (choice.best != NULL && choice.best != choice.best_idle)
        tou_endpoint_request_link (choice.best, now_us);
      if (choice.best_idle == NULL)
        break;
      item = dispatch_pop (group->reads, urgent);
      if (item == NULL)
        break;
      client = tou_client_of_item (item);
      dispatch_choose (group, &client->request, primary, urgent, now_us,
                       &choice);
      if (choice.best_idle != NULL)
        {
          tou_client_start_request (client, choice.best_idle);
          continue;
        }
      if (deferred == NULL)
        deferred = g_ptr_array_new ();
      g_ptr_array_add (deferred, client);
    }
  for (guint i = 0; deferred != NULL && i < deferred->len; i++)
    tou_client_requeue_request (g_ptr_array_index (deferred, i));
  if (deferred != NULL)
    g_ptr_array_unref (deferred);
}

void
tou_dispatch_group (TouGroup *group)
{
  guint64 now_us = tou_clock_us ();

  /* A statement that ends immediately calls this function recursively. */
  if (group->dispatching)
    return;
  group->dispatching = TRUE;
  dispatch_reads (group, now_us);
  dispatch_writes (group, now_us);
  /* Statements of other nodes come after this node's own, which are few in
     comparison. */
  for (guint i = 0; i < group->endpoints->len; i++)
    tou_relay_dispatch (g_ptr_array_index (group->endpoints, i), now_us);
  group->dispatching = FALSE;
}

static void
dispatch_expire_queue (TouQueue *queue, guint64 now_us)
{
  TouQueueItem *item;

  while ((item = tou_queue_pop_expired (queue, now_us)) != NULL)
    tou_client_refuse_request (tou_client_of_item (item), TOU_SQL_E_BUSY,
                               "waited until its time-out");
}

void
tou_dispatch_expire (TouGroup *group, guint64 now_us)
{
  dispatch_expire_queue (group->writes, now_us);
  dispatch_expire_queue (group->reads, now_us);
}

static void
dispatch_refuse_queue (TouQueue *queue, const char *reason)
{
  TouQueueItem *item;

  while ((item = tou_queue_pop_any (queue)) != NULL)
    tou_client_refuse_request (tou_client_of_item (item), TOU_SQL_E_BUSY,
                               reason);
}

void
tou_dispatch_refuse_all (TouGroup *group, const char *reason)
{
  dispatch_refuse_queue (group->writes, reason);
  dispatch_refuse_queue (group->reads, reason);
}

void
tou_dispatch_mark_lagging (TouEndpoint *endpoint, TouLogPos after,
                           guint64 now_us)
{
  guint64 pause_us
      = CLAMP (endpoint->lagging_pause_us * 2, DISPATCH_LAG_PAUSE_MIN_US,
               DISPATCH_LAG_PAUSE_MAX_US);

  TOU_COUNT (endpoint->proxy, LAGGING);
  endpoint->lagging_pos = after;
  endpoint->lagging_pause_us = pause_us;
  endpoint->lagging_until_us = now_us + pause_us;
}
