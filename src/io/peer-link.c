#include "peer-link.h"

#include <errno.h>
#include <string.h>

/* Initial reconnect interval and its maximum after doubling. Both are far below
   the suspicion timeout, so that the link to a restarted peer is restored
   quickly. */
#define LINK_RECONNECT_MS 50
#define LINK_RECONNECT_MAX_MS 250

/* A connection is closed if sent data stays unacknowledged for this long.
   ZeroMQ heartbeats would detect this too, but cause traffic on idle links. */
#define LINK_TCP_MAXRT_MS 3000

/* Maximum number of doublings of TOU_PEER_KEY_TIMEOUT_US: up to 4 s. */
#define LINK_KEY_TIMEOUT_DOUBLINGS 4

/* Interval between checks for idle links. */
#define LINK_SWEEP_US TOU_US_PER_S

typedef struct
{
  TouName node;
  TouName address;
  void *socket;      /* NULL if it cannot be created */
  guint key;         /* index of the current server key */
  guint key_changes; /* key changes since the last successful send */
  guint64 last_used_us;
  guint64 last_progress_us; /* last send or start of the current attempt */
  GQueue waiting;           /* of TouPeerItem, in order of submission */
} Link;

struct TouPeerLinks
{
  TouPeerLinksSettings settings;
  GHashTable *links;  /* address (TouName) to Link, owned */
  GPtrArray *waiting; /* Links whose waiting queue is not empty */
  guint64 next_sweep_us;
};

void
tou_peer_item_clear (TouPeerItem *item)
{
  tou_str_clear (&item->data);
}

static void
item_free (gpointer data)
{
  tou_peer_item_clear (data);
  g_free (data);
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
link_set_keys (const Link *link, const TouPeerKeys *keys)
{
  if (keys->n_server_keys == 0)
    return;
  zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY,
                  keys->server_keys[link->key], TOU_PEER_KEY_BYTES);
  zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
                  strlen (keys->public_key));
  zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
                  strlen (keys->secret_key));
}

/* Opens the socket. With ZMQ_IMMEDIATE, it accepts messages only while there is
   a connection, so a message that it rejects was certainly not sent. */
static void
link_open (const TouPeerLinks *links, Link *link, guint64 now_us)
{
  const TouPeerLinksSettings *settings = &links->settings;
  char endpoint[sizeof "tcp://" + TOU_NAME_MAX];

  link->last_progress_us = now_us;
  link->socket = zmq_socket (settings->context, ZMQ_DEALER);
  if (link->socket == NULL)
    return;
  zmq_setsockopt (link->socket, ZMQ_ROUTING_ID, settings->node,
                  strlen (settings->node));
  set_int (link->socket, ZMQ_LINGER, 0);
  set_int (link->socket, ZMQ_IMMEDIATE, 1);
  set_int (link->socket, ZMQ_SNDHWM, (int)settings->queue_limit);
  set_int (link->socket, ZMQ_RECONNECT_IVL, LINK_RECONNECT_MS);
  set_int (link->socket, ZMQ_RECONNECT_IVL_MAX, LINK_RECONNECT_MAX_MS);
  set_int (link->socket, ZMQ_TCP_MAXRT, LINK_TCP_MAXRT_MS);
  link_set_keys (link, &settings->keys);
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s", link->address.data);
  if (zmq_connect (link->socket, endpoint) != 0)
    {
      zmq_close (link->socket);
      link->socket = NULL;
    }
}

static void
link_close (Link *link, int linger_ms)
{
  if (link->socket == NULL)
    return;
  set_int (link->socket, ZMQ_LINGER, linger_ms);
  zmq_close (link->socket);
  link->socket = NULL;
}

static void
link_free (gpointer data)
{
  Link *link = data;

  link_close (link, 0);
  g_queue_clear_full (&link->waiting, item_free);
  g_free (link);
}

TouPeerLinks *
tou_peer_links_create (const TouPeerLinksSettings *settings)
{
  TouPeerLinks *links = g_new0 (TouPeerLinks, 1);

  links->settings = *settings;
  links->links = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                        NULL, link_free);
  links->waiting = g_ptr_array_new ();
  return links;
}

/* Closes the least recently used link that has no waiting messages. */
static void
links_evict (TouPeerLinks *links)
{
  GHashTableIter iter;
  gpointer value;
  Link *least_recent = NULL;

  g_hash_table_iter_init (&iter, links->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Link *link = value;

      if (link->waiting.length == 0
          && (least_recent == NULL
              || link->last_used_us < least_recent->last_used_us))
        least_recent = link;
    }
  if (least_recent != NULL)
    g_hash_table_remove (links->links, &least_recent->address);
}

/* Returns the link to the item's address and opens it if needed; NULL if the
   limit is reached and all links have waiting messages. */
