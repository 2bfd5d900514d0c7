#include "store.h"

#include "store-call.h"
#include "toucanscale/ring.h"

#include <pthread.h>
#include <stdatomic.h>

/* Maximum number of transfers in progress; further actions stay in the ring. */
#define STORE_MAX_TRANSFERS 64U

/* Poll timeouts. The short one is used while events are queued for the core or
   a watch is not confirmed yet. */
#define STORE_POLL_MS 1000
#define STORE_POLL_BUSY_MS 5

struct TouStoreClient
{
  TouStoreSettings settings; /* owns its strings */
  TouEventSink sink;
  TouRing *ring;
  CURLM *multi;
  GPtrArray *transfers; /* of TouStoreTransfer */
  GQueue events;        /* of TouEvent, queued for the core */
  atomic_bool stop;
  gboolean started;
  pthread_t thread;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_ALL);
}

static void
store_remove_transfer (TouStoreClient *store, TouStoreTransfer *transfer)
{
  curl_multi_remove_handle (store->multi, transfer->easy);
  g_ptr_array_remove_fast (store->transfers, transfer);
  tou_store_transfer_destroy (transfer);
}

/* Ends the watch @a id, if there is one, without an event. */
static void
store_cancel_watch (TouStoreClient *store, guint64 id)
{
  for (guint i = store->transfers->len; i > 0; i--)
    {
      TouStoreTransfer *transfer = g_ptr_array_index (store->transfers, i - 1);

      if (!transfer->vm_list && transfer->op == TOU_STORE_WATCH
          && transfer->id == id)
        store_remove_transfer (store, transfer);
    }
}

static void
store_start_transfer (TouStoreClient *store, const TouAction *action)
{
  TouStoreTransfer *transfer;

  if (tou_store_transfer_create (&transfer, &store->settings, &store->events,
                                 action)
      != TOU_OK)
    {
      tou_store_transfer_refuse (&store->events, action);
      return;
    }
  if (curl_multi_add_handle (store->multi, transfer->easy) != CURLM_OK)
    {
      tou_store_transfer_refuse (&store->events, action);
      tou_store_transfer_destroy (transfer);
      return;
    }
  g_ptr_array_add (store->transfers, transfer);
}

static gboolean
store_has_capacity (const TouStoreClient *store)
{
  return store->transfers->len < STORE_MAX_TRANSFERS
         && store->events.length < TOU_STORE_MAX_EVENTS;
}

static void
store_start_actions (TouStoreClient *store)
{
  TouAction action;

  while (store_has_capacity (store) && tou_ring_pop (store->ring, &action))
    {
      if (action.type == TOU_ACTION_STORE
          && action.u.store.op == TOU_STORE_WATCH_CANCEL)
        store_cancel_watch (store, action.u.store.id);
      else
        store_start_transfer (store, &action);
      tou_action_clear (&action);
    }
}

static void
store_finish_transfers (TouStoreClient *store)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (store->multi, &remaining)) != NULL)
    {
      TouStoreTransfer *transfer = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      tou_store_transfer_finish (transfer, message->data.result);
      store_remove_transfer (store, transfer);
    }
}

/* Ends watches that the store did not confirm in time; returns TRUE if any are
   not confirmed yet. */
static gboolean
store_check_watches (TouStoreClient *store)
{
  guint64 now_us = (guint64)g_get_monotonic_time ();
  gboolean unconfirmed = FALSE;

  for (guint i = store->transfers->len; i > 0; i--)
    {
      TouStoreTransfer *transfer = g_ptr_array_index (store->transfers, i - 1);

      if (tou_store_transfer_is_overdue (transfer, now_us))
        {
          tou_store_transfer_finish (transfer, CURLE_OPERATION_TIMEDOUT);
          store_remove_transfer (store, transfer);
        }
      else if (!transfer->vm_list && transfer->op == TOU_STORE_WATCH
               && !transfer->confirmed)
        unconfirmed = TRUE;
    }
  return unconfirmed;
}

