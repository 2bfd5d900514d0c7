#include "prepared.h"

/* Shape, prefixed with its access mode, to its name on links. */
static GHashTable *prepared_shapes;

void
tou_prepared_shapes_destroy (void)
{
  if (prepared_shapes != NULL)
    g_hash_table_destroy (prepared_shapes);
  prepared_shapes = NULL;
}

static const char *
prepared_shape_name (const char *shape, gboolean writes)
{
  char *key = g_strconcat (writes ? "W " : "R ", shape, NULL);
  char *name;

  if (prepared_shapes == NULL)
    prepared_shapes
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  name = g_hash_table_lookup (prepared_shapes, key);
  if (name != NULL)
    {
      g_free (key);
      return name;
    }
  name = g_strdup_printf ("t%u", g_hash_table_size (prepared_shapes));
  g_hash_table_insert (prepared_shapes, key, name);
  return name;
}

static void
prepared_free (gpointer data)
{
  TouPrepared *prepared = data;

  g_free (prepared->shape);
  g_free (prepared->link_name);
  g_free (prepared);
}

GHashTable *
tou_prepared_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, prepared_free);
}

static char *
prepared_name_dup (TouSlice name)
{
  return g_strndup (name.data, name.len);
}

void
tou_prepared_put (GHashTable *table, const TouSqlStatement *statement)
{
  TouPrepared *prepared = g_new0 (TouPrepared, 1);

  prepared->shape = g_strndup (statement->as.prepare.shape.data,
                               statement->as.prepare.shape.len);
  prepared->writes = statement->as.prepare.writes;
  prepared->link_name
      = g_strdup (prepared_shape_name (prepared->shape, prepared->writes));
  g_hash_table_replace (table, prepared_name_dup (statement->as.prepare.name),
                        prepared);
}

void
tou_prepared_remove (GHashTable *table, const TouSqlStatement *statement)
{
  char *name = prepared_name_dup (statement->as.deallocate.name);

  g_hash_table_remove (table, name);
  g_free (name);
}

const TouPrepared *
tou_prepared_find (GHashTable *table, const TouSqlStatement *statement)
{
  char *name = prepared_name_dup (statement->as.execute.name);
  const TouPrepared *prepared = g_hash_table_lookup (table, name);

  g_free (name);
  return prepared;
}
