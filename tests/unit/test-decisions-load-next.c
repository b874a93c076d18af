/*
 * test-decisions-load-next.c: tests the next step after a report, after an order and before a send.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/load-next.h"

#define SECOND G_USEC_PER_SEC

static void
assert_next (const QuinceLoadNext next, QuinceLoadAction action, guint pause_ms, const char *outcome)
{
  assert_int_equal (next.action, action);
  assert_int_equal (next.pause_ms, pause_ms);
  assert_string_equal (next.outcome != NULL ? next.outcome : "", outcome != NULL ? outcome : "");
}

/* loaded_version, target_version, busy, elapsed_us */
static const struct
{
  QuinceLoadReport report;
  QuinceLoadAction action;
  guint pause_ms;
  const char *outcome;
} reports[] = {
  { { 0, 7, FALSE, 0 }, QUINCE_LOAD_NEXT_ORDER, 0, NULL },
  { { 6, 7, FALSE, 2 * SECOND }, QUINCE_LOAD_NEXT_ORDER, 0, NULL },
  { { 6, 7, TRUE, 2 * SECOND }, QUINCE_LOAD_NEXT_POLL, 80, NULL },
  { { 7, 7, TRUE, 2 * SECOND }, QUINCE_LOAD_NEXT_POLL, 80, NULL }, /* not complete while the worker is busy */
  { { 7, 7, FALSE, 9 * SECOND }, QUINCE_LOAD_NEXT_END, 0, "loaded" },
  { { 8, 7, FALSE, 0 }, QUINCE_LOAD_NEXT_END, 0, "loaded" },
  { { 6, 7, TRUE, 8 * SECOND }, QUINCE_LOAD_NEXT_POLL, 80, NULL },
  { { 6, 7, TRUE, 8 * SECOND + 1 }, QUINCE_LOAD_NEXT_END, 0, "timeout" },
  { { 6, 7, FALSE, 8 * SECOND + 1 }, QUINCE_LOAD_NEXT_END, 0, "timeout" },
};

static void
test_after_a_report (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (reports); i++)
    assert_next (quince_load_next_after_report (&reports[i].report), reports[i].action, reports[i].pause_ms,
                 reports[i].outcome);
}

static void
test_after_an_order (void **state)
{
  assert_next (quince_load_next_after_order (QUINCE_ORDER_ACCEPTED), QUINCE_LOAD_NEXT_POLL, 900, NULL);
  assert_next (quince_load_next_after_order (QUINCE_ORDER_ALREADY_LOADED), QUINCE_LOAD_NEXT_POLL, 1, NULL);
  assert_next (quince_load_next_after_order (QUINCE_ORDER_UNKNOWN), QUINCE_LOAD_NEXT_POLL, 80, NULL);
  assert_next (quince_load_next_after_order (QUINCE_ORDER_OTHER_WORKER), QUINCE_LOAD_NEXT_END, 0,
               "other_worker");
  assert_next (quince_load_next_after_order (QUINCE_ORDER_REFUSED), QUINCE_LOAD_NEXT_END, 0, "refused");
}

/* holds_sends, evacuated, may_order, is_order, awaits_record */
static const struct
{
  QuinceLoadSendInput send;
  QuinceLoadAction action;
  guint pause_ms;
  const char *outcome;
} sends[] = {
  { { FALSE, FALSE, TRUE, TRUE }, QUINCE_LOAD_NEXT_ORDER, 0, NULL },
  { { FALSE, FALSE, FALSE, TRUE }, QUINCE_LOAD_NEXT_END, 0, "not_leading" },
  { { FALSE, FALSE, FALSE, FALSE }, QUINCE_LOAD_NEXT_ORDER, 0, NULL }, /* a report needs no leader */
  { { FALSE, TRUE, TRUE, TRUE }, QUINCE_LOAD_NEXT_END, 0, "zone_evacuated" },
  { { FALSE, TRUE, FALSE, FALSE }, QUINCE_LOAD_NEXT_END, 0, "zone_evacuated" },
  { { TRUE, TRUE, TRUE, TRUE }, QUINCE_LOAD_NEXT_POLL, 80, NULL },
  { { TRUE, FALSE, FALSE, TRUE }, QUINCE_LOAD_NEXT_POLL, 80, NULL },
  { { FALSE, FALSE, TRUE, TRUE, TRUE }, QUINCE_LOAD_NEXT_POLL, 300, NULL },
  { { FALSE, FALSE, FALSE, TRUE, TRUE }, QUINCE_LOAD_NEXT_END, 0, "not_leading" },
  { { FALSE, FALSE, FALSE, FALSE, TRUE }, QUINCE_LOAD_NEXT_ORDER, 0, NULL }, /* a report needs no record */
};

static void
test_before_a_send (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (sends); i++)
    assert_next (quince_load_next_before_send (&sends[i].send), sends[i].action, sends[i].pause_ms,
                 sends[i].outcome);
}

static void
test_concurrent_loads_limit (void **state)
{
  assert_int_equal (quince_load_concurrent_max (0), 2);
  assert_int_equal (quince_load_concurrent_max (11), 2);
  assert_int_equal (quince_load_concurrent_max (15), 3);
  assert_int_equal (quince_load_concurrent_max (44), 8);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_after_a_report),
    cmocka_unit_test (test_after_an_order),
    cmocka_unit_test (test_before_a_send),
    cmocka_unit_test (test_concurrent_loads_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
