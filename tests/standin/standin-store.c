/*
 * Stand-in for the platform's key-value store and VM list: the subset of the
 * etcd v3 JSON gateway that toucanscale uses, GET /vms, and control requests
 * under /standin/. Keys are kept in memory. Faults are injected into calls of
 * the store only:
 * POST /standin/fault {"mode":"up|down|stall|lose-replies","count":n}.
 *
 * Usage: standin-store [--port N]
 * Without --port, a free port is used. "port N" is printed when the program
 * accepts connections. The program terminates with its parent.
 */
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>

/* Interval of checks for expired leases and closed watches: 20 ms. */
#define CHECK_INTERVAL_NS 20000000L

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,         /* connections are closed without a response */
  FAULT_STALL,        /* calls are executed when the fault ends */
  FAULT_LOSE_REPLIES, /* calls are executed, then connections are closed */
  FAULT_COUNT
} Fault;

static const char *const fault_names[FAULT_COUNT]
    = { "up", "down", "stall", "lose-replies" };

/* State of the store, protected by lock. */
static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  json_t *keys;    /* key to key-value pair as in a range response */
  json_t *changes; /* array of events as in a watch response */
  json_t *leases;  /* id to {ttl, until_us} */
  guint64 revision;
  guint64 compacted;
  guint64 last_lease;
  json_t *vms;
  json_t *calls; /* number of calls by kind */
  Fault fault;
  json_int_t fault_calls_left; /* 0 or FAULT_STALL: no limit */
} store
    = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, .revision = 1 };

/* An active watch. */
typedef struct
{
  int fd;
  char *key;
  char *end;
  guint64 next;     /* first revision to deliver */
  GString *pending; /* text to be sent */
} Watch;

/* Returns the decoded value of a base64 field; NULL if it is absent. */
static char *
get_base64 (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  gsize len = 0;
  char *data;

  if (text == NULL)
    return NULL;
  data = (char *)g_base64_decode (text, &len);
  data = g_realloc (data, len + 1);
  data[len] = '\0';
  return data;
}

static guint64
get_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_string (value))
    return g_ascii_strtoull (json_string_value (value), NULL, 10);
  return (guint64)json_integer_value (value);
}

/* Encodes an int64 like the gateway: as a string, or NULL (absent) for 0. */
static json_t *
int64_json (guint64 value)
{
  return value != 0 ? json_sprintf ("%" G_GUINT64_FORMAT, value) : NULL;
}

static json_t *
answer_new (void)
{
  return json_pack ("{s:{s:o}}", "header", "revision",
                    int64_json (store.revision));
}

/* Without @a end, only @a first matches; an empty @a end is unbounded. */
static gboolean
in_range (const char *key, const char *first, const char *end)
{
  if (end == NULL)
    return strcmp (key, first) == 0;
  return strcmp (key, first) >= 0 && (end[0] == '\0' || strcmp (key, end) < 0);
}

/* Adds an event for the watches; takes ownership of @a event. */
static void
add_change (json_t *event)
{
  json_array_append_new (store.changes, event);
  pthread_cond_broadcast (&store.changed);
}

/* Removes expired leases and their keys. */
static void
expire_leases (void)
{
  json_int_t now_us = g_get_monotonic_time ();
  const char *key;
  json_t *kv;
  void *next;

  json_object_foreach_safe (store.keys, next, key, kv)
  {
    const char *id = json_string_value (json_object_get (kv, "lease"));
    const json_t *lease = json_object_get (store.leases, id);

    if (id == NULL
        || json_integer_value (json_object_get (lease, "until_us")) > now_us)
      continue;
    store.revision++;
    add_change (json_pack ("{s:s,s:{s:O,s:o}}", "type", "DELETE", "kv", "key",
                           json_object_get (kv, "key"), "mod_revision",
                           int64_json (store.revision)));
    json_object_del (store.keys, key);
  }
  json_object_foreach_safe (store.leases, next, key, kv)
  {
    if (json_integer_value (json_object_get (kv, "until_us")) <= now_us)
      json_object_del (store.leases, key);
  }
}

static json_t *
do_range (const json_t *request)
{
  char *first = get_base64 (request, "key");
  char *end = get_base64 (request, "range_end");
  json_t *found = json_array ();
  const char *key;
  json_t *kv;

  json_object_foreach (store.keys, key, kv)
  {
    if (in_range (key, first != NULL ? first : "", end))
      json_array_append (found, kv);
  }
  g_free (first);
  g_free (end);
  return json_pack ("{s:{s:o},s:o*,s:o*}", "header", "revision",
                    int64_json (store.revision), "count",
                    int64_json (json_array_size (found)), "kvs", found);
}

