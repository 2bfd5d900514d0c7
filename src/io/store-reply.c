#include "store-json.h"

#include <jansson.h>
#include <string.h>

#define BASE64_ALPHABET                                                        \
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/="

/* Reads a number encoded as a string or an integer; 0 if absent. */
static gboolean
read_number (const json_t *object, const char *name, guint64 *out)
{
  const json_t *value = json_object_get (object, name);

  *out = 0;
  if (value == NULL)
    return TRUE;
  if (json_is_integer (value) && json_integer_value (value) >= 0)
    {
      *out = (guint64)json_integer_value (value);
      return TRUE;
    }
  return json_is_string (value)
         && g_ascii_string_to_unsigned (json_string_value (value), 10, 0,
                                        G_MAXUINT64, out, NULL);
}

/* Decodes a base64 field; empty if absent. */
static gboolean
read_base64 (const json_t *object, const char *name, TouStr *out)
{
  const json_t *value = json_object_get (object, name);
  const char *text;
  gsize len;

  if (value == NULL)
    {
      tou_str_init (out, "", 0);
      return TRUE;
    }
  text = json_string_value (value);
  if (text == NULL || strspn (text, BASE64_ALPHABET) != strlen (text))
    return FALSE;
  out->data = (char *)g_base64_decode (text, &len);
  out->data = g_realloc (out->data, len + 1);
  out->data[len] = '\0';
  out->len = len;
  return TRUE;
}

/* Appends a key-value pair; a deletion has no value. */
static gboolean
add_entry (TouEntryList *list, const json_t *kv, gboolean deleted)
{
  TouEntry entry = { 0 };

  if (!json_is_object (kv) || !read_base64 (kv, "key", &entry.key)
      || entry.key.len == 0
      || !read_number (kv, "mod_revision", &entry.revision)
      || (!deleted && !read_base64 (kv, "value", &entry.value)))
    {
      tou_entry_clear (&entry);
      return FALSE;
    }
  list->items = g_renew (TouEntry, list->items, list->count + 1);
  list->items[list->count++] = entry;
  return TRUE;
}

/* Appends the key-value pairs of a range response. */
static gboolean
add_range (TouEntryList *list, const json_t *range)
{
  const json_t *kvs = json_object_get (range, "kvs");
  const json_t *kv;
  size_t i;

  if (kvs != NULL && !json_is_array (kvs))
    return FALSE;
  json_array_foreach (kvs, i, kv)
  {
    if (!add_entry (list, kv, FALSE))
      return FALSE;
  }
  /* With "more", the response does not contain the whole range. */
  return !json_is_true (json_object_get (range, "more"));
}

static gboolean
read_txn (TouStoreResult *out, const json_t *reply)
{
  const json_t *responses = json_object_get (reply, "responses");
  const json_t *range
      = json_object_get (json_array_get (responses, 0), "response_range");

  out->succeeded = json_is_true (json_object_get (reply, "succeeded"));
  if (out->succeeded)
    return TRUE;
  return range != NULL && add_range (&out->entries, range);
}

/* Reads a lease's time to live, which is in seconds; 0 if absent. */
static gboolean
read_ttl (TouStoreResult *out, const json_t *reply)
{
  guint64 seconds;

  if (!read_number (reply, "TTL", &seconds)
      || seconds > G_MAXUINT64 / TOU_US_PER_S)
    return FALSE;
  out->ttl_us = seconds * TOU_US_PER_S;
  return TRUE;
}

static gboolean
read_result (TouStoreResult *out, const json_t *reply)
{
  switch (out->op)
    {
    case TOU_STORE_RANGE:
    case TOU_STORE_GET:
      return add_range (&out->entries, reply);
    case TOU_STORE_CAS:
      return read_txn (out, reply);
    case TOU_STORE_LEASE_GRANT:
      return read_number (reply, "ID", &out->lease) && out->lease != 0
             && read_ttl (out, reply);
    case TOU_STORE_LEASE_KEEPALIVE:
      return read_ttl (out, reply);
    case TOU_STORE_WATCH:
    case TOU_STORE_WATCH_CANCEL:
      break;
    }
  return FALSE;
}

