#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Segments of an Ethernet link; those of the loopback device are 40 times as
   large, and so are the kernel's buffers for them. */
#define ETHERNET_SEGMENT 1448
#define MAX_ITEMS 256
#define MAX_EVENTS 4096
#define MAX_SESSION_NAMES 1024
#define PAGE_BYTES 1000000
#define PAGE_ITEMS 500
#define STORE_DELAY_US 4000
#define HEARTBEAT_MS 1200
#define HISTORY_S 20
#define SLOTS 3
#define MAX_CONNECTIONS 22
#define NODE_DESCRIPTORS 4300

static struct
{
  char folder[256];
  char temporary[64];
  char program[256];
  char network[24]; /* first three numbers of all addresses */
  FILE *record;
  pthread_mutex_t record_lock;
  bool trouble;
  int n_nodes;
  pid_t pids[STAND_MAX_NODES];
} stand;

/* --- time and records ------------------------------------------------- */

static double
clock_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
stand_now (void)
{
  static double start;

  if (start == 0)
    start = clock_s ();
  return clock_s () - start;
}

void
stand_sleep_until (double seconds)
{
  double left = seconds - stand_now ();

  if (left > 0)
    usleep ((useconds_t)(left * 1e6));
}

void
stand_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&stand.record_lock);
  va_start (args, format);
  fprintf (stand.record, "%8.3f ", stand_now ());
  vfprintf (stand.record, format, args);
  fputc ('\n', stand.record);
  fflush (stand.record);
  va_end (args);
  pthread_mutex_unlock (&stand.record_lock);
}

void
stand_fail (const char *reason)
{
  fprintf (stderr, "cannot run: %s\n", reason);
  if (stand.record != NULL)
    stand_record ("cannot run: %s", reason);
  stand_stop ();
  exit (2);
}

bool
stand_has_trouble (void)
{
  return stand.trouble;
}

/* --- sockets ---------------------------------------------------------- */

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address = { 0 };

  address.sin_family = AF_INET;
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
listen_on (const char *ip, int *port)
{
  struct sockaddr_in address = address_of (ip, *port);
  socklen_t size = sizeof address;
  int yes = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    stand_fail ("an address is in use");
  *port = ntohs (address.sin_port);
  return fd;
}

static bool
write_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, data, size, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      data += n;
      size -= (size_t)n;
    }
  return true;
}

typedef struct
{
  char *data;
  size_t len;
  size_t size;
} Text;

static void
text_add (Text *text, const char *data, size_t len)
{
  if (text->len + len + 1 > text->size)
    {
      text->size = 2 * (text->len + len + 1);
      text->data = realloc (text->data, text->size);
    }
  memcpy (text->data + text->len, data, len);
  text->len += len;
  text->data[text->len] = '\0';
}

static void
text_print (Text *text, const char *format, ...)
{
  va_list args;
  char *line;
  int n;

  va_start (args, format);
  n = vasprintf (&line, format, args);
  va_end (args);
  text_add (text, line, (size_t)n);
  free (line);
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    stand_fail ("no thread");
  pthread_attr_destroy (&attributes);
}

/* --- the platform's store --------------------------------------------- */

typedef struct
{
  char key[201];
  char *value; /* base64; NULL: removed */
  uint64_t revision;
  uint64_t created;
  uint64_t lease;
} Item;

typedef struct
{
  Item item;
  double at;
} Event;

typedef struct
{
  uint64_t id;
  double ttl_s;
  double ends;
} Lease;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  Item items[MAX_ITEMS];
  int n_items;
  Event events[MAX_EVENTS];
  int n_events;
  Lease leases[64];
  int n_leases;
  uint64_t revision;
  uint64_t last_lease;
  StandPath paths[STAND_MAX_NODES];
  int ports[STAND_MAX_NODES];
} store = { .revision = 1, .last_lease = 7000 };

static char *
base64 (const char *data, size_t len)
{
  static const char letters[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  char *out = malloc ((len + 2) / 3 * 4 + 1);
  size_t n = 0;

  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)data[i] << 16;

      if (i + 1 < len)
        bits |= (uint32_t)(unsigned char)data[i + 1] << 8;
      if (i + 2 < len)
        bits |= (unsigned char)data[i + 2];
      out[n++] = letters[bits >> 18 & 63];
      out[n++] = letters[bits >> 12 & 63];
      out[n++] = i + 1 < len ? letters[bits >> 6 & 63] : '=';
      out[n++] = i + 2 < len ? letters[bits & 63] : '=';
    }
  out[n] = '\0';
  return out;
}

static Item *
store_find (const char *key)
{
  for (int i = 0; i < store.n_items; i++)
    if (strcmp (store.items[i].key, key) == 0)
      return &store.items[i];
  return NULL;
}

static int
store_compare (const void *a, const void *b)
{
  return strcmp (((const Item *)a)->key, ((const Item *)b)->key);
}

