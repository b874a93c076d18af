/*
 * demo-callers.h: the burst of an event: its calls, and the verdict on their answers.
 *
 * Owns the calls and their connections to the fronts.  Relies on a started cluster, whose workers' records it
 * compares with what callers got.
 */
#pragma once

#include "demo-cluster.h"

typedef struct _DemoCallers DemoCallers;

/* Counted from callers' and workers' records; times in microseconds. */
typedef struct
{
  guint requests;
  guint answered;
  guint on_time;
  guint refused;
  guint unknown; /* cut, failed or not answered */
  guint wrong;   /* a success that is not the worker's whole answer to this request */
  guint ran_though_refused;
  guint repeated; /* ran more than once, though it must not be */
  gint64 p50_us;
  gint64 p99_us;
} DemoCallerStats;

DemoCallers *demo_callers_new (DemoCluster *cluster);
void demo_callers_free (DemoCallers *callers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (DemoCallers, demo_callers_free)
/* Sends all members' requests at once, through the fronts in turn. */
void demo_callers_send (DemoCallers *callers);
/* A condition for demo_await(). */
gboolean demo_callers_are_done (gpointer callers);
/* @verdict: (out) */
void demo_callers_get_stats (const DemoCallers *callers, DemoCallerStats *stats);
