/*
 * progress-file.h: progress of samples on this machine's disk, so that half texts outlive a loss of power of
 * all machines at once.
 *
 * Soft state: a write that fails is told and costs tokens only.  What is older than a few seconds of all
 * samples' texts is overwritten.
 */
#pragma once

#include "progress.h"

typedef struct _QuinceProgressFile QuinceProgressFile;

/**
 * quince_progress_file_open:
 * @folder: existing
 * @store: takes what earlier runs of this process have written
 */
QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error);
void quince_progress_file_close (QuinceProgressFile *file);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProgressFile, quince_progress_file_close)
/* Returns once @progress is safe on the disk, or could not be written: the first of several failures in a row
 * is logged. */
void quince_progress_file_keep (QuinceProgressFile *file, const QuinceSampleProgress *progress);
