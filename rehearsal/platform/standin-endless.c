/*
 * standin-endless.c: answers of a stand-in that do not end before their connection is closed.
 */
#include "standin-endless.h"

#include <string.h>

/* Output that is kept ready for the kernel on each connection, bytes. */
#define BLOCK_BYTES (256 * 1024)
#define WRITE_INTERVAL_MS 1

typedef struct
{
  StandinEndlessWriter *writer;
  StandinCall *call;
  const StandinEndlessAnswer *answer;
  guint64 n_units; /* so far */
  gsize n_written; /* bytes of the last block that the kernel had not accepted when it was last counted */
  guint timer;
} EndlessCall;

struct _StandinEndlessWriter
{
  GPtrArray *calls; /* EndlessCall, owned: not yet closed by the peer */
  guint n_calls;
  guint64 n_bytes;
};

static void
endless_call_free (gpointer data)
{
  EndlessCall *endless = data;
  g_source_remove (endless->timer);
  standin_call_finish (endless->call);
  g_free (endless);
}

StandinEndlessWriter *
standin_endless_writer_new (void)
{
  StandinEndlessWriter *writer = g_new0 (StandinEndlessWriter, 1);
  writer->calls = g_ptr_array_new ();
  return writer;
}

void
standin_endless_writer_free (StandinEndlessWriter *writer)
{
  g_ptr_array_set_free_func (writer->calls, endless_call_free);
  g_ptr_array_unref (writer->calls);
  g_free (writer);
}

static void
append_unit (EndlessCall *endless, GString *block)
{
  const char *unit = endless->answer->unit;
  const char *number = strstr (unit, STANDIN_ENDLESS_NUMBER);
  endless->n_units++;
  if (number == NULL)
    {
      g_string_append (block, unit);
      return;
    }
  g_string_append_len (block, unit, number - unit);
  g_string_append_printf (block, "%010" G_GUINT64_FORMAT, endless->n_units);
  g_string_append (block, number + strlen (STANDIN_ENDLESS_NUMBER));
}

static gsize
get_pending_bytes (const EndlessCall *endless)
{
  return endless->call->disconnected
             ? 0
             : quince_http_connection_get_pending_output_bytes (endless->call->connection);
}

static void
write_text (EndlessCall *endless, const char *text)
{
  standin_call_write (endless->call, text);
  endless->n_written += strlen (text);
}

/* Counts what the kernel has accepted since the last call. */
static void
count_bytes (EndlessCall *endless)
{
  gsize pending = get_pending_bytes (endless);
  if (endless->n_written > pending)
    endless->writer->n_bytes += endless->n_written - pending;
  endless->n_written = pending;
}

static gboolean
write_more (gpointer data)
{
  EndlessCall *endless = data;
  count_bytes (endless);
  if (endless->call->disconnected)
    {
      g_ptr_array_remove (endless->writer->calls, endless);
      standin_call_finish (endless->call);
      g_free (endless);
      return G_SOURCE_REMOVE;
    }
  if (get_pending_bytes (endless) > 0)
    return G_SOURCE_CONTINUE;
  gsize block_bytes = endless->answer->interval_ms > 0 ? 1 : BLOCK_BYTES;
  g_autoptr (GString) block = g_string_sized_new (block_bytes);
  while (block->len < block_bytes)
    append_unit (endless, block);
  write_text (endless, block->str);
  count_bytes (endless);
  return G_SOURCE_CONTINUE;
}

static void
write_start (EndlessCall *endless)
{
  const char *request_id = standin_call_get_header (endless->call, "Request-Id");
  g_autofree char *id_line
      = request_id != NULL ? g_strdup_printf ("Request-Id: %s\r\n", request_id) : g_strdup ("");
  g_auto (GStrv) parts = g_strsplit (endless->answer->start, STANDIN_ENDLESS_ID_LINE, -1);
  g_autofree char *start = g_strjoinv (id_line, parts);
  write_text (endless, start);
}

void
standin_endless_writer_answer (StandinEndlessWriter *writer,
                               StandinCall *call,
                               const StandinEndlessAnswer *answer)
{
  EndlessCall *endless = g_new0 (EndlessCall, 1);
  endless->writer = writer;
  endless->call = call;
  endless->answer = answer;
  writer->n_calls++;
  g_ptr_array_add (writer->calls, endless);
  write_start (endless);
  endless->timer = g_timeout_add (MAX (answer->interval_ms, WRITE_INTERVAL_MS), write_more, endless);
}

guint
standin_endless_writer_get_n_calls (const StandinEndlessWriter *writer)
{
  return writer->n_calls;
}

guint
standin_endless_writer_get_n_open (const StandinEndlessWriter *writer)
{
  guint n_open = 0;
  for (guint i = 0; i < writer->calls->len; i++)
    n_open += !((EndlessCall *)writer->calls->pdata[i])->call->disconnected;
  return n_open;
}

guint64
standin_endless_writer_get_n_bytes (const StandinEndlessWriter *writer)
{
  return writer->n_bytes;
}
