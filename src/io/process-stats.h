/**
 * @file process-stats.h
 * Metrics of the CPU time and memory of this process.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Appends the metrics to @a text; matches TouMetricsFunc. */
void tou_process_stats_metrics (gpointer unused, GString *text);

G_END_DECLS