static Link *
links_get_or_open (TouPeerLinks *links, const TouPeerItem *item)
{
  Link *link = g_hash_table_lookup (links->links, &item->address);

  if (link != NULL)
    return link;
  if (g_hash_table_size (links->links) >= TOU_PEER_MAX_LINKS)
    links_evict (links);
  if (g_hash_table_size (links->links) >= TOU_PEER_MAX_LINKS)
    return NULL;
  link = g_new0 (Link, 1);
  link->address = item->address;
  g_queue_init (&link->waiting);
  link_open (links, link, item->submitted_us);
  g_hash_table_insert (links->links, &link->address, link);
  return link;
}

static gboolean
link_try_send (const TouPeerLinks *links, Link *link, const TouPeerItem *item,
               guint64 now_us)
{
  if (link->socket == NULL
      || zmq_send (link->socket, item->data.data, item->data.len, ZMQ_DONTWAIT)
             < 0)
    return FALSE;
  link->last_progress_us = now_us;
  link->key_changes = 0;
  links->settings.sent (links->settings.user_data);
  return TRUE;
}

static void
links_drop (const TouPeerLinks *links, TouPeerItem *item, int code)
{
  links->settings.dropped (links->settings.user_data, item, code);
  tou_peer_item_clear (item);
}

void
tou_peer_links_send (TouPeerLinks *links, TouPeerItem *item)
{
  Link *link = links_get_or_open (links, item);

  if (link == NULL || link->waiting.length >= links->settings.queue_limit)
    {
      links_drop (links, item, TOU_E_RING_FULL);
      return;
    }
  link->node = item->node;
  link->last_used_us = item->submitted_us;
  if (link->waiting.length == 0
      && link_try_send (links, link, item, item->submitted_us))
    {
      tou_peer_item_clear (item);
      return;
    }
  if (link->waiting.length == 0)
    {
      link->last_progress_us = item->submitted_us;
      g_ptr_array_add (links->waiting, link);
    }
  g_queue_push_tail (&link->waiting, g_memdup2 (item, sizeof *item));
}

gboolean
tou_peer_links_get_address (const TouPeerLinks *links, const TouName *node,
                            TouName *address)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Link *link = value;

      if (!tou_name_equal (&link->node, node))
        continue;
      *address = link->address;
      return TRUE;
    }
  return FALSE;
}

void
tou_peer_links_add_poll_items (const TouPeerLinks *links, GArray *poll_items)
{
  for (guint i = 0; i < links->waiting->len; i++)
    {
      const Link *link = g_ptr_array_index (links->waiting, i);
      zmq_pollitem_t item = { link->socket, -1, ZMQ_POLLOUT, 0 };

      if (link->socket != NULL)
        g_array_append_val (poll_items, item);
    }
}

gboolean
tou_peer_links_has_waiting (const TouPeerLinks *links)
{
  return links->waiting->len > 0;
}

/* Sends waiting messages while the socket accepts them; drops expired ones. */
static void
link_flush (const TouPeerLinks *links, Link *link, guint64 now_us)
{
  TouPeerItem *item;

  while ((item = g_queue_peek_head (&link->waiting)) != NULL)
    {
      if (now_us >= item->expires_us)
        links_drop (links, item, TOU_E_NO_GATE);
      else if (!link_try_send (links, link, item, now_us))
        return;
      item_free (g_queue_pop_head (&link->waiting));
    }
}

/* Reopens the socket with the next key if no message could be sent for some
   time: the key is wrong after the peer's key pair was replaced. */
static void
link_try_next_key (const TouPeerLinks *links, Link *link, guint64 now_us)
{
  guint n_keys = MAX (links->settings.keys.n_server_keys, 1);
  guint doublings
      = MIN (link->key_changes / n_keys, LINK_KEY_TIMEOUT_DOUBLINGS);

  if (now_us - link->last_progress_us < TOU_PEER_KEY_TIMEOUT_US << doublings
      || (n_keys == 1 && link->socket != NULL))
    return;
  link_close (link, 0);
  link->key = (link->key + 1) % n_keys;
  link->key_changes++;
  link_open (links, link, now_us);
}

static gboolean
link_is_idle (gpointer key, gpointer value, gpointer user_data)
{
  const Link *link = value;
  const guint64 *now_us = user_data;

  (void)key;
  return link->waiting.length == 0
         && *now_us - link->last_used_us > TOU_PEER_IDLE_US;
}

void
tou_peer_links_tick (TouPeerLinks *links, guint64 now_us)
{
  for (guint i = links->waiting->len; i > 0; i--)
    {
      Link *link = g_ptr_array_index (links->waiting, i - 1);

      link_flush (links, link, now_us);
      if (link->waiting.length == 0)
        g_ptr_array_remove_index_fast (links->waiting, i - 1);
      else
        link_try_next_key (links, link, now_us);
    }
  if (now_us < links->next_sweep_us)
    return;
  links->next_sweep_us = now_us + LINK_SWEEP_US;
  g_hash_table_foreach_remove (links->links, link_is_idle, &now_us);
}

void
tou_peer_links_destroy (TouPeerLinks *links, int linger_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    link_close (value, linger_ms);
  g_hash_table_destroy (links->links);
  g_ptr_array_free (links->waiting, TRUE);
  g_free (links);
}
