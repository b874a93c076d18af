/*
 * acceptor.h: a listening TCP socket that passes accepted sockets to its owner.
 *
 * Belongs to the thread-default context that created it; all calls and callbacks happen there.  Relies on
 * socket-watch.h and listen-filter.h.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceAcceptor QuinceAcceptor;

/**
 * quince_acceptor_new:
 * @address: numeric ip:port to listen on; port 0 lets the kernel choose
 * @accepted: (transfer full): gets each new connection
 * @error: G_IO_ERROR: not such an address, or the system does not let it listen there
 */
QuinceAcceptor *quince_acceptor_new (const char *address,
                                     void (*accepted) (GSocket *socket, gpointer user_data),
                                     gpointer user_data,
                                     GError **error);
/* The address really listened on, ip:port. */
const char *quince_acceptor_get_address (QuinceAcceptor *acceptor);
/* No further connections are made; those made before are still accepted.  See listen-filter.h. */
void quince_acceptor_ignore_new_connections (QuinceAcceptor *acceptor);
void quince_acceptor_free (QuinceAcceptor *acceptor);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAcceptor, quince_acceptor_free)

G_END_DECLS
