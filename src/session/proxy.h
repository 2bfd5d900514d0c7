/**
 * @file proxy.h
 * State of the session proxy, shared by its modules.
 *
 * All modules run on one event loop: on a VM with a quarter of a core, passing
 * a statement between threads costs more than handling it.
 */
#pragma once

#include "authority.h"
#include "budget.h"
#include "clock.h"
#include "evlog.h"
#include "freshness.h"
#include "panel.h"
#include "queue.h"
#include "sql.h"

#include "settings.h"

#include <uv.h>

G_BEGIN_DECLS

/** Text of refusals by a node that is being stopped. */
#define TOU_PROXY_STOPPING_REASON "this node is stopping; retry at another one"

/** Maximum length of the text of a refusal, with its final zero byte. */
#define TOU_REFUSAL_TEXT_MAX 80

typedef struct TouProxy TouProxy;
typedef struct TouGroup TouGroup;
typedef struct TouEndpoint TouEndpoint;
typedef struct TouLink TouLink;
typedef struct TouClient TouClient;
typedef struct TouTask TouTask;
typedef struct TouCredit TouCredit;

/** The structure of @a type that contains the @a member at @a pointer. */
#define TOU_CONTAINER_OF(pointer, type, member)                                \
  ((type *)((char *)(pointer)-G_STRUCT_OFFSET (type, member)))

/** Counters: X (NAME, exported name, help). */
#define TOU_SESSION_COUNTERS(X)                                                \
  X (SESSIONS, "sessions_total", "caller sessions accepted")                   \
  X (STATEMENTS, "statements_total", "statements taken from callers")          \
  X (SERVED, "served_total", "statements answered with a database's proof")    \
  X (REFUSED, "refused_total", "statements refused, not run")                  \
  X (EVICTED, "evicted_total", "queued statements refused for other teams")    \
  X (IDLE_ENDED, "idle_txns_ended_total",                                      \
     "idle transactions ended for others")                                     \
  X (REFUSED_LATER, "refused_later_total",                                     \
     "refused until a primary is usable")                                      \
  X (REFUSED_ELSEWHERE, "refused_elsewhere_total", "sent to another node")     \
  X (IN_DOUBT, "in_doubt_total", "statements whose outcome is unknown")        \
  X (RETRIED, "retried_total", "statements moved to another database")         \
  X (REPLICA, "replica_total", "statements run on a replica")                  \
  X (PRIMARY, "primary_total", "statements run on a primary")                  \
  X (LAGGING, "lagging_total", "replicas that lacked the needed position")     \
  X (LINKS, "links_opened_total", "database connections opened")               \
  X (LINKS_EVICTED, "links_evicted_total", "connections closed for a team")    \
  X (UNAUTHORIZED, "unauthorized_total", "operations without a valid key")     \
  X (LINKS_REFUSED, "links_refused_total", "database connections refused")     \
  X (RESETS, "link_resets_total", "links whose session values were cleared")   \
  X (SETS, "link_sets_total", "session values set on links")                   \
  X (PREPARES, "link_prepares_total", "statements prepared on links")          \
  X (GATEWAY_LINKS, "gateway_links_total", "connections to gateways opened")   \
  X (RELAYED, "relayed_total", "statements run for other nodes")               \
  X (RELAY_REFUSED, "relay_refused_total", "statements of nodes not run")      \
  X (RELAY_SESSIONS, "relay_sessions_total", "sessions of other nodes")        \
  X (GATEWAYS_AVOIDED, "gateways_avoided_total", "gateways that failed")       \
  X (PACES, "paces_total", "times that the pace of a database began")          \
  X (PACE_HELD, "pace_held_total", "statements held back by a pace")           \
  X (GATEWAY_UNREACHABLE, "gateways_unreachable_total",                        \
     "refusals of gateways that do not reach the database")                    \
  X (DIRECT_FAILED, "direct_failed_total", "direct paths of gateways lost")    \
  X (STAND_INS, "stand_ins_total", "times this node stood in as a gateway")    \
  X (BEGINS, "link_begins_total", "transactions begun on links")               \
  X (MALFORMED, "malformed_total", "messages that could not be read")          \
  X (CONFIGS_REFUSED, "configs_refused_total", "configurations not adopted")   \
  X (CONFIG_IGNORED, "config_ignored_total",                                   \
     "parts of configurations not used as written")                            \
  X (STORE_CALLS, "store_calls_total", "calls of the platform's store")        \
  X (PROOF_READS, "proof_reads_total", "reads of the records for a proof")     \
  X (STORE_FAILED, "store_failed_total", "store calls refused or lost")        \
  X (PEER_SENT, "peer_sent_total", "messages sent to other nodes")             \
  X (PEER_BYTES, "peer_bytes_total", "bytes sent to other nodes")              \
  X (PEER_MESSAGES, "peer_messages_total", "messages from other nodes")        \
  X (PEER_UNKNOWN, "peer_unknown_total", "heartbeats of unlisted nodes")       \
  X (HANDOVERS, "handovers_total", "changes of primary run by this node")      \
  X (QUOTA_GRANTED, "quota_granted_total", "operations given credit")          \
  X (QUOTA_REFUSED, "quota_refused_total", "operations without credit")        \
  X (QUOTA_REQUESTS, "quota_requests_total", "requests sent to issuers")       \
  X (QUOTA_ANSWERED, "quota_answered_total", "requests answered as issuer")    \
  X (READS_STOPPED, "reads_stopped_total", "pauses in reading a session")      \
  X (SESSIONS_EVICTED, "sessions_evicted_total", "closed to save memory")      \
  X (SESSIONS_UNREAD, "sessions_unread_total", "closed: answers not read")     \
  X (CONNECTIONS_REFUSED, "connections_refused_total", "too many connections") \
  X (STATE_REFUSED, "state_refused_total", "values and PREPAREs over limits")

