#include "feed-private.h"

#include "config.h"
#include "failover.h"
#include "gate.h"
#include "member.h"
#include "monitor.h"

#include <string.h>

/* Maximum bytes of entries per message, which stays below 64 KB with names and
 * framing. */
#define TOU_FEED_MESSAGE_BYTES 60000
/* Estimated framing of one entry, in bytes. */
#define TOU_FEED_ENTRY_OVERHEAD 32
/* Time after which an unanswered request for entries is repeated. */
#define TOU_FEED_REQUEST_RETRY_US (500 * TOU_US_PER_MS)
/* Ping intervals after the start in which a proxy is not current, so that it
 * compares its revision with several peers, not only the first that answers. */
#define TOU_FEED_SETTLE_PINGS 3

static void
feed_entry_free (gpointer data)
{
  tou_entry_clear (data);
  g_free (data);
}

int
tou_feed_create (TouFeed **out, TouContext *ctx)
{
  TouFeed *feed = g_new0 (TouFeed, 1);

  feed->ctx = ctx;
  feed->start_us = ctx->now_us;
  feed->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, feed_entry_free);
  tou_leaving_create (&feed->leaving, ctx);
  tou_watcher_create (&feed->watcher, feed);
  *out = feed;
  return TOU_OK;
}

void
tou_feed_destroy (TouFeed *feed)
{
  if (feed == NULL)
    return;
  tou_watcher_destroy (feed->watcher);
  tou_leaving_destroy (feed->leaving);
  g_hash_table_destroy (feed->entries);
  g_free (feed);
}

const TouEntry *
tou_feed_find (const TouFeed *feed, const char *key)
{
  return g_hash_table_lookup (feed->entries, key);
}

guint64
tou_feed_revision (const TouFeed *feed)
{
  return feed->revision;
}

static int
feed_compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(TouEntry *const *)a)->key.data,
                 (*(TouEntry *const *)b)->key.data);
}

static int
feed_compare_revisions (gconstpointer a, gconstpointer b)
{
  guint64 left = (*(TouEntry *const *)a)->revision;
  guint64 right = (*(TouEntry *const *)b)->revision;

  return (left > right) - (left < right);
}

void
tou_feed_foreach (const TouFeed *feed, const char *prefix, TouFeedFunc func,
                  gpointer user_data)
{
  GPtrArray *matches = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_has_prefix (((TouEntry *)value)->key.data, prefix))
      g_ptr_array_add (matches, value);
  g_ptr_array_sort (matches, feed_compare_keys);
  for (guint i = 0; i < matches->len; i++)
    func (user_data, g_ptr_array_index (matches, i));
  g_ptr_array_free (matches, TRUE);
}

static gboolean
feed_is_replicated (const TouStr *key)
{
  return key->data != NULL && strlen (key->data) == key->len
         && (g_str_has_prefix (key->data, "config/")
             || g_str_has_prefix (key->data, TOU_RECORD_PREFIX));
}

/* Called after a group was added, changed or removed. */
static void
feed_notify_group_change (TouContext *ctx, const char *key)
{
  TouName group = tou_name (key + strlen (TOU_CONFIG_GROUP_PREFIX));

  tou_monitor_on_change (ctx->monitor);
  tou_gate_on_change (ctx->gate, &group);
}

/* Applies one entry; returns FALSE if the stored one is at least as new. */
static gboolean
feed_apply_entry (TouFeed *feed, const TouEntry *entry)
{
  const TouEntry *stored;
  TouEntry *copy;

  if (!feed_is_replicated (&entry->key))
    return FALSE;
  stored = tou_feed_find (feed, entry->key.data);
#ifdef TOU_DEFECT_CONFIG_OLDER_REVISION
  /* Old entries are applied but not forwarded, or they would circulate
   * forever. */
  gboolean is_old = stored != NULL && stored->revision > entry->revision;

  if (stored != NULL && stored->revision == entry->revision)
#else
  if (stored != NULL && stored->revision >= entry->revision)
#endif
    {
      if (stored->revision > entry->revision)
        TOU_COUNT (feed->ctx, ENTRIES_STALE);
      return FALSE;
    }
  copy = g_new0 (TouEntry, 1);
  tou_entry_copy (copy, entry);
  g_hash_table_replace (feed->entries, copy->key.data, copy);
  TOU_COUNT (feed->ctx, ENTRIES_APPLIED);
  if (g_str_has_prefix (copy->key.data, TOU_RECORD_PREFIX))
    tou_failover_apply (feed->ctx->failover, copy);
  else if (tou_config_apply (feed->ctx->config, copy))
    feed_notify_group_change (feed->ctx, copy->key.data);
#ifdef TOU_DEFECT_CONFIG_OLDER_REVISION
  return !is_old;
#else
  return TRUE;
#endif
}

