#include "support/process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Pause between two attempts to connect, in microseconds. */
#define CONNECT_PAUSE_US 1000

static pid_t children[TOU_PROCESS_MAX];

/* Ports for servers of a test: below the range that the system takes for
   connections and for port 0, so that none is taken before its server listens.
   Each test process has a block, as tests run side by side. */
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
process_end (pid_t pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
process_end_all (void)
{
  for (guint i = 0; i < TOU_PROCESS_MAX; i++)
    if (children[i] > 0)
      process_end (children[i]);
}

/* Returns a free place in the table of children, or NULL. */
static pid_t *
process_place (void)
{
  static gboolean registered;

  if (!registered)
    registered = atexit (process_end_all) == 0;
  for (guint i = 0; registered && i < TOU_PROCESS_MAX; i++)
    if (children[i] == 0)
      return &children[i];
  return NULL;
}

pid_t
tou_process_start (const char *const *argv)
{
  pid_t *place = process_place ();
  pid_t parent = getpid ();
  pid_t pid = place != NULL ? fork () : -1;

  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () == parent)
        execv (argv[0], (char *const *)argv);
      _exit (127);
    }
  if (pid < 0)
    return 0;
  *place = pid;
  return pid;
}

/* Takes the child out of the table; FALSE if it is not in it. */
static gboolean
process_forget (pid_t pid)
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
  if (process_forget (*pid))
    process_end (*pid);
  *pid = 0;
}

int
tou_process_wait (pid_t *pid)
{
  int status = -1;

  if (*pid > 0 && waitpid (*pid, &status, 0) == *pid)
    process_forget (*pid);
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
      g_usleep (CONNECT_PAUSE_US);
    }
  return TRUE;
}
