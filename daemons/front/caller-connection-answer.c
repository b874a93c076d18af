/*
 * caller-connection-answer.c: writes answers to a caller's connection, complete or streamed.
 */
#include "caller-connection-private.h"

#include "runtime/clock.h"

#include "caller-answer-head.h"

/* Maximum size of a body that is copied behind its head to be sent in one write, bytes. */
#define ONE_WRITE_MAX_BYTES (64 * 1024)

/* Accounts for an answer that the caller has not taken: these bytes are in memory already. */
static void
quince_caller_connection_account_answer (QuinceCallerConnection *connection)
{
  gsize unsent = quince_http_connection_get_pending_output_bytes (connection->http);
  gsize held = connection->input_bytes + unsent;
  if (held == quince_memory_hold_get_bytes (connection->hold))
    return;
  quince_memory_hold_set (connection->hold, held);
  quince_memory_hold_set_waiting (connection->hold,
                                  unsent > 0 || quince_caller_connection_is_reading_head (connection),
                                  quince_now_us ());
}

/* Writes the body of a complete answer behind its head, in one write if it is small. */
static void
write_head_and_body (QuinceCallerConnection *connection,
                     GString *head,
                     const char *body,
                     gsize length,
                     GBytes *shared)
{
  gboolean has_body = !connection->head_only && length > 0;
  gboolean is_large = length > ONE_WRITE_MAX_BYTES;
  if (has_body && !is_large)
    g_string_append_len (head, body, (gssize)length);
  quince_http_connection_write (connection->http, head->str, head->len);
  if (has_body && is_large && shared != NULL)
    quince_http_connection_write_bytes (connection->http, shared);
  else if (has_body && is_large)
    quince_http_connection_write (connection->http, body, length);
}

void
quince_caller_connection_write_answer (QuinceCallerConnection *connection, const QuinceCallerAnswer *answer)
{
  gboolean keep_open = connection->keep_alive && !connection->context->stopping;
  gsize length = answer->body_length;
  const char *body
      = answer->shared_body != NULL ? g_bytes_get_data (answer->shared_body, &length) : answer->body;
  g_autoptr (GString) head = quince_caller_answer_format_head (answer, keep_open);
  g_string_append_printf (head, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", length);
  connection->answering = FALSE;
  connection->idle_since_us = quince_now_us ();
  write_head_and_body (connection, head, body, length, answer->shared_body);
  if (keep_open)
    {
      quince_caller_connection_account_answer (connection);
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  quince_caller_connection_free (connection);
}

static void
write_complete_answer (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->request = NULL;
  connection->context->in_progress--;
  quince_caller_connection_write_answer (connection, result);
}

/* ---- Streamed answers -------------------------------------------------- */

/* Unsent output of a streamed answer from which on its worker is not read until the caller has taken all of
 * it, bytes; limits the memory that a slow caller uses.  The data that was read with the last bytes adds at
 * most one event. */
#define UNSENT_PAUSE_BYTES (256 * 1024)

static void
write_answer_head (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->keep_alive = connection->keep_alive && !connection->context->stopping;
  g_autoptr (GString) text = quince_caller_answer_format_head (result, connection->keep_alive);
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  quince_http_connection_write (connection->http, text->str, text->len);
}

static void
write_answer_chunk (const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  if (connection->head_only)
    return;
  g_autofree char *size = g_strdup_printf ("%zx\r\n", length);
  g_autoptr (GString) chunk = g_string_new (size);
  g_string_append_len (chunk, data, (gssize)length);
  g_string_append (chunk, "\r\n");
  quince_http_connection_write (connection->http, chunk->str, chunk->len);
  quince_caller_connection_account_answer (connection);
  if (connection->paused
      || quince_http_connection_get_pending_output_bytes (connection->http) <= UNSENT_PAUSE_BYTES)
    return;
  connection->paused = TRUE;
  quince_caller_request_set_paused (connection->request, TRUE);
}

void
quince_caller_connection_handle_drained (QuinceHttpConnection *http, gpointer data)
{
  QuinceCallerConnection *connection = data;
  quince_caller_connection_account_answer (connection);
  if (!connection->paused)
    return;
  connection->paused = FALSE;
  if (connection->request != NULL)
    quince_caller_request_set_paused (connection->request, FALSE);
}

static void
end_streamed_answer (gboolean complete, gpointer data)
{
  QuinceCallerConnection *connection = data;
  static const char last_chunk[] = "0\r\n\r\n";
  connection->request = NULL;
  connection->paused = FALSE;
  connection->answering = FALSE;
  connection->idle_since_us = quince_now_us ();
  connection->context->in_progress--;
  if (!complete)
    {
      /* Without the last chunk the caller's HTTP library reports a truncated answer. */
      quince_http_connection_finish (connection->http);
      quince_caller_connection_free (connection);
      return;
    }
  if (!connection->head_only)
    quince_http_connection_write (connection->http, last_chunk, sizeof last_chunk - 1);
  if (connection->keep_alive)
    {
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  quince_caller_connection_free (connection);
}

const QuinceCallerSink quince_caller_connection_sink = { .answer = write_complete_answer,
                                                         .begin = write_answer_head,
                                                         .data = write_answer_chunk,
                                                         .end = end_streamed_answer };
