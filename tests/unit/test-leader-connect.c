/*
 * test-leader-connect.c: guards against backups that find a new leader late, and against attempts without a
 * pause.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/leader-connect.h"

#define TICK_US 150000

/* A tick that comes 1 ms early must not make a backup wait for the next one, 0.3 s after its attempt. */
static void
test_each_tick_is_an_attempt (void **state)
{
  const QuinceLeaderAttempt last_attempt = { .started_us = G_USEC_PER_SEC, .epoch = 3 };
  assert_true (quince_leader_connect_is_due (&last_attempt, G_USEC_PER_SEC + TICK_US - 1000, 3));
}

/* Changes of the view within an epoch cause no further attempts. */
static void
test_attempts_have_a_pause (void **state)
{
  const QuinceLeaderAttempt last_attempt = { .started_us = G_USEC_PER_SEC, .epoch = 3 };
  assert_false (quince_leader_connect_is_due (&last_attempt, G_USEC_PER_SEC, 3));
  assert_false (quince_leader_connect_is_due (&last_attempt, G_USEC_PER_SEC + 50000, 3));
}

/* A replica refuses links while it does not lead: once it is elected, the last attempt no longer counts. */
static void
test_new_epoch_is_followed_at_once (void **state)
{
  const QuinceLeaderAttempt last_attempt = { .started_us = G_USEC_PER_SEC, .epoch = 3 };
  assert_true (quince_leader_connect_is_due (&last_attempt, G_USEC_PER_SEC + 1000, 4));
}

static void
test_first_attempt_is_made_at_once (void **state)
{
  const QuinceLeaderAttempt none = { 0 };
  assert_true (quince_leader_connect_is_due (&none, 1000, 0));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_tick_is_an_attempt),
    cmocka_unit_test (test_attempts_have_a_pause),
    cmocka_unit_test (test_new_epoch_is_followed_at_once),
    cmocka_unit_test (test_first_attempt_is_made_at_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
