/**
 * @file toucanscaleload.c
 * Load generator: sends the requests of a file to proxies and reports outcomes.
 *
 * Each session of the file has a thread, which sends its requests to the
 * proxies in turn, so that a session uses several proxies. Reads are checked
 * against acknowledged writes.
 */
#include "toucanscale/types.h"

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PROXIES 16
/* Deadline sent with each request, in milliseconds. */
#define DEADLINE_MS 4000
/* Timeout of one HTTP request, in milliseconds. */
#define HTTP_TIMEOUT_MS 6000
/* Attempts after which a request counts as failed. */
#define MAX_ATTEMPTS 6
/* Time in microseconds for which a proxy that refused a connection gets no
 * requests, as with a load balancer. */
#define DOWN_US (1 * TOU_US_PER_S)
/* Delay between two attempts, in microseconds. */
#define RETRY_PAUSE_US (200 * TOU_US_PER_MS)

static const char *const rank_names[TOU_RANK_COUNT]
    = { "urgent", "review", "status" };

typedef struct
{
  char *session;
  TouRank rank;
  char *mode; /* NULL for a write */
  char *group;
  char *record;
  char *body;
} Request;

typedef struct
{
  guint issued;
  guint done;
  guint not_run;
  guint unknown;
  guint retried;
  GArray *latency_us;
} RankResult;

typedef struct
{
  const char *proxies[MAX_PROXIES];
  guint n_proxies;
  const char *input;
  const char *token;
  guint repeat;
  guint pause_ms;
  GPtrArray *requests;
  pthread_mutex_t mutex; /* protects the members below */
  guint64 down_until_us[MAX_PROXIES];
  RankResult ranks[TOU_RANK_COUNT];
  GHashTable *counts;       /* "KIND NAME" line -> number of responses */
  GHashTable *acknowledged; /* "group/id" of acknowledged writes */
  guint stale_reads; /* reads that did not return an acknowledged write */
} Load;

/* State of the thread of one session. */
typedef struct
{
  Load *load;
  const char *name;
  CURL *curl;
  guint next_proxy;
  char *session_token;
} Worker;

typedef struct
{
  GString *body;
  char *session_token;
} Response;

static size_t
on_body (char *data, size_t size, size_t count, void *user_data)
{
  g_string_append_len (((Response *)user_data)->body, data,
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
      g_free (response->session_token);
      response->session_token = g_strstrip (
          g_strndup (data + sizeof name - 1, len - sizeof name + 1));
    }
  return len;
}

static struct curl_slist *
request_headers (const Worker *worker, const Request *request, const char *key)
{
  struct curl_slist *list = NULL;
  GString *line = g_string_new (NULL);

  list = curl_slist_append (list, "Content-Type: application/json");
  g_string_printf (line, "X-Toucanscale-Rank: %s", rank_names[request->rank]);
  list = curl_slist_append (list, line->str);
  g_string_printf (line, "X-Toucanscale-Deadline: %d", DEADLINE_MS);
  list = curl_slist_append (list, line->str);
  if (request->mode != NULL)
    {
      if (g_str_has_prefix (request->mode, "age="))
        g_string_printf (line, "X-Toucanscale-Read: max-age=%s",
                         request->mode + strlen ("age="));
      else
        g_string_printf (line, "X-Toucanscale-Read: %s", request->mode);
      list = curl_slist_append (list, line->str);
    }
  if (key != NULL)
    {
      g_string_printf (line, "Idempotency-Key: %s", key);
      list = curl_slist_append (list, line->str);
    }
  if (worker->session_token != NULL)
    {
      g_string_printf (line, "X-Toucanscale-Session: %s",
                       worker->session_token);
      list = curl_slist_append (list, line->str);
    }
  if (worker->load->token != NULL)
    {
      g_string_printf (line, "Authorization: Bearer %s", worker->load->token);
      list = curl_slist_append (list, line->str);
    }
  g_string_free (line, TRUE);
  return list;
}

