/*
 * sample-replication.h: collects the progress of samples for the successor, and applies received progress.
 */
#pragma once

#include "sample-set.h"

/* Appends the progress since the last call to @items (element-type QuinceProgressItem), or all progress if
 * @all is set.  The items borrow from the samples and are valid until these change. */
void quince_sample_replication_collect (QuinceSampleSet *set, gboolean all, GArray *items);
/* Applies progress that another replica sent: a waiting sample with fewer events resumes from the received
 * text, and failure counts are raised to the received ones.  Returns the number of samples that resume from
 * received text. */
guint quince_sample_replication_apply (QuinceSampleSet *set, const QuinceSampleProgress *progress);
