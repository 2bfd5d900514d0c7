#include "peer.h"

#include "peer-link.h"
#include "toucanscale/ring.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Lanes of the ring: one for control messages, then one per rank. */
#define PEER_LANE_CONTROL 0
#define PEER_LANE_FIRST_RANK 1
#define PEER_LANES (PEER_LANE_FIRST_RANK + TOU_RANK_COUNT)

/* Maximum number of messages taken from the ring or the socket per iteration,
   so that neither is starved. */
#define PEER_BATCH 256

/* Poll timeouts with and without messages that wait for a connection. */
#define PEER_POLL_WAITING_MS 50
#define PEER_POLL_MS 1000

/* Time for sending buffered messages when the service stops. */
#define PEER_LINGER_MS 1000

/* Idle time before TCP keepalive probes on incoming connections. */
#define PEER_KEEPALIVE_S 60

/* Length of a key in Z85 encoding. */
#define PEER_KEY_TEXT_LEN 40U

/* Socket limit of the context: one per link, the receiving socket, the
   authentication handler, and closed sockets that ZeroMQ has not freed yet. */
#define PEER_MAX_SOCKETS (4 * TOU_PEER_MAX_LINKS)

struct TouPeer
{
  TouEventSink sink;
  char *node;
  char *public_key;
  char *secret_key;
  guint8 (*keys)[TOU_PEER_KEY_BYTES]; /* own public key, then accepted ones */
  guint n_keys;
  gboolean accepts_own_key;
  gsize max_message;
  guint queue_limit;

  TouRing *ring;
  int stop_fd; /* eventfd, readable when the thread must stop */
  void *context;
  void *router;
  TouPeerZap *zap;
  TouPeerLinks *links;
  gboolean started;
  pthread_t thread;
  guint64 incarnation; /* of this process, copied from sent messages */

  _Atomic guint64 sent;
  _Atomic guint64 received;
  _Atomic guint64 dropped;
  _Atomic guint64 invalid;
  _Atomic guint64 version_refused;
  _Atomic guint64 core_full;
};

/* Creates a reply to a request with outcome "not run". */
static TouMessage *
create_not_run_reply (const TouName *from, const TouRequestId *id, int code)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_EXECUTE_REPLY);

  message->from = *from;
  message->u.reply.id = *id;
  message->u.reply.code = code;
  message->u.reply.outcome = TOU_OUTCOME_NOT_RUN;
  message->u.reply.gate = *from;
  tou_str_init_c (&message->u.reply.message, tou_status_text (code));
  return message;
}

static int
peer_deliver (const TouPeer *peer, TouMessage *message)
{
  TouEvent event = { .type = TOU_EVENT_PEER };

  event.u.peer = message;
  return peer->sink.func (peer->sink.user_data, &event);
}

static void
peer_on_sent (gpointer user_data)
{
  TouPeer *peer = user_data;

  atomic_fetch_add (&peer->sent, 1);
}

/* Counts an item that was not sent. For a request, the front receives a reply
   with outcome "not run" and, on TOU_E_NO_GATE, tries another gate. */
static void
peer_on_dropped (gpointer user_data, const TouPeerItem *item, int code)
{
  TouPeer *peer = user_data;
  TouMessage *message;

  atomic_fetch_add (&peer->dropped, 1);
  if (!tou_request_id_is_set (&item->execute_id))
    return;
  message = create_not_run_reply (&item->node, &item->execute_id, code);
  if (peer_deliver (peer, message) != TOU_OK)
    tou_message_destroy (message);
}

/* Encodes a message and passes it to the link; @a message is not modified. */
static void
peer_send (TouPeer *peer, const TouName *node, const TouName *address,
           const TouMessage *message)
{
  TouPeerItem item = { .node = *node, .address = *address };

  item.submitted_us = (guint64)g_get_monotonic_time ();
  item.expires_us = item.submitted_us + TOU_PEER_MAX_WAIT_US;
  if (message->type == TOU_MESSAGE_EXECUTE)
    {
      item.execute_id = message->u.execute.id;
      item.expires_us
          = item.submitted_us
            + MIN (TOU_PEER_MAX_WAIT_US, message->u.execute.deadline_us);
    }
  if (tou_message_encode (&item.data, message) != TOU_OK
      || item.data.len > peer->max_message)
    {
      peer_on_dropped (peer, &item, TOU_E_MESSAGE_TOO_LARGE);
      tou_peer_item_clear (&item);
      return;
    }
  tou_peer_links_send (peer->links, &item);
}

