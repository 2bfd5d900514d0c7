/**
 * @file private.h
 * State shared by the stand-ins (internal).
 */
#pragma once

#include "standin.h"

#include <jansson.h>
#include <netinet/in.h>

G_BEGIN_DECLS

typedef struct
{
  uv_tcp_t tcp;
  GString *in;
  gpointer owner;
  gboolean closed;
  gboolean finished; /* the other end has closed */
  gboolean held;     /* received and sent bytes wait */
  GString *out;      /* bytes that wait */
  /* Handles received bytes: returns how many were used. */
  gsize (*on_bytes) (gpointer conn, const char *data, gsize len);
  void (*on_end) (gpointer conn);
  void (*on_free) (gpointer conn);
} Conn;

struct Bench
{
  uv_loop_t loop;
  uv_timer_t tick;
  uv_signal_t term;
  uv_signal_t interrupt;
  gboolean trouble;
  guint64 started_ms;
  FILE *record;
  char *record_path;
  char *dir; /* temporary folder */
  int result;
  gboolean ended;
  guint host; /* of the next loopback address */
  guint net;

  /* Configuration. */
  char *service;
  guint max_conns;
  guint sync_replicas;
  GPtrArray *routes; /* of json_t */
  guint64 version;

  /* Store. */
  guint64 revision;
  GTree *items;       /* key to json_t item */
  GPtrArray *history; /* of json_t events */
  GPtrArray *watches; /* of StoreConn */
  GHashTable *leases; /* id to until_ms */
  guint64 last_lease;

  GPtrArray *databases;
  GPtrArray *nodes;
  GHashTable *ran;  /* statement id to ms */
  GHashTable *sent; /* statement id to text */
  guint n_unasked;
  guint64 next_id;

  void (*on_promotion) (gpointer data, Database *database, guint64 token);
  gpointer on_promotion_data;
  void (*on_write) (gpointer data, const char *key, const char *value);
  gpointer on_write_data;
};

struct Node
{
  Bench *bench;
  char *name;
  char *ip;
  char *settings;
  uv_process_t process;
  gboolean runs;
  gboolean kept;
  guint n_ends;
  uv_tcp_t store_listener; /* the node's own path to the store */
  uv_tcp_t cloud_listener; /* and to the promotions */
  GPtrArray *conns;        /* platform connections */
  gboolean cut;
};

struct sockaddr_in bench_address (const char *ip, guint port);
char *bench_next_ip (Bench *bench);
void bench_listen (Bench *bench, uv_tcp_t *listener, const char *ip, guint port,
                   gpointer data, uv_connection_cb on_connection);

/** Initialises a connection accepted on or to be connected from the loop. */
void conn_init (Conn *conn, Bench *bench);
void conn_start (Conn *conn);
void conn_send (Conn *conn, const char *data, gsize len);
/** Holds received and sent bytes, or lets them pass. */
void conn_hold (Conn *conn, gboolean hold);
void conn_close (Conn *conn);

void platform_init (Bench *bench);
void platform_tick (Bench *bench);
void platform_listen (Node *node);
/** Writes a key on behalf of the operator or a database. */
void platform_put (Bench *bench, const char *key, const char *value);
void platform_remove (Bench *bench, const char *key);

void databases_tick (Bench *bench);
/** Promotes the database. @return HTTP status */
int database_promote (Bench *bench, const char *id);

G_END_DECLS
