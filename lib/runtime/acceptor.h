/*
 * acceptor.h: listening TCP socket that passes accepted sockets to its owner.
 *
 * An acceptor belongs to the thread-default main context in which it was created; all calls and callbacks
 * happen there.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceAcceptor QuinceAcceptor;

/**
 * quince_acceptor_new:
 * @address: numeric ip:port to listen on; with port 0 the kernel chooses a free port
 * @accepted: called with each accepted connection; takes ownership of @socket
 * @error: (out): G_IO_ERROR_INVALID_ARGUMENT if @address is malformed, or another G_IO_ERROR if the socket
 * cannot be bound
 *
 * Returns: (transfer full) (nullable): the listening acceptor, or %NULL on error
 */
QuinceAcceptor *quince_acceptor_new (const char *address,
                                     void (*accepted) (GSocket *socket, gpointer user_data),
                                     gpointer user_data,
                                     GError **error);
/* Returns the bound address as ip:port, with the port that the kernel chose. */
const char *quince_acceptor_get_address (QuinceAcceptor *acceptor);
/* Stops the establishment of new connections.  Connections that are already established are still accepted;
 * see listen-filter.h.  Logs a warning if the kernel rejects the filter. */
void quince_acceptor_ignore_new_connections (QuinceAcceptor *acceptor);
/* Limits what the kernel keeps for each connection that is accepted from now on before it is read, bytes. */
void quince_acceptor_set_receive_buffer (QuinceAcceptor *acceptor, guint bytes);
/* Closes the listening socket; accepted connections stay open. */
void quince_acceptor_free (QuinceAcceptor *acceptor);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAcceptor, quince_acceptor_free)

G_END_DECLS
