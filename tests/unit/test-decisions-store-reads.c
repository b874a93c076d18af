/*
 * test-decisions-store-reads.c: tests that hundreds of processes make few calls to the store in a burst of
 * writes or without a leader, and still learn of changes within the change bound.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/store-reads.h"

/* The minimum change bound, and that of a large deployment, ms. */
#define BOUND_MIN_MS 2000
#define BOUND_LARGE_MS 4000
/* A call without an answer fails this long after its watch timeout, ms. */
#define CALL_TIMEOUT_MS 1000
/* Duration of a slow read of the store, ms. */
#define SLOW_READ_MS 500

/* 300 processes start together and write their entries in the first second; every read of these keys returns
 * changes. */
static void
test_burst_of_writes (void **state)
{
  guint interval_ms = 100;
  guint reads = 0;
  for (guint now_ms = 0; now_ms < 1000; now_ms += interval_ms)
    {
      interval_ms = quince_store_reads_next_interval_ms (interval_ms, 100, 500, TRUE);
      reads++;
    }
  assert_true (reads <= 3);
  assert_int_equal (quince_store_reads_next_interval_ms (interval_ms, 100, 500, FALSE), 100);
}

/* The interval of a reader does not grow in a burst. */
static void
test_reader_interval_in_a_burst (void **state)
{
  assert_int_equal (quince_store_reads_next_interval_ms (100, 100, 100, TRUE), 100);
  assert_int_equal (quince_store_reads_next_interval_ms (0, 0, 0, TRUE), 0);
}

/* The processes have no leader for 5 s, and each one reads the store itself. */
static void
test_calls_without_a_leader (void **state)
{
  const QuinceStoreReadTimes small = quince_store_reads_get_times (FALSE, 0);
  const QuinceStoreReadTimes large = quince_store_reads_get_times (FALSE, BOUND_LARGE_MS - BOUND_MIN_MS);
  guint small_calls = (5000 - small.feed_timeout_ms) / small.watch_timeout_ms;
  guint large_calls = (5000 - large.feed_timeout_ms) / large.watch_timeout_ms;
  assert_true (large_calls <= 2);
  assert_true (large_calls * 3 <= small_calls);
}

/* For any change bound, a process knows of a change in time: after the feed timeout and a slow read, and if
 * its last watch was on a dead connection. */
static void
test_changes_are_known_in_time (void **state)
{
  for (guint bound_ms = BOUND_MIN_MS; bound_ms <= 20000; bound_ms += 500)
    {
      const QuinceStoreReadTimes times = quince_store_reads_get_times (FALSE, bound_ms - BOUND_MIN_MS);
      assert_true (times.feed_timeout_ms + SLOW_READ_MS <= bound_ms);
      assert_true (times.watch_timeout_ms + CALL_TIMEOUT_MS + SLOW_READ_MS <= bound_ms);
    }
}

/* For any change bound, a reader times out and completes a slow read before the other processes time out. */
static void
test_readers_read_first (void **state)
{
  for (guint margin_ms = 0; margin_ms <= 20000; margin_ms += 500)
    {
      const QuinceStoreReadTimes reader = quince_store_reads_get_times (TRUE, margin_ms);
      const QuinceStoreReadTimes other = quince_store_reads_get_times (FALSE, margin_ms);
      assert_int_equal (reader.watch_timeout_ms, QUINCE_STORE_WATCH_TIMEOUT_MS);
      assert_true (reader.feed_timeout_ms + SLOW_READ_MS <= other.feed_timeout_ms);
      assert_true (reader.probe_interval_max_ms <= other.probe_interval_max_ms);
    }
}

/* A member of the ledger lists the workers itself only if no other process feeds it. */
static void
test_member_waits_to_be_fed (void **state)
{
  assert_int_equal (quince_store_reads_get_member_wait_ms (TRUE, FALSE), 0);
  guint unconnected_ms = quince_store_reads_get_member_wait_ms (FALSE, FALSE);
  guint connected_ms = quince_store_reads_get_member_wait_ms (FALSE, TRUE);
  assert_true (unconnected_ms > 0 && unconnected_ms < connected_ms);
  assert_true (connected_ms < BOUND_MIN_MS);
}

/* A fed process whose feed timeout changes reads the store as soon as its last page is too old by the new
 * timeout; otherwise it would count as stale until the former timeout is over. */
static void
test_feed_timeout_changes (void **state)
{
  const QuinceStoreReadTimes reader = quince_store_reads_get_times (TRUE, 0);
  guint timeout_ms = reader.feed_timeout_ms;
  assert_int_equal (quince_store_reads_get_feed_time_left_ms (timeout_ms, 0), timeout_ms);
  assert_int_equal (quince_store_reads_get_feed_time_left_ms (timeout_ms, 400 * 1000), timeout_ms - 400);
  assert_int_equal (quince_store_reads_get_feed_time_left_ms (timeout_ms, timeout_ms * 1000), 0);
  assert_int_equal (quince_store_reads_get_feed_time_left_ms (timeout_ms, G_MAXINT64), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_of_writes),        cmocka_unit_test (test_reader_interval_in_a_burst),
    cmocka_unit_test (test_calls_without_a_leader), cmocka_unit_test (test_changes_are_known_in_time),
    cmocka_unit_test (test_readers_read_first),     cmocka_unit_test (test_member_waits_to_be_fed),
    cmocka_unit_test (test_feed_timeout_changes),
  };
  return cmocka_run_group_tests_name ("decisions-store-reads", tests, NULL, NULL);
}
