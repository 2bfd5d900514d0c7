#include "control-private.h"

#include "document.h"
#include "revision.h"

#include <jansson.h>

#include <string.h>

#define CONTROL_NODE_PREFIX "tou/node/"

/* Shares of the time within which a configuration must be applied, in 60ths: a
   watch without changes returns after the first, and one that has not returned
   after the second is replaced, since its connection may be silent. The pause
   before a watch, this limit and an immediate answer to the next watch fit into
   the time. */
#define CONTROL_WATCH_WAIT 30
#define CONTROL_WATCH_LIMIT 40
/* The same for members of the panel, on which the others rely. */
#define CONTROL_WATCH_MEMBER_WAIT 15
#define CONTROL_WATCH_MEMBER_LIMIT 20
#define CONTROL_WATCH_WHOLE 60
/* Pause after a watch that returned changes, multiplied by the number of nodes.
   When all nodes start at once, each registration wakes every other node; the
   pause limits all nodes together to 125 calls a second. Its maximum is a fifth
   of the time within which a configuration must be applied. */
#define CONTROL_WATCH_PAUSE_US (8 * TOU_US_PER_MS)
#define CONTROL_WATCH_PAUSE_DIVISOR 5
/* The same for members of the panel, on which the others rely. */
#define CONTROL_WATCH_PAUSE_MEMBER_US (100 * TOU_US_PER_MS)
/* Pause after a failed call; outages last seconds. While the panel answers, the
   pause before the next list or watch doubles up to the maximum. */
#define CONTROL_RETRY_US (200 * TOU_US_PER_MS)
#define CONTROL_RETRY_MAX_US (1600 * TOU_US_PER_MS)
/* Pause before the first list has succeeded: until then the node cannot serve
   statements. */
#define CONTROL_START_RETRY_US (50 * TOU_US_PER_MS)
/* Leader lease and renewal interval: two renewals may be lost. If the leader is
   unreachable, a change of primary waits for the lease to end. */
#define CONTROL_LEASE_US (1600 * TOU_US_PER_MS)
#define CONTROL_RENEW_INTERVAL_US (400 * TOU_US_PER_MS)
/* The leader stops acting this long before its lease ends. */
#define CONTROL_LEASE_MARGIN_US (300 * TOU_US_PER_MS)
/* Elections of the nodes are spread over this time, to avoid conflicts. */
#define CONTROL_ELECTION_SPREAD_MS 150
/* Delays of nodes that leave the election to others: nodes outside the panel,
   draining nodes, which may be the only ones that reach the store, nodes that
   are not watching the store at the moment, and nodes that do not reach a
   majority, and so cannot change a primary. */
#define CONTROL_ELECTION_OUTSIDE_US (500 * TOU_US_PER_MS)
#define CONTROL_ELECTION_DRAINING_US (500 * TOU_US_PER_MS)
#define CONTROL_ELECTION_UNINFORMED_US (3 * TOU_US_PER_S)
#define CONTROL_ELECTION_MINORITY_US (2 * TOU_US_PER_S)
/* A leader without heartbeats of half of the nodes for this long yields to one
   on the other side of a partition. */
#define CONTROL_MINORITY_US (1200 * TOU_US_PER_MS)
/* Half of the nodes answer a heartbeat within half an interval, so proofs by
   nodes are up to one and a half intervals old. The store is read if the proofs
   are older by this margin, which covers round trips between regions, ticks and
   a congested network. */
#define CONTROL_PROVE_MARGIN_US (200 * TOU_US_PER_MS)
/* Maximum number of log lines about one version of the configuration. */
#define CONTROL_MAX_IGNORED_LINES 20
/* Buffer for a message in a log line. */
#define CONTROL_TEXT_MAX 256