/* Sets or, with @a value NULL, removes a key; takes ownership of @a value. */
static void
store_set (const char *key, char *value, uint64_t lease)
{
  Item *item = store_find (key);
  Event *event;

  if (store.n_events == MAX_EVENTS)
    stand_fail ("the store's history is full");
  if (item == NULL && store.n_items == MAX_ITEMS)
    stand_fail ("the store is full");
  event = &store.events[store.n_events++];
  memset (event, 0, sizeof *event);
  snprintf (event->item.key, sizeof event->item.key, "%s", key);
  event->item.revision = store.revision;
  event->at = stand_now ();
  if (value == NULL)
    {
      if (item != NULL)
        *item = store.items[--store.n_items];
    }
  else
    {
      if (item == NULL)
        {
          item = &store.items[store.n_items++];
          memset (item, 0, sizeof *item);
          snprintf (item->key, sizeof item->key, "%s", key);
          item->created = store.revision;
        }
      /* The value stays in the history. */
      item->value = value;
      item->revision = store.revision;
      item->lease = lease;
      event->item = *item;
    }
  qsort (store.items, (size_t)store.n_items, sizeof *store.items,
         store_compare);
  pthread_cond_broadcast (&store.changed);
}

static Lease *
store_lease (uint64_t id)
{
  for (int i = 0; i < store.n_leases; i++)
    if (store.leases[i].id == id)
      return &store.leases[i];
  return NULL;
}

static void
store_end_lease (Lease *lease)
{
  uint64_t id = lease->id;

  *lease = store.leases[--store.n_leases];
  for (int i = 0; i < store.n_items; i++)
    if (store.items[i].lease == id)
      {
        char key[201];

        snprintf (key, sizeof key, "%s", store.items[i].key);
        store.revision++;
        store_set (key, NULL, 0);
        i = -1;
      }
}

static void *
store_expire (void *data)
{
  (void)data;
  while (true)
    {
      usleep (20000);
      pthread_mutex_lock (&store.lock);
      for (int i = 0; i < store.n_leases; i++)
        if (stand_now () >= store.leases[i].ends)
          {
            store_end_lease (&store.leases[i]);
            i = -1;
          }
      pthread_mutex_unlock (&store.lock);
    }
  return NULL;
}

static void
store_print_item (Text *out, const Item *item)
{
  if (item->value == NULL)
    {
      text_print (out, "{\"key\":\"%s\",\"revision\":%lu,\"deleted\":true}",
                  item->key, item->revision);
      return;
    }
  text_print (out, "{\"key\":\"%s\",\"value\":\"", item->key);
  text_add (out, item->value, strlen (item->value));
  text_print (out, "\",\"revision\":%lu,\"created\":%lu,\"lease\":%lu}",
              item->revision, item->created, item->lease);
}

/* Copies a field of the query, with its escapes decoded. */
static bool
query_field (const char *url, const char *name, char *out, size_t size)
{
  const char *at = strchr (url, '?');
  size_t n = 0;

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, strlen (name)) == 0 && at[strlen (name)] == '=')
        {
          at += strlen (name) + 1;
          while (*at != '\0' && *at != '&' && n + 1 < size)
            {
              unsigned int code;

              if (*at == '%' && sscanf (at + 1, "%2x", &code) == 1)
                {
                  out[n++] = (char)code;
                  at += 3;
                }
              else
                out[n++] = *at++;
            }
          out[n] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  out[0] = '\0';
  return false;
}

static int
store_range (const char *url, Text *out)
{
  char prefix[256];
  char after[256];
  bool more = false;
  int n = 0;

  query_field (url, "pathPrefix", prefix, sizeof prefix);
  query_field (url, "after", after, sizeof after);
  text_print (out, "{\"items\":[");
  for (int i = 0; i < store.n_items && !more; i++)
    {
      const Item *item = &store.items[i];

      if (strncmp (item->key, prefix, strlen (prefix)) != 0
          || strcmp (item->key, after) <= 0)
        continue;
      if (n > 0 && (n == PAGE_ITEMS || out->len >= PAGE_BYTES))
        {
          more = true;
          continue;
        }
      if (n++ > 0)
        text_print (out, ",");
      store_print_item (out, item);
    }
  text_print (out, "],\"hasMore\":%s,\"at\":%lu}", more ? "true" : "false",
              store.revision);
  return 200;
}

static int
store_watch (const char *url, Text *out)
{
  char prefix[256];
  char number[32];
  uint64_t after;
  double until;
  double compacted = stand_now () - HISTORY_S;
  uint64_t at;
  int n = 0;

  query_field (url, "pathPrefix", prefix, sizeof prefix);
  query_field (url, "after", number, sizeof number);
  after = strtoull (number, NULL, 10);
  query_field (url, "waitMs", number, sizeof number);
  until = stand_now () + (double)strtoull (number, NULL, 10) / 1000;
  for (int i = 0; i < store.n_events; i++)
    if (store.events[i].item.revision > after && store.events[i].at < compacted)
      return 410;
  text_print (out, "{\"events\":[");
  while (true)
    {
      struct timespec wake;

      at = store.revision;
      for (int i = 0; i < store.n_events; i++)
        {
          const Item *item = &store.events[i].item;

          if (item->revision <= after
              || strncmp (item->key, prefix, strlen (prefix)) != 0)
            continue;
          if (n++ > 0)
            text_print (out, ",");
          store_print_item (out, item);
        }
      if (n > 0 || stand_now () >= until)
        break;
      clock_gettime (CLOCK_REALTIME, &wake);
      wake.tv_nsec += 20000000;
      if (wake.tv_nsec >= 1000000000)
        {
          wake.tv_nsec -= 1000000000;
          wake.tv_sec++;
        }
      pthread_cond_timedwait (&store.changed, &store.lock, &wake);
    }
  text_print (out, "],\"at\":%lu}", at);
  return 200;
}

