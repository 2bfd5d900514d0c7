/**
 * @file client.h
 * Client sessions.
 */
#pragma once

#include "credit.h"
#include "intake.h"
#include "link.h"

G_BEGIN_DECLS

/** One statement of a client, from its receipt to its answer. */
typedef struct
{
  TouQueueItem item;
  TouTask task;
  guint64 arrived_us;
  guint64 deadline_us;
  guint attempts;
  gboolean needs_primary;
  gboolean writes;  /**< may change data */
  gboolean commit;  /**< ends the transaction */
  TouLogPos after;  /**< position that a replica must have reached */
  GPtrArray *tried; /**< endpoints that have failed to run it, borrowed */
} TouClientRequest;

struct TouClient
{
  TouProxy *proxy;
  GList list_node; /**< in the proxy's list */
  uv_tcp_t tcp;
  TouIntake intake;
  gboolean closing;         /**< the connection is being freed */
  gboolean close_requested; /**< closes when its statement ends */
  gboolean parsing;
  gboolean started;             /**< the first message was accepted */
  guint64 config_wait_since_us; /**< of the first message; 0: none */
  TouName database;
  char *key;               /**< API key, or NULL */
  TouName team;            /**< of the running operation; may be empty */
  guint64 checked_version; /**< configuration that the key was checked with */
  TouSqlValues values;
  GHashTable *prepared; /**< statement name to TouPrepared; NULL: none */
  TouSqlState state;
  gboolean read_only; /**< of the open transaction */
  gboolean wrote;     /**< the open transaction has sent a write */
  gboolean txn_lost;  /**< its link was closed while no statement ran */
  TouLink *link;      /**< pinned by the open transaction */
  TouPin pin;
  TouRoute route; /**< of the running statement or transaction */
  TouName last_commit_group;
  gboolean last_commit_unknown; /**< the last commit returned no position */
  TouLogPos last_commit_pos;
  gboolean busy; /**< a statement is queued or running */
  TouSlice id;   /**< of the statement; points into the intake's text */
  TouClientRequest request;
  TouCreditWait credit_wait; /**< of the running operation */
  gboolean has_credit;       /**< for an operation that was not sent yet */
};

/** Accepts a client connection from @a server. */
void tou_client_accept (TouProxy *proxy, uv_stream_t *server);

/** Runs the client's queued statement on an idle link of @a endpoint. */
void tou_client_start_request (TouClient *client, TouEndpoint *endpoint);

/** Refuses the client's statement, which has not run. */
void tou_client_refuse_request (TouClient *client, TouSqlError code,
                                const char *reason);

/**
 * Refuses the queued statements of @a group that require the primary and are
 * not to wait for it; see tou_group_refuses().
 */
void tou_client_refuse_waiting (TouGroup *group, guint64 now_us);

/** Puts a read, or a statement that was not run, back into its queue. */
void tou_client_requeue_request (TouClient *client);

void tou_client_close (TouClient *client);

/**
 * Ends transactions that have been idle for too long, and idle sessions while
 * the node drains or is isolated.
 */
void tou_client_tick (TouClient *client, guint64 now_us);

/** Client of a queue item. */
TouClient *tou_client_of_item (TouQueueItem *item);

G_END_DECLS
