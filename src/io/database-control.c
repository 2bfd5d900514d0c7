/* Control operations (report, fence, promote, follow) and their reports. */
#include "database-private.h"

#include <string.h>

static char *
format_number (guint64 value)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT, value);
}

const char *
tou_db_control_statement (const TouAction *action, char **values, int *n_values)
{
  const char *attempt = action->u.db_control.attempt.data;
  const char *address = action->u.db_control.primary_address.data;
  const char *colon = strrchr (address, ':');

  *n_values = 0;
  if (action->u.db_control.op == TOU_DB_REPORT)
    return "SELECT * FROM toucanscale.report()";
  values[0] = format_number (action->u.db_control.term);
  *n_values = 2;
  if (action->u.db_control.op != TOU_DB_FOLLOW)
    {
      values[1] = g_strdup (attempt != NULL ? attempt : "");
      return action->u.db_control.op == TOU_DB_FENCE
                 ? "SELECT * FROM toucanscale.fence($1, $2)"
                 : "SELECT * FROM toucanscale.promote($1, $2)";
    }
  values[1] = colon != NULL ? g_strndup (address, (gsize)(colon - address))
                            : g_strdup (address);
  values[2] = g_strdup (colon != NULL ? colon + 1 : "0");
  values[3] = format_number (action->u.db_control.start);
  *n_values = 4;
  return "SELECT * FROM toucanscale.follow($1, $2, $3, $4)";
}

static gboolean
report_number (guint64 *out, const PGresult *result, const char *column)
{
  int field = PQfnumber (result, column);

  if (field < 0)
    return FALSE;
  return g_ascii_string_to_unsigned (PQgetvalue (result, 0, field), 10, 0,
                                     G_MAXUINT64, out, NULL);
}

static TouRole
report_role (const PGresult *result)
{
  int field = PQfnumber (result, "role");
  const char *role = field >= 0 ? PQgetvalue (result, 0, field) : "";

  if (g_str_equal (role, "primary"))
    return TOU_ROLE_PRIMARY;
  if (g_str_equal (role, "replica"))
    return TOU_ROLE_REPLICA;
  return TOU_ROLE_UNKNOWN;
}

gboolean
tou_db_report_parse (TouDbReport *out, gboolean *granted,
                     const PGresult *result)
{
  int field = PQfnumber (result, "granted");
  guint64 clients;
  guint64 connections;
  TouDbReport report = { 0 };

  if (PQntuples (result) != 1 || field < 0)
    return FALSE;
  report.role = report_role (result);
  if (report.role == TOU_ROLE_UNKNOWN
      || !report_number (&report.last.term, result, "log_term")
      || !report_number (&report.last.position, result, "position")
      || !report_number (&report.fence_term, result, "fence_term")
      || !report_number (&report.term_start, result, "term_start")
      || !report_number (&clients, result, "work_clients")
      || !report_number (&connections, result, "connections"))
    return FALSE;
  report.work_clients = (guint32)clients;
  report.connections = (guint32)connections;
  *granted = g_str_equal (PQgetvalue (result, 0, field), "t");
  *out = report;
  return TRUE;
}

void
tou_db_control_finish (TouDbConn *conn)
{
  const TouDbJob *job = conn->job;
  TouEvent event = { .type = TOU_EVENT_DB_REPORT };

  if (!job->reported)
    {
      /* The functions of the schema toucanscale are missing or failed, so the
         database is not usable. */
      conn->failed = TRUE;
      return;
    }
  event.u.db_report.conn = conn->id;
  event.u.db_report.sequence = job->action.u.db_control.sequence;
  event.u.db_report.granted = job->granted;
  event.u.db_report.report = job->report;
  tou_db_emit (conn->database, &event);
}
