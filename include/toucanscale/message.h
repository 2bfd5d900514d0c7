/**
 * @file message.h
 * Messages between proxies, and their msgpack codec.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Version of the message format; other versions are rejected. */
#define TOU_MESSAGE_VERSION 1

/** Maximum number of member updates in one message. */
#define TOU_MESSAGE_MAX_UPDATES 16

/** States of a proxy; at equal incarnation the higher value overrides. */
typedef enum
{
  TOU_MEMBER_ALIVE,
  TOU_MEMBER_LEAVING,
  TOU_MEMBER_SUSPECT,
  TOU_MEMBER_DEAD
} TouMemberState;

/** Membership update about one proxy, distributed by gossip. */
typedef struct
{
  TouName name;
  TouName address; /**< "ip:port" of the peer interface */
  TouName region;
  TouName failure_domain;
  TouMemberState state;
  guint64 incarnation;
} TouMemberUpdate;

/** Payload of PING, PING_ACK and PING_REQ. */
typedef struct
{
  guint64 sequence;
  TouName target;        /**< PING_REQ: proxy to ping; PING_ACK: the one
                            that answered */
  guint64 feed_revision; /**< the sender has the entries up to it */
  guint n_updates;
  TouMemberUpdate updates[TOU_MESSAGE_MAX_UPDATES];
} TouPing;

/** Whether an observer suspects the primary of a group. */
typedef struct
{
  TouName group;
  guint64 term;       /**< term in the observer's copy of the record */
  gboolean suspected; /**< FALSE retracts an earlier suspicion */
} TouSuspect;

/** Entries with revisions in (from, to]. */
typedef struct
{
  guint64 from;
  guint64 to;
  TouEntryList entries;
} TouEntries;

/** Message types (design 4); the values are part of the wire format. */
typedef enum
{
  TOU_MESSAGE_PING,
  TOU_MESSAGE_PING_ACK,
  TOU_MESSAGE_PING_REQ,
  TOU_MESSAGE_EXECUTE,
  TOU_MESSAGE_EXECUTE_REPLY,
  TOU_MESSAGE_CANCEL,
  TOU_MESSAGE_SUSPECT,
  TOU_MESSAGE_ENTRIES,
  TOU_MESSAGE_ENTRIES_REQUEST,
  TOU_MESSAGE_LEAVING,
  TOU_MESSAGE_COUNT
} TouMessageType;

/** A message; type selects the union member. */
typedef struct
{
  TouMessageType type;
  TouName from;             /**< sending proxy */
  guint64 from_incarnation; /**< of the sending process */
  union
  {
    TouPing ping;          /**< PING, PING_ACK, PING_REQ */
    TouRequest execute;    /**< EXECUTE; deadline_us is remaining time */
    TouReply reply;        /**< EXECUTE_REPLY */
    TouRequestId cancel;   /**< CANCEL */
    TouSuspect suspect;    /**< SUSPECT */
    TouEntries entries;    /**< ENTRIES */
    guint64 entries_after; /**< ENTRIES_REQUEST: feed revision of sender */
    struct
    {
      guint count;
      TouVm *vms; /**< owned */
    } leaving;    /**< LEAVING: VMs and endpoints to withdraw as one batch */
  } u;
} TouMessage;

/** Allocates an empty message of @a type. */
TouMessage *tou_message_create (TouMessageType type);

/** Frees the message with its payload; NULL is ignored. */
void tou_message_destroy (TouMessage *message);

/** Encodes @a message; @a out is owned by the caller. */
int tou_message_encode (TouStr *out, const TouMessage *message);

/**
 * Decodes @a data and checks type and length of every field.
 *
 * Fails with TOU_E_MESSAGE_INVALID, TOU_E_MESSAGE_VERSION or
 * TOU_E_MESSAGE_TOO_LARGE (more than @a max_len bytes).
 */
int tou_message_decode (TouMessage **out, const char *data, gsize len,
                        gsize max_len);

G_END_DECLS
