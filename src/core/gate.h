/**
 * @file gate.h
 * Dispatches the statements of the groups for which this proxy is the gate.
 */
#pragma once

#include "config.h"

G_BEGIN_DECLS

int tou_gate_create (TouGate **out, TouContext *ctx);
void tou_gate_destroy (TouGate *gate);

void tou_gate_on_tick (TouGate *gate);

/**
 * Accepts a request from a front, which may be this proxy's own.
 *
 * The reply is passed to tou_front_on_reply () if @a from is this proxy,
 * otherwise it is sent as an EXECUTE_REPLY message.
 *
 * @param request deadline_us is absolute; the gate takes ownership of the
 * content
 */
void tou_gate_execute (TouGate *gate, const TouName *from, TouRequest *request);

/** Cancels the request if it was not sent yet; discards its reply otherwise. */
void tou_gate_cancel (TouGate *gate, const TouRequestId *id);

/** Handles an event of a work connection; FALSE for other connections. */
gboolean tou_gate_on_event (TouGate *gate, TouEvent *event);

/**
 * Applies a new report, record, configuration or membership.
 *
 * @param group NULL for all groups
 */
void tou_gate_on_change (TouGate *gate, const TouName *group);

/** Applies a batch of announcements that VMs or endpoints leave or return. */
void tou_gate_on_leaving (TouGate *gate, const TouVm *vms, guint count);

/** TRUE if the endpoint was announced as leaving. */
gboolean tou_gate_is_leaving (const TouGate *gate, const TouEndpoint *endpoint);

/** TRUE if no request and no transaction is in flight. */
gboolean tou_gate_is_idle (const TouGate *gate);

G_END_DECLS