char *
tou_record_encode (const TouGroupRecord *record)
{
  json_t *root
      = json_pack ("{s:I,s:s,s:b,s:s}", "term", (json_int_t)record->term,
                   "primary", record->primary.data, "moving", record->moving,
                   "candidate", record->candidate.data);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

int
tou_record_decode (TouGroupRecord *out, const TouStr *value)
{
  json_t *root = json_loadb (value->data, value->len, 0, NULL);
  const char *primary;
  const char *candidate;
  json_int_t term;
  int moving;
  int status = TOU_OK;

  memset (out, 0, sizeof *out);
  if (json_unpack (root, "{s:I,s:s,s:b,s:s}", "term", &term, "primary",
                   &primary, "moving", &moving, "candidate", &candidate)
          != 0
      || term < 0 || tou_name_set_c (&out->primary, primary) != TOU_OK
      || tou_name_set_c (&out->candidate, candidate) != TOU_OK)
    status = tou_status_set (TOU_E_INVALID_JSON, "cannot decode group record");
  else
    {
      out->term = (guint64)term;
      out->moving = moving;
    }
  json_decref (root);
  return status;
}

static const char *
control_printable (char *out, gsize size, const char *text)
{
  return tou_evlog_sanitize (out, size, (TouSlice){ text, strlen (text) });
}

/* Sets @a out to the name behind @a prefix in a key that nodes have written. It
   is the name of a TouName, so a longer one has another writer. */
static gboolean
control_key_name (TouName *out, const char *key, const char *prefix)
{
  if (tou_name_set_c (out, key + strlen (prefix)) == TOU_OK)
    return TRUE;
  tou_evlog (TOU_EVLOG_STATE, "key_unreadable",
             "\"prefix\":\"%s\",\"bytes\":%zu", prefix, strlen (key));
  return FALSE;
}

static void
control_end_leadership (TouControl *control, const char *reason)
{
  if (!control->is_leader)
    return;
  control->is_leader = FALSE;
  tou_evlog (TOU_EVLOG_STATE, "duty_lost",
             "\"token\":%" G_GUINT64_FORMAT ",\"reason\":\"%s\"",
             control->token, reason);
}

/* After a failed renewal, waits for a lease time so that another node can be
   elected. */
static void
control_yield_leadership (TouControl *control, const char *reason)
{
  control_end_leadership (control, reason);
  control->elect_after_us = tou_clock_us () + CONTROL_LEASE_US;
}

static void
control_check_era (TouControl *control, const PlatStoreReply *reply,
                   const char *call)
{
  if (reply->era <= control->era)
    return;
  tou_evlog (TOU_EVLOG_STATE, "store_era",
             "\"era\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
             ",\"call\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
             reply->era, control->era, call, control->follow.revision);
  if (control->era != 0)
    {
      /* Watches continue in a history that may no longer exist, and revisions
         of the store do not tell: they are given out again. */
      control->must_list = TRUE;
      tou_follow_abandon (&control->follow);
      /* The store may have lost the lease, or granted its id to another node.
         A leader that has not noticed yet acts until its lease ends. */
      control->lease = 0;
      control_yield_leadership (control, "store was restored");
    }
  else
    control->restore.first_era = reply->era;
  control->era = reply->era;
  control->restore.era_since_us = tou_clock_us ();
  control->store_back_us = control->restore.era_since_us;
}

/* An outage is a call without a response, unless another call had one since. */
static void
control_check_outage (TouControl *control, const PlatStoreReply *reply,
                      gboolean answered)
{
  if (!answered && control->proxy->store_answered_us < reply->sent_us)
    control->store_out = TRUE;
  else if (answered && control->store_out)
    {
      control->store_out = FALSE;
      control->store_back_us = tou_clock_us ();
    }
}

void
tou_control_count_reply (TouControl *control, const PlatStoreReply *reply,
                         const char *call)
{
  gboolean answered = reply->result != PLAT_STORE_REFUSED
                      && reply->result != PLAT_STORE_UNKNOWN;
  const char *answer = reply->result == PLAT_STORE_REFUSED ? "refused" : "none";

  control_check_era (control, reply, call);
  control_check_outage (control, reply, answered);
  TOU_COUNT (control->proxy, STORE_CALLS);
  if (answered)
    control->proxy->store_answered_us = tou_clock_us ();
  else
    TOU_COUNT (control->proxy, STORE_FAILED);
  /* Calls that are in progress at the end of the process are given up. */
  if (control->proxy->deregistered)
    return;
  if (!answered)
    tou_evlog (
        TOU_EVLOG_FAILURE, "store_call_failed",
        "\"call\":\"%s\",\"answer\":\"%s\",\"waited_ms\":%" G_GUINT64_FORMAT,
        call, answer, (tou_clock_us () - reply->sent_us) / TOU_US_PER_MS);
  if (answered == control->connected)
    return;
  control->connected = answered;
  tou_evlog (
      TOU_EVLOG_STATE, answered ? "store_regained" : "store_lost",
      "\"call\":\"%s\",\"answer\":\"%s\",\"revision\":%" G_GUINT64_FORMAT, call,
      answered ? "none" : answer, control->follow.revision);
}

static void
control_mark_endpoint_missing (TouEndpoint *endpoint, guint64 now_us)
{
  if (endpoint->missing_since_us != 0)
    return;
  endpoint->missing_since_us = now_us;
  if (endpoint->leaving_since_us == 0)
    endpoint->leaving_since_us = now_us;
  tou_evlog (TOU_EVLOG_STATE, "endpoint_missing",
             "\"endpoint\":\"%s\",\"group\":\"%s\"", endpoint->info.id.data,
             endpoint->group->name.data);
}

/* Counts a registration that names no database. It is written with each
   heartbeat, and is logged when the reason changes. */
static void
control_refuse_endpoint (TouControl *control, const TouName *id,
                         const PlatStoreItem *item)
{
  const char *reason = tou_status_message ();
  char text[TOU_NAME_MAX + 1];

  TOU_COUNT (control->proxy, MALFORMED);
  if (g_strcmp0 (g_hash_table_lookup (control->unreadable, id), reason) == 0)
    return;
  g_hash_table_replace (control->unreadable, g_memdup2 (id, sizeof *id),
                        g_strdup (reason));
  tou_evlog (TOU_EVLOG_STATE, "endpoint_unreadable",
             "\"endpoint\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
             ",\"bytes\":%zu,\"error\":\"%s\"",
             control_printable (text, sizeof text, id->data), item->revision,
             item->value.len, reason);
}

static void
control_on_endpoint (TouControl *control, const PlatStoreItem *item)
{
  const char *id = item->key + strlen (PLAT_PREFIX_ENDPOINTS);
  TouEndpoint *endpoint;
  TouName name;
  TouEndpointInfo info;

  tou_name_shorten (&name, id, strlen (id));
  endpoint = g_hash_table_lookup (control->proxy->endpoints, &name);
  if (item->deleted)
    {
      g_hash_table_remove (control->unreadable, &name);
      if (endpoint != NULL)
        control_mark_endpoint_missing (endpoint, tou_clock_us ());
      return;
    }
  if (plat_document_decode_endpoint (&info, id, &item->value) != TOU_OK)
    {
      control_refuse_endpoint (control, &name, item);
      return;
    }
  g_hash_table_remove (control->unreadable, &name);
  if (endpoint == NULL || !tou_name_equal (&endpoint->info.group, &info.group)
      || endpoint->info.draining != info.draining
      || endpoint->info.role != info.role || endpoint->removed)
    tou_evlog (
        TOU_EVLOG_STATE, "endpoint",
        "\"endpoint\":\"%s\",\"group\":\"%s\",\"address\":\"%s\","
        "\"role\":\"%s\",\"draining\":%s,\"revision\":%" G_GUINT64_FORMAT,
        info.id.data, info.group.data, info.address.data,
        info.role == TOU_ROLE_PRIMARY ? "primary" : "replica",
        info.draining ? "true" : "false", item->revision);
  if (endpoint != NULL && !tou_name_equal (&endpoint->info.group, &info.group))
    {
      g_hash_table_remove (control->proxy->endpoints, &endpoint->info.id);
      tou_endpoint_destroy (endpoint);
      endpoint = NULL;
    }
  if (endpoint != NULL)
    tou_endpoint_update (endpoint, &info);
  else
    {
      endpoint = tou_endpoint_create (control->proxy, &info);
      g_hash_table_insert (control->proxy->endpoints, &endpoint->info.id,
                           endpoint);
    }
  tou_endpoint_info_clear (&info);
}

/* Logs and counts what is not used of a new version. */
static void
control_report_ignored (TouControl *control, guint64 version,
                        const GPtrArray *problems)
{
  char name[TOU_NAME_MAX + 1];
  char text[CONTROL_TEXT_MAX];

  control->proxy->counters[TOU_COUNT_CONFIG_IGNORED] += problems->len;
  for (guint i = 0; i < MIN (problems->len, CONTROL_MAX_IGNORED_LINES); i++)
    {
      const PlatProblem *problem = g_ptr_array_index (problems, i);
      TouName entry = tou_name (problem->name != NULL ? problem->name : "");

      tou_evlog (TOU_EVLOG_STATE, "config_ignored",
                 "\"version\":%" G_GUINT64_FORMAT
                 ",\"type\":\"%s\",\"name\":\"%s\",\"problem\":\"%s\"",
                 version, problem->type,
                 control_printable (name, sizeof name, entry.data),
                 control_printable (text, sizeof text, problem->text));
    }
  if (problems->len > CONTROL_MAX_IGNORED_LINES)
    tou_evlog (TOU_EVLOG_STATE, "config_ignored_more",
               "\"version\":%" G_GUINT64_FORMAT ",\"problems\":%u", version,
               problems->len - CONTROL_MAX_IGNORED_LINES);
}

static void
control_on_config (TouControl *control, const PlatStoreItem *item)
{
  char text[CONTROL_TEXT_MAX];
  GPtrArray *problems;
  TouRouting *routing;

  if (item->deleted)
    return;
  problems = g_ptr_array_new_with_free_func (plat_problem_free);
  if (plat_document_decode_routing (&routing, problems, &item->value) == TOU_OK)
    {
      /* A list of the store repeats the version in force. */
      if (control->proxy->routing == NULL
          || routing->version > control->proxy->routing->version)
        control_report_ignored (control, routing->version, problems);
      tou_proxy_set_routing (control->proxy, routing);
    }
  else
    {
      TOU_COUNT (control->proxy, CONFIGS_REFUSED);
      tou_evlog (TOU_EVLOG_STATE, "config_unreadable",
                 "\"revision\":%" G_GUINT64_FORMAT ",\"error\":\"%s\"",
                 item->revision,
                 control_printable (text, sizeof text, tou_status_message ()));
    }
  g_ptr_array_unref (problems);
}

static void
control_on_node (TouControl *control, const PlatStoreItem *item)
{
  TouName failure_domain = { 0 };
  TouName address;
  TouName node;
  const char *blank;

  if (!control_key_name (&node, item->key, CONTROL_NODE_PREFIX))
    return;
  if (item->deleted)
    {
      /* The leader removed this node because its heartbeats were missing. */
      if (tou_name_equal (&node, &control->proxy->settings.node))
        control->registered = FALSE;
      tou_peers_remove (control->peers, &node, item->revision);
      return;
    }
  blank = memchr (item->value.data, ' ', item->value.len);
  if (blank == NULL
      || tou_name_set (&address, item->value.data,
                       (gsize)(blank - item->value.data))
             != TOU_OK
      || tou_name_set (&failure_domain, blank + 1,
                       item->value.len - (gsize)(blank + 1 - item->value.data))
             != TOU_OK)
    {
      TOU_COUNT (control->proxy, MALFORMED);
      tou_evlog (TOU_EVLOG_STATE, "node_unreadable",
                 "\"peer\":\"%s\",\"revision\":%" G_GUINT64_FORMAT, node.data,
                 item->revision);
      return;
    }
  tou_peers_set (control->peers, &node, &address, &failure_domain,
                 item->revision);
}

static void
control_on_group (TouControl *control, const PlatStoreItem *item)
{
  TouGroupRecord record;
  TouName name;

  if (item->deleted
      || !control_key_name (&name, item->key, CONTROL_GROUP_PREFIX))
    return;
  if (tou_record_decode (&record, &item->value) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_STATE, "record_unreadable", "\"group\":\"%s\"",
                 name.data);
      return;
    }
  record.revision = item->revision;
  tou_control_store_record (
      tou_control_group (control, tou_group_get (control->proxy, &name)),
      &record);
}

