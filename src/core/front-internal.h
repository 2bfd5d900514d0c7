/**
 * @file front-internal.h
 * Structures shared by the sources of the front.
 *
 * front.c admits and answers requests, front-attempt.c sends them to gates and
 * front-retry.c handles the replies and retries.
 */
#pragma once

#include "drain.h"
#include "feed.h"
#include "front.h"
#include "gate.h"
#include "place.h"

G_BEGIN_DECLS

/** Maximum number of (group, gate) pairs avoided at once. */
#define FRONT_MAX_AVOIDED 64

typedef enum
{
  FRONT_IN_FLIGHT, /**< an attempt was sent to a gate */
  FRONT_WAITING    /**< the next attempt is scheduled */
} FrontState;

/** A client request that has not been answered yet. */
typedef struct
{
  TouFront *front;
  guint64 caller;
  TouRequest request; /**< id: of the current attempt */
  FrontState state;
  TouName gate; /**< of the current attempt */
  guint attempts;
  guint64 retry_at_us;
  gboolean may_have_run; /**< an earlier attempt may have been executed */
  TouReply last_reply;   /**< reply to the last attempt that ended */
  guint n_refused;
  TouName refused[TOU_MAX_CANDIDATES]; /**< gates that refused the request */
} FrontPending;

/** A gate that recently refused requests of a group. */
typedef struct
{
  TouName group;
  TouName gate;
  gboolean writes_only;
  guint64 until_us;
} FrontAvoided;

struct TouFront
{
  TouContext *ctx;
  GHashTable *by_caller;   /**< caller id in the value -> FrontPending */
  GHashTable *by_sequence; /**< sequence of the attempt -> FrontPending */
  guint budget;            /**< retry tokens in tenths */
  guint n_advanced;        /**< tenths of later requests, already in budget */
  guint64 next_scan_us;
  guint n_avoided;
  FrontAvoided avoided[FRONT_MAX_AVOIDED];
};

/* front.c */

/** Answers the client and frees @a pending; takes the content of @a reply. */
void front_answer (FrontPending *pending, TouReply *reply);

/* front-attempt.c */

/** TRUE if the request belongs to an open transaction. */
gboolean front_in_transaction (const TouRequest *request);

/** TRUE if the request changes data or begins a transaction. */
gboolean front_is_write (const TouRequest *request);

/** Sends the request to a gate; may answer it and free @a pending. */
void front_attempt (FrontPending *pending);

/** Makes requests of the group prefer other gates for a limited time. */
void front_avoid_gate (TouFront *front, const TouName *group,
                       const TouName *gate, gboolean writes_only);

/** TRUE if there is a candidate that has not refused the request. */
gboolean front_has_candidate (FrontPending *pending);

/** TRUE if the proxy is dead or not in the member table. */
gboolean front_is_node_lost (const TouFront *front, const TouName *node);

/* front-retry.c */

/** Sets the retry budget of a new proxy. */
void front_init_retry_budget (TouFront *front);
/** Adds the share of one request to the retry budget. */
void front_credit_retry_budget (TouFront *front);

/** Answers or retries the request; takes the content of @a reply. */
void front_handle_reply (FrontPending *pending, TouReply *reply);

/** Handles the loss of the gate of the current attempt. */
void front_on_gate_lost (FrontPending *pending);

/** Answers a request whose deadline has passed. */
void front_expire (FrontPending *pending);

G_END_DECLS
