#include "line-database.h"

#include "stream.h"
#include "values.h"

#include "wire.h"

#include <stdio.h>
#include <string.h>

#define BACKLOG 16

struct LineDatabase
{
  uv_tcp_t listener;
  char *id;
  char *group; /* NULL: any */
  gboolean primary;
  TouLogPos pos;
  char *row_pad;
  char *next_error;
  gboolean drop;
  gboolean cut;
  gboolean cut_set;
  gboolean hold;
  char *muted;              /* node that receives no answers, or NULL */
  GString *held_reply;      /* delayed reply, or NULL */
  uv_stream_t *held_stream; /* connection of the reply */
  GString *trace;
  GPtrArray *connections;
};

typedef struct
{
  uv_tcp_t tcp;
  LineDatabase *database;
  GString *in;
  gboolean started;
  char *user;
  gboolean in_txn;
  gboolean wrote;
  GHashTable *prepared; /* name to "ACCESS shape" */
  TouSqlValues values;
} Connection;

static void
on_closed (uv_handle_t *handle)
{
  Connection *connection = handle->data;

  g_string_free (connection->in, TRUE);
  g_free (connection->user);
  g_hash_table_destroy (connection->prepared);
  tou_values_clear (&connection->values);
  g_free (connection);
}

static void
close_connection (Connection *connection)
{
  g_ptr_array_remove_fast (connection->database->connections, connection);
  if (!uv_is_closing ((uv_handle_t *)&connection->tcp))
    uv_close ((uv_handle_t *)&connection->tcp, on_closed);
}

static void
send_answer (const Connection *connection, const GString *out)
{
  if (g_strcmp0 (connection->user, connection->database->muted) != 0
      || connection->user == NULL)
    tou_stream_send ((uv_stream_t *)&connection->tcp, out->str, out->len);
}

static gboolean
starts_with (TouSlice text, const char *word)
{
  gsize len = strlen (word);

  return text.len >= len && memcmp (text.data, word, len) == 0
         && (text.len == len || text.data[len] == ' ');
}

static TouSlice
skip_word (TouSlice text)
{
  const char *space = memchr (text.data, ' ', text.len);
  gsize skipped = space != NULL ? (gsize)(space - text.data) + 1 : text.len;

  return (TouSlice){ text.data + skipped, text.len - skipped };
}

static TouSlice
first_word (TouSlice text)
{
  const char *space = memchr (text.data, ' ', text.len);

  return (TouSlice){ text.data,
                     space != NULL ? (gsize)(space - text.data) : text.len };
}

static void
put_ready (Connection *connection, GString *out)
{
  plat_wire_put_ready (
      out, connection->in_txn ? TOU_SQL_STATE_OPEN : TOU_SQL_STATE_IDLE,
      connection->database->pos);
}

static void
put_proof (Connection *connection, TouSlice id, GString *out)
{
  g_string_append_printf (out, "COMPLETE proof-%s-%.*s\r\n",
                          connection->database->id, (int)id.len, id.data);
}

/* The row contains the shape and the session values of the statement. */
static void
put_row (Connection *connection, const char *shape, GString *out)
{
  g_string_append_printf (out, "DATAROW row-of-%s %s", connection->database->id,
                          shape);
  for (guint i = 0; i < tou_values_count (&connection->values); i++)
    g_string_append_printf (
        out, " %s=%s", (char *)g_ptr_array_index (connection->values.names, i),
        (char *)g_ptr_array_index (connection->values.values, i));
  if (connection->database->row_pad != NULL)
    g_string_append_printf (out, " %s", connection->database->row_pad);
  g_string_append (out, "\r\n");
}

static void
run_execute (Connection *connection, TouSlice id, TouSlice text, GString *out)
{
  TouSlice word = first_word (skip_word (text));
  char *name = g_strndup (word.data, word.len);
  const char *access = g_hash_table_lookup (connection->prepared, name);

  g_free (name);
  if (access == NULL)
    {
      plat_wire_put_error (out, TOU_SQL_E_UNKNOWN_STATEMENT, "unknown");
      return;
    }
  connection->wrote = connection->wrote || g_str_has_prefix (access, "WRITE ");
  put_row (connection, access, out);
  put_proof (connection, id, out);
}

static void
run_prepare (Connection *connection, TouSlice text)
{
  TouSlice name = first_word (skip_word (text));
  TouSlice access = skip_word (skip_word (text));

  g_hash_table_replace (connection->prepared, g_strndup (name.data, name.len),
                        g_strndup (access.data, access.len));
}

static void
end_autocommit (Connection *connection)
{
  if (connection->in_txn)
    return;
  if (connection->wrote)
    connection->database->pos.position++;
  connection->wrote = FALSE;
}

