#include "http-reply.h"

#include "http-request.h"
#include "http-server.h"

#include <sodium.h>

#include <stdlib.h>
#include <string.h>

/* Random bytes of a cookie's name; 64 bits make the names unique across all
   proxies without coordination. */
#define COOKIE_ID_BYTES 8

#define COOKIE_EXPIRED "Thu, 01 Jan 1970 00:00:00 GMT"

static const char *
role_name (TouRole role)
{
  switch (role)
    {
    case TOU_ROLE_PRIMARY:
      return "primary";
    case TOU_ROLE_REPLICA:
      return "replica";
    case TOU_ROLE_UNKNOWN:
      break;
    }
  return "unknown";
}

static const char *
outcome_name (TouOutcome outcome)
{
  switch (outcome)
    {
    case TOU_OUTCOME_DONE:
      return "done";
    case TOU_OUTCOME_NOT_RUN:
      return "not_run";
    case TOU_OUTCOME_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Returns the members that follow the result in the body. */
static json_t *
reply_members (TouRequestKind kind, const TouReply *reply)
{
  json_t *members = json_pack (
      "{s:{s:s, s:s, s:s}}", "served_by", "endpoint", reply->endpoint.data,
      "role", role_name (reply->role), "node", reply->gate.data);

  if (members == NULL)
    members = json_object (); /* a name is not valid UTF-8 */
  if (reply->replayed)
    json_object_set_new (members, "replayed", json_true ());
  if (kind == TOU_REQUEST_BEGIN && tou_request_id_is_set (&reply->txn))
    {
      TouStr id;

      tou_request_id_format (&id, &reply->txn);
      json_object_set_new (members, "transaction", json_string (id.data));
      tou_str_clear (&id);
    }
  return members;
}

/* The result is JSON text from the gate. It is copied, not parsed, because
   results are the largest part of a reply. */
static void
render_done (struct _u_response *response, TouRequestKind kind,
             const TouReply *reply)
{
  GString *text = g_string_new ("{\"outcome\":\"done\"");
  const TouStr *result = &reply->result;
  json_t *members = reply_members (kind, reply);
  char *dump = json_dumps (members, JSON_COMPACT);

  /* Copies the content between the braces, if there is any. */
  if (result->len > 2 && result->data[0] == '{')
    {
      g_string_append_c (text, ',');
      g_string_append_len (text, result->data + 1, (gssize)result->len - 2);
    }
  if (json_object_size (members) > 0)
    {
      g_string_append_c (text, ',');
      g_string_append (text, dump + 1);
    }
  else
    {
      g_string_append_c (text, '}');
    }
  ulfius_set_binary_body_response (response, 200, text->str, text->len);
  u_map_put (response->map_header, "Content-Type", "application/json");
  free (dump);
  json_decref (members);
  g_string_free (text, TRUE);
}

void
tou_http_reply_render (struct _u_response *response, TouRequestKind kind,
                       const TouReply *reply)
{
  if (reply->outcome == TOU_OUTCOME_DONE && reply->code == TOU_OK)
    render_done (response, kind, reply);
  else
    tou_http_problem_full (response, reply->code, reply->message.data,
                           outcome_name (reply->outcome), reply->retry_after_us,
                           NULL);
}

void
tou_http_reply_expire (struct _u_response *response,
                       const struct _u_request *request, gboolean secure)
{
  for (int i = 0; i < request->map_cookie->nb_values; i++)
    if (g_str_has_prefix (request->map_cookie->keys[i], TOU_HTTP_COOKIE_PREFIX))
      ulfius_add_same_site_cookie_to_response (
          response, request->map_cookie->keys[i], "", COOKIE_EXPIRED, 0, NULL,
          "/", secure, 1, U_COOKIE_SAME_SITE_STRICT);
}

int
tou_http_reply_session (struct _u_response *response,
                        const struct _u_request *request,
                        const TouSession *session, const TouTokenKeys *keys,
                        gboolean secure)
{
  guint8 id[COOKIE_ID_BYTES];
  char hex[COOKIE_ID_BYTES * 2 + 1];
  char name[sizeof TOU_HTTP_COOKIE_PREFIX + sizeof hex];
  TouStr token;
  int status;

  if (session->n_entries == 0 && !session->overflow)
    return TOU_OK;
  status = tou_token_encode (&token, session, keys);
  if (status != TOU_OK)
    return status;
  randombytes_buf (id, sizeof id);
  sodium_bin2hex (hex, sizeof hex, id, sizeof id);
  g_snprintf (name, sizeof name, TOU_HTTP_COOKIE_PREFIX "%s", hex);
  tou_http_reply_expire (response, request, secure);
  ulfius_add_same_site_cookie_to_response (response, name, token.data, NULL, 0,
                                           NULL, "/", secure, 1,
                                           U_COOKIE_SAME_SITE_STRICT);
  u_map_put (response->map_header, TOU_HTTP_SESSION_HEADER, token.data);
  tou_str_clear (&token);
  return TOU_OK;
}
