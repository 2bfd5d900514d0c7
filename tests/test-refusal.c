/* Guards against clients that use up their three tries within a second while a
 * primary is being changed or is cut off from many nodes, and against
 * statements that wait although no node can serve them in time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "refusal.h"

#define MS TOU_US_PER_MS
/* Tries of a client per operation. */
#define TRIES 3
#define STEP_MS 25

static TouRefusalVerdict
decide (TouRefusalCause cause, guint64 cause_ms, guint64 waited_ms,
        guint64 left_ms)
{
  TouRefusalInput input
      = { cause, cause_ms * MS, waited_ms * MS, left_ms * MS, FALSE };

  return tou_refusal_decide (&input);
}

/* Returns the time in ms until a client whose node has been affected for
 * @a cause_ms has used up its tries; each has the time that is left. */
static guint64
tries_last_ms (TouRefusalCause cause, guint64 cause_ms, guint64 limit_ms)
{
  guint64 now_ms = 0;
  guint64 waited_ms;

  for (guint i = 0; i < TRIES; i++)
    for (waited_ms = 0;
         now_ms < limit_ms
         && decide (cause, cause_ms + now_ms, waited_ms, limit_ms - now_ms).kind
                == TOU_REFUSAL_WAIT;
         waited_ms += STEP_MS)
      now_ms += STEP_MS;
  return now_ms;
}

/* Pattern: planned or unplanned change, statements with limits of 2.5 to 12 s
 * arrive throughout. All that can be served after it wait. */
static void
test_change_in_progress (void **state)
{
  TouRefusalVerdict verdict;

  (void)state;
  assert_int_equal (decide (TOU_REFUSAL_CHANGING, 0, 0, 2500).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_CHANGING, 1500, 1500, 1000).kind,
                    TOU_REFUSAL_WAIT);
  verdict = decide (TOU_REFUSAL_CHANGING, 300, 0, 1000);
  assert_int_equal (verdict.kind, TOU_REFUSAL_LATER);
  assert_int_equal (verdict.as.retry_us, 1700 * MS);
}

/* Pattern: the store is down during a change, which takes 8 s instead of 2 s.
 * Statements are not refused because the usual time has passed. */
static void
test_change_is_overdue (void **state)
{
  TouRefusalVerdict verdict;

  (void)state;
  assert_int_equal (decide (TOU_REFUSAL_CHANGING, 7000, 0, 8000).kind,
                    TOU_REFUSAL_WAIT);
  verdict = decide (TOU_REFUSAL_CHANGING, 7000, 7600, 400);
  assert_int_equal (verdict.kind, TOU_REFUSAL_LATER);
  assert_int_equal (verdict.as.retry_us, 500 * MS);
}

/* Pattern: half of the nodes lose a primary, or its proofs, for several
 * seconds; a client meets affected nodes only. Its tries last beyond a change,
 * also if the nodes have been affected for long. */
static void
test_tries_of_a_client (void **state)
{
  (void)state;
  for (TouRefusalCause cause = TOU_REFUSAL_UNPROVED; cause <= TOU_REFUSAL_LOST;
       cause++)
    for (guint64 cause_ms = 0; cause_ms <= 10000; cause_ms += 500)
      {
        assert_true (tries_last_ms (cause, cause_ms, 12000) >= 3000);
        assert_true (tries_last_ms (cause, cause_ms, 8000) >= 3000);
        assert_true (tries_last_ms (cause, cause_ms, 2500) >= 1700);
      }
}

/* Pattern: the primary crashes. Its gateways do not reach it either, so that
 * statements wait for the change instead of trying other nodes. */
static void
test_primary_is_lost (void **state)
{
  (void)state;
  assert_int_equal (decide (TOU_REFUSAL_LOST, 100, 100, 8000).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_LOST, 1600, 1600, 8000).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_LOST, 100, 0, 2400).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_LOST, 900, 800, 1600).kind,
                    TOU_REFUSAL_LATER);
  assert_int_equal (decide (TOU_REFUSAL_LOST, 3000, 1000, 8000).kind,
                    TOU_REFUSAL_ELSEWHERE);
}

/* Pattern: a statement has waited for a change, which has just ended. It waits
 * for the proofs and connections as well instead of being sent elsewhere. */
static void
test_change_has_ended (void **state)
{
  (void)state;
  assert_int_equal (decide (TOU_REFUSAL_UNPROVED, 100, 2000, 6000).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_UNREACHABLE, 300, 2000, 6000).kind,
                    TOU_REFUSAL_WAIT);
  assert_int_equal (decide (TOU_REFUSAL_UNPROVED, 500, 2000, 6000).kind,
                    TOU_REFUSAL_ELSEWHERE);
}

/* Pattern: one node is cut off from everything. Its clients leave at once. */
static void
test_isolated_node (void **state)
{
  TouRefusalInput input
      = { TOU_REFUSAL_UNPROVED, 500 * MS, 0, 8000 * MS, TRUE };

  (void)state;
  assert_int_equal (tou_refusal_decide (&input).kind, TOU_REFUSAL_ELSEWHERE);
  input.cause = TOU_REFUSAL_CHANGING;
  assert_int_equal (tou_refusal_decide (&input).kind, TOU_REFUSAL_ELSEWHERE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_in_progress),
    cmocka_unit_test (test_change_is_overdue),
    cmocka_unit_test (test_tries_of_a_client),
    cmocka_unit_test (test_primary_is_lost),
    cmocka_unit_test (test_change_has_ended),
    cmocka_unit_test (test_isolated_node),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
