/*
 * suspension.h: detects that the machine was suspended.
 *
 * quince_now_us() counts the time of a suspension; GLib's timers and the kernel's timeouts of connections do
 * not, and go off as much later.  So whatever is trusted until a timer goes off, and every connection whose
 * peer may have given up meanwhile, must be checked again after a suspension.  A watch owns one source of the
 * calling thread's main context; relies on clock.h.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceSuspensionWatch QuinceSuspensionWatch;

/**
 * quince_suspension_watch_new:
 * @resumed: called before any other event that the loop finds after a suspension
 *
 * Compares the clocks at each turn of the calling thread's default context.
 */
QuinceSuspensionWatch *
quince_suspension_watch_new (void (*resumed) (gint64 suspension_us, gpointer user_data), gpointer user_data);
void quince_suspension_watch_free (QuinceSuspensionWatch *watch);

G_END_DECLS
