/* Collects the rows of a statement as JSON text. */
#include "database-private.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of JSON per value in addition to its text, for quotes and comma. */
#define VALUE_OVERHEAD_BYTES 4

struct TouDbRows
{
  gsize limit;
  gsize size;
  gboolean truncated;
  json_t *columns;
  json_t *rows;
  char *tag;
};

TouDbRows *
tou_db_rows_create (gsize limit)
{
  TouDbRows *rows = g_new0 (TouDbRows, 1);

  rows->limit = limit;
  rows->columns = json_array ();
  rows->rows = json_array ();
  return rows;
}

void
tou_db_rows_destroy (TouDbRows *rows)
{
  json_decref (rows->columns);
  json_decref (rows->rows);
  g_free (rows->tag);
  g_free (rows);
}

/* Returns a JSON string; bytes that are not UTF-8 are replaced. */
static json_t *
rows_text (const char *data, gsize len)
{
  json_t *text = json_stringn (data, len);
  g_autofree char *valid = NULL;

  if (text != NULL)
    return text;
  valid = g_utf8_make_valid (data, (gssize)len);
  return json_string (valid);
}

static json_t *
rows_row (TouDbRows *rows, const PGresult *result, int row)
{
  json_t *out = json_array ();

  for (int i = 0; i < PQnfields (result); i++)
    {
      gsize len = (gsize)PQgetlength (result, row, i);

      rows->size += len + VALUE_OVERHEAD_BYTES;
      if (PQgetisnull (result, row, i))
        json_array_append_new (out, json_null ());
      else
        json_array_append_new (out,
                               rows_text (PQgetvalue (result, row, i), len));
    }
  return out;
}

static void
rows_add_columns (TouDbRows *rows, const PGresult *result)
{
  if (json_array_size (rows->columns) > 0)
    return;
  for (int i = 0; i < PQnfields (result); i++)
    {
      const char *name = PQfname (result, i);

      json_array_append_new (rows->columns, rows_text (name, strlen (name)));
    }
}

void
tou_db_rows_add (TouDbRows *rows, const PGresult *result)
{
  rows_add_columns (rows, result);
  for (int i = 0; i < PQntuples (result) && !rows->truncated; i++)
    {
      json_array_append_new (rows->rows, rows_row (rows, result, i));
      if (rows->size > rows->limit)
        {
          rows->truncated = TRUE;
          json_array_clear (rows->rows);
        }
    }
  if (PQresultStatus (result) != PGRES_SINGLE_TUPLE)
    {
      g_free (rows->tag);
      rows->tag = g_strdup (PQcmdStatus ((PGresult *)result));
    }
}

gboolean
tou_db_rows_truncated (const TouDbRows *rows)
{
  return rows->truncated;
}

void
tou_db_rows_format (const TouDbRows *rows, TouStr *out)
{
  json_t *object
      = json_pack ("{s:O, s:O, s:s}", "columns", rows->columns, "rows",
                   rows->rows, "tag", rows->tag != NULL ? rows->tag : "");
  char *text;

  if (rows->truncated)
    json_object_set_new (object, "truncated", json_true ());
  text = json_dumps (object, JSON_COMPACT);
  tou_str_init_c (out, text);
  free (text);
  json_decref (object);
}
