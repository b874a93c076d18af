/*
 * test-usage-book.c: usage windows, in which each event counts once and a closed window never changes; the
 * agreed clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/usage/agreed-clock.h"
#include "core/usage/usage-aggregator.h"

#define WINDOW_MS 5000
#define CLOSE_DELAY_MS 4000
#define SOURCE 77

static void
apply_event (QuinceUsageAggregator *aggregator,
             guint64 index,
             guint64 source,
             guint64 sequence,
             const char *tenant,
             guint64 ms)
{
  QuinceUsageEvent event = { .sequence = sequence, .tenant = (char *)tenant, .begun_ms = ms };
  QuinceUsageEvents events = { .source = source };
  events.events.events_val = &event;
  events.events.events_len = 1;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE };
  record.QuinceBatchRecord_u.usage.sources.sources_val = &events;
  record.QuinceBatchRecord_u.usage.sources.sources_len = 1;
  quince_usage_aggregator_apply (aggregator, index, &record);
}

static void
apply_closed (QuinceUsageAggregator *aggregator, guint64 index, const QuinceUsageWindow *window)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_CLOSED };
  record.QuinceBatchRecord_u.usage_closed = *window;
  quince_usage_aggregator_apply (aggregator, index, &record);
}

static void
apply_sent (QuinceUsageAggregator *aggregator, guint64 index, guint64 window)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_SENT };
  record.QuinceBatchRecord_u.usage_sent = window;
  quince_usage_aggregator_apply (aggregator, index, &record);
}

static void
test_ignore_duplicate_events (void **state)
{
  g_autoptr (QuinceUsageAggregator) aggregator = quince_usage_aggregator_new (WINDOW_MS);
  apply_event (aggregator, 1, SOURCE, 1, "b", 10001);
  apply_event (aggregator, 2, SOURCE, 2, "a", 14999);
  apply_event (aggregator, 3, SOURCE, 2, "a", 14999); /* duplicate */
  apply_event (aggregator, 4, SOURCE + 1, 1, "b", 12000);
  apply_event (aggregator, 5, SOURCE, 3, "a", 15000); /* in the next window */
  assert_int_equal (quince_usage_aggregator_get_sequence (aggregator, SOURCE), 3);
  assert_int_equal (quince_usage_aggregator_get_sequence (aggregator, SOURCE + 2), 0);
  assert_null (
      quince_usage_aggregator_next_to_close (aggregator, 15000 + CLOSE_DELAY_MS - 1, CLOSE_DELAY_MS));
  g_autoptr (QuinceUsageWindow) window
      = quince_usage_aggregator_next_to_close (aggregator, 15000 + CLOSE_DELAY_MS, CLOSE_DELAY_MS);
  assert_int_equal (window->window, 2);
  assert_int_equal (window->counts.counts_len, 2);
  assert_string_equal (window->counts.counts_val[0].tenant, "a");
  assert_int_equal (window->counts.counts_val[0].requests, 1);
  assert_string_equal (window->counts.counts_val[1].tenant, "b");
  assert_int_equal (window->counts.counts_val[1].requests, 2);
}

/* A late event, or a second close by another leader, does not change the report of a closed window. */
static void
test_closed_window_is_final (void **state)
{
  g_autoptr (QuinceUsageAggregator) aggregator = quince_usage_aggregator_new (WINDOW_MS);
  apply_event (aggregator, 1, SOURCE, 1, "a", 10000);
  g_autoptr (QuinceUsageWindow) window
      = quince_usage_aggregator_next_to_close (aggregator, 30000, CLOSE_DELAY_MS);
  apply_closed (aggregator, 2, window);
  apply_event (aggregator, 3, SOURCE, 2, "a", 10001);
  assert_null (quince_usage_aggregator_next_to_close (aggregator, 30000, CLOSE_DELAY_MS));
  QuinceUsageCount other_count = { .tenant = (char *)"a", .requests = 2 };
  QuinceUsageWindow duplicate = { .window = 2 };
  duplicate.counts.counts_val = &other_count;
  duplicate.counts.counts_len = 1;
  apply_closed (aggregator, 4, &duplicate);
  const QuinceUsageWindow *report = quince_usage_aggregator_next_to_send (aggregator);
  assert_int_equal (report->window, 2);
  assert_int_equal (report->counts.counts_val[0].requests, 1);
  apply_sent (aggregator, 5, 2);
  assert_null (quince_usage_aggregator_next_to_send (aggregator));
}

