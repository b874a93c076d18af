/*
 * test-answer-allowance.c: size limits of answers on idle, slow and blocked links.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "runtime/answer-allowance.h"

#define BYTES_MAX (700 * 1024)
#define US_PER_MS 1000

/* Simulates a link that delivers @bytes_per_ms, on which an answer is requested every @interval_ms.
 *
 * Returns: the maximum backlog, bytes */
static gsize
simulate_link (QuinceAnswerAllowance *allowance,
               gint64 *now_us,
               gsize bytes_per_ms,
               guint interval_ms,
               guint n_requests)
{
  gsize backlog = 0;
  gsize max_backlog = 0;
  for (guint i = 0; i < n_requests; i++)
    {
      backlog += quince_answer_allowance_acquire (allowance, *now_us, backlog, BYTES_MAX);
      max_backlog = MAX (max_backlog, backlog);
      backlog -= MIN (backlog, bytes_per_ms * interval_ms);
      *now_us += interval_ms * US_PER_MS;
    }
  return max_backlog;
}

static void
test_idle_link_gets_full_answers (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), BYTES_MAX);
  /* A second request at the same time. */
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, BYTES_MAX, BYTES_MAX), BYTES_MAX);
}

static void
test_slow_link_backlog_is_bounded (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  assert_true (simulate_link (&allowance, &now_us, 100, 5, 4000) <= 3 * BYTES_MAX);
  /* Once the link counts as slow, it delivers its backlog within the read timeout of a front, 1.5 s. */
  assert_true (simulate_link (&allowance, &now_us, 100, 5, 4000) <= 200 * 1024);
}

static void
test_blocked_link_gets_no_answer (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  simulate_link (&allowance, &now_us, 10000, 100, 10);
  gsize backlog = simulate_link (&allowance, &now_us, 0, 5, 4000);
  assert_true (backlog <= 3 * BYTES_MAX);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, backlog, BYTES_MAX), 0);
}

static void
test_link_recovers (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  simulate_link (&allowance, &now_us, 100, 5, 4000);
  simulate_link (&allowance, &now_us, 10000, 100, 10);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), BYTES_MAX);
}

/* A backlog before the first answer, or after an idle time, does not make a link slow: a new leader sends
 * feed updates before the first answer. */
static void
test_healthy_link_is_not_slow (void **state)
{
  gint64 now_us = 1000 * G_USEC_PER_SEC;
  QuinceAnswerAllowance allowance = { 0 };
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 300 * 1024, BYTES_MAX), BYTES_MAX);
  now_us += 10 * G_USEC_PER_SEC;
  assert_true (quince_answer_allowance_acquire (&allowance, now_us, 40 * 1024, BYTES_MAX) >= 64 * 1024);
}

/* A peer that was suspended, or that is late for want of a processor, answers late on a fast link. */
static void
test_late_peer_gets_full_answers_again (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), BYTES_MAX);
  quince_answer_allowance_record_delivery (&allowance, now_us, 20 * 1024, 1000 * US_PER_MS);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), BYTES_MAX);
  quince_answer_allowance_record_delivery (&allowance, now_us, 200 * 1024, 1000 * US_PER_MS);
  gsize bytes = quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
  assert_int_equal (bytes, 70 * 1024);
  /* An answer far below the limit raises nothing. */
  quince_answer_allowance_record_delivery (&allowance, now_us, 10 * 1024, 100 * US_PER_MS);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), bytes);
  /* Deliveries take half a heartbeat interval on average. */
  for (guint i = 0; i < 3; i++)
    {
      quince_answer_allowance_record_delivery (&allowance, now_us, bytes, 125 * US_PER_MS);
      bytes = quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
    }
  assert_int_equal (bytes, BYTES_MAX);
}

/* A front that a relay feeds gets no more heartbeats, so that no delivery is measured. */
static void
test_limit_rises_without_measurements (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
  quince_answer_allowance_record_delivery (&allowance, now_us, 200 * 1024, 1000 * US_PER_MS);
  now_us += 2000 * US_PER_MS;
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 70 * 1024);
  now_us += US_PER_MS;
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 140 * 1024);
  /* Only once, for all readers of that moment. */
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 140 * 1024);
}

/* An answer holds at least one text, which may exceed the limit.  The limit must not stay at its minimum if
 * the link delivers more: the next read would be refused while one text is on its way. */
static void
test_limit_rises_to_a_larger_answer (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
  quince_answer_allowance_record_delivery (&allowance, now_us, 700 * 1024, 20000 * US_PER_MS);
  gsize min_bytes = quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
  assert_true (min_bytes < 20 * 1024);
  quince_answer_allowance_record_size (&allowance, 70 * 1024);
  quince_answer_allowance_record_delivery (&allowance, now_us, 70 * 1024, 490 * US_PER_MS);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 50 * 1024);
  /* A small answer that takes long still raises nothing. */
  quince_answer_allowance_record_delivery (&allowance, now_us, 40 * 1024, 490 * US_PER_MS);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 50 * 1024);
}

/* The rate of a busy link includes what an answer had above its limit; otherwise a link that delivered most
 * of it looks blocked. */
static void
test_backlog_of_a_larger_answer (void **state)
{
  QuinceAnswerAllowance allowance = { 0 };
  gint64 now_us = 1;
  quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX);
  quince_answer_allowance_record_delivery (&allowance, now_us, 100 * 1024, 1000 * US_PER_MS);
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 0, BYTES_MAX), 35 * 1024);
  quince_answer_allowance_record_size (&allowance, 72 * 1024);
  now_us += 300 * US_PER_MS;
  /* 42 KiB were delivered in 300 ms, which is as much as the limit allows. */
  assert_int_equal (quince_answer_allowance_acquire (&allowance, now_us, 30 * 1024, BYTES_MAX), 35 * 1024);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_idle_link_gets_full_answers),
    cmocka_unit_test (test_slow_link_backlog_is_bounded),
    cmocka_unit_test (test_blocked_link_gets_no_answer),
    cmocka_unit_test (test_link_recovers),
    cmocka_unit_test (test_healthy_link_is_not_slow),
    cmocka_unit_test (test_late_peer_gets_full_answers_again),
    cmocka_unit_test (test_limit_rises_without_measurements),
    cmocka_unit_test (test_limit_rises_to_a_larger_answer),
    cmocka_unit_test (test_backlog_of_a_larger_answer),
  };
  return cmocka_run_group_tests_name ("answer-allowance", tests, NULL, NULL);
}
