/**
 * @file process-fleet.h
 * One group of three databases, the store and proxies as processes on loopback,
 * for tests and measurements, and the HTTP requests of a client to them.
 */
#pragma once

#include "process.h"

#include <jansson.h>

G_BEGIN_DECLS

/** Number of databases and maximum number of proxies. */
#define TOU_PROCESS_FLEET_SIZE 3

/** Name of the group. */
#define TOU_PROCESS_GROUP "g"

/** Options of the processes. */
typedef struct
{
  guint n_proxies;
  const char *bin_dir;          /**< directory of the programs */
  const char *database_options; /**< additional, separated by spaces */
  const char *proxy_options;    /**< the same for the proxies, or NULL */
  guint slots;                  /**< of each database */
  gboolean logs;                /**< databases write logs to dir */
} TouProcessFleetOptions;

/** Processes and their TCP ports on 127.0.0.1. */
typedef struct
{
  TouProcessFleetOptions options;
  char *dir; /**< temporary directory of the logs e0, e1, e2 */
  pid_t store;
  int store_port;
  pid_t db[TOU_PROCESS_FLEET_SIZE];
  pid_t proxy[TOU_PROCESS_FLEET_SIZE];
  int db_port[TOU_PROCESS_FLEET_SIZE];
  int client_port[TOU_PROCESS_FLEET_SIZE];
  int operator_port[TOU_PROCESS_FLEET_SIZE];
  int peer_port[TOU_PROCESS_FLEET_SIZE];
} TouProcessFleet;

/**
 * Starts the processes, creates the group with toucanscalectl and waits until
 * each proxy has run a write.
 *
 * @return the fleet, or NULL if a process failed; free it with
 *         tou_process_fleet_stop ()
 */
TouProcessFleet *
tou_process_fleet_start (const TouProcessFleetOptions *options);

/** Returns FALSE if a process ended that was not stopped or waited for. */
gboolean tou_process_fleet_is_running (const TouProcessFleet *fleet);

/** Kills all processes and removes the logs. */
void tou_process_fleet_stop (TouProcessFleet *fleet);

/** Returns TRUE if the proxy's /readyz returns 200. */
gboolean tou_process_fleet_is_ready (const TouProcessFleet *fleet, guint proxy);

/** Response to an HTTP request. */
typedef struct
{
  long code;    /**< HTTP status, 0 without a response */
  json_t *body; /**< owned; NULL if it is not JSON */
} TouProcessReply;

/**
 * Sends one request to 127.0.0.1.
 *
 * @param token session token to send, replaced by that of the response; owned
 *              by the caller, may point to NULL
 * @param body JSON text to POST, or NULL for GET
 * @param key idempotency key, or NULL
 */
TouProcessReply tou_process_request (char **token, int port, const char *path,
                                     const char *body, const char *key);

/** Returns TRUE if the reply's outcome is "done". */
gboolean tou_process_reply_is_done (const TouProcessReply *reply);

G_END_DECLS
