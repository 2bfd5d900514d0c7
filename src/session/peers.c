#include "peers.h"

#include "pack.h"
#include "panel-news.h"
#include "quota-wire.h"
#include "revision.h"
#include "stream.h"

#include <msgpack.h>

#include <string.h>

/* A heartbeat proves a primary for 1 s, so four may be lost. */
#define PEERS_INTERVAL_US (200 * TOU_US_PER_MS)
/* With a panel, whose members answer at once, two may be lost. */
#define PEERS_PANEL_INTERVAL_US (400 * TOU_US_PER_MS)
/* Heartbeats that all nodes send at the same time cross each other and are
   answered only an interval later. A random jitter of up to an eighth of the
   interval prevents this. */
#define PEERS_JITTER_DIVISOR 8
/* Interval during a change of primary, whose steps wait for heartbeats, and for
   the period after a new record, whose proofs need them as well. */
#define PEERS_URGENT_INTERVAL_US (50 * TOU_US_PER_MS)
#define PEERS_URGENT_PERIOD_US (500 * TOU_US_PER_MS)
/* With a panel, the leader is told of changes at once; they are repeated at
   this interval while it waits for them. */
#define PEERS_REPEAT_INTERVAL_US (150 * TOU_US_PER_MS)
/* Maximum age of the last heartbeat of a reporting node: four may be lost. */
#define PEERS_REPORTING_US (1000 * TOU_US_PER_MS)
/* A node without a heartbeat for this long is not used as a gateway: four
   intervals with many nodes, to tolerate packet loss. */
#define PEERS_ALIVE_US (1600 * TOU_US_PER_MS)
/* Transactions relayed for a node without a heartbeat for this long are ended.
   Databases close unreachable connections after the same time. */
#define PEERS_EXPIRED_US (3 * TOU_US_PER_S)
/* Interval at which a member updates what it tells all nodes alike. */
#define PEERS_SUMMARY_INTERVAL_US (100 * TOU_US_PER_MS)
/* Positions older than this are of no use for reads of a stated age. */
#define PEERS_POSITION_MAX_AGE_US (2 * TOU_US_PER_S)
/* Maximum number of silent nodes named in a heartbeat, which has to fit into a
   datagram; the others are named once these are removed. */
#define PEERS_MAX_SILENT 100
/* Maximum number of groups in one message: their names, records and positions
   take up to 400 bytes each, and have to fit into a datagram. A heartbeat about
   more groups consists of several messages. */
#define PEERS_MAX_GROUPS 128
#define PEERS_VERSION 5
/* Numbers of fields: of a message, of a position, and of a group with and
   without record. */
#define PEERS_FIELDS 14
#define PEERS_POSITION_FIELDS 4
#define PEERS_RECORD_FIELDS 8
#define PEERS_GROUP_FIELDS 4
/* Up to this number, nodes send heartbeats to all others before the first
   panel. */
#define PEERS_FEW_NODES 16
/* Flags of a message. */
#define PEERS_WANTS_REPLY 1
/* The answer is to contain records and positions. */
#define PEERS_WANTS_DETAILS 2
/* The sender's records may be used as proofs. */
#define PEERS_VOUCHES 4
/* The sender watches the store and has had answers lately. */
#define PEERS_FOLLOWS_STORE 8
/* The sender will stop. */
#define PEERS_DRAINING 16
/* A node follows the store if a watch has returned within this share of the
   time within which a configuration must be applied: one watch and its round
   trip. */
#define PEERS_FOLLOWS_DIVISOR 3
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

/* A node that a member of the panel does not receive heartbeats from. */
typedef struct
{
  guint hash; /* of its name */
  gboolean expired;
} PeerSilent;

typedef struct
{
  TouName node;
  TouName failure_domain;
  struct sockaddr_in address;
  guint64 revision; /* of its registration in the store */
  guint64 incarnation;
  guint64 last_heartbeat_us;
  guint64 echo_us; /* send time of its last heartbeat, to be returned to it */
  gboolean continued; /* its last message is a later one of a heartbeat */
  guint64 echoed_us;  /* send time of this node's last one that it returned */
  guint64 rtt_us;     /* of the last reply */
  guint64 digest;     /* of its records; 0: unknown */
  guint64 panel_revision;
  guint64 store_revision;
  guint64 records_revision;
  guint64 urgent_revision;
  gboolean follows_store;
  gboolean draining;
  GArray *silent;     /* of PeerSilent */
  GHashTable *groups; /* TouName to PeerReport */
} Peer;

/* What is known of a member of the previous panel, registered or not. */
typedef struct
{
  guint64 heard_us;
  gboolean knows_self; /* it has answered since this node registered */
} PeerContact;

/* Each node sends heartbeats to the panel and to the leader; the panel answers,
   and a majority of it proves a record and reports which nodes are silent.
   Before the first panel, few nodes send to all others. */
struct TouPeers
{
  TouProxy *proxy;
  uv_udp_t udp;
  GHashTable *nodes;       /* TouName to Peer */
  guint first_part;        /* of the next heartbeat's messages to be sent */
  guint64 sent_all_us;     /* last heartbeats to all nodes or the panel */
  guint64 jitter_us;       /* added to the next interval */
  guint64 sent_leader_us;  /* last heartbeat to the leader */
  guint64 sent_state;      /* hash of the last state sent to the leader */
  guint64 member_since_us; /* when this node became a member of the panel */
  PeerContact previous[TOU_PANEL_SIZE]; /* of a joint panel */
  guint64 removed_revision;             /* of the last removal of a node */
  guint64 self_revision;    /* of this node's registration; 0: not seen */
  guint64 self_since_us;    /* when it was first seen */
  guint64 logged_news;      /* panel in the last log line about its sender */
  guint logged_nodes;       /* number of nodes in the last log line about it */
  guint64 summary_us;       /* when the two below were updated */
  GArray *silent;           /* of PeerSilent: nodes that this one misses */
  gboolean has_lost;        /* a node may have lost its registration */
  gboolean vouches;         /* this node's records may be used as proofs */
  TouPeersHandler on_quota; /* NULL: messages of quotas are not expected */
  gpointer quota_context;
};

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  g_hash_table_destroy (peer->groups);
  g_array_unref (peer->silent);
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
  peer->panel_revision = 0;
  peer->store_revision = 0;
  peer->records_revision = 0;
  peer->urgent_revision = 0;
  peer->follows_store = FALSE;
  peer->draining = FALSE;
  g_array_set_size (peer->silent, 0);
  g_hash_table_remove_all (peer->groups);
}

