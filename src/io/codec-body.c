#include "codec.h"

/* Returns element @a i of @a array, or NULL if it is not a map. */
static const msgpack_object *
element_map (TouCodecReader *reader, const msgpack_object_array *array,
             guint32 i, const char *name)
{
  if (array->ptr[i].type == MSGPACK_OBJECT_MAP)
    return &array->ptr[i];
  tou_codec_fail (reader, name);
  return NULL;
}

static TouLogPos
read_pos (TouCodecReader *reader, const msgpack_object *map)
{
  const msgpack_object *pos = tou_codec_get_map (reader, map, "pos");
  TouLogPos result = { 0 };

  if (pos == NULL)
    {
      tou_codec_fail (reader, "pos");
      return result;
    }
  result.term = tou_codec_get_u64 (reader, pos, "term", G_MAXUINT64);
  result.position = tou_codec_get_u64 (reader, pos, "position", G_MAXUINT64);
  return result;
}

/* Reads a request id; the node must not be empty. */
static void
read_request_id (TouCodecReader *reader, const msgpack_object *map,
                 TouRequestId *out)
{
  tou_codec_get_name (reader, map, "node", &out->node);
  out->incarnation
      = tou_codec_get_u64 (reader, map, "incarnation", G_MAXUINT64);
  out->sequence = tou_codec_get_u64 (reader, map, "sequence", G_MAXUINT64);
  if (!tou_request_id_is_set (out))
    tou_codec_fail (reader, "node");
}

static void
get_request_id (TouCodecReader *reader, const msgpack_object *map,
                const char *name, gboolean required, TouRequestId *out)
{
  const msgpack_object *id = tou_codec_get_map (reader, map, name);

  if (id != NULL)
    read_request_id (reader, id, out);
  else if (required)
    tou_codec_fail (reader, name);
}

static void
get_session (TouCodecReader *reader, const msgpack_object *map, TouSession *out)
{
  const msgpack_object *session = tou_codec_get_map (reader, map, "session");
  const msgpack_object_array *entries;

  if (session == NULL)
    return;
  out->overflow = tou_codec_get_bool (reader, session, "overflow");
  entries = tou_codec_get_array (reader, session, "entries",
                                 TOU_SESSION_MAX_GROUPS);
  for (guint32 i = 0; entries != NULL && i < entries->size; i++)
    {
      const msgpack_object *entry = element_map (reader, entries, i, "entries");
      TouSessionEntry *item = &out->entries[out->n_entries];

      if (entry == NULL)
        return;
      tou_codec_get_name (reader, entry, "group", &item->group);
      item->pos = read_pos (reader, entry);
      out->n_entries++;
    }
}

static void
get_params (TouCodecReader *reader, const msgpack_object *map,
            TouStatement *out)
{
  const msgpack_object_array *params
      = tou_codec_get_array (reader, map, "params", TOU_STATEMENT_MAX_PARAMS);

  if (params == NULL || params->size == 0)
    return;
  out->params = g_new0 (TouStr, params->size);
  out->n_params = params->size;
  for (guint32 i = 0; i < params->size; i++)
    {
      const msgpack_object *param = &params->ptr[i];

      if (param->type == MSGPACK_OBJECT_STR)
        tou_str_init (&out->params[i], param->via.str.ptr, param->via.str.size);
      else if (param->type != MSGPACK_OBJECT_NIL)
        tou_codec_fail (reader, "params");
    }
}

static void
get_statement (TouCodecReader *reader, const msgpack_object *map,
               TouStatement *out)
{
  const msgpack_object *statement
      = tou_codec_get_map (reader, map, "statement");

  if (statement == NULL)
    return;
  tou_codec_get_str (reader, statement, "sql", G_MAXSIZE, &out->sql);
  get_params (reader, statement, out);
}

static void
read_execute (TouCodecReader *reader, const msgpack_object *body,
              TouRequest *out)
{
  get_request_id (reader, body, "id", TRUE, &out->id);
  out->kind = tou_codec_get_u64 (reader, body, "kind", TOU_REQUEST_ROLLBACK);
  tou_codec_get_name (reader, body, "group", &out->group);
  get_request_id (reader, body, "txn", FALSE, &out->txn);
  out->rank = tou_codec_get_u64 (reader, body, "rank", TOU_RANK_COUNT - 1);
  out->mode = tou_codec_get_u64 (reader, body, "mode", TOU_READ_FRESH);
  out->max_age_us = tou_codec_get_u64 (reader, body, "max_age_us",
                                       TOU_CODEC_MAX_DURATION_US);
  out->deadline_us = tou_codec_get_u64 (reader, body, "deadline_us",
                                        TOU_CODEC_MAX_DURATION_US);
  tou_codec_get_str (reader, body, "idempotency_key", TOU_CODEC_MAX_KEY,
                     &out->idempotency_key);
  get_session (reader, body, &out->session);
  get_statement (reader, body, &out->statement);
}

static void
read_reply (TouCodecReader *reader, const msgpack_object *body, TouReply *out)
{
  get_request_id (reader, body, "id", TRUE, &out->id);
  out->code = (int)tou_codec_get_u64 (reader, body, "code", TOU_CODEC_MAX_CODE);
  out->outcome
      = tou_codec_get_u64 (reader, body, "outcome", TOU_OUTCOME_UNKNOWN);
  out->replayed = tou_codec_get_bool (reader, body, "replayed");
  out->role = tou_codec_get_u64 (reader, body, "role", TOU_ROLE_REPLICA);
  tou_codec_get_name (reader, body, "group", &out->group);
  tou_codec_get_name (reader, body, "endpoint", &out->endpoint);
  tou_codec_get_name (reader, body, "gate", &out->gate);
  out->pos = read_pos (reader, body);
  get_request_id (reader, body, "txn", FALSE, &out->txn);
  out->retry_after_us = tou_codec_get_u64 (reader, body, "retry_after_us",
                                           TOU_CODEC_MAX_DURATION_US);
  tou_codec_get_str (reader, body, "message", G_MAXSIZE, &out->message);
  tou_codec_get_str (reader, body, "result", G_MAXSIZE, &out->result);
  get_session (reader, body, &out->session);
}

