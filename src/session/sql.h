/**
 * @file sql.h
 * Types of the session protocol: statements, routes, endpoints and results.
 *
 * Their decoders are in platform/.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Borrowed, length-counted bytes. */
typedef struct
{
  const char *data;
  gsize len;
} TouSlice;

/** TRUE if the bytes are those of @a word. */
gboolean tou_slice_is (TouSlice slice, const char *word);

/**
 * TRUE if the bytes can be a field of the line protocol: there are some, and no
 * blanks or control characters among them.
 */
gboolean tou_slice_is_field (TouSlice slice);

typedef enum
{
  TOU_SQL_INVALID,
  TOU_SQL_BEGIN,
  TOU_SQL_COMMIT,
  TOU_SQL_ROLLBACK,
  TOU_SQL_READ,
  TOU_SQL_WRITE,
  TOU_SQL_SET,
  TOU_SQL_PREPARE,
  TOU_SQL_EXECUTE,
  TOU_SQL_DEALLOCATE
} TouSqlKind;

/** A client's statement; the slices point into its text. */
typedef struct
{
  TouSqlKind kind;
  union
  {
    struct
    {
      gboolean read_only;
    } begin;
    struct
    {
      TouSlice name;
      TouSlice value;
    } set;
    struct
    {
      TouSlice name;
      TouSlice shape;
      gboolean writes;
    } prepare;
    struct
    {
      TouSlice name;
      TouSlice arguments;
    } execute;
    struct
    {
      TouSlice name;
    } deallocate;
  } as;
} TouSqlStatement;

/** Error codes in replies of databases and of the proxy. */
typedef enum
{
  TOU_SQL_E_OTHER, /**< a code that is not listed here */
  TOU_SQL_E_BUSY,
  TOU_SQL_E_LAGGING,
  TOU_SQL_E_READ_ONLY,
  TOU_SQL_E_MOVED,
  TOU_SQL_E_TOO_MANY_CONNECTIONS,
  TOU_SQL_E_ABORTED,
  TOU_SQL_E_IN_DOUBT,
  TOU_SQL_E_TIMEOUT,
  TOU_SQL_E_FAILED,
  TOU_SQL_E_UNKNOWN_STATEMENT,
  TOU_SQL_E_UNKNOWN_DATABASE,
  TOU_SQL_E_TOO_LARGE,
  TOU_SQL_E_MALFORMED,
  TOU_SQL_E_UNAUTHORIZED
} TouSqlError;

/** Transaction state of a session. */
typedef enum
{
  TOU_SQL_STATE_IDLE,
  TOU_SQL_STATE_OPEN,
  TOU_SQL_STATE_FAILED
} TouSqlState;

/** A message of a client. */
typedef struct
{
  enum
  {
    TOU_SQL_CLIENT_INVALID,
    TOU_SQL_CLIENT_STARTUP,
    TOU_SQL_CLIENT_QUERY,
    TOU_SQL_CLIENT_TERMINATE
  } kind;
  TouSlice database; /**< STARTUP; the group in a message between nodes */
  TouSlice user;     /**< STARTUP; may be empty */
  TouSlice endpoint; /**< STARTUP between nodes; otherwise empty */
  TouSlice id;       /**< QUERY */
  TouSlice text;     /**< QUERY */
} TouSqlClientMessage;

/** A message of a database. */
typedef struct
{
  enum
  {
    TOU_SQL_REPLY_INVALID,
    TOU_SQL_REPLY_READY,
    TOU_SQL_REPLY_ROW,
    TOU_SQL_REPLY_COMPLETE,
    TOU_SQL_REPLY_ERROR
  } kind;
  TouSqlState state; /**< READY */
  TouLogPos pos;     /**< READY; term 0 if absent */
  TouSqlError error; /**< ERROR */
  TouSlice text;     /**< ROW, COMPLETE, ERROR: the last field */
} TouSqlReply;

/** Status report of a database. */
typedef struct
{
  TouRole role;
  guint64 term;
  TouLogPos received; /**< end of its replication log */
  guint connections;
} TouSqlStatus;

/** How statements for one database name are routed. */
typedef struct
{
  TouName name;
  TouName database; /**< name that clients connect to */
  TouName group;
  TouReadMode mode;
  TouRank rank;
  guint64 max_age_us; /**< 0: no bound */
  guint64 timeout_us; /**< of one statement */
  guint64 target_us;  /**< latency objective of an operation */
  gboolean anonymous; /**< sessions need no API key */
} TouRoute;

/** A team of clients. */
typedef struct
{
  TouName name;
  GRefString *full_name; /**< NULL unless name is shortened */
  double rate_per_s; /**< operations per second, on all nodes; 0: no limit */
  double burst;      /**< operations beyond the rate */
} TouTeam;

/** Limits of a database group. */
typedef struct
{
  TouName name;
  guint connection_limit; /**< per database, over all clients */
  guint sync_replicas;
} TouGroupLimits;

/** One version of the configuration; immutable. */
typedef struct
{
  guint64 version;
  GHashTable *routes; /**< database name to TouRoute */
  GHashTable *groups; /**< group name to TouGroupLimits */
  GHashTable *teams;  /**< name to TouTeam; NULL: clients need no key */
  GHashTable *keys;   /**< API key to TouTeam, borrowed; see access.h */
  guint64 txn_idle_us;
} TouRouting;

/**
 * Copies a QUERY's id and text into @a buffer; @a id and @a text are set to the
 * copies.
 */
void tou_sql_copy_query (GString *buffer, const TouSqlClientMessage *message,
                         TouSlice *id, TouSlice *text);

void tou_routing_destroy (TouRouting *routing);
/** Makes clients need the key of a team; at first there is none. */
void tou_routing_enable_teams (TouRouting *routing);

/**
 * Registration of a database, from its record.
 *
 * Databases and the platform are told the full names; everything else uses the
 * TouName, also between nodes.
 */
typedef struct
{
  TouName id;
  TouName group;
  TouName address;
  TouName failure_domain;
  GRefString *full_id;    /**< NULL unless id is shortened */
  GRefString *full_group; /**< NULL unless group is shortened */
  guint slots;
  gboolean draining;
  TouRole role;
  guint64 started_ms; /**< start time; differs between incarnations of an id */
} TouEndpointInfo;

/** Initialises @a out with a copy of @a other. */
void tou_endpoint_info_copy (TouEndpointInfo *out,
                             const TouEndpointInfo *other);
/** Releases the full names. */
void tou_endpoint_info_clear (TouEndpointInfo *info);

/** Returns the id, of any length. */
const char *tou_endpoint_info_id (const TouEndpointInfo *info);
/** Returns the name of the group, of any length. */
const char *tou_endpoint_info_group (const TouEndpointInfo *info);

/** Owned name/value pairs of a session, in the order of their first SET. */
typedef struct
{
  GPtrArray *names;  /**< of char *; NULL: none */
  GPtrArray *values; /**< of char *; NULL: none */
  gsize bytes;       /**< length of all names and values */
} TouSqlValues;

G_END_DECLS
