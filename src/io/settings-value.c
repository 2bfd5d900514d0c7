#include "settings-table.h"

#include <sodium.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Length of a CURVE key in Z85 encoding. */
#define Z85_KEY_LEN 40
#define Z85_ALPHABET                                                           \
  "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"             \
  ".-:+=^!/*?&<>()[]{}@%$#"

#define PORT_MAX 65535

static const struct
{
  const char *name;
  GLogLevelFlags level;
} log_levels[] = {
  { "error", G_LOG_LEVEL_CRITICAL }, { "warning", G_LOG_LEVEL_WARNING },
  { "notice", G_LOG_LEVEL_MESSAGE }, { "info", G_LOG_LEVEL_INFO },
  { "debug", G_LOG_LEVEL_DEBUG },
};

gboolean
tou_setting_is_secret (const TouSetting *setting)
{
  return setting->type == TOU_SETTING_SECRET
         || setting->type == TOU_SETTING_HEX_KEY
         || setting->type == TOU_SETTING_Z85;
}

const char *
tou_setting_unit (const TouSetting *setting)
{
  switch (setting->type)
    {
    case TOU_SETTING_MS:
      return "ms";
    case TOU_SETTING_BYTES:
    case TOU_SETTING_BYTES32:
      return "bytes";
    default:
      return NULL;
    }
}

char *
tou_setting_range (const TouSetting *setting)
{
  const char *unit = tou_setting_unit (setting);

  switch (setting->type)
    {
    case TOU_SETTING_NAME:
      return g_strdup_printf ("1 to %" G_GUINT64_FORMAT
                              " letters, digits, '.', '_' or '-'",
                              setting->max);
    case TOU_SETTING_TEXT:
      return g_strdup_printf ("1 to %" G_GUINT64_FORMAT " bytes", setting->max);
    case TOU_SETTING_SECRET:
      return g_strdup_printf ("1 to %" G_GUINT64_FORMAT
                              " bytes, or @FILE to read them from a file",
                              setting->max);
    case TOU_SETTING_ADDRESS:
    case TOU_SETTING_PEER:
      return g_strdup ("IPv4:PORT with port 1 to 65535");
    case TOU_SETTING_URL:
      return g_strdup ("http://... or https://...");
    case TOU_SETTING_FILE:
      return g_strdup ("path of a readable file");
    case TOU_SETTING_Z85:
      return g_strdup ("40 characters of Z85, or @FILE");
    case TOU_SETTING_Z85_LIST:
      return g_strdup ("comma-separated keys of 40 characters of Z85");
    case TOU_SETTING_HEX_KEY:
      return g_strdup ("64 hexadecimal digits, or @FILE");
    case TOU_SETTING_SEEDS:
      return g_strdup_printf ("at most %d comma-separated IPv4:PORT",
                              TOU_MAX_SEEDS);
    case TOU_SETTING_LEVEL:
      return g_strdup ("error, warning, notice, info or debug");
    default:
      return g_strdup_printf (
          "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT "%s%s", setting->min,
          setting->max, unit != NULL ? " " : "", unit != NULL ? unit : "");
    }
}

char *
tou_setting_variable (const TouSetting *setting)
{
  char *upper = g_ascii_strup (setting->flag, -1);
  char *name = g_strconcat ("TOUCANSCALE_", upper, NULL);

  g_free (upper);
  return g_strdelimit (name, "-", '_');
}

