/**
 * @file status.h
 * Numbered result codes and the last error message of the calling thread.
 *
 * Functions return one of these codes as int; 0 is success. docs/errors.md is
 * generated from TOU_STATUS_TABLE.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * The table of result codes: X (NAME, number, HTTP status, text).
 *
 * The numbers are part of the public interface and are never reused.
 */
#define TOU_STATUS_TABLE(X)                                                    \
  X (OK, 0, 200, "success")                                                    \
  X (E_INVALID_ARGUMENT, 100, 400, "invalid argument")                         \
  X (E_INVALID_JSON, 101, 400, "body is not valid JSON of the expected shape") \
  X (E_BODY_TOO_LARGE, 102, 413, "body exceeds the size limit")                \
  X (E_STATEMENT_TOO_LONG, 103, 413, "statement exceeds the length limit")     \
  X (E_HEADER_TOO_LARGE, 104, 431, "header exceeds the size limit")            \
  X (E_UNKNOWN_GROUP, 105, 404, "database group does not exist")               \
  X (E_UNKNOWN_TXN, 106, 404, "transaction does not exist")                    \
  X (E_KEY_REUSED, 107, 422, "idempotency key used for another request")       \
  X (E_UNAUTHORIZED, 108, 401, "credentials are missing or wrong")             \
  X (E_TOKEN_INVALID, 109, 400, "session token is malformed or forged")        \
  X (E_TOKEN_DISCARDED, 110, 409, "session token names a discarded position")  \
  X (E_TXN_BUSY, 111, 409, "transaction already runs a statement")             \
  X (E_QUEUE_FULL, 200, 503, "queue of this rank is full")                     \
  X (E_DEADLINE, 201, 503, "deadline cannot be met")                           \
  X (E_RING_FULL, 202, 503, "internal ring is full")                           \
  X (E_TOO_MANY_CONNECTIONS, 203, 503, "connection limit reached")             \
  X (E_TXN_LIMIT, 204, 503, "limit of open transactions reached")              \
  X (E_RETRY_BUDGET, 205, 503, "retry budget is exhausted")                    \
  X (E_NO_GATE, 300, 503, "no proxy can serve this group")                     \
  X (E_GATE_NO_PRIMARY, 301, 503, "the gate cannot reach the primary")         \
  X (E_DRAINING, 302, 503, "proxy is shutting down")                           \
  X (E_NOT_READY, 303, 503, "proxy has no current configuration")              \
  X (E_NO_ENDPOINT, 304, 503, "no endpoint can serve this request")            \
  X (E_TOO_STALE, 305, 503, "no endpoint satisfies the stated age")            \
  X (E_UNCONFIRMED, 400, 504, "durability was not confirmed in time")          \
  X (E_CONNECTION_LOST, 401, 502, "connection to the endpoint was lost")       \
  X (E_TXN_LOST, 402, 502, "transaction was lost")                             \
  X (E_TERM_CHANGED, 403, 502, "primary was replaced during the request")      \
  X (E_GATE_LOST, 404, 502, "the gate failed during the request")              \
  X (E_STATEMENT_REJECTED, 500, 422, "database rejected the statement")        \
  X (E_NOT_PRIMARY, 501, 503, "endpoint is not the primary of this term")      \
  X (E_TXN_ABORTED, 502, 409, "transaction is aborted, roll it back")          \
  X (E_CONFLICT, 600, 409, "setting was changed by somebody else")             \
  X (E_STORE_DOWN, 601, 503, "key-value store does not answer")                \
  X (E_STORE_UNKNOWN, 602, 504, "outcome of the store call is unknown")        \
  X (E_CONFIG_INVALID, 603, 422, "configuration value is invalid")             \
  X (E_REASON_MISSING, 604, 422, "exception has no written reason")            \
  X (E_MESSAGE_INVALID, 700, 400, "message is malformed")                      \
  X (E_MESSAGE_VERSION, 701, 400, "message version is not supported")          \
  X (E_MESSAGE_TOO_LARGE, 702, 413, "message exceeds the size limit")          \
  X (E_NO_MEMORY, 800, 500, "out of memory")                                   \
  X (E_IO, 801, 500, "input or output failed")                                 \
  X (E_SETTING_INVALID, 802, 500, "setting is outside its permitted range")    \
  X (E_NOT_FOUND, 803, 404, "not found")                                       \
  X (E_LIMIT, 804, 500, "internal limit reached")

/** Result codes; 0 is success. */
typedef enum
{
/** Expands a row of the table to an enumerator. */
#define TOU_STATUS_ENUM(name, number, http, text) TOU_##name = (number),
  TOU_STATUS_TABLE (TOU_STATUS_ENUM)
#undef TOU_STATUS_ENUM
} TouStatus;

/** Returns the name of @a code without its prefix, or "UNKNOWN". */
const char *tou_status_name (int code);

/** Returns the fixed text of @a code. */
const char *tou_status_text (int code);

/** Returns the HTTP status that is sent to clients for @a code. */
guint tou_status_http (int code);

/** Sets the last message of this thread and returns @a code. */
int tou_status_set (int code, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** Returns the last message of this thread; valid until the next
 * tou_status_set (). */
const char *tou_status_message (void);

G_END_DECLS
