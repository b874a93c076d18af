/*
 * test-telemetry.c: tests of the log's rate limit and of metrics.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "runtime/log.h"
#include "runtime/metrics.h"

#define LINES_PER_SECOND 50

static guint
count_occurrences (const char *text, const char *substring)
{
  guint found = 0;
  for (const char *at = strstr (text, substring); at != NULL; at = strstr (at + 1, substring))
    found++;
  return found;
}

/* Returns: (transfer full): the data in the pipe */
static char *
read_available (int descriptor)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t length;
  fcntl (descriptor, F_SETFL, O_NONBLOCK);
  while ((length = read (descriptor, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, length);
  return g_string_free (text, FALSE);
}

/* Writes more lines than the pipe holds while nobody reads.  Logging must drop lines instead of blocking. */
static void
test_log_never_blocks (void **state)
{
  int pipe_fds[2];
  assert_int_equal (pipe (pipe_fds), 0);
  quince_log_init ("test", "t", G_LOG_LEVEL_INFO);
  quince_log_set_output (pipe_fds[1], 1000000);
  for (guint i = 0; i < 20000; i++)
    quince_log_info ("filler", "number=%u padding=xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", i);
  g_autofree char *text = read_available (pipe_fds[0]);
  assert_true (count_occurrences (text, "event=filler") < 20000);
  /* No line is truncated. */
  assert_int_equal (count_occurrences (text, "time="), count_occurrences (text, "\n"));
  quince_log_set_output (STDERR_FILENO, 0);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

/* Lines above the rate limit are dropped and counted; warnings are still written. */
static void
test_log_rate_limit (void **state)
{
  int pipe_fds[2];
  assert_int_equal (pipe (pipe_fds), 0);
  quince_log_set_output (pipe_fds[1], LINES_PER_SECOND);
  for (guint i = 0; i < 300; i++)
    quince_log_info ("filler", "number=%u", i);
  quince_log_warning ("trouble", "number=%u", 1);
  g_autofree char *text = read_available (pipe_fds[0]);
  /* The loop may span two seconds. */
  assert_in_range (count_occurrences (text, "event=filler"), 1, 2 * LINES_PER_SECOND);
  assert_int_equal (count_occurrences (text, "event=trouble"), 1);
  gint64 first_second = g_get_real_time () / G_USEC_PER_SEC;
  while (g_get_real_time () / G_USEC_PER_SEC == first_second)
    g_usleep (10000);
  quince_log_info ("later", "%s", "");
  g_autofree char *later_text = read_available (pipe_fds[0]);
  assert_int_equal (count_occurrences (later_text, "event=log_lines_left_out count="), 1);
  assert_int_equal (count_occurrences (later_text, "event=later"), 1);
  quince_log_set_output (STDERR_FILENO, 0);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

static void
test_metrics_format (void **state)
{
  quince_metrics_reset ();
  quince_metric_add ("a_total", "x=\"1\"", 2);
  quince_metric_add ("a_total", "x=\"1\"", 3);
  quince_metric_set ("b", "", 1.5);
  quince_metric_observe_us ("c_seconds", "k=\"v\"", 3000);
  quince_metric_observe_us ("c_seconds", "k=\"v\"", 700000);
  g_autofree char *text = quince_metrics_format ();
  assert_non_null (strstr (text, "# TYPE a_total counter\na_total{x=\"1\"} 5\n"));
  assert_non_null (strstr (text, "# TYPE b gauge\nb 1.5\n"));
  assert_non_null (strstr (text, "c_seconds_bucket{k=\"v\",le=\"0.002\"} 0\n"));
  assert_non_null (strstr (text, "c_seconds_bucket{k=\"v\",le=\"0.005\"} 1\n"));
  assert_non_null (strstr (text, "c_seconds_bucket{k=\"v\",le=\"1\"} 2\n"));
  assert_non_null (strstr (text, "c_seconds_count{k=\"v\"} 2\n"));
}

static void
test_metrics_series_limit (void **state)
{
  quince_metrics_reset ();
  for (guint i = 0; i < QUINCE_METRICS_SERIES_MAX + 10; i++)
    {
      g_autofree char *labels = g_strdup_printf ("x=\"%u\"", i);
      quince_metric_add ("a_total", labels, 1);
    }
  g_autofree char *text = quince_metrics_format ();
  assert_int_equal (count_occurrences (text, "a_total{"), QUINCE_METRICS_SERIES_MAX);
  assert_non_null (strstr (text, "quince_metrics_dropped_total 10\n"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_log_never_blocks),
    cmocka_unit_test (test_log_rate_limit),
    cmocka_unit_test (test_metrics_format),
    cmocka_unit_test (test_metrics_series_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
