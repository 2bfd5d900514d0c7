/* CPU time, memory and control traffic of a core that serves no group. */
#include "fixture.h"
#include "measure.h"

#include "place.h"

#include <malloc.h>
#include <string.h>

#define REPETITIONS 50
/* A starting proxy is ready after three ping intervals of 1 s. */
#define READY_US (5 * TOU_US_PER_S)
#define TRAFFIC_US (60 * TOU_US_PER_S)
/* Changes of members and entries per minute in the traffic measurement with
 * changes: ten times the 2,600 restarts and 5,700 changes per day of design
 * 1.6. */
#define RESTARTS_PER_MINUTE 18
#define CHANGES_PER_MINUTE 40

static double
heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static void
size_update_member (Fixture *fixture, guint i, TouMemberState state,
                    guint64 incarnation)
{
  TouEvent event = { .type = TOU_EVENT_PEER };
  TouPing *ping;

  event.u.peer = fixture_message (TOU_MESSAGE_PING_ACK, 1);
  ping = &event.u.peer->u.ping;
  ping->sequence = G_MAXUINT64;
  ping->n_updates = 1;
  fixture_member (&ping->updates[0], i);
  ping->updates[0].state = state;
  ping->updates[0].incarnation = incarnation;
  fixture_step (fixture, STEP_OTHER, &event);
}

/* The member leaves and returns with the next incarnation. */
static void
size_restart_member (Fixture *fixture, guint i, guint64 incarnation)
{
  size_update_member (fixture, i, TOU_MEMBER_LEAVING, incarnation);
  size_update_member (fixture, i, TOU_MEMBER_ALIVE, incarnation + 1);
}

static void
size_change_entry (Fixture *fixture, guint group, gboolean record)
{
  TouEntryList list = { 0 };
  char *name = g_strdup_printf ("group-%04u", group);

  if (record)
    fixture_add_record (&list, name, fixture->revision + 1);
  else
    fixture_add_group (&list, name, group % FIXTURE_REGIONS, 3,
                       fixture->revision + 1);
  fixture_send_entries (fixture, &list);
  g_free (name);
}

static void
size_measure_cpu (Fixture *fixture, guint members, guint groups)
{
  fixture_reset (fixture);
  for (guint i = 0; i < REPETITIONS; i++)
    size_restart_member (fixture, 2 + i, 1);
  print_figure ("cpu_live_change", members, groups,
                fixture_mean_us (fixture, STEP_OTHER), "us");
  fixture_reset (fixture);
  for (guint i = 0; i < REPETITIONS; i++)
    size_update_member (fixture, 2 + i, TOU_MEMBER_SUSPECT, 2);
  print_figure ("cpu_state_change", members, groups,
                fixture_mean_us (fixture, STEP_OTHER), "us");
  for (guint i = 0; i < REPETITIONS; i++)
    size_update_member (fixture, 2 + i, TOU_MEMBER_ALIVE, 3);
  fixture_run (fixture, 5 * TOU_US_PER_S);
  for (guint record = 0; record < 2; record++)
    {
      fixture_reset (fixture);
      for (guint i = 0; i < REPETITIONS; i++)
        size_change_entry (fixture, i, record == 1);
      print_figure (record == 1 ? "cpu_entries_message" : "cpu_config_change",
                    members, groups, fixture_mean_us (fixture, STEP_ENTRIES),
                    "us");
    }
}

