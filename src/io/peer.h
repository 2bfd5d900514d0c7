/**
 * @file peer.h
 * Peer service: messages between proxies over ZeroMQ on one thread.
 *
 * Accepts SEND actions; delivers received messages as PEER events. An EXECUTE
 * that certainly was not sent is answered locally by an EXECUTE_REPLY with
 * outcome "not run". The same reply is sent to the peer for an EXECUTE that is
 * received while the core's ring is full.
 */
#pragma once

#include "service.h"

G_BEGIN_DECLS

typedef struct TouPeer TouPeer;

typedef struct
{
  const char *listen_address; /**< "ip:port" */
  const char *node;           /**< name of this proxy and ZeroMQ routing id */
  const char *public_key;     /**< CURVE key in Z85; NULL: no encryption */
  const char *secret_key;     /**< CURVE key in Z85 */
  /**
   * Public keys accepted from peers, NULL-terminated; NULL: only public_key.
   *
   * All proxies share one key pair. To replace it without interruption, first
   * accept the new public key on all proxies, then change the key pair of one
   * proxy after the other, then remove the old key. Until then, a sender tries
   * each accepted key as the receiver's key.
   */
  const char *const *accepted_keys;
  gsize max_message;      /**< maximum message size in bytes */
  guint peer_queue_limit; /**< maximum number of buffered messages per peer */
  guint ring_capacity;
} TouPeerSettings;

/** Counters of the service, readable from any thread. */
typedef struct
{
  guint64 sent;
  guint64 received;
  guint64 dropped;         /**< not sent: buffer full, no connection, size */
  guint64 invalid;         /**< malformed messages */
  guint64 version_refused; /**< messages of an unsupported version */
  guint64 key_refused;     /**< connections with a key that is not accepted */
  guint64 core_full;       /**< received, but the core's ring was full */
} TouPeerCounters;

/** Binds the socket and starts the thread; the settings are copied. */
int tou_peer_create (TouPeer **out, const TouPeerSettings *settings,
                     TouEventSink sink);

/** Matches TouActionFunc. */
int tou_peer_submit (gpointer service, TouAction *action);

void tou_peer_counters (TouPeer *peer, TouPeerCounters *out);

/** Sends submitted messages for a limited time and stops the thread. */
void tou_peer_destroy (TouPeer *peer);

G_END_DECLS