static char *
request_body (const Request *request, const char *id)
{
  json_t *root;
  char *text;

  if (request->mode != NULL)
    root = json_pack ("{s:s, s:[s], s:b}", "sql",
                      "SELECT body FROM record WHERE id=$1", "params", id,
                      "read", TRUE);
  else
    root = json_pack ("{s:s, s:[s,s], s:b}", "sql",
                      "INSERT INTO record (id, body) VALUES ($1, $2)", "params",
                      id, request->body, "read", FALSE);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static guint
select_proxy (Worker *worker)
{
  Load *load = worker->load;
  guint64 now_us = (guint64)g_get_monotonic_time ();
  guint chosen = worker->next_proxy++ % load->n_proxies;

  pthread_mutex_lock (&load->mutex);
  for (guint i = 0; i < load->n_proxies && load->down_until_us[chosen] > now_us;
       i++)
    chosen = worker->next_proxy++ % load->n_proxies;
  pthread_mutex_unlock (&load->mutex);
  return chosen;
}

/* Sends one request; returns the parsed body, or NULL if there is none. */
static json_t *
send_request (Worker *worker, const Request *request, const char *id,
              const char *key, const char **proxy)
{
  Load *load = worker->load;
  Response response = { g_string_new (NULL), NULL };
  struct curl_slist *headers = request_headers (worker, request, key);
  char *body = request_body (request, id);
  guint chosen = select_proxy (worker);
  json_t *json = NULL;
  CURLcode result;
  char *url;

  *proxy = load->proxies[chosen];
  url = g_strdup_printf ("%s/v1/groups/%s/statements", *proxy, request->group);
  curl_easy_setopt (worker->curl, CURLOPT_URL, url);
  curl_easy_setopt (worker->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (worker->curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (worker->curl, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (worker->curl, CURLOPT_HEADERDATA, &response);
  curl_easy_setopt (worker->curl, CURLOPT_TIMEOUT_MS, (long)HTTP_TIMEOUT_MS);
  curl_easy_setopt (worker->curl, CURLOPT_NOSIGNAL, 1L);
  result = curl_easy_perform (worker->curl);
  if (result == CURLE_OK)
    json = json_loads (response.body->str, 0, NULL);
  if (result == CURLE_COULDNT_CONNECT)
    {
      pthread_mutex_lock (&load->mutex);
      load->down_until_us[chosen] = (guint64)g_get_monotonic_time () + DOWN_US;
      pthread_mutex_unlock (&load->mutex);
    }
  if (response.session_token != NULL)
    {
      g_free (worker->session_token);
      worker->session_token = response.session_token;
    }
  curl_slist_free_all (headers);
  g_string_free (response.body, TRUE);
  g_free (body);
  g_free (url);
  return json;
}

static void
increment_count (Load *load, const char *kind, const char *name)
{
  char *line = g_strdup_printf ("%s %s", kind, name != NULL ? name : "-");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (load->counts, line)) + 1;

  g_hash_table_replace (load->counts, line, GUINT_TO_POINTER (count));
}

/* Returns the outcome in the response; unknown if there is none. */
static TouOutcome
read_outcome (json_t *json)
{
  const char *text = json_string_value (json_object_get (json, "outcome"));

  if (text != NULL && g_str_equal (text, "done"))
    return TOU_OUTCOME_DONE;
  if (text != NULL && g_str_equal (text, "not_run"))
    return TOU_OUTCOME_NOT_RUN;
  return TOU_OUTCOME_UNKNOWN;
}

static void
record_success (Load *load, const Request *request, const char *row_key,
                json_t *json, const char *proxy, gboolean expected)
{
  json_t *served = json_object_get (json, "served_by");

  increment_count (load, "front", proxy);
  increment_count (load, "gate",
                   json_string_value (json_object_get (served, "node")));
  increment_count (load, "role",
                   json_string_value (json_object_get (served, "role")));
  if (request->mode == NULL)
    g_hash_table_add (load->acknowledged, g_strdup (row_key));
  else if (expected && json_array_size (json_object_get (json, "rows")) != 1)
    {
      load->stale_reads++;
      fprintf (stderr, "%s read of %s did not return an acknowledged write\n",
               request->mode, row_key);
    }
}

static void
record_result (Load *load, const Request *request, TouOutcome outcome,
               guint attempts, guint64 latency_us)
{
  RankResult *rank = &load->ranks[request->rank];

  rank->issued++;
  rank->retried += attempts - 1;
  switch (outcome)
    {
    case TOU_OUTCOME_DONE:
      rank->done++;
      g_array_append_val (rank->latency_us, latency_us);
      break;
    case TOU_OUTCOME_NOT_RUN:
      rank->not_run++;
      break;
    case TOU_OUTCOME_UNKNOWN:
      rank->unknown++;
      break;
    }
}

/* Reads and writes with an idempotency key can be repeated, so every request
 * may be retried. */
static void
run_request (Worker *worker, const Request *request, guint round)
{
  Load *load = worker->load;
  char *id = g_strdup_printf ("%s-%u", request->record, round);
  char *row_key = g_strdup_printf ("%s/%s", request->group, id);
  char *key = request->mode == NULL
                  ? g_strdup_printf ("%s-%s", worker->name, row_key)
                  : NULL;
  guint64 start_us = (guint64)g_get_monotonic_time ();
  TouOutcome outcome = TOU_OUTCOME_UNKNOWN;
  gboolean may_lag
      = request->mode != NULL && g_str_has_prefix (request->mode, "age=");
  gboolean expected;
  guint attempts = 0;

  pthread_mutex_lock (&load->mutex);
  expected = !may_lag && g_hash_table_contains (load->acknowledged, row_key);
  pthread_mutex_unlock (&load->mutex);
  while (attempts < MAX_ATTEMPTS && outcome != TOU_OUTCOME_DONE)
    {
      const char *proxy;
      json_t *json;

      if (attempts++ > 0)
        g_usleep (RETRY_PAUSE_US);
      json = send_request (worker, request, id, key, &proxy);
      outcome = read_outcome (json);
      pthread_mutex_lock (&load->mutex);
      if (outcome == TOU_OUTCOME_DONE)
        record_success (load, request, row_key, json, proxy, expected);
      else
        increment_count (
            load, "nobody:",
            json != NULL ? json_string_value (json_object_get (json, "title"))
                         : "connection failed");
      pthread_mutex_unlock (&load->mutex);
      json_decref (json);
    }
  pthread_mutex_lock (&load->mutex);
  record_result (load, request, outcome, attempts,
                 (guint64)g_get_monotonic_time () - start_us);
  pthread_mutex_unlock (&load->mutex);
  g_free (key);
  g_free (row_key);
  g_free (id);
}

static void *
worker_main (void *data)
{
  Worker *worker = data;
  Load *load = worker->load;

  worker->curl = curl_easy_init ();
  for (guint round = 0; round < load->repeat; round++)
    {
      for (guint i = 0; i < load->requests->len; i++)
        {
          const Request *request = load->requests->pdata[i];

          if (g_str_equal (request->session, worker->name))
            run_request (worker, request, round);
        }
      g_usleep (load->pause_ms * TOU_US_PER_MS);
    }
  curl_easy_cleanup (worker->curl);
  g_free (worker->session_token);
  return NULL;
}

static gboolean
parse_request (Load *load, const char *line)
{
  char session[64];
  char rank[16];
  char operation[32];
  char group[64];
  char record[64];
  int body = 0;
  Request *request;

  if (sscanf (line, "%63s %15s %31s %63s %63s %n", session, rank, operation,
              group, record, &body)
      < 5)
    return FALSE;
  request = g_new0 (Request, 1);
  request->rank = TOU_RANK_COUNT;
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    if (g_str_equal (rank, rank_names[r]))
      request->rank = (TouRank)r;
  if (g_str_has_prefix (operation, "read:"))
    request->mode = g_strdup (operation + strlen ("read:"));
  request->session = g_strdup (session);
  request->group = g_strdup (group);
  request->record = g_strdup (record);
  request->body = g_strdup (line + body);
  g_ptr_array_add (load->requests, request);
  return request->rank < TOU_RANK_COUNT
         && (request->mode != NULL || g_str_equal (operation, "write"));
}

static void
request_free (gpointer data)
{
  Request *request = data;

  g_free (request->session);
  g_free (request->mode);
  g_free (request->group);
  g_free (request->record);
  g_free (request->body);
  g_free (request);
}

static gboolean
read_input (Load *load)
{
  char *text;
  char **lines;
  gboolean ok = TRUE;

  if (!g_file_get_contents (load->input, &text, NULL, NULL))
    {
      fprintf (stderr, "cannot read input file %s\n", load->input);
      return FALSE;
    }
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; ok && lines[i] != NULL; i++)
    if (lines[i][0] != '\0' && lines[i][0] != '#'
        && !parse_request (load, lines[i]))
      {
        fprintf (stderr, "%s:%u: malformed request: %s\n", load->input, i + 1,
                 lines[i]);
        ok = FALSE;
      }
  g_strfreev (lines);
  g_free (text);
  return ok;
}

static GPtrArray *
session_names (const Load *load)
{
  GPtrArray *names = g_ptr_array_new ();

  for (guint i = 0; i < load->requests->len; i++)
    {
      char *name = ((Request *)load->requests->pdata[i])->session;

      if (!g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
        g_ptr_array_add (names, name);
    }
  return names;
}

static void
run_sessions (Load *load)
{
  GPtrArray *names = session_names (load);
  Worker *workers = g_new0 (Worker, names->len);
  pthread_t *threads = g_new0 (pthread_t, names->len);

  for (guint i = 0; i < names->len; i++)
    {
      workers[i].load = load;
      workers[i].name = names->pdata[i];
      workers[i].next_proxy = i;
      pthread_create (&threads[i], NULL, worker_main, &workers[i]);
    }
  for (guint i = 0; i < names->len; i++)
    pthread_join (threads[i], NULL);
  g_free (workers);
  g_free (threads);
  g_ptr_array_free (names, TRUE);
}

static int
compare_u64 (const void *a, const void *b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
}

static double
percentile_ms (GArray *values, guint percent)
{
  guint index;

  if (values->len == 0)
    return 0;
  qsort (values->data, values->len, sizeof (guint64), compare_u64);
  index = MIN (values->len * percent / 100, values->len - 1);
  return (double)g_array_index (values, guint64, index) / TOU_US_PER_MS;
}

/* Counts the acknowledged writes that are not stored exactly once. */
static guint
verify_writes (Load *load)
{
  Worker worker = { .load = load, .name = "verify" };
  GHashTableIter iter;
  gpointer row_key;
  guint n_lost = 0;

  worker.curl = curl_easy_init ();
  g_hash_table_iter_init (&iter, load->acknowledged);
  while (g_hash_table_iter_next (&iter, &row_key, NULL))
    {
      char **parts = g_strsplit (row_key, "/", 2);
      Request request = { .rank = TOU_RANK_REVIEW,
                          .mode = "fresh",
                          .group = parts[0],
                          .record = parts[1] };
      gboolean found = FALSE;

      for (guint i = 0; i < MAX_ATTEMPTS && !found; i++)
        {
          const char *proxy;
          json_t *json
              = send_request (&worker, &request, parts[1], NULL, &proxy);

          found = json_array_size (json_object_get (json, "rows")) == 1;
          json_decref (json);
        }
      n_lost += !found;
      g_strfreev (parts);
    }
  curl_easy_cleanup (worker.curl);
  g_free (worker.session_token);
  return n_lost;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static int
print_report (Load *load)
{
  guint lost = verify_writes (load);
  GList *lines
      = g_list_sort (g_hash_table_get_keys (load->counts), compare_lines);
  guint failed = 0;

  printf ("%-8s %7s %7s %8s %8s %8s %9s %9s\n", "rank", "asked", "done",
          "not run", "unknown", "retried", "p50 ms", "p99 ms");
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    {
      RankResult *rank = &load->ranks[r];

      printf ("%-8s %7u %7u %8u %8u %8u %9.2f %9.2f\n", rank_names[r],
              rank->issued, rank->done, rank->not_run, rank->unknown,
              rank->retried, percentile_ms (rank->latency_us, 50),
              percentile_ms (rank->latency_us, 99));
      failed += rank->issued - rank->done;
    }
  for (GList *l = lines; l != NULL; l = l->next)
    printf ("served by %-40s %u\n", (char *)l->data,
            GPOINTER_TO_UINT (g_hash_table_lookup (load->counts, l->data)));
  printf ("acknowledged writes %u, lost %u, reads that did not return an "
          "acknowledged write %u, failed requests %u\n",
          g_hash_table_size (load->acknowledged), lost, load->stale_reads,
          failed);
  g_list_free (lines);
  return lost + load->stale_reads + failed > 0 ? 1 : 0;
}

static const struct argp_option options[] = {
  { "proxy", 'p', "URL", 0,
    "URL of a proxy's interface for callers; may be repeated", 0 },
  { "input", 'i', "FILE", 0, "File with the requests", 0 },
  { "repeat", 'r', "N", 0, "Send the requests of the file N times (default 1)",
    0 },
  { "pause", 'w', "MS", 0, "Pause between repetitions (default 0)", 0 },
  { "token", 't', "TOKEN", 0, "Bearer token of callers", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Load *load = state->input;

  switch (key)
    {
    case 'p':
      if (load->n_proxies == MAX_PROXIES)
        argp_error (state, "at most %d proxies", MAX_PROXIES);
      load->proxies[load->n_proxies++] = arg;
      return 0;
    case 'i':
      load->input = arg;
      return 0;
    case 'r':
      load->repeat = (guint)strtoul (arg, NULL, 10);
      return 0;
    case 'w':
      load->pause_ms = (guint)strtoul (arg, NULL, 10);
      return 0;
    case 't':
      load->token = arg;
      return 0;
    case ARGP_KEY_END:
      if (load->n_proxies == 0 || load->input == NULL)
        argp_error (state, "--proxy and --input are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options,
          parse_option,
          NULL,
          "Sends the requests of a file to proxies and prints their outcomes. "
          "Exit status 0: every request was served and no write is missing.",
          NULL,
          NULL,
          NULL };
  Load load = { .repeat = 1 };
  int status = 2;

  argp_parse (&argp, argc, argv, 0, NULL, &load);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  pthread_mutex_init (&load.mutex, NULL);
  load.requests = g_ptr_array_new_with_free_func (request_free);
  load.counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load.acknowledged
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    load.ranks[r].latency_us = g_array_new (FALSE, FALSE, sizeof (guint64));
  if (read_input (&load))
    {
      run_sessions (&load);
      status = print_report (&load);
    }
  for (guint r = 0; r < TOU_RANK_COUNT; r++)
    g_array_free (load.ranks[r].latency_us, TRUE);
  g_hash_table_unref (load.acknowledged);
  g_hash_table_unref (load.counts);
  g_ptr_array_free (load.requests, TRUE);
  pthread_mutex_destroy (&load.mutex);
  curl_global_cleanup ();
  return status;
}
