/*
 * http-connection-output.c: writing to an HTTP/1.1 connection and closing it gracefully.
 *
 * Output is sent immediately.  Only what the kernel does not accept is buffered.
 */
#include "http-connection-private.h"

#include "runtime/timer.h"

/* Longer than a round trip between regions, so that the peer can read the last response before a reset. */
#define FINISH_TIMEOUT_MS 2000

static void
handle_output_sent (QuinceHttpConnection *connection)
{
  if (connection->finishing)
    g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
  else if (connection->callbacks->drained != NULL)
    connection->callbacks->drained (connection, connection->user_data);
}

gssize
quince_http_connection_send_pending_output (QuinceHttpConnection *connection)
{
  g_autoptr (GError) error = NULL;
  gssize sent = quince_output_queue_send (connection->output, connection->socket, &error);
  if (sent < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return 0;
  if (sent < 0)
    quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_RESET, error->message);
  return sent;
}

void
quince_http_connection_update_watch (QuinceHttpConnection *connection)
{
  GIOCondition input = connection->reading_paused ? 0 : G_IO_IN;
  GIOCondition output = connection->watches_writable ? G_IO_OUT : 0;
  quince_socket_watch_set_condition (connection->watch, input | output);
}

static void
set_watch_writable (QuinceHttpConnection *connection, gboolean enabled)
{
  connection->watches_writable = enabled;
  quince_http_connection_update_watch (connection);
}

void
quince_http_connection_handle_writable (QuinceHttpConnection *connection)
{
  quince_http_connection_ref (connection);
  quince_http_connection_send_pending_output (connection);
  if (connection->open && quince_output_queue_get_length (connection->output) == 0)
    {
      set_watch_writable (connection, FALSE);
      handle_output_sent (connection);
    }
  quince_http_connection_unref (connection);
}

void
quince_http_connection_watch_writable (QuinceHttpConnection *connection)
{
  if (!connection->watches_writable && !connection->connecting)
    set_watch_writable (connection, TRUE);
}

/* Sends @data unless output is waiting.  Ignores send errors, which the main loop reports later, so that no
 * callback runs inside a write.  Returns the number of bytes accepted. */
static gsize
send_immediately (QuinceHttpConnection *connection, const char *data, gsize length)
{
  if (connection->connecting || length == 0 || quince_output_queue_get_length (connection->output) > 0)
    return 0;
  gssize sent = g_socket_send (connection->socket, data, length, NULL, NULL);
  return (gsize)MAX (sent, 0);
}

void
quince_http_connection_write (QuinceHttpConnection *connection, const char *data, gsize length)
{
  if (!connection->open || connection->finishing)
    return;
  gsize sent = send_immediately (connection, data, length);
  if (sent == length)
    return;
  quince_output_queue_append (connection->output, data + sent, length - sent);
  quince_http_connection_watch_writable (connection);
}

void
quince_http_connection_write_bytes (QuinceHttpConnection *connection, GBytes *bytes)
{
  if (!connection->open || connection->finishing)
    return;
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  gsize sent = send_immediately (connection, data, length);
  if (sent == length)
    return;
  quince_output_queue_append_bytes (connection->output, bytes, sent);
  quince_http_connection_watch_writable (connection);
}

static gboolean
finish_timed_out (gpointer data)
{
  quince_http_connection_close_and_notify (data, NULL);
  return G_SOURCE_REMOVE;
}

void
quince_http_connection_finish (QuinceHttpConnection *connection)
{
  if (!connection->open || connection->finishing)
    return;
  connection->finishing = TRUE;
  quince_http_connection_ref (connection);
  connection->finish_timer = quince_timer_add (FINISH_TIMEOUT_MS, finish_timed_out, connection);
  if (quince_output_queue_get_length (connection->output) == 0)
    handle_output_sent (connection);
}
