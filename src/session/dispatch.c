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
          && tou_endpoint_idle_link (endpoint,
                                     request != NULL ? &request->task : NULL)
                 != NULL)
        {
          best_idle_cost_us = cost_us;
          out->best_idle = endpoint;
        }
    }
}

/* TRUE if an idle link of @a endpoint serves @a team. */
static gboolean
dispatch_has_link (const TouEndpoint *endpoint, const TouName *team)
{
  TouTask task = { .team = team };

  return tou_endpoint_idle_link (endpoint, &task) != NULL;
}

static TouQueueVerdict
dispatch_judge_endpoint (const TouQueueItem *item, gpointer data)
{
  return dispatch_has_link (data, item->flow) ? TOU_QUEUE_RUNNABLE
                                              : TOU_QUEUE_NO_CONNECTION;
}

TouQueueItem *
tou_dispatch_next (TouQueue *queue, TouEndpoint *endpoint, guint64 now_us)
{
  TouQueueSelection selection = { .now_us = now_us,
                                  .judge = dispatch_judge_endpoint,
                                  .data = endpoint };
  TouQueueItem *item;

  if (tou_queue_length (queue) == 0)
    return NULL;
  /* The window is full for less urgent statements. */
  selection.urgent_only = !tou_endpoint_has_room (endpoint, FALSE, now_us);
  if (selection.urgent_only && !tou_endpoint_has_room (endpoint, TRUE, now_us))
    return NULL;
  item = tou_queue_pop_matching (queue, &selection);
  /* With an item, the link to evict might be the one that it needs. */
  if (item == NULL && selection.blocked != NULL)
    tou_endpoint_request_link (endpoint, selection.blocked->flow, now_us);
  return item;
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

typedef struct
{
  const TouGroup *group;
  gboolean urgent;
  guint64 now_us;
} DispatchReads;

/* The conditions of the statement itself are checked when it is popped. */
static TouQueueVerdict
dispatch_judge_group (const TouQueueItem *item, gpointer data)
{
  const DispatchReads *reads = data;

  for (guint i = 0; i < reads->group->endpoints->len; i++)
    {
      TouEndpoint *endpoint = g_ptr_array_index (reads->group->endpoints, i);

      if (tou_endpoint_is_usable (endpoint)
          && tou_endpoint_has_room (endpoint, reads->urgent, reads->now_us)
          && dispatch_has_link (endpoint, item->flow))
        return TOU_QUEUE_RUNNABLE;
    }
  return TOU_QUEUE_NO_CONNECTION;
}

/* TRUE if connections to databases belong to teams. */
static gboolean
dispatch_by_team (const TouGroup *group)
{
  const TouRouting *routing = group->proxy->routing;

  return routing != NULL && routing->teams != NULL;
}

static TouQueueItem *
dispatch_pop_read (TouGroup *group, TouEndpoint *best, gboolean urgent,
                   guint64 now_us)
{
  DispatchReads reads = { group, urgent, now_us };
  TouQueueSelection selection = { .now_us = now_us,
                                  .urgent_only = urgent,
                                  .judge = dispatch_judge_group,
                                  .data = &reads };
  TouQueueItem *item = tou_queue_pop_matching (group->reads, &selection);

  if (item == NULL && selection.blocked != NULL && best != NULL
      && dispatch_by_team (group))
    tou_endpoint_request_link (best, selection.blocked->flow, now_us);
  return item;
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
      if (choice.best != NULL && choice.best != choice.best_idle
          && !dispatch_by_team (group))
        tou_endpoint_request_link (choice.best, NULL, now_us);
      item = dispatch_pop_read (group, choice.best, urgent, now_us);
      if (item == NULL)
        break;
      client = tou_client_of_item (item);
      dispatch_choose (group, &client->request, primary, urgent, now_us,
                       &choice);
      if (choice.best != NULL && choice.best != choice.best_idle
          && dispatch_by_team (group))
        tou_endpoint_request_link (choice.best, item->flow, now_us);
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
    {
      TouClient *client = g_ptr_array_index (deferred, i);

      tou_queue_refund (group->reads, &client->request.item);
      tou_client_requeue_request (client);
    }
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