gboolean
tou_feed_apply (TouFeed *feed, guint64 from, guint64 to,
                const TouEntryList *list)
{
  gboolean is_new = FALSE;

  for (guint i = 0; i < list->count; i++)
    if (feed_apply_entry (feed, &list->items[i]))
      is_new = TRUE;
  if (from <= feed->revision && to > feed->revision)
    feed->revision = to;
  return is_new;
}

static void
feed_send (TouFeed *feed, const TouName *node, guint64 from, guint64 to,
           const TouEntryList *list)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_ENTRIES);

  message->u.entries.from = from;
  message->u.entries.to = to;
  for (guint i = 0; i < list->count; i++)
    {
      const TouEntry *entry = &list->items[i];

      tou_entry_list_add (&message->u.entries.entries, entry->key.data,
                          entry->key.len, entry->value.data, entry->value.len,
                          entry->revision);
    }
  tou_context_send (feed->ctx, node, message);
}

void
tou_feed_forward (TouFeed *feed, guint64 from, guint64 to,
                  const TouEntryList *list)
{
  TouName targets[TOU_FEED_FANOUT];
  guint n = tou_member_pick (feed->ctx->member, TOU_FEED_FANOUT, targets);

  for (guint i = 0; i < n; i++)
    feed_send (feed, &targets[i], from, to, list);
}

void
tou_feed_publish (TouFeed *feed, const TouEntry *entry)
{
  TouEntryList list = { .items = (TouEntry *)entry, .count = 1 };

  if (entry->revision == 0 || !feed_apply_entry (feed, entry))
    return;
  /* Each revision changes one key, so the message is complete for it. */
  tou_feed_forward (feed, entry->revision - 1, entry->revision, &list);
}

/* Returns the entries newer than @a after, oldest first. */
static GPtrArray *
feed_collect (const TouFeed *feed, guint64 after)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((TouEntry *)value)->revision > after)
      g_ptr_array_add (found, value);
  g_ptr_array_sort (found, feed_compare_revisions);
  return found;
}

/* Copies entries from index @a start on to @a list until the message is full;
 * returns the index after the last copied entry. */
static guint
feed_fill (const GPtrArray *found, guint start, TouEntryList *list)
{
  gsize bytes = 0;
  guint i = start;

  for (; i < found->len; i++)
    {
      const TouEntry *entry = g_ptr_array_index (found, i);

      bytes += entry->key.len + entry->value.len + TOU_FEED_ENTRY_OVERHEAD;
      if (bytes > TOU_FEED_MESSAGE_BYTES && i > start)
        break;
      tou_entry_list_add (list, entry->key.data, entry->key.len,
                          entry->value.data, entry->value.len, entry->revision);
    }
  return i;
}

/* Returns the revision up to which the entries before index @a next are
 * complete. */
static guint64
feed_complete_to (const TouFeed *feed, const GPtrArray *found, guint next)
{
  const TouEntry *entry;

  if (next == found->len)
    return feed->revision;
  entry = g_ptr_array_index (found, next);
  return MIN (entry->revision - 1, feed->revision);
}

void
tou_feed_forward_after (TouFeed *feed, guint64 after)
{
  GPtrArray *found = feed_collect (feed, after);
  TouEntryList list = { 0 };

  if (feed_fill (found, 0, &list) == found->len && list.count > 0)
    tou_feed_forward (feed, after, feed->revision, &list);
  tou_entry_list_clear (&list);
  g_ptr_array_free (found, TRUE);
}

static void
feed_on_request (TouFeed *feed, const TouName *node, guint64 after)
{
  GPtrArray *found = feed_collect (feed, after);
  guint64 from = after;
  guint next = 0;

  if (found->len == 0 && feed->revision <= after)
    {
      g_ptr_array_free (found, TRUE);
      return;
    }
  do
    {
      TouEntryList list = { 0 };
      guint64 to;

      next = feed_fill (found, next, &list);
      to = feed_complete_to (feed, found, next);
      feed_send (feed, node, from, to, &list);
      from = to;
      tou_entry_list_clear (&list);
    }
  while (next < found->len);
  g_ptr_array_free (found, TRUE);
}

