/*
 * test-failure-detector.c: detection of silent fronts, and cases without a reliable result.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/routing/failure-detector.h"

#define US_PER_MS 1000
#define HEARTBEAT_TIMEOUT_US (700 * US_PER_MS)

static QuinceFailureDetector *
new_detector (const char *const *names)
{
  QuinceFailureDetector *detector = quince_failure_detector_new (HEARTBEAT_TIMEOUT_US);
  quince_failure_detector_restart (detector, 0);
  for (; *names != NULL; names++)
    quince_failure_detector_set_listed (detector, 0, *names, TRUE);
  return detector;
}

static void
record_heartbeats (QuinceFailureDetector *detector, gint64 now_us, const char *const *names)
{
  for (; *names != NULL; names++)
    quince_failure_detector_record_heartbeat (detector, now_us, *names);
}

static void
test_single_silent_front (void **state)
{
  static const char *const names[] = { "f1", "f2", "f3", NULL };
  static const char *const alive[] = { "f1", "f3", NULL };
  g_autoptr (QuinceFailureDetector) detector = new_detector (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  record_heartbeats (detector, HEARTBEAT_TIMEOUT_US, names);
  assert_true (quince_failure_detector_get_silent (detector, HEARTBEAT_TIMEOUT_US + US_PER_MS, silent));
  assert_int_equal (silent->len, 0);
  record_heartbeats (detector, 2 * HEARTBEAT_TIMEOUT_US, alive);
  assert_true (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 1);
  assert_string_equal (silent->pdata[0], "f2");
  /* The front resumes its heartbeats. */
  quince_failure_detector_record_heartbeat (detector, 2 * HEARTBEAT_TIMEOUT_US, "f2");
  g_ptr_array_set_size (silent, 0);
  assert_true (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 0);
}

static void
test_no_verdict_after_restart (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  g_autoptr (QuinceFailureDetector) detector = new_detector (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_restart (detector, 10 * HEARTBEAT_TIMEOUT_US);
  quince_failure_detector_record_heartbeat (detector, 10 * HEARTBEAT_TIMEOUT_US, "f1");
  assert_false (quince_failure_detector_get_silent (detector, 11 * HEARTBEAT_TIMEOUT_US - 1, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (detector, 11 * HEARTBEAT_TIMEOUT_US, "f1");
  assert_true (quince_failure_detector_get_silent (detector, 11 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 1);
}

static void
test_no_verdict_if_isolated (void **state)
{
  static const char *const names[] = { "f1", "f2", "f3", "f4", "f5", NULL };
  g_autoptr (QuinceFailureDetector) detector = new_detector (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_record_heartbeat (detector, 2 * HEARTBEAT_TIMEOUT_US, "f4");
  assert_false (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (detector, 2 * HEARTBEAT_TIMEOUT_US, "f5");
  assert_false (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 0);
  quince_failure_detector_record_heartbeat (detector, 2 * HEARTBEAT_TIMEOUT_US, "f3");
  assert_true (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 2);
}

static void
test_recently_unlisted_front (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  g_autoptr (QuinceFailureDetector) detector = new_detector (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  /* A front that was never listed is not monitored. */
  quince_failure_detector_record_heartbeat (detector, 0, "stranger");
  quince_failure_detector_record_heartbeat (detector, 2 * HEARTBEAT_TIMEOUT_US, "f1");
  /* A front that was listed until now and sends no heartbeats is still reported as silent. */
  quince_failure_detector_set_listed (detector, 2 * HEARTBEAT_TIMEOUT_US, "f2", FALSE);
  assert_true (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 1);
  assert_string_equal (silent->pdata[0], "f2");
  /* Listing a front again restarts its heartbeat timeout. */
  g_ptr_array_set_size (silent, 0);
  quince_failure_detector_set_listed (detector, 2 * HEARTBEAT_TIMEOUT_US, "f2", TRUE);
  assert_true (quince_failure_detector_get_silent (detector, 2 * HEARTBEAT_TIMEOUT_US, silent));
  assert_int_equal (silent->len, 0);
}

/* A front that was unlisted long ago is removed. */
static void
test_remove_stale (void **state)
{
  static const char *const names[] = { "f1", "f2", NULL };
  const gint64 later = 30 * G_USEC_PER_SEC;
  g_autoptr (QuinceFailureDetector) detector = new_detector (names);
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  quince_failure_detector_set_listed (detector, HEARTBEAT_TIMEOUT_US, "f2", FALSE);
  quince_failure_detector_record_heartbeat (detector, later, "f1");
  quince_failure_detector_remove_stale (detector, later);
  assert_true (quince_failure_detector_get_silent (detector, later, silent));
  assert_int_equal (silent->len, 0);
  assert_true (quince_failure_detector_is_alive (detector, later, "f1"));
  assert_false (quince_failure_detector_is_alive (detector, later, "f2"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_single_silent_front),    cmocka_unit_test (test_no_verdict_after_restart),
    cmocka_unit_test (test_no_verdict_if_isolated), cmocka_unit_test (test_recently_unlisted_front),
    cmocka_unit_test (test_remove_stale),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
