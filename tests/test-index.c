/* Guards against fresh reads and commits that are confirmed without a
 * majority, and ages of data that are computed too low. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "index.h"

/* Fake: all positions have the same term, so only positions are compared. */
gboolean
tou_record_covers (const TouGroupRecord *record, TouLogPos last, TouLogPos pos)
{
  (void)record;
  return last.term == pos.term && last.position >= pos.position;
}

static void
index_report (TouIndex *index, guint endpoint, guint64 requested_us,
              guint64 position, guint64 fence_term)
{
  TouDbReport report = { .last = { 1, position }, .fence_term = fence_term };

  tou_index_on_report (index, endpoint, requested_us, requested_us + 1,
                       &report);
}

/* A read index based on reports requested before the arrival of the fresh read
 * misses writes acknowledged in between. */
static void
test_read_index_needs_later_majority (void **state)
{
  TouIndex *index;
  TouLogPos pos;

  (void)state;
  assert_int_equal (tou_index_create (&index, 3), TOU_OK);
  index_report (index, 0, 100, 50, 1);
  index_report (index, 1, 90, 40, 1);
  assert_false (tou_index_read_index (index, 95, &pos));
  index_report (index, 1, 101, 45, 1);
  assert_true (tou_index_read_index (index, 95, &pos));
  assert_int_equal (pos.position, 50);
  index_report (index, 2, 100, 48, 1);
  assert_true (tou_index_read_index (index, 95, &pos));
  assert_int_equal (pos.position, 48);
  tou_index_destroy (index);
}

/* An age that excludes the age of the report, or that treats an unknown lag as
 * zero, allows reads of data older than the client permits. */
static void
test_age_counts_from_covered_round (void **state)
{
  TouIndex *index;

  (void)state;
  assert_int_equal (tou_index_create (&index, 3), TOU_OK);
  index_report (index, 0, 1000, 50, 1);
  assert_int_equal (tou_index_age (index, NULL, 2, 1500), G_MAXUINT64);
  index_report (index, 2, 1000, 50, 1);
  for (guint64 i = 1; i <= 200; i++)
    {
      index_report (index, 0, 1000 + i * 10, 50 + i, 1);
      index_report (index, 1, 1000 + i * 10, 50 + i, 1);
    }
  assert_int_equal (tou_index_age (index, NULL, 1, 3500), 500);
  assert_true (tou_index_age (index, NULL, 2, 3500) >= 2500);
  tou_index_destroy (index);
}

/* A write must not count as committed by reports of another term, of a fenced
 * replica or of less than a majority: a promotion could discard it. */
static void
test_commit_needs_unfenced_majority (void **state)
{
  TouIndex *index;

  (void)state;
  assert_int_equal (tou_index_create (&index, 3), TOU_OK);
  index_report (index, 0, 10, 60, 1);
  index_report (index, 1, 10, 59, 1);
  assert_false (tou_index_is_committed (index, 0, (TouLogPos){ 1, 60 }));
  index_report (index, 1, 20, 60, 2);
  assert_false (tou_index_is_committed (index, 0, (TouLogPos){ 1, 60 }));
  index_report (index, 2, 20, 60, 1);
  assert_true (tou_index_is_committed (index, 0, (TouLogPos){ 1, 60 }));
  assert_false (tou_index_is_committed (index, 0, (TouLogPos){ 2, 60 }));
  index_report (index, 0, 30, 60, 2);
  assert_false (tou_index_is_committed (index, 0, (TouLogPos){ 1, 60 }));
  tou_index_destroy (index);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_read_index_needs_later_majority),
    cmocka_unit_test (test_age_counts_from_covered_round),
    cmocka_unit_test (test_commit_needs_unfenced_majority),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
