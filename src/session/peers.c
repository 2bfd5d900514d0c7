#include "peers.h"

#include "stream.h"

#include <msgpack.h>

#include <string.h>

/* A heartbeat proves a primary for 1 s, so four may be lost. */
#define PEERS_INTERVAL_US (200 * TOU_US_PER_MS)
/* With many nodes, of which only a majority must answer, two may be lost. */
#define PEERS_MANY_NODES 16
#define PEERS_MANY_INTERVAL_US (400 * TOU_US_PER_MS)
/* Heartbeats that all nodes send at the same time cross each other and are
   answered only an interval later. A random jitter of up to an eighth of the
   interval prevents this. */
#define PEERS_JITTER_DIVISOR 8
/* With many nodes, a new record needs two rounds of heartbeats, a third for
   losses and a fourth for nodes that received the record later. */
#define PEERS_MANY_URGENT_PERIOD_US (150 * TOU_US_PER_MS)
/* Interval during a change of primary, whose steps wait for heartbeats, and for
   the period after a new record, whose proofs need them as well. */
#define PEERS_URGENT_INTERVAL_US (50 * TOU_US_PER_MS)
#define PEERS_URGENT_PERIOD_US (500 * TOU_US_PER_MS)
/* Maximum age of the last heartbeat of a reporting node: four may be lost. */
#define PEERS_REPORTING_US (1000 * TOU_US_PER_MS)
/* A node without a heartbeat for this long is not used as a gateway: four
   intervals with many nodes, to tolerate packet loss. */
#define PEERS_ALIVE_US (1600 * TOU_US_PER_MS)
/* Transactions relayed for a node without a heartbeat for this long are ended.
   Databases close unreachable connections after the same time. */
#define PEERS_EXPIRED_US (3 * TOU_US_PER_S)
#define PEERS_VERSION 2
/* Numbers of fields: of a message, and of a group with and without record. */
#define PEERS_FIELDS 7
#define PEERS_RECORD_FIELDS 8
#define PEERS_GROUP_FIELDS 4
/* Multipliers of the splitmix64 mixer. */
#define PEERS_MIX_1 G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define PEERS_MIX_2 G_GUINT64_CONSTANT (0x94d049bb133111eb)

/* State of a group that a peer reported. */
typedef struct
{
  guint64 revision;          /* of the peer's record */
  guint64 quiesced_revision; /* record whose primary the peer no longer uses */
  gboolean suspects;
} PeerReport;

typedef struct
{
  TouName node;
  TouName failure_domain;
  struct sockaddr_in address;
  guint64 revision; /* of its registration in the store */
  guint64 incarnation;
  guint64 last_heartbeat_us;
  guint64 echo_us; /* send time of its last heartbeat, to be returned to it */
  guint64 digest;  /* of its records; 0: unknown */
  GHashTable *groups; /* TouName to PeerReport */
} Peer;

struct TouPeers
{
  TouProxy *proxy;
  uv_udp_t udp;
  GHashTable *nodes;      /* TouName to Peer */
  guint64 sent_all_us;    /* last heartbeats to all nodes */
  guint64 jitter_us;      /* added to the next interval */
  guint64 sent_leader_us; /* last heartbeat to the leader */
};

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  g_hash_table_destroy (peer->groups);
  g_free (peer);
}

static void
peers_update_count (TouPeers *peers)
{
  peers->proxy->n_nodes = g_hash_table_size (peers->nodes) + 1;
}

/* Discards the state of a node that has restarted. Incarnations are wall-clock
   times, so the new one may be lower if the clock was set back. */
