/**
 * @file link-private.h
 * State of a link, shared by link.c and endpoint.c (internal).
 */
#pragma once

#include "link.h"

G_BEGIN_DECLS

typedef enum
{
  LINK_CONNECTING,
  LINK_STARTING,
  LINK_READY
} LinkState;

/* What a statement under way is for. */
typedef enum
{
  STEP_RESET,
  STEP_SET,
  STEP_BEGIN,
  STEP_PREPARE,
  STEP_STATEMENT,
  STEP_ROLLBACK
} LinkStep;

struct TouLink
{
  TouEndpoint *endpoint;
  uv_tcp_t tcp;
  uv_connect_t connect;
  LinkState state;
  GArray *steps; /* of LinkStep, statements sent and not answered, in order */
  gboolean spoiled; /* a step failed; the statement behind it counts as lost */
  gboolean closed;
  gboolean in_txn;
  TouLogPos known;  /* endpoint's position when the link was opened */
  guint64 since_us; /* opened, or idle since */
  TouTask *task;
  TouPin *pin; /* of the transaction that the link is reserved for */
  TouName via; /* node that holds the connection; empty: this one */
  TouSqlValues values;
  GHashTable *prepared; /* link names */
  GString *in;
  GString *lines; /* answer of the step so far */
  gsize row_start;
  gsize row_len;
  gboolean complete;
  gboolean answered; /* COMPLETE or ERROR has arrived */
  TouSqlError error;
};

/** Opens a link; the endpoint lists it. */
void tou_link_open (TouEndpoint *endpoint, guint64 now_us);

/** TRUE if a task may be given to it. */
gboolean tou_link_is_idle (const TouLink *link);

/** How well the link fits a task: more is better. */
guint tou_link_fit (const TouLink *link, const TouTask *task);

/** Reason why the link must be closed, or NULL. */
const char *tou_link_late (const TouLink *link, guint64 now_us);

/** The endpoint has sent something. */
void tou_endpoint_heard (TouEndpoint *endpoint, guint64 now_us);

/** Notices a primary whose log is at @a pos, behind @a known from before. */
void tou_endpoint_check_log (TouEndpoint *endpoint, TouLogPos pos,
                             TouLogPos known);

/** Does not send new work through @a via for a while. */
void tou_endpoint_avoid_gateway (TouEndpoint *endpoint, const TouName *via,
                                 const char *reason, guint64 now_us);

/** The endpoint does not answer. */
void tou_endpoint_silent (TouEndpoint *endpoint, const char *reason,
                          guint64 now_us);

G_END_DECLS
