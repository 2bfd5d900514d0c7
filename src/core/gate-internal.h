/**
 * @file gate-internal.h
 * Structures and functions shared by the source files of the gate.
 *
 * gate.c admits requests, gate-group.c manages the groups, gate-choose.c
 * selects a database, gate-dispatch.c sends statements, gate-ack.c determines
 * outcomes and gate-txn.c handles transactions.
 */
#pragma once

#include "drain.h"
#include "failover.h"
#include "front.h"
#include "gate.h"
#include "index.h"
#include "monitor.h"
#include "place.h"
#include "pool.h"
#include "queue.h"
#include "routes.h"
#include "txn.h"

G_BEGIN_DECLS

typedef struct GateGroup GateGroup;

/** One database of a served group. */
typedef struct
{
  GateGroup *group;
  guint index; /**< in the group's configuration */
  TouEndpoint endpoint;
  TouQueue *queue;
  TouPool *pool;
  guint in_flight;          /**< statements sent and not yet answered */
  guint64 rtt_requested_us; /**< request time of the last sample */
  guint64 rtt_us; /**< estimated round trip, without the service time */
} GateDb;

/** A group that this proxy serves. */
struct GateGroup
{
  TouGate *gate;
  TouName name;
  TouGroupConfig config;
  TouDefaults defaults;
  guint n;
  GateDb *dbs[TOU_GROUP_MAX_ENDPOINTS];
  TouRoutes *routes;
  GQueue waiting;    /**< jobs without a suitable database, oldest first */
  GQueue confirming; /**< answered jobs that await commit evidence */
  guint n_jobs;
  guint n_txns;      /**< open transactions and queued or running BEGINs */
  guint round_robin; /**< spreads reads over equally loaded replicas */
  guint64 activated_us;
  guint64 last_used_us;
  guint64 record_term;
  guint64 confirm_us; /**< estimated time from a result to its confirmation */
};

typedef enum
{
  GATE_JOB_NEW,
  GATE_JOB_WAITING,
  GATE_JOB_QUEUED,
  GATE_JOB_RUNNING,
  GATE_JOB_CONFIRMING
} GateJobState;

/** A request at the gate. */
typedef struct
{
  TouQueueItem item;
  GList link; /**< in waiting or confirming */
  TouGate *gate;
  GateGroup *group; /**< NULL until admitted */
  TouName from;     /**< the front that receives the reply */
  TouRequest request;
  GateJobState state;
  guint64 arrived_us;
  guint64 sent_us;      /**< running: when the statement was sent */
  guint64 answered_us;  /**< confirming: when the database answered */
  gboolean cancelled;   /**< the reply is discarded */
  gboolean txn_counted; /**< a BEGIN that is included in the group's n_txns */
  GateDb *db;
  TouConn *conn; /**< while running */
  TouTxn *txn;   /**< for requests inside a transaction */
  TouLogPos pos; /**< confirming: position that must be committed */
  TouReply reply;
} GateJob;

struct TouGate
{
  TouContext *ctx;
  GHashTable *groups;  /**< TouName in the value -> GateGroup */
  GHashTable *jobs;    /**< TouRequestId in the value -> GateJob */
  GHashTable *conns;   /**< connection id in the value -> TouConn */
  GHashTable *leaving; /**< name or address of an endpoint -> expiry time */
  GHashTable *failed_domains;
  guint64 member_version; /**< membership version of failed_domains */
  TouTxnTable *txns;
};

/* gate.c */

/** Returns the group's record; state NONE if there is none. */
const TouGroupRecord *gate_record (const GateGroup *group);

/** Removes the job from its list or queue; its state becomes NEW. */
void gate_job_detach (GateJob *job);

/** Detaches the job, also from its transaction, and frees it. */
void gate_job_free (GateJob *job);

/* gate-group.c */

/** Adds a group that this proxy serves; no connection is open yet. */
GateGroup *gate_group_create (TouGate *gate, const TouGroupConfig *config);

/** Frees a group without jobs and transactions; closes its connections. */
void gate_group_free (GateGroup *group);

/**
 * Applies the group's current configuration, record and reports.
 *
 * @return FALSE if the group was removed from the configuration and freed
 */
gboolean gate_group_refresh (GateGroup *group);

