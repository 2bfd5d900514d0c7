#include "follow.h"

/* A watch that has not returned a change this long after the panel had it is
   replaced. The time doubles up to the maximum with each replacement, so that
   the transfers of large changes do not slow each other down. */
#define FOLLOW_BEHIND_US (600 * TOU_US_PER_MS)
#define FOLLOW_BEHIND_MAX_US (2400 * TOU_US_PER_MS)

/* Interval at which other changes, registrations of nodes, are read. Until
   then, a node that is gone is known from the panel's list of silent nodes. */
#define FOLLOW_OTHERS_US (5 * TOU_US_PER_S)

void
tou_follow_init (TouFollow *follow)
{
  *follow = (TouFollow){ 0 };
  follow->behind_limit_us = FOLLOW_BEHIND_US;
}

TouWatch
tou_follow_start (TouFollow *follow, guint64 now_us)
{
  TouWatch watch = { ++follow->n_watches, follow->revision };

  follow->awaited = watch.id;
  follow->sent_us = now_us;
  follow->behind_us = 0;
  return watch;
}

gboolean
tou_follow_needs_watch (const TouFollow *follow, const TouFollowPanel *panel,
                        guint64 now_us)
{
  return !panel->informed || panel->urgent > follow->revision
         || (panel->revision > follow->revision
             && now_us >= follow->applied_us + FOLLOW_OTHERS_US);
}

gboolean
tou_follow_check (TouFollow *follow, const TouFollowPanel *panel,
                  guint64 limit_us, guint64 now_us)
{
  if (follow->awaited == 0)
    return FALSE;
  if (panel->revision <= follow->revision)
    follow->behind_us = 0;
  else if (follow->behind_us == 0)
    follow->behind_us = now_us;
  if (follow->behind_us != 0
      && now_us >= follow->behind_us + follow->behind_limit_us)
    {
      follow->awaited = 0;
      follow->behind_limit_us
          = MIN (2 * follow->behind_limit_us, FOLLOW_BEHIND_MAX_US);
    }
  else if (!panel->informed && now_us >= follow->sent_us + limit_us)
    follow->awaited = 0;
  return follow->awaited == 0;
}

gboolean
tou_follow_returned (TouFollow *follow, TouWatch watch, gboolean succeeded)
{
  gboolean awaited = watch.id == follow->awaited;

  if (awaited)
    follow->awaited = 0;
  /* Changes that are older than those applied would undo these. */
  if (watch.after != follow->revision || (!awaited && !succeeded))
    return FALSE;
  /* The current watch would return the same changes again. */
  follow->awaited = 0;
  return TRUE;
}

void
tou_follow_abandon (TouFollow *follow)
{
  follow->awaited = 0;
}

void
tou_follow_applied (TouFollow *follow, guint64 revision, guint64 now_us)
{
  follow->revision = revision;
  follow->applied_us = now_us;
  follow->behind_us = 0;
  follow->behind_limit_us = FOLLOW_BEHIND_US;
}
