/* Runs every script in tests/proxy and compares its transcript with the
 * expected output. The scripts put the session proxy between callers and
 * databases on loopback; each says which failure it guards against.
 * "test-proxy NAME" prints the transcript of one script.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support/proxy-script.h"

#include <stdio.h>
#include <string.h>

#define RUNS_DIR TOU_TEST_DIR "/proxy"

static char *
read_file (const char *name, const char *suffix)
{
  char *path = g_strdup_printf ("%s/%s%s", RUNS_DIR, name, suffix);
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    text = g_strdup ("");
  g_free (path);
  return text;
}

static void
test_run (void **state)
{
  char *script = read_file (*state, ".run");
  char *expected = read_file (*state, ".out");
  GString *transcript = proxy_script_run (script);

  if (strcmp (transcript->str, expected) != 0)
    print_message ("transcript of %s:\n%s", (char *)*state, transcript->str);
  assert_string_equal (transcript->str, expected);
  assert_true (transcript->len > 0);
  g_string_free (transcript, TRUE);
  g_free (script);
  g_free (expected);
}

static GPtrArray *
list_runs (void)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GDir *dir = g_dir_open (RUNS_DIR, 0, NULL);
  const char *file;

  while (dir != NULL && (file = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (file, ".run"))
      g_ptr_array_add (names, g_strndup (file, strlen (file) - 4));
  if (dir != NULL)
    g_dir_close (dir);
  return names;
}

static int
print_run (const char *name)
{
  char *script = read_file (name, ".run");
  GString *transcript = proxy_script_run (script);

  fputs (transcript->str, stdout);
  g_string_free (transcript, TRUE);
  g_free (script);
  return 0;
}

int
main (int argc, char **argv)
{
  GPtrArray *names;
  struct CMUnitTest *tests;
  int failed = 1;

  if (argc > 1)
    return print_run (argv[1]);
  names = list_runs ();
  tests = g_new0 (struct CMUnitTest, names->len);
  for (guint i = 0; i < names->len; i++)
    {
      tests[i].name = g_ptr_array_index (names, i);
      tests[i].test_func = test_run;
      tests[i].initial_state = g_ptr_array_index (names, i);
    }
  if (names->len > 0)
    failed = _cmocka_run_group_tests ("proxy", tests, names->len, NULL, NULL);
  g_free (tests);
  g_ptr_array_unref (names);
  return failed;
}