static int
store_txn (const char *body, Text *out)
{
  json_t *root = json_loads (body, 0, NULL);
  json_t *row;
  size_t i;
  bool holds = true;

  json_array_foreach (json_object_get (root, "precondition"), i, row)
  {
    const Item *item
        = store_find (json_string_value (json_object_get (row, "key")));
    uint64_t wanted
        = (uint64_t)json_integer_value (json_object_get (row, "revision"));

    holds = holds && (item != NULL ? item->revision : 0) == wanted;
  }
  if (!holds)
    {
      json_decref (root);
      text_print (out, "{\"items\":[]}");
      return 412;
    }
  json_array_foreach (json_object_get (root, "writes"), i, row)
  {
    uint64_t lease
        = (uint64_t)json_integer_value (json_object_get (row, "lease"));

    if (lease != 0 && store_lease (lease) == NULL)
      {
        json_decref (root);
        text_print (out, "{}");
        return 404;
      }
  }
  store.revision++;
  json_array_foreach (json_object_get (root, "writes"), i, row)
      store_set (json_string_value (json_object_get (row, "key")),
                 strdup (json_string_value (json_object_get (row, "value"))),
                 (uint64_t)json_integer_value (json_object_get (row, "lease")));
  json_array_foreach (json_object_get (root, "remove"), i, row)
  {
    if (store_find (json_string_value (row)) != NULL)
      store_set (json_string_value (row), NULL, 0);
  }
  text_print (out, "{\"revision\":%lu}", store.revision);
  json_decref (root);
  return 200;
}

static int
store_grant (const char *body, Text *out)
{
  json_t *root = json_loads (body, 0, NULL);
  json_int_t ttl_ms = json_integer_value (json_object_get (root, "ttlMs"));
  Lease *lease;

  json_decref (root);
  if (store.n_leases == 64)
    stand_fail ("too many leases");
  lease = &store.leases[store.n_leases++];
  lease->id = ++store.last_lease;
  lease->ttl_s = (double)ttl_ms / 1000;
  lease->ends = stand_now () + lease->ttl_s;
  text_print (out, "{\"lease\":%lu,\"ttlMs\":%lld}", lease->id,
              (long long)ttl_ms);
  return 200;
}

static int
store_keep (const char *url, Text *out)
{
  Lease *lease = store_lease (strtoull (strrchr (url, '/') + 1, NULL, 10));

  if (lease == NULL)
    return 404;
  lease->ends = stand_now () + lease->ttl_s;
  text_print (out, "{\"ttlMs\":%d}", (int)(lease->ttl_s * 1000));
  return 200;
}

static int
store_end (const char *url, Text *out)
{
  Lease *lease = store_lease (strtoull (strrchr (url, '/') + 1, NULL, 10));

  if (lease == NULL)
    return 404;
  store_end_lease (lease);
  text_print (out, "{}");
  return 200;
}

static int database_promote (const char *body);

static int
store_call (const char *method, const char *url, const char *body, Text *out)
{
  int status;

  if (strcmp (url, "/promote") == 0)
    {
      text_print (out, "{}");
      return database_promote (body);
    }
  pthread_mutex_lock (&store.lock);
  if (strncmp (url, "/kv-range", 9) == 0)
    status = store_range (url, out);
  else if (strncmp (url, "/kv-watch", 9) == 0)
    status = store_watch (url, out);
  else if (strcmp (url, "/kv-txn") == 0)
    status = store_txn (body, out);
  else if (strcmp (url, "/kv-lease") == 0)
    status = store_grant (body, out);
  else if (strncmp (url, "/kv-keep/", 9) == 0)
    status = store_keep (url, out);
  else if (strcmp (method, "DELETE") == 0)
    status = store_end (url, out);
  else
    status = 404;
  pthread_mutex_unlock (&store.lock);
  return status;
}

typedef struct
{
  int fd;
  int node;
} StoreConnection;

/* One call a connection, or several in turn. */
static void *
store_serve (void *data)
{
  StoreConnection connection = *(StoreConnection *)data;
  Text in = { 0 };
  char buffer[16384];

  free (data);
  while (true)
    {
      const char *end = in.data != NULL ? strstr (in.data, "\r\n\r\n") : NULL;
      const char *length;
      size_t head;
      size_t body = 0;
      char method[8];
      char url[512];
      Text out = { 0 };
      int status;
      ssize_t n;

      if (end != NULL)
        {
          head = (size_t)(end - in.data) + 4;
          length = strcasestr (in.data, "\r\nContent-Length:");
          if (length != NULL && length < end)
            body = strtoull (length + 17, NULL, 10);
        }
      if (end == NULL || in.len < head + body)
        {
          n = recv (connection.fd, buffer, sizeof buffer, 0);
          if (n <= 0)
            break;
          text_add (&in, buffer, (size_t)n);
          continue;
        }
      if (sscanf (in.data, "%7s %511s", method, url) != 2)
        break;
      usleep (STORE_DELAY_US);
      /* A partitioned node's calls do not arrive. */
      if (store.paths[connection.node] == STAND_PATH_SILENT)
        while (recv (connection.fd, buffer, sizeof buffer, 0) > 0)
          ;
      if (store.paths[connection.node] == STAND_PATH_SILENT)
        break;
      status = store_call (method, url, in.data + head, &out);
      if (store.paths[connection.node] != STAND_PATH_SILENT)
        {
          int size = snprintf (buffer, sizeof buffer,
                               "HTTP/1.1 %d -\r\nContent-Type: "
                               "application/json\r\nContent-Length: %zu\r\n"
                               "\r\n",
                               status, out.len);

          write_all (connection.fd, buffer, (size_t)size);
          write_all (connection.fd, out.data != NULL ? out.data : "", out.len);
        }
      free (out.data);
      memmove (in.data, in.data + head + body, in.len - head - body + 1);
      in.len -= head + body;
    }
  free (in.data);
  close (connection.fd);
  return NULL;
}

