/*
 * standin-worker-streams.c: streamed answers, one event per interval, and their injected faults.
 */
#include "standin-worker-private.h"

#include <string.h>

static void
stream_free (gpointer data)
{
  StandinStream *stream = data;
  if (stream->timer != 0)
    g_source_remove (stream->timer);
  g_free (stream);
}

/* Removes a stream whose call is released. */
static void
stream_remove (StandinStream *stream)
{
  stream->timer = 0;
  g_ptr_array_remove (stream->worker->streams, stream);
  stream_free (stream);
}

static void
write_event (StandinStream *stream)
{
  const StandinWorker *worker = stream->worker;
  g_autofree char *version_line
      = stream->last_version == worker->version
            ? g_strdup ("")
            : g_strdup_printf ("weight-versions: %" G_GUINT64_FORMAT "\n", worker->version);
  stream->last_version = worker->version;
  g_autofree char *padding = g_strnfill (worker->event_padding_bytes, 'x');
  g_autofree char *event = g_strdup_printf ("%sid: %u\ndata: e%u%s\n\n", version_line, stream->next_event,
                                            stream->next_event, padding);
  g_autofree char *chunk = g_strdup_printf ("%x\r\n%s\r\n", (guint)strlen (event), event);
  standin_call_write (stream->call, chunk);
  const StandinEvent record = { .number = stream->next_event, .version = worker->version };
  g_array_append_val (stream->run->events, record);
  stream->next_event++;
}

/* Closes the connection in the middle of an event. */
static void
truncate_stream (StandinStream *stream)
{
  g_autofree char *partial_event = g_strdup_printf ("10\r\nid: %u\nda", stream->next_event);
  standin_call_write (stream->call, partial_event);
  standin_call_close_connection (stream->call);
  stream_remove (stream);
}

static void
end_stream (StandinStream *stream)
{
  standin_call_write (stream->call, "0\r\n\r\n");
  standin_call_finish (stream->call);
  stream_remove (stream);
}

static gboolean
stream_step (gpointer data)
{
  StandinStream *stream = data;
  gboolean is_past_half = stream->next_event > stream->worker->n_events / 2;
  if (stream->call->disconnected)
    {
      stream->run->disconnected = TRUE;
      standin_call_finish (stream->call);
      stream_remove (stream);
      return G_SOURCE_REMOVE;
    }
  if (is_past_half && stream->fault == STANDIN_WORKER_TRUNCATES)
    {
      truncate_stream (stream);
      return G_SOURCE_REMOVE;
    }
  if (is_past_half && stream->fault == STANDIN_WORKER_SKIPS_EVENT)
    {
      stream->next_event++;
      stream->fault = STANDIN_WORKER_HEALTHY;
    }
  if (stream->next_event > stream->worker->n_events)
    {
      end_stream (stream);
      return G_SOURCE_REMOVE;
    }
  write_event (stream);
  return G_SOURCE_CONTINUE;
}

void
standin_worker_start_stream (StandinWorker *worker,
                             StandinCall *call,
                             StandinRun *run,
                             StandinWorkerFault fault,
                             const char *headers)
{
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nWeight-Versions: %" G_GUINT64_FORMAT
      "\r\nTransfer-Encoding: chunked\r\n\r\n",
      headers, worker->version);
  standin_call_write (call, head);
  StandinStream *stream = g_new0 (StandinStream, 1);
  stream->worker = worker;
  stream->call = call;
  stream->run = run;
  stream->fault = fault;
  stream->last_version = worker->version;
  stream->next_event
      = run->last_event_id != NULL ? (guint)g_ascii_strtoull (run->last_event_id, NULL, 10) + 1 : 1;
  stream->timer = g_timeout_add (MAX (worker->event_interval_ms, 1), stream_step, stream);
  g_ptr_array_add (worker->streams, stream);
}

void
standin_worker_drop_streams (StandinWorker *worker)
{
  for (guint i = 0; i < worker->streams->len; i++)
    {
      StandinStream *stream = worker->streams->pdata[i];
      standin_call_finish (stream->call);
      stream_free (stream);
    }
  g_ptr_array_set_size (worker->streams, 0);
}
