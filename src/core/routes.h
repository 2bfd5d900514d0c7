/**
 * @file routes.h
 * Routing table of one group, with batch withdrawal and gradual re-entry.
 */
#pragma once

#include "config.h"

G_BEGIN_DECLS

typedef struct TouRoutes TouRoutes;

/** Causes of a withdrawal, as bits; the least harmful to ignore first. */
typedef enum
{
  TOU_CAUSE_LAG = 1 << 0,
  TOU_CAUSE_LEAVING = 1 << 1,
  TOU_CAUSE_FAILED = 1 << 2,
  TOU_CAUSE_REPLACED = 1 << 3 /**< replaced primary; never ignored */
} TouCause;

/** Value of TouRouteTable.primary if the primary is not known. */
#define TOU_ROUTE_NO_PRIMARY (-1)

/** State of one endpoint when the table is evaluated. */
typedef struct
{
  guint causes;        /**< TouCause bits */
  guint64 received_us; /**< when its last report was received; 0: never */
} TouRouteInput;

/** One version of the table; immutable until the next update. */
typedef struct
{
  guint64 version;
  guint n;
  int primary;                           /**< index, or TOU_ROUTE_NO_PRIMARY */
  guint causes[TOU_GROUP_MAX_ENDPOINTS]; /**< causes that are not ignored */
  gboolean reads_on_primary;             /**< no replica is available */
} TouRouteTable;

int tou_routes_create (TouRoutes **out, guint n);
void tou_routes_destroy (TouRoutes *routes);

/**
 * Evaluates all endpoints together, so that all changes result in one new
 * version.
 *
 * @return TRUE if a new version withdraws an endpoint for a new cause
 */
gboolean tou_routes_update (TouRoutes *routes, int primary,
                            const TouRouteInput *inputs, guint64 now_us);

const TouRouteTable *tou_routes_table (const TouRoutes *routes);

/**
 * Returns the share of reads that @a endpoint may receive, in percent: 0 while
 * it is withdrawn or has too few good reports, 10 to 100 during re-entry.
 */
guint tou_routes_share (const TouRoutes *routes, guint endpoint,
                        guint64 now_us);

G_END_DECLS
