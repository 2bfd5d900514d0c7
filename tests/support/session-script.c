#include "session-script.h"

#include "authority.h"
#include "follow.h"
#include "freshness.h"
#include "gateway.h"
#include "handover.h"
#include "log-set.h"
#include "panel-news.h"
#include "values.h"
#include "window.h"

#include "document.h"
#include "settings.h"
#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 16

typedef struct
{
  GString *out;
  TouAuthority *authority;
  TouFreshness *freshness;
  TouSqlValues current;
  TouSqlValues target;
  TouWindow window;
  guint slots;
  TouHandover *handover;
  TouHandoverView view;
  GArray *endpoints; /* of TouHandoverEndpoint: those of the view */
  GArray *nodes;     /* of TouGatewayNode */
  TouPanel panel;
  TouFollow follow;
  GArray *watches; /* of TouWatch */
  TouLogSet *logs;
  TouLogCheck log_check;
  GArray *log_statuses; /* of TouLogStatus */
} Script;

typedef struct
{
  int count;
  char **words;
  const char *rest; /* of the line after the first word */
} Command;

static guint64
arg_number (const Command *command, int i)
{
  return i < command->count ? strtoull (command->words[i], NULL, 10) : 0;
}

static guint64
arg_us (const Command *command, int i)
{
  return arg_number (command, i) * TOU_US_PER_MS;
}

static const char *
arg (const Command *command, int i)
{
  return i < command->count ? command->words[i] : "";
}

static gboolean
arg_is (const Command *command, int i, const char *text)
{
  return strcmp (arg (command, i), text) == 0;
}

static TouSlice
slice (const char *text)
{
  return (TouSlice){ text, strlen (text) };
}

/* Distance of a control character from its letter in caret notation. */
#define CARET ('A' - 1)

/* Replaces caret notation, such as ^@, ^J and ^M, by control characters. */
static GString *
control_characters (const char *text)
{
  GString *bytes = g_string_new (NULL);

  for (; *text != '\0'; text++)
    if (text[0] == '^' && text[1] >= CARET && text[1] <= 'Z')
      g_string_append_c (bytes, (char)(*++text - CARET));
    else
      g_string_append_c (bytes, *text);
  return bytes;
}

static void
put_slice (Script *script, const char *label, TouSlice text)
{
  g_string_append_printf (script->out, " %s=[", label);
  for (gsize i = 0; i < text.len; i++)
    if (g_ascii_iscntrl (text.data[i]))
      g_string_append_printf (script->out, "^%c", text.data[i] + CARET);
    else
      g_string_append_c (script->out, text.data[i]);
  g_string_append_c (script->out, ']');
}

static void
run_stream (Script *script, const Command *command)
{
  GString *bytes = control_characters (command->rest);
  gsize used = 0;
  TouSlice line;

  while (plat_wire_next_line (&line, bytes->str, bytes->len, &used))
    put_slice (script, "line", line);
  g_string_append_printf (script->out, " left=%zu\n", bytes->len - used);
  g_string_free (bytes, TRUE);
}

static void
run_client (Script *script, const Command *command)
{
  static const char *const kinds[]
      = { "invalid", "startup", "query", "terminate" };
  TouSqlClientMessage message;

  plat_wire_decode_client_message (&message, slice (command->rest));
  g_string_append (script->out, kinds[message.kind]);
  put_slice (script, "database", message.database);
  if (message.endpoint.len > 0)
    put_slice (script, "endpoint", message.endpoint);
  put_slice (script, "id", message.id);
  put_slice (script, "text", message.text);
  g_string_append_c (script->out, '\n');
}

