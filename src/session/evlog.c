#include "evlog.h"

#include "clock.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <unistd.h>

/* Lines per second. At 20 us per line, 100 lines use less than 1% of a quarter
   core. */
#define EVLOG_LINES_PER_S 100
/* The last half of the budget is reserved for failures and state changes, the
   last quarter for state changes alone. */
#define EVLOG_FAILURE_RESERVE (EVLOG_LINES_PER_S / 4)
#define EVLOG_REQUEST_RESERVE (EVLOG_LINES_PER_S / 2)

static struct
{
  const char *node;
  guint64 refilled_us;
  guint budget;
  guint64 dropped;
  guint64 dropped_reported;
} evlog;

void
tou_evlog_init (const char *node)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  evlog.node = node;
  evlog.budget = EVLOG_LINES_PER_S;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static gboolean
evlog_consume_budget (TouEvlogClass class)
{
  guint64 now_us = tou_clock_us ();
  guint reserve = 0;

  if (now_us >= evlog.refilled_us + TOU_US_PER_S)
    {
      evlog.refilled_us = now_us;
      evlog.budget = EVLOG_LINES_PER_S;
    }
  switch (class)
    {
    case TOU_EVLOG_STATE:
      break;
    case TOU_EVLOG_FAILURE:
      reserve = EVLOG_FAILURE_RESERVE;
      break;
    case TOU_EVLOG_REQUEST:
      reserve = EVLOG_REQUEST_RESERVE;
      break;
    }
  if (evlog.budget <= reserve)
    {
      evlog.dropped++;
      return FALSE;
    }
  evlog.budget--;
  return TRUE;
}

static void
evlog_line (const char *event, const char *members)
{
  gint64 wall_us = g_get_real_time ();
  char *line = g_strdup_printf ("{\"t\":%" G_GINT64_FORMAT
                                ".%06d,\"node\":\"%s\",\"event\":\"%s\"%s%s}\n",
                                wall_us / G_USEC_PER_SEC,
                                (int)(wall_us % G_USEC_PER_SEC), evlog.node,
                                event, members[0] != '\0' ? "," : "", members);
  gsize len = strlen (line);

  /* The line is dropped if the pipe is full, so that logging never blocks. */
  if (write (STDOUT_FILENO, line, len) != (gssize)len)
    evlog.dropped++;
  g_free (line);
}

void
tou_evlog (TouEvlogClass class, const char *event, const char *members, ...)
{
  va_list args;
  char *text;

  if (evlog.node == NULL || !evlog_consume_budget (class))
    return;
  if (evlog.dropped != evlog.dropped_reported && class == TOU_EVLOG_STATE)
    {
      text = g_strdup_printf ("\"lines\":%" G_GUINT64_FORMAT,
                              evlog.dropped - evlog.dropped_reported);
      evlog.dropped_reported = evlog.dropped;
      evlog_line ("log_dropped", text);
      g_free (text);
    }
  va_start (args, members);
  text = g_strdup_vprintf (members, args);
  va_end (args);
  evlog_line (event, text);
  g_free (text);
}

const char *
tou_evlog_sanitize (char *out, gsize size, TouSlice slice)
{
  gsize len = MIN (slice.len, size - 1);

  for (gsize i = 0; i < len; i++)
    {
      char c = slice.data[i];

      out[i] = (c < ' ' || c > '~' || c == '"' || c == '\\') ? '?' : c;
    }
  out[len] = '\0';
  return out;
}

guint64
tou_evlog_dropped (void)
{
  return evlog.dropped;
}
