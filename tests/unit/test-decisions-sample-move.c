/*
 * test-decisions-sample-move.c: tests the length model, the paces of workers, and the decisions based on
 * them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/batches/length-model.h"
#include "core/routing/worker-table.h"
#include "core/decisions/sample-move.h"
#include "core/decisions/silence.h"

#define SECOND G_USEC_PER_SEC
#define EVENT_US (40 * 1000)

/* ---- Lengths ------------------------------------------------------------ */

static void
test_length_model_learns_events_per_token (void **state)
{
  g_autoptr (QuinceLengthModel) model = quince_length_model_new ();
  assert_true (quince_length_model_estimate_remaining (model, 1000, 0)
               > quince_length_model_estimate_remaining (model, 500, 0));
  for (guint i = 1; i <= 100; i++)
    quince_length_model_record (model, 50 * i, i);
  double expected = quince_length_model_estimate_remaining (model, 1000, 0);
  assert_true (expected > 19.9 && expected < 20.1);
  double remaining = quince_length_model_estimate_remaining (model, 1000, 15);
  assert_true (remaining > 4.9 && remaining < 5.1);
}

static void
test_length_model_mean_without_estimates (void **state)
{
  g_autoptr (QuinceLengthModel) model = quince_length_model_new ();
  for (guint i = 0; i < 50; i++)
    quince_length_model_record (model, 0, i % 2 == 0 ? 10 : 30);
  double expected = quince_length_model_estimate_remaining (model, 0, 0);
  assert_true (expected > 19 && expected < 21);
}

/* The expected remaining length of a text that exceeds its estimate is a fraction of the text so far, limited
 * by the longest text seen, but at least one event. */
static void
test_length_model_text_exceeds_estimate (void **state)
{
  g_autoptr (QuinceLengthModel) model = quince_length_model_new ();
  quince_length_model_record (model, 500, 10);
  quince_length_model_record (model, 5000, 100);
  assert_true (quince_length_model_estimate_remaining (model, 500, 50) > 10);
  assert_true (quince_length_model_estimate_remaining (model, 500, 98) <= 2);
  assert_true (quince_length_model_estimate_remaining (model, 500, 200) >= 1);
}

/* ---- Paces -------------------------------------------------------------- */

static void
test_worker_pace (void **state)
{
  g_autoptr (QuinceWorker) fast = quince_worker_new ("fast");
  g_autoptr (QuinceWorker) slow = quince_worker_new ("slow");
  gint64 now = 100 * SECOND;
  assert_int_equal (quince_worker_get_pace_us (fast, now), 0);
  for (guint i = 0; i < 200; i++, now += EVENT_US)
    {
      quince_worker_record_event (fast, now, EVENT_US);
      quince_worker_record_event (slow, now, i < 100 ? EVENT_US : 3 * EVENT_US);
    }
  assert_int_equal (quince_worker_get_pace_us (fast, now), EVENT_US);
  assert_true (quince_worker_get_pace_us (slow, now) > 2.9 * EVENT_US);
  g_autoptr (GPtrArray) workers = g_ptr_array_new ();
  g_ptr_array_add (workers, slow);
  g_ptr_array_add (workers, fast);
  assert_int_equal (quince_workers_get_fastest_pace_us (workers, now), EVENT_US);
  /* An old measurement is not used. */
  assert_int_equal (quince_worker_get_pace_us (slow, now + 60 * SECOND), 0);
}

/* ---- Decisions ---------------------------------------------------------- */

static void
test_sample_silence_timeout (void **state)
{
  guint unknown = quince_silence_sample_timeout_ms (0);
  guint fast = quince_silence_sample_timeout_ms (EVENT_US);
  assert_true (fast < unknown);
  assert_true (fast >= 1200); /* a load of weights stops a worker for at least 0.9 s */
  assert_int_equal (quince_silence_sample_timeout_ms (SECOND), unknown);
}

static void
test_move_is_worthwhile (void **state)
{
  assert_true (quince_sample_move_is_worthwhile (100, 3 * EVENT_US, EVENT_US));
  assert_false (quince_sample_move_is_worthwhile (100, EVENT_US, EVENT_US));
  assert_false (quince_sample_move_is_worthwhile (100, 11 * EVENT_US / 10, EVENT_US));
  /* Almost complete: the move would save too little time. */
  assert_false (quince_sample_move_is_worthwhile (5, 3 * EVENT_US, EVENT_US));
  assert_false (quince_sample_move_is_worthwhile (100, 0, EVENT_US));
}

/* While this process is overloaded, the paces that it measures must not cause moves. */
static void
test_no_moves_after_a_late_check (void **state)
{
  QuinceMoveCheckState check = { 0 };
  gint64 now = 1000 * SECOND;
  assert_true (quince_sample_move_check_is_due (&check, now));
  assert_false (quince_sample_move_check_is_due (&check, now + SECOND / 100)); /* checked 10 ms ago */
  for (guint i = 0; i < 20; i++)
    assert_true (quince_sample_move_check_is_due (&check, now += SECOND / 8));
  now += SECOND / 2; /* a late check */
  assert_false (quince_sample_move_check_is_due (&check, now));
  for (guint i = 0; i < 7; i++)
    assert_false (quince_sample_move_check_is_due (&check, now += SECOND / 8));
  assert_true (quince_sample_move_check_is_due (&check, now += SECOND / 8));
}

/* single_version, moves, run_us, measured */
static const struct
{
  QuinceSampleMoveInput sample;
  gboolean allowed;
} allowed_rows[] = {
  { { FALSE, 0, 700 * 1000, TRUE }, TRUE }, { { FALSE, 3, SECOND, TRUE }, TRUE },
  { { FALSE, 4, SECOND, TRUE }, FALSE },    { { FALSE, 0, 699 * 1000, TRUE }, FALSE },
  { { TRUE, 0, SECOND, TRUE }, FALSE },     { { FALSE, 0, SECOND, FALSE }, FALSE },
};

static void
test_move_is_allowed (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (allowed_rows); i++)
    assert_int_equal (quince_sample_move_is_allowed (&allowed_rows[i].sample), allowed_rows[i].allowed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_length_model_learns_events_per_token),
    cmocka_unit_test (test_length_model_mean_without_estimates),
    cmocka_unit_test (test_length_model_text_exceeds_estimate),
    cmocka_unit_test (test_worker_pace),
    cmocka_unit_test (test_sample_silence_timeout),
    cmocka_unit_test (test_move_is_worthwhile),
    cmocka_unit_test (test_no_moves_after_a_late_check),
    cmocka_unit_test (test_move_is_allowed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
