/**
 * @file quota-limits.h
 * Limits of the teams and the issuers that share them, as one node knows them.
 *
 * Operations in a window W are at most what the buckets and the holders of a
 * team have at its start, and what is added in it: W x rate + capacity + n + F
 * + S. The n issuers may each be one credit in debt, because credit is whole.
 * Each part is a share of what the bounds allow beyond W x rate + burst:
 *
 *     capacity  max (burst, 0.2 x excess x W x rate)
 *     float F   0.6 x excess x W x rate + 0.5 x slack, at least n
 *     start S   0.2 x excess x W x rate + 0.25 x slack
 *     n         as many issuers as the rest of the bounds allows, at most S
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Maximum number of issuers, and of nodes without a panel. */
#define TOU_QUOTA_MAX_ISSUERS 16

/** Holders may use credit for this long after they sent the request. */
#define TOU_QUOTA_CREDIT_US (1000 * TOU_US_PER_MS)

/** Allowed excess over a limit in each window. */
typedef struct
{
  guint64 window_us;
  double excess; /**< share of the limit */
  double slack;  /**< operations */
} TouQuotaBounds;

/** Limit of a team over all nodes. */
typedef struct
{
  TouName team;
  double rate;       /**< operations per second */
  double burst;      /**< operations */
  guint64 since_us;  /**< since when this node issues or knows the limit */
  gboolean succeeds; /**< it may have taken the share over from another node */
  guint32 issuers;   /**< bit mask of the issuers of this team */
  guint n_issuers;   /**< number of bits in issuers */
  guint update;      /**< last update that contained the team */
} TouQuotaLimit;

typedef struct TouQuotaLimits TouQuotaLimits;

/** @param self name of this node */
void tou_quota_limits_create (TouQuotaLimits **out, const TouName *self,
                              const TouQuotaBounds *bounds);
void tou_quota_limits_destroy (TouQuotaLimits *limits);

/** Begins to replace the limits; ends with tou_quota_limits_end_update(). */
void tou_quota_limits_begin_update (TouQuotaLimits *limits);
/** Sets the limit of a team; rate_per_s is above 0. */
void tou_quota_limits_set (TouQuotaLimits *limits, const TouName *team,
                           double rate_per_s, double burst, guint64 now_us);
/** Drops the teams that were not set since the update began. */
void tou_quota_limits_end_update (TouQuotaLimits *limits);
guint tou_quota_limits_count (const TouQuotaLimits *limits);
/** Returns the limit of a team, or NULL. */
const TouQuotaLimit *tou_quota_limits_get (const TouQuotaLimits *limits,
                                           const TouName *team);
/** Iterates over all limits; the values are TouQuotaLimit. */
void tou_quota_limits_iterate (GHashTableIter *iter,
                               const TouQuotaLimits *limits);

/**
 * Sets the issuers, in any order. Of more than TOU_QUOTA_MAX_ISSUERS, those
 * with the lowest hashes are used.
 *
 * @param recorded TRUE if the issuers are recorded: a node that finds itself
 * among them when it starts was one of them before. FALSE if they are the nodes
 * that are registered, to which a node adds itself when it starts
 */
void tou_quota_limits_set_issuers (TouQuotaLimits *limits, const TouName *names,
                                   guint n, gboolean recorded, guint64 now_us);
/** Returns the issuers; bit i of a mask stands for element i. */
const TouName *tou_quota_limits_issuers (const TouQuotaLimits *limits,
                                         guint *n);
/** Changes whenever the issuers change. */
guint tou_quota_limits_generation (const TouQuotaLimits *limits);
/** TRUE if this node is an issuer of the team. */
gboolean tou_quota_limits_is_issuer (const TouQuotaLimits *limits,
                                     const TouQuotaLimit *limit);

/** Shares of one issuer: refill per second, and operations. */
double tou_quota_limits_refill (const TouQuotaLimit *limit);
double tou_quota_limits_capacity (const TouQuotaLimits *limits,
                                  const TouQuotaLimit *limit);
double tou_quota_limits_float (const TouQuotaLimits *limits,
                               const TouQuotaLimit *limit);
/** Operations that a new bucket receives when its issuer has started. */
double tou_quota_limits_start (const TouQuotaLimits *limits,
                               const TouQuotaLimit *limit);

G_END_DECLS
