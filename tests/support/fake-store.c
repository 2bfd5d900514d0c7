/* Fake of the platform's key-value store and VM list: compare-and-swap, leases,
 * watches, and the faults down, stall and lost replies.
 */
#include "harness.h"

#include <string.h>

/* Duration of a call in the store, in microseconds. */
#define STORE_SERVICE_US (2 * TOU_US_PER_MS)
/* Time after which the store client reports a missing reply as UNKNOWN. */
#define STORE_CLIENT_TIMEOUT_US TOU_US_PER_S
/* Delay of changes in the VM list, in microseconds. */
#define VM_LIST_LAG_US TOU_US_PER_S

typedef struct
{
  TouStr value;
  guint64 revision;
  guint64 lease;
} StoredValue;

typedef struct
{
  Proxy *proxy;
  guint64 generation;
  guint64 id;
  char *prefix;
} Watch;

typedef struct
{
  guint64 id;
  guint64 ttl_us;
  guint64 expires_us;
} Lease;

struct FakeStore
{
  Harness *harness;
  StoreMode mode;
  guint64 revision;
  guint64 calls;
  guint64 next_lease;
  GTree *values; /* key -> StoredValue */
  GPtrArray *watches;
  GArray *leases;
  GArray *leaving; /* TouName */
  guint64 leaving_since_us;
};

typedef struct
{
  FakeStore *store;
  Proxy *proxy;
  guint64 generation;
  TouStoreCall call;
} PendingCall;

static void
stored_value_free (gpointer data)
{
  tou_str_clear (&((StoredValue *)data)->value);
  g_free (data);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user_data)
{
  (void)user_data;
  return strcmp (a, b);
}

static void
watch_free (gpointer data)
{
  g_free (((Watch *)data)->prefix);
  g_free (data);
}

FakeStore *
fake_store_create (Harness *harness)
{
  FakeStore *store = g_new0 (FakeStore, 1);

  store->harness = harness;
  store->revision = 1;
  store->values
      = g_tree_new_full (compare_keys, NULL, g_free, stored_value_free);
  store->watches = g_ptr_array_new_with_free_func (watch_free);
  store->leases = g_array_new (FALSE, FALSE, sizeof (Lease));
  store->leaving = g_array_new (FALSE, FALSE, sizeof (TouName));
  return store;
}

void
fake_store_destroy (FakeStore *store)
{
  g_tree_unref (store->values);
  g_ptr_array_free (store->watches, TRUE);
  g_array_free (store->leases, TRUE);
  g_array_free (store->leaving, TRUE);
  g_free (store);
}

static void
notify_watches (FakeStore *store, const char *key, const StoredValue *value)
{
  for (guint i = 0; i < store->watches->len; i++)
    {
      const Watch *watch = store->watches->pdata[i];
      TouEvent event = { .type = TOU_EVENT_STORE };

      if (!g_str_has_prefix (key, watch->prefix)
          || watch->generation != watch->proxy->generation
          || store->mode == STORE_DOWN || store->mode == STORE_STALL)
        continue;
      event.u.store.id = watch->id;
      event.u.store.op = TOU_STORE_WATCH;
      event.u.store.revision = value->revision;
      tou_entry_list_add (&event.u.store.entries, key, strlen (key),
                          value->value.data, value->value.len, value->revision);
      harness_post (store->harness, watch->proxy, STORE_SERVICE_US, &event);
    }
}

static void
store_put (FakeStore *store, const char *key, const TouStr *text, guint64 lease)
{
  StoredValue *value = g_new0 (StoredValue, 1);

  tou_str_copy (&value->value, text);
  value->revision = ++store->revision;
  value->lease = lease;
  g_tree_replace (store->values, g_strdup (key), value);
  notify_watches (store, key, value);
}

void
fake_store_seed (FakeStore *store, const char *key, const char *value)
{
  TouStr text;

  tou_str_init_c (&text, value);
  store_put (store, key, &text, 0);
  tou_str_clear (&text);
}

typedef struct
{
  const char *prefix;
  guint64 after;
  TouEntryList *entries;
} RangeQuery;

static gboolean
collect_range (gpointer key, gpointer data, gpointer user_data)
{
  const StoredValue *value = data;
  RangeQuery *query = user_data;

  if (g_str_has_prefix (key, query->prefix) && value->revision > query->after)
    tou_entry_list_add (query->entries, key, strlen (key), value->value.data,
                        value->value.len, value->revision);
  return FALSE;
}

