/*
 * test-failure-detector.c: which fronts are silent, and when no judgement is possible.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/routing/failure-detector.h"

#define MILLISECOND 1000
#define SILENCE (700 * MILLISECOND)

static QuinceFailureDetector *
listed (const char *const *names)
{
  QuinceFailureDetector *table = quince_failure_detector_new (SILENCE);
  quince_failure_detector_restart (table, 0);
  for (; *names != NULL; names++)
    quince_failure_detector_set_listed (table, 0, *names, TRUE);
  return table;
}

static void
hear_all (QuinceFailureDetector *table, gint64 now_us, const char *const *names)
{
  for (; *names != NULL; names++)
    quince_failure_detector_record_heartbeat (table, now_us, *names);
}

static void
test_silent_one (void **state)
{
  static const char *const names[] = { "f1", "f2", "f3", NULL };
  static const char *const alive[] = { "f1", "f3", NULL };
  g_autoptr (QuinceFailureDetector) table = listed (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  hear_all (table, SILENCE, names);
  assert_true (quince_failure_detector_get_silent (table, SILENCE + MILLISECOND, silent));
  assert_int_equal (silent->len, 0);
  hear_all (table, 2 * SILENCE, alive);
  assert_true (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 1);
  assert_string_equal (silent->pdata[0], "f2");
  /* It speaks again. */
  quince_failure_detector_record_heartbeat (table, 2 * SILENCE, "f2");
  g_ptr_array_set_size (silent, 0);
  assert_true (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 0);
}

static void
test_nothing_said_at_first (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  g_autoptr (QuinceFailureDetector) table = listed (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_restart (table, 10 * SILENCE);
  quince_failure_detector_record_heartbeat (table, 10 * SILENCE, "f1");
  assert_false (quince_failure_detector_get_silent (table, 11 * SILENCE - 1, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (table, 11 * SILENCE, "f1");
  assert_true (quince_failure_detector_get_silent (table, 11 * SILENCE, silent));
  assert_int_equal (silent->len, 1);
}

static void
test_cut_off_itself (void **state)
{
  static const char *const names[] = { "f1", "f2", "f3", "f4", "f5", NULL };
  g_autoptr (QuinceFailureDetector) table = listed (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_record_heartbeat (table, 2 * SILENCE, "f4");
  assert_false (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (table, 2 * SILENCE, "f5");
  assert_false (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (table, 2 * SILENCE, "f3");
  assert_true (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 2);
}

static void
test_unlisted (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  g_autoptr (QuinceFailureDetector) table = listed (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  /* Heard, and never listed: not in the directory anyway. */
  quince_failure_detector_record_heartbeat (table, 0, "stranger");
  quince_failure_detector_record_heartbeat (table, 2 * SILENCE, "f1");
  /* Its key may have lapsed, but it sends no heartbeats either: it stays silent. */
  quince_failure_detector_set_listed (table, 2 * SILENCE, "f2", FALSE);
  assert_true (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 1);
  assert_string_equal (silent->pdata[0], "f2");
  /* A front that is listed again has time for its first heartbeat. */
  g_ptr_array_set_size (silent, 0);
  quince_failure_detector_set_listed (table, 2 * SILENCE, "f2", TRUE);
  assert_true (quince_failure_detector_get_silent (table, 2 * SILENCE, silent));
  assert_int_equal (silent->len, 0);
}

/* Who is long gone is forgotten. */
static void
test_forgotten (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  const gint64 later = 30 * G_USEC_PER_SEC;
  g_autoptr (QuinceFailureDetector) table = listed (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_set_listed (table, SILENCE, "f2", FALSE);
  quince_failure_detector_record_heartbeat (table, later, "f1");
  quince_failure_detector_remove_stale (table, later);
  assert_true (quince_failure_detector_get_silent (table, later, silent));
  assert_int_equal (silent->len, 0);
  assert_true (quince_failure_detector_is_alive (table, later, "f1"));
  assert_false (quince_failure_detector_is_alive (table, later, "f2"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_silent_one),     cmocka_unit_test (test_nothing_said_at_first),
    cmocka_unit_test (test_cut_off_itself), cmocka_unit_test (test_unlisted),
    cmocka_unit_test (test_forgotten),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