static void
run_statement (Script *script, const Command *command)
{
  static const char *const kinds[]
      = { "invalid", "begin", "commit",  "rollback", "read",
          "write",   "set",   "prepare", "execute",  "deallocate" };
  GString *text = control_characters (command->rest);
  TouSqlStatement statement;

  plat_wire_decode_statement (&statement, (TouSlice){ text->str, text->len });
  g_string_append (script->out, kinds[statement.kind]);
  switch (statement.kind)
    {
    case TOU_SQL_BEGIN:
      g_string_append (script->out, statement.as.begin.read_only
                                        ? " read-only"
                                        : " read-write");
      break;
    case TOU_SQL_SET:
      put_slice (script, "name", statement.as.set.name);
      put_slice (script, "value", statement.as.set.value);
      break;
    case TOU_SQL_PREPARE:
      put_slice (script, "name", statement.as.prepare.name);
      put_slice (script, "shape", statement.as.prepare.shape);
      g_string_append (script->out,
                       statement.as.prepare.writes ? " writes" : " reads");
      break;
    case TOU_SQL_EXECUTE:
      put_slice (script, "name", statement.as.execute.name);
      put_slice (script, "arguments", statement.as.execute.arguments);
      break;
    case TOU_SQL_DEALLOCATE:
      put_slice (script, "name", statement.as.deallocate.name);
      break;
    default:
      break;
    }
  g_string_append_c (script->out, '\n');
  g_string_free (text, TRUE);
}

static void
run_reply (Script *script, const Command *command)
{
  static const char *const kinds[]
      = { "invalid", "ready", "row", "complete", "error" };
  static const char states[] = "ITE";
  TouSqlReply reply;

  plat_wire_decode_reply (&reply, slice (command->rest));
  g_string_append (script->out, kinds[reply.kind]);
  if (reply.kind == TOU_SQL_REPLY_READY)
    g_string_append_printf (
        script->out, " %c %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
        states[reply.state], reply.pos.term, reply.pos.position);
  else if (reply.kind == TOU_SQL_REPLY_ERROR)
    g_string_append_printf (script->out, " %s",
                            plat_wire_error_name (reply.error));
  if (reply.kind != TOU_SQL_REPLY_READY && reply.kind != TOU_SQL_REPLY_INVALID)
    put_slice (script, "text", reply.text);
  g_string_append_c (script->out, '\n');
}

static void
run_status (Script *script, const Command *command)
{
  TouSqlStatus status;

  if (plat_wire_decode_status (&status, slice (command->rest)) != TOU_OK)
    g_string_append (script->out, "malformed\n");
  else
    g_string_append_printf (
        script->out,
        "%s term %" G_GUINT64_FORMAT " received %" G_GUINT64_FORMAT
        ".%" G_GUINT64_FORMAT " connections %u\n",
        status.role == TOU_ROLE_PRIMARY ? "primary" : "replica", status.term,
        status.received.term, status.received.position, status.connections);
}

static void
print_teams (Script *script, const TouRouting *routing)
{
  GList *teams = g_list_sort (g_hash_table_get_keys (routing->teams),
                              (GCompareFunc)tou_name_compare);

  g_string_append_printf (script->out, "teams with %u keys:\n",
                          g_hash_table_size (routing->keys));
  for (const GList *node = teams; node != NULL; node = node->next)
    {
      const TouTeam *team = g_hash_table_lookup (routing->teams, node->data);

      g_string_append_printf (script->out, "team %s: rate %g burst %g\n",
                              team->name.data, team->rate_per_s, team->burst);
    }
  g_list_free (teams);
}

static void
run_config (Script *script, const Command *command)
{
  TouStr value = { (char *)command->rest, strlen (command->rest) };
  GPtrArray *problems = g_ptr_array_new_with_free_func (plat_problem_free);
  TouRouting *routing;
  GHashTableIter iter;
  gpointer item;
  int status;

  status = plat_document_decode_routing (&routing, problems, &value);
  for (guint i = 0; i < problems->len; i++)
    {
      const PlatProblem *problem = g_ptr_array_index (problems, i);

      g_string_append_printf (script->out, "%s %s: %s\n", problem->type,
                              problem->name != NULL ? problem->name : "itself",
                              problem->text);
    }
  g_ptr_array_unref (problems);
  if (status != TOU_OK)
    {
      g_string_append_printf (script->out, "%s\n", tou_status_message ());
      return;
    }
  g_string_append_printf (script->out,
                          "version %" G_GUINT64_FORMAT
                          " idle %" G_GUINT64_FORMAT "us\n",
                          routing->version, routing->txn_idle_us);
  g_hash_table_iter_init (&iter, routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const TouRoute *route = item;

      g_string_append_printf (
          script->out,
          "route %s: database %s group %s mode %d rank %d "
          "age %" G_GUINT64_FORMAT "us timeout %" G_GUINT64_FORMAT "us\n",
          route->name.data, route->database.data, route->group.data,
          (int)route->mode, (int)route->rank, route->max_age_us,
          route->timeout_us);
    }
  g_hash_table_iter_init (&iter, routing->groups);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const TouGroupLimits *limits = item;

      g_string_append_printf (
          script->out, "group %s: connections %u synchronous replicas %u\n",
          limits->name.data, limits->connection_limit, limits->sync_replicas);
    }
  if (routing->teams != NULL)
    print_teams (script, routing);
  tou_routing_destroy (routing);
}

