/**
 * @file store.h
 * Store service: client of etcd's v3 JSON gateway and of the VM list.
 *
 * Accepts STORE and VM_LIST actions; delivers STORE and VM_LIST events.
 */
#pragma once

#include "service.h"

G_BEGIN_DECLS

typedef struct TouStoreClient TouStoreClient;

typedef struct
{
  const char *store_url;   /**< e.g. "http://127.0.0.1:2379" */
  const char *vm_list_url; /**< complete URL, or NULL for no VM list */
  const char *ca_file;     /**< PEM file for https, or NULL */
  guint64 timeout_us;      /**< per call; for a watch, until it is confirmed */
  guint ring_capacity;
} TouStoreSettings;

int tou_store_create (TouStoreClient **out, const TouStoreSettings *settings,
                      TouEventSink sink);

/** Matches TouActionFunc. */
int tou_store_submit (gpointer service, TouAction *action);

void tou_store_destroy (TouStoreClient *store);

G_END_DECLS
