#include "codec.h"

#include <string.h>

static void
put_key (msgpack_packer *packer, const char *name)
{
  msgpack_pack_str_with_body (packer, name, strlen (name));
}

static void
put_u64 (msgpack_packer *packer, const char *name, guint64 value)
{
  put_key (packer, name);
  msgpack_pack_uint64 (packer, value);
}

static void
put_bool (msgpack_packer *packer, const char *name, gboolean value)
{
  put_key (packer, name);
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
put_name (msgpack_packer *packer, const char *name, const TouName *value)
{
  put_key (packer, name);
  msgpack_pack_str_with_body (packer, value->data, value->len);
}

/* Appends a string, or nil if it is absent. */
static void
pack_str (msgpack_packer *packer, const TouStr *value)
{
  if (value->data == NULL)
    msgpack_pack_nil (packer);
  else
    msgpack_pack_str_with_body (packer, value->data, value->len);
}

static void
put_str (msgpack_packer *packer, const char *name, const TouStr *value)
{
  put_key (packer, name);
  pack_str (packer, value);
}

static void
put_pos (msgpack_packer *packer, const char *name, TouLogPos pos)
{
  put_key (packer, name);
  msgpack_pack_map (packer, 2);
  put_u64 (packer, "term", pos.term);
  put_u64 (packer, "position", pos.position);
}

static void
pack_request_id (msgpack_packer *packer, const TouRequestId *id)
{
  msgpack_pack_map (packer, 3);
  put_name (packer, "node", &id->node);
  put_u64 (packer, "incarnation", id->incarnation);
  put_u64 (packer, "sequence", id->sequence);
}

/* Appends a request id, or nil if it is not set. */
static void
put_request_id (msgpack_packer *packer, const char *name,
                const TouRequestId *id)
{
  put_key (packer, name);
  if (tou_request_id_is_set (id))
    pack_request_id (packer, id);
  else
    msgpack_pack_nil (packer);
}

static void
put_session (msgpack_packer *packer, const TouSession *session)
{
  put_key (packer, "session");
  msgpack_pack_map (packer, 2);
  put_bool (packer, "overflow", session->overflow);
  put_key (packer, "entries");
  msgpack_pack_array (packer, session->n_entries);
  for (guint i = 0; i < session->n_entries; i++)
    {
      msgpack_pack_map (packer, 2);
      put_name (packer, "group", &session->entries[i].group);
      put_pos (packer, "pos", session->entries[i].pos);
    }
}

static void
put_statement (msgpack_packer *packer, const TouStatement *statement)
{
  put_key (packer, "statement");
  msgpack_pack_map (packer, 2);
  put_str (packer, "sql", &statement->sql);
  put_key (packer, "params");
  msgpack_pack_array (packer, statement->n_params);
  for (guint i = 0; i < statement->n_params; i++)
    pack_str (packer, &statement->params[i]);
}

static void
pack_execute (msgpack_packer *packer, const TouRequest *request)
{
  msgpack_pack_map (packer, 11);
  put_request_id (packer, "id", &request->id);
  put_u64 (packer, "kind", request->kind);
  put_name (packer, "group", &request->group);
  put_request_id (packer, "txn", &request->txn);
  put_u64 (packer, "rank", request->rank);
  put_u64 (packer, "mode", request->mode);
  put_u64 (packer, "max_age_us", request->max_age_us);
  put_u64 (packer, "deadline_us", request->deadline_us);
  put_str (packer, "idempotency_key", &request->idempotency_key);
  put_session (packer, &request->session);
  put_statement (packer, &request->statement);
}

static void
pack_reply (msgpack_packer *packer, const TouReply *reply)
{
  msgpack_pack_map (packer, 14);
  put_request_id (packer, "id", &reply->id);
  put_u64 (packer, "code", (guint64)reply->code);
  put_u64 (packer, "outcome", reply->outcome);
  put_bool (packer, "replayed", reply->replayed);
  put_u64 (packer, "role", reply->role);
  put_name (packer, "group", &reply->group);
  put_name (packer, "endpoint", &reply->endpoint);
  put_name (packer, "gate", &reply->gate);
  put_pos (packer, "pos", reply->pos);
  put_request_id (packer, "txn", &reply->txn);
  put_u64 (packer, "retry_after_us", reply->retry_after_us);
  put_str (packer, "message", &reply->message);
  put_str (packer, "result", &reply->result);
  put_session (packer, &reply->session);
}

static void
pack_ping (msgpack_packer *packer, const TouPing *ping)
{
  msgpack_pack_map (packer, 4);
  put_u64 (packer, "sequence", ping->sequence);
  put_name (packer, "target", &ping->target);
  put_u64 (packer, "feed_revision", ping->feed_revision);
  put_key (packer, "updates");
  msgpack_pack_array (packer, ping->n_updates);
  for (guint i = 0; i < ping->n_updates; i++)
    {
      const TouMemberUpdate *update = &ping->updates[i];

      msgpack_pack_map (packer, 6);
      put_name (packer, "name", &update->name);
      put_name (packer, "address", &update->address);
      put_name (packer, "region", &update->region);
      put_name (packer, "domain", &update->failure_domain);
      put_u64 (packer, "state", update->state);
      put_u64 (packer, "incarnation", update->incarnation);
    }
}

static void
pack_suspect (msgpack_packer *packer, const TouSuspect *suspect)
{
  msgpack_pack_map (packer, 3);
  put_name (packer, "group", &suspect->group);
  put_u64 (packer, "term", suspect->term);
  put_bool (packer, "suspected", suspect->suspected);
}

static void
pack_entries (msgpack_packer *packer, const TouEntries *entries)
{
  msgpack_pack_map (packer, 3);
  put_u64 (packer, "from", entries->from);
  put_u64 (packer, "to", entries->to);
  put_key (packer, "entries");
  msgpack_pack_array (packer, entries->entries.count);
  for (guint i = 0; i < entries->entries.count; i++)
    {
      const TouEntry *entry = &entries->entries.items[i];

      msgpack_pack_map (packer, 3);
      put_str (packer, "key", &entry->key);
      put_str (packer, "value", &entry->value);
      put_u64 (packer, "revision", entry->revision);
    }
}

static void
pack_leaving (msgpack_packer *packer, const TouVm *vms, guint count)
{
  msgpack_pack_map (packer, 1);
  put_key (packer, "vms");
  msgpack_pack_array (packer, count);
  for (guint i = 0; i < count; i++)
    {
      msgpack_pack_map (packer, 5);
      put_name (packer, "name", &vms[i].name);
      put_name (packer, "address", &vms[i].address);
      put_name (packer, "region", &vms[i].region);
      put_name (packer, "domain", &vms[i].failure_domain);
      put_u64 (packer, "state", vms[i].state);
    }
}

static void
pack_body (msgpack_packer *packer, const TouMessage *message)
{
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
      pack_ping (packer, &message->u.ping);
      break;
    case TOU_MESSAGE_EXECUTE:
      pack_execute (packer, &message->u.execute);
      break;
    case TOU_MESSAGE_EXECUTE_REPLY:
      pack_reply (packer, &message->u.reply);
      break;
    case TOU_MESSAGE_CANCEL:
      pack_request_id (packer, &message->u.cancel);
      break;
    case TOU_MESSAGE_SUSPECT:
      pack_suspect (packer, &message->u.suspect);
      break;
    case TOU_MESSAGE_ENTRIES:
      pack_entries (packer, &message->u.entries);
      break;
    case TOU_MESSAGE_ENTRIES_REQUEST:
      msgpack_pack_map (packer, 1);
      put_u64 (packer, "after", message->u.entries_after);
      break;
    case TOU_MESSAGE_LEAVING:
      pack_leaving (packer, message->u.leaving.vms, message->u.leaving.count);
      break;
    case TOU_MESSAGE_COUNT:
      break;
    }
}

