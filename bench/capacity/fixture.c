#include "fixture.h"

#include "member.h"
#include "place.h"

#include <string.h>
#include <time.h>

#define TICK_US (10 * TOU_US_PER_MS)
/* Entries per message: about 60 KB, the size of the feed's messages. */
#define ENTRIES_PER_MESSAGE 100
/* Terms in the history of a group's record. */
#define RECORD_TERMS 4
#define FAILURE_DOMAINS_PER_REGION 3
#define REQUEST_LIMIT 10000
/* Messages of a member table transfer that are sent per tick. */
#define MESSAGES_PER_TICK 32
/* A starting core is ready after three ping intervals of at most 1 s. */
#define READY_US (4 * TOU_US_PER_S)

double
cpu_now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

void
fixture_member (TouMemberUpdate *out, guint i)
{
  char text[32];

  *out = (TouMemberUpdate){ .state = TOU_MEMBER_ALIVE, .incarnation = 1 };
  g_snprintf (text, sizeof text, "vm-%05u", i);
  out->name = tou_name (text);
  g_snprintf (text, sizeof text, "10.%u.%u.%u:7400", i % FIXTURE_REGIONS,
              i / 250, i % 250 + 1);
  out->address = tou_name (text);
  g_snprintf (text, sizeof text, "region-%u", i % FIXTURE_REGIONS);
  out->region = tou_name (text);
  g_snprintf (text, sizeof text, "region-%u-%c", i % FIXTURE_REGIONS,
              'a' + (char)(i / FIXTURE_REGIONS % FAILURE_DOMAINS_PER_REGION));
  out->failure_domain = tou_name (text);
}

TouMessage *
fixture_message (TouMessageType type, guint i)
{
  TouMessage *message = tou_message_create (type);
  TouMemberUpdate from;

  fixture_member (&from, i);
  message->from = from.name;
  message->from_incarnation = 1;
  return message;
}

void
fixture_add_group (TouEntryList *list, const char *name, guint home,
                   guint slots, guint64 revision)
{
  GString *value = g_string_new (NULL);
  char *key = g_strconcat (TOU_CONFIG_GROUP_PREFIX, name, NULL);

  g_string_printf (value,
                   "{\"value\":{\"home_region\":\"region-%u\",\"slots\":%u,"
                   "\"connection_limit\":%u,\"endpoints\":[",
                   home, slots, slots > 3 ? REQUEST_LIMIT : 20);
  for (guint i = 0; i < FIXTURE_DBS; i++)
    g_string_append_printf (
        value,
        "%s{\"name\":\"%s-db%u\",\"address\":\"10.9.%u.%u:5432\","
        "\"region\":\"region-%u\",\"failure_domain\":\"region-%u-%c\"}",
        i > 0 ? "," : "", name, i, (guint)(revision % 250), i + 1, home, home,
        'a' + (char)i);
  g_string_append (value, "]},\"author\":\"operator@example\",\"reason\":null,"
                          "\"time\":1700000000000,\"change\":\"vm-1.1.1\"}");
  tou_entry_list_add (list, key, strlen (key), value->str, value->len,
                      revision);
  g_free (key);
  g_string_free (value, TRUE);
}

void
fixture_add_record (TouEntryList *list, const char *name, guint64 revision)
{
  TouGroupRecord record = { .state = TOU_RECORD_ACTIVE,
                            .term = RECORD_TERMS,
                            .primary_term = RECORD_TERMS,
                            .owner = tou_name ("vm-00001"),
                            .attempt = tou_name ("vm-00001.1.1") };
  char *primary = g_strconcat (name, "-db0", NULL);
  char *key = g_strconcat (TOU_RECORD_PREFIX, name, NULL);
  TouStr value;

  record.primary = tou_name (primary);
  for (guint i = 1; i <= RECORD_TERMS; i++)
    tou_record_add_term (&record, i, i);
  tou_record_format (&value, &record);
  tou_entry_list_add (list, key, strlen (key), value.data, value.len, revision);
  tou_str_clear (&value);
  g_free (key);
  g_free (primary);
}