/* Runs a statement and appends its reply without READY. */
static void
run_text (Connection *connection, TouSlice id, TouSlice text, GString *out)
{
  LineDatabase *database = connection->database;

  if (starts_with (text, "BEGIN"))
    {
      if (!database->primary && text.len == strlen ("BEGIN"))
        {
          plat_wire_put_error (out, TOU_SQL_E_READ_ONLY, database->id);
          return;
        }
      connection->in_txn = TRUE;
      plat_wire_put_complete (out, NULL);
    }
  else if (starts_with (text, "COMMIT"))
    {
      connection->in_txn = FALSE;
      end_autocommit (connection);
      put_proof (connection, id, out);
    }
  else if (starts_with (text, "READ"))
    {
      put_row (connection, "plain", out);
      put_proof (connection, id, out);
    }
  else if (starts_with (text, "WRITE"))
    {
      if (!database->primary)
        {
          plat_wire_put_error (out, TOU_SQL_E_READ_ONLY, database->id);
          return;
        }
      connection->wrote = TRUE;
      end_autocommit (connection);
      put_proof (connection, id, out);
    }
  else if (starts_with (text, "EXECUTE"))
    {
      run_execute (connection, id, text, out);
      end_autocommit (connection);
    }
  else if (starts_with (text, "STATUS"))
    {
      g_string_append_printf (
          out,
          "DATAROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
          ".%" G_GUINT64_FORMAT " 0 0 0 1\r\n",
          database->primary ? "primary" : "replica", database->pos.term,
          database->pos.term, database->pos.position);
      plat_wire_put_complete (out, NULL);
    }
  else
    {
      if (starts_with (text, "PREPARE"))
        run_prepare (connection, text);
      else if (starts_with (text, "SET"))
        tou_values_set (&connection->values, first_word (skip_word (text)),
                        skip_word (skip_word (text)));
      else if (starts_with (text, "RESET"))
        {
          tou_values_reset (&connection->values);
          g_hash_table_remove_all (connection->prepared);
        }
      else if (starts_with (text, "ROLLBACK"))
        connection->in_txn = connection->wrote = FALSE;
      plat_wire_put_complete (out, NULL);
    }
}

static void
on_query (Connection *connection, TouSlice id, TouSlice text)
{
  LineDatabase *database = connection->database;
  gboolean internal = id.len == 1 && id.data[0] == '-';
  GString *out = g_string_new (NULL);
  TouLogPos after = { 0, 0 };

  if (starts_with (text, "AFTER"))
    {
      text = skip_word (text);
      sscanf (text.data, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
              &after.term, &after.position);
      text = skip_word (text);
    }
  if (tou_log_pos_compare (database->pos, after) < 0)
    plat_wire_put_error (out, TOU_SQL_E_LAGGING, database->id);
  else if (!internal && database->next_error != NULL)
    {
      g_string_append_printf (out, "ERROR %s requested\r\n",
                              database->next_error);
      g_clear_pointer (&database->next_error, g_free);
    }
  else
    run_text (connection, id, text, out);
  if ((!internal && database->cut)
      || (internal && database->cut_set && starts_with (text, "SET")))
    {
      database->cut = database->cut_set = FALSE;
      send_answer (connection, out);
      close_connection (connection);
      g_string_free (out, TRUE);
      return;
    }
  put_ready (connection, out);
  if (!internal && database->drop)
    {
      database->drop = FALSE;
      close_connection (connection);
    }
  else if (!internal && database->hold)
    {
      database->hold = FALSE;
      database->held_reply = out;
      database->held_stream = (uv_stream_t *)&connection->tcp;
      return;
    }
  else
    send_answer (connection, out);
  g_string_free (out, TRUE);
}

/* Names of teams begin with "team", those of nodes do not. */
static const char *
team_name (const Connection *connection)
{
  return g_str_has_prefix (connection->user, "team") ? connection->user : "";
}

static void
on_line (Connection *connection, TouSlice line)
{
  LineDatabase *database = connection->database;
  GString *out;
  TouSlice rest = skip_word (line);

  if (!connection->started)
    {
      TouSlice user = first_word (skip_word (rest));

      connection->started = TRUE;
      out = g_string_new (NULL);
      /* STARTUP group user id */
      connection->user = g_strndup (user.data, user.len);
      if (tou_slice_is (skip_word (skip_word (rest)), database->id)
          && (database->group == NULL
              || tou_slice_is (first_word (rest), database->group)))
        put_ready (connection, out);
      else
        plat_wire_put_error (out, TOU_SQL_E_MOVED, database->id);
      send_answer (connection, out);
      g_string_free (out, TRUE);
      return;
    }
  /* Status queries are omitted, because their times vary. */
  if (!starts_with (skip_word (rest), PLAT_WIRE_STATUS_TEXT))
    g_string_append_printf (database->trace, "%s%s%s> %.*s\n", database->id,
                            team_name (connection)[0] != '\0' ? " " : "",
                            team_name (connection), (int)line.len, line.data);
  on_query (connection, first_word (rest), skip_word (rest));
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Connection *connection = stream->data;
  gsize used = 0;
  TouSlice line;

  if (n < 0)
    {
      if (connection->in_txn)
        g_string_append_printf (connection->database->trace,
                                "%s> closed in a transaction\n",
                                connection->database->id);
      close_connection (connection);
      return;
    }
  g_string_append_len (connection->in, buf->base, n);
  while (!uv_is_closing ((uv_handle_t *)stream)
         && plat_wire_next_line (&line, connection->in->str,
                                 connection->in->len, &used))
    on_line (connection, line);
  g_string_erase (connection->in, 0, (gssize)used);
}

