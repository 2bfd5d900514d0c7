/**
 * @file client.h
 * Sessions of callers.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/** One statement of a caller, from its arrival to its answer. */
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
  TouLogPos after;  /**< position that a replica must hold */
  GPtrArray *tried; /**< endpoints that could not serve it, borrowed */
} TouClientRequest;

struct TouClient
{
  TouProxy *proxy;
  GList node; /**< in the proxy's list */
  uv_tcp_t tcp;
  GString *in;
  gboolean closing; /**< the connection is being freed */
  gboolean gone;    /**< the caller left; the client ends with its statement */
  gboolean parsing;
  gboolean started;   /**< the first message was accepted */
  guint64 waiting_us; /**< since when it waits for a configuration; 0: not */
  TouName database;
  TouSqlValues values;
  GHashTable *prepared; /**< caller's name to TouPrepared */
  TouSqlState state;
  gboolean read_only; /**< of the open transaction */
  gboolean wrote;     /**< the open transaction has sent a write */
  gboolean txn_lost;  /**< its link ended while no statement ran */
  TouLink *link;      /**< pinned by the open transaction */
  TouPin pin;
  TouRoute route;        /**< of the running statement or transaction */
  TouName seen_group;    /**< group of the position */
  gboolean seen_unknown; /**< it has committed at a position that got lost */
  TouLogPos seen;        /**< last commit of the session */
  guint64 idle_since_us;
  gboolean busy; /**< a statement is queued or running */
  TouSlice id;   /**< of the statement; in text */
  GString *text; /**< id and text of the statement */
  TouClientRequest request;
};

/** Takes over an accepted connection. */
void tou_client_accept (TouProxy *proxy, uv_stream_t *server);

/** Runs the client's queued statement on an idle link of @a endpoint. */
void tou_client_start (TouClient *client, TouEndpoint *endpoint);

/** Refuses the client's statement, which has not run. */
void tou_client_refuse (TouClient *client, TouSqlError code,
                        const char *reason);

/** Queues a statement again that was not run, or a read. */
void tou_client_requeue (TouClient *client);

void tou_client_close (TouClient *client);

/** Ends idle transactions, and idle sessions while draining. */
void tou_client_tick (TouClient *client, guint64 now_us);

/** Client of a queue item. */
TouClient *tou_client_of_item (TouQueueItem *item);

G_END_DECLS
