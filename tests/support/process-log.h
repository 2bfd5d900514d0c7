/**
 * @file process-log.h
 * Reads the logs of the databases of a fleet of processes.
 */
#pragma once

#include "process-fleet.h"

G_BEGIN_DECLS

/** Returns a string member of an object, or "". */
const char *tou_process_member (const json_t *object, const char *name);

/** Returns an integer member of an object, or 0. */
gint64 tou_process_number (const json_t *object, const char *name);

/** Returns the database that was promoted with the highest term. */
guint tou_process_log_primary (const TouProcessFleet *fleet);

/**
 * Counts the committed lines with a kind, such as "insert", and a key in the
 * logs of all databases.
 *
 * @param line replaced by the last of these lines; owned by the caller, may be
 *             NULL
 */
guint tou_process_log_count (const TouProcessFleet *fleet, const char *kind,
                             const char *key, json_t **line);

/**
 * Counts the committed inserts in all logs by key; free with
 * g_hash_table_unref ().
 */
GHashTable *tou_process_log_inserts (const TouProcessFleet *fleet);

G_END_DECLS
