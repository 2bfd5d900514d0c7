/**
 * @file harness.h
 * Runs the cores of several proxies in virtual time against fakes of the
 * databases, the store and the clients.
 *
 * Entities (proxies, databases, store) are numbered, and the network between
 * any two of them can be cut. Runs with equal options and calls are identical.
 */
#pragma once

#include "toucanscale/core.h"

#include "random.h"

G_BEGIN_DECLS

#define HARNESS_DBS_PER_GROUP 3
#define HARNESS_REGIONS 3
/** Result codes are below this value. */
#define HARNESS_MAX_CODE 1000

/** Sizes and network latencies of one customer's installation. */
typedef struct
{
  const char *name;
  const char *regions[HARNESS_REGIONS];
  guint n_groups;
  guint slots;
  guint connection_limit;
  guint64 domain_latency_us; /**< one way, between failure domains */
  guint64 region_latency_us; /**< one way, between regions */
  guint64 client_latency_us; /**< one way */
  guint64 connect_us;        /**< time to open a database connection */
} Deployment;

extern const Deployment deployment_tuul;
extern const Deployment deployment_nha_vung;

typedef struct
{
  const Deployment *deployment;
  guint n_proxies;
  guint64 seed;
  guint64 lag_us;         /**< replication delay of replicas */
  guint64 service_us;     /**< mean time a statement holds a slot */
  guint n_txn_clients;    /**< clients with interactive transactions */
  gboolean retry_unknown; /**< clients retry keyed writes of unknown outcome */
  gboolean exit_when_drained; /**< a drained proxy is stopped */
} HarnessOptions;

typedef struct Harness Harness;
typedef void (*HarnessFunc) (Harness *harness, gpointer data);

/** One running proxy. */
typedef struct
{
  guint index;
  TouName name;
  guint region;
  guint64 incarnation;
  guint64 generation; /**< changes with each start and stop; events for
                           an earlier one are dropped */
  TouCore *core;      /**< NULL while down */
  gboolean ready;
  gboolean paused;
  gboolean drained;
  guint64 drain_start_us; /**< when the drain was requested */
  guint64 next_tick_us;
  GQueue deferred; /**< events that arrive while paused */
} Proxy;

/** Counts of the outcomes of one rank. */
typedef struct
{
  guint offered;
  guint done;
  guint not_run;
  guint unknown;
  guint on_time; /**< done within the deadline */
  GArray *latency_us;
  guint codes[HARNESS_MAX_CODE]; /**< replies other than done, by code */
} RankStats;

typedef enum
{
  STORE_UP,
  STORE_DOWN,
  STORE_STALL,
  STORE_LOSE_REPLIES
} StoreMode;

typedef struct FakeDatabase FakeDatabase;
typedef struct FakeStore FakeStore;
typedef struct Workload Workload;
typedef struct TxnClients TxnClients;

struct Harness
{
  HarnessOptions options;
  guint64 now_us;
  gboolean closing; /**< pending calls only free their data */
  guint64 next_sequence;
  GPtrArray *heap; /**< pending calls, binary heap by time */
  TouRandom random;
  Proxy *proxies;
  FakeDatabase **databases;
  guint n_databases;
  FakeStore *store;
  Workload *workload;
  TxnClients *txn_clients; /**< NULL if there are none */
  HarnessFunc on_entries;  /**< called after each ENTRIES message, or NULL */
  gpointer on_entries_data;
  gboolean only_drains;  /**< drains are the only faults; no request may fail */
  gboolean only_leaving; /**< leaving endpoints are the only faults, so that
                            proxies receive the VM list in time */
  guint64 *no_dispatch_after_us; /**< per database: a later statement that
                                   starts work is a violation; 0: none */
  guint n_entities;
  gboolean *cut;         /**< matrix of n_entities by n_entities */
  GPtrArray *violations; /**< descriptions */
  GString *log;          /**< trace of log actions, or NULL */
  TouStr text;           /**< last reply to a dump or metrics request */
  int config_code;       /**< last reply to a configuration change */
  guint64 config_revision;
};

Harness *harness_create (const HarnessOptions *options);
void harness_destroy (Harness *harness);

/** Advances virtual time to @a until_us. */
void harness_run (Harness *harness, guint64 until_us);

/** Calls @a func at @a at_us. */
void harness_schedule (Harness *harness, guint64 at_us, HarnessFunc func,
                       gpointer data);

/** Delivers an event to a proxy at the current time. */
void harness_step (Harness *harness, Proxy *proxy, TouEvent *event);

/** Delivers an event after @a delay_us; dropped if the proxy stopped since. */
void harness_post (Harness *harness, Proxy *proxy, guint64 delay_us,
                   const TouEvent *event);

