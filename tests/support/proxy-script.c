#include "proxy-script.h"

#include "line-database.h"

#include "access.h"
#include "direct.h"
#include "link.h"
#include "relay.h"
#include "stream.h"

#include "document.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 8
#define MAX_DESCRIPTORS 1000
#define CONNECTION_LIMIT 20
/* Maximum duration of a wait, longer than the statement timeout. */
#define WAIT_US (20 * TOU_US_PER_S)
#define TIMEOUT_US (10 * TOU_US_PER_S)

typedef struct
{
  char *name;
  uv_tcp_t tcp;
  uv_connect_t connect;
  GString *in;
  guint n_ready;
  gboolean closed;
} Client;

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timer;
  TouProxy *proxy;
  GHashTable *databases; /* id to LineDatabase */
  GHashTable *clients;   /* name to Client */
  TouRouting *routing;   /* next version of the configuration */
  GHashTable *keys;      /* API key to the name of its team */
  gboolean has_teams;    /* clients need a key, even if no team has one */
  TouGroup *group;
  guint64 next_id;
  gboolean proofs_paused;  /* no proofs of the record are added */
  TouProxy *gateway_proxy; /* node that is the gateway, or NULL */
  TouEndpoint *placed;     /* its gateway changes, or NULL */
  gboolean gateway_silent; /* it reports no progress */
  guint connection_limit;  /* of each database */
  GString *out;
} Script;

static gboolean
avoids_gateway (const TouEndpoint *endpoint, const TouName *node)
{
  for (guint i = 0; i < TOU_MAX_AVOIDED; i++)
    if (tou_name_equal (&endpoint->avoided[i].node, node)
        && tou_clock_us () < endpoint->avoided[i].until_us)
      return TRUE;
  return FALSE;
}

/* Selects the gateway as src/session/placement.c does with two nodes: the other
   one if the direct path has failed, this one if the other is avoided. */
static void
place (TouEndpoint *endpoint)
{
  TouName other = tou_name ("n2");
  gboolean direct
      = endpoint->direct_failed_us == 0
        && (endpoint->is_gateway || avoids_gateway (endpoint, &other));

  if (direct == (endpoint->gateway.len == 0))
    return;
  endpoint->open_after_us = 0;
  endpoint->gateway = other;
  if (direct)
    endpoint->gateway.len = 0;
  else
    tou_direct_leave (endpoint);
}

/* Proves the records of all groups that have one. */
static void
prove_records (TouProxy *proxy, guint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TouAuthority *authority = ((TouGroup *)value)->authority;
      guint64 revision = tou_authority_record (authority)->revision;

      if (revision != 0)
        tou_authority_prove_by_store (authority, revision, now_us);
    }
}

static void
on_timer (uv_timer_t *timer)
{
  Script *script = timer->data;
  guint64 now_us = tou_clock_us ();

  if (!script->proofs_paused)
    prove_records (script->proxy, now_us);
  if (script->placed != NULL)
    place (script->placed);
  tou_proxy_tick (script->proxy, now_us);
  if (script->gateway_proxy != NULL && !script->gateway_silent)
    tou_proxy_tick (script->gateway_proxy, now_us);
}

static void
on_client_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Client *client = stream->data;
  const char *line;

  if (n < 0)
    {
      client->closed = TRUE;
      uv_read_stop (stream);
      return;
    }
  g_string_append_len (client->in, buf->base, n);
  line = client->in->str;
  client->n_ready = 0;
  while ((line = strstr (line, "READY ")) != NULL)
    {
      if (strchr (line, '\n') != NULL)
        client->n_ready++;
      line++;
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  Client *client = connect->data;

  client->closed = status < 0;
  if (status == 0)
    uv_read_start ((uv_stream_t *)&client->tcp, tou_stream_alloc,
                   on_client_read);
}

/* Runs the loop until @a done returns TRUE. */
static void
run_until (Script *script, gboolean (*done) (Script *, gconstpointer),
           gconstpointer data)
{
  guint64 end_us = tou_clock_us () + WAIT_US;

  while (!done (script, data))
    {
      if (tou_clock_us () > end_us)
        {
          g_string_append (script->out, "timed out\n");
          return;
        }
      uv_run (&script->loop, UV_RUN_ONCE);
    }
}

