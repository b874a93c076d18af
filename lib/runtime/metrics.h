/*
 * metrics.h: counters, gauges and latency histograms of a process, in the Prometheus text format.
 *
 * Names and labels are documented in docs/OPERATIONS.md.  The number of series is limited to
 * QUINCE_METRICS_SERIES_MAX; updates of further series are dropped and counted in
 * quince_metrics_dropped_total.  All functions must be called from the main thread.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum number of series in a process, which bounds its memory.  Enough for the shares of routes, tenants,
 * zones and models (share-metrics.h: at most 792 series) and 232 others. */
#define QUINCE_METRICS_SERIES_MAX 1024

/* Adds @amount to a counter.
 * @labels: the labels in text format without braces, for example "route=\"a\",outcome=\"answered\"", or "" */
void quince_metric_add (const char *name, const char *labels, guint64 amount);
/* Adds @duration_us microseconds to a counter in seconds; @labels as for quince_metric_add(). */
void quince_metric_add_us (const char *name, const char *labels, gint64 duration_us);
/* Sets a gauge; @labels as for quince_metric_add(). */
void quince_metric_set (const char *name, const char *labels, double value);
/* Adds a duration in microseconds to a histogram in seconds; @labels as for quince_metric_add(). */
void quince_metric_observe_us (const char *name, const char *labels, gint64 duration_us);
/* Sets the function that quince_metrics_format() calls first, to update gauges.  @refresh may be %NULL. */
void quince_metrics_set_refresh (void (*refresh) (gpointer user_data), gpointer user_data);
/* Removes all series whose labels are @labels. */
void quince_metrics_remove (const char *labels);
/* Returns: (transfer full): all series in the Prometheus text format */
char *quince_metrics_format (void);
/* Removes all series, the count of dropped updates and the refresh function; used by tests. */
void quince_metrics_reset (void);

G_END_DECLS
