/**
 * @file drain.h
 * Graceful shutdown of this proxy.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

int tou_drain_create (TouDrain **out, TouContext *ctx);
void tou_drain_destroy (TouDrain *drain);

/** Starts the drain; repeated calls have no effect. */
void tou_drain_start (TouDrain *drain);

void tou_drain_on_tick (TouDrain *drain);

/** TRUE after tou_drain_start (). */
gboolean tou_drain_is_active (const TouDrain *drain);

/** TRUE once new client requests are refused (after drain_delay_us). */
gboolean tou_drain_refuses_requests (const TouDrain *drain);

G_END_DECLS