static void
control_on_logs (TouControl *control, const PlatStoreItem *item)
{
  TouName name;

  if (control_key_name (&name, item->key, CONTROL_LOGS_PREFIX))
    tou_control_store_logs (
        tou_control_group (control, tou_group_get (control->proxy, &name)),
        item);
}

static void
control_on_leader (TouControl *control, const PlatStoreItem *item)
{
  control->leader_key_exists = !item->deleted;
  control->proxy->leader.len = 0;
  if (!item->deleted)
    tou_name_set (&control->proxy->leader, item->value.data, item->value.len);
  if (item->deleted)
    control->leader_absent_since_us = tou_clock_us ();
  if (item->deleted || item->created > control->token)
    control_end_leadership (control, "leader key deleted or replaced");
}

static void
control_on_panel (TouControl *control, const PlatStoreItem *item)
{
  TouPanel panel;

  if (item->deleted)
    return;
  if (tou_panel_decode (&panel, &item->value) != TOU_OK)
    {
      tou_evlog (TOU_EVLOG_STATE, "panel_unreadable",
                 "\"revision\":%" G_GUINT64_FORMAT, item->revision);
      return;
    }
  panel.revision = item->revision;
  tou_control_store_panel (control, &panel);
}

static void
control_on_era_mark (TouControl *control, const PlatStoreItem *item)
{
  guint64 era;

  if (item->deleted)
    return;
  if (item->value.len == 0
      || !g_ascii_string_to_unsigned (item->value.data, 10, 0, G_MAXUINT64,
                                      &era, NULL))
    {
      tou_evlog (TOU_EVLOG_STATE, "era_mark_unreadable",
                 "\"revision\":%" G_GUINT64_FORMAT, item->revision);
      return;
    }
  tou_control_mark (control, era);
}

