/* Guards against session positions and request ids that are changed by
 * merging, overflow or conversion to text. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/types.h"

#include <string.h>

/* If a merge loses the higher position, a session may read data older than its
 * own write. */
static void
test_session_merge_keeps_maximum (void **state)
{
  TouSession a = { 0 };
  TouSession b = { 0 };
  TouName group = tou_name ("g");

  (void)state;
  tou_session_raise (&a, &group, (TouLogPos){ 2, 5 });
  tou_session_raise (&b, &group, (TouLogPos){ 1, 90 });
  tou_session_merge (&a, &b);
  assert_int_equal (tou_session_get (&a, &group).term, 2);
  assert_int_equal (tou_session_get (&a, &group).position, 5);
  assert_int_equal (a.n_entries, 1);
}

/* If a group is dropped without setting the overflow flag, its session
 * guarantee (read-your-writes) is lost. */
static void
test_session_overflow_sets_flag (void **state)
{
  TouSession session = { 0 };

  (void)state;
  for (guint i = 0; i <= TOU_SESSION_MAX_GROUPS; i++)
    {
      char text[8];
      TouName group;

      g_snprintf (text, sizeof text, "g%u", i);
      group = tou_name (text);
      tou_session_raise (&session, &group, (TouLogPos){ 1, i + 1 });
    }
  assert_int_equal (session.n_entries, TOU_SESSION_MAX_GROUPS);
  assert_true (session.overflow);
}

/* A request id must survive formatting and parsing, because transactions are
 * identified by its text form. */
static void
test_request_id_round_trip (void **state)
{
  TouRequestId id = { .incarnation = 0xABCDEF, .sequence = 7 };
  TouRequestId parsed;
  TouStr text;

  (void)state;
  id.node = tou_name ("vm.1");
  tou_request_id_format (&text, &id);
  assert_int_equal (tou_request_id_parse (&parsed, text.data, text.len), 0);
  assert_true (tou_request_id_equal (&id, &parsed));
  tou_str_clear (&text);
  assert_int_equal (tou_request_id_parse (&parsed, "a.b", 3),
                    TOU_E_INVALID_ARGUMENT);
  assert_int_equal (tou_request_id_parse (&parsed, "a.1.xyz", 7),
                    TOU_E_INVALID_ARGUMENT);
}

/* Long names that differ in their last byte must stay different, and none may
 * equal the shortened form of another. */
static void
test_long_names_stay_different (void **state)
{
  char text[2 * TOU_NAME_MAX];
  TouName kept;
  TouName a;
  TouName b;

  (void)state;
  memset (text, 'x', sizeof text);
  tou_name_shorten (&kept, text, TOU_NAME_MAX);
  assert_int_equal (kept.len, TOU_NAME_MAX);
  assert_false (tou_name_is_shortened (&kept));
  tou_name_shorten (&a, text, TOU_NAME_MAX + 1);
  assert_true (tou_name_is_shortened (&a));
  assert_false (tou_name_equal (&a, &kept));
  text[TOU_NAME_MAX] = 'y';
  tou_name_shorten (&b, text, TOU_NAME_MAX + 1);
  assert_false (tou_name_equal (&a, &b));
  /* A name from outside that looks like the form of another one. */
  tou_name_shorten (&b, a.data, a.len);
  assert_true (tou_name_is_shortened (&b));
  assert_false (tou_name_equal (&a, &b));
}

/* A character that is cut in the middle would make a record of the store
 * unreadable, because it would not be text. */
static void
test_long_names_stay_text (void **state)
{
  GString *text = g_string_new ("x");
  TouName name;

  (void)state;
  while (text->len <= TOU_NAME_MAX)
    g_string_append (text, "\u0444");
  tou_name_shorten (&name, text->str, text->len);
  assert_true (g_utf8_validate (name.data, name.len, NULL));
  /* Bytes that are no text, as clients may send. */
  memset (text->str, 0x80, text->len);
  tou_name_shorten (&name, text->str, text->len);
  assert_true (g_utf8_validate (name.data, name.len, NULL));
  g_string_free (text, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_session_merge_keeps_maximum),
    cmocka_unit_test (test_session_overflow_sets_flag),
    cmocka_unit_test (test_request_id_round_trip),
    cmocka_unit_test (test_long_names_stay_different),
    cmocka_unit_test (test_long_names_stay_text),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
