/*
 * test-result-batching.c: guards against steps that end a reading interval late because their last results
 * are listed one by one, and against results that wait longer than allowed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/batches/batch-table.h"
#include "core/batches/result-batching.h"

#define MS 1000
#define WINDOW_US (500 * MS)
#define DUE_US (7500 * MS)

static gint64
wait_us (gint64 now_us, gint64 ready_us, gint64 next_ready_us)
{
  const QuinceResultBatchingInput input = { .now_us = now_us,
                                            .ready_us = ready_us,
                                            .due_us = DUE_US,
                                            .window_us = WINDOW_US,
                                            .next_ready_us = next_ready_us };
  return quince_result_batching_wait_us (&input);
}

static void
test_wait_for_next_result (void **state)
{
  assert_int_equal (wait_us (5000 * MS, 5000 * MS, 5100 * MS), 100 * MS);
  /* No other result is expected, or it is expected too late. */
  assert_int_equal (wait_us (5000 * MS, 5000 * MS, 0), 0);
  assert_int_equal (wait_us (5000 * MS, 5000 * MS, 5501 * MS), 0);
}

static void
test_bounds (void **state)
{
  /* The oldest result has waited for the whole window. */
  assert_int_equal (wait_us (5500 * MS, 5000 * MS, 5500 * MS), 0);
  /* An overdue estimate does not extend the wait. */
  assert_true (wait_us (5490 * MS, 5000 * MS, 5490 * MS) <= 10 * MS);
  /* A result never waits past the time at which its step is due. */
  assert_int_equal (wait_us (7400 * MS, 7400 * MS, 7520 * MS), 0);
  assert_int_equal (wait_us (7600 * MS, 7600 * MS, 7650 * MS), 0);
  assert_int_equal (wait_us (8100 * MS, 8100 * MS, 8150 * MS), 0);
  /* The step is late: only its end counts. */
  assert_int_equal (wait_us (8300 * MS, 8300 * MS, 8400 * MS), 100 * MS);
}

/* The trainer can end its step: waiting would delay it. */
static void
test_complete_step (void **state)
{
  const QuinceResultBatchingInput input = { .now_us = 5000 * MS,
                                            .ready_us = 5000 * MS,
                                            .due_us = DUE_US,
                                            .window_us = WINDOW_US,
                                            .next_ready_us = 5100 * MS,
                                            .completes_step = TRUE };
  assert_int_equal (quince_result_batching_wait_us (&input), 0);
}

static void
test_no_window (void **state)
{
  const QuinceResultBatchingInput input
      = { .now_us = 1, .ready_us = 1, .due_us = DUE_US, .next_ready_us = 2 };
  assert_int_equal (quince_result_batching_wait_us (&input), 0);
}

static void
test_expected_results (void **state)
{
  assert_int_equal (quince_result_batching_expect_text_us (3, 47 * MS, 1000 * MS, 80 * MS), 1221 * MS);
  assert_int_equal (quince_result_batching_expect_text_us (3, 0, 1000 * MS, 80 * MS), 0);
  assert_int_equal (quince_result_batching_expect_text_us (3, 47 * MS, 0, 80 * MS), 0);
  assert_int_equal (quince_result_batching_expect_reward_us (1010 * MS, 1000 * MS, 80 * MS), 1080 * MS);
  /* Overdue calls are expected at any moment, but not if they may have to be repeated. */
  assert_int_equal (quince_result_batching_expect_reward_us (1100 * MS, 1000 * MS, 80 * MS), 1100 * MS);
  assert_int_equal (quince_result_batching_expect_reward_us (1170 * MS, 1000 * MS, 80 * MS), 0);
}

/* ---- Complete groups ----------------------------------------------------------- */

