/**
 * @file prepared.h
 * Statements that callers prepared.
 *
 * Equal shapes have the same name on all links, so a link needs each of them
 * once, whoever uses it.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

typedef struct
{
  char *shape;
  char *link_name; /**< name on links: the same for equal shapes */
  gboolean writes;
} TouPrepared;

/** Creates a table of session's names (char *) to TouPrepared. */
GHashTable *tou_prepared_table (void);

/** Adds or replaces what PREPARE @a statement names. */
void tou_prepared_put (GHashTable *table, const TouSqlStatement *statement);

/** Removes what DEALLOCATE @a statement names. */
void tou_prepared_remove (GHashTable *table, const TouSqlStatement *statement);

/** Returns what EXECUTE @a statement names, or NULL. */
const TouPrepared *tou_prepared_find (GHashTable *table,
                                      const TouSqlStatement *statement);

/** Frees the names of all shapes, at the end of the process. */
void tou_prepared_shapes_destroy (void);

G_END_DECLS
