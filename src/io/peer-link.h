/**
 * @file peer-link.h
 * Outgoing connections to other proxies, one per address.
 *
 * While a link is not connected, messages wait in its queue for at most
 * TOU_PEER_MAX_WAIT_US. A request is dropped at its deadline, so that a peer
 * does not execute requests that have already timed out. Both the queue and
 * the socket buffer of a link are bounded.
 */
#pragma once

#include "peer-zap.h"
#include "toucanscale/types.h"

#include <zmq.h>

G_BEGIN_DECLS

/** Maximum time that a message waits for a connection. */
#define TOU_PEER_MAX_WAIT_US (1 * TOU_US_PER_S)

/** A link that has sent nothing for this long is closed. */
#define TOU_PEER_IDLE_US (10 * TOU_US_PER_S)

/**
 * If no message could be sent for this long, the next key is tried. The time
 * is enough for a handshake of three round trips between regions (60 ms) and
 * allows four keys within TOU_PEER_MAX_WAIT_US. It doubles each time all keys
 * have been tried, so that a slower handshake also succeeds.
 */
#define TOU_PEER_KEY_TIMEOUT_US (250 * TOU_US_PER_MS)

/** Maximum number of links; the least recently used one is evicted. */
#define TOU_PEER_MAX_LINKS 1024

typedef struct TouPeerLinks TouPeerLinks;

/** A message for one peer. */
typedef struct
{
  TouName node;
  TouName address;
  TouStr data;             /**< encoded message */
  TouRequestId execute_id; /**< id of an EXECUTE, else not set */
  guint64 submitted_us;
  guint64 expires_us; /**< dropped at this time if still not sent */
} TouPeerItem;

void tou_peer_item_clear (TouPeerItem *item);

/** CURVE keys; without server keys, messages are not encrypted. */
typedef struct
{
  const char *public_key; /**< Z85 text */
  const char *secret_key;
  guint n_server_keys;
  const guint8 (*server_keys)[TOU_PEER_KEY_BYTES]; /**< tried in order */
} TouPeerKeys;

typedef struct
{
  void *context;    /**< ZeroMQ context */
  const char *node; /**< routing id of all sockets */
  TouPeerKeys keys;
  guint queue_limit; /**< messages per link in its queue and in its socket */

  /**
   * Called for each item sent, and for each dropped item, which certainly was
   * not sent. The code is TOU_E_RING_FULL if the queue was full or no link
   * could be added, and TOU_E_NO_GATE if the item expired without a
   * connection.
   */
  void (*sent) (gpointer user_data);
  void (*dropped) (gpointer user_data, const TouPeerItem *item, int code);
  gpointer user_data;
} TouPeerLinksSettings;

/** The strings and keys in @a settings must outlive the links. */
TouPeerLinks *tou_peer_links_create (const TouPeerLinksSettings *settings);

/** Sends or queues @a item; takes ownership of its content. */
void tou_peer_links_send (TouPeerLinks *links, TouPeerItem *item);

/** Gets the address of the link to @a node; FALSE if there is none. */
gboolean tou_peer_links_get_address (const TouPeerLinks *links,
                                     const TouName *node, TouName *address);

/** Appends a poll item for each link with waiting messages. */
void tou_peer_links_add_poll_items (const TouPeerLinks *links,
                                    GArray *poll_items);

/** TRUE if a link has waiting messages. */
gboolean tou_peer_links_has_waiting (const TouPeerLinks *links);

/** Sends waiting messages, drops expired ones and closes idle links. */
void tou_peer_links_tick (TouPeerLinks *links, guint64 now_us);

/** Closes all links; buffered messages are sent for up to @a linger_ms. */
void tou_peer_links_destroy (TouPeerLinks *links, int linger_ms);

G_END_DECLS
