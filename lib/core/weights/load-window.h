/*
 * load-window.h: limits how many workers of a service load new weights at the same time.
 *
 * The bandwidth of the weight storage is not known.  Beyond it, each load takes longer, and a worker serves
 * nothing while it loads.  The limit therefore works like a congestion window: it grows while loads take
 * about as long as a single one, and shrinks when they take longer.
 *
 * weight-orders.c keeps one window per service.  All times are microseconds of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  double size;             /* concurrent loads; 0: the initial size */
  gint64 baseline_us;      /* duration of the shortest load since the size was last 1; 0: no load has ended */
  gint64 last_decrease_us; /* when the size last shrank; 0: never; ignores slow loads that started earlier */
} QuinceLoadWindow;

/* Returns the number of loads that may run concurrently: at least 1, and otherwise at most @max_loads, the
 * limit of the service from load-next.h. */
guint quince_load_window_get_size (const QuinceLoadWindow *window, guint max_loads);
/* Adjusts the window after a successful load that was ordered at @started_us and completed at @now_us. */
void
quince_load_window_record_load (QuinceLoadWindow *window, gint64 now_us, gint64 started_us, guint max_loads);

G_END_DECLS
