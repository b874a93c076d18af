/*
 * sample-replication.h: replication of the progress of samples to backups, and progress that other replicas
 * send.
 */
#pragma once

#include "sample-set.h"

/* Appends the progress of all samples since the last call to @items (element-type QuinceProgressItem), or all
 * progress if @all is set.  The items borrow from the samples. */
void quince_sample_replication_collect (QuinceSampleSet *set, gboolean all, GArray *items);

/**
 * QuinceSampleCopyTarget:
 * @number: index of the further copy, below QUINCE_PROGRESS_COPIES_MAX
 * @stream: number of the stream of reports, above 0; with a new one the next report contains whole texts
 * @is_allowed: whether texts of a batch may be sent to that backup
 * @user_data: passed to @is_allowed
 */
typedef struct
{
  guint number;
  guint64 stream;
  gboolean (*is_allowed) (const QuinceBatchEntry *entry, gpointer user_data);
  gpointer user_data;
} QuinceSampleCopyTarget;

/* Appends the next report to a further backup to @items (element-type QuinceProgressItem) and records it as
 * sent; see quince_progress_select_texts().  The items borrow from the samples. */
void quince_sample_replication_collect_copy (QuinceSampleSet *set,
                                             const QuinceSampleCopyTarget *target,
                                             gint64 now_us,
                                             GArray *items);

/**
 * quince_sample_replication_apply:
 *
 * Replaces the texts of waiting samples by longer ones in @progress, and those of running samples if the new
 * text saves more than a new run costs.  Only whole texts of versions that the batch allows are taken.
 *
 * Returns: the number of replaced texts
 */
guint quince_sample_replication_apply (QuinceSampleSet *set, const QuinceSampleProgress *progress);