static void
on_connection (uv_stream_t *server, int status)
{
  Connection *connection = g_new0 (Connection, 1);

  (void)status;
  connection->database = server->data;
  g_ptr_array_add (connection->database->connections, connection);
  connection->in = g_string_new (NULL);
  connection->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  tou_values_init (&connection->values);
  uv_tcp_init (server->loop, &connection->tcp);
  connection->tcp.data = connection;
  uv_accept (server, (uv_stream_t *)&connection->tcp);
  uv_read_start ((uv_stream_t *)&connection->tcp, tou_stream_alloc, on_read);
}

LineDatabase *
line_database_new (uv_loop_t *loop, const char *id, gboolean primary)
{
  LineDatabase *database = g_new0 (LineDatabase, 1);
  struct sockaddr_in address;

  database->id = g_strdup (id);
  database->primary = primary;
  database->pos.term = 1;
  database->pos.position = 1;
  database->trace = g_string_new (NULL);
  database->connections = g_ptr_array_new ();
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (loop, &database->listener);
  database->listener.data = database;
  uv_tcp_bind (&database->listener, (const struct sockaddr *)&address, 0);
  uv_listen ((uv_stream_t *)&database->listener, BACKLOG, on_connection);
  return database;
}

void
line_database_promote (LineDatabase *database, guint64 term)
{
  database->primary = TRUE;
  database->pos.term = term;
}

void
line_database_set_group (LineDatabase *database, const char *group)
{
  g_free (database->group);
  database->group = g_strdup (group);
}

int
line_database_port (const LineDatabase *database)
{
  struct sockaddr_in address;
  int len = sizeof address;

  uv_tcp_getsockname (&database->listener, (struct sockaddr *)&address, &len);
  return g_ntohs (address.sin_port);
}

void
line_database_set_position (LineDatabase *database, TouLogPos pos)
{
  database->pos = pos;
}

void
line_database_set_row_size (LineDatabase *database, gsize size)
{
  g_free (database->row_pad);
  database->row_pad = size > 0 ? g_strnfill (size, 'x') : NULL;
}

void
line_database_fail (LineDatabase *database, const char *error)
{
  database->next_error = g_strdup (error);
}

void
line_database_drop (LineDatabase *database)
{
  database->drop = TRUE;
}

void
line_database_rename (LineDatabase *database, const char *id)
{
  g_free (database->id);
  database->id = g_strdup (id);
  line_database_restart (database);
}

void
line_database_restart (LineDatabase *database)
{
  while (database->connections->len > 0)
    close_connection (g_ptr_array_index (database->connections, 0));
}

void
line_database_cut (LineDatabase *database)
{
  database->cut = TRUE;
}

void
line_database_cut_set (LineDatabase *database)
{
  database->cut_set = TRUE;
}

void
line_database_mute (LineDatabase *database, const char *node)
{
  g_free (database->muted);
  database->muted = g_strdup (node);
}

void
line_database_hold (LineDatabase *database)
{
  database->hold = TRUE;
}

void
line_database_resume (LineDatabase *database)
{
  if (database->held_reply == NULL)
    return;
  tou_stream_send (database->held_stream, database->held_reply->str,
                   database->held_reply->len);
  g_string_free (database->held_reply, TRUE);
  database->held_reply = NULL;
}

GString *
line_database_take_trace (LineDatabase *database)
{
  GString *trace = database->trace;

  database->trace = g_string_new (NULL);
  return trace;
}

void
line_database_close (LineDatabase *database)
{
  line_database_restart (database);
  uv_close ((uv_handle_t *)&database->listener, NULL);
}

void
line_database_free (LineDatabase *database)
{
  g_free (database->muted);
  if (database->held_reply != NULL)
    g_string_free (database->held_reply, TRUE);
  g_ptr_array_unref (database->connections);
  g_string_free (database->trace, TRUE);
  g_free (database->row_pad);
  g_free (database->next_error);
  g_free (database->id);
  g_free (database->group);
  g_free (database);
}
