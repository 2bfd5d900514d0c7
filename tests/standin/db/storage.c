/* Rows, the replication log and the trace file. */
#include "db.h"

Row *
row_new (const char *a, const char *b, const char *c)
{
  Row *row = g_new0 (Row, 1);

  row->field[0] = g_strdup (a);
  row->field[1] = g_strdup (b);
  row->field[2] = g_strdup (c);
  return row;
}

Row *
row_copy (const Row *row)
{
  if (row == NULL)
    return NULL;
  return row_new (row->field[0], row->field[1], row->field[2]);
}

void
row_free (gpointer data)
{
  Row *row = data;

  if (row == NULL)
    return;
  for (guint i = 0; i < ROW_FIELDS; i++)
    g_free (row->field[i]);
  g_free (row);
}

void
change_free (gpointer data)
{
  Change *change = data;

  g_free (change->key);
  row_free (change->row);
  g_free (change);
}

guint64
log_last_position (const Server *server)
{
  return server->log->len;
}

guint64
log_last_term (const Server *server)
{
  if (server->log->len == 0)
    return 0;
  return g_array_index (server->log, LogRecord, server->log->len - 1).term;
}

static void
log_apply (Server *server, const LogRecord *record)
{
  for (guint i = 0; i < record->changes->len; i++)
    {
      const Change *change = g_ptr_array_index (record->changes, i);

      if (change->row != NULL)
        g_hash_table_replace (server->rows, g_strdup (change->key),
                              row_copy (change->row));
      else
        g_hash_table_remove (server->rows, change->key);
    }
}

void
log_append (Server *server, guint64 term, GPtrArray *changes)
{
  LogRecord record = { .term = term, .changes = changes };

  if (log_last_term (server) != term)
    {
      TermStart start = { .term = term, .start = log_last_position (server) };

      g_array_append_val (server->history, start);
    }
  g_array_append_val (server->log, record);
  log_apply (server, &record);
}

/* Removes the records after @a position and rebuilds the rows. */
void
log_truncate (Server *server, guint64 position)
{
  trace (server, json_pack ("{s:s, s:I, s:I, s:I}", "kind", "truncate", "from",
                            (json_int_t)log_last_position (server), "position",
                            (json_int_t)position, "term",
                            (json_int_t)log_last_term (server)));
  for (guint64 i = position; i < server->log->len; i++)
    g_ptr_array_unref (g_array_index (server->log, LogRecord, i).changes);
  g_array_set_size (server->log, (guint)position);
  while (server->history->len > 0
         && g_array_index (server->history, TermStart, server->history->len - 1)
                    .start
                >= position)
    g_array_set_size (server->history, server->history->len - 1);
  g_hash_table_remove_all (server->rows);
  for (guint i = 0; i < server->log->len; i++)
    log_apply (server, &g_array_index (server->log, LogRecord, i));
}

/* Writes a JSON line to the trace file; takes ownership of @a line. */
void
trace (Server *server, json_t *line)
{
  if (server->options.log != NULL)
    {
      json_object_set_new (line, "database",
                           json_string (server->options.name));
      json_dumpf (line, server->options.log, JSON_COMPACT);
      fputc ('\n', server->options.log);
      fflush (server->options.log);
    }
  json_decref (line);
}