void
tou_peers_set (TouPeers *peers, const TouName *node, const TouName *address,
               const TouName *failure_domain, guint64 revision)
{
  struct sockaddr_in parsed;
  Peer *peer;

  if (tou_stream_address (&parsed, address) != TOU_OK)
    return;
  if (tou_name_equal (node, &peers->proxy->settings.node))
    {
      if (revision != peers->self_revision)
        peers->self_since_us = tou_clock_us ();
      peers->self_revision = revision;
      return;
    }
  peer = g_hash_table_lookup (peers->nodes, node);
  /* Another node has passed a later registration on. */
  if (peer != NULL && revision < peer->revision)
    return;
  if (peer == NULL)
    {
      peer = g_new0 (Peer, 1);
      peer->node = *node;
      /* Treated as a heartbeat, so that the node is not unreachable at once. */
      peer->last_heartbeat_us = tou_clock_us ();
      peer->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                            g_free, g_free);
      peer->silent = g_array_new (FALSE, FALSE, sizeof (PeerSilent));
      g_hash_table_insert (peers->nodes, &peer->node, peer);
    }
  peer->address = parsed;
  peer->failure_domain = *failure_domain;
  /* A restored store has the same registration at the same revision. */
  if (revision > peer->revision
      && tou_revision_number (revision) != tou_revision_number (peer->revision))
    peer_reset (peer);
  peer->revision = MAX (peer->revision, revision);
  peers_update_count (peers);
}

void
tou_peers_remove (TouPeers *peers, const TouName *node, guint64 revision)
{
  const Peer *peer = g_hash_table_lookup (peers->nodes, node);

  if (peer != NULL && revision < peer->revision)
    return;
  peers->removed_revision = MAX (peers->removed_revision, revision);
  g_hash_table_remove (peers->nodes, node);
  peers_update_count (peers);
}

static gboolean
peer_is_lost (const Peer *peer, guint64 revision)
{
  return tou_revision_era (peer->revision) < tou_revision_era (revision);
}

void
tou_peers_retain (TouPeers *peers, GHashTable *nodes, guint64 revision)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  peers->has_lost = FALSE;
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!g_hash_table_contains (nodes, key)
        && ((const Peer *)value)->revision <= revision)
      {
        if (peer_is_lost (value, revision))
          peers->has_lost = TRUE;
        else
          {
            peers->removed_revision = revision;
            g_hash_table_iter_remove (&iter);
          }
      }
  peers_update_count (peers);
}

gboolean
tou_peers_drop_lost (TouPeers *peers, guint64 revision, guint64 now_us)
{
  guint n_nodes = peers->proxy->n_nodes;
  GHashTableIter iter;
  gpointer value;
  guint n_reporting;

  if (!peers->has_lost)
    return FALSE;
  peers->has_lost = FALSE;
  n_reporting = 1 + tou_peers_count_reporting (peers, now_us);
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      if (!peer_is_lost (peer, revision))
        continue;
      peers->has_lost = TRUE;
      if (tou_authority_may_remove_node (
              n_nodes, n_reporting,
              now_us - MIN (peer->last_heartbeat_us, now_us)))
        g_hash_table_iter_remove (&iter);
    }
  peers_update_count (peers);
  return peers->proxy->n_nodes < n_nodes;
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
  tou_pack_name (packer, &group->name);
  msgpack_pack_uint64 (packer, record->revision);
  msgpack_pack_uint64 (packer,
                       primary != NULL && tou_endpoint_is_suspect (primary));
  msgpack_pack_uint64 (packer, tou_group_is_quiesced (group, now_us));
  if (brief)
    return;
  msgpack_pack_uint64 (packer, record->term);
  tou_pack_name (packer, &record->primary);
  msgpack_pack_uint64 (packer, record->moving);
  tou_pack_name (packer, &record->candidate);
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

/* What a heartbeat contains besides its header. */
typedef enum
{
  PEERS_STATE,    /* suspicions, and groups whose primary is being changed */
  PEERS_RECORDS,  /* all records, unless the receiver has them */
  PEERS_POSITIONS /* the same, and the positions of the primaries */
} PeersContent;

/* Returns TRUE if the group's state contains nothing new for the receiver. */
static gboolean
peers_can_skip_group (TouGroup *group, gboolean skip_records)
{
  const TouEndpoint *primary = tou_group_recorded_primary (group);

  return skip_records && !tou_authority_record (group->authority)->moving
         && !(primary != NULL && tou_endpoint_is_suspect (primary));
}

/* Returns the groups that a heartbeat is about. A node that has not read the
   store since it started does not have the records it acknowledged before, so
   it sends none. */
static GPtrArray *
peers_select_groups (const TouPeers *peers, const Peer *peer,
                     PeersContent content)
{
  const TouProxy *proxy = peers->proxy;
  guint64 digest = tou_peers_digest (proxy);
  gboolean skip_records
      = content == PEERS_STATE || (digest != 0 && digest == peer->digest);
  GPtrArray *groups = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (proxy->synced && g_hash_table_iter_next (&iter, NULL, &value))
    if (!peers_can_skip_group (value, skip_records))
      g_ptr_array_add (groups, value);
  return groups;
}

/* Returns the groups whose positions a heartbeat contains. */
static GPtrArray *
peers_select_positions (const TouPeers *peers, PeersContent content,
                        guint64 now_us)
{
  GPtrArray *groups = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->proxy->groups);
  while (content == PEERS_POSITIONS
         && g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us < tou_freshness_newest_us (((TouGroup *)value)->freshness)
                     + PEERS_POSITION_MAX_AGE_US)
      g_ptr_array_add (groups, value);
  return groups;
}

/* Number of the groups that the message with index @a part contains. */
static guint
peers_part_size (const GPtrArray *groups, guint part)
{
  guint first = part * PEERS_MAX_GROUPS;

  return MIN (groups->len - MIN (first, groups->len), PEERS_MAX_GROUPS);
}

static void
peers_pack_groups (msgpack_packer *packer, const Peer *peer,
                   const GPtrArray *groups, guint part, guint64 now_us)
{
  guint n = peers_part_size (groups, part);

  msgpack_pack_array (packer, n);
  for (guint i = 0; i < n; i++)
    peers_pack_group (packer, peer, groups->pdata[part * PEERS_MAX_GROUPS + i],
                      now_us);
}

