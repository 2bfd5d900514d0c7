#include "credit.h"

#include "quota-issuer.h"

/* Hint for operations that no issuer answered in time. */
#define CREDIT_RETRY_US (100 * TOU_US_PER_MS)
/* Interval at which the issuers and their distances are read again. */
#define CREDIT_ISSUERS_US (200 * TOU_US_PER_MS)
/* Interval at which unused state is dropped. */
#define CREDIT_SWEEP_US (1 * TOU_US_PER_S)
/* After this time without a tick the process has been paused: the replies of
   issuers that arrived meanwhile are read before operations are refused. */
#define CREDIT_PAUSE_US (100 * TOU_US_PER_MS)
/* Refusals of a team are logged at most once in this time. */
#define CREDIT_LOG_US (1 * TOU_US_PER_S)

/* A team with operations that wait or were refused lately. */
typedef struct
{
  TouName team;
  GQueue waits;   /* of TouCreditWait, urgent ones first */
  guint n_urgent; /* of these */
  guint64 logged_us;
  guint n_refused; /* since the last log line */
} CreditTeam;

struct TouCredit
{
  TouProxy *proxy;
  TouPeers *peers;
  TouQuotaBounds bounds;
  /* NULL while no team has a limit. */
  TouQuotaLimits *limits;
  TouQuotaHolder *holder;
  TouQuotaIssuer *issuer;
  GHashTable *teams;      /* TouName to CreditTeam */
  guint64 panel_revision; /* and number of nodes when the issuers were read */
  guint n_nodes;
  guint64 issuers_us; /* when they were read */
  guint64 swept_us;
  guint64 ticked_us;
  gboolean paused; /* before the last tick */
};

static gboolean credit_on_message (gpointer context,
                                   const msgpack_object *message);

static void
credit_team_free (gpointer data)
{
  CreditTeam *team = data;

  for (GList *link = team->waits.head; link != NULL; link = link->next)
    ((TouCreditWait *)link->data)->waiting = FALSE;
  g_free (team);
}

void
tou_credit_create (TouCredit **out, TouProxy *proxy, TouPeers *peers)
{
  TouCredit *credit = g_new0 (TouCredit, 1);

  credit->proxy = proxy;
  credit->peers = peers;
  credit->bounds.window_us = TOU_CREDIT_WINDOW_US;
  credit->bounds.excess = TOU_CREDIT_EXCESS;
  credit->bounds.slack = TOU_CREDIT_SLACK;
  credit->teams = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, credit_team_free);
  tou_peers_set_quota_handler (peers, credit_on_message, credit);
  *out = credit;
}

void
tou_credit_set_bounds (TouCredit *credit, const TouQuotaBounds *bounds)
{
  credit->bounds = *bounds;
}

/* Drops the limits, and all state of the quota with them. */
static void
credit_drop_limits (TouCredit *credit)
{
  tou_quota_holder_destroy (credit->holder);
  tou_quota_issuer_destroy (credit->issuer);
  tou_quota_limits_destroy (credit->limits);
  credit->holder = NULL;
  credit->issuer = NULL;
  credit->limits = NULL;
}

void
tou_credit_destroy (TouCredit *credit)
{
  if (credit == NULL)
    return;
  tou_peers_set_quota_handler (credit->peers, NULL, NULL);
  credit_drop_limits (credit);
  g_hash_table_destroy (credit->teams);
  g_free (credit);
}

