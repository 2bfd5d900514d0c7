#include "feed-private.h"

#include "member.h"
#include "storeop.h"

#include <string.h>
#include <xxhash.h>

/* Ping intervals before a starting proxy may try to become a watcher: it must
 * first learn the members with a higher score. */
#define TOU_WATCHER_SETTLE_PINGS 3
/* Wait before a failed range read or watch is repeated. */
#define TOU_WATCHER_RETRY_US (500 * TOU_US_PER_MS)
/* Consecutive keep-alives with a newer store revision than the watch delivered
 * after which the watch is considered failed and restarted. */
#define TOU_WATCHER_STALE_RENEWALS 3
/* Poll interval of the VM list for a proxy that has no peer and is not a
 * watcher. */
#define TOU_WATCHER_SEED_POLL_US (2 * TOU_US_PER_S)
/* Timeout of a poll of the VM list. */
#define TOU_WATCHER_POLL_TIMEOUT_US (2 * TOU_US_PER_S)

typedef enum
{
  WATCHER_IDLE,
  WATCHER_CHECKING,  /**< reading the slot's key */
  WATCHER_GRANTING,  /**< requesting a lease */
  WATCHER_ACQUIRING, /**< writing the slot's key */
  WATCHER_ACTIVE
} WatcherState;

struct TouWatcher
{
  TouContext *ctx;
  TouFeed *feed;
  WatcherState state;
  guint slot;
  guint64 lease;
  guint64 lease_until_us; /**< by this proxy's clock */
  guint64 next_renew_us;  /**< when to send the next keep-alive */
  guint64 renew_sent_us;  /**< when the last keep-alive was sent */
  guint64 next_attempt_us;

  gboolean reading;         /**< a range read is in flight */
  gboolean has_range;       /**< a range was read and not compacted since */
  guint64 watch_id;         /**< 0: no watch */
  guint64 watched_revision; /**< last store revision received */
  guint64 next_sync_us;
  guint stale_renewals;

  gboolean polling; /**< a poll of the VM list is in flight */
  guint64 polled_us;
};

int
tou_watcher_create (TouWatcher **out, TouFeed *feed)
{
  TouWatcher *watcher = g_new0 (TouWatcher, 1);

  watcher->ctx = feed->ctx;
  watcher->feed = feed;
  watcher->next_attempt_us
      = feed->ctx->now_us
        + TOU_WATCHER_SETTLE_PINGS * feed->ctx->settings.ping_interval_us;
  *out = watcher;
  return TOU_OK;
}

void
tou_watcher_destroy (TouWatcher *watcher)
{
  g_free (watcher);
}

gboolean
tou_watcher_is_active (const TouWatcher *watcher)
{
  return watcher->state == WATCHER_ACTIVE;
}

static guint64
watcher_score (guint64 name_hash, const TouName *region)
{
  return XXH3_64bits_withSeed (region->data, region->len, name_hash);
}

/* TRUE if this proxy is one of the watchers_per_region live proxies of its
 * region with the highest rendezvous hash. Limits the number of proxies that
 * call the store. */
static gboolean
watcher_is_eligible (const TouWatcher *watcher)
{
  const TouCoreSettings *settings = &watcher->ctx->settings;
  const TouMember *member = watcher->ctx->member;
  guint64 own_score = watcher_score (
      XXH3_64bits (settings->node.data, settings->node.len), &settings->region);
  gboolean live = FALSE;
  guint before = 0;

  for (guint i = 0; i < tou_member_count (member); i++)
    {
      guint64 hash;
      const TouMemberUpdate *other = tou_member_live_at (member, i, &hash);

      if (other == NULL || !tou_name_equal (&other->region, &settings->region))
        continue;
      if (tou_name_equal (&other->name, &settings->node))
        live = TRUE;
      else if (watcher_score (hash, &settings->region) > own_score)
        before++;
    }
  return live && before < settings->watchers_per_region;
}

static void
watcher_key (const TouWatcher *watcher, TouStr *out)
{
  tou_str_printf (out, TOU_STORE_PREFIX "watchers/%s/%u",
                  watcher->ctx->settings.region.data, watcher->slot);
}

