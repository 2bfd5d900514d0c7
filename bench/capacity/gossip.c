/* Time until a new entry is replicated to many cores, in virtual time and with
 * the network delays of the design. All cores start with a complete member
 * table and serve no groups. */
#include "fixture.h"
#include "measure.h"

#include <string.h>

#define LINK_DOMAIN_US 500
#define LINK_REGION_US 10000
/* Step of the virtual clock: the shorter delay. */
#define STEP_US LINK_DOMAIN_US
#define DELAY_SLOTS (LINK_REGION_US / STEP_US + 1)
#define TICK_STEPS (10000 / STEP_US)
#define WARM_UP_US (5 * TOU_US_PER_S)
#define RUN_LIMIT_US (10 * TOU_US_PER_S)
/* Entries that are added one after the other, each at a different core. */
#define N_RUNS 5

typedef struct
{
  guint to;
  guint hop;
  TouMessage *message;
} Delivery;

typedef struct
{
  guint n;
  guint64 now_us;
  guint64 step;
  TouCore **cores;
  GArray *slots[DELAY_SLOTS]; /**< of Delivery, by arrival step modulo
                                 DELAY_SLOTS */
  guint64 revision;           /**< of the newest entry */
  guint n_reached;
  guint *hops; /**< per core; G_MAXUINT until it has the entry */
  guint max_hops;
  guint64 n_messages;
} Gossip;

static guint
gossip_index (const TouName *node)
{
  return (guint)g_ascii_strtoull (node->data + 3, NULL, 10);
}

static void
gossip_send (Gossip *gossip, guint from, TouAction *action)
{
  guint to = gossip_index (&action->u.send.node);
  gboolean same_region = from % FIXTURE_REGIONS == to % FIXTURE_REGIONS;
  guint64 delay = same_region ? 1 : LINK_REGION_US / STEP_US;
  Delivery delivery = { .to = to, .message = action->u.send.message };

  delivery.hop = gossip->hops[from];
  action->u.send.message = NULL;
  g_array_append_val (gossip->slots[(gossip->step + delay) % DELAY_SLOTS],
                      delivery);
}

static void
gossip_step (Gossip *gossip, guint i, TouEvent *event)
{
  TouActionList actions = { 0 };

  tou_core_step (gossip->cores[i], gossip->now_us, event, &actions);
  for (guint k = 0; k < actions.count; k++)
    if (actions.items[k].type == TOU_ACTION_SEND)
      gossip_send (gossip, i, &actions.items[k]);
  tou_action_list_clear (&actions);
}

static void
gossip_deliver (Gossip *gossip, const Delivery *delivery)
{
  TouEvent event = { .type = TOU_EVENT_PEER, .u.peer = delivery->message };
  const TouMessage *message = delivery->message;

  if (message->type == TOU_MESSAGE_ENTRIES
      && message->u.entries.to >= gossip->revision)
    {
      gossip->n_messages++;
      if (gossip->hops[delivery->to] == G_MAXUINT)
        {
          gossip->hops[delivery->to] = delivery->hop + 1;
          gossip->max_hops = MAX (gossip->max_hops, delivery->hop + 1);
          gossip->n_reached++;
        }
    }
  gossip_step (gossip, delivery->to, &event);
}

static void
gossip_advance (Gossip *gossip)
{
  GArray *slot;

  gossip->now_us += STEP_US;
  gossip->step++;
  slot = gossip->slots[gossip->step % DELAY_SLOTS];
  for (guint i = 0; i < slot->len; i++)
    {
      Delivery delivery = g_array_index (slot, Delivery, i);

      gossip_deliver (gossip, &delivery);
    }
  g_array_set_size (slot, 0);
  for (guint i = (guint)(gossip->step % TICK_STEPS); i < gossip->n;
       i += TICK_STEPS)
    {
      TouEvent tick = { .type = TOU_EVENT_TICK };

      gossip_step (gossip, i, &tick);
    }
}

static void
gossip_create_core (Gossip *gossip, guint i, guint64 ping_interval_us)
{
  TouCoreSettings settings;
  TouMemberUpdate self;

  fixture_member (&self, i);
  tou_core_settings_init (&settings);
  settings.node = self.name;
  settings.region = self.region;
  settings.failure_domain = self.failure_domain;
  settings.peer_address = self.address;
  settings.incarnation = 1;
  settings.ping_interval_us = ping_interval_us;
  tou_core_create (&gossip->cores[i], &settings, gossip->now_us, i + 1);
  for (guint k = 0; k < gossip->n;)
    {
      TouEvent event = { .type = TOU_EVENT_PEER };
      TouPing *ping;

      event.u.peer = fixture_message (TOU_MESSAGE_PING_ACK, i == 0);
      ping = &event.u.peer->u.ping;
      while (k < gossip->n && ping->n_updates < TOU_MESSAGE_MAX_UPDATES)
        fixture_member (&ping->updates[ping->n_updates++], k++);
      gossip_step (gossip, i, &event);
    }
}

