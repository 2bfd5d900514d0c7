/**
 * @file follow.h
 * Follows the store's changes by one watch after the other.
 *
 * Patterns: hundreds of nodes that are each woken by each other's restarts; the
 * panel watches for all, and the others watch only to get what they need.
 * Connections that go silent for good, and slow links over which a large change
 * takes more than a second: a watch that has not returned what the panel
 * already has is replaced; both may then return, in any order.
 */
#pragma once

#include "clock.h"

G_BEGIN_DECLS

/** A watch; its answer is passed with it. */
typedef struct
{
  guint id;
  guint64 after; /**< revision whose successors it returns */
} TouWatch;

/** What the panel reports of the store. */
typedef struct
{
  gboolean informed; /**< a member that follows the store has reported lately */
  guint64 revision;  /**< newest revision that a member has applied */
  guint64 urgent;    /**< newest one of a change that all nodes need at once */
} TouFollowPanel;

typedef struct
{
  guint64 revision;   /**< last revision applied */
  guint64 applied_us; /**< when it was applied */
  guint awaited;      /**< id of the current watch; 0: none */
  guint n_watches;    /**< number of watches so far */
  guint64 sent_us;    /**< when the current one was sent */
  guint64 behind_us;  /**< since when the panel has a newer revision; 0: no */
  guint64
      behind_limit_us; /**< after which a watch that is behind is replaced */
} TouFollow;

void tou_follow_init (TouFollow *follow);

/** Starts a watch. */
TouWatch tou_follow_start (TouFollow *follow, guint64 now_us);

/** TRUE if a watch is needed, because the panel has or may miss changes. */
gboolean tou_follow_needs_watch (const TouFollow *follow,
                                 const TouFollowPanel *panel, guint64 now_us);

/**
 * Replaces the current watch if it is behind the panel for too long, or if it
 * was sent @a limit_us ago and the panel does not inform this node.
 *
 * @return TRUE if it is replaced
 */
gboolean tou_follow_check (TouFollow *follow, const TouFollowPanel *panel,
                           guint64 limit_us, guint64 now_us);

/**
 * Handles the end of @a watch.
 *
 * @return TRUE if its changes or its error are to be handled
 */
gboolean tou_follow_returned (TouFollow *follow, TouWatch watch,
                              gboolean succeeded);

/** Stops waiting for the current watch. */
void tou_follow_abandon (TouFollow *follow);

/** Changes up to @a revision have been applied. */
void tou_follow_applied (TouFollow *follow, guint64 revision, guint64 now_us);

G_END_DECLS
