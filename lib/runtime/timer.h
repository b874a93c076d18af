/*
 * timer.h: timers on the calling thread's default main context, at a cost that follows those that are due.
 *
 * All timers of a thread are one source of its main loop, which keeps them in the order of their times: GLib
 * goes through every source at each turn, and the leader has several timers for each sample that runs.
 *
 * A timer belongs to the thread that created it.  Relies on GLib alone.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceTimer QuinceTimer;

/**
 * quince_timer_add:
 * @interval_ms: between two calls, milliseconds; 0: at each turn of the main loop
 * @function: returns G_SOURCE_CONTINUE to be called again, G_SOURCE_REMOVE otherwise; it may clear its timer
 *
 * Timers run on the steady clock, which stands still while the machine is suspended: what a timer wakes
 * compares quince_now_us(), not the number of calls; see also suspension.h.  A timer that is late is called
 * once, and the interval begins anew.
 *
 * Returns: (transfer full): the timer, which runs; quince_timer_clear() ends and releases it
 */
QuinceTimer *quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data);
/* Ends and releases the timer, if there is one, and sets the pointer to %NULL. */
void quince_timer_clear (QuinceTimer **timer);

G_END_DECLS
