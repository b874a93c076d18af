/*
 * clock.c: monotonic and wall clocks; see clock.h.
 */
#include "runtime/clock.h"

#include <errno.h>
#include <time.h>

gint64
quince_now_us (void)
{
  struct timespec now;
  if (clock_gettime (CLOCK_BOOTTIME, &now) != 0)
    g_error ("clock_gettime() failed for CLOCK_BOOTTIME: %s", g_strerror (errno));
  return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

gint64
quince_wall_ms (void)
{
  return g_get_real_time () / 1000;
}
