#include "config-parse.h"

#include <arpa/inet.h>
#include <string.h>

#define TOU_CONFIG_MAX_SLOTS 1024
#define TOU_CONFIG_MAX_CONNECTIONS 10000
/* Limit of ages and deadlines, 24 h: a larger value is most likely given in
 * the wrong unit. */
#define TOU_CONFIG_MAX_MS G_GINT64_CONSTANT (86400000)
#define TOU_CONFIG_MAX_PORT 65535

static const char *const rank_names[TOU_RANK_COUNT]
    = { "urgent", "review", "status" };

/** One permitted field of an object. */
typedef struct
{
  const char *name;
  gboolean required;
} ConfigField;

static int
config_check_fields (const char *what, const json_t *object,
                     const ConfigField *fields, gsize n_fields)
{
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    return tou_status_set (TOU_E_CONFIG_INVALID, "%s must be a JSON object",
                           what);
  for (gsize i = 0; i < n_fields; i++)
    if (fields[i].required && json_object_get (object, fields[i].name) == NULL)
      return tou_status_set (TOU_E_CONFIG_INVALID, "%s lacks the field \"%s\"",
                             what, fields[i].name);
  json_object_foreach ((json_t *)object, key, value)
  {
    gsize i = 0;

    while (i < n_fields && strcmp (fields[i].name, key) != 0)
      i++;
    if (i == n_fields)
      return tou_status_set (TOU_E_CONFIG_INVALID,
                             "%s has the unknown field \"%.64s\"", what, key);
  }
  return TOU_OK;
}

/* Does not change @a out if the field is absent. */
static int
config_get_int (gint64 *out, const char *what, const json_t *object,
                const char *field, gint64 min, gint64 max)
{
  const json_t *value = json_object_get (object, field);

  if (value == NULL)
    return TOU_OK;
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return tou_status_set (
        TOU_E_CONFIG_INVALID,
        "%s: \"%s\" must be an integer from %" G_GINT64_FORMAT
        " to %" G_GINT64_FORMAT,
        what, field, min, max);
  *out = json_integer_value (value);
  return TOU_OK;
}

static int
config_get_name (TouName *out, const char *what, const json_t *object,
                 const char *field)
{
  const json_t *value = json_object_get (object, field);
  gsize len = json_is_string (value) ? json_string_length (value) : 0;

  if (len == 0 || len > TOU_NAME_MAX
      || strlen (json_string_value (value)) != len)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "%s: \"%s\" must be a string of 1 to %d bytes", what,
                           field, TOU_NAME_MAX);
  return tou_name_set (out, json_string_value (value), len);
}

/* Accepts "1.2.3.4:5" and "[::1]:5". */
static gboolean
config_is_address (const TouName *address)
{
  unsigned char buffer[sizeof (struct in6_addr)];
  const char *colon = strrchr (address->data, ':');
  char host[TOU_NAME_MAX + 1] = { 0 };
  guint64 port = 0;
  gsize len;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, TOU_CONFIG_MAX_PORT,
                                      &port, NULL))
    return FALSE;
  len = (gsize)(colon - address->data);
  memcpy (host, address->data, len);
  if (host[0] != '[')
    return inet_pton (AF_INET, host, buffer) == 1;
  if (host[len - 1] != ']')
    return FALSE;
  host[len - 1] = '\0';
  return inet_pton (AF_INET6, host + 1, buffer) == 1;
}

static int
config_parse_endpoint (TouEndpoint *out, const json_t *value)
{
  static const ConfigField fields[] = { { "name", TRUE },
                                        { "address", TRUE },
                                        { "region", TRUE },
                                        { "failure_domain", TRUE } };
  int status
      = config_check_fields ("endpoint", value, fields, G_N_ELEMENTS (fields));

  if (status == TOU_OK)
    status = config_get_name (&out->name, "endpoint", value, "name");
  if (status == TOU_OK)
    status = config_get_name (&out->address, "endpoint", value, "address");
  if (status == TOU_OK)
    status = config_get_name (&out->region, "endpoint", value, "region");
  if (status == TOU_OK)
    status = config_get_name (&out->failure_domain, "endpoint", value,
                              "failure_domain");
  if (status == TOU_OK && !config_is_address (&out->address))
    status = tou_status_set (TOU_E_CONFIG_INVALID,
                             "endpoint %s: address must be \"ip:port\"",
                             out->name.data);
  return status;
}

static int
config_parse_endpoints (TouGroupConfig *out, const json_t *list)
{
  gsize count = json_array_size (list);

  if (!json_is_array (list) || count == 0 || count > TOU_GROUP_MAX_ENDPOINTS)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "group: \"endpoints\" must list 1 to %d endpoints",
                           TOU_GROUP_MAX_ENDPOINTS);
  for (gsize i = 0; i < count; i++)
    {
      TouEndpoint *endpoint = &out->endpoints[i];
      int status = config_parse_endpoint (endpoint, json_array_get (list, i));

      if (status != TOU_OK)
        return status;
      for (gsize j = 0; j < i; j++)
        if (tou_name_equal (&out->endpoints[j].name, &endpoint->name)
            || tou_name_equal (&out->endpoints[j].address, &endpoint->address))
          return tou_status_set (TOU_E_CONFIG_INVALID,
                                 "group: endpoint %s is listed twice",
                                 endpoint->name.data);
      out->n_endpoints++;
    }
  return TOU_OK;
}

