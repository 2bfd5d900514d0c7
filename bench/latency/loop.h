/**
 * @file loop.h
 * Sends statements at a fixed mean rate, whether or not earlier ones have been
 * answered (open loop), and records the latencies.
 */
#pragma once

#include "target.h"

G_BEGIN_DECLS

/** Load of one run. */
typedef struct
{
  guint rate;           /**< mean statements per second, Poisson arrivals */
  guint seconds;        /**< duration */
  guint writes_percent; /**< share of writes */
  guint32 seed;         /**< of arrival times and of reads and writes */
} LoopOptions;

/** Latencies from the arrival to the answer in nanoseconds, sorted. */
typedef struct
{
  GArray *reads;  /**< of gint64 */
  GArray *writes; /**< of gint64 */
  GArray *all;    /**< of gint64 */
  guint failed;
} LoopResult;

void loop_run (LoopResult *out, const Target *target,
               const LoopOptions *options);
void loop_result_clear (LoopResult *result);

/** Returns a percentile in microseconds; 0 if @a sorted is empty. */
double loop_percentile_us (const GArray *sorted, double percent);

G_END_DECLS
