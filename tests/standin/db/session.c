/* Sessions: startup, simple and extended query protocol. */
#include "db.h"

#include <string.h>
#include <unistd.h>

#define CODE_PROTOCOL 196608
#define CODE_CANCEL 80877102
#define CODE_SSL 80877103
#define CODE_GSSENC 80877104

/* Maximum message length, in bytes. */
#define MESSAGE_MAX (64 * 1024 * 1024)

/* Type OID of all columns and parameters: text. */
#define OID_TEXT 25

/* Reads the fields of a message; ok is FALSE after a read beyond its end. */
typedef struct
{
  const guint8 *p;
  const guint8 *end;
  gboolean ok;
} MessageReader;

static const char *
reader_text (MessageReader *reader)
{
  const guint8 *zero = memchr (reader->p, 0, (gsize)(reader->end - reader->p));
  const char *text = (const char *)reader->p;

  if (zero == NULL)
    {
      reader->ok = FALSE;
      return "";
    }
  reader->p = zero + 1;
  return text;
}

/* Reads @a len bytes; NULL if the message has fewer bytes left. */
static const guint8 *
reader_bytes (MessageReader *reader, gsize len)
{
  const guint8 *p = reader->p;

  if (!reader->ok || (gsize)(reader->end - p) < len)
    {
      reader->ok = FALSE;
      return NULL;
    }
  reader->p += len;
  return p;
}

static guint
reader_i16 (MessageReader *reader)
{
  const guint8 *p = reader_bytes (reader, 2);

  return p != NULL ? (guint)p[0] << 8 | p[1] : 0;
}

static guint32
reader_i32 (MessageReader *reader)
{
  const guint8 *p = reader_bytes (reader, 4);

  return p != NULL ? in_i32 (p) : 0;
}

Session *
session_new (Server *server, int fd)
{
  Session *session = g_new0 (Session, 1);

  session->fd = fd;
  session->pid = ++server->last_pid;
  session->secret = g_random_int ();
  session->in = g_byte_array_new ();
  session->out = g_byte_array_new ();
  session->application_name = g_strdup ("");
  session->status = 'I';
  session->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  session->writes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  session->trace_lines
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  return session;
}

static void
portal_clear (Session *session)
{
  stmt_clear (&session->portal);
  for (guint i = 0; i < STMT_MAX_ARGS; i++)
    g_clear_pointer (&session->portal_args[i], g_free);
}

void
session_free (gpointer data)
{
  Session *session = data;

  portal_clear (session);
  close (session->fd);
  g_byte_array_unref (session->in);
  g_byte_array_unref (session->out);
  g_free (session->application_name);
  g_free (session->wait_key);
  g_hash_table_destroy (session->prepared);
  g_hash_table_destroy (session->writes);
  g_ptr_array_unref (session->trace_lines);
  g_free (session);
}

/*
 * Aborts the statement and rolls back the transaction. The caller frees the
 * session.
 */
void
session_abort (Server *server, Session *session)
{
  exec_abort (server, session);
  txn_rollback (server, session);
}

void
session_error (Server *server, Session *session, const char *severity,
               const char *sqlstate, const char *message)
{
  txn_rollback (server, session);
  if (session->status == 'T')
    session->status = 'E';
  session->skip_until_sync = TRUE;
  out_begin (session, 'E');
  g_byte_array_append (session->out, (const guint8 *)"S", 1);
  out_text (session->out, severity);
  g_byte_array_append (session->out, (const guint8 *)"V", 1);
  out_text (session->out, severity);
  g_byte_array_append (session->out, (const guint8 *)"C", 1);
  out_text (session->out, sqlstate);
  g_byte_array_append (session->out, (const guint8 *)"M", 1);
  out_text (session->out, message);
  g_byte_array_append (session->out, (const guint8 *)"", 1);
  out_end (session);
}

static void
session_fatal (Server *server, Session *session, const char *sqlstate,
               const char *message)
{
  session_abort (server, session);
  session_error (server, session, "FATAL", sqlstate, message);
  session->state = SESSION_CLOSING;
}

