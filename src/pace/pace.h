/**
 * @file pace.h
 * Pace of a database that has started, restarted or answered again.
 *
 * The pace limits the statements that a node has in flight and the links that
 * it opens. It begins with one statement and grows with the answers that arrive
 * within the normal time; failures, refusals and slow answers lower it. It ends
 * when it reaches the window, which limits the statements from then on.
 *
 * Decisions only: no sockets; times are in us and passed in.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Why a pacing began. */
typedef enum
{
  TOU_PACE_REGISTERED, /**< the database is new */
  TOU_PACE_RESTARTED,  /**< its process was started again */
  TOU_PACE_ANSWERS,    /**< it answers after a silence */
  TOU_PACE_FAILING     /**< it fails too many of its statements */
} TouPaceReason;

/** How a statement ended. */
typedef enum
{
  TOU_PACE_DONE,    /**< the database ran it */
  TOU_PACE_FAILED,  /**< the database failed it */
  TOU_PACE_REFUSED, /**< the database's queue is full */
  TOU_PACE_LOST     /**< no answer */
} TouPaceOutcome;

typedef struct
{
  TouPaceOutcome outcome;
  guint64 sent_us;    /**< when the statement was sent */
  guint64 service_us; /**< DONE: its time in the database */
  /** No other database can run what waits for this one. Its failures do not
      lower the limit, because the statements can go nowhere else. */
  gboolean sole;
} TouPaceAnswer;

typedef struct
{
  gboolean active;
  TouPaceReason reason;
  double limit;          /**< statements in flight */
  double caution;        /**< recent beginnings, fading; slows the growth */
  double failed_share;   /**< moving average of failed statements, 0 to 1 */
  guint64 began_us;      /**< 0: never */
  guint64 heard_us;      /**< last answer, or time with nothing in flight */
  guint64 resume_us;     /**< not sole: no statement before this time */
  guint64 full_until_us; /**< no statement before: the queue was full */
  guint64 reduced_us;    /**< last reduction for slow answers */
  guint64 steady_us;     /**< first answer since the last failure; 0: none */
  guint n_done;          /**< statements run since the last failure */
  guint n_failed;        /**< consecutive failures */
  guint64 normal_us;  /**< time in the database outside of pacings; 0: none */
  guint64 average_us; /**< the same of this pacing; 0: none */
  guint64 best_us;    /**< lowest average_us of this pacing */
} TouPace;

/** Name of @a reason in log lines. */
const char *tou_pace_reason_name (TouPaceReason reason);

/**
 * Begins a pacing, or starts it again.
 *
 * @param normal_us time in the database that is normal in its group, used if it
 * has none of its own; 0: not known
 */
void tou_pace_begin (TouPace *pace, TouPaceReason reason, guint64 normal_us,
                     guint64 now_us);

/**
 * Records how a statement ended. Statements that were sent before the pacing
 * began say nothing about the database now and are ignored.
 */
void tou_pace_on_answer (TouPace *pace, const TouPaceAnswer *answer,
                         guint64 now_us);

/** TRUE if it fails so many statements that its pacing should begin. */
gboolean tou_pace_is_failing (const TouPace *pace);

/**
 * TRUE if another statement may be sent. Urgent ones may exceed the limit by
 * one. Always TRUE without a pacing.
 *
 * @param sole as in TouPaceAnswer: of the pauses only that after a refusal
 * applies
 */
gboolean tou_pace_allows (TouPace *pace, guint n_in_flight, gboolean urgent,
                          gboolean sole, guint64 now_us);

/**
 * TRUE if another link may be opened. Always TRUE without a pacing.
 *
 * @param n_links links that can run statements or are being opened
 * @param n_opening links that are being opened
 */
gboolean tou_pace_allows_link (const TouPace *pace, guint n_links,
                               guint n_opening);

/**
 * TRUE if the pacing has reached @a window statements in flight with answers
 * within the normal time, or was without failures for so long that the window
 * alone may limit the statements.
 */
gboolean tou_pace_is_done (const TouPace *pace, double window, guint64 now_us);

/** Ends the pacing. */
void tou_pace_end (TouPace *pace);

G_END_DECLS
