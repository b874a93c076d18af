/*
 * load-window.h: how many workers of a service load new weights at the same time.
 *
 * The source of weights is fast enough for some number of loads at once that is not known: with more of them
 * each load takes longer, and a worker that loads serves nothing.  So the number follows the duration of
 * loads: it grows while they take as long as one alone, and falls when they take longer.
 *
 * For: weight-orders.c, one for each service.  Owns: the window.  Pure: time is an argument, in microseconds
 * of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  double size;             /* loads at once; 0: as at the start */
  gint64 baseline_us;      /* the least time that a load took; 0: none has ended */
  gint64 last_decrease_us; /* when it fell last: loads that began before tell nothing new */
} QuinceLoadWindow;

/* Returns: loads at once, at least one.  @most: bound of the service; see load-next.h */
guint quince_load_window_get_size (const QuinceLoadWindow *window, guint max_loads);
/* A worker has loaded what it was ordered at @began_us. */
void
quince_load_window_record_load (QuinceLoadWindow *window, gint64 now_us, gint64 started_us, guint max_loads);

G_END_DECLS
