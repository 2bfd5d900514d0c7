#include "process-stats.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

/* Returns the resident memory in bytes, or 0 if unknown. */
static guint64
get_resident_bytes (void)
{
  char *content;
  guint64 pages = 0;
  char *end;

  if (!g_file_get_contents ("/proc/self/statm", &content, NULL, NULL))
    return 0;
  /* The second field is the resident set size in pages. */
  g_ascii_strtoull (content, &end, 10);
  pages = g_ascii_strtoull (end, NULL, 10);
  g_free (content);
  return pages * (guint64)sysconf (_SC_PAGESIZE);
}

static double
timeval_to_seconds (struct timeval t)
{
  return (double)t.tv_sec + (double)t.tv_usec / G_USEC_PER_SEC;
}

void
tou_process_stats_metrics (gpointer unused, GString *text)
{
  struct rusage usage;

  (void)unused;
  getrusage (RUSAGE_SELF, &usage);
  g_string_append_printf (
      text,
      "# TYPE process_cpu_seconds_total counter\n"
      "process_cpu_seconds_total %.6f\n"
      "# TYPE process_resident_memory_bytes gauge\n"
      "process_resident_memory_bytes %" G_GUINT64_FORMAT "\n",
      timeval_to_seconds (usage.ru_utime) + timeval_to_seconds (usage.ru_stime),
      get_resident_bytes ());
}
