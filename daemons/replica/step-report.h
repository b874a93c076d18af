/*
 * step-report.h: duration of each phase of a training step, for the log and metrics.
 *
 * At the end of each step, one log line event=step_ended states when its samples started, when their texts
 * were complete, when their results were ready, and which result was the last one.  All times are monotonic,
 * us.
 */
#pragma once

#include "core/batches/batch-table.h"

typedef struct _QuinceStepReports QuinceStepReports;

QuinceStepReports *quince_step_reports_new (void);
void quince_step_reports_free (QuinceStepReports *reports);
/* Starts the report of @entry. */
void
quince_step_reports_begin (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 submitted_us);
/* Records that a sample of @entry starts its first run. */
void
quince_step_reports_record_start (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
/* Records that the text of a sample of @entry is complete. */
void quince_step_reports_record_complete_text (QuinceStepReports *reports,
                                               const QuinceBatchEntry *entry,
                                               gint64 now_us);
/* Records a result of @entry, shortly before it is appended to the ledger.  @item: id of the sample; @worker:
 * (nullable): id of the worker of its last run; @events: number of events of its text */
void quince_step_reports_record_result (QuinceStepReports *reports,
                                        const QuinceBatchEntry *entry,
                                        gint64 now_us,
                                        const char *item,
                                        const char *worker,
                                        guint64 events);
/* Writes the log line and metrics of @entry and frees its report.  The batch has ended or was removed from
 * the ledger. */
void quince_step_reports_end (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
