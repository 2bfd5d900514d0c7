/**
 * @file feed-private.h
 * State shared by the feed, its store watcher and the relay of LEAVING
 * messages.
 */
#pragma once

#include "feed.h"

G_BEGIN_DECLS

/** Members that each new entry and LEAVING message is sent to (design 3.13). */
#define TOU_FEED_FANOUT 4

typedef struct TouWatcher TouWatcher;
typedef struct TouLeaving TouLeaving;

struct TouFeed
{
  TouContext *ctx;
  GHashTable *entries; /**< key in the value -> TouEntry */
  guint64 revision;
  TouWatcher *watcher;
  TouLeaving *leaving;

  guint64 start_us;
  gboolean current; /**< result of tou_feed_is_current (); never reset */
  gboolean store_range_read; /**< a range was read from the store */
  gboolean peer_replied;     /**< a peer acknowledged a ping */
  TouName max_revision_node; /**< peer that reported max_revision */
  guint64 max_revision;      /**< highest revision reported by a peer */

  TouName requested_node;     /**< peer with an unanswered request, or empty */
  guint64 requested_revision; /**< revision that the peer reported */
  guint64 requested_us;
};

/**
 * Applies the entries of @a list, which contains all changes with revisions in
 * (from, to].
 *
 * @return TRUE if one of them was new
 */
gboolean tou_feed_apply (TouFeed *feed, guint64 from, guint64 to,
                         const TouEntryList *list);

/** Sends @a list, complete for revisions in (from, to], to random members. */
void tou_feed_forward (TouFeed *feed, guint64 from, guint64 to,
                       const TouEntryList *list);

/** Forwards the entries newer than @a after if they fit into one message. */
void tou_feed_forward_after (TouFeed *feed, guint64 after);

int tou_watcher_create (TouWatcher **out, TouFeed *feed);
void tou_watcher_destroy (TouWatcher *watcher);
void tou_watcher_on_tick (TouWatcher *watcher);
gboolean tou_watcher_on_store (TouWatcher *watcher,
                               const TouStoreResult *result);
void tou_watcher_on_vm_list (TouWatcher *watcher);

/** TRUE while this proxy holds a watcher lease. */
gboolean tou_watcher_is_active (const TouWatcher *watcher);

int tou_leaving_create (TouLeaving **out, TouContext *ctx);
void tou_leaving_destroy (TouLeaving *leaving);

/** Announces the rows of the VM list that are leaving; called on watchers. */
void tou_leaving_on_vm_list (TouLeaving *leaving, const TouVm *vms,
                             guint count);

/** See tou_feed_is_leaving (). */
gboolean tou_leaving_find (const TouLeaving *leaving, const TouName *name,
                           const TouName *address, guint64 *since_us);

/**
 * Applies the rows of a LEAVING message; forwards it unless all of them were
 * forwarded recently.
 */
void tou_leaving_on_message (TouLeaving *leaving, const TouMessage *message);

G_END_DECLS
