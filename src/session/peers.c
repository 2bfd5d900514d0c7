#include "peers.h"

#include "stream.h"

#include <msgpack.h>

#include <string.h>

/* Heartbeats prove that a primary may be used for 1 s; four may be lost. */
#define PEERS_INTERVAL_US (200 * TOU_US_PER_MS)
/* Among many nodes, of which only a majority must answer, two may be lost. */
#define PEERS_MANY_NODES 16
#define PEERS_MANY_INTERVAL_US (400 * TOU_US_PER_MS)
/* Heartbeats that all nodes send at the same moment cross each other, and are
   answered an interval later only: up to an eighth of it is added at random. */
#define PEERS_JITTER_SHARE 8
/* Their new records need two rounds of heartbeats; a third makes up for losses
   and a fourth for nodes that heard of the record later. */
#define PEERS_MANY_URGENT_FOR_US (150 * TOU_US_PER_MS)
/* While a group's primary is changed, its steps wait for heartbeats, and so
   does the use of the new primary for a moment. */
#define PEERS_URGENT_US (50 * TOU_US_PER_MS)
#define PEERS_URGENT_FOR_US (500 * TOU_US_PER_MS)
/* A node is reporting if it was heard from within four heartbeats. */
#define PEERS_REPORTING_US (1000 * TOU_US_PER_MS)
/* A node that is not heard from for this long gets no statements to pass on:
   four heartbeats among many nodes, so that a lossy link does not count. */
#define PEERS_ALIVE_US (1600 * TOU_US_PER_MS)
/* A node that is not heard from for this long holds no transactions here: the
   databases drop unreachable connections after the same time. */
#define PEERS_LOST_US (3 * TOU_US_PER_S)
#define PEERS_VERSION 2
/* Fields of a message, and of each group in it with and without its record. */
#define PEERS_FIELDS 7
#define PEERS_RECORD_FIELDS 8
#define PEERS_GROUP_FIELDS 4
/* Factors of the 64-bit mixer of splitmix64. */
#define PEERS_MIX_1 G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define PEERS_MIX_2 G_GUINT64_CONSTANT (0x94d049bb133111eb)

/* What a node says of a group. */
typedef struct
{
  guint64 revision;       /* of its record */
  guint64 quiet_revision; /* it stopped using the primary of this record */
  gboolean suspects;
} PeerGroup;

typedef struct
{
  TouName node;
  TouName failure_domain;
  struct sockaddr_in address;
  guint64 revision; /* of its registration */
  guint64 incarnation;
  guint64 heard_us;
  guint64 echo_us;    /* its send time, to be returned */
  guint64 digest;     /* of the records that it has; 0: none known */
  GHashTable *groups; /* TouName to PeerGroup */
} Peer;

struct TouPeers
{
  TouProxy *proxy;
  uv_udp_t udp;
  GHashTable *nodes; /* TouName to Peer */
  guint64 next_us;   /* last heartbeats to all */
  guint64 jitter_us; /* added to the next interval */
  guint64 urgent_us; /* last one to the holder of the duty, or to all */
};

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  g_hash_table_destroy (peer->groups);
  g_free (peer);
}

static void
peers_count (TouPeers *peers)
{
  peers->proxy->n_nodes = g_hash_table_size (peers->nodes) + 1;
}

/* The node has started again. Incarnations are times of day, so a clock that
   was set back must not make the earlier one win. */
static void
peer_forget (Peer *peer)
{
  peer->incarnation = 0;
  peer->echo_us = 0;
  peer->digest = 0;
  g_hash_table_remove_all (peer->groups);
}

void
tou_peers_set (TouPeers *peers, const TouName *node, const TouName *address,
               const TouName *failure_domain, guint64 revision)
{
  struct sockaddr_in parsed;
  Peer *peer;

  if (tou_name_equal (node, &peers->proxy->site.node)
      || tou_stream_address (&parsed, address) != TOU_OK)
    return;
  peer = g_hash_table_lookup (peers->nodes, node);
  if (peer == NULL)
    {
      peer = g_new0 (Peer, 1);
      peer->node = *node;
      /* It gets a while to be heard before it counts as silent. */
      peer->heard_us = tou_clock_us ();
      peer->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                            g_free, g_free);
      g_hash_table_insert (peers->nodes, &peer->node, peer);
    }
  peer->address = parsed;
  peer->failure_domain = *failure_domain;
  if (revision > peer->revision)
    peer_forget (peer);
  peer->revision = MAX (peer->revision, revision);
  peers_count (peers);
}

