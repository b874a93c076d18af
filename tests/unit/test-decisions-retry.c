/*
 * test-decisions-retry.c: tests the limits of retries and hedges, and the error of a request that is given
 * up.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/hedge.h"
#include "core/decisions/retry.h"

#define MS G_GINT64_CONSTANT (1000)
#define GIVE_UP_US (5000 * MS)

typedef struct
{
  QuinceRetryState retry;
  gint64 now_us;
  gboolean may_run;
  gboolean may_retry;
  gboolean may_hedge;
} Row;

/* repeatable, max_attempts, runs, refused_sends, give_up_us */
static const Row rows[] = {
  /* At most once: retried only until it may have run, and never hedged. */
  { { FALSE, 3, 0, 0, GIVE_UP_US }, 0, TRUE, TRUE, FALSE },
  { { FALSE, 3, 0, 7, GIVE_UP_US }, 0, TRUE, TRUE, FALSE },
  { { FALSE, 3, 1, 0, GIVE_UP_US }, 0, FALSE, FALSE, FALSE },
  /* Repeatable: up to the maximum attempts of the route. */
  { { TRUE, 3, 0, 0, GIVE_UP_US }, 0, TRUE, TRUE, TRUE },
  { { TRUE, 3, 2, 0, GIVE_UP_US }, 0, TRUE, TRUE, TRUE },
  { { TRUE, 3, 3, 0, GIVE_UP_US }, 0, FALSE, FALSE, FALSE },
  { { TRUE, 1, 1, 0, GIVE_UP_US }, 0, FALSE, FALSE, FALSE },
  /* Refused sends do not count as runs, but are limited to eight. */
  { { TRUE, 3, 0, 7, GIVE_UP_US }, 0, TRUE, TRUE, TRUE },
  { { TRUE, 3, 0, 8, GIVE_UP_US }, 0, TRUE, FALSE, TRUE },
  /* No retry after the deadline. */
  { { TRUE, 3, 0, 0, GIVE_UP_US }, GIVE_UP_US - 1, TRUE, TRUE, TRUE },
  { { TRUE, 3, 0, 0, GIVE_UP_US }, GIVE_UP_US, TRUE, FALSE, TRUE },
};

static void
test_retries (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Row *row = &rows[i];
      assert_int_equal (quince_retry_may_run (&row->retry), row->may_run);
      assert_int_equal (quince_retry_may_retry (&row->retry, row->now_us), row->may_retry);
      assert_int_equal (quince_hedge_is_allowed (&row->retry), row->may_hedge);
    }
}

/* "Not run" is used if and only if no worker may have run the request, regardless of the deadline. */
static void
test_give_up_reason (void **state)
{
  assert_int_equal (quince_retry_give_up (FALSE, FALSE), QUINCE_GIVE_UP_NOT_RUN);
  assert_int_equal (quince_retry_give_up (FALSE, TRUE), QUINCE_GIVE_UP_NOT_RUN);
  assert_int_equal (quince_retry_give_up (TRUE, FALSE), QUINCE_GIVE_UP_FAILED);
  assert_int_equal (quince_retry_give_up (TRUE, TRUE), QUINCE_GIVE_UP_TIMEOUT);
}

typedef struct
{
  gint64 target_us;
  gint64 service_time_us;
  gint64 delay_us;
} HedgeRow;

static const HedgeRow hedge_rows[] = {
  { 400 * MS, 30 * MS, 90 * MS },   /* three times the response time */
  { 400 * MS, 10 * MS, 60 * MS },   /* minimum delay */
  { 400 * MS, 100 * MS, 200 * MS }, /* at most half the target */
  { 400 * MS, 0, 200 * MS },        /* response time not measured */
  { 100 * MS, 30 * MS, 60 * MS },   /* short target */
  { 0, 0, 60 * MS },                /* no target */
};

static void
test_hedge_delay (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (hedge_rows); i++)
    assert_int_equal (quince_hedge_delay_us (hedge_rows[i].target_us, hedge_rows[i].service_time_us),
                      hedge_rows[i].delay_us);
}

static void
test_hedge_attempt_timeout (void **state)
{
  assert_int_equal (quince_hedge_attempt_timeout_us (400 * MS), 800 * MS);
  assert_int_equal (quince_hedge_attempt_timeout_us (100 * MS), 250 * MS);
  assert_int_equal (quince_hedge_attempt_timeout_us (0), 250 * MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_retries),
    cmocka_unit_test (test_give_up_reason),
    cmocka_unit_test (test_hedge_delay),
    cmocka_unit_test (test_hedge_attempt_timeout),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
