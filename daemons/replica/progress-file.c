/*
 * progress-file.c: progress of samples on this machine's disk.
 *
 * Two files are written alternately.  Each consists of frames: a header and an encoded message of kind
 * PROGRESS.  When the current file is full, the other one is emptied and becomes the current file, so the
 * progress of the last full file is always available.  Reading a file stops at the first incomplete or
 * corrupt frame.
 */
#include "progress-file.h"

#include <glib/gstdio.h>
#include "runtime/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "runtime/log.h"
#include "protocol/hash.h"

/* Maximum age that is assumed for stored progress, ms: the wall clock may have been stepped, and stored
 * progress must not expire (after 40 s) before a new leader was elected. */
#define STORED_AGE_MAX_MS (20 * 1000)
/* Maximum age of stored progress that is offered to a new leader, ms, by the wall clock.  Older batches may
 * have been forgotten (setting ledger.keep, 120 s by default), and others may have their names. */
#define OFFERED_AGE_MAX_MS (120 * 1000)

#define PROGRESS_FILE_ERROR (g_quark_from_static_string ("quince-progress-file-error"))

/* Error codes; logged as code= of the event progress_disk_failed. */
typedef enum
{
  PROGRESS_FILE_ERROR_DISK,   /* a system call failed */
  PROGRESS_FILE_ERROR_ENCODE, /* the progress cannot be encoded */
} ProgressFileError;

/* The files are filled in turn, so that the full one is kept while the other is rewritten. */
#define N_FILES 2
/* Size of one file, bytes.  Large enough for the text of all samples that run at once: about 0.5 MB/s for
 * 10 s. */
#define FILE_MAX_BYTES (8 * 1024 * 1024)
#define HASH_SEED 0x70726f67 /* arbitrary, but part of the file format */

/* On-disk header of a frame, in native byte order: only this machine reads it. */
typedef struct
{
  guint64 sequence; /* rises with each frame, across both files */
  guint64 hash;     /* of the encoded message */
  guint64 length;   /* of the encoded message, bytes */
} FrameHeader;

struct _QuinceProgressFile
{
  int descriptors[N_FILES];
  guint current;
  gsize written; /* bytes in the current file */
  guint64 sequence;
  gboolean last_write_failed;
};

static gboolean
set_system_error (const char *operation, GError **error)
{
  g_set_error (error, PROGRESS_FILE_ERROR, PROGRESS_FILE_ERROR_DISK, "%s: %s", operation, g_strerror (errno));
  return FALSE;
}

/* ---- Reading ------------------------------------------------------------ */

/* Returns: (transfer full) (nullable): the message of the frame at @data, or NULL if the frame is incomplete
 * or corrupt */
static QuinceMessage *
read_frame (const char *data, gsize available, FrameHeader *header)
{
  if (available < sizeof *header)
    return NULL;
  memcpy (header, data, sizeof *header);
  if (header->length > available - sizeof *header
      || quince_hash64 (data + sizeof *header, header->length, HASH_SEED) != header->hash)
    return NULL;
  QuinceMessage *message
      = quince_message_decode ((const guint8 *)data + sizeof *header, header->length, NULL);
  if (message == NULL || message->kind == QUINCE_MESSAGE_PROGRESS)
    return message;
  quince_message_free (message);
  return NULL;
}

/* Applies the frames in @data to @store.  Returns the last sequence number, or 0 if no frame is valid. */
static guint64
apply_frames (const char *data, gsize length, QuinceProgressStore *store, gint64 now_us)
{
  guint64 last = 0;
  FrameHeader header;
  for (gsize offset = 0; offset < length; offset += sizeof header + header.length)
    {
      QuinceMessage *message = read_frame (data + offset, length - offset, &header);
      if (message == NULL)
        break;
      quince_progress_store_apply (store, now_us, &message->QuinceMessage_u.progress);
      quince_message_free (message);
      last = header.sequence;
    }
  return last;
}

static guint64
get_first_sequence (const char *data, gsize length)
{
  FrameHeader header = { 0 };
  if (length >= sizeof header)
    memcpy (&header, data, sizeof header);
  return header.sequence;
}

/* Returns the time since @path was last written, ms, by the wall clock; 0 if the file does not exist. */
static gint64
get_file_age_ms (const char *path)
{
  GStatBuf status;
  if (g_stat (path, &status) != 0)
    return 0;
  gint64 written_ms = (gint64)status.st_mtim.tv_sec * 1000 + status.st_mtim.tv_nsec / 1000000;
  return MAX (quince_wall_ms () - written_ms, 0);
}

