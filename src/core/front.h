/**
 * @file front.h
 * Accepts the requests of the clients connected to this proxy.
 */
#pragma once

#include "config.h"

G_BEGIN_DECLS

int tou_front_create (TouFront **out, TouContext *ctx);
void tou_front_destroy (TouFront *front);

void tou_front_on_tick (TouFront *front);

/** Processes a client request; takes the content of @a request. */
void tou_front_request (TouFront *front, guint64 caller, TouRequest *request);

/** Cancels the request of a client that has disconnected. */
void tou_front_cancel (TouFront *front, guint64 caller);

/** Processes the reply of a gate; takes the content of @a reply. */
void tou_front_on_reply (TouFront *front, const TouName *gate, TouReply *reply);

/** Handles a membership change: resolves requests sent to dead gates. */
void tou_front_on_change (TouFront *front);

/** TRUE if no request is pending. */
gboolean tou_front_is_idle (const TouFront *front);

G_END_DECLS
