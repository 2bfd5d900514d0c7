#include "routes.h"

#include <string.h>

/* Number of good reports before a withdrawn endpoint receives reads again. */
#define TOU_REENTRY_CHECKS 3
/* Share of reads at the start of re-entry, in percent. */
#define TOU_REENTRY_FIRST_PERCENT 10
/* Time in which the share grows from the first value to 100%. */
#define TOU_REENTRY_US (5 * TOU_US_PER_S)

typedef struct
{
  gboolean was_routed;        /* was available before: re-entry applies */
  gboolean awaiting_reports;  /* withdrawn until enough good reports */
  guint good_reports;         /* since the withdrawal */
  guint64 last_report_us;     /* last report that was evaluated */
  guint64 reentry_started_us; /* 0: full share */
} RouteEntry;

struct TouRoutes
{
  TouRouteTable table;
  RouteEntry entries[TOU_GROUP_MAX_ENDPOINTS];
};

int
tou_routes_create (TouRoutes **out, guint n)
{
  TouRoutes *routes;

  if (n == 0 || n > TOU_GROUP_MAX_ENDPOINTS)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "routes of %u endpoints, permitted are 1 to %d", n,
                           TOU_GROUP_MAX_ENDPOINTS);
  routes = g_new0 (TouRoutes, 1);
  routes->table.n = n;
  routes->table.primary = TOU_ROUTE_NO_PRIMARY;
  for (guint i = 0; i < n; i++)
    routes->table.causes[i] = TOU_CAUSE_FAILED;
  routes->table.reads_on_primary = TRUE;
  *out = routes;
  return TOU_OK;
}

void
tou_routes_destroy (TouRoutes *routes)
{
  g_free (routes);
}

const TouRouteTable *
tou_routes_table (const TouRoutes *routes)
{
  return &routes->table;
}

static gboolean
routes_all_withdrawn (const TouRouteTable *table)
{
  for (guint i = 0; i < table->n; i++)
    if (table->causes[i] == 0)
      return FALSE;
  return TRUE;
}

/* Ignores the least harmful causes until an endpoint has none left. */
static void
routes_ignore_causes (TouRouteTable *table)
{
  static const guint order[]
      = { TOU_CAUSE_LAG, TOU_CAUSE_LEAVING, TOU_CAUSE_FAILED };

  for (guint k = 0; k < G_N_ELEMENTS (order); k++)
    {
      if (!routes_all_withdrawn (table))
        return;
      for (guint i = 0; i < table->n; i++)
        table->causes[i] &= ~order[k];
    }
}

static gboolean
routes_no_replica (const TouRouteTable *table)
{
  for (guint i = 0; i < table->n; i++)
    if ((int)i != table->primary && table->causes[i] == 0)
      return FALSE;
  return TRUE;
}

/* Counts good reports and starts re-entry after TOU_REENTRY_CHECKS of them. */
static void
routes_track_reentry (RouteEntry *entry, guint causes, guint64 received_us,
                      guint64 now_us)
{
  if (causes != 0)
    {
      entry->awaiting_reports = entry->was_routed;
      entry->good_reports = 0;
      entry->reentry_started_us = 0;
      entry->last_report_us = received_us;
      return;
    }
  entry->was_routed = TRUE;
  if (!entry->awaiting_reports || received_us == entry->last_report_us)
    return;
  entry->last_report_us = received_us;
  if (++entry->good_reports < TOU_REENTRY_CHECKS)
    return;
  entry->awaiting_reports = FALSE;
  entry->reentry_started_us = now_us;
}

gboolean
tou_routes_update (TouRoutes *routes, int primary, const TouRouteInput *inputs,
                   guint64 now_us)
{
  TouRouteTable next = routes->table;
  gboolean withdrawn = FALSE;

  next.primary = primary;
  for (guint i = 0; i < next.n; i++)
    next.causes[i] = inputs[i].causes;
  routes_ignore_causes (&next);
  next.reads_on_primary = routes_no_replica (&next);
  for (guint i = 0; i < next.n; i++)
    {
      if ((next.causes[i] & ~routes->table.causes[i]) != 0)
        withdrawn = TRUE;
      routes_track_reentry (&routes->entries[i], next.causes[i],
                            inputs[i].received_us, now_us);
    }
  if (next.primary == routes->table.primary
      && memcmp (next.causes, routes->table.causes, sizeof next.causes) == 0)
    return FALSE;
  next.version++;
  routes->table = next;
  return withdrawn;
}

guint
tou_routes_share (const TouRoutes *routes, guint endpoint, guint64 now_us)
{
  const RouteEntry *entry = &routes->entries[endpoint];
  guint64 elapsed_us;

  if (routes->table.causes[endpoint] != 0 || entry->awaiting_reports)
    return 0;
  if (entry->reentry_started_us == 0)
    return 100;
  elapsed_us = now_us - MIN (now_us, entry->reentry_started_us);
  if (elapsed_us >= TOU_REENTRY_US)
    return 100;
  return TOU_REENTRY_FIRST_PERCENT
         + (guint)(elapsed_us * (100 - TOU_REENTRY_FIRST_PERCENT)
                   / TOU_REENTRY_US);
}