/* Schedules the next attempt after half the lease time, with jitter so that
 * proxies do not attempt it simultaneously. */
static void
watcher_schedule_attempt (TouWatcher *watcher)
{
  guint64 half_us = watcher->ctx->settings.watcher_lease_us / 2;

  watcher->state = WATCHER_IDLE;
  watcher->next_attempt_us
      = watcher->ctx->now_us + half_us
        + tou_random_below (&watcher->ctx->random, half_us / 4 + 1);
}

static void
watcher_cancel_watch (TouWatcher *watcher)
{
  TouAction *action;

  if (watcher->watch_id == 0)
    return;
  action = tou_action_list_add (watcher->ctx->actions, TOU_ACTION_STORE);
  action->u.store.op = TOU_STORE_WATCH_CANCEL;
  action->u.store.id = watcher->watch_id;
  watcher->watch_id = 0;
}

static void
watcher_on_lease_lost (TouWatcher *watcher)
{
  tou_context_log (watcher->ctx, G_LOG_LEVEL_MESSAGE, TOU_OK,
                   "lost watcher lease %u", watcher->slot);
  tou_store_ops_cancel (watcher->ctx->store_ops, watcher);
  watcher_cancel_watch (watcher);
  watcher->reading = FALSE;
  watcher_schedule_attempt (watcher);
}

static void
watcher_on_acquired (gpointer user_data, TouCasOutcome outcome,
                     guint64 revision, const TouStr *current)
{
  TouWatcher *watcher = user_data;

  (void)revision;
  (void)current;
  if (outcome != TOU_CAS_WRITTEN)
    {
      watcher->slot++;
      watcher_schedule_attempt (watcher);
      return;
    }
  watcher->state = WATCHER_ACTIVE;
  watcher->next_renew_us = watcher->ctx->now_us;
  watcher->next_sync_us = watcher->ctx->now_us;
  watcher->stale_renewals = 0;
  tou_context_log (watcher->ctx, G_LOG_LEVEL_MESSAGE, TOU_OK,
                   "acquired watcher lease %u", watcher->slot);
}

static void
watcher_on_granted (gpointer user_data, const TouStoreResult *result)
{
  TouWatcher *watcher = user_data;
  TouStr key;
  TouStr value;

  if (result->status != TOU_STORE_OK || result->lease == 0)
    {
      watcher_schedule_attempt (watcher);
      return;
    }
  watcher->state = WATCHER_ACQUIRING;
  watcher->lease = result->lease;
  watcher_key (watcher, &key);
  /* The lease id makes the value unique to this attempt. */
  tou_str_printf (&value, "{\"node\":\"%s\",\"lease\":%" G_GUINT64_FORMAT "}",
                  watcher->ctx->settings.node.data, result->lease);
  tou_store_ops_cas (watcher->ctx->store_ops, key.data, &value, 0,
                     result->lease, value.data, watcher_on_acquired, watcher);
  tou_str_clear (&key);
  tou_str_clear (&value);
}

static void
watcher_request_lease (TouWatcher *watcher)
{
  TouStoreCall call = { .op = TOU_STORE_LEASE_GRANT };

  call.ttl_us = watcher->ctx->settings.watcher_lease_us;
  watcher->state = WATCHER_GRANTING;
  watcher->lease_until_us = watcher->ctx->now_us + call.ttl_us;
  tou_store_ops_call (watcher->ctx->store_ops, &call, watcher_on_granted,
                      watcher);
}

static void
watcher_on_slot_checked (gpointer user_data, const TouStoreResult *result)
{
  TouWatcher *watcher = user_data;

  if (result->status == TOU_STORE_OK && result->entries.count == 0)
    {
      watcher_request_lease (watcher);
      return;
    }
  if (result->status == TOU_STORE_OK)
    watcher->slot++;
  watcher_schedule_attempt (watcher);
}

/* Reads the slot before requesting a lease: a lease costs a write, which would
 * be wasted if the slot is taken. */
