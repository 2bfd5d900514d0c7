/**
 * @file types.h
 * Value types shared by all modules.
 *
 * Times are in microseconds; absolute times are on the local monotonic clock.
 */
#pragma once

#include "toucanscale/status.h"
#include "toucanscale/str.h"

G_BEGIN_DECLS

/** Microseconds in a millisecond. */
#define TOU_US_PER_MS G_GUINT64_CONSTANT (1000)
/** Microseconds in a second. */
#define TOU_US_PER_S G_GUINT64_CONSTANT (1000000)

/** Maximum number of groups in one session token; limits its size. */
#define TOU_SESSION_MAX_GROUPS 8

/** Maximum number of endpoints in one group. */
#define TOU_GROUP_MAX_ENDPOINTS 7

/** Maximum number of parameters of one statement. */
#define TOU_STATEMENT_MAX_PARAMS 64

/** Position in the replication log; ordered by term, then position. */
typedef struct
{
  guint64 term;
  guint64 position;
} TouLogPos;

/** Returns a negative, zero or positive value. */
int tou_log_pos_compare (TouLogPos a, TouLogPos b);

/** Priority classes, highest priority first. */
typedef enum
{
  TOU_RANK_URGENT,
  TOU_RANK_REVIEW,
  TOU_RANK_STATUS,
  TOU_RANK_COUNT
} TouRank;

/** How current a statement's data must be. */
typedef enum
{
  TOU_READ_NONE,    /**< a write; runs on the primary */
  TOU_READ_SESSION, /**< must include the writes of the session */
  TOU_READ_MAX_AGE, /**< may be as old as the stated age */
  TOU_READ_FRESH    /**< must include every write acknowledged before the
                       read */
} TouReadMode;

/** Known outcome of a request. */
typedef enum
{
  TOU_OUTCOME_DONE,
  TOU_OUTCOME_NOT_RUN,
  TOU_OUTCOME_UNKNOWN
} TouOutcome;

/** Role that a database reports. */
typedef enum
{
  TOU_ROLE_UNKNOWN,
  TOU_ROLE_PRIMARY,
  TOU_ROLE_REPLICA
} TouRole;

/** Identity of a request or transaction, unique across restarts. */
typedef struct
{
  TouName node;        /**< empty for "none" */
  guint64 incarnation; /**< of the proxy process */
  guint64 sequence;
} TouRequestId;

/** Compares all three parts. */
gboolean tou_request_id_equal (const TouRequestId *a, const TouRequestId *b);

/** Returns FALSE if the id is "none". */
gboolean tou_request_id_is_set (const TouRequestId *id);

/** Hash for GHashTable keys of type TouRequestId. */
guint tou_request_id_hash (gconstpointer id);

/** Equality for GHashTable keys of type TouRequestId. */
gboolean tou_request_id_equal_func (gconstpointer a, gconstpointer b);

/** Writes "node.incarnation.sequence" (hexadecimal numbers) to @a out. */
void tou_request_id_format (TouStr *out, const TouRequestId *id);

/** Parses the text form; fails with TOU_E_INVALID_ARGUMENT. */
int tou_request_id_parse (TouRequestId *out, const char *text, gsize len);

/** Log position that a session has observed in one group. */
typedef struct
{
  TouName group;
  TouLogPos pos;
} TouSessionEntry;

/** Decoded session token. */
typedef struct
{
  guint n_entries;
  TouSessionEntry entries[TOU_SESSION_MAX_GROUPS];
  gboolean overflow; /**< entries were dropped: reads of groups that are
                         not listed must be fresh */
} TouSession;

/** Returns the session's position in @a group, or (0, 0). */
TouLogPos tou_session_get (const TouSession *session, const TouName *group);

/** Raises the session's position in @a group to at least @a pos. */
void tou_session_raise (TouSession *session, const TouName *group,
                        TouLogPos pos);

/** Raises the positions in @a session to at least those in @a other. */
void tou_session_merge (TouSession *session, const TouSession *other);

