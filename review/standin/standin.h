/**
 * @file standin.h
 * Stand-ins for the review's scripts: platform (store and promotions),
 * replicated databases, requesters, and the nodes under test as processes. All
 * stand-ins of a case run on one event loop in one process.
 */
#pragma once

#include <glib.h>
#include <uv.h>

G_BEGIN_DECLS

typedef struct Bench Bench;
typedef struct Database Database;
typedef struct Node Node;
typedef struct Client Client;

/** Exit codes of a case. */
enum
{
  CASE_HELD = 0,
  CASE_BROKEN = 1,
  CASE_NOT_RUN = 2
};

/* Bench. */

/**
 * Creates a bench; the record is written to @a record_path. @a trouble is "on"
 * or "off", from run.sh, which reads the environment variable TROUBLE.
 */
Bench *bench_new (const char *record_path, const char *trouble);
/** FALSE if the case runs without its disruption. */
gboolean bench_trouble (const Bench *bench);
/** Milliseconds since the start. */
guint64 bench_ms (const Bench *bench);
/** Writes a line with the time to the record. */
void bench_note (Bench *bench, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** Calls @a call after @a ms milliseconds. */
void bench_after (Bench *bench, guint64 ms, void (*call) (gpointer),
                  gpointer data);
/** The same in microseconds: the event loop's timers all fire at whole ms. */
void bench_after_us (Bench *bench, guint64 us, void (*call) (gpointer),
                     gpointer data);
/** Runs until bench_end() is called, or for @a limit_ms. */
int bench_run (Bench *bench, guint64 limit_ms);
/** Ends the run: all nodes are killed. */
void bench_end (Bench *bench, int result, const char *reason);

/* Operator and platform. */

/** The service's name; @a sync_replicas as in the configuration. */
void bench_service (Bench *bench, const char *name, guint max_conns,
                    guint sync_replicas);
/** Adds a route; @a max_staleness_ms is left out if it is negative. */
void bench_route (Bench *bench, const char *host, const char *type,
                  guint timeout_ms, guint priority, gint max_staleness_ms);
/** Writes the configuration with the next version to the store. */
void bench_configure (Bench *bench);

/** Called when a node has asked for a promotion, before it is done. */
void bench_on_promotion (Bench *bench,
                         void (*call) (gpointer data, Database *database,
                                       guint64 token),
                         gpointer data);
/**
 * Cuts the links between a node and the platform. Bytes that are under way are
 * held and arrive when the cut ends.
 */
void bench_cut_platform (Bench *bench, Node *node, gboolean cut);
/** Called after each write of a key by a node was answered. */
void bench_on_write (Bench *bench,
                     void (*call) (gpointer data, const char *key,
                                   const char *value),
                     gpointer data);

/* Databases. */

Database *database_new (Bench *bench, const char *id, guint slots,
                        guint work_ms, gboolean primary);
const char *database_id (const Database *database);
guint64 database_received (const Database *database);
/** The database receives nothing from its primary. */
void database_set_deaf (Database *database, gboolean deaf);
/** Milliseconds by which it applies commits after it received them. */
void database_set_lag (Database *database, guint ms);
/** Reports the state draining, and ends after @a ms. */
void database_drain (Database *database, guint64 ms);
/** Crashes: its connections are reset, and it no longer listens. */
void database_crash (Database *database);
/** Crashes the present primary. */
void bench_crash_primary (Bench *bench);
/** TRUE if its log has the commit of the write with this id. */
gboolean database_has_write (const Database *database, const char *id);
/** Time in ms at which it began to run the statement; 0: it did not. */
guint64 bench_ran_ms (const Bench *bench, const char *id);
/** Number of statements run that no requester sent, or with another text. */
guint bench_unasked (const Bench *bench);

/* Nodes. */

Node *node_start (Bench *bench, const char *name);
const char *node_name (const Node *node);
void node_signal (Node *node, int signum);
/** From now on its process is limited in memory and started again, as by the
   platform. */
void node_keep (Node *node);
/** How often its process has ended. */
guint node_ends (const Node *node);
/** TRUE while its process runs. */
gboolean node_runs (const Node *node);

/* Requesters. */

typedef enum
{
  CLIENT_READY,  /* the session was accepted */
  CLIENT_ANSWER, /* complete answer to a statement */
  CLIENT_CLOSED  /* the connection ended */
} ClientEvent;

/** Last answer of a session. */
typedef struct
{
  gboolean complete;
  char code[24]; /* of an error */
  char row[256]; /* last row */
  char state;
} ClientAnswer;

typedef void (*ClientCall) (gpointer data, Client *client, ClientEvent event);

Client *client_new (Bench *bench, Node *node, const char *host, ClientCall call,
                    gpointer data);
/** Sends a statement with a new id. @return the id */
const char *client_query (Client *client, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
/** Sends a statement whose text may contain any byte. @return the id */
const char *client_query_bytes (Client *client, const char *text, gsize len);
const ClientAnswer *client_answer (const Client *client);
/** Closes the session; no event follows. */
void client_close (Client *client);

G_END_DECLS
