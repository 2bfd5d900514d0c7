/**
 * @file storeop.h
 * Store calls with timeouts; compare-and-swap with read-back.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

/**
 * Called with the result of a call; the status after a timeout is
 * TOU_STORE_UNKNOWN.
 *
 * WATCH and WATCH_CANCEL do not have exactly one result each, so the watcher
 * emits them without this module.
 */
typedef void (*TouStoreFunc) (gpointer user_data, const TouStoreResult *result);

/** Outcome of a compare-and-swap with read-back. */
typedef enum
{
  TOU_CAS_WRITTEN,
  TOU_CAS_CONFLICT, /**< the key has another value */
  TOU_CAS_UNKNOWN,  /**< no definite answer; the value may be written */
  TOU_CAS_FAILED    /**< the store did not answer; not written */
} TouCasOutcome;

/**
 * @param revision revision of the written value, or of the other value
 * @param current the other value for CONFLICT (NULL if there is none)
 */
typedef void (*TouCasFunc) (gpointer user_data, TouCasOutcome outcome,
                            guint64 revision, const TouStr *current);

int tou_store_ops_create (TouStoreOps **out, TouContext *ctx);
void tou_store_ops_destroy (TouStoreOps *ops);

/**
 * Emits the store call @a request, whose content is consumed, and calls @a func
 * with its result.
 *
 * @return the id of the call
 */
guint64 tou_store_ops_call (TouStoreOps *ops, TouStoreCall *request,
                            TouStoreFunc func, gpointer user_data);

/**
 * Like tou_store_ops_call (), but calls @a destroy on @a user_data if the call
 * is cancelled. @a func becomes the owner of @a user_data when it is called.
 */
guint64 tou_store_ops_call_owned (TouStoreOps *ops, TouStoreCall *request,
                                  TouStoreFunc func, gpointer user_data,
                                  GDestroyNotify destroy);

/**
 * Writes @a value if the key's revision is @a expected_revision.
 *
 * @param marker text that only the value of this attempt contains; after a lost
 * reply the key is read back and searched for it
 */
void tou_store_ops_cas (TouStoreOps *ops, const char *key, const TouStr *value,
                        guint64 expected_revision, guint64 lease,
                        const char *marker, TouCasFunc func,
                        gpointer user_data);

/**
 * Like tou_store_ops_cas (), but calls @a destroy on @a user_data after
 * @a func, or when the call is cancelled.
 */
void tou_store_ops_cas_owned (TouStoreOps *ops, const char *key,
                              const TouStr *value, guint64 expected_revision,
                              guint64 lease, const char *marker,
                              TouCasFunc func, gpointer user_data,
                              GDestroyNotify destroy);

/** Cancels all pending calls made with @a user_data; results are ignored. */
void tou_store_ops_cancel (TouStoreOps *ops, gpointer user_data);

void tou_store_ops_on_result (TouStoreOps *ops, const TouStoreResult *result);
void tou_store_ops_on_tick (TouStoreOps *ops);

/** TRUE if the last finished call was answered by the store. */
gboolean tou_store_ops_is_up (const TouStoreOps *ops);

G_END_DECLS
