/*
 * http-connection.c: creation, socket events and state of client and server HTTP/1.1 connections.
 */
#include "http-connection-private.h"

#include <sys/socket.h>

#include "runtime/timer.h"
#include "runtime/tcp-socket.h"

static QuinceHttpConnection *
connection_new (gboolean is_client, const QuinceHttpConnectionCallbacks *callbacks, gpointer user_data)
{
  QuinceHttpConnection *connection = g_new0 (QuinceHttpConnection, 1);
  g_ref_count_init (&connection->references);
  connection->callbacks = callbacks;
  connection->user_data = user_data;
  connection->output = quince_output_queue_new ();
  connection->buffered_input = g_byte_array_new ();
  connection->field = g_string_new (NULL);
  connection->value = g_string_new (NULL);
  connection->is_client = is_client;
  connection->open = TRUE;
  quince_http_connection_init_parser (connection);
  return connection;
}

static void
handle_connect_result (QuinceHttpConnection *connection)
{
  g_autoptr (GError) error = NULL;
  if (!g_socket_check_connect_result (connection->socket, &error))
    {
      quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_CONNECT, error->message);
      return;
    }
  connection->connecting = FALSE;
  quince_http_connection_update_watch (connection);
  if (quince_output_queue_get_length (connection->output) > 0)
    {
      quince_http_connection_send_pending_output (connection);
      if (connection->open && quince_output_queue_get_length (connection->output) > 0)
        quince_http_connection_watch_writable (connection);
    }
  if (connection->open && connection->callbacks->connected != NULL)
    connection->callbacks->connected (connection, connection->user_data);
}

/* Reads before writing, because the peer may have sent a response and closed, after which a write fails. */
static void
socket_ready (GIOCondition condition, gpointer data)
{
  QuinceHttpConnection *connection = data;
  quince_http_connection_ref (connection);
  if (connection->connecting)
    handle_connect_result (connection);
  else
    {
      if ((condition & ~G_IO_OUT) != 0)
        quince_http_connection_read (connection);
      if (connection->open && connection->watches_writable && (condition & G_IO_OUT) != 0)
        quince_http_connection_handle_writable (connection);
    }
  quince_http_connection_unref (connection);
}

QuinceHttpConnection *
quince_http_connection_new_server (GSocket *socket,
                                   gsize max_head_bytes,
                                   const QuinceHttpConnectionCallbacks *callbacks,
                                   gpointer user_data)
{
  QuinceHttpConnection *connection = connection_new (FALSE, callbacks, user_data);
  connection->socket = socket;
  connection->max_head_bytes = max_head_bytes;
  quince_tcp_socket_set_options (socket);
  connection->watch = quince_socket_watch_new (socket, G_IO_IN, socket_ready, connection);
  return connection;
}

static gboolean
report_connect_failure (gpointer data)
{
  quince_http_connection_fail (data, QUINCE_HTTP1_ERROR_CONNECT, "cannot connect to this address");
  return G_SOURCE_REMOVE;
}

QuinceHttpConnection *
quince_http_connection_connect (const char *address,
                                const QuinceHttpConnectionCallbacks *callbacks,
                                gpointer user_data)
{
  QuinceHttpConnection *connection = connection_new (TRUE, callbacks, user_data);
  connection->connecting = TRUE;
  connection->socket = quince_tcp_socket_connect (address, NULL);
  if (connection->socket != NULL)
    connection->watch = quince_socket_watch_new (connection->socket, G_IO_OUT, socket_ready, connection);
  else
    connection->connect_failure_timer = quince_timer_add (0, report_connect_failure, connection);
  return connection;
}

gboolean
quince_http_connection_is_open (QuinceHttpConnection *connection)
{
  return quince_http_connection_is_alive (connection);
}

gboolean
quince_http_connection_has_buffered_input (QuinceHttpConnection *connection)
{
  return connection->buffered_input->len > 0 || connection->n_unparsed > 0;
}

gboolean
quince_http_connection_has_pending_output (QuinceHttpConnection *connection)
{
  return quince_output_queue_get_length (connection->output) > 0;
}

void
quince_http_connection_set_reading (QuinceHttpConnection *connection, gboolean reading)
{
  if (connection->reading_paused == !reading)
    return;
  connection->reading_paused = !reading;
  if (connection->open && !connection->connecting)
    quince_http_connection_update_watch (connection);
}

void
quince_http_connection_set_head_only (QuinceHttpConnection *connection, gboolean head_only)
{
  connection->head_only = head_only;
}

gboolean
quince_http_connection_is_readable (const QuinceHttpConnection *connection)
{
  return connection->socket != NULL && g_socket_condition_check (connection->socket, G_IO_IN) != 0;
}

gboolean
quince_http_connection_has_connect_result (const QuinceHttpConnection *connection)
{
  return connection->connecting && connection->socket != NULL
         && g_socket_condition_check (connection->socket, G_IO_OUT) != 0;
}

gboolean
quince_http_connection_has_unacknowledged_data (const QuinceHttpConnection *connection)
{
  if (quince_output_queue_get_length (connection->output) > 0)
    return TRUE;
  return connection->open && connection->socket != NULL
         && quince_tcp_socket_get_unacknowledged_bytes (connection->socket) > 0;
}

void
quince_http_connection_reset_on_close (QuinceHttpConnection *connection)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  if (connection->open && connection->socket != NULL)
    setsockopt (g_socket_get_fd (connection->socket), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

gsize
quince_http_connection_get_pending_output_bytes (QuinceHttpConnection *connection)
{
  return quince_output_queue_get_length (connection->output);
}

gboolean
quince_http_connection_is_reading (QuinceHttpConnection *connection)
{
  return connection->reading;
}
