/*
 * submission-reader.c: decodes the batches that fronts submit, in slices.
 */
#include "submission-reader.h"

#include "runtime/clock.h"
#include "runtime/timer.h"

#include "platform.h"

/* Bytes of a submission that are decoded in one turn of the main loop. */
#define SLICE_BYTES (512 * 1024)

struct _QuinceSubmissionReader
{
  /* All fields belong to the main context. */
  GPtrArray *readings; /* Reading, owned, in order of arrival */
  QuinceTimer *timer;  /* next slice; NULL: nothing is being read */
  QuinceSubmissionRead read;
  gpointer user_data;
};

/* A submission that is being decoded. */
typedef struct
{
  QuinceSubmission submission;
  QuincePlatformBatchReader *batch_reader; /* owned */
  char *host;
  char *path;
  QuinceMemoryHold *hold; /* owned; of the body; NULL: none */
} Reading;

static void
clear_call (gpointer data)
{
  QuinceSubmissionCall *call = data;
  quince_link_unref (call->link);
}

static void
reading_free (gpointer data)
{
  Reading *reading = data;
  quince_platform_batch_reader_free (reading->batch_reader);
  g_array_unref (reading->submission.calls);
  g_free (reading->submission.id);
  g_free (reading->submission.tenant);
  g_free (reading->host);
  g_free (reading->path);
  quince_memory_hold_free (reading->hold);
  g_free (reading);
}

QuinceSubmissionReader *
quince_submission_reader_new (QuinceSubmissionRead read, gpointer user_data)
{
  QuinceSubmissionReader *reader = g_new0 (QuinceSubmissionReader, 1);
  reader->readings = g_ptr_array_new ();
  reader->read = read;
  reader->user_data = user_data;
  return reader;
}

void
quince_submission_reader_free (QuinceSubmissionReader *reader)
{
  if (reader == NULL)
    return;
  quince_submission_reader_clear (reader, NULL, NULL);
  g_ptr_array_unref (reader->readings);
  g_free (reader);
}

static void
add_call (Reading *reading, QuinceLink *link, guint64 call_id)
{
  const QuinceSubmissionCall call = { .link = quince_link_ref (link), .call_id = call_id };
  g_array_append_val (reading->submission.calls, call);
}

/* ---- Decoding -------------------------------------------------------------- */

/* Passes on a decoded batch, and frees the bytes that it was decoded from first. */
static void
finish (QuinceSubmissionReader *reader, Reading *reading, const GError *error)
{
  QuinceBatchJob *batch = NULL;
  if (error == NULL)
    {
      batch = quince_platform_batch_reader_take (reading->batch_reader);
      g_free (batch->id);
      batch->id = quince_string (reading->submission.id);
      g_free (batch->host);
      batch->host = g_steal_pointer (&reading->host);
      g_free (batch->path);
      batch->path = g_steal_pointer (&reading->path);
      batch->submitted_ms = (guint64)quince_wall_ms ();
    }
  g_clear_pointer (&reading->batch_reader, quince_platform_batch_reader_free);
  g_clear_pointer (&reading->hold, quince_memory_hold_free);
  reader->read (&reading->submission, batch, error, reader->user_data);
  reading_free (reading);
}

/* Decodes a slice of the first submission.  Returns whether it was finished. */
static gboolean
read_slice (QuinceSubmissionReader *reader, Reading *reading)
{
  g_autoptr (GError) error = NULL;
  gboolean is_complete
      = quince_platform_batch_reader_continue (reading->batch_reader, SLICE_BYTES, &error) || error != NULL;
  if (!is_complete)
    return FALSE;
  g_ptr_array_remove (reader->readings, reading);
  finish (reader, reading, error);
  return TRUE;
}

static gboolean
read_next_slice (gpointer data)
{
  QuinceSubmissionReader *reader = data;
  quince_timer_clear (&reader->timer);
  if (reader->readings->len > 0)
    read_slice (reader, reader->readings->pdata[0]);
  if (reader->readings->len > 0 && reader->timer == NULL)
    reader->timer = quince_timer_add (0, read_next_slice, reader);
  return G_SOURCE_REMOVE;
}

/* ---- Submissions ------------------------------------------------------------- */

static Reading *
reading_new (QuinceLink *link,
             QuinceServiceCall *call,
             const QuinceHttpHeaders *headers,
             const char *id,
             QuinceMemoryHold *hold)
{
  Reading *reading = g_new0 (Reading, 1);
  reading->submission.id = g_strdup (id);
  reading->submission.tenant = g_strdup (quince_platform_read_tenant (headers));
  reading->submission.calls = g_array_new (FALSE, FALSE, sizeof (QuinceSubmissionCall));
  g_array_set_clear_func (reading->submission.calls, clear_call);
  reading->host = quince_string (quince_http_headers_get (headers, "Host"));
  reading->path = quince_string (call->target);
  reading->hold = hold;
  add_call (reading, link, call->id);
  g_autoptr (GBytes) body = g_bytes_new_take (g_steal_pointer (&call->body.body_val), call->body.body_len);
  call->body.body_len = 0;
  reading->batch_reader = quince_platform_batch_reader_new (body);
  return reading;
}

void
quince_submission_reader_start (QuinceSubmissionReader *reader,
                                QuinceLink *link,
                                QuinceServiceCall *call,
                                const QuinceHttpHeaders *headers,
                                const char *id,
                                QuinceMemoryHold *hold)
{
  gboolean is_small = call->body.body_len <= SLICE_BYTES;
  Reading *reading = reading_new (link, call, headers, id, hold);
  g_ptr_array_add (reader->readings, reading);
  if (is_small && read_slice (reader, reading))
    return;
  if (reader->timer == NULL)
    reader->timer = quince_timer_add (0, read_next_slice, reader);
}

/* Returns: (nullable): the reading of the batch @id */
static Reading *
find_reading (const QuinceSubmissionReader *reader, const char *id)
{
  for (guint i = 0; i < reader->readings->len; i++)
    {
      Reading *reading = reader->readings->pdata[i];
      if (g_str_equal (reading->submission.id, id))
        return reading;
    }
  return NULL;
}

gboolean
quince_submission_reader_has (const QuinceSubmissionReader *reader, const char *id)
{
  return find_reading (reader, id) != NULL;
}

gboolean
quince_submission_reader_join (QuinceSubmissionReader *reader,
                               const char *id,
                               QuinceLink *link,
                               guint64 call_id)
{
  Reading *reading = find_reading (reader, id);
  if (reading != NULL)
    add_call (reading, link, call_id);
  return reading != NULL;
}

void
quince_submission_reader_link_closed (QuinceSubmissionReader *reader, QuinceLink *link)
{
  for (guint i = 0; i < reader->readings->len; i++)
    {
      GArray *calls = ((Reading *)reader->readings->pdata[i])->submission.calls;
      for (guint j = calls->len; j > 0; j--)
        if (g_array_index (calls, QuinceSubmissionCall, j - 1).link == link)
          g_array_remove_index_fast (calls, j - 1);
    }
}

void
quince_submission_reader_clear (QuinceSubmissionReader *reader,
                                void (*dropped) (const QuinceSubmission *submission, gpointer user_data),
                                gpointer user_data)
{
  quince_timer_clear (&reader->timer);
  for (guint i = 0; i < reader->readings->len; i++)
    {
      Reading *reading = reader->readings->pdata[i];
      if (dropped != NULL)
        dropped (&reading->submission, user_data);
      reading_free (reading);
    }
  g_ptr_array_set_size (reader->readings, 0);
}
