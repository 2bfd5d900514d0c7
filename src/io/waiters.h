/**
 * @file waiters.h
 * HTTP handlers that wait for an answer from the core, by caller id.
 */
#pragma once

#include "toucanscale/event.h"

G_BEGIN_DECLS

typedef struct TouWaiters TouWaiters;

/** One waiting handler. */
typedef struct TouWaiter TouWaiter;

int tou_waiters_create (TouWaiters **out);

/** Adds a waiter and returns its caller id, which is never reused. */
guint64 tou_waiters_add (TouWaiters *waiters, TouWaiter **out);

/**
 * Delivers an answer to the waiter @a id and takes ownership of the payload.
 *
 * @return FALSE if there is no such waiter; the caller keeps the payload
 */
gboolean tou_waiters_deliver (TouWaiters *waiters, guint64 id,
                              TouAction *action);

/**
 * Waits for the answer, moves it to @a answer and frees the waiter.
 *
 * @param deadline_us monotonic time at which the wait ends
 * @return FALSE if no answer was received
 */
gboolean tou_waiters_wait (TouWaiters *waiters, TouWaiter *waiter,
                           guint64 deadline_us, TouAction *answer);

/** Frees a waiter whose request was not submitted to the core. */
void tou_waiters_remove (TouWaiters *waiters, TouWaiter *waiter);

/** Wakes all waiters; from now on, tou_waiters_wait () does not block. */
void tou_waiters_close (TouWaiters *waiters);

/** Frees the table, which must have no waiters. */
void tou_waiters_destroy (TouWaiters *waiters);

G_END_DECLS