/* Group records are sent by the leader. Registrations of nodes and sets of logs
   may wait. */
static gboolean
control_is_urgent (const PlatStoreItem *item)
{
  return !g_str_has_prefix (item->key, CONTROL_NODE_PREFIX)
         && !g_str_has_prefix (item->key, CONTROL_LOGS_PREFIX)
         && !g_str_has_prefix (item->key, CONTROL_GROUP_PREFIX);
}

static void
control_apply_item (TouControl *control, const PlatStoreItem *item)
{
  if (control_is_urgent (item))
    control->proxy->urgent_revision
        = MAX (control->proxy->urgent_revision, item->revision);
  if (strcmp (item->key, PLAT_KEY_CONFIG) == 0)
    control_on_config (control, item);
  else if (g_str_has_prefix (item->key, PLAT_PREFIX_ENDPOINTS))
    control_on_endpoint (control, item);
  else if (g_str_has_prefix (item->key, CONTROL_NODE_PREFIX))
    control_on_node (control, item);
  else if (g_str_has_prefix (item->key, CONTROL_GROUP_PREFIX))
    control_on_group (control, item);
  else if (g_str_has_prefix (item->key, CONTROL_LOGS_PREFIX))
    control_on_logs (control, item);
  else if (strcmp (item->key, CONTROL_LEADER_KEY) == 0)
    control_on_leader (control, item);
  else if (strcmp (item->key, CONTROL_PANEL_KEY) == 0)
    control_on_panel (control, item);
  else if (strcmp (item->key, CONTROL_ERA_KEY) == 0)
    control_on_era_mark (control, item);
}

static guint64 control_watch_pause_us (const TouControl *control);

static void
control_set_revision (TouControl *control, guint64 revision)
{
  control->proxy->store_followed_us = tou_clock_us ();
  tou_follow_applied (&control->follow, revision,
                      control->proxy->store_followed_us);
  control->proxy->store_revision = revision;
  /* A restored store may lack records. */
  if (tou_control_trusts_store (control))
    control->proxy->records_revision
        = MAX (control->proxy->records_revision, revision);
}

/* Ends a list: endpoints and nodes that are not in it are marked as missing or
   removed. */
