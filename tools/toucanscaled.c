/**
 * @file toucanscaled.c
 * Main program of the proxy: reads settings, handles signals and runs the
 * services.
 *
 * Exit codes: 0 normal end, 1 a service failed, 64 unknown flag, 78 invalid
 * settings.
 */
#include "toucanscale/settings.h"

#include "daemon.h"
#include "descriptors.h"
#include "log.h"

#include <sodium.h>

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <sysexits.h>
#include <unistd.h>

/* Blocks the handled signals in all threads and returns a signalfd (2) for
   them. */
static int
open_signals (void)
{
  sigset_t signals;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  return signalfd (-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

static int
run (const TouSettings *settings)
{
  TouDaemon *daemon;
  int signals = open_signals ();
  int status = TOU_E_IO;

  tou_log_init (settings->core.node.data, settings->log_level);
  if (signals < 0)
    tou_status_set (status, "signalfd: %s", g_strerror (errno));
  else
    status = tou_descriptors_raise_limit (settings);
  if (status == TOU_OK)
    status = tou_daemon_create (&daemon, settings);
  if (status == TOU_OK)
    {
      tou_log (G_LOG_LEVEL_MESSAGE, TOU_OK,
               "listening for requests of callers on %s",
               settings->callers_listen);
      status = tou_daemon_run (daemon, signals);
      tou_daemon_destroy (daemon);
    }
  if (status != TOU_OK)
    tou_log (G_LOG_LEVEL_CRITICAL, status, "cannot start: %s",
             tou_status_message ());
  if (signals >= 0)
    close (signals);
  return status == TOU_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
print_doc (void)
{
  TouStr text;

  tou_settings_format_doc (&text);
  fputs (text.data, stdout);
  tou_str_clear (&text);
}

int
main (int argc, char **argv)
{
  TouSettings *settings;
  int code = EXIT_SUCCESS;

  if (sodium_init () < 0)
    {
      fputs ("toucanscaled: cannot initialise libsodium\n", stderr);
      return EXIT_FAILURE;
    }
  if (tou_settings_create (&settings, argc, argv) != TOU_OK)
    {
      fprintf (stderr, "toucanscaled: %s\n", tou_status_message ());
      return EX_CONFIG;
    }
  if (settings->mode == TOU_SETTINGS_PRINT_DOC)
    print_doc ();
  else if (settings->mode == TOU_SETTINGS_CHECK_CONFIG)
    puts ("settings are valid");
  else
    code = run (settings);
  tou_settings_destroy (settings);
  return code;
}