static void
run_endpoint_record (Script *script, const Command *command)
{
  TouStr value = { (char *)command->rest, strlen (command->rest) };
  TouEndpointInfo info;

  if (plat_document_decode_endpoint (&info, "i-1", &value) != TOU_OK)
    g_string_append_printf (script->out, "%s\n", tou_status_message ());
  else
    g_string_append_printf (
        script->out,
        "%s %s at %s, %u slots, %s%s, started %" G_GUINT64_FORMAT "\n",
        info.group.data, info.id.data, info.address.data, info.slots,
        info.role == TOU_ROLE_PRIMARY ? "primary" : "replica",
        info.draining ? ", draining" : "", info.started_ms);
  tou_endpoint_info_clear (&info);
}

static void
run_settings (Script *script, const Command *command)
{
  char *text = g_strdelimit (g_strdup (command->rest), ";", '\n');
  TouNodeSettings settings;

  if (plat_settings_parse (&settings, text) != TOU_OK)
    g_string_append_printf (script->out, "%s\n", tou_status_message ());
  else
    g_string_append_printf (
        script->out, "%s in %s, peers %s, metrics %s, %u descriptors%s\n",
        plat_settings_node (&settings), settings.failure_domain.data,
        settings.peers_listen.data, settings.metrics_listen.data,
        settings.max_descriptors, settings.pace_enabled ? ", paced" : "");
  g_free (text);
}

static gboolean
run_decoder (Script *script, const Command *command)
{
  static const struct
  {
    const char *name;
    void (*run) (Script *, const Command *);
  } decoders[] = {
    { "client", run_client },     { "statement", run_statement },
    { "reply", run_reply },       { "status", run_status },
    { "config", run_config },     { "endpoint-record", run_endpoint_record },
    { "settings", run_settings }, { "stream", run_stream },
  };

  for (guint i = 0; i < G_N_ELEMENTS (decoders); i++)
    if (arg_is (command, 0, decoders[i].name))
      {
        decoders[i].run (script, command);
        return TRUE;
      }
  return FALSE;
}

static void
put_yes_no (Script *script, const char *label, gboolean yes)
{
  g_string_append_printf (script->out, "%s: %s\n", label, yes ? "yes" : "no");
}

static gboolean
run_authority (Script *script, const Command *command)
{
  TouGroupRecord record = { 0 };
  TouName node;

  if (arg_is (command, 0, "adopt"))
    {
      record.revision = arg_number (command, 1);
      record.primary = tou_name ("db1");
      record.moving = arg_is (command, 2, "moving");
      put_yes_no (script, "adopted",
                  tou_authority_adopt (script->authority, &record));
    }
  else if (arg_is (command, 0, "proof-store"))
    tou_authority_prove_by_store (script->authority, arg_number (command, 1),
                                  arg_us (command, 2));
  else if (arg_is (command, 0, "proof-node"))
    {
      node = tou_name (arg (command, 1));
      tou_authority_prove_by_node (script->authority, &node,
                                   arg_number (command, 2),
                                   arg_us (command, 3));
    }
  else if (arg_is (command, 0, "valid"))
    put_yes_no (script, command->rest,
                tou_authority_is_valid (script->authority,
                                        (guint)arg_number (command, 1) / 2,
                                        arg_us (command, 2)));
  else if (arg_is (command, 0, "may-remove"))
    put_yes_no (script, command->rest,
                tou_authority_may_remove_node ((guint)arg_number (command, 1),
                                               (guint)arg_number (command, 2),
                                               arg_us (command, 3)));
  else if (arg_is (command, 0, "vouches"))
    put_yes_no (script, command->rest,
                tou_authority_vouches ((guint)arg_number (command, 1),
                                       (guint)arg_number (command, 2),
                                       arg_us (command, 3)));
  else if (arg_is (command, 0, "expired"))
    put_yes_no (script, command->rest,
                tou_authority_has_expired (arg_is (command, 1, "known"),
                                           arg_us (command, 2)));
  else
    return FALSE;
  return TRUE;
}