static QuinceBatchRecord *
make_submission (void)
{
  static const char *const groups[] = { "a", "a", "b", "b", "" };
  QuinceBatchJob job = { .id = "step", .host = "", .path = "", .model = "", .wanted_groups = 2 };
  QuinceBatchItem items[G_N_ELEMENTS (groups)] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    items[i] = (QuinceBatchItem){ .id = "", .path = "", .group = (char *)groups[i] };
  job.items.items_val = items;
  job.items.items_len = G_N_ELEMENTS (items);
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_SUBMIT };
  record.QuinceBatchRecord_u.submit = job;
  g_autoptr (GBytes) encoded = quince_batch_record_encode (&record, NULL);
  return quince_batch_record_decode (g_bytes_get_data (encoded, NULL), g_bytes_get_size (encoded), NULL);
}

/* A step must not count as complete while a group lacks a result, nor wait once enough groups are complete.
 */
static void
test_complete_groups (void **state)
{
  static const QuinceBatchTableCallbacks callbacks = { 0 };
  g_autoptr (QuinceBatchTable) table = quince_batch_table_new (&callbacks, NULL);
  quince_batch_table_apply (table, 1, make_submission ());
  const QuinceBatchEntry *entry = quince_batch_table_find (table, "step");
  g_autoptr (GArray) ready_items = g_array_new (FALSE, FALSE, sizeof (guint));
  static const guint order[] = { 0, 2, 1, 4, 3 };
  static const guint complete[] = { 0, 0, 1, 2, 3 };
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      g_array_append_val (ready_items, order[i]);
      assert_int_equal (quince_batch_entry_count_complete_groups (entry, ready_items), complete[i]);
    }
}

/* ---- Replay of a step -------------------------------------------------------- */

/* Longest texts of a step: several reach the maximum of 150 events, 47 ms each, on workers whose starts
 * differ by some tens of ms.  Times at which their results are ready, ms after the submission. */
static const gint64 ready_ms[] = { 3440, 3620, 3710, 3750, 7090, 7110, 7130, 7170 };
#define N_RESULTS G_N_ELEMENTS (ready_ms)
/* A trainer reads again this long after an answer, ms. */
#define READ_INTERVAL_MS 750

/* Computes when each result is listed.  A result is expected if it follows within 60 ms. */
static void
list_results (gint64 window_us, gint64 *listed_ms)
{
  guint first_waiting = 0;
  for (guint i = 0; i < N_RESULTS; i++)
    {
      gint64 now_us = ready_ms[i] * MS;
      gboolean next_is_expected = i + 1 < N_RESULTS && ready_ms[i + 1] - ready_ms[i] <= 60;
      const QuinceResultBatchingInput input
          = { .now_us = now_us,
              .ready_us = ready_ms[first_waiting] * MS,
              .due_us = DUE_US,
              .window_us = window_us,
              .next_ready_us = next_is_expected ? ready_ms[i + 1] * MS : 0 };
      if (quince_result_batching_wait_us (&input) > 0)
        continue;
      for (; first_waiting <= i; first_waiting++)
        listed_ms[first_waiting] = ready_ms[i];
    }
}

/* Returns when a trainer that waits in a read has read the last result, ms. */
static gint64
read_last_result (const gint64 *listed_ms)
{
  gint64 read_ms = 0;
  for (guint position = 0; position < N_RESULTS;)
    {
      read_ms = MAX (read_ms, listed_ms[position]);
      while (position < N_RESULTS && listed_ms[position] <= read_ms)
        position++;
      if (position < N_RESULTS)
        read_ms += READ_INTERVAL_MS;
    }
  return read_ms;
}

static void
test_step_ends_with_last_result (void **state)
{
  gint64 listed_ms[N_RESULTS];
  list_results (WINDOW_US, listed_ms);
  assert_int_equal (read_last_result (listed_ms), 7170);
  list_results (0, listed_ms);
  assert_int_equal (read_last_result (listed_ms), 7090 + READ_INTERVAL_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_wait_for_next_result),
    cmocka_unit_test (test_bounds),
    cmocka_unit_test (test_complete_step),
    cmocka_unit_test (test_no_window),
    cmocka_unit_test (test_expected_results),
    cmocka_unit_test (test_complete_groups),
    cmocka_unit_test (test_step_ends_with_last_result),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