static gboolean
read_header (TouStoreResult *out, const json_t *reply)
{
  const json_t *header = json_object_get (reply, "header");

  return json_is_object (header)
         && read_number (header, "revision", &out->revision)
         && out->revision != 0;
}

int
tou_store_json_reply (TouStoreResult *out, const char *data, gsize len)
{
  json_t *root = json_loadb (data, len, 0, NULL);
  const json_t *reply = root;

  /* The response to a keep-alive is a stream of messages, each in "result". */
  if (out->op == TOU_STORE_LEASE_KEEPALIVE)
    reply = json_object_get (root, "result");
  if (!read_header (out, reply) || !read_result (out, reply))
    {
      json_decref (root);
      tou_entry_list_clear (&out->entries);
      return tou_status_set (TOU_E_INVALID_JSON,
                             "answer from the store is malformed");
    }
  json_decref (root);
  return TOU_OK;
}

/* Appends the changes of a watch message, which are ordered by revision. */
static gboolean
add_events (TouStoreResult *out, const json_t *events)
{
  const json_t *event;
  size_t i;

  if (events != NULL && !json_is_array (events))
    return FALSE;
  json_array_foreach (events, i, event)
  {
    const char *type = json_string_value (json_object_get (event, "type"));
    gboolean deleted = g_strcmp0 (type, "DELETE") == 0;

    if (!add_entry (&out->entries, json_object_get (event, "kv"), deleted))
      return FALSE;
  }
  /* The header's revision may be newer than the last delivered change. */
  if (out->entries.count > 0)
    out->revision = out->entries.items[out->entries.count - 1].revision;
  return TRUE;
}

int
tou_store_json_watch (TouStoreResult *out, const char *data, gsize len)
{
  json_t *root = json_loadb (data, len, 0, NULL);
  const json_t *reply = json_object_get (root, "result");
  guint64 compacted;
  gboolean valid = read_header (out, reply)
                   && read_number (reply, "compact_revision", &compacted)
                   && add_events (out, json_object_get (reply, "events"));

  if (valid && compacted != 0)
    out->status = TOU_STORE_COMPACTED;
  else if (valid && json_is_true (json_object_get (reply, "canceled")))
    valid = FALSE;
  json_decref (root);
  if (valid)
    return TOU_OK;
  tou_entry_list_clear (&out->entries);
  return tou_status_set (TOU_E_INVALID_JSON,
                         "watch message from the store is malformed");
}

static gboolean
read_name (const json_t *object, const char *name, TouName *out)
{
  const json_t *value = json_object_get (object, name);

  return json_is_string (value) && json_string_length (value) > 0
         && tou_name_set (out, json_string_value (value),
                          json_string_length (value))
                == TOU_OK;
}

static gboolean
read_vm (TouVm *out, const json_t *vm)
{
  const char *state = json_string_value (json_object_get (vm, "state"));

  if (g_strcmp0 (state, "live") == 0)
    out->state = TOU_VM_LIVE;
  else if (g_strcmp0 (state, "leaving") == 0)
    out->state = TOU_VM_LEAVING;
  else
    return FALSE;
  return read_name (vm, "name", &out->name)
         && read_name (vm, "address", &out->address)
         && read_name (vm, "region", &out->region)
         && read_name (vm, "failure_domain", &out->failure_domain);
}

int
tou_store_json_vms (TouVm **vms, guint *count, const char *data, gsize len)
{
  json_t *root = json_loadb (data, len, 0, NULL);
  const json_t *list = json_object_get (root, "vms");
  gboolean valid = json_is_array (list);
  const json_t *vm;
  size_t i;

  *count = (guint)json_array_size (list);
  *vms = g_new0 (TouVm, MAX (*count, 1));
  json_array_foreach (list, i, vm)
  {
    valid = valid && read_vm (&(*vms)[i], vm);
  }
  json_decref (root);
  if (valid)
    return TOU_OK;
  g_free (*vms);
  *vms = NULL;
  *count = 0;
  return tou_status_set (TOU_E_INVALID_JSON, "VM list is malformed");
}
