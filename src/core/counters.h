/**
 * @file counters.h
 * Counters of one core, exported in the Prometheus text exposition format.
 */
#pragma once

#include "toucanscale/str.h"

G_BEGIN_DECLS

/** Defines all counters: X (NAME, exported name, help). */
#define TOU_COUNTER_TABLE(X)                                                   \
  X (REQUESTS, "requests_total", "caller requests accepted by the front")      \
  X (DONE, "requests_done_total", "requests answered as done")                 \
  X (NOT_RUN, "requests_not_run_total", "requests answered as not run")        \
  X (UNKNOWN, "requests_unknown_total", "requests answered as unknown")        \
  X (RETRIES, "retries_total", "attempts after the first")                     \
  X (RETRIES_REFUSED, "retries_refused_total", "retries over the budget")      \
  X (READS_SESSION_REPLICA, "reads_session_replica_total",                     \
     "session reads run on a replica")                                         \
  X (READS_SESSION_PRIMARY, "reads_session_primary_total",                     \
     "session reads run on the primary")                                       \
  X (READS_AGE_REPLICA, "reads_max_age_replica_total",                         \
     "reads of a stated age run on a replica")                                 \
  X (READS_AGE_PRIMARY, "reads_max_age_primary_total",                         \
     "reads of a stated age run on the primary")                               \
  X (READS_FRESH_REPLICA, "reads_fresh_replica_total",                         \
     "fresh reads run on a replica")                                           \
  X (READS_FRESH_PRIMARY, "reads_fresh_primary_total",                         \
     "fresh reads run on the primary")                                         \
  X (WRITES, "writes_total", "writes dispatched to a primary")                 \
  X (KEY_REPLAYS, "key_replays_total", "stored outcomes returned for a key")   \
  X (QUEUE_FULL, "queue_full_total", "requests refused by a full queue")       \
  X (DEADLINE_REFUSED, "deadline_refused_total",                               \
     "requests refused early because of their deadline")                       \
  X (LATE_REPLIES, "late_replies_total", "replies discarded without a match")  \
  X (CONNECTIONS_OPENED, "db_connections_opened_total",                        \
     "database connections opened")                                            \
  X (CONNECTIONS_REFUSED, "db_connections_refused_total",                      \
     "database connections refused by the connection limit")                   \
  X (WITHDRAWALS, "withdrawals_total", "batches withdrawn from routing")       \
  X (CLAIMS, "failover_claims_total", "failover claims won")                   \
  X (PROMOTIONS, "failover_promotions_total", "promotions published")          \
  X (STORE_CALLS, "store_calls_total", "calls to the key-value store")         \
  X (STORE_READBACKS, "store_readbacks_total",                                 \
     "lost store replies resolved by reading back")                            \
  X (MESSAGES_SENT, "peer_messages_sent_total", "messages sent to proxies")    \
  X (MESSAGES_RECEIVED, "peer_messages_received_total",                        \
     "messages received from proxies")                                         \
  X (ENTRIES_APPLIED, "feed_entries_applied_total", "feed entries applied")    \
  X (ENTRIES_STALE, "feed_entries_stale_total",                                \
     "feed entries ignored because a newer revision is known")

typedef enum
{
#define TOU_COUNTER_ENUM(name, text, help) TOU_COUNTER_##name,
  TOU_COUNTER_TABLE (TOU_COUNTER_ENUM)
#undef TOU_COUNTER_ENUM
      TOU_COUNTER_COUNT
} TouCounter;

typedef struct
{
  guint64 values[TOU_COUNTER_COUNT];
} TouCounters;

/** Formats all counters, with the prefix "toucanscale_", into @a out. */
void tou_counters_format (TouStr *out, const TouCounters *counters);

/** Adds one to counter @a name of context @a ctx. */
#define TOU_COUNT(ctx, name) ((ctx)->counters.values[TOU_COUNTER_##name]++)

G_END_DECLS
