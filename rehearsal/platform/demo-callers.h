/*
 * demo-callers.h: sends the burst of requests and checks the answers against the records of the workers.
 *
 * A DemoCallers owns its calls and connections to the fronts.  The cluster must be running and outlive it.
 */
#pragma once

#include "demo-cluster.h"

typedef struct _DemoCallers DemoCallers;

/* Results of the burst, from the records of callers and workers. */
typedef struct
{
  guint requests;
  guint answered;           /* responses with status 200, including wrong ones */
  guint on_time;            /* answered within the deadline */
  guint refused;            /* status 408, 429 or 503 */
  guint unknown;            /* truncated, failed or missing responses, and other statuses */
  guint wrong;              /* status 200, but not the complete answer of a worker to this request */
  guint ran_though_refused; /* refused, but a worker ran the request */
  guint repeated;           /* ran more than once, although not repeatable */
  gint64 p50_us;            /* latency percentiles of answered requests, 0 if there are none */
  gint64 p99_us;
} DemoCallerStats;

DemoCallers *demo_callers_new (DemoCluster *cluster);
void demo_callers_free (DemoCallers *callers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (DemoCallers, demo_callers_free)
/* Sends the requests of all members at once, round-robin over the fronts. */
void demo_callers_send (DemoCallers *callers);
/* Condition for demo_await(): every call has finished, successfully or not. */
gboolean demo_callers_are_done (gpointer callers);
/* @verdict: (out) */
void demo_callers_get_stats (const DemoCallers *callers, DemoCallerStats *stats);
