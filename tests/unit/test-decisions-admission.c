/*
 * test-decisions-admission.c: whether a request is sent now, by what is known of it and by the leader's
 * answer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/admission.h"

#define MS G_GINT64_CONSTANT (1000)

/* rule, loss_checked, permit_in_use, gives_way */
static const struct
{
  QuinceAdmissionCase request;
  QuinceAdmission admission;
  gboolean hedge;
} rows[] = {
  { { QUINCE_SEND_FREE, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_GRANTED, TRUE },
  { { QUINCE_SEND_FREE, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_GRANTED, TRUE },
  { { QUINCE_SEND_FREE, TRUE, FALSE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_FREE, FALSE, TRUE, FALSE }, QUINCE_ADMISSION_WAIT, TRUE },
  { { QUINCE_SEND_BY_PERMIT, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_BY_PERMIT, FALSE, FALSE, TRUE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_BY_PERMIT, TRUE, FALSE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_ALONE, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_PERMIT, FALSE },
  { { QUINCE_SEND_ALONE, FALSE, TRUE, FALSE }, QUINCE_ADMISSION_WAIT, FALSE },
  { { QUINCE_SEND_HELD, FALSE, FALSE, FALSE }, QUINCE_ADMISSION_HELD, FALSE },
  { { QUINCE_SEND_HELD, TRUE, TRUE, TRUE }, QUINCE_ADMISSION_HELD, FALSE },
};

static void
test_by_what_is_known (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      assert_int_equal (quince_admission_of_request (&rows[i].request), rows[i].admission);
      assert_int_equal (quince_admission_allows_hedge (&rows[i].request), rows[i].hedge);
    }
}

/* Without a leader only a request that may run beside others is sent. */
static void
test_by_the_leader (void **state)
{
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_PENDING, FALSE), QUINCE_ADMISSION_WAIT);
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_PENDING, TRUE), QUINCE_ADMISSION_WAIT);
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_GIVEN, FALSE), QUINCE_ADMISSION_PERMIT);
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_GIVEN, TRUE), QUINCE_ADMISSION_PERMIT);
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_NO_LEADER, FALSE), QUINCE_ADMISSION_CAREFUL);
  assert_int_equal (quince_admission_of_permit (QUINCE_PERMIT_NO_LEADER, TRUE), QUINCE_ADMISSION_UNSURE);
}

/* Only a caller that has a part of the answer waits. */
static void
test_protected_requests (void **state)
{
  assert_true (quince_admission_protected_waits (TRUE));
  assert_false (quince_admission_protected_waits (FALSE));
}

static void
test_waiting_ends (void **state)
{
  assert_true (quince_admission_waits_on (0, 0));
  assert_true (quince_admission_waits_on (199 * MS, 50 * MS));
  assert_false (quince_admission_waits_on (200 * MS, 50 * MS));
  assert_true (quince_admission_waits_on (399 * MS, 400 * MS));
  assert_false (quince_admission_waits_on (400 * MS, 400 * MS));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_by_what_is_known),
    cmocka_unit_test (test_by_the_leader),
    cmocka_unit_test (test_protected_requests),
    cmocka_unit_test (test_waiting_ends),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