/* Closes all work connections, like a restart of a demoted primary. */
void
session_close_work_connections (Server *server)
{
  for (guint i = 0; i < server->sessions->len; i++)
    {
      Session *session = g_ptr_array_index (server->sessions, i);

      if (session->state == SESSION_READY && session->term > 0)
        session_fatal (server, session, "57P01",
                       "terminating connection: database follows a primary");
    }
}

static void
session_cancel (Server *server, guint32 pid, guint32 secret)
{
  for (guint i = 0; i < server->sessions->len; i++)
    {
      Session *session = g_ptr_array_index (server->sessions, i);

      if (session->pid == pid && session->secret == secret)
        {
          exec_cancel (server, session);
          return;
        }
    }
}

static gboolean
session_limit_reached (const Server *server)
{
  int count = 0;

  for (guint i = 0; i < server->sessions->len; i++)
    count += ((Session *)g_ptr_array_index (server->sessions, i))->counted;
  return count >= server->options.connections;
}

/* Starts the authentication of a client if the connection limit allows it. */
static void
session_authenticate (Server *server, Session *session)
{
  if (session_limit_reached (server))
    {
      session_fatal (server, session, "53300", "too many connections");
      return;
    }
  session->counted = TRUE;
  session->ready_us = g_get_monotonic_time () + server->options.connect_us;
  session->state = SESSION_CONNECT_DELAY;
  if (server->options.password != NULL)
    {
      session->state = SESSION_PASSWORD;
      out_begin (session, 'R');
      out_i32 (session->out, 3);
      out_end (session);
    }
}

/* Handles the parameters of the startup packet. */
static void
session_startup_parameters (Server *server, Session *session,
                            MessageReader *reader)
{
  static const char term_option[] = "-c toucanscale.term=";
  gboolean replication = FALSE;
  guint64 follow_term = 0;

  while (reader->ok && reader->p < reader->end && *reader->p != 0)
    {
      const char *name = reader_text (reader);
      const char *value = reader_text (reader);

      if (g_str_equal (name, "application_name"))
        {
          g_free (session->application_name);
          session->application_name = g_strdup (value);
        }
      else if (g_str_equal (name, "options")
               && g_str_has_prefix (value, term_option))
        session->term
            = g_ascii_strtoull (value + sizeof term_option - 1, NULL, 10);
      else if (g_str_equal (name, "replication"))
        replication = g_str_equal (value, "true");
      else if (g_str_equal (name, "toucanscale.follow_term"))
        follow_term = g_ascii_strtoull (value, NULL, 10);
    }
  if (replication)
    replica_accept (server, session, follow_term);
  else
    session_authenticate (server, session);
}

static void
session_startup_message (Server *server, Session *session,
                         MessageReader *reader)
{
  guint32 code = reader_i32 (reader);
  guint32 pid;

  switch (code)
    {
    case CODE_SSL:
    case CODE_GSSENC:
      g_byte_array_append (session->out, (const guint8 *)"N", 1);
      break;
    case CODE_CANCEL:
      pid = reader_i32 (reader);
      session_cancel (server, pid, reader_i32 (reader));
      session->state = SESSION_CLOSING;
      break;
    case CODE_PROTOCOL:
      session_startup_parameters (server, session, reader);
      break;
    default:
      session_fatal (server, session, "0A000", "unsupported protocol");
      break;
    }
}

static void
session_parameter_status (Session *session, const char *name, const char *value)
{
  out_begin (session, 'S');
  out_text (session->out, name);
  out_text (session->out, value);
  out_end (session);
}

/* Ends the connect delay: sends AuthenticationOk up to ReadyForQuery. */
static void
session_finish_startup (Server *server, Session *session)
{
  session->state = SESSION_READY;
  out_begin (session, 'R');
  out_i32 (session->out, 0);
  out_end (session);
  session_parameter_status (session, "server_version", "15.0");
  session_parameter_status (session, "client_encoding", "UTF8");
  session_parameter_status (session, "standard_conforming_strings", "on");
  out_begin (session, 'K');
  out_i32 (session->out, session->pid);
  out_i32 (session->out, session->secret);
  out_end (session);
  exec_sync (server, session);
}

