#include "config-parse.h"

#include <string.h>

/* Read staleness if the client states none; acceptable for status pages. */
#define TOU_DEFAULT_MAX_AGE_US (1 * TOU_US_PER_S)
#define TOU_DEFAULT_MAX_LAG_US (5 * TOU_US_PER_S)
#define TOU_DEFAULT_DEADLINE_US (5 * TOU_US_PER_S)
/* Floors of the review and status ranks (design 3.9). */
#define TOU_DEFAULT_REVIEW_FLOOR 15
#define TOU_DEFAULT_STATUS_FLOOR 5

/** One exception; exceptions of one group are applied in the order of ids. */
typedef struct
{
  char *id;
  TouName group;
  TouOverride override;
} ConfigException;

struct TouConfig
{
  TouContext *ctx;
  GPtrArray *groups;     /**< TouGroupConfig, in name order */
  GHashTable *by_name;   /**< TouName in the group -> TouGroupConfig */
  GPtrArray *exceptions; /**< ConfigException, in id order */
  TouOverride staleness;
  TouOverride ranks;
  guint64 version;
};

static void
config_exception_free (gpointer data)
{
  ConfigException *exception = data;

  g_free (exception->id);
  g_free (exception);
}

int
tou_config_create (TouConfig **out, TouContext *ctx)
{
  TouConfig *config = g_new0 (TouConfig, 1);

  config->ctx = ctx;
  config->groups = g_ptr_array_new_with_free_func (g_free);
  config->by_name = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  config->exceptions = g_ptr_array_new_with_free_func (config_exception_free);
  tou_override_init (&config->staleness);
  tou_override_init (&config->ranks);
  *out = config;
  return TOU_OK;
}

void
tou_config_destroy (TouConfig *config)
{
  if (config == NULL)
    return;
  g_hash_table_destroy (config->by_name);
  g_ptr_array_free (config->groups, TRUE);
  g_ptr_array_free (config->exceptions, TRUE);
  g_free (config);
}

const TouGroupConfig *
tou_config_group (const TouConfig *config, const TouName *name)
{
  return g_hash_table_lookup (config->by_name, name);
}

guint
tou_config_n_groups (const TouConfig *config)
{
  return config->groups->len;
}

const TouGroupConfig *
tou_config_group_at (const TouConfig *config, guint i)
{
  return g_ptr_array_index (config->groups, i);
}

guint64
tou_config_version (const TouConfig *config)
{
  return config->version;
}

int
tou_group_endpoint_index (const TouGroupConfig *group, const TouName *endpoint)
{
  for (guint i = 0; i < group->n_endpoints; i++)
    if (tou_name_equal (&group->endpoints[i].name, endpoint))
      return (int)i;
  return -1;
}

guint
tou_group_majority (const TouGroupConfig *group)
{
  return group->n_endpoints / 2 + 1;
}

static void
config_fleet_defaults (const TouConfig *config, TouDefaults *out)
{
  *out = (TouDefaults){ .max_age_us = TOU_DEFAULT_MAX_AGE_US,
                        .max_lag_us = TOU_DEFAULT_MAX_LAG_US };
  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    out->deadline_us[rank] = TOU_DEFAULT_DEADLINE_US;
  out->floor_percent[TOU_RANK_REVIEW] = TOU_DEFAULT_REVIEW_FLOOR;
  out->floor_percent[TOU_RANK_STATUS] = TOU_DEFAULT_STATUS_FLOOR;
  tou_override_apply (&config->staleness, out);
  tou_override_apply (&config->ranks, out);
}

void
tou_config_defaults (const TouConfig *config, const TouName *group,
                     TouDefaults *out)
{
  config_fleet_defaults (config, out);
  for (guint i = 0; i < config->exceptions->len; i++)
    {
      const ConfigException *exception
          = g_ptr_array_index (config->exceptions, i);

      if (tou_name_equal (&exception->group, group))
        tou_override_apply (&exception->override, out);
    }
}

static void
config_remove_group (TouConfig *config, const TouName *name)
{
  TouGroupConfig *group = g_hash_table_lookup (config->by_name, name);

  if (group == NULL)
    return;
  g_hash_table_remove (config->by_name, name);
  g_ptr_array_remove (config->groups, group);
}

static void
config_insert_group (TouConfig *config, const TouGroupConfig *value)
{
  TouGroupConfig *group = g_memdup2 (value, sizeof *value);
  guint i = 0;

  while (
      i < config->groups->len
      && tou_name_compare (&tou_config_group_at (config, i)->name, &group->name)
             < 0)
    i++;
  g_ptr_array_insert (config->groups, (gint)i, group);
  g_hash_table_insert (config->by_name, &group->name, group);
}

