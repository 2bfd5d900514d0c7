#include "database-private.h"

/* Lanes of the service's ring: the stop marker, then all actions. */
#define LANE_STOP 0
#define LANE_ACTIONS 1
#define LANES 2

/* Interval of retries to deliver events to a full ring, in milliseconds. */
#define OUTBOX_RETRY_MS 1

/* Maximum number of actions handled between two polls of the sockets. */
#define ACTIONS_PER_ITERATION 256

static gboolean
outbox_try_deliver (TouDatabase *database, TouEvent *event)
{
  return database->sink.func (database->sink.user_data, event) == TOU_OK;
}

void
tou_db_emit (TouDatabase *database, TouEvent *event)
{
  if (!g_queue_is_empty (&database->outbox)
      || !outbox_try_deliver (database, event))
    g_queue_push_tail (&database->outbox, g_memdup2 (event, sizeof (TouEvent)));
}

static void
outbox_retry (TouDatabase *database)
{
  TouEvent *event = g_queue_peek_head (&database->outbox);

  while (event != NULL && outbox_try_deliver (database, event))
    {
      g_free (g_queue_pop_head (&database->outbox));
      event = g_queue_peek_head (&database->outbox);
    }
}

static void
outbox_free_event (gpointer event)
{
  tou_event_clear (event);
  g_free (event);
}

static void
database_handle_action (TouDatabase *database, TouAction *action)
{
  TouDbConn *conn;

  switch (action->type)
    {
    case TOU_ACTION_DB_OPEN:
      tou_db_conn_open (database, action);
      break;
    case TOU_ACTION_DB_EXECUTE:
    case TOU_ACTION_DB_CONTROL:
      tou_db_conn_submit (database, action);
      break;
    case TOU_ACTION_DB_CLOSE:
      conn = g_hash_table_lookup (database->conns, &action->u.db_close.conn);
      if (conn != NULL)
        tou_db_conn_close (conn, "closed by the proxy");
      break;
    default:
      break;
    }
  tou_action_clear (action);
}

/* Handles queued actions; returns FALSE at the stop marker. */
static gboolean
database_process_actions (TouDatabase *database)
{
  TouAction action;

  for (guint i = 0; i < ACTIONS_PER_ITERATION; i++)
    {
      if (!tou_ring_pop (database->ring, &action))
        return TRUE;
      if (action.type == TOU_ACTION_COUNT)
        return FALSE;
      database_handle_action (database, &action);
    }
  return TRUE;
}

static void
database_close_timed_out (TouDatabase *database)
{
  guint64 now = (guint64)g_get_monotonic_time ();
  TouDbConn *conn = g_queue_peek_head (&database->connecting);

  while (conn != NULL && conn->deadline_us <= now)
    {
      tou_db_conn_close (conn, "connection attempt timed out");
      conn = g_queue_peek_head (&database->connecting);
    }
}

/* Returns the poll timeout in milliseconds; -1 for none. */
static int
database_poll_timeout (const TouDatabase *database)
{
  const TouDbConn *conn = g_queue_peek_head ((GQueue *)&database->connecting);
  guint64 now = (guint64)g_get_monotonic_time ();

  if (!g_queue_is_empty ((GQueue *)&database->outbox))
    return OUTBOX_RETRY_MS;
  if (conn == NULL)
    return -1;
  return conn->deadline_us <= now
             ? 0
             : (int)((conn->deadline_us - now) / TOU_US_PER_MS) + 1;
}

/* Handles ready sockets, in descending order because closing a connection moves
   the last slot to its index. */
static void
database_handle_sockets (TouDatabase *database, int ready)
{
  for (guint i = database->fds->len - 1; i > 0 && ready > 0; i--)
    {
      short revents = g_array_index (database->fds, struct pollfd, i).revents;

      if (revents == 0)
        continue;
      ready--;
      tou_db_conn_on_ready (g_ptr_array_index (database->by_slot, i), revents);
    }
}

static gpointer
database_thread (gpointer data)
{
  TouDatabase *database = data;
  gboolean running = TRUE;

  while (running)
    {
      int ready = poll ((struct pollfd *)(void *)database->fds->data,
                        database->fds->len, database_poll_timeout (database));

      outbox_retry (database);
      if (ready > 0)
        database_handle_sockets (database, ready);
      database_close_timed_out (database);
      running = database_process_actions (database);
    }
  return NULL;
}

int
tou_database_create (TouDatabase **out, const TouDatabaseSettings *settings,
                     TouEventSink sink)
{
  TouDatabase *database = g_new0 (TouDatabase, 1);
  struct pollfd fd = { .events = POLLIN };
  int status = tou_ring_create (&database->ring, LANES, settings->ring_capacity,
                                sizeof (TouAction));

  if (status != TOU_OK)
    {
      g_free (database);
      return status;
    }
  database->settings = *settings;
  if (database->settings.result_max == 0)
    database->settings.result_max = TOU_DATABASE_RESULT_MAX_BYTES;
  database->sink = sink;
  database->conns = g_hash_table_new (g_int64_hash, g_int64_equal);
  database->fds = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  database->by_slot = g_ptr_array_new ();
  fd.fd = tou_ring_fd (database->ring);
  g_array_append_val (database->fds, fd);
  g_ptr_array_add (database->by_slot, NULL);
  database->thread = g_thread_new ("database", database_thread, database);
  *out = database;
  return TOU_OK;
}

int
tou_database_submit (gpointer service, TouAction *action)
{
  TouDatabase *database = service;

  return tou_ring_push (database->ring, LANE_ACTIONS, action);
}

void
tou_database_destroy (TouDatabase *database)
{
  TouAction action = { .type = TOU_ACTION_COUNT };
  GList *conns;

  if (database == NULL)
    return;
  tou_ring_push (database->ring, LANE_STOP, &action);
  g_thread_join (database->thread);
  conns = g_hash_table_get_values (database->conns);
  for (GList *item = conns; item != NULL; item = item->next)
    tou_db_conn_close (item->data, "the proxy ends");
  g_list_free (conns);
  while (tou_ring_pop (database->ring, &action))
    tou_action_clear (&action);
  g_queue_clear_full (&database->outbox, outbox_free_event);
  g_hash_table_destroy (database->conns);
  g_ptr_array_unref (database->by_slot);
  g_array_unref (database->fds);
  tou_ring_destroy (database->ring);
  g_free (database);
}
