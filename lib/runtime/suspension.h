/*
 * suspension.h: detects that the machine was suspended.
 *
 * quince_now_us() includes the duration of a suspension.  GLib's timers and the kernel's connection timeouts
 * do not, and expire late by that duration.  After a suspension, the owner of a watch must
 * therefore check state that a timer expires against quince_now_us(), and must check connections whose peer
 * may have given up meanwhile.
 *
 * A watch belongs to the thread that created it.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceSuspensionWatch QuinceSuspensionWatch;

/**
 * quince_suspension_watch_new:
 * @resumed: called after a suspension, before sources of lower priority are dispatched; @suspension_us is the
 * duration of the suspension in microseconds
 *
 * Attaches a source of priority %G_PRIORITY_HIGH to the thread-default main context, which compares
 * CLOCK_BOOTTIME with CLOCK_MONOTONIC in each main loop iteration.  Also logs event=suspended.
 *
 * Returns: (transfer full): the watch; free with quince_suspension_watch_free()
 */
QuinceSuspensionWatch *
quince_suspension_watch_new (void (*resumed) (gint64 suspension_us, gpointer user_data), gpointer user_data);
void quince_suspension_watch_free (QuinceSuspensionWatch *watch);

G_END_DECLS
