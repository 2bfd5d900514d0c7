/**
 * @file event.h
 * Input events and output actions of the decision core.
 */
#pragma once

#include "toucanscale/message.h"

G_BEGIN_DECLS

/** Key-value store operations. */
typedef enum
{
  TOU_STORE_RANGE, /**< all keys with a prefix */
  TOU_STORE_GET,   /**< one key */
  TOU_STORE_CAS,   /**< put if the key's revision is as expected */
  TOU_STORE_LEASE_GRANT,
  TOU_STORE_LEASE_KEEPALIVE,
  TOU_STORE_WATCH, /**< changes of a prefix after a revision */
  TOU_STORE_WATCH_CANCEL
} TouStoreOp;

/** Call to the key-value store; fields the operation does not use are 0. */
typedef struct
{
  guint64 id; /**< unique in this core; a watch keeps its id */
  TouStoreOp op;
  TouStr key;                /**< key or prefix */
  TouStr value;              /**< CAS */
  guint64 expected_revision; /**< CAS; 0: the key must not exist */
  guint64 after_revision;    /**< WATCH */
  guint64 lease;             /**< CAS (0: none), LEASE_KEEPALIVE */
  guint64 ttl_us;            /**< LEASE_GRANT */
} TouStoreCall;

/** Known outcome of a store call. */
typedef enum
{
  TOU_STORE_OK,       /**< the store answered */
  TOU_STORE_FAILED,   /**< the call had no effect */
  TOU_STORE_UNKNOWN,  /**< no answer; the call may have taken effect */
  TOU_STORE_COMPACTED /**< WATCH: the revision was compacted; read the
                          range again */
} TouStoreStatus;

/** Answer to a store call, or a batch of changes from a watch. */
typedef struct
{
  guint64 id;
  TouStoreOp op;
  TouStoreStatus status;
  gboolean succeeded;   /**< CAS: the revision matched, value written */
  guint64 revision;     /**< store revision of the answer */
  TouEntryList entries; /**< RANGE, GET, WATCH; CAS failure: current value */
  guint64 lease;        /**< LEASE_GRANT */
  guint64 ttl_us;       /**< LEASE_KEEPALIVE; 0: the lease expired */
} TouStoreResult;

/** Frees the payload of the call, not the call itself. */
void tou_store_call_clear (TouStoreCall *call);

/** Frees the payload of the result, not the result itself. */
void tou_store_result_clear (TouStoreResult *result);

/** An operator's change of one configuration entry. */
typedef struct
{
  TouStr key;   /**< without the store prefix, e.g. "config/group/a" */
  TouStr value; /**< JSON; absent deletes the entry */
  guint64 expected_revision; /**< 0: the entry must not exist */
  TouStr author;
  TouStr reason;   /**< required for exceptions */
  guint64 time_ms; /**< wall-clock time, milliseconds since the epoch */
} TouConfigChange;

/** Frees the payload of the change, not the change itself. */
void tou_config_change_clear (TouConfigChange *change);

/** How a statement is executed on a work connection. */
typedef enum
{
  TOU_DB_READ,       /**< single statement in a read-only transaction */
  TOU_DB_WRITE,      /**< single statement, committed */
  TOU_DB_WRITE_ONCE, /**< write with an idempotency key */
  TOU_DB_BEGIN,
  TOU_DB_TXN_STATEMENT,
  TOU_DB_COMMIT,
  TOU_DB_ROLLBACK
} TouDbExecuteKind;

/** Control operations of a database (design 3.1). */
typedef enum
{
  TOU_DB_REPORT,
  TOU_DB_FENCE,
  TOU_DB_PROMOTE,
  TOU_DB_FOLLOW
} TouDbControlOp;

/** Known outcome of a statement that a gate sent to a database. */
typedef enum
{
  TOU_DB_DONE,     /**< executed; committed if it writes */
  TOU_DB_REJECTED, /**< database error; rolled back */
  TOU_DB_NOT_SENT, /**< not sent, or certainly rolled back */
  TOU_DB_LOST      /**< connection lost; may have taken effect */
} TouDbOutcome;

/** Type of a TouEvent; selects the union member. */
typedef enum
{
  TOU_EVENT_TICK,
  TOU_EVENT_PEER,
  TOU_EVENT_DB_OPENED,
  TOU_EVENT_DB_CLOSED,
  TOU_EVENT_DB_RESULT,
  TOU_EVENT_DB_REPORT,
  TOU_EVENT_STORE,
  TOU_EVENT_VM_LIST,
  TOU_EVENT_REQUEST,
  TOU_EVENT_REQUEST_CANCELLED,
  TOU_EVENT_CONFIG_CHANGE,
  TOU_EVENT_DUMP,
  TOU_EVENT_METRICS,
  TOU_EVENT_DRAIN,
  TOU_EVENT_COUNT
} TouEventType;

