/*
 * await.h: waits for a condition while the test's own main context runs; bounded.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <gio/gio.h>

/* Longest wait; far above what any condition needs. */
#define AWAIT_TIMEOUT_MS 30000

/* @condition may itself make a call: its first success counts. */
#define AWAIT(condition)                                                                                     \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 await_end = g_get_monotonic_time () + AWAIT_TIMEOUT_MS * 1000;                                    \
    gboolean await_met = FALSE;                                                                              \
    while (!(await_met = !!(condition)) && g_get_monotonic_time () < await_end)                              \
      if (!g_main_context_iteration (NULL, FALSE))                                                           \
        g_usleep (1000);                                                                                     \
    if (!await_met)                                                                                          \
      fail_msg ("never came true: %s", #condition);                                                          \
  }                                                                                                          \
  G_STMT_END

/* Lets the main context run for a while, for what must not happen. */
static inline void
run_for (guint milliseconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)milliseconds * 1000;
  while (g_get_monotonic_time () < end)
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (1000);
}