/* Delivers events to the core until its ring is full; resumes paused watches
   when all are delivered. */
static void
store_deliver (TouStoreClient *store)
{
  TouEvent *event;

  while ((event = g_queue_peek_head (&store->events)) != NULL)
    {
      if (store->sink.func (store->sink.user_data, event) != TOU_OK)
        return;
      g_free (g_queue_pop_head (&store->events));
    }
  for (guint i = 0; i < store->transfers->len; i++)
    {
      TouStoreTransfer *transfer = g_ptr_array_index (store->transfers, i);

      if (!transfer->paused)
        continue;
      transfer->paused = FALSE;
      curl_easy_pause (transfer->easy, CURLPAUSE_CONT);
    }
}

static void
store_wait (TouStoreClient *store, gboolean busy)
{
  struct curl_waitfd ring = { tou_ring_fd (store->ring), CURL_WAIT_POLLIN, 0 };
  int timeout_ms = busy ? STORE_POLL_BUSY_MS : STORE_POLL_MS;

  curl_multi_poll (store->multi, &ring, store_has_capacity (store) ? 1 : 0,
                   timeout_ms, NULL);
}

static void *
store_run (void *data)
{
  TouStoreClient *store = data;
  int running;

  while (!atomic_load (&store->stop))
    {
      gboolean busy;

      store_start_actions (store);
      curl_multi_perform (store->multi, &running);
      store_finish_transfers (store);
      busy = store_check_watches (store);
      store_deliver (store);
      store_wait (store, busy || store->events.length > 0);
    }
  return NULL;
}

int
tou_store_create (TouStoreClient **out, const TouStoreSettings *settings,
                  TouEventSink sink)
{
  TouStoreClient *store = g_new0 (TouStoreClient, 1);
  int status;

  pthread_once (&curl_once, init_curl);
  store->settings = *settings;
  store->settings.store_url = g_strdup (settings->store_url);
  store->settings.vm_list_url = g_strdup (settings->vm_list_url);
  store->settings.ca_file = g_strdup (settings->ca_file);
  store->sink = sink;
  g_queue_init (&store->events);
  store->transfers = g_ptr_array_new ();
  store->multi = curl_multi_init ();
  status = tou_ring_create (&store->ring, 1, settings->ring_capacity,
                            sizeof (TouAction));
  if (status == TOU_OK
      && (store->multi == NULL
          || pthread_create (&store->thread, NULL, store_run, store) != 0))
    status = tou_status_set (TOU_E_IO, "cannot start the store thread");
  if (status != TOU_OK)
    {
      tou_store_destroy (store);
      return status;
    }
  store->started = TRUE;
  *out = store;
  return TOU_OK;
}

int
tou_store_submit (gpointer service, TouAction *action)
{
  TouStoreClient *store = service;

  if (action->type != TOU_ACTION_STORE && action->type != TOU_ACTION_VM_LIST)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "store service does not support action %d",
                           (int)action->type);
  return tou_ring_push (store->ring, 0, action);
}

static void
event_free (gpointer data)
{
  tou_event_clear (data);
  g_free (data);
}

static void
store_free (TouStoreClient *store)
{
  TouAction action;

  while (store->ring != NULL && tou_ring_pop (store->ring, &action))
    tou_action_clear (&action);
  tou_ring_destroy (store->ring);
  while (store->transfers->len > 0)
    store_remove_transfer (store, g_ptr_array_index (store->transfers, 0));
  g_ptr_array_free (store->transfers, TRUE);
  g_queue_clear_full (&store->events, event_free);
  curl_multi_cleanup (store->multi);
  g_free ((char *)store->settings.store_url);
  g_free ((char *)store->settings.vm_list_url);
  g_free ((char *)store->settings.ca_file);
  g_free (store);
}

void
tou_store_destroy (TouStoreClient *store)
{
  if (store == NULL)
    return;
  if (store->started)
    {
      atomic_store (&store->stop, TRUE);
      curl_multi_wakeup (store->multi);
      pthread_join (store->thread, NULL);
    }
  store_free (store);
}