static Lease *
find_lease (FakeStore *store, guint64 id)
{
  for (guint i = 0; i < store->leases->len; i++)
    {
      Lease *lease = &g_array_index (store->leases, Lease, i);

      if (lease->id == id && lease->expires_us > store->harness->now_us)
        return lease;
    }
  return NULL;
}

static gboolean
collect_expired (gpointer key, gpointer data, gpointer user_data)
{
  const StoredValue *value = data;
  gpointer *context = user_data;

  if (value->lease != 0 && find_lease (context[0], value->lease) == NULL)
    g_ptr_array_add (context[1], key);
  return FALSE;
}

/* Removes the keys of expired leases; runs before each call is handled. */
static void
expire_leases (FakeStore *store)
{
  GPtrArray *expired = g_ptr_array_new ();
  gpointer context[2] = { store, expired };

  g_tree_foreach (store->values, collect_expired, context);
  for (guint i = 0; i < expired->len; i++)
    g_tree_remove (store->values, expired->pdata[i]);
  if (expired->len > 0)
    store->revision++;
  g_ptr_array_free (expired, TRUE);
}

static void
handle_cas (FakeStore *store, const TouStoreCall *call, TouStoreResult *result)
{
  const StoredValue *value = g_tree_lookup (store->values, call->key.data);
  guint64 revision = value != NULL ? value->revision : 0;

  result->succeeded = revision == call->expected_revision;
  if (result->succeeded)
    store_put (store, call->key.data, &call->value, call->lease);
  else if (value != NULL)
    tou_entry_list_add (&result->entries, call->key.data, call->key.len,
                        value->value.data, value->value.len, value->revision);
}

static void
handle_call (FakeStore *store, Proxy *proxy, const TouStoreCall *call,
             TouStoreResult *result)
{
  const StoredValue *value;
  RangeQuery query = { call->key.data, call->after_revision, &result->entries };
  Lease *lease;

  expire_leases (store);
  switch (call->op)
    {
    case TOU_STORE_RANGE:
      query.after = 0;
      g_tree_foreach (store->values, collect_range, &query);
      break;
    case TOU_STORE_WATCH:
      {
        Watch *watch = g_new (Watch, 1);

        *watch = (Watch){ proxy, proxy->generation, call->id,
                          g_strdup (call->key.data) };
        g_ptr_array_add (store->watches, watch);
        g_tree_foreach (store->values, collect_range, &query);
        break;
      }
    case TOU_STORE_WATCH_CANCEL:
      for (guint i = store->watches->len; i > 0; i--)
        if (((Watch *)store->watches->pdata[i - 1])->id == call->id
            && ((Watch *)store->watches->pdata[i - 1])->proxy == proxy)
          g_ptr_array_remove_index (store->watches, i - 1);
      break;
    case TOU_STORE_GET:
      value = g_tree_lookup (store->values, call->key.data);
      if (value != NULL)
        tou_entry_list_add (&result->entries, call->key.data, call->key.len,
                            value->value.data, value->value.len,
                            value->revision);
      break;
    case TOU_STORE_CAS:
      handle_cas (store, call, result);
      break;
    case TOU_STORE_LEASE_GRANT:
      {
        Lease granted = { ++store->next_lease, call->ttl_us,
                          store->harness->now_us + call->ttl_us };

        g_array_append_val (store->leases, granted);
        result->lease = granted.id;
        result->ttl_us = granted.ttl_us;
        break;
      }
    case TOU_STORE_LEASE_KEEPALIVE:
      lease = find_lease (store, call->lease);
      if (lease != NULL)
        lease->expires_us = store->harness->now_us + lease->ttl_us;
      result->lease = call->lease;
      result->ttl_us = lease != NULL ? lease->ttl_us : 0;
      break;
    }
  result->revision = store->revision;
}

static void
pending_free (PendingCall *pending)
{
  tou_store_call_clear (&pending->call);
  g_free (pending);
}

static void
post_result (PendingCall *pending, TouStoreStatus status, guint64 delay_us,
             TouEvent *event)
{
  event->u.store.id = pending->call.id;
  event->u.store.op = pending->call.op;
  event->u.store.status = status;
  if (pending->generation == pending->proxy->generation)
    harness_post (pending->store->harness, pending->proxy, delay_us, event);
  else
    tou_event_clear (event);
}