/* Stores a key-value pair; NULL if its lease does not exist. */
static json_t *
do_put (const json_t *request)
{
  const json_t *lease = json_object_get (request, "lease");
  char *key = get_base64 (request, "key");
  const json_t *old = json_object_get (store.keys, key);
  json_t *kv;

  if (key == NULL
      || (lease != NULL
          && json_object_get (store.leases, json_string_value (lease)) == NULL))
    {
      g_free (key);
      return NULL;
    }
  kv = json_copy ((json_t *)request);
  store.revision++;
  json_object_set_new (kv, "mod_revision", int64_json (store.revision));
  json_object_set_new (kv, "create_revision",
                       int64_json (old != NULL
                                       ? get_number (old, "create_revision")
                                       : store.revision));
  add_change (json_pack ("{s:O}", "kv", kv));
  json_object_set_new (store.keys, key, kv);
  g_free (key);
  return answer_new ();
}

/* Evaluates a comparison whose target is CREATE or MOD. */
static gboolean
compare_holds (const json_t *compare)
{
  const char *target = json_string_value (json_object_get (compare, "target"));
  const char *field
      = g_strcmp0 (target, "CREATE") == 0 ? "create_revision" : "mod_revision";
  char *key = get_base64 (compare, "key");
  const json_t *kv = json_object_get (store.keys, key);

  g_free (key);
  return get_number (kv, field) == get_number (compare, field);
}

/*
 * Executes the first operation of the chosen branch. Branches have only one
 * operation, so a transaction cannot be partially applied.
 */
static json_t *
do_txn (const json_t *request)
{
  gboolean holds = TRUE;
  const json_t *range;
  const json_t *item;
  json_t *response;
  size_t i;

  json_array_foreach (json_object_get (request, "compare"), i, item)
  {
    holds = holds && compare_holds (item);
  }
  item = json_array_get (
      json_object_get (request, holds ? "success" : "failure"), 0);
  range = json_object_get (item, "request_range");
  if (range != NULL)
    response = json_pack ("{s:o}", "response_range", do_range (range));
  else
    response = json_pack ("{s:o}", "response_put",
                          do_put (json_object_get (item, "request_put")));
  if (response == NULL)
    return NULL;
  return json_pack ("{s:{s:o},s:o*,s:[o]}", "header", "revision",
                    int64_json (store.revision), "succeeded",
                    holds ? json_true () : NULL, "responses", response);
}

static json_t *
renew_lease (const char *id, json_t *lease)
{
  guint64 ttl_s = get_number (lease, "ttl");

  if (lease != NULL)
    json_object_set_new (lease, "until_us",
                         json_integer (g_get_monotonic_time ()
                                       + (gint64)ttl_s * G_USEC_PER_SEC));
  return json_pack ("{s:{s:o},s:s,s:o*}", "header", "revision",
                    int64_json (store.revision), "ID", id, "TTL",
                    int64_json (ttl_s));
}

static json_t *
do_lease_grant (const json_t *request)
{
  char *id = g_strdup_printf ("%" G_GUINT64_FORMAT, ++store.last_lease);
  json_t *lease = json_pack ("{s:o}", "ttl",
                             int64_json (MAX (get_number (request, "TTL"), 1)));
  json_t *answer = renew_lease (id, lease);

  json_object_set_new (store.leases, id, lease);
  g_free (id);
  return answer;
}

/* Without an ID, json_pack () returns NULL and the call fails. */
static json_t *
do_lease_keepalive (const json_t *request)
{
  const char *id = json_string_value (json_object_get (request, "ID"));

  return json_pack ("{s:o}", "result",
                    renew_lease (id, json_object_get (store.leases, id)));
}

static guint64
change_revision (const json_t *event)
{
  return get_number (json_object_get (event, "kv"), "mod_revision");
}

/* Removes the changes up to the requested revision. */
static json_t *
do_compact (const json_t *request)
{
  store.compacted = MIN (get_number (request, "revision"), store.revision);
  while (json_array_size (store.changes) > 0
         && change_revision (json_array_get (store.changes, 0))
                <= store.compacted)
    json_array_remove (store.changes, 0);
  return answer_new ();
}

