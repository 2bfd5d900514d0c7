/* Guards against session tokens that are forged, oversized or merged to lower
 * positions. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/token.h"

#include <string.h>

static const TouTokenKeys keys = { 1, { { 1, 2, 3 } } };

static TouSession
full_session (void)
{
  TouSession session = { 0 };

  for (guint i = 0; i < TOU_SESSION_MAX_GROUPS; i++)
    {
      TouName group = { 0 };

      memset (group.data, 'a' + (int)i, TOU_NAME_MAX);
      group.len = TOU_NAME_MAX;
      tou_session_raise (&session, &group, (TouLogPos){ i + 1, G_MAXUINT64 });
    }
  return session;
}

/* If an entry or flag were lost, a session might not read its own writes. */
static void
test_round_trip_of_the_largest_session (void **state)
{
  TouSession session = full_session ();
  TouSession parsed = { 0 };
  TouStr text;

  (void)state;
  session.overflow = TRUE;
  assert_int_equal (tou_token_encode (&text, &session, &keys), TOU_OK);
  assert_true (text.len <= TOU_TOKEN_MAX_LEN);
  assert_int_equal (tou_token_merge (&parsed, text.data, text.len, &keys), 0);
  assert_int_equal (parsed.n_entries, TOU_SESSION_MAX_GROUPS);
  assert_true (parsed.overflow);
  for (guint i = 0; i < TOU_SESSION_MAX_GROUPS; i++)
    assert_int_equal (tou_log_pos_compare (
                          tou_session_get (&parsed, &session.entries[i].group),
                          session.entries[i].pos),
                      0);
  tou_str_clear (&text);
}

/* If a modified token were accepted, clients could forge positions. */
static void
test_every_changed_byte_is_refused (void **state)
{
  TouSession session = { 0 };
  TouSession parsed = { 0 };
  TouName group = tou_name ("g");
  TouStr text;

  (void)state;
  tou_session_raise (&session, &group, (TouLogPos){ 1, 5 });
  assert_int_equal (tou_token_encode (&text, &session, &keys), TOU_OK);
  for (gsize i = 0; i < text.len; i++)
    {
      char saved = text.data[i];

      text.data[i] = saved == 'A' ? 'B' : 'A';
      assert_int_equal (tou_token_merge (&parsed, text.data, text.len, &keys),
                        TOU_E_TOKEN_INVALID);
      assert_int_equal (tou_token_merge (&parsed, text.data, i, &keys),
                        TOU_E_TOKEN_INVALID);
      text.data[i] = saved;
    }
  assert_int_equal (parsed.n_entries, 0);
  tou_str_clear (&text);
}

/* During a key rotation, tokens of the old key must be accepted and those of
   unknown keys refused. */
static void
test_old_key_is_accepted_during_rotation (void **state)
{
  TouTokenKeys rotated = { 2, { { 9 }, { 1, 2, 3 } } };
  TouTokenKeys other = { 1, { { 9 } } };
  TouSession session = { .overflow = TRUE };
  TouStr text;

  (void)state;
  assert_int_equal (tou_token_encode (&text, &session, &keys), TOU_OK);
  assert_int_equal (tou_token_merge (&session, text.data, text.len, &rotated),
                    TOU_OK);
  assert_int_equal (tou_token_merge (&session, text.data, text.len, &other),
                    TOU_E_TOKEN_INVALID);
  tou_str_clear (&text);
}

/* An invalid token in a list must not leave a partially merged session. */
static void
test_list_is_merged_by_maximum_or_not_at_all (void **state)
{
  TouName group = tou_name ("g");
  TouSession a = { 0 };
  TouSession b = { 0 };
  TouSession merged = { 0 };
  TouStr first;
  TouStr second;
  char *list;

  (void)state;
  tou_session_raise (&a, &group, (TouLogPos){ 2, 1 });
  tou_session_raise (&b, &group, (TouLogPos){ 1, 9 });
  assert_int_equal (tou_token_encode (&first, &a, &keys), TOU_OK);
  assert_int_equal (tou_token_encode (&second, &b, &keys), TOU_OK);
  list = g_strconcat (first.data, ", ", second.data, ",x", NULL);
  assert_int_equal (tou_token_merge_list (&merged, list, &keys),
                    TOU_E_TOKEN_INVALID);
  assert_int_equal (merged.n_entries, 0);
  list[strlen (list) - 2] = '\0';
  assert_int_equal (tou_token_merge_list (&merged, list, &keys), TOU_OK);
  assert_int_equal (tou_session_get (&merged, &group).term, 2);
  g_free (list);
  tou_str_clear (&first);
  tou_str_clear (&second);
}

/* Oversized input must be refused before it is decoded. */
static void
test_oversized_token_is_refused (void **state)
{
  TouSession session = { 0 };
  char text[TOU_TOKEN_MAX_LEN + 1];

  (void)state;
  memset (text, 'A', sizeof text);
  text[0] = '1';
  text[1] = '.';
  assert_int_equal (tou_token_merge (&session, text, sizeof text, &keys),
                    TOU_E_TOKEN_INVALID);
  assert_int_equal (tou_token_merge (&session, text, sizeof text - 1, &keys),
                    TOU_E_TOKEN_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip_of_the_largest_session),
    cmocka_unit_test (test_every_changed_byte_is_refused),
    cmocka_unit_test (test_old_key_is_accepted_during_rotation),
    cmocka_unit_test (test_list_is_merged_by_maximum_or_not_at_all),
    cmocka_unit_test (test_oversized_token_is_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
