/**
 * @file peer-address.h
 * Addresses on loopback for the heartbeats of a test's nodes.
 */
#pragma once

#include "toucanscale/str.h"

G_BEGIN_DECLS

/**
 * Returns an address with a free port that no other process uses: a port that a
 * stopped node has released may be given to another test, whose nodes have the
 * same names.
 */
TouName peer_address (void);

G_END_DECLS
