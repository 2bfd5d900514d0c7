#include "support/process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Interval between attempts to connect, in microseconds. */
#define CONNECT_INTERVAL_US 1000

static pid_t children[TOU_PROCESS_MAX];

/* Ports for the servers of a test, below the ephemeral range, so that no other
   socket is assigned the port before its server listens. Each test process uses
   its own block, since tests run in parallel. */
#define PORT_FIRST 20000
#define PORT_BLOCK 64
#define PORT_BLOCKS 190

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((guint16)port);
  return address;
}

static gboolean
port_is_free (int port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  gboolean is_free
      = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return is_free;
}

int
tou_process_free_port (void)
{
  static int n_used;
  int first = PORT_FIRST + getpid () % PORT_BLOCKS * PORT_BLOCK;

  for (int i = 0; i < PORT_BLOCK; i++)
    {
      int port = first + n_used++ % PORT_BLOCK;

      if (port_is_free (port))
        return port;
    }
  return 0;
}

static void
process_kill (pid_t pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
process_kill_all (void)
{
  for (guint i = 0; i < TOU_PROCESS_MAX; i++)
    if (children[i] > 0)
      process_kill (children[i]);
}

/* Returns a free slot in the table of children, or NULL. */
static pid_t *
process_slot (void)
{
  static gboolean registered;

  if (!registered)
    registered = atexit (process_kill_all) == 0;
  for (guint i = 0; registered && i < TOU_PROCESS_MAX; i++)
    if (children[i] == 0)
      return &children[i];
  return NULL;
}

pid_t
tou_process_start (const char *const *argv)
{
  pid_t *slot = process_slot ();
  pid_t parent = getpid ();
  pid_t pid = slot != NULL ? fork () : -1;

  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () == parent)
        execv (argv[0], (char *const *)argv);
      _exit (127);
    }
  if (pid < 0)
    return 0;
  *slot = pid;
  return pid;
}

/* Removes the child from the table; returns FALSE if it is not in it. */
static gboolean
process_unregister (pid_t pid)
{
  for (guint i = 0; pid > 0 && i < TOU_PROCESS_MAX; i++)
    if (children[i] == pid)
      {
        children[i] = 0;
        return TRUE;
      }
  return FALSE;
}

void
tou_process_stop (pid_t *pid)
{
  if (process_unregister (*pid))
    process_kill (*pid);
  *pid = 0;
}

int
tou_process_wait (pid_t *pid)
{
  int status = -1;

  if (*pid > 0 && waitpid (*pid, &status, 0) == *pid)
    process_unregister (*pid);
  *pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static gboolean
process_accepts (int port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int status = connect (fd, (struct sockaddr *)&address, sizeof address);

  close (fd);
  return status == 0;
}

gboolean
tou_process_is_running (pid_t pid)
{
  siginfo_t info = { 0 };

  return waitid (P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0
         && info.si_pid == 0;
}

gboolean
tou_process_wait_ready (pid_t pid, int port)
{
  while (!process_accepts (port))
    {
      if (!tou_process_is_running (pid))
        return FALSE;
      g_usleep (CONNECT_INTERVAL_US);
    }
  return TRUE;
}
