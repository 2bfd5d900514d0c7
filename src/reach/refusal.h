/**
 * @file refusal.h
 * Whether a statement waits while this node cannot use its primary.
 *
 * Pattern: clients that try an operation three times and retry immediately. A
 * refusal uses up a try, so it is given only if another try does better: at
 * another node that is likely to serve the statement, or later, when the
 * statement cannot be served within its time limit here.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Usual duration of a change of primary. */
#define TOU_REFUSAL_CHANGE_US (2 * TOU_US_PER_S)
/** Usual time from the loss of a primary to the end of its replacement. */
#define TOU_REFUSAL_LOSS_US (2700 * TOU_US_PER_MS)

/** Why this node cannot use the primary. */
typedef enum
{
  TOU_REFUSAL_CHANGING,    /**< it is being replaced, or there is none */
  TOU_REFUSAL_UNPROVED,    /**< this node cannot prove the record */
  TOU_REFUSAL_UNREACHABLE, /**< neither directly nor through a gateway */
  TOU_REFUSAL_LOST         /**< the same, and its gateways do not reach it */
} TouRefusalCause;

/** What the decision depends on. */
typedef struct
{
  TouRefusalCause cause;
  guint64 cause_us;  /**< time since the cause applies */
  guint64 waited_us; /**< time since this node received the statement */
  guint64 left_us;   /**< time until its deadline */
  gboolean isolated; /**< no other node is heard */
} TouRefusalInput;

typedef enum
{
  TOU_REFUSAL_WAIT,     /**< the statement stays in the queue */
  TOU_REFUSAL_LATER,    /**< it cannot be served within its time limit */
  TOU_REFUSAL_ELSEWHERE /**< another node is likely to serve it */
} TouRefusalKind;

typedef struct
{
  TouRefusalKind kind;
  union
  {
    guint64 retry_us; /**< LATER: expected time until it can be served */
  } as;
} TouRefusalVerdict;

/** Decides on a statement that requires the primary. */
TouRefusalVerdict tou_refusal_decide (const TouRefusalInput *input);

G_END_DECLS