void
fixture_send_entries (Fixture *fixture, TouEntryList *list)
{
  TouEvent event = { .type = TOU_EVENT_PEER };
  TouMessage *message = fixture_message (TOU_MESSAGE_ENTRIES, 1);

  message->u.entries.from = fixture->revision;
  fixture->revision = list->items[list->count - 1].revision;
  for (guint i = 0; i < list->count; i++)
    fixture->entry_bytes += list->items[i].key.len + list->items[i].value.len;
  message->u.entries.to = fixture->revision;
  message->u.entries.entries = *list;
  *list = (TouEntryList){ 0 };
  event.u.peer = message;
  fixture_step (fixture, STEP_ENTRIES, &event);
}

/* Answers a ping of the core, so that the target is not suspected. */
static void
fixture_answer_ping (Fixture *fixture, const TouAction *action)
{
  TouEvent *event = g_new0 (TouEvent, 1);
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING_ACK);
  TouPing *ping = &message->u.ping;

  message->from = action->u.send.node;
  message->from_incarnation = 1;
  ping->sequence = action->u.send.message->u.ping.sequence;
  ping->target = action->u.send.node;
  ping->feed_revision = fixture->revision;
  ping->n_updates = 1;
  fixture_member (
      &ping->updates[0],
      (guint)g_ascii_strtoull (action->u.send.node.data + 3, NULL, 10));
  event->type = TOU_EVENT_PEER;
  event->u.peer = message;
  g_queue_push_tail (&fixture->answers, event);
}

static void
fixture_handle_send (Fixture *fixture, const TouAction *action)
{
  TouMessage *message = action->u.send.message;
  TouStr wire;

  fixture->sent_messages++;
  if (fixture->count_bytes && tou_message_encode (&wire, message) == TOU_OK)
    {
      fixture->sent_bytes += wire.len;
      tou_str_clear (&wire);
    }
  if (message->type == TOU_MESSAGE_PING && action->u.send.node.len > 0)
    fixture_answer_ping (fixture, action);
  if (message->type == TOU_MESSAGE_EXECUTE)
    fixture->last_execute = message->u.execute.id;
  if (message->type == TOU_MESSAGE_EXECUTE_REPLY
      && message->u.reply.outcome == TOU_OUTCOME_DONE)
    fixture->n_done++;
}

static void
fixture_answer_control (Fixture *fixture, const TouAction *action)
{
  TouEvent *event = g_new0 (TouEvent, 1);
  TouDbReport *report = &event->u.db_report.report;

  event->type = TOU_EVENT_DB_REPORT;
  event->u.db_report.conn = action->u.db_control.conn;
  event->u.db_report.sequence = action->u.db_control.sequence;
  event->u.db_report.granted = TRUE;
  report->role
      = g_hash_table_contains (fixture->primaries, &action->u.db_control.conn)
            ? TOU_ROLE_PRIMARY
            : TOU_ROLE_REPLICA;
  report->last = (TouLogPos){ RECORD_TERMS, fixture->position };
  report->fence_term = RECORD_TERMS;
  report->term_start = RECORD_TERMS;
  report->work_clients = 1;
  g_queue_push_tail (&fixture->answers, event);
}

static void
fixture_answer_execute (Fixture *fixture, const TouAction *action)
{
  TouEvent *event = g_new0 (TouEvent, 1);

  if (action->u.db_execute.kind != TOU_DB_READ)
    fixture->position++;
  event->type = TOU_EVENT_DB_RESULT;
  event->u.db_result.conn = action->u.db_execute.conn;
  event->u.db_result.sequence = action->u.db_execute.sequence;
  event->u.db_result.outcome = TOU_DB_DONE;
  event->u.db_result.pos = (TouLogPos){ RECORD_TERMS, fixture->position };
  event->u.db_result.service_us = FIXTURE_DB_US;
  tou_str_init_c (&event->u.db_result.result,
                  "{\"columns\":[],\"rows\":[],\"tag\":\"UPDATE 1\"}");
  g_queue_push_tail (&fixture->answers, event);
}

static void
fixture_answer_open (Fixture *fixture, const TouAction *action)
{
  TouEvent *event = g_new0 (TouEvent, 1);

  if (g_str_has_suffix (action->u.db_open.endpoint.data, "-db0"))
    g_hash_table_add (
        fixture->primaries,
        g_memdup2 (&action->u.db_open.conn, sizeof action->u.db_open.conn));
  fixture->n_opened++;
  event->type = TOU_EVENT_DB_OPENED;
  event->u.db_opened.conn = action->u.db_open.conn;
  g_queue_push_tail (&fixture->answers, event);
}

