/**
 * @file link.h
 * Links: database connections, and the tasks that run on them.
 */
#pragma once

#include "pace.h"
#include "prepared.h"
#include "proxy.h"
#include "window.h"

G_BEGIN_DECLS

/** Reservation of a link for a transaction; embedded in its owner. */
typedef struct TouPin TouPin;
struct TouPin
{
  /** Called when the link is closed while no task runs on it. */
  void (*on_closed) (TouPin *pin);
  /** Ends the transaction, which is idle, because its link is needed. */
  void (*end) (TouPin *pin);
  guint64 idle_since_us; /**< when its last statement ended */
  gboolean relayed;      /**< for another node */
};

typedef enum
{
  TOU_TASK_ANSWERED, /**< the database replied to the statement */
  TOU_TASK_NOT_RUN,  /**< the statement was not sent */
  TOU_TASK_LOST      /**< sent, but no reply was received */
} TouTaskOutcome;

/** Result of a task; valid during the callback. */
typedef struct
{
  TouTaskOutcome outcome;
  gboolean unreachable; /**< a gateway has not run it: it does not reach the
                             database */
  gboolean complete;    /**< ANSWERED: TRUE for success, FALSE for an error */
  TouSqlError error;    /**< also for NOT_RUN */
  const GString *lines; /**< rows and the final message, as received */
  TouSlice row;         /**< text of the last row */
  TouSqlState state;    /**< of the link, after the statement */
  TouLogPos pos;        /**< of the database, after the statement */
} TouTaskResult;

/** A statement to run on a link; embedded in its owner, which fills it in. */
struct TouTask
{
  /** Called once at the end; @a link is NULL if it was closed. */
  void (*done) (TouTask *task, TouLink *link, const TouTaskResult *result);
  TouEndpoint *assigned_endpoint; /**< set by the sender of the task */
  const TouSlice *id;             /**< NULL: internal statement */
  TouSlice text;
  gboolean begin; /**< begin a transaction before the statement */
  gboolean begin_read_only;
  TouLogPos after; /**< position that the database must have; term 0: any */
  const TouSqlValues *values; /**< session values, or NULL */
  const TouPrepared *prepared;
  TouSlice arguments;  /**< of the prepared statement */
  gboolean may_commit; /**< a write outside a transaction, or a commit */
  const TouName *team; /**< whose connections may run it; NULL: those of none */
  TouRank rank;
  guint64 deadline_us;
  guint64 sent_us;  /**< set by the link; 0: not sent */
  gboolean relayed; /**< for another node */
};

/** A gateway that gets no new work for one endpoint. */
typedef struct
{
  TouName node;
  guint64 until_us;
} TouAvoidedGateway;

/** Maximum avoided gateways per endpoint: those of a large group, and as many
    that stand in for them. */
#define TOU_MAX_AVOIDED 12

/** An endpoint and this node's links to it. */
struct TouEndpoint
{
  TouProxy *proxy;
  TouGroup *group;
  TouEndpointInfo info;
  gboolean removed; /**< its registration was removed */
  /** Registered after this node's own start, and has not answered yet. A
      database that is found at the start may be under load already. */
  gboolean is_new;
  guint64 missing_since_us; /**< registration not found; 0: registered */
  guint64 leaving_since_us; /**< draining or missing; 0: neither */
  GPtrArray *links;         /**< of TouLink */
  guint n_busy;             /**< number of links that run a task */
  GQueue relays;         /**< of TouRelay: sessions relayed for other nodes */
  TouQueue *relay_queue; /**< waiting relayed statements; NULL until needed */
  /** Gateway for new links; empty: direct connections. */
  TouName gateway;
  TouName hint; /**< a gateway that reaches it, named by another one */
  struct sockaddr_in gateway_address;
  TouAvoidedGateway avoided[TOU_MAX_AVOIDED];
  guint n_avoided;     /**< total so far; the next one replaces the oldest */
  guint n_gateways;    /**< number of gateways; 0: all nodes connect directly */
  guint n_refused;     /**< gateways that have refused since it answered */
  gboolean is_gateway; /**< this node is one of the gateways */
  /** Since when the direct path has failed; 0: it works or is not used. */
  guint64 direct_failed_us;
  guint64 direct_probe_us;  /**< next attempt to reach it directly */
  guint64 standin_until_us; /**< this node stands in as a gateway; 0: no */
  guint64 hint_until_us;
  guint64 gateway_inputs; /**< hash of what the gateway was selected from */
  TouWindow window;
  TouPace pace;
  gboolean pace_held; /**< the pace held back the statement asked for last */
  guint64 latency_us; /**< moving average of the statement latency */
  guint64 latency_updated_us; /**< when latency_us was last changed */
  guint64 last_received_us;   /**< when data was last received from it */
  guint64 open_after_us;      /**< no new link before this time */
  gboolean lost_log; /**< a primary that restarted or lost part of its log */
  guint64 unreachable_since_us; /**< 0: reachable */
  guint64 gateway_refused_us;   /**< a gateway last said that it does not reach
                                   the database; 0: reached since */
  TouLogPos newest_pos;         /**< newest log position that it has reported */
  TouLogPos lagging_pos;        /**< position that it answered LAGGING for */
  guint64 lagging_until_us;
  guint64 lagging_pause_us;
  TouSqlStatus status; /**< last status report */
  guint64 status_us;   /**< when the answered query was sent; 0: none */
  guint64 status_queried_us;
  TouTask probe; /**< status query or step-down request */
  gboolean probing;
};

