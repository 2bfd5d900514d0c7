/* Runs the scripts in tests/check: a configuration, and after a line "in force"
 * the version to compare it with. The transcript is what "toucanscalectl config
 * check" prints, and its exit code. Guards against configurations that nodes
 * reject or partly ignore and that are not reported, against API keys in the
 * output, and against reports on sound ones.
 */
#include "run-files.h"

#include "config-check.h"

#define SEPARATOR "\nin force\n"

static GString *
check_run (const char *script)
{
  char **parts = g_strsplit (script, SEPARATOR, 2);
  TouStr config = { parts[0], strlen (parts[0]) };
  TouStr current = { parts[1], parts[1] != NULL ? strlen (parts[1]) : 0 };
  GString *out = g_string_new (NULL);
  gboolean json = strstr (script, "\"json\": true") != NULL;
  PlatCheckExit code = plat_config_check (
      &config, parts[1] != NULL ? &current : NULL, json, out);

  g_string_append_printf (out, "exit code %d\n", code);
  g_strfreev (parts);
  return out;
}

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/check", check_run);
}