typedef enum
{
#define TOU_SESSION_COUNTER_ENUM(name, exported, help) TOU_COUNT_##name,
  TOU_SESSION_COUNTERS (TOU_SESSION_COUNTER_ENUM)
#undef TOU_SESSION_COUNTER_ENUM
      TOU_COUNT_N
} TouSessionCounter;

/** Number of buckets of the latency histogram; bucket i ends at 2^i ms. */
#define TOU_LATENCY_BUCKETS 14

/** State of the socket for clients. */
typedef enum
{
  TOU_LISTENER_NONE, /**< not started */
  TOU_LISTENER_OPEN,
  TOU_LISTENER_CLOSING,
  TOU_LISTENER_CLOSED /**< until the node is no longer isolated */
} TouListenerState;

struct TouProxy
{
  uv_loop_t *loop;
  TouNodeSettings settings;
  TouBudget *budget;     /**< bytes held for sessions and links */
  guint64 incarnation;   /**< wall-clock ms of the start */
  TouCredit *credit;     /**< of teams with a quota; NULL: not checked */
  TouRouting *routing;   /**< NULL until the first configuration is received */
  GHashTable *groups;    /**< TouName to TouGroup */
  GHashTable *endpoints; /**< TouName (id) to TouEndpoint */
  GQueue clients;        /**< of TouClient */
  GQueue new_relays;     /**< of TouRelay: not yet assigned to an endpoint */
  guint n_relays;        /**< connections of other nodes */
  uv_tcp_t listener;
  TouListenerState listener_state;
  uv_tcp_t relay_listener;    /**< for sessions of other nodes */
  gboolean placement_due;     /**< select the gateways again */
  guint64 placed_us;          /**< when the gateways were last selected */
  guint placed_nodes;         /**< number of nodes at that time */
  guint64 link_hold_limit_us; /**< maximum of link_hold_until_us */
  guint64 link_hold_until_us; /**< first start: no new links before */
  TouName leader;             /**< empty: there is none */
  guint n_nodes;              /**< registered nodes, this one included */
  TouPanel panel;             /**< nodes that prove records */
  guint64 panel_adopted_us;   /**< when the panel was adopted */
  guint64 store_revision;     /**< last one of the store that was applied */
  guint64 records_revision;   /**< the group records are as of this or later */
  guint64 urgent_revision;    /**< of the last change that all nodes need */
  guint64 store_followed_us;  /**< when a list or watch last succeeded */
  guint64 isolated_since_us;  /**< since when no primary is valid; 0: one is */
  guint64 store_answered_us;  /**< last response of the store */
  guint64 node_heard_us;      /**< last message of another node; 0: none */
  gboolean synced;            /**< the store has been read since the start */
  gboolean draining;          /**< the stop signal has been received */
  gboolean deregistered;      /**< its registration is being removed */
  guint64 drain_us;           /**< when it was received */
  guint64 end_txns_us;        /**< draining: idle transactions are ended then,
                                   and no operation begins any more */
  guint64 totals_logged_us;   /**< last log line with the counters */
  gboolean record_changed; /**< send heartbeats with the new record at once */
  guint64 counters[TOU_COUNT_N];
  guint64 latency[TOU_RANK_COUNT][TOU_LATENCY_BUCKETS];
};

#define TOU_COUNT(proxy, name) ((proxy)->counters[TOU_COUNT_##name]++)

/** A database group and its queues on this node. */
struct TouGroup
{
  TouProxy *proxy;
  TouName name;
  TouGroupLimits limits;
  TouAuthority *authority;
  TouFreshness *freshness;
  GPtrArray *endpoints; /**< of TouEndpoint, borrowed */
  TouQueue *writes;     /**< statements that require the primary */
  TouQueue *reads;      /**< statements that a replica may run */
  guint64 target_us;    /**< target latency of a statement in a database */
  gboolean dispatching;
  guint64 load_logged_us;      /**< last log line with its load */
  TouName old_primary;         /**< previous primary, during a change */
  guint64 adopted_us;          /**< when the record was adopted */
  guint64 finish_until_us;     /**< limit for transactions on old_primary */
  guint64 moving_since_us;     /**< start of the last change of primary */
  guint64 no_primary_since_us; /**< since when none is usable; 0: one is */
};

