#include "store-call.h"

#include "store-json.h"

#include <string.h>

/* TCP keepalive for the connections of watches. A store that has become
   unreachable is detected after 25 s. */
#define STORE_KEEPALIVE_IDLE_S 10L
#define STORE_KEEPALIVE_INTERVAL_S 5L

#define HTTP_STATUS_OK 200
#define HTTP_STATUS_REQUEST_TIMEOUT 408

static TouEvent *
add_event (GQueue *events, TouEventType type)
{
  TouEvent *event = g_new0 (TouEvent, 1);

  event->type = type;
  g_queue_push_tail (events, event);
  return event;
}

static void
add_result (GQueue *events, const TouStoreResult *result)
{
  add_event (events, TOU_EVENT_STORE)->u.store = *result;
}

void
tou_store_transfer_refuse (GQueue *events, const TouAction *action)
{
  TouStoreResult result = { .status = TOU_STORE_FAILED };

  if (action->type == TOU_ACTION_VM_LIST)
    {
      add_event (events, TOU_EVENT_VM_LIST);
      return;
    }
  result.id = action->u.store.id;
  result.op = action->u.store.op;
  add_result (events, &result);
}

/* Handles one message of a watch; returns FALSE to end the watch. */
static gboolean
watch_on_line (TouStoreTransfer *transfer, const char *line, gsize len)
{
  TouStoreResult result = { .id = transfer->id, .op = TOU_STORE_WATCH };

  if (len == 0)
    return TRUE;
  if (tou_store_json_watch (&result, line, len) != TOU_OK)
    return FALSE;
  transfer->confirmed = TRUE;
  /* The message that confirms the watch contains no changes. */
  if (result.status == TOU_STORE_OK && result.entries.count == 0)
    return TRUE;
  transfer->ended = result.status == TOU_STORE_COMPACTED;
  add_result (transfer->events, &result);
  return !transfer->ended;
}

/* Handles the complete lines received; returns FALSE to end the watch. */
static gboolean
watch_on_data (TouStoreTransfer *transfer)
{
  gsize done = 0;
  gboolean keep = TRUE;

  while (keep && done < transfer->reply->len)
    {
      const char *line = transfer->reply->str + done;
      const char *end = memchr (line, '\n', transfer->reply->len - done);

      if (end == NULL)
        break;
      keep = watch_on_line (transfer, line, (gsize)(end - line));
      done += (gsize)(end - line) + 1;
    }
  g_string_erase (transfer->reply, 0, (gssize)done);
  return keep;
}

/* Receives a part of the response; a short count aborts the transfer. */
static size_t
transfer_on_data (char *data, size_t size, size_t count, void *user_data)
{
  TouStoreTransfer *transfer = user_data;
  gsize len = size * count;

  if (transfer->op == TOU_STORE_WATCH && !transfer->vm_list
      && transfer->events->length >= TOU_STORE_MAX_EVENTS)
    {
      transfer->paused = TRUE;
      return CURL_WRITEFUNC_PAUSE;
    }
  if (len > TOU_STORE_MAX_REPLY - transfer->reply->len)
    return 0;
  g_string_append_len (transfer->reply, data, (gssize)len);
  if (transfer->op == TOU_STORE_WATCH && !transfer->vm_list
      && !watch_on_data (transfer))
    return 0;
  return len;
}