static void
read_files (QuinceProgressFile *file, char **paths, QuinceProgressStore *store, gint64 now_us)
{
  char *contents[N_FILES] = { NULL };
  gsize lengths[N_FILES] = { 0 };
  for (guint i = 0; i < N_FILES; i++)
    if (!g_file_get_contents (paths[i], &contents[i], &lengths[i], NULL))
      lengths[i] = 0; /* counts as empty; a missing file is created on opening */
  guint older
      = get_first_sequence (contents[0], lengths[0]) <= get_first_sequence (contents[1], lengths[1]) ? 0 : 1;
  for (guint i = 0; i < N_FILES; i++)
    {
      guint file_index = (older + i) % N_FILES;
      gint64 age_ms = get_file_age_ms (paths[file_index]);
      gint64 reported_us = now_us - MIN (age_ms, STORED_AGE_MAX_MS) * 1000;
      guint64 last_report = quince_progress_store_get_last_report (store);
      file->sequence = MAX (file->sequence,
                            apply_frames (contents[file_index], lengths[file_index], store, reported_us));
      if (age_ms <= OFFERED_AGE_MAX_MS)
        quince_progress_store_mark_from_disk (store, last_report);
    }
  file->current = older; /* the newer file is kept until this one is full */
  for (guint i = 0; i < N_FILES; i++)
    g_free (contents[i]);
}

/* ---- Writing ------------------------------------------------------------ */

static gboolean
write_all (int descriptor, const void *data, gsize length)
{
  const char *position = data;
  while (length > 0)
    {
      gssize n_written = write (descriptor, position, length);
      if (n_written < 0 && errno == EINTR)
        continue;
      if (n_written < 0)
        return FALSE;
      position += n_written;
      length -= (gsize)n_written;
    }
  return TRUE;
}

static gboolean
truncate_current_file (QuinceProgressFile *file, GError **error)
{
  int descriptor = file->descriptors[file->current];
  file->written = 0;
  if (ftruncate (descriptor, 0) != 0 || lseek (descriptor, 0, SEEK_SET) != 0)
    return set_system_error ("cannot empty a progress file", error);
  return TRUE;
}

static gboolean
append_frame (QuinceProgressFile *file, const QuinceSampleProgress *progress, GError **error)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress = *progress;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  if (encoded == NULL)
    {
      g_set_error_literal (error, PROGRESS_FILE_ERROR, PROGRESS_FILE_ERROR_ENCODE,
                           "cannot encode the progress");
      return FALSE;
    }
  gsize length;
  const void *data = g_bytes_get_data (encoded, &length);
  if (file->written > 0 && file->written + length > FILE_MAX_BYTES)
    {
      file->current = (file->current + 1) % N_FILES;
      if (!truncate_current_file (file, error))
        return FALSE;
    }
  const FrameHeader header = { ++file->sequence, quince_hash64 (data, length, HASH_SEED), length };
  int descriptor = file->descriptors[file->current];
  if (!write_all (descriptor, &header, sizeof header) || !write_all (descriptor, data, length)
      || fdatasync (descriptor) != 0)
    return set_system_error ("cannot write to a progress file", error);
  file->written += sizeof header + length;
  return TRUE;
}

void
quince_progress_file_append (QuinceProgressFile *file, const QuinceSampleProgress *progress)
{
  g_autoptr (GError) error = NULL;
  gboolean is_written = append_frame (file, progress, &error);
  if (!is_written && !file->last_write_failed)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_failure ("progress_disk_failed", "code=%d reason=%s", error->code, reason);
    }
  file->last_write_failed = !is_written;
}

/* ---- Opening ------------------------------------------------------------ */

static gboolean
sync_folder (const char *folder, GError **error)
{
  int descriptor = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return set_system_error (folder, error);
  gboolean synced = fsync (descriptor) == 0;
  if (!synced)
    set_system_error (folder, error);
  close (descriptor);
  return synced;
}

QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error)
{
  g_autoptr (QuinceProgressFile) file = g_new0 (QuinceProgressFile, 1);
  g_auto (GStrv) paths = g_new0 (char *, N_FILES + 1);
  for (guint i = 0; i < N_FILES; i++)
    {
      g_autofree char *name = g_strdup_printf ("progress-%u", i);
      paths[i] = g_build_filename (folder, name, NULL);
      file->descriptors[i] = -1;
    }
  read_files (file, paths, store, now_us);
  for (guint i = 0; i < N_FILES; i++)
    {
      file->descriptors[i] = open (paths[i], O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
      if (file->descriptors[i] < 0)
        {
          set_system_error (paths[i], error);
          return NULL;
        }
    }
  if (!truncate_current_file (file, error) || !sync_folder (folder, error))
    return NULL;
  return g_steal_pointer (&file);
}

void
quince_progress_file_close (QuinceProgressFile *file)
{
  if (file == NULL)
    return;
  for (guint i = 0; i < N_FILES; i++)
    if (file->descriptors[i] >= 0)
      close (file->descriptors[i]);
  g_free (file);
}
