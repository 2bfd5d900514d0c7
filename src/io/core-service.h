/**
 * @file core-service.h
 * The core's thread: takes events from a ring and submits actions to the
 * services.
 */
#pragma once

#include "toucanscale/core.h"
#include "toucanscale/registry.h"

#include "service.h"

G_BEGIN_DECLS

/** Names under which the services register. */
#define TOU_SERVICE_DATABASE "database"
#define TOU_SERVICE_PEER "peer"
#define TOU_SERVICE_STORE "store"
#define TOU_SERVICE_HTTP "http"
#define TOU_SERVICE_OPERATOR "operator"
#define TOU_SERVICE_DAEMON "daemon"

typedef struct TouCoreService TouCoreService;

typedef struct
{
  const TouCoreSettings *core;
  guint64 seed;
  guint ring_capacity; /**< events per lane */
} TouCoreServiceSettings;

/** Creates the ring and the core; @a registry must outlive the service. */
int tou_core_service_create (TouCoreService **out,
                             const TouCoreServiceSettings *settings,
                             TouRegistry *registry);

/**
 * Returns the sink for the events of the other services.
 *
 * Lane 0 holds control events and urgent requests, lane 1 review requests and
 * lane 2 status requests. Urgent requests fill at most half of lane 0, so that
 * an overload of them leaves room for control events.
 */
TouEventSink tou_core_service_sink (TouCoreService *service);

/** Starts the thread; the other services must be registered before. */
int tou_core_service_start (TouCoreService *service);

/** Stops the thread; later events stay in the ring. */
void tou_core_service_stop (TouCoreService *service);

/** Stops the thread and frees the service; no other thread may use the sink
 * any more. */
void tou_core_service_destroy (TouCoreService *service);

G_END_DECLS
