/**
 * @file control.h
 * What the node does with the platform's store: follows configuration,
 * endpoints, nodes and records, and runs changes of primary while it holds the
 * duty.
 *
 * Keys of its own: "tou/node/NAME" (address), "tou/leader" (holder of the
 * duty, with a lease), "tou/group/NAME" (record of a group).
 */
#pragma once

#include "peers.h"

#include "store.h"

G_BEGIN_DECLS

typedef struct TouControl TouControl;

int tou_control_create (TouControl **out, TouProxy *proxy, PlatStore *store,
                        TouPeers *peers);
void tou_control_destroy (TouControl *control);

/** Starts calls that are due. */
void tou_control_tick (TouControl *control, guint64 now_us);

/** Gives up the duty and the registration, at a graceful stop. */
void tou_control_leave (TouControl *control);

/** Encodes a record as the value of its key; free with free(). */
char *tou_record_encode (const TouGroupRecord *record);
/** Decodes a value. @return TOU_E_INVALID_JSON if it is no record */
int tou_record_decode (TouGroupRecord *out, const TouStr *value);

G_END_DECLS
