/*
 * metrics.c: counters, gauges and latency histograms; see metrics.h.
 *
 * Histogram buckets are fixed, so that the memory of a series is bounded.
 */
#include "runtime/metrics.h"

#include <string.h>

typedef enum
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM,
} SeriesKind;

/* Inclusive upper bounds, in seconds. */
static const double bucket_upper_bounds_s[]
    = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.5, 1, 2, 5, 10, 30 };

typedef struct
{
  SeriesKind kind;
  char *name;
  char *labels;
  double value;
  guint64 count;
  double sum;
  guint64 buckets[G_N_ELEMENTS (bucket_upper_bounds_s)];
} Series;

/* Used by the main thread only. */
static GHashTable *series_by_key; /* Series by "name{labels}", owned */
static guint64 dropped_updates;
static void (*refresh_function) (gpointer);
static gpointer refresh_data;

static void
series_free (gpointer data)
{
  Series *series = data;
  g_free (series->name);
  g_free (series->labels);
  g_free (series);
}

static Series *
find_or_add_series (SeriesKind kind, const char *name, const char *labels)
{
  if (series_by_key == NULL)
    series_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, series_free);
  g_autofree char *key = g_strconcat (name, "{", labels, NULL);
  Series *series = g_hash_table_lookup (series_by_key, key);
  if (series != NULL)
    return series;
  if (g_hash_table_size (series_by_key) >= QUINCE_METRICS_SERIES_MAX)
    {
      dropped_updates++;
      return NULL;
    }
  series = g_new0 (Series, 1);
  series->kind = kind;
  series->name = g_strdup (name);
  series->labels = g_strdup (labels);
  g_hash_table_insert (series_by_key, g_steal_pointer (&key), series);
  return series;
}

void
quince_metric_add (const char *name, const char *labels, guint64 amount)
{
  Series *series = find_or_add_series (SERIES_COUNTER, name, labels);
  if (series != NULL)
    series->value += (double)amount;
}

void
quince_metric_add_us (const char *name, const char *labels, gint64 duration_us)
{
  Series *series = find_or_add_series (SERIES_COUNTER, name, labels);
  if (series != NULL)
    series->value += (double)duration_us / G_USEC_PER_SEC;
}

void
quince_metric_set (const char *name, const char *labels, double value)
{
  Series *series = find_or_add_series (SERIES_GAUGE, name, labels);
  if (series != NULL)
    series->value = value;
}

void
quince_metric_observe_us (const char *name, const char *labels, gint64 duration_us)
{
  Series *series = find_or_add_series (SERIES_HISTOGRAM, name, labels);
  if (series == NULL)
    return;
  double seconds = (double)duration_us / G_USEC_PER_SEC;
  series->count++;
  series->sum += seconds;
  for (guint i = 0; i < G_N_ELEMENTS (bucket_upper_bounds_s); i++)
    if (seconds <= bucket_upper_bounds_s[i])
      {
        series->buckets[i]++;
        return;
      }
}

/* ---- Text format ------------------------------------------------------ */

static void
append_histogram (GString *text, const Series *series)
{
  const char *comma = *series->labels != '\0' ? "," : "";
  guint64 cumulative = 0;
  for (guint i = 0; i < G_N_ELEMENTS (bucket_upper_bounds_s); i++)
    {
      cumulative += series->buckets[i];
      g_string_append_printf (text, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n", series->name,
                              series->labels, comma, bucket_upper_bounds_s[i], cumulative);
    }
  g_string_append_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n", series->name,
                          series->labels, comma, series->count);
  g_string_append_printf (text, "%s_sum{%s} %.6f\n%s_count{%s} %" G_GUINT64_FORMAT "\n", series->name,
                          series->labels, series->sum, series->name, series->labels, series->count);
}

static void
append_series (GString *text, const Series *series)
{
  if (series->kind == SERIES_HISTOGRAM)
    append_histogram (text, series);
  else if (*series->labels != '\0')
    g_string_append_printf (text, "%s{%s} %.15g\n", series->name, series->labels, series->value);
  else
    g_string_append_printf (text, "%s %.15g\n", series->name, series->value);
}

char *
quince_metrics_format (void)
{
  static const char *const types[] = { "counter", "gauge", "histogram" };
  if (refresh_function != NULL)
    refresh_function (refresh_data);
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "# TYPE quince_metrics_dropped_total counter\nquince_metrics_dropped_total %" G_GUINT64_FORMAT "\n",
      dropped_updates);
  if (series_by_key == NULL)
    return g_string_free (text, FALSE);
  g_autoptr (GList) keys = g_list_sort (g_hash_table_get_keys (series_by_key), (GCompareFunc)strcmp);
  const char *last_name = "";
  for (GList *at = keys; at != NULL; at = at->next)
    {
      const Series *series = g_hash_table_lookup (series_by_key, at->data);
      if (strcmp (series->name, last_name) != 0)
        g_string_append_printf (text, "# TYPE %s %s\n", series->name, types[series->kind]);
      last_name = series->name;
      append_series (text, series);
    }
  return g_string_free (text, FALSE);
}

static gboolean
has_labels (gpointer key, gpointer value, gpointer labels)
{
  return g_str_equal (((const Series *)value)->labels, labels);
}

void
quince_metrics_remove (const char *labels)
{
  if (series_by_key != NULL)
    g_hash_table_foreach_remove (series_by_key, has_labels, (gpointer)labels);
}

void
quince_metrics_set_refresh (void (*refresh) (gpointer user_data), gpointer user_data)
{
  refresh_function = refresh;
  refresh_data = user_data;
}

void
quince_metrics_reset (void)
{
  g_clear_pointer (&series_by_key, g_hash_table_unref);
  dropped_updates = 0;
  refresh_function = NULL;
}
