/* Guards against an account of bytes that loses or keeps bytes, closes the
 * wrong users or cannot end, and against limits that ordinary sessions meet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "budget.h"
#include "prepared.h"
#include "values.h"

#include "settings.h"
#include "wire.h"

#include "toucanscale/status.h"

#include <string.h>

#define LIMIT 100000

typedef struct
{
  TouBudgetUser user;
  gboolean keeps; /* its bytes stay until its work ends */
  guint n_closed;
  guint n_checked;
} User;

static void
user_close (TouBudgetUser *user)
{
  User *self = (User *)user;

  self->n_closed++;
  if (!self->keeps)
    tou_budget_user_clear (user);
}

static void
user_check (TouBudgetUser *user, guint64 now_us)
{
  User *self = (User *)user;

  self->n_checked++;
  if (now_us == 0)
    tou_budget_user_clear (user);
}

static const TouBudgetClass user_class = { "user", user_close, user_check };

static void
users_init (User *users, guint n, TouBudget *budget)
{
  memset (users, 0, n * sizeof *users);
  for (guint i = 0; i < n; i++)
    tou_budget_user_init (&users[i].user, budget, &user_class);
}

static void
test_bytes_are_counted_once (void **state)
{
  TouBudget *budget;
  User users[2];

  (void)state;
  tou_budget_create (&budget, LIMIT);
  users_init (users, 2, budget);
  tou_budget_set (&users[0].user, TOU_BUDGET_INPUT, 70000);
  tou_budget_set (&users[1].user, TOU_BUDGET_INPUT, 500);
  tou_budget_set (&users[1].user, TOU_BUDGET_OUTPUT, 100);
  assert_int_equal (tou_budget_total (budget), 70600);
  assert_int_equal (tou_budget_used (budget, TOU_BUDGET_INPUT), 70500);
  assert_int_equal (tou_budget_n_tracked (budget), 1);
  assert_false (tou_budget_is_tight (budget));
  tou_budget_set (&users[0].user, TOU_BUDGET_INPUT, 75000);
  assert_true (tou_budget_is_tight (budget));
  tou_budget_user_clear (&users[0].user);
  tou_budget_user_clear (&users[0].user);
  tou_budget_set (&users[0].user, TOU_BUDGET_INPUT, 1);
  tou_budget_user_clear (&users[1].user);
  assert_int_equal (tou_budget_total (budget), 0);
  assert_int_equal (tou_budget_n_tracked (budget), 0);
  assert_int_equal (tou_budget_peak (budget), 75600);
  tou_budget_destroy (budget);
}

/* A small user that is closed for a large one, or a large one that keeps its
   bytes and is closed again and again. */
static void
test_largest_users_are_closed (void **state)
{
  TouBudget *budget;
  User users[4];

  (void)state;
  tou_budget_create (&budget, LIMIT);
  users_init (users, 4, budget);
  users[1].keeps = TRUE;
  tou_budget_set (&users[0].user, TOU_BUDGET_INPUT, 20000);
  tou_budget_set (&users[1].user, TOU_BUDGET_STATEMENT, 60000);
  tou_budget_set (&users[2].user, TOU_BUDGET_OUTPUT, 30000);
  tou_budget_set (&users[3].user, TOU_BUDGET_STATE, 2000);
  tou_budget_enforce (budget);
  assert_int_equal (users[1].n_closed, 1);
  assert_int_equal (users[2].n_closed, 1);
  assert_int_equal (users[0].n_closed + users[3].n_closed, 0);
  assert_int_equal (tou_budget_total (budget), 82000);
  tou_budget_set (&users[3].user, TOU_BUDGET_STATE, 50000);
  tou_budget_enforce (budget);
  assert_int_equal (users[1].n_closed, 1);
  assert_int_equal (users[3].n_closed, 1);
  tou_budget_destroy (budget);
}

