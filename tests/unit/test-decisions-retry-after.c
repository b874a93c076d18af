/*
 * test-decisions-retry-after.c: tests the Retry-After of each refusal cause.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/retry-after.h"

typedef struct
{
  QuinceRetryAfterInput refusal;
  guint retry_after_ms;
} Row;

static const Row rows[] = {
  { { QUINCE_REFUSED_NO_WORKER, 0, 2000 }, 200 },     { { QUINCE_REFUSED_NO_WORKER, 199, 2000 }, 200 },
  { { QUINCE_REFUSED_NO_WORKER, 4000, 2000 }, 4000 }, { { QUINCE_REFUSED_EVACUATED, 0, 2000 }, 2000 },
  { { QUINCE_REFUSED_EVACUATED, 2500, 2000 }, 2500 }, { { QUINCE_REFUSED_POLICY, 0, 2000 }, 200 },
  { { QUINCE_REFUSED_POLICY, 750, 2000 }, 750 },      { { QUINCE_REFUSED_NO_CONFIGURATION, 0, 2000 }, 200 },
  { { QUINCE_REFUSED_RESIDENCY, 0, 2000 }, 1000 },    { { QUINCE_REFUSED_LEDGER, 0, 2000 }, 300 },
};

static void
test_each_refusal (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    assert_int_equal (quince_retry_after_ms (&rows[i].refusal), rows[i].retry_after_ms);
}

/* The time is rounded up to whole ms; a time in the past gives 0. */
static void
test_time_until_room (void **state)
{
  assert_int_equal (quince_retry_after_until_ms (5000, 5000), 0);
  assert_int_equal (quince_retry_after_until_ms (5001, 5000), 1);
  assert_int_equal (quince_retry_after_until_ms (6000, 5000), 1);
  assert_int_equal (quince_retry_after_until_ms (6001, 5000), 2);
  assert_int_equal (quince_retry_after_until_ms (0, 5000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_refusal),
    cmocka_unit_test (test_time_until_room),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
