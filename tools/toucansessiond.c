/**
 * @file toucansessiond.c
 * Main program of the session proxy.
 *
 * Exit codes: 0 normal end, 1 a service failed, 64 unknown flag, 78 invalid
 * settings.
 */
#include "sessiond.h"

#include "toucanscale/status.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

typedef struct
{
  const char *settings;
  gboolean check;
} Arguments;

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "read settings from FILE", 0 },
  { "check-config", 'c', NULL, 0, "check the settings and exit", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = argument;
      return 0;
    case 'c':
      arguments->check = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options,
          parse_option,
          NULL,
          "Session proxy between callers and replicated databases.\v"
          "If --settings is not given, the path is taken from the environment "
          "variable " PLAT_SETTINGS_VARIABLE ".",
          NULL,
          NULL,
          NULL };
  Arguments arguments = { getenv (PLAT_SETTINGS_VARIABLE), FALSE };
  TouNodeSettings node_settings;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.settings == NULL)
    {
      fprintf (stderr, "no settings file: use --settings or set %s\n",
               PLAT_SETTINGS_VARIABLE);
      return EX_CONFIG;
    }
  if (plat_settings_load (&node_settings, arguments.settings) != TOU_OK)
    {
      fprintf (stderr, "%s: %s\n", arguments.settings, tou_status_message ());
      return EX_CONFIG;
    }
  if (arguments.check)
    return EX_OK;
  if (tou_sessiond_run (&node_settings, arguments.settings) != TOU_OK)
    {
      fprintf (stderr, "%s\n", tou_status_message ());
      return EXIT_FAILURE;
    }
  return EXIT_SUCCESS;
}
