#include "member-private.h"

#include "config.h"

/* Number of members that receive a PING_REQ for one that did not answer
 * (design 3.12). */
#define TOU_MEMBER_INDIRECT_PROBES 3
/* Duration of a probe in ping timeouts: one for the direct ping, two for the
 * indirect ones. */
#define TOU_MEMBER_PROBE_TIMEOUTS 3
/* Number of ping rounds between pings of a random dead member and a random
 * seed, by which the fleet merges again after a partition. */
#define TOU_MEMBER_HEAL_ROUNDS 5
/* Number of seeds pinged per round while the table has no other member. */
#define TOU_MEMBER_JOIN_SEEDS 3
/* Maximum number of draws to find a seed that is not a member's address. */
#define TOU_MEMBER_SEED_TRIES 4
/* Time after the first contact in which transferred tables are applied without
 * being gossiped. */
#define TOU_MEMBER_JOIN_WINDOW_US (5 * TOU_US_PER_S)

static guint64
probe_timeout_us (const TouMember *member)
{
  return TOU_MEMBER_PROBE_TIMEOUTS * member->ctx->settings.ping_timeout_us;
}

static MemberProbe *
probe_start (TouMember *member, MemberPeer *peer)
{
  MemberProbe *probe = g_new0 (MemberProbe, 1);
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING);

  probe->sequence = ++member->sequence;
  probe->target = peer->update.name;
  probe->sent_us = member->ctx->now_us;
  g_ptr_array_add (member->probes, probe);
  message->u.ping.sequence = probe->sequence;
  message->u.ping.target = probe->target;
  tou_member_fill_ping (member, &message->u.ping, peer);
  tou_context_send (member->ctx, &probe->target, message);
  return probe;
}

void
tou_member_check_alive (TouMember *member, MemberPeer *peer)
{
  guint64 now_us = member->ctx->now_us;
  guint64 pause_us
      = TOU_MEMBER_HEAL_ROUNDS * member->ctx->settings.ping_interval_us;

  if (peer->checked_us != 0 && now_us - peer->checked_us < pause_us)
    return;
  peer->checked_us = now_us;
  probe_start (member, peer)->only_check = TRUE;
}

/* A ping with an empty target requests the receiver's member table. */
static void
probe_join (TouMember *member, const TouName *address)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING);
  TouName unknown = { 0 };

  message->u.ping.sequence = ++member->sequence;
  tou_member_fill_ping (member, &message->u.ping, NULL);
  tou_context_send_address (member->ctx, &unknown, address, message);
}

static void
probe_send_indirect (TouMember *member, MemberProbe *probe)
{
  TouName relays[TOU_MEMBER_INDIRECT_PROBES + 1];
  guint n = tou_member_pick (member, TOU_MEMBER_INDIRECT_PROBES + 1, relays);
  guint n_sent = 0;

  probe->indirect = TRUE;
  for (guint i = 0; i < n && n_sent < TOU_MEMBER_INDIRECT_PROBES; i++)
    {
      TouMessage *message;

      if (tou_name_equal (&relays[i], &probe->target))
        continue;
      message = tou_message_create (TOU_MESSAGE_PING_REQ);
      message->u.ping.sequence = probe->sequence;
      message->u.ping.target = probe->target;
      tou_member_fill_ping (member, &message->u.ping,
                            tou_member_peer (member, &relays[i]));
      tou_context_send (member->ctx, &relays[i], message);
      n_sent++;
    }
}

/* Returns TRUE if the probe has ended without an answer. */
static gboolean
probe_advance (TouMember *member, MemberProbe *probe)
{
  guint64 age_us = member->ctx->now_us - probe->sent_us;
  gboolean own = probe->requester.len == 0 && !probe->only_check;
  MemberPeer *peer = tou_member_peer (member, &probe->target);

  if (peer == NULL)
    return TRUE;
  if (own && !probe->indirect
      && age_us >= member->ctx->settings.ping_timeout_us)
    probe_send_indirect (member, probe);
  if (age_us < probe_timeout_us (member))
    return FALSE;
  if (own)
    tou_member_set_state (member, peer, TOU_MEMBER_SUSPECT);
  return TRUE;
}

/* A process that was paused has not read its messages, so missing answers do
 * not show that other members have failed. Ends all probes and restarts the
 * suspicion timeouts after such a pause. */
static void
probe_reset_after_pause (TouMember *member)
{
  guint64 now_us = member->ctx->now_us;
  guint64 gap_us = now_us - member->last_tick_us;

  member->last_tick_us = now_us;
  if (gap_us < probe_timeout_us (member))
    return;
  g_ptr_array_set_size (member->probes, 0);
  for (guint i = 0; i < member->sorted->len; i++)
    {
      MemberPeer *peer = g_ptr_array_index (member->sorted, i);

      if (peer->update.state == TOU_MEMBER_SUSPECT)
        peer->state_since_us = now_us;
    }
}

static gboolean
probe_is_known_address (const TouMember *member, const TouName *address)
{
  for (guint i = 0; i < member->sorted->len; i++)
    {
      const TouMemberUpdate *update = tou_member_at (member, i);

      if (update->state != TOU_MEMBER_DEAD
          && tou_name_equal (&update->address, address))
        return TRUE;
    }
  return FALSE;
}

/* The VM list also contains databases, which do not speak this protocol. */
static gboolean
probe_is_endpoint (const TouMember *member, const TouName *address)
{
  const TouConfig *config = member->ctx->config;

  for (guint i = 0; i < tou_config_n_groups (config); i++)
    {
      const TouGroupConfig *group = tou_config_group_at (config, i);

      for (guint j = 0; j < group->n_endpoints; j++)
        if (tou_name_equal (&group->endpoints[j].address, address))
          return TRUE;
    }
  return FALSE;
}

