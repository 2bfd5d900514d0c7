/* Guards against clients that make toucansessiond run out of memory or of
 * descriptors: each test starts the process with low limits, runs one kind of
 * misbehaving clients against it, and checks that it lives within the limits
 * and answers an ordinary request of another client. Nothing else that is
 * checked depends on speed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "control/flood-node.h"

#include "clock.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A message of legal size with its keyword and line end, and one that is not.
 */
#define LEGAL_BYTES ((gsize)1040000)
#define ILLEGAL_BYTES ((gsize)8 << 20)
/* Number of clients of a set. */
#define CLIENTS 60
/* Of a set that does not read: few, so that the database can fill the send
   buffers of the kernel, up to 4 MiB each, before the kernel gives up. */
#define SILENT_CLIENTS 12
#define CONNECTIONS 400
/* A set ends when it has made no progress for this long; it then holds what it
   can hold. */
#define QUIET_US (2500 * TOU_US_PER_MS)
/* Limit for the answer to an ordinary request, which the client repeats. */
#define ANSWER_US (30 * TOU_US_PER_S)

#define STARTUP "STARTUP app u\r\n"

typedef struct
{
  int fd;
  gsize sent;
} FloodClient;

/* Clients that send the same bytes. */
typedef struct
{
  const FloodNode *node;
  FloodPort port;
  const GString *input;
  gsize piece;     /* bytes per call */
  gsize slow_from; /* from here on, one byte per call; 0: never */
  gboolean reads;
  guint n_clients;
  FloodClient clients[CONNECTIONS];
} Flood;

/* Process and set of the running test; ended by its teardown. */
static FloodNode *test_node;
static Flood test_flood;

static void
append_query (GString *out, const char *text, gsize size)
{
  gsize start = out->len;

  g_string_append_printf (out, "QUERY q %s", text);
  while (out->len - start < size)
    g_string_append_len (out, "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
                         (gssize)MIN (size - (out->len - start), 32));
  g_string_append (out, "\r\n");
}

static GString *
input_new (const char *text, gsize size, guint count)
{
  GString *input = g_string_new (STARTUP);

  for (guint i = 0; i < count; i++)
    append_query (input, text, size);
  return input;
}

