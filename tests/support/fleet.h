/**
 * @file fleet.h
 * Control modules of several proxies with a store and one database group, in
 * virtual time. Messages and replies arrive within one step.
 */
#pragma once

#include "config.h"
#include "failover.h"
#include "feed.h"
#include "member.h"
#include "monitor.h"
#include "place.h"
#include "storeop.h"

#define FLEET_MAX_NODES 8
#define FLEET_DBS 3
#define FLEET_STEP_US (10 * TOU_US_PER_MS)
#define FLEET_GROUP "g"

typedef struct Fleet Fleet;

/** A database of the group. */
typedef struct
{
  gboolean up;
  TouDbReport report;
  TouStr attempt; /**< of the fence */
} FleetDb;

typedef struct
{
  Fleet *fleet;
  TouContext ctx;
  TouActionList actions;
  gboolean running;
  gboolean paused; /**< runs no step; its input stays queued */
  guint partition; /**< messages reach only proxies of the same partition */
  gboolean db_cut[FLEET_DBS];
  TouDbState db_state[FLEET_DBS];
  GQueue messages;        /**< TouMessage delivered at the next step */
  GQueue results;         /**< TouStoreResult delivered at the next step */
  GQueue control_replies; /**< FleetControlReply delivered at the next step */
  guint64 watch_id;
  guint64 watch_revision;
  guint n_entries_sent;  /**< ENTRIES messages sent */
  guint max_updates;     /**< largest number of updates in one message */
  guint n_leaving_calls; /**< calls of tou_gate_on_leaving () */
  int config_code;       /**< of the last CONFIG_REPLY; -1 if none */
  guint64 config_revision;
  TouStr config_current;
} FleetNode;

struct Fleet
{
  guint64 now_us;
  guint n_nodes;
  FleetNode nodes[FLEET_MAX_NODES];
  FleetDb dbs[FLEET_DBS];
  gboolean store_down;
  guint lose_replies; /**< number of next writes whose reply is lost */
  guint drop_writes;  /**< number of next writes lost before they take effect */
  guint64 compacted_revision; /**< watches from older revisions fail */
  guint64 revision;
  TouEntryList log; /**< all writes, oldest first */
  guint n_claims;   /**< claimed records written */
};

/** Starts @a n proxies that use the first one as their seed. */
Fleet *fleet_create (guint n);
void fleet_destroy (Fleet *fleet);

void fleet_start_node (Fleet *fleet, guint i, guint64 incarnation);
void fleet_stop_node (Fleet *fleet, guint i);

/** Writes a key (without TOU_STORE_PREFIX) and returns its revision. */
guint64 fleet_put (Fleet *fleet, const char *key, const char *value);

/** Returns the stored entry of @a key (without TOU_STORE_PREFIX) or NULL. */
const TouEntry *fleet_stored (const Fleet *fleet, const char *key);

/** Writes the group's configuration; its databases are d0, d1, d2. */
void fleet_put_group (Fleet *fleet);

/** Runs for @a ms milliseconds of virtual time. */
void fleet_run (Fleet *fleet, guint ms);

/**
 * Runs until the group's record is active with a term above @a term; returns
 * FALSE if it is not after @a ms milliseconds of virtual time.
 */
gboolean fleet_run_until_active (Fleet *fleet, guint64 term, guint ms);

/** Returns the group's record from the store; empty if there is none. */
TouGroupRecord fleet_record (const Fleet *fleet);

/** Returns the proxy with @a rank among the group's observers. */
FleetNode *fleet_observer (Fleet *fleet, guint rank);

/** Runs a control operation for tou_monitor_control () in fleet-stubs.h. */
int fleet_control (FleetNode *node, const TouName *group, guint endpoint,
                   TouDbControlOp op, guint64 term, const TouName *attempt,
                   guint primary);
