/**
 * @file flood-node.h
 * A toucansessiond process on loopback, with stand-ins of the store and of one
 * database that run on a thread of the test.
 */
#pragma once

#include <glib.h>
#include <sys/types.h>

G_BEGIN_DECLS

/** limits.memoryMb and limits.maxFds of the process. */
#define FLOOD_MEMORY_MB 64
#define FLOOD_MAX_FDS 520
/** Descriptors of limits.maxFds that the process may use for sockets. */
#define FLOOD_SOCKETS (FLOOD_MAX_FDS - 200)

typedef struct FloodNode FloodNode;

/** Starts the process; rows of the database have @a row_size bytes. */
FloodNode *flood_node_start (gsize row_size);
void flood_node_stop (FloodNode *node);

gboolean flood_node_is_running (const FloodNode *node);

/** Highest resident memory of the process so far, in KiB. */
gsize flood_node_peak_kb (const FloodNode *node);
/** Number of open descriptors of the process. */
guint flood_node_descriptors (const FloodNode *node);

typedef enum
{
  FLOOD_CLIENTS,
  FLOOD_READY,
  FLOOD_PEERS
} FloodPort;

/**
 * Connects to the process with a small receive buffer.
 *
 * @return the socket, or -1
 */
int flood_node_connect (const FloodNode *node, FloodPort port);

G_END_DECLS
