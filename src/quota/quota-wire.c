#include "quota-wire.h"

/* Numbers of fields: of a message, and of a team in it. */
#define WIRE_FIELDS 5
#define WIRE_ENTRY_FIELDS 5

/* Requests and replies have the same form. */
typedef struct
{
  TouName sender;
  guint64 incarnation;
  guint64 sequence;
  const msgpack_object_array *entries;
} WireMessage;

const char *
tou_quota_cause_name (TouQuotaCause cause)
{
  static const char *const names[TOU_QUOTA_CAUSES]
      = { "enough",   "empty",       "reserved",   "outstanding",
          "starting", "no_majority", "not_issuer", "silent" };

  return cause < TOU_QUOTA_CAUSES ? names[cause] : "unknown";
}

static void
wire_pack_name (msgpack_packer *packer, const TouName *name)
{
  msgpack_pack_str_with_body (packer, name->data, name->len);
}

static void
wire_pack_header (msgpack_packer *packer, guint64 type, const TouName *sender,
                  guint64 incarnation, guint64 sequence, guint n)
{
  msgpack_pack_array (packer, WIRE_FIELDS);
  msgpack_pack_uint64 (packer, type);
  wire_pack_name (packer, sender);
  msgpack_pack_uint64 (packer, incarnation);
  msgpack_pack_uint64 (packer, sequence);
  msgpack_pack_array (packer, n);
}

static void
wire_pack_entry (msgpack_packer *packer, const TouName *team, guint64 a,
                 guint64 b, guint64 c, guint64 d)
{
  msgpack_pack_array (packer, WIRE_ENTRY_FIELDS);
  wire_pack_name (packer, team);
  msgpack_pack_uint64 (packer, a);
  msgpack_pack_uint64 (packer, b);
  msgpack_pack_uint64 (packer, c);
  msgpack_pack_uint64 (packer, d);
}

void
tou_quota_request_encode (msgpack_sbuffer *buffer,
                          const TouQuotaRequest *request)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  wire_pack_header (&packer, TOU_QUOTA_WIRE_REQUEST, &request->holder,
                    request->incarnation, request->sequence, request->n);
  for (guint i = 0; i < request->n; i++)
    wire_pack_entry (&packer, &request->entries[i].team,
                     request->entries[i].want, request->entries[i].held,
                     request->entries[i].returned, request->entries[i].urgent);
}

void
tou_quota_reply_encode (msgpack_sbuffer *buffer, const TouQuotaReply *reply)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  wire_pack_header (&packer, TOU_QUOTA_WIRE_REPLY, &reply->issuer,
                    reply->incarnation, reply->sequence, reply->n);
  for (guint i = 0; i < reply->n; i++)
    wire_pack_entry (&packer, &reply->entries[i].team,
                     reply->entries[i].granted, reply->entries[i].cause,
                     reply->entries[i].retry_us, 0);
}

static gboolean
wire_get_number (guint64 *out, const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  *out = object->via.u64;
  return TRUE;
}

static gboolean
wire_get_name (TouName *out, const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_STR
         && tou_name_set (out, object->via.str.ptr, object->via.str.size)
                == TOU_OK;
}

guint64
tou_quota_wire_type (const msgpack_object *object)
{
  guint64 type;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size == 0
      || !wire_get_number (&type, &object->via.array.ptr[0]))
    return 0;
  return type >= TOU_QUOTA_WIRE_MIN ? type : 0;
}

static gboolean
wire_get_message (WireMessage *out, const msgpack_object *object, guint64 type)
{
  const msgpack_object *fields = object->via.array.ptr;

  if (tou_quota_wire_type (object) != type
      || object->via.array.size != WIRE_FIELDS
      || !wire_get_name (&out->sender, &fields[1])
      || !wire_get_number (&out->incarnation, &fields[2])
      || !wire_get_number (&out->sequence, &fields[3])
      || fields[4].type != MSGPACK_OBJECT_ARRAY
      || fields[4].via.array.size > TOU_QUOTA_MAX_ENTRIES)
    return FALSE;
  out->entries = &fields[4].via.array;
  return TRUE;
}

static gboolean
wire_get_entry (TouName *team, guint64 *a, guint64 *b, guint64 *c, guint64 *d,
                const msgpack_object *object)
{
  const msgpack_object *fields = object->via.array.ptr;

  return object->type == MSGPACK_OBJECT_ARRAY
         && object->via.array.size == WIRE_ENTRY_FIELDS
         && wire_get_name (team, &fields[0]) && wire_get_number (a, &fields[1])
         && wire_get_number (b, &fields[2]) && wire_get_number (c, &fields[3])
         && wire_get_number (d, &fields[4]);
}

gboolean
tou_quota_request_decode (TouQuotaRequest *out, const msgpack_object *object)
{
  WireMessage message;

  if (!wire_get_message (&message, object, TOU_QUOTA_WIRE_REQUEST))
    return FALSE;
  out->holder = message.sender;
  out->incarnation = message.incarnation;
  out->sequence = message.sequence;
  out->n = message.entries->size;
  for (guint i = 0; i < out->n; i++)
    {
      TouQuotaDemand *entry = &out->entries[i];

      if (!wire_get_entry (&entry->team, &entry->want, &entry->held,
                           &entry->returned, &entry->urgent,
                           &message.entries->ptr[i]))
        return FALSE;
    }
  return TRUE;
}

gboolean
tou_quota_reply_decode (TouQuotaReply *out, const msgpack_object *object)
{
  WireMessage message;

  if (!wire_get_message (&message, object, TOU_QUOTA_WIRE_REPLY))
    return FALSE;
  out->issuer = message.sender;
  out->incarnation = message.incarnation;
  out->sequence = message.sequence;
  out->n = message.entries->size;
  for (guint i = 0; i < out->n; i++)
    {
      TouQuotaGrant *entry = &out->entries[i];
      guint64 unused;

      if (!wire_get_entry (&entry->team, &entry->granted, &entry->cause,
                           &entry->retry_us, &unused, &message.entries->ptr[i]))
        return FALSE;
    }
  return TRUE;
}
