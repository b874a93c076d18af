/*
 * tcp-socket.h: TCP sockets as all connections of the product have them: not blocking, without delay of small
 * writes, and with an end to a peer's silence.  Keeps no state; relies on address.h and GIO.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Sets the options above on a connected or connecting socket. */
void quince_tcp_socket_set_options (GSocket *socket);

/**
 * quince_tcp_socket_connect:
 * @address: numeric ip:port
 * @error: G_IO_ERROR: not such an address, or the system refuses at once
 *
 * Returns: (transfer full): a prepared socket that connects; once it is writable
 * g_socket_check_connect_result() tells how that ended
 */
GSocket *quince_tcp_socket_connect (const char *address, GError **error);

/* Bytes that were handed to the kernel and that the peer's machine has not acknowledged; 0 where the system
 * does not tell. */
gsize quince_tcp_socket_get_unacknowledged_bytes (GSocket *socket);

G_END_DECLS
