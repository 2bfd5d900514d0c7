/**
 * @file database.h
 * Endpoint service: database connections through libpq on one thread.
 *
 * Handles the actions DB_OPEN, DB_EXECUTE, DB_CONTROL and DB_CLOSE; emits the
 * events DB_OPENED, DB_CLOSED, DB_RESULT and DB_REPORT.
 *
 * Each DB_OPEN is followed by exactly one DB_CLOSED, at the latest after the
 * core's DB_CLOSE. Each DB_EXECUTE is followed by exactly one DB_RESULT, before
 * the connection's DB_CLOSED. If the connection is lost during a DB_CONTROL,
 * only DB_CLOSED is emitted.
 */
#pragma once

#include "service.h"

G_BEGIN_DECLS

/** Default size limit of a result in bytes; a result is sent in a single peer
 *  message. */
#define TOU_DATABASE_RESULT_MAX_BYTES ((gsize)1024 * 1024)

typedef struct TouDatabase TouDatabase;

typedef struct
{
  const char *user;
  const char *password;         /**< NULL for none */
  const char *control_user;     /**< for control connections; NULL: user */
  const char *control_password; /**< with control_user; NULL for none */
  const char *database;
  const char *client_name; /**< application_name: the proxy's name */
  guint64 connect_timeout_us;
  guint ring_capacity;
  gsize result_max; /**< size limit of a result in bytes; 0: 1 MiB */
} TouDatabaseSettings;

/** Starts the thread. The strings must outlive the service. */
int tou_database_create (TouDatabase **out, const TouDatabaseSettings *settings,
                         TouEventSink sink);

/** Matches TouActionFunc. */
int tou_database_submit (gpointer service, TouAction *action);

/** Stops the thread, closes all connections and frees the service. */
void tou_database_destroy (TouDatabase *database);

G_END_DECLS
