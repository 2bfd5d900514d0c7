/**
 * @file target.h
 * Target of the open loop's statements: a proxy over HTTP or a database over
 * libpq.
 */
#pragma once

#include "support/process-fleet.h"

G_BEGIN_DECLS

/** Records that reads select; they are inserted before the measurement. */
#define LATENCY_RECORDS 1000

/** State of the statement on a connection that has become readable. */
typedef enum
{
  TARGET_PENDING,
  TARGET_DONE,
  TARGET_FAILED
} TargetState;

/** A set of connections with at most one statement in progress on each. */
typedef struct
{
  const char *name;
  gpointer data;
  guint n;
  int (*fd) (gpointer data, guint i);
  /** Sends statement @a number, which also selects the record of a read. */
  void (*send) (gpointer data, guint i, gboolean read, guint number);
  TargetState (*receive) (gpointer data, guint i);
} Target;

/** Opens @a n connections to the client port of proxy 0. */
void target_open_http (Target *out, const TouProcessFleet *fleet, guint n);
void target_close_http (Target *target);

/** Opens @a n connections to the primary of the group. */
void target_open_direct (Target *out, const TouProcessFleet *fleet, guint n);
void target_close_direct (Target *target);

G_END_DECLS
