/**
 * @file kv-standin.h
 * In-process stand-in for the platform's key-value store. The store's client
 * runs unchanged: kv-client.c implements the HTTP client of platform/http.h
 * without a network, and kv-server.h serves the store on loopback.
 *
 * Patterns: the store is restored from a copy some seconds old, so that
 * revisions and leases are given out again; some nodes are cut off from it.
 */
#pragma once

#include "http.h"

#include <uv.h>

G_BEGIN_DECLS

typedef struct KvStandin KvStandin;

KvStandin *kv_create (uv_loop_t *loop);
/** The store that was created last, which kv-client.c calls. */
KvStandin *kv_latest (void);
/** Drops all calls. The loop must run once more before it is closed. */
void kv_destroy (KvStandin *kv);

/** Runs a call; a host name in its URL is the name of the calling node. */
void kv_call (KvStandin *kv, const PlatHttpCall *request, PlatHttpDone done,
              gpointer user_data);

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

/**
 * Returns the last promotion order, or NULL: the body as JSON and the holder of
 * the lease, in one line; free with g_free().
 */
char *kv_last_promotion (const KvStandin *kv);

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
