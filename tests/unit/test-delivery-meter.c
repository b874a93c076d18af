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
/* Time without an answer to a probe after which the leader counts a front as silent. */
#define SILENT_MS 650
/* Simulation of one reader: the link is fast up to FAST_MS, its rate is known from LEARNT_MS on. */
#define FAST_MS 2000
#define LEARNT_MS 4000
#define END_MS 30000
#define FAST_BYTES_PER_MS 100000

static void
test_timely_answers_report_no_backlog (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  QuinceDelivery delivery;
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 0, 1000), 0);
  for (guint i = 1; i <= 100; i++)
    {
      gint64 now_us = (gint64)i * PROBE_MS * US_PER_MS;
      quince_delivery_meter_record_probe (&meter, now_us, i * 1000);
      assert_int_equal (quince_delivery_meter_get_backlog (&meter, now_us + 200 * US_PER_MS, i * 1000 + 500),
                        0);
      quince_delivery_meter_record_answer (&meter, now_us + 200 * US_PER_MS, &delivery);
    }
  /* A peer that violates the protocol sends an answer without a probe. */
  quince_delivery_meter_record_answer (&meter, 100 * PROBE_MS * US_PER_MS, &delivery);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 100 * PROBE_MS * US_PER_MS, 200000), 0);
}

static void
test_late_answers_report_backlog (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  QuinceDelivery delivery;
  quince_delivery_meter_record_probe (&meter, 0, 1000);
  quince_delivery_meter_record_answer (&meter, 10 * US_PER_MS, &delivery);
  quince_delivery_meter_record_probe (&meter, 250 * US_PER_MS, 600000);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 500 * US_PER_MS, 600000), 0);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 501 * US_PER_MS, 700000), 699000);
  quince_delivery_meter_record_probe (&meter, 502 * US_PER_MS, 700000);
  quince_delivery_meter_record_answer (&meter, 600 * US_PER_MS, &delivery);
  /* The link counts as slow after the late answer. */
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 601 * US_PER_MS, 700000), 100000);
  quince_delivery_meter_record_answer (&meter, 700 * US_PER_MS, &delivery);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 701 * US_PER_MS, 700000), 0);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 702 * US_PER_MS, 705000), 5000);
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, 2601 * US_PER_MS, 800000), 0);
}

