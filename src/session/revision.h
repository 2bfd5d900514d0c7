/**
 * @file revision.h
 * Revisions of the store that increase even when it is restored from a copy.
 *
 * A restored store gives revisions out again and reports a higher era. The era
 * is in the upper bits, so revisions of different eras can be compared.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

#define TOU_REVISION_ERA_SHIFT 40

/** @param number the store's own revision; 0 stands for none in every era */
static inline guint64
tou_revision_make (guint64 era, guint64 number)
{
  return number != 0 ? era << TOU_REVISION_ERA_SHIFT | number : 0;
}

static inline guint64
tou_revision_era (guint64 revision)
{
  return revision >> TOU_REVISION_ERA_SHIFT;
}

static inline guint64
tou_revision_number (guint64 revision)
{
  return revision & ((G_GUINT64_CONSTANT (1) << TOU_REVISION_ERA_SHIFT) - 1);
}

G_END_DECLS
