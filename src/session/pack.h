/**
 * @file pack.h
 * Names and numbers in messages between nodes.
 */
#pragma once

#include "toucanscale/status.h"
#include "toucanscale/str.h"

#include <msgpack.h>

G_BEGIN_DECLS

static inline void
tou_pack_name (msgpack_packer *packer, const TouName *name)
{
  msgpack_pack_str_with_body (packer, name->data, name->len);
}

/** @return FALSE if @a object is no name */
static inline gboolean
tou_unpack_name (TouName *out, const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_STR
         && tou_name_set (out, object->via.str.ptr, object->via.str.size)
                == TOU_OK;
}

/** @return FALSE if @a object is no unsigned number */
static inline gboolean
tou_unpack_number (guint64 *out, const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  *out = object->via.u64;
  return TRUE;
}

G_END_DECLS
