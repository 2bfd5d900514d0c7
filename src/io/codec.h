/**
 * @file codec.h
 * Limits and decoding helpers of the msgpack codec (internal).
 *
 * A message is a map {version, type, from, incarnation, body}. Unknown fields
 * are ignored; every known field is checked.
 */
#pragma once

#include "toucanscale/message.h"

#include <msgpack.h>

G_BEGIN_DECLS

/** Maximum nesting depth; messages of this version need 5 levels. */
#define TOU_CODEC_MAX_DEPTH 8

/** Maximum number of entries in one ENTRIES message. */
#define TOU_CODEC_MAX_ENTRIES 65536

/**
 * Maximum number of values in one message, including map keys. An entry takes
 * 7. At about 32 bytes per value, this limits a parsed message to 16 MB.
 */
#define TOU_CODEC_MAX_VALUES (8 * TOU_CODEC_MAX_ENTRIES)

/** Maximum number of VMs in one LEAVING message. */
#define TOU_CODEC_MAX_VMS 16384

/** Maximum length of an idempotency key or an entry's key, in bytes. */
#define TOU_CODEC_MAX_KEY 1024

/** Maximum duration; adding it to a clock value cannot overflow. */
#define TOU_CODEC_MAX_DURATION_US (G_MAXINT64 / 2)

/** Maximum result code. */
#define TOU_CODEC_MAX_CODE 9999

/**
 * Checks that @a data is exactly one well-formed msgpack value within the
 * limits on depth and number of values.
 *
 * msgpack-c allocates an array from the size in its header, before it parses
 * the elements. This check ensures that the elements are present.
 */
gboolean tou_codec_validate (const char *data, gsize len);

/** Decoding state. */
typedef struct
{
  const char *bad_field; /**< first invalid field, or NULL */
} TouCodecReader;

/** Records @a name as the invalid field unless one is already recorded. */
void tou_codec_fail (TouCodecReader *reader, const char *name);

/** Returns the value of @a name, or NULL if it is absent or nil. */
const msgpack_object *tou_codec_find (const msgpack_object *map,
                                      const char *name);

/* Each of these functions records the field as invalid if it is missing or has
   an invalid value. */

guint64 tou_codec_get_u64 (TouCodecReader *reader, const msgpack_object *map,
                           const char *name, guint64 max);
gboolean tou_codec_get_bool (TouCodecReader *reader, const msgpack_object *map,
                             const char *name);

/** Reads a possibly empty name without control characters. */
void tou_codec_get_name (TouCodecReader *reader, const msgpack_object *map,
                         const char *name, TouName *out);

/** Reads a string of at most @a max bytes; an absent field is not an error. */
void tou_codec_get_str (TouCodecReader *reader, const msgpack_object *map,
                        const char *name, gsize max, TouStr *out);

/** Returns a map, or NULL; an absent field is not an error. */
const msgpack_object *tou_codec_get_map (TouCodecReader *reader,
                                         const msgpack_object *map,
                                         const char *name);

/** Returns an array of at most @a max elements, or NULL. */
const msgpack_object_array *tou_codec_get_array (TouCodecReader *reader,
                                                 const msgpack_object *map,
                                                 const char *name, guint max);

/** Decodes a body into @a message, whose type is set. */
void tou_codec_read_body (TouCodecReader *reader, const msgpack_object *body,
                          TouMessage *message);

G_END_DECLS
