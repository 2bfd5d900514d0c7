#include "pool.h"

/* Back-off after a failed or refused connection: first and longest delay. */
#define TOU_POOL_MIN_BACKOFF_US (50 * TOU_US_PER_MS)
#define TOU_POOL_MAX_BACKOFF_US (2000 * TOU_US_PER_MS)
/* Timeout for opening a connection, as a multiple of the back-off: 200 ms at
   first. Opening takes about 10 ms plus the network latency, but hangs during a
   network partition. A slow database gets more time with each attempt. */
#define TOU_POOL_OPEN_BACKOFFS 4
/* A connection lost sooner is treated as a failed attempt to open one. */
#define TOU_POOL_MIN_LIFETIME_US (1000 * TOU_US_PER_MS)
/* Number of warm connections in addition to one per slot. */
#define TOU_POOL_WARM_EXTRA 1
/* Control connections of this proxy to the database, which count towards the
   connection limit. */
#define TOU_POOL_CONTROL_CONNECTIONS 1

struct TouPool
{
  TouContext *ctx;
  GHashTable *by_id;
  TouEndpoint endpoint;
  gpointer user_data;
  TouPoolConfig config;
  GPtrArray *conns;
  guint opening;
  guint busy;
  guint64 first_opened_us; /* 0: no connection is open */
  gboolean sole_client;    /* no other proxy has work connections */
  guint64 retry_at_us;
  guint64 backoff_us;
};

int
tou_pool_create (TouPool **out, TouContext *ctx, GHashTable *conns,
                 const TouEndpoint *endpoint, gpointer user_data)
{
  TouPool *pool = g_new0 (TouPool, 1);

  pool->ctx = ctx;
  pool->by_id = conns;
  pool->endpoint = *endpoint;
  pool->user_data = user_data;
  pool->conns = g_ptr_array_new ();
  pool->backoff_us = TOU_POOL_MIN_BACKOFF_US;
  *out = pool;
  return TOU_OK;
}

gpointer
tou_pool_user_data (const TouPool *pool)
{
  return pool->user_data;
}

guint
tou_pool_count (const TouPool *pool)
{
  return pool->conns->len;
}

/* Removes the connection from the pool and frees it. */
static void
pool_remove (TouPool *pool, TouConn *conn)
{
  if (conn->state == TOU_CONN_OPENING)
    pool->opening--;
  if (conn->state == TOU_CONN_BUSY)
    pool->busy--;
  g_hash_table_remove (pool->by_id, &conn->id);
  g_ptr_array_remove_fast (pool->conns, conn);
  if (pool->conns->len == pool->opening)
    {
      pool->first_opened_us = 0;
      pool->sole_client = FALSE;
    }
  g_free (conn);
}

static void
pool_close (TouPool *pool, TouConn *conn)
{
  TouAction *action
      = tou_action_list_add (pool->ctx->actions, TOU_ACTION_DB_CLOSE);

  action->u.db_close.conn = conn->id;
  pool_remove (pool, conn);
}

void
tou_pool_destroy (TouPool *pool)
{
  if (pool == NULL)
    return;
  while (pool->conns->len > 0)
    pool_close (pool, g_ptr_array_index (pool->conns, 0));
  g_ptr_array_free (pool->conns, TRUE);
  g_free (pool);
}

guint
tou_pool_cap (const TouPool *pool)
{
  guint candidates = MAX (pool->config.gate_candidates, 1);
  guint limit = pool->config.connection_limit;
  guint share = limit / candidates;
  guint cap = pool->sole_client ? limit - (candidates - 1) * share : share;

  return cap - MIN (cap, TOU_POOL_CONTROL_CONNECTIONS);
}

static void
pool_open (TouPool *pool)
{
  TouConn *conn = g_new0 (TouConn, 1);
  TouAction *action;

  conn->id = tou_context_next_id (pool->ctx);
  conn->pool = pool;
  conn->state = TOU_CONN_OPENING;
  conn->term = pool->config.term;
  conn->opened_us = pool->ctx->now_us;
  g_hash_table_insert (pool->by_id, &conn->id, conn);
  g_ptr_array_add (pool->conns, conn);
  pool->opening++;
  TOU_COUNT (pool->ctx, CONNECTIONS_OPENED);
  action = tou_action_list_add (pool->ctx->actions, TOU_ACTION_DB_OPEN);
  action->u.db_open.conn = conn->id;
  action->u.db_open.endpoint = pool->endpoint.name;
  action->u.db_open.address = pool->endpoint.address;
  action->u.db_open.term = conn->term;
}

/* Keeps one connection per slot and one more, or one more than are busy if
   transactions occupy more connections than there are slots. The first
   connection is opened alone, so that the next report shows whether another
   proxy has connections. */
