#include "pacing.h"

#include "link-private.h"

static gboolean
pacing_applies (const TouEndpoint *endpoint)
{
  return endpoint->proxy->settings.pace_enabled && !endpoint->removed
         && endpoint->gateway.len == 0;
}

/* TRUE if no other database of the group can run what waits for it. */
static gboolean
pacing_is_sole (TouEndpoint *endpoint)
{
  TouGroup *group = endpoint->group;

  if (endpoint == tou_group_recorded_primary (group))
    return TRUE;
  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *other = g_ptr_array_index (group->endpoints, i);

      if (other != endpoint && tou_endpoint_is_usable (other))
        return FALSE;
    }
  return TRUE;
}

/* Shortest normal time of the group's databases, which run the same
   statements; 0: not known. */
static guint64
pacing_normal_us (const TouGroup *group)
{
  guint64 normal_us = 0;

  for (guint i = 0; i < group->endpoints->len; i++)
    {
      const TouEndpoint *endpoint = g_ptr_array_index (group->endpoints, i);

      if (endpoint->pace.normal_us != 0
          && (normal_us == 0 || endpoint->pace.normal_us < normal_us))
        normal_us = endpoint->pace.normal_us;
    }
  return normal_us;
}

void
tou_pacing_reset_estimates (TouEndpoint *endpoint)
{
  guint64 rtt_us = endpoint->window.rtt_us;

  if (!endpoint->pace.active || !pacing_applies (endpoint))
    return;
  tou_window_init (&endpoint->window, endpoint->info.slots);
  endpoint->window.rtt_us = rtt_us;
  if (endpoint->pace.caution < 1)
    endpoint->latency_us
        = MIN (endpoint->latency_us, endpoint->pace.normal_us + rtt_us);
}

void
tou_pacing_begin (TouEndpoint *endpoint, TouPaceReason reason, guint64 now_us)
{
  if (!pacing_applies (endpoint))
    return;
  tou_pace_begin (&endpoint->pace, reason, pacing_normal_us (endpoint->group),
                  now_us);
  endpoint->pace_held = FALSE;
  if (reason != TOU_PACE_FAILING)
    tou_pacing_reset_estimates (endpoint);
  TOU_COUNT (endpoint->proxy, PACES);
  tou_evlog (TOU_EVLOG_STATE, "pace_begun",
             "\"endpoint\":\"%s\",\"group\":\"%s\",\"reason\":\"%s\","
             "\"caution\":%.1f,\"failed_percent\":%u,"
             "\"normal_us\":%" G_GUINT64_FORMAT,
             endpoint->info.id.data, endpoint->group->name.data,
             tou_pace_reason_name (reason), endpoint->pace.caution,
             (guint)(endpoint->pace.failed_share * 100),
             endpoint->pace.normal_us);
}

static void
pacing_end (TouEndpoint *endpoint, guint64 now_us)
{
  const TouPace *pace = &endpoint->pace;

  tou_pace_end (&endpoint->pace);
  tou_evlog (TOU_EVLOG_STATE, "pace_done",
             "\"endpoint\":\"%s\",\"group\":\"%s\",\"reason\":\"%s\","
             "\"ms\":%" G_GUINT64_FORMAT ",\"limit\":%.1f,\"window\":%.1f",
             endpoint->info.id.data, endpoint->group->name.data,
             tou_pace_reason_name (pace->reason),
             (now_us - pace->began_us) / TOU_US_PER_MS, pace->limit,
             endpoint->window.size);
}

gboolean
tou_pacing_has_room (TouEndpoint *endpoint, gboolean urgent, guint64 now_us)
{
  gboolean held;

  if (!endpoint->pace.active || !pacing_applies (endpoint))
    return TRUE;
  held = !tou_pace_allows (&endpoint->pace, endpoint->n_busy, urgent,
                           pacing_is_sole (endpoint), now_us);
  /* This is asked many times between two statements, each time for an urgent
     one as well. */
  if (urgent)
    return !held;
  if (held && !endpoint->pace_held)
    TOU_COUNT (endpoint->proxy, PACE_HELD);
  endpoint->pace_held = held;
  return !held;
}

gboolean
tou_pacing_allows_link (const TouEndpoint *endpoint, guint n_opening)
{
  guint n_links = 0;

  if (!endpoint->pace.active || !pacing_applies (endpoint))
    return TRUE;
  for (guint i = 0; i < endpoint->links->len; i++)
    n_links += ((TouLink *)g_ptr_array_index (endpoint->links, i))->pin == NULL;
  return tou_pace_allows_link (&endpoint->pace, n_links, n_opening);
}

/* Sets @a out from the result of a task. @return FALSE if the result says
   nothing about the database */
static gboolean
pacing_outcome (TouPaceOutcome *out, const TouTaskResult *result)
{
  if (result->outcome == TOU_TASK_LOST)
    *out = TOU_PACE_LOST;
  else if (result->outcome == TOU_TASK_ANSWERED && result->complete)
    *out = TOU_PACE_DONE;
  else if (result->error == TOU_SQL_E_BUSY)
    *out = TOU_PACE_REFUSED;
  else if (result->error == TOU_SQL_E_FAILED)
    *out = TOU_PACE_FAILED;
  else
    return FALSE;
  return TRUE;
}

void
tou_pacing_on_result (TouEndpoint *endpoint, const TouTask *task,
                      const TouTaskResult *result, guint64 now_us)
{
  TouPace *pace = &endpoint->pace;
  TouPaceAnswer answer = { 0 };

  /* Status queries of other nodes use no slot: a database may answer them while
     it fails all statements. */
  if (!pacing_applies (endpoint) || task->id == NULL
      || !pacing_outcome (&answer.outcome, result))
    return;
  /* A BEGIN that was refused: the statement itself was not sent. */
  answer.sent_us = task->sent_us != 0 ? task->sent_us : now_us;
  answer.service_us
      = now_us - MIN (now_us, answer.sent_us + endpoint->window.rtt_us);
  answer.sole = (pace->active || answer.outcome != TOU_PACE_DONE)
                && pacing_is_sole (endpoint);
  tou_pace_on_answer (pace, &answer, now_us);
  if (answer.outcome != TOU_PACE_DONE && !answer.sole
      && tou_pace_is_failing (pace))
    tou_pacing_begin (endpoint, TOU_PACE_FAILING, now_us);
  else if (tou_pace_is_done (pace, endpoint->window.size, now_us))
    pacing_end (endpoint, now_us);
}
