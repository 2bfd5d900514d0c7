/**
 * @file idle-txn.h
 * Ends idle transactions that keep the links of an endpoint from statements
 * that wait for one.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/**
 * Returns the time when the first of the transactions that have pinned all
 * links of @a endpoint will be ended if it stays idle. Returns 0 if a link is
 * not pinned, is running a statement or may still be opened, and G_MAXUINT64 if
 * none is ended.
 */
guint64 tou_idle_txn_end_us (const TouEndpoint *endpoint);

/**
 * Ends the transaction that has been idle longest if idle transactions have
 * pinned all links and its idle time is over. Call it when a statement waits
 * for a link.
 */
void tou_idle_txn_end_longest (TouEndpoint *endpoint, guint64 now_us);

G_END_DECLS