static gboolean
client_is_ready (Script *script, gconstpointer data)
{
  const Client *client = data;

  (void)script;
  return client->n_ready > 0 || client->closed;
}

static void
print_answer (Script *script, Client *client)
{
  char **lines;

  run_until (script, client_is_ready, client);
  lines = g_strsplit (client->in->str, "\r\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0')
      g_string_append_printf (script->out, "%s< %s\n", client->name, *line);
  if (client->closed)
    g_string_append_printf (script->out, "%s< closed\n", client->name);
  g_strfreev (lines);
  g_string_truncate (client->in, 0);
  client->n_ready = 0;
}

static void
client_send (Client *client, const char *text)
{
  tou_stream_send ((uv_stream_t *)&client->tcp, text, strlen (text));
}

static void
run_open (Script *script, char **words)
{
  Client *client = g_new0 (Client, 1);
  struct sockaddr_in address;
  int len = sizeof address;
  char *text = g_strdup_printf ("STARTUP %s %s\r\n", words[2],
                                words[3] != NULL ? words[3] : "tester");

  client->name = g_strdup (words[1]);
  client->in = g_string_new (NULL);
  g_hash_table_replace (script->clients, client->name, client);
  uv_tcp_getsockname (&script->proxy->listener, (struct sockaddr *)&address,
                      &len);
  uv_tcp_init (&script->loop, &client->tcp);
  client->tcp.data = client;
  client->connect.data = client;
  uv_tcp_connect (&client->connect, &client->tcp,
                  (const struct sockaddr *)&address, on_connected);
  while (!uv_is_writable ((uv_stream_t *)&client->tcp))
    uv_run (&script->loop, UV_RUN_ONCE);
  client_send (client, text);
  g_free (text);
  print_answer (script, client);
}

static void
run_send (Script *script, Client *client, const char *rest)
{
  const char *text = strchr (rest, ' ') + 1;
  char *line = g_strdup_printf ("QUERY %" G_GUINT64_FORMAT " %s\r\n",
                                script->next_id++, text);

  client_send (client, line);
  g_free (line);
}

/* Starts a database of the group that is named, else of "g", which registers.
 */
static void
run_db (Script *script, char **words)
{
  gboolean primary = strcmp (words[2], "primary") == 0;
  const char *group = words[3] != NULL ? words[3] : "g";
  LineDatabase *database = line_database_new (&script->loop, words[1], primary);
  TouEndpointInfo info;
  TouEndpoint *endpoint;
  TouStr record;

  g_hash_table_insert (script->databases, g_strdup (words[1]), database);
  line_database_set_group (database, group);
  tou_str_printf (&record,
                  "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
                  "\"zone\":\"a\",\"capacity\":2,\"state\":\"ready\","
                  "\"dbRole\":\"%s\"}",
                  group, line_database_port (database), words[2]);
  if (plat_document_decode_endpoint (&info, words[1], &record) == TOU_OK)
    {
      endpoint = tou_endpoint_create (script->proxy, &info);
      g_hash_table_insert (script->proxy->endpoints, &endpoint->info.id,
                           endpoint);
    }
  else
    g_string_append_printf (script->out, "%s\n", tou_status_message ());
  tou_endpoint_info_clear (&info);
  tou_str_clear (&record);
}

/* The handshake of a link takes as long as the machine is busy, and reads
   prefer the nearer database. */
static void
run_round_trip (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *endpoint = g_hash_table_lookup (script->proxy->endpoints, &id);

  tou_window_round_trip (&endpoint->window, strtoull (words[2], NULL, 10));
}

/* Makes the second node the gateway of the database. */
static void
run_via (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *endpoint = g_hash_table_lookup (script->proxy->endpoints, &id);
  TouEndpoint *gateway_endpoint;
  TouNodeSettings settings = { 0 };
  int len = sizeof endpoint->gateway_address;

  settings.node = tou_name ("n2");
  settings.peers_listen = tou_name ("127.0.0.1:0");
  if (script->gateway_proxy == NULL)
    {
      tou_proxy_create (&script->gateway_proxy, &script->loop, &settings);
      if (tou_relay_listen (script->gateway_proxy) != TOU_OK)
        g_string_append_printf (script->out, "%s\n", tou_status_message ());
    }
  gateway_endpoint
      = tou_endpoint_create (script->gateway_proxy, &endpoint->info);
  gateway_endpoint->group->limits.connection_limit
      = (guint)strtoull (words[2], NULL, 10);
  g_hash_table_insert (script->gateway_proxy->endpoints,
                       &gateway_endpoint->info.id, gateway_endpoint);
  endpoint->gateway = settings.node;
  uv_tcp_getsockname (&script->gateway_proxy->relay_listener,
                      (struct sockaddr *)&endpoint->gateway_address, &len);
}

/* Selects the gateway of the database from both nodes. With "self", the first
   one is a gateway as well. */
static void
run_place (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *endpoint = g_hash_table_lookup (script->proxy->endpoints, &id);

  endpoint->n_gateways = 2;
  endpoint->is_gateway = words[2] != NULL;
  script->placed = endpoint;
  place (endpoint);
}

static void
run_path (Script *script)
{
  const TouEndpoint *endpoint = script->placed;

  g_string_append_printf (
      script->out, "%s, %s\n",
      endpoint->gateway.len > 0 ? "through the other node" : "direct",
      tou_endpoint_is_suspect (endpoint) ? "suspected" : "not suspected");
}

/* Stops the gateway node. */
static void
run_gateway_stop (Script *script)
{
  GHashTableIter iter;
  gpointer value;

  uv_close ((uv_handle_t *)&script->gateway_proxy->relay_listener, NULL);
  g_hash_table_iter_init (&iter, script->gateway_proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tou_relay_close_all (value, NULL);
  tou_proxy_destroy (script->gateway_proxy);
  script->gateway_proxy = NULL;
}

/* Ends the time in which a draining database accepts statements, for the
   gateway node only: the other node has not received the registration yet. */
static void
run_gateway_draining (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *gateway_endpoint
      = g_hash_table_lookup (script->gateway_proxy->endpoints, &id);

  gateway_endpoint->info.draining = TRUE;
  gateway_endpoint->leaving_since_us = tou_clock_us ();
}

/* Makes the gateway node unreachable for the other one. */
static void
run_gateway_unreachable (Script *script)
{
  TouName node = tou_name ("n2");
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, script->proxy->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((TouEndpoint *)value)->gateway.len = 0;
      tou_endpoint_close_gateway_links (value, &node);
    }
}

/* Makes the database unusable for the gateway node, as after a crash. */
static void
run_gateway_lost (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *gateway_endpoint
      = g_hash_table_lookup (script->gateway_proxy->endpoints, &id);

  gateway_endpoint->lost_log = TRUE;
}

/* The database registers again, as after a start at the given time. */
static void
run_registered (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *endpoint = g_hash_table_lookup (script->proxy->endpoints, &id);
  TouEndpointInfo info = endpoint->info;

  info.started_ms = strtoull (words[2], NULL, 10);
  tou_endpoint_update (endpoint, &info);
  if (script->gateway_proxy != NULL)
    tou_endpoint_update (
        g_hash_table_lookup (script->gateway_proxy->endpoints, &id), &info);
}

/* Sets the pace of both nodes, or prints that of a database: the gateway's if
   there is one. */
static void
run_pace (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouProxy *proxy
      = script->gateway_proxy != NULL ? script->gateway_proxy : script->proxy;
  const TouEndpoint *endpoint = g_hash_table_lookup (proxy->endpoints, &id);

  if (endpoint == NULL)
    proxy->settings.pace_enabled = script->proxy->settings.pace_enabled
        = strcmp (words[1], "on") == 0;
  else if (endpoint->pace.active)
    g_string_append_printf (script->out, "limit %u, %s\n",
                            (guint)endpoint->pace.limit,
                            tou_pace_reason_name (endpoint->pace.reason));
  else
    g_string_append_printf (script->out, "not paced, held back %s\n",
                            proxy->counters[TOU_COUNT_PACE_HELD] > 0 ? "some"
                                                                     : "none");
}

/* Prints whether more links than given were opened through the gateway. */
static void
run_attempts (Script *script, char **words)
{
  guint64 limit = strtoull (words[1], NULL, 10);
  guint64 count = script->proxy->counters[TOU_COUNT_GATEWAY_LINKS];

  if (count <= limit)
    g_string_append_printf (script->out, "at most %s\n", words[1]);
  else
    g_string_append_printf (script->out, "%" G_GUINT64_FORMAT "\n", count);
}

static void
add_teams (Script *script, TouRouting *routing)
{
  GHashTableIter iter;
  gpointer key;
  gpointer name;

  if (script->has_teams)
    tou_routing_enable_teams (routing);
  g_hash_table_iter_init (&iter, script->keys);
  while (g_hash_table_iter_next (&iter, &key, &name))
    {
      TouTeam team = { .name = tou_name (name) };

      if (!g_hash_table_contains (routing->teams, &team.name))
        tou_access_add_team (routing, &team);
      tou_access_add_key (routing, &team.name, key, strlen (key));
    }
}

static void
run_route (Script *script, char **words)
{
  TouRouting *routing = g_new0 (TouRouting, 1);
  TouRoute *route = g_new0 (TouRoute, 1);
  TouGroupLimits *limits = g_new0 (TouGroupLimits, 1);
  GHashTableIter iter;
  gpointer old;

  routing->version = script->proxy->routing != NULL
                         ? script->proxy->routing->version + 1
                         : 1;
  routing->txn_idle_us = WAIT_US;
  routing->routes = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                           NULL, g_free);
  routing->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                           NULL, g_free);
  add_teams (script, routing);
  limits->name = tou_name ("g");
  limits->connection_limit = script->connection_limit;
  g_hash_table_insert (routing->groups, &limits->name, limits);
  if (script->proxy->routing != NULL)
    {
      g_hash_table_iter_init (&iter, script->proxy->routing->routes);
      while (g_hash_table_iter_next (&iter, NULL, &old))
        {
          TouRoute *copy = g_memdup2 (old, sizeof *copy);

          g_hash_table_insert (routing->routes, &copy->database, copy);
        }
    }
  route->name = route->database = tou_name (words[1]);
  route->group = tou_name ("g");
  route->mode = strcmp (words[2], "primary") == 0   ? TOU_READ_FRESH
                : strcmp (words[2], "bounded") == 0 ? TOU_READ_MAX_AGE
                                                    : TOU_READ_SESSION;
  if (words[3] != NULL && strcmp (words[3], "review") == 0)
    route->rank = TOU_RANK_REVIEW;
  route->max_age_us = WAIT_US;
  route->anonymous = words[3] != NULL && strcmp (words[3], "anonymous") == 0;
  route->timeout_us = route->target_us = TIMEOUT_US;
  g_hash_table_replace (routing->routes, &route->database, route);
  tou_proxy_set_routing (script->proxy, routing);
}

