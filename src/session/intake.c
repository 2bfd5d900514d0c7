#include "intake.h"

#include "prepared.h"
#include "stream.h"
#include "values.h"

#include "wire.h"

/* Input that is read ahead of a statement in progress: two reads of the largest
   size. Clients that pipeline small statements do not notice the limit. */
#define INTAKE_AHEAD_BYTES ((gsize)64 * 1024)
/* While the account is tight, input is read ahead only up to this length. */
#define INTAKE_TIGHT_BYTES ((gsize)4 * 1024)
/* Unsent output that prevents further statements. */
#define INTAKE_UNSENT_BYTES ((gsize)256 * 1024)
/* A connection whose other end reads nothing for this long is closed. The
   kernel gives up after 3 s if it can send nothing at all. */
#define INTAKE_UNREAD_US (5 * TOU_US_PER_S)
/* A partial message that the account prevents from being read is given up after
   this time, so that the others can be completed. */
#define INTAKE_STALLED_US (2 * TOU_US_PER_S)

static const TouIntakeClass *
intake_class (const TouIntake *intake)
{
  return (const TouIntakeClass *)intake->user.class;
}

void
tou_intake_init (TouIntake *intake, TouProxy *proxy, uv_tcp_t *tcp,
                 const TouIntakeClass *class)
{
  tou_budget_user_init (&intake->user, proxy->budget, &class->budget);
  intake->proxy = proxy;
  intake->stream = (uv_stream_t *)tcp;
  intake->in = g_string_new (NULL);
  intake->text = g_string_new (NULL);
}

void
tou_intake_clear (TouIntake *intake)
{
  tou_budget_user_clear (&intake->user);
  g_string_free (intake->in, TRUE);
  g_string_free (intake->text, TRUE);
}

void
tou_intake_start (TouIntake *intake)
{
  uv_read_start (intake->stream, tou_stream_alloc,
                 intake_class (intake)->on_read);
}

void
tou_intake_stop (TouIntake *intake)
{
  intake->user.closing = TRUE;
  uv_read_stop (intake->stream);
}

gboolean
tou_intake_next_line (TouIntake *intake, TouSlice *line, gsize *used)
{
  return plat_wire_next_line_after (line, intake->in->str, intake->in->len,
                                    used, &intake->searched);
}

gboolean
tou_intake_is_blocked (const TouIntake *intake)
{
  return intake->user.bytes[TOU_BUDGET_OUTPUT] >= INTAKE_UNSENT_BYTES;
}

/* A session reads ahead of a statement in progress only up to a limit, and a
   large message only while the account is not tight. */
static gboolean
intake_must_stop (const TouIntake *intake)
{
  gboolean tight = tou_budget_is_tight (intake->proxy->budget);
  gsize limit = INTAKE_AHEAD_BYTES;

  if (!intake->busy && !tou_intake_is_blocked (intake))
    return tight && intake->in->len >= limit;
  return intake->in->len >= (tight ? INTAKE_TIGHT_BYTES : limit);
}

static void
intake_switch_reading (TouIntake *intake)
{
  gboolean stop = intake_must_stop (intake);

  if (!stop || intake->busy || tou_intake_is_blocked (intake))
    intake->stopped_us = 0;
  else if (intake->stopped_us == 0)
    intake->stopped_us = tou_clock_us ();
  if (stop == intake->stopped)
    return;
  intake->stopped = stop;
  if (stop)
    {
      TOU_COUNT (intake->proxy, READS_STOPPED);
      uv_read_stop (intake->stream);
    }
  else
    tou_intake_start (intake);
}

void
tou_intake_settle (TouIntake *intake, gsize used, gboolean busy)
{
  intake->busy = busy;
  if (used > 0)
    g_string_erase (intake->in, 0, (gssize)used);
  intake->searched -= MIN (intake->searched, used);
  tou_budget_trim (intake->in);
  if (!busy)
    {
      g_string_truncate (intake->text, 0);
      tou_budget_trim (intake->text);
    }
  tou_budget_set (&intake->user, TOU_BUDGET_INPUT, intake->in->len);
  tou_budget_set (&intake->user, TOU_BUDGET_STATEMENT, intake->text->len);
  if (!intake->user.closing)
    intake_switch_reading (intake);
}