/* TRUE if a majority of the panel has the records as of the panel's revision.
   Before that its members prove nothing to nodes that have the panel. If the
   store fails right after the panel was written, only its writer may have it.
 */
static gboolean
peers_panel_proves (const TouPeers *peers)
{
  const TouProxy *proxy = peers->proxy;
  const TouPanel *panel = &proxy->panel;
  guint count = tou_panel_contains (panel, &proxy->settings.node)
                && proxy->records_revision >= panel->revision;

  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);

      count += peer != NULL && peer->records_revision >= panel->revision;
    }
  return count * 2 > panel->n_members;
}

static void
peers_add_registration (TouPanelNews *news, const TouPeers *peers,
                        const TouName *node)
{
  const TouNodeSettings *settings = &peers->proxy->settings;
  const Peer *peer = g_hash_table_lookup (peers->nodes, node);
  TouRegistration self = { settings->node, settings->peers_listen,
                           settings->failure_domain, peers->self_revision };
  TouRegistration other = { 0 };

  if (tou_name_equal (node, &settings->node) && peers->self_revision != 0)
    tou_panel_news_add (news, &self);
  if (peer == NULL
      || tou_stream_name (&other.address, &peer->address) != TOU_OK)
    return;
  other.node = peer->node;
  other.failure_domain = peer->failure_domain;
  other.revision = peer->revision;
  tou_panel_news_add (news, &other);
}

/* A peer that reported an older panel gets this node's. One that has not been
   heard may not know this node, and gets it at once. */
static void
peers_pack_panel (msgpack_packer *packer, const TouPeers *peers,
                  const Peer *peer)
{
  const TouProxy *proxy = peers->proxy;
  const TouPanel *panel = &proxy->panel;
  TouPanelNews news = { 0 };

  news.panel = *panel;
  news.proves = peers_panel_proves (peers);
  if (peer->panel_revision >= panel->revision
      || (!news.proves && peer->incarnation != 0))
    {
      msgpack_pack_nil (packer);
      return;
    }
  for (guint i = 0; i < panel->n_members; i++)
    peers_add_registration (&news, peers, &panel->members[i]);
  peers_add_registration (&news, peers, &proxy->leader);
  peers_add_registration (&news, peers, &proxy->settings.node);
  tou_panel_news_pack (packer, &news);
}

static void
peers_pack_silent (msgpack_packer *packer, const TouPeers *peers)
{
  msgpack_pack_array (packer, peers->silent->len);
  for (guint i = 0; i < peers->silent->len; i++)
    {
      const PeerSilent *silent = &g_array_index (peers->silent, PeerSilent, i);

      msgpack_pack_uint64 (packer,
                           (guint64)silent->hash << 1 | silent->expired);
    }
}

/* Positions of the primaries with their ages, which a receiver can convert to
   its own clock. */
static void
peers_pack_positions (msgpack_packer *packer, const GPtrArray *groups,
                      guint part, guint64 now_us)
{
  guint n = peers_part_size (groups, part);

  msgpack_pack_array (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const TouGroup *group = groups->pdata[part * PEERS_MAX_GROUPS + i];
      guint64 sent_us = tou_freshness_newest_us (group->freshness);
      TouLogPos pos = { 0 };

      tou_freshness_required (group->freshness, sent_us, &pos);
      msgpack_pack_array (packer, PEERS_POSITION_FIELDS);
      tou_pack_name (packer, &group->name);
      msgpack_pack_uint64 (packer, pos.term);
      msgpack_pack_uint64 (packer, pos.position);
      msgpack_pack_uint64 (packer, now_us - sent_us);
    }
}

/* What a heartbeat says about groups. */
typedef struct
{
  PeersContent content;
  GPtrArray *groups;    /* of TouGroup */
  GPtrArray *positions; /* of TouGroup */
} PeersHeartbeat;

static void
peers_pack (msgpack_packer *packer, TouPeers *peers, const Peer *peer,
            guint64 flags, const PeersHeartbeat *heartbeat, guint part,
            guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;

  msgpack_pack_array (packer, PEERS_FIELDS);
  msgpack_pack_uint64 (packer, PEERS_VERSION);
  tou_pack_name (packer, &proxy->settings.node);
  msgpack_pack_uint64 (packer, proxy->incarnation);
  msgpack_pack_uint64 (packer, now_us);
  msgpack_pack_uint64 (packer, peer->echo_us);
  msgpack_pack_uint64 (packer, tou_peers_digest (proxy));
  if (peers->vouches)
    flags |= PEERS_VOUCHES;
  if (now_us < proxy->store_followed_us
                   + proxy->settings.config_apply_us / PEERS_FOLLOWS_DIVISOR)
    flags |= PEERS_FOLLOWS_STORE;
  if (proxy->draining)
    flags |= PEERS_DRAINING;
  msgpack_pack_uint64 (packer, flags);
  msgpack_pack_uint64 (packer, proxy->panel.revision);
  msgpack_pack_uint64 (packer, proxy->store_revision);
  msgpack_pack_uint64 (packer, proxy->records_revision);
  msgpack_pack_uint64 (packer, proxy->urgent_revision);
  peers_pack_panel (packer, peers, peer);
  /* What only the panel knows. */
  msgpack_pack_array (packer, heartbeat->content == PEERS_POSITIONS ? 2 : 1);
  peers_pack_silent (packer, peers);
  if (heartbeat->content == PEERS_POSITIONS)
    peers_pack_positions (packer, heartbeat->positions, part, now_us);
  peers_pack_groups (packer, peer, heartbeat->groups, part, now_us);
}

static void
peers_send_bytes (TouPeers *peers, const Peer *peer, char *data, gsize size)
{
  uv_buf_t buf = uv_buf_init (data, (unsigned int)size);

  /* Errors are ignored: a later message replaces a lost one. */
  uv_udp_try_send (&peers->udp, &buf, 1,
                   (const struct sockaddr *)&peer->address);
  TOU_COUNT (peers->proxy, PEER_SENT);
  peers->proxy->counters[TOU_COUNT_PEER_BYTES] += size;
}

/* Sends a heartbeat. Its messages have the same send time, and the first one
   that is sent requests the reply. The order changes, since the last ones may
   be more than the receiver's socket holds. */