/* Both nodes receive a version of the configuration. */
static void
run_config (Script *script, const char *text)
{
  TouStr value = { (char *)text, strlen (text) };
  TouProxy *proxies[] = { script->proxy, script->gateway_proxy };

  for (guint i = 0; i < G_N_ELEMENTS (proxies); i++)
    {
      TouRouting *routing;

      if (proxies[i] == NULL)
        continue;
      if (plat_document_decode_routing (&routing, NULL, &value) == TOU_OK)
        tou_proxy_set_routing (proxies[i], routing);
      else
        g_string_append_printf (script->out, "%s\n", tou_status_message ());
    }
}

static void
run_queue_limit (Script *script, char **words)
{
  TouName name = tou_name ("g");
  TouGroup *group = tou_group_get (script->proxy, &name);

  tou_queue_destroy (group->writes);
  tou_queue_create (&group->writes, (guint)strtoull (words[1], NULL, 10), 1);
  tou_group_configure (group);
}

static void
run_gateway_txn_idle (Script *script, char **words)
{
  TouRouting *routing = g_new0 (TouRouting, 1);

  routing->version = 1;
  routing->txn_idle_us = strtoull (words[1], NULL, 10) * TOU_US_PER_MS;
  routing->routes = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  routing->groups = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  tou_proxy_set_routing (script->gateway_proxy, routing);
}

