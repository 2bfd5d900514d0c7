/* Stand-in for the databases of one service: a primary and its replicas. */
#include "private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1200
#define PROMOTE_MS 600
#define PORT_DATABASE 8080
/* Statements that wait for a slot; more are refused. */
#define QUEUE_LIMIT 24
/* A database whose primary was replaced learns of it after this time. */
#define FOLLOW_MS 1000

/* A committed write. */
typedef struct
{
  guint64 term;
  char *id;
  char *item;
  char *data;
} Commit;

typedef struct
{
  Commit *commit;
  guint64 received_ms;
} Entry;

typedef struct DatabaseConn DatabaseConn;

/* A statement that waits for or occupies a slot. */
typedef struct
{
  DatabaseConn *conn;
  char *id;
  char *text;
} Job;

struct Database
{
  Bench *bench;
  char *id;
  char *ip;
  uv_tcp_t listener;
  guint slots;
  guint work_ms;
  guint lag_ms;
  gboolean primary;
  gboolean deaf;
  gboolean draining;
  gboolean down;
  gboolean promoting;
  guint64 term;
  GArray *log; /* of Entry */
  guint busy;
  GQueue jobs;
  GPtrArray *conns;
  GPtrArray *waiting; /* of Waiting: commits without their replica */
  guint64 sequence;
  guint64 heartbeat_ms;
  guint64 born_ms;
};

struct DatabaseConn
{
  Conn conn;
  Database *database;
  gboolean ended;
  guint n_due; /* jobs and replies that refer to it */
  gboolean started;
  char state; /* I, T or E */
  gboolean read_only;
  GPtrArray *writes; /* of Commit, of the open transaction */
};

/* A commit whose answer waits for a replica. */
typedef struct
{
  DatabaseConn *conn;
  char *id;
  guint index;
} Waiting;

static Database *
service_primary (Bench *bench)
{
  Database *best = NULL;

  for (guint i = 0; i < bench->databases->len; i++)
    {
      Database *database = g_ptr_array_index (bench->databases, i);

      if (database->primary && !database->down
          && (best == NULL || database->term > best->term))
        best = database;
    }
  return best;
}

static guint
database_applied (const Database *database)
{
  guint64 now_ms = bench_ms (database->bench);
  guint applied = database->log->len;

  if (database->primary)
    return applied;
  while (applied > 0
         && g_array_index (database->log, Entry, applied - 1).received_ms
                    + database->lag_ms
                > now_ms)
    applied--;
  return applied;
}

const char *
database_id (const Database *database)
{
  return database->id;
}

guint64
database_received (const Database *database)
{
  return database->log->len;
}

gboolean
database_has_write (const Database *database, const char *id)
{
  for (guint i = 0; i < database->log->len; i++)
    if (strcmp (g_array_index (database->log, Entry, i).commit->id, id) == 0)
      return TRUE;
  return FALSE;
}

guint
bench_unasked (const Bench *bench)
{
  return bench->n_unasked;
}

guint64
bench_ran_ms (const Bench *bench, const char *id)
{
  const guint64 *ms = g_hash_table_lookup (bench->ran, id);

  return ms != NULL ? *ms : 0;
}

/* Replies. */

static void
conn_unref (DatabaseConn *self)
{
  if (--self->n_due > 0 || !self->ended)
    return;
  g_ptr_array_unref (self->writes);
  g_free (self);
}

static void
database_conn_free (gpointer conn)
{
  DatabaseConn *self = conn;

  g_ptr_array_remove_fast (self->database->conns, self);
  self->ended = TRUE;
  self->n_due++;
  conn_unref (self);
}

