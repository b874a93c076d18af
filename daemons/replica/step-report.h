/*
 * step-report.h: how long each part of a trainer's step took, for logs and metrics.
 *
 * One line event=step_ended a step says when its samples began, when their texts were whole, when they were
 * listed, and which sample was listed last.
 */
#pragma once

#include "core/batches/batch-book.h"

typedef struct _QuinceStepReports QuinceStepReports;

QuinceStepReports *quince_step_reports_new (void);
void quince_step_reports_free (QuinceStepReports *reports);
/* A batch is run from now on.  @submitted_us: monotonic */
void
quince_step_reports_begin (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 submitted_us);
/* A sample of @entry begins its first run. */
void quince_step_reports_started (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
/* A text of @entry is whole. */
void
quince_step_reports_text_whole (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
/* A result of @entry goes to the ledger.  @item: its id; @worker: (nullable): that made the last of its text
 */
void quince_step_reports_listed (QuinceStepReports *reports,
                                 const QuinceBatchEntry *entry,
                                 gint64 now_us,
                                 const char *item,
                                 const char *worker,
                                 guint64 events);
/* The batch is ended or given up: tells how the step went. */
void quince_step_reports_end (QuinceStepReports *reports, const QuinceBatchEntry *entry, gint64 now_us);