/* Records of reported windows become obsolete, but not those that keep the last window closed and sent. */
static void
test_obsolete_records (void **state)
{
  g_autoptr (QuinceUsageAggregator) aggregator = quince_usage_aggregator_new (WINDOW_MS);
  apply_event (aggregator, 1, SOURCE, 1, "a", 10000);
  apply_event (aggregator, 2, SOURCE, 2, "a", 16000);
  g_autoptr (QuinceUsageWindow) window
      = quince_usage_aggregator_next_to_close (aggregator, 19000, CLOSE_DELAY_MS);
  apply_closed (aggregator, 3, window);
  g_autoptr (GArray) before_acknowledgement = quince_usage_aggregator_take_obsolete (aggregator);
  assert_int_equal (before_acknowledgement->len, 0);
  apply_sent (aggregator, 4, 2);
  /* If USAGE_SENT were deleted before USAGE_CLOSED, a new leader would report the window again. */
  g_autoptr (GArray) before_next_close = quince_usage_aggregator_take_obsolete (aggregator);
  assert_int_equal (before_next_close->len, 0);
  g_autoptr (QuinceUsageWindow) next_window
      = quince_usage_aggregator_next_to_close (aggregator, 24000, CLOSE_DELAY_MS);
  apply_closed (aggregator, 6, next_window);
  g_autoptr (GArray) indexes = quince_usage_aggregator_take_obsolete (aggregator);
  assert_int_equal (indexes->len, 3); /* the USAGE, USAGE_CLOSED and USAGE_SENT records */
  g_autoptr (GArray) again = quince_usage_aggregator_take_obsolete (aggregator);
  assert_int_equal (again->len, 0);
  /* A new leader that lacks the USAGE_SENT record. */
  g_autoptr (QuinceUsageAggregator) new_leader = quince_usage_aggregator_new (WINDOW_MS);
  apply_event (new_leader, 2, SOURCE, 2, "a", 16000);
  apply_closed (new_leader, 3, window);
  apply_event (new_leader, 5, SOURCE + 1, 1, "a", 10000);
  g_autoptr (QuinceUsageWindow) open
      = quince_usage_aggregator_next_to_close (new_leader, 60000, CLOSE_DELAY_MS);
  assert_int_equal (open->window, 3);
  /* It reports the closed window again without a change. */
  const QuinceUsageWindow *report = quince_usage_aggregator_next_to_send (new_leader);
  assert_int_equal (report->window, 2);
  assert_int_equal (report->counts.counts_val[0].requests, 1);
}

/* The clocks of a minority of machines are wrong by 2 s in either direction. */
static void
test_agreed_clock (void **state)
{
  g_autoptr (QuinceAgreedClock) clock = quince_agreed_clock_new ();
  assert_int_equal (quince_agreed_clock_get (clock, 1000, 501000), 501000);
  for (guint64 source = 1; source <= 7; source++)
    quince_agreed_clock_add_report (clock, source, 1000,
                                    source <= 2   ? 503000
                                    : source <= 3 ? 499000
                                                  : 501001);
  assert_int_equal (quince_agreed_clock_get (clock, 2000, 504000), 502001);
  /* Old reports are ignored. */
  assert_int_equal (quince_agreed_clock_get (clock, 90000, 600000), 600000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ignore_duplicate_events),
    cmocka_unit_test (test_closed_window_is_final),
    cmocka_unit_test (test_obsolete_records),
    cmocka_unit_test (test_agreed_clock),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