typedef struct
{
  int listener;
  int node;
} StoreListener;

static void *
store_accept (void *data)
{
  StoreListener listener = *(StoreListener *)data;

  free (data);
  while (true)
    {
      int fd = accept4 (listener.listener, NULL, NULL, SOCK_CLOEXEC);
      StoreConnection *connection;

      if (fd < 0)
        continue;
      connection = malloc (sizeof *connection);
      connection->fd = fd;
      connection->node = listener.node;
      start_thread (store_serve, connection);
    }
  return NULL;
}

uint64_t
stand_store_put (const char *key, const char *value)
{
  uint64_t revision;

  pthread_mutex_lock (&store.lock);
  revision = ++store.revision;
  store_set (key, base64 (value, strlen (value)), 0);
  pthread_mutex_unlock (&store.lock);
  return revision;
}

void
stand_store_path (int node, StandPath path)
{
  store.paths[node] = path;
  stand_record ("path between node %d and the store: %s", node,
                path == STAND_PATH_OPEN ? "open" : "silent");
}

/* --- databases -------------------------------------------------------- */

typedef struct
{
  char id[16];
  int index;
  int listener;
  int port;
  int n_connections;
  bool primary;
  bool draining;
  double last_run_s;
  int sequence;
  uint64_t term;
  uint64_t position;
} Database;

static struct
{
  pthread_mutex_t lock;
  Database all[STAND_DATABASES];
  int slots[STAND_DATABASES];
  char large_item[32];
  size_t row_size;
  int row_count;
  struct
  {
    char id[40];
    int runs;
  } runs[65536];
  int n_runs;
  uint64_t proofs;
} databases = { .lock = PTHREAD_MUTEX_INITIALIZER };

static const char *const database_zones[] = { "east", "west", "north" };

static void
database_register (Database *database)
{
  char key[64];
  char value[512];

  snprintf (key, sizeof key, "servers/%s", database->id);
  snprintf (value, sizeof value,
            "{\"service\":\"" STAND_SERVICE "\",\"address\":\"%s.20:%d\","
            "\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,\"state\":"
            "\"%s\",\"coldMs\":0,\"dbRole\":\"%s\",\"sequence\":%d,"
            "\"born\":1790000000000}",
            stand.network, database->port, database_zones[database->index],
            SLOTS, database->draining ? "draining" : "ready",
            database->primary ? "primary" : "replica", ++database->sequence);
  stand_store_put (key, value);
}

void
stand_database_drain (int database)
{
  databases.all[database].draining = true;
  database_register (&databases.all[database]);
  stand_record ("%s reports draining; the store has accepted it",
                databases.all[database].id);
}

void
stand_database_overwrite (int database)
{
  const Database *written = &databases.all[database];
  char key[64];
  char value[512];

  snprintf (key, sizeof key, "servers/%s", written->id);
  snprintf (value, sizeof value,
            "{\"service\":\"" STAND_SERVICE "\",\"address\":\"%s.20:%d\","
            "\"zone\":\"%s\",\"capacity\":%d,\"state\":\"ready\","
            "\"dbRole\":\"%s\"}",
            stand.network, written->port, database_zones[written->index], SLOTS,
            written->primary ? "primary" : "replica");
  stand_store_put (key, value);
  stand_record ("another writer: entry %s without born, version, coldMs and "
                "sequence",
                written->id);
}

double
stand_database_last_run (int database)
{
  return databases.all[database].last_run_s;
}

static void *
database_beat (void *data)
{
  while (true)
    {
      database_register (data);
      usleep (HEARTBEAT_MS * 1000);
    }
  return NULL;
}

static Database *
database_primary (void)
{
  Database *best = &databases.all[0];

  for (int i = 0; i < STAND_DATABASES; i++)
    if (databases.all[i].primary && databases.all[i].term >= best->term)
      best = &databases.all[i];
  return best;
}

static int
database_promote (const char *body)
{
  json_t *root = json_loads (body, 0, NULL);
  const char *id = json_string_value (json_object_get (root, "id"));
  int status = 409;

  usleep (300000);
  pthread_mutex_lock (&databases.lock);
  for (int i = 0; id != NULL && i < STAND_DATABASES; i++)
    if (strcmp (databases.all[i].id, id) == 0)
      {
        uint64_t term = database_primary ()->term;

        if (!databases.all[i].primary)
          databases.all[i].term = term + 1;
        for (int j = 0; j < STAND_DATABASES; j++)
          databases.all[j].primary = j == i;
        status = 200;
      }
  pthread_mutex_unlock (&databases.lock);
  json_decref (root);
  return status;
}

static void
database_note_run (const char *id)
{
  if (strcmp (id, "-") == 0 || databases.n_runs == 65536)
    return;
  snprintf (databases.runs[databases.n_runs].id, sizeof databases.runs[0].id,
            "%s", id);
  databases.runs[databases.n_runs++].runs = 1;
}

