/*
 * test-decisions-admission.c: tests when a request is admitted, waits or is refused, and that the wait for
 * admission times out.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/admission.h"

#define MS G_GINT64_CONSTANT (1000)

/* rule, loss_check_pending, permit_in_use, should_yield, owed, owed_wait_us */
static const struct
{
  QuinceAdmissionInput request;
  QuinceAdmission admission;
  gboolean hedge;
} rows[] = {
  { { QUINCE_SEND_UNRESTRICTED, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_GRANTED, TRUE },
  { { QUINCE_SEND_UNRESTRICTED, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_GRANTED, TRUE },
  { { QUINCE_SEND_UNRESTRICTED, TRUE, FALSE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_UNRESTRICTED, FALSE, TRUE, FALSE }, QUINCE_ADMISSION_WAIT, TRUE },
  { { QUINCE_SEND_BY_PERMIT, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_BY_PERMIT, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_BY_PERMIT, TRUE, FALSE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_ALONE, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_ALONE, FALSE, TRUE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_HELD, FALSE },
  { { QUINCE_SEND_HELD, TRUE, TRUE, TRUE }, QUINCE_ADMISSION_HELD, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, FALSE, FALSE, 1 }, QUINCE_ADMISSION_HELD, FALSE },
  { { QUINCE_SEND_UNRESTRICTED, FALSE, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_GRANTED, TRUE },
  { { QUINCE_SEND_ALONE, FALSE, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, FALSE, TRUE, 0 }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, FALSE, TRUE, 1 }, QUINCE_ADMISSION_POSTPONED, FALSE },
  { { QUINCE_SEND_HELD, TRUE, FALSE, FALSE, TRUE, 0 }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, TRUE, FALSE, TRUE, 0 }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, TRUE, TRUE, 0 }, QUINCE_ADMISSION_WAIT, FALSE },
};

static void
test_admission_for_request (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      assert_int_equal (quince_admission_for_request (&rows[i].request), rows[i].admission);
      assert_int_equal (quince_admission_allows_hedge (&rows[i].request), rows[i].hedge);
    }
}

/* Without a leader, a suspect that must run alone is refused. */
static void
test_admission_for_permit_state (void **state)
{
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_PENDING, FALSE), QUINCE_ADMISSION_WAIT);
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_PENDING, TRUE), QUINCE_ADMISSION_WAIT);
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_GRANTED, FALSE),
                    QUINCE_ADMISSION_PERMIT);
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_GRANTED, TRUE), QUINCE_ADMISSION_PERMIT);
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_NO_LEADER, FALSE),
                    QUINCE_ADMISSION_UNHEDGED);
  assert_int_equal (quince_admission_for_permit_state (QUINCE_PERMIT_NO_LEADER, TRUE),
                    QUINCE_ADMISSION_NO_PERMIT);
}

/* Only a stream whose caller has received a part of the answer waits. */
static void
test_protected_requests (void **state)
{
  assert_true (quince_admission_protected_may_wait (TRUE));
  assert_false (quince_admission_protected_may_wait (FALSE));
}

static void
test_admission_wait_expires (void **state)
{
  assert_true (quince_admission_may_keep_waiting (0, 0));
  assert_true (quince_admission_may_keep_waiting (199 * MS, 50 * MS));
  assert_false (quince_admission_may_keep_waiting (200 * MS, 50 * MS));
  assert_true (quince_admission_may_keep_waiting (399 * MS, 400 * MS));
  assert_false (quince_admission_may_keep_waiting (400 * MS, 400 * MS));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_admission_for_request),
    cmocka_unit_test (test_admission_for_permit_state),
    cmocka_unit_test (test_protected_requests),
    cmocka_unit_test (test_admission_wait_expires),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
