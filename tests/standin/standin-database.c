/*
 * Stand-in for one database of a group: PostgreSQL v3 protocol, an in-memory
 * table, terms, fencing and asynchronous replication. docs/databases.md lists
 * the options; db/sql.c documents the SQL subset.
 *
 * SIGUSR1 starts or ends a simulated network partition. During a partition,
 * connections, including those of replication, stay open but are neither read
 * nor written, and no new connection is accepted.
 */
#include "db/db.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static volatile sig_atomic_t partition_toggles;
static volatile sig_atomic_t stopping;

static void
on_signal (int number)
{
  if (number == SIGUSR1)
    partition_toggles++;
  else
    stopping = 1;
}

/* Blocks the signals outside ppoll (), so that a signal always wakes it. */
static void
signals_prepare (sigset_t *wait_mask)
{
  struct sigaction action = { .sa_handler = on_signal };
  sigset_t blocked;

  sigemptyset (&blocked);
  sigaddset (&blocked, SIGUSR1);
  sigaddset (&blocked, SIGTERM);
  sigaddset (&blocked, SIGINT);
  sigprocmask (SIG_BLOCK, &blocked, wait_mask);
  sigdelset (wait_mask, SIGUSR1);
  sigdelset (wait_mask, SIGTERM);
  sigdelset (wait_mask, SIGINT);
  sigaction (SIGUSR1, &action, NULL);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
}

static gboolean
server_listen (Server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;

  address.sin_port = htons ((guint16)server->options.port);
  if (inet_pton (AF_INET, server->options.host, &address.sin_addr) != 1)
    return FALSE;
  server->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (server->listen_fd, (struct sockaddr *)&address, sizeof address)
             == 0
         && listen (server->listen_fd, 512) == 0;
}

