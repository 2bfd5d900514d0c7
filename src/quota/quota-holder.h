/**
 * @file quota-holder.h
 * Credit that this node holds for its teams, and what it asks of the issuers.
 *
 * A team with more than some 17 operations per second on this node has a stock
 * of credit for the time until the next reply. Operations of other teams wait
 * for a reply each, so that credit of small teams is not kept at nodes that do
 * not need it. The nearest issuer is asked first, the others in a round when it
 * has none; operations are refused when no issuer of the round has credit.
 */
#pragma once

#include "quota-limits.h"
#include "quota-wire.h"

G_BEGIN_DECLS

typedef struct TouQuotaHolder TouQuotaHolder;

typedef enum
{
  TOU_QUOTA_TAKEN,
  TOU_QUOTA_WAIT,
  TOU_QUOTA_REFUSED
} TouQuotaResult;

/** Why and for how long a team is refused. */
typedef struct
{
  guint64 retry_us;    /**< time until credit is expected */
  TouQuotaCause cause; /**< of the issuer that is expected to have it first */
  gboolean temporary;  /**< that issuer could not issue: credit may be left */
} TouQuotaRefusal;

/** Credit of one operation, to give it back with tou_quota_holder_return(). */
typedef struct
{
  gint issuer;
  guint generation;   /**< of the issuers */
  guint64 expires_us; /**< 0: none */
} TouQuotaCredit;

/** @param limits borrowed */
void tou_quota_holder_create (TouQuotaHolder **out, const TouName *self,
                              guint64 incarnation,
                              const TouQuotaLimits *limits);
void tou_quota_holder_destroy (TouQuotaHolder *holder);

/**
 * Takes credit for a new operation.
 *
 * @param credit set if it is taken
 * @param refusal set if it is refused
 */
TouQuotaResult tou_quota_holder_take (TouQuotaHolder *holder,
                                      const TouName *team, gboolean urgent,
                                      guint64 now_us, TouQuotaCredit *credit,
                                      TouQuotaRefusal *refusal);

/** Takes credit for an operation that has waited. @return FALSE: none */
gboolean tou_quota_holder_take_stock (TouQuotaHolder *holder,
                                      const TouName *team, guint64 now_us,
                                      TouQuotaCredit *credit);

/** Gives back credit that has not been used. */
void tou_quota_holder_return (TouQuotaHolder *holder, const TouName *team,
                              const TouQuotaCredit *credit, guint64 now_us);

/** Sets the numbers of operations, and of urgent ones among them, that wait for
    credit. */
void tou_quota_holder_set_waiting (TouQuotaHolder *holder, const TouName *team,
                                   guint n, guint n_urgent, guint64 now_us);

/**
 * TRUE if no issuer has credit for the operations that wait: the urgent ones,
 * or the others, for which issuers do not use up their credit.
 */
gboolean tou_quota_holder_is_refused (TouQuotaHolder *holder,
                                      const TouName *team, gboolean urgent,
                                      guint64 now_us, TouQuotaRefusal *refusal);

/** Sets the round trip time to an issuer; that of this node itself is 0. */
void tou_quota_holder_set_rtt (TouQuotaHolder *holder, const TouName *issuer,
                               guint64 rtt_us);

/**
 * Writes the next request. To other nodes there is at most one in
 * TOU_QUOTA_REQUEST_INTERVAL_US; call it again until it returns NULL.
 *
 * @return the issuer to send it to, or NULL if none is due
 */
const TouName *tou_quota_holder_next_request (TouQuotaHolder *holder,
                                              TouQuotaRequest *request,
                                              guint64 now_us);

/** Handles a reply. @return FALSE if it is to be ignored */
gboolean tou_quota_holder_on_reply (TouQuotaHolder *holder,
                                    const TouQuotaReply *reply, guint64 now_us);

/** Unexpired credit of a team. */
guint64 tou_quota_holder_stock (const TouQuotaHolder *holder,
                                const TouName *team, guint64 now_us);

/** Number of teams with state. */
guint tou_quota_holder_count (const TouQuotaHolder *holder);

/**
 * An operation waits this long for credit: time for a lost message and a round
 * of the other issuers.
 */
#define TOU_QUOTA_WAIT_US (300 * TOU_US_PER_MS)

/** Interval of requests to other nodes: the 25 ms of a tick less its jitter. */
#define TOU_QUOTA_REQUEST_INTERVAL_US (24 * TOU_US_PER_MS)

G_END_DECLS
