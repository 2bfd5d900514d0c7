/**
 * @file stand.h
 * Stand-ins of a small deployment for the scripts of the review: the platform's
 * store and promotion call, one service of three databases, and the nodes.
 *
 * All stand-ins run in the script's own process; the nodes are processes of
 * their own. Every address is a loopback address.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_DATABASES 3
#define STAND_MAX_NODES 8
#define STAND_SERVICE "svc"

/* Ports of every node; the addresses differ. */
#define STAND_PORT_CLIENTS 8784
#define STAND_PORT_READY 8785
#define STAND_PORT_PEERS 7440

/** How a node's path to the store is impaired. */
typedef enum
{
  STAND_PATH_OPEN,
  STAND_PATH_SILENT /**< partitioned: nothing is answered */
} StandPath;

/** Seconds on the steady clock since the start of the program. */
double stand_now (void);
void stand_sleep_until (double seconds);

/** Writes a line to record.txt, with the time. */
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Ends the program with 2: the case could not run. */
void stand_fail (const char *reason) __attribute__ ((noreturn));

/**
 * Starts the stand-ins. The arguments are those of the program: the folder of
 * the case, for record.txt, the node's program, and "trouble" or "calm".
 */
void stand_start (int argc, char **argv);

/** FALSE if the disruption is left out ("calm"). */
bool stand_has_trouble (void);

/** Writes a key as the operator or a database does. @return its revision */
uint64_t stand_store_put (const char *key, const char *value);

/** Impairs the path between a node and the store, or ends that. */
void stand_store_path (int node, StandPath path);

/** Size of each row, and number of rows, that answer a READ of @a item. */
void stand_database_rows (const char *item, size_t size, int count);

/** Number of statements with this id that databases have run. */
int stand_database_runs (const char *id);

/** A database reports that it is leaving; it goes on serving. */
void stand_database_drain (int database);

/** Another writer writes an entry under the database's id, with few fields. */
void stand_database_overwrite (int database);

/** When a database last ran a client's statement; 0: never. */
double stand_database_last_run (int database);

/** Starts @a n nodes and waits until all are ready. */
void stand_nodes_start (int n);
pid_t stand_node_pid (int node);
/** FALSE once the process has ended. */
bool stand_node_runs (int node);
/** One GET /ready, as the platform sends it. @return status, or 0 */
int stand_node_ready (int node, double limit_s);

/** Ends all nodes and removes the temporary folder. */
void stand_stop (void);

/** A client's connection. */
typedef struct
{
  int fd;
  char *in;
  size_t used;
  size_t size;
} StandClient;

/** Result of reading from a node. */
typedef enum
{
  STAND_LINE,
  STAND_CLOSED,
  STAND_LATE
} StandRead;

/**
 * @param receive_bytes size of the receive buffer, for a link with the segments
 *        of an Ethernet; 0: those of the loopback device
 */
bool stand_client_open (StandClient *client, int node, const char *database,
                        int receive_bytes);
bool stand_client_send (StandClient *client, const char *data, size_t size);
/** Reads a line into @a line, cut at @a size, until @a until. */
StandRead stand_client_line (StandClient *client, char *line, size_t size,
                             double until);
/**
 * Runs a statement and reads its whole answer. @a end is set to the line before
 * READY.
 */
StandRead stand_client_query (StandClient *client, const char *id,
                              const char *text, char *end, size_t size,
                              double until);
void stand_client_close (StandClient *client);
