/**
 * @file placement.h
 * Selects the gateway of each endpoint when nodes change.
 */
#pragma once

#include "peers.h"

G_BEGIN_DECLS

/** Selects the gateways again if it is due; call it on every tick. */
void tou_placement_tick (TouProxy *proxy, const TouPeers *peers,
                         guint64 now_us);

G_END_DECLS