/*
 * Sends RowDescription. For a statement without columns, sends NoData if
 * @a send_no_data is set.
 */
static void
session_send_row_description (Session *session, StmtKind kind,
                              gboolean send_no_data)
{
  const char *columns = stmt_columns (kind);
  g_auto (GStrv) names = g_strsplit (columns != NULL ? columns : "", ",", -1);

  if (columns == NULL)
    {
      if (send_no_data)
        {
          out_begin (session, 'n');
          out_end (session);
        }
      return;
    }
  out_begin (session, 'T');
  out_i16 (session->out, g_strv_length (names));
  for (guint i = 0; names[i] != NULL; i++)
    {
      out_text (session->out, names[i]);
      out_i32 (session->out, 0);
      out_i16 (session->out, 0);
      out_i32 (session->out, OID_TEXT);
      out_i16 (session->out, 0xFFFF);
      out_i32 (session->out, G_MAXUINT32);
      out_i16 (session->out, 0);
    }
  out_end (session);
}

static void
session_simple_message (Server *server, Session *session, MessageReader *reader)
{
  const char *sql = reader_text (reader);

  portal_clear (session);
  if (!reader->ok || !sql_parse (&session->portal, sql))
    {
      session_error (server, session, "ERROR", "42601", "syntax error");
      exec_sync (server, session);
      return;
    }
  for (guint i = 0; i < session->portal.n_args; i++)
    session->portal_args[i] = g_strdup (session->portal.args[i].literal);
  session_send_row_description (session, session->portal.kind, FALSE);
  exec_start (server, session, TRUE);
}

static void
session_parse_message (Server *server, Session *session, MessageReader *reader)
{
  const char *name = reader_text (reader);
  const char *sql = reader_text (reader);
  Stmt stmt;

  if (!reader->ok || !sql_parse (&stmt, sql))
    {
      session_error (server, session, "ERROR", "42601", "syntax error");
      return;
    }
  stmt_clear (&stmt);
  g_hash_table_replace (session->prepared, g_strdup (name), g_strdup (sql));
  out_begin (session, '1');
  out_end (session);
}

/* Reads the parameters of Bind and sets the arguments of the portal. */
static gboolean
session_bind_values (Session *session, MessageReader *reader)
{
  char *values[STMT_MAX_ARGS] = { NULL };
  guint formats = reader_i16 (reader);
  guint count;

  reader_bytes (reader, (gsize)formats * 2);
  count = reader_i16 (reader);
  for (guint i = 0; i < count && reader->ok; i++)
    {
      guint32 len = reader_i32 (reader);
      const guint8 *bytes
          = len != G_MAXUINT32 ? reader_bytes (reader, len) : NULL;

      if (bytes != NULL && i < STMT_MAX_ARGS)
        values[i] = g_strndup ((const char *)bytes, len);
    }
  for (guint i = 0; i < session->portal.n_args; i++)
    {
      guint param = session->portal.args[i].param;

      if (param > MIN (count, STMT_MAX_ARGS))
        reader->ok = FALSE;
      else
        session->portal_args[i] = g_strdup (
            param > 0 ? values[param - 1] : session->portal.args[i].literal);
    }
  for (guint i = 0; i < STMT_MAX_ARGS; i++)
    g_free (values[i]);
  return reader->ok;
}

static void
session_bind_message (Server *server, Session *session, MessageReader *reader)
{
  const char *sql;

  reader_text (reader);
  sql = g_hash_table_lookup (session->prepared, reader_text (reader));
  portal_clear (session);
  if (sql == NULL || !sql_parse (&session->portal, sql))
    session_error (server, session, "ERROR", "26000",
                   "prepared statement does not exist");
  else if (!session_bind_values (session, reader))
    session_error (server, session, "ERROR", "08P01",
                   "bind message has too few parameters");
  else
    {
      out_begin (session, '2');
      out_end (session);
    }
}