static void
server_accept (Server *server)
{
  int one = 1;
  int fd;

  while ((fd = accept4 (server->listen_fd, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      g_ptr_array_add (server->sessions, session_new (server, fd));
    }
}

/* Sets @a out to the time until the next timer; NULL if there is none. */
static struct timespec *
server_timeout (const Server *server, struct timespec *out)
{
  gint64 deadline = upstream_deadline (server);
  gint64 wait;

  for (guint i = 0; i < server->sessions->len; i++)
    {
      const Session *session = g_ptr_array_index (server->sessions, i);

      if (session->state == SESSION_CONNECT_DELAY)
        deadline = MIN (deadline, session->ready_us);
      if (session->exec_state == EXEC_RUNNING)
        deadline = MIN (deadline, session->done_us);
    }
  if (deadline == G_MAXINT64)
    return NULL;
  wait = MAX (deadline - g_get_monotonic_time (), 0);
  out->tv_sec = wait / G_USEC_PER_SEC;
  out->tv_nsec = wait % G_USEC_PER_SEC * 1000;
  return out;
}

static void
poll_set_add (GArray *fds, int fd, gboolean writes)
{
  struct pollfd item = { .fd = fd, .events = POLLIN };

  if (writes)
    item.events |= POLLOUT;
  g_array_append_val (fds, item);
}

/*
 * Fills @a fds with the listener, the upstream connection and the sessions.
 * ppoll () ignores the descriptor -1.
 */
static void
server_fill_poll_set (Server *server, GArray *fds)
{
  g_array_set_size (fds, 0);
  poll_set_add (fds, server->partitioned ? -1 : server->listen_fd, FALSE);
  poll_set_add (fds, server->partitioned ? -1 : server->upstream.fd,
                server->upstream.out->len > 0);
  for (guint i = 0; i < server->sessions->len; i++)
    {
      Session *session = g_ptr_array_index (server->sessions, i);

      replica_stream (server, session);
      poll_set_add (fds, server->partitioned ? -1 : session->fd,
                    session->out->len > 0);
    }
}

/* Reads, processes and writes; FALSE if the session has ended. */
static gboolean
server_step_session (Server *server, Session *session, short revents)
{
  gboolean alive = TRUE;

  if ((revents & (POLLIN | POLLHUP | POLLERR)) != 0)
    alive = io_read (session->fd, session->in);
  if (alive)
    session_process (server, session);
  if (alive && !server->partitioned)
    alive = io_write (session->fd, session->out);
  return alive && (session->state != SESSION_CLOSING || session->out->len > 0);
}

static void
server_step (Server *server, GArray *fds)
{
  guint polled = fds->len - 2;

  if (g_array_index (fds, struct pollfd, 0).revents != 0)
    server_accept (server);
  upstream_step (server, g_array_index (fds, struct pollfd, 1).revents,
                 g_get_monotonic_time ());
  for (guint i = polled; i > 0; i--)
    {
      Session *session = g_ptr_array_index (server->sessions, i - 1);
      short revents = g_array_index (fds, struct pollfd, i + 1).revents;

      if (server_step_session (server, session, revents))
        continue;
      session_abort (server, session);
      g_ptr_array_remove_index (server->sessions, i - 1);
    }
}

/* Advances statements whose lock or slot has become available. */
static void
server_resume_unblocked (Server *server)
{
  gboolean progressed = TRUE;

  while (progressed)
    {
      progressed = FALSE;
      for (guint i = 0; i < server->sessions->len; i++)
        {
          Session *session = g_ptr_array_index (server->sessions, i);
          ExecState before = session->exec_state;

          if (before == EXEC_IDLE)
            continue;
          session_process (server, session);
          progressed = progressed || session->exec_state != before;
        }
    }
}

static void
server_set_partitioned (Server *server, gboolean partitioned)
{
  if (server->partitioned != partitioned)
    trace (server,
           json_pack ("{s:s, s:b}", "kind", "partition", "on", partitioned));
  server->partitioned = partitioned;
}

static void
server_run (Server *server, const sigset_t *wait_mask)
{
  GArray *fds = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  struct timespec timeout;

  while (!stopping)
    {
      server_fill_poll_set (server, fds);
      if (ppoll ((struct pollfd *)(void *)fds->data, fds->len,
                 server_timeout (server, &timeout), wait_mask)
          < 0)
        for (guint i = 0; i < fds->len; i++)
          g_array_index (fds, struct pollfd, i).revents = 0;
      server_set_partitioned (server, partition_toggles % 2 != 0);
      server_step (server, fds);
      server_resume_unblocked (server);
    }
  g_array_unref (fds);
}

static void
server_create (Server *server)
{
  server->sessions = g_ptr_array_new_with_free_func (session_free);
  server->log = g_array_new (FALSE, TRUE, sizeof (LogRecord));
  server->history = g_array_new (FALSE, TRUE, sizeof (TermStart));
  server->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  server->locks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  server->upstream.fd = -1;
  server->upstream.in = g_byte_array_new ();
  server->upstream.out = g_byte_array_new ();
}

static void
server_destroy (Server *server)
{
  upstream_stop (server);
  g_ptr_array_unref (server->sessions);
  for (guint i = 0; i < server->log->len; i++)
    g_ptr_array_unref (g_array_index (server->log, LogRecord, i).changes);
  g_array_unref (server->log);
  g_array_unref (server->history);
  g_hash_table_destroy (server->rows);
  g_hash_table_destroy (server->locks);
  g_byte_array_unref (server->upstream.in);
  g_byte_array_unref (server->upstream.out);
  g_free (server->upstream.host);
  g_free (server->fence_attempt);
  if (server->options.log != NULL)
    fclose (server->options.log);
}

/* Parses "ip:port". */
static gboolean
options_parse_address (Options *options, const char *listen)
{
  const char *colon = listen != NULL ? strrchr (listen, ':') : NULL;

  if (colon == NULL)
    return FALSE;
  options->host = g_strndup (listen, (gsize)(colon - listen));
  options->port = (int)g_ascii_strtoll (colon + 1, NULL, 10);
  return TRUE;
}

static gboolean
options_parse (Options *options, int argc, char **argv)
{
  char *listen = NULL;
  char *log = NULL;
  int connect_ms = 10;
  int service_us = 0;
  int lag_ms = 0;
  GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address", "IP:PORT" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options->name, "name", "NAME" },
    { "password", 0, 0, G_OPTION_ARG_STRING, &options->password,
      "cleartext password (default: none)", "TEXT" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &options->slots,
      "maximum number of concurrent statements", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &options->connections,
      "maximum number of connections", "N" },
    { "connect-ms", 0, 0, G_OPTION_ARG_INT, &connect_ms,
      "delay before a new connection is ready", "MS" },
    { "service-us", 0, 0, G_OPTION_ARG_INT, &service_us,
      "service time of a statement", "US" },
    { "lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms,
      "delay before a received log record is applied", "MS" },
    { "log", 0, 0, G_OPTION_ARG_FILENAME, &log, "trace file (JSON lines)",
      "FILE" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  gboolean ok;

  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, NULL)
       && options_parse_address (options, listen);
  g_option_context_free (context);
  options->connect_us = (gint64)connect_ms * 1000;
  options->service_us = service_us;
  options->lag_us = (gint64)lag_ms * 1000;
  if (ok && log != NULL)
    options->log = fopen (log, "ae");
  ok = ok && (log == NULL || options->log != NULL);
  g_free (listen);
  g_free (log);
  return ok;
}

int
main (int argc, char **argv)
{
  Server server = { .options = { .slots = 3, .connections = 20 } };
  sigset_t wait_mask;

  if (!options_parse (&server.options, argc, argv))
    {
      fprintf (stderr, "usage: %s --listen IP:PORT [options], see --help\n",
               argv[0]);
      return 2;
    }
  if (server.options.name == NULL)
    server.options.name = g_strdup ("database");
  server_create (&server);
  signals_prepare (&wait_mask);
  if (!server_listen (&server))
    {
      fprintf (stderr, "cannot listen on %s:%d\n", server.options.host,
               server.options.port);
      return 1;
    }
  server_run (&server, &wait_mask);
  server_destroy (&server);
  return 0;
}
