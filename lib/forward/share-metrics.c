/*
 * share-metrics.c: metrics by route, tenant, zone and model; see share-metrics.h.
 */
#include "share-metrics.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

static const char *const kind_names[QUINCE_SHARE_KINDS] = { "route", "tenant", "zone", "model" };

struct _QuinceShareMetrics
{
  QuinceShareTable *tables[QUINCE_SHARE_KINDS]; /* owned */
  gboolean logged_full[QUINCE_SHARE_KINDS];     /* share_names_full was logged */
};

struct _QuinceShareGauge
{
  const QuinceShareMetrics *metrics; /* not owned */
  QuinceShareKind kind;
  GHashTable *values; /* double by label, owned */
};

QuinceShareMetrics *
quince_share_metrics_new (void)
{
  QuinceShareMetrics *metrics = g_new0 (QuinceShareMetrics, 1);
  for (guint kind = 0; kind < QUINCE_SHARE_KINDS; kind++)
    metrics->tables[kind] = quince_share_table_new (QUINCE_SHARE_LABELS_MAX);
  return metrics;
}

void
quince_share_metrics_free (QuinceShareMetrics *metrics)
{
  for (guint kind = 0; kind < QUINCE_SHARE_KINDS; kind++)
    quince_share_table_free (metrics->tables[kind]);
  g_free (metrics);
}

static gboolean
is_counted (const char *name)
{
  return name != NULL && *name != '\0';
}

/* Returns: (transfer full): the labels in text format; names come from the configuration and are escaped */
static char *
make_labels (QuinceShareKind kind, const char *label)
{
  g_autofree char *escaped = g_strescape (label, NULL);
  return g_strdup_printf ("by=\"%s\",name=\"%s\"", kind_names[kind], escaped);
}

static QuinceShare *
begin_use (QuinceShareMetrics *metrics, QuinceShareKind kind, const char *name)
{
  g_autofree char *demoted = NULL;
  QuinceShare *share = quince_share_table_begin (metrics->tables[kind], name, quince_now_us (), &demoted);
  if (demoted != NULL)
    {
      g_autofree char *labels = make_labels (kind, demoted);
      quince_metrics_remove (labels);
    }
  if (!metrics->logged_full[kind] && quince_share_table_has_other (metrics->tables[kind]))
    {
      metrics->logged_full[kind] = TRUE;
      quince_log_notice ("share_names_full", "by=%s names=%d", kind_names[kind], QUINCE_SHARE_LABELS_MAX);
    }
  return share;
}

/* ---- Requests ----------------------------------------------------------- */

QuinceShare *
quince_share_metrics_begin (QuinceShareMetrics *metrics, QuinceShareKind kind, const char *name)
{
  if (!is_counted (name))
    return NULL;
  QuinceShare *share = begin_use (metrics, kind, name);
  g_autofree char *labels = make_labels (kind, quince_share_get_label (share));
  quince_metric_add ("quince_share_requests_total", labels, 1);
  return share;
}

static void
add_late (QuinceShareKind kind, const QuinceShare *share, gint64 late_us)
{
  if (late_us <= 0)
    return;
  g_autofree char *labels = make_labels (kind, quince_share_get_label (share));
  quince_metric_add_us ("quince_share_late_seconds_total", labels, late_us);
}

void
quince_share_metrics_end (QuinceShareKind kind, QuinceShare *share, gint64 late_us)
{
  if (share == NULL)
    return;
  add_late (kind, share, late_us);
  quince_share_end (share);
}

void
quince_share_metrics_count (QuinceShareMetrics *metrics,
                            QuinceShareKind kind,
                            const char *name,
                            const char *metric)
{
  if (!is_counted (name))
    return;
  QuinceShare *share = begin_use (metrics, kind, name);
  g_autofree char *labels = make_labels (kind, quince_share_get_label (share));
  quince_metric_add (metric, labels, 1);
  quince_share_end (share);
}