static void
intake_on_written (gpointer user_data, gsize len)
{
  TouIntake *intake = user_data;
  gboolean blocked = tou_intake_is_blocked (intake);

  if (intake->user.budget == NULL)
    return;
  tou_budget_set (&intake->user, TOU_BUDGET_OUTPUT,
                  intake->user.bytes[TOU_BUDGET_OUTPUT] - len);
  if (blocked && !tou_intake_is_blocked (intake))
    intake_class (intake)->resume (intake);
}

void
tou_intake_send (TouIntake *intake, const GString *message)
{
  gsize kept = tou_stream_send_counted (
      intake->stream, message->str, message->len, intake_on_written, intake);

  if (kept > 0)
    tou_budget_set (&intake->user, TOU_BUDGET_OUTPUT,
                    intake->user.bytes[TOU_BUDGET_OUTPUT] + kept);
}

gboolean
tou_intake_may_change (const TouIntake *intake,
                       const TouSqlStatement *statement,
                       const TouSqlValues *values, GHashTable *prepared)
{
  const TouIntakeClass *class = intake_class (intake);

  if (statement->kind == TOU_SQL_SET
          ? tou_values_have_room (values, statement->as.set.name,
                                  statement->as.set.value)
          : statement->kind != TOU_SQL_PREPARE
                || tou_prepared_has_room (prepared, statement,
                                          class->max_prepared,
                                          class->max_prepared_bytes))
    return TRUE;
  TOU_COUNT (intake->proxy, STATE_REFUSED);
  return FALSE;
}

void
tou_intake_set_state (TouIntake *intake, const TouSqlStatement *statement,
                      const TouSqlValues *values, GHashTable *prepared)
{
  if (statement->kind != TOU_SQL_SET)
    intake->prepared = (guint32)tou_prepared_own_bytes (prepared);
  tou_budget_set (&intake->user, TOU_BUDGET_STATE,
                  values->bytes + intake->prepared);
}

/* Closes the connection and drops what it holds. It is not being parsed. */
static void
intake_end (TouIntake *intake, const char *reason)
{
  tou_evlog (TOU_EVLOG_FAILURE, "session_dropped",
             "\"kind\":\"%s\",\"reason\":\"%s\",\"bytes\":%zu,"
             "\"input\":%u,\"state\":%u,\"unsent\":%u,"
             "\"total\":%" G_GUINT64_FORMAT,
             intake->user.class->name, reason,
             tou_budget_user_bytes (&intake->user),
             intake->user.bytes[TOU_BUDGET_INPUT],
             intake->user.bytes[TOU_BUDGET_STATE],
             intake->user.bytes[TOU_BUDGET_OUTPUT],
             tou_budget_total (intake->proxy->budget));
  tou_intake_stop (intake);
  intake_class (intake)->close (intake, reason);
  g_string_truncate (intake->in, 0);
  intake->searched = 0;
  tou_budget_trim (intake->in);
  tou_budget_set (&intake->user, TOU_BUDGET_INPUT, 0);
}

void
tou_intake_evict (TouBudgetUser *user)
{
  TouIntake *intake = TOU_CONTAINER_OF (user, TouIntake, user);

  TOU_COUNT (intake->proxy, SESSIONS_EVICTED);
  intake_end (intake, "this node is short of memory");
}

/* TRUE if the other end has read nothing for too long. */
static gboolean
intake_is_unread (TouIntake *intake, guint64 now_us)
{
  guint32 unsent = (guint32)MIN (
      uv_stream_get_write_queue_size (intake->stream), G_MAXUINT32);

  if (unsent == 0 || intake->unsent_us == 0 || unsent < intake->unsent)
    intake->unsent_us = unsent > 0 ? now_us : 0;
  intake->unsent = unsent;
  return unsent > 0 && now_us >= intake->unsent_us + INTAKE_UNREAD_US;
}

void
tou_intake_check (TouBudgetUser *user, guint64 now_us)
{
  TouIntake *intake = TOU_CONTAINER_OF (user, TouIntake, user);

  if (user->closing)
    return;
  if (intake_is_unread (intake, now_us))
    {
      TOU_COUNT (intake->proxy, SESSIONS_UNREAD);
      intake_end (intake, "answers are not read");
      return;
    }
  intake_switch_reading (intake);
  if (intake->stopped_us != 0
      && now_us >= intake->stopped_us + INTAKE_STALLED_US)
    tou_intake_evict (user);
}
