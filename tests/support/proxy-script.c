#include "proxy-script.h"

#include "line-database.h"

#include "link.h"
#include "relay.h"
#include "stream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 8
#define MAX_DESCRIPTORS 1000
/* Ends a run that waits in vain; a statement's time-out is 10 s here. */
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
} Caller;

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timer;
  TouProxy *proxy;
  GHashTable *databases; /* id to LineDatabase */
  GHashTable *callers;   /* name to Caller */
  TouRouting *routing;   /* next version, collects routes */
  TouGroup *group;
  guint64 next_id;
  gboolean unproved; /* the record is not proved for now */
  TouProxy *holder;  /* node that holds connections, or NULL */
  GString *out;
} Script;

static void
on_timer (uv_timer_t *timer)
{
  Script *script = timer->data;
  guint64 now_us = tou_clock_us ();

  if (script->group != NULL && !script->unproved)
    tou_authority_prove_by_store (
        script->group->authority,
        tou_authority_record (script->group->authority)->revision, now_us);
  tou_proxy_tick (script->proxy, now_us);
  if (script->holder != NULL)
    tou_proxy_tick (script->holder, now_us);
}

static void
on_caller_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Caller *caller = stream->data;
  const char *line;

  if (n < 0)
    {
      caller->closed = TRUE;
      uv_read_stop (stream);
      return;
    }
  g_string_append_len (caller->in, buf->base, n);
  line = caller->in->str;
  caller->n_ready = 0;
  while ((line = strstr (line, "READY ")) != NULL)
    {
      if (strchr (line, '\n') != NULL)
        caller->n_ready++;
      line++;
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  Caller *caller = connect->data;

  caller->closed = status < 0;
  if (status == 0)
    uv_read_start ((uv_stream_t *)&caller->tcp, tou_stream_alloc,
                   on_caller_read);
}

/* Runs the loop until @a done says so. */
static void
run_until (Script *script, gboolean (*done) (Script *, gconstpointer),
           gconstpointer data)
{
  guint64 end_us = tou_clock_us () + WAIT_US;

  while (!done (script, data))
    {
      if (tou_clock_us () > end_us)
        {
          g_string_append (script->out, "waited in vain\n");
          return;
        }
      uv_run (&script->loop, UV_RUN_ONCE);
    }
}

static gboolean
caller_is_ready (Script *script, gconstpointer data)
{
  const Caller *caller = data;

  (void)script;
  return caller->n_ready > 0 || caller->closed;
}

