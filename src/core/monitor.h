/**
 * @file monitor.h
 * Control connections to the databases of the groups whose gate or observer
 * this proxy is.
 */
#pragma once

#include "config.h"
#include "index.h"

G_BEGIN_DECLS

/** Last known state of one database. */
typedef struct
{
  gboolean connected;       /**< a control connection is open */
  gboolean reported;        /**< a report was received at least once */
  TouDbReport report;       /**< the last report */
  guint64 requested_us;     /**< when the last report was requested */
  guint64 received_us;      /**< when the last report was received */
  guint64 first_attempt_us; /**< when monitoring started */
} TouDbState;

int tou_monitor_create (TouMonitor **out, TouContext *ctx);
void tou_monitor_destroy (TouMonitor *monitor);

void tou_monitor_on_tick (TouMonitor *monitor);

/** Handles a connection event; FALSE if another module owns the connection. */
gboolean tou_monitor_on_event (TouMonitor *monitor, const TouEvent *event);

/** Handles a change of the configuration or the membership. */
void tou_monitor_on_change (TouMonitor *monitor);

/** Returns the state of the endpoint with this index; NULL if not monitored. */
const TouDbState *tou_monitor_db (const TouMonitor *monitor,
                                  const TouName *group, guint endpoint);

/** Returns the read and commit index of @a group; NULL if not monitored. */
TouIndex *tou_monitor_index (TouMonitor *monitor, const TouName *group);

/**
 * Requests a round of reports now, for fresh reads and for writes. Starts
 * monitoring the group if necessary.
 */
void tou_monitor_poll (TouMonitor *monitor, const TouName *group);

/**
 * Sends FENCE, PROMOTE or FOLLOW to one database; the answer arrives in
 * tou_failover_on_report ().
 *
 * @param primary endpoint index of the primary to follow, for FOLLOW
 * @param start start position of @a term, for FOLLOW
 * @return TOU_E_NO_ENDPOINT if no control connection is open
 */
int tou_monitor_control (TouMonitor *monitor, const TouGroupConfig *group,
                         guint endpoint, TouDbControlOp op, guint64 term,
                         const TouName *attempt, guint primary, guint64 start);

G_END_DECLS
