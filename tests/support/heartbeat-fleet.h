/**
 * @file heartbeat-fleet.h
 * Nodes that exchange heartbeats over loopback, on one event loop.
 */
#pragma once

#include "peers.h"

G_BEGIN_DECLS

#define FLEET_MAX_NODES 20

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timer;
  guint n_nodes;
  guint64 revision;                  /* of the last registration */
  gboolean stopped[FLEET_MAX_NODES]; /* the node neither sends nor receives */
  TouProxy *proxies[FLEET_MAX_NODES];
  TouPeers *peers[FLEET_MAX_NODES];
} HbFleet;

void hbfleet_init (HbFleet *fleet);
void hbfleet_clear (HbFleet *fleet);

/** Adds a node and passes all registrations to all nodes. */
void hbfleet_add (HbFleet *fleet);

/** Restarts a process after its wall clock was set back. */
void hbfleet_restart_with_earlier_clock (HbFleet *fleet, guint node);

/** Ends a node without a deregistration. */
void hbfleet_stop (HbFleet *fleet, guint node);

/** Makes a node adopt a record of the group "g". */
void hbfleet_adopt (HbFleet *fleet, guint node, guint64 revision);
/** The same for any node and group. */
void hbfleet_proxy_adopt (TouProxy *proxy, const char *group, guint64 revision);

/** The group "g" of a node. */
TouGroup *hbfleet_group (const HbFleet *fleet, guint node);

/** Makes a node read a panel of the nodes from @a first on from the store. */
void hbfleet_adopt_panel (HbFleet *fleet, guint node, guint64 revision,
                          guint first);

/** TRUE if the node has the record and may use its primary. */
gboolean hbfleet_is_valid (const HbFleet *fleet, guint node, guint64 revision);

/**
 * Runs until all running nodes may use the primary of the record.
 *
 * @return FALSE if they may not within 20 s
 */
gboolean hbfleet_wait_valid (HbFleet *fleet, guint64 revision);

void hbfleet_run (HbFleet *fleet, guint64 time_us);

G_END_DECLS