/** Input event of the core; owns its payload. */
typedef struct
{
  TouEventType type;
  union
  {
    TouMessage *peer; /**< owned */
    struct
    {
      guint64 conn;
    } db_opened;
    struct
    {
      guint64 conn;
      gboolean refused; /**< too many connections (SQLSTATE 53300) */
      TouStr message;
    } db_closed;
    struct
    {
      guint64 conn;
      guint64 sequence;
      TouDbOutcome outcome;
      int code;           /**< TouStatus; TOU_OK when done */
      gboolean replayed;  /**< WRITE_ONCE: outcome stored earlier for the key */
      TouLogPos pos;      /**< log position after the statement */
      guint64 service_us; /**< execution time at the endpoint */
      TouStr result;      /**< JSON: columns, rows, tag */
      TouStr message;
    } db_result;
    struct
    {
      guint64 conn;
      guint64 sequence;
      gboolean granted; /**< FENCE, PROMOTE, FOLLOW */
      TouDbReport report;
    } db_report;
    TouStoreResult store;
    struct
    {
      gboolean ok;
      guint count;
      TouVm *vms; /**< owned */
    } vm_list;
    struct
    {
      guint64 caller;     /**< set by the driver, copied to the reply */
      TouRequest request; /**< id unset; deadline_us is absolute */
    } request;
    struct
    {
      guint64 caller;
    } cancelled;
    struct
    {
      guint64 caller;
      TouConfigChange change;
    } config_change;
    struct
    {
      guint64 caller;
    } query; /**< DUMP, METRICS */
  } u;
} TouEvent;

/** Frees the payload of the event, not the event itself. */
void tou_event_clear (TouEvent *event);

/** Type of a TouAction; selects the union member. */
typedef enum
{
  TOU_ACTION_SEND,
  TOU_ACTION_DB_OPEN,
  TOU_ACTION_DB_EXECUTE,
  TOU_ACTION_DB_CONTROL,
  TOU_ACTION_DB_CLOSE,
  TOU_ACTION_STORE,
  TOU_ACTION_VM_LIST,
  TOU_ACTION_REPLY,
  TOU_ACTION_CONFIG_REPLY,
  TOU_ACTION_TEXT_REPLY,
  TOU_ACTION_LOG,
  TOU_ACTION_READY,
  TOU_ACTION_DRAINED,
  TOU_ACTION_COUNT
} TouActionType;

/** Output action of the core; owns its payload. */
typedef struct
{
  TouActionType type;
  union
  {
    struct
    {
      TouName node;
      TouName address;
      TouMessage *message; /**< owned */
    } send;
    struct
    {
      guint64 conn; /**< assigned by the core, never reused */
      TouName endpoint;
      TouName address;
      gboolean control; /**< TRUE: used for control operations only */
      guint64 term;     /**< work connections: term in which writes are valid */
    } db_open;
    struct
    {
      guint64 conn;
      guint64 sequence;
      TouDbExecuteKind kind;
      TouStatement statement;
      TouStr idempotency_key;
      TouStr fingerprint;
      guint64 key_ttl_us;
    } db_execute;
    struct
    {
      guint64 conn;
      guint64 sequence;
      TouDbControlOp op;
      guint64 term;
      TouStr attempt;
      TouName primary_endpoint; /**< FOLLOW */
      TouName primary_address;  /**< FOLLOW */
      guint64 start;            /**< FOLLOW: start position of term */
    } db_control;
    struct
    {
      guint64 conn;
    } db_close;
    TouStoreCall store;
    struct
    {
      guint64 caller;
      TouReply reply;
    } reply;
    struct
    {
      guint64 caller;
      int code;
      guint64 revision;
      TouStr message;
      TouStr current; /**< CONFLICT: the stored entry, JSON */
    } config_reply;
    struct
    {
      guint64 caller;
      TouStr text; /**< DUMP: JSON; METRICS: text exposition format */
    } text_reply;
    struct
    {
      GLogLevelFlags level;
      int code;
      TouStr message;
    } log;
    struct
    {
      gboolean ready;
    } ready;
  } u;
} TouAction;

/** Frees the payload of the action, not the action itself. */
void tou_action_clear (TouAction *action);

/** Growable array of actions; the driver removes them after each step. */
typedef struct
{
  TouAction *items;
  guint count;
  guint capacity;
} TouActionList;

/** Appends a zeroed action of @a type and returns it. */
TouAction *tou_action_list_add (TouActionList *list, TouActionType type);

/** Clears all actions and keeps the array. */
void tou_action_list_reset (TouActionList *list);

/** Frees the array and its actions. */
void tou_action_list_clear (TouActionList *list);

G_END_DECLS