static gboolean
has_position_sample (Script *script, gconstpointer data)
{
  (void)data;
  return tou_freshness_newest_us (script->group->freshness) != 0;
}

static void
run_record (Script *script, char **words)
{
  TouName name = tou_name (words[5] != NULL ? words[5] : "g");
  TouGroupRecord record = { 0 };

  script->group = tou_group_get (script->proxy, &name);
  record.revision = strtoull (words[1], NULL, 10);
  record.term = strtoull (words[2], NULL, 10);
  record.primary = tou_name (words[3]);
  record.moving = strcmp (words[4], "moving") == 0;
  tou_group_adopt (script->group, &record, "script");
  if (!record.moving && !script->proofs_paused)
    run_until (script, has_position_sample, NULL);
}

typedef struct
{
  LineDatabase *database;
  const char *text;
} TraceWait;

static gboolean
database_has_received (Script *script, gconstpointer data)
{
  const TraceWait *wait = data;
  GString *trace = line_database_take_trace (wait->database);
  gboolean found = strstr (trace->str, wait->text) != NULL;

  (void)script;
  if (found)
    g_string_append_printf (script->out, "received: %s\n", wait->text);
  g_string_free (trace, TRUE);
  return found;
}

/* Omits internal statements, which depend on the connection that is idle. */
static void
print_client_statements (Script *script, const char *trace)
{
  char **lines = g_strsplit (trace, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' && strstr (*line, "> QUERY - ") == NULL)
      g_string_append_printf (script->out, "%s\n", *line);
  g_strfreev (lines);
}

static void
run_trace (Script *script)
{
  GList *ids = g_list_sort (g_hash_table_get_keys (script->databases),
                            (GCompareFunc)strcmp);

  for (GList *id = ids; id != NULL; id = id->next)
    {
      GString *trace = line_database_take_trace (
          g_hash_table_lookup (script->databases, id->data));

      print_client_statements (script, trace->str);
      g_string_free (trace, TRUE);
    }
  g_list_free (ids);
}

static gboolean
run_on_database (Script *script, char **words, const char *rest)
{
  LineDatabase *database
      = words[1] != NULL ? g_hash_table_lookup (script->databases, words[1])
                         : NULL;
  TouLogPos pos = { 0, 0 };
  TraceWait wait;

  if (database == NULL)
    return FALSE;
  if (strcmp (words[0], "position") == 0)
    {
      sscanf (words[2], "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, &pos.term,
              &pos.position);
      line_database_set_position (database, pos);
    }
  else if (strcmp (words[0], "fail") == 0)
    line_database_fail (database, words[2]);
  else if (strcmp (words[0], "drop") == 0)
    line_database_drop (database);
  else if (strcmp (words[0], "mute") == 0)
    line_database_mute (database, words[2]);
  else if (strcmp (words[0], "cut") == 0)
    line_database_cut (database);
  else if (strcmp (words[0], "cut-set") == 0)
    line_database_cut_set (database);
  else if (strcmp (words[0], "restart") == 0)
    line_database_restart (database);
  else if (strcmp (words[0], "rename") == 0)
    line_database_rename (database, words[2]);
  else if (strcmp (words[0], "hold") == 0)
    line_database_hold (database);
  else if (strcmp (words[0], "resume") == 0)
    line_database_resume (database);
  else if (strcmp (words[0], "until") == 0)
    {
      wait.database = database;
      wait.text = strchr (rest, ' ') + 1;
      run_until (script, database_has_received, &wait);
    }
  else
    return FALSE;
  return TRUE;
}

static gboolean
client_is_closed (Script *script, gconstpointer data)
{
  (void)script;
  return ((const Client *)data)->closed;
}

static void
run_wait_closed (Script *script, const Client *client)
{
  run_until (script, client_is_closed, client);
  g_string_append_printf (script->out, "%s: %s\n", client->name,
                          client->closed ? "closed" : "open");
}

static gboolean
run_on_client (Script *script, char **words, const char *rest)
{
  Client *client = words[1] != NULL
                       ? g_hash_table_lookup (script->clients, words[1])
                       : NULL;

  if (client == NULL)
    return FALSE;
  if (strcmp (words[0], "query") == 0 || strcmp (words[0], "send") == 0)
    run_send (script, client, rest);
  if (strcmp (words[0], "query") == 0 || strcmp (words[0], "wait") == 0)
    print_answer (script, client);
  if (strcmp (words[0], "wait-closed") == 0)
    run_wait_closed (script, client);
  if (strcmp (words[0], "close") == 0)
    uv_close ((uv_handle_t *)&client->tcp, NULL);
  return TRUE;
}

/* The node has received the stop signal half of its grace time ago. */
static void
run_drain (Script *script)
{
  guint64 now_us = tou_clock_us ();

  tou_proxy_drain (script->proxy, now_us - MIN (now_us, WAIT_US / 2));
}

/* Ends the node while statements are running, and starts it again. */
static void
run_restart_node (Script *script)
{
  TouNodeSettings settings = script->proxy->settings;

  tou_proxy_close_listener (script->proxy);
  uv_run (&script->loop, UV_RUN_NOWAIT);
  tou_proxy_destroy (script->proxy);
  tou_proxy_create (&script->proxy, &script->loop, &settings);
  script->group = NULL;
  if (tou_proxy_listen (script->proxy) != TOU_OK)
    g_string_append_printf (script->out, "%s\n", tou_status_message ());
}

static void
run_sleep (Script *script, guint64 time_us)
{
  guint64 end_us = tou_clock_us () + time_us;

  while (tou_clock_us () < end_us)
    uv_run (&script->loop, UV_RUN_ONCE);
}

static void
run_line (Script *script, const char *line)
{
  char **words = g_strsplit (line, " ", MAX_WORDS);
  const char *rest = strchr (line, ' ');

  rest = rest != NULL ? rest + 1 : "";
  g_string_append_printf (script->out, "-- %s\n", line);
  if (strcmp (words[0], "db") == 0)
    run_db (script, words);
  else if (strcmp (words[0], "round-trip") == 0)
    run_round_trip (script, words);
  else if (strcmp (words[0], "via") == 0)
    run_via (script, words);
  else if (strcmp (words[0], "place") == 0)
    run_place (script, words);
  else if (strcmp (words[0], "path") == 0)
    run_path (script);
  else if (strcmp (words[0], "gateway-draining") == 0)
    run_gateway_draining (script, words);
  else if (strcmp (words[0], "gateway-silent") == 0)
    script->gateway_silent = TRUE;
  else if (strcmp (words[0], "gateway-deregister") == 0)
    script->gateway_proxy->deregistered = TRUE;
  else if (strcmp (words[0], "gateway-work") == 0)
    g_string_append_printf (
        script->out, "%s\n",
        tou_proxy_has_work (script->gateway_proxy) ? "in progress" : "none");
  else if (strcmp (words[0], "queue-limit") == 0)
    run_queue_limit (script, words);
  else if (strcmp (words[0], "gateway-txn-idle") == 0)
    run_gateway_txn_idle (script, words);
  else if (strcmp (words[0], "gateway-lost") == 0)
    run_gateway_lost (script, words);
  else if (strcmp (words[0], "registered") == 0)
    run_registered (script, words);
  else if (strcmp (words[0], "pace") == 0)
    run_pace (script, words);
  else if (strcmp (words[0], "attempts") == 0)
    run_attempts (script, words);
  else if (strcmp (words[0], "gateway-stop") == 0)
    run_gateway_stop (script);
  else if (strcmp (words[0], "gateway-unreachable") == 0)
    run_gateway_unreachable (script);
  else if (strcmp (words[0], "relayed") == 0)
    g_string_append_printf (
        script->out, "%s relayed statements\n",
        script->gateway_proxy != NULL
                && script->gateway_proxy->counters[TOU_COUNT_RELAYED] > 0
            ? "some"
            : "no");
  else if (strcmp (words[0], "route") == 0)
    run_route (script, words);
  else if (strcmp (words[0], "config") == 0)
    run_config (script, rest);
  else if (strcmp (words[0], "key") == 0)
    {
      script->has_teams = TRUE;
      g_hash_table_replace (script->keys, g_strdup (words[1]),
                            g_strdup (words[2]));
    }
  else if (strcmp (words[0], "revoke") == 0)
    g_hash_table_remove (script->keys, words[1]);
  else if (strcmp (words[0], "connections") == 0)
    script->connection_limit = (guint)strtoull (words[1], NULL, 10);
  else if (strcmp (words[0], "record") == 0)
    run_record (script, words);
  else if (strcmp (words[0], "open") == 0)
    run_open (script, words);
  else if (strcmp (words[0], "trace") == 0)
    run_trace (script);
  else if (strcmp (words[0], "descriptors") == 0)
    script->proxy->settings.max_descriptors
        = (guint)strtoull (words[1], NULL, 10);
  else if (strcmp (words[0], "prove") == 0)
    script->proofs_paused = strcmp (words[1], "off") == 0;
  else if (strcmp (words[0], "drain") == 0)
    run_drain (script);
  else if (strcmp (words[0], "refuse-waiting") == 0)
    tou_proxy_refuse_waiting (script->proxy);
  else if (strcmp (words[0], "restart-node") == 0)
    run_restart_node (script);
  else if (strcmp (words[0], "sleep") == 0)
    run_sleep (script, strtoull (words[1], NULL, 10) * TOU_US_PER_MS);
  else if (!run_on_database (script, words, rest)
           && !run_on_client (script, words, rest))
    g_string_append (script->out, "unknown command\n");
  g_strfreev (words);
}

static void
free_client (gpointer data)
{
  Client *client = data;

  g_string_free (client->in, TRUE);
  g_free (client->name);
  g_free (client);
}

/* Closes all handles before their owners are freed. */
static void
close_all (Script *script)
{
  GHashTableIter iter;
  gpointer value;

  uv_close ((uv_handle_t *)&script->timer, NULL);
  tou_proxy_close_listener (script->proxy);
  g_hash_table_iter_init (&iter, script->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!uv_is_closing ((uv_handle_t *)&((Client *)value)->tcp))
      uv_close ((uv_handle_t *)&((Client *)value)->tcp, NULL);
  g_hash_table_iter_init (&iter, script->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    line_database_close (value);
  uv_run (&script->loop, UV_RUN_NOWAIT);
  tou_proxy_destroy (script->proxy);
  if (script->gateway_proxy != NULL)
    run_gateway_stop (script);
  uv_run (&script->loop, UV_RUN_DEFAULT);
  if (uv_loop_close (&script->loop) != 0)
    g_string_append (script->out, "handles are still open\n");
  g_hash_table_iter_init (&iter, script->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    free_client (value);
  g_hash_table_iter_init (&iter, script->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    line_database_free (value);
  g_hash_table_destroy (script->keys);
  g_hash_table_destroy (script->clients);
  g_hash_table_destroy (script->databases);
}

GString *
proxy_script_run (const char *text)
{
  Script script;
  TouNodeSettings settings = { 0 };
  char **lines = g_strsplit (text, "\n", -1);

  memset (&script, 0, sizeof script);
  script.out = g_string_new (NULL);
  script.next_id = 1;
  script.connection_limit = CONNECTION_LIMIT;
  script.keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  script.databases
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  script.clients = g_hash_table_new (g_str_hash, g_str_equal);
  settings.node = tou_name ("n1");
  settings.clients_listen = tou_name ("127.0.0.1:0");
  settings.max_descriptors = MAX_DESCRIPTORS;
  settings.drain_us = settings.grace_us = WAIT_US;
  uv_loop_init (&script.loop);
  tou_proxy_create (&script.proxy, &script.loop, &settings);
  if (tou_proxy_listen (script.proxy) != TOU_OK)
    g_string_append_printf (script.out, "%s\n", tou_status_message ());
  uv_timer_init (&script.loop, &script.timer);
  script.timer.data = &script;
  uv_timer_start (&script.timer, on_timer, 0, TOU_PROXY_TICK_US / 1000);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' && (*line)[0] != '#')
      run_line (&script, *line);
  g_strfreev (lines);
  close_all (&script);
  return script.out;
}