static void
watcher_check_slot (TouWatcher *watcher)
{
  TouStoreCall call = { .op = TOU_STORE_GET };

  watcher->slot %= watcher->ctx->settings.watchers_per_region;
  watcher->state = WATCHER_CHECKING;
  watcher_key (watcher, &call.key);
  tou_store_ops_call (watcher->ctx->store_ops, &call, watcher_on_slot_checked,
                      watcher);
}

/* Cancels a watch that delivers no changes while the store's revision advances,
 * so that the next sync restarts it. */
static void
watcher_check_watch (TouWatcher *watcher, guint64 revision)
{
  if (watcher->watch_id == 0 || revision <= watcher->watched_revision)
    {
      watcher->stale_renewals = 0;
      return;
    }
  if (++watcher->stale_renewals < TOU_WATCHER_STALE_RENEWALS)
    return;
  watcher->stale_renewals = 0;
  watcher_cancel_watch (watcher);
  watcher->next_sync_us = watcher->ctx->now_us;
}

static void
watcher_on_renewed (gpointer user_data, const TouStoreResult *result)
{
  TouWatcher *watcher = user_data;

  if (result->status != TOU_STORE_OK)
    return;
  if (result->ttl_us == 0)
    {
      watcher_on_lease_lost (watcher);
      return;
    }
  watcher->lease_until_us = watcher->renew_sent_us + result->ttl_us;
  watcher_check_watch (watcher, result->revision);
}

static void
watcher_renew (TouWatcher *watcher)
{
  TouStoreCall call = { .op = TOU_STORE_LEASE_KEEPALIVE };
  guint64 now_us = watcher->ctx->now_us;

  call.lease = watcher->lease;
  watcher->renew_sent_us = now_us;
  watcher->next_renew_us = now_us + watcher->ctx->settings.watcher_lease_us / 3;
  tou_store_ops_call (watcher->ctx->store_ops, &call, watcher_on_renewed,
                      watcher);
}

/* Appends copies of the entries, without the store's key prefix, to @a out. */
static void
watcher_strip_prefix (const TouEntryList *entries, TouEntryList *out)
{
  const gsize prefix_len = strlen (TOU_STORE_PREFIX);

  for (guint i = 0; i < entries->count; i++)
    {
      const TouEntry *entry = &entries->items[i];
      TouEntry copy;

      if (entry->key.data == NULL
          || !g_str_has_prefix (entry->key.data, TOU_STORE_PREFIX))
        continue;
      tou_entry_copy (&copy, entry);
      out->items = g_renew (TouEntry, out->items, out->count + 1);
      tou_str_clear (&copy.key);
      tou_str_init (&copy.key, entry->key.data + prefix_len,
                    entry->key.len - prefix_len);
      out->items[out->count++] = copy;
    }
}

static void
watcher_on_range (gpointer user_data, const TouStoreResult *result)
{
  TouWatcher *watcher = user_data;
  guint64 before = watcher->feed->revision;
  TouEntryList list = { 0 };

  watcher->reading = FALSE;
  if (result->status != TOU_STORE_OK)
    {
      watcher->next_sync_us = watcher->ctx->now_us + TOU_WATCHER_RETRY_US;
      return;
    }
  watcher_strip_prefix (&result->entries, &list);
  if (tou_feed_apply (watcher->feed, 0, result->revision, &list))
    tou_feed_forward_after (watcher->feed, before);
  tou_entry_list_clear (&list);
  watcher->feed->store_range_read = TRUE;
  watcher->has_range = TRUE;
  watcher->watched_revision = result->revision;
  watcher->next_sync_us = watcher->ctx->now_us;
}

static void
watcher_read_range (TouWatcher *watcher)
{
  TouStoreCall call = { .op = TOU_STORE_RANGE };

  watcher->reading = TRUE;
  tou_str_init_c (&call.key, TOU_STORE_PREFIX);
  tou_store_ops_call (watcher->ctx->store_ops, &call, watcher_on_range,
                      watcher);
}