void
tou_peers_remove (TouPeers *peers, const TouName *node)
{
  g_hash_table_remove (peers->nodes, node);
  peers_count (peers);
}

void
tou_peers_retain (TouPeers *peers, GHashTable *nodes)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (nodes, key))
      g_hash_table_iter_remove (&iter);
  peers_count (peers);
}

static void
pack_name (msgpack_packer *packer, const TouName *name)
{
  msgpack_pack_str_with_body (packer, name->data, name->len);
}

/* TRUE if @a peer is known to have the same record. */
static gboolean
peers_has_record (const Peer *peer, const TouGroup *group)
{
  const TouGroupRecord *record = tou_authority_record (group->authority);
  const PeerGroup *said = g_hash_table_lookup (peer->groups, &group->name);

  return said != NULL && said->revision == record->revision && !record->moving;
}

static void
peers_pack_group (msgpack_packer *packer, const Peer *peer, TouGroup *group,
                  guint64 now_us)
{
  const TouGroupRecord *record = tou_authority_record (group->authority);
  const TouEndpoint *primary = tou_group_recorded_primary (group);
  gboolean brief = peers_has_record (peer, group);

  msgpack_pack_array (packer, brief ? PEERS_GROUP_FIELDS : PEERS_RECORD_FIELDS);
  pack_name (packer, &group->name);
  msgpack_pack_uint64 (packer, record->revision);
  msgpack_pack_uint64 (packer,
                       primary != NULL && tou_endpoint_is_suspect (primary));
  msgpack_pack_uint64 (packer, tou_group_is_quiesced (group, now_us));
  if (brief)
    return;
  msgpack_pack_uint64 (packer, record->term);
  pack_name (packer, &record->primary);
  msgpack_pack_uint64 (packer, record->moving);
  pack_name (packer, &record->candidate);
}

/* Not linear: sums of mixed values differ where sums of revisions agree. */
static guint64
peers_mix (guint64 value)
{
  value = (value ^ (value >> 30)) * PEERS_MIX_1;
  value = (value ^ (value >> 27)) * PEERS_MIX_2;
  return value ^ (value >> 31);
}

/* Sum over the groups, so that their order does not matter. Nodes with the same
   records need not list them in every heartbeat. 0: nothing to compare. */
guint64
tou_peers_digest (const TouProxy *proxy)
{
  GHashTableIter iter;
  gpointer value;
  guint64 digest = 0;

  if (!proxy->synced)
    return 0;
  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouGroup *group = value;
      guint64 revision = tou_authority_record (group->authority)->revision;

      if (revision != 0)
        digest += peers_mix (revision
                             ^ ((guint64)tou_name_hash (&group->name) << 32));
    }
  return digest;
}

/* TRUE if @a peer learns nothing from the group's entry. */
static gboolean
peers_skips_group (const Peer *peer, TouGroup *group, gboolean same_records,
                   guint64 now_us)
{
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  return same_records && peers_has_record (peer, group)
         && !(primary != NULL && tou_endpoint_is_suspect (primary))
         && !tou_group_is_quiesced (group, now_us);
}

/* A node that has not read the store since its start does not know what it
   acknowledged before, so it says nothing of groups. */
static void
peers_pack (msgpack_packer *packer, TouPeers *peers, const Peer *peer,
            guint64 digest, guint64 now_us)
{
  TouProxy *proxy = peers->proxy;
  gboolean same_records = digest != 0 && digest == peer->digest;
  GHashTableIter iter;
  gpointer value;
  guint n_groups = 0;

  msgpack_pack_array (packer, PEERS_FIELDS);
  msgpack_pack_uint64 (packer, PEERS_VERSION);
  pack_name (packer, &proxy->site.node);
  msgpack_pack_uint64 (packer, proxy->incarnation);
  msgpack_pack_uint64 (packer, now_us);
  msgpack_pack_uint64 (packer, peer->echo_us);
  msgpack_pack_uint64 (packer, digest);
  g_hash_table_iter_init (&iter, proxy->groups);
  while (proxy->synced && g_hash_table_iter_next (&iter, NULL, &value))
    n_groups += !peers_skips_group (peer, value, same_records, now_us);
  msgpack_pack_array (packer, n_groups);
  g_hash_table_iter_init (&iter, proxy->groups);
  while (proxy->synced && g_hash_table_iter_next (&iter, NULL, &value))
    if (!peers_skips_group (peer, value, same_records, now_us))
      peers_pack_group (packer, peer, value, now_us);
}