static void
peers_send (TouPeers *peers, const Peer *peer, guint64 flags,
            PeersContent content, guint64 now_us)
{
  PeersHeartbeat heartbeat
      = { content, peers_select_groups (peers, peer, content),
          peers_select_positions (peers, content, now_us) };
  guint n_groups = MAX (heartbeat.groups->len, heartbeat.positions->len);
  guint n_parts = MAX ((n_groups + PEERS_MAX_GROUPS - 1) / PEERS_MAX_GROUPS, 1);

  peers->first_part++;
  for (guint i = 0; i < n_parts; i++)
    {
      msgpack_sbuffer buffer;
      msgpack_packer packer;

      msgpack_sbuffer_init (&buffer);
      msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
      peers_pack (&packer, peers, peer,
                  i == 0 ? flags : flags & ~(guint64)PEERS_WANTS_REPLY,
                  &heartbeat, (peers->first_part + i) % n_parts, now_us);
      peers_send_bytes (peers, peer, buffer.data, buffer.size);
      msgpack_sbuffer_destroy (&buffer);
    }
  g_ptr_array_unref (heartbeat.groups);
  g_ptr_array_unref (heartbeat.positions);
}

void
tou_peers_set_quota_handler (TouPeers *peers, TouPeersHandler handler,
                             gpointer context)
{
  peers->on_quota = handler;
  peers->quota_context = context;
}

gboolean
tou_peers_send_to (TouPeers *peers, const TouName *node, char *data, gsize size)
{
  const Peer *peer = g_hash_table_lookup (peers->nodes, node);

  if (peer != NULL)
    peers_send_bytes (peers, peer, data, size);
  return peer != NULL;
}

guint64
tou_peers_rtt_us (const TouPeers *peers, const TouName *node, guint64 now_us)
{
  const Peer *peer = g_hash_table_lookup (peers->nodes, node);

  if (peer == NULL || now_us >= peer->echoed_us + PEERS_REPORTING_US)
    return G_MAXUINT64;
  return peer->rtt_us;
}

/* Decodes the record after a group's first fields. */
static gboolean
unpack_record (TouGroupRecord *out, const msgpack_object *fields)
{
  guint64 moving;

  if (!tou_unpack_number (&out->term, &fields[4])
      || !tou_unpack_name (&out->primary, &fields[5])
      || !tou_unpack_number (&moving, &fields[6])
      || !tou_unpack_name (&out->candidate, &fields[7]))
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
      || !tou_unpack_name (&name, &fields[0])
      || !tou_unpack_number (&record.revision, &fields[1])
      || !tou_unpack_number (&suspects, &fields[2])
      || !tou_unpack_number (&quiesced, &fields[3])
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

      if (revision == 0)
        continue;
      if (echo_us != 0)
        tou_authority_prove_by_node (group->authority, &peer->node, revision,
                                     echo_us);
      peer_get_report (peer, &group->name)->revision = revision;
    }
}

/* Clears the suspicions and acknowledgements of a peer. A heartbeat repeats
   those that still apply, in any of its messages. */
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

/* Fields of a message that come before its groups. */
typedef struct
{
  TouName node;
  guint64 incarnation;
  guint64 sent_us;
  guint64 echo_us;
  guint64 digest;
  guint64 flags;
  guint64 panel_revision;
  guint64 store_revision;
  guint64 records_revision;
  guint64 urgent_revision;
} PeerHeader;

static gboolean
unpack_header (PeerHeader *out, const msgpack_object *fields)
{
  guint64 version;

  return tou_unpack_number (&version, &fields[0]) && version == PEERS_VERSION
         && tou_unpack_name (&out->node, &fields[1])
         && tou_unpack_number (&out->incarnation, &fields[2])
         && tou_unpack_number (&out->sent_us, &fields[3])
         && tou_unpack_number (&out->echo_us, &fields[4])
         && tou_unpack_number (&out->digest, &fields[5])
         && tou_unpack_number (&out->flags, &fields[6])
         && tou_unpack_number (&out->panel_revision, &fields[7])
         && tou_unpack_number (&out->store_revision, &fields[8])
         && tou_unpack_number (&out->records_revision, &fields[9])
         && tou_unpack_number (&out->urgent_revision, &fields[10]);
}

/* Registers nodes that this one does not know, or with an older registration.
 */
static void
peers_learn_nodes (TouPeers *peers, const TouPanelNews *news)
{
  for (guint i = 0; i < news->n_nodes; i++)
    {
      const TouRegistration *node = &news->nodes[i];
      const Peer *peer = g_hash_table_lookup (peers->nodes, &node->node);

      if (peer == NULL || node->revision > peer->revision)
        tou_peers_set (peers, &node->node, &node->address,
                       &node->failure_domain, node->revision);
    }
}

/* Returns the sender of news, or NULL if it is unknown. A node that the store
   turns away cannot read who has registered since, but it is asked to agree to
   the panel that follows its own. */
static Peer *
peers_find_sender (TouPeers *peers, const TouName *sender,
                   const TouPanelNews *news)
{
  const TouProxy *proxy = peers->proxy;
  Peer *peer = g_hash_table_lookup (peers->nodes, sender);

  if (peer != NULL || news == NULL || !proxy->synced
      || news->panel.revision <= proxy->panel.revision)
    return peer;
  if (tou_panel_news_introduces (news, sender, &proxy->panel))
    {
      peers_learn_nodes (peers, news);
      peer = g_hash_table_lookup (peers->nodes, sender);
    }
  if (news->panel.revision != peers->logged_news)
    tou_evlog (TOU_EVLOG_STATE,
               peer != NULL ? "panel_introduced" : "panel_refused",
               "\"peer\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
               ",\"current\":%" G_GUINT64_FORMAT,
               sender->data, news->panel.revision, proxy->panel.revision);
  peers->logged_news = news->panel.revision;
  return peer;
}

