/**
 * @file clock.h
 * Monotonic clock of the session proxy.
 */
#pragma once

#include "toucanscale/types.h"

#include <time.h>

G_BEGIN_DECLS

/**
 * Returns microseconds since the VM booted. Time in suspension is included, so
 * that proofs and leases expire while the VM is suspended.
 */
static inline guint64
tou_clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (guint64)now.tv_sec * TOU_US_PER_S + (guint64)now.tv_nsec / 1000;
}

G_END_DECLS
