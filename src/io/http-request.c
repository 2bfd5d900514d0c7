#include "http-request.h"

#include "http-server.h"

#include <stdlib.h>
#include <string.h>

/* Maximum length of an idempotency key in bytes; keys are stored in a database
   column. */
#define IDEMPOTENCY_KEY_MAX 255

static const char *
request_header (const struct _u_request *request, const char *name)
{
  return u_map_get_case (request->map_header, name);
}

static int
parse_rank (TouRequest *out, const char *value)
{
  /* Requests without a rank get the least urgent one, so that they cannot
     displace requests with a rank. */
  if (value == NULL || strcmp (value, "status") == 0)
    out->rank = TOU_RANK_STATUS;
  else if (strcmp (value, "urgent") == 0)
    out->rank = TOU_RANK_URGENT;
  else if (strcmp (value, "review") == 0)
    out->rank = TOU_RANK_REVIEW;
  else
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "X-Toucanscale-Rank: \"%s\" is not urgent, review "
                           "or status",
                           value);
  return TOU_OK;
}

static int
parse_max_age (TouRequest *out, const char *value)
{
  static const char prefix[] = "max-age=";
  guint64 ms;

  if (!g_str_has_prefix (value, prefix)
      || !g_ascii_string_to_unsigned (value + strlen (prefix), 10, 1,
                                      G_MAXUINT32, &ms, NULL))
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "X-Toucanscale-Read: \"%s\" is not session, fresh, "
                           "max-age or max-age=<ms> with 1 to %u ms",
                           value, G_MAXUINT32);
  out->mode = TOU_READ_MAX_AGE;
  out->max_age_us = ms * TOU_US_PER_MS;
  return TOU_OK;
}

/* The header applies to single reads. Transactions run on the primary, which
   is at least as current as any read mode. */
static int
parse_read_mode (TouRequest *out, const char *value, gboolean read)
{
  out->mode = TOU_READ_NONE;
  if (!read)
    return TOU_OK;
  if (value == NULL || strcmp (value, "session") == 0)
    out->mode = TOU_READ_SESSION;
  else if (strcmp (value, "fresh") == 0)
    out->mode = TOU_READ_FRESH;
  else if (strcmp (value, "max-age") == 0)
    out->mode = TOU_READ_MAX_AGE; /* max_age_us 0: the group's default */
  else
    return parse_max_age (out, value);
  return TOU_OK;
}

static int
parse_deadline (TouRequest *out, const char *value, guint64 max_us,
                guint64 now_us)
{
  guint64 max_ms = max_us / TOU_US_PER_MS;
  guint64 ms;

  if (value == NULL)
    return TOU_OK;
  if (!g_ascii_string_to_unsigned (value, 10, 1, max_ms, &ms, NULL))
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "X-Toucanscale-Deadline: \"%s\" is not 1 to "
                           "%" G_GUINT64_FORMAT " ms",
                           value, max_ms);
  out->deadline_us = now_us + ms * TOU_US_PER_MS;
  return TOU_OK;
}

static int
parse_idempotency_key (TouRequest *out, const char *value)
{
  gsize len;

  if (value == NULL)
    return TOU_OK;
  if (out->kind != TOU_REQUEST_STATEMENT)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "Idempotency-Key applies to single statements, not "
                           "to requests of a transaction");
  len = strlen (value);
  if (len < 1 || len > IDEMPOTENCY_KEY_MAX)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "Idempotency-Key has %" G_GSIZE_FORMAT
                           " bytes, permitted are 1 to %d",
                           len, IDEMPOTENCY_KEY_MAX);
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isprint (value[i]))
      return tou_status_set (TOU_E_INVALID_ARGUMENT,
                             "Idempotency-Key is not printable ASCII");
  tou_str_init (&out->idempotency_key, value, len);
  return TOU_OK;
}

static int
parse_session (TouRequest *out, const struct _u_request *request,
               const TouTokenKeys *keys)
{
  const char *header = request_header (request, TOU_HTTP_SESSION_HEADER);
  int status = TOU_OK;

  if (header != NULL)
    status = tou_token_merge_list (&out->session, header, keys);
  for (int i = 0; status == TOU_OK && i < request->map_cookie->nb_values; i++)
    if (g_str_has_prefix (request->map_cookie->keys[i], TOU_HTTP_COOKIE_PREFIX))
      status = tou_token_merge (&out->session, request->map_cookie->values[i],
                                strlen (request->map_cookie->values[i]), keys);
  return status;
}

/* Converts a scalar JSON value to text; null leaves @a out unset. */
static int
parse_param (TouStr *out, const json_t *value)
{
  char *text;

  if (json_is_null (value))
    return TOU_OK;
  if (json_is_string (value))
    {
      tou_str_init (out, json_string_value (value), json_string_length (value));
      return TOU_OK;
    }
  if (json_is_object (value) || json_is_array (value))
    return tou_status_set (TOU_E_INVALID_JSON,
                           "params: values are strings, numbers, true, false "
                           "or null");
  text = json_dumps (value, JSON_ENCODE_ANY);
  tou_str_init_c (out, text);
  free (text);
  return TOU_OK;
}

