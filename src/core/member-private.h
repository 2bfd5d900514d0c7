/**
 * @file member-private.h
 * State shared by the sources of the member module.
 */
#pragma once

#include "member.h"

G_BEGIN_DECLS

/** Number of changes of the live set kept for the placement cache. */
#define TOU_MEMBER_LIVE_LOG 512

/** A member and its gossip state on this proxy. */
typedef struct
{
  TouMemberUpdate update;
  guint64 name_hash;
  guint64 state_since_us; /**< when the state was set */
  guint64 checked_us;     /**< last extra ping while dead */
  guint sends_left;       /**< number of further messages with the update */
  gboolean leaving; /**< the process is leaving; kept while it is suspect */
  gboolean live;    /**< counted in the live set */
} MemberPeer;

/** A ping whose acknowledgement is pending. */
typedef struct
{
  guint64 sequence;
  TouName target;
  guint64 sent_us;
  gboolean indirect;   /**< PING_REQ was sent to other members */
  gboolean only_check; /**< a missing answer changes no state */
  TouName requester;   /**< member that requested the ping, or empty */
  guint64 requester_sequence;
} MemberProbe;

/** Transfer of the member table to a joining proxy. */
typedef struct
{
  TouName to;
  TouName after; /**< last member sent */
} MemberTransfer;

struct TouMember
{
  TouContext *ctx;
  GHashTable *by_name; /**< TouName in the value -> MemberPeer */
  GPtrArray *sorted;   /**< MemberPeer in name order */
  GQueue queue;        /**< MemberPeer with sends_left > 0, next first */
  MemberPeer *self;    /**< also in by_name and sorted */
  guint64 version;
  guint64 live_version;
  TouMemberLiveChange live_log[TOU_MEMBER_LIVE_LOG];

  GPtrArray *probes; /**< MemberProbe */
  GArray *transfers; /**< MemberTransfer */
  guint64 sequence;
  guint64 next_ping_us;
  guint64 next_sweep_us;
  guint64 last_tick_us;
  guint64 ping_rounds; /**< ping rounds so far */
  guint64 joined_us;   /**< first message from another member; 0: none yet */
  gboolean suppress_gossip; /**< updates are applied without being gossiped */
  GArray *vm_seeds;         /**< TouName: addresses from the VM list */
};

MemberPeer *tou_member_peer (const TouMember *member, const TouName *name);

/** Returns the index of the first member whose name is not below @a name. */
guint tou_member_lower_bound (const TouMember *member, const TouName *name);

/** Applies a gossiped update and queues it for gossip if it is new. */
void tou_member_apply (TouMember *member, const TouMemberUpdate *update);

/** Sets a state that this proxy has detected and queues the update. */
void tou_member_set_state (TouMember *member, MemberPeer *peer,
                           TouMemberState state);

/** Declares expired suspects dead and removes expired dead members. */
void tou_member_sweep (TouMember *member);

/**
 * Adds the feed revision and queued updates to @a ping.
 *
 * @param to receiver, or NULL if it is not in the member table
 */
void tou_member_fill_ping (TouMember *member, TouPing *ping,
                           const MemberPeer *to);

/** Starts the transfer of the member table to a joining proxy. */
void tou_member_start_transfer (TouMember *member, const TouName *to);

/** Sends the next messages of all transfers. */
void tou_member_send_transfers (TouMember *member);

/** Pings a member; its state does not change if the answer is missing. */
void tou_member_check_alive (TouMember *member, MemberPeer *peer);

G_END_DECLS