/** Minimum share of the slots for each rank, in percent. */
extern const guint tou_rank_floors[TOU_RANK_COUNT];

/** Finds or creates a group. */
TouGroup *tou_group_get (TouProxy *proxy, const TouName *name);

/** Adapts the queues to the slots of the group's endpoints. */
void tou_group_configure (TouGroup *group);

/** Number of other nodes whose answers prove a record; 0: they cannot. */
guint tou_proxy_required_proofs (const TouProxy *proxy);

/** TRUE if the group's record is proved and its primary not being replaced. */
gboolean tou_proxy_has_proof (const TouProxy *proxy, const TouGroup *group,
                              guint64 now_us);

/** Returns the group's primary if this node may use it, else NULL. */
TouEndpoint *tou_group_primary (TouGroup *group, guint64 now_us);

/**
 * TRUE if a statement that requires the primary is refused now; FALSE if a
 * primary is usable or the statement waits for one. See refusal.h.
 *
 * @param arrived_us when this node received the statement
 * @param reason set to the text of the refusal
 */
gboolean tou_group_refuses (TouGroup *group, guint64 arrived_us,
                            guint64 deadline_us, guint64 now_us,
                            char reason[TOU_REFUSAL_TEXT_MAX]);

/** Returns the primary named by the group's record, or NULL. */
TouEndpoint *tou_group_recorded_primary (TouGroup *group);

/**
 * Adds @a pos to the freshness samples if @a endpoint, which returned it to a
 * statement sent at @a sent_us, was the primary at that time.
 */
void tou_group_sample (TouGroup *group, const TouEndpoint *endpoint,
                       guint64 sent_us, TouLogPos pos);

/**
 * TRUE if writes on @a endpoint may be sent and acknowledged: it is the
 * primary, or the old primary whose open transactions may still end.
 */
gboolean tou_group_may_write (TouGroup *group, const TouEndpoint *endpoint,
                              guint64 now_us);

/** TRUE if this node no longer uses the primary that is being replaced. */
gboolean tou_group_is_quiesced (TouGroup *group, guint64 now_us);

/** Adopts a record from the store or another node if it is newer. */
void tou_group_adopt (TouGroup *group, const TouGroupRecord *record,
                      const char *source);

int tou_proxy_create (TouProxy **out, uv_loop_t *loop,
                      const TouNodeSettings *settings);
void tou_proxy_destroy (TouProxy *proxy);
/** Maximum number of sessions, from the limit on file descriptors. */
guint tou_proxy_session_limit (const TouProxy *proxy);

/**
 * Makes room for a connection that was just accepted: closes the oldest one
 * without a session, unless it is recent. @return FALSE if there is no room
 */
gboolean tou_proxy_admit_connection (TouProxy *proxy, guint64 now_us);
/** Starts to accept client connections. */
int tou_proxy_listen (TouProxy *proxy);
/** Stops accepting connections if the node accepts them. */
void tou_proxy_close_listener (TouProxy *proxy);
/** Periodic work; call it every TOU_PROXY_TICK_US. */
void tou_proxy_tick (TouProxy *proxy, guint64 now_us);
/** Replaces the configuration if @a routing is newer; takes ownership. */
void tou_proxy_set_routing (TouProxy *proxy, TouRouting *routing);
/** TRUE if this node has been isolated for longer than a lost proof. */
gboolean tou_proxy_is_isolated (const TouProxy *proxy, guint64 now_us);
/** TRUE if idle sessions should be closed: draining or isolated. */
gboolean tou_proxy_should_close_sessions (const TouProxy *proxy,
                                          guint64 now_us);
/** TRUE if the node can serve new client connections. */
gboolean tou_proxy_is_ready (TouProxy *proxy);
/** Begins a graceful shutdown. */
void tou_proxy_drain (TouProxy *proxy, guint64 now_us);
/**
 * Refuses the statements that wait for a database, near the end of a graceful
 * shutdown: none might be answered in time any more.
 */
void tou_proxy_refuse_waiting (TouProxy *proxy);
/** TRUE if it has sessions, or statements of other nodes in progress. */
gboolean tou_proxy_has_work (const TouProxy *proxy);
/** Counters and histograms in the text format of /metrics. */
char *tou_proxy_metrics (TouProxy *proxy);
/** State of groups, endpoints and sessions as JSON; free with free(). */
char *tou_proxy_dump (TouProxy *proxy);

/** Interval of the periodic work. */
#define TOU_PROXY_TICK_US (25 * TOU_US_PER_MS)

G_END_DECLS
