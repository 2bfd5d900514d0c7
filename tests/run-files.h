/**
 * @file run-files.h
 * Runs every script NAME.run of a directory and compares its transcript with
 * NAME.out. Included by the main files of the test programs.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <stdio.h>
#include <string.h>

/** Runs the text of a script and returns its transcript. */
typedef GString *(*RunFilesFunc) (const char *script);

static const char *run_files_dir;
static RunFilesFunc run_files_func;

static char *
run_files_read (const char *name, const char *suffix)
{
  char *path = g_strdup_printf ("%s/%s%s", run_files_dir, name, suffix);
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    text = g_strdup ("");
  g_free (path);
  return text;
}

static void
run_files_test (void **state)
{
  char *script = run_files_read (*state, ".run");
  char *expected = run_files_read (*state, ".out");
  GString *transcript = run_files_func (script);

  if (strcmp (transcript->str, expected) != 0)
    print_message ("transcript of %s:\n%s", (char *)*state, transcript->str);
  assert_string_equal (transcript->str, expected);
  assert_true (transcript->len > 0);
  g_string_free (transcript, TRUE);
  g_free (script);
  g_free (expected);
}

static gint
run_files_compare (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static GPtrArray *
run_files_list (void)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GDir *dir = g_dir_open (run_files_dir, 0, NULL);
  const char *file;

  while (dir != NULL && (file = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (file, ".run"))
      g_ptr_array_add (names, g_strndup (file, strlen (file) - 4));
  if (dir != NULL)
    g_dir_close (dir);
  g_ptr_array_sort (names, run_files_compare);
  return names;
}

static int
run_files_print (const char *name)
{
  char *script = run_files_read (name, ".run");
  GString *transcript = run_files_func (script);

  fputs (transcript->str, stdout);
  g_string_free (transcript, TRUE);
  g_free (script);
  return 0;
}

/**
 * Runs all scripts in @a dir. With one argument, the name of a script, prints
 * the transcript of that script instead.
 *
 * @return the number of failed scripts; 1 if @a dir contains none
 */
static int
run_files_main (int argc, char **argv, const char *dir, RunFilesFunc func)
{
  GPtrArray *names;
  struct CMUnitTest *tests;
  int failed = 1;

  run_files_dir = dir;
  run_files_func = func;
  if (argc == 2)
    return run_files_print (argv[1]);
  names = run_files_list ();
  tests = g_new0 (struct CMUnitTest, names->len);
  for (guint i = 0; i < names->len; i++)
    tests[i] = (struct CMUnitTest){ names->pdata[i], run_files_test, NULL, NULL,
                                    names->pdata[i] };
  if (names->len > 0)
    failed = _cmocka_run_group_tests ("runs", tests, names->len, NULL, NULL);
  g_free (tests);
  g_ptr_array_free (names, TRUE);
  return failed;
}
