/*
 * test-service-capacity.c: which services can lose one more worker, and the estimated time of recovery.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/request/service-capacity.h"

#define SECOND G_TIME_SPAN_SECOND

static gboolean
survives_end (guint ready, guint listed_max, guint at_risk)
{
  const QuinceServiceCapacity capacity
      = { .ready = ready, .listed_max = listed_max, .at_risk = at_risk, .since_end_us = SECOND };
  return quince_service_capacity_survives_end (&capacity);
}

/* Half of the workers, and at least one, remain even if all workers at risk end. */
static void
test_half_of_workers_remains (void **state)
{
  for (guint listed_max = 2; listed_max <= 60; listed_max++)
    for (guint ready = 0; ready <= listed_max; ready++)
      for (guint at_risk = 0; at_risk <= listed_max; at_risk++)
        {
          gint remaining = (gint)ready - (gint)at_risk - 1;
          assert_int_equal (survives_end (ready, listed_max, at_risk),
                            remaining >= 1 && remaining * 2 >= (gint)listed_max);
        }
}

/* A service of two workers can lose one.  A single worker can be lost only 10 s after the last end. */
static void
test_one_and_two_workers (void **state)
{
  assert_true (survives_end (2, 2, 0));
  assert_false (survives_end (1, 2, 0));
  assert_false (survives_end (1, 1, 0));
  QuinceServiceCapacity single = { .ready = 1, .listed_max = 1, .since_end_us = 10 * SECOND };
  assert_true (quince_service_capacity_survives_end (&single));
  single.since_end_us--;
  assert_false (quince_service_capacity_survives_end (&single));
  single = (QuinceServiceCapacity){ .ready = 0, .listed_max = 1, .since_end_us = 10 * SECOND };
  assert_false (quince_service_capacity_survives_end (&single));
}

/* Within a minute after an end, a hedge needs a service that can lose two workers. */
static void
test_allows_hedge (void **state)
{
  QuinceServiceCapacity three = { .ready = 3, .listed_max = 3, .since_end_us = 61 * SECOND };
  assert_true (quince_service_capacity_allows_hedge (&three));
  three.since_end_us = SECOND;
  assert_false (quince_service_capacity_allows_hedge (&three));
  QuinceServiceCapacity four = { .ready = 4, .listed_max = 4, .since_end_us = SECOND };
  assert_true (quince_service_capacity_allows_hedge (&four));
  four.ready = 3;
  assert_false (quince_service_capacity_allows_hedge (&four));
}

static QuinceServiceCapacity
get_capacity (const QuinceServiceCapacities *capacities, gint64 now_us)
{
  QuinceServiceCapacity capacity;
  quince_service_capacities_get (capacities, now_us, "svc", &capacity);
  return capacity;
}

/* A worker that is not listed any more may still be back, until 6 s have passed since the last end. */
static void
test_lost_for_good (void **state)
{
  g_autoptr (QuinceServiceCapacities) capacities = quince_service_capacities_new ();
  quince_service_capacities_update (capacities, 0, "svc", 8, 8);
  quince_service_capacities_record_end (capacities, SECOND, "svc");
  quince_service_capacities_update (capacities, SECOND, "svc", 8, 7);
  quince_service_capacities_record_end (capacities, 4 * SECOND, "svc");
  quince_service_capacities_update (capacities, 5 * SECOND, "svc", 7, 6);
  quince_service_capacities_update (capacities, 10 * SECOND - 1, "svc", 6, 6);
  assert_int_equal (get_capacity (capacities, 10 * SECOND - 1).listed_max, 8);
  quince_service_capacities_update (capacities, 10 * SECOND, "svc", 6, 6);
  assert_int_equal (get_capacity (capacities, 10 * SECOND).listed_max, 6);
}

/* Workers that are listed but not ready are not lost, however long that lasts. */
static void
test_listed_but_not_ready (void **state)
{
  g_autoptr (QuinceServiceCapacities) capacities = quince_service_capacities_new ();
  quince_service_capacities_update (capacities, 0, "svc", 8, 8);
  quince_service_capacities_record_end (capacities, SECOND, "svc");
  for (guint i = 1; i <= 60; i++)
    quince_service_capacities_update (capacities, i * SECOND, "svc", 8, 4);
  assert_int_equal (get_capacity (capacities, 60 * SECOND).listed_max, 8);
}

/* A lower number of listed workers takes effect after 30 s, a higher one immediately. */
static void
test_listed_max (void **state)
{
  g_autoptr (QuinceServiceCapacities) capacities = quince_service_capacities_new ();
  quince_service_capacities_update (capacities, 0, "svc", 3, 3);
  quince_service_capacities_update (capacities, SECOND, "svc", 3, 2);
  quince_service_capacities_update (capacities, 5 * SECOND, "svc", 2, 2);
  assert_int_equal (get_capacity (capacities, 5 * SECOND).listed_max, 3);
  assert_int_equal (get_capacity (capacities, 5 * SECOND).ready, 2);
  quince_service_capacities_update (capacities, 40 * SECOND, "svc", 2, 2);
  assert_int_equal (get_capacity (capacities, 40 * SECOND).listed_max, 2);
  quince_service_capacities_update (capacities, 41 * SECOND, "svc", 4, 4);
  assert_int_equal (get_capacity (capacities, 41 * SECOND).listed_max, 4);
}

/* The wait is the duration of the last recovery less the time since the end. */
static void
test_recovery_wait (void **state)
{
  g_autoptr (QuinceServiceCapacities) capacities = quince_service_capacities_new ();
  quince_service_capacities_update (capacities, 0, "svc", 3, 3);
  quince_service_capacities_record_end (capacities, SECOND, "svc");
  assert_in_range (quince_service_capacities_get_wait_us (capacities, SECOND, "svc"), SECOND, 10 * SECOND);
  quince_service_capacities_update (capacities, SECOND, "svc", 3, 2);
  quince_service_capacities_update (capacities, 3 * SECOND, "svc", 3, 3);
  quince_service_capacities_record_end (capacities, 10 * SECOND, "svc");
  assert_int_equal (quince_service_capacities_get_wait_us (capacities, 10 * SECOND, "svc"), 2 * SECOND);
  assert_int_equal (quince_service_capacities_get_wait_us (capacities, 11 * SECOND, "svc"), SECOND);
  assert_in_range (quince_service_capacities_get_wait_us (capacities, 60 * SECOND, "svc"), 1, SECOND);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_half_of_workers_remains),
    cmocka_unit_test (test_one_and_two_workers),
    cmocka_unit_test (test_allows_hedge),
    cmocka_unit_test (test_lost_for_good),
    cmocka_unit_test (test_listed_but_not_ready),
    cmocka_unit_test (test_listed_max),
    cmocka_unit_test (test_recovery_wait),
  };
  return cmocka_run_group_tests_name ("service-capacity", tests, NULL, NULL);
}
