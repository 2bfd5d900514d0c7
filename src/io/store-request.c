#include "store-json.h"

#include <jansson.h>
#include <string.h>

const char *
tou_store_json_path (TouStoreOp op)
{
  switch (op)
    {
    case TOU_STORE_RANGE:
    case TOU_STORE_GET:
      return "/v3/kv/range";
    case TOU_STORE_CAS:
      return "/v3/kv/txn";
    case TOU_STORE_LEASE_GRANT:
      return "/v3/lease/grant";
    case TOU_STORE_LEASE_KEEPALIVE:
      return "/v3/lease/keepalive";
    case TOU_STORE_WATCH:
    case TOU_STORE_WATCH_CANCEL:
      return "/v3/watch";
    }
  return "/";
}

static json_t *
new_base64_string (const char *data, gsize len)
{
  char *text = g_base64_encode ((const guchar *)data, len);
  json_t *value = json_string (text);

  g_free (text);
  return value;
}

static json_t *
new_number_string (guint64 value)
{
  return json_sprintf ("%" G_GUINT64_FORMAT, value);
}

/* Returns the first key after all keys with @a prefix, or "\0" (no end) if
   there is none. */
static json_t *
prefix_end (const TouStr *prefix)
{
  char *end = g_memdup2 (prefix->data, prefix->len);
  gsize len = prefix->len;
  json_t *value;

  while (len > 0 && (guint8)end[len - 1] == G_MAXUINT8)
    len--;
  if (len > 0)
    end[len - 1]++;
  value = len > 0 ? new_base64_string (end, len) : new_base64_string ("", 1);
  g_free (end);
  return value;
}

static json_t *
key_request (const TouStr *key, gboolean is_prefix)
{
  json_t *request
      = json_pack ("{s:o}", "key", new_base64_string (key->data, key->len));

  if (is_prefix)
    json_object_set_new (request, "range_end", prefix_end (key));
  return request;
}

static json_t *
watch_request (const TouStoreCall *call)
{
  json_t *create = key_request (&call->key, TRUE);

  json_object_set_new (create, "start_revision",
                       new_number_string (call->after_revision + 1));
  return json_pack ("{s:o}", "create_request", create);
}

/* A transaction that writes the key if its revision is the expected one, and
   reads it otherwise. */
static json_t *
cas_request (const TouStoreCall *call)
{
  gboolean is_create = call->expected_revision == 0;
  json_t *compare = key_request (&call->key, FALSE);
  json_t *put = key_request (&call->key, FALSE);

  json_object_set_new (compare, "result", json_string ("EQUAL"));
  json_object_set_new (compare, "target",
                       json_string (is_create ? "CREATE" : "MOD"));
  json_object_set_new (compare, is_create ? "create_revision" : "mod_revision",
                       new_number_string (call->expected_revision));
  json_object_set_new (put, "value",
                       new_base64_string (call->value.data, call->value.len));
  if (call->lease != 0)
    json_object_set_new (put, "lease", new_number_string (call->lease));
  return json_pack ("{s:[o],s:[{s:o}],s:[{s:o}]}", "compare", compare,
                    "success", "request_put", put, "failure", "request_range",
                    key_request (&call->key, FALSE));
}

static json_t *
request_json (const TouStoreCall *call)
{
  switch (call->op)
    {
    case TOU_STORE_RANGE:
      return key_request (&call->key, TRUE);
    case TOU_STORE_GET:
      return key_request (&call->key, FALSE);
    case TOU_STORE_CAS:
      return cas_request (call);
    case TOU_STORE_LEASE_GRANT:
      /* The TTL is in whole seconds. Rounding down would let the lease expire
         too early. */
      return json_pack (
          "{s:o}", "TTL",
          new_number_string ((call->ttl_us + TOU_US_PER_S - 1) / TOU_US_PER_S));
    case TOU_STORE_LEASE_KEEPALIVE:
      return json_pack ("{s:o}", "ID", new_number_string (call->lease));
    case TOU_STORE_WATCH:
    case TOU_STORE_WATCH_CANCEL:
      return watch_request (call);
    }
  return json_object ();
}

char *
tou_store_json_request (const TouStoreCall *call)
{
  json_t *request = request_json (call);
  char *text = json_dumps (request, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (request);
  return copy;
}
