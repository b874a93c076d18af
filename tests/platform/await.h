/*
 * await.h: waits for a condition, up to a timeout, while the default main context runs.
 *
 * The relays and stand-ins of a test run in the same main context, so that nothing is relayed while it does
 * not run.  Each such delay of LATE_LOOP_MS or more is printed with its cause.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <gio/gio.h>

#define AWAIT_TIMEOUT_MS 30000
/* Half of the time without contact after which replicas elect another leader. */
#define LATE_LOOP_MS 500
/* Interval at which the scheduler's counters are read, as the reference for the next delay. */
#define SCHEDULER_READ_INTERVAL_MS 100

typedef struct
{
  gint64 time_us;     /* monotonic; 0: not read yet */
  guint64 running_ns; /* time on a processor, of the main thread */
  guint64 waiting_ns; /* time in the scheduler's queue, of the main thread */
} SchedulerTimes;

static inline SchedulerTimes
read_scheduler_times (void)
{
  SchedulerTimes times = { .time_us = g_get_monotonic_time () };
  g_autofree char *text = NULL;
  if (g_file_get_contents ("/proc/self/schedstat", &text, NULL, NULL))
    sscanf (text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, &times.running_ns, &times.waiting_ns);
  return times;
}

/* Prints a delay of the main loop, and how much of it the program ran or waited for a processor.  If both
 * are much shorter than the delay, the program was blocked or stopped. */
static inline void
print_late_loop (gint64 late_us, const SchedulerTimes *before, const SchedulerTimes *now)
{
  g_autoptr (GDateTime) time = g_date_time_new_now_utc ();
  g_autofree char *text = g_date_time_format (time, "%T.%f");
  print_message ("  main loop late at %s by %" G_GINT64_FORMAT " ms: ran %" G_GUINT64_FORMAT
                 " ms, waited for a processor %" G_GUINT64_FORMAT " ms in the last %" G_GINT64_FORMAT " ms\n",
                 text, late_us / 1000, (now->running_ns - before->running_ns) / 1000000,
                 (now->waiting_ns - before->waiting_ns) / 1000000, (now->time_us - before->time_us) / 1000);
}

/* Runs one iteration of the default main context, and sleeps for 1 ms if nothing was ready. */
static inline void
run_main_loop_once (void)
{
  static gint64 last_us;
  static SchedulerTimes reference;
  gint64 now_us = g_get_monotonic_time ();
  gboolean is_late = last_us > 0 && now_us - last_us >= LATE_LOOP_MS * 1000;
  if (is_late || now_us - reference.time_us >= SCHEDULER_READ_INTERVAL_MS * 1000)
    {
      SchedulerTimes times = read_scheduler_times ();
      if (is_late)
        print_late_loop (now_us - last_us, &reference, &times);
      reference = times;
    }
  last_us = now_us;
  if (!g_main_context_iteration (NULL, FALSE))
    g_usleep (1000);
}

/* Evaluates @condition until it is true; fails the test after AWAIT_TIMEOUT_MS. */
#define AWAIT(condition)                                                                                     \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 await_end = g_get_monotonic_time () + AWAIT_TIMEOUT_MS * 1000;                                    \
    gboolean await_met = FALSE;                                                                              \
    while (!(await_met = !!(condition)) && g_get_monotonic_time () < await_end)                              \
      run_main_loop_once ();                                                                                 \
    if (!await_met)                                                                                          \
      fail_msg ("timed out waiting for: %s", #condition);                                                    \
  }                                                                                                          \
  G_STMT_END

/* Runs the default main context for @milliseconds, for example while a test checks that nothing happens. */
static inline void
run_for (guint milliseconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)milliseconds * 1000;
  while (g_get_monotonic_time () < end)
    run_main_loop_once ();
}