/* Checks the counts, lengths and durations that every receiver checks. */
static gboolean
message_fits (const TouMessage *message)
{
  switch (message->type)
    {
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
      return message->u.ping.n_updates <= TOU_MESSAGE_MAX_UPDATES;
    case TOU_MESSAGE_EXECUTE:
      return message->u.execute.statement.n_params <= TOU_STATEMENT_MAX_PARAMS
             && message->u.execute.idempotency_key.len <= TOU_CODEC_MAX_KEY
             && message->u.execute.max_age_us <= TOU_CODEC_MAX_DURATION_US
             && message->u.execute.deadline_us <= TOU_CODEC_MAX_DURATION_US;
    case TOU_MESSAGE_ENTRIES:
      for (guint i = 0; i < message->u.entries.entries.count; i++)
        if (message->u.entries.entries.items[i].key.len > TOU_CODEC_MAX_KEY)
          return FALSE;
      return message->u.entries.entries.count <= TOU_CODEC_MAX_ENTRIES;
    case TOU_MESSAGE_LEAVING:
      return message->u.leaving.count <= TOU_CODEC_MAX_VMS;
    case TOU_MESSAGE_EXECUTE_REPLY:
      return message->u.reply.retry_after_us <= TOU_CODEC_MAX_DURATION_US;
    case TOU_MESSAGE_CANCEL:
    case TOU_MESSAGE_SUSPECT:
    case TOU_MESSAGE_ENTRIES_REQUEST:
    case TOU_MESSAGE_COUNT:
      break;
    }
  return TRUE;
}

int
tou_message_encode (TouStr *out, const TouMessage *message)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  if ((guint)message->type >= TOU_MESSAGE_COUNT)
    return tou_status_set (TOU_E_INVALID_ARGUMENT, "unknown message type %d",
                           (int)message->type);
  if (!message_fits (message))
    return tou_status_set (TOU_E_MESSAGE_TOO_LARGE,
                           "message of type %d exceeds a limit on the number, "
                           "length or duration of its items",
                           (int)message->type);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_map (&packer, 5);
  put_u64 (&packer, "version", TOU_MESSAGE_VERSION);
  put_u64 (&packer, "type", message->type);
  put_name (&packer, "from", &message->from);
  put_u64 (&packer, "incarnation", message->from_incarnation);
  put_key (&packer, "body");
  pack_body (&packer, message);
  tou_str_init (out, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return TOU_OK;
}