/* Sends at most @a limit messages from the ring. */
static void
peer_send_submitted (TouPeer *peer, guint limit)
{
  TouAction action;

  for (guint i = 0; i < limit && tou_ring_pop (peer->ring, &action); i++)
    {
      peer->incarnation = action.u.send.message->from_incarnation;
      peer_send (peer, &action.u.send.node, &action.u.send.address,
                 action.u.send.message);
      tou_action_clear (&action);
    }
}

/* Drops a message that does not fit into the core's ring. A request is answered
   with outcome "not run" if there is a link to its sender; all other messages
   are repeated by their protocols. */
static void
peer_on_core_full (TouPeer *peer, TouMessage *message)
{
  TouName own = tou_name (peer->node);
  TouMessage *answer;
  TouName address;

  atomic_fetch_add (&peer->core_full, 1);
  if (message->type == TOU_MESSAGE_EXECUTE
      && tou_peer_links_get_address (peer->links, &message->from, &address))
    {
      answer = create_not_run_reply (&own, &message->u.execute.id,
                                     TOU_E_RING_FULL);
      answer->from_incarnation = peer->incarnation;
      peer_send (peer, &message->from, &address, answer);
      tou_message_destroy (answer);
    }
  tou_message_destroy (message);
}

static void
peer_on_payload (TouPeer *peer, const char *data, gsize len)
{
  TouMessage *message;
  int status = tou_message_decode (&message, data, len, peer->max_message);

  if (status == TOU_E_MESSAGE_VERSION)
    atomic_fetch_add (&peer->version_refused, 1);
  else if (status != TOU_OK)
    atomic_fetch_add (&peer->invalid, 1);
  if (status != TOU_OK)
    return;
  atomic_fetch_add (&peer->received, 1);
  if (peer_deliver (peer, message) != TOU_OK)
    peer_on_core_full (peer, message);
}

/* Receives one message: the sender's routing id and one payload frame. */
static gboolean
peer_receive (TouPeer *peer)
{
  zmq_msg_t frame;
  guint count = 0;
  int more = 1;

  zmq_msg_init (&frame);
  while (more)
    {
      if (zmq_msg_recv (&frame, peer->router, ZMQ_DONTWAIT) < 0)
        break;
      more = zmq_msg_more (&frame);
      if (++count == 2 && !more)
        peer_on_payload (peer, zmq_msg_data (&frame), zmq_msg_size (&frame));
    }
  zmq_msg_close (&frame);
  if (count != 0 && count != 2)
    atomic_fetch_add (&peer->invalid, 1);
  return count != 0;
}

/* Waits for events; returns FALSE when the thread must stop. */
static gboolean
peer_poll (const TouPeer *peer, GArray *items)
{
  zmq_pollitem_t fixed[] = {
    { NULL, peer->stop_fd, ZMQ_POLLIN, 0 },
    { NULL, tou_ring_fd (peer->ring), ZMQ_POLLIN, 0 },
    { peer->router, -1, ZMQ_POLLIN, 0 },
  };
  long timeout_ms = tou_peer_links_has_waiting (peer->links)
                        ? PEER_POLL_WAITING_MS
                        : PEER_POLL_MS;

  g_array_set_size (items, 0);
  g_array_append_vals (items, fixed, G_N_ELEMENTS (fixed));
  tou_peer_links_add_poll_items (peer->links, items);
  if (zmq_poll ((zmq_pollitem_t *)(gpointer)items->data, (int)items->len,
                timeout_ms)
          < 0
      && zmq_errno () == ETERM)
    return FALSE;
  return g_array_index (items, zmq_pollitem_t, 0).revents == 0;
}

static void *
peer_run (void *data)
{
  TouPeer *peer = data;
  GArray *items = g_array_new (FALSE, FALSE, sizeof (zmq_pollitem_t));

  while (peer_poll (peer, items))
    {
      peer_send_submitted (peer, PEER_BATCH);
      for (guint i = 0; i < PEER_BATCH && peer_receive (peer); i++)
        continue;
      tou_peer_links_tick (peer->links, (guint64)g_get_monotonic_time ());
    }
  peer_send_submitted (peer, G_MAXUINT); /* no further submissions */
  g_array_free (items, TRUE);
  return NULL;
}

static int
peer_add_key (TouPeer *peer, const char *text)
{
  if (strlen (text) != PEER_KEY_TEXT_LEN
      || zmq_z85_decode (peer->keys[peer->n_keys], text) == NULL)
    return tou_status_set (TOU_E_SETTING_INVALID,
                           "public key for peers is not 40 Z85 characters");
  peer->n_keys++;
  return TOU_OK;
}

