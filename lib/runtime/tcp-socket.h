/*
 * tcp-socket.h: TCP sockets with the options that all connections use: non-blocking, without Nagle's
 * algorithm, and with a timeout for unacknowledged data.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Sets the common options on @socket, before or after it is connected. */
void quince_tcp_socket_set_options (GSocket *socket);

/**
 * quince_tcp_socket_connect:
 * @address: numeric ip:port
 * @error: (out): G_IO_ERROR_INVALID_ARGUMENT if @address is malformed, or another G_IO_ERROR if the
 * connection fails immediately
 *
 * Starts to connect without blocking.
 *
 * Returns: (transfer full) (nullable): the connecting socket, or %NULL on error.  Once it is writable,
 * g_socket_check_connect_result() returns the result
 */
GSocket *quince_tcp_socket_connect (const char *address, GError **error);

/* Returns the number of bytes in the kernel's send queue, sent or not, that the peer's kernel has not
 * acknowledged; 0 if it is not available. */
gsize quince_tcp_socket_get_unacknowledged_bytes (GSocket *socket);

G_END_DECLS
