/**
 * @file kv-standin.h
 * In-process stand-in for the platform's key-value store. It implements the
 * HTTP client of platform/http.h, so that the store's client runs unchanged
 * without a network.
 *
 * Patterns: the store is restored from a copy some seconds old, so that
 * revisions and leases are given out again; some nodes are cut off from it.
 */
#pragma once

#include "toucanscale/types.h"

#include <uv.h>

G_BEGIN_DECLS

typedef struct KvStandin KvStandin;

/** Creates the store that all HTTP clients of the process reach. */
KvStandin *kv_create (uv_loop_t *loop);
/** Drops all calls. The loop must run once more before it is closed. */
void kv_destroy (KvStandin *kv);

/** Writes a key as the operator, a database or an earlier process would. */
void kv_put (KvStandin *kv, const char *key, const char *value);
/** Removes a key, as the store does when a registration expires. */
void kv_remove (KvStandin *kv, const char *key);
/** Returns the value of a key, or NULL; free with g_free(). */
char *kv_get (const KvStandin *kv, const char *key);
/** When the key was last written by a node, or 0. */
guint64 kv_written_us (const KvStandin *kv, const char *key);
guint64 kv_revision (const KvStandin *kv);
/** Writes a key without a meaning until the store has @a revision. */
void kv_pass_revision (KvStandin *kv, guint64 revision);

/** Calls of a cut-off node get no response. */
void kv_cut (KvStandin *kv, const char *node, gboolean cut);

/** Copies the store. */
void kv_backup (KvStandin *kv);
/**
 * Returns to the copy; keys of the operator and the databases are written
 * again. Waiting calls get no response.
 */
void kv_restore (KvStandin *kv);

G_END_DECLS