static void
peers_send (TouPeers *peers, const Peer *peer, guint64 digest, guint64 now_us)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uv_buf_t buf;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  peers_pack (&packer, peers, peer, digest, now_us);
  buf = uv_buf_init (buffer.data, (unsigned int)buffer.size);
  /* A lost datagram is made up for by the next one. */
  uv_udp_try_send (&peers->udp, &buf, 1,
                   (const struct sockaddr *)&peer->address);
  TOU_COUNT (peers->proxy, PEER_SENT);
  peers->proxy->counters[TOU_COUNT_PEER_BYTES] += buffer.size;
  msgpack_sbuffer_destroy (&buffer);
}

static gboolean
unpack_name (TouName *out, const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_STR
         && tou_name_set (out, object->via.str.ptr, object->via.str.size)
                == TOU_OK;
}

static gboolean
unpack_number (guint64 *out, const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  *out = object->via.u64;
  return TRUE;
}

/* Decodes the record that follows a group's first fields. */
static gboolean
unpack_record (TouGroupRecord *out, const msgpack_object *fields)
{
  guint64 moving;

  if (!unpack_number (&out->term, &fields[4])
      || !unpack_name (&out->primary, &fields[5])
      || !unpack_number (&moving, &fields[6])
      || !unpack_name (&out->candidate, &fields[7]))
    return FALSE;
  out->moving = moving != 0;
  return TRUE;
}

static PeerGroup *
peer_group (Peer *peer, const TouName *name)
{
  PeerGroup *said = g_hash_table_lookup (peer->groups, name);

  if (said != NULL)
    return said;
  said = g_new0 (PeerGroup, 1);
  g_hash_table_insert (peer->groups, g_memdup2 (name, sizeof *name), said);
  return said;
}

static gboolean
peers_on_group (TouPeers *peers, Peer *peer, const msgpack_object *object,
                guint64 echo_us, gboolean counts)
{
  const msgpack_object *fields = object->via.array.ptr;
  TouGroupRecord record = { 0 };
  gboolean brief;
  TouName name;
  TouGroup *group;
  PeerGroup *said;
  guint64 suspects;
  guint64 quiet;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  brief = object->via.array.size == PEERS_GROUP_FIELDS;
  if ((!brief && object->via.array.size != PEERS_RECORD_FIELDS)
      || !unpack_name (&name, &fields[0])
      || !unpack_number (&record.revision, &fields[1])
      || !unpack_number (&suspects, &fields[2])
      || !unpack_number (&quiet, &fields[3])
      || (!brief && !unpack_record (&record, fields)))
    return FALSE;
  group = tou_group_get (peers->proxy, &name);
  said = peer_group (peer, &name);
  said->revision = record.revision;
  said->suspects = suspects != 0;
  said->quiet_revision = quiet != 0 ? record.revision : 0;
  if (record.revision != 0 && !brief)
    tou_group_adopt (group, &record, peer->node.data);
  if (record.revision != 0 && echo_us != 0 && counts)
    tou_authority_prove_by_node (group->authority, &peer->node, record.revision,
                                 echo_us);
  return TRUE;
}

/* The node has the same records: it proves all of them, also those that it did
   not list because it has nothing to say of them. */
static void
peers_on_same_records (TouPeers *peers, Peer *peer, guint64 echo_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      guint64 revision = tou_authority_record (group->authority)->revision;
      PeerGroup *said;

      if (revision == 0)
        continue;
      if (echo_us != 0)
        tou_authority_prove_by_node (group->authority, &peer->node, revision,
                                     echo_us);
      said = peer_group (peer, &group->name);
      said->revision = revision;
    }
}

/* What a node does not list it does not hold any more. */
static void
peer_forget_opinions (Peer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PeerGroup *said = value;

      said->suspects = FALSE;
      said->quiet_revision = 0;
    }
}