static void
control_list_complete (TouControl *control)
{
  GHashTable *nodes = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                             g_free, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  guint64 now_us = tou_clock_us ();

  g_hash_table_iter_init (&iter, control->proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouEndpoint *endpoint = value;
      char *endpoint_key = g_strconcat (
          PLAT_PREFIX_ENDPOINTS, tou_endpoint_info_id (&endpoint->info), NULL);

      if (!g_hash_table_contains (control->listed_keys, endpoint_key))
        control_mark_endpoint_missing (endpoint, now_us);
      g_free (endpoint_key);
    }
  g_hash_table_iter_init (&iter, control->listed_keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_str_has_prefix (key, CONTROL_NODE_PREFIX))
      {
        TouName name;

        if (control_key_name (&name, key, CONTROL_NODE_PREFIX))
          g_hash_table_add (nodes, g_memdup2 (&name, sizeof name));
      }
  tou_peers_retain (control->peers, nodes, control->list_revision);
  control->registered
      = control->registered
        && g_hash_table_contains (nodes, &control->proxy->settings.node);
  if (!g_hash_table_contains (control->listed_keys, CONTROL_LEADER_KEY))
    {
      control->leader_key_exists = FALSE;
      control->leader_absent_since_us = now_us;
    }
  g_hash_table_destroy (nodes);
  control_set_revision (control, control->list_revision);
  /* Keys that were removed are not listed. */
  control->proxy->urgent_revision = control->list_revision;
  control->listing = FALSE;
  control->must_list = FALSE;
  if (tou_peers_have_panel (control->proxy))
    control->retry_after_us = now_us + control_watch_pause_us (control);
  if (!control->proxy->synced)
    {
      control->synced_us = now_us;
      tou_evlog (TOU_EVLOG_STATE, "synced",
                 "\"revision\":%" G_GUINT64_FORMAT ",\"keys\":%u",
                 control->follow.revision,
                 g_hash_table_size (control->listed_keys));
    }
  control->proxy->synced = TRUE;
}

/* TRUE if this node is in the panel, on which the others rely. */
static gboolean
control_is_member (const TouControl *control)
{
  return tou_panel_contains (&control->proxy->panel,
                             &control->proxy->settings.node);
}

/* Delays the next list or watch after a failed one. The store may turn many
   nodes away for seconds, and is loaded by each of their calls. */
static void
control_pause_after_failure (TouControl *control, guint64 now_us)
{
  if (control_is_member (control)
      || !tou_peers_reach_panel (control->peers, now_us))
    control->retry_pause_us = CONTROL_RETRY_US;
  control->retry_after_us = now_us + control->retry_pause_us;
  control->retry_pause_us
      = MIN (2 * control->retry_pause_us, CONTROL_RETRY_MAX_US);
}

static void control_list_page (TouControl *control, const char *after);

static void
control_on_list (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;
  const char *last = NULL;

  tou_control_count_reply (control, reply, "list");
  if (reply->result != PLAT_STORE_OK)
    {
      control->listing = FALSE;
      if (control->proxy->synced)
        control_pause_after_failure (control, tou_clock_us ());
      else
        control->retry_after_us = tou_clock_us () + CONTROL_START_RETRY_US;
      return;
    }
  if (control->list_revision == 0)
    control->list_revision = reply->revision;
  /* The pages before are of the history before the store was restored. */
  if (tou_revision_era (control->list_revision)
      != tou_revision_era (reply->revision))
    {
      control->listing = FALSE;
      return;
    }
  for (guint i = 0; i < reply->items->len; i++)
    {
      const PlatStoreItem *item
          = &g_array_index (reply->items, PlatStoreItem, i);

      g_hash_table_add (control->listed_keys, g_strdup (item->key));
      control_apply_item (control, item);
      last = item->key;
    }
  if (reply->more && last != NULL)
    control_list_page (control, last);
  else
    control_list_complete (control);
}

static void
control_list_page (TouControl *control, const char *after)
{
  control->listing = TRUE;
  plat_store_list (control->store, "", after, control_on_list, control);
}

/* The leader must know of all nodes that registered before its own writes. */
static guint64
control_watch_pause_us (const TouControl *control)
{
  const TouProxy *proxy = control->proxy;
  guint64 pause_us = proxy->n_nodes * CONTROL_WATCH_PAUSE_US;
  guint64 limit_us
      = proxy->settings.config_apply_us / CONTROL_WATCH_PAUSE_DIVISOR;

  if (control->is_leader)
    return 0;
  /* The nodes that start at the same time are not known yet, and none serves
     clients. */
  if (tou_clock_us () < proxy->link_hold_until_us)
    return 2 * limit_us;
  if (control_is_member (control))
    return CONTROL_WATCH_PAUSE_MEMBER_US;
  return MIN (pause_us, limit_us);
}

typedef struct
{
  TouControl *control;
  TouWatch watch;
} ControlWatch;

