/*
 * progress-file.c: progress of samples on this machine's disk.
 *
 * Two files take turns.  Each has frames: a header and an encoded message of kind PROGRESS.  When the one
 * that is written is full, the other one is emptied and written next, so the newer half at least is always
 * there.  A torn frame ends its file: later bytes cannot be trusted.
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

/* Greatest age that is assumed for progress on the disk, ms: the wall clock may be stepped.  Not measured:
 * far above the 5 s after which progress is not passed on any more. */
#define AGE_MAX_MS (20 * 1000)

#define PROGRESS_FILE_ERROR (g_quark_from_static_string ("quince-progress-file-error"))

/* Codes as they are logged with the event progress_disk_failed. */
typedef enum
{
  PROGRESS_FILE_ERROR_DISK,   /* the system refused; the message says what */
  PROGRESS_FILE_ERROR_ENCODE, /* the progress does not encode */
} ProgressFileError;

#define N_FILES 2 /* one is full while the other one is written */
/* Size of one file, bytes: the busiest trainers make about half a megabyte of text a second, and a sample
 * runs for ten seconds. */
#define FILE_MAX_BYTES (8 * 1024 * 1024)
#define HASH_SEED 0x70726f67 /* no unit: any fixed number does */

/* As written to the disk, in this machine's byte order: no other machine reads it. */
typedef struct
{
  guint64 sequence; /* rises with each frame over both files */
  guint64 hash;     /* of the message */
  guint64 length;   /* of the message, bytes */
} FrameHeader;

struct _QuinceProgressFile
{
  int descriptors[N_FILES];
  guint current;
  gsize written; /* bytes in the current file */
  guint64 sequence;
  gboolean last_write_failed; /* the last frame could not be written */
};

static gboolean
set_system_error (const char *operation, GError **error)
{
  g_set_error (error, PROGRESS_FILE_ERROR, PROGRESS_FILE_ERROR_DISK, "%s: %s", operation, g_strerror (errno));
  return FALSE;
}

/* ---- Reading ------------------------------------------------------------ */

/* Returns: (transfer full): the message of the whole frame at @data, or NULL. */
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

/* Takes the frames of @text into @store. Returns: the last sequence number, 0: there is no frame */
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

/* How long ago @path was last written, us, by the wall clock; bounded, since that may be stepped. */
static gint64
get_file_age_us (const char *path)
{
  GStatBuf status;
  if (g_stat (path, &status) != 0)
    return 0;
  gint64 written_ms = (gint64)status.st_mtim.tv_sec * 1000 + status.st_mtim.tv_nsec / 1000000;
  return CLAMP (quince_wall_ms () - written_ms, 0, AGE_MAX_MS) * 1000;
}

static void
read_files (QuinceProgressFile *file, char **paths, QuinceProgressStore *store, gint64 now_us)
{
  char *contents[N_FILES] = { NULL };
  gsize lengths[N_FILES] = { 0 };
  for (guint i = 0; i < N_FILES; i++)
    if (!g_file_get_contents (paths[i], &contents[i], &lengths[i], NULL))
      lengths[i] = 0; /* it is made below; one that cannot be read holds nothing of use */
  guint older
      = get_first_sequence (contents[0], lengths[0]) <= get_first_sequence (contents[1], lengths[1]) ? 0 : 1;
  for (guint i = 0; i < N_FILES; i++)
    {
      guint file_index = (older + i) % N_FILES;
      gint64 reported_us = now_us - get_file_age_us (paths[file_index]);
      file->sequence = MAX (file->sequence,
                            apply_frames (contents[file_index], lengths[file_index], store, reported_us));
    }
  file->current = older; /* emptied first: the newer one stays until this one is full */
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
    return set_system_error ("empty", error);
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
                           "progress does not encode");
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
    return set_system_error ("write", error);
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