static TouLogPos
position (const char *text)
{
  TouLogPos pos = { 0, 0 };

  sscanf (text, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, &pos.term,
          &pos.position);
  return pos;
}

static void
set_values (TouSqlValues *values, const Command *command)
{
  tou_values_reset (values);
  for (int i = 1; i < command->count; i++)
    {
      char **pair = g_strsplit (command->words[i], "=", 2);

      tou_values_set (values, slice (pair[0]), slice (pair[1]));
      g_strfreev (pair);
    }
}

static void
run_sync (Script *script)
{
  TouValuesStep step;
  guint i;

  while ((step = tou_values_next_step (&script->current, &script->target, &i))
         != TOU_VALUES_EQUAL)
    {
      const char *name;
      const char *value;

      if (step == TOU_VALUES_RESET)
        {
          g_string_append (script->out, "reset\n");
          tou_values_reset (&script->current);
          continue;
        }
      name = g_ptr_array_index (script->target.names, i);
      value = g_ptr_array_index (script->target.values, i);
      g_string_append_printf (script->out, "set %s=%s\n", name, value);
      tou_values_set (&script->current, slice (name), slice (value));
    }
  g_string_append (script->out, "equal\n");
}

static gboolean
run_freshness_and_values (Script *script, const Command *command)
{
  TouLogPos pos;

  if (arg_is (command, 0, "sample"))
    tou_freshness_add (script->freshness, arg_us (command, 1),
                       position (arg (command, 2)));
  else if (arg_is (command, 0, "required"))
    {
      if (tou_freshness_required (script->freshness, arg_us (command, 1), &pos))
        g_string_append_printf (script->out,
                                "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "\n",
                                pos.term, pos.position);
      else
        g_string_append (script->out, "none\n");
    }
  else if (arg_is (command, 0, "current"))
    set_values (&script->current, command);
  else if (arg_is (command, 0, "target"))
    set_values (&script->target, command);
  else if (arg_is (command, 0, "sync"))
    run_sync (script);
  else
    return FALSE;
  return TRUE;
}

/* Adds nodes NAME/DOMAIN. */
static void
add_nodes (Script *script, const Command *command)
{
  for (int i = 1; i < command->count; i++)
    {
      char **parts = g_strsplit (arg (command, i), "/", 2);
      TouGatewayNode node = { tou_name (parts[0]),
                              tou_name (parts[1]),
                              TRUE,
                              FALSE,
                              FALSE,
                              FALSE,
                              FALSE };

      g_array_append_val (script->nodes, node);
      g_strfreev (parts);
    }
}

static TouGatewayNode *
find_node (Script *script, const char *name)
{
  TouName wanted = tou_name (name);

  for (guint i = 0; i < script->nodes->len; i++)
    {
      TouGatewayNode *node = &g_array_index (script->nodes, TouGatewayNode, i);

      if (tou_name_equal (&node->node, &wanted))
        return node;
    }
  return NULL;
}

/* Prints how many nodes reach the endpoint through each gateway. */
static void
run_choose (Script *script, const Command *command)
{
  TouName endpoint = tou_name (arg (command, 1));
  TouName failure_domain = tou_name (arg (command, 2));
  guint *uses = g_new0 (guint, script->nodes->len);
  guint n_nodes = script->nodes->len;
  const TouGatewayNode *nodes = (const void *)script->nodes->data;

  for (guint i = 0; i < n_nodes; i++)
    if (nodes[i].alive)
      {
        guint n_gateways = (guint)arg_number (command, 3);

        uses[tou_gateway_choose (nodes, n_nodes, i, &endpoint, &failure_domain,
                                 &n_gateways)]++;
      }
  for (guint i = 0; i < n_nodes; i++)
    if (uses[i] > 0)
      g_string_append_printf (script->out, "%s in %s: %u nodes\n",
                              nodes[i].node.data, nodes[i].failure_domain.data,
                              uses[i]);
  g_free (uses);
}

