/*
 * test-leader-connect.c: guards against backups that find a new leader late, against attempts without a
 * pause, and against backups that open a link at each tick to a replica which refuses them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/leader-connect.h"

#define TICK_US 150000
/* A winner whose write to the store is not answered leads this long after its election. */
#define STORE_TIMEOUT_US 300000
/* After this silence a backup campaigns. */
#define LEADER_TIMEOUT_US G_USEC_PER_SEC

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

/* Starts the next refused attempt in @epoch at the first tick at which it is due, and returns the time since
 * the last one. */
static gint64
refuse_next_attempt (QuinceLeaderAttempt *attempt, guint64 epoch)
{
  gint64 last_us = attempt->started_us;
  gint64 now_us = last_us;
  do
    now_us += TICK_US;
  while (!quince_leader_connect_is_due (attempt, now_us, epoch));
  quince_leader_connect_record_start (attempt, now_us, epoch);
  quince_leader_connect_record_end (attempt, TRUE);
  return now_us - last_us;
}

static QuinceLeaderAttempt
make_refused_attempt (guint64 epoch, guint refusals)
{
  QuinceLeaderAttempt attempt = { 0 };
  quince_leader_connect_record_start (&attempt, G_USEC_PER_SEC, epoch);
  for (guint i = 0; i < refusals; i++)
    quince_leader_connect_record_end (&attempt, TRUE);
  return attempt;
}

/* A backup may read the view that names the winner before the winner does: it must not follow it late because
 * the winner refused the links until then. */
static void
test_first_refusals_do_not_delay (void **state)
{
  QuinceLeaderAttempt attempt = make_refused_attempt (3, 1);
  while (attempt.started_us - G_USEC_PER_SEC < STORE_TIMEOUT_US)
    assert_int_equal (refuse_next_attempt (&attempt, 3), TICK_US);
  assert_int_equal (refuse_next_attempt (&attempt, 3), TICK_US);
}

/* A replica that never leads must not be connected to at each tick without bound. */
static void
test_refused_attempts_become_rare (void **state)
{
  QuinceLeaderAttempt attempt = make_refused_attempt (3, 1);
  gint64 interval_us = TICK_US;
  for (guint i = 0; i < 1000; i++)
    {
      gint64 next_us = refuse_next_attempt (&attempt, 3);
      assert_true (next_us >= interval_us);
      interval_us = next_us;
    }
  assert_true (interval_us >= 4 * TICK_US);
}

/* A leader that leads after long refusals must be followed before the backup campaigns. */
static void
test_interval_is_bounded (void **state)
{
  const QuinceLeaderAttempt attempt = make_refused_attempt (3, G_MAXUINT16);
  gint64 latest_us = attempt.started_us + LEADER_TIMEOUT_US - 2 * TICK_US;
  assert_true (quince_leader_connect_is_due (&attempt, latest_us, 3));
}

/* Refusals in an earlier epoch must delay neither the first attempt in the next one nor those after it. */
static void
test_new_epoch_forgets_refusals (void **state)
{
  QuinceLeaderAttempt attempt = make_refused_attempt (3, 100);
  gint64 now_us = attempt.started_us + 1000;
  assert_true (quince_leader_connect_is_due (&attempt, now_us, 4));
  quince_leader_connect_record_start (&attempt, now_us, 4);
  quince_leader_connect_record_end (&attempt, TRUE);
  assert_int_equal (refuse_next_attempt (&attempt, 4), TICK_US);
}

/* A link to a replica that led, or an attempt that did not reach it, must not delay the next attempts: a
 * restarted leader needs the address in the hello message. */
static void
test_other_ends_forget_refusals (void **state)
{
  QuinceLeaderAttempt attempt = make_refused_attempt (3, 100);
  quince_leader_connect_record_end (&attempt, FALSE);
  assert_int_equal (refuse_next_attempt (&attempt, 3), TICK_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_tick_is_an_attempt),
    cmocka_unit_test (test_attempts_have_a_pause),
    cmocka_unit_test (test_new_epoch_is_followed_at_once),
    cmocka_unit_test (test_first_attempt_is_made_at_once),
    cmocka_unit_test (test_first_refusals_do_not_delay),
    cmocka_unit_test (test_refused_attempts_become_rare),
    cmocka_unit_test (test_interval_is_bounded),
    cmocka_unit_test (test_new_epoch_forgets_refusals),
    cmocka_unit_test (test_other_ends_forget_refusals),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