static int
parse_params (TouStatement *out, const json_t *params)
{
  gsize n = json_array_size (params);

  if (params == NULL)
    return TOU_OK;
  if (!json_is_array (params))
    return tou_status_set (TOU_E_INVALID_JSON, "params is not an array");
  if (n > TOU_STATEMENT_MAX_PARAMS)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "%" G_GSIZE_FORMAT " params, permitted are %d", n,
                           TOU_STATEMENT_MAX_PARAMS);
  out->params = g_new0 (TouStr, MAX (n, 1));
  out->n_params = (guint)n;
  for (guint i = 0; i < out->n_params; i++)
    {
      int status = parse_param (&out->params[i], json_array_get (params, i));

      if (status != TOU_OK)
        return status;
    }
  return TOU_OK;
}

static int
check_statement_length (const TouStatement *statement, gsize limit)
{
  gsize len = statement->sql.len;

  for (guint i = 0; i < statement->n_params; i++)
    len += statement->params[i].len;
  if (len > limit)
    return tou_status_set (TOU_E_STATEMENT_TOO_LONG,
                           "statement and params have %" G_GSIZE_FORMAT
                           " bytes, the limit is %" G_GSIZE_FORMAT,
                           len, limit);
  return TOU_OK;
}

/* Rejects members that are not in the NULL-terminated list @a known. */
static int
check_members (json_t *body, const char *const *known)
{
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
parse_statement (TouRequest *out, json_t *body, gsize limit, gboolean *read)
{
  static const char *const known[] = { "sql", "params", "read", NULL };
  const json_t *sql = json_object_get (body, "sql");
  const json_t *is_read = json_object_get (body, "read");
  int status = check_members (body, known);

  if (status != TOU_OK)
    return status;
  if (!json_is_string (sql) || json_string_length (sql) == 0)
    return tou_status_set (TOU_E_INVALID_JSON, "sql is not a non-empty string");
  if (is_read != NULL && !json_is_boolean (is_read))
    return tou_status_set (TOU_E_INVALID_JSON, "read is not a boolean");
  *read = json_is_true (is_read);
  tou_str_init (&out->statement.sql, json_string_value (sql),
                json_string_length (sql));
  status = parse_params (&out->statement, json_object_get (body, "params"));
  if (status != TOU_OK)
    return status;
  return check_statement_length (&out->statement, limit);
}

static int
parse_body (TouRequest *out, const struct _u_request *request, gsize limit,
            gboolean *read)
{
  static const char *const none[] = { NULL };
  json_t *body;
  int status = tou_http_body_parse (&body, request);

  if (status != TOU_OK)
    return status;
  if (out->kind == TOU_REQUEST_STATEMENT
      || out->kind == TOU_REQUEST_TXN_STATEMENT)
    status = parse_statement (out, body, limit, read);
  else
    status = check_members (body, none);
  json_decref (body);
  return status;
}

static int
parse_target (TouRequest *out, const struct _u_request *request)
{
  const char *group = u_map_get (request->map_url, "group");
  const char *id = u_map_get (request->map_url, "id");

  if (out->kind == TOU_REQUEST_STATEMENT || out->kind == TOU_REQUEST_BEGIN)
    {
      if (group == NULL || group[0] == '\0')
        return tou_status_set (TOU_E_UNKNOWN_GROUP, "the group is missing");
      if (tou_name_set_c (&out->group, group) != TOU_OK)
        return tou_status_set (TOU_E_UNKNOWN_GROUP,
                               "the group's name is too long");
      return TOU_OK;
    }
  if (id == NULL || tou_request_id_parse (&out->txn, id, strlen (id)) != TOU_OK)
    return tou_status_set (TOU_E_UNKNOWN_TXN, "malformed transaction id");
  return TOU_OK;
}

static int
parse_headers (TouRequest *out, const struct _u_request *request,
               const TouHttpRequestLimits *limits, guint64 now_us)
{
  int status = parse_rank (out, request_header (request, "X-Toucanscale-Rank"));

  if (status == TOU_OK)
    status = parse_deadline (out,
                             request_header (request, "X-Toucanscale-Deadline"),
                             limits->max_deadline_us, now_us);
  if (status == TOU_OK)
    status = parse_idempotency_key (
        out, request_header (request, "Idempotency-Key"));
  if (status == TOU_OK)
    status = parse_session (out, request, limits->token_keys);
  return status;
}

int
tou_http_request_parse (TouRequest *out, TouRequestKind kind,
                        const struct _u_request *request,
                        const TouHttpRequestLimits *limits, guint64 now_us)
{
  gboolean read = FALSE;
  int status;

  *out = (TouRequest){ .kind = kind };
  status = parse_target (out, request);
  if (status == TOU_OK)
    status = parse_headers (out, request, limits, now_us);
  if (status == TOU_OK)
    status = parse_body (out, request, limits->statement_limit, &read);
  if (status == TOU_OK)
    status
        = parse_read_mode (out, request_header (request, "X-Toucanscale-Read"),
                           read && kind == TOU_REQUEST_STATEMENT);
  return status;
}
