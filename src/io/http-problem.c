#include "http-server.h"

#include "toucanscale/types.h"

#include <stdlib.h>
#include <string.h>

/* Maximum nesting of a JSON body. jansson parses recursively and accepts
   2,048 levels, which exceeds the 128 KiB stack of a connection's thread. */
#define HTTP_JSON_MAX_DEPTH 16

#define PROBLEM_TYPE_FORMAT "/errors/%d"

/* Checks the nesting without recursion, ignoring brackets in strings. */
static gboolean
json_depth_is_allowed (const char *data, gsize len)
{
  guint depth = 0;
  gboolean in_string = FALSE;

  for (gsize i = 0; i < len; i++)
    {
      char c = data[i];

      if (in_string && c == '\\')
        i++;
      else if (c == '"')
        in_string = !in_string;
      else if (!in_string && (c == '{' || c == '['))
        depth++;
      else if (!in_string && (c == '}' || c == ']') && depth > 0)
        depth--;
      if (depth > HTTP_JSON_MAX_DEPTH)
        return FALSE;
    }
  return TRUE;
}

int
tou_http_body_parse (json_t **out, const struct _u_request *request)
{
  json_error_t error;
  json_t *body;

  if (request->binary_body_length == 0)
    {
      *out = json_object ();
      return TOU_OK;
    }
  if (!json_depth_is_allowed (request->binary_body,
                              request->binary_body_length))
    return tou_status_set (TOU_E_INVALID_JSON,
                           "body is nested deeper than %d levels",
                           HTTP_JSON_MAX_DEPTH);
  body = json_loadb (request->binary_body, request->binary_body_length,
                     JSON_REJECT_DUPLICATES, &error);
  /* PostgreSQL ends text at a NUL byte; the bytes after it would be lost. */
  if (body == NULL && json_error_code (&error) == json_error_null_character)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "line %d: strings must not contain NUL bytes",
                           error.line);
  if (body == NULL)
    return tou_status_set (TOU_E_INVALID_JSON, "line %d: %s", error.line,
                           error.text);
  if (!json_is_object (body))
    {
      json_decref (body);
      return tou_status_set (TOU_E_INVALID_JSON, "body is not an object");
    }
  *out = body;
  return TOU_OK;
}

static void
add_detail (json_t *body, const char *detail)
{
  char *valid;

  if (detail == NULL || detail[0] == '\0')
    return;
  valid = g_utf8_make_valid (detail, -1);
  json_object_set_new (body, "detail", json_string (valid));
  g_free (valid);
}

static void
add_retry_after (struct _u_response *response, guint64 retry_after_us)
{
  char text[24];

  if (retry_after_us == 0)
    return;
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT,
              (retry_after_us + TOU_US_PER_S - 1) / TOU_US_PER_S);
  u_map_put (response->map_header, "Retry-After", text);
}

void
tou_http_problem_full (struct _u_response *response, int code,
                       const char *detail, const char *outcome,
                       guint64 retry_after_us, json_t *extra)
{
  char type[32];
  guint http = tou_status_http (code);
  json_t *body;
  char *text;

  g_snprintf (type, sizeof type, PROBLEM_TYPE_FORMAT, code);
  body = json_pack ("{s:s, s:s, s:i, s:i, s:s}", "type", type, "title",
                    tou_status_text (code), "status", (int)http, "code", code,
                    "outcome", outcome);
  add_detail (body, detail);
  if (extra != NULL)
    json_object_update_missing (body, extra);
  json_decref (extra);
  text = json_dumps (body, JSON_COMPACT);
  ulfius_set_string_body_response (response, http, text);
  u_map_put (response->map_header, "Content-Type", "application/problem+json");
  add_retry_after (response, retry_after_us);
  if (code == TOU_E_UNAUTHORIZED)
    u_map_put (response->map_header, "WWW-Authenticate", "Bearer");
  /* Makes the client reconnect through the load balancer. */
  if (code == TOU_E_DRAINING || code == TOU_E_TOO_MANY_CONNECTIONS)
    u_map_put (response->map_header, "Connection", "close");
  free (text);
  json_decref (body);
}

void
tou_http_problem (struct _u_response *response, int code, const char *detail)
{
  tou_http_problem_full (response, code, detail, "not_run", 0, NULL);
}
