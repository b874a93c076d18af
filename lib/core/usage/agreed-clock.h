/*
 * agreed-clock.h: a wall clock that a minority of wrong clocks does not move.
 *
 * Machines tell their wall clocks; the median of what they told lately counts.  Pure: times in milliseconds.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceAgreedClock QuinceAgreedClock;

QuinceAgreedClock *quince_agreed_clock_new (void);
void quince_agreed_clock_free (QuinceAgreedClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAgreedClock, quince_agreed_clock_free)
/* @source: names the machine or process; @wall_ms: its wall clock at @monotonic_ms of this process */
void quince_agreed_clock_note (QuinceAgreedClock *clock, guint64 source, gint64 monotonic_ms, gint64 wall_ms);
/* The agreed wall clock at @monotonic_ms; @own_wall_ms: of this machine, which is one voice and counts alone
 * where no other was heard lately. */
gint64 quince_agreed_clock_get (QuinceAgreedClock *clock, gint64 monotonic_ms, gint64 own_wall_ms);

G_END_DECLS