/* Appends a message with the field @a name; takes ownership of @a value. */
static void
watch_append (Watch *watch, const char *name, json_t *value)
{
  json_t *answer = answer_new ();
  char *text;

  json_object_set_new (answer, name, value);
  text = json_dumps (answer, JSON_COMPACT);
  g_string_append_printf (watch->pending, "{\"result\":%s}\n", text);
  free (text);
  json_decref (answer);
}

/* Appends a message with the events from revision next on. */
static void
watch_collect (Watch *watch)
{
  json_t *events = json_array ();
  json_t *event;
  size_t i;

  if (watch->next <= store.compacted)
    {
      watch_append (watch, "compact_revision", int64_json (store.compacted));
      watch->next = G_MAXUINT64; /* no further events */
    }
  json_array_foreach (store.changes, i, event)
  {
    char *key = get_base64 (json_object_get (event, "kv"), "key");

    if (change_revision (event) >= watch->next
        && in_range (key, watch->key, watch->end))
      json_array_append (events, event);
    g_free (key);
  }
  watch->next = MAX (watch->next, store.revision + 1);
  if (json_array_size (events) > 0)
    watch_append (watch, "events", events);
  else
    json_decref (events);
}

/*
 * Returns the next part of the response to a watch; blocks until there is one
 * or the watch ends.
 */
static ssize_t
watch_read (void *data, uint64_t position G_GNUC_UNUSED, char *buffer,
            size_t max)
{
  Watch *watch = data;
  struct pollfd closed = { watch->fd, POLLRDHUP, 0 };
  ssize_t len = MHD_CONTENT_READER_END_WITH_ERROR;

  pthread_mutex_lock (&store.lock);
  while (store.fault != FAULT_DOWN && poll (&closed, 1, 0) == 0)
    {
      if (store.fault != FAULT_STALL && watch->pending->len == 0)
        watch_collect (watch);
      if (watch->pending->len > 0)
        {
          len = (ssize_t)MIN (max, watch->pending->len);
          memcpy (buffer, watch->pending->str, (size_t)len);
          g_string_erase (watch->pending, 0, len);
          break;
        }
      pthread_cond_wait (&store.changed, &store.lock);
    }
  pthread_mutex_unlock (&store.lock);
  return len;
}

static void
watch_free (void *data)
{
  Watch *watch = data;

  g_free (watch->key);
  g_free (watch->end);
  g_string_free (watch->pending, TRUE);
  g_free (watch);
}

