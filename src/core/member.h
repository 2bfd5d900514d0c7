/**
 * @file member.h
 * Membership of proxies: SWIM gossip with suspicion and incarnations.
 *
 * The incarnation of a member starts at the incarnation of its process and
 * grows by one with each refutation, so a process must start with a higher
 * incarnation than its predecessor reached (milliseconds since the epoch
 * suffice). Dead members stay in the table for 10 minutes, longer than gossip
 * about their last incarnation lasts.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

int tou_member_create (TouMember **out, TouContext *ctx);
void tou_member_destroy (TouMember *member);

void tou_member_on_tick (TouMember *member);
void tou_member_on_message (TouMember *member, const TouMessage *message);
void tou_member_on_vm_list (TouMember *member, const TouVm *vms, guint count);

/** Marks members on leaving VMs as leaving; part of the LEAVING relay. */
void tou_member_on_leaving (TouMember *member, const TouVm *vms, guint count);

/** Announces that this proxy is leaving. */
void tou_member_leave (TouMember *member);

/** Returns the member of that name, which may be this proxy, or NULL. */
const TouMemberUpdate *tou_member_find (const TouMember *member,
                                        const TouName *name);

/** Returns the number of members in all states, including this proxy. */
guint tou_member_count (const TouMember *member);

/** Returns the member at index @a i in name order. */
const TouMemberUpdate *tou_member_at (const TouMember *member, guint i);

/** Returns a number that changes whenever a member or its state changes. */
guint64 tou_member_version (const TouMember *member);

/**
 * Returns the version of the set of live members. A member is live if it is
 * alive or suspect and not leaving, so a restart or a change between alive and
 * suspect does not change the version.
 */
guint64 tou_member_live_version (const TouMember *member);

/** One change of the set of live members. */
typedef struct
{
  gboolean joined; /**< FALSE: the member is no longer live */
  TouName name;
  TouName region;
  TouName failure_domain;
  guint64 name_hash;
} TouMemberLiveChange;

/**
 * Returns the change that resulted in live version @a version, or NULL if it is
 * no longer kept.
 */
const TouMemberLiveChange *tou_member_live_change (const TouMember *member,
                                                   guint64 version);

/** Returns member @a i and the hash of its name; NULL if it is not live. */
const TouMemberUpdate *tou_member_live_at (const TouMember *member, guint i,
                                           guint64 *name_hash);

/** Picks up to @a n distinct random members, except dead ones and itself. */
guint tou_member_pick (TouMember *member, guint n, TouName *out);

G_END_DECLS