static void
fixture_handle_action (Fixture *fixture, const TouAction *action)
{
  switch (action->type)
    {
    case TOU_ACTION_SEND:
      fixture_handle_send (fixture, action);
      break;
    case TOU_ACTION_DB_OPEN:
      fixture_answer_open (fixture, action);
      break;
    case TOU_ACTION_DB_CONTROL:
      fixture_answer_control (fixture, action);
      break;
    case TOU_ACTION_DB_EXECUTE:
      if (!fixture->drop_statements)
        fixture_answer_execute (fixture, action);
      break;
    default:
      break;
    }
}

void
fixture_step (Fixture *fixture, StepClass class, TouEvent *event)
{
  TouActionList actions = { 0 };
  double start_ns = cpu_now_ns ();

  tou_core_step (fixture->core, fixture->now_us, event, &actions);
  fixture->cpu_ns[class] += cpu_now_ns () - start_ns;
  fixture->steps[class]++;
  for (guint i = 0; i < actions.count; i++)
    fixture_handle_action (fixture, &actions.items[i]);
  tou_action_list_clear (&actions);
}

static StepClass
fixture_classify (const TouEvent *event)
{
  switch (event->type)
    {
    case TOU_EVENT_PEER:
      return STEP_ACK;
    case TOU_EVENT_DB_REPORT:
      return STEP_REPORT;
    case TOU_EVENT_DB_RESULT:
      return STEP_RESULT;
    default:
      return STEP_OTHER;
    }
}

/* All answers to one batch of actions arrive together, FIXTURE_DB_US later. */
void
fixture_deliver_answers (Fixture *fixture)
{
  while (fixture->answers.length > 0)
    {
      guint count = fixture->answers.length;

      fixture->now_us += FIXTURE_DB_US;
      while (count-- > 0)
        {
          TouEvent *event = g_queue_pop_head (&fixture->answers);

          fixture_step (fixture, fixture_classify (event), event);
          g_free (event);
        }
    }
}

static void
fixture_receive_ping (Fixture *fixture)
{
  TouEvent event = { .type = TOU_EVENT_PEER };
  guint from
      = 1 + (guint)(fixture->sequence % (fixture->options.n_members - 1));
  TouMemberUpdate self;
  TouPing *ping;

  fixture_member (&self, 0);
  event.u.peer = fixture_message (TOU_MESSAGE_PING, from);
  ping = &event.u.peer->u.ping;
  ping->sequence = ++fixture->sequence;
  ping->target = self.name;
  ping->feed_revision = fixture->revision;
  ping->n_updates = 1;
  fixture_member (&ping->updates[0], from);
  fixture_step (fixture, STEP_PING, &event);
}

void
fixture_run (Fixture *fixture, guint64 us)
{
  guint64 end_us = fixture->now_us + us;
  guint64 next_ping_us = fixture->now_us;

  while (fixture->now_us < end_us)
    {
      TouEvent tick = { .type = TOU_EVENT_TICK };
      guint64 start_us = fixture->now_us;

      fixture_step (fixture, STEP_TICK, &tick);
      fixture_deliver_answers (fixture);
      if (fixture->now_us >= next_ping_us)
        {
          next_ping_us += fixture->options.ping_interval_us;
          fixture_receive_ping (fixture);
        }
      fixture->now_us = MAX (fixture->now_us, start_us + TICK_US);
    }
}

void
fixture_reset (Fixture *fixture)
{
  memset (fixture->cpu_ns, 0, sizeof fixture->cpu_ns);
  memset (fixture->steps, 0, sizeof fixture->steps);
  fixture->sent_messages = 0;
  fixture->sent_bytes = 0;
  fixture->n_done = 0;
}

double
fixture_mean_us (const Fixture *fixture, StepClass class)
{
  return fixture->steps[class] > 0
             ? fixture->cpu_ns[class] / (double)fixture->steps[class] / 1e3
             : 0;
}

/* Sends the member table like a transfer: as answers with sequence 0. */
void
fixture_load_members (Fixture *fixture, gboolean paced)
{
  guint n_sent = 0;

  for (guint i = 1; i < fixture->options.n_members;)
    {
      TouEvent event = { .type = TOU_EVENT_PEER };
      TouPing *ping;

      if (paced && n_sent++ % MESSAGES_PER_TICK == 0)
        fixture_run (fixture, TICK_US);
      event.u.peer = fixture_message (TOU_MESSAGE_PING_ACK, 1);
      ping = &event.u.peer->u.ping;
      while (i < fixture->options.n_members
             && ping->n_updates < TOU_MESSAGE_MAX_UPDATES)
        fixture_member (&ping->updates[ping->n_updates++], i++);
      fixture_step (fixture, STEP_OTHER, &event);
    }
}

