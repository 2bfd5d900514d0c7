/**
 * @file peer-zap.h
 * Authenticates peers: ZeroMQ Authentication Protocol (RFC 27) handler.
 */
#pragma once

#include "toucanscale/status.h"

G_BEGIN_DECLS

/** Size of a binary CURVE key. */
#define TOU_PEER_KEY_BYTES 32

/** ZAP domain of the sockets that require authentication. */
#define TOU_PEER_ZAP_DOMAIN "toucanscale"

typedef struct TouPeerZap TouPeerZap;

/**
 * Starts the handler's thread on @a context.
 *
 * @param keys accepted public keys in binary form, copied
 */
int tou_peer_zap_create (TouPeerZap **out, void *context,
                         const guint8 (*keys)[TOU_PEER_KEY_BYTES],
                         guint n_keys);

/** Returns the number of refused connections; callable from any thread. */
guint64 tou_peer_zap_refused_count (const TouPeerZap *zap);

/** Waits for the thread, which ends when the context is shut down. */
void tou_peer_zap_destroy (TouPeerZap *zap);

G_END_DECLS