int
stand_database_runs (const char *id)
{
  int n = 0;

  pthread_mutex_lock (&databases.lock);
  for (int i = 0; i < databases.n_runs; i++)
    n += strcmp (databases.runs[i].id, id) == 0;
  pthread_mutex_unlock (&databases.lock);
  return n;
}

void
stand_database_rows (const char *item, size_t size, int count)
{
  snprintf (databases.large_item, sizeof databases.large_item, "%s", item);
  databases.row_size = size;
  databases.row_count = count;
}

typedef struct
{
  Database *database;
  int fd;
  char state;
  bool read_only;
  bool wrote;
  int n_names;
  struct
  {
    char name[40];
    bool writes;
  } names[MAX_SESSION_NAMES];
} Session;

static void
session_complete (Text *out)
{
  databases.proofs++;
  text_print (out, "COMPLETE 7.%lx.c.%lx\r\n", databases.proofs,
              databases.proofs * 2654435761);
}

static void
session_ready (Session *session, Text *out)
{
  text_print (out, "READY %c %lu.%lu\r\n", session->state,
              database_primary ()->term, session->database->position);
}

static void
session_rows (const char *item, Text *out)
{
  if (strcmp (item, databases.large_item) != 0)
    {
      text_print (out, "DATAROW value-of-%s\r\n", item);
      return;
    }
  for (int i = 0; i < databases.row_count; i++)
    {
      char *row = malloc (databases.row_size + 1);

      memset (row, 'a' + i % 26, databases.row_size);
      text_add (out, "DATAROW ", 8);
      text_add (out, row, databases.row_size);
      text_add (out, "\r\n", 2);
      free (row);
    }
}

static void
session_commit (Session *session)
{
  database_primary ()->position++;
  for (int i = 0; i < STAND_DATABASES; i++)
    databases.all[i].position = database_primary ()->position;
  session->wrote = false;
}

/* Runs a read or write that holds a slot; answers its rows and proof. */
static void
session_run (Session *session, const char *id, bool writes, const char *item,
             Text *out)
{
  if (writes && (!session->database->primary || session->read_only))
    {
      if (session->state == 'T')
        session->state = 'E';
      text_print (out, "ERROR READONLY %s\r\n", session->database->id);
      return;
    }
  pthread_mutex_unlock (&databases.lock);
  usleep (6000);
  pthread_mutex_lock (&databases.lock);
  database_note_run (id);
  if (strcmp (id, "-") != 0)
    session->database->last_run_s = stand_now ();
  if (writes)
    {
      session->wrote = true;
      if (session->state == 'I')
        session_commit (session);
    }
  else
    session_rows (item, out);
  session_complete (out);
}

static void
session_prepare (Session *session, const char *rest, Text *out)
{
  char name[40];
  char access[8];
  int i = 0;

  if (sscanf (rest, "%39s %7s", name, access) != 2)
    {
      text_print (out, "ERROR MALFORMED prepare\r\n");
      return;
    }
  while (i < session->n_names && strcmp (session->names[i].name, name) != 0)
    i++;
  if (i == session->n_names && i < MAX_SESSION_NAMES)
    session->n_names++;
  snprintf (session->names[i].name, sizeof session->names[i].name, "%s", name);
  session->names[i].writes = strcmp (access, "WRITE") == 0;
  text_print (out, "COMPLETE -\r\n");
}

static void
session_execute (Session *session, const char *id, const char *rest, Text *out)
{
  char name[40] = "";
  char item[64] = "";

  sscanf (rest, "%39s %63s", name, item);
  for (int i = 0; i < session->n_names; i++)
    if (strcmp (session->names[i].name, name) == 0)
      {
        session_run (session, id, session->names[i].writes, item, out);
        return;
      }
  text_print (out, "ERROR NOSTMT %s\r\n", name);
}

static void
session_begin (Session *session, bool read_only, Text *out)
{
  if (!read_only && !session->database->primary)
    {
      text_print (out, "ERROR READONLY %s\r\n", session->database->id);
      return;
    }
  session->state = 'T';
  session->read_only = read_only;
  session->wrote = false;
  text_print (out, "COMPLETE -\r\n");
}

static void
session_end (Session *session, const char *id, bool commit, Text *out)
{
  if (commit && session->state == 'E')
    text_print (out, "ERROR ABORTED the transaction had failed\r\n");
  else if (commit)
    {
      database_note_run (id);
      if (session->wrote)
        session_commit (session);
      session_complete (out);
    }
  else
    text_print (out, "COMPLETE -\r\n");
  session->state = 'I';
  session->read_only = false;
}

static void
session_status (const Database *database, Text *out)
{
  text_print (out, "DATAROW %s %lu %lu.%lu 0 0 0 %d\r\nCOMPLETE -\r\n",
              database->primary ? "primary" : "replica",
              database_primary ()->term, database_primary ()->term,
              database->position, database->n_connections);
}

static bool
session_is (const char *text, const char *word)
{
  return strncmp (text, word, strlen (word)) == 0
         && (text[strlen (word)] == ' ' || text[strlen (word)] == '\0');
}