static void
pool_open_missing (TouPool *pool)
{
  guint warm = pool->config.slots + TOU_POOL_WARM_EXTRA;
  guint target
      = MIN (MAX (warm, pool->busy + TOU_POOL_WARM_EXTRA), tou_pool_cap (pool));

  if (pool->ctx->now_us < pool->retry_at_us)
    return;
  if (pool->first_opened_us == 0)
    target = MIN (target, 1);
  while (pool->conns->len < target)
    pool_open (pool);
}

void
tou_pool_discard (TouPool *pool, TouConn *conn)
{
  pool_close (pool, conn);
  pool_open_missing (pool);
}

/* Connections lost during the back-off are part of the same failure and do not
 * extend it. */
static void
pool_back_off (TouPool *pool)
{
  if (pool->ctx->now_us < pool->retry_at_us)
    return;
  pool->retry_at_us
      = pool->ctx->now_us + pool->backoff_us
        + tou_random_below (&pool->ctx->random, pool->backoff_us / 2);
  pool->backoff_us = MIN (pool->backoff_us * 2, TOU_POOL_MAX_BACKOFF_US);
}

/* Only the primary in the group's record checks the term, so reads on replicas
   continue on connections that carry the previous term. */
static gboolean
pool_is_outdated (const TouPool *pool, const TouConn *conn)
{
  return pool->config.is_primary && conn->term != pool->config.term;
}

/* Closes unused connections that are outdated or over the cap. */
static void
pool_trim (TouPool *pool)
{
  for (guint i = pool->conns->len; i > 0; i--)
    {
      TouConn *conn = g_ptr_array_index (pool->conns, i - 1);

      if (conn->state == TOU_CONN_BUSY)
        continue;
      if (pool_is_outdated (pool, conn)
          || pool->conns->len > tou_pool_cap (pool))
        pool_close (pool, conn);
    }
}

void
tou_pool_configure (TouPool *pool, const TouPoolConfig *config)
{
  pool->config = *config;
  pool_trim (pool);
  pool_open_missing (pool);
}

void
tou_pool_observe (TouPool *pool, const TouDbState *state)
{
  if (pool->first_opened_us == 0 || !state->reported
      || state->requested_us < pool->first_opened_us)
    return;
  pool->sole_client = state->report.work_clients <= 1;
  pool_trim (pool);
}

void
tou_pool_on_tick (TouPool *pool)
{
  for (guint i = pool->conns->len; i > 0; i--)
    {
      TouConn *conn = g_ptr_array_index (pool->conns, i - 1);

      if (conn->state == TOU_CONN_OPENING
          && pool->ctx->now_us
                 >= conn->opened_us + TOU_POOL_OPEN_BACKOFFS * pool->backoff_us)
        {
          pool_back_off (pool);
          pool_close (pool, conn);
        }
    }
  pool_open_missing (pool);
}

static TouConn *
pool_find_idle (const TouPool *pool)
{
  for (guint i = 0; i < pool->conns->len; i++)
    {
      TouConn *conn = g_ptr_array_index (pool->conns, i);

      if (conn->state == TOU_CONN_IDLE)
        return conn;
    }
  return NULL;
}

gboolean
tou_pool_has_idle (const TouPool *pool)
{
  return pool_find_idle (pool) != NULL;
}

TouConn *
tou_pool_acquire (TouPool *pool)
{
  TouConn *conn = pool_find_idle (pool);

  if (conn != NULL)
    {
      conn->state = TOU_CONN_BUSY;
      pool->busy++;
    }
  pool_open_missing (pool);
  return conn;
}

void
tou_pool_release (TouPool *pool, TouConn *conn)
{
  conn->state = TOU_CONN_IDLE;
  conn->sequence = 0;
  conn->job = NULL;
  pool->busy--;
  pool_trim (pool);
}

void
tou_pool_on_opened (TouPool *pool, TouConn *conn)
{
  if (conn->state != TOU_CONN_OPENING)
    return;
  conn->state = TOU_CONN_IDLE;
  pool->opening--;
  pool->backoff_us = TOU_POOL_MIN_BACKOFF_US;
  if (pool->first_opened_us == 0)
    pool->first_opened_us = pool->ctx->now_us;
  pool_trim (pool);
  pool_open_missing (pool);
}

void
tou_pool_on_closed (TouPool *pool, TouConn *conn, gboolean refused)
{
  if (refused)
    TOU_COUNT (pool->ctx, CONNECTIONS_REFUSED);
  if (conn->state == TOU_CONN_OPENING
      || pool->ctx->now_us < conn->opened_us + TOU_POOL_MIN_LIFETIME_US)
    pool_back_off (pool);
  pool_remove (pool, conn);
  pool_open_missing (pool);
}