static gboolean
config_remove_exception (TouConfig *config, const char *id)
{
  for (guint i = 0; i < config->exceptions->len; i++)
    {
      ConfigException *exception = g_ptr_array_index (config->exceptions, i);

      if (strcmp (exception->id, id) == 0)
        {
          g_ptr_array_remove_index (config->exceptions, i);
          return TRUE;
        }
    }
  return FALSE;
}

static void
config_insert_exception (TouConfig *config, const char *id,
                         const TouName *group, const TouOverride *override)
{
  ConfigException *exception = g_new0 (ConfigException, 1);
  guint i = 0;

  exception->id = g_strdup (id);
  exception->group = *group;
  exception->override = *override;
  while (
      i < config->exceptions->len
      && strcmp (
             ((ConfigException *)g_ptr_array_index (config->exceptions, i))->id,
             id)
             < 0)
    i++;
  g_ptr_array_insert (config->exceptions, (gint)i, exception);
}

/* The floors are shares of the same slots, so their sum is at most 100%. */
static int
config_check_floors (const TouDefaults *defaults)
{
  guint sum = 0;

  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    sum += defaults->floor_percent[rank];
  if (sum > 100)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "floors of all ranks add up to %u%%, over 100%%",
                           sum);
  return TOU_OK;
}

static int
config_parse_default (const char *name, TouOverride *out, const json_t *value)
{
  tou_override_init (out);
  if (strcmp (name, "staleness") == 0)
    return tou_config_parse_staleness (out, value);
  if (strcmp (name, "ranks") == 0)
    return tou_config_parse_ranks (out, value);
  return tou_status_set (TOU_E_CONFIG_INVALID,
                         "default \"%.64s\" is neither \"staleness\" nor "
                         "\"ranks\"",
                         name);
}

static int
config_group_name (TouName *out, const char *text)
{
  if (text[0] == '\0' || strlen (text) > TOU_NAME_MAX)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "group name must have 1 to %d bytes", TOU_NAME_MAX);
  return tou_name_set_c (out, text);
}

static gboolean
config_apply_group (TouConfig *config, const char *text, const json_t *value,
                    guint64 revision, int *status)
{
  TouGroupConfig group;
  TouName name;

  *status = config_group_name (&name, text);
  if (*status != TOU_OK)
    return FALSE;
  if (json_is_null (value))
    {
      gboolean existed = tou_config_group (config, &name) != NULL;

      config_remove_group (config, &name);
      return existed;
    }
  *status = tou_config_parse_group (&group, &name, 1, value);
  if (*status != TOU_OK)
    return FALSE;
  group.revision = revision;
  config_remove_group (config, &name);
  config_insert_group (config, &group);
  return TRUE;
}

static int
config_apply_default (TouConfig *config, const char *name, const json_t *value)
{
  TouOverride parsed;
  int status = TOU_OK;

  tou_override_init (&parsed);
  if (!json_is_null (value))
    status = config_parse_default (name, &parsed, value);
  if (status != TOU_OK)
    return status;
  if (strcmp (name, "staleness") == 0)
    config->staleness = parsed;
  else
    config->ranks = parsed;
  return TOU_OK;
}

static int
config_apply_exception (TouConfig *config, const char *id, const json_t *value)
{
  TouOverride override;
  TouName group;
  int status;

  if (json_is_null (value))
    {
      config_remove_exception (config, id);
      return TOU_OK;
    }
  tou_override_init (&override);
  status = tou_config_parse_exception (&group, &override, value);
  if (status != TOU_OK)
    return status;
  config_remove_exception (config, id);
  config_insert_exception (config, id, &group, &override);
  return TOU_OK;
}

/* Returns a new reference to the envelope's value; null for a deleted key. */
static json_t *
config_entry_value (const TouEntry *entry)
{
  json_error_t error;
  json_t *envelope;
  json_t *value;

  if (entry->value.data == NULL)
    return json_null ();
  envelope = json_loadb (entry->value.data, entry->value.len, 0, &error);
  value = json_incref (json_object_get (envelope, "value"));
  json_decref (envelope);
  return value;
}

gboolean
tou_config_apply (TouConfig *config, const TouEntry *entry)
{
  const char *key = entry->key.data;
  json_t *value = config_entry_value (entry);
  gboolean changed = FALSE;
  int status = TOU_OK;

  if (value == NULL)
    status
        = tou_status_set (TOU_E_CONFIG_INVALID, "value is not a JSON envelope");
  else if (g_str_has_prefix (key, TOU_CONFIG_GROUP_PREFIX))
    changed
        = config_apply_group (config, key + strlen (TOU_CONFIG_GROUP_PREFIX),
                              value, entry->revision, &status);
  else if (g_str_has_prefix (key, TOU_CONFIG_DEFAULT_PREFIX))
    status = config_apply_default (
        config, key + strlen (TOU_CONFIG_DEFAULT_PREFIX), value);
  else if (g_str_has_prefix (key, TOU_CONFIG_EXCEPTION_PREFIX))
    status = config_apply_exception (
        config, key + strlen (TOU_CONFIG_EXCEPTION_PREFIX), value);
  else
    status = tou_status_set (TOU_E_CONFIG_INVALID, "unknown kind of setting");
  if (status == TOU_OK)
    config->version++;
  else
    tou_context_log (config->ctx, G_LOG_LEVEL_WARNING, status,
                     "ignored %.128s at revision %" G_GUINT64_FORMAT ": %s",
                     key, entry->revision, tou_status_message ());
  json_decref (value);
  return changed;
}

