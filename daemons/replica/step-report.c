/*
 * step-report.c: duration of each phase of a training step.
 */
#include "step-report.h"

#include "runtime/log.h"
#include "runtime/metrics.h"

#define STEP_FORMAT                                                                                          \
  "batch=%s model=%s step=%" G_GUINT64_FORMAT " took_ms=%" G_GINT64_FORMAT " listed=%u of=%u"                \
  " first_start_ms=%" G_GINT64_FORMAT " last_start_ms=%" G_GINT64_FORMAT " half_ms=%" G_GINT64_FORMAT        \
  " most_ms=%" G_GINT64_FORMAT " last_listed_ms=%" G_GINT64_FORMAT                                           \
  " last=%s worker=%s events=%" G_GUINT64_FORMAT

typedef struct
{
  gint64 submitted_us;
  gint64 first_start_us;    /* 0: no sample has started */
  gint64 last_start_us;     /* 0: no sample has started */
  GArray *text_times;       /* gint64: completion times of texts, ascending */
  gint64 last_result_us;    /* 0: no result */
  char *last_result_item;   /* sample id, owned; NULL: no result */
  char *last_result_worker; /* worker id, owned; NULL: no result */
  guint64 last_result_events;
} Report;

struct _QuinceStepReports
{
  GHashTable *reports; /* Report by batch entry, owned */
};

static void
report_free (gpointer data)
{
  Report *report = data;
  g_array_unref (report->text_times);
  g_free (report->last_result_item);
  g_free (report->last_result_worker);
  g_free (report);
}

QuinceStepReports *
quince_step_reports_new (void)
{
  QuinceStepReports *reports = g_new0 (QuinceStepReports, 1);
  reports->reports = g_hash_table_new_full (NULL, NULL, NULL, report_free);
  return reports;
}

void
quince_step_reports_free (QuinceStepReports *reports)
{
  g_hash_table_unref (reports->reports);
  g_free (reports);
}

void
quince_step_reports_begin (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 submitted_us)
{
  Report *report = g_new0 (Report, 1);
  report->submitted_us = submitted_us;
  report->text_times = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_hash_table_replace (reports->reports, (gpointer)entry, report);
}

void
quince_step_reports_record_start (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us)
{
  Report *report = g_hash_table_lookup (reports->reports, entry);
  if (report == NULL)
    return;
  if (report->first_start_us == 0)
    report->first_start_us = now_us;
  report->last_start_us = now_us;
}

void
quince_step_reports_record_complete_text (QuinceStepReports *reports,
                                          const QuinceBatchEntry *entry,
                                          gint64 now_us)
{
  Report *report = g_hash_table_lookup (reports->reports, entry);
  if (report != NULL)
    g_array_append_val (report->text_times, now_us);
}

void
quince_step_reports_record_result (QuinceStepReports *reports,
                                   const QuinceBatchEntry *entry,
                                   gint64 now_us,
                                   const char *item,
                                   const char *worker,
                                   guint64 events)
{
  Report *report = g_hash_table_lookup (reports->reports, entry);
  if (report == NULL)
    return;
  report->last_result_us = now_us;
  report->last_result_events = events;
  g_free (report->last_result_item);
  report->last_result_item = g_strdup (item);
  g_free (report->last_result_worker);
  report->last_result_worker = g_strdup (worker != NULL ? worker : "");
}

/* Returns when @percent of the @n_items texts were complete, ms after the submission; -1 if fewer are
 * complete. */
static gint64
get_texts_complete_ms (const Report *report, guint n_items, guint percent)
{
  guint needed = MAX ((n_items * percent + 99) / 100, 1);
  if (report->text_times->len < needed)
    return -1;
  return (g_array_index (report->text_times, gint64, needed - 1) - report->submitted_us) / 1000;
}

/* Returns @when_us as ms after the submission, or -1 if @when_us is 0. */
static gint64
get_age_ms (const Report *report, gint64 when_us)
{
  return when_us > 0 ? (when_us - report->submitted_us) / 1000 : -1;
}

static void
observe_phase (const char *phase, gint64 ms)
{
  g_autofree char *labels = g_strdup_printf ("phase=\"%s\"", phase);
  if (ms >= 0)
    quince_metric_observe_us ("quince_replica_step_seconds", labels, ms * 1000);
}

void
quince_step_reports_end (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us)
{
  const Report *report = g_hash_table_lookup (reports->reports, entry);
  if (report == NULL)
    return;
  guint n_items = entry->batch->items.items_len;
  gint64 p50_ms = get_texts_complete_ms (report, n_items, 50);
  gint64 p90_ms = get_texts_complete_ms (report, n_items, 90);
  g_autofree char *details = g_strdup_printf (
      STEP_FORMAT, entry->batch->id, entry->batch->model, (guint64)entry->batch->step,
      get_age_ms (report, now_us), entry->results->len, n_items, get_age_ms (report, report->first_start_us),
      get_age_ms (report, report->last_start_us), p50_ms, p90_ms, get_age_ms (report, report->last_result_us),
      report->last_result_item != NULL ? report->last_result_item : "",
      report->last_result_worker != NULL ? report->last_result_worker : "", report->last_result_events);
  quince_log_notice ("step_ended", "%s", details);
  observe_phase ("started", get_age_ms (report, report->last_start_us));
  observe_phase ("half", p50_ms);
  observe_phase ("most", p90_ms);
  observe_phase ("listed", get_age_ms (report, report->last_result_us));
  observe_phase ("ended", get_age_ms (report, now_us));
  g_hash_table_remove (reports->reports, entry);
}