static void
control_on_watch (gpointer user_data, const PlatStoreReply *reply)
{
  ControlWatch *call = user_data;
  TouControl *control = call->control;
  gboolean handled = tou_follow_returned (&control->follow, call->watch,
                                          reply->result == PLAT_STORE_OK);

  g_free (call);
  tou_control_count_reply (control, reply, "watch");
  if (!handled || control->listing || control->must_list)
    return;
  switch (reply->result)
    {
    case PLAT_STORE_OK:
      control->retry_pause_us = CONTROL_RETRY_US;
      for (guint i = 0; i < reply->items->len; i++)
        control_apply_item (control,
                            &g_array_index (reply->items, PlatStoreItem, i));
      control_set_revision (control,
                            MAX (control->follow.revision, reply->revision));
      if (reply->items->len > 0)
        control->retry_after_us
            = tou_clock_us () + control_watch_pause_us (control);
      break;
    case PLAT_STORE_COMPACTED:
      control->must_list = TRUE;
      tou_evlog (TOU_EVLOG_STATE, "history_lost",
                 "\"revision\":%" G_GUINT64_FORMAT, control->follow.revision);
      break;
    case PLAT_STORE_CONFLICT:
    case PLAT_STORE_NOT_FOUND:
    case PLAT_STORE_REFUSED:
    case PLAT_STORE_UNKNOWN:
      control_pause_after_failure (control, tou_clock_us ());
      break;
    }
}

static guint64
control_watch_wait_us (const TouControl *control)
{
  return control->proxy->settings.config_apply_us
         * (control_is_member (control) ? CONTROL_WATCH_MEMBER_WAIT
                                        : CONTROL_WATCH_WAIT)
         / CONTROL_WATCH_WHOLE;
}

static guint64
control_watch_limit_us (const TouControl *control)
{
  return control->proxy->settings.config_apply_us
         * (control_is_member (control) ? CONTROL_WATCH_MEMBER_LIMIT
                                        : CONTROL_WATCH_LIMIT)
         / CONTROL_WATCH_WHOLE;
}

/* Starts the next list or watch if none is running. */
static void
control_follow_store (TouControl *control, guint64 now_us)
{
  TouFollowPanel panel;
  ControlWatch *call;

  tou_peers_store (&panel, control->peers, now_us);
  /* The panel and the leader rely on no other node. */
  if (control->is_leader || control_is_member (control))
    panel.informed = FALSE;
  if (tou_follow_check (&control->follow, &panel,
                        control_watch_limit_us (control), now_us))
    tou_evlog (TOU_EVLOG_STATE, "watch_replaced",
               "\"waited_ms\":%" G_GUINT64_FORMAT
               ",\"revision\":%" G_GUINT64_FORMAT
               ",\"panel_revision\":%" G_GUINT64_FORMAT,
               (now_us - control->follow.sent_us) / TOU_US_PER_MS,
               control->follow.revision, panel.revision);
  if (control->listing || control->follow.awaited != 0
      || now_us < control->retry_after_us)
    return;
  if (control->must_list)
    {
      control->list_revision = 0;
      g_hash_table_remove_all (control->listed_keys);
      g_hash_table_remove_all (control->unreadable);
      control_list_page (control, NULL);
      return;
    }
  if (!tou_follow_needs_watch (&control->follow, &panel, now_us))
    return;
  call = g_new0 (ControlWatch, 1);
  call->control = control;
  call->watch = tou_follow_start (&control->follow, now_us);
  plat_store_watch (control->store, "", control->follow.revision,
                    control_watch_wait_us (control), control_on_watch, call);
}

static void
control_on_register (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "register");
  control->registering = FALSE;
  control->registered = reply->result == PLAT_STORE_OK;
  control->register_after_us = tou_clock_us () + CONTROL_RETRY_US;
}

static void
control_register (TouControl *control, guint64 now_us)
{
  const TouNodeSettings *settings = &control->proxy->settings;
  PlatStoreChange change = { 0 };
  char *key;
  char *value;

  if (control->registered || control->registering || control->proxy->draining
      || now_us < control->register_after_us)
    return;
  key = g_strconcat (CONTROL_NODE_PREFIX, settings->node.data, NULL);
  value = g_strconcat (settings->peers_listen.data, " ",
                       settings->failure_domain.data, NULL);
  change.key = key;
  change.value = value;
  control->registering = TRUE;
  plat_store_change (control->store, &change, control_on_register, control);
  g_free (key);
  g_free (value);
}

/* The list proves the records it contains and may return newer ones. */
static void
control_on_records (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "records");
  control->proving = FALSE;
  if (reply->result != PLAT_STORE_OK || control->must_list
      || !tou_control_trusts_store (control))
    return;
  for (guint i = 0; i < reply->items->len; i++)
    {
      const PlatStoreItem *item
          = &g_array_index (reply->items, PlatStoreItem, i);
      TouName name;

      if (!control_key_name (&name, item->key, CONTROL_GROUP_PREFIX))
        continue;
      control_on_group (control, item);
      tou_authority_prove_by_store (
          tou_group_get (control->proxy, &name)->authority, item->revision,
          reply->sent_us);
    }
}

