#include "settings-table.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

/* argp keys; setting i has KEY_FIRST + i. */
#define KEY_CHECK_CONFIG 0x1000
#define KEY_PRINT_DOC 0x1001
#define KEY_FIRST 0x2000

/* Parsed command line; the strings belong to argv. */
typedef struct
{
  TouSettingsMode mode;
  const char **values; /* one per setting; NULL: not set */
} SettingsInput;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  SettingsInput *input = state->input;

  if (key >= KEY_FIRST && key < KEY_FIRST + (int)tou_settings_count)
    input->values[key - KEY_FIRST] = arg;
  else if (key == KEY_CHECK_CONFIG)
    input->mode = TOU_SETTINGS_CHECK_CONFIG;
  else if (key == KEY_PRINT_DOC)
    input->mode = TOU_SETTINGS_PRINT_DOC;
  else if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument \"%s\"", arg);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static struct argp_option *
build_options (void)
{
  struct argp_option *options
      = g_new0 (struct argp_option, tou_settings_count + 3);
  guint n = 0;

  for (guint i = 0; i < tou_settings_count; i++)
    {
      const TouSetting *setting = &tou_settings_table[i];
      const char *unit = tou_setting_unit (setting);

      options[n++] = (struct argp_option){
        .name = setting->flag,
        .key = KEY_FIRST + (int)i,
        .arg = unit != NULL ? unit : "VALUE",
        .doc = setting->help,
      };
    }
  options[n++] = (struct argp_option){ .name = "check-config",
                                       .key = KEY_CHECK_CONFIG,
                                       .doc = "check the settings and exit" };
  options[n] = (struct argp_option){ .name = "print-settings-doc",
                                     .key = KEY_PRINT_DOC,
                                     .doc = "print the settings as Markdown" };
  return options;
}

static int
parse_flags (SettingsInput *input, int argc, char **argv)
{
  struct argp_option *options = build_options ();
  const struct argp argp
      = { .options = options,
          .parser = parse_option,
          .doc = "Database proxy with session consistency. Every flag "
                 "--some-name can be given as TOUCANSCALE_SOME_NAME." };
  error_t error = argp_parse (&argp, argc, argv, 0, NULL, input);

  g_free (options);
  if (error != 0)
    return tou_status_set (TOU_E_SETTING_INVALID, "cannot parse the flags: %s",
                           g_strerror (error));
  return TOU_OK;
}

static int
apply_setting (TouSettings *settings, const TouSetting *setting,
               const char *flag_value)
{
  char *variable = tou_setting_variable (setting);
  const char *value = flag_value;
  int status = TOU_OK;

  if (value == NULL)
    value = g_getenv (variable);
  if (value == NULL)
    value = setting->default_value;
  if (value != NULL)
    {
      status = tou_setting_apply (setting, settings, value);
    }
  else if (setting->required)
    {
      char *range = tou_setting_range (setting);

      status = tou_status_set (TOU_E_SETTING_INVALID,
                               "--%s (or %s): value is missing: %s",
                               setting->flag, variable, range);
      g_free (range);
    }
  g_free (variable);
  return status;
}

static int
invalid_pair (const char *first, const char *second, const char *rule)
{
  return tou_status_set (TOU_E_SETTING_INVALID, "--%s and --%s: %s", first,
                         second, rule);
}

static int
check_pair (const char *first, const char *second, const char *first_value,
            const char *second_value)
{
  if ((first_value == NULL) != (second_value == NULL))
    return invalid_pair (first, second, "set both or none");
  return TOU_OK;
}

/* Checks constraints between settings. */
static int
check_settings (const TouSettings *s)
{
  int status = check_pair ("tls-cert-file", "tls-key-file", s->tls_cert_file,
                           s->tls_key_file);

  if (status == TOU_OK)
    status = check_pair ("curve-public-key", "curve-secret-key",
                         s->curve_public_key, s->curve_secret_key);
  if (status != TOU_OK)
    return status;
  if (s->curve_accepted_keys != NULL && s->curve_public_key == NULL)
    return invalid_pair ("curve-accepted-keys", "curve-public-key",
                         "accepted keys require a key pair of this proxy");
  if (s->core.ping_timeout_us >= s->core.ping_interval_us)
    return invalid_pair ("ping-timeout", "ping-interval",
                         "the timeout must be shorter than the interval");
  if (s->core.suspect_after_us < 2 * s->core.report_interval_us)
    return invalid_pair ("suspect-after", "report-interval",
                         "the former must be at least twice the latter");
  if (s->core.fence_grace_us >= s->core.claim_timeout_us)
    return invalid_pair ("fence-grace", "claim-timeout",
                         "the grace must be shorter than the timeout");
  if (s->core.statement_limit > s->max_body)
    return invalid_pair ("statement-limit", "max-body",
                         "a statement must fit into a body");
  if (g_str_has_prefix (s->core.peer_address.data, "0.0.0.0:"))
    return invalid_pair ("peer-address", "peers-listen",
                         "other proxies cannot connect to 0.0.0.0, set an "
                         "address in --peer-address");
  return TOU_OK;
}

static int
apply_settings (TouSettings *settings, const char *const *values)
{
  for (guint i = 0; i < tou_settings_count; i++)
    {
      int status = apply_setting (settings, &tou_settings_table[i], values[i]);

      if (status != TOU_OK)
        return status;
    }
  if (settings->core.peer_address.len == 0)
    settings->core.peer_address = tou_name (settings->peers_listen);
  return check_settings (settings);
}

