/*
 * test-decisions-no-worker.c: tests whether a lookup or stream without a worker waits or is refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/no-worker.h"

#define MS G_GINT64_CONSTANT (1000)
/* Requests start at 0 with a latency target of 400 ms, so they may wait until 200 ms. */
#define TARGET_US (400 * MS)
#define EARLY_US (100 * MS)
#define LATE_US (200 * MS)

typedef struct
{
  QuinceBackendOutcome outcome;
  gboolean is_stream;
  gboolean response_started;
  gboolean tried_any;
  guint runs;
  gint64 now_us;
  gint64 cold_available_us;
  gboolean waits;
  guint retry_after_ms;
} Row;

static const Row rows[] = {
  /* Lookups. */
  { QUINCE_BACKEND_FULL, FALSE, FALSE, FALSE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_FULL, FALSE, FALSE, FALSE, 0, LATE_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_FULL, FALSE, FALSE, FALSE, 1, LATE_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_ZONES_UNKNOWN, FALSE, FALSE, FALSE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_NONE, FALSE, FALSE, FALSE, 0, EARLY_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_NONE, FALSE, FALSE, FALSE, 1, EARLY_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_NONE, FALSE, FALSE, TRUE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_NONE, FALSE, FALSE, TRUE, 0, LATE_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_EVACUATED, FALSE, FALSE, FALSE, 0, EARLY_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_COLD, FALSE, FALSE, FALSE, 0, EARLY_US, 150 * MS, TRUE, 0 },
  { QUINCE_BACKEND_COLD, FALSE, FALSE, FALSE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_COLD, FALSE, FALSE, FALSE, 0, EARLY_US, 350 * MS, FALSE, 250 },
  { QUINCE_BACKEND_COLD, FALSE, FALSE, TRUE, 0, EARLY_US, 350 * MS + 1, FALSE, 251 },
  { QUINCE_BACKEND_COLD, FALSE, FALSE, FALSE, 1, EARLY_US, 350 * MS, TRUE, 0 },
  /* Streams do not wait for full workers, which stay full for seconds. */
  { QUINCE_BACKEND_FULL, TRUE, FALSE, FALSE, 0, EARLY_US, 0, FALSE, 0 },
  { QUINCE_BACKEND_FULL, TRUE, TRUE, TRUE, 1, LATE_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_FULL, TRUE, FALSE, TRUE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_ZONES_UNKNOWN, TRUE, FALSE, FALSE, 0, EARLY_US, 0, TRUE, 0 },
  { QUINCE_BACKEND_COLD, TRUE, FALSE, FALSE, 0, EARLY_US, 150 * MS, TRUE, 0 },
  { QUINCE_BACKEND_COLD, TRUE, FALSE, FALSE, 0, EARLY_US, 350 * MS, FALSE, 250 },
  { QUINCE_BACKEND_COLD, TRUE, FALSE, FALSE, 1, EARLY_US, 350 * MS, FALSE, 250 },
  { QUINCE_BACKEND_COLD, TRUE, TRUE, FALSE, 1, LATE_US, 350 * MS, TRUE, 150 },
};

static void
test_without_an_attempt_in_progress (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Row *row = &rows[i];
      const QuinceNoWorkerInput input = { .outcome = row->outcome,
                                          .is_stream = row->is_stream,
                                          .response_started = row->response_started,
                                          .tried_any = row->tried_any,
                                          .runs = row->runs,
                                          .now_us = row->now_us,
                                          .target_latency_us = TARGET_US,
                                          .cold_available_us = row->cold_available_us };
      const QuinceNoWorkerDecision decision = quince_no_worker_decide (&input);
      assert_int_equal (decision.wait, row->waits);
      assert_int_equal (decision.retry_after_ms, row->retry_after_ms);
    }
}

static void
test_no_worker_for_hedge (void **state)
{
  assert_int_equal (quince_no_worker_for_hedge (QUINCE_BACKEND_EVACUATED), QUINCE_HEDGE_FALLBACK_KEEP);
  assert_int_equal (quince_no_worker_for_hedge (QUINCE_BACKEND_COLD), QUINCE_HEDGE_FALLBACK_WAIT);
  assert_int_equal (quince_no_worker_for_hedge (QUINCE_BACKEND_ZONES_UNKNOWN), QUINCE_HEDGE_FALLBACK_WAIT);
  assert_int_equal (quince_no_worker_for_hedge (QUINCE_BACKEND_FULL), QUINCE_HEDGE_FALLBACK_ABANDON);
  assert_int_equal (quince_no_worker_for_hedge (QUINCE_BACKEND_NONE), QUINCE_HEDGE_FALLBACK_ABANDON);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_without_an_attempt_in_progress),
    cmocka_unit_test (test_no_worker_for_hedge),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
