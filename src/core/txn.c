#include "txn.h"

struct TouTxnTable
{
  GHashTable *by_id; /* TouRequestId in the value -> TouTxn, owned */
};

int
tou_txn_table_create (TouTxnTable **out)
{
  TouTxnTable *table = g_new0 (TouTxnTable, 1);

  table->by_id = g_hash_table_new_full (
      tou_request_id_hash, tou_request_id_equal_func, NULL, g_free);
  *out = table;
  return TOU_OK;
}

void
tou_txn_table_destroy (TouTxnTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->by_id);
  g_free (table);
}

TouTxn *
tou_txn_open (TouTxnTable *table, const TouRequestId *id, gpointer db,
              TouConn *conn, guint64 now_us, guint64 idle_limit_us)
{
  TouTxn *txn = g_new0 (TouTxn, 1);

  txn->id = *id;
  txn->db = db;
  txn->conn = conn;
  txn->last_used_us = now_us;
  txn->idle_limit_us = idle_limit_us;
  g_hash_table_insert (table->by_id, &txn->id, txn);
  return txn;
}

TouTxn *
tou_txn_find (const TouTxnTable *table, const TouRequestId *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

TouTxn *
tou_txn_find_by_conn (const TouTxnTable *table, const TouConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((TouTxn *)value)->conn == conn)
      return value;
  return NULL;
}

void
tou_txn_close (TouTxnTable *table, TouTxn *txn)
{
  g_hash_table_remove (table->by_id, &txn->id);
}

TouTxn *
tou_txn_next_idle (const TouTxnTable *table, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouTxn *txn = value;

      if (txn->job == NULL && now_us >= txn->last_used_us + txn->idle_limit_us)
        return txn;
    }
  return NULL;
}

TouTxn *
tou_txn_find_by_db (const TouTxnTable *table, gconstpointer db)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((TouTxn *)value)->db == db)
      return value;
  return NULL;
}

guint
tou_txn_count (const TouTxnTable *table)
{
  return g_hash_table_size (table->by_id);
}
