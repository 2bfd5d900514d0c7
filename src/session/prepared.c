#include "prepared.h"

#include <string.h>

/* Shapes that no session uses are kept up to these limits, because clients that
   reconnect prepare the same statements again. */
#define PREPARED_MAX_UNUSED 1024
#define PREPARED_MAX_UNUSED_BYTES ((gsize)1 << 20)
/* Shapes up to this length are shared by many sessions and not accounted. */
#define PREPARED_SHARED_BYTES 1024

/* A statement's text, shared by all sessions that use it. */
typedef struct
{
  char *key; /* the shape, prefixed with its access mode */
  char *link_name;
  gsize len; /* of the key */
  guint n_users;
  GList list_node; /* in prepared_unused while there is no user */
} PreparedShape;

/* A session's statement. */
typedef struct
{
  TouPrepared prepared;
  PreparedShape *shape;
} PreparedEntry;

/* Key to PreparedShape. */
static GHashTable *prepared_shapes;
/* Of PreparedShape; the one that has been unused longest comes first. */
static GQueue prepared_unused = G_QUEUE_INIT;
static gsize prepared_unused_bytes;
static guint prepared_last_name;

static void
prepared_shape_free (PreparedShape *shape)
{
  g_free (shape->key);
  g_free (shape->link_name);
  g_free (shape);
}

/* Forgets unused shapes until there are at most @a max. */
static void
prepared_forget_unused (guint max, gsize max_bytes)
{
  while (prepared_unused.length > max || prepared_unused_bytes > max_bytes)
    {
      PreparedShape *shape = g_queue_pop_head_link (&prepared_unused)->data;

      prepared_unused_bytes -= shape->len;
      g_hash_table_remove (prepared_shapes, shape->key);
      prepared_shape_free (shape);
    }
}

void
tou_prepared_shapes_destroy (void)
{
  if (prepared_shapes == NULL)
    return;
  prepared_forget_unused (0, 0);
  /* The others are freed with their sessions. */
  g_hash_table_destroy (prepared_shapes);
  prepared_shapes = NULL;
  prepared_last_name = 0;
}

static PreparedShape *
prepared_shape_use (TouSlice text, gboolean writes)
{
  GString *key = g_string_new (writes ? "W " : "R ");
  PreparedShape *shape;

  g_string_append_len (key, text.data, (gssize)text.len);
  if (prepared_shapes == NULL)
    prepared_shapes = g_hash_table_new (g_str_hash, g_str_equal);
  shape = g_hash_table_lookup (prepared_shapes, key->str);
  if (shape != NULL)
    {
      g_string_free (key, TRUE);
      if (shape->n_users++ == 0)
        {
          g_queue_unlink (&prepared_unused, &shape->list_node);
          prepared_unused_bytes -= shape->len;
        }
      return shape;
    }
  shape = g_new0 (PreparedShape, 1);
  shape->len = key->len;
  shape->key = g_string_free (key, FALSE);
  shape->link_name = g_strdup_printf ("t%u", prepared_last_name++);
  shape->n_users = 1;
  shape->list_node.data = shape;
  g_hash_table_insert (prepared_shapes, shape->key, shape);
  return shape;
}

static void
prepared_free (gpointer data)
{
  PreparedEntry *entry = data;
  PreparedShape *shape = entry->shape;

  g_free (entry);
  if (--shape->n_users > 0)
    return;
  if (prepared_shapes == NULL)
    {
      prepared_shape_free (shape);
      return;
    }
  g_queue_push_tail_link (&prepared_unused, &shape->list_node);
  prepared_unused_bytes += shape->len;
  prepared_forget_unused (PREPARED_MAX_UNUSED, PREPARED_MAX_UNUSED_BYTES);
}

static char *
prepared_name_dup (TouSlice name)
{
  return g_strndup (name.data, name.len);
}

static const TouPrepared *
prepared_lookup (GHashTable *table, TouSlice slice)
{
  const PreparedEntry *entry;
  char *name;

  if (table == NULL)
    return NULL;
  name = prepared_name_dup (slice);
  entry = g_hash_table_lookup (table, name);
  g_free (name);
  return entry != NULL ? &entry->prepared : NULL;
}

/* Bytes of the statements in @a table whose shape is longer than @a min. */
static gsize
prepared_bytes (GHashTable *table, gsize min)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gsize bytes = 0;

  if (table == NULL)
    return 0;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const PreparedEntry *entry = value;

      bytes += strlen (key) + sizeof *entry
               + (entry->shape->len > min ? entry->shape->len : 0);
    }
  return bytes;
}

gsize
tou_prepared_own_bytes (GHashTable *table)
{
  return prepared_bytes (table, PREPARED_SHARED_BYTES);
}

gboolean
tou_prepared_has_room (GHashTable *table, const TouSqlStatement *statement,
                       guint max, gsize max_bytes)
{
  const TouPrepared *old = prepared_lookup (table, statement->as.prepare.name);
  gsize bytes = prepared_bytes (table, 0) + statement->as.prepare.name.len
                + statement->as.prepare.shape.len;

  if (old == NULL)
    return (table == NULL || g_hash_table_size (table) < max)
           && bytes <= max_bytes;
  return bytes - strlen (old->shape) <= max_bytes;
}

void
tou_prepared_put (GHashTable **table, const TouSqlStatement *statement)
{
  PreparedEntry *entry = g_new0 (PreparedEntry, 1);

  if (*table == NULL)
    *table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    prepared_free);
  entry->shape = prepared_shape_use (statement->as.prepare.shape,
                                     statement->as.prepare.writes);
  entry->prepared.shape = entry->shape->key + strlen ("W ");
  entry->prepared.link_name = entry->shape->link_name;
  entry->prepared.writes = statement->as.prepare.writes;
  g_hash_table_replace (*table, prepared_name_dup (statement->as.prepare.name),
                        entry);
}

void
tou_prepared_remove (GHashTable *table, const TouSqlStatement *statement)
{
  char *name;

  if (table == NULL)
    return;
  name = prepared_name_dup (statement->as.deallocate.name);
  g_hash_table_remove (table, name);
  g_free (name);
}

const TouPrepared *
tou_prepared_find (GHashTable *table, const TouSqlStatement *statement)
{
  return prepared_lookup (table, statement->as.execute.name);
}
