#include "member-private.h"

#include "feed.h"

#include <string.h>
#include <xxhash.h>

/* Each update is sent this factor times log2 of the member count. */
#define TOU_MEMBER_SEND_FACTOR 3
/* Longer than gossip about the last incarnation of a dead member lasts. */
#define TOU_MEMBER_DEAD_KEEP_US (600 * TOU_US_PER_S)
/* Limits of the member table, which takes about 450 bytes per member. */
#define TOU_MEMBER_MAX_DEAD 1024
#define TOU_MEMBER_MAX 16384

guint
tou_member_lower_bound (const TouMember *member, const TouName *name)
{
  guint low = 0;
  guint high = member->sorted->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      MemberPeer *other = g_ptr_array_index (member->sorted, middle);

      if (tou_name_compare (&other->update.name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static MemberPeer *
member_insert (TouMember *member, const TouMemberUpdate *update)
{
  MemberPeer *peer = g_new0 (MemberPeer, 1);

  peer->update = *update;
  peer->name_hash = XXH3_64bits (update->name.data, update->name.len);
  peer->state_since_us = member->ctx->now_us;
  g_ptr_array_insert (member->sorted,
                      (gint)tou_member_lower_bound (member, &update->name),
                      peer);
  g_hash_table_insert (member->by_name, &peer->update.name, peer);
  return peer;
}

static void
member_remove (TouMember *member, MemberPeer *peer)
{
  g_queue_remove (&member->queue, peer);
  g_hash_table_remove (member->by_name, &peer->update.name);
  g_ptr_array_remove (member->sorted, peer);
  member->version++;
}

/* Queues the update of @a peer for a limited number of messages. */
static void
member_enqueue (TouMember *member, MemberPeer *peer)
{
  guint bits = g_bit_storage (member->sorted->len);

  if (peer->sends_left > 0)
    g_queue_remove (&member->queue, peer);
  peer->sends_left = TOU_MEMBER_SEND_FACTOR * bits;
  g_queue_push_head (&member->queue, peer);
}

static void
member_log_live_change (TouMember *member, const MemberPeer *peer,
                        gboolean joined)
{
  TouMemberLiveChange *entry;

  member->live_version++;
  entry = &member->live_log[member->live_version % TOU_MEMBER_LIVE_LOG];
  entry->joined = joined;
  entry->name = peer->update.name;
  entry->region = peer->update.region;
  entry->failure_domain = peer->update.failure_domain;
  entry->name_hash = peer->name_hash;
}

/* Must be called after each change of a peer. */
static void
member_changed (TouMember *member, MemberPeer *peer)
{
  gboolean live = !peer->leaving
                  && (peer->update.state == TOU_MEMBER_ALIVE
                      || peer->update.state == TOU_MEMBER_SUSPECT);

  peer->state_since_us = member->ctx->now_us;
  member->version++;
  if (live != peer->live)
    member_log_live_change (member, peer, live);
  peer->live = live;
  if (!member->suppress_gossip)
    member_enqueue (member, peer);
}

int
tou_member_create (TouMember **out, TouContext *ctx)
{
  TouMember *member = g_new0 (TouMember, 1);
  TouMemberUpdate update = { .state = TOU_MEMBER_ALIVE };

  member->ctx = ctx;
  member->by_name = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  member->sorted = g_ptr_array_new_with_free_func (g_free);
  member->probes = g_ptr_array_new_with_free_func (g_free);
  member->transfers = g_array_new (FALSE, FALSE, sizeof (MemberTransfer));
  member->vm_seeds = g_array_new (FALSE, FALSE, sizeof (TouName));
  g_queue_init (&member->queue);
  update.name = ctx->settings.node;
  update.address = ctx->settings.peer_address;
  update.region = ctx->settings.region;
  update.failure_domain = ctx->settings.failure_domain;
  update.incarnation = ctx->settings.incarnation;
  member->self = member_insert (member, &update);
  member_changed (member, member->self);
  member->last_tick_us = ctx->now_us;
  *out = member;
  return TOU_OK;
}

void
tou_member_destroy (TouMember *member)
{
  if (member == NULL)
    return;
  g_queue_clear (&member->queue);
  g_hash_table_destroy (member->by_name);
  g_ptr_array_free (member->probes, TRUE);
  g_ptr_array_free (member->sorted, TRUE);
  g_array_free (member->transfers, TRUE);
  g_array_free (member->vm_seeds, TRUE);
  g_free (member);
}

MemberPeer *
tou_member_peer (const TouMember *member, const TouName *name)
{
  return g_hash_table_lookup (member->by_name, name);
}

/* Applies an update about this proxy, or refutes it if it is wrong. */
static void
member_apply_self (TouMember *member, const TouMemberUpdate *update)
{
  MemberPeer *self = member->self;

  if (update->incarnation < self->update.incarnation)
    return;
  if (update->state == TOU_MEMBER_LEAVING && !self->leaving)
    {
      self->leaving = TRUE;
      self->update.state = TOU_MEMBER_LEAVING;
      self->update.incarnation = update->incarnation;
      member_changed (member, self);
      return;
    }
  if (update->incarnation == self->update.incarnation
      && update->state <= self->update.state)
    return;
  self->update.incarnation = update->incarnation + 1;
  member_changed (member, self);
}

/* TRUE if @a update is newer than the state of @a peer. */
static gboolean
member_overrides (const TouMemberUpdate *update, const MemberPeer *peer)
{
  if (update->incarnation != peer->update.incarnation)
    return update->incarnation > peer->update.incarnation;
  return update->state > peer->update.state;
}

/* A live member that changes its region or failure domain is logged as removed
   from the live set and added again. */
static void
member_update_location (TouMember *member, MemberPeer *peer,
                        const TouMemberUpdate *update)
{
  gboolean moved = !tou_name_equal (&peer->update.region, &update->region)
                   || !tou_name_equal (&peer->update.failure_domain,
                                       &update->failure_domain);

  if (moved && peer->live)
    {
      member_log_live_change (member, peer, FALSE);
      peer->live = FALSE;
    }
}

static void
member_replace (TouMember *member, MemberPeer *peer,
                const TouMemberUpdate *update)
{
  if (update->state == TOU_MEMBER_ALIVE)
    peer->leaving = FALSE;
  if (update->state == TOU_MEMBER_LEAVING)
    peer->leaving = TRUE;
  member_update_location (member, peer, update);
  peer->update = *update;
  member_changed (member, peer);
}

/* Removes the member that has been dead for the longest time. */
static void
member_drop_oldest_dead (TouMember *member)
{
  MemberPeer *oldest = NULL;

  for (guint i = 0; i < member->sorted->len; i++)
    {
      MemberPeer *peer = g_ptr_array_index (member->sorted, i);

      if (peer->update.state == TOU_MEMBER_DEAD
          && (oldest == NULL || peer->state_since_us < oldest->state_since_us))
        oldest = peer;
    }
  if (oldest != NULL)
    member_remove (member, oldest);
}

void
tou_member_apply (TouMember *member, const TouMemberUpdate *update)
{
  MemberPeer *peer = tou_member_peer (member, &update->name);

  if (update->name.len == 0)
    return;
  if (peer == member->self)
    {
      member_apply_self (member, update);
      return;
    }
  if (peer == NULL)
    {
      /* A dead member that is not in the table need not be added. */
      if (update->state == TOU_MEMBER_DEAD)
        return;
      if (member->sorted->len >= TOU_MEMBER_MAX)
        member_drop_oldest_dead (member);
      if (member->sorted->len >= TOU_MEMBER_MAX)
        return;
      peer = member_insert (member, update);
      peer->leaving = update->state == TOU_MEMBER_LEAVING;
      member_changed (member, peer);
      return;
    }
  if (member_overrides (update, peer))
    member_replace (member, peer, update);
  else if (peer->update.state == TOU_MEMBER_DEAD
           && update->state != TOU_MEMBER_DEAD
           && update->incarnation == peer->update.incarnation)
    tou_member_check_alive (member, peer);
}

void
tou_member_set_state (TouMember *member, MemberPeer *peer, TouMemberState state)
{
  TouMemberUpdate update = peer->update;

  update.state = state;
  if (member_overrides (&update, peer))
    member_replace (member, peer, &update);
}

void
tou_member_sweep (TouMember *member)
{
  guint64 now_us = member->ctx->now_us;
  guint n_dead = 0;

  for (guint i = member->sorted->len; i > 0; i--)
    {
      MemberPeer *peer = g_ptr_array_index (member->sorted, i - 1);
      guint64 age_us = now_us - peer->state_since_us;

      if (peer->update.state == TOU_MEMBER_SUSPECT
          && age_us >= member->ctx->settings.suspicion_timeout_us)
        tou_member_set_state (member, peer, TOU_MEMBER_DEAD);
      else if (peer->update.state == TOU_MEMBER_DEAD
               && age_us >= TOU_MEMBER_DEAD_KEEP_US)
        member_remove (member, peer);
      else if (peer->update.state == TOU_MEMBER_DEAD)
        n_dead++;
    }
  for (; n_dead > TOU_MEMBER_MAX_DEAD; n_dead--)
    member_drop_oldest_dead (member);
}

void
tou_member_fill_ping (TouMember *member, TouPing *ping, const MemberPeer *to)
{
  guint count = g_queue_get_length (&member->queue);

  ping->feed_revision = tou_feed_revision (member->ctx->feed);
  ping->updates[ping->n_updates++] = member->self->update;
  /* A wrongly suspected member can refute the suspicion only after it has
     received it. */
  if (to != NULL && to->update.state != TOU_MEMBER_ALIVE)
    ping->updates[ping->n_updates++] = to->update;
  while (count-- > 0 && ping->n_updates < TOU_MESSAGE_MAX_UPDATES)
    {
      MemberPeer *peer = g_queue_pop_head (&member->queue);

      peer->sends_left--;
      if (peer != member->self && peer != to)
        ping->updates[ping->n_updates++] = peer->update;
      if (peer->sends_left > 0)
        g_queue_push_tail (&member->queue, peer);
    }
}

void
tou_member_leave (TouMember *member)
{
  if (member->self->update.state == TOU_MEMBER_LEAVING)
    return;
  member->self->leaving = TRUE;
  member->self->update.state = TOU_MEMBER_LEAVING;
  member_changed (member, member->self);
}

void
tou_member_on_leaving (TouMember *member, const TouVm *vms, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      MemberPeer *peer = tou_member_peer (member, &vms[i].name);

      if (vms[i].state != TOU_VM_LEAVING || peer == NULL)
        continue;
      if (peer == member->self)
        tou_member_leave (member);
      else
        tou_member_set_state (member, peer, TOU_MEMBER_LEAVING);
    }
}

/* The list may be stale, so it only marks members as leaving; the addresses of
   live VMs become seeds. */
void
tou_member_on_vm_list (TouMember *member, const TouVm *vms, guint count)
{
  g_array_set_size (member->vm_seeds, 0);
  for (guint i = 0; i < count; i++)
    if (vms[i].state == TOU_VM_LIVE && vms[i].address.len > 0)
      g_array_append_val (member->vm_seeds, vms[i].address);
  tou_member_on_leaving (member, vms, count);
}

const TouMemberUpdate *
tou_member_find (const TouMember *member, const TouName *name)
{
  const MemberPeer *peer = tou_member_peer (member, name);

  return peer != NULL ? &peer->update : NULL;
}

guint
tou_member_count (const TouMember *member)
{
  return member->sorted->len;
}

const TouMemberUpdate *
tou_member_at (const TouMember *member, guint i)
{
  return &((MemberPeer *)g_ptr_array_index (member->sorted, i))->update;
}

guint64
tou_member_version (const TouMember *member)
{
  return member->version;
}

guint64
tou_member_live_version (const TouMember *member)
{
  return member->live_version;
}

const TouMemberLiveChange *
tou_member_live_change (const TouMember *member, guint64 version)
{
  if (version == 0 || version > member->live_version
      || version + TOU_MEMBER_LIVE_LOG <= member->live_version)
    return NULL;
  return &member->live_log[version % TOU_MEMBER_LIVE_LOG];
}

const TouMemberUpdate *
tou_member_live_at (const TouMember *member, guint i, guint64 *name_hash)
{
  const MemberPeer *peer = g_ptr_array_index (member->sorted, i);

  *name_hash = peer->name_hash;
  return peer->live ? &peer->update : NULL;
}

guint
tou_member_pick (TouMember *member, guint n, TouName *out)
{
  guint seen = 0;

  if (n == 0)
    return 0;
  for (guint i = 0; i < member->sorted->len; i++)
    {
      const MemberPeer *peer = g_ptr_array_index (member->sorted, i);
      guint64 slot = seen;

      if (peer == member->self || peer->update.state == TOU_MEMBER_DEAD)
        continue;
      if (seen >= n)
        slot = tou_random_below (&member->ctx->random, (guint64)seen + 1);
      if (slot < n)
        out[slot] = peer->update.name;
      seen++;
    }
  return MIN (seen, n);
}
