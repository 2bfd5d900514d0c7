/**
 * @file failover.h
 * Group records and failover: suspicion, claim, fencing, promotion, publication
 * and repair.
 */
#pragma once

#include "config.h"

G_BEGIN_DECLS

/** Promotions kept in a record; session tokens from older terms are refused. */
#define TOU_RECORD_MAX_HISTORY 16

typedef enum
{
  TOU_RECORD_NONE,
  TOU_RECORD_CLAIMED,
  TOU_RECORD_ACTIVE
} TouRecordState;

/** First log position of a term. */
typedef struct
{
  guint64 term;
  guint64 start;
} TouTermStart;

/** The group's record in the store. */
typedef struct
{
  TouRecordState state;
  guint64 term;         /**< claimed term, or term of the active primary */
  TouName primary;      /**< endpoint; while claimed, the previous one */
  guint64 primary_term; /**< term in which primary was published */
  TouName owner;        /**< proxy that wrote the record */
  TouName attempt;      /**< unique id of the claim */
  guint n_history;
  TouTermStart history[TOU_RECORD_MAX_HISTORY]; /**< oldest first */
  guint64 revision; /**< store revision; 0: no record */
} TouGroupRecord;

/**
 * Writes the stored JSON of @a record to @a out:
 *
 *     {"attempt": "...", "state": "claimed"|"active", "term": n,
 *      "primary": "...", "primary_term": n, "owner": "...",
 *      "history": [[term, start], ...]}
 */
void tou_record_format (TouStr *out, const TouGroupRecord *record);

/** Parses the stored JSON; fails with TOU_E_CONFIG_INVALID. */
int tou_record_parse (TouGroupRecord *out, const TouStr *value);

/** Appends a promotion; removes the oldest one beyond the limit. */
void tou_record_add_term (TouGroupRecord *record, guint64 term, guint64 start);

int tou_failover_create (TouFailover **out, TouContext *ctx);
void tou_failover_destroy (TouFailover *failover);

void tou_failover_on_tick (TouFailover *failover);
void tou_failover_on_message (TouFailover *failover, const TouMessage *message);

/** Applies a record entry received from the feed. */
void tou_failover_apply (TouFailover *failover, const TouEntry *entry);

/** Handles the answer of a database of @a group to a control operation. */
void tou_failover_on_report (TouFailover *failover, const TouGroupConfig *group,
                             guint endpoint, TouDbControlOp op,
                             gboolean granted, const TouDbReport *report);

/** Returns the record of @a group; one of state NONE if none was received. */
const TouGroupRecord *tou_failover_record (const TouFailover *failover,
                                           const TouName *group);

/**
 * Compares a session position with the record's history.
 *
 * @return TRUE if a promotion discarded @a pos, or if @a pos is older than the
 * record's history
 */
gboolean tou_record_discards (const TouGroupRecord *record, TouLogPos pos);

/**
 * TRUE if, by the record's history, the log of a database that ends at @a last
 * contains @a pos.
 */
gboolean tou_record_covers (const TouGroupRecord *record, TouLogPos last,
                            TouLogPos pos);

G_END_DECLS
