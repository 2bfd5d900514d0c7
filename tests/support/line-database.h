/**
 * @file line-database.h
 * A database that speaks the line protocol on loopback, on the test's loop.
 */
#pragma once

#include "sql.h"

#include <uv.h>

G_BEGIN_DECLS

typedef struct LineDatabase LineDatabase;

LineDatabase *line_database_new (uv_loop_t *loop, const char *id,
                                 gboolean primary);

/** Stops listening and closes all connections; run the loop, then free it. */
void line_database_close (LineDatabase *database);
void line_database_free (LineDatabase *database);

/** Port that it listens on. */
int line_database_port (const LineDatabase *database);

/** Position of its log. */
void line_database_set_position (LineDatabase *database, TouLogPos pos);

/** The next statement of a caller is answered with @a error. */
void line_database_fail (LineDatabase *database, const char *error);

/** The next statement of a caller runs, and the connection is closed. */
void line_database_drop (LineDatabase *database);

/** Closes all connections, as a database that crashes and starts again. */
void line_database_restart (LineDatabase *database);

/** The next statement's answer ends before READY, and the connection closes. */
void line_database_cut (LineDatabase *database);

/** The next SET's answer ends before READY, and the connection closes. */
void line_database_cut_step (LineDatabase *database);

/** The next statement is answered after line_database_resume() only. */
void line_database_hold (LineDatabase *database);
void line_database_resume (LineDatabase *database);

/** Lines received since the last call, each after the id; frees them. */
GString *line_database_take_trace (LineDatabase *database);

G_END_DECLS
