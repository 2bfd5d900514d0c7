#include "flood-node.h"

#include "kv-server.h"

#include "support/line-database.h"
#include "support/peer-address.h"
#include "support/process.h"

#include "control.h"

#include <glib/gstdio.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Small, so that unread answers are held by the process, not by the kernel. */
#define RECEIVE_BYTES (64 * 1024)

struct FloodNode
{
  uv_loop_t loop;
  uv_async_t stop;
  pthread_t thread;
  KvStandin *kv;
  KvServer *store;
  LineDatabase *database;
  TouName ip;
  int ports[FLOOD_PEERS + 1];
  char *path; /* of the settings file */
  pid_t pid;
};

static void
node_on_stop (uv_async_t *stop)
{
  FloodNode *node = stop->data;

  kv_destroy (node->kv);
  kv_server_destroy (node->store);
  line_database_close (node->database);
  uv_close ((uv_handle_t *)stop, NULL);
}

static void *
node_thread (void *data)
{
  FloodNode *node = data;

  uv_run (&node->loop, UV_RUN_DEFAULT);
  return NULL;
}

static void
node_fill_store (FloodNode *node)
{
  TouGroupRecord record = { 0 };
  char *text = g_strdup_printf (
      "{\"service\":\"g\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
      "\"capacity\":4,\"state\":\"ready\",\"dbRole\":\"primary\"}",
      line_database_port (node->database));

  kv_put (node->kv, "servers/db1", text);
  g_free (text);
  kv_put (node->kv, "op/config",
          "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app\","
          "\"service\":\"g\",\"type\":\"primary\",\"priority\":0,"
          "\"timeoutMs\":5000}],\"services\":[{\"name\":\"g\","
          "\"maxConns\":20,\"syncReplicas\":0}],\"limits\":{}}");
  record.term = 1;
  record.primary = tou_name ("db1");
  text = tou_record_encode (&record);
  kv_put (node->kv, "tou/group/g", text);
  free (text);
}

static void
node_write_settings (FloodNode *node)
{
  TouName store;
  char *text;

  kv_server_address (&store, node->store);
  text = g_strdup_printf (
      "node=flood\nzone=a\nip=%s\nlisten.frontend=%s:%d\n"
      "listen.readiness=%s:%d\ninternalPorts=%d,%d\nplatform.address=%s\n"
      "platform.ttlMinMs=1000\nlimits.memoryMb=%d\nlimits.maxFds=%d\n"
      "bounds.drainMs=1000\nbounds.graceS=2\n",
      node->ip.data, node->ip.data, node->ports[FLOOD_CLIENTS], node->ip.data,
      node->ports[FLOOD_READY], node->ports[FLOOD_PEERS],
      node->ports[FLOOD_PEERS] + 1, store.data, FLOOD_MEMORY_MB, FLOOD_MAX_FDS);
  g_assert_true (g_file_set_contents (node->path, text, -1, NULL));
  g_free (text);
}

static void
node_run (FloodNode *node)
{
  const char *argv[]
      = { TOU_BIN_DIR "/toucansessiond", "--settings", node->path, NULL };
  struct rlimit limit = { FLOOD_MAX_FDS, FLOOD_MAX_FDS };

  node->pid = tou_process_start (argv);
  g_assert_cmpint (node->pid, >, 0);
  g_assert_cmpint (prlimit (node->pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
}

FloodNode *
flood_node_start (gsize row_size)
{
  FloodNode *node = g_new0 (FloodNode, 1);
  TouName address = peer_address ();

  uv_loop_init (&node->loop);
  node->kv = kv_create (&node->loop);
  node->store = kv_server_create (&node->loop, node->kv);
  node->database = line_database_new (&node->loop, "db1", TRUE);
  line_database_set_row_size (node->database, row_size);
  uv_async_init (&node->loop, &node->stop, node_on_stop);
  node->stop.data = node;
  g_assert_cmpint (tou_name_set (&node->ip, address.data, address.len - 2u), ==,
                   TOU_OK);
  /* The address belongs to this test process, so that any ports are free. */
  for (guint i = 0; i < G_N_ELEMENTS (node->ports); i++)
    node->ports[i] = 21000 + (int)i * 10;
  node->path = g_strdup_printf ("%s/flood-%d.settings", g_get_tmp_dir (),
                                (int)getpid ());
  node_fill_store (node);
  node_write_settings (node);
  g_assert_cmpint (pthread_create (&node->thread, NULL, node_thread, node), ==,
                   0);
  node_run (node);
  return node;
}

void
flood_node_stop (FloodNode *node)
{
  tou_process_stop (&node->pid);
  uv_async_send (&node->stop);
  pthread_join (node->thread, NULL);
  line_database_free (node->database);
  g_assert_cmpint (uv_loop_close (&node->loop), ==, 0);
  g_unlink (node->path);
  g_free (node->path);
  g_free (node);
}

gboolean
flood_node_is_running (const FloodNode *node)
{
  return tou_process_is_running (node->pid);
}

gsize
flood_node_peak_kb (const FloodNode *node)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)node->pid);
  char *text = NULL;
  const char *line;
  gsize kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmHWM:")) != NULL)
    kb = g_ascii_strtoull (line + strlen ("VmHWM:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kb;
}

guint
flood_node_descriptors (const FloodNode *node)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)node->pid);
  GDir *dir = g_dir_open (path, 0, NULL);
  guint count = 0;

  while (dir != NULL && g_dir_read_name (dir) != NULL)
    count++;
  if (dir != NULL)
    g_dir_close (dir);
  g_free (path);
  return count;
}

int
flood_node_connect (const FloodNode *node, FloodPort port)
{
  struct sockaddr_in address;
  int size = RECEIVE_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  uv_ip4_addr (node->ip.data, node->ports[port], &address);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}