static void
test_no_limit_closes_nobody (void **state)
{
  TouBudget *budget;
  User user;

  (void)state;
  tou_budget_create (&budget, 0);
  users_init (&user, 1, budget);
  tou_budget_set (&user.user, TOU_BUDGET_INPUT, G_MAXINT32);
  tou_budget_enforce (budget);
  assert_false (tou_budget_is_tight (budget));
  assert_int_equal (user.n_closed, 0);
  tou_budget_destroy (budget);
}

/* A check that ends its own user must not end the round of checks. */
static void
test_checks_visit_every_user (void **state)
{
  TouBudget *budget;
  User users[3];

  (void)state;
  tou_budget_create (&budget, LIMIT);
  users_init (users, 3, budget);
  for (guint i = 0; i < 3; i++)
    tou_budget_set (&users[i].user, TOU_BUDGET_INPUT, 2000);
  tou_budget_check (budget, 1);
  tou_budget_check (budget, 0);
  for (guint i = 0; i < 3; i++)
    assert_int_equal (users[i].n_checked, 2);
  assert_int_equal (tou_budget_total (budget), 0);
  tou_budget_destroy (budget);
}

static void
test_trim_keeps_the_text (void **state)
{
  GString *string = g_string_new ("text");

  (void)state;
  g_string_set_size (string, 1 << 20);
  g_string_truncate (string, 4);
  tou_budget_trim (string);
  assert_string_equal (string->str, "text");
  assert_in_range (string->allocated_len, 5, 64);
  g_string_append (string, " and more");
  assert_string_equal (string->str, "text and more");
  g_string_free (string, TRUE);
}

/* A line end that arrives in two pieces, and bytes that are searched again. */
static void
test_lines_in_pieces (void **state)
{
  const char *data = "ab\r\ncd\r\n";
  gsize used = 0;
  gsize searched = 0;
  TouSlice line;

  (void)state;
  for (gsize size = 0; size < 4; size++)
    {
      assert_false (
          plat_wire_next_line_after (&line, data, size, &used, &searched));
      assert_int_equal (searched, size > 0 ? size - 1 : 0);
    }
  assert_true (plat_wire_next_line_after (&line, data, 4, &used, &searched));
  assert_true (tou_slice_is (line, "ab"));
  assert_int_equal (used, 4);
  assert_false (plat_wire_next_line_after (&line, data, 7, &used, &searched));
  assert_int_equal (searched, 6);
  assert_true (plat_wire_next_line_after (&line, data, 8, &used, &searched));
  assert_true (tou_slice_is (line, "cd"));
}

static void
test_values_have_limits (void **state)
{
  static char large[1 << 20];
  TouSlice text = { large, sizeof large };
  TouSqlValues values;
  char name[16];

  (void)state;
  memset (large, 'x', sizeof large);
  tou_values_init (&values);
  for (guint i = 0; i < TOU_VALUES_MAX; i++)
    {
      TouSlice slice
          = { name, (gsize)g_snprintf (name, sizeof name, "v%u", i) };

      assert_true (tou_values_have_room (&values, slice, (TouSlice){ "x", 1 }));
      tou_values_set (&values, slice, (TouSlice){ "x", 1 });
    }
  assert_false (tou_values_have_room (&values, (TouSlice){ "w", 1 },
                                      (TouSlice){ "", 0 }));
  assert_true (tou_values_have_room (&values, (TouSlice){ "v0", 2 }, text));
  tou_values_set (&values, (TouSlice){ "v0", 2 }, text);
  assert_false (tou_values_have_room (&values, (TouSlice){ "v1", 2 }, text));
  assert_true (tou_values_have_room (&values, (TouSlice){ "v0", 2 }, text));
  tou_values_reset (&values);
  assert_int_equal (values.bytes, 0);
  assert_true (tou_values_have_room (&values, (TouSlice){ "v1", 2 }, text));
  tou_values_clear (&values);
}

static void
put (GHashTable **table, const char *text)
{
  TouSqlStatement statement;

  plat_wire_decode_statement (&statement, (TouSlice){ text, strlen (text) });
  assert_int_equal (statement.kind, TOU_SQL_PREPARE);
  tou_prepared_put (table, &statement);
}