static void
peer_reset (Peer *peer)
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

  if (tou_name_equal (node, &peers->proxy->settings.node)
      || tou_stream_address (&parsed, address) != TOU_OK)
    return;
  peer = g_hash_table_lookup (peers->nodes, node);
  if (peer == NULL)
    {
      peer = g_new0 (Peer, 1);
      peer->node = *node;
      /* Treated as a heartbeat, so that the node is not unreachable at once. */
      peer->last_heartbeat_us = tou_clock_us ();
      peer->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                            g_free, g_free);
      g_hash_table_insert (peers->nodes, &peer->node, peer);
    }
  peer->address = parsed;
  peer->failure_domain = *failure_domain;
  if (revision > peer->revision)
    peer_reset (peer);
  peer->revision = MAX (peer->revision, revision);
  peers_update_count (peers);
}

void
tou_peers_remove (TouPeers *peers, const TouName *node)
{
  g_hash_table_remove (peers->nodes, node);
  peers_update_count (peers);
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
  peers_update_count (peers);
}

static void
pack_name (msgpack_packer *packer, const TouName *name)
{
  msgpack_pack_str_with_body (packer, name->data, name->len);
}

/* Returns TRUE if @a peer has reported the same record. */
static gboolean
peers_has_record (const Peer *peer, const TouGroup *group)
{
  const TouGroupRecord *record = tou_authority_record (group->authority);
  const PeerReport *report = g_hash_table_lookup (peer->groups, &group->name);

  return report != NULL && report->revision == record->revision
         && !record->moving;
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

/* Nonlinear, so that different revisions with the same sum give different
   digests. */
static guint64
peers_mix (guint64 value)
{
  value = (value ^ (value >> 30)) * PEERS_MIX_1;
  value = (value ^ (value >> 27)) * PEERS_MIX_2;
  return value ^ (value >> 31);
}

/* A sum over the groups does not depend on their order. Nodes with equal
   digests omit records from their heartbeats. 0: no records to compare. */
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

/* Returns TRUE if the group's state contains nothing new for @a peer. */
static gboolean
peers_can_skip_group (const Peer *peer, TouGroup *group, gboolean same_records,
                      guint64 now_us)
{
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  return same_records && peers_has_record (peer, group)
         && !(primary != NULL && tou_endpoint_is_suspect (primary))
         && !tou_group_is_quiesced (group, now_us);
}

/* A node that has not read the store since it started does not have the records
   it acknowledged before, so it sends no groups. */
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
  pack_name (packer, &proxy->settings.node);
  msgpack_pack_uint64 (packer, proxy->incarnation);
  msgpack_pack_uint64 (packer, now_us);
  msgpack_pack_uint64 (packer, peer->echo_us);
  msgpack_pack_uint64 (packer, digest);
  g_hash_table_iter_init (&iter, proxy->groups);
  while (proxy->synced && g_hash_table_iter_next (&iter, NULL, &value))
    n_groups += !peers_can_skip_group (peer, value, same_records, now_us);
  msgpack_pack_array (packer, n_groups);
  g_hash_table_iter_init (&iter, proxy->groups);
  while (proxy->synced && g_hash_table_iter_next (&iter, NULL, &value))
    if (!peers_can_skip_group (peer, value, same_records, now_us))
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
  /* Errors are ignored: the next heartbeat replaces a lost one. */
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

/* Decodes the record after a group's first fields. */
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

static PeerReport *
peer_get_report (Peer *peer, const TouName *name)
{
  PeerReport *report = g_hash_table_lookup (peer->groups, name);

  if (report != NULL)
    return report;
  report = g_new0 (PeerReport, 1);
  g_hash_table_insert (peer->groups, g_memdup2 (name, sizeof *name), report);
  return report;
}

static gboolean
peers_on_group (TouPeers *peers, Peer *peer, const msgpack_object *object,
                guint64 echo_us, gboolean accepts_proofs)
{
  const msgpack_object *fields = object->via.array.ptr;
  TouGroupRecord record = { 0 };
  gboolean brief;
  TouName name;
  TouGroup *group;
  PeerReport *report;
  guint64 suspects;
  guint64 quiesced;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  brief = object->via.array.size == PEERS_GROUP_FIELDS;
  if ((!brief && object->via.array.size != PEERS_RECORD_FIELDS)
      || !unpack_name (&name, &fields[0])
      || !unpack_number (&record.revision, &fields[1])
      || !unpack_number (&suspects, &fields[2])
      || !unpack_number (&quiesced, &fields[3])
      || (!brief && !unpack_record (&record, fields)))
    return FALSE;
  group = tou_group_get (peers->proxy, &name);
  report = peer_get_report (peer, &name);
  report->revision = record.revision;
  report->suspects = suspects != 0;
  report->quiesced_revision = quiesced != 0 ? record.revision : 0;
  if (record.revision != 0 && !brief)
    tou_group_adopt (group, &record, peer->node.data);
  if (record.revision != 0 && echo_us != 0 && accepts_proofs)
    tou_authority_prove_by_node (group->authority, &peer->node, record.revision,
                                 echo_us);
  return TRUE;
}

/* A peer with the same digest proves all records, including those that its
   heartbeat omitted. */
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
      PeerReport *report;

      if (revision == 0)
        continue;
      if (echo_us != 0)
        tou_authority_prove_by_node (group->authority, &peer->node, revision,
                                     echo_us);
      report = peer_get_report (peer, &group->name);
      report->revision = revision;
    }
}

