/*
 * test-decisions-sample-next.c: tests the next step after a run or a reward call of a sample ends.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/sample-next.h"

#define MS G_GINT64_CONSTANT (1000)

/* end, failures, unprocessable_answers, max_attempts, runs_without_event; action, pause_us, eject_worker */
static const struct
{
  QuinceSampleRunResult run;
  QuinceSampleNext next;
} rows[] = {
  { { QUINCE_RUN_COMPLETE, 3, 0, 2 }, { QUINCE_SAMPLE_NEXT_REWARD, 0, FALSE } },
  { { QUINCE_RUN_REFUSED, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 30 * MS, FALSE } },
  { { QUINCE_RUN_NO_CONNECTION, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 30 * MS, TRUE } },
  { { QUINCE_RUN_BROKEN, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 0, TRUE } },
  { { QUINCE_RUN_CONNECTION_LOST, 3, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 0, TRUE } },
  { { QUINCE_RUN_OUT_OF_ORDER, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 0, FALSE } },
  { { QUINCE_RUN_MOVED, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 0, FALSE } },
  { { QUINCE_RUN_REPLACED, 0, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 0, FALSE } },
  { { QUINCE_RUN_FAILED, 1, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 50 * MS, FALSE } },
  { { QUINCE_RUN_FAILED, 3, 0, 2 }, { QUINCE_SAMPLE_NEXT_RUN, 50 * MS, FALSE } },
  { { QUINCE_RUN_FAILED, 4, 0, 2 }, { QUINCE_SAMPLE_NEXT_ABANDON, 0, FALSE } },
  /* The route is no longer configured: as with one attempt. */
  { { QUINCE_RUN_FAILED, 1, 0, 0 }, { QUINCE_SAMPLE_NEXT_RUN, 50 * MS, FALSE } },
  { { QUINCE_RUN_FAILED, 2, 0, 0 }, { QUINCE_SAMPLE_NEXT_ABANDON, 0, FALSE } },
  { { QUINCE_RUN_UNPROCESSABLE, 0, 1, 2 }, { QUINCE_SAMPLE_NEXT_ABANDON, 0, FALSE } },
};

static void
test_after_a_run (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const QuinceSampleNext next = quince_sample_next_after_run (&rows[i].run);
      assert_int_equal (next.action, rows[i].next.action);
      assert_int_equal (next.pause_us, rows[i].next.pause_us);
      assert_int_equal (next.eject_worker, rows[i].next.eject_worker);
    }
}

/* Guards against samples that no worker accepts and that are sent again thousands of times a second, so that
 * others reach no worker. */
static void
test_pause_grows (void **state)
{
  static const gint64 refused_ms[] = { 30, 30, 60, 120, 240, 480, 960, 960, 960 };
  static const gint64 broken_ms[] = { 0, 0, 30, 60, 120, 240, 480, 960, 960 };
  for (guint i = 0; i < G_N_ELEMENTS (refused_ms); i++)
    {
      QuinceSampleRunResult run = { .end = QUINCE_RUN_REFUSED, .max_attempts = 2, .runs_without_event = i };
      assert_int_equal (quince_sample_next_after_run (&run).pause_us, refused_ms[i] * MS);
      run.end = QUINCE_RUN_NO_CONNECTION;
      assert_int_equal (quince_sample_next_after_run (&run).pause_us, refused_ms[i] * MS);
      run.end = QUINCE_RUN_BROKEN;
      assert_int_equal (quince_sample_next_after_run (&run).pause_us, broken_ms[i] * MS);
      run.end = QUINCE_RUN_CONNECTION_LOST;
      assert_int_equal (quince_sample_next_after_run (&run).pause_us, broken_ms[i] * MS);
      run.end = QUINCE_RUN_MOVED;
      assert_int_equal (quince_sample_next_after_run (&run).pause_us, 0);
    }
}

static void
test_after_a_reward_call (void **state)
{
  assert_int_equal (quince_sample_next_after_reward (0, 1).action, QUINCE_SAMPLE_NEXT_REWARD);
  assert_int_equal (quince_sample_next_after_reward (0, 1).pause_us, 100 * MS);
  assert_int_equal (quince_sample_next_after_reward (1, 1).action, QUINCE_SAMPLE_NEXT_ABANDON);
  assert_int_equal (quince_sample_next_after_reward (2, 3).action, QUINCE_SAMPLE_NEXT_REWARD);
  assert_int_equal (quince_sample_next_after_reward (3, 3).action, QUINCE_SAMPLE_NEXT_ABANDON);
  assert_int_equal (quince_sample_reward_pause_us (), 100 * MS);
  assert_int_equal (quince_sample_reward_timeout_ms (0), 4000);
  assert_int_equal (quince_sample_reward_timeout_ms (900), 900);
  assert_int_equal (quince_sample_reward_timeout_ms (9000), 4000);
}

static void
test_sample_expires (void **state)
{
  assert_false (quince_sample_has_expired (0, 5 * MS));
  assert_false (quince_sample_has_expired (5 * MS, 5 * MS - 1));
  assert_true (quince_sample_has_expired (5 * MS, 5 * MS));
}

static void
test_pauses_of_waiting_samples (void **state)
{
  assert_int_equal (quince_sample_policy_pause_us (0), 200 * MS);
  assert_int_equal (quince_sample_policy_pause_us (700), 700 * MS);
  assert_int_equal (quince_sample_admission_pause_us (QUINCE_ADMISSION_POSTPONED), 100 * MS);
  assert_int_equal (quince_sample_admission_pause_us (QUINCE_ADMISSION_PROTECTED), 200 * MS);
  assert_int_equal (quince_sample_admission_pause_us (QUINCE_ADMISSION_WAIT), 5 * MS);
  assert_int_equal (quince_sample_admission_pause_us (QUINCE_ADMISSION_NO_PERMIT), 5 * MS);
}

/* A sample that never ran under a permit comes first, then the one whose run is longest ago. */
static void
test_turns (void **state)
{
  assert_true (quince_sample_compare_turns (0, 1) < 0);
  assert_true (quince_sample_compare_turns (2, 1) > 0);
  assert_int_equal (quince_sample_compare_turns (0, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_after_a_run),
    cmocka_unit_test (test_pause_grows),
    cmocka_unit_test (test_after_a_reward_call),
    cmocka_unit_test (test_sample_expires),
    cmocka_unit_test (test_pauses_of_waiting_samples),
    cmocka_unit_test (test_turns),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
