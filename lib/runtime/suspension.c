/*
 * suspension.c: notices that the machine was suspended.
 */
#include "runtime/suspension.h"

#include "runtime/log.h"
#include "runtime/clock.h"

/* Shortest suspension that is reported, us.  A shorter one is like a busy machine, for which every time bound
 * of the product allows; far above the time between two readings of the clocks.  Not measured. */
#define AWAY_MIN_US (100 * 1000)

struct _QuinceSuspensionWatch
{
  GSource source;  /* first: it is one */
  gint64 apart_us; /* how far the clock that counts suspensions is ahead of the steady one */
  void (*resumed) (gint64 away_us, gpointer user_data);
  gpointer user_data;
};

static gint64
clocks_apart_us (void)
{
  return quince_now_us () - g_get_monotonic_time ();
}

static gboolean
was_away (const QuinceSuspensionWatch *watch)
{
  return clocks_apart_us () - watch->apart_us >= AWAY_MIN_US;
}

static gboolean
watch_prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  return was_away ((QuinceSuspensionWatch *)source);
}

static gboolean
watch_check (GSource *source)
{
  return was_away ((QuinceSuspensionWatch *)source);
}

static gboolean
watch_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  QuinceSuspensionWatch *watch = (QuinceSuspensionWatch *)source;
  gint64 apart_us = clocks_apart_us ();
  gint64 away_us = apart_us - watch->apart_us;
  watch->apart_us = apart_us;
  quince_log_warning ("suspended", "away_ms=%" G_GINT64_FORMAT, away_us / 1000);
  watch->resumed (away_us, watch->user_data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs watch_functions
    = { .prepare = watch_prepare, .check = watch_check, .dispatch = watch_dispatch };

QuinceSuspensionWatch *
quince_suspension_watch_new (void (*resumed) (gint64, gpointer), gpointer user_data)
{
  GSource *source = g_source_new (&watch_functions, sizeof (QuinceSuspensionWatch));
  QuinceSuspensionWatch *watch = (QuinceSuspensionWatch *)source;
  watch->apart_us = clocks_apart_us ();
  watch->resumed = resumed;
  watch->user_data = user_data;
  /* GLib runs sources of the highest priority alone, and the others in a later turn. */
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
