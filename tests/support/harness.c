#include "harness.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Number of failure domains in a region. */
#define DOMAINS_PER_REGION 3
/* First port in the fake databases' addresses. */
#define FIRST_PORT 5000u
/* Time at which all proxies start, in microseconds; 0 means "never". */
#define START_US TOU_US_PER_S
/* A drain may abort requests after this time (design 3.15). */
#define DRAIN_TIMEOUT_US (30 * TOU_US_PER_S)
/* Time after which no statement may arrive at a leaving endpoint: the VM list
 * lags by 1 s, proxies stop dispatching within 2 s of the change of the list,
 * and the last statement may be in transit for 10 ms. */
#define LEAVING_GRACE_US (3 * TOU_US_PER_S + 10 * TOU_US_PER_MS)

const Deployment deployment_tuul = {
  "tuul", { "ulaanbaatar", "darkhan", "erdenet" }, 3, 3, 20, 500, 10000, 3000,
  10000
};
const Deployment deployment_nha_vung = {
  "nha-vung", { "hanoi", "da-nang", "ho-chi-minh" }, 3, 2, 30, 500, 10000, 3000,
  10000
};

typedef struct
{
  guint64 at_us;
  guint64 sequence;
  HarnessFunc func;
  gpointer data;
} ScheduledCall;

static gboolean
scheduled_before (const ScheduledCall *a, const ScheduledCall *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->sequence < b->sequence;
}

static void
heap_swap (GPtrArray *heap, guint a, guint b)
{
  gpointer item = heap->pdata[a];

  heap->pdata[a] = heap->pdata[b];
  heap->pdata[b] = item;
}

