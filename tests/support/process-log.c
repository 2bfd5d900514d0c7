#include "support/process-log.h"

#define N TOU_PROCESS_FLEET_SIZE

const char *
tou_process_member (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

gint64
tou_process_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

/* Returns the lines with a kind from the log of database @a db. */
static json_t *
log_read (const TouProcessFleet *f, guint db, const char *kind)
{
  char *path = g_strdup_printf ("%s/e%u", f->dir, db);
  json_t *found = json_array ();
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    g_error ("cannot read %s", path);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);

      if (g_str_equal (tou_process_member (line, "kind"), kind))
        json_array_append (found, line);
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (path);
  return found;
}

guint
tou_process_log_primary (const TouProcessFleet *f)
{
  guint primary = 0;
  gint64 term = 0;

  for (guint i = 0; i < N; i++)
    {
      json_t *lines = log_read (f, i, "promote");
      const json_t *last = json_array_get (lines, json_array_size (lines) - 1);

      if (tou_process_number (last, "term") > term)
        {
          term = tou_process_number (last, "term");
          primary = i;
        }
      json_decref (lines);
    }
  return primary;
}

guint
tou_process_log_count (const TouProcessFleet *f, const char *kind,
                       const char *key, json_t **line)
{
  guint count = 0;

  for (guint i = 0; i < N; i++)
    {
      json_t *lines = log_read (f, i, kind);
      json_t *item;
      gsize j;

      json_array_foreach (lines, j, item)
      {
        if (!g_str_equal (tou_process_member (item, "key"), key)
            || !json_is_true (json_object_get (item, "committed")))
          continue;
        count++;
        if (line != NULL)
          {
            json_decref (*line);
            *line = json_incref (item);
          }
      }
      json_decref (lines);
    }
  return count;
}

GHashTable *
tou_process_log_inserts (const TouProcessFleet *f)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < N; i++)
    {
      json_t *lines = log_read (f, i, "insert");
      json_t *item;
      gsize j;

      json_array_foreach (lines, j, item)
      {
        const char *key = tou_process_member (item, "key");
        guint count
            = GPOINTER_TO_UINT (g_hash_table_lookup (counts, key))
              + (json_is_true (json_object_get (item, "committed")) ? 1 : 0);

        g_hash_table_replace (counts, g_strdup (key), GUINT_TO_POINTER (count));
      }
      json_decref (lines);
    }
  return counts;
}
