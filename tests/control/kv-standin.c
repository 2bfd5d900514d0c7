#include "kv-standin.h"

#include "clock.h"

#include <jansson.h>

#include <string.h>

/* Duration of a call, and interval at which leases are checked. */
#define KV_CALL_MS 2
#define KV_LEASE_CHECK_MS 20
/* Values that the store gives out again after it was restored. */
#define KV_FIRST_REVISION 10
#define KV_FIRST_LEASE 70

typedef struct
{
  char *value; /* base64; NULL: the key was deleted */
  guint64 revision;
  guint64 created;
  guint64 lease;
} KvItem;

#define KV_HOLDER_HEADER "Lease-Holder: "

typedef struct
{
  char *key;
  KvItem item;
} KvEvent;

typedef struct
{
  guint64 ttl_us;
  guint64 expires_us;
} KvLease;

typedef struct
{
  guint64 revision;
  guint64 last_lease;
  guint n_events;
  GTree *items;       /* key to KvItem */
  GHashTable *leases; /* id to KvLease */
} KvState;

struct KvStandin
{
  uv_loop_t *loop;
  uv_timer_t lease_timer;
  guint64 era;
  KvState state;
  KvState copy;
  GArray *events;      /* of KvEvent */
  GPtrArray *calls;    /* of KvCall */
  GHashTable *cut;     /* names of nodes */
  GHashTable *written; /* key to guint64 */
  char *promotion;     /* the last order, or NULL */
};

typedef struct
{
  uv_timer_t timer;
  KvStandin *kv;
  PlatHttpDone done;
  gpointer user_data;
  char *method;
  char *node;
  char *path;
  GHashTable *query;
  json_t *body;
  char *holder;     /* of the lease, in an order */
  gboolean waiting; /* a watch without events */
} KvCall;

static KvStandin *kv_latest_store;

static gint
kv_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
kv_item_free (gpointer data)
{
  g_free (((KvItem *)data)->value);
  g_free (data);
}

static void
kv_event_clear (gpointer data)
{
  KvEvent *event = data;

  g_free (event->key);
  g_free (event->item.value);
}

