/*
 * clock.h: the clocks that all modules share.
 *
 * Relies on the C library and GLib alone.  Modules of lib/core take times as arguments and include nothing of
 * this.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* A wait that is over is prolonged by this time while bytes have arrived that were not read, ms: one turn of
 * a busy main loop. */
#define QUINCE_TIMEOUT_DEFERRAL_MS 2
/* So many times at most: an answer of 64 kB takes four reads. */
#define QUINCE_TIMEOUT_DEFERRALS_MAX 8

/**
 * quince_now_us:
 *
 * The clock of every lease, deadline and fence: it goes on while the machine is suspended, as the clocks of
 * all other machines do, so that no right outlives its time over a suspension.
 *
 * Returns: microseconds of CLOCK_BOOTTIME
 */
gint64 quince_now_us (void);

/* Milliseconds since the Unix epoch, of the wall clock; it may be stepped either way. */
gint64 quince_wall_ms (void);

G_END_DECLS