void harness_violation (Harness *harness, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

guint harness_db_entity (const Harness *harness, guint db);
guint harness_store_entity (const Harness *harness);
gboolean harness_is_cut (const Harness *harness, guint a, guint b);
void harness_cut (Harness *harness, guint a, guint b, gboolean cut);

/** Cuts or heals the network between an entity and all others. */
void harness_isolate (Harness *harness, guint entity, gboolean cut);
guint64 harness_latency_us (const Harness *harness, guint a, guint b);

void harness_kill_proxy (Harness *harness, guint proxy);
void harness_start_proxy (Harness *harness, guint proxy);
void harness_pause_proxy (Harness *harness, guint proxy, gboolean paused);
void harness_drain_proxy (Harness *harness, guint proxy);

/**
 * Marks a database as leaving in the VM list; statements that start work on it
 * are a violation after a grace period.
 */
void harness_mark_database_leaving (Harness *harness, guint db);

/** Returns a random ready proxy or NULL. */
Proxy *harness_pick_proxy (Harness *harness, TouRandom *random);

/** Returns the revision of a configuration entry on a proxy, or 0. */
guint64 harness_entry_revision (Harness *harness, guint proxy, const char *key);

/** Returns the sum of an exported counter over all running proxies. */
guint64 harness_counter (Harness *harness, const char *name);

/** Returns the feed revision of a proxy; 0 while it is down. */
guint64 harness_feed_revision (Harness *harness, guint proxy);

/** Sends an operator's change to a proxy; sets config_code on the reply. */
void harness_change_config (Harness *harness, guint proxy, const char *key,
                            const char *value, guint64 expected_revision);

guint harness_db (guint group, guint member);
TouName harness_group_name (guint group);
TouName harness_endpoint_name (guint db);

/* fake-database.c */
FakeDatabase *fake_database_create (Harness *harness, guint index);
void fake_database_destroy (FakeDatabase *db);
void fake_database_open (FakeDatabase *db, Proxy *proxy, guint64 conn,
                         gboolean control, guint64 term);
void fake_database_action (Harness *harness, Proxy *proxy, TouAction *action);
void fake_database_on_proxy_exit (Harness *harness, const Proxy *proxy);
void fake_database_kill (FakeDatabase *db);
void fake_database_start (FakeDatabase *db);
void fake_database_pause (FakeDatabase *db, gboolean paused);
void fake_database_set_lag (FakeDatabase *db, guint64 lag_us);
void fake_database_on_network_healed (FakeDatabase *db);
/** Returns the member that is primary with the highest term, or -1. */
int fake_group_primary (const Harness *harness, guint group);
/** First position of the write in the database's log, or 0. */
guint64 fake_database_find_write (const FakeDatabase *db, guint64 write_id);
/** TRUE if the proxy has an open transaction in a database. */
gboolean fake_database_has_txn (const Harness *harness, const Proxy *proxy);
/** Number of times that the write occurs in the database's log. */
guint fake_database_count_write (const FakeDatabase *db, guint64 write_id);
guint fake_database_max_connections (const FakeDatabase *db);
guint64 fake_database_busy_us (const FakeDatabase *db);
guint64 fake_database_last_dispatch_us (const FakeDatabase *db);

/* fake-store.c */
FakeStore *fake_store_create (Harness *harness);
void fake_store_destroy (FakeStore *store);
void fake_store_call (FakeStore *store, Proxy *proxy, const TouStoreCall *call);
void fake_store_on_proxy_exit (FakeStore *store, const Proxy *proxy);
void fake_store_set_mode (FakeStore *store, StoreMode mode);
/** Writes a key directly, without a call of a proxy. */
void fake_store_seed (FakeStore *store, const char *key, const char *value);
guint64 fake_store_calls (const FakeStore *store);
/** Marks a VM or endpoint as leaving in the VM list. */
void fake_store_mark_leaving (FakeStore *store, const TouName *name);
void fake_store_vm_list (FakeStore *store, Proxy *proxy);

/* workload.c */
Workload *workload_create (Harness *harness);
void workload_destroy (Workload *workload);

/** Sets the arrival rate of a rank, requests per second over all groups. */
void workload_set_rate (Workload *workload, TouRank rank, guint per_s);
void workload_on_reply (Workload *workload, guint64 call_id, TouReply *reply);
/** Returns TRUE if a request was in progress at the proxy. */
gboolean workload_on_proxy_exit (Workload *workload, const Proxy *proxy);

/** Resets all counts and write gaps. */
void workload_reset_stats (Workload *workload);
const RankStats *workload_stats (const Workload *workload, TouRank rank);

/* workload-txn.c */
TxnClients *txn_clients_create (Harness *harness, guint n);
void txn_clients_destroy (TxnClients *clients);
void txn_clients_set_active (TxnClients *clients, gboolean active);
/** Returns FALSE if @a number is not the id of a transaction's request. */
gboolean txn_clients_on_reply (TxnClients *clients, guint64 number,
                               const TouReply *reply);
/** Returns TRUE if a request was in progress at the proxy. */
gboolean txn_clients_on_proxy_exit (TxnClients *clients, const Proxy *proxy);
/** Checks that transactions are atomic and their reported outcomes correct. */
void txn_clients_check_final (TxnClients *clients);

/* workload.c */
/** Longest time without an acknowledged write of a group since the reset. */
guint64 workload_write_gap_us (const Workload *workload, guint group);

/** Checks all reported outcomes against the logs of the current primaries. */
void workload_check_final (Workload *workload);

G_END_DECLS
