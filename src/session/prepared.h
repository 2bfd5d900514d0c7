/**
 * @file prepared.h
 * Prepared statements of client sessions.
 *
 * Equal statement shapes have the same name on all links, so each is prepared
 * at most once per link, regardless of how many sessions use it.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

typedef struct
{
  char *shape;     /**< statement text without arguments */
  char *link_name; /**< name on links: the same for equal shapes */
  gboolean writes;
} TouPrepared;

/** Creates a table from a session's statement names to TouPrepared. */
GHashTable *tou_prepared_table_new (void);

/** Adds or replaces the statement that PREPARE @a statement defines. */
void tou_prepared_put (GHashTable *table, const TouSqlStatement *statement);

/** Removes the statement that DEALLOCATE @a statement names. */
void tou_prepared_remove (GHashTable *table, const TouSqlStatement *statement);

/** Returns the statement that EXECUTE @a statement names, or NULL. */
const TouPrepared *tou_prepared_find (GHashTable *table,
                                      const TouSqlStatement *statement);

/** Frees the table of shape names; call it at process exit. */
void tou_prepared_shapes_destroy (void);

G_END_DECLS
