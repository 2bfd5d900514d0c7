/*
 * The operator adds two routes in one version of the configuration. The host of
 * one of them has as many characters as a DNS name may have in practice.
 */
#define _GNU_SOURCE
#include "../stand-3/stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define N_NODES 3
#define APPLY_S 3.0
#define CHECK_S 6.0

#define SHORT_HOST "signoff-archive.ulaanbaatar.example"
#define LONG_HOST                                                              \
  "reinstatement-signoff-entries.trench-inspection-records."                   \
  "ulaanbaatar-districts.utility-works.example"

static const char config[]
    = "{\"version\":4,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"signoff\",\"type\":\"primary\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":400,\"priority\":0,"
      "\"service\":\"" STAND_SERVICE "\"},"
      "{\"name\":\"r8\",\"host\":\"other\",\"type\":\"primary\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":400,\"priority\":0,"
      "\"service\":\"" STAND_SERVICE "\"},"
      "{\"name\":\"r9\",\"host\":\"%s\",\"type\":\"primary\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":400,\"priority\":0,"
      "\"service\":\"" STAND_SERVICE "\"}],"
      "\"services\":[{\"name\":\"" STAND_SERVICE "\",\"maxConns\":22,"
      "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

/* TRUE if a session on the database serves a read. */
static bool
is_served (int node, const char *database, const char *id)
{
  StandClient client;
  char end[128] = "";
  bool served = stand_client_open (&client, node, database, 0)
                && stand_client_query (&client, id, "READ 77", end, sizeof end,
                                       stand_now () + 5)
                       == STAND_LINE
                && strncmp (end, "COMPLETE", 8) == 0;

  stand_client_close (&client);
  return served;
}

int
main (int argc, char **argv)
{
  const char *host;
  char text[2048];
  double acked_s;
  int n_checks = 0;
  int n_broken = 0;
  int n_other = 0;

  stand_start (argc, argv);
  host = stand_has_trouble () ? LONG_HOST : SHORT_HOST;
  stand_nodes_start (N_NODES);
  for (int i = 0; !is_served (0, "signoff", "first"); i++)
    {
      if (i == 100)
        stand_fail ("the first route is not served");
      usleep (200000);
    }
  snprintf (text, sizeof text, config, host);
  stand_store_put ("op/config", text);
  acked_s = stand_now ();
  stand_record ("version 4 acknowledged; it adds the routes of \"other\" and "
                "\"%s\" (%zu characters)",
                host, strlen (host));
  stand_sleep_until (acked_s + APPLY_S + 0.2);
  while (stand_now () < acked_s + APPLY_S + CHECK_S)
    for (int node = 0; node < N_NODES; node++)
      {
        char id[64];
        bool other;
        bool added;

        snprintf (id, sizeof id, "other%d", n_checks);
        other = is_served (node, "other", id);
        snprintf (id, sizeof id, "added%d", n_checks);
        added = is_served (node, host, id);
        stand_record ("node %d, %.1f s after the ack: \"other\" %s, the other "
                      "host %s",
                      node, stand_now () - acked_s,
                      other ? "served" : "not served",
                      added ? "served" : "not served");
        n_checks++;
        n_other += other;
        n_broken += !added;
        usleep (300000);
      }
  if (n_other < n_checks)
    stand_fail ("the version is not in force");
  stand_record ("%d of %d reads on the added route were refused though it is "
                "there",
                n_broken, n_checks);
  stand_record (n_broken == 0 ? "the rule held" : "the rule was broken");
  stand_stop ();
  return n_broken > 0;
}
