/**
 * @file core-route.h
 * Submits the core's actions to the services and converts refusals to events.
 *
 * To be used by the core's thread only.
 */
#pragma once

#include "toucanscale/registry.h"

G_BEGIN_DECLS

typedef struct TouCoreRoute TouCoreRoute;

int tou_core_route_create (TouCoreRoute **out, TouRegistry *registry);

/**
 * Submits @a action to its service; takes ownership of the payload.
 *
 * If the service refuses the action, the event that reports its failure is
 * queued. Actions without such an event that must not be lost (DB_CLOSE, the
 * cancellation of a watch) are queued and submitted again later.
 */
void tou_core_route_action (TouCoreRoute *route, TouAction *action);

/** Submits the queued actions again; returns TRUE if any remain. */
gboolean tou_core_route_retry (TouCoreRoute *route);

/** Removes the oldest event caused by a refusal; FALSE if there is none. */
gboolean tou_core_route_pop (TouCoreRoute *route, TouEvent *event);

void tou_core_route_destroy (TouCoreRoute *route);

G_END_DECLS
