/**
 * @file evlog.h
 * Structured event lines on standard output, one JSON object per line.
 *
 * Writing never blocks. Lines beyond the budget are counted, and the count is
 * written as an event of its own.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

/** How much a line matters when the budget runs short. */
typedef enum
{
  TOU_EVLOG_STATE,   /**< changes of what the process believes */
  TOU_EVLOG_FAILURE, /**< requests that failed */
  TOU_EVLOG_REQUEST  /**< requests that were served */
} TouEvlogClass;

/** @param node name in every line; must outlive the process's logging */
void tou_evlog_init (const char *node);

/**
 * Writes one line.
 *
 * @param members format of JSON members, e.g. "\"group\":\"%s\""
 */
void tou_evlog (TouEvlogClass class, const char *event, const char *members,
                ...) G_GNUC_PRINTF (3, 4);

/** Copies @a slice to @a out, with bytes that JSON would escape replaced. */
const char *tou_evlog_text (char *out, gsize size, TouSlice slice);

/** Lines left out so far. */
guint64 tou_evlog_dropped (void);

G_END_DECLS