/* Decodes this proxy's public key and the accepted ones from Z85. */
static int
peer_read_keys (TouPeer *peer, const TouPeerSettings *settings)
{
  const char *const own[] = { settings->public_key, NULL };
  const char *const *accepted
      = settings->accepted_keys != NULL ? settings->accepted_keys : own;
  int status;

  if (settings->public_key == NULL)
    return TOU_OK;
  if (settings->secret_key == NULL)
    return tou_status_set (TOU_E_SETTING_INVALID,
                           "secret key for peers is missing");
  peer->public_key = g_strdup (settings->public_key);
  peer->secret_key = g_strdup (settings->secret_key);
  peer->keys = g_malloc0 ((g_strv_length ((char **)accepted) + 1)
                          * sizeof peer->keys[0]);
  status = peer_add_key (peer, settings->public_key);
  for (; *accepted != NULL && status == TOU_OK; accepted++)
    {
      if (strcmp (*accepted, settings->public_key) == 0)
        peer->accepts_own_key = TRUE;
      else
        status = peer_add_key (peer, *accepted);
    }
  return status;
}

static int
peer_start_authentication (TouPeer *peer)
{
  int server = 1;
  guint first = peer->accepts_own_key ? 0 : 1;
  int status;

  if (peer->n_keys == 0)
    return TOU_OK;
  status = tou_peer_zap_create (&peer->zap, peer->context, peer->keys + first,
                                peer->n_keys - first);
  if (status != TOU_OK)
    return status;
  if (zmq_setsockopt (peer->router, ZMQ_CURVE_SERVER, &server, sizeof server)
          != 0
      || zmq_setsockopt (peer->router, ZMQ_CURVE_SECRETKEY, peer->secret_key,
                         strlen (peer->secret_key))
             != 0
      || zmq_setsockopt (peer->router, ZMQ_ZAP_DOMAIN, TOU_PEER_ZAP_DOMAIN,
                         strlen (TOU_PEER_ZAP_DOMAIN))
             != 0)
    return tou_status_set (TOU_E_SETTING_INVALID,
                           "secret key for peers is not 40 Z85 characters");
  return TOU_OK;
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

/* Opens the receiving socket. With ZMQ_ROUTER_HANDOVER, a peer that reconnects
   replaces its previous connection, whose loss may not be detected yet. */
static int
peer_bind (TouPeer *peer, const TouPeerSettings *settings)
{
  gint64 max_size = (gint64)peer->max_message;
  char *endpoint;
  int bound;
  int status;

  peer->router = zmq_socket (peer->context, ZMQ_ROUTER);
  if (peer->router == NULL)
    return tou_status_set (TOU_E_IO, "cannot create a socket: %s",
                           zmq_strerror (zmq_errno ()));
  set_int (peer->router, ZMQ_LINGER, 0);
  set_int (peer->router, ZMQ_ROUTER_HANDOVER, 1);
  set_int (peer->router, ZMQ_RCVHWM, (int)peer->queue_limit);
  set_int (peer->router, ZMQ_TCP_KEEPALIVE, 1);
  set_int (peer->router, ZMQ_TCP_KEEPALIVE_IDLE, PEER_KEEPALIVE_S);
  zmq_setsockopt (peer->router, ZMQ_MAXMSGSIZE, &max_size, sizeof max_size);
  status = peer_start_authentication (peer);
  if (status != TOU_OK)
    return status;
  endpoint = g_strdup_printf ("tcp://%s", settings->listen_address);
  bound = zmq_bind (peer->router, endpoint);
  g_free (endpoint);
  if (bound != 0)
    return tou_status_set (TOU_E_IO, "cannot listen for peers on %s: %s",
                           settings->listen_address,
                           zmq_strerror (zmq_errno ()));
  return TOU_OK;
}

static void
peer_create_links (TouPeer *peer)
{
  TouPeerLinksSettings settings = {
    .context = peer->context,
    .node = peer->node,
    .keys = { peer->public_key, peer->secret_key, peer->n_keys,
              (const guint8 (*)[TOU_PEER_KEY_BYTES])peer->keys },
    .queue_limit = peer->queue_limit,
    .sent = peer_on_sent,
    .dropped = peer_on_dropped,
    .user_data = peer,
  };

  peer->links = tou_peer_links_create (&settings);
}

static int
peer_start (TouPeer *peer, const TouPeerSettings *settings)
{
  int status = peer_read_keys (peer, settings);

  if (status == TOU_OK)
    status = tou_ring_create (&peer->ring, PEER_LANES, settings->ring_capacity,
                              sizeof (TouAction));
  if (status == TOU_OK)
    status = peer_bind (peer, settings);
  if (status != TOU_OK)
    return status;
  peer->stop_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  peer_create_links (peer);
  if (peer->stop_fd < 0
      || pthread_create (&peer->thread, NULL, peer_run, peer) != 0)
    return tou_status_set (TOU_E_IO, "cannot start the peer thread");
  peer->started = TRUE;
  return TOU_OK;
}

int
tou_peer_create (TouPeer **out, const TouPeerSettings *settings,
                 TouEventSink sink)
{
  TouPeer *peer = g_new0 (TouPeer, 1);
  int status;

  peer->sink = sink;
  peer->node = g_strdup (settings->node);
  peer->max_message = settings->max_message;
  peer->queue_limit = settings->peer_queue_limit;
  peer->stop_fd = -1;
  peer->context = zmq_ctx_new ();
  zmq_ctx_set (peer->context, ZMQ_MAX_SOCKETS, PEER_MAX_SOCKETS);
  status = peer_start (peer, settings);
  if (status != TOU_OK)
    {
      tou_peer_destroy (peer);
      return status;
    }
  *out = peer;
  return TOU_OK;
}

/* Returns the lane of a message. CANCEL uses the last one, so that it cannot
   overtake its EXECUTE. */
static guint
message_lane (const TouMessage *message)
{
  switch (message->type)
    {
    case TOU_MESSAGE_EXECUTE:
      return PEER_LANE_FIRST_RANK + message->u.execute.rank;
    case TOU_MESSAGE_EXECUTE_REPLY:
      return PEER_LANE_FIRST_RANK;
    case TOU_MESSAGE_CANCEL:
      return PEER_LANES - 1;
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
    case TOU_MESSAGE_SUSPECT:
    case TOU_MESSAGE_ENTRIES:
    case TOU_MESSAGE_ENTRIES_REQUEST:
    case TOU_MESSAGE_LEAVING:
    case TOU_MESSAGE_COUNT:
      break;
    }
  return PEER_LANE_CONTROL;
}

int
tou_peer_submit (gpointer service, TouAction *action)
{
  TouPeer *peer = service;

  if (action->type != TOU_ACTION_SEND)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "peer service does not support action %d",
                           (int)action->type);
  return tou_ring_push (peer->ring, message_lane (action->u.send.message),
                        action);
}