static void
heap_push (GPtrArray *heap, ScheduledCall *call)
{
  guint i = heap->len;

  g_ptr_array_add (heap, call);
  while (i > 0 && scheduled_before (heap->pdata[i], heap->pdata[(i - 1) / 2]))
    {
      heap_swap (heap, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static ScheduledCall *
heap_pop (GPtrArray *heap)
{
  ScheduledCall *top = heap->pdata[0];
  guint i = 0;

  heap_swap (heap, 0, heap->len - 1);
  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  for (;;)
    {
      guint least = i;

      for (guint child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < heap->len
            && scheduled_before (heap->pdata[child], heap->pdata[least]))
          least = child;
      if (least == i)
        return top;
      heap_swap (heap, i, least);
      i = least;
    }
}

void
harness_schedule (Harness *harness, guint64 at_us, HarnessFunc func,
                  gpointer data)
{
  ScheduledCall *call = g_new (ScheduledCall, 1);

  *call = (ScheduledCall){ MAX (at_us, harness->now_us),
                           harness->next_sequence++, func, data };
  heap_push (harness->heap, call);
}

void
harness_run (Harness *harness, guint64 until_us)
{
  while (harness->heap->len > 0
         && ((ScheduledCall *)harness->heap->pdata[0])->at_us <= until_us)
    {
      ScheduledCall *call = heap_pop (harness->heap);

      harness->now_us = call->at_us;
      call->func (harness, call->data);
      g_free (call);
    }
  harness->now_us = until_us;
}

void
harness_violation (Harness *harness, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (harness->violations, g_strdup_vprintf (format, args));
  va_end (args);
}

guint
harness_db (guint group, guint member)
{
  return group * HARNESS_DBS_PER_GROUP + member;
}

guint
harness_db_entity (const Harness *harness, guint db)
{
  return harness->options.n_proxies + db;
}

guint
harness_store_entity (const Harness *harness)
{
  return harness->n_entities - 1;
}

TouName
harness_group_name (guint group)
{
  char text[16];

  g_snprintf (text, sizeof text, "g%u", group + 1);
  return tou_name (text);
}

TouName
harness_endpoint_name (guint db)
{
  char text[16];

  g_snprintf (text, sizeof text, "g%u-db%u", db / HARNESS_DBS_PER_GROUP + 1,
              db % HARNESS_DBS_PER_GROUP + 1);
  return tou_name (text);
}

gboolean
harness_is_cut (const Harness *harness, guint a, guint b)
{
  return harness->cut[a * harness->n_entities + b];
}

void
harness_cut (Harness *harness, guint a, guint b, gboolean cut)
{
  harness->cut[a * harness->n_entities + b] = cut;
  harness->cut[b * harness->n_entities + a] = cut;
  if (cut)
    return;
  for (guint i = 0; i < harness->n_databases; i++)
    if (harness_db_entity (harness, i) == a
        || harness_db_entity (harness, i) == b)
      fake_database_on_network_healed (harness->databases[i]);
}

void
harness_isolate (Harness *harness, guint entity, gboolean cut)
{
  for (guint i = 0; i < harness->n_entities; i++)
    if (i != entity)
      harness_cut (harness, entity, i, cut);
}

/* Group g has its home region g, with two databases there and the third in the
 * next region. */
static guint
entity_region (const Harness *harness, guint entity)
{
  guint db;

  if (entity < harness->options.n_proxies)
    return entity % HARNESS_REGIONS;
  if (entity == harness_store_entity (harness))
    return 0;
  db = entity - harness->options.n_proxies;
  return (db / HARNESS_DBS_PER_GROUP
          + (db % HARNESS_DBS_PER_GROUP == 2 ? 1 : 0))
         % HARNESS_REGIONS;
}

guint64
harness_latency_us (const Harness *harness, guint a, guint b)
{
  const Deployment *d = harness->options.deployment;

  if (a == b)
    return 0;
  /* From any region the store has the latency within a region. */
  if (a == harness_store_entity (harness)
      || b == harness_store_entity (harness))
    return d->domain_latency_us;
  return entity_region (harness, a) == entity_region (harness, b)
             ? d->domain_latency_us
             : d->region_latency_us;
}

typedef struct
{
  Proxy *proxy;
  guint64 generation;
  TouEvent event;
} Delivery;

static void harness_apply_actions (Harness *harness, Proxy *proxy,
                                   TouActionList *actions);

void
harness_step (Harness *harness, Proxy *proxy, TouEvent *event)
{
  TouActionList actions = { 0 };
  gboolean entries;

  if (proxy->core == NULL)
    {
      tou_event_clear (event);
      return;
    }
  if (proxy->paused)
    {
      Delivery *deferred = g_new0 (Delivery, 1);

      deferred->event = *event;
      g_queue_push_tail (&proxy->deferred, deferred);
      return;
    }
  entries = event->type == TOU_EVENT_PEER
            && event->u.peer->type == TOU_MESSAGE_ENTRIES;
  if (tou_core_step (proxy->core, harness->now_us, event, &actions) != TOU_OK)
    harness_violation (harness, "core step failed: %s", tou_status_message ());
  harness_apply_actions (harness, proxy, &actions);
  tou_action_list_clear (&actions);
  if (entries && harness->on_entries != NULL)
    harness->on_entries (harness, harness->on_entries_data);
}

static void
deliver (Harness *harness, gpointer data)
{
  Delivery *delivery = data;

  if (delivery->generation == delivery->proxy->generation)
    harness_step (harness, delivery->proxy, &delivery->event);
  else
    tou_event_clear (&delivery->event);
  g_free (delivery);
}

void
harness_post (Harness *harness, Proxy *proxy, guint64 delay_us,
              const TouEvent *event)
{
  Delivery *delivery = g_new (Delivery, 1);

  delivery->proxy = proxy;
  delivery->generation = proxy->generation;
  delivery->event = *event;
  harness_schedule (harness, harness->now_us + delay_us, deliver, delivery);
}

static Proxy *
find_proxy (Harness *harness, const TouName *address)
{
  for (guint i = 0; i < harness->options.n_proxies; i++)
    if (tou_name_equal (&harness->proxies[i].name, address))
      return &harness->proxies[i];
  return NULL;
}

/* A proxy's peer address is its name. */
static void
harness_send (Harness *harness, Proxy *from, TouAction *action)
{
  Proxy *to = find_proxy (harness, &action->u.send.address);
  TouEvent event = { .type = TOU_EVENT_PEER };

  if (to == NULL || to->core == NULL
      || harness_is_cut (harness, from->index, to->index))
    return;
  event.u.peer = action->u.send.message;
  action->u.send.message = NULL;
  harness_post (harness, to,
                harness_latency_us (harness, from->index, to->index), &event);
}

/* Stops a drained proxy. Before the drain times out, no transaction may be open
 * on it. */
static void
exit_when_drained (Harness *harness, gpointer data)
{
  Proxy *proxy = data;

  if (harness->closing || proxy->core == NULL || !proxy->drained)
    return;
  if (harness->now_us < proxy->drain_start_us + DRAIN_TIMEOUT_US
      && fake_database_has_txn (harness, proxy))
    harness_violation (harness, "drain of %s aborted a transaction",
                       proxy->name.data);
  harness_kill_proxy (harness, proxy->index);
}

static void
harness_apply_action (Harness *harness, Proxy *proxy, TouAction *action)
{
  switch (action->type)
    {
    case TOU_ACTION_SEND:
      harness_send (harness, proxy, action);
      break;
    case TOU_ACTION_DB_OPEN:
    case TOU_ACTION_DB_EXECUTE:
    case TOU_ACTION_DB_CONTROL:
    case TOU_ACTION_DB_CLOSE:
      fake_database_action (harness, proxy, action);
      break;
    case TOU_ACTION_STORE:
      fake_store_call (harness->store, proxy, &action->u.store);
      break;
    case TOU_ACTION_VM_LIST:
      fake_store_vm_list (harness->store, proxy);
      break;
    case TOU_ACTION_REPLY:
      if (!txn_clients_on_reply (harness->txn_clients, action->u.reply.caller,
                                 &action->u.reply.reply))
        workload_on_reply (harness->workload, action->u.reply.caller,
                           &action->u.reply.reply);
      break;
    case TOU_ACTION_READY:
      proxy->ready = action->u.ready.ready;
      break;
    case TOU_ACTION_DRAINED:
      proxy->drained = TRUE;
      if (harness->options.exit_when_drained)
        harness_schedule (harness, harness->now_us, exit_when_drained, proxy);
      break;
    case TOU_ACTION_LOG:
      if (harness->log != NULL)
        g_string_append_printf (harness->log, "%8.3f %s %s\n",
                                (double)harness->now_us / TOU_US_PER_S,
                                proxy->name.data, action->u.log.message.data);
      break;
    case TOU_ACTION_CONFIG_REPLY:
      harness->config_code = action->u.config_reply.code;
      harness->config_revision = action->u.config_reply.revision;
      break;
    case TOU_ACTION_TEXT_REPLY:
      tou_str_clear (&harness->text);
      tou_str_move (&harness->text, &action->u.text_reply.text);
      break;
    case TOU_ACTION_COUNT:
      break;
    }
}

static void
harness_apply_actions (Harness *harness, Proxy *proxy, TouActionList *actions)
{
  for (guint i = 0; i < actions->count; i++)
    harness_apply_action (harness, proxy, &actions->items[i]);
}

static void
tick (Harness *harness, gpointer data)
{
  Delivery *delivery = data;
  Proxy *proxy = delivery->proxy;
  TouEvent event = { .type = TOU_EVENT_TICK };

  if (delivery->generation != proxy->generation || proxy->core == NULL)
    {
      g_free (delivery);
      return;
    }
  if (!proxy->paused)
    harness_step (harness, proxy, &event);
  /* The next tick of a paused proxy is overdue, so this is called again each
   * millisecond and the proxy ticks as soon as it resumes. */
  harness_schedule (
      harness,
      MAX (tou_core_next_tick (proxy->core), harness->now_us + TOU_US_PER_MS),
      tick, delivery);
}

void
harness_start_proxy (Harness *harness, guint index)
{
  Proxy *proxy = &harness->proxies[index];
  const Deployment *d = harness->options.deployment;
  TouCoreSettings settings;
  Delivery *delivery = g_new0 (Delivery, 1);
  char domain[32];

  proxy->generation++;
  proxy->incarnation = harness->now_us + 1;
  proxy->drained = FALSE;
  tou_core_settings_init (&settings);
  settings.node = proxy->name;
  settings.region = tou_name (d->regions[proxy->region]);
  g_snprintf (domain, sizeof domain, "%s-%u", d->regions[proxy->region],
              index / HARNESS_REGIONS % DOMAINS_PER_REGION);
  settings.failure_domain = tou_name (domain);
  settings.peer_address = proxy->name;
  settings.incarnation = proxy->incarnation;
  settings.n_seeds = MIN (harness->options.n_proxies, 3);
  for (guint i = 0; i < settings.n_seeds; i++)
    settings.seeds[i] = harness->proxies[i].name;
  if (tou_core_create (&proxy->core, &settings, harness->now_us,
                       harness->options.seed * 1000 + index + 1)
      != TOU_OK)
    g_error ("core of %s: %s", proxy->name.data, tou_status_message ());
  delivery->proxy = proxy;
  delivery->generation = proxy->generation;
  harness_schedule (harness, harness->now_us, tick, delivery);
}

static void
proxy_discard_deferred (Proxy *proxy)
{
  Delivery *deferred;

  while ((deferred = g_queue_pop_head (&proxy->deferred)) != NULL)
    {
      tou_event_clear (&deferred->event);
      g_free (deferred);
    }
}

void
harness_kill_proxy (Harness *harness, guint index)
{
  Proxy *proxy = &harness->proxies[index];
  gboolean lost;

  tou_core_destroy (proxy->core);
  proxy->core = NULL;
  proxy->ready = FALSE;
  proxy->paused = FALSE;
  proxy->generation++;
  proxy_discard_deferred (proxy);
  fake_database_on_proxy_exit (harness, proxy);
  fake_store_on_proxy_exit (harness->store, proxy);
  lost = workload_on_proxy_exit (harness->workload, proxy);
  lost = txn_clients_on_proxy_exit (harness->txn_clients, proxy) || lost;
  if (lost && proxy->drained
      && harness->now_us < proxy->drain_start_us + DRAIN_TIMEOUT_US)
    harness_violation (harness, "drain of %s aborted a request",
                       proxy->name.data);
}

void
harness_pause_proxy (Harness *harness, guint index, gboolean paused)
{
  Proxy *proxy = &harness->proxies[index];
  Delivery *deferred;

  proxy->paused = paused;
  while (!paused && (deferred = g_queue_pop_head (&proxy->deferred)) != NULL)
    {
      harness_step (harness, proxy, &deferred->event);
      g_free (deferred);
    }
}

void
harness_drain_proxy (Harness *harness, guint index)
{
  TouEvent event = { .type = TOU_EVENT_DRAIN };

  harness->proxies[index].drain_start_us = harness->now_us;
  harness_step (harness, &harness->proxies[index], &event);
}

void
harness_mark_database_leaving (Harness *harness, guint db)
{
  TouName name = harness_endpoint_name (db);

  harness->no_dispatch_after_us[db] = harness->now_us + LEAVING_GRACE_US;
  fake_store_mark_leaving (harness->store, &name);
}

Proxy *
harness_pick_proxy (Harness *harness, TouRandom *random)
{
  guint n = harness->options.n_proxies;
  guint start = (guint)tou_random_below (random, n);

  for (guint i = 0; i < n; i++)
    {
      Proxy *proxy = &harness->proxies[(start + i) % n];

      if (proxy->core != NULL && proxy->ready)
        return proxy;
    }
  return NULL;
}

/* Returns the number that follows @a label in the last text reply. */
static guint64
number_after (const Harness *harness, const char *label)
{
  const char *found
      = harness->text.data != NULL ? strstr (harness->text.data, label) : NULL;

  return found != NULL ? strtoull (found + strlen (label), NULL, 10) : 0;
}

guint64
harness_counter (Harness *harness, const char *name)
{
  char *label = g_strdup_printf ("\ntoucanscale_%s ", name);
  guint64 sum = 0;

  for (guint i = 0; i < harness->options.n_proxies; i++)
    {
      TouEvent event = { .type = TOU_EVENT_METRICS };

      if (harness->proxies[i].core == NULL)
        continue;
      harness_step (harness, &harness->proxies[i], &event);
      sum += number_after (harness, label);
    }
  g_free (label);
  return sum;
}

guint64
harness_feed_revision (Harness *harness, guint proxy)
{
  TouEvent event = { .type = TOU_EVENT_DUMP };

  if (harness->proxies[proxy].core == NULL)
    return 0;
  harness_step (harness, &harness->proxies[proxy], &event);
  return number_after (harness, "\"feed_revision\":");
}

guint64
harness_entry_revision (Harness *harness, guint proxy, const char *key)
{
  TouEvent event = { .type = TOU_EVENT_DUMP };
  guint64 revision = 0;
  gsize i;
  json_t *root;
  json_t *entry;

  harness_step (harness, &harness->proxies[proxy], &event);
  root = json_loadb (harness->text.data, harness->text.len, 0, NULL);
  json_array_foreach (json_object_get (root, "config"), i, entry)
  {
    const char *name = json_string_value (json_object_get (entry, "key"));

    if (g_strcmp0 (name, key) == 0)
      revision
          = (guint64)json_integer_value (json_object_get (entry, "revision"));
  }
  json_decref (root);
  return revision;
}

void
harness_change_config (Harness *harness, guint proxy, const char *key,
                       const char *value, guint64 expected_revision)
{
  TouEvent event = { .type = TOU_EVENT_CONFIG_CHANGE };
  TouConfigChange *change = &event.u.config_change.change;

  tou_str_init_c (&change->key, key);
  tou_str_init_c (&change->value, value);
  tou_str_init_c (&change->author, "operator");
  tou_str_init_c (&change->reason, "measurement");
  change->expected_revision = expected_revision;
  harness->config_code = -1;
  harness_step (harness, &harness->proxies[proxy], &event);
}

/* Stores the configuration that operators wrote before the run. */
static void
harness_seed_config (Harness *harness)
{
  const Deployment *d = harness->options.deployment;

  for (guint g = 0; g < d->n_groups; g++)
    {
      GString *value = g_string_new (NULL);
      TouName group = harness_group_name (g);
      char key[64];

      g_string_append_printf (value,
                              "{\"value\":{\"home_region\":\"%s\",\"slots\":%u,"
                              "\"connection_limit\":%u,\"endpoints\":[",
                              d->regions[g % HARNESS_REGIONS], d->slots,
                              d->connection_limit);
      for (guint i = 0; i < HARNESS_DBS_PER_GROUP; i++)
        {
          guint db = harness_db (g, i);
          guint region
              = entity_region (harness, harness_db_entity (harness, db));

          g_string_append_printf (
              value,
              "%s{\"name\":\"%s\",\"address\":\"127.0.0.1:%u\",\"region\":\"%"
              "s\","
              "\"failure_domain\":\"%s-%u\"}",
              i > 0 ? "," : "", harness_endpoint_name (db).data,
              FIRST_PORT + db, d->regions[region], d->regions[region], i);
        }
      g_string_append (value, "]},\"author\":\"setup\",\"reason\":\"\","
                              "\"time\":0,\"change\":\"setup\"}");
      g_snprintf (key, sizeof key, "/toucanscale/config/group/%s", group.data);
      fake_store_seed (harness->store, key, value->str);
      g_string_free (value, TRUE);
    }
}

Harness *
harness_create (const HarnessOptions *options)
{
  Harness *harness = g_new0 (Harness, 1);

  harness->options = *options;
  harness->now_us = START_US;
  harness->heap = g_ptr_array_new ();
  harness->violations = g_ptr_array_new_with_free_func (g_free);
  tou_random_init (&harness->random, options->seed);
  harness->n_databases = options->deployment->n_groups * HARNESS_DBS_PER_GROUP;
  harness->n_entities = options->n_proxies + harness->n_databases + 1;
  harness->cut
      = g_new0 (gboolean, (gsize)harness->n_entities * harness->n_entities);
  harness->proxies = g_new0 (Proxy, options->n_proxies);
  harness->databases = g_new0 (FakeDatabase *, harness->n_databases);
  for (guint i = 0; i < harness->n_databases; i++)
    harness->databases[i] = fake_database_create (harness, i);
  harness->store = fake_store_create (harness);
  harness->workload = workload_create (harness);
  harness->txn_clients = txn_clients_create (harness, options->n_txn_clients);
  harness->no_dispatch_after_us = g_new0 (guint64, harness->n_databases);
  harness_seed_config (harness);
  for (guint i = 0; i < options->n_proxies; i++)
    {
      char text[16];

      g_snprintf (text, sizeof text, "p%u", i + 1);
      harness->proxies[i].index = i;
      harness->proxies[i].name = tou_name (text);
      harness->proxies[i].region = i % HARNESS_REGIONS;
    }
  for (guint i = 0; i < options->n_proxies; i++)
    harness_start_proxy (harness, i);
  return harness;
}

void
harness_destroy (Harness *harness)
{
  for (guint i = 0; i < harness->options.n_proxies; i++)
    if (harness->proxies[i].core != NULL)
      harness_kill_proxy (harness, i);
  /* With closing set, pending calls only free their data. */
  harness->closing = TRUE;
  while (harness->heap->len > 0)
    {
      ScheduledCall *call = heap_pop (harness->heap);

      call->func (harness, call->data);
      g_free (call);
    }
  for (guint i = 0; i < harness->n_databases; i++)
    fake_database_destroy (harness->databases[i]);
  workload_destroy (harness->workload);
  txn_clients_destroy (harness->txn_clients);
  g_free (harness->no_dispatch_after_us);
  fake_store_destroy (harness->store);
  g_ptr_array_free (harness->heap, TRUE);
  g_ptr_array_free (harness->violations, TRUE);
  if (harness->log != NULL)
    g_string_free (harness->log, TRUE);
  tou_str_clear (&harness->text);
  g_free (harness->databases);
  g_free (harness->proxies);
  g_free (harness->cut);
  g_free (harness);
}
