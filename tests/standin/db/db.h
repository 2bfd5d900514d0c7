/**
 * @file db.h
 * Shared types and functions of the database stand-in.
 *
 * The process is single-threaded and has one Server.
 */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

G_BEGIN_DECLS

/** Maximum number of arguments of a statement. */
#define STMT_MAX_ARGS 4

/** Maximum number of fields of a row. */
#define ROW_FIELDS 3

/** SQLSTATE of a write that the term check rejects. */
#define SQLSTATE_NOT_PRIMARY "TS001"

/**
 * A row. Its key starts with "r" for the table record (body) and with "q" for
 * the table toucanscale.request (fingerprint, outcome, expires_ms).
 */
typedef struct
{
  char *field[ROW_FIELDS];
} Row;

/** After-image of one row; a NULL row is a deletion. */
typedef struct
{
  char *key;
  Row *row;
} Change;

/** Replication log record; its position is its index in the log plus one. */
typedef struct
{
  guint64 term;
  GPtrArray *changes;
} LogRecord;

/** Start of a term: the position before the first log record of the term. */
typedef struct
{
  guint64 term;
  guint64 start;
} TermStart;

typedef enum
{
  STMT_INSERT,
  STMT_UPDATE,
  STMT_DELETE,
  STMT_SELECT_BODY,
  STMT_SELECT_ROW,
  STMT_COUNT,
  STMT_SELECT_ALL,
  STMT_SLEEP,
  STMT_KEY_INSERT,
  STMT_KEY_OUTCOME,
  STMT_KEY_SELECT,
  STMT_KEY_EXPIRE,
  STMT_BEGIN,
  STMT_BEGIN_READ_ONLY,
  STMT_COMMIT,
  STMT_ROLLBACK,
  STMT_SET_TERM,
  STMT_REPORT,
  STMT_FENCE,
  STMT_PROMOTE,
  STMT_FOLLOW
} StmtKind;

/** A parsed statement; an argument is a parameter number or a literal. */
typedef struct
{
  StmtKind kind;
  guint n_args;
  struct
  {
    guint param; /**< 1-based; 0 for a literal */
    char *literal;
  } args[STMT_MAX_ARGS];
} Stmt;

/** Execution state of a session's current statement. */
typedef enum
{
  EXEC_IDLE,
  EXEC_WAIT_LOCK, /**< waiting for a row lock */
  EXEC_WAIT_SLOT, /**< waiting for a slot */
  EXEC_RUNNING    /**< holding a slot until done_us */
} ExecState;

typedef enum
{
  SESSION_STARTUP,       /**< startup packet expected */
  SESSION_PASSWORD,      /**< password message expected */
  SESSION_CONNECT_DELAY, /**< waiting until ready_us */
  SESSION_READY,
  SESSION_REPLICA, /**< streaming the log to a replica */
  SESSION_CLOSING  /**< closed after the output is sent */
} SessionState;

/** An accepted connection. */
typedef struct
{
  int fd;
  guint32 pid;
  guint32 secret;
  SessionState state;
  GByteArray *in;
  GByteArray *out;
  gsize message_start; /**< offset in out of the message being built */
  char *application_name;
  gboolean counted;      /**< counts towards the connection limit */
  guint64 term;          /**< toucanscale.term; 0: not a work connection */
  gint64 ready_us;       /**< SESSION_CONNECT_DELAY */
  guint64 sent_position; /**< SESSION_REPLICA: of the last record sent */
  gboolean streaming;    /**< SESSION_REPLICA: 'p' received */
  /* extended query protocol */
  GHashTable *prepared; /**< name to SQL text */
  Stmt portal;
  char *portal_args[STMT_MAX_ARGS];
  gboolean skip_until_sync; /**< after an error */
  /* current statement */
  ExecState exec_state;
  gboolean simple_query; /**< received in a Query message */
  gint64 done_us;
  char *wait_key; /**< EXEC_WAIT_LOCK: key of the row */
  /* transaction */
  char status; /**< as in ReadyForQuery: 'I', 'T' or 'E' */
  gboolean read_only;
  GHashTable *writes;     /**< key to Row; NULL for a deletion */
  GPtrArray *trace_lines; /**< json_t, written when the transaction ends */
} Session;