static void
session_query (Session *session, const char *id, const char *text, Text *out)
{
  uint64_t term;
  uint64_t position;
  int skipped = 0;

  if (sscanf (text, "AFTER %lu.%lu %n", &term, &position, &skipped) == 2)
    {
      text += skipped;
      if (term > database_primary ()->term
          || position > session->database->position)
        {
          text_print (out, "ERROR LAGGING %s\r\n", session->database->id);
          return;
        }
    }
  if (session_is (text, "READ"))
    session_run (session, id, false, text + 5, out);
  else if (session_is (text, "WRITE"))
    session_run (session, id, true, text + 6, out);
  else if (session_is (text, "EXECUTE"))
    session_execute (session, id, text + 8, out);
  else if (session_is (text, "PREPARE"))
    session_prepare (session, text + 8, out);
  else if (session_is (text, "BEGIN"))
    session_begin (session, strcmp (text, "BEGIN READ") == 0, out);
  else if (session_is (text, "COMMIT"))
    session_end (session, id, true, out);
  else if (session_is (text, "ROLLBACK"))
    session_end (session, id, false, out);
  else if (session_is (text, "STATUS"))
    session_status (session->database, out);
  else if (session_is (text, "STEPDOWN"))
    {
      session->database->primary = false;
      session_status (session->database, out);
    }
  else if (session_is (text, "RESET"))
    {
      session->n_names = 0;
      text_print (out, "COMPLETE -\r\n");
    }
  else if (session_is (text, "SET") || session_is (text, "DEALLOCATE"))
    text_print (out, "COMPLETE -\r\n");
  else
    text_print (out, "ERROR MALFORMED %.20s\r\n", text);
}

/* @return false if the session ends */
static bool
session_message (Session *session, char *line, Text *out)
{
  Database *database = session->database;
  char service[80];
  char id[80] = "";
  char *text;

  if (session_is (line, "STARTUP"))
    {
      if (sscanf (line, "STARTUP %79s %*s %79s", service, id) < 1
          || strcmp (service, STAND_SERVICE) != 0
          || (id[0] != '\0' && strcmp (id, database->id) != 0))
        {
          text_print (out, "ERROR MOVED %s\r\n", database->id);
          return false;
        }
      if (database->n_connections > MAX_CONNECTIONS)
        {
          text_print (out, "ERROR TOOMANYCON %s\r\n", database->id);
          return false;
        }
      session_ready (session, out);
      return true;
    }
  if (!session_is (line, "QUERY"))
    return false;
  line += strlen ("QUERY ");
  text = strchr (line, ' ');
  if (text == NULL)
    return false;
  *text++ = '\0';
  session_query (session, line, text, out);
  session_ready (session, out);
  return true;
}

static void *
database_serve (void *data)
{
  Session *session = data;
  Text in = { 0 };
  size_t used = 0;
  char buffer[65536];
  bool open = true;

  pthread_mutex_lock (&databases.lock);
  session->database->n_connections++;
  pthread_mutex_unlock (&databases.lock);
  while (open)
    {
      ssize_t n = recv (session->fd, buffer, sizeof buffer, 0);
      char *end;

      if (n <= 0)
        break;
      text_add (&in, buffer, (size_t)n);
      while (open
             && (end = memmem (in.data + used, in.len - used, "\r\n", 2))
                    != NULL)
        {
          Text out = { 0 };

          *end = '\0';
          pthread_mutex_lock (&databases.lock);
          open = session_message (session, in.data + used, &out);
          pthread_mutex_unlock (&databases.lock);
          used = (size_t)(end - in.data) + 2;
          if (out.len > 0 && !write_all (session->fd, out.data, out.len))
            open = false;
          free (out.data);
        }
      memmove (in.data, in.data + used, in.len - used + 1);
      in.len -= used;
      used = 0;
    }
  pthread_mutex_lock (&databases.lock);
  session->database->n_connections--;
  pthread_mutex_unlock (&databases.lock);
  close (session->fd);
  free (in.data);
  free (session);
  return NULL;
}

static void *
database_accept (void *data)
{
  Database *database = data;

  while (true)
    {
      int fd = accept4 (database->listener, NULL, NULL, SOCK_CLOEXEC);
      int yes = 1;
      Session *session;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      session = calloc (1, sizeof *session);
      session->database = database;
      session->fd = fd;
      session->state = 'I';
      start_thread (database_serve, session);
    }
  return NULL;
}

/* --- nodes ------------------------------------------------------------ */

static void
node_write_settings (int node, const char *path)
{
  FILE *file = fopen (path, "w");

  if (file == NULL)
    stand_fail ("no settings file");
  fprintf (file,
           "node=front-%d\nrole=proxy\nnodeClass=front\nserves=front\n"
           "ip=%s.%d\nzone=%s\nregion=%s\n"
           "listen.frontend=%s.%d:%d\nlisten.readiness=%s.%d:%d\n"
           "internalPorts=%d,%d\nbootstrap=true\n"
           "limits.cpuShare=1\nlimits.cores=1\nlimits.memoryMb=260\n"
           "limits.maxFds=4300\nheartbeatMs=%d\n"
           "contracts=base,drain,config,cost,recover,sql,platform\n"
           "bounds.contactMs=5000\nbounds.drainMs=7000\nbounds.graceS=6\n"
           "bounds.lossSlackMs=200\nbounds.configApplyMs=3000\n"
           "bounds.skewMaxMs=15000\nbounds.recoverS=12\n"
           "bounds.requireFence=false\nbounds.thawSlackMs=300\n"
           "platform.address=%s.10:%d\nplatform.form=kv\n"
           "platform.writesPerS=400\nplatform.readsPerS=2000\n"
           "platform.historyS=%d\nplatform.valueBytes=1048576\n"
           "platform.ttlMinMs=1000\ncloudApi.address=%s.10:%d\n",
           node, stand.network, 30 + node,
           database_zones[node % STAND_DATABASES],
           database_zones[node % STAND_DATABASES], stand.network, 30 + node,
           STAND_PORT_CLIENTS, stand.network, 30 + node, STAND_PORT_READY,
           STAND_PORT_PEERS, STAND_PORT_PEERS + 15, HEARTBEAT_MS, stand.network,
           store.ports[node], HISTORY_S, stand.network, store.ports[node]);
  fclose (file);
}

