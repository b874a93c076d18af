/*
 * clock.c: clocks and timers; see clock.h.
 */
#include "runtime/clock.h"

#include <errno.h>
#include <time.h>

GSource *
quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data)
{
  GSource *source = g_timeout_source_new (interval_ms);
  g_source_set_callback (source, function, user_data, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
  return source;
}

void
quince_source_clear (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_source_unref (*source);
  *source = NULL;
}

gint64
quince_now_us (void)
{
  struct timespec now;
  if (clock_gettime (CLOCK_BOOTTIME, &now) != 0)
    g_error ("the kernel has no CLOCK_BOOTTIME: %s", g_strerror (errno));
  return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

gint64
quince_wall_ms (void)
{
  return g_get_real_time () / 1000;
}