static void reply (DatabaseConn *self, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
reply (DatabaseConn *self, const char *format, ...)
{
  va_list args;
  char *text;

  if (self->ended || self->conn.closed)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  conn_send (&self->conn, text, strlen (text));
  g_free (text);
}

static void
reply_ready (DatabaseConn *self)
{
  reply (self, "READY %c %" G_GUINT64_FORMAT ".%u\r\n", self->state,
         self->database->term, 1000 + database_applied (self->database));
}

static void
reply_proof (DatabaseConn *self, const char *id)
{
  reply (self, "COMPLETE 7.%s.%s\r\n", self->database->id, id);
  reply_ready (self);
}

static void
reply_error (DatabaseConn *self, const char *code)
{
  if (self->state == 'T')
    self->state = 'E';
  reply (self, "ERROR %s %s\r\n", code, self->database->id);
  reply_ready (self);
}

/* Commits. */

static guint
replicas_received (const Database *primary)
{
  const Bench *bench = primary->bench;
  guint received = 0;

  for (guint i = 0; i < bench->databases->len; i++)
    {
      const Database *database = g_ptr_array_index (bench->databases, i);

      if (database != primary && !database->down && !database->primary)
        received = MAX (received, database->log->len);
    }
  return received;
}

static void
acknowledge (Database *database)
{
  guint received = replicas_received (database);

  for (guint i = 0; i < database->waiting->len;)
    {
      Waiting *waiting = g_ptr_array_index (database->waiting, i);

      if (database->bench->sync_replicas > 0 && received < waiting->index)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (database->waiting, i);
      reply_proof (waiting->conn, waiting->id);
      conn_unref (waiting->conn);
      g_free (waiting->id);
      g_free (waiting);
    }
}

static void
commit (DatabaseConn *self, const char *id)
{
  Database *database = self->database;
  Waiting *waiting;

  for (guint i = 0; i < self->writes->len; i++)
    {
      Entry entry
          = { g_ptr_array_index (self->writes, i), bench_ms (database->bench) };

      entry.commit->term = database->term;
      g_array_append_val (database->log, entry);
    }
  self->state = 'I';
  if (self->writes->len == 0)
    {
      reply_proof (self, id);
      return;
    }
  g_ptr_array_set_size (self->writes, 0);
  waiting = g_new0 (Waiting, 1);
  waiting->conn = self;
  waiting->id = g_strdup (id);
  waiting->index = database->log->len;
  self->n_due++;
  g_ptr_array_add (database->waiting, waiting);
  acknowledge (database);
}

static void
run_read (DatabaseConn *self, const char *id, const char *item)
{
  const Database *database = self->database;
  const char *data = "-";

  for (guint i = database_applied (database); i-- > 0;)
    {
      const Commit *entry = g_array_index (database->log, Entry, i).commit;

      if (strcmp (entry->item, item) != 0)
        continue;
      data = entry->data;
      break;
    }
  reply (self, "DATAROW %s\r\n", data);
  reply_proof (self, id);
}

static void
run_write (DatabaseConn *self, const char *id, const char *item,
           const char *data)
{
  Commit *entry;

  if (!self->database->primary || self->read_only)
    {
      reply_error (self, "READONLY");
      return;
    }
  entry = g_new0 (Commit, 1);
  entry->id = g_strdup (id);
  entry->item = g_strdup (item);
  entry->data = g_strdup (data);
  g_ptr_array_add (self->writes, entry);
  if (self->state == 'T')
    reply_proof (self, id);
  else
    commit (self, id);
}

static void
run_status (DatabaseConn *self)
{
  const Database *database = self->database;
  const Database *primary = service_primary (database->bench);

  reply (self,
         "DATAROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
         ".%u 0 %u %u %u\r\nCOMPLETE -\r\n",
         database->primary ? "primary" : "replica",
         primary != NULL && !database->deaf
             ? MAX (primary->term, database->term)
             : database->term,
         database->term, 1000 + database->log->len, database->lag_ms,
         database->busy, database->conns->len);
  reply_ready (self);
}

static void
database_set_role (Database *database, gboolean primary)
{
  if (database->primary == primary)
    return;
  database->primary = primary;
  database->heartbeat_ms = 0;
  bench_note (database->bench, "database %s: is %s, term %" G_GUINT64_FORMAT,
              database->id, primary ? "primary" : "replica", database->term);
}

/* TRUE if the statement occupies a slot. */
static gboolean
needs_slot (const char *text)
{
  return g_str_has_prefix (text, "READ ") || g_str_has_prefix (text, "WRITE ")
         || g_str_has_prefix (text, "EXECUTE ") || strcmp (text, "COMMIT") == 0
         || strcmp (text, "STATUS") == 0 || g_str_has_prefix (text, "STEPDOWN");
}

/* Removes the condition in front of a statement. @return FALSE if the log lacks
   its position */
static gboolean
check_after (const Database *database, const char **text)
{
  char *end;
  guint64 term;
  guint64 number;

  if (!g_str_has_prefix (*text, "AFTER "))
    return TRUE;
  term = g_ascii_strtoull (*text + 6, &end, 10);
  number = g_ascii_strtoull (end + 1, &end, 10);
  *text = end + 1;
  return term <= database->term && number <= 1000 + database_applied (database);
}

static void
run_begin (DatabaseConn *self, const char *text)
{
  if (!check_after (self->database, &text))
    {
      reply_error (self, "LAGGING");
      return;
    }
  self->read_only = strcmp (text, "BEGIN READ") == 0;
  if (!self->read_only && !self->database->primary)
    {
      reply_error (self, "READONLY");
      return;
    }
  self->state = 'T';
  reply (self, "COMPLETE -\r\n");
  reply_ready (self);
}

static void
run_words (DatabaseConn *self, const char *id, char **words)
{
  Database *database = self->database;
  guint n = g_strv_length (words);

  if (strcmp (words[0], "READ") == 0 && n >= 2)
    run_read (self, id, words[1]);
  else if (strcmp (words[0], "WRITE") == 0 && n >= 3)
    run_write (self, id, words[1], words[2]);
  else if (strcmp (words[0], "COMMIT") == 0)
    commit (self, id);
  else if (strcmp (words[0], "STATUS") == 0)
    run_status (self);
  else if (strcmp (words[0], "STEPDOWN") == 0)
    {
      if (g_ascii_strtoull (words[1], NULL, 10) > database->term)
        database_set_role (database, FALSE);
      run_status (self);
    }
  else
    reply_error (self, "MALFORMED");
}

static void
run_statement (DatabaseConn *self, const char *id, const char *text)
{
  char **words;

  if (self->state == 'E' && strcmp (text, "ROLLBACK") != 0)
    {
      reply_error (self, "MALFORMED");
      return;
    }
  if (self->state == 'T' && !self->read_only && !self->database->primary
      && strcmp (text, "ROLLBACK") != 0)
    {
      reply_error (self, "READONLY");
      return;
    }
  if (!check_after (self->database, &text))
    {
      reply_error (self, "LAGGING");
      return;
    }
  words = g_strsplit (text, " ", 3);
  run_words (self, id, words);
  g_strfreev (words);
}

/* Slots. */

static void jobs_start (Database *database);

static void
job_done (gpointer data)
{
  Job *job = data;
  DatabaseConn *self = job->conn;
  Database *database = self->database;

  database->busy--;
  if (!self->ended && !self->conn.closed && !database->down)
    run_statement (self, job->id, job->text);
  conn_unref (self);
  g_free (job->id);
  g_free (job->text);
  g_free (job);
  jobs_start (database);
}

/* Between half and one and a half times the mean. */
static guint64
job_us (const Database *database, const char *text)
{
  gboolean short_job
      = strcmp (text, "STATUS") == 0 || g_str_has_prefix (text, "STEPDOWN");
  guint64 us = short_job ? 1000 : (guint64)database->work_ms * 1000;

  return us * (guint64)g_random_int_range (50, 150) / 100;
}

/* Text of a statement without the condition in front of it. */
static const char *
plain_text (const char *text)
{
  return g_str_has_prefix (text, "AFTER ") ? strchr (text + 6, ' ') + 1 : text;
}

static void
note_run (Database *database, const Job *job, guint64 ms)
{
  Bench *bench = database->bench;
  const char *sent = g_hash_table_lookup (bench->sent, job->id);

  g_hash_table_replace (bench->ran, g_strdup (job->id),
                        g_memdup2 (&ms, sizeof ms));
  bench_note (bench, "run      %s on %s: %s", job->id, database->id, job->text);
  if (g_strcmp0 (sent, plain_text (job->text)) == 0)
    return;
  bench->n_unasked++;
  bench_note (bench, "unasked  %s on %s: a requester sent %s", job->id,
              database->id, sent != NULL ? sent : "no such id");
}

static void
jobs_start (Database *database)
{
  Bench *bench = database->bench;

  while (database->busy < database->slots && database->jobs.length > 0)
    {
      Job *job = g_queue_pop_head (&database->jobs);
      guint64 ms = bench_ms (bench);

      database->busy++;
      if (job->id[0] != '-')
        note_run (database, job, ms);
      bench_after_us (bench, job_us (database, job->text), job_done, job);
    }
}

static void
on_query (DatabaseConn *self, const char *id, const char *text)
{
  Database *database = self->database;
  const char *rest;
  Job *job;

  if (strcmp (text, "ROLLBACK") == 0 || strcmp (text, "RESET") == 0
      || g_str_has_prefix (text, "SET ") || g_str_has_prefix (text, "PREPARE "))
    {
      if (strcmp (text, "ROLLBACK") == 0)
        {
          self->state = 'I';
          g_ptr_array_set_size (self->writes, 0);
        }
      reply (self, "COMPLETE -\r\n");
      reply_ready (self);
      return;
    }
  rest = plain_text (text);
  if (g_str_has_prefix (rest, "BEGIN"))
    {
      run_begin (self, text);
      return;
    }
  if (!needs_slot (rest))
    {
      reply_error (self, "MALFORMED");
      return;
    }
  if (database->jobs.length >= QUEUE_LIMIT)
    {
      reply_error (self, "BUSY");
      return;
    }
  job = g_new0 (Job, 1);
  job->conn = self;
  job->id = g_strdup (id);
  job->text = g_strdup (text);
  self->n_due++;
  g_queue_push_tail (&database->jobs, job);
  jobs_start (database);
}

static void
on_startup (DatabaseConn *self, char **words)
{
  Database *database = self->database;
  guint n = g_strv_length (words);

  if (n < 2 || strcmp (words[1], database->bench->service) != 0
      || (n > 3 && strcmp (words[3], database->id) != 0))
    {
      reply (self, "ERROR MOVED another database\r\n");
      conn_close (&self->conn);
      return;
    }
  if (database->conns->len > database->bench->max_conns)
    {
      reply (self, "ERROR TOOMANYCON full\r\n");
      conn_close (&self->conn);
      return;
    }
  self->started = TRUE;
  reply_ready (self);
}

static gsize
database_on_bytes (gpointer conn, const char *data, gsize len)
{
  DatabaseConn *self = conn;
  const char *end = memmem (data, len, "\r\n", 2);
  char *line;
  char **words;

  if (end == NULL)
    return 0;
  line = g_strndup (data, (gsize)(end - data));
  words = g_strsplit (line, " ", self->started ? 3 : 5);
  if (!self->started)
    on_startup (self, words);
  else if (strcmp (words[0], "QUERY") == 0 && g_strv_length (words) == 3)
    on_query (self, words[1], words[2]);
  else
    conn_close (&self->conn);
  g_strfreev (words);
  g_free (line);
  return (gsize)(end - data) + 2;
}

static void
database_on_connection (uv_stream_t *server, int status)
{
  Database *database = server->data;
  DatabaseConn *self;

  if (status != 0)
    return;
  self = g_new0 (DatabaseConn, 1);
  self->database = database;
  self->state = 'I';
  self->writes = g_ptr_array_new ();
  self->conn.on_bytes = database_on_bytes;
  self->conn.on_free = database_conn_free;
  conn_init (&self->conn, database->bench);
  uv_accept (server, (uv_stream_t *)&self->conn.tcp);
  g_ptr_array_add (database->conns, self);
  conn_start (&self->conn);
}

Database *
database_new (Bench *bench, const char *id, guint slots, guint work_ms,
              gboolean primary)
{
  Database *database = g_new0 (Database, 1);

  database->bench = bench;
  database->id = g_strdup (id);
  database->ip = bench_next_ip (bench);
  database->slots = slots;
  database->work_ms = work_ms;
  database->lag_ms = 8;
  database->primary = primary;
  database->term = 3;
  database->born_ms = (guint64)g_get_real_time () / 1000;
  database->log = g_array_new (FALSE, FALSE, sizeof (Entry));
  database->conns = g_ptr_array_new ();
  database->waiting = g_ptr_array_new ();
  g_queue_init (&database->jobs);
  g_ptr_array_add (bench->databases, database);
  bench_listen (bench, &database->listener, database->ip, PORT_DATABASE,
                database, database_on_connection);
  return database;
}

void
database_set_deaf (Database *database, gboolean deaf)
{
  bench_note (database->bench, "database %s: receives %s", database->id,
              deaf ? "nothing" : "again");
  database->deaf = deaf;
}

void
database_set_lag (Database *database, guint ms)
{
  bench_note (database->bench, "database %s: applies %u ms late", database->id,
              ms);
  database->lag_ms = ms;
}

void
database_crash (Database *database)
{
  if (database->down)
    return;
  bench_note (database->bench,
              "database %s: crashes with log position %" G_GUINT64_FORMAT ".%u",
              database->id, database->term, 1000 + database->log->len);
  database->down = TRUE;
  uv_close ((uv_handle_t *)&database->listener, NULL);
  for (guint i = 0; i < database->conns->len; i++)
    conn_close (
        &((DatabaseConn *)g_ptr_array_index (database->conns, i))->conn);
}

static void
drain_end (gpointer data)
{
  Database *database = data;
  char *key = g_strconcat ("servers/", database->id, NULL);

  bench_note (database->bench, "database %s: has left", database->id);
  platform_remove (database->bench, key);
  database_crash (database);
  g_free (key);
}

void
database_drain (Database *database, guint64 ms)
{
  bench_note (database->bench, "database %s: reports draining", database->id);
  database->draining = TRUE;
  database->heartbeat_ms = 0;
  bench_after (database->bench, ms, drain_end, database);
}

typedef struct
{
  Database *database;
  Database *old;
} Promotion;

static void
follow (gpointer data)
{
  Promotion *promotion = data;

  if (!promotion->old->down && promotion->old->term < promotion->database->term)
    database_set_role (promotion->old, FALSE);
  g_free (promotion);
}

static void
promote_done (gpointer data)
{
  Database *database = data;
  Bench *bench = database->bench;
  Promotion *promotion = g_new0 (Promotion, 1);
  guint64 term = 0;

  database->promoting = FALSE;
  for (guint i = 0; i < bench->databases->len; i++)
    {
      const Database *other = g_ptr_array_index (bench->databases, i);

      term = MAX (term, other->term);
    }
  promotion->database = database;
  promotion->old = service_primary (bench);
  database->term = term + 1;
  bench_note (bench, "database %s: leads with log position %u", database->id,
              1000 + database->log->len);
  database_set_role (database, TRUE);
  if (promotion->old != NULL)
    bench_after (bench, FOLLOW_MS, follow, promotion);
  else
    g_free (promotion);
}

int
database_promote (Bench *bench, const char *id)
{
  for (guint i = 0; i < bench->databases->len; i++)
    {
      Database *database = g_ptr_array_index (bench->databases, i);

      if (strcmp (database->id, id) != 0)
        continue;
      if (database->down)
        return 409;
      if (database == service_primary (bench) || database->promoting)
        return 200;
      database->promoting = TRUE;
      bench_after (bench, PROMOTE_MS, promote_done, database);
      return 200;
    }
  return 409;
}

static void
heartbeat (Database *database)
{
  Bench *bench = database->bench;
  char *key = g_strconcat ("servers/", database->id, NULL);
  json_t *entry = json_pack (
      "{s:s,s:s+,s:s,s:s,s:i,s:s,s:i,s:s,s:I,s:I}", "service", bench->service,
      "address", database->ip, ":8080", "zone", "ub-east", "version", "v1",
      "capacity", (int)database->slots, "state",
      database->draining ? "draining" : "ready", "coldMs", 0, "dbRole",
      database->primary ? "primary" : "replica", "sequence",
      (json_int_t)++database->sequence, "born", (json_int_t)database->born_ms);
  char *text = json_dumps (entry, JSON_COMPACT);

  platform_put (bench, key, text);
  free (text);
  json_decref (entry);
  g_free (key);
}

/* Copies the primary's log to a replica. */
static void
replicate (Database *replica, const Database *primary)
{
  guint64 now_ms = bench_ms (replica->bench);
  guint common = 0;

  while (common < MIN (replica->log->len, primary->log->len)
         && g_array_index (replica->log, Entry, common).commit
                == g_array_index (primary->log, Entry, common).commit)
    common++;
  if (common < replica->log->len)
    bench_note (replica->bench, "database %s: rolls back %u commits",
                replica->id, replica->log->len - common);
  g_array_set_size (replica->log, common);
  for (guint i = common; i < primary->log->len; i++)
    {
      Entry entry = { g_array_index (primary->log, Entry, i).commit, now_ms };

      g_array_append_val (replica->log, entry);
    }
  replica->term = primary->term;
}

void
databases_tick (Bench *bench)
{
  Database *primary = service_primary (bench);
  guint64 now_ms = bench_ms (bench);

  for (guint i = 0; i < bench->databases->len; i++)
    {
      Database *database = g_ptr_array_index (bench->databases, i);

      if (database->down)
        continue;
      if (now_ms >= database->heartbeat_ms + HEARTBEAT_MS
          || database->heartbeat_ms == 0)
        {
          database->heartbeat_ms = MAX (now_ms, 1);
          heartbeat (database);
        }
      if (primary != NULL && database != primary && !database->primary
          && !database->deaf && !database->promoting)
        replicate (database, primary);
    }
  if (primary != NULL)
    acknowledge (primary);
}

void
bench_crash_primary (Bench *bench)
{
  Database *primary = service_primary (bench);

  if (primary != NULL)
    database_crash (primary);
}
