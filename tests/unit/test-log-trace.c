/*
 * test-log-trace.c: the trace of a request from the logs of several processes, and the check of log lines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "core/trace/log-trace.h"

#define AT(time) "time=2026-12-02T10:00:" time "Z level=info program=quinceroute-front name="

/* Lines of two fronts, not sorted by time; one has the prefix of a log collector. */
static const char *const log_lines[] = {
  AT ("09.500") "f1 event=request_answered request=r1 status=200 worker=w2 attempts=2 worker_ms=9 age_ms=20",
  AT ("01.000") "f1 event=worker_changed worker=w1 service=s address=127.0.0.1:1 state=ready version=1",
  AT ("02.000") "f1 event=worker_changed worker=w1 service=s address=127.0.0.1:1 state=draining version=1",
  AT ("03.000") "f1 event=worker_changed worker=w9 service=s address=127.0.0.1:9 state=ready version=1",
  AT ("04.000") "f2 event=dependency_lost what=meta_store",
  AT ("05.000") "f1 event=configuration version=3 routes=2",
  "collector: " AT ("09.480") "f1 event=request_retried request=r1 worker=w1 cause=worker_lost attempts=1",
  AT ("09.490") "f1 event=worker_gone worker=w1",
  AT ("09.495") "f1 event=request_refused request=r2 target=\"/a \\\"b\" status=503 cause=no_worker age_ms=0",
  AT ("09.900") "f1 event=configuration version=4 routes=2",
  "ready callers=127.0.0.1:1",
  "",
};

static QuinceLogTrace *
make_trace (void)
{
  QuinceLogTrace *trace = quince_log_trace_new ();
  for (guint i = 0; i < G_N_ELEMENTS (log_lines); i++)
    quince_log_trace_add (trace, log_lines[i]);
  return trace;
}

static void
test_trace_order (void **state)
{
  static const char *const expected[] = {
    "(belief) worker_changed worker=w1 service=s address=127.0.0.1:1 state=draining",
    "(belief) configuration version=3",
    "+0.000 s  f1           request_retried request=r1 worker=w1 cause=worker_lost",
    "+0.010 s  f1           (belief) worker_gone worker=w1",
    "+0.020 s  f1           request_answered request=r1 status=200 worker=w2",
  };
  g_autoptr (QuinceLogTrace) trace = make_trace ();
  g_autofree char *text = quince_log_trace_format (trace, "r1");
  const char *cursor = text;
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      const char *found = strstr (cursor, expected[i]);
      if (found == NULL)
        fail_msg ("not found: %s in\n%s", expected[i], text);
      cursor = found + strlen (expected[i]);
    }
}

/* A trace omits other workers, processes and requests, outdated context, and lines after its end. */
static void
test_trace_excludes_unrelated_lines (void **state)
{
  static const char *const absent[] = { "w9", "meta_store", "r2", "state=ready", "version=4" };
  g_autoptr (QuinceLogTrace) trace = make_trace ();
  g_autofree char *text = quince_log_trace_format (trace, "r1");
  for (guint i = 0; i < G_N_ELEMENTS (absent); i++)
    if (strstr (text, absent[i]) != NULL)
      fail_msg ("%s appears in\n%s", absent[i], text);
  assert_null (quince_log_trace_format (trace, "nobody"));
}

static void
test_quoted_values (void **state)
{
  g_autoptr (QuinceLogTrace) trace = make_trace ();
  g_autofree char *text = quince_log_trace_format (trace, "r2");
  assert_non_null (strstr (text, "target=/a \"b status=503 cause=no_worker"));
}

static void
test_log_line_check (void **state)
{
  static const struct
  {
    const char *line;
    int code; /* -1: valid */
  } cases[] = {
    { AT ("01.000") "f1 event=worker_gone worker=w1", -1 },
    { AT ("01.000") "\"\" event=stopped status=0", -1 },
    { AT ("01.000") "f1 event=worker_vanished worker=w1", QUINCE_LOG_TRACE_ERROR_UNKNOWN_EVENT },
    { AT ("01.000") "f1 event=worker_gone worker", QUINCE_LOG_TRACE_ERROR_MALFORMED },
    { AT ("01.000") "f1 event=worker_gone worker=\"w1", QUINCE_LOG_TRACE_ERROR_MALFORMED },
    { "event=worker_gone worker=w1", QUINCE_LOG_TRACE_ERROR_MALFORMED },
    { "time=yesterday level=info program=p name=n event=stopped", QUINCE_LOG_TRACE_ERROR_MALFORMED },
    { "", QUINCE_LOG_TRACE_ERROR_MALFORMED },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      gboolean valid = quince_log_line_check (cases[i].line, &error);
      if (valid != (cases[i].code == -1) || (!valid && error->code != cases[i].code))
        fail_msg ("%s: %s", cases[i].line, error != NULL ? error->message : "accepted");
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_trace_order),
    cmocka_unit_test (test_trace_excludes_unrelated_lines),
    cmocka_unit_test (test_quoted_values),
    cmocka_unit_test (test_log_line_check),
  };
  return cmocka_run_group_tests_name ("log-trace", tests, NULL, NULL);
}
