#include "log.h"

#include "toucanscale/status.h"

#include <jansson.h>

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/* Structured log field with the result code. */
#define TOU_LOG_FIELD_CODE "TOUCANSCALE_CODE"

static const char *log_node = "";
static GLogLevelFlags log_max_level = G_LOG_LEVEL_MESSAGE;

static const char *
log_level_name (GLogLevelFlags level)
{
  switch (level & G_LOG_LEVEL_MASK)
    {
    case G_LOG_LEVEL_ERROR:
      return "fatal";
    case G_LOG_LEVEL_CRITICAL:
      return "error";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_MESSAGE:
      return "notice";
    case G_LOG_LEVEL_INFO:
      return "info";
    default:
      return "debug";
    }
}

static char *
log_time (gint64 time_us)
{
  GDateTime *seconds = g_date_time_new_from_unix_utc (time_us / G_USEC_PER_SEC);
  char *date = g_date_time_format (seconds, "%Y-%m-%dT%H:%M:%S");
  char *text
      = g_strdup_printf ("%s.%06dZ", date, (int)(time_us % G_USEC_PER_SEC));

  g_free (date);
  g_date_time_unref (seconds);
  return text;
}

/* Adds a string of @a len bytes, or NUL-terminated if @a len is -1. Invalid
   UTF-8 is replaced. */
static void
log_add_string (json_t *line, const char *key, const char *value, gssize len)
{
  char *valid = g_utf8_make_valid (value, len);

  json_object_set_new (line, key, json_string (valid));
  g_free (valid);
}

static void
log_add_field (json_t *line, const GLogField *field)
{
  if (strcmp (field->key, "MESSAGE") == 0)
    log_add_string (line, "message", field->value, field->length);
  else if (strcmp (field->key, "GLIB_DOMAIN") == 0)
    log_add_string (line, "domain", field->value, field->length);
  else if (strcmp (field->key, TOU_LOG_FIELD_CODE) == 0)
    {
      int code = *(const int *)field->value;

      json_object_set_new (line, "code", json_integer (code));
      json_object_set_new (line, "status",
                           json_string (tou_status_name (code)));
    }
}

char *
tou_log_format (GLogLevelFlags level, gint64 time_us, const char *node,
                const GLogField *fields, gsize n_fields)
{
  json_t *line = json_object ();
  char *time_text = log_time (time_us);
  char *json_text;
  char *text;

  json_object_set_new (line, "time", json_string (time_text));
  json_object_set_new (line, "level", json_string (log_level_name (level)));
  log_add_string (line, "node", node, -1);
  for (gsize i = 0; i < n_fields; i++)
    log_add_field (line, &fields[i]);
  json_text = json_dumps (line, JSON_COMPACT);
  text = g_strconcat (json_text, "\n", NULL);
  free (json_text);
  g_free (time_text);
  json_decref (line);
  return text;
}

static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer user_data)
{
  char *text;
  ssize_t written;

  (void)user_data;
  if ((level & G_LOG_LEVEL_MASK) > log_max_level)
    return G_LOG_WRITER_HANDLED;
  text = tou_log_format (level, g_get_real_time (), log_node, fields, n_fields);
  /* A single write per line prevents interleaving between threads. */
  written = write (STDERR_FILENO, text, strlen (text));
  (void)written; /* an error cannot be reported anywhere else */
  g_free (text);
  return G_LOG_WRITER_HANDLED;
}

void
tou_log_init (const char *node, GLogLevelFlags max_level)
{
  log_node = node;
  log_max_level = max_level;
  g_log_set_writer_func (log_write, NULL, NULL);
}

void
tou_log (GLogLevelFlags level, int code, const char *format, ...)
{
  char *message;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  {
    const GLogField fields[] = { { "MESSAGE", message, -1 },
                                 { "GLIB_DOMAIN", "toucanscale", -1 },
                                 { TOU_LOG_FIELD_CODE, &code, sizeof code } };

    g_log_structured_array (level, fields,
                            code != TOU_OK ? G_N_ELEMENTS (fields)
                                           : G_N_ELEMENTS (fields) - 1);
  }
  g_free (message);
}
