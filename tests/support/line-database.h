/**
 * @file line-database.h
 * A simulated database for tests: serves the line protocol on loopback, on the
 * event loop of the test.
 */
#pragma once

#include "sql.h"

#include <uv.h>

G_BEGIN_DECLS

typedef struct LineDatabase LineDatabase;

LineDatabase *line_database_new (uv_loop_t *loop, const char *id,
                                 gboolean primary);

/** Closes the listener and all connections; run the loop before freeing. */
void line_database_close (LineDatabase *database);
void line_database_free (LineDatabase *database);

/** Returns the port that it listens on. */
int line_database_port (const LineDatabase *database);

/** Sets the position of its log. */
void line_database_set_position (LineDatabase *database, TouLogPos pos);

/** Pads the row that answers a READ to @a size bytes; 0: not. */
void line_database_set_row_size (LineDatabase *database, gsize size);

/** Answers the next statement of a client with @a error. */
void line_database_fail (LineDatabase *database, const char *error);

/** Runs the next statement of a client and closes its connection. */
void line_database_drop (LineDatabase *database);

/**
 * Gives it another id and closes all connections: it answers MOVED to those who
 * expect the former id.
 */
void line_database_rename (LineDatabase *database, const char *id);

/** Makes it the primary of @a term. */
void line_database_promote (LineDatabase *database, guint64 term);

/** Makes it answer MOVED to those who expect another group; NULL: to none. */
void line_database_set_group (LineDatabase *database, const char *group);

/** Closes all connections, like a database that restarts. */
void line_database_restart (LineDatabase *database);

/** Closes the connection before READY in the next reply to a client. */
void line_database_cut (LineDatabase *database);

/** Closes the connection before READY in the next reply to an internal SET. */
void line_database_cut_set (LineDatabase *database);

/**
 * Cuts the path to @a node in one direction: the database receives its
 * messages, but sends it no answers. NULL: ends the cut, for new connections.
 */
void line_database_mute (LineDatabase *database, const char *node);

/** Delays the next reply to a client until line_database_resume(). */
void line_database_hold (LineDatabase *database);
void line_database_resume (LineDatabase *database);

/** Returns and clears the lines received so far, each prefixed with the id. */
GString *line_database_take_trace (LineDatabase *database);

G_END_DECLS