int
tou_settings_create (TouSettings **out, int argc, char **argv)
{
  SettingsInput input = { TOU_SETTINGS_RUN, NULL };
  TouSettings *settings = g_new0 (TouSettings, 1);
  int status;

  input.values = g_new0 (const char *, tou_settings_count);
  status = parse_flags (&input, argc, argv);
  settings->mode = input.mode;
  if (status == TOU_OK && input.mode != TOU_SETTINGS_PRINT_DOC)
    status = apply_settings (settings, input.values);
  g_free (input.values);
  if (status != TOU_OK)
    {
      tou_settings_destroy (settings);
      return status;
    }
  *out = settings;
  return TOU_OK;
}

void
tou_settings_destroy (TouSettings *settings)
{
  if (settings == NULL)
    return;
  for (guint i = 0; i < tou_settings_count; i++)
    {
      const TouSetting *setting = &tou_settings_table[i];
      gpointer field = G_STRUCT_MEMBER_P (settings, setting->offset);

      switch (setting->type)
        {
        case TOU_SETTING_TEXT:
        case TOU_SETTING_SECRET:
        case TOU_SETTING_ADDRESS:
        case TOU_SETTING_URL:
        case TOU_SETTING_FILE:
        case TOU_SETTING_Z85:
          g_free (*(char **)field);
          break;
        case TOU_SETTING_Z85_LIST:
          g_strfreev (*(char ***)field);
          break;
        default:
          break;
        }
    }
  g_free (settings);
}

static void
format_row (GString *text, const TouSetting *setting)
{
  char *variable = tou_setting_variable (setting);
  char *range = tou_setting_range (setting);
  const char *default_value = setting->default_value;

  if (default_value == NULL)
    default_value = setting->required ? "required" : "none";
  g_string_append_printf (text, "| `--%s` | `%s` | %s | %s | %s |\n",
                          setting->flag, variable, range, default_value,
                          setting->help);
  g_free (variable);
  g_free (range);
}

/* toucansessiond parses the platform's settings file itself, in platform/. */
static const char *const settings_session_doc
    = "\n## Settings of toucansessiond\n\n"
      "Optional lines of the settings file that the platform writes.\n\n"
      "| name | permitted | default | meaning |\n"
      "|---|---|---|---|\n"
      "| `pace.enabled` | true or false | true if `contracts`, a "
      "comma-separated list, has `pool`; else false | pace of databases that "
      "have started or recovered, see `docs/design/pace.md` |\n";

/* toucansessiond reads a file that the platform writes. */
static const char settings_session_limits[]
    = "\n## Limits of toucansessiond\n\n"
      "The settings file of `toucansessiond` is written by the platform. Its "
      "limits, and those that\nfollow from them or are fixed "
      "(`docs/design/memory-budget.md`):\n\n"
      "| limit | from | default | meaning |\n"
      "|---|---|---|---|\n"
      "| memory of the VM | `limits.memoryMb` | none | sessions and links "
      "together hold at most 40% of it, at least 8 MiB; if it is missing, the "
      "total is not limited |\n"
      "| large messages | `limits.memoryMb` | none | above 30% of it, partial "
      "messages of 64 KiB or more wait, for at most 2 s |\n"
      "| sessions | `limits.maxFds` | required | `limits.maxFds` - 456 |\n"
      "| connections of clients and nodes | `limits.maxFds` | required | 64 "
      "more than sessions; above the number of sessions, connections without "
      "a first message are closed after 2 s |\n"
      "| message | fixed | 1 MiB | of a client, a node or a database |\n"
      "| input ahead of a statement | fixed | 64 KiB | reading stops until "
      "the statement has ended |\n"
      "| unsent output of a session | fixed | 256 KiB | no statement begins "
      "until it is written |\n"
      "| time without reading | fixed | 5 s | a session with unsent output is "
      "closed |\n"
      "| session values | fixed | 256, 2 MiB | SET is answered with TOOBIG |\n"
      "| prepared statements of a session | fixed | 256, 2 MiB | PREPARE is "
      "answered with TOOBIG |\n"
      "| the same of another node's session | fixed | 1024, 4 MiB | the "
      "connection is closed |\n"
      "| prepared statements of a database connection | fixed | 700, 2 MiB | "
      "it is reset |\n"
      "| prepared texts without a session | fixed | 1024, 1 MiB | the one "
      "unused for longest is forgotten |\n";

void
tou_settings_format_doc (TouStr *out)
{
  GString *text = g_string_new (
      "# Settings of toucanscaled\n\n"
      "Generated by `toucanscaled --print-settings-doc`.\n\n"
      "Flags have priority over environment variables. Secrets are never "
      "logged; with\nthe value `@FILE` a secret is read from a file. "
      "`--check-config` checks all settings and exits.\n\n"
      "| flag | environment variable | permitted | default | meaning |\n"
      "|---|---|---|---|---|\n");

  for (guint i = 0; i < tou_settings_count; i++)
    format_row (text, &tou_settings_table[i]);
  g_string_append (text, settings_session_doc);
  g_string_append (text, settings_session_limits);
  out->len = text->len;
  out->data = g_string_free (text, FALSE);
}