static gboolean
value_is_name (const char *value, const TouSetting *setting)
{
  gsize len = strlen (value);

  return len >= 1 && len <= setting->max
         && strspn (value, "abcdefghijklmnopqrstuvwxyz"
                           "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == len;
}

static gboolean
value_parse_number (const char *value, guint64 min, guint64 max, guint64 *out)
{
  return g_ascii_string_to_unsigned (value, 10, min, max, out, NULL);
}

static gboolean
value_is_address (const char *value)
{
  const char *colon = strrchr (value, ':');
  struct in_addr parsed_ip;
  guint64 port;
  char *ip;
  gboolean valid;

  if (colon == NULL)
    return FALSE;
  ip = g_strndup (value, (gsize)(colon - value));
  valid = inet_pton (AF_INET, ip, &parsed_ip) == 1
          && value_parse_number (colon + 1, 1, PORT_MAX, &port);
  g_free (ip);
  return valid;
}

static gboolean
value_is_url (const char *value)
{
  return (g_str_has_prefix (value, "http://")
          || g_str_has_prefix (value, "https://"))
         && strlen (value) > strlen ("https://");
}

static gboolean
value_is_z85 (const char *value)
{
  return strlen (value) == Z85_KEY_LEN
         && strspn (value, Z85_ALPHABET) == Z85_KEY_LEN;
}

static gboolean
apply_text (char **field, const char *value, gboolean valid)
{
  if (!valid)
    return FALSE;
  g_free (*field);
  *field = g_strdup (value);
  return TRUE;
}

static gboolean
apply_name (TouName *field, const char *value, gboolean valid)
{
  return valid && tou_name_set_c (field, value) == TOU_OK;
}

static gboolean
apply_seeds (TouSettings *settings, const char *value)
{
  char **parts = g_strsplit (value, ",", -1);
  gboolean valid = g_strv_length (parts) <= TOU_MAX_SEEDS;

  settings->core.n_seeds = 0;
  for (guint i = 0; valid && parts[i] != NULL; i++)
    valid = apply_name (&settings->core.seeds[settings->core.n_seeds++],
                        parts[i], value_is_address (parts[i]));
  g_strfreev (parts);
  return valid;
}

static gboolean
apply_z85_list (char ***field, const char *value)
{
  char **parts = g_strsplit (value, ",", -1);
  gboolean valid = parts[0] != NULL;

  for (guint i = 0; valid && parts[i] != NULL; i++)
    valid = value_is_z85 (parts[i]);
  g_strfreev (*field);
  *field = valid ? parts : NULL;
  if (!valid)
    g_strfreev (parts);
  return valid;
}

static gboolean
apply_key (TouTokenKeys *keys, const char *value)
{
  gsize len;

  if (keys->n_keys == TOU_TOKEN_MAX_KEYS
      || strlen (value) != (gsize)TOU_TOKEN_KEY_BYTES * 2
      || sodium_hex2bin (keys->keys[keys->n_keys], TOU_TOKEN_KEY_BYTES, value,
                         strlen (value), NULL, &len, NULL)
             != 0
      || len != TOU_TOKEN_KEY_BYTES)
    return FALSE;
  keys->n_keys++;
  return TRUE;
}

static gboolean
apply_level (GLogLevelFlags *field, const char *value)
{
  for (guint i = 0; i < G_N_ELEMENTS (log_levels); i++)
    if (strcmp (value, log_levels[i].name) == 0)
      {
        *field = log_levels[i].level;
        return TRUE;
      }
  return FALSE;
}

static gboolean
apply_number (const TouSetting *setting, gpointer field, const char *value)
{
  guint64 number;

  if (!value_parse_number (value, setting->min, setting->max, &number))
    return FALSE;
  if (setting->type == TOU_SETTING_MS)
    *(guint64 *)field = number * TOU_US_PER_MS;
  else if (setting->type == TOU_SETTING_BYTES)
    *(gsize *)field = number;
  else
    *(guint *)field = (guint)number;
  return TRUE;
}

static gboolean
apply_value (const TouSetting *setting, TouSettings *settings,
             const char *value)
{
  gpointer field = G_STRUCT_MEMBER_P (settings, setting->offset);
  gsize len = strlen (value);

  switch (setting->type)
    {
    case TOU_SETTING_NAME:
      return apply_name (field, value, value_is_name (value, setting));
    case TOU_SETTING_PEER:
      return apply_name (field, value, value_is_address (value));
    case TOU_SETTING_TEXT:
    case TOU_SETTING_SECRET:
      return apply_text (field, value, len >= 1 && len <= setting->max);
    case TOU_SETTING_ADDRESS:
      return apply_text (field, value, value_is_address (value));
    case TOU_SETTING_URL:
      return apply_text (field, value, value_is_url (value));
    case TOU_SETTING_FILE:
      return apply_text (field, value, access (value, R_OK) == 0);
    case TOU_SETTING_Z85:
      return apply_text (field, value, value_is_z85 (value));
    case TOU_SETTING_Z85_LIST:
      return apply_z85_list (field, value);
    case TOU_SETTING_HEX_KEY:
      return apply_key (field, value);
    case TOU_SETTING_SEEDS:
      return apply_seeds (settings, value);
    case TOU_SETTING_LEVEL:
      return apply_level (field, value);
    case TOU_SETTING_MS:
    case TOU_SETTING_UINT:
    case TOU_SETTING_BYTES:
    case TOU_SETTING_BYTES32:
      return apply_number (setting, field, value);
    }
  return FALSE;
}

/* Returns the value; for a secret "@FILE" the content of the file without
   trailing white space. NULL if the file cannot be read. */
static char *
value_read (const TouSetting *setting, const char *value)
{
  char *content;

  /* A key in Z85 can start with '@'. */
  if (!tou_setting_is_secret (setting) || value[0] != '@'
      || (setting->type == TOU_SETTING_Z85 && value_is_z85 (value)))
    return g_strdup (value);
  if (!g_file_get_contents (value + 1, &content, NULL, NULL))
    return NULL;
  return g_strchomp (content);
}

int
tou_setting_apply (const TouSetting *setting, TouSettings *settings,
                   const char *value)
{
  char *loaded = value_read (setting, value);
  char *range;
  int status = TOU_OK;

  if (loaded == NULL || !apply_value (setting, settings, loaded))
    {
      /* A file name is not secret. */
      gboolean hide = tou_setting_is_secret (setting) && value[0] != '@';

      range = tou_setting_range (setting);
      status = tou_status_set (
          TOU_E_SETTING_INVALID, "--%s: value %s%s%s is not permitted: %s",
          setting->flag, hide ? "" : "\"", hide ? "(hidden)" : value,
          hide ? "" : "\"", range);
      g_free (range);
    }
  g_free (loaded);
  return status;
}