static void
kv_state_init (KvState *state)
{
  memset (state, 0, sizeof *state);
  state->items = g_tree_new_full (kv_compare, NULL, g_free, kv_item_free);
  state->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
kv_state_clear (KvState *state)
{
  g_tree_unref (state->items);
  g_hash_table_destroy (state->leases);
}

static gboolean
kv_copy_item (gpointer key, gpointer value, gpointer tree)
{
  KvItem *item = g_memdup2 (value, sizeof *item);

  item->value = g_strdup (item->value);
  g_tree_replace (tree, g_strdup (key), item);
  return FALSE;
}

static void
kv_state_copy (KvState *to, const KvState *from)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  kv_state_clear (to);
  kv_state_init (to);
  to->revision = from->revision;
  to->last_lease = from->last_lease;
  to->n_events = from->n_events;
  g_tree_foreach (from->items, kv_copy_item, to->items);
  g_hash_table_iter_init (&iter, from->leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (to->leases, g_memdup2 (key, sizeof (guint64)),
                         g_memdup2 (value, sizeof (KvLease)));
}

static void
kv_on_call_closed (uv_handle_t *handle)
{
  KvCall *call = handle->data;

  g_free (call->method);
  g_free (call->node);
  g_free (call->holder);
  g_free (call->path);
  g_hash_table_destroy (call->query);
  json_decref (call->body);
  g_free (call);
}

/* Ends a call. A status of 0 stands for no response. Takes @a body. */
static void
kv_finish (KvCall *call, long status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  PlatHttpReply reply = { 0 };

  reply.status = status;
  reply.era = status != 0 ? call->kv->era : 0;
  reply.body = text != NULL ? text : "";
  reply.body_len = strlen (reply.body);
  uv_timer_stop (&call->timer);
  g_ptr_array_remove_fast (call->kv->calls, call);
  call->done (call->user_data, &reply);
  uv_close ((uv_handle_t *)&call->timer, kv_on_call_closed);
  free (text);
  json_decref (body);
}

static json_t *
kv_encode (const char *key, const KvItem *item)
{
  if (item->value == NULL)
    return json_pack ("{s:s,s:I,s:b}", "key", key, "revision",
                      (json_int_t)item->revision, "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", item->value,
                    "revision", (json_int_t)item->revision, "created",
                    (json_int_t)item->created, "lease",
                    (json_int_t)item->lease);
}

static guint64
kv_query_number (const KvCall *call, const char *name)
{
  const char *text = g_hash_table_lookup (call->query, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static const char *
kv_query_text (const KvCall *call, const char *name)
{
  const char *text = g_hash_table_lookup (call->query, name);

  return text != NULL ? text : "";
}

/* Returns FALSE if there is nothing to return yet. */
static gboolean
kv_answer_watch (KvCall *call)
{
  const KvStandin *kv = call->kv;
  guint64 after = kv_query_number (call, "after");
  const char *prefix = kv_query_text (call, "pathPrefix");
  json_t *events;

  if (after > kv->state.revision)
    {
      kv_finish (call, 410, json_object ());
      return TRUE;
    }
  events = json_array ();
  for (guint i = 0; i < kv->events->len; i++)
    {
      const KvEvent *event = &g_array_index (kv->events, KvEvent, i);

      if (event->item.revision > after && g_str_has_prefix (event->key, prefix))
        json_array_append_new (events, kv_encode (event->key, &event->item));
    }
  if (json_array_size (events) == 0)
    {
      json_decref (events);
      return FALSE;
    }
  kv_finish (call, 200,
             json_pack ("{s:o,s:I}", "events", events, "at",
                        (json_int_t)kv->state.revision));
  return TRUE;
}

static void
kv_notify (KvStandin *kv)
{
  GPtrArray *calls = g_ptr_array_copy (kv->calls, NULL, NULL);

  for (guint i = 0; i < calls->len; i++)
    {
      KvCall *call = g_ptr_array_index (calls, i);

      if (call->waiting)
        kv_answer_watch (call);
    }
  g_ptr_array_unref (calls);
}

/* Adds a change to the current revision; @a value is base64, NULL: delete. */
static void
kv_change (KvStandin *kv, const char *key, const char *value, guint64 lease)
{
  const KvItem *old = g_tree_lookup (kv->state.items, key);
  KvItem item
      = { g_strdup (value), kv->state.revision, kv->state.revision, lease };
  KvEvent event;

  if (old != NULL)
    item.created = old->created;
  if (value != NULL)
    g_tree_replace (kv->state.items, g_strdup (key),
                    g_memdup2 (&item, sizeof item));
  else
    g_tree_remove (kv->state.items, key);
  event.key = g_strdup (key);
  event.item = item;
  event.item.value = g_strdup (value);
  g_array_append_val (kv->events, event);
  kv->state.n_events = kv->events->len;
}

static gboolean
kv_add_listed (gpointer key, gpointer value, gpointer data)
{
  json_array_append_new (data, kv_encode (key, value));
  return FALSE;
}

static void
kv_answer_list (KvCall *call)
{
  const char *prefix = kv_query_text (call, "pathPrefix");
  json_t *all = json_array ();
  json_t *items = json_array ();
  json_t *item;
  size_t i;

  g_tree_foreach (call->kv->state.items, kv_add_listed, all);
  json_array_foreach (all, i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));

    if (g_str_has_prefix (key, prefix))
      json_array_append (items, item);
  }
  json_decref (all);
  kv_finish (call, 200,
             json_pack ("{s:o,s:I,s:b}", "items", items, "at",
                        (json_int_t)call->kv->state.revision, "hasMore", 0));
}

static gboolean
kv_conditions_hold (const KvStandin *kv, const json_t *conditions)
{
  json_t *condition;
  size_t i;

  json_array_foreach (conditions, i, condition)
  {
    const char *key = json_string_value (json_object_get (condition, "key"));
    const KvItem *item = g_tree_lookup (kv->state.items, key);

    if ((json_int_t)(item != NULL ? item->revision : 0)
        != json_integer_value (json_object_get (condition, "revision")))
      return FALSE;
  }
  return TRUE;
}

static void
kv_answer_txn (KvCall *call)
{
  KvStandin *kv = call->kv;
  json_t *change;
  size_t i;

  if (!kv_conditions_hold (kv, json_object_get (call->body, "precondition")))
    {
      kv_finish (call, 412, json_object ());
      return;
    }
  json_array_foreach (json_object_get (call->body, "writes"), i, change)
  {
    guint64 lease
        = (guint64)json_integer_value (json_object_get (change, "lease"));

    if (lease != 0 && g_hash_table_lookup (kv->state.leases, &lease) == NULL)
      {
        kv_finish (call, 404, json_object ());
        return;
      }
  }
  kv->state.revision++;
  json_array_foreach (json_object_get (call->body, "writes"), i, change)
  {
    const char *key = json_string_value (json_object_get (change, "key"));
    guint64 now_us = tou_clock_us ();

    kv_change (kv, key, json_string_value (json_object_get (change, "value")),
               (guint64)json_integer_value (json_object_get (change, "lease")));
    g_hash_table_replace (kv->written, g_strdup (key),
                          g_memdup2 (&now_us, sizeof now_us));
  }
  json_array_foreach (json_object_get (call->body, "remove"), i, change)
  {
    if (g_tree_lookup (kv->state.items, json_string_value (change)) != NULL)
      kv_change (kv, json_string_value (change), NULL, 0);
  }
  kv_finish (call, 200,
             json_pack ("{s:I}", "revision", (json_int_t)kv->state.revision));
  kv_notify (kv);
}

static void
kv_answer_grant (KvCall *call)
{
  KvStandin *kv = call->kv;
  KvLease *lease = g_new0 (KvLease, 1);
  guint64 id = ++kv->state.last_lease;

  lease->ttl_us
      = (guint64)json_integer_value (json_object_get (call->body, "ttlMs"))
        * TOU_US_PER_MS;
  lease->expires_us = tou_clock_us () + lease->ttl_us;
  g_hash_table_insert (kv->state.leases, g_memdup2 (&id, sizeof id), lease);
  kv_finish (call, 200, json_pack ("{s:I}", "lease", (json_int_t)id));
}

static gboolean
kv_collect_leased (gpointer key, gpointer value, gpointer data)
{
  gpointer *context = data;

  if (((KvItem *)value)->lease == *(guint64 *)context[0])
    g_ptr_array_add (context[1], g_strdup (key));
  return FALSE;
}

static void
kv_end_lease (KvStandin *kv, guint64 id)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  gpointer context[] = { &id, keys };

  g_tree_foreach (kv->state.items, kv_collect_leased, context);
  for (guint i = 0; i < keys->len; i++)
    {
      kv->state.revision++;
      kv_change (kv, g_ptr_array_index (keys, i), NULL, 0);
    }
  g_ptr_array_unref (keys);
  g_hash_table_remove (kv->state.leases, &id);
  kv_notify (kv);
}

