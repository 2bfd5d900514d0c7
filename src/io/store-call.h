/**
 * @file store-call.h
 * One HTTP transfer of the store service (internal).
 */
#pragma once

#include "store.h"

#include <curl/curl.h>

G_BEGIN_DECLS

/**
 * Maximum size of a response in bytes. A fleet with 9,800 databases has about
 * 6,500 records; at 1 KB each they take about 10 MB in base64 and JSON.
 */
#define TOU_STORE_MAX_REPLY (64U << 20)

/** Maximum number of events queued for the core; watches pause above it. */
#define TOU_STORE_MAX_EVENTS 256

typedef struct
{
  const TouStoreSettings *settings;
  GQueue *events; /**< of TouEvent, queued for the core */

  gboolean vm_list; /**< TRUE: read of the VM list; FALSE: store call */
  guint64 id;
  TouStoreOp op;
  guint64 started_us;
  gboolean confirmed; /**< WATCH: confirmed by the store */
  gboolean ended;     /**< WATCH: the event for its end is queued */
  gboolean paused;    /**< WATCH: too many queued events */

  CURL *easy;
  struct curl_slist *headers;
  char *body;
  GString *reply; /**< WATCH: only the incomplete last line */
} TouStoreTransfer;

/** Prepares the transfer for @a action, which is not modified. */
int tou_store_transfer_create (TouStoreTransfer **out,
                               const TouStoreSettings *settings, GQueue *events,
                               const TouAction *action);
void tou_store_transfer_destroy (TouStoreTransfer *transfer);

/** Queues the event for the end of the transfer. */
void tou_store_transfer_finish (TouStoreTransfer *transfer, CURLcode code);

/** Queues the failure event for an action whose transfer cannot start. */
void tou_store_transfer_refuse (GQueue *events, const TouAction *action);

/** Returns TRUE for a watch that was not confirmed within the timeout. */
gboolean tou_store_transfer_is_overdue (const TouStoreTransfer *transfer,
                                        guint64 now_us);

G_END_DECLS
