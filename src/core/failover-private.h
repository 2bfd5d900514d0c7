/**
 * @file failover-private.h
 * Types and functions internal to the failover module.
 */
#pragma once

#include "failover.h"
#include "monitor.h"
#include "place.h"

G_BEGIN_DECLS

/** Changes of primary that extend the hold; 2 s doubled 5 times is 64 s. */
#define TOU_FAILOVER_MAX_CHANGES 6

/** Limit of votes of other observers kept per group. */
#define TOU_FAILOVER_MAX_VOTES 8

/** Another observer's last announcement. */
typedef struct
{
  TouName node;
  guint64 term; /**< term of the record that the vote refers to */
  gboolean suspected;
  guint64 updated_us;
} FailoverVote;

typedef enum
{
  ATTEMPT_NONE,
  ATTEMPT_CLAIMING,
  ATTEMPT_FENCING,
  ATTEMPT_PROMOTING,
  ATTEMPT_PUBLISHING
} AttemptPhase;

/** An attempt of this proxy to claim a term and promote a primary. */
typedef struct
{
  AttemptPhase phase;
  guint64 term;
  TouName id;
  guint64 phase_start_us;  /**< start of the phase */
  guint64 claim_revision;  /**< revision of the claimed record */
  guint64 config_revision; /**< endpoint indices refer to this revision */
  guint64 majority_us;     /**< when a majority was fenced; 0: never */
  gboolean granted[TOU_GROUP_MAX_ENDPOINTS];
  gboolean refused[TOU_GROUP_MAX_ENDPOINTS];
  TouLogPos last[TOU_GROUP_MAX_ENDPOINTS]; /**< log positions when fenced */
  guint64 sent_us[TOU_GROUP_MAX_ENDPOINTS];
  gboolean avoids_primary; /**< prefer others: its replication stalled */
  guint target;            /**< database to promote */
  gboolean writing;        /**< a compare-and-swap is in flight */
  guint64 next_write_us;   /**< when to retry the write of the active record */
  TouGroupRecord record;   /**< record being written */
} FailoverAttempt;

/** State of this proxy as an observer of one group. */
typedef struct
{
  gboolean suspects;
  guint64 suspected_term; /**< record term of the suspicion */
  guint64 announced_us;
  FailoverVote votes[TOU_FAILOVER_MAX_VOTES];
  guint64 due_since_us;         /**< when a claim became due; 0: not due */
  guint64 not_before_us;        /**< end of the back-off after an attempt */
  guint failures;               /**< consecutive failed attempts */
  gboolean replication_stalled; /**< the primary's replication has stalled */
  TouLogPos stalled_pos; /**< primary's position that no majority has reached */
  /** Log positions of the replicas as of last_progress_us. */
  TouLogPos stalled_replica_pos[TOU_GROUP_MAX_ENDPOINTS];
  guint64 last_progress_us; /**< last advance of a replica; 0: not tracked */
  guint64 highest_term;     /**< highest fence term reported */
  guint64 lagging_since_us[TOU_GROUP_MAX_ENDPOINTS]; /**< 0: not lagging */
  guint64 follow_sent_us[TOU_GROUP_MAX_ENDPOINTS];
  FailoverAttempt attempt;
} FailoverObserver;

/** A group's record and, on its observers, the observer state. */
typedef struct
{
  TouFailover *failover;
  TouName name;
  TouGroupRecord record;
  guint64 record_us; /**< when the record was received */
  guint n_changes;
  guint64 changes_us[TOU_FAILOVER_MAX_CHANGES]; /**< oldest first */
  FailoverObserver *observer; /**< NULL if not observed by this proxy */
} FailoverGroup;

struct TouFailover
{
  TouContext *ctx;
  GHashTable *groups;  /**< TouName in the value -> FailoverGroup */
  GPtrArray *observed; /**< FailoverGroups observed here */
  guint64 live_version;
  guint64 config_version;
  guint scan_left; /**< groups left to check in this pass */
  guint scan_next; /**< index of the next group to check */
  guint64 last_tick_us;
  guint64 resumed_us; /**< end of the last pause of this process */
};

/** Evaluates the suspicion of the primary and exchanges it with observers. */
void tou_suspicion_on_tick (FailoverGroup *group, const TouGroupConfig *config,
                            const TouPlacement *placement);
void tou_suspicion_on_message (FailoverGroup *group, const TouMessage *message);

/** TRUE if this proxy should start a claim now. */
gboolean tou_suspicion_is_claim_due (FailoverGroup *group,
                                     const TouGroupConfig *config,
                                     const TouPlacement *placement);

void tou_attempt_start (FailoverGroup *group, const TouGroupConfig *config);
void tou_attempt_on_tick (FailoverGroup *group, const TouGroupConfig *config);
void tou_attempt_on_report (FailoverGroup *group, const TouGroupConfig *config,
                            guint endpoint, TouDbControlOp op, gboolean granted,
                            const TouDbReport *report);

/** Aborts the attempt if another claim's record superseded it. */
void tou_attempt_on_record (FailoverGroup *group);

/** Ends the attempt as failed and starts the back-off. */
void tou_attempt_abort (FailoverGroup *group, const char *reason);

/** Sends FOLLOW to databases that do not follow the primary. */
void tou_repair_on_tick (FailoverGroup *group, const TouGroupConfig *config,
                         const TouPlacement *placement);

/** Sends FOLLOW to all other databases after a primary was published. */
void tou_repair_all (FailoverGroup *group, const TouGroupConfig *config);

/**
 * TRUE if the endpoint or its VM was announced as leaving.
 *
 * @param since_us set to the time at which the announcement was received
 */
gboolean tou_failover_is_leaving (const TouFailover *failover,
                                  const TouEndpoint *endpoint,
                                  guint64 *since_us);

/** TRUE if the database reported within suspect_after_us. */
gboolean tou_failover_is_reporting (const TouFailover *failover,
                                    const TouDbState *db);

G_END_DECLS
