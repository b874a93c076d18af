/*
 * sample-replication.h: the progress of samples, as a leader sends it to its successor and takes it over.
 *
 * For: sample-runner.c.  Owns: in each sample, how much of it was sent.
 */
#pragma once

#include "sample-set.h"

/* Appends what has been made since the last call to @items (QuinceProgressItem); @all: everything again.
 * Lives until samples change. */
void quince_sample_replication_collect (QuinceSampleSet *set, gboolean all, GArray *items);
/* Takes what another replica knows of samples: samples that have not begun go on from there.  Returns: how
 * many
 */
guint quince_sample_replication_apply (QuinceSampleSet *set, const QuinceSampleProgress *progress);
