#include "support/process-fleet.h"

#include <curl/curl.h>
#include <string.h>
#include <unistd.h>

#define SIZE TOU_PROCESS_FLEET_SIZE

/* Interval between polls of a condition, in microseconds. */
#define POLL_INTERVAL_US 5000

/* Deadline of a request in milliseconds, longer than a failover takes. */
#define DEADLINE_HEADER "X-Toucanscale-Deadline: 30000"

/* A write that is acknowledged and changes no row. */
#define PROBE_BODY                                                             \
  "{\"sql\":\"DELETE FROM record WHERE id=$1\",\"params\":[\"none\"]}"

typedef struct
{
  GString *text;
  char **token;
} Response;

static size_t
on_body (char *data, size_t size, size_t count, void *user_data)
{
  g_string_append_len (((Response *)user_data)->text, data,
                       (gssize)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user_data)
{
  static const char name[] = "x-toucanscale-session:";
  Response *response = user_data;
  gsize len = size * count;

  if (len > sizeof name
      && g_ascii_strncasecmp (data, name, sizeof name - 1) == 0)
    {
      g_free (*response->token);
      *response->token = g_strstrip (
          g_strndup (data + sizeof name - 1, len - sizeof name + 1));
    }
  return len;
}

static struct curl_slist *
add_header (struct curl_slist *headers, const char *name, const char *value)
{
  char *line = value != NULL ? g_strconcat (name, ": ", value, NULL) : NULL;

  if (line != NULL)
    headers = curl_slist_append (headers, line);
  g_free (line);
  return headers;
}

TouProcessReply
tou_process_request (char **token, int port, const char *path, const char *body,
                     const char *key)
{
  CURL *curl = curl_easy_init ();
  Response response = { g_string_new (NULL), token };
  TouProcessReply reply = { 0 };
  char *url = g_strdup_printf ("http://127.0.0.1:%d%s", port, path);
  struct curl_slist *headers = curl_slist_append (NULL, DEADLINE_HEADER);

  headers = add_header (headers, "Authorization", "Bearer operator");
  headers = add_header (headers, "X-Toucanscale-Session", *token);
  headers = add_header (headers, "Idempotency-Key", key);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  if (body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &response);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (curl_easy_perform (curl) == CURLE_OK)
    {
      reply.body = json_loads (response.text->str, 0, NULL);
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply.code);
    }
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_string_free (response.text, TRUE);
  g_free (url);
  return reply;
}

gboolean
tou_process_reply_is_done (const TouProcessReply *reply)
{
  return g_strcmp0 (
             json_string_value (json_object_get (reply->body, "outcome")),
             "done")
         == 0;
}

gboolean
tou_process_fleet_is_ready (const TouProcessFleet *fleet, guint proxy)
{
  char *token = NULL;
  TouProcessReply reply = tou_process_request (
      &token, fleet->operator_port[proxy], "/readyz", NULL, NULL);

  json_decref (reply.body);
  g_free (token);
  return reply.code == 200;
}

/* Starts a program in bin_dir. The name and the arguments in @a arguments, and
 * the optional further ones, are separated by spaces. */
static pid_t
start (const TouProcessFleet *f, const char *arguments,
       const char *extra_arguments)
{
  char *line = g_strconcat (f->options.bin_dir, "/", arguments,
                            extra_arguments != NULL ? " " : NULL,
                            extra_arguments, NULL);
  char **argv = g_strsplit (line, " ", -1);
  pid_t pid = tou_process_start ((const char *const *)argv);

  g_strfreev (argv);
  g_free (line);
  return pid;
}

static pid_t
start_proxy (const TouProcessFleet *f, guint i)
{
  char *arguments = g_strdup_printf (
      "toucanscaled --node=p%u --region=r --failure-domain=d%u"
      " --callers-listen=127.0.0.1:%d --operators-listen=127.0.0.1:%d"
      " --peers-listen=127.0.0.1:%d --store-url=http://127.0.0.1:%d"
      " --seeds=127.0.0.1:%d,127.0.0.1:%d --operator-token=operator"
      " --log-level=error --session-key="
      "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
      i, i, f->client_port[i], f->operator_port[i], f->peer_port[i],
      f->store_port, f->peer_port[(i + 1) % SIZE],
      f->peer_port[(i + 2) % SIZE]);
  pid_t pid = start (f, arguments, f->options.proxy_options);

  g_free (arguments);
  return pid;
}

static pid_t
start_database (const TouProcessFleet *f, guint i)
{
  char *log = f->options.logs ? g_strdup_printf (" --log %s/e%u", f->dir, i)
                              : g_strdup ("");
  char *arguments = g_strdup_printf (
      "standin-database --listen 127.0.0.1:%d --name e%u --slots %u%s",
      f->db_port[i], i, f->options.slots, log);
  pid_t pid = start (f, arguments, f->options.database_options);

  g_free (arguments);
  g_free (log);
  return pid;
}

