/**
 * @file index.h
 * Read index, replica staleness and commit index of one group.
 */
#pragma once

#include "failover.h"

G_BEGIN_DECLS

typedef struct TouIndex TouIndex;

int tou_index_create (TouIndex **out, guint n_endpoints);
void tou_index_destroy (TouIndex *index);

/** Records a report whose request was sent at @a requested_us. */
void tou_index_on_report (TouIndex *index, guint endpoint, guint64 requested_us,
                          guint64 received_us, const TouDbReport *report);

/**
 * Finds a read index that includes every write acknowledged before
 * @a not_before_us.
 *
 * @return TRUE if a majority answered requests sent at or after that time
 */
gboolean tou_index_read_index (const TouIndex *index, guint64 not_before_us,
                               TouLogPos *out);

/**
 * Returns how old the data of @a endpoint may be at @a now_us, in us;
 * G_MAXUINT64 if unknown.
 */
guint64 tou_index_age (const TouIndex *index, const TouGroupRecord *record,
                       guint endpoint, guint64 now_us);

/**
 * TRUE if a majority has reported the term of @a pos, a position not below that
 * of @a pos and no fence of a higher term. The primary counts towards the
 * majority because its reply contains @a pos; its fence is checked as well.
 */
gboolean tou_index_is_committed (const TouIndex *index, guint primary,
                                 TouLogPos pos);

G_END_DECLS
