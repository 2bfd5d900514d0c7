#include "monitor-link.h"

/* Minimum and maximum back-off after a failed connection. The maximum delays
   the repair of a recovered database, but no failover. */
#define TOU_LINK_MIN_BACKOFF_US (50 * TOU_US_PER_MS)
#define TOU_LINK_MAX_BACKOFF_US (1000 * TOU_US_PER_MS)
/* Timeout of opening a connection, as a multiple of the back-off; 200 ms at
   first. Opening takes about 10 ms plus the network latency, but hangs in a
   partition; a slow database gets more time with each attempt. */
#define TOU_LINK_OPEN_BACKOFFS 4

void
tou_link_init (TouMonitorLink *link, TouContext *ctx,
               const TouEndpoint *endpoint)
{
  *link = (TouMonitorLink){ .endpoint = *endpoint,
                            .backoff_us = TOU_LINK_MIN_BACKOFF_US,
                            .retry_at_us = ctx->now_us };
  link->state.first_attempt_us = ctx->now_us;
}

void
tou_link_close (TouMonitorLink *link, TouContext *ctx)
{
  if (link->conn != 0)
    {
      TouAction *action
          = tou_action_list_add (ctx->actions, TOU_ACTION_DB_CLOSE);

      action->u.db_close.conn = link->conn;
    }
  link->conn = 0;
  link->sequence = 0;
  link->n_pending = 0;
  link->report_pending = FALSE;
  link->state.connected = FALSE;
}

void
tou_link_fail (TouMonitorLink *link, TouContext *ctx)
{
  tou_link_close (link, ctx);
  /* Jitter prevents all observers of a database from reconnecting at once. */
  link->retry_at_us = ctx->now_us + link->backoff_us
                      + tou_random_below (&ctx->random, link->backoff_us / 4);
  link->backoff_us = MIN (link->backoff_us * 2, TOU_LINK_MAX_BACKOFF_US);
}

gboolean
tou_link_try_open (TouMonitorLink *link, TouContext *ctx)
{
  TouAction *action;

  if (link->conn != 0 || ctx->now_us < link->retry_at_us)
    return FALSE;
  link->conn = tou_context_next_id (ctx);
  link->opened_us = ctx->now_us;
  action = tou_action_list_add (ctx->actions, TOU_ACTION_DB_OPEN);
  action->u.db_open.conn = link->conn;
  action->u.db_open.endpoint = link->endpoint.name;
  action->u.db_open.address = link->endpoint.address;
  action->u.db_open.control = TRUE;
  return TRUE;
}

static void
link_send (TouMonitorLink *link, TouContext *ctx,
           const TouControlRequest *request)
{
  TouAction *action = tou_action_list_add (ctx->actions, TOU_ACTION_DB_CONTROL);

  link->sequence = tou_context_next_id (ctx);
  link->op = request->op;
  link->sent_us = ctx->now_us;
  link->next_report_us = ctx->now_us + ctx->settings.report_interval_us;
  action->u.db_control.conn = link->conn;
  action->u.db_control.sequence = link->sequence;
  action->u.db_control.op = request->op;
  action->u.db_control.term = request->term;
  if (request->attempt.len > 0)
    tou_str_init (&action->u.db_control.attempt, request->attempt.data,
                  request->attempt.len);
  action->u.db_control.primary_endpoint = request->primary_endpoint;
  action->u.db_control.primary_address = request->primary_address;
  action->u.db_control.start = request->start;
}

void
tou_link_report (TouMonitorLink *link, TouContext *ctx)
{
  const TouControlRequest request = { .op = TOU_DB_REPORT };

  if (!link->state.connected)
    return;
  if (link->sequence != 0)
    link->report_pending = TRUE;
  else
    link_send (link, ctx, &request);
}

void
tou_link_opened (TouMonitorLink *link, TouContext *ctx)
{
  link->state.connected = TRUE;
  tou_link_report (link, ctx);
}

int
tou_link_control (TouMonitorLink *link, TouContext *ctx,
                  const TouControlRequest *request)
{
  if (!link->state.connected)
    return tou_status_set (TOU_E_NO_ENDPOINT,
                           "no control connection to endpoint %s",
                           link->endpoint.name.data);
  if (link->sequence == 0)
    link_send (link, ctx, request);
  else if (link->n_pending < TOU_LINK_MAX_PENDING)
    link->pending[link->n_pending++] = *request;
  else
    return tou_status_set (TOU_E_LIMIT,
                           "endpoint %s has %d waiting control operations",
                           link->endpoint.name.data, TOU_LINK_MAX_PENDING);
  return TOU_OK;
}

void
tou_link_answered (TouMonitorLink *link, TouContext *ctx,
                   const TouDbReport *report)
{
  link->sequence = 0;
  link->backoff_us = TOU_LINK_MIN_BACKOFF_US;
  link->state.reported = TRUE;
  link->state.report = *report;
  link->state.requested_us = link->sent_us;
  link->state.received_us = ctx->now_us;
  if (link->n_pending > 0)
    {
      TouControlRequest next = link->pending[0];

      link->n_pending--;
      for (guint i = 0; i < link->n_pending; i++)
        link->pending[i] = link->pending[i + 1];
      link_send (link, ctx, &next);
    }
  else if (link->report_pending)
    {
      link->report_pending = FALSE;
      tou_link_report (link, ctx);
    }
}

gboolean
tou_link_timed_out (const TouMonitorLink *link, const TouContext *ctx)
{
  if (link->conn == 0)
    return FALSE;
  if (!link->state.connected)
    return ctx->now_us
           >= link->opened_us + TOU_LINK_OPEN_BACKOFFS * link->backoff_us;
  return link->sequence != 0
         && ctx->now_us >= link->sent_us + ctx->settings.suspect_after_us;
}
