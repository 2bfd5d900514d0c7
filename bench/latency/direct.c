/* Target that sends statements to the primary with libpq, without a proxy. */
#include "target.h"

#include <libpq-fe.h>

static PGconn *
direct_connect (int port, const char *options)
{
  char *info
      = g_strdup_printf ("host=127.0.0.1 port=%d user=bench dbname=bench "
                         "options='%s'",
                         port, options);
  PGconn *pg = PQconnectdb (info);

  if (PQstatus (pg) != CONNECTION_OK)
    g_error ("cannot connect to a database: %s", PQerrorMessage (pg));
  g_free (info);
  return pg;
}

/* Returns the port of the primary and its term. The database refuses writes
   that do not state the term. */
static int
direct_find_primary (const TouProcessFleet *fleet, guint64 *term)
{
  for (guint i = 0; i < TOU_PROCESS_FLEET_SIZE; i++)
    {
      PGconn *pg = direct_connect (fleet->db_port[i], "");
      PGresult *report = PQexec (pg, "SELECT * FROM toucanscale.report()");
      const char *role = PQgetvalue (report, 0, PQfnumber (report, "role"));
      gboolean primary = g_str_equal (role, "primary");

      *term = g_ascii_strtoull (
          PQgetvalue (report, 0, PQfnumber (report, "log_term")), NULL, 10);
      PQclear (report);
      PQfinish (pg);
      if (primary)
        return fleet->db_port[i];
    }
  g_error ("the group has no primary");
}

static int
direct_fd (gpointer data, guint i)
{
  return PQsocket (((PGconn **)data)[i]);
}

static void
direct_send (gpointer data, guint i, gboolean read, guint number)
{
  PGconn *pg = ((PGconn **)data)[i];
  char id[32];
  const char *values[] = { id, "text" };
  int sent;

  if (read)
    {
      g_snprintf (id, sizeof id, "r%u", number % LATENCY_RECORDS);
      sent = PQsendQueryParams (pg, "SELECT body FROM record WHERE id=$1", 1,
                                NULL, values, NULL, NULL, 0);
    }
  else
    {
      g_snprintf (id, sizeof id, "d%u", number);
      sent = PQsendQueryParams (pg,
                                "INSERT INTO record (id, body) VALUES ($1, $2)",
                                2, NULL, values, NULL, NULL, 0);
    }
  if (sent != 1 || PQflush (pg) != 0)
    g_error ("cannot send a statement: %s", PQerrorMessage (pg));
}

static TargetState
direct_receive (gpointer data, guint i)
{
  PGconn *pg = ((PGconn **)data)[i];
  TargetState state = TARGET_DONE;
  PGresult *result;

  if (PQconsumeInput (pg) != 1)
    g_error ("lost a connection to the database: %s", PQerrorMessage (pg));
  if (PQisBusy (pg))
    return TARGET_PENDING;
  while ((result = PQgetResult (pg)) != NULL)
    {
      if (PQresultStatus (result) != PGRES_COMMAND_OK
          && PQresultStatus (result) != PGRES_TUPLES_OK)
        state = TARGET_FAILED;
      PQclear (result);
    }
  return state;
}

/* Inserts the records that the reads of both targets select. */
static void
direct_insert_records (PGconn *pg)
{
  for (guint i = 0; i < LATENCY_RECORDS; i++)
    {
      char *sql = g_strdup_printf (
          "INSERT INTO record (id, body) VALUES ('r%u', 'text')", i);

      PQclear (PQexec (pg, sql));
      g_free (sql);
    }
}

void
target_open_direct (Target *out, const TouProcessFleet *fleet, guint n)
{
  PGconn **conns = g_new0 (PGconn *, n);
  guint64 term;
  int port = direct_find_primary (fleet, &term);
  char *options
      = g_strdup_printf ("-c toucanscale.term=%" G_GUINT64_FORMAT, term);

  for (guint i = 0; i < n; i++)
    conns[i] = direct_connect (port, options);
  direct_insert_records (conns[0]);
  g_free (options);
  *out = (Target){ "libpq", conns, n, direct_fd, direct_send, direct_receive };
}

void
target_close_direct (Target *target)
{
  PGconn **conns = target->data;

  for (guint i = 0; i < target->n; i++)
    PQfinish (conns[i]);
  g_free (conns);
}