static void
read_ping (TouCodecReader *reader, const msgpack_object *body, TouPing *out)
{
  const msgpack_object_array *updates
      = tou_codec_get_array (reader, body, "updates", TOU_MESSAGE_MAX_UPDATES);

  out->sequence = tou_codec_get_u64 (reader, body, "sequence", G_MAXUINT64);
  tou_codec_get_name (reader, body, "target", &out->target);
  out->feed_revision
      = tou_codec_get_u64 (reader, body, "feed_revision", G_MAXUINT64);
  for (guint32 i = 0; updates != NULL && i < updates->size; i++)
    {
      const msgpack_object *map = element_map (reader, updates, i, "updates");
      TouMemberUpdate *update = &out->updates[i];

      if (map == NULL)
        return;
      tou_codec_get_name (reader, map, "name", &update->name);
      tou_codec_get_name (reader, map, "address", &update->address);
      tou_codec_get_name (reader, map, "region", &update->region);
      tou_codec_get_name (reader, map, "domain", &update->failure_domain);
      update->state = tou_codec_get_u64 (reader, map, "state", TOU_MEMBER_DEAD);
      update->incarnation
          = tou_codec_get_u64 (reader, map, "incarnation", G_MAXUINT64);
      out->n_updates = i + 1;
    }
}

static void
read_suspect (TouCodecReader *reader, const msgpack_object *body,
              TouSuspect *out)
{
  tou_codec_get_name (reader, body, "group", &out->group);
  out->term = tou_codec_get_u64 (reader, body, "term", G_MAXUINT64);
  out->suspected = tou_codec_get_bool (reader, body, "suspected");
}

static void
read_entries (TouCodecReader *reader, const msgpack_object *body,
              TouEntries *out)
{
  const msgpack_object_array *entries
      = tou_codec_get_array (reader, body, "entries", TOU_CODEC_MAX_ENTRIES);

  out->from = tou_codec_get_u64 (reader, body, "from", G_MAXUINT64);
  out->to = tou_codec_get_u64 (reader, body, "to", G_MAXUINT64);
  if (entries == NULL || entries->size == 0)
    return;
  out->entries.items = g_new0 (TouEntry, entries->size);
  for (guint32 i = 0; i < entries->size && reader->bad_field == NULL; i++)
    {
      const msgpack_object *map = element_map (reader, entries, i, "entries");
      TouEntry *entry = &out->entries.items[i];

      if (map == NULL)
        return;
      out->entries.count = i + 1;
      tou_codec_get_str (reader, map, "key", TOU_CODEC_MAX_KEY, &entry->key);
      tou_codec_get_str (reader, map, "value", G_MAXSIZE, &entry->value);
      entry->revision
          = tou_codec_get_u64 (reader, map, "revision", G_MAXUINT64);
      if (entry->key.data == NULL)
        tou_codec_fail (reader, "key");
    }
}

static void
read_leaving (TouCodecReader *reader, const msgpack_object *body,
              TouMessage *out)
{
  const msgpack_object_array *vms
      = tou_codec_get_array (reader, body, "vms", TOU_CODEC_MAX_VMS);

  if (vms == NULL || vms->size == 0)
    return;
  out->u.leaving.vms = g_new0 (TouVm, vms->size);
  out->u.leaving.count = vms->size;
  for (guint32 i = 0; i < vms->size && reader->bad_field == NULL; i++)
    {
      const msgpack_object *map = element_map (reader, vms, i, "vms");
      TouVm *vm = &out->u.leaving.vms[i];

      if (map == NULL)
        return;
      tou_codec_get_name (reader, map, "name", &vm->name);
      tou_codec_get_name (reader, map, "address", &vm->address);
      tou_codec_get_name (reader, map, "region", &vm->region);
      tou_codec_get_name (reader, map, "domain", &vm->failure_domain);
      vm->state = tou_codec_get_u64 (reader, map, "state", TOU_VM_LEAVING);
    }
}

void
tou_codec_read_body (TouCodecReader *reader, const msgpack_object *body,
                     TouMessage *message)
{
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
      read_ping (reader, body, &message->u.ping);
      break;
    case TOU_MESSAGE_EXECUTE:
      read_execute (reader, body, &message->u.execute);
      break;
    case TOU_MESSAGE_EXECUTE_REPLY:
      read_reply (reader, body, &message->u.reply);
      break;
    case TOU_MESSAGE_CANCEL:
      read_request_id (reader, body, &message->u.cancel);
      break;
    case TOU_MESSAGE_SUSPECT:
      read_suspect (reader, body, &message->u.suspect);
      break;
    case TOU_MESSAGE_ENTRIES:
      read_entries (reader, body, &message->u.entries);
      break;
    case TOU_MESSAGE_ENTRIES_REQUEST:
      message->u.entries_after
          = tou_codec_get_u64 (reader, body, "after", G_MAXUINT64);
      break;
    case TOU_MESSAGE_LEAVING:
      read_leaving (reader, body, message);
      break;
    case TOU_MESSAGE_COUNT:
      break;
    }
}
