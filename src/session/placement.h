/**
 * @file placement.h
 * Keeps each endpoint's gateway up to date.
 */
#pragma once

#include "peers.h"

G_BEGIN_DECLS

/** Chooses gateways anew when nodes have changed; call it with every tick. */
void tou_placement_tick (TouProxy *proxy, const TouPeers *peers,
                         guint64 now_us);

G_END_DECLS