static void
session_describe_message (Server *server, Session *session,
                          MessageReader *reader)
{
  const guint8 *target = reader_bytes (reader, 1);
  const char *sql;
  Stmt stmt;

  if (target == NULL || *target == 'P')
    {
      session_send_row_description (session, session->portal.kind, TRUE);
      return;
    }
  sql = g_hash_table_lookup (session->prepared, reader_text (reader));
  if (sql == NULL || !sql_parse (&stmt, sql))
    {
      session_error (server, session, "ERROR", "26000",
                     "prepared statement does not exist");
      return;
    }
  out_begin (session, 't');
  out_i16 (session->out, stmt.n_args);
  for (guint i = 0; i < stmt.n_args; i++)
    out_i32 (session->out, OID_TEXT);
  out_end (session);
  session_send_row_description (session, stmt.kind, TRUE);
  stmt_clear (&stmt);
}

/* Handles a message of a session in SESSION_READY. */
static void
session_ready_message (Server *server, Session *session, char type,
                       MessageReader *reader)
{
  if (session->skip_until_sync && type != 'S' && type != 'X')
    return;
  switch (type)
    {
    case 'Q':
      session_simple_message (server, session, reader);
      break;
    case 'P':
      session_parse_message (server, session, reader);
      break;
    case 'B':
      session_bind_message (server, session, reader);
      break;
    case 'D':
      session_describe_message (server, session, reader);
      break;
    case 'E':
      exec_start (server, session, FALSE);
      break;
    case 'C':
      out_begin (session, '3');
      out_end (session);
      break;
    case 'S':
      exec_sync (server, session);
      break;
    case 'H':
      break;
    case 'X':
      session->state = SESSION_CLOSING;
      break;
    default:
      session_fatal (server, session, "08P01", "unknown message type");
      break;
    }
}

static void
session_password_message (Server *server, Session *session, char type,
                          MessageReader *reader)
{
  if (type == 'p'
      && g_str_equal (reader_text (reader), server->options.password))
    session->state = SESSION_CONNECT_DELAY;
  else
    session_fatal (server, session, "28P01", "password is wrong");
}

static void
session_replica_message (Session *session, char type, MessageReader *reader)
{
  const guint8 *position = reader_bytes (reader, 8);

  if (type != 'p' || position == NULL)
    {
      session->state = SESSION_CLOSING;
      return;
    }
  session->sent_position = in_i64 (position);
  session->streaming = TRUE;
}

/* Handles the next message; FALSE if it is incomplete or malformed. */
static gboolean
session_next_message (Server *server, Session *session)
{
  gsize head = session->state == SESSION_STARTUP ? 0 : 1;
  const guint8 *data = session->in->data;
  MessageReader reader = { .ok = TRUE };
  guint32 len;
  char type;

  if (session->in->len < head + 4)
    return FALSE;
  len = in_i32 (data + head);
  if (len < 4 || len > MESSAGE_MAX)
    {
      session->state = SESSION_CLOSING;
      return FALSE;
    }
  if (session->in->len < head + len)
    return FALSE;
  type = (char)data[0];
  reader.p = data + head + 4;
  reader.end = data + head + len;
  if (session->state == SESSION_STARTUP)
    session_startup_message (server, session, &reader);
  else if (session->state == SESSION_PASSWORD)
    session_password_message (server, session, type, &reader);
  else if (session->state == SESSION_REPLICA)
    session_replica_message (session, type, &reader);
  else
    session_ready_message (server, session, type, &reader);
  g_byte_array_remove_range (session->in, 0, (guint)(head + len));
  return TRUE;
}

/* Advances the current statement and handles received messages. */
void
session_process (Server *server, Session *session)
{
  do
    {
      if (session->state == SESSION_CONNECT_DELAY
          && g_get_monotonic_time () >= session->ready_us)
        session_finish_startup (server, session);
      exec_continue (server, session);
    }
  while (session->state != SESSION_CLOSING
         && session->state != SESSION_CONNECT_DELAY
         && session->exec_state == EXEC_IDLE
         && session_next_message (server, session));
}
