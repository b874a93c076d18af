/*
 * agreed-clock.h: the median of the wall clocks that machines reported recently, which tolerates a minority
 * of wrong clocks.
 *
 * The clock owns the last report of each process.  Pure: times are arguments, in milliseconds.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceAgreedClock QuinceAgreedClock;

QuinceAgreedClock *quince_agreed_clock_new (void);
void quince_agreed_clock_free (QuinceAgreedClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAgreedClock, quince_agreed_clock_free)
/* Records the wall clock that the process with the id @source reported: @wall_ms since 1970, received at
 * @monotonic_ms of this process. */
void quince_agreed_clock_add_report (QuinceAgreedClock *clock,
                                     guint64 source,
                                     gint64 monotonic_ms,
                                     gint64 wall_ms);
/* Returns the agreed wall clock at @monotonic_ms, in milliseconds since 1970: the median of @own_wall_ms, the
 * wall clock of this machine, and of the reports of the last 30 s. */
gint64 quince_agreed_clock_get (QuinceAgreedClock *clock, gint64 monotonic_ms, gint64 own_wall_ms);

G_END_DECLS