static gboolean
run_gateway (Script *script, const Command *command)
{
  TouGatewayNode *node = find_node (script, arg (command, 1));

  if (arg_is (command, 0, "gateways"))
    {
      guint n_gateways = tou_gateway_count ((guint)arg_number (command, 1),
                                            (guint)arg_number (command, 2));

      g_string_append_printf (
          script->out, "%u gateways, %u connections each\n", n_gateways,
          tou_gateway_share ((guint)arg_number (command, 1), n_gateways));
    }
  else if (arg_is (command, 0, "nodes"))
    add_nodes (script, command);
  else if (arg_is (command, 0, "choose"))
    run_choose (script, command);
  else if (arg_is (command, 0, "node-unreachable") && node != NULL)
    node->alive = FALSE;
  else if (arg_is (command, 0, "node-avoided") && node != NULL)
    node->avoided = TRUE;
  else if (arg_is (command, 0, "node-cut") && node != NULL)
    node->cut = TRUE;
  else
    return FALSE;
  return TRUE;
}

/* Reads a panel: REVISION joint|settled MEMBERS [PREVIOUS], lists with commas,
   "-" for none. */
static void
read_panel (TouPanel *panel, const Command *command)
{
  char **members = g_strsplit (arg (command, 3), ",", TOU_PANEL_SIZE);
  char **previous = g_strsplit (arg (command, 4), ",", TOU_PANEL_SIZE);

  memset (panel, 0, sizeof *panel);
  panel->revision = arg_number (command, 1);
  panel->joint = arg_is (command, 2, "joint");
  for (char **name = members; *name != NULL; name++)
    panel->members[panel->n_members++] = tou_name (*name);
  for (char **name = previous; *name != NULL && !arg_is (command, 4, "-");
       name++)
    panel->previous[panel->n_previous++] = tou_name (*name);
  g_strfreev (members);
  g_strfreev (previous);
}

/* Prints which of the nodes NAME... a node with the panel takes the panel of
   read_panel() from; it comes with the registrations of its members. The news
   are packed and unpacked first. */
static void
run_news (Script *script, const Command *command)
{
  TouPanelNews news = { 0 };
  TouPanelNews unpacked;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_unpacked object;

  read_panel (&news.panel, command);
  for (guint i = 0; i < news.panel.n_members; i++)
    {
      TouRegistration node = { news.panel.members[i], tou_name ("10.0.0.1:80"),
                               tou_name ("a"), i + 1 };

      tou_panel_news_add (&news, &node);
      tou_panel_news_add (&news, &node);
    }
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  tou_panel_news_pack (&packer, &news);
  msgpack_unpacked_init (&object);
  msgpack_unpack_next (&object, buffer.data, buffer.size, NULL);
  if (!tou_panel_news_unpack (&unpacked, &object.data))
    g_string_append (script->out, "malformed\n");
  else
    for (int i = 5; i < command->count; i++)
      {
        TouName sender = tou_name (command->words[i]);

        put_yes_no (
            script, sender.data,
            tou_panel_news_introduces (&unpacked, &sender, &script->panel));
      }
  msgpack_unpacked_destroy (&object);
  msgpack_sbuffer_destroy (&buffer);
}

static void
put_panel (Script *script, const TouPanel *panel)
{
  char *text = tou_panel_encode (panel);

  g_string_append_printf (script->out, "%s\n", text);
  free (text);
}

static gboolean
run_panel (Script *script, const Command *command)
{
  TouPanelVotes votes
      = { (guint)arg_number (command, 1), (guint)arg_number (command, 2) };
  TouGatewayNode *node = find_node (script, arg (command, 1));
  TouStr value = { (char *)command->rest, strlen (command->rest) };
  TouName name = tou_name (arg (command, 1));
  TouPanel panel;

  if (arg_is (command, 0, "panel"))
    read_panel (&script->panel, command);
  else if (arg_is (command, 0, "news"))
    run_news (script, command);
  else if (arg_is (command, 0, "proofs-required"))
    g_string_append_printf (script->out, "%u others\n",
                            tou_panel_required (&script->panel, &name));
  else if (arg_is (command, 0, "votes"))
    put_yes_no (script, command->rest,
                tou_panel_has_majority (&script->panel, &votes));
  else if (arg_is (command, 0, "choose-panel"))
    {
      if (tou_panel_choose (&panel, &script->panel,
                            (const void *)script->nodes->data,
                            script->nodes->len))
        put_panel (script, &panel);
      else
        g_string_append (script->out, "unchanged\n");
    }
  else if (arg_is (command, 0, "decode-panel"))
    {
      if (tou_panel_decode (&panel, &value) == TOU_OK)
        put_panel (script, &panel);
      else
        g_string_append_printf (script->out, "%s\n", tou_status_message ());
    }
  else if (arg_is (command, 0, "node-expired") && node != NULL)
    node->alive = !(node->expired = TRUE);
  else if (arg_is (command, 0, "node-draining") && node != NULL)
    node->draining = TRUE;
  else if (arg_is (command, 0, "node-gone") && node != NULL)
    g_array_remove_index (
        script->nodes,
        (guint)(node - (TouGatewayNode *)(void *)script->nodes->data));
  else
    return FALSE;
  return TRUE;
}

