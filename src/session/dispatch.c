#include "dispatch.h"

#include "client.h"
#include "relay.h"

/* A replica that lacked a position is asked for it again after this pause,
   which doubles up to the maximum: its lag is not known. A question costs a
   round trip and no slot. */
#define DISPATCH_LACK_MIN_US (20 * TOU_US_PER_MS)
#define DISPATCH_LACK_MAX_US (80 * TOU_US_PER_MS)
/* Reads go to the primary only if it answers this many times faster than a
   replica: its slots are the only ones for writes. */
#define DISPATCH_PRIMARY_FACTOR 2

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

/* TRUE if @a endpoint, not the primary, is thought to hold the position. */
static gboolean
dispatch_is_current (const TouEndpoint *endpoint, TouLogPos after,
                     guint64 now_us)
{
  return now_us >= endpoint->lacked_until_us
         || tou_log_pos_compare (after, endpoint->lacked) < 0
         || tou_log_pos_compare (after, endpoint->known) <= 0;
}

typedef struct
{
  TouEndpoint *idle; /* best one with an idle link */
  TouEndpoint *any;  /* best one */
} DispatchChoice;

/* @a request NULL: any read that a replica may serve. */
static void
dispatch_choose (TouGroup *group, const TouClientRequest *request,
                 const TouEndpoint *primary, gboolean urgent, guint64 now_us,
                 DispatchChoice *out)
{
  guint64 idle_cost_us = G_MAXUINT64;
  guint64 any_cost_us = G_MAXUINT64;

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
        cost_us *= DISPATCH_PRIMARY_FACTOR;
      if (!tou_endpoint_has_room (endpoint, urgent, now_us))
        continue;
      if (cost_us < any_cost_us)
        {
          any_cost_us = cost_us;
          out->any = endpoint;
        }
      if (cost_us < idle_cost_us
          && tou_endpoint_idle_link (endpoint, NULL) != NULL)
        {
          idle_cost_us = cost_us;
          out->idle = endpoint;
        }
    }
}

/* Takes the next statement; when the window is full, only an urgent one. */
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
      tou_endpoint_want_link (endpoint, now_us);
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
    tou_client_start (tou_client_of_item (item), primary);
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
      if (choice.any == NULL)
        {
          urgent = TRUE;
          dispatch_choose (group, NULL, primary, TRUE, now_us, &choice);
        }
      if (choice.any != NULL && choice.any != choice.idle)
        tou_endpoint_want_link (choice.any, now_us);
      if (choice.idle == NULL)
        break;
      item = dispatch_pop (group->reads, urgent);
      if (item == NULL)
        break;
      client = tou_client_of_item (item);
      dispatch_choose (group, &client->request, primary, urgent, now_us,
                       &choice);
      if (choice.idle != NULL)
        {
          tou_client_start (client, choice.idle);
          continue;
        }
      if (deferred == NULL)
        deferred = g_ptr_array_new ();
      g_ptr_array_add (deferred, client);
    }
  for (guint i = 0; deferred != NULL && i < deferred->len; i++)
    tou_client_requeue (g_ptr_array_index (deferred, i));
  if (deferred != NULL)
    g_ptr_array_unref (deferred);
}

void
tou_dispatch_group (TouGroup *group)
{
  guint64 now_us = tou_clock_us ();

  /* A statement that ends at once would dispatch again. */
  if (group->dispatching)
    return;
  group->dispatching = TRUE;
  dispatch_reads (group, now_us);
  dispatch_writes (group, now_us);
  /* After this node's own, which are few against those of all others. */
  for (guint i = 0; i < group->endpoints->len; i++)
    tou_relay_dispatch (g_ptr_array_index (group->endpoints, i), now_us);
  group->dispatching = FALSE;
}

static void
dispatch_expire_queue (TouQueue *queue, guint64 now_us)
{
  TouQueueItem *item;

  while ((item = tou_queue_pop_expired (queue, now_us)) != NULL)
    tou_client_refuse (tou_client_of_item (item), TOU_SQL_E_BUSY,
                       "waited until its time-out");
}

void
tou_dispatch_expire (TouGroup *group, guint64 now_us)
{
  dispatch_expire_queue (group->writes, now_us);
  dispatch_expire_queue (group->reads, now_us);
}

void
tou_dispatch_refuse_writes (TouGroup *group, const char *reason)
{
  TouQueueItem *item;

  while ((item = tou_queue_pop_any (group->writes)) != NULL)
    tou_client_refuse (tou_client_of_item (item), TOU_SQL_E_BUSY, reason);
}

void
tou_dispatch_lacked (TouEndpoint *endpoint, TouLogPos after, guint64 now_us)
{
  guint64 pause_us = CLAMP (endpoint->lacked_pause_us * 2, DISPATCH_LACK_MIN_US,
                            DISPATCH_LACK_MAX_US);

  TOU_COUNT (endpoint->proxy, LAGGING);
  endpoint->lacked = after;
  endpoint->lacked_pause_us = pause_us;
  endpoint->lacked_until_us = now_us + pause_us;
}