/* Clears the suspicions and acknowledgements of a peer. A heartbeat repeats
   those that still apply. */
static void
peer_clear_reports (Peer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PeerReport *report = value;

      report->suspects = FALSE;
      report->quiesced_revision = 0;
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
  gboolean accepts_proofs;

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
  /* Heartbeats of unregistered nodes and earlier incarnations are ignored. */
  if (peer == NULL || incarnation < peer->incarnation)
    return TRUE;
  if (incarnation > peer->incarnation)
    {
      g_hash_table_remove_all (peer->groups);
      peer->echo_us = 0;
    }
  peer->incarnation = incarnation;
  peer->last_heartbeat_us = tou_clock_us ();
  /* Datagrams may arrive out of order. */
  if (sent_us < peer->echo_us)
    return TRUE;
  peer->echo_us = sent_us;
  peer->digest = digest;
  if (echo_us > peer->last_heartbeat_us)
    echo_us = 0;
  accepts_proofs = tou_authority_accepts_peer_proofs (
      peers->proxy->n_nodes,
      1 + tou_peers_count_reporting (peers, peer->last_heartbeat_us),
      peer->last_heartbeat_us
          - MIN (peers->proxy->store_answered_us, peer->last_heartbeat_us));
  peer_clear_reports (peer);
  for (guint i = 0; i < fields[6].via.array.size; i++)
    if (!peers_on_group (peers, peer, &fields[6].via.array.ptr[i], echo_us,
                         accepts_proofs))
      return FALSE;
  if (digest != 0 && digest == tou_peers_digest (peers->proxy))
    peers_on_same_records (peers, peer, accepts_proofs ? echo_us : 0);
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

/* Who needs heartbeats at the short interval. Steps of a change of primary and
   proofs of a new record wait for them. */
typedef enum
{
  PEERS_REGULAR,
  PEERS_TO_LEADER, /* only the leader waits */
  PEERS_TO_ALL
} PeersUrgency;

static PeersUrgency
peers_urgency (const TouProxy *proxy, guint64 now_us)
{
  gboolean many = proxy->n_nodes > PEERS_MANY_NODES;
  guint64 urgent_us
      = many ? PEERS_MANY_URGENT_PERIOD_US : PEERS_URGENT_PERIOD_US;
  PeersUrgency urgency = PEERS_REGULAR;
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
      if (!many || tou_name_equal (&proxy->leader, &proxy->settings.node))
        return PEERS_TO_ALL;
      /* Without a leader, no node waits. */
      if (proxy->leader.len > 0)
        urgency = PEERS_TO_LEADER;
    }
  return urgency;
}

