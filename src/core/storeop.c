#include "storeop.h"

#include <string.h>

/* Maximum writes per compare-and-swap: the first, and a second one after a
 * read-back that found the key unchanged. If the first write is only delayed,
 * the second one resolves it, because at most one of them can succeed. */
#define TOU_CAS_MAX_WRITES 2

/** A compare-and-swap in progress. */
typedef struct
{
  TouStoreOps *ops;
  char *key;
  TouStr value;
  guint64 expected_revision;
  guint64 lease;
  char *marker;
  TouCasFunc func;
  gpointer user_data;
  GDestroyNotify destroy; /**< of user_data; may be NULL */
  guint writes;
  gboolean maybe_written; /**< a write may have taken effect */
} StoreCas;

/** A pending call. */
typedef struct
{
  guint64 id;
  guint64 deadline_us;
  TouStoreOp op;
  TouStoreFunc func;
  gpointer user_data;
  gpointer owner;         /**< user_data for tou_store_ops_cancel () */
  GDestroyNotify destroy; /**< of user_data, if the call gets no result */
  StoreCas *cas;          /**< compare-and-swap of the call (owned), or NULL */
} StoreCall;

struct TouStoreOps
{
  TouContext *ctx;
  GHashTable *calls; /**< id in the value -> StoreCall */
  gboolean up;
};

static void
storeop_cas_free (StoreCas *cas)
{
  if (cas == NULL)
    return;
  if (cas->destroy != NULL)
    cas->destroy (cas->user_data);
  tou_str_clear (&cas->value);
  g_free (cas->key);
  g_free (cas->marker);
  g_free (cas);
}

static void
storeop_call_free (gpointer data)
{
  StoreCall *call = data;

  storeop_cas_free (call->cas);
  if (call->destroy != NULL)
    call->destroy (call->user_data);
  g_free (call);
}

int
tou_store_ops_create (TouStoreOps **out, TouContext *ctx)
{
  TouStoreOps *ops = g_new0 (TouStoreOps, 1);

  ops->ctx = ctx;
  ops->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      storeop_call_free);
  ops->up = TRUE;
  *out = ops;
  return TOU_OK;
}

void
tou_store_ops_destroy (TouStoreOps *ops)
{
  if (ops == NULL)
    return;
  g_hash_table_destroy (ops->calls);
  g_free (ops);
}

static StoreCall *
storeop_emit (TouStoreOps *ops, TouStoreCall *request)
{
  StoreCall *call = g_new0 (StoreCall, 1);
  TouAction *action = tou_action_list_add (ops->ctx->actions, TOU_ACTION_STORE);

  call->id = tou_context_next_id (ops->ctx);
  call->op = request->op;
  call->deadline_us = ops->ctx->now_us + ops->ctx->settings.store_timeout_us;
  action->u.store = *request;
  action->u.store.id = call->id;
  *request = (TouStoreCall){ 0 };
  g_hash_table_insert (ops->calls, &call->id, call);
  TOU_COUNT (ops->ctx, STORE_CALLS);
  return call;
}

guint64
tou_store_ops_call_owned (TouStoreOps *ops, TouStoreCall *request,
                          TouStoreFunc func, gpointer user_data,
                          GDestroyNotify destroy)
{
  StoreCall *call = storeop_emit (ops, request);

  call->func = func;
  call->user_data = user_data;
  call->owner = user_data;
  call->destroy = destroy;
  return call->id;
}

guint64
tou_store_ops_call (TouStoreOps *ops, TouStoreCall *request, TouStoreFunc func,
                    gpointer user_data)
{
  return tou_store_ops_call_owned (ops, request, func, user_data, NULL);
}

static void
storeop_cas_send (StoreCas *cas, TouStoreOp op)
{
  TouStoreCall request = { .op = op };
  StoreCall *call;

  tou_str_init_c (&request.key, cas->key);
  if (op == TOU_STORE_CAS)
    {
      tou_str_copy (&request.value, &cas->value);
      request.expected_revision = cas->expected_revision;
      request.lease = cas->lease;
      cas->writes++;
    }
  call = storeop_emit (cas->ops, &request);
  call->cas = cas;
  call->owner = cas->user_data;
}

static void
storeop_cas_end (StoreCas *cas, TouCasOutcome outcome, guint64 revision,
                 const TouStr *current)
{
  cas->func (cas->user_data, outcome, revision, current);
  storeop_cas_free (cas);
}

