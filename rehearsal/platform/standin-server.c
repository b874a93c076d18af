/*
 * standin-server.c: HTTP server whose responses a test writes byte by byte.
 */
#include "standin-server.h"

#include <string.h>
#include <sys/socket.h>

#include "runtime/acceptor.h"

typedef struct
{
  StandinServer *server;
  QuinceHttpConnection *http;
  GSocket *socket;
  QuinceHttpHead *head;
  GByteArray *body;
  StandinCall *call; /* the request in progress; NULL: none */
} Connection;

struct _StandinServer
{
  QuinceAcceptor *acceptor; /* NULL while the server is crashed */
  GSocket *reserved_socket; /* reserves the port of a crashed server; NULL while it runs */
  char *address;
  GHashTable *connections;
  void (*handler) (StandinCall *, gpointer);
  gpointer user_data;
};

static void
call_free (StandinCall *call)
{
  quince_http_head_free (call->head);
  g_byte_array_unref (call->body);
  g_free (call);
}

static void
connection_free (Connection *connection)
{
  if (connection->call != NULL)
    connection->call->disconnected = TRUE;
  g_hash_table_remove (connection->server->connections, connection);
  quince_http_connection_close (connection->http);
  quince_http_connection_unref (connection->http);
  g_object_unref (connection->socket);
  quince_http_head_free (connection->head);
  g_clear_pointer (&connection->body, g_byte_array_unref);
  g_free (connection);
}

static void
http_head (QuinceHttpConnection *http, QuinceHttpHead *head, gpointer data)
{
  Connection *connection = data;
  connection->head = head;
  connection->body = g_byte_array_new ();
}

static void
http_body (QuinceHttpConnection *http, const char *data, gsize length, gpointer user_data)
{
  Connection *connection = user_data;
  g_byte_array_append (connection->body, (const guint8 *)data, (guint)length);
}

static void
http_complete (QuinceHttpConnection *http, gpointer data)
{
  Connection *connection = data;
  StandinCall *call = g_new0 (StandinCall, 1);
  call->server = connection->server;
  call->connection = http;
  call->head = g_steal_pointer (&connection->head);
  call->body = g_steal_pointer (&connection->body);
  connection->call = call;
  connection->server->handler (call, connection->server->user_data);
}

static void
http_closed (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  connection_free (data);
}

static const QuinceHttpConnectionCallbacks http_callbacks
    = { .head = http_head, .body = http_body, .complete = http_complete, .closed = http_closed };

static void
handle_accepted (GSocket *socket, gpointer data)
{
  StandinServer *server = data;
  Connection *connection = g_new0 (Connection, 1);
  connection->server = server;
  connection->socket = g_object_ref (socket);
  connection->http = quince_http_connection_new_server (socket, 0, &http_callbacks, connection);
  g_hash_table_add (server->connections, connection);
}

StandinServer *
standin_server_new (void (*handler) (StandinCall *, gpointer), gpointer user_data)
{
  StandinServer *server = g_new0 (StandinServer, 1);
  server->connections = g_hash_table_new (NULL, NULL);
  server->handler = handler;
  server->user_data = user_data;
  server->acceptor = quince_acceptor_new ("127.0.0.1:0", handle_accepted, server, NULL);
  g_assert_nonnull (server->acceptor);
  server->address = g_strdup (quince_acceptor_get_address (server->acceptor));
  return server;
}

void
standin_server_close_connections (StandinServer *server)
{
  g_autoptr (GPtrArray) open_connections = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    g_ptr_array_add (open_connections, connection);
  for (guint i = 0; i < open_connections->len; i++)
    connection_free (open_connections->pdata[i]);
}

/* Closing @connection sends a TCP reset from now on. */
static void
enable_reset_on_close (const Connection *connection)
{
  const struct linger reset_linger = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (g_socket_get_fd (connection->socket), SOL_SOCKET, SO_LINGER, &reset_linger,
              sizeof reset_linger);
}

GSocket *
standin_reserve_port (const char *address)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  g_autoptr (GSocketAddress) local
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GError) error = NULL;
  if (!g_socket_bind (socket, local, TRUE, &error))
    g_error ("cannot bind %s: %s", address, error->message);
  return socket;
}

void
standin_server_crash (StandinServer *server)
{
  g_clear_pointer (&server->acceptor, quince_acceptor_free);
  if (server->reserved_socket == NULL)
    server->reserved_socket = standin_reserve_port (server->address);
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    enable_reset_on_close (connection);
  standin_server_close_connections (server);
}

void
standin_server_restart (StandinServer *server)
{
  if (server->acceptor != NULL)
    return;
  g_socket_close (server->reserved_socket, NULL);
  g_clear_object (&server->reserved_socket);
  server->acceptor = quince_acceptor_new (server->address, handle_accepted, server, NULL);
  g_assert_nonnull (server->acceptor);
}

void
standin_server_free (StandinServer *server)
{
  g_clear_pointer (&server->acceptor, quince_acceptor_free);
  standin_server_close_connections (server);
  g_hash_table_unref (server->connections);
  g_clear_object (&server->reserved_socket);
  g_free (server->address);
  g_free (server);
}

const char *
standin_server_get_address (const StandinServer *server)
{
  return server->address;
}

guint
standin_server_get_n_connections (const StandinServer *server)
{
  return g_hash_table_size (server->connections);
}

const char *
standin_call_get_header (const StandinCall *call, const char *name)
{
  return quince_http_headers_get (call->head->headers, name);
}

static Connection *
find_connection_of_call (const StandinCall *call)
{
  GHashTableIter iter;
  gpointer value;
  if (call->disconnected)
    return NULL; /* the server may be freed already */
  g_hash_table_iter_init (&iter, call->server->connections);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    if (((Connection *)value)->call == call)
      return value;
  return NULL;
}

void
standin_call_write (StandinCall *call, const char *bytes)
{
  if (!call->disconnected)
    quince_http_connection_write (call->connection, bytes, strlen (bytes));
}

void
standin_call_finish (StandinCall *call)
{
  Connection *connection = find_connection_of_call (call);
  call_free (call);
  if (connection == NULL)
    return;
  connection->call = NULL;
  quince_http_connection_next (connection->http);
}

void
standin_call_answer (StandinCall *call, guint status, const char *headers, const char *body, gssize length)
{
  gsize bytes = length >= 0 ? (gsize)length : strlen (body);
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %u Status\r\n%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n", status, headers, bytes);
  standin_call_write (call, head);
  if (!call->disconnected && !g_str_equal (call->head->method, "HEAD"))
    quince_http_connection_write (call->connection, body, bytes);
  standin_call_finish (call);
}

void
standin_call_close_connection (StandinCall *call)
{
  Connection *connection = find_connection_of_call (call);
  call_free (call);
  if (connection == NULL)
    return;
  connection->call = NULL;
  connection_free (connection);
}

void
standin_call_reset_connection (StandinCall *call)
{
  Connection *connection = find_connection_of_call (call);
  if (connection != NULL)
    enable_reset_on_close (connection);
  standin_call_close_connection (call);
}