static void
print_answer (Script *script, Caller *caller)
{
  char **lines;

  run_until (script, caller_is_ready, caller);
  lines = g_strsplit (caller->in->str, "\r\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0')
      g_string_append_printf (script->out, "%s< %s\n", caller->name, *line);
  if (caller->closed)
    g_string_append_printf (script->out, "%s< closed\n", caller->name);
  g_strfreev (lines);
  g_string_truncate (caller->in, 0);
  caller->n_ready = 0;
}

static void
caller_send (Caller *caller, const char *text)
{
  tou_stream_send ((uv_stream_t *)&caller->tcp, text, strlen (text));
}

static void
run_open (Script *script, char **words)
{
  Caller *caller = g_new0 (Caller, 1);
  struct sockaddr_in address;
  int len = sizeof address;
  char *text = g_strdup_printf ("STARTUP %s tester\r\n", words[2]);

  caller->name = g_strdup (words[1]);
  caller->in = g_string_new (NULL);
  g_hash_table_replace (script->callers, caller->name, caller);
  uv_tcp_getsockname (&script->proxy->listener, (struct sockaddr *)&address,
                      &len);
  uv_tcp_init (&script->loop, &caller->tcp);
  caller->tcp.data = caller;
  caller->connect.data = caller;
  uv_tcp_connect (&caller->connect, &caller->tcp,
                  (const struct sockaddr *)&address, on_connected);
  while (!uv_is_writable ((uv_stream_t *)&caller->tcp))
    uv_run (&script->loop, UV_RUN_ONCE);
  caller_send (caller, text);
  g_free (text);
  print_answer (script, caller);
}

static void
run_send (Script *script, Caller *caller, const char *rest)
{
  const char *text = strchr (rest, ' ') + 1;
  char *line = g_strdup_printf ("QUERY %" G_GUINT64_FORMAT " %s\r\n",
                                script->next_id++, text);

  caller_send (caller, line);
  g_free (line);
}

static void
run_db (Script *script, char **words)
{
  gboolean primary = strcmp (words[2], "primary") == 0;
  LineDatabase *database = line_database_new (&script->loop, words[1], primary);
  TouEndpointInfo info = { 0 };
  TouEndpoint *endpoint;

  g_hash_table_insert (script->databases, g_strdup (words[1]), database);
  info.id = tou_name (words[1]);
  info.group = tou_name ("g");
  g_snprintf (info.address.data, sizeof info.address.data, "127.0.0.1:%d",
              line_database_port (database));
  info.address.len = (guint8)strlen (info.address.data);
  info.slots = 2;
  info.role = primary ? TOU_ROLE_PRIMARY : TOU_ROLE_REPLICA;
  endpoint = tou_endpoint_create (script->proxy, &info);
  g_hash_table_insert (script->proxy->endpoints, &endpoint->info.id, endpoint);
}

/* Reaches the database through another node. */
static void
run_via (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *endpoint = g_hash_table_lookup (script->proxy->endpoints, &id);
  TouEndpoint *held;
  TouSite site = { 0 };
  int len = sizeof endpoint->gateway_address;

  site.node = tou_name ("n2");
  site.peers_listen = tou_name ("127.0.0.1:0");
  if (script->holder == NULL)
    {
      tou_proxy_create (&script->holder, &script->loop, &site);
      if (tou_relay_listen (script->holder) != TOU_OK)
        g_string_append_printf (script->out, "%s\n", tou_status_message ());
    }
  held = tou_endpoint_create (script->holder, &endpoint->info);
  held->group->limits.connection_limit = (guint)strtoull (words[2], NULL, 10);
  g_hash_table_insert (script->holder->endpoints, &held->info.id, held);
  endpoint->gateway = site.node;
  uv_tcp_getsockname (&script->holder->relay_listener,
                      (struct sockaddr *)&endpoint->gateway_address, &len);
}

/* The node that holds connections ends. */
static void
run_holder_lost (Script *script)
{
  GHashTableIter iter;
  gpointer value;

  uv_close ((uv_handle_t *)&script->holder->relay_listener, NULL);
  g_hash_table_iter_init (&iter, script->holder->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tou_relay_close_all (value, NULL);
  tou_proxy_destroy (script->holder);
  script->holder = NULL;
}

/* The time in which a leaving database takes statements is over; the node that
   holds its connections knows, the other one does not yet. */
static void
run_holder_leaving (Script *script, char **words)
{
  TouName id = tou_name (words[1]);
  TouEndpoint *held = g_hash_table_lookup (script->holder->endpoints, &id);

  held->info.draining = TRUE;
  held->leaving_since_us = tou_clock_us ();
}

/* The nodes agree that the holder does not answer any more. */
static void
run_holder_silent (Script *script)
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
  limits->name = tou_name ("g");
  limits->connection_limit = 20;
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
  route->max_age_us = WAIT_US;
  route->timeout_us = route->target_us = TIMEOUT_US;
  g_hash_table_replace (routing->routes, &route->database, route);
  tou_proxy_set_routing (script->proxy, routing);
}

static gboolean
position_is_known (Script *script, gconstpointer data)
{
  (void)data;
  return tou_freshness_newest_us (script->group->freshness) != 0;
}

static void
run_record (Script *script, char **words)
{
  TouName name = tou_name ("g");
  TouGroupRecord record = { 0 };

  script->group = tou_group_get (script->proxy, &name);
  record.revision = strtoull (words[1], NULL, 10);
  record.term = strtoull (words[2], NULL, 10);
  record.primary = tou_name (words[3]);
  record.moving = strcmp (words[4], "moving") == 0;
  tou_group_adopt (script->group, &record, "script");
  if (!record.moving && !script->unproved)
    run_until (script, position_is_known, NULL);
}

typedef struct
{
  LineDatabase *database;
  const char *text;
} Until;

static gboolean
database_has_got (Script *script, gconstpointer data)
{
  const Until *until = data;
  GString *trace = line_database_take_trace (until->database);
  gboolean found = strstr (trace->str, until->text) != NULL;

  (void)script;
  if (found)
    g_string_append_printf (script->out, "got: %s\n", until->text);
  g_string_free (trace, TRUE);
  return found;
}

/* The proxy's own statements depend on which connection is idle. */
static void
print_callers_statements (Script *script, const char *trace)
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

      print_callers_statements (script, trace->str);
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
  Until until;

  if (database == NULL)
    return FALSE;
  if (strcmp (words[0], "at") == 0)
    {
      sscanf (words[2], "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, &pos.term,
              &pos.position);
      line_database_set_position (database, pos);
    }
  else if (strcmp (words[0], "fail") == 0)
    line_database_fail (database, words[2]);
  else if (strcmp (words[0], "drop") == 0)
    line_database_drop (database);
  else if (strcmp (words[0], "cut") == 0)
    line_database_cut (database);
  else if (strcmp (words[0], "cut-step") == 0)
    line_database_cut_step (database);
  else if (strcmp (words[0], "restart") == 0)
    line_database_restart (database);
  else if (strcmp (words[0], "hold") == 0)
    line_database_hold (database);
  else if (strcmp (words[0], "resume") == 0)
    line_database_resume (database);
  else if (strcmp (words[0], "until") == 0)
    {
      until.database = database;
      until.text = strchr (rest, ' ') + 1;
      run_until (script, database_has_got, &until);
    }
  else
    return FALSE;
  return TRUE;
}