static void
peers_send_all (TouPeers *peers, guint64 now_us)
{
  guint64 digest = tou_peers_digest (peers->proxy);
  GHashTableIter iter;
  gpointer value;

  peers->sent_all_us = now_us;
  peers->sent_leader_us = now_us;
  peers->jitter_us = (guint64)g_random_int_range (
      0, (gint32)(tou_peers_interval_us (peers->proxy) / PEERS_JITTER_DIVISOR));
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
  const Peer *leader;

  interval_us += peers->jitter_us;

  if (urgency == PEERS_TO_ALL)
    interval_us = PEERS_URGENT_INTERVAL_US;
  /* Records that change within this interval are sent together. */
  if ((proxy->record_changed
       && now_us >= peers->sent_all_us + PEERS_URGENT_INTERVAL_US)
      || now_us >= peers->sent_all_us + interval_us)
    {
      proxy->record_changed = FALSE;
      peers_send_all (peers, now_us);
      return;
    }
  if (urgency != PEERS_TO_LEADER
      || now_us < peers->sent_leader_us + PEERS_URGENT_INTERVAL_US)
    return;
  peers->sent_leader_us = now_us;
  leader = g_hash_table_lookup (peers->nodes, &proxy->leader);
  if (leader != NULL)
    peers_send (peers, leader, tou_peers_digest (proxy), now_us);
}

guint
tou_peers_count_reporting (const TouPeers *peers, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us < ((Peer *)value)->last_heartbeat_us + PEERS_REPORTING_US)
      count++;
  return count;
}

guint
tou_peers_count_suspecting (const TouPeers *peers, const TouGroup *group,
                            guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      const PeerReport *report
          = g_hash_table_lookup (peer->groups, &group->name);

      if (report != NULL && report->suspects
          && now_us < peer->last_heartbeat_us + PEERS_REPORTING_US)
        count++;
    }
  return count;
}

guint
tou_peers_count_quiesced (const TouPeers *peers, const TouGroup *group,
                          guint64 revision)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PeerReport *report
          = g_hash_table_lookup (((Peer *)value)->groups, &group->name);

      if (report != NULL && report->quiesced_revision == revision)
        count++;
    }
  return count;
}

GArray *
tou_peers_nodes (const TouPeers *peers, guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (TouGatewayNode));
  TouGatewayNode node = { proxy->settings.node, proxy->settings.failure_domain,
                          TRUE, FALSE, FALSE };
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (nodes, node);
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      node.node = peer->node;
      node.failure_domain = peer->failure_domain;
      node.alive = now_us < peer->last_heartbeat_us + PEERS_ALIVE_US;
      node.expired = now_us >= peer->last_heartbeat_us + PEERS_EXPIRED_US;
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
tou_peers_least_recent (const TouPeers *peers, guint64 *last_heartbeat_us)
{
  GHashTableIter iter;
  gpointer value;
  const TouName *node = NULL;

  *last_heartbeat_us = G_MAXUINT64;
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      if (peer->last_heartbeat_us >= *last_heartbeat_us)
        continue;
      *last_heartbeat_us = peer->last_heartbeat_us;
      node = &peer->node;
    }
  return node;
}

int
tou_peers_create (TouPeers **out, TouProxy *proxy)
{
  TouPeers *peers = g_new0 (TouPeers, 1);
  struct sockaddr_in address;
  int status = tou_stream_address (&address, &proxy->settings.peers_listen);
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
    status = tou_status_set (TOU_E_IO, "cannot receive on %s: %s",
                             proxy->settings.peers_listen.data,
                             uv_strerror (error));
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
    return tou_status_set (TOU_E_IO, "cannot read the socket's address: %s",
                           uv_strerror (error));
  g_snprintf (text, sizeof text, "%s:%u", ip, g_ntohs (address.sin_port));
  return tou_name_set_c (out, text);
}