/** TRUE if a reply awaits commit evidence or a read newer reports. */
gboolean gate_needs_poll (const GateGroup *group);

/* gate-choose.c */

/** Returns the endpoint of the active primary, or TOU_ROUTE_NO_PRIMARY. */
int gate_primary (const GateGroup *group);

/** TRUE if a recent report shows that the primary accepts the record's term. */
gboolean gate_primary_is_usable (const GateGroup *group);

/** TRUE for requests that can only run on the primary. */
gboolean gate_job_needs_primary (const GateJob *job);

/**
 * Selects a database for the job.
 *
 * @return the database, or NULL; then @a code is TOU_OK if the job has to wait,
 * otherwise the code with which to refuse it
 */
GateDb *gate_choose (GateJob *job, int *code);

/** Returns the maximum age of the data that the job accepts, in us. */
guint64 gate_job_max_age_us (const GateJob *job);

/** TRUE if the data of @a db satisfies the job's read mode and token. */
gboolean gate_db_qualifies (const GateJob *job, const GateDb *db);

/** Updates the routing table; TRUE if endpoints were withdrawn. */
gboolean gate_update_routes (GateGroup *group);

/* gate-dispatch.c */

/** Queues the job for a database, adds it to the waiting list or refuses it. */
void gate_schedule (GateJob *job);

/**
 * Returns the maximum number of statements in flight: the slots, and the
 * statements in transit on the network while the slots run others.
 */
guint gate_window (const GateDb *db);

/** Updates the round-trip estimate from the last control request. */
void gate_update_rtt (GateDb *db, const TouDbState *state);

/** Sends queued statements while the window and free connections permit. */
void gate_dispatch (GateDb *db);

/** Reschedules the queued jobs of @a db, e.g. after its withdrawal. */
void gate_reschedule_queued (GateDb *db);

/** Reschedules the waiting jobs, by rank. */
void gate_reschedule_waiting (GateGroup *group);

/* gate-ack.c */

/** Sends the job's reply and frees the job. */
void gate_finish (GateJob *job, TouOutcome outcome, int code,
                  const char *detail);

/** Replies that the job was not run, with a retry-after time, and frees it. */
void gate_refuse (GateJob *job, int code, guint64 retry_after_us);

/** Handles a database's answer to a statement. */
void gate_on_result (TouGate *gate, TouConn *conn, TouEvent *event);

/** Abandons the running statement: closes its connection and sends a reply. */
void gate_abandon (GateJob *job, int code, const char *detail);

/**
 * Returns the running jobs of the group; the caller frees the array. Ending one
 * of the jobs never ends another.
 */
GPtrArray *gate_running_jobs (const GateGroup *group);

/** Answers a job whose transaction was rolled back before its statement ran. */
void gate_finish_txn_lost (GateJob *job);

/** Answers a job whose statement was sent but whose effect is unknown. */
void gate_finish_lost (GateJob *job, int code, const char *detail);

/** Abandons writes and transactions of a term below the record's. */
void gate_abandon_old_term (GateGroup *group);

/** Abandons reads that run on endpoints withdrawn as failed. */
void gate_abandon_reads (GateGroup *group);

/** Ends running and confirming jobs whose deadline has passed. */
void gate_ack_on_tick (GateGroup *group);

/** Handles a lost connection: ends its running statement and transaction. */
void gate_on_conn_lost (TouGate *gate, TouConn *conn, gboolean refused);

/** Releases replies whose position is committed. */
void gate_check_confirming (GateGroup *group);

/* gate-txn.c */

/** TRUE for requests that belong to an open transaction. */
gboolean gate_in_transaction (const GateJob *job);

/** Admits a request inside a transaction. */
void gate_txn_admit (GateJob *job);

/** Removes the transaction from the table; its connection is unchanged. */
void gate_txn_remove (TouGate *gate, TouTxn *txn);

/** Updates the transaction and its connection after an answered statement. */
void gate_txn_on_result (GateJob *job, TouConn *conn, TouDbOutcome outcome);

/** Rolls the transaction back by closing its connection. */
void gate_txn_abort (TouGate *gate, TouTxn *txn);

/** Ends idle transactions. */
void gate_txn_on_tick (TouGate *gate);

/** TRUE if the group may begin another transaction. */
gboolean gate_txn_may_begin (const GateGroup *group, const GateDb *db);

G_END_DECLS
