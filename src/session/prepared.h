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
  const char *shape;     /**< statement text without arguments */
  const char *link_name; /**< name on links: the same for equal shapes */
  gboolean writes;
} TouPrepared;

/** Maximum number and bytes of a client's statements. */
#define TOU_PREPARED_MAX 256
#define TOU_PREPARED_MAX_BYTES ((gsize)2 << 20)
/** Number and bytes of statements at which a link is reset. */
#define TOU_PREPARED_LINK_MAX 700
#define TOU_PREPARED_LINK_MAX_BYTES ((gsize)2 << 20)
/** Maximum for a session of another node: a link that is not reset because a
    transaction is open also gets the statements of one client. */
#define TOU_PREPARED_RELAY_MAX 1024
#define TOU_PREPARED_RELAY_MAX_BYTES                                           \
  (TOU_PREPARED_LINK_MAX_BYTES + TOU_PREPARED_MAX_BYTES)

/**
 * Adds or replaces the statement that PREPARE @a statement defines.
 *
 * @param table from a session's statement names to TouPrepared; created for its
 * first statement. The other functions accept NULL as an empty table.
 */
void tou_prepared_put (GHashTable **table, const TouSqlStatement *statement);

/** FALSE if the statement would exceed the limits of a session. */
gboolean tou_prepared_has_room (GHashTable *table,
                                const TouSqlStatement *statement, guint max,
                                gsize max_bytes);

/** Bytes that the table holds, without short shapes, which sessions share. */
gsize tou_prepared_own_bytes (GHashTable *table);

/** Removes the statement that DEALLOCATE @a statement names. */
void tou_prepared_remove (GHashTable *table, const TouSqlStatement *statement);

/** Returns the statement that EXECUTE @a statement names, or NULL. */
const TouPrepared *tou_prepared_find (GHashTable *table,
                                      const TouSqlStatement *statement);

/** Frees the table of shape names; call it at process exit. */
void tou_prepared_shapes_destroy (void);

G_END_DECLS