static gboolean
run_on_caller (Script *script, char **words, const char *rest)
{
  Caller *caller = words[1] != NULL
                       ? g_hash_table_lookup (script->callers, words[1])
                       : NULL;

  if (caller == NULL)
    return FALSE;
  if (strcmp (words[0], "ask") == 0 || strcmp (words[0], "send") == 0)
    run_send (script, caller, rest);
  if (strcmp (words[0], "ask") == 0 || strcmp (words[0], "wait") == 0)
    print_answer (script, caller);
  if (strcmp (words[0], "leave") == 0)
    uv_close ((uv_handle_t *)&caller->tcp, NULL);
  return TRUE;
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
  else if (strcmp (words[0], "via") == 0)
    run_via (script, words);
  else if (strcmp (words[0], "holder-leaving") == 0)
    run_holder_leaving (script, words);
  else if (strcmp (words[0], "holder-lost") == 0)
    run_holder_lost (script);
  else if (strcmp (words[0], "holder-silent") == 0)
    run_holder_silent (script);
  else if (strcmp (words[0], "counts") == 0)
    g_string_append_printf (
        script->out, "%s relayed statements\n",
        script->holder != NULL
                && script->holder->counters[TOU_COUNT_RELAYED] > 0
            ? "some"
            : "no");
  else if (strcmp (words[0], "route") == 0)
    run_route (script, words);
  else if (strcmp (words[0], "record") == 0)
    run_record (script, words);
  else if (strcmp (words[0], "open") == 0)
    run_open (script, words);
  else if (strcmp (words[0], "trace") == 0)
    run_trace (script);
  else if (strcmp (words[0], "descriptors") == 0)
    script->proxy->site.max_descriptors = (guint)strtoull (words[1], NULL, 10);
  else if (strcmp (words[0], "prove") == 0)
    script->unproved = strcmp (words[1], "off") == 0;
  else if (strcmp (words[0], "sleep") == 0)
    run_sleep (script, strtoull (words[1], NULL, 10) * TOU_US_PER_MS);
  else if (!run_on_database (script, words, rest)
           && !run_on_caller (script, words, rest))
    g_string_append (script->out, "unknown command\n");
  g_strfreev (words);
}

static void
free_caller (gpointer data)
{
  Caller *caller = data;

  g_string_free (caller->in, TRUE);
  g_free (caller->name);
  g_free (caller);
}

/* Closes everything in an order in which no handle outlives its owner. */
static void
close_all (Script *script)
{
  GHashTableIter iter;
  gpointer value;

  uv_close ((uv_handle_t *)&script->timer, NULL);
  uv_close ((uv_handle_t *)&script->proxy->listener, NULL);
  g_hash_table_iter_init (&iter, script->callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!uv_is_closing ((uv_handle_t *)&((Caller *)value)->tcp))
      uv_close ((uv_handle_t *)&((Caller *)value)->tcp, NULL);
  g_hash_table_iter_init (&iter, script->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    line_database_close (value);
  uv_run (&script->loop, UV_RUN_NOWAIT);
  tou_proxy_destroy (script->proxy);
  if (script->holder != NULL)
    run_holder_lost (script);
  uv_run (&script->loop, UV_RUN_DEFAULT);
  if (uv_loop_close (&script->loop) != 0)
    g_string_append (script->out, "handles are left open\n");
  g_hash_table_iter_init (&iter, script->callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    free_caller (value);
  g_hash_table_iter_init (&iter, script->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    line_database_free (value);
  g_hash_table_destroy (script->callers);
  g_hash_table_destroy (script->databases);
}

GString *
proxy_script_run (const char *text)
{
  Script script;
  TouSite site = { 0 };
  char **lines = g_strsplit (text, "\n", -1);

  memset (&script, 0, sizeof script);
  script.out = g_string_new (NULL);
  script.next_id = 1;
  script.databases
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  script.callers = g_hash_table_new (g_str_hash, g_str_equal);
  site.node = tou_name ("n1");
  site.clients_listen = tou_name ("127.0.0.1:0");
  site.max_descriptors = MAX_DESCRIPTORS;
  site.drain_us = site.grace_us = WAIT_US;
  uv_loop_init (&script.loop);
  tou_proxy_create (&script.proxy, &script.loop, &site);
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
