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

#define QUINCE_PROGRESS_FILE_ERROR (quince_progress_file_error_quark ())
GQuark quince_progress_file_error_quark (void);

typedef enum
{
  QUINCE_PROGRESS_FILE_ERROR_DISK,   /* the system refused; the message says what */
  QUINCE_PROGRESS_FILE_ERROR_ENCODE, /* the progress does not encode              */
} QuinceProgressFileError;

/**
 * quince_progress_file_open:
 * @folder: existing
 * @store: takes what earlier runs of this process have written
 */
QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error);
void quince_progress_file_close (QuinceProgressFile *file);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProgressFile, quince_progress_file_close)
/* Returns once @progress is safe on the disk. */
gboolean
quince_progress_file_append (QuinceProgressFile *file, const QuinceSampleProgress *progress, GError **error);
/* The same; the first of several failures in a row is logged. */
void quince_progress_file_keep (QuinceProgressFile *file, const QuinceSampleProgress *progress);
