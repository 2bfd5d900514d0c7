/**
 * @file http-operators.h
 * HTTP/JSON interface for operators on its own port: dump, metrics, health,
 * configuration and drain.
 *
 * No request directs traffic or starts a promotion.
 */
#pragma once

#include "toucanscale/registry.h"
#include "toucanscale/settings.h"

#include "service.h"

G_BEGIN_DECLS

typedef struct TouHttpOperators TouHttpOperators;

/** Creates a server that does not listen yet; @a settings and @a registry must
 * outlive it. */
int tou_http_operators_create (TouHttpOperators **out,
                               const TouSettings *settings,
                               TouRegistry *registry, TouEventSink sink);

/** Starts listening; the service must be registered before. */
int tou_http_operators_start (TouHttpOperators *operators);

/** Matches TouActionFunc; handles CONFIG_REPLY, TEXT_REPLY and READY. */
int tou_http_operators_submit (gpointer service, TouAction *action);

/** Matches TouMetricsFunc. */
void tou_http_operators_metrics (gpointer service, GString *text);

/**
 * Makes /readyz fail and sends a DRAIN event to the core.
 *
 * Returns TOU_E_RING_FULL if the ring is full; the caller retries.
 */
int tou_http_operators_drain (TouHttpOperators *operators);

/** Wakes the waiting handlers, then frees the server. */
void tou_http_operators_destroy (TouHttpOperators *operators);

G_END_DECLS