/* Sets the connection options; proxy environment variables are ignored. */
static void
transfer_set_connection (const TouStoreTransfer *transfer)
{
  long timeout_ms = (long)(transfer->settings->timeout_us / TOU_US_PER_MS);

  curl_easy_setopt (transfer->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (transfer->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (transfer->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (transfer->easy, CURLOPT_HTTP_VERSION,
                    CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (transfer->easy, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
  curl_easy_setopt (transfer->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (transfer->easy, CURLOPT_TCP_KEEPIDLE,
                    STORE_KEEPALIVE_IDLE_S);
  curl_easy_setopt (transfer->easy, CURLOPT_TCP_KEEPINTVL,
                    STORE_KEEPALIVE_INTERVAL_S);
  if (transfer->settings->ca_file != NULL)
    curl_easy_setopt (transfer->easy, CURLOPT_CAINFO,
                      transfer->settings->ca_file);
  if (transfer->vm_list || transfer->op != TOU_STORE_WATCH)
    curl_easy_setopt (transfer->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  /* An open connection may have gone silent. Besides, libcurl silently resends
     a request if the store has just closed the reused connection, and a write
     must not be executed twice. */
  curl_easy_setopt (transfer->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void
transfer_set_request (TouStoreTransfer *transfer, const TouStoreCall *call)
{
  char *url = transfer->vm_list
                  ? g_strdup (transfer->settings->vm_list_url)
                  : g_strconcat (transfer->settings->store_url,
                                 tou_store_json_path (transfer->op), NULL);

  curl_easy_setopt (transfer->easy, CURLOPT_URL, url);
  g_free (url);
  curl_easy_setopt (transfer->easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (transfer->easy, CURLOPT_WRITEFUNCTION, transfer_on_data);
  curl_easy_setopt (transfer->easy, CURLOPT_WRITEDATA, transfer);
  if (transfer->vm_list)
    return;
  transfer->body = tou_store_json_request (call);
  transfer->headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  curl_easy_setopt (transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (transfer->easy, CURLOPT_POSTFIELDS, transfer->body);
}

int
tou_store_transfer_create (TouStoreTransfer **out,
                           const TouStoreSettings *settings, GQueue *events,
                           const TouAction *action)
{
  TouStoreTransfer *transfer = g_new0 (TouStoreTransfer, 1);

  transfer->settings = settings;
  transfer->events = events;
  transfer->vm_list = action->type == TOU_ACTION_VM_LIST;
  if (!transfer->vm_list)
    {
      transfer->id = action->u.store.id;
      transfer->op = action->u.store.op;
    }
  transfer->started_us = (guint64)g_get_monotonic_time ();
  transfer->reply = g_string_new (NULL);
  transfer->easy = curl_easy_init ();
  if (transfer->easy == NULL
      || (transfer->vm_list && settings->vm_list_url == NULL))
    {
      tou_store_transfer_destroy (transfer);
      return tou_status_set (TOU_E_IO, "cannot prepare the HTTP call");
    }
  transfer_set_connection (transfer);
  transfer_set_request (transfer, &action->u.store);
  *out = transfer;
  return TOU_OK;
}

void
tou_store_transfer_destroy (TouStoreTransfer *transfer)
{
  if (transfer->easy != NULL)
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  g_string_free (transfer->reply, TRUE);
  g_free (transfer->body);
  g_free (transfer);
}

/* Returns TRUE if the transfer certainly failed before the request was sent. */
static gboolean
is_certainly_unsent (const TouStoreTransfer *transfer, CURLcode code)
{
  curl_off_t pretransfer_us = 0;

  switch (code)
    {
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_URL_MALFORMAT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
    case CURLE_SSL_CONNECT_ERROR:
    case CURLE_SSL_CACERT_BADFILE:
    case CURLE_PEER_FAILED_VERIFICATION:
      return TRUE;
    case CURLE_OPERATION_TIMEDOUT:
      /* Non-zero once the connection is ready for the request. */
      curl_easy_getinfo (transfer->easy, CURLINFO_PRETRANSFER_TIME_T,
                         &pretransfer_us);
      return pretransfer_us == 0;
    default:
      return FALSE;
    }
}

/* Returns TRUE if the store certainly did not execute the request. 408 is
   excluded: etcd's JSON gateway returns it for calls that were cancelled during
   execution. */
static gboolean
is_certainly_refused (long http_status)
{
  return http_status >= 400 && http_status < 500
         && http_status != HTTP_STATUS_REQUEST_TIMEOUT;
}

static void
finish_vm_list (TouStoreTransfer *transfer, CURLcode code, long http_status)
{
  TouEvent *event = add_event (transfer->events, TOU_EVENT_VM_LIST);

  event->u.vm_list.ok
      = code == CURLE_OK && http_status == HTTP_STATUS_OK
        && tou_store_json_vms (&event->u.vm_list.vms, &event->u.vm_list.count,
                               transfer->reply->str, transfer->reply->len)
               == TOU_OK;
}

static TouStoreStatus
transfer_status (TouStoreTransfer *transfer, CURLcode code, long http_status,
                 TouStoreResult *result)
{
  if (code != CURLE_OK)
    return is_certainly_unsent (transfer, code) ? TOU_STORE_FAILED
                                                : TOU_STORE_UNKNOWN;
  if (is_certainly_refused (http_status))
    return TOU_STORE_FAILED;
  if (http_status == HTTP_STATUS_OK
      && tou_store_json_reply (result, transfer->reply->str,
                               transfer->reply->len)
             == TOU_OK)
    return TOU_STORE_OK;
  return TOU_STORE_UNKNOWN;
}

void
tou_store_transfer_finish (TouStoreTransfer *transfer, CURLcode code)
{
  TouStoreResult result = { .id = transfer->id, .op = transfer->op };
  long http_status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &http_status);
  if (transfer->vm_list)
    {
      finish_vm_list (transfer, code, http_status);
      return;
    }
  if (transfer->ended)
    return;
  /* A watch changes no data, so its end is always a certain failure. */
  result.status = transfer->op == TOU_STORE_WATCH
                      ? TOU_STORE_FAILED
                      : transfer_status (transfer, code, http_status, &result);
  add_result (transfer->events, &result);
}

gboolean
tou_store_transfer_is_overdue (const TouStoreTransfer *transfer, guint64 now_us)
{
  return !transfer->vm_list && transfer->op == TOU_STORE_WATCH
         && !transfer->confirmed
         && now_us - transfer->started_us > transfer->settings->timeout_us;
}
