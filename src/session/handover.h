/**
 * @file handover.h
 * Change of a group's primary, run by the node that holds the duty.
 *
 * The steps are: announce the change in the store, wait until no node uses
 * the old primary, make it step down if it answers, choose the replica with
 * the newest log, name it in the store, order the promotion, wait until it
 * leads, publish it in the store. Each step can be repeated by another node.
 */
#pragma once

#include "authority.h"

G_BEGIN_DECLS

/** A database as the node sees it. */
typedef struct
{
  TouName id;
  gboolean usable; /**< registered, not leaving, and it answers */
  TouRole role;    /**< as of the last status; UNKNOWN without one */
  guint64 term;
  TouLogPos received;
  guint64 status_us; /**< when the last answered status was asked for */
} TouHandoverEndpoint;

/** What the decisions are based on. */
typedef struct
{
  TouGroupRecord record;
  gboolean primary_registered; /**< in the registry, or missing for a moment */
  gboolean primary_draining;
  guint64 record_us;    /**< since when the record is known */
  guint n_nodes;        /**< registered nodes, this one included */
  guint n_reporting;    /**< nodes heard from lately, this one included */
  guint n_observing;    /**< nodes with connections of their own to the primary;
                             0: all that report */
  guint n_suspecting;   /**< of these, nodes that cannot reach the primary */
  guint n_acknowledged; /**< nodes that no longer use the old primary */
  guint n_endpoints;
  TouHandoverEndpoint endpoints[TOU_GROUP_MAX_ENDPOINTS];
} TouHandoverView;

typedef enum
{
  TOU_HANDOVER_NONE,
  TOU_HANDOVER_WRITE,     /**< write the record, on the condition that the
                               known one is unchanged */
  TOU_HANDOVER_STEP_DOWN, /**< tell the endpoint to step down */
  TOU_HANDOVER_PROMOTE    /**< order that the endpoint leads */
} TouHandoverActionKind;

typedef struct
{
  TouHandoverActionKind kind;
  TouGroupRecord record; /**< WRITE */
  TouName endpoint;      /**< STEP_DOWN, PROMOTE */
  const char *reason;    /**< static text for the log */
} TouHandoverAction;

typedef struct TouHandover TouHandover;

int tou_handover_create (TouHandover **out);
void tou_handover_destroy (TouHandover *handover);

/** Decides on the next action; call it every few ms and after each event. */
void tou_handover_step (TouHandover *handover, const TouHandoverView *view,
                        guint64 now_us, TouHandoverAction *out);

/** The write was answered; @a done is FALSE if it failed or is in doubt. */
void tou_handover_written (TouHandover *handover, gboolean done,
                           guint64 now_us);

/** Answer to the order of a promotion. */
typedef enum
{
  TOU_HANDOVER_ORDERED,
  TOU_HANDOVER_REJECTED, /**< the endpoint does not run */
  TOU_HANDOVER_NO_ANSWER
} TouHandoverOrder;

void tou_handover_ordered (TouHandover *handover, TouHandoverOrder order,
                           guint64 now_us);

/** Gives up all steps; the store's record stays. */
void tou_handover_reset (TouHandover *handover);

/** TRUE while statuses of all endpoints are needed every few ms. */
gboolean tou_handover_is_active (const TouHandover *handover);

/** Name of the current step, for logs and the dump. */
const char *tou_handover_step_name (const TouHandover *handover);

G_END_DECLS
