/*
 * http-connection-state.c: references, closing and failures of an HTTP/1.1 connection.
 */
#include "http-connection-private.h"

#include "runtime/timer.h"

QuinceHttpConnection *
quince_http_connection_ref (QuinceHttpConnection *connection)
{
  g_ref_count_inc (&connection->references);
  return connection;
}

void
quince_http_connection_unref (QuinceHttpConnection *connection)
{
  if (!g_ref_count_dec (&connection->references))
    return;
  quince_http_connection_close (connection);
  g_clear_object (&connection->socket);
  quince_output_queue_free (connection->output);
  g_byte_array_unref (connection->buffered_input);
  quince_http_head_free (connection->head);
  g_string_free (connection->field, TRUE);
  g_string_free (connection->value, TRUE);
  g_free (connection);
}

void
quince_http_connection_close (QuinceHttpConnection *connection)
{
  if (!connection->open)
    return;
  connection->open = FALSE;
  quince_output_queue_clear (connection->output);
  quince_socket_watch_clear (&connection->watch);
  quince_timer_clear (&connection->connect_failure_timer);
  quince_timer_clear (&connection->finish_timer);
  quince_timer_clear (&connection->parse_timer);
  if (connection->socket != NULL)
    g_socket_close (connection->socket, NULL);
}

void
quince_http_connection_close_and_notify (QuinceHttpConnection *connection, const GError *error)
{
  if (!connection->open)
    return;
  gboolean was_finishing = connection->finishing;
  quince_http_connection_ref (connection);
  quince_http_connection_close (connection);
  if (!was_finishing && connection->callbacks->closed != NULL)
    connection->callbacks->closed (connection, error, connection->user_data);
  if (was_finishing)
    quince_http_connection_unref (connection); /* the reference held since finish() */
  quince_http_connection_unref (connection);
}

void
quince_http_connection_fail (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, code, text);
  quince_http_connection_close_and_notify (connection, error);
}

gboolean
quince_http_connection_is_alive (const QuinceHttpConnection *connection)
{
  return connection->open && !connection->finishing;
}
