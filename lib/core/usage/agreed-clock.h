/*
 * agreed-clock.h: a wall clock that a minority of wrong clocks does not move: the median of those that
 * machines reported lately.
 *
 * Owns the last report of each machine.  Pure: times are arguments, ms.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceAgreedClock QuinceAgreedClock;

QuinceAgreedClock *quince_agreed_clock_new (void);
void quince_agreed_clock_free (QuinceAgreedClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAgreedClock, quince_agreed_clock_free)
/* A machine reported its wall clock.  @source: identifies its process; @wall_ms: since 1970, at @monotonic_ms
 * of this process */
void quince_agreed_clock_add_report (QuinceAgreedClock *clock,
                                     guint64 source,
                                     gint64 monotonic_ms,
                                     gint64 wall_ms);
/* Returns: the agreed wall clock at @monotonic_ms, since 1970.  @own_wall_ms: of this machine, which is one
 * of those compared and the only one while no other was reported lately */
gint64 quince_agreed_clock_get (QuinceAgreedClock *clock, gint64 monotonic_ms, gint64 own_wall_ms);

G_END_DECLS