static char *
group_value (const TouProcessFleet *f)
{
  GString *value = g_string_new (NULL);

  g_string_printf (value,
                   "{\"home_region\":\"r\",\"slots\":%u,"
                   "\"connection_limit\":20,\"endpoints\":[",
                   f->options.slots);
  for (guint i = 0; i < SIZE; i++)
    g_string_append_printf (value,
                            "%s{\"name\":\"e%u\",\"address\":\"127.0.0.1:%d\","
                            "\"region\":\"r\",\"failure_domain\":\"d%u\"}",
                            i > 0 ? "," : "", i, f->db_port[i], i);
  g_string_append (value, "]}");
  return g_string_free (value, FALSE);
}

static gboolean
create_group (const TouProcessFleet *f)
{
  char *value = group_value (f);
  char *arguments = g_strdup_printf (
      "toucanscalectl --url=http://127.0.0.1:%d --token=operator --author=test"
      " --expected-revision=0 config set group " TOU_PROCESS_GROUP,
      f->operator_port[0]);
  pid_t ctl = start (f, arguments, value);

  g_free (arguments);
  g_free (value);
  return tou_process_wait (&ctl) == 0;
}

gboolean
tou_process_fleet_is_running (const TouProcessFleet *f)
{
  gboolean running = tou_process_is_running (f->store);

  for (guint i = 0; i < SIZE; i++)
    {
      running = running && tou_process_is_running (f->db[i]);
      if (f->proxy[i] != 0)
        running = running && tou_process_is_running (f->proxy[i]);
    }
  return running;
}

static gboolean
proxy_serves (const TouProcessFleet *f, guint proxy)
{
  char *token = NULL;
  TouProcessReply reply = tou_process_request (
      &token, f->client_port[proxy],
      "/v1/groups/" TOU_PROCESS_GROUP "/statements", PROBE_BODY, NULL);
  gboolean done = tou_process_reply_is_done (&reply);

  json_decref (reply.body);
  g_free (token);
  return done;
}

/* Waits until each proxy has run a write in the group. */
static gboolean
wait_for_service (const TouProcessFleet *f)
{
  for (guint i = 0; i < f->options.n_proxies; i++)
    while (!proxy_serves (f, i))
      {
        if (!tou_process_fleet_is_running (f))
          return FALSE;
        g_usleep (POLL_INTERVAL_US);
      }
  return TRUE;
}

static gboolean
start_platform (TouProcessFleet *f)
{
  char *arguments = g_strdup_printf ("standin-store --port %d", f->store_port);
  gboolean ok;

  f->store = start (f, arguments, NULL);
  ok = tou_process_wait_ready (f->store, f->store_port);
  for (guint i = 0; ok && i < SIZE; i++)
    {
      f->db[i] = start_database (f, i);
      ok = tou_process_wait_ready (f->db[i], f->db_port[i]);
    }
  g_free (arguments);
  return ok;
}

static gboolean
start_proxies (TouProcessFleet *f)
{
  gboolean ok = TRUE;

  for (guint i = 0; i < f->options.n_proxies; i++)
    f->proxy[i] = start_proxy (f, i);
  for (guint i = 0; ok && i < f->options.n_proxies; i++)
    {
      ok = tou_process_wait_ready (f->proxy[i], f->operator_port[i]);
      while (ok && !tou_process_fleet_is_ready (f, i))
        {
          ok = tou_process_fleet_is_running (f);
          g_usleep (POLL_INTERVAL_US);
        }
    }
  return ok;
}

TouProcessFleet *
tou_process_fleet_start (const TouProcessFleetOptions *options)
{
  TouProcessFleet *f = g_new0 (TouProcessFleet, 1);

  f->options = *options;
  f->dir = g_dir_make_tmp ("tou-process-XXXXXX", NULL);
  f->store_port = tou_process_free_port ();
  for (guint i = 0; i < SIZE; i++)
    {
      f->db_port[i] = tou_process_free_port ();
      f->client_port[i] = tou_process_free_port ();
      f->operator_port[i] = tou_process_free_port ();
      f->peer_port[i] = tou_process_free_port ();
    }
  if (!start_platform (f) || !start_proxies (f) || !create_group (f)
      || !wait_for_service (f))
    {
      tou_process_fleet_stop (f);
      return NULL;
    }
  return f;
}

void
tou_process_fleet_stop (TouProcessFleet *f)
{
  for (guint i = 0; i < SIZE; i++)
    {
      char *log = g_strdup_printf ("%s/e%u", f->dir, i);

      tou_process_stop (&f->proxy[i]);
      tou_process_stop (&f->db[i]);
      unlink (log);
      g_free (log);
    }
  tou_process_stop (&f->store);
  rmdir (f->dir);
  g_free (f->dir);
  g_free (f);
}
