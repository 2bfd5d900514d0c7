/**
 * @file monitor-link.h
 * A control connection to a database: opening with back-off, and requests sent
 * one at a time with a timeout.
 */
#pragma once

#include "monitor.h"

G_BEGIN_DECLS

/** Limit of control operations queued behind the running request. */
#define TOU_LINK_MAX_PENDING 4

/** A control operation to send. */
typedef struct
{
  TouDbControlOp op;
  guint64 term;
  TouName attempt;
  TouName primary_endpoint;
  TouName primary_address;
  guint64 start;
} TouControlRequest;

typedef struct
{
  TouEndpoint endpoint;
  TouDbState state;
  guint64 conn; /**< 0: none */
  guint64 opened_us;
  guint64 retry_at_us;
  guint64 backoff_us;
  guint64 sequence; /**< of the running request; 0: none */
  TouDbControlOp op;
  guint64 sent_us;
  guint64 next_report_us;  /**< time of the next periodic report */
  gboolean report_pending; /**< send a REPORT after the running request */
  guint n_pending;
  TouControlRequest pending[TOU_LINK_MAX_PENDING];
} TouMonitorLink;

void tou_link_init (TouMonitorLink *link, TouContext *ctx,
                    const TouEndpoint *endpoint);

/** Closes the connection, if any, and starts the back-off. */
void tou_link_fail (TouMonitorLink *link, TouContext *ctx);

/** Opens a connection if there is none and the back-off has passed. */
gboolean tou_link_try_open (TouMonitorLink *link, TouContext *ctx);

/** Handles the completed opening: requests a first report. */
void tou_link_opened (TouMonitorLink *link, TouContext *ctx);

/** Sends a REPORT now, or once the running and queued requests are answered. */
void tou_link_report (TouMonitorLink *link, TouContext *ctx);

/**
 * Sends or queues a control operation.
 *
 * @return TOU_E_NO_ENDPOINT if not connected, TOU_E_LIMIT if the queue is full
 */
int tou_link_control (TouMonitorLink *link, TouContext *ctx,
                      const TouControlRequest *request);

/** Stores the report that answers the running request; sends the next one. */
void tou_link_answered (TouMonitorLink *link, TouContext *ctx,
                        const TouDbReport *report);

/** TRUE if the opening or the running request exceeded its timeout. */
gboolean tou_link_timed_out (const TouMonitorLink *link, const TouContext *ctx);

/** Closes the connection, if any, without scheduling another attempt. */
void tou_link_close (TouMonitorLink *link, TouContext *ctx);

G_END_DECLS
