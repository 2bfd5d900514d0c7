/**
 * @file quota-issuer.h
 * Issues credit from this node's share of the teams' limits.
 *
 * An issuer has a token bucket per team. It does not grant more than the float
 * beyond what holders have spent: a request states how much of the issuer's
 * credit the holder has, and replies to earlier requests are void. Credit that
 * is not reported is counted until it has expired.
 */
#pragma once

#include "quota-limits.h"
#include "quota-wire.h"

G_BEGIN_DECLS

typedef struct TouQuotaIssuer TouQuotaIssuer;

/** State of a team at an issuer. */
typedef struct
{
  double level;        /**< of the bucket */
  guint64 outstanding; /**< credit that holders may use */
} TouQuotaIssuerState;

/** @param limits borrowed */
void tou_quota_issuer_create (TouQuotaIssuer **out, const TouName *self,
                              const TouQuotaLimits *limits);
void tou_quota_issuer_destroy (TouQuotaIssuer *issuer);

/**
 * Handles a request. Messages of a holder's process other than its latest one
 * are ignored.
 *
 * @param may_issue TRUE if this node hears a majority of the voters
 * @param reply written if TRUE is returned
 * @return FALSE if the request is to be ignored
 */
gboolean tou_quota_issuer_on_request (TouQuotaIssuer *issuer,
                                      TouQuotaReply *reply,
                                      const TouQuotaRequest *request,
                                      gboolean may_issue, guint64 now_us);

/** Drops the state of unused teams and holders; call it every second or so. */
void tou_quota_issuer_sweep (TouQuotaIssuer *issuer, guint64 now_us);

/** Sets @a out to the state of a team of which this node is an issuer. */
void tou_quota_issuer_get_state (TouQuotaIssuerState *out,
                                 TouQuotaIssuer *issuer, const TouName *team,
                                 guint64 now_us);

/** Number of teams with state. */
guint tou_quota_issuer_count (const TouQuotaIssuer *issuer);

G_END_DECLS