static gboolean
peers_on_message (TouPeers *peers, const msgpack_object *object)
{
  const msgpack_object *fields = object->via.array.ptr;
  TouName node;
  Peer *peer;
  guint64 version;
  guint64 incarnation;
  guint64 sent_us;
  guint64 echo_us;
  guint64 digest;
  gboolean counts;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != PEERS_FIELDS
      || !unpack_number (&version, &fields[0]) || version != PEERS_VERSION
      || !unpack_name (&node, &fields[1])
      || !unpack_number (&incarnation, &fields[2])
      || !unpack_number (&sent_us, &fields[3])
      || !unpack_number (&echo_us, &fields[4])
      || !unpack_number (&digest, &fields[5])
      || fields[6].type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  peer = g_hash_table_lookup (peers->nodes, &node);
  /* A node that is not registered proves nothing. */
  if (peer == NULL || incarnation < peer->incarnation)
    return TRUE;
  if (incarnation > peer->incarnation)
    {
      g_hash_table_remove_all (peer->groups);
      peer->echo_us = 0;
    }
  peer->incarnation = incarnation;
  peer->heard_us = tou_clock_us ();
  /* Datagrams may overtake each other. */
  if (sent_us < peer->echo_us)
    return TRUE;
  peer->echo_us = sent_us;
  peer->digest = digest;
  if (echo_us > peer->heard_us)
    echo_us = 0;
  counts = tou_authority_nodes_count (
      peers->proxy->n_nodes, 1 + tou_peers_reporting (peers, peer->heard_us),
      peer->heard_us - MIN (peers->proxy->store_answered_us, peer->heard_us));
  peer_forget_opinions (peer);
  for (guint i = 0; i < fields[6].via.array.size; i++)
    if (!peers_on_group (peers, peer, &fields[6].via.array.ptr[i], echo_us,
                         counts))
      return FALSE;
  if (digest != 0 && digest == tou_peers_digest (peers->proxy))
    peers_on_same_records (peers, peer, counts ? echo_us : 0);
  return TRUE;
}

static void
peers_on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
                   const struct sockaddr *from, unsigned int flags)
{
  TouPeers *peers = udp->data;
  msgpack_unpacked unpacked;

  (void)flags;
  if (n <= 0 || from == NULL)
    return;
  TOU_COUNT (peers->proxy, PEER_MESSAGES);
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, buf->base, (size_t)n, NULL)
          != MSGPACK_UNPACK_SUCCESS
      || !peers_on_message (peers, &unpacked.data))
    TOU_COUNT (peers->proxy, MALFORMED);
  msgpack_unpacked_destroy (&unpacked);
}

/* Steps of a change and proofs of a new record wait for heartbeats. */
typedef enum
{
  PEERS_CALM,
  PEERS_TO_HOLDER, /* only the holder of the duty waits */
  PEERS_TO_ALL
} PeersUrgency;

static PeersUrgency
peers_urgency (const TouProxy *proxy, guint64 now_us)
{
  gboolean many = proxy->n_nodes > PEERS_MANY_NODES;
  guint64 urgent_us = many ? PEERS_MANY_URGENT_FOR_US : PEERS_URGENT_FOR_US;
  PeersUrgency urgency = PEERS_CALM;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouGroup *group = value;

      if (now_us < group->adopted_us + urgent_us)
        return PEERS_TO_ALL;
      if (!tou_authority_record (group->authority)->moving)
        continue;
      if (!many || tou_name_equal (&proxy->leader, &proxy->site.node))
        return PEERS_TO_ALL;
      /* While nobody holds the duty, nobody waits. */
      if (proxy->leader.len > 0)
        urgency = PEERS_TO_HOLDER;
    }
  return urgency;
}

static void
peers_send_all (TouPeers *peers, guint64 now_us)
{
  guint64 digest = tou_peers_digest (peers->proxy);
  GHashTableIter iter;
  gpointer value;

  peers->next_us = now_us;
  peers->urgent_us = now_us;
  peers->jitter_us = (guint64)g_random_int_range (
      0, (gint32)(tou_peers_interval_us (peers->proxy) / PEERS_JITTER_SHARE));
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    peers_send (peers, value, digest, now_us);
}

guint64
tou_peers_interval_us (const TouProxy *proxy)
{
  return proxy->n_nodes > PEERS_MANY_NODES ? PEERS_MANY_INTERVAL_US
                                           : PEERS_INTERVAL_US;
}

void
tou_peers_tick (TouPeers *peers, guint64 now_us)
{
  TouProxy *proxy = peers->proxy;
  guint64 interval_us = tou_peers_interval_us (proxy);
  PeersUrgency urgency = peers_urgency (proxy, now_us);
  const Peer *holder;

  interval_us += peers->jitter_us;

  if (urgency == PEERS_TO_ALL)
    interval_us = PEERS_URGENT_US;
  /* Several records that change together go out together. */
  if ((proxy->record_changed && now_us >= peers->next_us + PEERS_URGENT_US)
      || now_us >= peers->next_us + interval_us)
    {
      proxy->record_changed = FALSE;
      peers_send_all (peers, now_us);
      return;
    }
  if (urgency != PEERS_TO_HOLDER || now_us < peers->urgent_us + PEERS_URGENT_US)
    return;
  peers->urgent_us = now_us;
  holder = g_hash_table_lookup (peers->nodes, &proxy->leader);
  if (holder != NULL)
    peers_send (peers, holder, tou_peers_digest (proxy), now_us);
}

