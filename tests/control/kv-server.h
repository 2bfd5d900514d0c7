/**
 * @file kv-server.h
 * Serves the store stand-in over HTTP on loopback.
 *
 * Pattern: a device between a node and the store loses the state of open
 * connections. They stay open and are silent for good, new ones work.
 */
#pragma once

#include "kv-standin.h"

G_BEGIN_DECLS

typedef struct KvServer KvServer;

/** Listens on a free port of loopback. */
KvServer *kv_server_create (uv_loop_t *loop, KvStandin *kv);
/**
 * Closes all connections. Memory is freed when the loop has run, after
 * kv_destroy().
 */
void kv_server_destroy (KvServer *server);

/** Sets @a out to the address as "ip:port". */
void kv_server_address (TouName *out, const KvServer *server);

/** Connections that are open, or that have no call, go silent. */
typedef enum
{
  KV_SERVER_OPEN,
  KV_SERVER_IDLE
} KvServerConnections;

void kv_server_silence (KvServer *server, KvServerConnections which);

G_END_DECLS
