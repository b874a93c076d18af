/*
 * planned-stop.h: the end of a front that was asked to stop (SIGTERM), step by step.
 *
 *   1. at once: the directory and the readiness check no longer name this front, each answer ends its
 *      connection; requests are still taken, from callers that keep an older answer of the directory
 *   2. after 4 s, or earlier where the grace is shorter: no new connection is begun
 *   3. 0.3 s later: the callers' address is closed, idle connections are dropped
 *   4. the process ends once no request is in progress, or shortly before the grace is over
 *
 * Owns a timer.  Step 1 in the directory and in the metadata store is the owner's (front.c).
 */
#pragma once

#include "caller-listeners.h"
#include "front-context.h"

typedef struct _QuincePlannedStop QuincePlannedStop;

/* @context, @listeners: not owned; must outlive the stop.  @grace_us: from the begin to the end of the
 * process */
QuincePlannedStop *
quince_planned_stop_new (QuinceFrontContext *context, QuinceCallerListeners *listeners, gint64 grace_us);
void quince_planned_stop_free (QuincePlannedStop *stop); /* (nullable) */
/* Also while it runs: the settings were read anew. */
void quince_planned_stop_set_grace (QuincePlannedStop *stop, gint64 grace_us);
/* Sets the context's stopping flag and begins; the process ends by quince_program_quit(). */
void quince_planned_stop_begin (QuincePlannedStop *stop);