static gboolean
run_follow (Script *script, const Command *command)
{
  TouFollow *follow = &script->follow;
  TouFollowPanel panel
      = { arg_is (command, 2, "informed"), arg_number (command, 1), 0 };

  if (arg_is (command, 0, "watch"))
    {
      TouWatch watch = tou_follow_start (follow, arg_us (command, 1));

      g_array_append_val (script->watches, watch);
      g_string_append_printf (script->out,
                              "watch %u after %" G_GUINT64_FORMAT "\n",
                              watch.id, watch.after);
    }
  else if (arg_is (command, 0, "needs-watch"))
    {
      panel.urgent = arg_number (command, 3);
      put_yes_no (script, command->rest,
                  tou_follow_needs_watch (follow, &panel, arg_us (command, 4)));
    }
  else if (arg_is (command, 0, "check-watch"))
    {
      tou_follow_check (follow, &panel, arg_us (command, 3),
                        arg_us (command, 4));
      g_string_append_printf (script->out, "awaits %u\n", follow->awaited);
    }
  else if (arg_is (command, 0, "returned"))
    {
      guint i = (guint)arg_number (command, 1) - 1;
      gboolean succeeded = arg_is (command, 2, "with");
      gboolean handled = tou_follow_returned (
          follow, g_array_index (script->watches, TouWatch, i), succeeded);

      if (handled && succeeded)
        tou_follow_applied (follow, arg_number (command, 3),
                            arg_us (command, 4));
      put_yes_no (script, "handled", handled);
    }
  else
    return FALSE;
  return TRUE;
}

static void
put_logs (Script *script)
{
  char *text = tou_log_set_encode (script->logs);

  g_string_append_printf (script->out, "%s\n", text);
  free (text);
}

static gboolean
run_logs (Script *script, const Command *command)
{
  TouLog log = { tou_name (arg (command, 1)), arg_number (command, 2) };
  TouLogStatus status;

  if (arg_is (command, 0, "log-add"))
    {
      put_yes_no (script, command->rest, tou_log_set_add (script->logs, &log));
      put_logs (script);
    }
  else if (arg_is (command, 0, "log-has"))
    put_yes_no (script, command->rest,
                tou_log_set_contains (script->logs, &log));
  else if (arg_is (command, 0, "log-decode"))
    {
      TouStr value = { (char *)command->rest, strlen (command->rest) };

      put_yes_no (script, command->rest,
                  tou_log_set_decode (script->logs, &value) == TOU_OK);
      put_logs (script);
    }
  else if (arg_is (command, 0, "log-check"))
    tou_log_check_start (&script->log_check, arg_us (command, 1));
  else if (arg_is (command, 0, "log-status"))
    {
      status.primary = arg_is (command, 1, "primary");
      status.received = position (arg (command, 2));
      status.status_us = arg_us (command, 3);
      g_array_append_val (script->log_statuses, status);
    }
  else if (arg_is (command, 0, "log-report"))
    {
      put_yes_no (script, "superseded",
                  tou_log_check_report (
                      &script->log_check,
                      (const TouLogStatus *)(void *)script->log_statuses->data,
                      script->log_statuses->len,
                      (guint)arg_number (command, 1)));
      g_array_set_size (script->log_statuses, 0);
    }
  else
    return FALSE;
  return TRUE;
}