static int
config_validate_exception (const TouConfig *config, const json_t *value,
                           TouDefaults *defaults)
{
  TouOverride override;
  TouName group;
  int status;

  tou_override_init (&override);
  status = tou_config_parse_exception (&group, &override, value);
  if (status != TOU_OK)
    return status;
  if (tou_config_group (config, &group) == NULL)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "exception names the unknown group %s", group.data);
  tou_config_defaults (config, &group, defaults);
  tou_override_apply (&override, defaults);
  return TOU_OK;
}

static int
config_validate_value (const TouConfig *config, const char *key,
                       const json_t *value)
{
  TouGroupConfig group;
  TouDefaults defaults;
  TouOverride override;
  TouName name;
  int status;

  config_fleet_defaults (config, &defaults);
  if (g_str_has_prefix (key, TOU_CONFIG_GROUP_PREFIX))
    {
      status
          = config_group_name (&name, key + strlen (TOU_CONFIG_GROUP_PREFIX));
      if (status == TOU_OK)
        status = tou_config_parse_group (
            &group, &name, config->ctx->settings.gate_candidates, value);
      return status;
    }
  if (g_str_has_prefix (key, TOU_CONFIG_DEFAULT_PREFIX))
    {
      status = config_parse_default (key + strlen (TOU_CONFIG_DEFAULT_PREFIX),
                                     &override, value);
      if (status == TOU_OK)
        tou_override_apply (&override, &defaults);
    }
  else
    status = config_validate_exception (config, value, &defaults);
  if (status == TOU_OK)
    status = config_check_floors (&defaults);
  return status;
}

static gboolean
config_is_blank (const TouStr *text)
{
  for (gsize i = 0; i < text->len; i++)
    if (!g_ascii_isspace (text->data[i]))
      return FALSE;
  return TRUE;
}

/* Returns the name after the prefix, or NULL if the prefix is unknown. */
static const char *
config_key_name (const char *key)
{
  static const char *const prefixes[]
      = { TOU_CONFIG_GROUP_PREFIX, TOU_CONFIG_DEFAULT_PREFIX,
          TOU_CONFIG_EXCEPTION_PREFIX };

  for (gsize i = 0; i < G_N_ELEMENTS (prefixes); i++)
    if (g_str_has_prefix (key, prefixes[i]))
      return key + strlen (prefixes[i]);
  return NULL;
}

/* Restricts the characters of names, which become part of store keys, URLs and
 * log lines. */
static int
config_check_key (const TouStr *key)
{
  const char *name = key->data != NULL ? config_key_name (key->data) : NULL;
  gsize len = name != NULL ? strlen (name) : 0;

  if (len == 0 || len > TOU_NAME_MAX || strlen (key->data) != key->len)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "key must name a group, default or exception with 1 "
                           "to %d bytes",
                           TOU_NAME_MAX);
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("-_.", name[i]) == NULL)
      return tou_status_set (TOU_E_CONFIG_INVALID,
                             "name must consist of letters, digits, '-', '_' "
                             "and '.'");
  return TOU_OK;
}

int
tou_config_validate (const TouConfig *config, const TouConfigChange *change)
{
  json_error_t error;
  json_t *value;
  int status = config_check_key (&change->key);

  if (status != TOU_OK)
    return status;
  if (config_is_blank (&change->author))
    return tou_status_set (TOU_E_CONFIG_INVALID, "change has no author");
  if (change->author.len + change->reason.len + change->value.len
      > TOU_CONFIG_MAX_VALUE)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "value, author and reason exceed %d bytes",
                           TOU_CONFIG_MAX_VALUE);
  if (change->value.data == NULL)
    return TOU_OK;
  if (g_str_has_prefix (change->key.data, TOU_CONFIG_EXCEPTION_PREFIX)
      && config_is_blank (&change->reason))
    return tou_status_set (TOU_E_REASON_MISSING,
                           "an exception needs a written reason");
  value = json_loadb (change->value.data, change->value.len,
                      JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &error);
  if (value == NULL)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "value is not JSON: line %d: %s", error.line,
                           error.text);
  status = config_validate_value (config, change->key.data, value);
  json_decref (value);
  return status;
}