/* Finds names of groups whose gate is placed on the core's own proxy. */
static void
fixture_find_served (Fixture *fixture)
{
  TouContext ctx = { .now_us = fixture->now_us };
  TouActionList actions = { 0 };
  TouMemberUpdate self;

  fixture_member (&self, 0);
  tou_core_settings_init (&ctx.settings);
  ctx.settings.node = self.name;
  ctx.settings.region = self.region;
  ctx.settings.failure_domain = self.failure_domain;
  ctx.settings.incarnation = 1;
  ctx.actions = &actions;
  tou_member_create (&ctx.member, &ctx);
  for (guint i = 1; i < fixture->options.n_members; i++)
    {
      TouMessage *message = fixture_message (TOU_MESSAGE_PING_ACK, 1);

      message->u.ping.n_updates = 1;
      fixture_member (&message->u.ping.updates[0], i);
      tou_member_on_message (ctx.member, message);
      tou_message_destroy (message);
    }
  for (guint i = 0; fixture->served->len < fixture->options.n_served; i++)
    {
      char *name = g_strdup_printf ("hot-%u", i);
      TouGroupConfig config
          = { .name = tou_name (name), .home_region = self.region };

      tou_place_create (&ctx.place, &ctx);
      if (tou_name_equal (&tou_place_group (ctx.place, &config)->candidates[0],
                          &self.name))
        g_ptr_array_add (fixture->served, name);
      else
        g_free (name);
      tou_place_destroy (ctx.place);
    }
  tou_member_destroy (ctx.member);
  tou_action_list_clear (&actions);
}

Fixture *
fixture_create (const FixtureOptions *options)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  TouCoreSettings settings;
  TouMemberUpdate self;

  fixture->options = *options;
  fixture->now_us = TOU_US_PER_S;
  fixture->position = 100;
  g_queue_init (&fixture->answers);
  fixture->served = g_ptr_array_new_with_free_func (g_free);
  fixture->primaries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  fixture_find_served (fixture);
  fixture_member (&self, 0);
  tou_core_settings_init (&settings);
  settings.node = self.name;
  settings.region = self.region;
  settings.failure_domain = self.failure_domain;
  settings.peer_address = self.address;
  settings.incarnation = 1;
  settings.ping_interval_us = options->ping_interval_us;
  settings.queue_limit = REQUEST_LIMIT;
  settings.pending_limit = REQUEST_LIMIT;
  settings.txn_limit = REQUEST_LIMIT;
  tou_core_create (&fixture->core, &settings, fixture->now_us, 1);
  fixture_load_members (fixture, FALSE);
  return fixture;
}

void
fixture_destroy (Fixture *fixture)
{
  TouEvent *event;

  tou_core_destroy (fixture->core);
  while ((event = g_queue_pop_head (&fixture->answers)) != NULL)
    {
      tou_event_clear (event);
      g_free (event);
    }
  g_ptr_array_free (fixture->served, TRUE);
  g_hash_table_destroy (fixture->primaries);
  g_free (fixture);
}

void
fixture_send_groups (Fixture *fixture)
{
  guint total = fixture->options.n_groups + fixture->served->len;
  guint64 revision = fixture->revision;
  TouEntryList list = { 0 };

  for (guint i = 0; i < total; i++)
    {
      gboolean served = i >= fixture->options.n_groups;
      char *name = served ? g_strdup (g_ptr_array_index (
                       fixture->served, i - fixture->options.n_groups))
                          : g_strdup_printf ("group-%04u", i);

      fixture_add_group (&list, name, served ? 0 : i % FIXTURE_REGIONS,
                         served ? fixture->options.slots : 3, ++revision);
      fixture_add_record (&list, name, ++revision);
      if (list.count >= ENTRIES_PER_MESSAGE || i + 1 == total)
        fixture_send_entries (fixture, &list);
      g_free (name);
    }
}

void
fixture_load_groups (Fixture *fixture)
{
  fixture_send_groups (fixture);
  fixture_run (fixture, READY_US);
}
