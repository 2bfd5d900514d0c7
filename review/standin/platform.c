/* Stand-in for the platform: its store (kv) and the promotions. Each node
   reaches them at addresses of its own, so that its links can be cut. */
#include "private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time to answer a call. */
#define ANSWER_MS 4
#define PORT_PLATFORM 8783
#define PORT_CLOUD 8786

typedef struct
{
  Conn conn;
  Node *node;
  gboolean cloud;
  gboolean watching;
  gboolean dead;
  gboolean ended; /* freed when no answer is due */
  guint n_due;
  char *prefix;
  guint64 after;
  guint64 until_ms;
} PlatformConn;

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

void
platform_init (Bench *bench)
{
  bench->revision = 100;
  bench->items = g_tree_new_full (compare_keys, NULL, g_free,
                                  (GDestroyNotify)json_decref);
  bench->history = g_ptr_array_new ();
  bench->watches = g_ptr_array_new ();
  bench->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  bench->last_lease = 77000;
}

/* Answers. */

typedef struct
{
  PlatformConn *to;
  char *text;
} Answer;

static void
platform_free (gpointer conn)
{
  PlatformConn *self = conn;

  g_ptr_array_remove_fast (self->node->conns, self);
  g_ptr_array_remove (self->node->bench->watches, self);
  self->ended = TRUE;
  if (self->n_due == 0)
    {
      g_free (self->prefix);
      g_free (self);
    }
}

static void
answer_send (gpointer data)
{
  Answer *answer = data;

  answer->to->n_due--;
  if (!answer->to->ended)
    conn_send (&answer->to->conn, answer->text, strlen (answer->text));
  else if (answer->to->n_due == 0)
    {
      g_free (answer->to->prefix);
      g_free (answer->to);
    }
  g_free (answer->text);
  g_free (answer);
}

static void
platform_answer (PlatformConn *self, int status, json_t *body)
{
  Answer *answer = g_new0 (Answer, 1);
  char *text = json_dumps (body, JSON_COMPACT);

  answer->to = self;
  answer->text = g_strdup_printf (
      "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      status, strlen (text), text);
  free (text);
  json_decref (body);
  self->n_due++;
  bench_after (self->node->bench, ANSWER_MS, answer_send, answer);
}

/* Keys. */

static void
platform_store (Bench *bench, const char *key, const char *base64,
                guint64 lease)
{
  json_t *old = g_tree_lookup (bench->items, key);
  json_int_t created
      = old != NULL ? json_integer_value (json_object_get (old, "created"))
                    : (json_int_t)bench->revision;
  json_t *item = json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value",
                            base64, "revision", (json_int_t)bench->revision,
                            "created", created, "lease", (json_int_t)lease);

  g_ptr_array_add (bench->history, json_deep_copy (item));
  g_tree_replace (bench->items, g_strdup (key), item);
}

static void
platform_delete (Bench *bench, const char *key)
{
  if (g_tree_lookup (bench->items, key) == NULL)
    return;
  g_ptr_array_add (bench->history,
                   json_pack ("{s:s,s:I,s:b}", "key", key, "revision",
                              (json_int_t)bench->revision, "deleted", 1));
  g_tree_remove (bench->items, key);
}

void
platform_put (Bench *bench, const char *key, const char *value)
{
  char *base64 = g_base64_encode ((const guchar *)value, strlen (value));

  bench->revision++;
  platform_store (bench, key, base64, 0);
  g_free (base64);
}

void
platform_remove (Bench *bench, const char *key)
{
  bench->revision++;
  platform_delete (bench, key);
}

static gboolean
collect_leased (gpointer key, gpointer value, gpointer data)
{
  gpointer *args = data;

  if (json_integer_value (json_object_get (value, "lease"))
      == *(json_int_t *)args[0])
    g_ptr_array_add (args[1], g_strdup (key));
  return FALSE;
}

static void
lease_end (Bench *bench, gint64 lease)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  json_int_t id = lease;
  gpointer args[] = { &id, keys };

  g_tree_foreach (bench->items, collect_leased, args);
  if (keys->len > 0)
    bench->revision++;
  for (guint i = 0; i < keys->len; i++)
    platform_delete (bench, g_ptr_array_index (keys, i));
  g_ptr_array_unref (keys);
}

/* Calls. */

