/*
 * progress-file.h: progress of samples on this machine's disk, so that partial texts survive a power failure
 * of all machines.
 *
 * It is soft state: a failed write is logged, and the oldest progress is overwritten.  A progress file owns
 * two open files.  All functions are called on the main context; writes block until the data is on the disk.
 */
#pragma once

#include "progress.h"

typedef struct _QuinceProgressFile QuinceProgressFile;

/**
 * quince_progress_file_open:
 * @folder: an existing folder
 * @store: (inout): receives the progress that an earlier process wrote to @folder
 * @now_us: monotonic, us
 * @error: a system call failed; the message names the operation or the path, and the cause
 *
 * Loads the stored progress and empties the older of the two files.  Files that cannot be read count as
 * empty.
 *
 * Returns: (transfer full) (nullable): the progress file, or %NULL with @error set
 */
QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error);
void quince_progress_file_close (QuinceProgressFile *file);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProgressFile, quince_progress_file_close)
/* Appends @progress and waits until it is on the disk.  If that fails, @progress is not stored; only the
 * first of consecutive failures is logged. */
void quince_progress_file_append (QuinceProgressFile *file, const QuinceSampleProgress *progress);