static void
size_measure_traffic (Fixture *fixture, guint members, guint groups,
                      gboolean changes)
{
  static const char *const names[2][2]
      = { { "traffic_200ms", "traffic_1s" },
          { "traffic_changes_200ms", "traffic_changes_1s" } };
  gboolean slow = fixture->options.ping_interval_us >= TOU_US_PER_S;
  guint steps = changes ? CHANGES_PER_MINUTE : 1;

  fixture_reset (fixture);
  fixture->count_bytes = TRUE;
  for (guint i = 0; i < steps; i++)
    {
      if (changes)
        size_change_entry (fixture, i, FALSE);
      if (changes && i < RESTARTS_PER_MINUTE)
        size_restart_member (fixture, members / 2 + i, 1);
      fixture_run (fixture, TRAFFIC_US / steps);
    }
  fixture->count_bytes = FALSE;
  print_figure (names[changes][slow], members, groups,
                (double)fixture->sent_bytes * TOU_US_PER_S / TRAFFIC_US,
                "B/s sent");
  print_figure (
      changes ? "messages_changes" : "messages", members, slow ? 1000 : 200,
      (double)fixture->sent_messages * TOU_US_PER_S / TRAFFIC_US, "1/s sent");
  if (changes || !slow)
    return;
  print_figure ("cpu_idle_tick", members, groups,
                fixture_mean_us (fixture, STEP_TICK), "us");
  print_figure ("cpu_ping", members, groups,
                fixture_mean_us (fixture, STEP_PING), "us");
  print_figure ("cpu_ping_ack", members, groups,
                fixture_mean_us (fixture, STEP_ACK), "us");
}

/* A starting proxy has the members of one message. It receives all entries,
 * then the member table at the rate of a transfer. */
static void
size_measure_join (guint members, guint groups)
{
  FixtureOptions options = { .n_members = TOU_MESSAGE_MAX_UPDATES,
                             .n_groups = groups,
                             .ping_interval_us = TOU_US_PER_S };
  Fixture *fixture = fixture_create (&options);
  double total_ns = 0;

  fixture->count_bytes = TRUE;
  fixture_send_groups (fixture);
  fixture->count_bytes = FALSE;
  print_figure ("join_forwarded", members, groups, (double)fixture->sent_bytes,
                "B");
  print_figure ("bytes_entries", members, groups, (double)fixture->entry_bytes,
                "B");
  fixture->options.n_members = members;
  fixture_load_members (fixture, TRUE);
  fixture_run (fixture, READY_US);
  for (guint i = 0; i < STEP_COUNT; i++)
    total_ns += fixture->cpu_ns[i];
  print_figure ("cpu_join", members, groups, total_ns / 1e3, "us");
  print_figure ("join_connections", members, groups, (double)fixture->n_opened,
                "opened");
  fixture_destroy (fixture);
}

void
measure_leaving (guint rows)
{
  TouMessage *message = fixture_message (TOU_MESSAGE_LEAVING, 1);
  TouStr wire = { 0 };

  message->u.leaving.count = rows;
  message->u.leaving.vms = g_new0 (TouVm, rows);
  for (guint i = 0; i < rows; i++)
    {
      TouVm *vm = &message->u.leaving.vms[i];
      TouMemberUpdate member;

      fixture_member (&member, i);
      vm->name = member.name;
      vm->address = member.address;
      vm->region = member.region;
      vm->failure_domain = member.failure_domain;
      vm->state = TOU_VM_LEAVING;
    }
  if (tou_message_encode (&wire, message) == TOU_OK)
    print_figure ("bytes_leaving", rows, 0, (double)wire.len, "B");
  tou_str_clear (&wire);
  tou_message_destroy (message);
}

void
measure_size (guint members, guint groups)
{
  for (guint slow = 0; slow < 2; slow++)
    {
      FixtureOptions options = { .n_members = members, .n_groups = groups };
      double before = heap_bytes ();
      double with_members;
      Fixture *fixture;

      options.ping_interval_us = slow ? TOU_US_PER_S : TOU_US_PER_S / 5;
      fixture = fixture_create (&options);
      with_members = heap_bytes ();
      if (slow)
        print_figure ("memory_members", members, groups, with_members - before,
                      "B");
      fixture_load_groups (fixture);
      if (slow)
        {
          print_figure ("memory_groups", members, groups,
                        heap_bytes () - with_members, "B");
          print_figure ("cpu_load_entries", members, groups,
                        fixture->cpu_ns[STEP_ENTRIES] / 1e3, "us");
        }
      size_measure_traffic (fixture, members, groups, FALSE);
      size_measure_traffic (fixture, members, groups, TRUE);
      if (slow)
        size_measure_cpu (fixture, members, groups);
      fixture_destroy (fixture);
    }
  size_measure_join (members, groups);
}
