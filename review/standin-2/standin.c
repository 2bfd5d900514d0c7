#include "standin.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#define TICK_MS 2
#define PROMOTE_MS 600
/* An old primary becomes a replica this long after another one leads. */
#define STEP_DOWN_MS 1000
#define FIRST_POSITIONS 100

typedef struct
{
  char *key;
  char *value; /* base64 */
  guint64 revision;
  guint64 created;
  gint64 lease;
} Item;

typedef struct
{
  gint64 ttl_ms;
  gint64 until_ms;
} Lease;

typedef struct
{
  guint64 revision;
  char *key;
  json_t *event;
} Change;

typedef struct
{
  Position position;
  char *item;
  char *data;
  gint64 at_ms;
} Entry;

typedef struct
{
  char id[24];
  guint port;
  gboolean primary;
  gboolean draining;
  gboolean running;
  guint64 term;
  guint64 born;
  gint64 step_down_ms; /* 0: not due */
  guint n_connections;
  guint cut_nodes; /* bits of the nodes that it is partitioned from */
  gboolean cut;    /* partitioned from the other databases */
  GArray *log;     /* of Entry */
  uv_tcp_t listener;
} Database;

/* A connection to the store, to the promotion interface or to a database. */
typedef struct
{
  uv_tcp_t tcp;
  GString *in;
  gboolean closed;
  /* Store. */
  gint node; /* -1: promotions */
  gboolean watching;
  guint64 after;
  gint64 until_ms;
  char *prefix;
  /* Database. */
  Database *database;
  guint64 born;   /* of the process that accepted it */
  guint node_bit; /* of the node that has connected */
  gboolean started;
  gboolean in_txn;
  gboolean failed;
  GPtrArray *writes; /* item and data by turns */
  GHashTable *prepared;
} Connection;

static struct
{
  GMutex lock;
  uv_loop_t loop;
  uv_timer_t timer;
  FILE *record;
  gint64 start_us;
  uv_tcp_t store[STANDIN_NODES];
  guint store_port[STANDIN_NODES];
  gboolean refused[STANDIN_NODES];
  uv_tcp_t promote;
  guint promote_port;
  guint64 revision;
  gint64 last_lease;
  GTree *items;       /* key to Item */
  GHashTable *leases; /* id to Lease */
  GArray *changes;    /* of Change */
  GPtrArray *connections;
  Database databases[STANDIN_DATABASES];
  guint lag_ms;
  guint n_big_rows;
  gsize big_bytes;
  gint promoting; /* database, or -1 */
  gint64 promote_at_ms;
  GHashTable *runs; /* id to Run */
  guint last_proof;
} standin;

gint64
standin_ms (void)
{
  return (g_get_monotonic_time () - standin.start_us) / 1000;
}

static void
note (const char *format, va_list args)
{
  fprintf (standin.record, "%8.3f ", (double)standin_ms () / 1000);
  vfprintf (standin.record, format, args);
  fputc ('\n', standin.record);
}

static void
note_locked (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  note (format, args);
  va_end (args);
}

void
standin_note (const char *format, ...)
{
  va_list args;

  g_mutex_lock (&standin.lock);
  va_start (args, format);
  note (format, args);
  va_end (args);
  g_mutex_unlock (&standin.lock);
}

/* ---- connections ---- */

typedef struct
{
  uv_write_t write;
  char data[];
} Output;

static void
on_written (uv_write_t *write, int status)
{
  (void)status;
  g_free (write->data);
}

static void
connection_send (Connection *connection, const char *data, gsize len)
{
  Output *output = g_malloc (sizeof *output + len);
  uv_buf_t buf;

  memcpy (output->data, data, len);
  output->write.data = output;
  buf = uv_buf_init (output->data, (unsigned int)len);
  if (connection->closed
      || uv_write (&output->write, (uv_stream_t *)&connection->tcp, &buf, 1,
                   on_written)
             != 0)
    g_free (output);
}

static void
on_connection_closed (uv_handle_t *handle)
{
  Connection *connection = handle->data;

  g_string_free (connection->in, TRUE);
  g_free (connection->prefix);
  if (connection->writes != NULL)
    g_ptr_array_unref (connection->writes);
  if (connection->prepared != NULL)
    g_hash_table_destroy (connection->prepared);
  g_free (connection);
}

static void
connection_close (Connection *connection)
{
  if (connection->closed)
    return;
  connection->closed = TRUE;
  if (connection->database != NULL)
    connection->database->n_connections--;
  g_ptr_array_remove_fast (standin.connections, connection);
  uv_close ((uv_handle_t *)&connection->tcp, on_connection_closed);
}

/* ---- store ---- */

static void
item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static json_t *
item_json (const Item *item)
{
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
                    item->value, "revision", (json_int_t)item->revision,
                    "created", (json_int_t)item->created, "lease",
                    (json_int_t)item->lease);
}