/* Late answers to more probes than the meter stores. */
static void
test_unanswered_probes_exceed_limit (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  QuinceDelivery delivery;
  quince_delivery_meter_record_probe (&meter, 0, 10);
  quince_delivery_meter_record_answer (&meter, 1, &delivery);
  guint n_unanswered = 3 * QUINCE_DELIVERY_PROBES_MAX;
  for (guint i = 1; i <= n_unanswered; i++)
    quince_delivery_meter_record_probe (&meter, (gint64)i * PROBE_MS * US_PER_MS, 10 + i * 100);
  gint64 now_us = (gint64)n_unanswered * PROBE_MS * US_PER_MS;
  guint64 bytes = 10 + n_unanswered * 100;
  assert_int_equal (quince_delivery_meter_get_backlog (&meter, now_us, bytes), n_unanswered * 100);
  for (guint i = 0; i < n_unanswered; i++)
    {
      quince_delivery_meter_record_answer (&meter, now_us, &delivery);
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
  QuinceDelivery delivery;
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
          quince_delivery_meter_record_answer (&meter, now_ms * US_PER_MS, &delivery);
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

static void
test_delivery_is_measured (void **state)
{
  QuinceDeliveryMeter meter = { 0 };
  QuinceDelivery delivery = { 0 };
  quince_delivery_meter_record_probe (&meter, 0, 1000);
  quince_delivery_meter_start_delivery (&meter, 10 * US_PER_MS, 1000);
  /* A second answer is not measured while the first one is. */
  quince_delivery_meter_start_delivery (&meter, 20 * US_PER_MS, 101000);
  quince_delivery_meter_record_probe (&meter, 250 * US_PER_MS, 102000);
  quince_delivery_meter_record_probe (&meter, 500 * US_PER_MS, 103000);
  /* The answer to the probe before the measured answer completes nothing. */
  assert_false (quince_delivery_meter_record_answer (&meter, 300 * US_PER_MS, &delivery));
  assert_true (quince_delivery_meter_record_answer (&meter, 600 * US_PER_MS, &delivery));
  assert_int_equal (delivery.bytes, 101000);
  assert_int_equal (delivery.duration_us, 590 * US_PER_MS);
  assert_false (quince_delivery_meter_record_answer (&meter, 700 * US_PER_MS, &delivery));
}

/* A link whose peer answers each probe once it arrives, and one reader that reads again as soon as its answer
 * has arrived. */
typedef struct
{
  QuinceDeliveryMeter meter;
  QuinceAnswerAllowance allowance;
  guint64 sent_bytes;
  guint64 delivered_bytes;
  guint64 probes[1000]; /* bytes up to the end of each probe */
  guint n_probes;
  guint n_probes_answered;
  guint64 answer_end_bytes;
  gint64 answer_sent_ms;
} ReaderLink;

static void
deliver (ReaderLink *link, gint64 now_ms, gsize bytes)
{
  link->delivered_bytes = MIN (link->delivered_bytes + bytes, link->sent_bytes);
  for (; link->n_probes_answered < link->n_probes
         && link->probes[link->n_probes_answered] <= link->delivered_bytes;
       link->n_probes_answered++)
    {
      QuinceDelivery delivery;
      if (quince_delivery_meter_record_answer (&link->meter, now_ms * US_PER_MS, &delivery))
        quince_answer_allowance_record_delivery (&link->allowance, now_ms * US_PER_MS, delivery.bytes,
                                                 delivery.duration_us);
    }
}

static void
send_probe (ReaderLink *link, gint64 now_ms)
{
  link->sent_bytes += 100;
  link->probes[link->n_probes++] = link->sent_bytes;
  quince_delivery_meter_record_probe (&link->meter, now_ms * US_PER_MS, link->sent_bytes);
}

static void
send_answer (ReaderLink *link, gint64 now_ms)
{
  gsize backlog = quince_delivery_meter_get_backlog (&link->meter, now_ms * US_PER_MS, link->sent_bytes);
  gsize max_bytes
      = quince_answer_allowance_acquire (&link->allowance, now_ms * US_PER_MS, backlog, 700 * 1024);
  link->answer_sent_ms = now_ms;
  if (max_bytes == 0)
    return;
  quince_delivery_meter_start_delivery (&link->meter, now_ms * US_PER_MS, link->sent_bytes);
  link->sent_bytes += MIN (max_bytes, ANSWER_BYTES);
  link->answer_end_bytes = link->sent_bytes;
}

/* Simulates a link that is fast at first and slow from FAST_MS on.
 * @max_ms: (out): longest delivery of an answer that was sent from LEARNT_MS on
 *
 * Returns: bytes delivered over the slow link */
static guint64
simulate_one_reader (gsize slow_bytes_per_ms, guint *max_ms)
{
  ReaderLink link = { 0 };
  guint64 fast_bytes = 0;
  *max_ms = 0;
  for (gint64 now_ms = 1; now_ms < END_MS; now_ms++)
    {
      if (now_ms == FAST_MS)
        fast_bytes = link.delivered_bytes;
      deliver (&link, now_ms, now_ms < FAST_MS ? FAST_BYTES_PER_MS : slow_bytes_per_ms);
      if (now_ms % PROBE_MS == 0)
        send_probe (&link, now_ms);
      if (link.delivered_bytes < link.answer_end_bytes)
        continue;
      if (link.answer_sent_ms >= LEARNT_MS)
        *max_ms = MAX (*max_ms, (guint)(now_ms - link.answer_sent_ms));
      send_answer (&link, now_ms);
    }
  return link.delivered_bytes - fast_bytes;
}

/* Guards against answers that take longer than the read timeout again and again, and against ones that delay
 * heartbeats for so long that the front counts as silent.  The link of a single reader looks idle at each
 * read, which doubled the limit: at 390 kB/s, answers took up to 1,481 ms. */
static void
test_one_reader_over_slow_link (void **state)
{
  static const gsize rates[] = { 100, SLOW_BYTES_PER_MS, 600, 2000 };
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      guint max_ms;
      guint64 bytes = simulate_one_reader (rates[i], &max_ms);
      assert_in_range (max_ms, 1, SILENT_MS - PROBE_MS);
      /* Small answers must not leave the link idle for most of the time. */
      assert_true (bytes >= rates[i] * (END_MS - FAST_MS) / 2);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timely_answers_report_no_backlog),
    cmocka_unit_test (test_late_answers_report_backlog),
    cmocka_unit_test (test_unanswered_probes_exceed_limit),
    cmocka_unit_test (test_readers_behind_relay),
    cmocka_unit_test (test_delivery_is_measured),
    cmocka_unit_test (test_one_reader_over_slow_link),
  };
  return cmocka_run_group_tests_name ("delivery-meter", tests, NULL, NULL);
}
