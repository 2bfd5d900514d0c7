/**
 * @file http-callers.h
 * HTTP/JSON interface for clients.
 *
 * Each request is sent to the core as a REQUEST event; the handler's thread
 * waits for the REPLY action.
 */
#pragma once

#include "toucanscale/registry.h"
#include "toucanscale/settings.h"

#include "service.h"

G_BEGIN_DECLS

typedef struct TouHttpCallers TouHttpCallers;

/** Creates a server that does not listen yet; @a settings must outlive it. */
int tou_http_callers_create (TouHttpCallers **out, const TouSettings *settings,
                             TouEventSink sink);

/** Starts listening; the service must be registered before. */
int tou_http_callers_start (TouHttpCallers *callers);

/** Matches TouActionFunc; handles REPLY. */
int tou_http_callers_submit (gpointer service, TouAction *action);

/** Matches TouMetricsFunc. */
void tou_http_callers_metrics (gpointer service, GString *text);

/** Refuses new requests with TOU_E_DRAINING; requests in progress continue. */
void tou_http_callers_refuse_new (TouHttpCallers *callers);

/**
 * Replies to waiting clients with outcome unknown, because the core has stopped
 * sending replies, then frees the server.
 */
void tou_http_callers_destroy (TouHttpCallers *callers);

G_END_DECLS
