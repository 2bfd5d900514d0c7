/* CPU time of placement alone: the first ranking of all groups, and the ranking
 * after one member has left the live set. */
#include "fixture.h"
#include "measure.h"

#include "member.h"
#include "place.h"

static void
placement_set_state (TouContext *ctx, guint i, TouMemberState state)
{
  TouMessage *message = fixture_message (TOU_MESSAGE_PING_ACK, 1);

  message->u.ping.n_updates = 1;
  fixture_member (&message->u.ping.updates[0], i);
  message->u.ping.updates[0].state = state;
  tou_member_on_message (ctx->member, message);
  tou_message_destroy (message);
}

static double
placement_cpu_us (TouContext *ctx, const TouGroupConfig *configs, guint groups)
{
  double start_ns = cpu_now_ns ();

  for (guint i = 0; i < groups; i++)
    tou_place_group (ctx->place, &configs[i]);
  return (cpu_now_ns () - start_ns) / 1e3;
}

void
measure_placement (guint members, guint groups)
{
  TouGroupConfig *configs = g_new0 (TouGroupConfig, groups);
  TouContext ctx = { .now_us = TOU_US_PER_S };
  TouActionList actions = { 0 };
  TouMemberUpdate member;

  fixture_member (&member, 0);
  tou_core_settings_init (&ctx.settings);
  ctx.settings.node = member.name;
  ctx.settings.region = member.region;
  ctx.settings.failure_domain = member.failure_domain;
  ctx.settings.incarnation = 1;
  ctx.actions = &actions;
  tou_member_create (&ctx.member, &ctx);
  tou_place_create (&ctx.place, &ctx);
  for (guint i = 1; i < members; i++)
    placement_set_state (&ctx, i, TOU_MEMBER_ALIVE);
  for (guint i = 0; i < groups; i++)
    {
      char *name = g_strdup_printf ("group-%04u", i);

      fixture_member (&member, i % FIXTURE_REGIONS);
      configs[i].name = tou_name (name);
      configs[i].home_region = member.region;
      g_free (name);
    }
  print_figure ("cpu_place_all", members, groups,
                placement_cpu_us (&ctx, configs, groups), "us");
  placement_set_state (&ctx, members / 2, TOU_MEMBER_LEAVING);
  print_figure ("cpu_place_change", members, groups,
                placement_cpu_us (&ctx, configs, groups), "us");
  tou_place_destroy (ctx.place);
  tou_member_destroy (ctx.member);
  tou_action_list_clear (&actions);
  g_free (configs);
}
