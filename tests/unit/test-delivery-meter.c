/*
 * test-delivery-meter.c: estimates of undelivered bytes from the answers of a peer, with and without a relay
 * that acknowledges bytes before it delivers them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "runtime/answer-allowance.h"
#include "runtime/delivery-meter.h"

#define US_PER_MS 1000
/* Heartbeat interval of the leader. */
#define PROBE_MS 250
/* Size of the results of a step. */
#define ANSWER_BYTES (577 * 1000)
/* Time after which a reader retries. */
#define READ_TIMEOUT_MS 1500
#define SLOW_BYTES_PER_MS 390

static void
test_timely_answers_report_no_backlog (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 0, 1000), 0);
  for (guint i = 1; i <= 100; i++)
    {
      gint64 now_us = (gint64)i * PROBE_MS * US_PER_MS;
      quince_delivery_meter_record_probe (&meter, now_us, i * 1000);
      assert_int_equal (quince_delivery_meter_get_backlog (&meter, now_us + 200 * US_PER_MS, i * 1000 + 500),
                        0);
      quince_delivery_meter_record_answer (&meter, now_us + 200 * US_PER_MS);
    }
  /* A peer that violates the protocol sends an answer without a probe. */
  quince_delivery_meter_record_answer (&meter, 100 * PROBE_MS * US_PER_MS);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 100 * PROBE_MS * US_PER_MS, 200000), 0);
}

static void
test_late_answers_report_backlog (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  quince_delivery_meter_record_probe (&meter, 0, 1000);
  quince_delivery_meter_record_answer (&meter, 10 * US_PER_MS);
  quince_delivery_meter_record_probe (&meter, 250 * US_PER_MS, 600000);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 500 * US_PER_MS, 600000), 0);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 501 * US_PER_MS, 700000), 699000);
  quince_delivery_meter_record_probe (&meter, 502 * US_PER_MS, 700000);
  quince_delivery_meter_record_answer (&meter, 600 * US_PER_MS);
  /* The link counts as slow after the late answer. */
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 601 * US_PER_MS, 700000), 100000);
  quince_delivery_meter_record_answer (&meter, 700 * US_PER_MS);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 701 * US_PER_MS, 700000), 0);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 702 * US_PER_MS, 705000), 5000);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 2601 * US_PER_MS, 800000), 0);
}

/* Late answers to more probes than the meter stores. */
static void
test_unanswered_probes_exceed_limit (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  quince_delivery_meter_record_probe (&meter, 0, 10);
  quince_delivery_meter_record_answer (&meter, 1);
  guint n_unanswered = 3 * QUINCE_DELIVERY_PROBES_MAX;
  for (guint i = 1; i <= n_unanswered; i++)
    quince_delivery_meter_record_probe (&meter, (gint64)i * PROBE_MS * US_PER_MS, 10 + i * 100);
  gint64 now_us = (gint64)n_unanswered * PROBE_MS * US_PER_MS;
  guint64 bytes = 10 + n_unanswered * 100;
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, now_us, bytes), n_unanswered * 100);
  for (guint i = 0; i < n_unanswered; i++)
    {
      quince_delivery_meter_record_answer (&meter, now_us);
      assert_true (quince_delivery_meter_get_backlog (&meter, now_us, bytes) <= n_unanswered * 100);
    }
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, now_us + 3000 * US_PER_MS, bytes), 0);
}

/* Simulates twelve readers behind a relay that acknowledges all bytes immediately and delivers 390 kB/s.
 * Guards against answers that queue in the relay for longer than the read timeout.
 * @use_meter: whether the sender takes the backlog from the delivery meter, or assumes that there is none
 *
 * Returns: number of answers that arrive within the read timeout */
static guint
simulate_reads_through_relay (gboolean use_meter)
{
  QuinceDeliveryMeter meter = { 0 };
  QuinceAnswerAllowance allowance = { 0 };
  guint64 sent_bytes = 100;
  guint64 delivered_bytes = 100;
  guint n_answers = 0;
  guint n_in_time = 0;
  guint64 probes[1000] = { 0 };
  guint n_probes = 0;
  guint n_probes_answered = 0;
  for (gint64 now_ms = 0; now_ms < 12000; now_ms++)
    {
      delivered_bytes = MIN (delivered_bytes + SLOW_BYTES_PER_MS, sent_bytes);
      while (n_probes_answered < n_probes && probes[n_probes_answered] <= delivered_bytes)
        {
          quince_delivery_meter_record_answer (&meter, now_ms * US_PER_MS);
          n_probes_answered++;
        }
      if (now_ms % PROBE_MS == 0)
        {
          sent_bytes += 100;
          probes[n_probes++] = sent_bytes;
          quince_delivery_meter_record_probe (&meter, now_ms * US_PER_MS, sent_bytes);
        }
      /* One of the twelve readers sends a request every 125 ms. */
      if (now_ms % (READ_TIMEOUT_MS / 12) != 0)
        continue;
      gsize backlog
          = use_meter ? quince_delivery_meter_get_backlog (&meter, now_ms * US_PER_MS, sent_bytes) : 0;
      gsize bytes = quince_answer_allowance_acquire (&allowance, now_ms * US_PER_MS, backlog, 700 * 1024);
      if (bytes == 0)
        continue;
      n_answers++;
      sent_bytes += MIN (bytes, ANSWER_BYTES);
      n_in_time += (sent_bytes - delivered_bytes) / SLOW_BYTES_PER_MS <= READ_TIMEOUT_MS;
    }
  assert_true (n_answers > 0);
  return n_in_time;
}

static void
test_readers_behind_relay (void **state)
{
  assert_in_range (simulate_reads_through_relay (FALSE), 0, 2);
  assert_true (simulate_reads_through_relay (TRUE) >= 12);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timely_answers_report_no_backlog),
    cmocka_unit_test (test_late_answers_report_backlog),
    cmocka_unit_test (test_unanswered_probes_exceed_limit),
    cmocka_unit_test (test_readers_behind_relay),
  };
  return cmocka_run_group_tests_name ("delivery-meter", tests, NULL, NULL);
}