static gboolean
has_room (GHashTable *table, const char *name, gsize size, guint max)
{
  char *shape = g_strnfill (size, 's');
  TouSqlStatement statement = { 0 };
  gboolean room;

  statement.as.prepare.name = (TouSlice){ name, strlen (name) };
  statement.as.prepare.shape = (TouSlice){ shape, size };
  room = tou_prepared_has_room (table, &statement, max, TOU_PREPARED_MAX_BYTES);
  g_free (shape);
  return room;
}

static void
test_prepared_statements_have_limits (void **state)
{
  GHashTable *table = NULL;

  (void)state;
  put (&table, "PREPARE p READ s");
  assert_true (has_room (table, "q", 1 << 20, 2));
  assert_false (has_room (table, "q", 2 << 20, 2));
  put (&table, "PREPARE q READ s");
  assert_false (has_room (table, "r", 1, 2));
  assert_true (has_room (table, "q", 1, 2));
  g_hash_table_destroy (table);
  tou_prepared_shapes_destroy ();
}

static const char *
link_name (GHashTable *table)
{
  TouSqlStatement statement = { 0 };

  statement.as.execute.name = (TouSlice){ "p", 1 };
  return tou_prepared_find (table, &statement)->link_name;
}

/* Clients that reconnect must not make all links prepare their statements
   again; large texts must not be kept. */
static void
test_unused_shapes (void **state)
{
  GHashTable *table = NULL;
  char *large = g_strnfill (900000, 's');
  char *text = g_strconcat ("PREPARE p READ ", large, NULL);
  char *name;

  (void)state;
  put (&table, "PREPARE p READ short");
  name = g_strdup (link_name (table));
  g_hash_table_remove_all (table);
  put (&table, "PREPARE p READ short");
  assert_string_equal (link_name (table), name);
  g_hash_table_remove_all (table);
  put (&table, text);
  g_hash_table_remove_all (table);
  text[strlen ("PREPARE p READ ")] = 'o';
  put (&table, text);
  g_hash_table_remove_all (table);
  /* Both do not fit, and the short one was unused for longer. */
  put (&table, "PREPARE p READ short");
  assert_string_not_equal (link_name (table), name);
  tou_prepared_shapes_destroy ();
  assert_int_equal (g_hash_table_size (table), 1);
  g_hash_table_destroy (table);
  g_free (name);
  g_free (text);
  g_free (large);
}

#define SETTINGS                                                               \
  "node=n\nzone=a\nip=127.0.0.1\nlisten.frontend=127.0.0.1:1\n"                \
  "listen.readiness=127.0.0.1:2\ninternalPorts=3,4\n"                          \
  "platform.address=127.0.0.1:5\nplatform.ttlMinMs=1000\nlimits.maxFds=500\n"  \
  "bounds.drainMs=1000\nbounds.graceS=2\n"

static void
test_memory_setting (void **state)
{
  TouNodeSettings settings;

  (void)state;
  assert_int_equal (plat_settings_parse (&settings, SETTINGS), TOU_OK);
  assert_int_equal (settings.memory_bytes, 0);
  assert_int_equal (
      plat_settings_parse (&settings, SETTINGS "limits.memoryMb=160\n"),
      TOU_OK);
  assert_int_equal (settings.memory_bytes, 160 << 20);
  assert_int_equal (
      plat_settings_parse (&settings, SETTINGS "limits.memoryMb=x\n"),
      TOU_E_SETTING_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bytes_are_counted_once),
    cmocka_unit_test (test_largest_users_are_closed),
    cmocka_unit_test (test_no_limit_closes_nobody),
    cmocka_unit_test (test_checks_visit_every_user),
    cmocka_unit_test (test_trim_keeps_the_text),
    cmocka_unit_test (test_lines_in_pieces),
    cmocka_unit_test (test_values_have_limits),
    cmocka_unit_test (test_prepared_statements_have_limits),
    cmocka_unit_test (test_unused_shapes),
    cmocka_unit_test (test_memory_setting),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
