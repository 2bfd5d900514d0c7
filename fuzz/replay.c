/* Runs a fuzz target on the files given as arguments; aborts on a violation. */
#include <glib.h>
#include <stdio.h>

int LLVMFuzzerTestOneInput (const guint8 *data, gsize size);

int
main (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      GError *error = NULL;
      char *data;
      gsize size;

      if (!g_file_get_contents (argv[i], &data, &size, &error))
        {
          fprintf (stderr, "%s\n", error->message);
          g_error_free (error);
          return 2;
        }
      LLVMFuzzerTestOneInput ((const guint8 *)data, size);
      g_free (data);
    }
  return 0;
}
