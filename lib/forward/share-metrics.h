/*
 * share-metrics.h: metrics by route, tenant, zone and model.
 *
 * Their labels are by="route" (or tenant, zone, model) and name="NAME".  At most QUINCE_SHARE_LABELS_MAX
 * names of each kind have their own series; see share-table.h.  The series of a name that loses its label are
 * removed.  Names that are NULL or empty are not counted.
 *
 * The backends of a process own the object.  All functions must be called from the main thread.
 */
#pragma once

#include "core/usage/share-table.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_SHARE_ROUTE,
  QUINCE_SHARE_TENANT,
  QUINCE_SHARE_ZONE,
  QUINCE_SHARE_MODEL,
  QUINCE_SHARE_KINDS,
} QuinceShareKind;

typedef struct _QuinceShareMetrics QuinceShareMetrics;

QuinceShareMetrics *quince_share_metrics_new (void);
void quince_share_metrics_free (QuinceShareMetrics *metrics);

/* Counts a request in quince_share_requests_total and, until quince_share_metrics_end(), in
 * quince_share_waiting.
 * Returns: (transfer none) (nullable): the share, or %NULL if @name is not counted */
QuinceShare *quince_share_metrics_begin (QuinceShareMetrics *metrics, QuinceShareKind kind, const char *name);
/* Ends a request.  @share: (nullable); @late_us: time beyond its latency target, us, added to
 * quince_share_late_seconds_total if positive */
void quince_share_metrics_end (QuinceShareKind kind, QuinceShare *share, gint64 late_us);
/* Adds 1 to the counter @metric of @name. */
void quince_share_metrics_count (QuinceShareMetrics *metrics,
                                 QuinceShareKind kind,
                                 const char *name,
                                 const char *metric);
/* Counts a request that was refused with 503 and did not run.  @route, @tenant: (nullable) */
void quince_share_metrics_count_refusal (QuinceShareMetrics *metrics, const char *route, const char *tenant);
/* Adds @late_us to quince_share_late_seconds_total of @name, if positive. */
void quince_share_metrics_add_late (QuinceShareMetrics *metrics,
                                    QuinceShareKind kind,
                                    const char *name,
                                    gint64 late_us);
/* Sets the gauge @metric of @name. */
void quince_share_metrics_set (QuinceShareMetrics *metrics,
                               QuinceShareKind kind,
                               const char *name,
                               const char *metric,
                               double value);
/* Sets quince_share_waiting of routes and tenants to the requests between begin and end. */
void quince_share_metrics_refresh (const QuinceShareMetrics *metrics);

/* Values of a gauge for all names of a kind, to be set at the same time. */
typedef struct _QuinceShareGauge QuinceShareGauge;

/* Returns: (transfer full): a gauge that is 0 for all labels in use.  Names that must have a label, if one
 * is free, are recorded with quince_share_metrics_record_use() before. */
QuinceShareGauge *quince_share_gauge_new (const QuinceShareMetrics *metrics, QuinceShareKind kind);
/* Adds @value to the value of @name. */
void quince_share_gauge_add (QuinceShareGauge *gauge, const char *name, double value);
/* Sets the value of @name to @value if that is greater. */
void quince_share_gauge_max (QuinceShareGauge *gauge, const char *name, double value);
/* Sets the gauge @metric to the values, and frees @gauge. */
void quince_share_gauge_publish (QuinceShareGauge *gauge, const char *metric);
/* Records a use of @name, so that it gets a label if one is free, without counting it in a metric. */
void quince_share_metrics_record_use (QuinceShareMetrics *metrics, QuinceShareKind kind, const char *name);

G_END_DECLS