static char *
query_field (const char *query, const char *name)
{
  char **fields = g_strsplit (query, "&", -1);
  char *result = NULL;

  for (char **field = fields; *field != NULL; field++)
    if (g_str_has_prefix (*field, name) && (*field)[strlen (name)] == '=')
      {
        g_free (result);
        result = g_uri_unescape_string (*field + strlen (name) + 1, NULL);
      }
  g_strfreev (fields);
  return result != NULL ? result : g_strdup ("");
}

typedef struct
{
  const char *prefix;
  const char *after;
  json_t *out;
} RangeArgs;

static gboolean
collect_range (gpointer key, gpointer value, gpointer data)
{
  RangeArgs *args = data;

  if (g_str_has_prefix (key, args->prefix) && strcmp (key, args->after) > 0)
    json_array_append (args->out, value);
  return FALSE;
}

static void
call_range (PlatformConn *self, const char *query)
{
  Bench *bench = self->node->bench;
  char *prefix = query_field (query, "pathPrefix");
  char *after = query_field (query, "after");
  RangeArgs args = { prefix, after, json_array () };

  g_tree_foreach (bench->items, collect_range, &args);
  platform_answer (self, 200,
                   json_pack ("{s:o,s:b,s:I}", "items", args.out, "hasMore", 0,
                              "at", (json_int_t)bench->revision));
  g_free (prefix);
  g_free (after);
}

/* Answers a watch if there are events or its time is over. */
static gboolean
watch_check (PlatformConn *self)
{
  Bench *bench = self->node->bench;
  json_t *events = json_array ();

  for (guint i = 0; i < bench->history->len; i++)
    {
      json_t *event = g_ptr_array_index (bench->history, i);

      if ((guint64)json_integer_value (json_object_get (event, "revision"))
              > self->after
          && g_str_has_prefix (
              json_string_value (json_object_get (event, "key")), self->prefix))
        json_array_append (events, event);
    }
  if (json_array_size (events) == 0 && bench_ms (bench) < self->until_ms)
    {
      json_decref (events);
      return FALSE;
    }
  self->watching = FALSE;
  platform_answer (self, 200,
                   json_pack ("{s:o,s:I}", "events", events, "at",
                              (json_int_t)bench->revision));
  return TRUE;
}

static void
call_watch (PlatformConn *self, const char *query)
{
  char *after = query_field (query, "after");
  char *wait = query_field (query, "waitMs");

  g_free (self->prefix);
  self->prefix = query_field (query, "pathPrefix");
  self->after = g_ascii_strtoull (after, NULL, 10);
  self->until_ms
      = bench_ms (self->node->bench) + g_ascii_strtoull (wait, NULL, 10);
  self->watching = TRUE;
  if (!watch_check (self))
    g_ptr_array_add (self->node->bench->watches, self);
  g_free (after);
  g_free (wait);
}

static guint64
key_revision (Bench *bench, const char *key)
{
  const json_t *item = g_tree_lookup (bench->items, key);

  return item != NULL
             ? (guint64)json_integer_value (json_object_get (item, "revision"))
             : 0;
}

typedef struct
{
  Bench *bench;
  char *key;
  char *value;
} Written;

static void
written_report (gpointer data)
{
  Written *written = data;

  if (written->bench->on_write != NULL)
    written->bench->on_write (written->bench->on_write_data, written->key,
                              written->value);
  g_free (written->key);
  g_free (written->value);
  g_free (written);
}

