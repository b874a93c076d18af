/*
 * wakeup.c: one-shot timer at a monotonic instant, set again by its owner.
 */
#include "wakeup.h"

#include <quince/task.h>

/* A GSource with no descriptor, of which only the ready time is used. */
struct _QuinceWakeup
{
  GSource source;
  void (*function) (gpointer user_data);
  gpointer user_data;
};

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user_data)
{
  QuinceWakeup *wakeup = (QuinceWakeup *)source;
  g_source_set_ready_time (source, -1);
  wakeup->function (wakeup->user_data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs wakeup_functions = { .dispatch = dispatch };

QuinceWakeup *
quince_wakeup_new (void (*function) (gpointer user_data), gpointer user_data)
{
  GSource *source = g_source_new (&wakeup_functions, sizeof (QuinceWakeup));
  QuinceWakeup *wakeup = (QuinceWakeup *)source;
  wakeup->function = function;
  wakeup->user_data = user_data;
  g_source_attach (source, g_main_context_get_thread_default ());
  return wakeup;
}

void
quince_wakeup_free (QuinceWakeup *wakeup)
{
  if (wakeup == NULL)
    return;
  g_source_destroy (&wakeup->source);
  g_source_unref (&wakeup->source);
}

void
quince_wakeup_set (QuinceWakeup *wakeup, gint64 at_us)
{
  /* A ready time of 0 is "at once"; -1 is "never".  It counts on the steady clock. */
  gint64 ready_us = at_us - quince_now_us () + g_get_monotonic_time ();
  g_source_set_ready_time (&wakeup->source, at_us == G_MAXINT64 ? -1 : MAX (ready_us, 0));
}
