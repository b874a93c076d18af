/*
 * planned-stop.h: graceful shutdown of a front after SIGTERM.
 *
 *   1. Immediately: the directory no longer lists this front, the readiness check fails and connections close
 *      after their next answer.  New requests are still served, because callers cache directory answers.
 *   2. After 4 s, or earlier if the grace period is shorter: new connection attempts are ignored.
 *   3. 0.3 s later: the address of callers and idle connections are closed.
 *   4. The process exits once no request is in progress, or shortly before the grace period ends.
 *
 * The stop owns a timer.  Its owner (front.c) removes the front from the directory and updates the front's
 * key in the metadata store.
 */
#pragma once

#include "caller-listeners.h"
#include "front-context.h"

typedef struct _QuincePlannedStop QuincePlannedStop;

/* Returns: (transfer full): the stop, not started
 * @context, @listeners: (transfer none): must outlive the stop
 * @grace_us: grace period, us: maximum time from quince_planned_stop_begin() to the exit of the process */
QuincePlannedStop *
quince_planned_stop_new (QuinceFrontContext *context, QuinceCallerListeners *listeners, gint64 grace_us);
void quince_planned_stop_free (QuincePlannedStop *stop); /* (nullable) */
/* Changes the grace period, also during a stop. */
void quince_planned_stop_set_grace (QuincePlannedStop *stop, gint64 grace_us);
/* Sets the context's stopping flag and starts the stop, which ends with quince_program_quit(). */
void quince_planned_stop_begin (QuincePlannedStop *stop);