static gboolean
run_window (Script *script, const Command *command)
{
  if (arg_is (command, 0, "window"))
    {
      script->slots = (guint)arg_number (command, 1);
      tou_window_init (&script->window, script->slots);
    }
  else if (arg_is (command, 0, "rtt"))
    tou_window_round_trip (&script->window, arg_us (command, 1));
  else if (arg_is (command, 0, "answered"))
    tou_window_answered (&script->window, arg_us (command, 1),
                         arg_us (command, 2), script->slots,
                         arg_us (command, 3));
  else if (arg_is (command, 0, "refused"))
    tou_window_refused (&script->window, arg_us (command, 1));
  else if (arg_is (command, 0, "room"))
    {
      guint n = (guint)arg_number (command, 1);

      g_string_append_printf (
          script->out, "%u in flight: %s, urgent %s\n", n,
          tou_window_has_room (&script->window, n, FALSE, arg_us (command, 2))
              ? "room"
              : "full",
          tou_window_has_room (&script->window, n, TRUE, arg_us (command, 2))
              ? "room"
              : "full");
    }
  else
    return FALSE;
  return TRUE;
}

static void
put_action (Script *script, const TouHandoverAction *action)
{
  switch (action->kind)
    {
    case TOU_HANDOVER_NONE:
      g_string_append (script->out, "nothing");
      break;
    case TOU_HANDOVER_WRITE:
      g_string_append_printf (
          script->out, "write %s of term %" G_GUINT64_FORMAT "%s%s%s: %s",
          action->record.primary.data, action->record.term,
          action->record.moving ? " moving" : "",
          action->record.candidate.len > 0 ? " to " : "",
          action->record.candidate.data, action->reason);
      break;
    case TOU_HANDOVER_STEP_DOWN:
      g_string_append_printf (script->out, "step down %s",
                              action->endpoint.data);
      break;
    case TOU_HANDOVER_PROMOTE:
      g_string_append_printf (script->out, "promote %s", action->endpoint.data);
      break;
    }
  g_string_append_printf (script->out, " (%s)\n",
                          tou_handover_step_name (script->handover));
}

static void
set_endpoint (Script *script, const Command *command)
{
  TouHandoverEndpoint endpoint = { 0 };
  TouHandoverView *view = &script->view;
  guint i = 0;

  endpoint.id = tou_name (arg (command, 1));
  endpoint.usable = arg_is (command, 2, "usable");
  endpoint.role
      = arg_is (command, 3, "primary") ? TOU_ROLE_PRIMARY : TOU_ROLE_REPLICA;
  endpoint.term = arg_number (command, 4);
  endpoint.received = position (arg (command, 5));
  endpoint.status_us = arg_us (command, 6);
  endpoint.draining = arg_is (command, 7, "draining");
  while (i < view->n_endpoints
         && !tou_name_equal (&view->endpoints[i].id, &endpoint.id))
    i++;
  if (i == script->endpoints->len)
    g_array_set_size (script->endpoints, i + 1);
  g_array_index (script->endpoints, TouHandoverEndpoint, i) = endpoint;
  view->endpoints = (TouHandoverEndpoint *)(gpointer)script->endpoints->data;
  view->n_endpoints = script->endpoints->len;
}

