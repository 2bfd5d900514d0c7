/**
 * @file context.h
 * State shared by the submodules of one core.
 */
#pragma once

#include "toucanscale/core.h"

#include "counters.h"
#include "random.h"

G_BEGIN_DECLS

typedef struct TouMember TouMember;
typedef struct TouPlace TouPlace;
typedef struct TouFeed TouFeed;
typedef struct TouConfig TouConfig;
typedef struct TouStoreOps TouStoreOps;
typedef struct TouFailover TouFailover;
typedef struct TouDrain TouDrain;
typedef struct TouMonitor TouMonitor;
typedef struct TouGate TouGate;
typedef struct TouFront TouFront;

/** Owned by TouCore; each submodule holds a pointer to it. */
typedef struct
{
  TouCoreSettings settings;
  guint64 now_us;         /**< time of the current step */
  TouActionList *actions; /**< output of the current step */
  TouRandom random;
  TouCounters counters;
  guint64 next_id; /**< source of request, connection and call ids */

  TouMember *member;
  TouPlace *place;
  TouFeed *feed;
  TouConfig *config;
  TouStoreOps *store_ops;
  TouFailover *failover;
  TouDrain *drain;
  TouMonitor *monitor;
  TouGate *gate;
  TouFront *front;
} TouContext;

/** Returns an id that is unique within this core. */
guint64 tou_context_next_id (TouContext *ctx);

/**
 * Sends @a message (owned) to a member; discards it if @a node is unknown or
 * this proxy.
 */
void tou_context_send (TouContext *ctx, const TouName *node,
                       TouMessage *message);

/**
 * Sends @a message (owned) to an address.
 *
 * @param node name of the receiver, or empty if not yet known
 */
void tou_context_send_address (TouContext *ctx, const TouName *node,
                               const TouName *address, TouMessage *message);

/** Emits a log action. */
void tou_context_log (TouContext *ctx, GLogLevelFlags level, int code,
                      const char *format, ...) G_GNUC_PRINTF (4, 5);

G_END_DECLS