static void
feed_on_entries (TouFeed *feed, const TouMessage *message)
{
  const TouEntries *entries = &message->u.entries;
  gboolean is_requested
      = tou_name_equal (&feed->requested_node, &message->from);
  gboolean is_new
      = tou_feed_apply (feed, entries->from, entries->to, &entries->entries);

  if (feed->revision >= feed->requested_revision)
    feed->requested_node = (TouName){ 0 };
  /* Requested entries are not forwarded: most peers have them already, and the
   * others detect by the revision in pings that entries are missing. */
  if (is_new && !is_requested)
    tou_feed_forward (feed, entries->from, entries->to, &entries->entries);
}

static void
feed_on_revision (TouFeed *feed, const TouName *node, guint64 revision)
{
  guint64 now_us = feed->ctx->now_us;
  TouMessage *message;

  if (revision >= feed->max_revision)
    {
      feed->max_revision = revision;
      feed->max_revision_node = *node;
    }
  if (revision <= feed->revision)
    return;
  if (feed->requested_node.len > 0
      && now_us - feed->requested_us < TOU_FEED_REQUEST_RETRY_US)
    return;
  feed->requested_node = *node;
  feed->requested_revision = revision;
  feed->requested_us = now_us;
  message = tou_message_create (TOU_MESSAGE_ENTRIES_REQUEST);
  message->u.entries_after = feed->revision;
  tou_context_send (feed->ctx, node, message);
}

void
tou_feed_on_message (TouFeed *feed, const TouMessage *message)
{
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_REQ:
      feed_on_revision (feed, &message->from, message->u.ping.feed_revision);
      break;
    case TOU_MESSAGE_PING_ACK:
      /* Sequence 0 marks a part of the member table, which has no revision. */
      feed->peer_replied = feed->peer_replied || message->u.ping.sequence != 0;
      feed_on_revision (feed, &message->from, message->u.ping.feed_revision);
      break;
    case TOU_MESSAGE_ENTRIES:
      feed_on_entries (feed, message);
      break;
    case TOU_MESSAGE_ENTRIES_REQUEST:
      feed_on_request (feed, &message->from, message->u.entries_after);
      break;
    case TOU_MESSAGE_LEAVING:
      tou_leaving_on_message (feed->leaving, message);
      break;
    default:
      break;
    }
}

/* Stops waiting for the revision of a peer that is dead, since it cannot send
 * its entries. */
static void
feed_reset_max_revision (TouFeed *feed)
{
  const TouMemberUpdate *peer
      = tou_member_find (feed->ctx->member, &feed->max_revision_node);

  if (peer == NULL || peer->state == TOU_MEMBER_DEAD)
    feed->max_revision = feed->revision;
}

static void
feed_update_current (TouFeed *feed)
{
  const TouCoreSettings *settings = &feed->ctx->settings;
  guint64 settle_us = TOU_FEED_SETTLE_PINGS * settings->ping_interval_us;

  feed_reset_max_revision (feed);
  if (feed->ctx->now_us - feed->start_us < settle_us)
    return;
  if (feed->revision < feed->max_revision)
    return;
  feed->current
      = feed->store_range_read || (feed->peer_replied && feed->revision > 0);
}

void
tou_feed_on_tick (TouFeed *feed)
{
  if (!feed->current)
    feed_update_current (feed);
  tou_watcher_on_tick (feed->watcher);
}

void
tou_feed_on_vm_list (TouFeed *feed, gboolean ok, const TouVm *vms, guint count)
{
  tou_watcher_on_vm_list (feed->watcher);
  if (!ok)
    return;
  tou_member_on_vm_list (feed->ctx->member, vms, count);
  tou_leaving_on_vm_list (feed->leaving, vms, count);
}

gboolean
tou_feed_is_leaving (const TouFeed *feed, const TouName *name,
                     const TouName *address, guint64 *since_us)
{
  return tou_leaving_find (feed->leaving, name, address, since_us);
}

gboolean
tou_feed_on_store (TouFeed *feed, const TouStoreResult *result)
{
  return tou_watcher_on_store (feed->watcher, result);
}

gboolean
tou_feed_is_current (const TouFeed *feed)
{
  return feed->current;
}
