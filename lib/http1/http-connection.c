/*
 * http-connection.c: one HTTP/1.1 connection, either side: how it is made, and what it is doing.
 *
 * Reading is in http-connection-input.c, writing in http-connection-output.c.
 */
#include "http-connection-private.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include "runtime/address.h"
#include "runtime/clock.h"

/* A peer whose machine acknowledges nothing for so long is taken for lost, ms (TCP_USER_TIMEOUT).  Not
 * measured: as on links between our processes. */
#define SILENCE_MS 3000

/* ---- Set-up ----------------------------------------------------------- */

/* No delay of small writes, and an end to silence. */
static void
prepare_socket (GSocket *socket)
{
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, SILENCE_MS, NULL);
}

static QuinceHttpConnection *
connection_new (gboolean is_client, const QuinceHttpConnectionCallbacks *callbacks, gpointer user_data)
{
  QuinceHttpConnection *connection = g_new0 (QuinceHttpConnection, 1);
  g_ref_count_init (&connection->references);
  connection->callbacks = callbacks;
  connection->user_data = user_data;
  connection->output = g_byte_array_new ();
  connection->early = g_byte_array_new ();
  connection->field = g_string_new (NULL);
  connection->value = g_string_new (NULL);
  connection->is_client = is_client;
  connection->open = TRUE;
  quince_http_connection_init_parser (connection);
  return connection;
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
  prepare_socket (socket);
  quince_http_connection_watch_input (connection);
  return connection;
}

static gboolean
connect_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceHttpConnection *connection = data;
  g_autoptr (GError) error = NULL;
  gboolean up = g_socket_check_connect_result (socket, &error);
  quince_source_clear (&connection->output_source);
  if (!up)
    {
      quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_CONNECT, error->message);
      return G_SOURCE_REMOVE;
    }
  quince_http_connection_ref (connection);
  connection->connecting = FALSE;
  quince_http_connection_watch_input (connection);
  if (connection->output->len > 0)
    {
      quince_http_connection_send_kept (connection);
      if (connection->open && connection->output->len > 0)
        quince_http_connection_watch_output (connection);
    }
  if (connection->open && connection->callbacks->connected != NULL)
    connection->callbacks->connected (connection, connection->user_data);
  quince_http_connection_unref (connection);
  return G_SOURCE_REMOVE;
}

static gboolean
connect_impossible (gpointer data)
{
  quince_http_connection_fail (data, QUINCE_HTTP1_ERROR_CONNECT, "no connection can be made to this address");
  return G_SOURCE_REMOVE;
}

static gboolean
begin_connect (QuinceHttpConnection *connection, const char *address)
{
  g_autoptr (GSocketAddress) target = quince_address_parse (address, NULL);
  if (target == NULL)
    return FALSE;
  connection->socket = g_socket_new (g_socket_address_get_family (target), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, NULL);
  if (connection->socket == NULL)
    return FALSE;
  prepare_socket (connection->socket);
  g_autoptr (GError) error = NULL;
  return g_socket_connect (connection->socket, target, NULL, &error)
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING);
}

QuinceHttpConnection *
quince_http_connection_connect (const char *address,
                                const QuinceHttpConnectionCallbacks *callbacks,
                                gpointer user_data)
{
  QuinceHttpConnection *connection = connection_new (TRUE, callbacks, user_data);
  connection->connecting = TRUE;
  if (begin_connect (connection, address))
    {
      connection->output_source = g_socket_create_source (connection->socket, G_IO_OUT, NULL);
      g_source_set_callback (connection->output_source, G_SOURCE_FUNC (connect_ready), connection, NULL);
    }
  else
    {
      connection->output_source = g_idle_source_new ();
      g_source_set_callback (connection->output_source, connect_impossible, connection, NULL);
    }
  g_source_attach (connection->output_source, g_main_context_get_thread_default ());
  return connection;
}

gboolean
quince_http_connection_is_open (QuinceHttpConnection *connection)
{
  return quince_http_connection_is_alive (connection);
}

gboolean
quince_http_connection_has_surplus (QuinceHttpConnection *connection)
{
  return connection->early->len > 0;
}

gboolean
quince_http_connection_has_output (QuinceHttpConnection *connection)
{
  return connection->output->len > 0;
}

gboolean
quince_http_connection_has_input (const QuinceHttpConnection *connection)
{
  return connection->socket != NULL && g_socket_condition_check (connection->socket, G_IO_IN) != 0;
}

gboolean
quince_http_connection_has_unacknowledged (const QuinceHttpConnection *connection)
{
  int bytes = 0;
  if (connection->output->len > 0)
    return TRUE;
  if (!connection->open || connection->socket == NULL)
    return FALSE;
  return ioctl (g_socket_get_fd (connection->socket), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void
quince_http_connection_discard_at_close (QuinceHttpConnection *connection)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  if (connection->open && connection->socket != NULL)
    setsockopt (g_socket_get_fd (connection->socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

gsize
quince_http_connection_get_output (QuinceHttpConnection *connection)
{
  return connection->output->len;
}

gboolean
quince_http_connection_is_reading (QuinceHttpConnection *connection)
{
  return connection->reading;
}