/* Sets the limit to @a wanted, or to the highest one that is allowed. */
static rlim_t
limit_descriptors (rlim_t wanted)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max < wanted ? limit.rlim_max : wanted;
  setrlimit (RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

static void
node_start (int node)
{
  char settings[128];
  char log[320];
  pid_t parent = getpid ();

  snprintf (settings, sizeof settings, "%s/node-%d.conf", stand.temporary,
            node);
  snprintf (log, sizeof log, "%s/node-%d.log", stand.temporary, node);
  node_write_settings (node, settings);
  stand.pids[node] = fork ();
  if (stand.pids[node] == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      limit_descriptors (NODE_DESCRIPTORS);
      if (getppid () != parent)
        _exit (127);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("TOUCANSCALE_SETTINGS", settings, 1);
      execl (stand.program, stand.program, (char *)NULL);
      _exit (127);
    }
  if (stand.pids[node] < 0)
    stand_fail ("cannot start a node");
}

pid_t
stand_node_pid (int node)
{
  return stand.pids[node];
}

bool
stand_node_runs (int node)
{
  siginfo_t info = { 0 };

  return stand.pids[node] > 0
         && waitid (P_PID, (id_t)stand.pids[node], &info,
                    WEXITED | WNOHANG | WNOWAIT)
                == 0
         && info.si_pid == 0;
}

static int
node_connect (int node, int port, int receive_bytes)
{
  char ip[64];
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;

  snprintf (ip, sizeof ip, "%s.%d", stand.network, 30 + node);
  address = address_of (ip, port);
  if (receive_bytes > 0)
    {
      int segment = ETHERNET_SEGMENT;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                  sizeof receive_bytes);
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

int
stand_node_ready (int node, double limit_s)
{
  static const char request[] = "GET /ready HTTP/1.1\r\nHost: n\r\n"
                                "Connection: close\r\n\r\n";
  int fd = node_connect (node, STAND_PORT_READY, 0);
  struct pollfd poll_fd = { fd, POLLIN, 0 };
  char buffer[256] = "";
  int status = 0;

  if (fd < 0)
    return 0;
  if (write_all (fd, request, strlen (request))
      && poll (&poll_fd, 1, (int)(limit_s * 1000)) == 1
      && recv (fd, buffer, sizeof buffer - 1, 0) > 0)
    sscanf (buffer, "HTTP/1.1 %d", &status);
  close (fd);
  return status;
}

void
stand_nodes_start (int n)
{
  double until = stand_now () + 30;

  stand.n_nodes = n;
  for (int i = 0; i < n; i++)
    {
      StoreListener *listener = malloc (sizeof *listener);
      char ip[64];

      snprintf (ip, sizeof ip, "%s.10", stand.network);
      listener->listener = listen_on (ip, &store.ports[i]);
      listener->node = i;
      start_thread (store_accept, listener);
    }
  for (int i = 0; i < n; i++)
    node_start (i);
  for (int i = 0; i < n; i++)
    while (stand_node_ready (i, 1) != 200)
      {
        if (stand_now () >= until || !stand_node_runs (i))
          stand_fail ("a node did not become ready");
        usleep (100000);
      }
  stand_record ("%d nodes are ready", n);
}

void
stand_stop (void)
{
  char command[128];

  for (int i = 0; i < stand.n_nodes; i++)
    if (stand.pids[i] > 0)
      {
        kill (stand.pids[i], SIGKILL);
        waitpid (stand.pids[i], NULL, 0);
        stand.pids[i] = 0;
      }
  for (int i = 0; i < stand.n_nodes; i++)
    {
      snprintf (command, sizeof command, "%s/node-%d.conf", stand.temporary, i);
      unlink (command);
      snprintf (command, sizeof command, "%s/node-%d.log", stand.temporary, i);
      if (getenv ("KEEP_LOGS") == NULL)
        unlink (command);
    }
  rmdir (stand.temporary);
}

/* --- clients ---------------------------------------------------------- */

StandRead
stand_client_line (StandClient *client, char *line, size_t size, double until)
{
  while (true)
    {
      char *end = client->used > 0
                      ? memmem (client->in, client->used, "\r\n", 2)
                      : NULL;
      struct pollfd poll_fd = { client->fd, POLLIN, 0 };
      double left = until - stand_now ();
      ssize_t n;

      if (end != NULL)
        {
          size_t len = (size_t)(end - client->in);
          size_t copied = len < size - 1 ? len : size - 1;

          memcpy (line, client->in, copied);
          line[copied] = '\0';
          client->used -= len + 2;
          memmove (client->in, end + 2, client->used);
          return STAND_LINE;
        }
      if (left <= 0 || poll (&poll_fd, 1, (int)(left * 1000) + 1) == 0)
        return STAND_LATE;
      if (client->size - client->used < 65536)
        {
          client->size = 2 * client->size + 65536;
          client->in = realloc (client->in, client->size);
        }
      n = recv (client->fd, client->in + client->used,
                client->size - client->used, 0);
      if (n <= 0)
        return STAND_CLOSED;
      client->used += (size_t)n;
    }
}

bool
stand_client_send (StandClient *client, const char *data, size_t size)
{
  return write_all (client->fd, data, size);
}

bool
stand_client_open (StandClient *client, int node, const char *database,
                   int receive_bytes)
{
  char line[128];
  int n = snprintf (line, sizeof line, "STARTUP %s user\r\n", database);

  memset (client, 0, sizeof *client);
  client->fd = node_connect (node, STAND_PORT_CLIENTS, receive_bytes);
  return client->fd >= 0 && stand_client_send (client, line, (size_t)n)
         && stand_client_line (client, line, sizeof line, stand_now () + 2)
                == STAND_LINE
         && strncmp (line, "READY I", 7) == 0;
}

StandRead
stand_client_query (StandClient *client, const char *id, const char *text,
                    char *end, size_t size, double until)
{
  char head[64];
  char line[256];
  int n = snprintf (head, sizeof head, "QUERY %s ", id);
  StandRead result;

  end[0] = '\0';
  if (!stand_client_send (client, head, (size_t)n)
      || !stand_client_send (client, text, strlen (text))
      || !stand_client_send (client, "\r\n", 2))
    return STAND_CLOSED;
  while ((result = stand_client_line (client, line, sizeof line, until))
         == STAND_LINE)
    {
      if (strncmp (line, "READY ", 6) == 0)
        return STAND_LINE;
      snprintf (end, size, "%s", line);
    }
  return result;
}

void
stand_client_close (StandClient *client)
{
  if (client->fd >= 0)
    close (client->fd);
  free (client->in);
  memset (client, 0, sizeof *client);
  client->fd = -1;
}

/* --- start ------------------------------------------------------------ */

static void
stand_find_network (void)
{
  for (int i = 0; i < 50; i++)
    {
      unsigned int seed = (unsigned int)getpid () * 31 + (unsigned int)i;
      struct sockaddr_in address;
      char ip[64];
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool is_free;

      snprintf (stand.network, sizeof stand.network, "127.%u.%u",
                10 + seed % 200, 1 + seed / 200 % 250);
      snprintf (ip, sizeof ip, "%s.30", stand.network);
      address = address_of (ip, STAND_PORT_CLIENTS);
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return;
    }
  stand_fail ("no free address");
}

static const char stand_config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"signoff\",\"type\":\"primary\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":400,\"priority\":0,"
      "\"service\":\"" STAND_SERVICE "\"},"
      "{\"name\":\"r2\",\"host\":\"review\",\"type\":\"bounded\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":1,"
      "\"service\":\"" STAND_SERVICE "\",\"maxStalenessMs\":1500},"
      "{\"name\":\"r3\",\"host\":\"bond\",\"type\":\"read_your_writes\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":1500,\"priority\":2,"
      "\"service\":\"" STAND_SERVICE "\",\"maxStalenessMs\":2500}],"
      "\"services\":[{\"name\":\"" STAND_SERVICE "\",\"maxConns\":22,"
      "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

void
stand_start (int argc, char **argv)
{
  char path[320];
  const char *folder;
  const char *program;

  signal (SIGPIPE, SIG_IGN);
  stand_now ();
  if (argc != 4
      || (strcmp (argv[3], "trouble") != 0 && strcmp (argv[3], "calm") != 0))
    {
      fprintf (stderr, "usage: %s FOLDER PROGRAM trouble|calm\n", argv[0]);
      exit (2);
    }
  folder = argv[1];
  program = argv[2];
  stand.trouble = strcmp (argv[3], "trouble") == 0;
  pthread_mutex_init (&stand.record_lock, NULL);
  pthread_mutex_init (&store.lock, NULL);
  pthread_cond_init (&store.changed, NULL);
  snprintf (stand.folder, sizeof stand.folder, "%s", folder);
  snprintf (stand.program, sizeof stand.program, "%s", program);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  stand.record = fopen (path, "w");
  if (stand.record == NULL)
    {
      fprintf (stderr, "cannot write %s\n", path);
      exit (2);
    }
  if (limit_descriptors (NODE_DESCRIPTORS) < NODE_DESCRIPTORS)
    stand_fail ("too few descriptors");
  if (access (program, X_OK) != 0)
    stand_fail ("the node's program is not built");
  snprintf (stand.temporary, sizeof stand.temporary, "%s/review-3-XXXXXX",
            P_tmpdir);
  if (mkdtemp (stand.temporary) == NULL)
    stand_fail ("no temporary folder");
  stand_find_network ();
  stand_store_put ("op/config", stand_config);
  start_thread (store_expire, NULL);
  for (int i = 0; i < STAND_DATABASES; i++)
    {
      Database *database = &databases.all[i];
      char ip[64];

      snprintf (database->id, sizeof database->id, "i-db%d", i);
      snprintf (ip, sizeof ip, "%s.20", stand.network);
      database->index = i;
      database->primary = i == 0;
      database->term = i == 0;
      database->position = 100;
      database->listener = listen_on (ip, &database->port);
      start_thread (database_accept, database);
      start_thread (database_beat, database);
    }
}