static gboolean
peers_on_silent (Peer *peer, const msgpack_object *list)
{
  if (list->type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  g_array_set_size (peer->silent, 0);
  for (guint i = 0; i < list->via.array.size; i++)
    {
      guint64 number;
      PeerSilent silent;

      if (!tou_unpack_number (&number, &list->via.array.ptr[i]))
        return FALSE;
      silent.hash = (guint)(number >> 1);
      silent.expired = number & 1;
      g_array_append_val (peer->silent, silent);
    }
  return TRUE;
}

/* The member's answer was sent after @a echo_us, so the position includes all
   commits acknowledged before that time less the position's age. */
static gboolean
peers_on_position (TouPeers *peers, const msgpack_object *object,
                   guint64 echo_us)
{
  const msgpack_object *fields = object->via.array.ptr;
  TouName name;
  TouLogPos pos;
  guint64 age_us;
  TouGroup *group;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != PEERS_POSITION_FIELDS
      || !tou_unpack_name (&name, &fields[0])
      || !tou_unpack_number (&pos.term, &fields[1])
      || !tou_unpack_number (&pos.position, &fields[2])
      || !tou_unpack_number (&age_us, &fields[3]))
    return FALSE;
  group = g_hash_table_lookup (peers->proxy->groups, &name);
  if (group != NULL && age_us < echo_us
      && tou_authority_record (group->authority)->term == pos.term)
    tou_freshness_add (group->freshness, echo_us - age_us, pos);
  return TRUE;
}

/* Handles what a member of the panel adds to its answers. */
static gboolean
peers_on_summary (TouPeers *peers, Peer *peer, const msgpack_object *object,
                  guint64 echo_us)
{
  const msgpack_object *positions;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 1
      || !peers_on_silent (peer, &object->via.array.ptr[0]))
    return FALSE;
  if (object->via.array.size < 2 || echo_us == 0)
    return TRUE;
  positions = &object->via.array.ptr[1];
  if (positions->type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  for (guint i = 0; i < positions->via.array.size; i++)
    if (!peers_on_position (peers, &positions->via.array.ptr[i], echo_us))
      return FALSE;
  return TRUE;
}

/* Returns TRUE if the records of @a peer prove this node's. A peer with a later
   panel no longer votes in this node's, and one without the records as of this
   node's panel may lack some that are older than the panel. */
static gboolean
peers_accepts_proofs (const TouPeers *peers, const Peer *peer, guint64 flags)
{
  const TouProxy *proxy = peers->proxy;

  return (flags & PEERS_VOUCHES) != 0
         && peer->panel_revision <= proxy->panel.revision
         && peer->records_revision >= proxy->panel.revision
         && tou_panel_contains (&proxy->panel, &peer->node);
}

/* Updates @a peer. @return FALSE if the message is to be ignored */
static gboolean
peer_on_header (TouPeers *peers, Peer *peer, const PeerHeader *header)
{
  if (header->incarnation < peer->incarnation)
    return FALSE;
  if (header->incarnation > peer->incarnation)
    peer_reset (peer);
  peer->incarnation = header->incarnation;
  peer->last_heartbeat_us = tou_clock_us ();
  peers->proxy->node_heard_us = peer->last_heartbeat_us;
  /* Datagrams may arrive out of order. */
  if (header->sent_us < peer->echo_us)
    return FALSE;
  peer->continued = header->sent_us == peer->echo_us;
  peer->echo_us = header->sent_us;
  peer->digest = header->digest;
  peer->panel_revision = header->panel_revision;
  peer->store_revision = header->store_revision;
  peer->records_revision = header->records_revision;
  peer->urgent_revision = header->urgent_revision;
  peer->follows_store = (header->flags & PEERS_FOLLOWS_STORE) != 0;
  peer->draining = (header->flags & PEERS_DRAINING) != 0;
  if (header->echo_us <= peer->last_heartbeat_us)
    {
      peer->echoed_us = MAX (peer->echoed_us, header->echo_us);
      peer->rtt_us = peer->last_heartbeat_us - header->echo_us;
    }
  return TRUE;
}

/* Updates what is known of the members of the previous panel. */
static void
peers_update_contacts (TouPeers *peers)
{
  const TouPanel *panel = &peers->proxy->panel;

  for (guint i = 0; i < panel->n_previous; i++)
    {
      const Peer *peer
          = g_hash_table_lookup (peers->nodes, &panel->previous[i]);
      PeerContact *contact = &peers->previous[i];

      if (peer == NULL)
        continue;
      contact->heard_us = MAX (contact->heard_us, peer->last_heartbeat_us);
      if (peers->self_revision != 0 && peer->echoed_us >= peers->self_since_us)
        contact->knows_self = TRUE;
    }
}

/* The panel and the leader answer every node, and a former member those that
   have not received its successor. */
static gboolean
peers_answers (const TouPeers *peers, const Peer *peer)
{
  const TouProxy *proxy = peers->proxy;

  return !proxy->deregistered
         && (peer->panel_revision < proxy->panel.revision
             || tou_panel_contains (&proxy->panel, &proxy->settings.node)
             || tou_name_equal (&proxy->leader, &proxy->settings.node));
}

/* Handles the part of a heartbeat that is about the group records. */
static gboolean
peers_on_records (TouPeers *peers, Peer *peer, const PeerHeader *header,
                  const msgpack_object *groups, guint64 echo_us)
{
  TouProxy *proxy = peers->proxy;
  gboolean accepts_proofs = peers_accepts_proofs (peers, peer, header->flags);

  if (!peer->continued)
    peer_clear_reports (peer);
  for (guint i = 0; i < groups->via.array.size; i++)
    if (!peers_on_group (peers, peer, &groups->via.array.ptr[i], echo_us,
                         accepts_proofs))
      return FALSE;
  if (header->digest == 0 || header->digest != tou_peers_digest (proxy))
    return TRUE;
  /* This node has all records that the sender had. */
  proxy->records_revision
      = MAX (proxy->records_revision, header->records_revision);
  if (accepts_proofs || !tou_peers_have_panel (proxy))
    peers_on_same_records (peers, peer, accepts_proofs ? echo_us : 0);
  return TRUE;
}

