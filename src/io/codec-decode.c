#include "codec.h"

/* Checked before any other field: other versions may have other fields. */
static int
check_version (const msgpack_object *map)
{
  const msgpack_object *version = tou_codec_find (map, "version");

  if (version == NULL || version->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return tou_status_set (TOU_E_MESSAGE_INVALID, "message has no version");
  if (version->via.u64 != TOU_MESSAGE_VERSION)
    return tou_status_set (TOU_E_MESSAGE_VERSION,
                           "message version %" G_GUINT64_FORMAT " is not %d",
                           version->via.u64, TOU_MESSAGE_VERSION);
  return TOU_OK;
}

static int
decode_map (TouMessage **out, const msgpack_object *map)
{
  TouCodecReader reader = { NULL };
  const msgpack_object *body;
  TouMessage *message;
  int status = check_version (map);

  if (status != TOU_OK)
    return status;
  message = tou_message_create (
      tou_codec_get_u64 (&reader, map, "type", TOU_MESSAGE_COUNT - 1));
  tou_codec_get_name (&reader, map, "from", &message->from);
  if (message->from.len == 0)
    tou_codec_fail (&reader, "from");
  message->from_incarnation
      = tou_codec_get_u64 (&reader, map, "incarnation", G_MAXUINT64);
  body = tou_codec_get_map (&reader, map, "body");
  if (body == NULL)
    tou_codec_fail (&reader, "body");
  if (reader.bad_field == NULL)
    tou_codec_read_body (&reader, body, message);
  if (reader.bad_field != NULL)
    {
      tou_message_destroy (message);
      return tou_status_set (TOU_E_MESSAGE_INVALID,
                             "message field \"%s\" is missing or invalid",
                             reader.bad_field);
    }
  *out = message;
  return TOU_OK;
}

int
tou_message_decode (TouMessage **out, const char *data, gsize len,
                    gsize max_len)
{
  msgpack_unpacked unpacked;
  gsize offset = 0;
  int status;

  if (len > max_len)
    return tou_status_set (TOU_E_MESSAGE_TOO_LARGE,
                           "message of %" G_GSIZE_FORMAT
                           " bytes exceeds the limit of %" G_GSIZE_FORMAT,
                           len, max_len);
  if (!tou_codec_validate (data, len))
    return tou_status_set (TOU_E_MESSAGE_INVALID,
                           "message is not a single msgpack value "
                           "within the limits");
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, len, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_MAP)
    status = decode_map (out, &unpacked.data);
  else
    status = tou_status_set (TOU_E_MESSAGE_INVALID,
                             "message is not a msgpack map");
  msgpack_unpacked_destroy (&unpacked);
  return status;
}
