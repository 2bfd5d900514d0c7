/**
 * @file service.h
 * Event and action callbacks between the core's thread and the I/O services.
 */
#pragma once

#include "toucanscale/event.h"

G_BEGIN_DECLS

/**
 * Pushes an event to the core's ring; callable from any thread.
 *
 * On success the callee takes ownership of the payload. On TOU_E_RING_FULL the
 * caller keeps ownership, and clears the event or tries again.
 */
typedef int (*TouEventFunc) (gpointer user_data, TouEvent *event);

/** Destination of a service's events. */
typedef struct
{
  TouEventFunc func;
  gpointer user_data;
} TouEventSink;

/**
 * Submits an action to a service; callable from the core's thread only.
 *
 * On success the callee takes ownership of the payload; on TOU_E_RING_FULL the
 * caller keeps ownership.
 */
typedef int (*TouActionFunc) (gpointer service, TouAction *action);

G_END_DECLS
