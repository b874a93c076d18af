/*
 * tcp-socket.c: options and connection of TCP sockets; see tcp-socket.h.
 */
#include "runtime/tcp-socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include "runtime/address.h"

/* Time that sent data may stay unacknowledged before the kernel closes the connection, in milliseconds. */
#define USER_TIMEOUT_MS 3000

void
quince_tcp_socket_set_options (GSocket *socket)
{
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS, NULL);
}

GSocket *
quince_tcp_socket_connect (const char *address, GError **error)
{
  g_autoptr (GSocketAddress) target = quince_address_parse (address, error);
  if (target == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (target), G_SOCKET_TYPE_STREAM,
                                             G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  quince_tcp_socket_set_options (socket);
  g_autoptr (GError) connect_error = NULL;
  if (g_socket_connect (socket, target, NULL, &connect_error)
      || g_error_matches (connect_error, G_IO_ERROR, G_IO_ERROR_PENDING))
    return g_steal_pointer (&socket);
  g_propagate_error (error, g_steal_pointer (&connect_error));
  return NULL;
}

gsize
quince_tcp_socket_get_unacknowledged_bytes (GSocket *socket)
{
  int bytes = 0;
  if (ioctl (g_socket_get_fd (socket), SIOCOUTQ, &bytes) != 0)
    return 0;
  return (gsize)MAX (bytes, 0);
}
