/* Guards against groups that a proxy does not observe because its scan starts
 * over, and proxies that observe groups before they have all members. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/core.h"

#include <string.h>

#define GROUPS 600
#define CHANGES 20
#define TICK_US (10 * TOU_US_PER_MS)
#define START_US TOU_US_PER_S
/* Time until the core is ready; longer than three ping intervals. */
#define READY_US TOU_US_PER_S

static void
add_group (TouEntryList *list, guint group, guint64 revision)
{
  char *key = g_strdup_printf ("config/group/g%u", group);
  char *value = g_strdup_printf (
      "{\"value\":{\"home_region\":\"r\",\"slots\":1,\"connection_limit\":8,"
      "\"endpoints\":[{\"name\":\"db%u\",\"address\":\"10.0.0.1:5432\","
      "\"region\":\"r\",\"failure_domain\":\"r-a\"}]}}",
      group);

  tou_entry_list_add (list, key, strlen (key), value, strlen (value), revision);
  g_free (key);
  g_free (value);
}

/* Passes an event to the core; returns the number of control connections that
   it opens. */
static guint
step (TouCore *core, guint64 now_us, TouEvent *event)
{
  TouActionList actions = { 0 };
  guint opened = 0;

  assert_int_equal (tou_core_step (core, now_us, event, &actions), TOU_OK);
  for (guint i = 0; i < actions.count; i++)
    if (actions.items[i].type == TOU_ACTION_DB_OPEN
        && actions.items[i].u.db_open.control)
      opened++;
  tou_action_list_clear (&actions);
  return opened;
}

static TouCore *
start (guint64 now_us)
{
  TouCoreSettings settings;
  TouEvent event = { .type = TOU_EVENT_PEER };
  TouCore *core;

  tou_core_settings_init (&settings);
  settings.node = tou_name ("n");
  settings.region = tou_name ("r");
  assert_int_equal (tou_core_create (&core, &settings, now_us, 1), TOU_OK);
  event.u.peer = tou_message_create (TOU_MESSAGE_ENTRIES);
  event.u.peer->u.entries.to = GROUPS;
  for (guint i = 0; i < GROUPS; i++)
    add_group (&event.u.peer->u.entries.entries, i, i + 1);
  assert_int_equal (step (core, now_us, &event), 0);
  return core;
}

/* Passes a peer's reply to the core, which is then ready after three pings. */
static void
make_ready (TouCore *core)
{
  TouEvent event = { .type = TOU_EVENT_PEER };

  event.u.peer = tou_message_create (TOU_MESSAGE_PING_ACK);
  event.u.peer->u.ping.sequence = 1;
  step (core, START_US, &event);
}

/* A starting proxy has received only few members. It must not connect to the
 * databases of all groups that it would observe if there were no others. */
static void
test_starting_proxy_observes_no_group (void **state)
{
  TouCore *core = start (START_US);

  (void)state;
  for (guint i = 1; i <= CHANGES; i++)
    {
      TouEvent tick = { .type = TOU_EVENT_TICK };

      assert_int_equal (step (core, START_US + i * TICK_US, &tick), 0);
    }
  tou_core_destroy (core);
}

/* Like step (), but answers opened connections and control operations at once;
   returns the number of first claims of groups. */
static guint
step_with_databases (TouCore *core, guint64 now_us, TouEvent *event)
{
  TouActionList actions = { 0 };
  guint claims = 0;

  assert_int_equal (tou_core_step (core, now_us, event, &actions), TOU_OK);
  for (guint i = 0; i < actions.count; i++)
    {
      const TouAction *action = &actions.items[i];
      TouEvent answer = { .type = TOU_EVENT_DB_OPENED };

      if (action->type == TOU_ACTION_STORE
          && action->u.store.op == TOU_STORE_CAS
          && strstr (action->u.store.key.data, "/record/") != NULL)
        claims++;
      if (action->type == TOU_ACTION_DB_OPEN && action->u.db_open.control)
        answer.u.db_opened.conn = action->u.db_open.conn;
      else if (action->type == TOU_ACTION_DB_CONTROL)
        {
          answer.type = TOU_EVENT_DB_REPORT;
          answer.u.db_report.conn = action->u.db_control.conn;
          answer.u.db_report.sequence = action->u.db_control.sequence;
          answer.u.db_report.report.role = TOU_ROLE_REPLICA;
        }
      else
        continue;
      claims += step_with_databases (core, now_us, &answer);
    }
  tou_action_list_clear (&actions);
  return claims;
}

typedef guint (*StepFunc) (TouCore *core, guint64 now_us, TouEvent *event);

/* Changes one group before each tick; returns the sum of the results of
   @a func. */
static guint
run_changes (StepFunc func, guint group)
{
  guint64 now_us = START_US + READY_US;
  guint64 revision = GROUPS;
  guint total = 0;
  TouCore *core = start (START_US);

  make_ready (core);
  for (guint i = 0; i < CHANGES; i++)
    {
      TouEvent tick = { .type = TOU_EVENT_TICK };
      TouEvent event = { .type = TOU_EVENT_PEER };

      event.u.peer = tou_message_create (TOU_MESSAGE_ENTRIES);
      add_group (&event.u.peer->u.entries.entries, group, ++revision);
      total += func (core, now_us, &event);
      total += func (core, now_us, &tick);
      now_us += TICK_US;
    }
  tou_core_destroy (core);
  return total;
}

/* Changes that follow each other faster than a scan of all groups must not
 * restart the scan; the last groups would remain without observers. */
static void
test_scan_completes_despite_changes (void **state)
{
  (void)state;
  assert_int_equal (run_changes (step, 0), GROUPS);
}

/* The same for the failover scan, in which observers claim groups without a
 * primary. */
static void
test_groups_are_claimed_despite_changes (void **state)
{
  (void)state;
  assert_int_equal (run_changes (step_with_databases, GROUPS), GROUPS + 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_starting_proxy_observes_no_group),
    cmocka_unit_test (test_scan_completes_despite_changes),
    cmocka_unit_test (test_groups_are_claimed_despite_changes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
