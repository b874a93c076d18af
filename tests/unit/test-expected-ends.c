/*
 * test-expected-ends.c: in-flight sends of a leader, as recorded by its successor.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/request/expected-ends.h"

#define SECOND G_USEC_PER_SEC

static const QuinceQuarantineLimits limits = { .suspects_max = 16,
                                               .suspect_bytes_max = 65536,
                                               .suspect_ttl_us = 600 * SECOND,
                                               .held_ttl_us = G_GINT64_CONSTANT (86400) * SECOND };

/* Returns the state that a leader reports for a send.  The worker of the send counts as one of @ends. */
static QuinceSuspect
make_suspect (guint8 digest, guint ends, gint64 now_us)
{
  QuinceSuspect expected
      = { .ended_us = now_us, .service = "svc", .software = "v1", .reported_by = "leader" };
  expected.digest.bytes[0] = digest;
  expected.n_workers = ends;
  for (guint i = 0; i < ends; i++)
    expected.workers[i] = 100 + i;
  return expected;
}

/* Counts an end for each in-flight send. */
static void
merge_taken (QuinceExpectedEnds *ends, gint64 now_us, QuinceQuarantine *quarantine)
{
  g_autoptr (GPtrArray) sends = quince_expected_ends_take (ends, now_us);
  for (guint i = 0; i < sends->len; i++)
    quince_quarantine_merge (quarantine, now_us, sends->pdata[i]);
}

static void
test_taken_sends_are_merged (void **state)
{
  QuinceExpectedEnds *ends = quince_expected_ends_new ();
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  const QuinceSuspect expected = make_suspect (1, 2, SECOND);
  quince_expected_ends_add (ends, SECOND, &expected);
  assert_int_equal (quince_quarantine_get_size (quarantine), 0);
  merge_taken (ends, 2 * SECOND, quarantine);
  assert_int_equal (quince_quarantine_find (quarantine, &expected.digest)->n_workers, 2);
  quince_expected_ends_free (ends);
}

/* Guards against suspecting a request at the successor although its send has finished. */
static void
test_finished_and_expired_sends_are_not_taken (void **state)
{
  QuinceExpectedEnds *ends = quince_expected_ends_new ();
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  const QuinceSuspect answered = make_suspect (1, 1, SECOND);
  const QuinceSuspect expired = make_suspect (2, 1, SECOND);
  quince_expected_ends_add (ends, SECOND, &expired);
  quince_expected_ends_add (ends, 3 * SECOND, &answered);
  quince_expected_ends_remove (ends, &answered.digest);
  merge_taken (ends, 4 * SECOND, quarantine);
  assert_int_equal (quince_quarantine_get_size (quarantine), 0);
  quince_expected_ends_free (ends);
}

static void
test_entry_limit (void **state)
{
  QuinceExpectedEnds *ends = quince_expected_ends_new ();
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  for (guint i = 0; i < 1000; i++)
    {
      QuinceSuspect expected = make_suspect (1, 1, SECOND);
      expected.digest.bytes[1] = (guint8)(i >> 8);
      expected.digest.bytes[2] = (guint8)i;
      quince_expected_ends_add (ends, SECOND, &expected);
    }
  merge_taken (ends, SECOND, quarantine);
  assert_in_range (quince_quarantine_get_size (quarantine), 1, limits.suspects_max);
  quince_expected_ends_free (ends);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_taken_sends_are_merged),
    cmocka_unit_test (test_finished_and_expired_sends_are_not_taken),
    cmocka_unit_test (test_entry_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
