/**
 * @file store-json.h
 * JSON formats of etcd's v3 gateway and of the VM list (internal).
 *
 * The gateway omits fields that have their default value, and encodes 64-bit
 * numbers as strings and keys and values in base64.
 */
#pragma once

#include "toucanscale/event.h"

G_BEGIN_DECLS

/** Returns the URL path for @a op. */
const char *tou_store_json_path (TouStoreOp op);

/** Returns the request body for @a call; the caller frees it with g_free (). */
char *tou_store_json_request (const TouStoreCall *call);

/**
 * Parses the response to a call other than a watch.
 *
 * @param out result with the op set; the content is added
 * @return TOU_E_INVALID_JSON if the response is malformed
 */
int tou_store_json_reply (TouStoreResult *out, const char *data, gsize len);

/**
 * Parses one message of a watch.
 *
 * A result with status TOU_STORE_OK and no entries means no changes. All
 * changes up to the result's revision have been delivered.
 *
 * @return TOU_E_INVALID_JSON if the message is malformed or reports an error
 */
int tou_store_json_watch (TouStoreResult *out, const char *data, gsize len);

/** Parses the VM list; the caller owns @a vms. */
int tou_store_json_vms (TouVm **vms, guint *count, const char *data, gsize len);

G_END_DECLS
