/**
 * @file control.h
 * Access to the platform's store: watches configuration, endpoints, nodes and
 * group records, registers this node, and changes primaries while this node is
 * the leader.
 *
 * Keys written: "tou/node/NAME" (address), "tou/leader" (name of the leader,
 * with a lease), "tou/group/NAME" (record of a group), "tou/panel" (nodes that
 * prove records), "tou/era" (era of the store whose records are checked),
 * "tou/logs/NAME" (logs of a group with synchronous replicas, see log-set.h).
 */
#pragma once

#include "peers.h"

#include "store.h"

G_BEGIN_DECLS

typedef struct TouControl TouControl;

int tou_control_create (TouControl **out, TouProxy *proxy, PlatStore *store,
                        TouPeers *peers);
void tou_control_destroy (TouControl *control);

/** Starts the store calls that are due. */
void tou_control_tick (TouControl *control, guint64 now_us);

/** Ends leadership and removes the registration, on a graceful stop. */
void tou_control_deregister (TouControl *control);

/** Encodes a record as a store value; free the result with free(). */
char *tou_record_encode (const TouGroupRecord *record);
/** Decodes a store value. @return TOU_E_INVALID_JSON if it is not a record */
int tou_record_decode (TouGroupRecord *out, const TouStr *value);

/**
 * Returns TRUE while this node, which is draining, has a vote in the panel that
 * it is about to lose. If it ended before, the others might have no majority.
 */
gboolean tou_control_holds_seat (const TouControl *control, guint64 now_us);

G_END_DECLS