typedef struct
{
  const char *name;
  char *host;
  int port;
  char *password;
  int slots;
  int connections;
  gint64 connect_us;
  gint64 service_us;
  gint64 lag_us;
  FILE *log;
} Options;

/** Connection of a replica to its primary. */
typedef struct
{
  guint64 term; /**< 0: no primary to replicate from */
  guint64 start;
  char *host;
  int port;
  int fd;                  /**< -1: not connected */
  gint64 retry_us;         /**< time of the next connection attempt */
  gboolean handshake_done; /**< position sent, records expected */
  GByteArray *in;
  GByteArray *out;
  GQueue delayed; /**< DelayedRecord, oldest first */
} Upstream;

typedef struct
{
  Options options;
  int listen_fd;
  gboolean partitioned;
  GPtrArray *sessions;
  guint32 last_pid;
  /* storage */
  GArray *log;     /**< Record */
  GArray *history; /**< TermStart */
  GHashTable *rows;
  GHashTable *locks; /**< key to Session */
  guint slots_used;
  GQueue slot_queue; /**< Session */
  GQueue lock_queue; /**< Session */
  /* terms */
  gboolean primary; /**< promoted and not demoted since */
  guint64 primary_term;
  guint64 fence_term;
  char *fence_attempt;
  Upstream upstream;
} Server;

/* sql.c */
gboolean sql_parse (Stmt *out, const char *sql);
void stmt_clear (Stmt *stmt);
const char *stmt_columns (StmtKind kind);

/* storage.c */
Row *row_new (const char *a, const char *b, const char *c);
Row *row_copy (const Row *row);
void row_free (gpointer row);
void change_free (gpointer change);
guint64 log_last_position (const Server *server);
guint64 log_last_term (const Server *server);
void log_append (Server *server, guint64 term, GPtrArray *changes);
void log_truncate (Server *server, guint64 position);
void trace (Server *server, json_t *line);

/* term.c */
gboolean server_is_writable (const Server *server);
gboolean term_fence (Server *server, guint64 term, const char *attempt);
gboolean term_promote (Server *server, guint64 term, const char *attempt);
gboolean term_follow (Server *server, guint64 term, const char *host, int port,
                      guint64 start);
void term_report (Server *server, gboolean granted, char **values);

/* txn.c */
const Row *txn_find (Server *server, Session *session, const char *key);
gboolean txn_lock (Server *server, Session *session, const char *key);
void txn_write (Session *session, const char *key, Row *row);
void txn_trace (Server *server, Session *session, const char *kind,
                const char *key, const char *value);
const char *txn_commit (Server *server, Session *session);
void txn_rollback (Server *server, Session *session);

/* exec.c */
void exec_start (Server *server, Session *session, gboolean simple_query);
void exec_continue (Server *server, Session *session);
void exec_cancel (Server *server, Session *session);
void exec_abort (Server *server, Session *session);
void exec_sync (Server *server, Session *session);

/* session.c */
Session *session_new (Server *server, int fd);
void session_free (gpointer session);
void session_process (Server *server, Session *session);
void session_abort (Server *server, Session *session);
void session_close_work_connections (Server *server);
void session_error (Server *server, Session *session, const char *severity,
                    const char *sqlstate, const char *message);

/* wire.c */
void out_begin (Session *session, char type);
void out_i16 (GByteArray *out, guint value);
void out_i32 (GByteArray *out, guint32 value);
void out_i64 (GByteArray *out, guint64 value);
void out_text (GByteArray *out, const char *text);
void out_value (GByteArray *out, const char *text);
void out_end (Session *session);
void out_row (Session *session, char **values, guint count);
void out_command_tag (Session *session, const char *tag);
guint32 in_i32 (const guint8 *data);
guint64 in_i64 (const guint8 *data);
gboolean io_read (int fd, GByteArray *in);
gboolean io_write (int fd, GByteArray *out);

/* replication.c */
void replica_stream (Server *server, Session *session);
void replica_accept (Server *server, Session *session, guint64 term);
void replica_disconnect_all (Server *server);
void upstream_set (Server *server, guint64 term, const char *host, int port,
                   guint64 start);
void upstream_stop (Server *server);
void upstream_step (Server *server, short revents, gint64 now);
gint64 upstream_deadline (const Server *server);

G_END_DECLS
