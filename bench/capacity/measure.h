/**
 * @file measure.h
 * The measurements. Each prints lines of "name,members,groups,value,unit".
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

void print_figure (const char *name, guint members, guint groups, double value,
                   const char *unit);

/** CPU time, memory and control traffic of one core at one size. */
void measure_size (guint members, guint groups);

/** Prints the size of a LEAVING message with @a rows rows, unless it is too
 * large to be encoded. */
void measure_leaving (guint rows);

/** CPU time and memory per served group, connection and request. */
void measure_serving (guint members);

/** CPU time of placing all groups. */
void measure_placement (guint members, guint groups);

/** Time until a new entry is replicated to all of @a n cores. */
void measure_gossip (guint n, guint64 ping_interval_us);

G_END_DECLS