static void
call_txn (PlatformConn *self, const json_t *body)
{
  Bench *bench = self->node->bench;
  json_t *row;
  size_t i;
  gboolean met = TRUE;

  json_array_foreach (json_object_get (body, "precondition"), i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));

    met = met
          && key_revision (bench, key)
                 == (guint64)json_integer_value (
                     json_object_get (row, "revision"));
  }
  json_array_foreach (json_object_get (body, "writes"), i, row)
  {
    gint64 lease = json_integer_value (json_object_get (row, "lease"));

    if (lease != 0 && !g_hash_table_contains (bench->leases, &lease))
      {
        platform_answer (self, 404, json_object ());
        return;
      }
  }
  if (!met)
    {
      platform_answer (self, 412, json_pack ("{s:[]}", "items"));
      return;
    }
  bench->revision++;
  json_array_foreach (json_object_get (body, "writes"), i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    const char *base64 = json_string_value (json_object_get (row, "value"));
    Written *written = g_new0 (Written, 1);
    gsize len;
    guchar *value = g_base64_decode (base64, &len);

    platform_store (
        bench, key, base64,
        (guint64)json_integer_value (json_object_get (row, "lease")));
    bench_note (bench, "store: %s writes %s = %.*s", self->node->name, key,
                (int)len, (const char *)value);
    written->bench = bench;
    written->key = g_strdup (key);
    written->value = g_strndup ((const char *)value, len);
    bench_after (bench, ANSWER_MS + 1, written_report, written);
    g_free (value);
  }
  json_array_foreach (json_object_get (body, "remove"), i, row)
  {
    bench_note (bench, "store: %s removes %s", self->node->name,
                json_string_value (row));
    platform_delete (bench, json_string_value (row));
  }
  platform_answer (
      self, 200, json_pack ("{s:I}", "revision", (json_int_t)bench->revision));
}

static void
lease_renew (Bench *bench, gint64 lease, guint64 ttl_ms)
{
  guint64 *times = g_new (guint64, 2);

  times[0] = bench_ms (bench) + ttl_ms;
  times[1] = ttl_ms;
  g_hash_table_insert (bench->leases, g_memdup2 (&lease, sizeof lease), times);
}

static void
call_lease (PlatformConn *self, const json_t *body)
{
  Bench *bench = self->node->bench;
  json_int_t ttl = json_integer_value (json_object_get (body, "ttlMs"));
  gint64 lease = (gint64)++bench->last_lease;

  lease_renew (bench, lease, (guint64)ttl);
  platform_answer (
      self, 200,
      json_pack ("{s:I,s:I}", "lease", (json_int_t)lease, "ttlMs", ttl));
}

static void
call_keep (PlatformConn *self, gint64 lease)
{
  Bench *bench = self->node->bench;
  const guint64 *times = g_hash_table_lookup (bench->leases, &lease);

  if (times == NULL)
    {
      platform_answer (self, 404, json_object ());
      return;
    }
  lease_renew (bench, lease, times[1]);
  platform_answer (self, 200, json_object ());
}

static void
call_lease_end (PlatformConn *self, gint64 lease)
{
  Bench *bench = self->node->bench;

  if (g_hash_table_remove (bench->leases, &lease))
    lease_end (bench, lease);
  platform_answer (self, 200, json_object ());
}

static void
call_promote (PlatformConn *self, const json_t *body, const char *head)
{
  Bench *bench = self->node->bench;
  const char *id = json_string_value (json_object_get (body, "id"));
  const char *field = strstr (head, "Fence-Token:");
  guint64 token
      = field != NULL
            ? g_ascii_strtoull (field + strlen ("Fence-Token:"), NULL, 10)
            : 0;
  Database *database = NULL;
  int status;

  for (guint i = 0; i < bench->databases->len; i++)
    if (g_strcmp0 (database_id (g_ptr_array_index (bench->databases, i)), id)
        == 0)
      database = g_ptr_array_index (bench->databases, i);
  bench_note (bench,
              "platform: POST /promote of %s by %s, fence %" G_GUINT64_FORMAT,
              id, self->node->name, token);
  if (bench->on_promotion != NULL && database != NULL)
    bench->on_promotion (bench->on_promotion_data, database, token);
  status = database_promote (bench, id);
  platform_answer (self, status, json_object ());
}

static void
platform_call (PlatformConn *self, const char *method, const char *target,
               const char *head, const json_t *body)
{
  const char *query = strchr (target, '?');
  char *path = g_strndup (target, query != NULL ? (gsize)(query - target)
                                                : strlen (target));
  const char *last = strrchr (path, '/');
  gint64 id = (gint64)g_ascii_strtoull (last + 1, NULL, 10);

  query = query != NULL ? query + 1 : "";
  if (self->cloud && strcmp (path, "/promote") == 0)
    call_promote (self, body, head);
  else if (strcmp (path, "/kv-range") == 0)
    call_range (self, query);
  else if (strcmp (path, "/kv-watch") == 0)
    call_watch (self, query);
  else if (strcmp (path, "/kv-txn") == 0)
    call_txn (self, body);
  else if (strcmp (path, "/kv-lease") == 0)
    call_lease (self, body);
  else if (g_str_has_prefix (path, "/kv-keep/"))
    call_keep (self, id);
  else if (g_str_has_prefix (path, "/kv-lease-end/"))
    call_lease_end (self, id);
  else
    {
      bench_note (self->node->bench, "platform: unknown call %s %s", method,
                  target);
      platform_answer (self, 404, json_object ());
    }
  g_free (path);
}