static void
watcher_start_watch (TouWatcher *watcher)
{
  TouAction *action
      = tou_action_list_add (watcher->ctx->actions, TOU_ACTION_STORE);
  TouStoreCall *call = &action->u.store;

  watcher->watch_id = tou_context_next_id (watcher->ctx);
  call->id = watcher->watch_id;
  call->op = TOU_STORE_WATCH;
  call->after_revision = watcher->watched_revision;
  tou_str_init_c (&call->key, TOU_STORE_PREFIX);
  TOU_COUNT (watcher->ctx, STORE_CALLS);
}

static void
watcher_on_batch (TouWatcher *watcher, const TouEntryList *entries)
{
  guint64 from = watcher->watched_revision;
  TouEntryList list = { 0 };

  /* Uses the revisions of delivered changes only: the answer that confirms the
   * watch has the store's current revision, but older changes follow it. */
  for (guint i = 0; i < entries->count; i++)
    watcher->watched_revision
        = MAX (watcher->watched_revision, entries->items[i].revision);
  watcher_strip_prefix (entries, &list);
  if (tou_feed_apply (watcher->feed, from, watcher->watched_revision, &list))
    tou_feed_forward (watcher->feed, from, watcher->watched_revision, &list);
  tou_entry_list_clear (&list);
}

gboolean
tou_watcher_on_store (TouWatcher *watcher, const TouStoreResult *result)
{
  if (watcher->watch_id == 0 || result->id != watcher->watch_id)
    return FALSE;
  switch (result->status)
    {
    case TOU_STORE_OK:
      watcher_on_batch (watcher, &result->entries);
      break;
    case TOU_STORE_COMPACTED:
      watcher->watch_id = 0;
      watcher->has_range = FALSE;
      break;
    case TOU_STORE_FAILED:
    case TOU_STORE_UNKNOWN:
      watcher->watch_id = 0;
      watcher->next_sync_us = watcher->ctx->now_us + TOU_WATCHER_RETRY_US;
      break;
    }
  return TRUE;
}

static void
watcher_tick_active (TouWatcher *watcher)
{
  guint64 now_us = watcher->ctx->now_us;

  if (now_us >= watcher->lease_until_us)
    {
      watcher_on_lease_lost (watcher);
      return;
    }
  if (now_us >= watcher->next_renew_us)
    watcher_renew (watcher);
  if (watcher->watch_id != 0 || watcher->reading
      || now_us < watcher->next_sync_us)
    return;
  if (watcher->has_range)
    watcher_start_watch (watcher);
  else
    watcher_read_range (watcher);
}

/* Watchers poll the VM list; so does a proxy without peers, to find seeds. */
static void
watcher_poll_vms (TouWatcher *watcher)
{
  guint64 now_us = watcher->ctx->now_us;
  guint64 interval_us = watcher->ctx->settings.vm_list_interval_us;
  TouName other;

  if (!tou_watcher_is_active (watcher))
    interval_us = TOU_WATCHER_SEED_POLL_US;
  if (watcher->polling)
    interval_us = MAX (interval_us, TOU_WATCHER_POLL_TIMEOUT_US);
  if (watcher->polled_us != 0 && now_us - watcher->polled_us < interval_us)
    return;
  watcher->polled_us = now_us;
  if (!tou_watcher_is_active (watcher)
      && tou_member_pick (watcher->ctx->member, 1, &other) > 0)
    return;
  watcher->polling = TRUE;
  tou_action_list_add (watcher->ctx->actions, TOU_ACTION_VM_LIST);
}

void
tou_watcher_on_vm_list (TouWatcher *watcher)
{
  watcher->polling = FALSE;
}

void
tou_watcher_on_tick (TouWatcher *watcher)
{
  if (watcher->state == WATCHER_ACTIVE)
    watcher_tick_active (watcher);
  else if (watcher->state == WATCHER_IDLE
           && watcher->ctx->now_us >= watcher->next_attempt_us)
    {
      if (watcher_is_eligible (watcher))
        watcher_check_slot (watcher);
      else
        watcher_schedule_attempt (watcher);
    }
  watcher_poll_vms (watcher);
}
