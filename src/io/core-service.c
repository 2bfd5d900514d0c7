#include "core-service.h"

#include "toucanscale/ring.h"

#include "core-route.h"
#include "log.h"

#include <pthread.h>
#include <stdatomic.h>

/* Maximum wait for an event; limits the delay of a stop request. */
#define TOU_CORE_MAX_WAIT_US (100 * TOU_US_PER_MS)

/* Delay before actions that a service refused are submitted again. */
#define TOU_CORE_RETRY_US (2 * TOU_US_PER_MS)

struct TouCoreService
{
  TouRegistry *registry;
  TouCore *core;
  TouRing *ring;
  TouCoreRoute *route;
  pthread_t thread;
  gboolean started;
  atomic_bool stopping;
  guint urgent_limit;        /* maximum of urgent requests in lane 0 */
  atomic_uint urgent_queued; /* urgent requests in lane 0 now */
  atomic_ullong refused[TOU_RANK_COUNT];
  atomic_ullong events;
};

static void
service_metrics (gpointer data, GString *text)
{
  static const char *const lanes[] = { "urgent", "review", "status" };
  TouCoreService *service = data;

  g_string_append_printf (text,
                          "# HELP toucanscale_core_events_total events applied"
                          " by the core\n"
                          "# TYPE toucanscale_core_events_total counter\n"
                          "toucanscale_core_events_total %llu\n"
                          "# HELP toucanscale_ring_full_total events refused by"
                          " a full ring\n"
                          "# TYPE toucanscale_ring_full_total counter\n",
                          atomic_load (&service->events));
  for (guint i = 0; i < TOU_RANK_COUNT; i++)
    g_string_append_printf (text,
                            "toucanscale_ring_full_total{lane=\"%s\"} %llu\n",
                            lanes[i], atomic_load (&service->refused[i]));
}

int
tou_core_service_create (TouCoreService **out,
                         const TouCoreServiceSettings *settings,
                         TouRegistry *registry)
{
  TouCoreService *service = g_new0 (TouCoreService, 1);
  int status;

  service->registry = registry;
  status = tou_ring_create (&service->ring, TOU_RANK_COUNT,
                            settings->ring_capacity, sizeof (TouEvent));
  if (status != TOU_OK)
    goto fail;
  status = tou_core_create (&service->core, settings->core,
                            (guint64)g_get_monotonic_time (), settings->seed);
  if (status != TOU_OK)
    goto fail;
  status = tou_core_route_create (&service->route, registry);
  if (status != TOU_OK)
    goto fail;
  service->urgent_limit = MAX (settings->ring_capacity / 2, 1);
  tou_registry_add_metrics (registry, service_metrics, service);
  *out = service;
  return TOU_OK;

fail:
  tou_core_service_destroy (service);
  return status;
}

static gboolean
event_is_urgent_request (const TouEvent *event)
{
  return event->type == TOU_EVENT_REQUEST
         && event->u.request.request.rank == TOU_RANK_URGENT;
}

/* Reserves a place for an urgent request; FALSE if the limit is reached. */
static gboolean
service_reserve_urgent (TouCoreService *service)
{
  if (atomic_fetch_add (&service->urgent_queued, 1) < service->urgent_limit)
    return TRUE;
  atomic_fetch_sub (&service->urgent_queued, 1);
  return FALSE;
}

static int
service_push (gpointer data, TouEvent *event)
{
  TouCoreService *service = data;
  guint lane = event->type == TOU_EVENT_REQUEST
                   ? (guint)event->u.request.request.rank
                   : TOU_RANK_URGENT;
  gboolean urgent = event_is_urgent_request (event);
  int status = TOU_E_RING_FULL;

  if (!urgent || service_reserve_urgent (service))
    {
      status = tou_ring_push (service->ring, lane, event);
      if (status != TOU_OK && urgent)
        atomic_fetch_sub (&service->urgent_queued, 1);
    }
  if (status != TOU_OK)
    atomic_fetch_add (&service->refused[lane], 1);
  return status;
}

TouEventSink
tou_core_service_sink (TouCoreService *service)
{
  return (TouEventSink){ service_push, service };
}

static void
service_step (TouCoreService *service, TouEvent *event, TouActionList *actions)
{
  int status = tou_core_step (service->core, (guint64)g_get_monotonic_time (),
                              event, actions);

  atomic_fetch_add (&service->events, 1);
  if (status != TOU_OK)
    tou_log (G_LOG_LEVEL_WARNING, status, "event was not applied: %s",
             tou_status_message ());
  for (guint i = 0; i < actions->count; i++)
    tou_core_route_action (service->route, &actions->items[i]);
  /* The payloads were moved to the services; the array is reused. */
  actions->count = 0;
}

/* Returns how long the thread may wait for the next event. */
static guint64
service_wait_us (const TouCoreService *service, gboolean retry)
{
  guint64 now_us = (guint64)g_get_monotonic_time ();
  guint64 tick_us = tou_core_next_tick (service->core);
  guint64 wait_us = tick_us > now_us ? tick_us - now_us : 0;

  return MIN (wait_us, retry ? TOU_CORE_RETRY_US : TOU_CORE_MAX_WAIT_US);
}

/* Applies a TICK event if one is due, so that a busy ring does not delay it. */
static void
service_tick (TouCoreService *service, TouActionList *actions)
{
  TouEvent event = { .type = TOU_EVENT_TICK };

  if (tou_core_next_tick (service->core) <= (guint64)g_get_monotonic_time ())
    service_step (service, &event, actions);
}

static void *
service_run (void *data)
{
  TouCoreService *service = data;
  TouActionList actions = { 0 };
  TouEvent event;

  while (!atomic_load (&service->stopping))
    {
      gboolean retry = tou_core_route_retry (service->route);
      gboolean refused = tou_core_route_pop (service->route, &event);

      /* One refusal per iteration, so that an action that is refused
         repeatedly does not prevent the thread from reading the ring. */
      if (refused)
        service_step (service, &event, &actions);
      service_tick (service, &actions);
      if (!tou_ring_wait (service->ring, &event,
                          refused ? 0 : service_wait_us (service, retry)))
        continue;
      if (event_is_urgent_request (&event))
        atomic_fetch_sub (&service->urgent_queued, 1);
      service_step (service, &event, &actions);
    }
  tou_action_list_clear (&actions);
  return NULL;
}

int
tou_core_service_start (TouCoreService *service)
{
  int error = pthread_create (&service->thread, NULL, service_run, service);

  if (error != 0)
    return tou_status_set (TOU_E_IO, "cannot start the core's thread: %s",
                           g_strerror (error));
  service->started = TRUE;
  return TOU_OK;
}

void
tou_core_service_stop (TouCoreService *service)
{
  if (!service->started)
    return;
  atomic_store (&service->stopping, TRUE);
  pthread_join (service->thread, NULL);
  service->started = FALSE;
}

void
tou_core_service_destroy (TouCoreService *service)
{
  TouEvent event;

  if (service == NULL)
    return;
  tou_core_service_stop (service);
  tou_registry_remove_metrics (service->registry, service);
  while (service->ring != NULL && tou_ring_pop (service->ring, &event))
    tou_event_clear (&event);
  tou_core_route_destroy (service->route);
  tou_core_destroy (service->core);
  tou_ring_destroy (service->ring);
  g_free (service);
}