static void
kv_answer_lease (KvCall *call)
{
  guint64 id = g_ascii_strtoull (strrchr (call->path, '/') + 1, NULL, 10);
  KvLease *lease = g_hash_table_lookup (call->kv->state.leases, &id);

  if (lease == NULL)
    kv_finish (call, 404, json_object ());
  else if (strcmp (call->method, "DELETE") == 0)
    {
      KvStandin *kv = call->kv;

      kv_finish (call, 200, json_object ());
      kv_end_lease (kv, id);
    }
  else
    {
      lease->expires_us = tou_clock_us () + lease->ttl_us;
      kv_finish (call, 200, json_object ());
    }
}

static void
kv_on_watch_end (uv_timer_t *timer)
{
  KvCall *call = timer->data;

  kv_finish (call, 200,
             json_pack ("{s:[],s:I}", "events", "at",
                        (json_int_t)call->kv->state.revision));
}

static void
kv_take_promotion (KvCall *call)
{
  char *body = json_dumps (call->body, JSON_COMPACT | JSON_SORT_KEYS);

  g_free (call->kv->promotion);
  call->kv->promotion = g_strdup_printf ("%s by %s", body, call->holder);
  free (body);
}

static void
kv_on_call (uv_timer_t *timer)
{
  KvCall *call = timer->data;

  if (g_hash_table_contains (call->kv->cut, call->node))
    kv_finish (call, 0, NULL);
  else if (strcmp (call->path, "/kv-range") == 0)
    kv_answer_list (call);
  else if (strcmp (call->path, "/kv-txn") == 0)
    kv_answer_txn (call);
  else if (strcmp (call->path, "/kv-lease") == 0)
    kv_answer_grant (call);
  else if (strcmp (call->path, "/promote") == 0)
    {
      kv_take_promotion (call);
      kv_finish (call, 200, json_object ());
    }
  else if (strcmp (call->path, "/kv-watch") != 0)
    kv_answer_lease (call);
  else if (!kv_answer_watch (call))
    {
      call->waiting = TRUE;
      uv_timer_start (&call->timer, kv_on_watch_end,
                      kv_query_number (call, "waitMs"), 0);
    }
}

