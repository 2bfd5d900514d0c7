#include "codec.h"

#include <string.h>

/* First character that is not a control character; names have none below. */
#define CODEC_FIRST_PRINTABLE 0x20

void
tou_codec_fail (TouCodecReader *reader, const char *name)
{
  if (reader->bad_field == NULL)
    reader->bad_field = name;
}

const msgpack_object *
tou_codec_find (const msgpack_object *map, const char *name)
{
  gsize len = strlen (name);

  for (guint32 i = 0; i < map->via.map.size; i++)
    {
      const msgpack_object_kv *pair = &map->via.map.ptr[i];

      if (pair->key.type == MSGPACK_OBJECT_STR && pair->key.via.str.size == len
          && memcmp (pair->key.via.str.ptr, name, len) == 0)
        return pair->val.type == MSGPACK_OBJECT_NIL ? NULL : &pair->val;
    }
  return NULL;
}

guint64
tou_codec_get_u64 (TouCodecReader *reader, const msgpack_object *map,
                   const char *name, guint64 max)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value == NULL || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || value->via.u64 > max)
    {
      tou_codec_fail (reader, name);
      return 0;
    }
  return value->via.u64;
}

gboolean
tou_codec_get_bool (TouCodecReader *reader, const msgpack_object *map,
                    const char *name)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value == NULL || value->type != MSGPACK_OBJECT_BOOLEAN)
    {
      tou_codec_fail (reader, name);
      return FALSE;
    }
  return value->via.boolean;
}

void
tou_codec_get_name (TouCodecReader *reader, const msgpack_object *map,
                    const char *name, TouName *out)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value == NULL || value->type != MSGPACK_OBJECT_STR
      || value->via.str.size > TOU_NAME_MAX)
    {
      tou_codec_fail (reader, name);
      return;
    }
  for (guint32 i = 0; i < value->via.str.size; i++)
    if ((guint8)value->via.str.ptr[i] < CODEC_FIRST_PRINTABLE)
      {
        tou_codec_fail (reader, name);
        return;
      }
  tou_name_set (out, value->via.str.ptr, value->via.str.size);
}

void
tou_codec_get_str (TouCodecReader *reader, const msgpack_object *map,
                   const char *name, gsize max, TouStr *out)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value == NULL)
    return;
  if (value->type != MSGPACK_OBJECT_STR || value->via.str.size > max)
    tou_codec_fail (reader, name);
  else
    tou_str_init (out, value->via.str.ptr, value->via.str.size);
}

const msgpack_object *
tou_codec_get_map (TouCodecReader *reader, const msgpack_object *map,
                   const char *name)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value != NULL && value->type != MSGPACK_OBJECT_MAP)
    {
      tou_codec_fail (reader, name);
      return NULL;
    }
  return value;
}

const msgpack_object_array *
tou_codec_get_array (TouCodecReader *reader, const msgpack_object *map,
                     const char *name, guint max)
{
  const msgpack_object *value = tou_codec_find (map, name);

  if (value == NULL || value->type != MSGPACK_OBJECT_ARRAY
      || value->via.array.size > max)
    {
      tou_codec_fail (reader, name);
      return NULL;
    }
  return &value->via.array;
}
