#include "ctl.h"

#include <argp.h>
#include <string.h>

#define KEY_FIRST 0x1000

/* Timeout of one request in milliseconds; the proxy replies to changes within
   10 s. */
#define CTL_TIMEOUT_MS 12000
#define CTL_TIMEOUT_MAX_MS 600000

enum
{
  KEY_URL = KEY_FIRST,
  KEY_TOKEN,
  KEY_CA_FILE,
  KEY_TIMEOUT,
  KEY_JSON,
  KEY_AUTHOR,
  KEY_REASON,
  KEY_REVISION,
  KEY_AGAINST
};

static const struct argp_option options[]
    = { { "url", KEY_URL, "URL", 0,
          "address of the proxy's interface for operators "
          "(TOUCANSCALECTL_URL; default http://127.0.0.1:8081)",
          0 },
        { "token", KEY_TOKEN, "TOKEN", 0,
          "bearer token of operators, or @FILE (TOUCANSCALECTL_TOKEN)", 0 },
        { "ca-file", KEY_CA_FILE, "FILE", 0,
          "PEM file of the certificate authority for https "
          "(TOUCANSCALECTL_CA_FILE)",
          0 },
        { "timeout", KEY_TIMEOUT, "MS", 0,
          "time limit of the request, 1 to 600000 ms (default 12000)", 0 },
        { "json", KEY_JSON, NULL, 0, "print the answer as JSON", 0 },
        { "author", KEY_AUTHOR, "NAME", 0, "author of the change", 0 },
        { "reason", KEY_REASON, "TEXT", 0,
          "reason for the change; required for exceptions", 0 },
        { "expected-revision", KEY_REVISION, "N", 0,
          "revision of the entry to replace; 0 creates the entry", 0 },
        { "against", KEY_AGAINST, "FILE", 0,
          "configuration in force, which config check compares with", 0 },
        { NULL, 0, NULL, 0, NULL, 0 } };

static const char doc[]
    = "Monitors and configures a toucanscale proxy.\v"
      "Commands:\n"
      "  dump                          print the state of the proxy\n"
      "  metrics                       print the counters\n"
      "  health                        check whether the proxy runs\n"
      "  ready                         check whether it accepts requests\n"
      "  drain                         shut it down gracefully\n"
      "  config list                   print all entries\n"
      "  config get KIND NAME          print one entry\n"
      "  config set KIND NAME VALUE    set an entry; VALUE is JSON, @FILE or "
      "-\n"
      "  config delete KIND NAME       delete an entry\n"
      "  config check FILE             check a configuration of "
      "toucansessiond\n"
      "  errors                        print the result codes as Markdown\n"
      "KIND is group, default or exception.\n\n"
      "Exit codes: 0 success, 1 refused, 2 no such entry, 3 conflict with "
      "another change, 4 the change may have taken effect, 5 the proxy "
      "does not answer, 6 not ready, 64 invalid command line. config check: 0 "
      "no problems, 1 problems found, 2 a file cannot be read.\n";

static guint64
parse_number (struct argp_state *state, const char *flag, const char *text,
              guint64 min, guint64 max)
{
  guint64 value = 0;

  if (!g_ascii_string_to_unsigned (text, 10, min, max, &value, NULL))
    argp_error (state,
                "--%s: \"%s\" is not %" G_GUINT64_FORMAT
                " to %" G_GUINT64_FORMAT,
                flag, text, min, max);
  return value;
}

static void
add_argument (TouCtlOptions *out, struct argp_state *state, const char *arg)
{
  if (out->n_args < G_N_ELEMENTS (out->args))
    out->args[out->n_args++] = arg;
  else if (out->value == NULL)
    out->value = arg;
  else
    argp_error (state, "unexpected argument \"%s\"", arg);
}

gboolean
tou_ctl_is_check (const TouCtlOptions *options)
{
  return options->n_args > 1 && strcmp (options->args[0], "config") == 0
         && strcmp (options->args[1], "check") == 0;
}

static void
check_config (const TouCtlOptions *out, struct argp_state *state)
{
  const char *verb = out->n_args > 1 ? out->args[1] : "";
  gboolean set = strcmp (verb, "set") == 0;
  gboolean remove = strcmp (verb, "delete") == 0;
  gboolean list = strcmp (verb, "list") == 0;

  if (tou_ctl_is_check (out))
    {
      if (out->n_args != 3)
        argp_error (state, "config check requires FILE");
      return;
    }
  if (!set && !remove && !list && strcmp (verb, "get") != 0)
    argp_error (state, "config requires list, get, set, delete or check");
  if (out->n_args != (list ? 2 : 4))
    argp_error (state, list ? "config list takes no arguments"
                            : "KIND and NAME are required");
  if (set != (out->value != NULL))
    argp_error (state, set ? "VALUE is required" : "unexpected argument");
  if ((set || remove) && out->author == NULL)
    argp_error (state, "--author is required for a change");
  if (remove && out->expected_revision == 0)
    argp_error (state, "--expected-revision is required for a deletion");
}

static void
check_command (const TouCtlOptions *out, struct argp_state *state)
{
  static const char *const simple_commands[]
      = { "dump", "metrics", "health", "ready", "drain", "errors", NULL };

  if (out->n_args == 0)
    argp_error (state, "a command is required");
  else if (strcmp (out->args[0], "config") == 0)
    check_config (out, state);
  else if (!g_strv_contains (simple_commands, out->args[0]))
    argp_error (state, "unknown command \"%s\"", out->args[0]);
  else if (out->n_args > 1)
    argp_error (state, "unexpected argument \"%s\"", out->args[1]);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  TouCtlOptions *out = state->input;

  switch (key)
    {
    case KEY_URL:
      out->url = arg;
      break;
    case KEY_TOKEN:
      out->token = arg;
      break;
    case KEY_CA_FILE:
      out->ca_file = arg;
      break;
    case KEY_TIMEOUT:
      out->timeout_ms
          = parse_number (state, "timeout", arg, 1, CTL_TIMEOUT_MAX_MS);
      break;
    case KEY_JSON:
      out->json = TRUE;
      break;
    case KEY_AUTHOR:
      out->author = arg;
      break;
    case KEY_REASON:
      out->reason = arg;
      break;
    case KEY_REVISION:
      out->expected_revision
          = parse_number (state, "expected-revision", arg, 0, G_MAXINT64);
      break;
    case KEY_AGAINST:
      out->against = arg;
      break;
    case ARGP_KEY_ARG:
      add_argument (out, state, arg);
      break;
    case ARGP_KEY_END:
      if (out->against != NULL && !tou_ctl_is_check (out))
        argp_error (state, "--against is for config check");
      check_command (out, state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

void
tou_ctl_parse (TouCtlOptions *out, int argc, char **argv)
{
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .args_doc = "COMMAND [ARGUMENT...]",
                                    .doc = doc };

  *out = (TouCtlOptions){ .url = g_getenv ("TOUCANSCALECTL_URL"),
                          .token = g_getenv ("TOUCANSCALECTL_TOKEN"),
                          .ca_file = g_getenv ("TOUCANSCALECTL_CA_FILE"),
                          .timeout_ms = CTL_TIMEOUT_MS };
  if (out->url == NULL)
    out->url = "http://127.0.0.1:8081";
  argp_parse (&argp, argc, argv, 0, NULL, out);
}
