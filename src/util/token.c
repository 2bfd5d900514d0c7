#include "toucanscale/token.h"

#include <sodium.h>

#include <string.h>

/* Format version; part of the text prefix and of the authenticated payload. */
#define TOU_TOKEN_VERSION '1'
#define TOU_TOKEN_PREFIX_LEN 2

#define TOU_TOKEN_FLAG_OVERFLOW 1

/* Size of term and position of one entry. */
#define TOU_TOKEN_POS_BYTES 16

/* Version, flags and count, then per entry a length-prefixed name and its
   position. */
#define TOU_TOKEN_MAX_PAYLOAD                                                  \
  (3 + TOU_SESSION_MAX_GROUPS * (1 + TOU_NAME_MAX + TOU_TOKEN_POS_BYTES))

#define TOU_TOKEN_MAX_BYTES (TOU_TOKEN_MAX_PAYLOAD + crypto_auth_BYTES)

#define TOU_TOKEN_BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING

G_STATIC_ASSERT (TOU_TOKEN_KEY_BYTES == crypto_auth_KEYBYTES);
G_STATIC_ASSERT (TOU_TOKEN_PREFIX_LEN + (TOU_TOKEN_MAX_BYTES * 4 + 2) / 3
                 <= TOU_TOKEN_MAX_LEN);

/* Read position in a payload. */
typedef struct
{
  const guint8 *data;
  gsize remaining;
} TokenReader;

static gsize
token_put_u64 (guint8 *out, guint64 value)
{
  guint64 big_endian = GUINT64_TO_BE (value);

  memcpy (out, &big_endian, sizeof big_endian);
  return sizeof big_endian;
}

static gsize
token_write (guint8 *out, const TouSession *session)
{
  gsize len = 0;

  out[len++] = TOU_TOKEN_VERSION;
  out[len++] = session->overflow ? TOU_TOKEN_FLAG_OVERFLOW : 0;
  out[len++] = (guint8)session->n_entries;
  for (guint i = 0; i < session->n_entries; i++)
    {
      const TouSessionEntry *entry = &session->entries[i];

      out[len++] = entry->group.len;
      memcpy (out + len, entry->group.data, entry->group.len);
      len += entry->group.len;
      len += token_put_u64 (out + len, entry->pos.term);
      len += token_put_u64 (out + len, entry->pos.position);
    }
  return len;
}

int
tou_token_encode (TouStr *out, const TouSession *session,
                  const TouTokenKeys *keys)
{
  guint8 bytes[TOU_TOKEN_MAX_BYTES];
  char text[TOU_TOKEN_MAX_LEN];
  gsize len;

  if (keys->n_keys == 0)
    return tou_status_set (TOU_E_INVALID_ARGUMENT, "no session key is set");
  len = token_write (bytes, session);
  crypto_auth (bytes + len, bytes, len, keys->keys[0]);
  text[0] = TOU_TOKEN_VERSION;
  text[1] = '.';
  sodium_bin2base64 (text + TOU_TOKEN_PREFIX_LEN,
                     sizeof text - TOU_TOKEN_PREFIX_LEN, bytes,
                     len + crypto_auth_BYTES, TOU_TOKEN_BASE64);
  tou_str_init_c (out, text);
  return TOU_OK;
}

static gboolean
token_get_u64 (TokenReader *reader, guint64 *out)
{
  guint64 big_endian;

  if (reader->remaining < sizeof big_endian)
    return FALSE;
  memcpy (&big_endian, reader->data, sizeof big_endian);
  *out = GUINT64_FROM_BE (big_endian);
  reader->data += sizeof big_endian;
  reader->remaining -= sizeof big_endian;
  return TRUE;
}

static gboolean
token_get_byte (TokenReader *reader, guint8 *out)
{
  if (reader->remaining == 0)
    return FALSE;
  *out = *reader->data++;
  reader->remaining--;
  return TRUE;
}

static gboolean
token_get_entry (TokenReader *reader, TouSessionEntry *entry)
{
  guint8 len;

  if (!token_get_byte (reader, &len) || len > reader->remaining
      || tou_name_set (&entry->group, (const char *)reader->data, len)
             != TOU_OK)
    return FALSE;
  reader->data += len;
  reader->remaining -= len;
  return token_get_u64 (reader, &entry->pos.term)
         && token_get_u64 (reader, &entry->pos.position);
}

/* Parses a payload whose MAC was verified. It is still checked, because another
   program may use the same key for a payload of another format. */
static gboolean
token_read (TouSession *out, TokenReader reader)
{
  guint8 version;
  guint8 flags;
  guint8 count;

  if (!token_get_byte (&reader, &version) || version != TOU_TOKEN_VERSION
      || !token_get_byte (&reader, &flags) || !token_get_byte (&reader, &count)
      || count > TOU_SESSION_MAX_GROUPS)
    return FALSE;
  out->overflow = (flags & TOU_TOKEN_FLAG_OVERFLOW) != 0;
  out->n_entries = count;
  for (guint i = 0; i < count; i++)
    if (!token_get_entry (&reader, &out->entries[i]))
      return FALSE;
  return reader.remaining == 0;
}

static gboolean
token_is_authentic (const guint8 *bytes, gsize payload_len,
                    const TouTokenKeys *keys)
{
  for (guint i = 0; i < keys->n_keys; i++)
    if (crypto_auth_verify (bytes + payload_len, bytes, payload_len,
                            keys->keys[i])
        == 0)
      return TRUE;
  return FALSE;
}

int
tou_token_merge (TouSession *session, const char *text, gsize len,
                 const TouTokenKeys *keys)
{
  guint8 bytes[TOU_TOKEN_MAX_BYTES];
  TouSession parsed = { 0 };
  gsize n_bytes;
  gsize payload_len;

  if (len <= TOU_TOKEN_PREFIX_LEN || len > TOU_TOKEN_MAX_LEN
      || text[0] != TOU_TOKEN_VERSION || text[1] != '.'
      || sodium_base642bin (bytes, sizeof bytes, text + TOU_TOKEN_PREFIX_LEN,
                            len - TOU_TOKEN_PREFIX_LEN, NULL, &n_bytes, NULL,
                            TOU_TOKEN_BASE64)
             != 0
      || n_bytes < crypto_auth_BYTES)
    return tou_status_set (TOU_E_TOKEN_INVALID, "session token is malformed");
  payload_len = n_bytes - crypto_auth_BYTES;
  if (!token_is_authentic (bytes, payload_len, keys))
    return tou_status_set (TOU_E_TOKEN_INVALID,
                           "session token is not signed with an accepted key");
  if (!token_read (&parsed, (TokenReader){ bytes, payload_len }))
    return tou_status_set (TOU_E_TOKEN_INVALID, "session token is malformed");
  tou_session_merge (session, &parsed);
  return TOU_OK;
}

int
tou_token_merge_list (TouSession *session, const char *text,
                      const TouTokenKeys *keys)
{
  TouSession merged = *session;

  while (*text != '\0')
    {
      gsize len = strcspn (text, ", ");
      int status
          = len > 0 ? tou_token_merge (&merged, text, len, keys) : TOU_OK;

      if (status != TOU_OK)
        return status;
      text += len;
      text += strspn (text, ", ");
    }
  *session = merged;
  return TOU_OK;
}
