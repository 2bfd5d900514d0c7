/**
 * @file credit.h
 * Credit of teams with a quota: what this node may run, and the exchange of
 * requests and replies with the issuers (docs/design/quota.md).
 *
 * Use by the session proxy:
 * - TouProxy has a member `TouCredit *credit`, created by sessiond after the
 *   peers and destroyed before them. It allocates nothing else and sends
 *   nothing while no team has a limit.
 * - sessiond's timer calls tou_credit_tick() after tou_peers_tick().
 * - After a new configuration: tou_credit_begin_update(), then
 *   tou_credit_set_limit() for each team with a quota, then
 *   tou_credit_end_update().
 * - A client embeds a TouCreditWait. At the start of an operation of a team (a
 *   single statement or a transaction, not each statement in it), it sets done,
 *   team and deadline_us and calls tou_credit_take(). After
 *   TOU_CREDIT_WAITING it goes on in done(); it calls tou_credit_cancel()
 *   before it is freed or gives the operation up.
 * - tou_credit_return() gives credit back if the operation was certainly not
 *   sent to a database. An operation that is sent a second time after a
 *   database ran it, or may have run it, needs credit of its own.
 */
#pragma once

#include "peers.h"
#include "quota-holder.h"

#include <jansson.h>

G_BEGIN_DECLS

typedef struct TouCredit TouCredit;
typedef struct TouCreditWait TouCreditWait;

/** An operation that needs credit. */
struct TouCreditWait
{
  /**
   * Called once, from the event loop and never from within a call of this
   * module, unless the wait is cancelled. The wait may be freed or used again
   * in it.
   *
   * @param retry_us if not granted: time until credit is expected
   * @param reason if not granted: a static string, else NULL
   */
  void (*done) (TouCreditWait *wait, gboolean granted, guint64 retry_us,
                const char *reason);
  TouName team;
  gboolean urgent;     /**< takes precedence over others of the team */
  guint64 deadline_us; /**< of the operation; refused at that time */
  /* Set by tou_credit_take(). */
  gboolean waiting;
  guint64 until_us;      /**< refused at that time */
  GList link;            /**< in the queue of its team */
  TouQuotaCredit credit; /**< if granted: for tou_credit_return() */
};

typedef enum
{
  TOU_CREDIT_GRANTED,
  TOU_CREDIT_WAITING, /**< done() is called later */
  TOU_CREDIT_REFUSED
} TouCreditResult;

/** Bounds that are used unless others are set. */
#define TOU_CREDIT_WINDOW_US (5 * TOU_US_PER_S)
#define TOU_CREDIT_EXCESS 0.1
#define TOU_CREDIT_SLACK 20

void tou_credit_create (TouCredit **out, TouProxy *proxy, TouPeers *peers);
/** Sets the bounds of all limits; call it before the first one is set. */
void tou_credit_set_bounds (TouCredit *credit, const TouQuotaBounds *bounds);
/** NULL is ignored. Operations that wait are dropped without a call. */
void tou_credit_destroy (TouCredit *credit);

/** Begins to replace the limits; ends with tou_credit_end_update(). */
void tou_credit_begin_update (TouCredit *credit);
/**
 * Sets the limit of a team over all nodes.
 *
 * @param rate_per_s operations per second, above 0
 * @param burst operations that may exceed the rate at once
 */
void tou_credit_set_limit (TouCredit *credit, const TouName *team,
                           double rate_per_s, double burst);
/**
 * Drops the teams that were not set since tou_credit_begin_update().
 * Operations of these teams that wait are granted at the next tick.
 */
void tou_credit_end_update (TouCredit *credit);

/**
 * Takes credit for one operation of wait->team. A team without a limit is
 * always granted it.
 *
 * @param retry_us if refused: time until credit is expected
 * @param reason if refused: a static string
 */
TouCreditResult tou_credit_take (TouCredit *credit, TouCreditWait *wait,
                                 guint64 now_us, guint64 *retry_us,
                                 const char **reason);

/** Ends a wait without a call; a wait that is not waiting is ignored. */
void tou_credit_cancel (TouCredit *credit, TouCreditWait *wait);

/**
 * Gives back the credit of an operation that was granted it and was not sent to
 * a database; call it at most once for each operation.
 */
void tou_credit_return (TouCredit *credit, TouCreditWait *wait, guint64 now_us);

/** Sends the due requests and ends waits; call it every 25 ms. */
void tou_credit_tick (TouCredit *credit, guint64 now_us);

/**
 * Teams in use with their limits, credit and issuer state; the caller owns it.
 */
json_t *tou_credit_dump (TouCredit *credit, guint64 now_us);

G_END_DECLS
