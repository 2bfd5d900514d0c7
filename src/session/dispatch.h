/**
 * @file dispatch.h
 * Which statement runs next, and on which database.
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

/** Runs queued statements of @a group as far as links allow. */
void tou_dispatch_group (TouGroup *group);

/**
 * Takes the next statement of @a queue that @a endpoint has room and an idle
 * link for; opens a link if it lacks one.
 *
 * @return NULL if none can run now
 */
TouQueueItem *tou_dispatch_next (TouQueue *queue, TouEndpoint *endpoint,
                                 guint64 now_us);

/** Refuses statements whose time has passed. */
void tou_dispatch_expire (TouGroup *group, guint64 now_us);

/** Refuses all statements that wait for the primary. */
void tou_dispatch_refuse_writes (TouGroup *group, const char *reason);

/** Notes that a replica lacked @a after, so that reads avoid it for a while. */
void tou_dispatch_lacked (TouEndpoint *endpoint, TouLogPos after,
                          guint64 now_us);

G_END_DECLS
