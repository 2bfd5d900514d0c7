/*
 * Cases of this review that are scripts: starts nodes with the command of the
 * deploy file, disturbs them as the case says and checks the rule.
 *
 * Usage: cases NAME RECORD (in the repository's root)
 * TROUBLE=0 leaves the disturbance out.
 * Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/toucansessiond"
/* Ports of each node, on an address of its own. */
#define FRONTEND_OFFSET 0
#define READINESS_OFFSET 1
#define INTERNAL_OFFSET 2
#define N_PORTS 4
#define ANSWER_MS 6000
/* The script is given up after this time; the nodes end with it. */
#define RUN_S 115

#define GRACE_MS 6000
#define CONTACT_MS 5000
#define DRAIN_MS 7000

static struct
{
  char *dir;
  guint base_port;
  pid_t pids[STANDIN_NODES];
  gboolean trouble;
  guint n_broken;
  guint last_id;
} fleet;

static void
sleep_ms (gint64 ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * 1000);
}

static void
sleep_until (gint64 at_ms)
{
  sleep_ms (at_ms - standin_ms ());
}

static void
broken (const char *text)
{
  fleet.n_broken++;
  standin_note ("BROKEN: %s", text);
}

static G_GNUC_NORETURN void
give_up (const char *text)
{
  standin_note ("cannot run: %s", text);
  fprintf (stderr, "cannot run: %s\n", text);
  for (guint i = 0; i < STANDIN_NODES; i++)
    if (fleet.pids[i] != 0)
      kill (fleet.pids[i], SIGKILL);
  exit (2);
}

/* ---- nodes ---- */

static void
node_address (char *out, gsize size, guint i)
{
  g_snprintf (out, size, "127.0.1.%u", i + 1);
}