static void
control_prove_records (TouControl *control, guint64 now_us)
{
  guint64 oldest_us = G_MAXUINT64;
  GHashTableIter iter;
  gpointer value;

  /* A change of primary waits for registered nodes only. */
  if (control->proving || !control->registered || control->must_list
      || !tou_control_trusts_store (control)
      || now_us < control->proved_us + CONTROL_RETRY_US)
    return;
  g_hash_table_iter_init (&iter, control->proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouGroup *group = value;
      guint64 proved_us = tou_authority_proved_us (
          group->authority, tou_proxy_required_proofs (control->proxy), now_us);

      /* The panel is given time to prove a new record. */
      if (control->proxy->panel.revision != 0)
        proved_us = MAX (proved_us, group->adopted_us);
      if (tou_authority_record (group->authority)->revision != 0)
        oldest_us = MIN (oldest_us, proved_us);
    }
  if (oldest_us == G_MAXUINT64
      || now_us < oldest_us + tou_peers_interval_us (control->proxy) * 3 / 2
                      + CONTROL_PROVE_MARGIN_US)
    return;
  TOU_COUNT (control->proxy, PROOF_READS);
  control->proving = TRUE;
  control->proved_us = now_us;
  plat_store_list (control->store, CONTROL_GROUP_PREFIX, NULL,
                   control_on_records, control);
}

static void
control_on_elected (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;
  guint64 now_us = tou_clock_us ();

  tou_control_count_reply (control, reply, "take_duty");
  control->electing = FALSE;
  control->elect_after_us
      = MAX (control->elect_after_us, now_us + CONTROL_RETRY_US);
  if (reply->result == PLAT_STORE_NOT_FOUND)
    control->lease = 0;
  if (reply->result == PLAT_STORE_CONFLICT)
    control->leader_key_exists = TRUE;
  if (reply->result != PLAT_STORE_OK || control->proxy->deregistered
      || control->election_era != control->era)
    return;
  control->is_leader = TRUE;
  control->leader_key_exists = TRUE;
  control->proxy->leader = control->proxy->settings.node;
  control->token = reply->revision;
  control->leader_since_us = now_us;
  control->renew_us = now_us;
  tou_evlog (TOU_EVLOG_STATE, "duty_taken", "\"token\":%" G_GUINT64_FORMAT,
             control->token);
}

static void
control_claim_leadership (TouControl *control)
{
  PlatStoreCondition condition = { CONTROL_LEADER_KEY, 0 };
  PlatStoreChange change
      = { &condition, 1, CONTROL_LEADER_KEY, control->proxy->settings.node.data,
          control->lease };

  plat_store_change (control->store, &change, control_on_elected, control);
}

static void
control_on_lease (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "lease");
  if (reply->result != PLAT_STORE_OK || reply->lease == 0
      || control->election_era != control->era)
    {
      control->electing = FALSE;
      control->elect_after_us
          = MAX (control->elect_after_us, tou_clock_us () + CONTROL_RETRY_US);
      return;
    }
  control->lease = reply->lease;
  control->lease_until_us
      = reply->sent_us + CONTROL_LEASE_US - CONTROL_LEASE_MARGIN_US;
  control_claim_leadership (control);
}

static void
control_on_revoked (gpointer user_data, const PlatStoreReply *reply)
{
  tou_control_count_reply (user_data, reply, "revoke");
}

static gboolean
control_hears_majority (const TouControl *control, guint64 now_us)
{
  return (1 + tou_peers_count_reporting (control->peers, now_us)) * 2
         > control->proxy->n_nodes;
}

gboolean
tou_control_reaches_voters (const TouControl *control, guint64 now_us)
{
  return control->proxy->panel.revision != 0
             ? tou_peers_reach_panel (control->peers, now_us)
             : control_hears_majority (control, now_us);
}

static void
control_elect (TouControl *control, guint64 now_us)
{
  const TouProxy *proxy = control->proxy;
  guint64 spread_us = g_str_hash (proxy->settings.node.data)
                      % CONTROL_ELECTION_SPREAD_MS * TOU_US_PER_MS;

  /* A leader in the panel receives the heartbeats of all nodes already. */
  if (proxy->panel.revision != 0 && !control_is_member (control))
    spread_us += CONTROL_ELECTION_OUTSIDE_US;
  if (proxy->draining)
    spread_us += CONTROL_ELECTION_DRAINING_US;
  if (!tou_control_reaches_voters (control, now_us))
    spread_us += CONTROL_ELECTION_MINORITY_US;

  /* Between watches, another node may have been elected. */
  if (control->follow.awaited == 0)
    spread_us += CONTROL_ELECTION_UNINFORMED_US;

  /* A lease that the restored store has lost may still be relied on. */
  if (!tou_control_is_marked (control)
      && now_us < MAX (control->synced_us, control->restore.era_since_us)
                      + CONTROL_LEASE_US)
    return;
  if (control->is_leader || control->electing || control->leader_key_exists
      || !control->proxy->synced || !control->registered
      || now_us < MAX (control->leader_absent_since_us + spread_us,
                       control->elect_after_us))
    return;
  control->electing = TRUE;
  control->election_era = control->era;
  plat_store_lease_grant (
      control->store,
      MAX (CONTROL_LEASE_US, control->proxy->settings.lease_min_us),
      control_on_lease, control);
}