void
tou_peer_counters (TouPeer *peer, TouPeerCounters *out)
{
  out->sent = atomic_load (&peer->sent);
  out->received = atomic_load (&peer->received);
  out->dropped = atomic_load (&peer->dropped);
  out->invalid = atomic_load (&peer->invalid);
  out->version_refused = atomic_load (&peer->version_refused);
  out->key_refused
      = peer->zap != NULL ? tou_peer_zap_refused_count (peer->zap) : 0;
  out->core_full = atomic_load (&peer->core_full);
}

static void
peer_stop_thread (TouPeer *peer)
{
  guint64 one = 1;
  ssize_t written;

  if (!peer->started)
    return;
  written = write (peer->stop_fd, &one, sizeof one);
  (void)written; /* cannot fail: the counter is 0 */
  pthread_join (peer->thread, NULL);
}

static void
peer_free (TouPeer *peer)
{
  if (peer->stop_fd >= 0)
    close (peer->stop_fd);
  g_free (peer->node);
  g_free (peer->public_key);
  if (peer->secret_key != NULL)
    explicit_bzero (peer->secret_key, strlen (peer->secret_key));
  g_free (peer->secret_key);
  g_free (peer->keys);
  g_free (peer);
}

void
tou_peer_destroy (TouPeer *peer)
{
  TouAction action;

  if (peer == NULL)
    return;
  peer_stop_thread (peer);
  while (peer->ring != NULL && tou_ring_pop (peer->ring, &action))
    tou_action_clear (&action);
  if (peer->links != NULL)
    tou_peer_links_destroy (peer->links, PEER_LINGER_MS);
  if (peer->router != NULL)
    zmq_close (peer->router);
  zmq_ctx_shutdown (peer->context);
  tou_peer_zap_destroy (peer->zap);
  zmq_ctx_term (peer->context);
  tou_ring_destroy (peer->ring);
  peer_free (peer);
}
