/**
 * @file dispatch.h
 * Selects the next statement to run and the endpoint that runs it.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/** Runs as many queued statements of @a group as its links allow. */
void tou_dispatch_group (TouGroup *group);

/**
 * Removes the next statement from @a queue if @a endpoint has room for it and
 * an idle link. Opens a link if there is room but no idle link.
 *
 * @return the statement, or NULL if none can run now
 */
TouQueueItem *tou_dispatch_next (TouQueue *queue, TouEndpoint *endpoint,
                                 guint64 now_us);

/** Refuses statements whose deadline has passed. */
void tou_dispatch_expire (TouGroup *group, guint64 now_us);

/** Refuses all queued statements. */
void tou_dispatch_refuse_all (TouGroup *group, const char *reason);

/**
 * Records that a replica has not reached @a after. Reads that require it avoid
 * the replica for a pause.
 */
void tou_dispatch_mark_lagging (TouEndpoint *endpoint, TouLogPos after,
                                guint64 now_us);

G_END_DECLS