static void
control_on_renewed (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "renew");
  if (reply->result == PLAT_STORE_OK)
    control->lease_until_us
        = MAX (control->lease_until_us,
               reply->sent_us + CONTROL_LEASE_US - CONTROL_LEASE_MARGIN_US);
  else if (reply->result == PLAT_STORE_NOT_FOUND)
    control_yield_leadership (control, "lease expired");
}

/* A leader that does not reach the voters cannot change a primary, and keeps
   others from it. With a panel, these may be on the smaller side of a network
   partition. */
static void
control_check_majority (TouControl *control, guint64 now_us)
{
  if (tou_control_reaches_voters (control, now_us))
    control->majority_us = now_us;
  if (!control->is_leader
      || now_us < MAX (control->majority_us, control->leader_since_us)
                      + CONTROL_MINORITY_US)
    return;
  plat_store_lease_revoke (control->store, control->lease, control_on_revoked,
                           control);
  control->lease = 0;
  control_yield_leadership (control, "does not reach a majority of the voters");
}

static void
control_renew (TouControl *control, guint64 now_us)
{
  control_check_majority (control, now_us);
  if (!control->is_leader)
    return;
  if (now_us >= control->lease_until_us)
    {
      control_yield_leadership (control, "lease not renewed");
      return;
    }
  /* Does not wait for the previous answer, which may be lost. */
  if (now_us < control->renew_us + CONTROL_RENEW_INTERVAL_US)
    return;
  control->renew_us = now_us;
  plat_store_lease_renew (control->store, control->lease, control_on_renewed,
                          control);
}

static void
control_on_removed (gpointer user_data, const PlatStoreReply *reply)
{
  TouControl *control = user_data;

  tou_control_count_reply (control, reply, "remove_node");
  control->removing = FALSE;
  control->removed_us = tou_clock_us ();
}

/* Removes an unreachable node, which changes of primary would wait for. */
static void
control_remove_unreachable (TouControl *control, guint64 now_us)
{
  const TouName *node;
  PlatStoreChange change = { 0 };
  guint64 last_heartbeat_us;
  char *key;

  if (control->removing)
    return;
  node = tou_peers_least_recent (control->peers, &last_heartbeat_us);
  last_heartbeat_us = MAX (last_heartbeat_us, control->leader_since_us);
  if (node == NULL
      || !tou_authority_may_remove_node (
          control->proxy->n_nodes,
          1 + tou_peers_count_reporting (control->peers, now_us),
          now_us - MIN (last_heartbeat_us, now_us)))
    return;
  tou_evlog (TOU_EVLOG_STATE, "node_removed", "\"peer\":\"%s\"", node->data);
  key = g_strconcat (CONTROL_NODE_PREFIX, node->data, NULL);
  change.key = key;
  control->removing = TRUE;
  plat_store_change (control->store, &change, control_on_removed, control);
  g_free (key);
}

void
tou_control_tick (TouControl *control, guint64 now_us)
{
  control_follow_store (control, now_us);
  control_register (control, now_us);
  control_prove_records (control, now_us);
  control_elect (control, now_us);
  control_renew (control, now_us);
  if (control->is_leader)
    control_remove_unreachable (control, now_us);
  if (!control->must_list
      && tou_peers_drop_lost (control->peers, control->follow.revision, now_us))
    control->removed_us = now_us;
  tou_control_run_restore (control, now_us);
  tou_control_run_panel (control, now_us);
  tou_control_run_groups (control, now_us);
}

void
tou_control_deregister (TouControl *control)
{
  char *key = g_strconcat (CONTROL_NODE_PREFIX,
                           control->proxy->settings.node.data, NULL);
  PlatStoreChange change = { NULL, 0, key, NULL, 0 };

  control->proxy->deregistered = TRUE;
  control_end_leadership (control, "stopping");
  if (control->lease != 0)
    plat_store_lease_revoke (control->store, control->lease, control_on_revoked,
                             control);
  plat_store_change (control->store, &change, control_on_revoked, control);
  g_free (key);
}

static void
control_group_free (gpointer data)
{
  ControlGroup *state = data;

  tou_handover_destroy (state->handover);
  g_array_unref (state->endpoints);
  tou_control_clear_logs (&state->logs);
  g_free (state);
}

int
tou_control_create (TouControl **out, TouProxy *proxy, PlatStore *store,
                    TouPeers *peers)
{
  TouControl *control = g_new0 (TouControl, 1);

  control->proxy = proxy;
  control->store = store;
  control->peers = peers;
  control->must_list = TRUE;
  control->retry_pause_us = CONTROL_RETRY_US;
  tou_follow_init (&control->follow);
  control->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                           NULL, control_group_free);
  control->unreadable = g_hash_table_new_full (
      tou_name_hash, tou_name_equal_func, g_free, g_free);
  control->listed_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  *out = control;
  return TOU_OK;
}

void
tou_control_destroy (TouControl *control)
{
  if (control == NULL)
    return;
  g_hash_table_destroy (control->groups);
  g_hash_table_destroy (control->unreadable);
  g_hash_table_destroy (control->listed_keys);
  g_free (control);
}
