/**
 * @file handover.h
 * Changes a group's primary; run by the leader.
 *
 * The steps are: announce the change in the store, wait until no node uses the
 * old primary, request it to step down if it answers, select the replica with
 * the highest log position, write it to the store as the candidate, order its
 * promotion, wait until it is primary, write it to the store as primary.
 * Another node can repeat each step. A primary that returns with its log under
 * another id is recorded instead.
 *
 * With synchronous replicas, the selection waits until the positions show that
 * the replica has every acknowledged commit, and draining replicas, which
 * receive commits as well, may be selected. A log that may have acknowledged
 * commits (see log-set.h) is waited for also while its database is not
 * registered, until the registry shows that it will not return.
 */
#pragma once

#include "authority.h"

G_BEGIN_DECLS

/** State of an endpoint, as seen by this node. */
typedef struct
{
  TouName id;
  gboolean usable;   /**< registered, and it answers */
  gboolean draining; /**< it ends soon, but receives commits until then */
  TouRole role;      /**< in the last status; UNKNOWN without one */
  guint64 term;
  TouLogPos received;
  guint64 status_us; /**< send time of the last answered status request */
} TouHandoverEndpoint;

/** Input of a step: state of the group, as seen by this node. */
typedef struct
{
  TouGroupRecord record;
  gboolean primary_registered; /**< registered, or missing only briefly */
  gboolean primary_draining;
  guint64 record_us;   /**< when the record was adopted */
  TouLogPos newest;    /**< newest log position that any of the group's
                            databases has reported to this node */
  guint sync_replicas; /**< a commit is acknowledged once as many replicas have
                            received it; 0: at once */
  guint n_nodes;       /**< registered nodes, including this one */
  gboolean reaches_voters; /**< this node reaches a majority of the voters,
                                without whose answers no change is completed */
  guint n_reporting;  /**< nodes with a recent heartbeat, including this one */
  guint n_observing;  /**< nodes with their own connections to the primary;
                           0: all reporting nodes */
  guint n_suspecting; /**< observing nodes that suspect the primary */
  /** When the request was sent that the primary last answered, as far as this
      node knows; 0: unknown. */
  guint64 primary_answered_us;
  guint n_quiesced; /**< nodes that no longer use the old primary */
  gboolean
      nodes_uncertain; /**< n_nodes may not include all nodes with proofs */
  /** A majority of the voters no longer proves an earlier record. */
  gboolean majority_has_record;
  /** Every running database has had time to register since the store was last
      unavailable. */
  gboolean registry_complete;
  guint n_absent; /**< logs of the set, except the primary's, whose databases
                     are not in endpoints */
  guint n_ended;  /**< those of n_absent that will not return */
  gboolean primary_ended; /**< the primary's log will not return */
  guint n_endpoints;
  const TouHandoverEndpoint *endpoints; /**< borrowed */
} TouHandoverView;

typedef enum
{
  TOU_HANDOVER_NONE,
  TOU_HANDOVER_WRITE, /**< write the record if it is unchanged in the store */
  TOU_HANDOVER_STEP_DOWN, /**< request the endpoint to step down */
  TOU_HANDOVER_PROMOTE    /**< order the endpoint's promotion */
} TouHandoverActionKind;

typedef struct
{
  TouHandoverActionKind kind;
  TouGroupRecord record; /**< WRITE */
  TouName endpoint;      /**< STEP_DOWN, PROMOTE */
  const char *reason;    /**< static text for the log */
} TouHandoverAction;

/**
 * Returns TRUE unless a primary's registration has been missing for longer than
 * it takes to return: registrations expire during an outage of the store, and a
 * node that has started since does not know of any before.
 *
 * @param missing_since_us when it was first not found; 0: it is there
 */
gboolean tou_handover_is_registered (guint64 missing_since_us, guint64 now_us);

/**
 * Returns TRUE if every running database has had time to register: some cannot
 * while the store is unavailable.
 *
 * @param available_since_us since when the store answers
 */
gboolean tou_handover_is_registry_complete (guint64 available_since_us,
                                            guint64 now_us);

/**
 * TRUE if some, but not all, of the gateways suspect the primary, so that its
 * answers are needed to decide.
 */
gboolean tou_handover_is_partly_suspected (const TouHandoverView *view);

typedef struct TouHandover TouHandover;

int tou_handover_create (TouHandover **out);
void tou_handover_destroy (TouHandover *handover);

/** Determines the next action. Call it every few ms and after each event. */
void tou_handover_step (TouHandover *handover, const TouHandoverView *view,
                        guint64 now_us, TouHandoverAction *out);

/** Reports a write's result; @a done is FALSE if it failed or is in doubt. */
void tou_handover_written (TouHandover *handover, gboolean done,
                           guint64 now_us);

/** Answer to a promotion order. */
typedef enum
{
  TOU_HANDOVER_ACCEPTED,
  TOU_HANDOVER_REJECTED, /**< the endpoint is not running */
  TOU_HANDOVER_NO_ANSWER
} TouHandoverAnswer;

/** Reports the answer to a promotion order. */
void tou_handover_ordered (TouHandover *handover, TouHandoverAnswer answer,
                           guint64 now_us);

/** Returns to the idle step; the record in the store is unchanged. */
void tou_handover_reset (TouHandover *handover);

/** Returns TRUE while statuses of all endpoints are needed every few ms. */
gboolean tou_handover_is_active (const TouHandover *handover);

/**
 * Returns TRUE while the selection waits for logs that may have acknowledged
 * commits which the best candidate lacks.
 */
gboolean tou_handover_awaits_logs (const TouHandover *handover);

/** Returns the name of the current step, for logs. */
const char *tou_handover_step_name (const TouHandover *handover);

G_END_DECLS
