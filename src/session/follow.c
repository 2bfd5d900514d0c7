#include "follow.h"

/* A watch that has not returned a change this long after the panel had it is
   replaced. The time doubles up to the maximum with each replacement, so that
   the transfers of large changes do not slow each other down. */
#define FOLLOW_BEHIND_US (600 * TOU_US_PER_MS)
#define FOLLOW_BEHIND_MAX_US (2400 * TOU_US_PER_MS)

void
tou_follow_init (TouFollow *follow)
{
  *follow = (TouFollow){ 0 };
  follow->limit_us = FOLLOW_BEHIND_US;
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

void
tou_follow_check (TouFollow *follow, guint64 panel_revision,
                  gboolean reaches_panel, guint64 short_us, guint64 now_us)
{
  if (follow->awaited == 0)
    return;
  if (panel_revision <= follow->revision)
    follow->behind_us = 0;
  else if (follow->behind_us == 0)
    follow->behind_us = now_us;
  if (follow->behind_us != 0 && now_us >= follow->behind_us + follow->limit_us)
    {
      follow->awaited = 0;
      follow->limit_us = MIN (2 * follow->limit_us, FOLLOW_BEHIND_MAX_US);
    }
  else if (!reaches_panel && now_us >= follow->sent_us + short_us)
    follow->awaited = 0;
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
tou_follow_applied (TouFollow *follow, guint64 revision)
{
  follow->revision = revision;
  follow->behind_us = 0;
  follow->limit_us = FOLLOW_BEHIND_US;
}