static CreditTeam *
credit_team_get (TouCredit *credit, const TouName *name)
{
  CreditTeam *team = g_hash_table_lookup (credit->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (CreditTeam, 1);
  team->team = *name;
  g_queue_init (&team->waits);
  g_hash_table_insert (credit->teams, &team->team, team);
  return team;
}

/* Without a panel all nodes are issuers. While there are too many of them and
   no panel yet, there is none. Neither is before the store has been read: the
   configuration arrives before the panel, and the few nodes known then would
   count as the panel's predecessors, so that its members wait. */
static void
credit_update_issuers (TouCredit *credit, guint64 now_us)
{
  const TouProxy *proxy = credit->proxy;
  const TouName *issuers;
  GArray *nodes;
  GArray *names;
  guint n;

  if (now_us < credit->issuers_us + CREDIT_ISSUERS_US
      && credit->panel_revision == proxy->panel.revision
      && credit->n_nodes == proxy->n_nodes)
    return;
  credit->issuers_us = now_us;
  credit->panel_revision = proxy->panel.revision;
  credit->n_nodes = proxy->n_nodes;
  if (proxy->panel.revision != 0)
    tou_quota_limits_set_issuers (credit->limits, proxy->panel.members,
                                  proxy->panel.n_members, TRUE, now_us);
  else if (!proxy->synced || tou_peers_have_panel (proxy))
    tou_quota_limits_set_issuers (credit->limits, NULL, 0, TRUE, now_us);
  else
    {
      names = g_array_new (FALSE, FALSE, sizeof (TouName));
      nodes = tou_peers_nodes (credit->peers, now_us);
      for (guint i = 0; i < nodes->len; i++)
        g_array_append_val (names,
                            g_array_index (nodes, TouGatewayNode, i).node);
      tou_quota_limits_set_issuers (credit->limits,
                                    (const TouName *)(gpointer)names->data,
                                    names->len, FALSE, now_us);
      g_array_unref (nodes);
      g_array_unref (names);
    }
  issuers = tou_quota_limits_issuers (credit->limits, &n);
  for (guint i = 0; i < n; i++)
    tou_quota_holder_set_rtt (
        credit->holder, &issuers[i],
        tou_peers_rtt_us (credit->peers, &issuers[i], now_us));
}

/* TRUE if this node hears a majority of the voters. Before it has read the
   store, it may not know them. */
static gboolean
credit_may_issue (const TouCredit *credit, guint64 now_us)
{
  const TouProxy *proxy = credit->proxy;

  if (!proxy->synced)
    return FALSE;
  if (proxy->panel.revision != 0)
    return tou_peers_reach_panel (credit->peers, now_us);
  return !tou_peers_have_panel (proxy)
         && (1 + tou_peers_count_reporting (credit->peers, now_us)) * 2
                > proxy->n_nodes;
}

void
tou_credit_begin_update (TouCredit *credit)
{
  if (credit->limits != NULL)
    tou_quota_limits_begin_update (credit->limits);
}

void
tou_credit_set_limit (TouCredit *credit, const TouName *team, double rate_per_s,
                      double burst)
{
  const TouProxy *proxy = credit->proxy;
  guint64 now_us = tou_clock_us ();

  if (credit->limits == NULL)
    {
      tou_quota_limits_create (&credit->limits, &proxy->settings.node,
                               &credit->bounds);
      tou_quota_holder_create (&credit->holder, &proxy->settings.node,
                               proxy->incarnation, credit->limits);
      tou_quota_issuer_create (&credit->issuer, &proxy->settings.node,
                               credit->limits);
      credit->issuers_us = 0;
      credit_update_issuers (credit, now_us);
    }
  tou_quota_limits_set (credit->limits, team, rate_per_s, burst, now_us);
}

void
tou_credit_end_update (TouCredit *credit)
{
  if (credit->limits == NULL)
    return;
  tou_quota_limits_end_update (credit->limits);
  if (tou_quota_limits_count (credit->limits) == 0)
    credit_drop_limits (credit);
}

static const char *
credit_reason (TouQuotaCause cause)
{
  switch (cause)
    {
    case TOU_QUOTA_EMPTY:
    case TOU_QUOTA_RESERVED:
    case TOU_QUOTA_OUTSTANDING:
      return "the quota of the team is used up";
    case TOU_QUOTA_STARTING:
    case TOU_QUOTA_NO_MAJORITY:
    case TOU_QUOTA_NOT_ISSUER:
      return "no issuer of the team's quota is ready; retry at another node";
    case TOU_QUOTA_ENOUGH:
    case TOU_QUOTA_SILENT:
    case TOU_QUOTA_CAUSES:
      break;
    }
  return "no issuer of the team's quota answers; retry at another node";
}

/* Counts and logs a refusal. @return its reason */
static const char *
credit_refuse (TouCredit *credit, const TouName *name,
               const TouQuotaRefusal *refusal, guint64 now_us)
{
  CreditTeam *team = credit_team_get (credit, name);
  const char *reason = credit_reason (refusal->cause);
  TouSlice slice = { name->data, name->len };
  char text[TOU_NAME_MAX + 1];

  TOU_COUNT (credit->proxy, QUOTA_REFUSED);
  team->n_refused++;
  if (now_us < team->logged_us + CREDIT_LOG_US)
    return reason;
  tou_evlog (TOU_EVLOG_FAILURE, "quota_refused",
             "\"team\":\"%s\",\"reason\":\"%s\",\"issuer\":\"%s\","
             "\"retry_ms\":%" G_GUINT64_FORMAT ",\"refused\":%u",
             tou_evlog_sanitize (text, sizeof text, slice), reason,
             tou_quota_cause_name (refusal->cause),
             refusal->retry_us / TOU_US_PER_MS, team->n_refused);
  team->logged_us = now_us;
  team->n_refused = 0;
  return reason;
}

static void
credit_unlink (TouCredit *credit, CreditTeam *team, TouCreditWait *wait,
               guint64 now_us)
{
  g_queue_unlink (&team->waits, &wait->link);
  wait->waiting = FALSE;
  team->n_urgent -= wait->urgent;
  if (credit->holder != NULL)
    tou_quota_holder_set_waiting (credit->holder, &team->team,
                                  team->waits.length, team->n_urgent, now_us);
}

static void
credit_link (TouCredit *credit, CreditTeam *team, TouCreditWait *wait,
             guint64 now_us)
{
  GList *before = wait->urgent
                      ? g_queue_peek_nth_link (&team->waits, team->n_urgent)
                      : NULL;

  wait->waiting = TRUE;
  wait->until_us = MIN (wait->deadline_us, now_us + TOU_QUOTA_WAIT_US);
  wait->link.data = wait;
  if (before != NULL)
    g_queue_insert_before_link (&team->waits, before, &wait->link);
  else
    g_queue_push_tail_link (&team->waits, &wait->link);
  team->n_urgent += wait->urgent;
  tou_quota_holder_set_waiting (credit->holder, &wait->team, team->waits.length,
                                team->n_urgent, now_us);
}

static gboolean
credit_use_stock (TouCredit *credit, TouCreditWait *wait, guint64 now_us)
{
  if (credit->holder != NULL
      && !tou_quota_holder_take_stock (credit->holder, &wait->team, now_us,
                                       &wait->credit))
    return FALSE;
  TOU_COUNT (credit->proxy, QUOTA_GRANTED);
  return TRUE;
}

/* TRUE if the operation waits for issuers that cannot issue yet, such as those
   that have just started. */
static gboolean
credit_outlasts (const TouCreditWait *wait, const TouQuotaRefusal *refusal,
                 guint64 now_us)
{
  return refusal->temporary && now_us + refusal->retry_us < wait->deadline_us;
}

/* Returns an operation that is to be refused, and why, or NULL. */
static TouCreditWait *
credit_team_refusable (TouCredit *credit, const CreditTeam *team,
                       TouQuotaRefusal *refusal, guint64 now_us)
{
  TouQuotaRefusal refusals[2];
  gboolean refused[2];

  for (guint urgent = 0; urgent < 2; urgent++)
    {
      refused[urgent] = tou_quota_holder_is_refused (
          credit->holder, &team->team, urgent, now_us, &refusals[urgent]);
      refusals[urgent].retry_us
          = MAX (refusals[urgent].retry_us, CREDIT_RETRY_US);
    }
  for (GList *link = team->waits.head; link != NULL; link = link->next)
    {
      TouCreditWait *wait = link->data;

      *refusal = refusals[wait->urgent];
      if ((refused[wait->urgent] || now_us >= wait->until_us)
          && !credit_outlasts (wait, refusal, now_us))
        return wait;
    }
  return NULL;
}

/* Ends the waits that can end. Callbacks may take and cancel. */
static void
credit_serve (TouCredit *credit, CreditTeam *team, guint64 now_us)
{
  TouQuotaRefusal refusal;
  TouCreditWait *wait;
  const char *reason;

  while ((wait = g_queue_peek_head (&team->waits)) != NULL)
    {
      if (credit_use_stock (credit, wait, now_us))
        {
          credit_unlink (credit, team, wait, now_us);
          wait->done (wait, TRUE, 0, NULL);
          continue;
        }
      wait = credit_team_refusable (credit, team, &refusal, now_us);
      if (wait == NULL)
        break;
      credit_unlink (credit, team, wait, now_us);
      reason = credit_refuse (credit, &team->team, &refusal, now_us);
      wait->done (wait, FALSE, refusal.retry_us, reason);
    }
}

/* Serves all teams. Callbacks may add teams; none is removed meanwhile. */
static void
credit_serve_all (TouCredit *credit, guint64 now_us)
{
  GList *teams = g_hash_table_get_values (credit->teams);

  for (GList *link = teams; link != NULL; link = link->next)
    credit_serve (credit, link->data, now_us);
  g_list_free (teams);
}

/* Sends the requests that are due, and answers those to this node itself. */
static void
credit_send (TouCredit *credit, guint64 now_us)
{
  TouQuotaRequest request;
  TouQuotaReply reply;
  msgpack_sbuffer buffer;
  const TouName *issuer;

  while ((issuer
          = tou_quota_holder_next_request (credit->holder, &request, now_us))
         != NULL)
    {
      if (tou_name_equal (issuer, &credit->proxy->settings.node))
        {
          if (tou_quota_issuer_on_request (credit->issuer, &reply, &request,
                                           credit_may_issue (credit, now_us),
                                           now_us))
            tou_quota_holder_on_reply (credit->holder, &reply, now_us);
          continue;
        }
      msgpack_sbuffer_init (&buffer);
      tou_quota_request_encode (&buffer, &request);
      tou_peers_send_to (credit->peers, issuer, buffer.data, buffer.size);
      msgpack_sbuffer_destroy (&buffer);
      TOU_COUNT (credit->proxy, QUOTA_REQUESTS);
    }
}

/* Requests of nodes that are not registered are ignored. */
static gboolean
credit_on_request (TouCredit *credit, const msgpack_object *message,
                   guint64 now_us)
{
  TouQuotaRequest request;
  TouQuotaReply reply;
  struct sockaddr_in address;
  msgpack_sbuffer buffer;

  if (!tou_quota_request_decode (&request, message))
    return FALSE;
  tou_peers_node_address (&address, credit->peers, &request.holder);
  if (address.sin_port == 0 || credit->issuer == NULL
      || !tou_quota_issuer_on_request (credit->issuer, &reply, &request,
                                       credit_may_issue (credit, now_us),
                                       now_us)
      || reply.n == 0)
    return TRUE;
  msgpack_sbuffer_init (&buffer);
  tou_quota_reply_encode (&buffer, &reply);
  tou_peers_send_to (credit->peers, &request.holder, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  TOU_COUNT (credit->proxy, QUOTA_ANSWERED);
  return TRUE;
}

static gboolean
credit_on_message (gpointer context, const msgpack_object *message)
{
  TouCredit *credit = context;
  guint64 now_us = tou_clock_us ();
  TouQuotaReply reply;

  if (tou_quota_wire_type (message) == TOU_QUOTA_WIRE_REQUEST)
    return credit_on_request (credit, message, now_us);
  if (!tou_quota_reply_decode (&reply, message))
    return FALSE;
  if (credit->holder == NULL
      || !tou_quota_holder_on_reply (credit->holder, &reply, now_us))
    return TRUE;
  credit_serve_all (credit, now_us);
  if (credit->holder != NULL)
    credit_send (credit, now_us);
  return TRUE;
}

TouCreditResult
tou_credit_take (TouCredit *credit, TouCreditWait *wait, guint64 now_us,
                 guint64 *retry_us, const char **reason)
{
  TouQuotaRefusal refusal;
  TouQuotaResult result;
  CreditTeam *team;

  wait->waiting = FALSE;
  wait->credit.expires_us = 0;
  if (credit->limits == NULL
      || tou_quota_limits_get (credit->limits, &wait->team) == NULL)
    return TOU_CREDIT_GRANTED;
  result = tou_quota_holder_take (credit->holder, &wait->team, wait->urgent,
                                  now_us, &wait->credit, &refusal);
  if (result == TOU_QUOTA_TAKEN)
    {
      TOU_COUNT (credit->proxy, QUOTA_GRANTED);
      return TOU_CREDIT_GRANTED;
    }
  if (result == TOU_QUOTA_WAIT || credit_outlasts (wait, &refusal, now_us))
    {
      team = credit_team_get (credit, &wait->team);
      credit_link (credit, team, wait, now_us);
      credit_send (credit, now_us);
      /* This node may be an issuer, so that a reply has been handled. */
      if (team->waits.head != &wait->link)
        return TOU_CREDIT_WAITING;
      if (credit_use_stock (credit, wait, now_us))
        {
          credit_unlink (credit, team, wait, now_us);
          return TOU_CREDIT_GRANTED;
        }
      if (!tou_quota_holder_is_refused (credit->holder, &wait->team,
                                        wait->urgent, now_us, &refusal)
          || credit_outlasts (wait, &refusal, now_us))
        return TOU_CREDIT_WAITING;
      credit_unlink (credit, team, wait, now_us);
    }
  *retry_us = refusal.retry_us;
  *reason = credit_refuse (credit, &wait->team, &refusal, now_us);
  return TOU_CREDIT_REFUSED;
}

void
tou_credit_cancel (TouCredit *credit, TouCreditWait *wait)
{
  if (wait->waiting)
    credit_unlink (credit, credit_team_get (credit, &wait->team), wait,
                   tou_clock_us ());
}

void
tou_credit_return (TouCredit *credit, TouCreditWait *wait, guint64 now_us)
{
  if (credit->holder != NULL)
    tou_quota_holder_return (credit->holder, &wait->team, &wait->credit,
                             now_us);
  wait->credit.expires_us = 0;
}

static gboolean
credit_team_is_idle (gpointer key, gpointer value, gpointer data)
{
  const CreditTeam *team = value;
  const guint64 *now_us = data;

  (void)key;
  return team->waits.length == 0 && *now_us >= team->logged_us + CREDIT_LOG_US;
}

void
tou_credit_tick (TouCredit *credit, guint64 now_us)
{
  credit->paused = !credit->paused && credit->ticked_us != 0
                   && now_us >= credit->ticked_us + CREDIT_PAUSE_US;
  credit->ticked_us = now_us;
  if (credit->paused)
    return;
  if (credit->limits != NULL)
    {
      credit_update_issuers (credit, now_us);
      credit_send (credit, now_us);
    }
  credit_serve_all (credit, now_us);
  if (now_us < credit->swept_us + CREDIT_SWEEP_US)
    return;
  credit->swept_us = now_us;
  g_hash_table_foreach_remove (credit->teams, credit_team_is_idle, &now_us);
  if (credit->issuer != NULL)
    tou_quota_issuer_sweep (credit->issuer, now_us);
}

static json_t *
credit_dump_issuers (const TouCredit *credit)
{
  json_t *list = json_array ();
  guint n;
  const TouName *issuers = tou_quota_limits_issuers (credit->limits, &n);

  for (guint i = 0; i < n; i++)
    json_array_append_new (list, json_string (issuers[i].data));
  return list;
}

static void
credit_dump_team (const TouCredit *credit, const TouQuotaLimit *limit,
                  json_t *list, guint64 now_us)
{
  const CreditTeam *team = g_hash_table_lookup (credit->teams, &limit->team);
  guint64 held = tou_quota_holder_stock (credit->holder, &limit->team, now_us);
  gboolean is_issuer = tou_quota_limits_is_issuer (credit->limits, limit);
  TouQuotaIssuerState state;

  tou_quota_issuer_get_state (&state, credit->issuer, &limit->team, now_us);
  if (team == NULL && held == 0 && state.outstanding == 0
      && (!is_issuer
          || state.level >= tou_quota_limits_capacity (credit->limits, limit)))
    return;
  json_array_append_new (
      list, json_pack ("{s:s,s:f,s:f,s:I,s:i,s:b,s:f,s:I}", "team",
                       limit->team.data, "rate_per_s", limit->rate, "burst",
                       limit->burst, "credit", (json_int_t)held, "waiting",
                       team != NULL ? (int)team->waits.length : 0, "issuer",
                       is_issuer, "level", state.level, "outstanding",
                       (json_int_t)state.outstanding));
}

json_t *
tou_credit_dump (TouCredit *credit, guint64 now_us)
{
  json_t *teams = json_array ();
  json_t *issuers;
  GHashTableIter iter;
  gpointer value;

  if (credit->limits == NULL)
    return json_pack ("{s:i,s:o}", "limits", 0, "teams", teams);
  tou_quota_limits_iterate (&iter, credit->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    credit_dump_team (credit, value, teams, now_us);
  issuers = credit_dump_issuers (credit);
  return json_pack ("{s:i,s:b,s:o,s:o}", "limits",
                    (int)tou_quota_limits_count (credit->limits), "may_issue",
                    credit_may_issue (credit, now_us), "issuers", issuers,
                    "teams", teams);
}
