/**
 * @file token.h
 * Text form of the session token: "1." and base64url of payload and MAC.
 *
 * The payload is authenticated, not encrypted. All functions are thread-safe.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Length of a token key for crypto_auth, in bytes. */
#define TOU_TOKEN_KEY_BYTES 32

/** Maximum number of accepted keys. */
#define TOU_TOKEN_MAX_KEYS 2

/** Maximum length of the text form; 8 groups with names of 79 bytes take 1,075
 * bytes. */
#define TOU_TOKEN_MAX_LEN 1100

/** Accepted keys of session tokens; the first one signs. */
typedef struct
{
  guint n_keys;
  guint8 keys[TOU_TOKEN_MAX_KEYS][TOU_TOKEN_KEY_BYTES];
} TouTokenKeys;

/** Writes the text form of @a session, signed with the first key. */
int tou_token_encode (TouStr *out, const TouSession *session,
                      const TouTokenKeys *keys);

/**
 * Verifies a token and merges it into @a session, as tou_session_merge () does.
 *
 * Fails with TOU_E_TOKEN_INVALID and leaves @a session unchanged.
 */
int tou_token_merge (TouSession *session, const char *text, gsize len,
                     const TouTokenKeys *keys);

/** Like tou_token_merge (), for tokens separated by commas and spaces. */
int tou_token_merge_list (TouSession *session, const char *text,
                          const TouTokenKeys *keys);

G_END_DECLS
