/*
 * progress-file.h: progress of samples on this machine's disk, so that partial texts survive a loss of power
 * of all machines at once.
 *
 * Soft state: a write that fails is logged and costs tokens only; the oldest progress is overwritten.  Owns
 * two open files.  All calls belong to the main context; a write blocks until the disk has it.
 */
#pragma once

#include "progress.h"

typedef struct _QuinceProgressFile QuinceProgressFile;

/**
 * quince_progress_file_open:
 * @folder: existing
 * @store: (inout): is given the progress that earlier runs of this process have written
 * @error: the system refused; the message says why
 *
 * Returns: (transfer full) (nullable): %NULL with @error
 */
QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error);
void quince_progress_file_close (QuinceProgressFile *file);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProgressFile, quince_progress_file_close)
/* Returns once @progress is safe on the disk, or could not be written: the first of several failures in a row
 * is logged. */
void quince_progress_file_append (QuinceProgressFile *file, const QuinceSampleProgress *progress);
