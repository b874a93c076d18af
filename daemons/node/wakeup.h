/*
 * wakeup.h: one-shot timer at a monotonic instant, set again by its owner.
 *
 * Serves the pure aggregates, which tell when they next want a tick.
 */
#pragma once

#include <glib.h>

typedef struct _QuinceWakeup QuinceWakeup;

QuinceWakeup *quince_wakeup_new (void (*function) (gpointer user_data), gpointer user_data);
void quince_wakeup_free (QuinceWakeup *wakeup);
/* @at_us: monotonic microseconds; %G_MAXINT64: not at all */
void quince_wakeup_set (QuinceWakeup *wakeup, gint64 at_us);
