/*
 * clock.h: clocks that all modules share.
 *
 * Modules of lib/core do not include this header; they take times as arguments.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Deferral of a timeout that has expired while received bytes are still unread, in milliseconds: about one
 * iteration of a busy main loop. */
#define QUINCE_TIMEOUT_DEFERRAL_MS 2
/* Maximum number of deferrals of one timeout; reading an answer of 64 kB takes four reads. */
#define QUINCE_TIMEOUT_DEFERRALS_MAX 8

/**
 * quince_now_us:
 *
 * Reads the clock of all leases, deadlines and fences.  It includes the time for which the machine is
 * suspended, so that a lease does not outlive its expiry on a machine that resumes.
 *
 * Returns: the time of CLOCK_BOOTTIME in microseconds
 */
gint64 quince_now_us (void);

/* Returns the wall clock time in milliseconds since the Unix epoch; it may jump forwards or backwards. */
gint64 quince_wall_ms (void);

G_END_DECLS