static gboolean
can_bind (guint node, guint port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  gboolean ok;

  node_address (ip, sizeof ip, node);
  address.sin_port = htons ((guint16)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  ok = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return ok;
}

static void
find_ports (void)
{
  for (guint try = 0; try < 200; try++)
    {
      gboolean ok = TRUE;

      fleet.base_port = 20000 + ((guint)getpid () * 7 + try * N_PORTS) % 10000;
      for (guint i = 0; ok && i < STANDIN_NODES; i++)
        for (guint port = 0; ok && port < N_PORTS; port++)
          ok = can_bind (i, fleet.base_port + port);
      if (ok)
        return;
    }
  give_up ("no free ports");
}

static void
node_settings (guint i, guint n_nodes)
{
  char *path = g_strdup_printf ("%s/node%u.conf", fleet.dir, i + 1);
  GString *text = g_string_new (NULL);
  char ip[32];

  node_address (ip, sizeof ip, i);
  g_string_printf (
      text,
      "node=front-%u\nrole=proxy\nnodeClass=front\nserves=front\nip=%s\n"
      "zone=za\nregion=ra\nzones.za=ra\nlisten.frontend=%s:%u\n"
      "listen.readiness=%s:%u\ninternalPorts=%u,%u\nbootstrap=false\n"
      "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
      "limits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
      "discovery=platform\nentry=vip\nheartbeatMs=1200\n"
      "contracts=base,drain,config,cost,recover,sql,platform\n"
      "faultTolerance.machines=%u\nfaultTolerance.zones=0\n"
      "faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.addrReuseS=2\n"
      "bounds.contactMs=%d\nbounds.ackMs=6000\nbounds.catchupS=4\n"
      "bounds.drainMs=%d\nbounds.graceS=%d\nbounds.lossSlackMs=200\n"
      "bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n"
      "bounds.skewMaxMs=15000\nbounds.recoverS=12\n"
      "bounds.requireFence=false\nbounds.thawSlackMs=300\n"
      "platform.address=127.0.0.1:%u\nplatform.form=kv\n"
      "platform.writesPerS=400\nplatform.readsPerS=2000\n"
      "platform.historyS=20\nplatform.valueBytes=1048576\n"
      "platform.ttlMinMs=1000\ncloudApi.address=127.0.0.1:%u\n"
      "cloudApi.ratePerS=50.0\ncloudApi.duties=failover\n"
      "cloudApi.dutyPerS=50.0\n",
      i + 1, ip, ip, fleet.base_port + FRONTEND_OFFSET, ip,
      fleet.base_port + READINESS_OFFSET, fleet.base_port + INTERNAL_OFFSET,
      fleet.base_port + INTERNAL_OFFSET + 1, n_nodes - 1, CONTACT_MS, DRAIN_MS,
      GRACE_MS / 1000, standin_store_port (i), standin_promote_port ());
  if (!g_file_set_contents (path, text->str, -1, NULL))
    give_up ("cannot write settings");
  g_string_free (text, TRUE);
  g_free (path);
}

static void
node_start (guint i)
{
  char *path = g_strdup_printf ("%s/node%u.conf", fleet.dir, i + 1);
  char *log = g_strdup_printf ("%s/node%u.log", fleet.dir, i + 1);
  pid_t parent = getpid ();
  pid_t pid = fork ();

  if (pid == 0)
    {
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid () != parent
          || freopen (log, "a", stdout) == NULL)
        _exit (127);
      setenv ("TOUCANSCALE_SETTINGS", path, 1);
      execl (PROGRAM, PROGRAM, (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    give_up ("cannot start a node");
  fleet.pids[i] = pid;
  standin_note ("front-%u started", i + 1);
  g_free (path);
  g_free (log);
}

static void
node_signal (guint i, int signum)
{
  standin_note ("front-%u gets signal %d", i + 1, signum);
  if (fleet.pids[i] != 0)
    kill (fleet.pids[i], signum);
}

/* Waits until the node's process has ended. */
static void
node_wait (guint i)
{
  int status = 0;

  if (fleet.pids[i] == 0)
    return;
  waitpid (fleet.pids[i], &status, 0);
  fleet.pids[i] = 0;
  standin_note ("front-%u has ended, %s %d", i + 1,
                WIFSIGNALED (status) ? "signal" : "exit code",
                WIFSIGNALED (status) ? WTERMSIG (status)
                                     : WEXITSTATUS (status));
}

static void
node_kill (guint i)
{
  node_signal (i, SIGKILL);
  node_wait (i);
}

/* ---- clients ---- */

typedef struct
{
  int fd; /* -1: closed */
  GString *in;
} Client;

/* Answer to a statement. */
typedef struct
{
  gboolean whole;    /* READY was received */
  gboolean complete; /* COMPLETE was received */
  char error[16];
  char row[64]; /* beginning of the last row */
  gsize bytes;
  char state;
} Answer;

static int
connect_to (guint node, guint offset, int segment, int window)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { ANSWER_MS / 1000, 0 };
  char ip[32];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  node_address (ip, sizeof ip, node);
  address.sin_port = htons ((guint16)(fleet.base_port + offset));
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (segment > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (window > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
client_close (Client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  if (client->in != NULL)
    g_string_free (client->in, TRUE);
  client->in = NULL;
}

static gboolean
client_send (Client *client, const char *text)
{
  return client->fd >= 0
         && send (client->fd, text, strlen (text), MSG_NOSIGNAL)
                == (gssize)strlen (text);
}

/* Reads an answer, at most @a bytes_per_s. */
static void
client_read (Client *client, Answer *answer, gsize bytes_per_s)
{
  char buffer[16384];
  gint64 start_us = g_get_monotonic_time ();

  memset (answer, 0, sizeof *answer);
  while (!answer->whole)
    {
      char *end = strstr (client->in->str, "\r\n");
      gsize len;
      gssize n;

      if (end != NULL)
        {
          len = (gsize)(end - client->in->str);
          *end = '\0';
          if (g_str_has_prefix (client->in->str, "DATAROW "))
            g_strlcpy (answer->row, client->in->str + strlen ("DATAROW "),
                       sizeof answer->row);
          else if (g_str_has_prefix (client->in->str, "COMPLETE "))
            answer->complete = TRUE;
          else if (g_str_has_prefix (client->in->str, "ERROR "))
            sscanf (client->in->str, "ERROR %15s", answer->error);
          else if (g_str_has_prefix (client->in->str, "READY "))
            {
              answer->whole = TRUE;
              answer->state = client->in->str[strlen ("READY ")];
            }
          g_string_erase (client->in, 0, (gssize)len + 2);
          continue;
        }
      n = recv (client->fd, buffer, sizeof buffer, 0);
      if (n <= 0)
        {
          client_close (client);
          return;
        }
      answer->bytes += (gsize)n;
      g_string_append_len (client->in, buffer, n);
      if (bytes_per_s > 0)
        {
          gint64 due_us
              = start_us + (gint64)(answer->bytes * 1000000 / bytes_per_s);
          gint64 now_us = g_get_monotonic_time ();

          if (due_us > now_us)
            g_usleep ((gulong)(due_us - now_us));
        }
    }
}

static gboolean
client_open_slow (Client *client, guint node, int segment, int window)
{
  Answer answer;

  client->fd = connect_to (node, FRONTEND_OFFSET, segment, window);
  client->in = g_string_new (NULL);
  if (!client_send (client, "STARTUP " STANDIN_PRIMARY_HOST " u1\r\n"))
    {
      client_close (client);
      return FALSE;
    }
  client_read (client, &answer, 0);
  if (answer.whole && answer.state == 'I')
    return TRUE;
  client_close (client);
  return FALSE;
}

static gboolean
client_open (Client *client, guint node)
{
  return client_open_slow (client, node, 0, 0);
}

/* Sends a statement and reads its answer. @a id is set to its id. */
static void
client_query (Client *client, guint node, char id[24], const char *text,
              Answer *answer)
{
  char *line;
  gint64 sent_ms;

  memset (answer, 0, sizeof *answer);
  g_snprintf (id, 24, "c%08x", ++fleet.last_id);
  if (client->fd < 0 && !client_open (client, node))
    return;
  line = g_strdup_printf ("QUERY %s %s\r\n", id, text);
  sent_ms = standin_ms ();
  if (client_send (client, line))
    client_read (client, answer, 0);
  standin_note ("client at front-%u sent %s %s at %.3f: %s %s %s", node + 1, id,
                text, (double)sent_ms / 1000,
                answer->complete        ? "COMPLETE"
                : answer->error[0] != 0 ? "ERROR"
                                        : "no answer",
                answer->error, answer->row);
  g_free (line);
}

static gboolean
node_is_ready (guint i)
{
  char buffer[64] = "";
  int fd = connect_to (i, READINESS_OFFSET, 0, 0);
  const char *text = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  gssize n = 0;

  if (fd < 0)
    return FALSE;
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) > 0)
    n = recv (fd, buffer, sizeof buffer - 1, 0);
  close (fd);
  return n > 0 && strstr (buffer, " 200 ") != NULL;
}

/* Waits until the node is ready and has answered a write. */
static void
node_await (guint i)
{
  gint64 until_ms = standin_ms () + 15000;
  Client client = { -1, NULL };
  Answer answer = { 0 };
  char id[24];

  while (standin_ms () < until_ms)
    {
      if (node_is_ready (i))
        {
          client_query (&client, i, id, "WRITE warm up", &answer);
          client_close (&client);
          if (answer.complete)
            return;
        }
      sleep_ms (100);
    }
  give_up ("a node did not serve a write within 15 s");
}

static void
on_alarm (int signum)
{
  (void)signum;
  _exit (2);
}

static void
fleet_start (guint n_nodes)
{
  find_ports ();
  for (guint i = 0; i < n_nodes; i++)
    node_settings (i, n_nodes);
  standin_put_config (3, 5000);
  for (guint i = 0; i < n_nodes; i++)
    node_start (i);
  for (guint i = 0; i < n_nodes; i++)
    node_await (i);
  /* All nodes have been in touch for contactMs. */
  sleep_ms (CONTACT_MS);
}

static gboolean
fleet_is_registered (guint i)
{
  char *key = g_strdup_printf ("tou/node/front-%u", i + 1);
  gboolean found = standin_has_key (key);

  g_free (key);
  return found;
}

/* ---- checks ---- */

/* Writes through one node and reads the row through another one; the read must
   run on a log that has the acknowledged commit. */
static void
check_fresh (Client *writer, guint write_node, Client *reader, guint read_node,
             guint n)
{
  char *text = g_strdup_printf ("WRITE trench v%u", n);
  char write_id[24];
  char read_id[24];
  Answer answer;
  Run wrote;
  Run read;

  client_query (writer, write_node, write_id, text, &answer);
  g_free (text);
  if (!answer.complete || !answer.whole || !standin_find_run (write_id, &wrote))
    return;
  client_query (reader, read_node, read_id, "READ trench", &answer);
  if (!standin_find_run (read_id, &read))
    return;
  if (standin_is_before (read.position, wrote.position)
      && standin_is_kept (wrote.position))
    {
      char *line = g_strdup_printf (
          "STALE: %s ran on the %s database %u at %" G_GUINT64_FORMAT
          ".%" G_GUINT64_FORMAT " and lacks the commit %" G_GUINT64_FORMAT
          ".%" G_GUINT64_FORMAT
          " of %s, acknowledged before; the row is \"%s\"",
          read_id, read.as_primary ? "primary" : "replica", read.database + 1,
          read.position.term, read.position.number, wrote.position.term,
          wrote.position.number, write_id, answer.row);

      broken (line);
      g_free (line);
    }
}

/* ---- cases ---- */

/* Large answers that are being sent while a node stops. */

#define SLOW_BYTES_PER_S 1250000 /* 10 Mbit/s */
#define SLOW_SEGMENT 1448        /* of an Ethernet link */
#define SLOW_WINDOW 32768
#define SLOW_ROW 1000000
#define SLOW_ROWS 3
#define SLOW_CLIENTS 4

typedef struct
{
  gint64 at_ms;
  gint64 sent_ms;
  gint64 ended_ms;
  char id[24];
  Answer answer;
} SlowRead;

static gpointer
slow_client (gpointer data)
{
  SlowRead *read = data;
  Client client = { -1, NULL };
  char *line = g_strdup_printf ("QUERY %s READ big\r\n", read->id);

  if (client_open_slow (&client, 0, SLOW_SEGMENT, SLOW_WINDOW))
    {
      sleep_until (read->at_ms);
      read->sent_ms = standin_ms ();
      if (client_send (&client, line))
        client_read (&client, &read->answer, SLOW_BYTES_PER_S);
      read->ended_ms = standin_ms ();
    }
  client_close (&client);
  g_free (line);
  return NULL;
}

static void
case_lost (void)
{
  SlowRead reads[SLOW_CLIENTS];
  GThread *threads[SLOW_CLIENTS];
  gint64 term_ms;

  standin_set_big_rows (SLOW_ROWS, SLOW_ROW);
  fleet_start (2);
  term_ms = standin_ms () + 500;
  memset (reads, 0, sizeof reads);
  for (guint i = 0; i < SLOW_CLIENTS; i++)
    {
      /* After SIGTERM, while sessions still run statements. */
      reads[i].at_ms = term_ms + 1400 + i * 200;
      g_snprintf (reads[i].id, sizeof reads[i].id, "slow%u", i + 1);
      threads[i] = g_thread_new ("slow", slow_client, &reads[i]);
    }
  sleep_until (term_ms);
  if (fleet.trouble)
    node_signal (0, SIGTERM);
  for (guint i = 0; i < SLOW_CLIENTS; i++)
    {
      Run run;
      gboolean ran;

      g_thread_join (threads[i]);
      ran = standin_find_run (reads[i].id, &run);
      standin_note ("%s sent %" G_GINT64_FORMAT " ms after the SIGTERM, %s; "
                    "%zu bytes, %s, ended after %" G_GINT64_FORMAT " ms",
                    reads[i].id, reads[i].sent_ms - term_ms,
                    ran ? "run by a database" : "not run",
                    reads[i].answer.bytes,
                    reads[i].answer.whole ? "whole" : "not whole",
                    reads[i].ended_ms - reads[i].sent_ms);
      if (ran && !reads[i].answer.whole)
        broken ("LOST: the connection ended in the middle of the answer");
    }
}

/* Nodes that the store turns away know only each other. */

#define REFUSE_MS 8800

/* Starts six nodes and stops the last four of them. */
static void
stop_four (void)
{
  fleet_start (6);
  for (guint i = 2; i < 6; i++)
    node_signal (i, SIGTERM);
  for (guint i = 2; i < 6; i++)
    node_wait (i);
  for (guint i = 2; i < 6; i++)
    if (fleet_is_registered (i))
      give_up ("a node that ended is still registered");
  /* They are started again after a short delay. */
  sleep_ms (400);
}

/* The store turns the first two nodes away, or serves them again. */
static void
refuse_two (gboolean refuse)
{
  for (guint i = 0; fleet.trouble && i < 2; i++)
    standin_refuse_node (i, refuse);
}

static void
case_stale_store (void)
{
  Client writer = { -1, NULL };
  Client reader = { -1, NULL };
  gint64 until_ms;
  guint n = 0;

  stop_four ();
  refuse_two (TRUE);
  until_ms = standin_ms () + REFUSE_MS;
  for (guint i = 2; i < 6; i++)
    node_start (i);
  standin_note ("the primary is to be replaced");
  standin_drain (0);
  while (standin_leader () == 0 && standin_ms () < until_ms)
    sleep_ms (20);
  while (standin_ms () < until_ms)
    {
      check_fresh (&writer, 2, &reader, 0, ++n);
      sleep_ms (50);
    }
  refuse_two (FALSE);
  if (standin_leader () == 0)
    give_up ("the primary was not replaced");
  client_close (&writer);
  client_close (&reader);
}

/* The same, and the primary is partitioned from three of the four, the leader
   among them, and from its replicas. */

#define ONE_WRITES 400
#define CUT_MS 6800

static void
case_one (void)
{
  Client client = { -1, NULL };
  Position acked[ONE_WRITES];
  guint n_acked = 0;
  guint n_lost = 0;
  guint nodes = 0;
  gint64 until_ms;
  char id[24];
  Answer answer;
  Run run;
  gint leading;

  stop_four ();
  refuse_two (TRUE);
  until_ms = standin_ms () + REFUSE_MS;
  for (guint i = 2; i < 6; i++)
    node_start (i);
  while ((leading = standin_leading_node ()) < (fleet.trouble ? 2 : 0)
         && standin_ms () < until_ms)
    sleep_ms (20);
  if (leading < 0)
    give_up ("no node has the duty to promote");
  for (guint i = 0; i < 3; i++)
    nodes |= 1U << (2 + ((guint)MAX (leading, 2) - 2 + i) % 4);
  if (fleet.trouble)
    standin_cut (0, nodes, TRUE);
  until_ms = MIN (until_ms, standin_ms () + CUT_MS);
  while (standin_ms () < until_ms)
    {
      client_query (&client, 0, id, "WRITE trench signed off", &answer);
      if (answer.complete && standin_find_run (id, &run) && !run.is_newest
          && n_acked < ONE_WRITES)
        acked[n_acked++] = run.position;
      sleep_ms (50);
    }
  if (fleet.trouble)
    standin_cut (0, 0, FALSE);
  refuse_two (FALSE);
  sleep_ms (3000);
  for (guint i = 0; i < n_acked; i++)
    n_lost += !standin_is_kept (acked[i]);
  if (n_acked > 0)
    {
      char *line = g_strdup_printf (
          "ONE: %u writes were committed at the old primary after another "
          "database led, and acknowledged; %u of them are lost",
          n_acked, n_lost);

      broken (line);
      g_free (line);
    }
  client_close (&client);
}

/* All nodes and the primary restart at the same time. */

static void
case_stale_anew (void)
{
  Client client = { -1, NULL };
  char id[24];
  Answer answer;
  Run wrote;
  Run read;
  gint64 until_ms;
  guint n_stale = 0;

  fleet_start (3);
  client_query (&client, 0, id, "WRITE trench kept", &answer);
  if (!answer.complete || !standin_find_run (id, &wrote))
    give_up ("the write was not acknowledged");
  client_close (&client);
  /* The replicas have received the commit by then. */
  sleep_ms (200);
  if (fleet.trouble)
    {
      for (guint i = 0; i < 3; i++)
        node_kill (i);
      standin_end (0);
      sleep_ms (500);
      standin_start_anew (0);
      sleep_ms (500);
      for (guint i = 0; i < 3; i++)
        node_start (i);
    }
  until_ms = standin_ms () + 12000;
  while (standin_ms () < until_ms)
    {
      guint node = fleet.last_id % 3;

      client_query (&client, node, id, "READ trench", &answer);
      client_close (&client);
      if (answer.complete && standin_find_run (id, &read)
          && (read.position.term == 0
              || standin_is_before (read.position, wrote.position)))
        n_stale++;
      sleep_ms (50);
    }
  /* Commits that a promotion rolled back do not count. */
  if (n_stale > 0 && standin_is_kept (wrote.position))
    {
      char *line = g_strdup_printf (
          "STALE: %u reads on a primary route ran on a log that lacks the "
          "commit %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
          ", acknowledged before and kept",
          n_stale, wrote.position.term, wrote.position.number);

      broken (line);
      g_free (line);
    }
}

/* A node restarts while all databases of a service are leaving. */

static void
case_drain (void)
{
  Client client = { -1, NULL };
  gint64 drained_ms;
  gint64 started_ms;
  char id[24];
  Answer answer;
  Run run;

  fleet_start (3);
  for (guint i = 0; i < STANDIN_DATABASES; i++)
    standin_drain (i);
  drained_ms = standin_ms ();
  sleep_until (drained_ms + 2500);
  if (fleet.trouble)
    {
      node_kill (1);
      sleep_ms (300);
      node_start (1);
    }
  started_ms = standin_ms ();
  while (standin_ms () < drained_ms + DRAIN_MS + 4000)
    {
      client_query (&client, 1, id, "WRITE trench late", &answer);
      if (standin_find_run (id, &run) && run.at_ms > drained_ms + DRAIN_MS
          && (!fleet.trouble || run.at_ms > started_ms + CONTACT_MS))
        {
          char *line = g_strdup_printf (
              "DRAIN: %s reached a database %" G_GINT64_FORMAT
              " ms after its draining was acknowledged",
              id, run.at_ms - drained_ms);

          broken (line);
          g_free (line);
        }
      sleep_ms (50);
    }
  client_close (&client);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } cases[] = { { "lost", case_lost },
                { "stale-store", case_stale_store },
                { "stale-anew", case_stale_anew },
                { "drain", case_drain },
                { "one", case_one } };
  FILE *record = argc == 3 ? fopen (argv[2], "w") : NULL;
  gboolean found = FALSE;

  if (record == NULL)
    {
      fprintf (stderr, "usage: cases NAME RECORD\n");
      return 2;
    }
  setvbuf (record, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  alarm (RUN_S);
  fleet.trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  fleet.dir = g_dir_make_tmp ("review-XXXXXX", NULL);
  standin_start (record);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      {
        found = TRUE;
        cases[i].run ();
      }
  if (!found)
    give_up ("no such case");
  for (guint i = 0; i < STANDIN_NODES; i++)
    if (fleet.pids[i] != 0)
      node_kill (i);
  standin_note ("%u times broken", fleet.n_broken);
  printf ("%s: %u times broken\n", argv[1], fleet.n_broken);
  if (g_getenv ("KEEP") != NULL)
    printf ("%s\n", fleet.dir);
  else
    for (guint i = 0; i < STANDIN_NODES; i++)
      {
        char *conf = g_strdup_printf ("%s/node%u.conf", fleet.dir, i + 1);
        char *log = g_strdup_printf ("%s/node%u.log", fleet.dir, i + 1);

        g_unlink (conf);
        g_unlink (log);
        g_free (conf);
        g_free (log);
      }
  g_rmdir (fleet.dir);
  return fleet.n_broken > 0;
}