static enum MHD_Result
start_watch (struct MHD_Connection *connection, const json_t *request)
{
  const json_t *create = json_object_get (request, "create_request");
  Watch *watch = g_new0 (Watch, 1);
  struct MHD_Response *response;
  enum MHD_Result result;

  watch->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  watch->key = get_base64 (create, "key");
  watch->end = get_base64 (create, "range_end");
  watch->next = get_number (create, "start_revision");
  if (watch->next == 0)
    watch->next = store.revision + 1;
  watch->pending = g_string_new (NULL);
  watch_append (watch, "created", json_true ());
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 4096,
                                                watch_read, watch, watch_free);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond (struct MHD_Connection *connection, guint status, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  json_decref (answer);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static const struct
{
  const char *url;
  json_t *(*func) (const json_t *request); /* NULL: watch */
} routes[] = {
  { "/v3/kv/range", do_range },
  { "/v3/kv/put", do_put },
  { "/v3/kv/txn", do_txn },
  { "/v3/kv/compaction", do_compact },
  { "/v3/lease/grant", do_lease_grant },
  { "/v3/lease/keepalive", do_lease_keepalive },
  { "/v3/watch", NULL },
};

/* Counts a call; its kind is the last segment of the URL. */
static void
count_call (const char *url)
{
  const char *kind = strrchr (url, '/') + 1;
  json_int_t count = json_integer_value (json_object_get (store.calls, kind));

  json_object_set_new (store.calls, kind, json_integer (count + 1));
}

/* Returns the fault for this call; blocks while the fault is a stall. */
static Fault
consume_fault (void)
{
  Fault fault = store.fault;

  if (fault != FAULT_STALL && store.fault_calls_left > 0
      && --store.fault_calls_left == 0)
    store.fault = FAULT_NONE;
  while (store.fault == FAULT_STALL)
    pthread_cond_wait (&store.changed, &store.lock);
  return fault == FAULT_STALL ? store.fault : fault;
}

static enum MHD_Result
serve_store (struct MHD_Connection *connection, guint route,
             const json_t *request)
{
  Fault fault;
  json_t *answer;

  count_call (routes[route].url);
  fault = consume_fault ();
  if (fault == FAULT_DOWN)
    return MHD_NO;
  if (routes[route].func == NULL)
    return start_watch (connection, request);
  answer = routes[route].func (request);
  if (fault == FAULT_LOSE_REPLIES)
    {
      json_decref (answer);
      return MHD_NO;
    }
  if (answer == NULL)
    return respond (connection, MHD_HTTP_NOT_FOUND,
                    json_pack ("{s:s}", "error", "refused"));
  return respond (connection, MHD_HTTP_OK, answer);
}

static gboolean
set_fault (const json_t *request)
{
  const char *mode = json_string_value (json_object_get (request, "mode"));

  for (guint i = 0; i < FAULT_COUNT; i++)
    if (g_strcmp0 (mode, fault_names[i]) == 0)
      {
        store.fault = (Fault)i;
        store.fault_calls_left
            = json_integer_value (json_object_get (request, "count"));
        pthread_cond_broadcast (&store.changed);
        return TRUE;
      }
  return FALSE;
}

static enum MHD_Result
serve_control (struct MHD_Connection *connection, const char *url,
               json_t *request)
{
  if (strcmp (url, "/vms") == 0)
    {
      count_call (url);
      return respond (connection, MHD_HTTP_OK,
                      json_pack ("{s:O}", "vms", store.vms));
    }
  if (strcmp (url, "/standin/calls") == 0)
    return respond (connection, MHD_HTTP_OK, json_incref (store.calls));
  if (strcmp (url, "/standin/fault") == 0 && set_fault (request))
    return respond (connection, MHD_HTTP_OK, json_object ());
  if (strcmp (url, "/standin/vms") == 0
      && json_is_array (json_object_get (request, "vms")))
    {
      json_decref (store.vms);
      store.vms = json_incref (json_object_get (request, "vms"));
      return respond (connection, MHD_HTTP_OK, json_object ());
    }
  return respond (connection, MHD_HTTP_BAD_REQUEST,
                  json_pack ("{s:s}", "error", "unknown request"));
}

static enum MHD_Result
on_request (void *data G_GNUC_UNUSED, struct MHD_Connection *connection,
            const char *url, const char *method G_GNUC_UNUSED,
            const char *version G_GNUC_UNUSED, const char *upload,
            size_t *upload_len, void **context)
{
  GString *body = *context;
  enum MHD_Result result;
  json_t *request;
  guint route = 0;

  if (body == NULL)
    {
      *context = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      g_string_append_len (body, upload, (gssize)*upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  request = json_loads (body->str, 0, NULL);
  while (route < G_N_ELEMENTS (routes) && strcmp (url, routes[route].url) != 0)
    route++;
  pthread_mutex_lock (&store.lock);
  if (route < G_N_ELEMENTS (routes))
    result = serve_store (connection, route, request);
  else
    result = serve_control (connection, url, request);
  pthread_mutex_unlock (&store.lock);
  json_decref (request);
  return result;
}

static void
on_completed (void *data G_GNUC_UNUSED,
              struct MHD_Connection *connection G_GNUC_UNUSED, void **context,
              enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
  if (*context != NULL)
    g_string_free (*context, TRUE);
}

int
main (int argc, char **argv)
{
  const struct timespec check_interval = { 0, CHECK_INTERVAL_NS };
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct MHD_Daemon *server;

  prctl (PR_SET_PDEATHSIG, SIGTERM);
  if (argc == 3 && strcmp (argv[1], "--port") == 0)
    address.sin_port = htons ((guint16)g_ascii_strtoull (argv[2], NULL, 10));
  store.keys = json_object ();
  store.changes = json_array ();
  store.leases = json_object ();
  store.vms = json_array ();
  store.calls = json_object ();
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
      NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
  if (server == NULL)
    g_error ("cannot listen on the port");
  printf ("port %u\n",
          MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port);
  fflush (stdout);
  for (;;) /* until terminated by a signal */
    {
      nanosleep (&check_interval, NULL);
      pthread_mutex_lock (&store.lock);
      expire_leases ();
      pthread_cond_broadcast (&store.changed); /* check closed watches */
      pthread_mutex_unlock (&store.lock);
    }
}
