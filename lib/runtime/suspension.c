/*
 * suspension.c: detects that the machine was suspended; see suspension.h.
 */
#include "runtime/suspension.h"

#include "runtime/log.h"
#include "runtime/clock.h"

/* Shortest suspension that is reported, in microseconds.  Timeouts and leases tolerate shorter ones, as
 * they tolerate the delays of a busy machine.  The time between the reads of the two clocks is far below it.
 */
#define SUSPENSION_MIN_US (100 * 1000)

struct _QuinceSuspensionWatch
{
  GSource source;         /* base type; must be first */
  gint64 clock_offset_us; /* CLOCK_BOOTTIME minus CLOCK_MONOTONIC at the last check */
  void (*resumed) (gint64 suspension_us, gpointer user_data);
  gpointer user_data;
};

static gint64
get_clock_offset_us (void)
{
  return quince_now_us () - g_get_monotonic_time ();
}

static gboolean
was_suspended (const QuinceSuspensionWatch *watch)
{
  return get_clock_offset_us () - watch->clock_offset_us >= SUSPENSION_MIN_US;
}

static gboolean
watch_prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  return was_suspended ((QuinceSuspensionWatch *)source);
}

static gboolean
watch_check (GSource *source)
{
  return was_suspended ((QuinceSuspensionWatch *)source);
}

static gboolean
watch_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  QuinceSuspensionWatch *watch = (QuinceSuspensionWatch *)source;
  gint64 clock_offset_us = get_clock_offset_us ();
  gint64 suspension_us = clock_offset_us - watch->clock_offset_us;
  watch->clock_offset_us = clock_offset_us;
  quince_log_warning ("suspended", "away_ms=%" G_GINT64_FORMAT, suspension_us / 1000);
  watch->resumed (suspension_us, watch->user_data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs watch_functions
    = { .prepare = watch_prepare, .check = watch_check, .dispatch = watch_dispatch };

QuinceSuspensionWatch *
quince_suspension_watch_new (void (*resumed) (gint64, gpointer), gpointer user_data)
{
  GSource *source = g_source_new (&watch_functions, sizeof (QuinceSuspensionWatch));
  QuinceSuspensionWatch *watch = (QuinceSuspensionWatch *)source;
  watch->clock_offset_us = get_clock_offset_us ();
  watch->resumed = resumed;
  watch->user_data = user_data;
  /* GLib dispatches sources of lower priority in a later iteration. */
  g_source_set_priority (source, G_PRIORITY_HIGH);
  g_source_attach (source, g_main_context_get_thread_default ());
  return watch;
}

void
quince_suspension_watch_free (QuinceSuspensionWatch *watch)
{
  if (watch == NULL)
    return;
  g_source_destroy (&watch->source);
  g_source_unref (&watch->source);
}
