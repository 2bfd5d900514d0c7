/**
 * @file link-private.h
 * State of a link; internal to link.c, endpoint.c and idle-txn.c.
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

/* Purpose of a statement in flight on a link. */
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
  GArray *steps;         /* of LinkStep: statements in flight, in order */
  gboolean setup_failed; /* a setup step failed; the task counts as lost */
  gboolean closed;
  gboolean in_txn;
  TouLogPos initial_pos; /* endpoint's position when the link was opened */
  guint64 since_us;      /* when it was opened, became idle or busy */
  guint64 received_us;   /* when data was last received */
  TouTask *task;
  TouPin *pin;           /* the link's reservation, or NULL */
  TouName gateway_node;  /* gateway of the link; empty: direct connection */
  TouName team;          /* of a direct connection; empty: none */
  GRefString *full_team; /* full name of the team; NULL: there is none */
  TouSqlValues values;
  GHashTable *prepared; /* set of link_name */
  gsize prepared_bytes; /* of their shapes */
  TouBudgetUser user;
  gsize searched; /* bytes of in without a line end */
  GString *in;
  GString *lines; /* reply to the first step so far */
  gsize row_start;
  gsize row_len;
  gboolean complete;
  gboolean unreachable; /* the gateway does not reach the database */
  gboolean answered;    /* COMPLETE or ERROR was received */
  TouSqlError error;
};

/** Opens a link for @a team (NULL: none) and adds it to the endpoint's. */
void tou_link_open (TouEndpoint *endpoint, const TouName *team, guint64 now_us);
/** Opens a link without a team, not through the endpoint's gateway. */
void tou_link_open_direct (TouEndpoint *endpoint, guint64 now_us);

/**
 * TRUE if its gateway has neither answered a statement nor reported it in
 * progress for a while.
 */
gboolean tou_link_gateway_is_silent (const TouLink *link, guint64 now_us);

/**
 * TRUE if closing it gives up no work: it is idle, or its statement may run
 * elsewhere instead.
 */
gboolean tou_link_may_move (const TouLink *link);

/** TRUE if tasks of @a team (NULL: none) may run on the link. */
gboolean tou_link_serves (const TouLink *link, const TouName *team);

/** TRUE if the link can run a task. */
gboolean tou_link_is_idle (const TouLink *link);

/** Scores how little setup @a task needs on the link; higher is better. */
guint tou_link_score (const TouLink *link, const TouTask *task);

/** Reason for closing the link if a timeout has expired, else NULL. */
const char *tou_link_timeout_reason (const TouLink *link, guint64 now_us);

/** Notes that data was received from the endpoint. */
void tou_endpoint_set_reachable (TouEndpoint *endpoint, guint64 now_us);

/** Detects that a primary's log, now at @a pos, has lost part of @a before. */
void tou_endpoint_check_log (TouEndpoint *endpoint, TouLogPos pos,
                             TouLogPos before);

/** Excludes a gateway from new work for this endpoint for a few seconds. */
void tou_endpoint_avoid_gateway (TouEndpoint *endpoint,
                                 const TouName *gateway_node,
                                 const char *reason, guint64 now_us);

/** Marks the endpoint as unreachable. */
void tou_endpoint_set_unreachable (TouEndpoint *endpoint, const char *reason,
                                   guint64 now_us);

G_END_DECLS
