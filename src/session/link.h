/**
 * @file link.h
 * Connections to databases, and the tasks that run on them.
 */
#pragma once

#include "prepared.h"
#include "proxy.h"
#include "window.h"

G_BEGIN_DECLS

/** Reservation of a link; embedded in its owner. */
typedef struct TouPin TouPin;
struct TouPin
{
  /** The link was closed while no task ran on it. */
  void (*lost) (TouPin *pin);
  gboolean relayed; /**< for another node */
};

typedef enum
{
  TOU_TASK_ANSWERED, /**< the database answered the statement */
  TOU_TASK_NOT_RUN,  /**< the statement was not sent */
  TOU_TASK_LOST      /**< sent, but not answered */
} TouTaskOutcome;

/** Result of a task; valid during the callback. */
typedef struct
{
  TouTaskOutcome outcome;
  gboolean complete;    /**< ANSWERED: success, else error */
  TouSqlError error;    /**< also for NOT_RUN */
  const GString *lines; /**< rows and the final message, as received */
  TouSlice row;         /**< text of the last row */
  TouSqlState state;    /**< of the link afterwards */
  TouLogPos pos;        /**< of the database afterwards */
} TouTaskResult;

/** What a link is to do; embedded in its owner, which fills the first part. */
struct TouTask
{
  /** @a link is NULL if it is closed. */
  void (*done) (TouTask *task, TouLink *link, const TouTaskResult *result);
  TouEndpoint *owner; /**< endpoint that it was given to */
  const TouSlice *id; /**< NULL: a statement of the proxy's own */
  TouSlice text;
  gboolean begin; /**< begin a transaction first */
  gboolean begin_read_only;
  TouLogPos after;            /**< term 0: no condition */
  const TouSqlValues *values; /**< session values, or NULL */
  const TouPrepared *prepared;
  TouSlice arguments;  /**< of the prepared statement */
  gboolean may_commit; /**< a write outside a transaction, or a commit */
  TouRank rank;
  guint64 deadline_us;
  guint64 sent_us;  /**< set by the link; 0: the statement is not sent */
  gboolean relayed; /**< for another node */
};

/** A gateway that failed for one database. */
typedef struct
{
  TouName node;
  guint64 until_us;
} TouAvoidedGateway;

/** Gateways that an endpoint remembers as failed: those of a large group. */
#define TOU_MAX_AVOIDED 4

/** A database. */
struct TouEndpoint
{
  TouProxy *proxy;
  TouGroup *group;
  TouEndpointInfo info;
  gboolean gone;            /**< withdrawn from the registry */
  guint64 missing_since_us; /**< 0: registered */
  guint64 leaving_since_us; /**< draining or missing; 0: neither */
  GPtrArray *links;         /**< of TouLink */
  guint n_busy;             /**< links with a task */
  GQueue relays;            /**< of TouRelay, sessions of other nodes */
  TouQueue *relay_queue;    /**< their waiting statements; NULL: never any */
  /** Holder of connections that new links go through; empty: none. */
  TouName gateway;
  struct sockaddr_in gateway_address;
  TouAvoidedGateway avoided[TOU_MAX_AVOIDED];
  guint n_avoided; /**< so far; the next one takes the oldest's place */
  guint n_holders; /**< nodes that hold connections; 0: all */
  TouWindow window;
  guint64 latency_us;    /**< moving average of a statement's answer */
  guint64 measured_us;   /**< when it was measured or lowered */
  guint64 heard_us;      /**< last bytes received */
  guint64 open_after_us; /**< no new link before */
  gboolean lost_log;     /**< started anew with less than it had */
  guint64 silent_us;     /**< since when it does not answer; 0: it does */
  TouLogPos known;       /**< newest position that it has shown */
  TouLogPos lacked;      /**< position that it lacked lately */
  guint64 lacked_until_us;
  guint64 lacked_pause_us;
  TouSqlStatus status; /**< last one reported */
  guint64 status_us;   /**< when it was asked for; 0: never */
  guint64 status_asked_us;
  TouTask probe; /**< status, pause or step down */
  gboolean probing;
};

TouEndpoint *tou_endpoint_create (TouProxy *proxy, const TouEndpointInfo *info);
/** Closes all links; tasks end as lost. */
void tou_endpoint_destroy (TouEndpoint *endpoint);
/** Adopts new information; another life of the id closes all links. */
void tou_endpoint_update (TouEndpoint *endpoint, const TouEndpointInfo *info);

/** Closes the links through @a gateway; tasks end as lost. */
void tou_endpoint_close_via (TouEndpoint *endpoint, const TouName *gateway);

/** TRUE if it does not answer, or has lost the log that it led with. */
gboolean tou_endpoint_has_failed (const TouEndpoint *endpoint);

/**
 * TRUE if this node's own connections show that it has failed. What a gateway
 * says of a database counts once, where the gateway reports it.
 */
gboolean tou_endpoint_is_suspect (const TouEndpoint *endpoint);

/** TRUE if it is gone, or will leave before a statement ends. */
gboolean tou_endpoint_has_left (const TouEndpoint *endpoint, guint64 now_us);

/** TRUE if new work may be sent to it. */
gboolean tou_endpoint_is_usable (const TouEndpoint *endpoint);

/** A statement took @a taken_us, or counts as if it had. */
void tou_endpoint_measure (TouEndpoint *endpoint, guint64 taken_us,
                           guint64 now_us);

/** TRUE if another statement may be sent; urgent ones get extra room. */
gboolean tou_endpoint_has_room (const TouEndpoint *endpoint, gboolean urgent,
                                guint64 now_us);

/** Most links that this node opens to it. */
guint tou_endpoint_link_limit (const TouEndpoint *endpoint);

/** Transactions and writes under way on its links. */
guint tou_endpoint_writes_in_flight (const TouEndpoint *endpoint);

/** Returns the idle link that fits @a task best (NULL: any), or NULL. */
TouLink *tou_endpoint_idle_link (const TouEndpoint *endpoint,
                                 const TouTask *task);

/** Opens another link unless a limit, a pause or an opening link forbids it. */
void tou_endpoint_want_link (TouEndpoint *endpoint, guint64 now_us);

/** Closes silent and idle links and notices an endpoint that went silent. */
void tou_endpoint_tick (TouEndpoint *endpoint, guint64 now_us);

/** Asks for the status unless a question is under way. */
void tou_endpoint_ask_status (TouEndpoint *endpoint, guint64 now_us);
/** Tells it to step down to a replica of @a term's primary. */
void tou_endpoint_step_down (TouEndpoint *endpoint, guint64 term,
                             guint64 now_us);

/** Runs @a task on an idle or pinned link. */
void tou_link_run (TouLink *link, TouTask *task);
TouEndpoint *tou_link_endpoint (const TouLink *link);

/** Reserves the link for a transaction. */
void tou_link_pin (TouLink *link, TouPin *pin);
/** Ends the reservation; an open transaction is rolled back. */
void tou_link_unpin (TouLink *link);
/** Closes the link; a running task ends as lost or not run. */
void tou_link_close (TouLink *link, const char *reason);

G_END_DECLS