/** Statement text with text parameters; an absent parameter is SQL NULL. */
typedef struct
{
  TouStr sql;
  guint n_params;
  TouStr *params; /**< owned array */
} TouStatement;

/** Frees the payload and resets the statement. */
void tou_statement_clear (TouStatement *statement);

/** Copies everything; what @a out owned before is not freed. */
void tou_statement_copy (TouStatement *out, const TouStatement *other);

/** Kinds of client requests (design 5.1). */
typedef enum
{
  TOU_REQUEST_STATEMENT,
  TOU_REQUEST_BEGIN,
  TOU_REQUEST_TXN_STATEMENT,
  TOU_REQUEST_COMMIT,
  TOU_REQUEST_ROLLBACK
} TouRequestKind;

/** Client request. */
typedef struct
{
  TouRequestId id;
  TouRequestKind kind;
  TouName group;
  TouRequestId txn; /**< for kinds inside a transaction */
  TouRank rank;
  TouReadMode mode;
  guint64 max_age_us;  /**< for TOU_READ_MAX_AGE */
  guint64 deadline_us; /**< absolute; in messages the remaining time */
  TouStr idempotency_key;
  TouSession session;
  TouStatement statement;
} TouRequest;

/** Frees the payload of the request, not the request itself. */
void tou_request_clear (TouRequest *request);

/** Copies everything; what @a out owned before is not freed. */
void tou_request_copy (TouRequest *out, const TouRequest *other);

/** Answer to a request. */
typedef struct
{
  TouRequestId id;
  int code;
  TouOutcome outcome;
  gboolean replayed; /**< outcome stored by an earlier request with the
                         same idempotency key */
  TouRole role;      /**< role of the endpoint that executed the statement */
  TouName group;     /**< of the endpoint; empty if none was selected */
  TouName endpoint;
  TouName gate;
  TouLogPos pos; /**< position to put into the session token */
  TouRequestId txn;
  guint64 retry_after_us; /**< 0 if unknown */
  TouStr message;         /**< detail of an error */
  TouStr result;          /**< JSON object with columns, rows and tag */
  TouSession session;     /**< merged session, set by the front */
} TouReply;

/** Frees the payload of the reply, not the reply itself. */
void tou_reply_clear (TouReply *reply);

/** Status report of a database. */
typedef struct
{
  TouRole role;
  TouLogPos last;       /**< position of the last record in the log */
  guint64 fence_term;   /**< highest term that the database was fenced with */
  guint64 term_start;   /**< start position of its primary's term */
  guint32 work_clients; /**< proxies with open work connections */
  guint32 connections;  /**< open connections, all clients */
} TouDbReport;

/** One element of the feed between proxies: a store key and its value. */
typedef struct
{
  TouStr key;
  TouStr value;
  guint64 revision; /**< store revision of the last change of the key */
} TouEntry;

/** Frees the payload of the entry, not the entry itself. */
void tou_entry_clear (TouEntry *entry);

/** Copies everything; what @a out owned before is not freed. */
void tou_entry_copy (TouEntry *out, const TouEntry *other);

/** Array of entries; owns them. */
typedef struct
{
  TouEntry *items;
  guint count;
} TouEntryList;

/** Appends an entry with copies of key and value. */
void tou_entry_list_add (TouEntryList *list, const char *key, gsize key_len,
                         const char *value, gsize value_len, guint64 revision);

/** Frees all entries and resets the list. */
void tou_entry_list_clear (TouEntryList *list);

/** State of a VM in the VM list. */
typedef enum
{
  TOU_VM_LIVE,
  TOU_VM_LEAVING
} TouVmState;

/** One row of the platform's VM list. */
typedef struct
{
  TouName name;
  TouName address; /**< "ip:port" of the peer interface, or of the endpoint */
  TouName region;
  TouName failure_domain;
  TouVmState state;
} TouVm;

G_END_DECLS
