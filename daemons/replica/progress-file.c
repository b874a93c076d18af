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

#define FILES 2 /* one is full while the other one is written */
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
  int descriptors[FILES];
  guint current;
  gsize written; /* bytes in the current file */
  guint64 sequence;
  gboolean failing; /* the last frame could not be written */
};

static gboolean
fail (const char *doing, GError **error)
{
  g_set_error (error, PROGRESS_FILE_ERROR, PROGRESS_FILE_ERROR_DISK, "%s: %s", doing, g_strerror (errno));
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
take_frames (const char *text, gsize length, QuinceProgressStore *store, gint64 now_us)
{
  guint64 last = 0;
  FrameHeader header;
  for (gsize at = 0; at < length; at += sizeof header + header.length)
    {
      QuinceMessage *message = read_frame (text + at, length - at, &header);
      if (message == NULL)
        break;
      quince_progress_store_apply (store, now_us, &message->QuinceMessage_u.progress);
      quince_message_free (message);
      last = header.sequence;
    }
  return last;
}

static guint64
get_first_sequence (const char *text, gsize length)
{
  FrameHeader header = { 0 };
  if (length >= sizeof header)
    memcpy (&header, text, sizeof header);
  return header.sequence;
}

/* How long ago @path was last written, us, by the wall clock; bounded, since that may be stepped. */
static gint64
age_us (const char *path)
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
  char *texts[FILES] = { NULL };
  gsize lengths[FILES] = { 0 };
  for (guint i = 0; i < FILES; i++)
    if (!g_file_get_contents (paths[i], &texts[i], &lengths[i], NULL))
      lengths[i] = 0; /* it is made below; one that cannot be read holds nothing of use */
  guint older
      = get_first_sequence (texts[0], lengths[0]) <= get_first_sequence (texts[1], lengths[1]) ? 0 : 1;
  for (guint i = 0; i < FILES; i++)
    {
      guint which = (older + i) % FILES;
      gint64 reported_us = now_us - age_us (paths[which]);
      file->sequence = MAX (file->sequence, take_frames (texts[which], lengths[which], store, reported_us));
    }
  file->current = older; /* emptied first: the newer one stays until this one is full */
  for (guint i = 0; i < FILES; i++)
    g_free (texts[i]);
}

/* ---- Writing ------------------------------------------------------------ */

static gboolean
write_all (int descriptor, const void *data, gsize length)
{
  const char *at = data;
  while (length > 0)
    {
      gssize done = write (descriptor, at, length);
      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0)
        return FALSE;
      at += done;
      length -= (gsize)done;
    }
  return TRUE;
}

static gboolean
truncate_current_file (QuinceProgressFile *file, GError **error)
{
  int descriptor = file->descriptors[file->current];
  file->written = 0;
  if (ftruncate (descriptor, 0) != 0 || lseek (descriptor, 0, SEEK_SET) != 0)
    return fail ("empty", error);
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
      file->current = (file->current + 1) % FILES;
      if (!truncate_current_file (file, error))
        return FALSE;
    }
  const FrameHeader header = { ++file->sequence, quince_hash64 (data, length, HASH_SEED), length };
  int descriptor = file->descriptors[file->current];
  if (!write_all (descriptor, &header, sizeof header) || !write_all (descriptor, data, length)
      || fdatasync (descriptor) != 0)
    return fail ("write", error);
  file->written += sizeof header + length;
  return TRUE;
}

void
quince_progress_file_append (QuinceProgressFile *file, const QuinceSampleProgress *progress)
{
  g_autoptr (GError) error = NULL;
  gboolean kept = append_frame (file, progress, &error);
  if (!kept && !file->failing)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_failure ("progress_disk_failed", "code=%d reason=%s", error->code, reason);
    }
  file->failing = !kept;
}

/* ---- Opening ------------------------------------------------------------ */

static gboolean
sync_folder (const char *folder, GError **error)
{
  int descriptor = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return fail (folder, error);
  gboolean done = fsync (descriptor) == 0;
  if (!done)
    fail (folder, error);
  close (descriptor);
  return done;
}

QuinceProgressFile *
quince_progress_file_open (const char *folder, QuinceProgressStore *store, gint64 now_us, GError **error)
{
  g_autoptr (QuinceProgressFile) file = g_new0 (QuinceProgressFile, 1);
  g_auto (GStrv) paths = g_new0 (char *, FILES + 1);
  for (guint i = 0; i < FILES; i++)
    {
      g_autofree char *name = g_strdup_printf ("progress-%u", i);
      paths[i] = g_build_filename (folder, name, NULL);
      file->descriptors[i] = -1;
    }
  read_files (file, paths, store, now_us);
  for (guint i = 0; i < FILES; i++)
    {
      file->descriptors[i] = open (paths[i], O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
      if (file->descriptors[i] < 0)
        {
          fail (paths[i], error);
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
  for (guint i = 0; i < FILES; i++)
    if (file->descriptors[i] >= 0)
      close (file->descriptors[i]);
  g_free (file);
}
