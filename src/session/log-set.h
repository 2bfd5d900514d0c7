/**
 * @file log-set.h
 * The logs of a group that may have acknowledged commits.
 *
 * With synchronous replicas, a commit is acknowledged once some replicas have
 * received it. A selection of the next primary must know of every log that may
 * have been among these, also while its database is not registered: a
 * registration expires while the database is down or cannot reach the store,
 * and a new leader has never seen it. The leader keeps the set in the store.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** The log of one incarnation of a database; a new incarnation starts empty. */
typedef struct
{
  TouName endpoint;
  guint64 started_ms; /**< start time of the incarnation; 0: not known */
} TouLog;

typedef struct TouLogSet TouLogSet;

int tou_log_set_create (TouLogSet **out);
void tou_log_set_destroy (TouLogSet *set);

guint tou_log_set_size (const TouLogSet *set);
/** Returns a log in the order in which they were added. */
const TouLog *tou_log_set_get (const TouLogSet *set, guint i);

/** Adds @a log unless it is there. @return TRUE if it was added */
gboolean tou_log_set_add (TouLogSet *set, const TouLog *log);
/** Adds the logs of @a other. */
void tou_log_set_add_all (TouLogSet *set, const TouLogSet *other);
void tou_log_set_clear (TouLogSet *set);

gboolean tou_log_set_contains (const TouLogSet *set, const TouLog *log);
/** TRUE if the set has the log of an incarnation of @a endpoint. */
gboolean tou_log_set_has_endpoint (const TouLogSet *set,
                                   const TouName *endpoint);
/** TRUE if both sets have the same logs, in any order. */
gboolean tou_log_set_equal (const TouLogSet *a, const TouLogSet *b);

/** Encodes a set as a store value; free the result with free(). */
char *tou_log_set_encode (const TouLogSet *set);
/**
 * Replaces the contents of @a set by a store value.
 *
 * @return TOU_E_INVALID_JSON if it is not a set; @a set is unchanged then
 */
int tou_log_set_decode (TouLogSet *set, const TouStr *value);

/** Status of a database; see tou_log_check_report(). */
typedef struct
{
  guint64 status_us; /**< send time of the answered request */
  gboolean primary;  /**< of the recorded term; else a replica */
  TouLogPos received;
} TouLogStatus;

/**
 * Checks whether logs whose databases are not registered are superseded: every
 * commit that was acknowledged because of them is in enough of the other logs.
 *
 * That is so once as many replicas as acknowledge a commit have received the
 * position that the primary had after the databases were last registered.
 */
typedef struct
{
  guint64 since_us; /**< when it started; they were not registered */
  gboolean has_position;
  TouLogPos position; /**< of the primary, after since_us */
} TouLogCheck;

/** Starts a check of logs that are not registered at @a now_us. */
void tou_log_check_start (TouLogCheck *check, guint64 now_us);

/**
 * Continues a check with the statuses of the registered databases.
 *
 * @return TRUE if the logs are superseded
 */
gboolean tou_log_check_report (TouLogCheck *check, const TouLogStatus *statuses,
                               guint n_statuses, guint sync_replicas);

G_END_DECLS