TouEndpoint *tou_endpoint_create (TouProxy *proxy, const TouEndpointInfo *info);
/** Closes all links; their tasks end as in tou_link_close(). */
void tou_endpoint_destroy (TouEndpoint *endpoint);
/** Applies a changed registration; a new incarnation closes all links. */
void tou_endpoint_update (TouEndpoint *endpoint, const TouEndpointInfo *info);

/** Closes the links through @a gateway; see tou_link_close(). */
void tou_endpoint_close_gateway_links (TouEndpoint *endpoint,
                                       const TouName *gateway);

/** TRUE if it is unreachable, or a primary that lost part of its log. */
gboolean tou_endpoint_has_failed (const TouEndpoint *endpoint);

/**
 * TRUE if it has failed as seen over direct connections, also while a gateway
 * uses another one. Failures seen through a gateway do not count here, because
 * the gateway reports them itself; nor do those of nodes that stand in.
 */
gboolean tou_endpoint_is_suspect (const TouEndpoint *endpoint);

/** TRUE if it is removed, or will be before a statement ends. */
gboolean tou_endpoint_has_left (const TouEndpoint *endpoint, guint64 now_us);

/** TRUE if it accepts new work. */
gboolean tou_endpoint_is_usable (const TouEndpoint *endpoint);

/** Adds a sample to the average latency; a failure adds a penalty value. */
void tou_endpoint_add_latency (TouEndpoint *endpoint, guint64 elapsed_us,
                               guint64 now_us);

/**
 * TRUE if window and pace admit another statement; urgent ones get more room.
 */
gboolean tou_endpoint_has_room (TouEndpoint *endpoint, gboolean urgent,
                                guint64 now_us);

/** Maximum number of links that this node opens to it. */
guint tou_endpoint_link_limit (const TouEndpoint *endpoint);

/** Number of transactions and writes of this node's clients on its links. */
guint tou_endpoint_writes_in_flight (const TouEndpoint *endpoint);

/**
 * Returns the best idle link for @a task (NULL: any task), or NULL. A direct
 * connection runs tasks of its own team only, because a database identifies the
 * team when the connection is opened.
 */
TouLink *tou_endpoint_idle_link (const TouEndpoint *endpoint,
                                 const TouTask *task);

/**
 * Opens a link for @a team (NULL: none) unless a limit, a pause or links being
 * opened prevent it. At the limit, an idle link of another team is closed.
 */
void tou_endpoint_request_link (TouEndpoint *endpoint, const TouName *team,
                                guint64 now_us);

/** Closes timed-out and idle links and detects an unreachable endpoint. */
void tou_endpoint_tick (TouEndpoint *endpoint, guint64 now_us);

/** Queries the status unless a probe is in flight or no link is idle. */
void tou_endpoint_query_status (TouEndpoint *endpoint, guint64 now_us);
/**
 * Requests it to become a replica if its term is below @a term; sent under the
 * conditions of tou_endpoint_query_status().
 */
void tou_endpoint_step_down (TouEndpoint *endpoint, guint64 term,
                             guint64 now_us);

/** Runs @a task on an idle link or on one reserved for its owner. */
void tou_link_run (TouLink *link, TouTask *task);
TouEndpoint *tou_link_endpoint (const TouLink *link);

/** Reserves the link for a transaction. */
void tou_link_pin (TouLink *link, TouPin *pin);
/** Ends the reservation; an open transaction is rolled back. */
void tou_link_unpin (TouLink *link);
/**
 * Closes the link. A running task ends: as NOT_RUN if it was not sent, as
 * ANSWERED if its statement has succeeded, else as LOST.
 */
void tou_link_close (TouLink *link, const char *reason);

G_END_DECLS