static gboolean
run_handover (Script *script, const Command *command)
{
  TouHandoverView *view = &script->view;
  TouHandoverAction action;

  if (arg_is (command, 0, "record"))
    {
      memset (&view->record, 0, sizeof view->record);
      view->record.revision = arg_number (command, 1);
      view->record.term = arg_number (command, 2);
      view->record.primary = tou_name (arg (command, 3));
      view->record.moving = arg_is (command, 4, "moving");
      view->record.candidate = tou_name (arg (command, 5));
    }
  else if (arg_is (command, 0, "endpoint"))
    set_endpoint (script, command);
  else if (arg_is (command, 0, "voters"))
    view->reaches_voters = arg_is (command, 1, "reached");
  else if (arg_is (command, 0, "view"))
    {
      view->n_nodes = (guint)arg_number (command, 1);
      view->n_reporting = (guint)arg_number (command, 2);
      view->reaches_voters = view->n_reporting * 2 > view->n_nodes;
      view->n_suspecting = (guint)arg_number (command, 3);
      view->n_quiesced = (guint)arg_number (command, 4);
      view->primary_draining = arg_is (command, 5, "draining");
      view->primary_registered = !arg_is (command, 5, "unregistered");
      view->n_observing = (guint)arg_number (command, 6);
      view->majority_has_record = view->n_quiesced * 2 > view->n_nodes;
    }
  else if (arg_is (command, 0, "primary-answered"))
    view->primary_answered_us = arg_us (command, 1);
  else if (arg_is (command, 0, "is-registered"))
    put_yes_no (
        script, command->rest,
        tou_handover_is_registered (arg_us (command, 1), arg_us (command, 2)));
  else if (arg_is (command, 0, "sync-replicas"))
    view->sync_replicas = (guint)arg_number (command, 1);
  else if (arg_is (command, 0, "logs"))
    {
      view->n_absent = (guint)arg_number (command, 1);
      view->n_ended = (guint)arg_number (command, 2);
      view->primary_ended = arg_is (command, 3, "primary-ended");
    }
  else if (arg_is (command, 0, "newest"))
    view->newest = position (arg (command, 1));
  else if (arg_is (command, 0, "store-back"))
    view->registry_complete = tou_handover_is_registry_complete (
        arg_us (command, 1), arg_us (command, 2));
  else if (arg_is (command, 0, "majority"))
    view->majority_has_record = arg_is (command, 1, "yes");
  else if (arg_is (command, 0, "uncertain"))
    view->nodes_uncertain = arg_is (command, 1, "yes");
  else if (arg_is (command, 0, "step"))
    {
      tou_handover_step (script->handover, view, arg_us (command, 1), &action);
      put_action (script, &action);
    }
  else if (arg_is (command, 0, "written"))
    tou_handover_written (script->handover, arg_is (command, 1, "yes"),
                          arg_us (command, 2));
  else if (arg_is (command, 0, "ordered"))
    tou_handover_ordered (
        script->handover,
        arg_is (command, 1, "accepted")   ? TOU_HANDOVER_ACCEPTED
        : arg_is (command, 1, "rejected") ? TOU_HANDOVER_REJECTED
                                          : TOU_HANDOVER_NO_ANSWER,
        arg_us (command, 2));
  else
    return FALSE;
  return TRUE;
}

static void
run_line (Script *script, const char *line)
{
  char **words = g_strsplit (line, " ", MAX_WORDS);
  const char *rest = strchr (line, ' ');
  Command command
      = { (int)g_strv_length (words), words, rest != NULL ? rest + 1 : "" };

  if (!run_decoder (script, &command) && !run_authority (script, &command)
      && !run_freshness_and_values (script, &command)
      && !run_window (script, &command) && !run_gateway (script, &command)
      && !run_panel (script, &command) && !run_follow (script, &command)
      && !run_logs (script, &command) && !run_handover (script, &command))
    g_string_append_printf (script->out, "unknown command: %s\n", line);
  g_strfreev (words);
}

GString *
session_script_run (const char *text)
{
  Script script;
  char **lines = g_strsplit (text, "\n", -1);

  memset (&script, 0, sizeof script);
  script.out = g_string_new (NULL);
  tou_authority_create (&script.authority);
  tou_freshness_create (&script.freshness);
  script.endpoints = g_array_new (FALSE, TRUE, sizeof (TouHandoverEndpoint));
  script.nodes = g_array_new (FALSE, FALSE, sizeof (TouGatewayNode));
  script.watches = g_array_new (FALSE, FALSE, sizeof (TouWatch));
  tou_follow_init (&script.follow);
  tou_handover_create (&script.handover);
  script.view.registry_complete = TRUE;
  tou_log_set_create (&script.logs);
  script.log_statuses = g_array_new (FALSE, FALSE, sizeof (TouLogStatus));
  tou_values_init (&script.current);
  tou_values_init (&script.target);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' && (*line)[0] != '#')
      run_line (&script, *line);
  tou_authority_destroy (script.authority);
  tou_freshness_destroy (script.freshness);
  g_array_unref (script.endpoints);
  g_array_unref (script.nodes);
  g_array_unref (script.watches);
  tou_handover_destroy (script.handover);
  tou_log_set_destroy (script.logs);
  g_array_unref (script.log_statuses);
  tou_values_clear (&script.current);
  tou_values_clear (&script.target);
  g_strfreev (lines);
  return script.out;
}
