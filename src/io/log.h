/**
 * @file log.h
 * Structured logging: one JSON object per line on standard error.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * Installs the log writer. Must be called once, before other threads start.
 *
 * @param node node name added to every line; must stay valid while the
 *   process logs
 * @param max_level least severe level to write
 */
void tou_log_init (const char *node, GLogLevelFlags max_level);

/** Logs a message with the TouStatus @a code; TOU_OK adds no code. */
void tou_log (GLogLevelFlags level, int code, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/**
 * Formats a log line, including the newline.
 *
 * @param time_us wall-clock time in microseconds since 1970
 */
char *tou_log_format (GLogLevelFlags level, gint64 time_us, const char *node,
                      const GLogField *fields, gsize n_fields);

G_END_DECLS
