#include "ctl.h"

#include "toucanscale/status.h"

#include <jansson.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>

static const struct
{
  const char *command;
  const char *method;
  const char *path;
} simple_commands[] = {
  { "dump", "GET", "/dump" },       { "metrics", "GET", "/metrics" },
  { "health", "GET", "/healthz" },  { "ready", "GET", "/readyz" },
  { "drain", "POST", "/v1/drain" },
};

static char *
read_input (void)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t n_read;

  while ((n_read = read (STDIN_FILENO, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n_read);
  return g_string_free (text, FALSE);
}

/* Parses the value of a change; NULL if it cannot be read or is not JSON. */
static json_t *
load_value (const char *value)
{
  json_error_t error;
  json_t *parsed;
  char *text = NULL;

  if (strcmp (value, "-") == 0)
    text = read_input ();
  else if (value[0] == '@')
    {
      if (!g_file_get_contents (value + 1, &text, NULL, NULL))
        {
          fprintf (stderr, "toucanscalectl: cannot read %s\n", value + 1);
          return NULL;
        }
    }
  else
    text = g_strdup (value);
  parsed = json_loads (text, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, &error);
  if (parsed == NULL)
    fprintf (stderr, "toucanscalectl: VALUE is not JSON: line %d: %s\n",
             error.line, error.text);
  g_free (text);
  return parsed;
}

/* Builds the body of a change; FALSE if the value cannot be loaded. */
static gboolean
build_change (TouCtlCall *call, const TouCtlOptions *options)
{
  json_t *body = json_pack ("{s:I, s:s}", "expected_revision",
                            (json_int_t)options->expected_revision, "author",
                            options->author);

  if (options->reason != NULL)
    json_object_set_new (body, "reason", json_string (options->reason));
  if (options->value != NULL)
    {
      json_t *value = load_value (options->value);

      if (value == NULL)
        {
          json_decref (body);
          return FALSE;
        }
      json_object_set_new (body, "value", value);
    }
  call->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return TRUE;
}

static gboolean
build_config (TouCtlCall *call, const TouCtlOptions *options)
{
  const char *verb = options->args[1];
  char *kind;
  char *name;

  call->method = "GET";
  if (strcmp (verb, "list") == 0)
    {
      call->path = g_strdup ("/v1/config");
      return TRUE;
    }
  kind = g_uri_escape_string (options->args[2], NULL, FALSE);
  name = g_uri_escape_string (options->args[3], NULL, FALSE);
  call->path = g_strdup_printf ("/v1/config/%s/%s", kind, name);
  g_free (kind);
  g_free (name);
  if (strcmp (verb, "get") == 0)
    return TRUE;
  call->method = strcmp (verb, "set") == 0 ? "PUT" : "DELETE";
  return build_change (call, options);
}

static gboolean
build_call (TouCtlCall *call, const TouCtlOptions *options)
{
  for (guint i = 0; i < G_N_ELEMENTS (simple_commands); i++)
    if (strcmp (options->args[0], simple_commands[i].command) == 0)
      {
        call->method = simple_commands[i].method;
        call->path = g_strdup (simple_commands[i].path);
        return TRUE;
      }
  return build_config (call, options);
}

static int
run_errors (void)
{
  TouStr text;

  tou_ctl_format_errors (&text);
  fputs (text.data, stdout);
  tou_str_clear (&text);
  return TOU_CTL_OK;
}

int
tou_ctl_run (const TouCtlOptions *options)
{
  TouCtlCall call = { 0 };
  int code = EX_USAGE;

  if (strcmp (options->args[0], "errors") == 0)
    return run_errors ();
  if (build_call (&call, options))
    {
      if (tou_ctl_send (&call, options) == TOU_OK)
        code = tou_ctl_print (&call, options);
      else
        {
          fprintf (stderr, "toucanscalectl: %s\n", tou_status_message ());
          /* A change without a response may have taken effect. */
          code = call.body != NULL && call.sent ? TOU_CTL_UNKNOWN
                                                : TOU_CTL_UNREACHABLE;
        }
    }
  g_free (call.path);
  free (call.body);
  tou_str_clear (&call.response);
  return code;
}