static gboolean
peers_on_message (TouPeers *peers, const msgpack_object *object)
{
  const msgpack_object *fields = object->via.array.ptr;
  PeerHeader header;
  TouPanelNews news;
  gboolean has_news;
  Peer *peer;
  guint64 echo_us;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != PEERS_FIELDS
      || !unpack_header (&header, fields)
      || fields[13].type != MSGPACK_OBJECT_ARRAY)
    return FALSE;
  has_news = fields[11].type != MSGPACK_OBJECT_NIL;
  if (has_news && !tou_panel_news_unpack (&news, &fields[11]))
    return FALSE;
  peer = peers_find_sender (peers, &header.node, has_news ? &news : NULL);
  /* Heartbeats of unregistered nodes and earlier incarnations are ignored. */
  if (peer == NULL)
    TOU_COUNT (peers->proxy, PEER_UNKNOWN);
  if (peer == NULL || !peer_on_header (peers, peer, &header))
    return TRUE;
  peers_update_contacts (peers);
  echo_us = header.echo_us <= peer->last_heartbeat_us ? header.echo_us : 0;
  if (has_news && news.panel.revision > peers->proxy->panel.revision)
    peers_learn_nodes (peers, &news);
  if (has_news && news.proves)
    tou_peers_adopt_panel (peers, &news.panel);
  if (!peers_on_summary (peers, peer, &fields[12], echo_us)
      || !peers_on_records (peers, peer, &header, &fields[13], echo_us))
    return FALSE;
  if ((header.flags & PEERS_WANTS_REPLY) != 0 && peers_answers (peers, peer))
    peers_send (peers, peer, 0,
                (header.flags & PEERS_WANTS_DETAILS) != 0 ? PEERS_POSITIONS
                                                          : PEERS_STATE,
                peer->last_heartbeat_us);
  return TRUE;
}

static void
peers_on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
                   const struct sockaddr *from, unsigned int flags)
{
  TouPeers *peers = udp->data;
  msgpack_unpacked unpacked;
  gboolean ok;

  (void)flags;
  if (n <= 0 || from == NULL)
    return;
  TOU_COUNT (peers->proxy, PEER_MESSAGES);
  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, buf->base, (size_t)n, NULL)
       == MSGPACK_UNPACK_SUCCESS;
  if (ok && peers->on_quota != NULL
      && tou_quota_wire_type (&unpacked.data) != 0)
    ok = peers->on_quota (peers->quota_context, &unpacked.data);
  else
    ok = ok && peers_on_message (peers, &unpacked.data);
  if (!ok)
    TOU_COUNT (peers->proxy, MALFORMED);
  msgpack_unpacked_destroy (&unpacked);
}

/* TRUE while steps of a change of primary or proofs of a new record wait for
   heartbeats. */
static gboolean
peers_is_urgent (const TouProxy *proxy, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TouGroup *group = value;

      if (tou_authority_record (group->authority)->moving
          || now_us < group->adopted_us + PEERS_URGENT_PERIOD_US)
        return TRUE;
    }
  return FALSE;
}

static void
peers_send_all (TouPeers *peers, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    peers_send (peers, value, 0, PEERS_RECORDS, now_us);
}

gboolean
tou_peers_have_panel (const TouProxy *proxy)
{
  return proxy->panel.revision != 0 || proxy->n_nodes > PEERS_FEW_NODES;
}

guint64
tou_peers_interval_us (const TouProxy *proxy)
{
  return tou_peers_have_panel (proxy) ? PEERS_PANEL_INTERVAL_US
                                      : PEERS_INTERVAL_US;
}

static guint64
peers_jitter_us (const TouProxy *proxy)
{
  return (guint64)g_random_int_range (
      0, (gint32)(tou_peers_interval_us (proxy) / PEERS_JITTER_DIVISOR));
}

/* Exchanges heartbeats between few nodes. */
static void
peers_tick_mesh (TouPeers *peers, guint64 now_us)
{
  TouProxy *proxy = peers->proxy;
  guint64 interval_us = peers_is_urgent (proxy, now_us)
                            ? PEERS_URGENT_INTERVAL_US
                            : PEERS_INTERVAL_US + peers->jitter_us;

  /* Records that change within this interval are sent together. */
  if (proxy->record_changed)
    interval_us = PEERS_URGENT_INTERVAL_US;
  if (now_us < peers->sent_all_us + interval_us)
    return;
  proxy->record_changed = FALSE;
  peers->sent_all_us = now_us;
  peers->jitter_us = peers_jitter_us (proxy);
  peers_send_all (peers, now_us);
}

/* Returns the member of the panel that answers fastest, or NULL. */
static const Peer *
peers_nearest_member (const TouPeers *peers, guint64 now_us)
{
  const TouPanel *panel = &peers->proxy->panel;
  const Peer *best = NULL;

  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);

      if (peer != NULL && now_us < peer->echoed_us + PEERS_REPORTING_US
          && (best == NULL || peer->rtt_us < best->rtt_us))
        best = peer;
    }
  return best;
}

/* Sends a heartbeat to the panel and the leader. Members get records and
   positions from all other members, other nodes from the nearest one. */
static void
peers_send_panel (TouPeers *peers, guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;
  const TouPanel *panel = &proxy->panel;
  gboolean is_member = tou_panel_contains (panel, &proxy->settings.node);
  const Peer *nearest = peers_nearest_member (peers, now_us);
  const Peer *leader = g_hash_table_lookup (peers->nodes, &proxy->leader);

  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);
      guint64 flags = PEERS_WANTS_REPLY;

      if (peer == NULL)
        continue;
      if (is_member || peer == nearest || nearest == NULL)
        flags |= PEERS_WANTS_DETAILS;
      peers_send (peers, peer, flags, is_member ? PEERS_RECORDS : PEERS_STATE,
                  now_us);
    }
  if (leader != NULL && !tou_panel_contains (panel, &leader->node))
    peers_send (peers, leader, PEERS_WANTS_REPLY, PEERS_STATE, now_us);
  /* Former members may learn of the panel, which waits for them, from this node
     only. */
  if (!panel->joint || !tou_name_equal (&proxy->leader, &proxy->settings.node))
    return;
  for (guint i = 0; i < panel->n_previous; i++)
    {
      const Peer *peer
          = g_hash_table_lookup (peers->nodes, &panel->previous[i]);

      if (peer != NULL && !tou_panel_contains (panel, &peer->node))
        peers_send (peers, peer, PEERS_WANTS_REPLY, PEERS_RECORDS, now_us);
    }
}

/* Hash of what the leader waits for: suspicions and acknowledgements. */
static guint64
peers_state (const TouProxy *proxy, gboolean *moving, gboolean *unproved,
             guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint64 state = 0;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      const TouGroupRecord *record = tou_authority_record (group->authority);
      const TouEndpoint *primary = tou_group_recorded_primary (group);
      guint64 bits = primary != NULL && tou_endpoint_is_suspect (primary);

      if (record->moving)
        {
          *moving = TRUE;
          bits |= tou_group_is_quiesced (group, now_us) ? 2 : 0;
        }
      else if (record->revision != 0
               && now_us < group->adopted_us + PEERS_URGENT_PERIOD_US
               && !tou_proxy_has_proof (proxy, group, now_us))
        *unproved = TRUE;
      if (bits != 0)
        state += peers_mix (tou_name_hash (&group->name) ^ bits << 32);
    }
  return state;
}

