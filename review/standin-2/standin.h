/*
 * Stand-ins for the platform (store, promotions) and the databases of one
 * service, for the scripts of this review. They run on a thread of their own;
 * the functions below may be called from any thread.
 *
 * Store: the calls of the metadata store as PROTOCOL.md tells them. Each node
 * has an address of its own, so that the store can turn single nodes away.
 * Databases: one primary and two replicas, asynchronous replication.
 */
#pragma once

#include <glib.h>
#include <stdio.h>

#define STANDIN_NODES 6
#define STANDIN_DATABASES 3
#define STANDIN_SERVICE "trench"
#define STANDIN_PRIMARY_HOST "signoff"

/** Position in a log. */
typedef struct
{
  guint64 term;
  guint64 number;
} Position;

/** A statement that a database has run. */
typedef struct
{
  guint database;
  gboolean as_primary; /**< its role at that time */
  Position position;   /**< end of its log; after a write: of its commit */
  gboolean is_newest;  /**< no other database led a later term */
  gint64 at_ms;
} Run;

/** Starts the thread. @a record receives one line for each event. */
void standin_start (FILE *record);

/** Milliseconds since standin_start(). */
gint64 standin_ms (void);

/** Writes a line to the record. */
void standin_note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Port of the store for node @a i; address of promotions. */
guint standin_store_port (guint i);
guint standin_promote_port (void);

/** The store answers 503 to the node from now on, or serves it again. */
void standin_refuse_node (guint i, gboolean refuse);

/** TRUE if the store has the key. */
gboolean standin_has_key (const char *key);

/** Index of the node that has the duty to promote, or -1. */
gint standin_leading_node (void);

/** Writes a configuration with one primary route. */
void standin_put_config (guint version, guint timeout_ms);

/** Sets the replication lag. */
void standin_set_lag (guint lag_ms);

/** Size of the rows that answer a READ of an item that begins with "big". */
void standin_set_big_rows (guint n_rows, gsize bytes);

/** Reports draining to the store. */
void standin_drain (guint database);

/** Ends the process of the database. */
void standin_end (guint database);

/**
 * Starts the database again under its id, without its log, as a replica.
 */
void standin_start_anew (guint database);

/**
 * Partitions the database from the nodes whose bit is set (1 << index), and
 * from the other databases if @a others; 0 and FALSE end the partition.
 */
void standin_cut (guint database, guint nodes, gboolean others);

/** Index of the database that leads the newest term. */
guint standin_leader (void);

/** Finds how a statement was run last. @return FALSE if it was not */
gboolean standin_find_run (const char *id, Run *out);

/** TRUE if the log of the leading database has the commit at @a position. */
gboolean standin_is_kept (Position position);

/** TRUE if @a a is before @a b. */
gboolean standin_is_before (Position a, Position b);
