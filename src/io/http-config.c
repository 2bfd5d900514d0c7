#include "http-config.h"

#include "http-server.h"

#include <stdlib.h>
#include <string.h>

/* Maximum lengths of author and reason in bytes. */
#define CONFIG_AUTHOR_MAX 255
#define CONFIG_REASON_MAX 1024

char *
tou_http_config_key (const struct _u_request *request)
{
  static const char *const kinds[] = { "group", "default", "exception", NULL };
  const char *kind = u_map_get (request->map_url, "kind");
  const char *name = u_map_get (request->map_url, "name");

  if (kind == NULL || !g_strv_contains (kinds, kind))
    {
      tou_status_set (TOU_E_NOT_FOUND,
                      "kind is not group, default or exception");
      return NULL;
    }
  if (name == NULL || name[0] == '\0' || strlen (name) > TOU_NAME_MAX
      || strchr (name, '/') != NULL || !g_str_is_ascii (name))
    {
      tou_status_set (TOU_E_NOT_FOUND,
                      "name is not 1 to %d ASCII characters without '/'",
                      TOU_NAME_MAX);
      return NULL;
    }
  return g_strdup_printf ("config/%s/%s", kind, name);
}

static int
parse_text (TouStr *out, const json_t *body, const char *member, gsize max,
            gboolean required)
{
  const json_t *value = json_object_get (body, member);

  if (value == NULL && !required)
    return TOU_OK;
  if (!json_is_string (value) || json_string_length (value) < 1
      || json_string_length (value) > max)
    return tou_status_set (
        TOU_E_INVALID_JSON,
        "%s is not a string of 1 to %" G_GSIZE_FORMAT " bytes", member, max);
  tou_str_init (out, json_string_value (value), json_string_length (value));
  return TOU_OK;
}

static int
parse_revision (TouConfigChange *out, const json_t *body, gboolean is_delete)
{
  const json_t *value = json_object_get (body, "expected_revision");

  if (value == NULL && !is_delete)
    return TOU_OK; /* 0: the entry must not exist */
  if (!json_is_integer (value)
      || json_integer_value (value) < (is_delete ? 1 : 0))
    return tou_status_set (TOU_E_INVALID_JSON,
                           "expected_revision is not an integer of at least "
                           "%d",
                           is_delete ? 1 : 0);
  out->expected_revision = (guint64)json_integer_value (value);
  return TOU_OK;
}

static int
parse_value (TouConfigChange *out, const json_t *body, gboolean is_delete)
{
  const json_t *value = json_object_get (body, "value");
  char *text;

  if (is_delete)
    return value == NULL
               ? TOU_OK
               : tou_status_set (TOU_E_INVALID_JSON, "a deletion has no value");
  if (value == NULL)
    return tou_status_set (TOU_E_INVALID_JSON, "value is missing");
  text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  tou_str_init_c (&out->value, text);
  free (text);
  return TOU_OK;
}

static int
check_members (json_t *body)
{
  static const char *const known[]
      = { "value", "expected_revision", "author", "reason", NULL };
  const char *key;
  json_t *value;

  json_object_foreach (body, key, value)
  {
    if (!g_strv_contains (known, key))
      return tou_status_set (TOU_E_INVALID_JSON, "unknown member \"%s\"", key);
  }
  return TOU_OK;
}

static int
parse_change (TouConfigChange *out, json_t *body, gboolean is_delete)
{
  int status = check_members (body);

  if (status == TOU_OK)
    status = parse_value (out, body, is_delete);
  if (status == TOU_OK)
    status = parse_revision (out, body, is_delete);
  if (status == TOU_OK)
    status = parse_text (&out->author, body, "author", CONFIG_AUTHOR_MAX, TRUE);
  if (status == TOU_OK)
    status
        = parse_text (&out->reason, body, "reason", CONFIG_REASON_MAX, FALSE);
  return status;
}

int
tou_http_config_parse (TouConfigChange *out, const struct _u_request *request,
                       gboolean is_delete)
{
  char *key = tou_http_config_key (request);
  json_t *body;
  int status;

  *out = (TouConfigChange){ 0 };
  if (key == NULL)
    return TOU_E_NOT_FOUND;
  tou_str_init_c (&out->key, key);
  g_free (key);
  status = tou_http_body_parse (&body, request);
  if (status != TOU_OK)
    return status;
  status = parse_change (out, body, is_delete);
  json_decref (body);
  return status;
}

static void
render_json (struct _u_response *response, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  ulfius_set_string_body_response (response, 200, text);
  u_map_put (response->map_header, "Content-Type", "application/json");
  free (text);
}

void
tou_http_config_render (struct _u_response *response, const TouAction *reply)
{
  int code = reply->u.config_reply.code;
  const TouStr *current = &reply->u.config_reply.current;
  json_t *body;

  if (code != TOU_OK)
    {
      json_t *entry = current->data != NULL ? json_loadb (
                          current->data, current->len, JSON_DECODE_ANY, NULL)
                                            : NULL;

      tou_http_problem_full (
          response, code, reply->u.config_reply.message.data,
          code == TOU_E_STORE_UNKNOWN ? "unknown" : "not_run", 0,
          entry != NULL ? json_pack ("{s:o}", "current", entry) : NULL);
      return;
    }
  body = json_pack ("{s:s, s:I}", "outcome", "done", "revision",
                    (json_int_t)reply->u.config_reply.revision);
  render_json (response, body);
  json_decref (body);
}

static json_t *
find_entry (json_t *entries, const char *key)
{
  size_t i;
  json_t *entry;

  json_array_foreach (entries, i, entry)
  {
    const char *name = json_string_value (json_object_get (entry, "key"));

    if (name != NULL && strcmp (name, key) == 0)
      return entry;
  }
  return NULL;
}

void
tou_http_config_render_list (struct _u_response *response, const TouStr *dump,
                             const char *key)
{
  json_t *root = json_loadb (dump->data, dump->len, 0, NULL);
  json_t *entries = json_object_get (root, "config");
  json_t *entry = key != NULL ? find_entry (entries, key) : NULL;

  if (!json_is_array (entries))
    {
      tou_http_problem (response, TOU_E_NOT_READY,
                        "the configuration is not known yet");
    }
  else if (key == NULL)
    {
      json_t *body = json_pack ("{s:O}", "entries", entries);

      render_json (response, body);
      json_decref (body);
    }
  else if (entry == NULL)
    {
      tou_http_problem (response, TOU_E_NOT_FOUND, "there is no such entry");
    }
  else
    {
      render_json (response, entry);
    }
  json_decref (root);
}
