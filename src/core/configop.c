#include "configop.h"

#include "config.h"
#include "feed.h"
#include "storeop.h"

#include <jansson.h>
#include <string.h>

/** A change in progress; it waits for an answer of the store. */
typedef struct
{
  TouContext *ctx;
  guint64 caller;
  TouStr key; /**< without the store prefix */
  guint64 expected_revision;
  TouStr envelope;
  TouStr marker; /**< the change id as written in the envelope */
} ConfigOp;

static void
configop_free (gpointer data)
{
  ConfigOp *op = data;

  tou_str_clear (&op->key);
  tou_str_clear (&op->envelope);
  tou_str_clear (&op->marker);
  g_free (op);
}

static void
configop_reply (TouContext *ctx, guint64 caller, int code, guint64 revision,
                const char *message, const TouStr *current)
{
  TouAction *action
      = tou_action_list_add (ctx->actions, TOU_ACTION_CONFIG_REPLY);

  action->u.config_reply.caller = caller;
  action->u.config_reply.code = code;
  action->u.config_reply.revision = revision;
  tou_str_init_c (&action->u.config_reply.message, message);
  if (current != NULL)
    tou_str_copy (&action->u.config_reply.current, current);
}

/* Applies a stored value to the feed and forwards it. */
static void
configop_publish (const ConfigOp *op, const TouStr *value, guint64 revision)
{
  TouEntry entry = { .revision = revision };

  tou_str_copy (&entry.key, &op->key);
  tou_str_copy (&entry.value, value);
  tou_feed_publish (op->ctx->feed, &entry);
  tou_entry_clear (&entry);
}

static void
configop_reply_conflict (const ConfigOp *op, guint64 revision,
                         const TouStr *current)
{
  if (current != NULL)
    configop_publish (op, current, revision);
  configop_reply (op->ctx, op->caller, TOU_E_CONFLICT, revision,
                  "the setting has another revision", current);
}

static void
configop_on_written (gpointer user_data, TouCasOutcome outcome,
                     guint64 revision, const TouStr *current)
{
  ConfigOp *op = user_data;

  switch (outcome)
    {
    case TOU_CAS_WRITTEN:
      configop_publish (op, &op->envelope, revision);
      configop_reply (op->ctx, op->caller, TOU_OK, revision, NULL, NULL);
      break;
    case TOU_CAS_CONFLICT:
      configop_reply_conflict (op, revision, current);
      break;
    case TOU_CAS_UNKNOWN:
      configop_reply (op->ctx, op->caller, TOU_E_STORE_UNKNOWN, 0,
                      "the store did not confirm the change; read it back",
                      NULL);
      break;
    case TOU_CAS_FAILED:
      configop_reply (op->ctx, op->caller, TOU_E_STORE_DOWN, 0,
                      "the store does not answer", NULL);
      break;
    }
}

/* TRUE if @a value is absent or the envelope of a deleted entry. */
static gboolean
configop_is_deleted (const TouStr *value)
{
  json_error_t error;
  json_t *envelope;
  gboolean deleted;

  if (value->data == NULL)
    return TRUE;
  envelope = json_loadb (value->data, value->len, 0, &error);
  deleted = json_is_null (json_object_get (envelope, "value"));
  json_decref (envelope);
  return deleted;
}

static void
configop_on_read (gpointer user_data, const TouStoreResult *result)
{
  ConfigOp *op = user_data;
  const TouEntry *entry
      = result->entries.count > 0 ? &result->entries.items[0] : NULL;
  guint64 revision = entry != NULL ? entry->revision : 0;
  TouStr key;

  if (result->status != TOU_STORE_OK)
    {
      configop_reply (op->ctx, op->caller, TOU_E_STORE_DOWN, 0,
                      "the store does not answer", NULL);
      configop_free (op);
      return;
    }
  /* Operators do not see deleted entries and send revision 0 for them. */
  if (op->expected_revision == 0 && entry != NULL
      && configop_is_deleted (&entry->value))
    op->expected_revision = revision;
  if (revision != op->expected_revision)
    {
      configop_reply_conflict (op, revision,
                               entry != NULL ? &entry->value : NULL);
      configop_free (op);
      return;
    }
  tou_str_printf (&key, TOU_STORE_PREFIX "%s", op->key.data);
  tou_store_ops_cas_owned (op->ctx->store_ops, key.data, &op->envelope,
                           op->expected_revision, 0, op->marker.data,
                           configop_on_written, op, configop_free);
  tou_str_clear (&key);
}

static json_t *
configop_json_string (const TouStr *text)
{
  return json_stringn (text->data != NULL ? text->data : "", text->len);
}

/* Builds the envelope and its marker; fails if the author or the reason is not
 * UTF-8. */
static int
configop_build_envelope (ConfigOp *op, const TouConfigChange *change)
{
  TouRequestId id = { .node = op->ctx->settings.node,
                      .incarnation = op->ctx->settings.incarnation,
                      .sequence = tou_context_next_id (op->ctx) };
  json_error_t error;
  json_t *value = json_null ();
  json_t *envelope = NULL;
  char *text = NULL;
  TouStr change_id;

  tou_request_id_format (&change_id, &id);
  if (change->value.data != NULL)
    value = json_loadb (change->value.data, change->value.len, 0, &error);
  envelope = json_pack ("{s:o, s:o, s:o, s:I, s:s}", "value", value, "author",
                        configop_json_string (&change->author), "reason",
                        configop_json_string (&change->reason), "time",
                        (json_int_t)change->time_ms, "change", change_id.data);
  if (envelope != NULL)
    text = json_dumps (envelope, JSON_COMPACT);
  tou_str_init_c (&op->envelope, text);
  tou_str_printf (&op->marker, "\"change\":\"%s\"", change_id.data);
  tou_str_clear (&change_id);
  json_decref (envelope);
  free (text);
  if (op->envelope.data == NULL)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "author and reason must be UTF-8 text");
  return TOU_OK;
}

static void
configop_start (ConfigOp *op)
{
  TouStoreCall call = { .op = TOU_STORE_GET };

  tou_str_printf (&call.key, TOU_STORE_PREFIX "%s", op->key.data);
  tou_store_ops_call_owned (op->ctx->store_ops, &call, configop_on_read, op,
                            configop_free);
}

int
tou_configop_change (TouContext *ctx, guint64 caller, TouConfigChange *change)
{
  ConfigOp *op = g_new0 (ConfigOp, 1);
  int status = tou_config_validate (ctx->config, change);

  op->ctx = ctx;
  op->caller = caller;
  op->expected_revision = change->expected_revision;
  tou_str_copy (&op->key, &change->key);
  if (status == TOU_OK)
    status = configop_build_envelope (op, change);
  if (status == TOU_OK)
    configop_start (op);
  else
    {
      configop_reply (ctx, caller, status, 0, tou_status_message (), NULL);
      configop_free (op);
    }
  tou_config_change_clear (change);
  return status;
}