static void
client_end (FloodClient *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

/* Drops what was received. Returns FALSE at the end of the connection. */
static gboolean
client_read (const FloodClient *client, gboolean *progress)
{
  static char buffer[256 * 1024];
  ssize_t n;

  while ((n = recv (client->fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
    *progress = TRUE;
  return n < 0 && errno == EAGAIN;
}

/* Sends the next piece. Returns FALSE at the end of the connection. */
static gboolean
client_send (FloodClient *client, const Flood *flood, gboolean *progress)
{
  gsize left = flood->input->len - client->sent;
  gsize size = MIN (left, flood->piece);
  ssize_t n;

  if (left == 0)
    return TRUE;
  if (flood->slow_from > 0)
    size = client->sent >= flood->slow_from
               ? 1
               : MIN (size, flood->slow_from - client->sent);
  n = send (client->fd, flood->input->str + client->sent, size,
            MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n > 0)
    client->sent += (gsize)n;
  *progress = *progress || n > 0;
  return n > 0 || errno == EAGAIN;
}

/* Runs the set until it makes no progress; its connections stay open. */
static void
flood_run (Flood *flood)
{
  guint64 progress_us = tou_clock_us ();

  if (flood->piece == 0)
    flood->piece = flood->input->len;
  for (guint i = 0; i < flood->n_clients; i++)
    flood->clients[i].fd = flood_node_connect (flood->node, flood->port);
  while (tou_clock_us () < progress_us + QUIET_US)
    {
      gboolean progress = FALSE;

      for (guint i = 0; i < flood->n_clients; i++)
        {
          FloodClient *client = &flood->clients[i];

          if (client->fd >= 0
              && ((flood->reads && !client_read (client, &progress))
                  || !client_send (client, flood, &progress)))
            client_end (client);
        }
      if (progress)
        progress_us = tou_clock_us ();
      else
        g_usleep (1000);
    }
}

static void
flood_end (Flood *flood)
{
  for (guint i = 0; i < flood->n_clients; i++)
    client_end (&flood->clients[i]);
}

/* Sends the text and reads until the answer contains @a end. Returns FALSE if
   the connection ends first or the time has passed. */
static gboolean
exchange (int fd, const GString *text, const char *end, guint64 end_us)
{
  GString *in = g_string_new (NULL);
  gsize sent = 0;
  gboolean found = FALSE;
  gboolean open = fd >= 0;
  char buffer[4096];

  while (open && !found && tou_clock_us () < end_us)
    {
      struct pollfd ready
          = { fd, (short)(POLLIN | (sent < text->len ? POLLOUT : 0)), 0 };
      ssize_t n;

      poll (&ready, 1, 100);
      if (sent < text->len
          && (n = send (fd, text->str + sent, text->len - sent,
                        MSG_DONTWAIT | MSG_NOSIGNAL))
                 > 0)
        sent += (gsize)n;
      while ((n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
        g_string_append_len (in, buffer, n);
      open = n < 0 && errno == EAGAIN;
      found = strstr (in->str, end) != NULL;
    }
  g_string_free (in, TRUE);
  return found;
}

/* Repeats a request in new sessions until it is answered, like a client whose
   operation may be refused at first. */
static gboolean
is_answered (const FloodNode *node, FloodPort port, const GString *text,
             const char *end)
{
  guint64 end_us = tou_clock_us () + ANSWER_US;
  gboolean found = FALSE;

  while (!found && tou_clock_us () < end_us)
    {
      guint64 try_us = MIN (end_us, tou_clock_us () + 6 * TOU_US_PER_S);
      int fd = flood_node_connect (node, port);

      found = exchange (fd, text, end, try_us);
      if (fd >= 0)
        close (fd);
      if (!found)
        g_usleep (50 * TOU_US_PER_MS);
    }
  return found;
}

static gboolean
serves (const FloodNode *node)
{
  GString *text = input_new ("READ x", 0, 1);
  gboolean served
      = is_answered (node, FLOOD_CLIENTS, text, "COMPLETE proof-db1-q");

  g_string_free (text, TRUE);
  return served;
}

/* The sanitizers keep freed memory and need several times as much. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define MEMORY_IS_MEASURED FALSE
#else
#define MEMORY_IS_MEASURED TRUE
#endif

static void
check_limits (const FloodNode *node, const char *when)
{
  gsize peak_kb = flood_node_peak_kb (node);
  guint descriptors = flood_node_descriptors (node);

  print_message ("%s: peak %zu KiB, %u descriptors\n", when, peak_kb,
                 descriptors);
  assert_true (flood_node_is_running (node));
  if (MEMORY_IS_MEASURED)
    assert_in_range (peak_kb, 1, (gsize)FLOOD_MEMORY_MB * 1024);
  assert_in_range (descriptors, 1, FLOOD_SOCKETS);
}

static int
set_up (void **state)
{
  (void)state;
  memset (&test_flood, 0, sizeof test_flood);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  flood_end (&test_flood);
  if (test_node != NULL)
    flood_node_stop (test_node);
  test_node = NULL;
  return 0;
}

static FloodNode *
node_start (gsize row_size)
{
  test_node = flood_node_start (row_size);
  assert_true (serves (test_node));
  return test_node;
}

/* Runs the set against a new process, and checks it while the connections are
   open and after they have ended. */
static void
run_set (Flood *flood, gsize row_size)
{
  FloodNode *node = node_start (row_size);
  gboolean served;

  flood->node = node;
  flood_run (flood);
  check_limits (node, "with the set");
  served = serves (node);
  flood_end (flood);
  assert_true (served);
  assert_true (serves (node));
  check_limits (node, "after the set");
}

static void
run_input (GString *input, gsize piece, gsize slow_from, gboolean reads,
           gsize row_size)
{
  Flood *flood = &test_flood;

  flood->input = input;
  flood->piece = piece;
  flood->slow_from = slow_from;
  flood->reads = reads;
  flood->n_clients = reads ? CLIENTS : SILENT_CLIENTS;
  run_set (flood, row_size);
  g_string_free (input, TRUE);
}

/* Limits that refuse what the protocol permits. */
static void
test_largest_message_is_served (void **state)
{
  FloodNode *node = node_start (0);
  GString *text = input_new ("READ ", LEGAL_BYTES, 1);

  (void)state;
  assert_true (is_answered (node, FLOOD_CLIENTS, text, "COMPLETE proof-db1-q"));
  check_limits (node, "after the message");
  g_string_free (text, TRUE);
}

/* Reading that stops ahead of a statement, or statements that wait for answers
   to be read, and that do not go on. */
static void
test_pipelined_statements_are_answered (void **state)
{
  FloodNode *node = node_start (4096);
  GString *text = input_new ("READ x", 60, 4000);

  (void)state;
  g_string_append (text, "QUERY last READ x\r\n");
  assert_true (
      is_answered (node, FLOOD_CLIENTS, text, "COMPLETE proof-db1-last"));
  check_limits (node, "after the statements");
  g_string_free (text, TRUE);
}

/* Input and statements of many sessions that are kept at the same time. */
static void
test_large_messages_at_once (void **state)
{
  (void)state;
  run_input (input_new ("READ ", LEGAL_BYTES, 1), 0, 0, TRUE, 0);
}

static void
test_large_messages_in_small_pieces (void **state)
{
  (void)state;
  run_input (input_new ("READ ", LEGAL_BYTES, 1), 4096, 0, TRUE, 0);
}

/* Input that is kept although it cannot become a message. */
static void
test_messages_over_the_limit (void **state)
{
  (void)state;
  run_input (input_new ("READ ", ILLEGAL_BYTES, 1), 0, 0, TRUE, 0);
}

/* Answers that pile up because statements are run while none are read. */
static void
test_pipelined_statements_without_reading (void **state)
{
  (void)state;
  run_input (input_new ("READ x", 0, 80), 0, 0, FALSE, (gsize)256 * 1024);
}

/* Partial messages that stay. */
static void
test_slow_senders_that_stop (void **state)
{
  GString *input = input_new ("READ ", 1000400, 1);

  (void)state;
  g_string_truncate (input, 1000400);
  run_input (input, 0, 1000000, TRUE, 0);
}

/* Large answers that are never read. */
static void
test_clients_that_never_read (void **state)
{
  (void)state;
  run_input (input_new ("READ x", 0, 16), 0, 0, FALSE, (gsize)1000 * 1024);
}

/* Session state that grows without limit. */
static void
test_many_prepared_statements_and_values (void **state)
{
  Flood *flood = &test_flood;
  GString *input = g_string_new (STARTUP);

  (void)state;
  for (guint i = 0; i < 50; i++)
    {
      char *prepare = g_strdup_printf ("PREPARE p%u READ %u", i, i);
      char *set = g_strdup_printf ("SET v%u ", i);

      append_query (input, prepare, LEGAL_BYTES);
      append_query (input, set, LEGAL_BYTES);
      g_free (prepare);
      g_free (set);
    }
  append_query (input, "EXECUTE p0 1", 0);
  flood->input = input;
  flood->reads = TRUE;
  flood->n_clients = 1;
  run_set (flood, 0);
  g_string_free (input, TRUE);
}

/* Prepared statements that are kept after their sessions have ended. */
static void
test_prepared_statements_of_ended_sessions (void **state)
{
  FloodNode *node = node_start (0);

  (void)state;
  for (guint i = 0; i < 100; i++)
    {
      char *prepare = g_strdup_printf ("PREPARE p READ %u", i);
      GString *text = input_new (prepare, LEGAL_BYTES, 1);

      assert_true (is_answered (node, FLOOD_CLIENTS, text, "COMPLETE -"));
      g_string_free (text, TRUE);
      g_free (prepare);
    }
  assert_true (serves (node));
  check_limits (node, "after the sessions");
}

static void
run_connections (FloodPort port)
{
  Flood *flood = &test_flood;
  GString *input = g_string_new ("S");

  flood->input = input;
  flood->port = port;
  flood->n_clients = CONNECTIONS;
  run_set (flood, 0);
  g_string_free (input, TRUE);
}

/* Connections without a session, which take the descriptors for databases and
   the store, and the place of other clients. */
static void
test_connections_beyond_the_limit (void **state)
{
  (void)state;
  run_connections (FLOOD_CLIENTS);
}

static void
test_peer_connections_beyond_the_limit (void **state)
{
  (void)state;
  run_connections (FLOOD_PEERS);
}

/* Partial messages on the port for other nodes. */
static void
test_large_messages_of_peers (void **state)
{
  Flood *flood = &test_flood;
  GString *input = g_string_new ("STARTUP g n db1\r\n");

  (void)state;
  append_query (input, "READ ", LEGAL_BYTES);
  g_string_truncate (input, 1000000);
  flood->input = input;
  flood->port = FLOOD_PEERS;
  flood->reads = TRUE;
  flood->n_clients = 2 * CLIENTS;
  run_set (flood, 0);
  g_string_free (input, TRUE);
}

/* Silent connections that occupy the readiness port for good. */
static void
test_silent_readiness_connections (void **state)
{
  Flood *flood = &test_flood;
  GString *input = g_string_new ("G");
  GString *request = g_string_new ("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
  FloodNode *node = node_start (0);

  (void)state;
  flood->node = node;
  flood->port = FLOOD_READY;
  flood->input = input;
  flood->n_clients = 40;
  flood_run (flood);
  assert_true (is_answered (node, FLOOD_READY, request, "200 OK"));
  assert_true (serves (node));
  check_limits (node, "with the set");
  flood_end (flood);
  g_string_free (input, TRUE);
  g_string_free (request, TRUE);
}

#define FLOOD_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    FLOOD_TEST (test_largest_message_is_served),
    FLOOD_TEST (test_pipelined_statements_are_answered),
    FLOOD_TEST (test_large_messages_at_once),
    FLOOD_TEST (test_large_messages_in_small_pieces),
    FLOOD_TEST (test_messages_over_the_limit),
    FLOOD_TEST (test_pipelined_statements_without_reading),
    FLOOD_TEST (test_slow_senders_that_stop),
    FLOOD_TEST (test_clients_that_never_read),
    FLOOD_TEST (test_many_prepared_statements_and_values),
    FLOOD_TEST (test_prepared_statements_of_ended_sessions),
    FLOOD_TEST (test_connections_beyond_the_limit),
    FLOOD_TEST (test_peer_connections_beyond_the_limit),
    FLOOD_TEST (test_large_messages_of_peers),
    FLOOD_TEST (test_silent_readiness_connections),
  };

  /* A stand-in writes to a connection that the process has closed. */
  signal (SIGPIPE, SIG_IGN);
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
