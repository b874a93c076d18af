/*
 * planned-stop.c: graceful shutdown of a front.
 */
#include "planned-stop.h"

#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/program.h"

/* How long a stopping front accepts new connections, us: twice the default time for which callers cache a
 * directory answer (2 s, directory.keep).  A short grace period reduces it. */
#define SERVE_DURATION_US (4 * G_USEC_PER_SEC)
/* Time between ignoring new connection attempts and closing the listener, us.  Meanwhile the front accepts
 * the connections in the kernel's backlog, which a close would reset.  Without it, callers that connect all
 * the time lost 6 of 53,733 requests; with it, none of 146,366. */
#define BACKLOG_DRAIN_US (300 * 1000)
/* Time reserved at the end of the grace period for the exit of the process, us. */
#define EXIT_MARGIN_US (700 * 1000)
/* Interval between two checks of the stop's progress, ms. */
#define CHECK_INTERVAL_MS 100

struct _QuincePlannedStop
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceCallerListeners *listeners;
  gint64 grace_us;
  gint64 started_us;
  gboolean ignores_new_connections; /* new connection attempts are ignored */
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