static void
probe_random_seed (TouMember *member)
{
  TouContext *ctx = member->ctx;
  guint n_seeds = ctx->settings.n_seeds + member->vm_seeds->len;

  for (guint try = 0; try < TOU_MEMBER_SEED_TRIES && n_seeds > 0; try++)
    {
      guint i = (guint)tou_random_below (&ctx->random, n_seeds);
      const TouName *address = i < ctx->settings.n_seeds
                                   ? &ctx->settings.seeds[i]
                                   : &g_array_index (member->vm_seeds, TouName,
                                                     i - ctx->settings.n_seeds);

      if (probe_is_known_address (member, address)
          || probe_is_endpoint (member, address))
        continue;
      probe_join (member, address);
      return;
    }
}

static void
probe_random_dead (TouMember *member)
{
  MemberPeer *chosen = NULL;
  guint64 seen = 0;

  for (guint i = 0; i < member->sorted->len; i++)
    {
      MemberPeer *peer = g_ptr_array_index (member->sorted, i);

      if (peer->update.state == TOU_MEMBER_DEAD
          && tou_random_below (&member->ctx->random, ++seen) == 0)
        chosen = peer;
    }
  if (chosen != NULL)
    tou_member_check_alive (member, chosen);
}

static void
probe_round (TouMember *member)
{
  TouName target;

  if (tou_member_pick (member, 1, &target) == 0)
    for (guint i = 0; i < TOU_MEMBER_JOIN_SEEDS; i++)
      probe_random_seed (member);
  else
    probe_start (member, tou_member_peer (member, &target));
  if (++member->ping_rounds % TOU_MEMBER_HEAL_ROUNDS == 0)
    {
      probe_random_dead (member);
      probe_random_seed (member);
    }
}

void
tou_member_on_tick (TouMember *member)
{
  guint64 now_us = member->ctx->now_us;
  guint64 interval_us = member->ctx->settings.ping_interval_us;

  probe_reset_after_pause (member);
  for (guint i = member->probes->len; i > 0; i--)
    if (probe_advance (member, g_ptr_array_index (member->probes, i - 1)))
      g_ptr_array_remove_index_fast (member->probes, i - 1);
  tou_member_send_transfers (member);
  if (now_us >= member->next_sweep_us)
    {
      member->next_sweep_us = now_us + interval_us;
      tou_member_sweep (member);
    }
  if (now_us >= member->next_ping_us)
    {
      member->next_ping_us = now_us + interval_us;
      probe_round (member);
    }
}

static void
probe_send_ack (TouMember *member, const TouName *to, guint64 sequence,
                const TouName *answered)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING_ACK);

  message->u.ping.sequence = sequence;
  message->u.ping.target = *answered;
  tou_member_fill_ping (member, &message->u.ping, tou_member_peer (member, to));
  tou_context_send (member->ctx, to, message);
}

static void
probe_on_ping (TouMember *member, const TouMessage *message)
{
  const TouPing *ping = &message->u.ping;
  const TouName *own = &member->self->update.name;

  /* The sender may expect another proxy that had this address before. */
  if (ping->target.len > 0 && !tou_name_equal (&ping->target, own))
    return;
  probe_send_ack (member, &message->from, ping->sequence, own);
  if (ping->target.len == 0)
    tou_member_start_transfer (member, &message->from);
}

static void
probe_on_ack (TouMember *member, const TouPing *ping)
{
  for (guint i = 0; i < member->probes->len; i++)
    {
      const MemberProbe *probe = g_ptr_array_index (member->probes, i);

      if (probe->sequence != ping->sequence
          || !tou_name_equal (&probe->target, &ping->target))
        continue;
      if (probe->requester.len > 0)
        probe_send_ack (member, &probe->requester, probe->requester_sequence,
                        &probe->target);
      g_ptr_array_remove_index_fast (member->probes, i);
      return;
    }
}

static void
probe_on_request (TouMember *member, const TouMessage *message)
{
  MemberPeer *peer = tou_member_peer (member, &message->u.ping.target);
  MemberProbe *probe;

  if (peer == NULL || peer == member->self)
    return;
  probe = probe_start (member, peer);
  probe->requester = message->from;
  probe->requester_sequence = message->u.ping.sequence;
}

static void
probe_apply_updates (TouMember *member, const TouMessage *message)
{
  const TouPing *ping = &message->u.ping;
  guint64 now_us = member->ctx->now_us;

  if (member->joined_us == 0)
    member->joined_us = now_us;
  member->suppress_gossip
      = message->type == TOU_MESSAGE_PING_ACK && ping->sequence == 0
        && now_us - member->joined_us < TOU_MEMBER_JOIN_WINDOW_US;
  for (guint i = 0; i < ping->n_updates; i++)
    tou_member_apply (member, &ping->updates[i]);
  member->suppress_gossip = FALSE;
}

void
tou_member_on_message (TouMember *member, const TouMessage *message)
{
  /* Ignores another process of the same name; gossip about the process that
   * started later supersedes the earlier one. */
  if (tou_name_equal (&message->from, &member->self->update.name))
    return;
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
      probe_apply_updates (member, message);
      probe_on_ping (member, message);
      break;
    case TOU_MESSAGE_PING_ACK:
      probe_apply_updates (member, message);
      probe_on_ack (member, &message->u.ping);
      break;
    case TOU_MESSAGE_PING_REQ:
      probe_apply_updates (member, message);
      probe_on_request (member, message);
      break;
    default:
      break;
    }
}
