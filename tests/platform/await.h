/*
 * await.h: waits for a condition, up to a timeout, while the default main context runs.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <gio/gio.h>

#define AWAIT_TIMEOUT_MS 30000

/* Evaluates @condition until it is true; fails the test after AWAIT_TIMEOUT_MS. */
#define AWAIT(condition)                                                                                     \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 await_end = g_get_monotonic_time () + AWAIT_TIMEOUT_MS * 1000;                                    \
    gboolean await_met = FALSE;                                                                              \
    while (!(await_met = !!(condition)) && g_get_monotonic_time () < await_end)                              \
      if (!g_main_context_iteration (NULL, FALSE))                                                           \
        g_usleep (1000);                                                                                     \
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
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (1000);
}