int
tou_config_parse_group (TouGroupConfig *out, const TouName *name,
                        guint min_connections, const json_t *value)
{
  static const ConfigField fields[] = { { "home_region", TRUE },
                                        { "slots", TRUE },
                                        { "connection_limit", TRUE },
                                        { "endpoints", TRUE } };
  gint64 slots = 0;
  gint64 limit = 0;
  int status;

  *out = (TouGroupConfig){ .name = *name };
  status = config_check_fields ("group", value, fields, G_N_ELEMENTS (fields));
  if (status == TOU_OK)
    status = config_get_name (&out->home_region, "group", value, "home_region");
  if (status == TOU_OK)
    status = config_get_int (&slots, "group", value, "slots", 1,
                             TOU_CONFIG_MAX_SLOTS);
  if (status == TOU_OK)
    status = config_get_int (&limit, "group", value, "connection_limit",
                             min_connections, TOU_CONFIG_MAX_CONNECTIONS);
  if (status == TOU_OK)
    status = config_parse_endpoints (out, json_object_get (value, "endpoints"));
  out->slots = (guint)slots;
  out->connection_limit = (guint)limit;
  return status;
}

int
tou_config_parse_staleness (TouOverride *out, const json_t *value)
{
  static const ConfigField fields[]
      = { { "max_age_ms", FALSE }, { "max_lag_ms", FALSE } };
  int status
      = config_check_fields ("staleness", value, fields, G_N_ELEMENTS (fields));

  if (status == TOU_OK)
    status = config_get_int (&out->max_age_ms, "staleness", value, "max_age_ms",
                             0, TOU_CONFIG_MAX_MS);
  if (status == TOU_OK)
    status = config_get_int (&out->max_lag_ms, "staleness", value, "max_lag_ms",
                             1, TOU_CONFIG_MAX_MS);
  return status;
}

static int
config_parse_rank (TouOverride *out, TouRank rank, const json_t *value)
{
  static const ConfigField fields[]
      = { { "deadline_ms", FALSE }, { "floor_percent", FALSE } };
  const char *name = rank_names[rank];
  int status = config_check_fields (name, value, fields, G_N_ELEMENTS (fields));

  if (status == TOU_OK)
    status = config_get_int (&out->deadline_ms[rank], name, value,
                             "deadline_ms", 1, TOU_CONFIG_MAX_MS);
  if (status == TOU_OK)
    status = config_get_int (&out->floor_percent[rank], name, value,
                             "floor_percent", 0, 100);
  return status;
}

int
tou_config_parse_ranks (TouOverride *out, const json_t *value)
{
  static const ConfigField fields[]
      = { { "urgent", FALSE }, { "review", FALSE }, { "status", FALSE } };
  int status
      = config_check_fields ("ranks", value, fields, G_N_ELEMENTS (fields));

  for (guint rank = 0; rank < TOU_RANK_COUNT && status == TOU_OK; rank++)
    {
      const json_t *rank_value = json_object_get (value, rank_names[rank]);

      if (rank_value != NULL)
        status = config_parse_rank (out, (TouRank)rank, rank_value);
    }
  return status;
}

int
tou_config_parse_exception (TouName *group, TouOverride *out,
                            const json_t *value)
{
  static const ConfigField fields[]
      = { { "group", TRUE }, { "staleness", FALSE }, { "ranks", FALSE } };
  const json_t *staleness = json_object_get (value, "staleness");
  const json_t *ranks = json_object_get (value, "ranks");
  int status
      = config_check_fields ("exception", value, fields, G_N_ELEMENTS (fields));

  if (status == TOU_OK)
    status = config_get_name (group, "exception", value, "group");
  if (status == TOU_OK && staleness == NULL && ranks == NULL)
    status = tou_status_set (TOU_E_CONFIG_INVALID,
                             "exception must set \"staleness\" or \"ranks\"");
  if (status == TOU_OK && staleness != NULL)
    status = tou_config_parse_staleness (out, staleness);
  if (status == TOU_OK && ranks != NULL)
    status = tou_config_parse_ranks (out, ranks);
  return status;
}

void
tou_override_init (TouOverride *override)
{
  override->max_age_ms = -1;
  override->max_lag_ms = -1;
  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    {
      override->deadline_ms[rank] = -1;
      override->floor_percent[rank] = -1;
    }
}

void
tou_override_apply (const TouOverride *override, TouDefaults *defaults)
{
  if (override->max_age_ms >= 0)
    defaults->max_age_us = (guint64) override->max_age_ms * TOU_US_PER_MS;
  if (override->max_lag_ms >= 0)
    defaults->max_lag_us = (guint64) override->max_lag_ms * TOU_US_PER_MS;
  for (guint rank = 0; rank < TOU_RANK_COUNT; rank++)
    {
      if (override->deadline_ms[rank] >= 0)
        defaults->deadline_us[rank]
            = (guint64) override->deadline_ms[rank] * TOU_US_PER_MS;
      if (override->floor_percent[rank] >= 0)
        defaults->floor_percent[rank] = (guint) override->floor_percent[rank];
    }
}
