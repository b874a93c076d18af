/*
 * metrics.h: counters, gauges and latency histograms of a process, in the text format that Prometheus reads.
 *
 * Names and labels are documented in docs/OPERATIONS.md.  Memory is bounded: beyond
 * QUINCE_METRICS_SERIES_MAX series new ones are counted in quince_metrics_dropped_total only.  Main context
 * only.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Series of one process; a bound of memory.  Not measured: above the routes, outcomes and workers of the
 * largest deployment. */
#define QUINCE_METRICS_SERIES_MAX 512

/* @labels: as they stand between braces, for example "route=\"a\",outcome=\"answered\"", or "". */
void quince_metric_add (const char *name, const char *labels, guint64 amount);
void quince_metric_set (const char *name, const char *labels, double value);
/* One latency, in microseconds; shown in seconds. */
void quince_metric_observe_us (const char *name, const char *labels, gint64 duration_us);
/* Called before the text is made, to set gauges. */
void quince_metrics_set_refresh (void (*refresh) (gpointer user_data), gpointer user_data);
/* (transfer full) */
char *quince_metrics_format (void);
/* Removes all series.  For tests, each of which begins without any. */
void quince_metrics_reset (void);

G_END_DECLS