static void
store_add_change (const char *key, json_t *event)
{
  Change change = { standin.revision, g_strdup (key), event };

  g_array_append_val (standin.changes, change);
}

static void
store_write (const char *key, const char *value, gint64 lease)
{
  Item *item = g_tree_lookup (standin.items, key);

  if (item == NULL)
    {
      item = g_new0 (Item, 1);
      item->key = g_strdup (key);
      item->created = standin.revision;
      g_tree_insert (standin.items, item->key, item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->revision = standin.revision;
  item->lease = lease;
  store_add_change (key, item_json (item));
}

static void
store_remove (const char *key)
{
  if (g_tree_lookup (standin.items, key) == NULL)
    return;
  store_add_change (key,
                    json_pack ("{s:s,s:I,s:b}", "key", key, "revision",
                               (json_int_t)standin.revision, "deleted", 1));
  g_tree_remove (standin.items, key);
}

static void
store_put_text (const char *key, const char *text)
{
  char *value = g_base64_encode ((const guchar *)text, strlen (text));

  standin.revision++;
  store_write (key, value, 0);
  g_free (value);
}

typedef struct
{
  gint64 lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
find_lease_key (gpointer key, gpointer value, gpointer data)
{
  LeaseKeys *find = data;

  if (((Item *)value)->lease == find->lease)
    g_ptr_array_add (find->keys, g_strdup (key));
  return FALSE;
}

static void
store_end_lease (gint64 lease)
{
  LeaseKeys find = { lease, g_ptr_array_new_with_free_func (g_free) };

  g_tree_foreach (standin.items, find_lease_key, &find);
  g_hash_table_remove (standin.leases, &lease);
  for (guint i = 0; i < find.keys->len; i++)
    {
      standin.revision++;
      note_locked ("store: %s removed, its lease has ended",
                   (char *)find.keys->pdata[i]);
      store_remove (find.keys->pdata[i]);
    }
  g_ptr_array_unref (find.keys);
}

static void
store_tick (gint64 now_ms)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, standin.leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (now_ms >= ((Lease *)value)->until_ms)
      {
        store_end_lease (*(gint64 *)key);
        return;
      }
}

static void
http_reply (Connection *connection, int status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  GString *out = g_string_new (NULL);

  g_string_printf (out,
                   "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   status, text != NULL ? strlen (text) : 0,
                   text != NULL ? text : "");
  connection_send (connection, out->str, out->len);
  g_string_free (out, TRUE);
  free (text);
  json_decref (body);
}

/* Answers a watch if there are changes or its time is over. */
static void
store_check_watch (Connection *connection, gint64 now_ms)
{
  json_t *events;

  if (!connection->watching)
    return;
  events = json_array ();
  for (guint i = standin.changes->len; i-- > 0;)
    {
      const Change *change = &g_array_index (standin.changes, Change, i);

      if (change->revision <= connection->after)
        break;
      if (g_str_has_prefix (change->key, connection->prefix))
        json_array_insert (events, 0, change->event);
    }
  if (json_array_size (events) == 0 && now_ms < connection->until_ms)
    {
      json_decref (events);
      return;
    }
  connection->watching = FALSE;
  http_reply (connection, 200,
              json_pack ("{s:o,s:I}", "events", events, "at",
                         (json_int_t)standin.revision));
}

static char *
query_value (const char *path, const char *name)
{
  char *pattern = g_strdup_printf ("%s=", name);
  const char *query = strchr (path, '?');
  char **parts = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  char *value = NULL;

  for (char **part = parts; *part != NULL && value == NULL; part++)
    if (g_str_has_prefix (*part, pattern))
      value = g_uri_unescape_string (*part + strlen (pattern), NULL);
  g_strfreev (parts);
  g_free (pattern);
  return value != NULL ? value : g_strdup ("");
}

typedef struct
{
  const char *prefix;
  const char *after;
  json_t *items;
} RangeCall;

static gboolean
range_add (gpointer key, gpointer value, gpointer data)
{
  RangeCall *call = data;

  if (g_str_has_prefix (key, call->prefix) && strcmp (key, call->after) > 0)
    json_array_append_new (call->items, item_json (value));
  return FALSE;
}

static void
store_on_range (Connection *connection, const char *path)
{
  char *prefix = query_value (path, "pathPrefix");
  char *after = query_value (path, "after");
  RangeCall call = { prefix, after, json_array () };

  g_tree_foreach (standin.items, range_add, &call);
  http_reply (connection, 200,
              json_pack ("{s:o,s:b,s:I}", "items", call.items, "hasMore", 0,
                         "at", (json_int_t)standin.revision));
  g_free (prefix);
  g_free (after);
}

static void
store_on_watch (Connection *connection, const char *path)
{
  char *after = query_value (path, "after");
  char *wait = query_value (path, "waitMs");

  g_free (connection->prefix);
  connection->prefix = query_value (path, "pathPrefix");
  connection->after = g_ascii_strtoull (after, NULL, 10);
  connection->until_ms
      = standin_ms () + (gint64)g_ascii_strtoull (wait, NULL, 10);
  connection->watching = TRUE;
  store_check_watch (connection, standin_ms ());
  g_free (after);
  g_free (wait);
}

static void
store_on_txn (Connection *connection, json_t *body)
{
  json_t *conflicts = json_array ();
  gboolean conflict = FALSE;
  gboolean no_lease = FALSE;
  json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (body, "precondition"), i, entry)
  {
    const char *key = json_string_value (json_object_get (entry, "key"));
    const Item *item = g_tree_lookup (standin.items, key);
    json_int_t revision
        = json_integer_value (json_object_get (entry, "revision"));

    if ((json_int_t)(item != NULL ? item->revision : 0) != revision)
      conflict = TRUE;
    if (item != NULL)
      json_array_append_new (conflicts, item_json (item));
  }
  json_array_foreach (json_object_get (body, "writes"), i, entry)
  {
    gint64 lease = json_integer_value (json_object_get (entry, "lease"));

    no_lease
        = no_lease
          || (lease != 0 && !g_hash_table_contains (standin.leases, &lease));
  }
  if (conflict || no_lease)
    {
      http_reply (connection, conflict ? 412 : 404,
                  json_pack ("{s:o}", "items", conflicts));
      return;
    }
  json_decref (conflicts);
  standin.revision++;
  json_array_foreach (json_object_get (body, "writes"), i, entry)
  {
    const char *key = json_string_value (json_object_get (entry, "key"));
    const char *value = json_string_value (json_object_get (entry, "value"));
    gsize len;
    guchar *text = g_base64_decode (value, &len);

    store_write (key, value,
                 json_integer_value (json_object_get (entry, "lease")));
    note_locked ("store: %s = %.*s", key, (int)MIN (len, 160), text);
    g_free (text);
  }
  json_array_foreach (json_object_get (body, "remove"), i, entry)
  {
    note_locked ("store: %s removed", json_string_value (entry));
    store_remove (json_string_value (entry));
  }
  http_reply (connection, 200,
              json_pack ("{s:I}", "revision", (json_int_t)standin.revision));
}

static void
store_on_lease (Connection *connection, json_t *body)
{
  Lease *lease = g_new0 (Lease, 1);

  lease->ttl_ms = json_integer_value (json_object_get (body, "ttlMs"));
  lease->until_ms = standin_ms () + lease->ttl_ms;
  standin.last_lease++;
  g_hash_table_insert (standin.leases,
                       g_memdup2 (&standin.last_lease, sizeof (gint64)), lease);
  http_reply (connection, 200,
              json_pack ("{s:I,s:I}", "lease", (json_int_t)standin.last_lease,
                         "ttlMs", (json_int_t)lease->ttl_ms));
}

static void
store_on_lease_call (Connection *connection, const char *id, gboolean end)
{
  gint64 number = (gint64)g_ascii_strtoull (id, NULL, 10);
  Lease *lease = g_hash_table_lookup (standin.leases, &number);

  if (lease == NULL)
    {
      http_reply (connection, 404, json_object ());
      return;
    }
  lease->until_ms = standin_ms () + lease->ttl_ms;
  if (end)
    store_end_lease (number);
  http_reply (connection, 200, json_object ());
}

static void
platform_on_promote (Connection *connection, json_t *body, const char *head)
{
  const char *id = json_string_value (json_object_get (body, "id"));
  const char *fence = strstr (head, "Fence-Token: ");

  note_locked ("platform: promote %s, fence %.6s", id,
               fence != NULL ? fence + strlen ("Fence-Token: ") : "none");
  for (guint i = 0; i < STANDIN_DATABASES; i++)
    {
      Database *database = &standin.databases[i];

      if (strcmp (database->id, id) != 0 || !database->running)
        continue;
      if (!database->primary)
        {
          standin.promoting = (gint)i;
          standin.promote_at_ms = standin_ms () + PROMOTE_MS;
        }
      http_reply (connection, 200, json_object ());
      return;
    }
  http_reply (connection, 409, json_object ());
}

static void
http_on_request (Connection *connection, const char *head, const char *text,
                 gsize len)
{
  char **words = g_strsplit (head, " ", 3);
  const char *path = words[1];
  json_t *body = json_loadb (text, len, 0, NULL);

  if (connection->node < 0)
    platform_on_promote (connection, body, head);
  else if (standin.refused[connection->node])
    http_reply (connection, 503, json_object ());
  else if (g_str_has_prefix (path, "/kv-range"))
    store_on_range (connection, path);
  else if (g_str_has_prefix (path, "/kv-watch"))
    store_on_watch (connection, path);
  else if (strcmp (path, "/kv-txn") == 0)
    store_on_txn (connection, body);
  else if (strcmp (path, "/kv-lease") == 0)
    store_on_lease (connection, body);
  else if (g_str_has_prefix (path, "/kv-keep/"))
    store_on_lease_call (connection, path + strlen ("/kv-keep/"), FALSE);
  else if (g_str_has_prefix (path, "/kv-lease-end/"))
    store_on_lease_call (connection, path + strlen ("/kv-lease-end/"), TRUE);
  else
    http_reply (connection, 404, json_object ());
  json_decref (body);
  g_strfreev (words);
}

static void
http_parse (Connection *connection)
{
  char *end;

  while ((end = strstr (connection->in->str, "\r\n\r\n")) != NULL)
    {
      gsize head_len = (gsize)(end - connection->in->str) + 4;
      const char *length = strstr (connection->in->str, "Content-Length: ");
      gsize body_len = 0;
      char *head;

      if (length != NULL && length < end)
        body_len
            = g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
      if (connection->in->len < head_len + body_len)
        return;
      head = g_strndup (connection->in->str, head_len);
      http_on_request (connection, head, connection->in->str + head_len,
                       body_len);
      g_free (head);
      g_string_erase (connection->in, 0, (gssize)(head_len + body_len));
    }
}

/* ---- databases ---- */

gboolean
standin_is_before (Position a, Position b)
{
  return a.term != b.term ? a.term < b.term : a.number < b.number;
}

static Position
database_position (const Database *database)
{
  Position none = { 0, 0 };

  if (database->log->len == 0)
    return none;
  return g_array_index (database->log, Entry, database->log->len - 1).position;
}

static gboolean
database_has (const Database *database, Position position)
{
  for (guint i = database->log->len; i-- > 0;)
    {
      Position other = g_array_index (database->log, Entry, i).position;

      if (other.term == position.term && other.number == position.number)
        return TRUE;
    }
  return FALSE;
}

static void
entry_clear (gpointer data)
{
  Entry *entry = data;

  g_free (entry->item);
  g_free (entry->data);
}

static void
database_append (Database *database, Position position, const char *item,
                 const char *data, gint64 at_ms)
{
  Entry entry = { position, g_strdup (item), g_strdup (data), at_ms };

  g_array_append_val (database->log, entry);
}

static Position
database_commit (Database *database, const char *item, const char *data)
{
  Position position = database_position (database);

  position.number++;
  position.term = database->term;
  database_append (database, position, item, data, standin_ms ());
  return position;
}

static void
database_register (Database *database)
{
  char *key = g_strdup_printf ("servers/%s", database->id);
  char *text = g_strdup_printf (
      "{\"service\":\"" STANDIN_SERVICE "\",\"address\":\"127.0.0.1:%u\","
      "\"zone\":\"za\",\"version\":\"v1\",\"capacity\":3,\"state\":\"%s\","
      "\"coldMs\":0,\"dbRole\":\"%s\",\"sequence\":1,\"born\":"
      "%" G_GUINT64_FORMAT "}",
      database->port, database->draining ? "draining" : "ready",
      database->primary ? "primary" : "replica", database->born);

  store_put_text (key, text);
  note_locked ("store: %s = %s", key, text);
  g_free (key);
  g_free (text);
}

static guint
leader_index (void)
{
  guint best = 0;

  for (guint i = 1; i < STANDIN_DATABASES; i++)
    if (standin.databases[i].primary
        && (!standin.databases[best].primary
            || standin.databases[i].term > standin.databases[best].term))
      best = i;
  return best;
}

static void
database_become_replica (Database *database)
{
  database->primary = FALSE;
  database->step_down_ms = 0;
  note_locked ("%s is a replica now", database->id);
  database_register (database);
}

/* Receives what the leading database committed at least a lag ago. */
static void
database_follow (Database *database, const Database *leader, gint64 now_ms)
{
  guint common = MIN (database->log->len, leader->log->len);

  while (common > 0)
    {
      Position own = g_array_index (database->log, Entry, common - 1).position;
      Position other = g_array_index (leader->log, Entry, common - 1).position;

      if (own.term == other.term && own.number == other.number)
        break;
      common--;
    }
  g_array_set_size (database->log, common);
  database->term = leader->term;
  for (guint i = common; i < leader->log->len; i++)
    {
      const Entry *entry = &g_array_index (leader->log, Entry, i);

      if (entry->at_ms + standin.lag_ms > now_ms)
        break;
      database_append (database, entry->position, entry->item, entry->data,
                       entry->at_ms);
    }
}

static void
databases_tick (gint64 now_ms)
{
  Database *leader;

  if (standin.promoting >= 0 && now_ms >= standin.promote_at_ms)
    {
      Database *next = &standin.databases[standin.promoting];
      guint64 term = 0;

      for (guint i = 0; i < STANDIN_DATABASES; i++)
        term = MAX (term, standin.databases[i].term);
      standin.promoting = -1;
      if (next->running)
        {
          next->primary = TRUE;
          next->term = term + 1;
          note_locked ("%s leads term %" G_GUINT64_FORMAT, next->id,
                       next->term);
          database_register (next);
          for (guint i = 0; i < STANDIN_DATABASES; i++)
            if (standin.databases[i].primary && &standin.databases[i] != next)
              standin.databases[i].step_down_ms = now_ms + STEP_DOWN_MS;
        }
    }
  for (guint i = 0; i < STANDIN_DATABASES; i++)
    if (standin.databases[i].step_down_ms != 0
        && now_ms >= standin.databases[i].step_down_ms
        && !standin.databases[i].cut)
      database_become_replica (&standin.databases[i]);
  leader = &standin.databases[leader_index ()];
  if (leader->cut)
    return;
  for (guint i = 0; leader->primary && leader->running && i < STANDIN_DATABASES;
       i++)
    if (standin.databases[i].running && !standin.databases[i].primary
        && !standin.databases[i].cut)
      database_follow (&standin.databases[i], leader, now_ms);
}

static void
put_position (GString *out, Position position)
{
  if (position.term == 0)
    g_string_append_c (out, '-');
  else
    g_string_append_printf (out, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                            position.term, position.number);
}

static void
put_ready (GString *out, const Connection *connection)
{
  g_string_append_printf (out, "READY %c ",
                          connection->failed   ? 'E'
                          : connection->in_txn ? 'T'
                                               : 'I');
  put_position (out, database_position (connection->database));
  g_string_append (out, "\r\n");
}

static void
put_proof (GString *out)
{
  g_string_append_printf (out, "COMPLETE 7.%x.proof\r\n", ++standin.last_proof);
}

static void
put_error (GString *out, Connection *connection, const char *code)
{
  connection->failed = connection->in_txn;
  g_string_append_printf (out, "ERROR %s %s\r\n", code,
                          connection->database->id);
}

static void
put_status (GString *out, const Database *database)
{
  g_string_append_printf (out, "DATAROW %s %" G_GUINT64_FORMAT " ",
                          database->primary ? "primary" : "replica",
                          database->term);
  put_position (out, database_position (database));
  g_string_append_printf (out, " 0 %u 0 %u\r\nCOMPLETE -\r\n", standin.lag_ms,
                          database->n_connections);
}

static void
note_run (const Connection *connection, const char *id, const char *text)
{
  Run run
      = { (guint)(connection->database - standin.databases),
          connection->database->primary,
          database_position (connection->database),
          leader_index () == (guint)(connection->database - standin.databases),
          standin_ms () };

  g_hash_table_replace (standin.runs, g_strdup (id),
                        g_memdup2 (&run, sizeof run));
  note_locked ("%s (%s, log %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
               ") ran %s %.40s",
               connection->database->id,
               connection->database->primary ? "primary" : "replica",
               run.position.term, run.position.number, id, text);
}

static void
run_read (Connection *connection, GString *out, const char *item)
{
  const GArray *log = connection->database->log;

  if (g_str_has_prefix (item, "big"))
    for (guint row = 0; row < standin.n_big_rows; row++)
      {
        g_string_append (out, "DATAROW ");
        for (gsize i = 0; i < standin.big_bytes; i++)
          g_string_append_c (out, (char)('a' + (i + row) % 26));
        g_string_append (out, "\r\n");
      }
  for (guint i = log->len; i-- > 0;)
    if (strcmp (g_array_index (log, Entry, i).item, item) == 0)
      {
        g_string_append_printf (out, "DATAROW %s\r\n",
                                g_array_index (log, Entry, i).data);
        break;
      }
  put_proof (out);
}

static void
run_write (Connection *connection, GString *out, const char *item,
           const char *data)
{
  if (connection->in_txn)
    {
      g_ptr_array_add (connection->writes, g_strdup (item));
      g_ptr_array_add (connection->writes, g_strdup (data));
    }
  else
    database_commit (connection->database, item, data);
  put_proof (out);
}

static void
run_commit (Connection *connection, GString *out)
{
  for (guint i = 0; i + 1 < connection->writes->len; i += 2)
    database_commit (connection->database, connection->writes->pdata[i],
                     connection->writes->pdata[i + 1]);
  g_ptr_array_set_size (connection->writes, 0);
  connection->in_txn = FALSE;
  put_proof (out);
}

static gboolean
parse_position (Position *out, const char *text)
{
  return sscanf (text, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, &out->term,
                 &out->number)
         == 2;
}

static void
run_step_down (Connection *connection, GString *out, const char *term)
{
  Database *database = connection->database;

  if (database->primary && database->term < g_ascii_strtoull (term, NULL, 10))
    database_become_replica (database);
  put_status (out, database);
}

static void
database_on_query (Connection *connection, const char *id, const char *text)
{
  Database *database = connection->database;
  GString *out = g_string_new (NULL);
  char **words = g_strsplit (text, " ", 3);
  gboolean lags = FALSE;
  Position after;

  if (strcmp (words[0], "AFTER") == 0 && parse_position (&after, words[1]))
    {
      lags = standin_is_before (database_position (database), after);
      text += strlen ("AFTER ") + strlen (words[1]) + 1;
      g_strfreev (words);
      words = g_strsplit (text, " ", 3);
    }
  if (lags)
    put_error (out, connection, "LAGGING");
  else if (strcmp (words[0], "STATUS") == 0)
    put_status (out, database);
  else if (strcmp (words[0], "STEPDOWN") == 0)
    run_step_down (connection, out, words[1]);
  else if (strcmp (words[0], "ROLLBACK") == 0)
    {
      g_ptr_array_set_size (connection->writes, 0);
      connection->in_txn = connection->failed = FALSE;
      g_string_append (out, "COMPLETE -\r\n");
    }
  else if (connection->failed)
    put_error (out, connection, "MALFORMED");
  else if (strcmp (words[0], "RESET") == 0 || strcmp (words[0], "SET") == 0
           || strcmp (words[0], "PREPARE") == 0)
    g_string_append (out, "COMPLETE -\r\n");
  else if (!database->primary
           && ((strcmp (words[0], "BEGIN") == 0 && words[1] == NULL)
               || strcmp (words[0], "WRITE") == 0
               || (strcmp (words[0], "COMMIT") == 0
                   && connection->writes->len > 0)))
    put_error (out, connection, "READONLY");
  else if (strcmp (words[0], "BEGIN") == 0)
    {
      connection->in_txn = TRUE;
      g_string_append (out, "COMPLETE -\r\n");
    }
  else if (strcmp (words[0], "READ") == 0)
    {
      run_read (connection, out, words[1]);
      note_run (connection, id, text);
    }
  else if (strcmp (words[0], "WRITE") == 0 && words[1] != NULL)
    {
      run_write (connection, out, words[1], words[2]);
      note_run (connection, id, text);
    }
  else if (strcmp (words[0], "COMMIT") == 0)
    {
      run_commit (connection, out);
      note_run (connection, id, text);
    }
  else
    put_error (out, connection, "MALFORMED");
  put_ready (out, connection);
  connection_send (connection, out->str, out->len);
  g_string_free (out, TRUE);
  g_strfreev (words);
}

static void
database_on_startup (Connection *connection, char **words)
{
  GString *out = g_string_new (NULL);
  gboolean fits = words[1] != NULL && strcmp (words[1], STANDIN_SERVICE) == 0
                  && (words[2] == NULL || words[3] == NULL
                      || strcmp (words[3], connection->database->id) == 0);

  if (fits)
    put_ready (out, connection);
  else
    g_string_append (out, "ERROR MOVED other database\r\n");
  connection->started = fits;
  connection_send (connection, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Returns the bit of the node that sends STARTUP, or 0. */
static guint
startup_node (const char *line)
{
  const char *name = strstr (line, " front-");

  if (!g_str_has_prefix (line, "STARTUP ") || name == NULL)
    return 0;
  return 1U << (g_ascii_strtoull (name + strlen (" front-"), NULL, 10) - 1);
}

static void
database_parse (Connection *connection)
{
  char *end;

  while (!connection->closed
         && (end = strstr (connection->in->str, "\r\n")) != NULL)
    {
      char *line;

      if (connection->node_bit == 0)
        connection->node_bit = startup_node (connection->in->str);
      /* What arrives during a partition is handled when it ends. */
      if ((connection->node_bit & connection->database->cut_nodes) != 0)
        return;
      line
          = g_strndup (connection->in->str, (gsize)(end - connection->in->str));
      g_string_erase (connection->in, 0, (end - connection->in->str) + 2);
      if (g_str_has_prefix (line, "STARTUP "))
        {
          char **words = g_strsplit (line, " ", -1);

          database_on_startup (connection, words);
          g_strfreev (words);
        }
      else if (g_str_has_prefix (line, "QUERY ") && connection->started)
        {
          char **words = g_strsplit (line, " ", 3);

          database_on_query (connection, words[1], words[2]);
          g_strfreev (words);
        }
      else
        connection_close (connection);
      g_free (line);
    }
}

/* ---- loop ---- */

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char buffer[65536];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Connection *connection = stream->data;

  g_mutex_lock (&standin.lock);
  if (n < 0)
    connection_close (connection);
  else
    {
      g_string_append_len (connection->in, buf->base, n);
      if (connection->database != NULL)
        database_parse (connection);
      else
        http_parse (connection);
    }
  g_mutex_unlock (&standin.lock);
}

static Connection *
accept_connection (uv_stream_t *server)
{
  Connection *connection = g_new0 (Connection, 1);

  connection->in = g_string_new (NULL);
  connection->tcp.data = connection;
  uv_tcp_init (&standin.loop, &connection->tcp);
  connection->tcp.data = connection;
  if (uv_accept (server, (uv_stream_t *)&connection->tcp) != 0)
    abort ();
  uv_tcp_nodelay (&connection->tcp, 1);
  g_ptr_array_add (standin.connections, connection);
  return connection;
}

static void
on_http_connection (uv_stream_t *server, int status)
{
  Connection *connection;

  if (status != 0)
    return;
  g_mutex_lock (&standin.lock);
  connection = accept_connection (server);
  connection->node = -1;
  for (gint i = 0; i < STANDIN_NODES; i++)
    if (server == (uv_stream_t *)&standin.store[i])
      connection->node = i;
  uv_read_start ((uv_stream_t *)&connection->tcp, on_alloc, on_read);
  g_mutex_unlock (&standin.lock);
}

static void
on_database_connection (uv_stream_t *server, int status)
{
  Connection *connection;

  if (status != 0)
    return;
  g_mutex_lock (&standin.lock);
  connection = accept_connection (server);
  connection->database = server->data;
  connection->born = connection->database->born;
  connection->database->n_connections++;
  connection->writes = g_ptr_array_new_with_free_func (g_free);
  if (connection->database->running)
    uv_read_start ((uv_stream_t *)&connection->tcp, on_alloc, on_read);
  else
    connection_close (connection);
  g_mutex_unlock (&standin.lock);
}

static void
on_timer (uv_timer_t *timer)
{
  gint64 now_ms = standin_ms ();

  (void)timer;
  g_mutex_lock (&standin.lock);
  store_tick (now_ms);
  databases_tick (now_ms);
  for (guint i = standin.connections->len; i-- > 0;)
    {
      Connection *connection = standin.connections->pdata[i];

      /* A database that ended has closed its connections. */
      if (connection->database != NULL
          && (!connection->database->running
              || connection->born != connection->database->born))
        connection_close (connection);
      else if (connection->database != NULL)
        database_parse (connection);
      else if (connection->watching && standin.refused[connection->node])
        connection_close (connection);
      else
        store_check_watch (connection, now_ms);
    }
  g_mutex_unlock (&standin.lock);
}

static guint
listen_on (uv_tcp_t *server, uv_connection_cb on_connection)
{
  struct sockaddr_in address;
  int len = sizeof address;

  uv_tcp_init (&standin.loop, server);
  uv_ip4_addr ("127.0.0.1", 0, &address);
  if (uv_tcp_bind (server, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)server, 128, on_connection) != 0
      || uv_tcp_getsockname (server, (struct sockaddr *)&address, &len) != 0)
    exit (2);
  return g_ntohs (address.sin_port);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static gpointer
run_loop (gpointer data)
{
  uv_run (&standin.loop, UV_RUN_DEFAULT);
  return data;
}

void
standin_start (FILE *record)
{
  standin.record = record;
  standin.start_us = g_get_monotonic_time ();
  standin.revision = 1;
  standin.last_lease = 100;
  standin.promoting = -1;
  standin.lag_ms = 8;
  standin.items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  standin.leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  standin.changes = g_array_new (FALSE, FALSE, sizeof (Change));
  standin.connections = g_ptr_array_new ();
  standin.runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_loop_init (&standin.loop);
  for (guint i = 0; i < STANDIN_NODES; i++)
    standin.store_port[i] = listen_on (&standin.store[i], on_http_connection);
  standin.promote_port = listen_on (&standin.promote, on_http_connection);
  for (guint i = 0; i < STANDIN_DATABASES; i++)
    {
      Database *database = &standin.databases[i];

      g_snprintf (database->id, sizeof database->id, "i-db%u", i + 1);
      database->port = listen_on (&database->listener, on_database_connection);
      database->listener.data = database;
      database->running = TRUE;
      database->primary = i == 0;
      database->term = 1;
      database->born = (guint64)g_get_real_time () / 1000 - 60000;
      database->log = g_array_new (FALSE, FALSE, sizeof (Entry));
      g_array_set_clear_func (database->log, entry_clear);
      for (guint n = 1; n <= FIRST_POSITIONS; n++)
        database_append (database, (Position){ 1, n }, "first", "row", 0);
      database_register (database);
    }
  uv_timer_init (&standin.loop, &standin.timer);
  uv_timer_start (&standin.timer, on_timer, TICK_MS, TICK_MS);
  g_thread_new ("standin", run_loop, NULL);
}

guint
standin_store_port (guint i)
{
  return standin.store_port[i];
}

guint
standin_promote_port (void)
{
  return standin.promote_port;
}

void
standin_refuse_node (guint i, gboolean refuse)
{
  g_mutex_lock (&standin.lock);
  standin.refused[i] = refuse;
  note_locked ("store: node %u is %s", i + 1,
               refuse ? "turned away with 503" : "served again");
  g_mutex_unlock (&standin.lock);
}

gboolean
standin_has_key (const char *key)
{
  gboolean found;

  g_mutex_lock (&standin.lock);
  found = g_tree_lookup (standin.items, key) != NULL;
  g_mutex_unlock (&standin.lock);
  return found;
}

void
standin_put_config (guint version, guint timeout_ms)
{
  char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":[{\"name\":\"r1\",\"host\":"
      "\"" STANDIN_PRIMARY_HOST
      "\",\"pathPrefix\":\"/\",\"type\":\"primary\",\"timeoutMs\":%u,"
      "\"targetLatencyMs\":400,\"priority\":0,\"service\":\"" STANDIN_SERVICE
      "\",\"maxAttempts\":2}],\"services\":[{\"name\":\"" STANDIN_SERVICE
      "\",\"healthPath\":\"/health\",\"maxConns\":22,\"protocol\":\"h1\","
      "\"tls\":false,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}",
      version, timeout_ms);

  g_mutex_lock (&standin.lock);
  store_put_text ("op/config", text);
  g_mutex_unlock (&standin.lock);
  g_free (text);
}

void
standin_set_lag (guint lag_ms)
{
  g_mutex_lock (&standin.lock);
  standin.lag_ms = lag_ms;
  g_mutex_unlock (&standin.lock);
}

void
standin_set_big_rows (guint n_rows, gsize bytes)
{
  g_mutex_lock (&standin.lock);
  standin.n_big_rows = n_rows;
  standin.big_bytes = bytes;
  g_mutex_unlock (&standin.lock);
}

void
standin_drain (guint database)
{
  g_mutex_lock (&standin.lock);
  standin.databases[database].draining = TRUE;
  database_register (&standin.databases[database]);
  g_mutex_unlock (&standin.lock);
}

void
standin_end (guint database)
{
  g_mutex_lock (&standin.lock);
  standin.databases[database].running = FALSE;
  note_locked ("%s has ended", standin.databases[database].id);
  g_mutex_unlock (&standin.lock);
}

void
standin_start_anew (guint i)
{
  Database *database = &standin.databases[i];

  g_mutex_lock (&standin.lock);
  database->running = TRUE;
  database->primary = FALSE;
  database->draining = FALSE;
  database->term = 0;
  database->born = (guint64)g_get_real_time () / 1000;
  g_array_set_size (database->log, 0);
  note_locked ("%s has started anew, without its log", database->id);
  database_register (database);
  g_mutex_unlock (&standin.lock);
}

void
standin_cut (guint database, guint nodes, gboolean others)
{
  g_mutex_lock (&standin.lock);
  standin.databases[database].cut_nodes = nodes;
  standin.databases[database].cut = others;
  note_locked ("%s is partitioned from nodes %02x%s",
               standin.databases[database].id, nodes,
               others ? " and from its replicas" : "");
  g_mutex_unlock (&standin.lock);
}

gint
standin_leading_node (void)
{
  const Item *item;
  gint node = -1;

  g_mutex_lock (&standin.lock);
  item = g_tree_lookup (standin.items, "tou/leader");
  if (item != NULL)
    {
      gsize len;
      guchar *name = g_base64_decode (item->value, &len);

      if (len > strlen ("front-"))
        node = (gint)(name[strlen ("front-")] - '1');
      g_free (name);
    }
  g_mutex_unlock (&standin.lock);
  return node;
}

guint
standin_leader (void)
{
  guint leader;

  g_mutex_lock (&standin.lock);
  leader = leader_index ();
  g_mutex_unlock (&standin.lock);
  return leader;
}

gboolean
standin_find_run (const char *id, Run *out)
{
  const Run *run;

  g_mutex_lock (&standin.lock);
  run = g_hash_table_lookup (standin.runs, id);
  if (run != NULL)
    *out = *run;
  g_mutex_unlock (&standin.lock);
  return run != NULL;
}

gboolean
standin_is_kept (Position position)
{
  gboolean kept;

  g_mutex_lock (&standin.lock);
  kept = database_has (&standin.databases[leader_index ()], position);
  g_mutex_unlock (&standin.lock);
  return kept;
}
