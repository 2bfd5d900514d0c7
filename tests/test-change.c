/* Guards against changes of primary that take one database for another, or see
 * a part of a group only. The databases answer; the store, which also takes the
 * orders, is a stand-in. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "control/control-fleet.h"
#include "support/line-database.h"

#include <string.h>

#define TICK_MS 10
#define WAIT_US (20 * TOU_US_PER_S)
#define MAX_DATABASES 10
#define N_NODES 3
#define LONG_SERVICE_LEN 199
#define LONG_NODE_LEN 120
#define LONG_ZONE_LEN 120
/* With its prefix the longest key of the store. */
#define LONG_ID_LEN 192

typedef struct
{
  ControlFleet fleet;
  uv_timer_t timer;
  char *service;
  guint n;
  char *ids[MAX_DATABASES];
  LineDatabase *databases[MAX_DATABASES];
} Fixture;

static void
on_timer (uv_timer_t *timer)
{
  Fixture *f = timer->data;

  for (guint i = 0; i < f->fleet.n_nodes; i++)
    tou_proxy_tick (f->fleet.nodes[i].proxy, tou_clock_us ());
}

/* A text of @a len bytes that differs from others in its last byte only. */
static char *
long_text (gsize len, char last)
{
  char *text = g_strnfill (len, 'x');

  text[len - 1] = last;
  return text;
}

static void
add_database (Fixture *f, char *id, gboolean primary, guint64 position)
{
  LineDatabase *database = line_database_new (&f->fleet.loop, id, primary);
  char *key = g_strconcat ("servers/", id, NULL);
  char *record = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
      "\"capacity\":1,\"state\":\"ready\",\"dbRole\":\"%s\"}",
      f->service, line_database_port (database),
      primary ? "primary" : "replica");

  line_database_set_group (database, f->service);
  line_database_set_position (database, (TouLogPos){ 1, position });
  kv_put (f->fleet.kv, key, record);
  f->ids[f->n] = id;
  f->databases[f->n++] = database;
  g_free (key);
  g_free (record);
}

/* Starts nodes with these names and this zone. */
static void
setup (Fixture *f, char *service, const char *node_name, const char *zone)
{
  char *config = g_strdup_printf (
      "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"%s\","
      "\"maxConns\":20,\"syncReplicas\":0}]}",
      service);

  memset (f, 0, sizeof *f);
  f->service = service;
  fleet_init (&f->fleet);
  uv_timer_init (&f->fleet.loop, &f->timer);
  f->timer.data = f;
  uv_timer_start (&f->timer, on_timer, 0, TICK_MS);
  kv_put (f->fleet.kv, "op/config", config);
  f->fleet.node_name = node_name;
  f->fleet.zone = zone;
  for (guint i = 0; i < N_NODES; i++)
    fleet_add (&f->fleet);
  assert_true (fleet_wait (&f->fleet, fleet_has_panel, N_NODES));
  g_free (config);
}

static void
teardown (Fixture *f)
{
  uv_close ((uv_handle_t *)&f->timer, NULL);
  for (guint i = 0; i < f->n; i++)
    line_database_close (f->databases[i]);
  fleet_clear (&f->fleet);
  for (guint i = 0; i < f->n; i++)
    {
      line_database_free (f->databases[i]);
      g_free (f->ids[i]);
    }
  g_free (f->service);
}

/* TRUE if the store has a record of the service whose primary is @a id, and
   none of another service. */
static gboolean
is_recorded (const Fixture *f, const char *id)
{
  TouName service = tou_name (f->service);
  TouName primary = tou_name (id);
  char *key = g_strconcat ("tou/group/", service.data, NULL);
  char *value = kv_get (f->fleet.kv, key);
  TouStr text = { value, value != NULL ? strlen (value) : 0 };
  TouGroupRecord record = { 0 };
  gboolean recorded
      = value != NULL && tou_record_decode (&record, &text) == TOU_OK
        && !record.moving && tou_name_equal (&record.primary, &primary);

  g_free (key);
  g_free (value);
  return recorded;
}

static void
wait_recorded (Fixture *f, const char *id)
{
  guint64 end_us = tou_clock_us () + WAIT_US;

  while (!is_recorded (f, id) && tou_clock_us () < end_us)
    uv_run (&f->fleet.loop, UV_RUN_ONCE);
  assert_true (is_recorded (f, id));
}

/* Runs until a promotion is ordered. @return the order as JSON */
static char *
wait_order (Fixture *f)
{
  guint64 end_us = tou_clock_us () + WAIT_US;
  char *order = NULL;

  while ((order = kv_last_promotion (f->fleet.kv)) == NULL
         && tou_clock_us () < end_us)
    uv_run (&f->fleet.loop, UV_RUN_ONCE);
  return order;
}

/* The first database, which is the primary, is gone for good. */
static void
lose_primary (Fixture *f)
{
  char *key = g_strconcat ("servers/", f->ids[0], NULL);

  line_database_rename (f->databases[0], "other");
  kv_remove (f->fleet.kv, key);
  g_free (key);
}

/* The primary of @a f is lost; the database @a next is to be promoted. */
static void
check_change (Fixture *f, guint next)
{
  char *expected
      = g_strdup_printf ("{\"id\":\"%s\",\"service\":\"%s\"} by %s",
                         f->ids[next], f->service, f->fleet.node_name);
  char *order;

  wait_recorded (f, f->ids[0]);
  lose_primary (f);
  order = wait_order (f);
  assert_non_null (order);
  /* Any node may lead; its number is left out. */
  order[strlen (order) - 1] = '\0';
  assert_string_equal (order, expected);
  line_database_promote (f->databases[next], 2);
  wait_recorded (f, f->ids[next]);
  g_free (order);
  g_free (expected);
}

/* If the ids of two databases became one entry, the record would name either of
 * them; if an order had a shortened name, the platform would refuse it. */
static void
test_change_with_long_names (void **state)
{
  char *node_name = long_text (LONG_NODE_LEN, '-');
  char *zone = long_text (LONG_ZONE_LEN, 'a');
  Fixture f;

  (void)state;
  setup (&f, long_text (LONG_SERVICE_LEN, 'x'), node_name, zone);
  add_database (&f, long_text (LONG_ID_LEN, 'a'), TRUE, 5);
  add_database (&f, long_text (LONG_ID_LEN, 'b'), FALSE, 4);
  add_database (&f, long_text (LONG_ID_LEN, 'c'), FALSE, 5);
  check_change (&f, 2);
  teardown (&f);
  g_free (node_name);
  g_free (zone);
}

/* If the leader saw a part of a large group only, it would promote a database
 * that lacks acknowledged commits, because the one that has them is not in it.
 */
static void
test_change_in_large_group (void **state)
{
  Fixture f;

  (void)state;
  setup (&f, g_strdup ("g"), "node", "a");
  add_database (&f, g_strdup ("db0"), TRUE, 50);
  for (guint i = 1; i < MAX_DATABASES; i++)
    add_database (&f, g_strdup_printf ("db%u", i), FALSE, 10 + i);
  check_change (&f, MAX_DATABASES - 1);
  teardown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_with_long_names),
    cmocka_unit_test (test_change_in_large_group),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