/* Returns TRUE if a heartbeat of @a peer has been missing for @a limit_us. A
   new member of the panel has not received heartbeats from all nodes yet. */
static gboolean
peers_misses (const TouPeers *peers, const Peer *peer, guint64 limit_us,
              guint64 now_us)
{
  return now_us
         >= MAX (peer->last_heartbeat_us, peers->member_since_us) + limit_us;
}

/* Updates what this node tells all nodes alike. */
static void
peers_update_summary (TouPeers *peers, guint64 now_us)
{
  TouProxy *proxy = peers->proxy;
  gboolean is_member
      = tou_panel_contains (&proxy->panel, &proxy->settings.node);
  guint n_reporting = 1;
  GHashTableIter iter;
  gpointer value;

  if (now_us < peers->summary_us + PEERS_SUMMARY_INTERVAL_US)
    return;
  peers->summary_us = now_us;
  g_array_set_size (peers->silent, 0);
  peers->vouches = FALSE;
  if (!is_member)
    return;
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      PeerSilent silent
          = { tou_name_hash (&peer->node),
              peers_misses (peers, peer, PEERS_EXPIRED_US, now_us) };

      /* A node that does not receive this one's answers may follow another
         leader. */
      n_reporting += now_us < peer->echoed_us + PEERS_ALIVE_US;
      if (peers_misses (peers, peer, PEERS_ALIVE_US, now_us)
          && peers->silent->len < PEERS_MAX_SILENT)
        g_array_append_val (peers->silent, silent);
    }
  peers->vouches
      = tou_authority_vouches (proxy->n_nodes, n_reporting,
                               now_us - MIN (proxy->store_followed_us, now_us));
}

/* Exchanges heartbeats with the panel. */
static void
peers_tick_panel (TouPeers *peers, guint64 now_us)
{
  TouProxy *proxy = peers->proxy;
  gboolean is_leader = tou_name_equal (&proxy->leader, &proxy->settings.node);
  gboolean moving = FALSE;
  gboolean unproved = FALSE;
  guint64 state = peers_state (proxy, &moving, &unproved, now_us);
  guint64 interval_us = PEERS_PANEL_INTERVAL_US + peers->jitter_us;
  const Peer *leader;

  peers_update_summary (peers, now_us);
  if (unproved)
    interval_us = PEERS_REPEAT_INTERVAL_US;
  if (proxy->record_changed)
    interval_us = PEERS_URGENT_INTERVAL_US;
  if (now_us >= peers->sent_all_us + interval_us)
    {
      if (proxy->record_changed && is_leader)
        peers_send_all (peers, now_us);
      proxy->record_changed = FALSE;
      peers->sent_all_us = now_us;
      peers->sent_leader_us = now_us;
      peers->sent_state = state;
      peers->jitter_us = peers_jitter_us (proxy);
      peers_send_panel (peers, now_us);
      return;
    }
  if (state == peers->sent_state
      && (!moving || now_us < peers->sent_leader_us + PEERS_REPEAT_INTERVAL_US))
    return;
  peers->sent_state = state;
  peers->sent_leader_us = now_us;
  leader = g_hash_table_lookup (peers->nodes, &proxy->leader);
  if (leader != NULL)
    peers_send (peers, leader, 0, PEERS_STATE, now_us);
}

/* Logs changes of the number of nodes, on which the proofs without a panel
   depend. */
static void
peers_log_nodes (TouPeers *peers)
{
  const TouProxy *proxy = peers->proxy;

  if (proxy->n_nodes == peers->logged_nodes)
    return;
  peers->logged_nodes = proxy->n_nodes;
  tou_evlog (TOU_EVLOG_STATE, "nodes",
             "\"nodes\":%u,\"required\":%u,\"store_revision\":"
             "%" G_GUINT64_FORMAT,
             proxy->n_nodes, tou_proxy_required_proofs (proxy),
             proxy->store_revision);
}

void
tou_peers_tick (TouPeers *peers, guint64 now_us)
{
  peers_log_nodes (peers);
  if (tou_peers_have_panel (peers->proxy))
    peers_tick_panel (peers, now_us);
  else
    peers_tick_mesh (peers, now_us);
}

void
tou_peers_adopt_panel (TouPeers *peers, const TouPanel *panel)
{
  TouProxy *proxy = peers->proxy;
  guint64 now_us = tou_clock_us ();
  GHashTableIter iter;
  gpointer value;

  if (panel->revision <= proxy->panel.revision)
    return;
  if (tou_panel_contains (panel, &proxy->settings.node)
      && !tou_panel_contains (&proxy->panel, &proxy->settings.node))
    peers->member_since_us = now_us;
  proxy->panel = *panel;
  proxy->panel_adopted_us = now_us;
  memset (peers->previous, 0, sizeof peers->previous);
  peers_update_contacts (peers);
  proxy->record_changed = TRUE;
  peers->summary_us = 0;
  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tou_authority_set_voters (((TouGroup *)value)->authority, panel->members,
                              panel->n_members);
  tou_evlog (TOU_EVLOG_STATE, "panel",
             "\"revision\":%" G_GUINT64_FORMAT ",\"members\":%u,"
             "\"joint\":%s,\"member\":%s",
             panel->revision, panel->n_members, panel->joint ? "true" : "false",
             tou_panel_contains (panel, &proxy->settings.node) ? "true"
                                                               : "false");
}

static gboolean
peers_has_acked (const TouPeers *peers, const TouName *node,
                 const TouGroup *group)
{
  const TouProxy *proxy = peers->proxy;
  const Peer *peer;
  const PeerReport *report;

  if (tou_name_equal (node, &proxy->settings.node))
    return TRUE;
  peer = g_hash_table_lookup (peers->nodes, node);
  if (peer == NULL)
    return FALSE;
  if (group == NULL)
    return peer->panel_revision == proxy->panel.revision;
  if (peer->digest != 0 && peer->digest == tou_peers_digest (proxy))
    return TRUE;
  report = g_hash_table_lookup (peer->groups, &group->name);
  return report != NULL
         && report->revision
                == tou_authority_record (group->authority)->revision;
}

