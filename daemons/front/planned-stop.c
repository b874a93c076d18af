/*
 * planned-stop.c: the end of a front that was asked to stop, step by step.
 */
#include "planned-stop.h"

#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/program.h"

/* A stopping front accepts connections for this long at least, us: twice the 2 s for which callers keep an
 * answer of the directory by default (directory.keep). */
#define SERVE_DURATION_US (4 * G_USEC_PER_SEC)
/* Then no connection is begun for this long before the listener is closed, us: what the kernel had already
 * begun is accepted and answered meanwhile, where a close would reset it.  Measured with six callers that
 * connect all the while: 6 of 53,733 requests lost without it, none of 146,366 with it. */
#define BACKLOG_DRAIN_US (300 * 1000)
/* Kept free at the end of the grace for the end of the process itself, us.  Not measured. */
#define EXIT_MARGIN_US (700 * 1000)
/* Interval between two checks of the stop's progress, ms; small against the times above. */
#define CHECK_INTERVAL_MS 100

struct _QuincePlannedStop
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceCallerListeners *listeners;
  gint64 grace_us;
  gint64 started_us;
  gboolean ignores_new_connections; /* no connection is begun any more */
  QuinceTimer *timer;
};

QuincePlannedStop *
quince_planned_stop_new (QuinceFrontContext *context, QuinceCallerListeners *listeners, gint64 grace_us)
{
  QuincePlannedStop *stop = g_new0 (QuincePlannedStop, 1);
  stop->context = context;
  stop->listeners = listeners;
  stop->grace_us = grace_us;
  return stop;
}

void
quince_planned_stop_free (QuincePlannedStop *stop)
{
  if (stop == NULL)
    return;
  quince_timer_clear (&stop->timer);
  g_free (stop);
}

void
quince_planned_stop_set_grace (QuincePlannedStop *stop, gint64 grace_us)
{
  stop->grace_us = grace_us;
}

static gboolean
check_stop_progress (gpointer data)
{
  QuincePlannedStop *stop = data;
  gint64 elapsed_us = quince_now_us () - stop->started_us;
  gint64 serve_duration_us = MIN (SERVE_DURATION_US, stop->grace_us - EXIT_MARGIN_US - BACKLOG_DRAIN_US);
  gboolean backlog_drained = elapsed_us >= serve_duration_us + BACKLOG_DRAIN_US;
  if (elapsed_us >= serve_duration_us && !stop->ignores_new_connections)
    {
      stop->ignores_new_connections = TRUE;
      quince_caller_listeners_ignore_new_connections (stop->listeners);
    }
  if (backlog_drained)
    quince_caller_listeners_close_caller_address (stop->listeners);
  gboolean drained = backlog_drained && stop->context->in_progress == 0;
  if (!drained && elapsed_us < stop->grace_us - EXIT_MARGIN_US)
    return G_SOURCE_CONTINUE;
  quince_timer_clear (&stop->timer);
  quince_program_quit (QUINCE_EXIT_OK);
  return G_SOURCE_REMOVE;
}

void
quince_planned_stop_begin (QuincePlannedStop *stop)
{
  stop->context->stopping = TRUE;
  stop->started_us = quince_now_us ();
  stop->timer = quince_timer_add (CHECK_INTERVAL_MS, check_stop_progress, stop);
}
