/*
 * step-report.h: how long each part of a trainer's step took, for the log and metrics.
 *
 * One line event=step_ended for each step says when its samples started, when their texts were complete, when
 * their results were listed, and which one was listed last.
 *
 * Owns a report for each batch that runs.  All times are monotonic, us.
 */
#pragma once

#include "core/batches/batch-table.h"

typedef struct _QuinceStepReports QuinceStepReports;

QuinceStepReports *quince_step_reports_new (void);
void quince_step_reports_free (QuinceStepReports *reports);
/* The samples of a batch run from now on. */
void
quince_step_reports_begin (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 submitted_us);
/* A sample of @entry starts its first run. */
void
quince_step_reports_record_start (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
/* A sample of @entry has its complete text. */
void quince_step_reports_record_complete_text (QuinceStepReports *reports,
                                               const QuinceBatchEntry *entry,
                                               gint64 now_us);
/* A result of @entry is appended to the ledger.  @item: id of its sample; @worker: (nullable): the one that
 * generated the last part of its text; @events: of the text */
void quince_step_reports_record_result (QuinceStepReports *reports,
                                        const QuinceBatchEntry *entry,
                                        gint64 now_us,
                                        const char *item,
                                        const char *worker,
                                        guint64 events);
/* The batch ended or is given up: writes the line and the metrics, and releases the report. */
void quince_step_reports_end (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