/* Derives the outcome from the value that is in the store now. */
static void
storeop_cas_resolve (StoreCas *cas, const TouStoreResult *result)
{
  const TouEntry *entry
      = result->entries.count > 0 ? &result->entries.items[0] : NULL;
  guint64 revision = entry != NULL ? entry->revision : 0;

  if (entry != NULL && entry->value.data != NULL
      && g_strstr_len (entry->value.data, (gssize)entry->value.len, cas->marker)
             != NULL)
    storeop_cas_end (cas, TOU_CAS_WRITTEN, revision, NULL);
  else if (result->op == TOU_STORE_GET && revision == cas->expected_revision
           && cas->writes < TOU_CAS_MAX_WRITES)
    storeop_cas_send (cas, TOU_STORE_CAS);
  else if (result->op == TOU_STORE_GET && revision == cas->expected_revision)
    storeop_cas_end (cas, TOU_CAS_UNKNOWN, revision, NULL);
  else
    /* After a lost reply the value may have been written and then replaced, so
     * a different value in the store does not prove a conflict. */
    storeop_cas_end (cas,
                     cas->maybe_written ? TOU_CAS_UNKNOWN : TOU_CAS_CONFLICT,
                     revision, entry != NULL ? &entry->value : NULL);
}

static void
storeop_cas_on_error (StoreCas *cas, const TouStoreResult *result)
{
  if (result->op == TOU_STORE_CAS && result->status == TOU_STORE_UNKNOWN)
    {
      cas->maybe_written = TRUE;
      TOU_COUNT (cas->ops->ctx, STORE_READBACKS);
      storeop_cas_send (cas, TOU_STORE_GET);
    }
  else
    storeop_cas_end (cas, cas->maybe_written ? TOU_CAS_UNKNOWN : TOU_CAS_FAILED,
                     0, NULL);
}

static void
storeop_cas_on_result (StoreCas *cas, const TouStoreResult *result)
{
  if (result->status != TOU_STORE_OK)
    storeop_cas_on_error (cas, result);
  else if (result->op == TOU_STORE_CAS && result->succeeded)
    storeop_cas_end (cas, TOU_CAS_WRITTEN, result->revision, NULL);
  else
    storeop_cas_resolve (cas, result);
}

void
tou_store_ops_cas_owned (TouStoreOps *ops, const char *key, const TouStr *value,
                         guint64 expected_revision, guint64 lease,
                         const char *marker, TouCasFunc func,
                         gpointer user_data, GDestroyNotify destroy)
{
  StoreCas *cas = g_new0 (StoreCas, 1);

  cas->ops = ops;
  cas->key = g_strdup (key);
  tou_str_copy (&cas->value, value);
  cas->expected_revision = expected_revision;
  cas->lease = lease;
  cas->marker = g_strdup (marker);
  cas->func = func;
  cas->user_data = user_data;
  cas->destroy = destroy;
  storeop_cas_send (cas, TOU_STORE_CAS);
}

void
tou_store_ops_cas (TouStoreOps *ops, const char *key, const TouStr *value,
                   guint64 expected_revision, guint64 lease, const char *marker,
                   TouCasFunc func, gpointer user_data)
{
  tou_store_ops_cas_owned (ops, key, value, expected_revision, lease, marker,
                           func, user_data, NULL);
}

static gboolean
storeop_is_owned_by (gpointer key, gpointer value, gpointer user_data)
{
  (void)key;
  return ((StoreCall *)value)->owner == user_data;
}

void
tou_store_ops_cancel (TouStoreOps *ops, gpointer user_data)
{
  g_hash_table_foreach_remove (ops->calls, storeop_is_owned_by, user_data);
}

/* Removes the call first, because its callback may start or cancel calls. */
static void
storeop_finish (TouStoreOps *ops, StoreCall *call, const TouStoreResult *result)
{
  g_hash_table_steal (ops->calls, &call->id);
  ops->up
      = result->status == TOU_STORE_OK || result->status == TOU_STORE_COMPACTED;
  if (call->cas != NULL)
    storeop_cas_on_result (call->cas, result);
  else
    call->func (call->user_data, result);
  g_free (call);
}

void
tou_store_ops_on_result (TouStoreOps *ops, const TouStoreResult *result)
{
  StoreCall *call = g_hash_table_lookup (ops->calls, &result->id);

  if (call == NULL)
    TOU_COUNT (ops->ctx, LATE_REPLIES);
  else
    storeop_finish (ops, call, result);
}

static StoreCall *
storeop_find_expired (const TouStoreOps *ops)
{
  GHashTableIter iter;
  gpointer value;
  StoreCall *first = NULL;

  g_hash_table_iter_init (&iter, ops->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      StoreCall *call = value;

      /* Lowest id first, so that runs do not depend on the hash order. */
      if (call->deadline_us <= ops->ctx->now_us
          && (first == NULL || call->id < first->id))
        first = call;
    }
  return first;
}

void
tou_store_ops_on_tick (TouStoreOps *ops)
{
  StoreCall *call = storeop_find_expired (ops);

  while (call != NULL)
    {
      TouStoreResult result
          = { .id = call->id, .op = call->op, .status = TOU_STORE_UNKNOWN };

      storeop_finish (ops, call, &result);
      call = storeop_find_expired (ops);
    }
}

gboolean
tou_store_ops_is_up (const TouStoreOps *ops)
{
  return ops->up;
}