void
quince_share_metrics_count_refusal (QuinceShareMetrics *metrics, const char *route, const char *tenant)
{
  quince_share_metrics_count (metrics, QUINCE_SHARE_ROUTE, route, "quince_share_refused_total");
  quince_share_metrics_count (metrics, QUINCE_SHARE_TENANT, tenant, "quince_share_refused_total");
}

void
quince_share_metrics_add_late (QuinceShareMetrics *metrics,
                               QuinceShareKind kind,
                               const char *name,
                               gint64 late_us)
{
  if (!is_counted (name) || late_us <= 0)
    return;
  QuinceShare *share = begin_use (metrics, kind, name);
  add_late (kind, share, late_us);
  quince_share_end (share);
}

void
quince_share_metrics_record_use (QuinceShareMetrics *metrics, QuinceShareKind kind, const char *name)
{
  if (is_counted (name))
    quince_share_end (begin_use (metrics, kind, name));
}

/* ---- Gauges ------------------------------------------------------------- */

void
quince_share_metrics_set (QuinceShareMetrics *metrics,
                          QuinceShareKind kind,
                          const char *name,
                          const char *metric,
                          double value)
{
  if (!is_counted (name))
    return;
  QuinceShare *share = begin_use (metrics, kind, name);
  g_autofree char *labels = make_labels (kind, quince_share_get_label (share));
  quince_metric_set (metric, labels, value);
  quince_share_end (share);
}

static void
set_waiting (const char *label, guint in_progress, gpointer kind)
{
  g_autofree char *labels = make_labels (GPOINTER_TO_UINT (kind), label);
  quince_metric_set ("quince_share_waiting", labels, in_progress);
}

void
quince_share_metrics_refresh (const QuinceShareMetrics *metrics)
{
  quince_share_table_foreach (metrics->tables[QUINCE_SHARE_ROUTE], set_waiting,
                              GUINT_TO_POINTER (QUINCE_SHARE_ROUTE));
  quince_share_table_foreach (metrics->tables[QUINCE_SHARE_TENANT], set_waiting,
                              GUINT_TO_POINTER (QUINCE_SHARE_TENANT));
}

static void
add_label (const char *label, guint in_progress, gpointer data)
{
  g_hash_table_insert (((QuinceShareGauge *)data)->values, g_strdup (label), g_new0 (double, 1));
}

QuinceShareGauge *
quince_share_gauge_new (const QuinceShareMetrics *metrics, QuinceShareKind kind)
{
  QuinceShareGauge *gauge = g_new0 (QuinceShareGauge, 1);
  gauge->metrics = metrics;
  gauge->kind = kind;
  gauge->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  quince_share_table_foreach (metrics->tables[kind], add_label, gauge);
  return gauge;
}

/* Returns: (transfer none) (nullable): the value of the label of @name */
static double *
find_value (const QuinceShareGauge *gauge, const char *name)
{
  const char *label = quince_share_table_find_label (gauge->metrics->tables[gauge->kind], name);
  return g_hash_table_lookup (gauge->values, label);
}

void
quince_share_gauge_add (QuinceShareGauge *gauge, const char *name, double value)
{
  double *sum = find_value (gauge, name);
  if (sum != NULL)
    *sum += value;
}

void
quince_share_gauge_max (QuinceShareGauge *gauge, const char *name, double value)
{
  double *greatest = find_value (gauge, name);
  if (greatest != NULL)
    *greatest = MAX (*greatest, value);
}

void
quince_share_gauge_publish (QuinceShareGauge *gauge, const char *metric)
{
  GHashTableIter iter;
  gpointer label = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, gauge->values);
  while (g_hash_table_iter_next (&iter, &label, &value))
    {
      g_autofree char *labels = make_labels (gauge->kind, label);
      quince_metric_set (metric, labels, *(const double *)value);
    }
  g_hash_table_unref (gauge->values);
  g_free (gauge);
}
