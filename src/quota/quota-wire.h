/**
 * @file quota-wire.h
 * Messages between holders and issuers of credit, and their msgpack codec.
 *
 * A message is an array that begins with its type, a number that no version of
 * heartbeats has.
 */
#pragma once

#include "toucanscale/types.h"

#include <msgpack.h>

G_BEGIN_DECLS

/** Types of messages; all are at least TOU_QUOTA_WIRE_MIN. */
#define TOU_QUOTA_WIRE_MIN 100
#define TOU_QUOTA_WIRE_REQUEST 100
#define TOU_QUOTA_WIRE_REPLY 101

/** Maximum number of teams in a message. */
#define TOU_QUOTA_MAX_ENTRIES 48

/** Why an issuer grants less than was requested. */
typedef enum
{
  TOU_QUOTA_ENOUGH,      /**< it granted all */
  TOU_QUOTA_EMPTY,       /**< its share of the limit is used up */
  TOU_QUOTA_RESERVED,    /**< what is left is for urgent operations */
  TOU_QUOTA_OUTSTANDING, /**< too much of its credit is neither used nor
                            expired */
  TOU_QUOTA_STARTING,    /**< it has begun to issue less than 1 s ago */
  TOU_QUOTA_NO_MAJORITY, /**< it does not hear a majority of the voters */
  TOU_QUOTA_NOT_ISSUER,  /**< its configuration has no such limit */
  TOU_QUOTA_SILENT,      /**< not sent: the issuer does not answer */
  TOU_QUOTA_CAUSES
} TouQuotaCause;

/** Returns the name of a cause in logs and dumps. */
const char *tou_quota_cause_name (TouQuotaCause cause);

/** A team in a request. */
typedef struct
{
  TouName team;
  guint64 want;
  guint64 urgent;   /**< of these, for urgent operations that wait */
  guint64 held;     /**< unused credit of this issuer, without returned */
  guint64 returned; /**< unused credit that the holder gives up */
} TouQuotaDemand;

typedef struct
{
  TouName holder;
  guint64 incarnation; /**< of the holder's process */
  guint64 sequence;    /**< increases with each request of the process */
  guint n;
  TouQuotaDemand entries[TOU_QUOTA_MAX_ENTRIES];
} TouQuotaRequest;

/** A team in a reply. */
typedef struct
{
  TouName team;
  guint64 granted;
  guint64 cause;    /**< TouQuotaCause */
  guint64 retry_us; /**< if not granted in full: time until more is expected */
} TouQuotaGrant;

typedef struct
{
  TouName issuer;
  guint64 incarnation; /**< of the request */
  guint64 sequence;    /**< of the request */
  guint n;
  TouQuotaGrant entries[TOU_QUOTA_MAX_ENTRIES];
} TouQuotaReply;

/** Appends an encoded message to @a buffer. */
void tou_quota_request_encode (msgpack_sbuffer *buffer,
                               const TouQuotaRequest *request);
void tou_quota_reply_encode (msgpack_sbuffer *buffer,
                             const TouQuotaReply *reply);

/** Returns the type of a message, or 0 if it is not one of the quota. */
guint64 tou_quota_wire_type (const msgpack_object *object);

/** Decode a message. @return FALSE if it is malformed */
gboolean tou_quota_request_decode (TouQuotaRequest *out,
                                   const msgpack_object *object);
gboolean tou_quota_reply_decode (TouQuotaReply *out,
                                 const msgpack_object *object);

G_END_DECLS