static void
kv_on_lease_timer (uv_timer_t *timer)
{
  KvStandin *kv = timer->data;
  guint64 now_us = tou_clock_us ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  guint64 expired = 0;

  g_hash_table_iter_init (&iter, kv->state.leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (now_us >= ((KvLease *)value)->expires_us)
      expired = *(guint64 *)key;
  if (expired != 0)
    kv_end_lease (kv, expired);
}

KvStandin *
kv_create (uv_loop_t *loop)
{
  KvStandin *kv = g_new0 (KvStandin, 1);

  kv->loop = loop;
  kv->era = 1;
  kv_state_init (&kv->state);
  kv_state_init (&kv->copy);
  kv->state.revision = KV_FIRST_REVISION;
  kv->state.last_lease = KV_FIRST_LEASE;
  kv->events = g_array_new (FALSE, TRUE, sizeof (KvEvent));
  g_array_set_clear_func (kv->events, kv_event_clear);
  kv->calls = g_ptr_array_new ();
  kv->cut = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  kv->written = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (loop, &kv->lease_timer);
  kv->lease_timer.data = kv;
  uv_timer_start (&kv->lease_timer, kv_on_lease_timer, 0, KV_LEASE_CHECK_MS);
  kv_latest_store = kv;
  return kv;
}

static void
kv_on_destroyed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
kv_destroy (KvStandin *kv)
{
  while (kv->calls->len > 0)
    kv_finish (g_ptr_array_index (kv->calls, 0), 0, NULL);
  g_ptr_array_unref (kv->calls);
  g_array_unref (kv->events);
  kv_state_clear (&kv->state);
  kv_state_clear (&kv->copy);
  g_hash_table_destroy (kv->cut);
  g_hash_table_destroy (kv->written);
  g_free (kv->promotion);
  uv_close ((uv_handle_t *)&kv->lease_timer, kv_on_destroyed);
  kv_latest_store = NULL;
}

KvStandin *
kv_latest (void)
{
  return kv_latest_store;
}

void
kv_put (KvStandin *kv, const char *key, const char *value)
{
  char *text = g_base64_encode ((const guchar *)value, strlen (value));

  kv->state.revision++;
  kv_change (kv, key, text, 0);
  kv_notify (kv);
  g_free (text);
}

void
kv_remove (KvStandin *kv, const char *key)
{
  kv->state.revision++;
  kv_change (kv, key, NULL, 0);
  kv_notify (kv);
}

char *
kv_get (const KvStandin *kv, const char *key)
{
  const KvItem *item = g_tree_lookup (kv->state.items, key);
  guchar *bytes;
  char *value;
  gsize len;

  if (item == NULL)
    return NULL;
  bytes = g_base64_decode (item->value, &len);
  value = g_strndup ((const char *)bytes, len);
  g_free (bytes);
  return value;
}

guint64
kv_written_us (const KvStandin *kv, const char *key)
{
  const guint64 *written_us = g_hash_table_lookup (kv->written, key);

  return written_us != NULL ? *written_us : 0;
}

char *
kv_last_promotion (const KvStandin *kv)
{
  return g_strdup (kv->promotion);
}

guint64
kv_revision (const KvStandin *kv)
{
  return kv->state.revision;
}

void
kv_pass_revision (KvStandin *kv, guint64 revision)
{
  while (kv->state.revision <= revision)
    kv_put (kv, "op/unused", "");
}

/* Ends the calls of @a node, or all if it is NULL, without a response. */
static void
kv_drop_calls (KvStandin *kv, const char *node)
{
  GPtrArray *calls = g_ptr_array_copy (kv->calls, NULL, NULL);

  for (guint i = 0; i < calls->len; i++)
    {
      KvCall *call = g_ptr_array_index (calls, i);

      if (node == NULL || strcmp (call->node, node) == 0)
        kv_finish (call, 0, NULL);
    }
  g_ptr_array_unref (calls);
}

void
kv_cut (KvStandin *kv, const char *node, gboolean cut)
{
  if (!cut)
    {
      g_hash_table_remove (kv->cut, node);
      return;
    }
  g_hash_table_add (kv->cut, g_strdup (node));
  kv_drop_calls (kv, node);
}

void
kv_backup (KvStandin *kv)
{
  kv_state_copy (&kv->copy, &kv->state);
}

static gboolean
kv_collect_foreign (gpointer key, gpointer value, gpointer tree)
{
  if (g_str_has_prefix (key, "op/") || g_str_has_prefix (key, "servers/"))
    kv_copy_item (key, value, tree);
  return FALSE;
}

static gboolean
kv_write_again (gpointer key, gpointer value, gpointer data)
{
  KvStandin *kv = data;

  kv->state.revision++;
  kv_change (kv, key, ((KvItem *)value)->value, 0);
  return FALSE;
}

void
kv_restore (KvStandin *kv)
{
  GTree *foreign = g_tree_new_full (kv_compare, NULL, g_free, kv_item_free);

  g_tree_foreach (kv->state.items, kv_collect_foreign, foreign);
  kv_state_copy (&kv->state, &kv->copy);
  g_array_set_size (kv->events, kv->state.n_events);
  kv->era++;
  g_tree_foreach (foreign, kv_write_again, kv);
  g_tree_unref (foreign);
  kv_drop_calls (kv, NULL);
}

void
kv_call (KvStandin *kv, const PlatHttpCall *request, PlatHttpDone done,
         gpointer user_data)
{
  KvCall *call = g_new0 (KvCall, 1);
  GUri *uri = g_uri_parse (request->url, G_URI_FLAGS_NONE, NULL);

  g_assert_nonnull (uri);
  call->kv = kv;
  call->done = done;
  call->user_data = user_data;
  call->method = g_strdup (request->method);
  call->node = g_strdup (g_uri_get_host (uri));
  call->path = g_strdup (g_uri_get_path (uri));
  call->query = g_uri_parse_params (
      g_uri_get_query (uri) != NULL ? g_uri_get_query (uri) : "", -1, "&",
      G_URI_PARAMS_NONE, NULL);
  call->body
      = request->body != NULL ? json_loads (request->body, 0, NULL) : NULL;
  for (const char *const *header = request->headers;
       header != NULL && *header != NULL; header++)
    if (g_str_has_prefix (*header, KV_HOLDER_HEADER))
      call->holder = g_strdup (*header + strlen (KV_HOLDER_HEADER));
  g_uri_unref (uri);
  uv_timer_init (kv->loop, &call->timer);
  call->timer.data = call;
  g_ptr_array_add (call->kv->calls, call);
  uv_timer_start (&call->timer, kv_on_call, KV_CALL_MS, 0);
}
