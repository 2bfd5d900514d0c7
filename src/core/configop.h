/**
 * @file configop.h
 * Configuration changes requested by operators.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

/**
 * Validates and writes an operator's change; the result is emitted as
 * TOU_ACTION_CONFIG_REPLY.
 *
 * The key is read before it is written: if the read fails, nothing was written
 * and the reply is TOU_E_STORE_DOWN. Codes of the reply:
 *
 * - TOU_OK: written; revision is the new revision
 * - TOU_E_CONFIG_INVALID, TOU_E_REASON_MISSING: rejected, nothing was written
 * - TOU_E_CONFLICT: the entry has another revision; its value is in current
 * - TOU_E_STORE_DOWN: the store did not answer, nothing was written
 * - TOU_E_STORE_UNKNOWN: the write may have taken effect
 *
 * @param change its content is consumed
 * @return the code of the reply if the change was rejected at once, else TOU_OK
 */
int tou_configop_change (TouContext *ctx, guint64 caller,
                         TouConfigChange *change);

G_END_DECLS
