/**
 * @file pool.h
 * Pool of the work connections to one database: cap, warm connections and
 * back-off.
 */
#pragma once

#include "monitor.h"

G_BEGIN_DECLS

typedef struct TouPool TouPool;

typedef enum
{
  TOU_CONN_OPENING,
  TOU_CONN_IDLE,
  TOU_CONN_BUSY /**< runs a statement or belongs to a transaction */
} TouConnState;

/** One work connection; owned by its pool. */
typedef struct
{
  guint64 id;
  TouPool *pool;
  TouConnState state;
  guint64 term; /**< writes on it are refused in any other term */
  guint64 opened_us;
  guint64 sequence; /**< of the running statement; 0: none */
  gpointer job;     /**< the gate's job that uses the connection */
} TouConn;

/** Settings and state that determine the size of the pool. */
typedef struct
{
  guint connection_limit; /**< of the database, for all proxies */
  guint gate_candidates;
  guint slots;
  guint64 term;        /**< of the group's record */
  gboolean is_primary; /**< the database is the primary in the record */
} TouPoolConfig;

/**
 * @param conns table from connection id (guint64 in the value) to TouConn,
 * shared by all pools of the gate
 */
int tou_pool_create (TouPool **out, TouContext *ctx, GHashTable *conns,
                     const TouEndpoint *endpoint, gpointer user_data);

/** Closes all connections, including those in use. */
void tou_pool_destroy (TouPool *pool);

gpointer tou_pool_user_data (const TouPool *pool);

/**
 * Sets the limits and the term. On the primary, idle connections of another
 * term are closed; those in use are closed when they are released.
 */
void tou_pool_configure (TouPool *pool, const TouPoolConfig *config);

/** Updates the cap from the number of work clients the database reports. */
void tou_pool_observe (TouPool *pool, const TouDbState *state);

/** Opens missing connections and closes those that take too long to open. */
void tou_pool_on_tick (TouPool *pool);

/**
 * Marks an idle connection as busy and returns it, or returns NULL. Opens more
 * connections if the cap permits.
 */
TouConn *tou_pool_acquire (TouPool *pool);

/** TRUE if tou_pool_acquire () would return a connection. */
gboolean tou_pool_has_idle (const TouPool *pool);

/** Marks a connection as idle; no abandoned statement may run on it. */
void tou_pool_release (TouPool *pool, TouConn *conn);

/** Closes and frees a connection, e.g. one with an abandoned statement. */
void tou_pool_discard (TouPool *pool, TouConn *conn);

void tou_pool_on_opened (TouPool *pool, TouConn *conn);

/** Frees a connection that was lost, or refused by the connection limit. */
void tou_pool_on_closed (TouPool *pool, TouConn *conn, gboolean refused);

/** Returns how many work connections this proxy may currently have. */
guint tou_pool_cap (const TouPool *pool);

/** Returns the number of work connections, including those being opened. */
guint tou_pool_count (const TouPool *pool);

G_END_DECLS
