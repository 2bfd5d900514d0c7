/**
 * @file evlog.h
 * Event log on standard output, one JSON object per line.
 *
 * Writing never blocks. The number of lines per second is limited; lines beyond
 * the limit are dropped, and their number is logged as an event.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

/** Priority of a line when the line budget runs short. */
typedef enum
{
  TOU_EVLOG_STATE,   /**< changes of this node's view of the cluster */
  TOU_EVLOG_FAILURE, /**< requests that failed */
  TOU_EVLOG_REQUEST  /**< requests that succeeded */
} TouEvlogClass;

/** @param node name put into every line; not copied */
void tou_evlog_init (const char *node);

/**
 * Writes one line.
 *
 * @param members format of JSON members, e.g. "\"group\":\"%s\""
 */
void tou_evlog (TouEvlogClass class, const char *event, const char *members,
                ...) G_GNUC_PRINTF (3, 4);

/** Copies @a slice to @a out, with '?' for every byte that JSON escapes. */
const char *tou_evlog_sanitize (char *out, gsize size, TouSlice slice);

/** Number of lines dropped so far. */
guint64 tou_evlog_dropped (void);

G_END_DECLS
