/*
 * timer.h: timers of the thread-default main context, at a cost proportional to the timers that are due.
 *
 * GLib checks every source in each main loop iteration, and the leader has several timers for each running
 * sample.  Therefore the timers of a thread share one GSource, which keeps them sorted by due time.
 *
 * A timer belongs to the thread that created it; its function is called there.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceTimer QuinceTimer;

/**
 * quince_timer_add:
 * @interval_ms: time between two calls, in milliseconds; 0: one call in each main loop iteration
 * @function: returns G_SOURCE_CONTINUE to be called again or G_SOURCE_REMOVE to stop the timer; may clear the
 * timer
 *
 * Starts a timer.  Timers use CLOCK_MONOTONIC, which stops while the machine is suspended, so @function must
 * compare quince_now_us() instead of counting calls; see also suspension.h.  A late timer is called once, and
 * its next interval starts then.
 *
 * Returns: (transfer full): the timer; free with quince_timer_clear(), also after it has stopped
 */
QuinceTimer *quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data);
/* Stops and frees the timer, unless it is %NULL, and sets the pointer to %NULL. */
void quince_timer_clear (QuinceTimer **timer);

G_END_DECLS