guint
tou_peers_reporting (const TouPeers *peers, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us < ((Peer *)value)->heard_us + PEERS_REPORTING_US)
      count++;
  return count;
}

guint
tou_peers_suspecting (const TouPeers *peers, const TouGroup *group,
                      guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      const PeerGroup *said = g_hash_table_lookup (peer->groups, &group->name);

      if (said != NULL && said->suspects
          && now_us < peer->heard_us + PEERS_REPORTING_US)
        count++;
    }
  return count;
}

guint
tou_peers_quiet (const TouPeers *peers, const TouGroup *group, guint64 revision)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PeerGroup *said
          = g_hash_table_lookup (((Peer *)value)->groups, &group->name);

      if (said != NULL && said->quiet_revision == revision)
        count++;
    }
  return count;
}

GArray *
tou_peers_nodes (const TouPeers *peers, guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (TouGatewayNode));
  TouGatewayNode node
      = { proxy->site.node, proxy->site.failure_domain, TRUE, FALSE, FALSE };
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (nodes, node);
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      node.node = peer->node;
      node.failure_domain = peer->failure_domain;
      node.alive = now_us < peer->heard_us + PEERS_ALIVE_US;
      node.lost = now_us >= peer->heard_us + PEERS_LOST_US;
      g_array_append_val (nodes, node);
    }
  return nodes;
}

void
tou_peers_node_address (struct sockaddr_in *out, const TouPeers *peers,
                        const TouName *node)
{
  const Peer *peer = g_hash_table_lookup (peers->nodes, node);

  memset (out, 0, sizeof *out);
  if (peer != NULL)
    *out = peer->address;
}

const TouName *
tou_peers_most_silent (const TouPeers *peers, guint64 *heard_us)
{
  GHashTableIter iter;
  gpointer value;
  const TouName *node = NULL;

  *heard_us = G_MAXUINT64;
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      if (peer->heard_us >= *heard_us)
        continue;
      *heard_us = peer->heard_us;
      node = &peer->node;
    }
  return node;
}

int
tou_peers_create (TouPeers **out, TouProxy *proxy)
{
  TouPeers *peers = g_new0 (TouPeers, 1);
  struct sockaddr_in address;
  int status = tou_stream_address (&address, &proxy->site.peers_listen);
  int error = 0;

  peers->proxy = proxy;
  peers->nodes = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                        NULL, peer_free);
  uv_udp_init (proxy->loop, &peers->udp);
  peers->udp.data = peers;
  if (status == TOU_OK)
    error = uv_udp_bind (&peers->udp, (const struct sockaddr *)&address, 0);
  if (status == TOU_OK && error == 0)
    error
        = uv_udp_recv_start (&peers->udp, tou_stream_alloc, peers_on_datagram);
  if (status == TOU_OK && error != 0)
    status
        = tou_status_set (TOU_E_IO, "cannot receive on %s: %s",
                          proxy->site.peers_listen.data, uv_strerror (error));
  if (status != TOU_OK)
    {
      tou_peers_destroy (peers);
      peers = NULL;
    }
  *out = peers;
  return status;
}

static void
peers_on_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
tou_peers_destroy (TouPeers *peers)
{
  if (peers == NULL)
    return;
  g_hash_table_destroy (peers->nodes);
  uv_close ((uv_handle_t *)&peers->udp, peers_on_closed);
}

int
tou_peers_address (TouName *out, const TouPeers *peers)
{
  struct sockaddr_in address;
  char ip[INET_ADDRSTRLEN];
  char text[TOU_NAME_MAX + 1];
  int len = sizeof address;
  int error
      = uv_udp_getsockname (&peers->udp, (struct sockaddr *)&address, &len);

  if (error == 0)
    error = uv_ip4_name (&address, ip, sizeof ip);
  if (error != 0)
    return tou_status_set (TOU_E_IO, "no address: %s", uv_strerror (error));
  g_snprintf (text, sizeof text, "%s:%u", ip, g_ntohs (address.sin_port));
  return tou_name_set_c (out, text);
}