static void
call_arrive (Harness *harness, gpointer data)
{
  PendingCall *pending = data;
  FakeStore *store = pending->store;
  TouEvent event = { .type = TOU_EVENT_STORE };

  if (harness->closing)
    {
      pending_free (pending);
      return;
    }
  if (harness_is_cut (harness, pending->proxy->index,
                      harness_store_entity (harness)))
    post_result (pending, TOU_STORE_UNKNOWN, STORE_CLIENT_TIMEOUT_US, &event);
  else
    switch (store->mode)
      {
      case STORE_UP:
        handle_call (store, pending->proxy, &pending->call, &event.u.store);
        post_result (pending, TOU_STORE_OK, STORE_SERVICE_US, &event);
        break;
      case STORE_DOWN:
        post_result (pending, TOU_STORE_FAILED, 0, &event);
        break;
      case STORE_STALL:
        post_result (pending, TOU_STORE_UNKNOWN, STORE_CLIENT_TIMEOUT_US,
                     &event);
        break;
      case STORE_LOSE_REPLIES:
        handle_call (store, pending->proxy, &pending->call, &event.u.store);
        if (pending->call.op == TOU_STORE_CAS)
          {
            tou_store_result_clear (&event.u.store);
            memset (&event.u.store, 0, sizeof event.u.store);
            post_result (pending, TOU_STORE_UNKNOWN, STORE_SERVICE_US, &event);
          }
        else
          post_result (pending, TOU_STORE_OK, STORE_SERVICE_US, &event);
        break;
      }
  pending_free (pending);
}

void
fake_store_call (FakeStore *store, Proxy *proxy, const TouStoreCall *call)
{
  PendingCall *pending = g_new0 (PendingCall, 1);

  store->calls++;
  pending->store = store;
  pending->proxy = proxy;
  pending->generation = proxy->generation;
  pending->call = *call;
  tou_str_copy (&pending->call.key, &call->key);
  tou_str_copy (&pending->call.value, &call->value);
  harness_schedule (
      store->harness,
      store->harness->now_us
          + harness_latency_us (store->harness, proxy->index,
                                harness_store_entity (store->harness)),
      call_arrive, pending);
}

void
fake_store_on_proxy_exit (FakeStore *store, const Proxy *proxy)
{
  for (guint i = store->watches->len; i > 0; i--)
    if (((Watch *)store->watches->pdata[i - 1])->proxy == proxy)
      g_ptr_array_remove_index (store->watches, i - 1);
}

/* Ends all watches if the store goes down or stalls; the proxies receive the
 * error after the store client's timeout. */
void
fake_store_set_mode (FakeStore *store, StoreMode mode)
{
  store->mode = mode;
  if (mode != STORE_DOWN && mode != STORE_STALL)
    return;
  for (guint i = store->watches->len; i > 0; i--)
    {
      const Watch *watch = store->watches->pdata[i - 1];
      TouEvent event = { .type = TOU_EVENT_STORE };

      event.u.store.id = watch->id;
      event.u.store.op = TOU_STORE_WATCH;
      event.u.store.status = TOU_STORE_UNKNOWN;
      harness_post (store->harness, watch->proxy, STORE_CLIENT_TIMEOUT_US,
                    &event);
      g_ptr_array_remove_index (store->watches, i - 1);
    }
}

guint64
fake_store_calls (const FakeStore *store)
{
  return store->calls;
}

void
fake_store_mark_leaving (FakeStore *store, const TouName *name)
{
  g_array_append_val (store->leaving, *name);
  store->leaving_since_us = store->harness->now_us;
}

static TouVmState
vm_state (const FakeStore *store, const TouName *name)
{
  if (store->harness->now_us < store->leaving_since_us + VM_LIST_LAG_US)
    return TOU_VM_LIVE;
  for (guint i = 0; i < store->leaving->len; i++)
    if (tou_name_equal (&g_array_index (store->leaving, TouName, i), name))
      return TOU_VM_LEAVING;
  return TOU_VM_LIVE;
}

void
fake_store_vm_list (FakeStore *store, Proxy *proxy)
{
  Harness *harness = store->harness;
  TouEvent event = { .type = TOU_EVENT_VM_LIST };
  TouVm *vms
      = g_new0 (TouVm, harness->options.n_proxies + harness->n_databases);
  guint count = 0;

  for (guint i = 0; i < harness->options.n_proxies; i++)
    vms[count++].name = harness->proxies[i].name;
  for (guint i = 0; i < harness->n_databases; i++)
    vms[count++].name = harness_endpoint_name (i);
  for (guint i = 0; i < count; i++)
    {
      vms[i].address = vms[i].name;
      vms[i].state = vm_state (store, &vms[i].name);
    }
  event.u.vm_list.ok = TRUE;
  event.u.vm_list.vms = vms;
  event.u.vm_list.count = count;
  harness_post (harness, proxy, STORE_SERVICE_US, &event);
}
