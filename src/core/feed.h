/**
 * @file feed.h
 * Replicated entries: configuration and group records by store revision.
 *
 * Keys are never removed from the store. A deleted configuration entry is
 * stored as an envelope with a null value, so a range read also returns
 * deletions.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

/** Prefix of all keys in the store. */
#define TOU_STORE_PREFIX "/toucanscale/"

/** Feed key prefix of group records. */
#define TOU_RECORD_PREFIX "record/"

/** Callback of tou_feed_foreach (), called for each entry. */
typedef void (*TouFeedFunc) (gpointer user_data, const TouEntry *entry);

int tou_feed_create (TouFeed **out, TouContext *ctx);
void tou_feed_destroy (TouFeed *feed);

void tou_feed_on_tick (TouFeed *feed);

/**
 * Handles ENTRIES, ENTRIES_REQUEST and LEAVING, and the feed revision in PING,
 * PING_ACK and PING_REQ (after tou_member_on_message ()).
 */
void tou_feed_on_message (TouFeed *feed, const TouMessage *message);

/** Handles the answer to TOU_ACTION_VM_LIST. */
void tou_feed_on_vm_list (TouFeed *feed, gboolean ok, const TouVm *vms,
                          guint count);

/**
 * TRUE if a VM or endpoint of that name or address was announced as leaving.
 *
 * @param since_us set to the time when this proxy received the announcement
 */
gboolean tou_feed_is_leaving (const TouFeed *feed, const TouName *name,
                              const TouName *address, guint64 *since_us);

/**
 * Handles a result of the store watch. Returns FALSE if the result belongs to
 * another call; the caller then passes it to tou_store_ops_on_result ().
 */
gboolean tou_feed_on_store (TouFeed *feed, const TouStoreResult *result);

/** Returns the entry of @a key (without the store prefix) or NULL. */
const TouEntry *tou_feed_find (const TouFeed *feed, const char *key);

/** Calls @a func for the entries whose key has @a prefix, in key order. */
void tou_feed_foreach (const TouFeed *feed, const char *prefix,
                       TouFeedFunc func, gpointer user_data);

/** Returns the revision up to which this proxy has all entries. */
guint64 tou_feed_revision (const TouFeed *feed);

/**
 * Applies one entry that this proxy wrote to or read from the store, and
 * forwards it.
 *
 * tou_feed_revision () does not change, because earlier entries may be missing.
 */
void tou_feed_publish (TouFeed *feed, const TouEntry *entry);

/**
 * TRUE once this proxy's revision has reached the highest one that a live peer
 * reported; it then stays TRUE.
 */
gboolean tou_feed_is_current (const TouFeed *feed);

G_END_DECLS