/* Delivers a new entry to one core as if a watcher had sent it. */
static void
gossip_add_entry (Gossip *gossip, guint run)
{
  guint to = gossip->n * run / N_RUNS;
  Delivery delivery = { .to = to, .hop = G_MAXUINT };
  TouEntryList *list;

  memset (gossip->hops, 0xff, sizeof *gossip->hops * gossip->n);
  gossip->n_reached = 0;
  gossip->n_messages = 0;
  gossip->max_hops = 0;
  delivery.message = fixture_message (TOU_MESSAGE_ENTRIES, to == 0 ? 1 : 0);
  delivery.message->u.entries.from = gossip->revision++;
  delivery.message->u.entries.to = gossip->revision;
  list = &delivery.message->u.entries.entries;
  fixture_add_record (list, "group-0000", gossip->revision);
  gossip_deliver (gossip, &delivery);
}

static void
gossip_run (Gossip *gossip, guint run, double *max_90_us, double *max_all_us,
            double *relay_share)
{
  guint64 start_us = gossip->now_us;
  guint64 time_90_us = 0;

  gossip_add_entry (gossip, run);
  while (gossip->n_reached < gossip->n
         && gossip->now_us < start_us + RUN_LIMIT_US)
    {
      gossip_advance (gossip);
      if (time_90_us == 0 && gossip->n_reached >= gossip->n * 9 / 10)
        time_90_us = gossip->now_us - start_us;
      /* Relaying has ended by then; further cores request the entry after a
         ping. */
      if (gossip->now_us - start_us == 100 * TOU_US_PER_MS)
        *relay_share += (double)gossip->n_reached / gossip->n / N_RUNS;
    }
  if (gossip->now_us - start_us < 100 * TOU_US_PER_MS)
    *relay_share += 1.0 / N_RUNS;
  *max_90_us = MAX (*max_90_us, (double)time_90_us);
  *max_all_us = MAX (*max_all_us, (double)(gossip->now_us - start_us));
}

static void
gossip_print (const Gossip *gossip, guint ping_ms, double max_90_us,
              double max_all_us, double relay_share)
{
  print_figure ("gossip_90_percent", gossip->n, ping_ms, max_90_us / 1e3, "ms");
  print_figure ("gossip_all", gossip->n, ping_ms, max_all_us / 1e3, "ms");
  print_figure ("gossip_relay_share", gossip->n, ping_ms, relay_share * 100,
                "%");
  print_figure ("gossip_hops", gossip->n, ping_ms, gossip->max_hops, "hops");
  print_figure ("gossip_messages", gossip->n, ping_ms,
                (double)gossip->n_messages / gossip->n, "per core");
}

void
measure_gossip (guint n, guint64 ping_interval_us)
{
  Gossip gossip = { .n = n, .now_us = TOU_US_PER_S };
  double max_90_us = 0;
  double max_all_us = 0;
  double relay_share = 0;

  gossip.cores = g_new0 (TouCore *, n);
  gossip.hops = g_new0 (guint, n);
  for (guint i = 0; i < DELAY_SLOTS; i++)
    gossip.slots[i] = g_array_new (FALSE, FALSE, sizeof (Delivery));
  for (guint i = 0; i < n; i++)
    gossip_create_core (&gossip, i, ping_interval_us);
  while (gossip.now_us < WARM_UP_US)
    gossip_advance (&gossip);
  for (guint run = 0; run < N_RUNS; run++)
    gossip_run (&gossip, run, &max_90_us, &max_all_us, &relay_share);
  gossip_print (&gossip, (guint)(ping_interval_us / TOU_US_PER_MS), max_90_us,
                max_all_us, relay_share);
  for (guint i = 0; i < n; i++)
    tou_core_destroy (gossip.cores[i]);
  for (guint i = 0; i < DELAY_SLOTS; i++)
    {
      for (guint k = 0; k < gossip.slots[i]->len; k++)
        tou_message_destroy (
            g_array_index (gossip.slots[i], Delivery, k).message);
      g_array_free (gossip.slots[i], TRUE);
    }
  g_free (gossip.cores);
  g_free (gossip.hops);
}
