/**
 * @file txn.h
 * Open transactions of one gate and the connections pinned to them.
 */
#pragma once

#include "pool.h"

G_BEGIN_DECLS

typedef struct TouTxnTable TouTxnTable;

/** An open transaction; owned by the table. */
typedef struct
{
  TouRequestId id;
  gpointer db;          /**< the gate's database on which it runs */
  TouConn *conn;        /**< pinned to the transaction */
  gpointer job;         /**< the request that is in progress, or NULL */
  gboolean aborted;     /**< a statement failed; only a rollback is permitted */
  guint64 last_used_us; /**< when the last request ended */
  guint64 idle_limit_us; /**< maximum time without a request */
} TouTxn;

int tou_txn_table_create (TouTxnTable **out);

/** Frees the table; the connections remain owned by their pools. */
void tou_txn_table_destroy (TouTxnTable *table);

/** Adds an open transaction. */
TouTxn *tou_txn_open (TouTxnTable *table, const TouRequestId *id, gpointer db,
                      TouConn *conn, guint64 now_us, guint64 idle_limit_us);

/** Returns the transaction or NULL. */
TouTxn *tou_txn_find (const TouTxnTable *table, const TouRequestId *id);

/** Returns the transaction that @a conn is pinned to, or NULL. */
TouTxn *tou_txn_find_by_conn (const TouTxnTable *table, const TouConn *conn);

/** Removes and frees the transaction. */
void tou_txn_close (TouTxnTable *table, TouTxn *txn);

/** Returns a transaction that exceeded its idle limit, or NULL. */
TouTxn *tou_txn_next_idle (const TouTxnTable *table, guint64 now_us);

/** Returns a transaction on @a db, or NULL. */
TouTxn *tou_txn_find_by_db (const TouTxnTable *table, gconstpointer db);

/** Number of open transactions. */
guint tou_txn_count (const TouTxnTable *table);

G_END_DECLS