static gsize
platform_on_bytes (gpointer conn, const char *data, gsize len)
{
  PlatformConn *self = conn;
  char *text = g_strndup (data, len);
  const char *end = strstr (text, "\r\n\r\n");
  const char *length;
  char **words;
  gsize head_len;
  gsize body_len = 0;
  json_t *body;
  char *head;

  if (end == NULL)
    {
      g_free (text);
      return 0;
    }
  head_len = (gsize)(end - text) + 4;
  head = g_strndup (text, head_len);
  length = strstr (head, "Content-Length:");
  if (length != NULL)
    body_len = g_ascii_strtoull (length + strlen ("Content-Length:"), NULL, 10);
  if (len < head_len + body_len)
    {
      g_free (head);
      g_free (text);
      return 0;
    }
  body = json_loadb (text + head_len, body_len, 0, NULL);
  words = g_strsplit (head, " ", 3);
  platform_call (self, words[0], words[1], head, body);
  json_decref (body);
  g_strfreev (words);
  g_free (head);
  g_free (text);
  return head_len + body_len;
}

static void
platform_accept (uv_stream_t *server, gboolean cloud)
{
  Node *node = server->data;
  PlatformConn *self = g_new0 (PlatformConn, 1);

  self->node = node;
  self->cloud = cloud;
  self->conn.on_bytes = platform_on_bytes;
  self->conn.on_free = platform_free;
  conn_init (&self->conn, node->bench);
  uv_accept (server, (uv_stream_t *)&self->conn.tcp);
  g_ptr_array_add (node->conns, self);
  conn_start (&self->conn);
  /* Opened across a cut link: nothing passes, also later. */
  self->dead = node->cut;
  conn_hold (&self->conn, node->cut);
}

static void
platform_on_store (uv_stream_t *server, int status)
{
  if (status == 0)
    platform_accept (server, FALSE);
}

static void
platform_on_cloud (uv_stream_t *server, int status)
{
  if (status == 0)
    platform_accept (server, TRUE);
}

void
platform_listen (Node *node)
{
  bench_listen (node->bench, &node->store_listener, node->ip, PORT_PLATFORM,
                node, platform_on_store);
  bench_listen (node->bench, &node->cloud_listener, node->ip, PORT_CLOUD, node,
                platform_on_cloud);
}

void
bench_cut_platform (Bench *bench, Node *node, gboolean cut)
{
  GPtrArray *conns = g_ptr_array_copy (node->conns, NULL, NULL);

  bench_note (bench, "node %s: %s the platform", node->name,
              cut ? "cut off from" : "reaches again");
  node->cut = cut;
  for (guint i = 0; i < conns->len; i++)
    {
      PlatformConn *conn = g_ptr_array_index (conns, i);

      if (conn->dead)
        conn_close (&conn->conn);
      else
        conn_hold (&conn->conn, cut);
    }
  g_ptr_array_unref (conns);
}

void
bench_on_promotion (Bench *bench,
                    void (*call) (gpointer data, Database *database,
                                  guint64 token),
                    gpointer data)
{
  bench->on_promotion = call;
  bench->on_promotion_data = data;
}

void
bench_on_write (Bench *bench,
                void (*call) (gpointer data, const char *key,
                              const char *value),
                gpointer data)
{
  bench->on_write = call;
  bench->on_write_data = data;
}

void
platform_tick (Bench *bench)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  guint64 now_ms = bench_ms (bench);

  g_hash_table_iter_init (&iter, bench->leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (now_ms >= *(guint64 *)value)
      {
        gint64 lease = *(gint64 *)key;

        g_hash_table_iter_remove (&iter);
        lease_end (bench, lease);
      }
  for (guint i = bench->watches->len; i-- > 0;)
    if (watch_check (g_ptr_array_index (bench->watches, i)))
      g_ptr_array_remove_index (bench->watches, i);
}