void
tou_peers_count_votes (TouPanelVotes *out, const TouPeers *peers,
                       const TouGroup *group)
{
  const TouPanel *panel = &peers->proxy->panel;

  memset (out, 0, sizeof *out);
  for (guint i = 0; i < panel->n_members; i++)
    out->n_members += peers_has_acked (peers, &panel->members[i], group);
  for (guint i = 0; i < panel->n_previous; i++)
    out->n_previous += peers_has_acked (peers, &panel->previous[i], group);
}

/* TRUE if the members that have not read the removal are no majority. */
static gboolean
peers_majority_followed (const TouPeers *peers, const TouName *members,
                         guint n_members)
{
  const TouProxy *proxy = peers->proxy;
  guint n_behind = 0;

  for (guint i = 0; i < n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &members[i]);
      guint64 revision = peer != NULL ? peer->store_revision : 0;

      if (tou_name_equal (&members[i], &proxy->settings.node))
        revision = proxy->store_revision;
      n_behind += revision < peers->removed_revision;
    }
  return n_behind * 2 <= n_members;
}

gboolean
tou_peers_ignore_removed (const TouPeers *peers)
{
  const TouPanel *panel = &peers->proxy->panel;

  return peers_majority_followed (peers, panel->members, panel->n_members)
         && peers_majority_followed (peers, panel->previous, panel->n_previous);
}

gboolean
tou_peers_previous_expired (const TouPeers *peers, guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;
  const TouPanel *panel = &proxy->panel;
  guint count = 0;

  for (guint i = 0; i < panel->n_previous; i++)
    {
      const PeerContact *contact = &peers->previous[i];
      guint64 since_us = MAX (proxy->panel_adopted_us, contact->heard_us);

      count += peers_has_acked (peers, &panel->previous[i], NULL)
               || tou_authority_has_expired (contact->knows_self,
                                             now_us - MIN (since_us, now_us));
    }
  return count * 2 > panel->n_previous;
}

void
tou_peers_store (TouFollowPanel *out, const TouPeers *peers, guint64 now_us)
{
  const TouPanel *panel = &peers->proxy->panel;

  memset (out, 0, sizeof *out);
  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);

      if (peer == NULL || now_us >= peer->echoed_us + PEERS_REPORTING_US)
        continue;
      out->informed = out->informed || peer->follows_store;
      out->revision = MAX (out->revision, peer->store_revision);
      out->urgent = MAX (out->urgent, peer->urgent_revision);
    }
}

gboolean
tou_peers_reach_panel (const TouPeers *peers, guint64 now_us)
{
  const TouPanel *panel = &peers->proxy->panel;
  guint count = tou_panel_contains (panel, &peers->proxy->settings.node);

  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);

      count += peer != NULL && now_us < peer->echoed_us + PEERS_REPORTING_US;
    }
  return panel->revision != 0 && count * 2 > panel->n_members;
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

/* Counts in how many of the members' lists each silent node is. @return number
   of members that sent one recently */
static guint
peers_count_silent (const TouPeers *peers, GHashTable *silent,
                    GHashTable *expired, guint64 now_us)
{
  const TouPanel *panel = &peers->proxy->panel;
  guint n_members = 0;

  for (guint i = 0; i < panel->n_members; i++)
    {
      const Peer *peer = g_hash_table_lookup (peers->nodes, &panel->members[i]);

      if (peer == NULL || now_us >= peer->echoed_us + PEERS_ALIVE_US)
        continue;
      n_members++;
      for (guint j = 0; j < peer->silent->len; j++)
        {
          const PeerSilent *node = &g_array_index (peer->silent, PeerSilent, j);
          gpointer key = GUINT_TO_POINTER (node->hash);
          guint count = GPOINTER_TO_UINT (g_hash_table_lookup (silent, key));

          g_hash_table_insert (silent, key, GUINT_TO_POINTER (count + 1));
          count = GPOINTER_TO_UINT (g_hash_table_lookup (expired, key));
          if (node->expired)
            g_hash_table_insert (expired, key, GUINT_TO_POINTER (count + 1));
        }
    }
  return n_members;
}

static gboolean
peers_majority_misses (GHashTable *counts, const Peer *peer, guint n_members)
{
  gpointer key = GUINT_TO_POINTER (tou_name_hash (&peer->node));

  return n_members > 0
         && GPOINTER_TO_UINT (g_hash_table_lookup (counts, key)) * 2
                > n_members;
}

GArray *
tou_peers_nodes (const TouPeers *peers, guint64 now_us)
{
  const TouProxy *proxy = peers->proxy;
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (TouGatewayNode));
  TouGatewayNode node = { proxy->settings.node,
                          proxy->settings.failure_domain,
                          TRUE,
                          FALSE,
                          FALSE,
                          FALSE,
                          proxy->draining };
  /* Nodes outside the panel receive heartbeats from the panel only. */
  gboolean hears_all
      = proxy->panel.revision == 0
        || tou_panel_contains (&proxy->panel, &proxy->settings.node);
  GHashTable *silent = g_hash_table_new (NULL, NULL);
  GHashTable *expired = g_hash_table_new (NULL, NULL);
  guint n_members = peers_count_silent (peers, silent, expired, now_us);
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (nodes, node);
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      node.node = peer->node;
      node.failure_domain = peer->failure_domain;
      node.draining = peer->draining;
      if (hears_all)
        {
          node.alive = !peers_misses (peers, peer, PEERS_ALIVE_US, now_us);
          node.expired = peers_misses (peers, peer, PEERS_EXPIRED_US, now_us);
        }
      else
        {
          node.alive = !peers_majority_misses (silent, peer, n_members);
          node.expired = peers_majority_misses (expired, peer, n_members);
        }
      g_array_append_val (nodes, node);
    }
  g_hash_table_destroy (silent);
  g_hash_table_destroy (expired);
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
  peers->silent = g_array_new (FALSE, FALSE, sizeof (PeerSilent));
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
  g_array_unref (peers->silent);
  uv_close ((uv_handle_t *)&peers->udp, peers_on_closed);
}

int
tou_peers_address (TouName *out, const TouPeers *peers)
{
  struct sockaddr_in address;
  int len = sizeof address;
  int error
      = uv_udp_getsockname (&peers->udp, (struct sockaddr *)&address, &len);

  if (error != 0)
    return tou_status_set (TOU_E_IO, "cannot read the socket's address: %s",
                           uv_strerror (error));
  return tou_stream_name (out, &address);
}
