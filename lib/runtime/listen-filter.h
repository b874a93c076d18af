/*
 * listen-filter.h: stops new connections to a listening socket before it is closed.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/**
 * quince_listen_filter_ignore_new_connections:
 * @socket: a listening TCP socket
 *
 * Attaches a packet filter that drops SYN packets.  Closing a listening socket resets the connections in its
 * accept queue, and their clients cannot tell whether a request ran.  With the filter the queue can be
 * drained before the socket is closed, while the clients' kernels retransmit the dropped SYN packets.
 *
 * Returns: %FALSE if the kernel rejects the filter
 */
gboolean quince_listen_filter_ignore_new_connections (GSocket *socket);

G_END_DECLS
