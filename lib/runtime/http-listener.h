/*
 * http-listener.h: accepts connections for a libsoup server that many callers use.
 *
 * libsoup 3.2's server keeps some memory of each connection that its own
 * listener has accepted, and the whole of one whose client closes it between
 * two requests.  This listener accepts connections itself, which libsoup then
 * closes after one answer (quince_http_server_new() tells the client so), and
 * at a client's end it has libsoup read one last request that asks for the
 * close, after which libsoup releases everything.
 */
#pragma once

#include <libsoup/soup.h>

G_BEGIN_DECLS

/* Path of that last request; handlers answer it as any unknown path. */
#define QUINCE_HTTP_LAST_PATH "/-/connection-closed"

typedef struct _QuinceHttpListener QuinceHttpListener;

/**
 * quince_http_listener_new:
 * @server: made with quince_http_server_new(); must outlive the listener
 * @address: numeric ip:port; port 0 lets the kernel choose
 */
QuinceHttpListener *quince_http_listener_new (SoupServer *server, const char *address, GError **error);
/* @socket: (transfer none): a new connection; any task may serve it. */
typedef void (*QuinceHttpAccepted) (GSocket *socket, gpointer user_data);
/* For connections that other tasks serve: each goes to @accepted, on the creator's context. */
QuinceHttpListener *quince_http_listener_new_handing (const char *address,
                                                      QuinceHttpAccepted accepted,
                                                      gpointer user_data,
                                                      GError **error);
/* Has @server serve a connection that was accepted, on the calling thread's default context. */
void quince_http_serve (SoupServer *server, GSocket *socket);
/* The address really listened on, ip:port. */
const char *quince_http_listener_get_address (const QuinceHttpListener *listener);
/* The socket that listens. (transfer none) */
GSocket *quince_http_listener_get_socket (const QuinceHttpListener *listener);
/* The client's socket, since soup_server_message_get_socket() does not know that of a
 * listener's connection. (transfer none) (nullable): %NULL once the connection is closed */
GSocket *quince_http_get_client_socket (SoupServerMessage *message);
/* Stops listening; connections go on. */
void quince_http_listener_free (QuinceHttpListener *listener);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpListener, quince_http_listener_free)

G_END_DECLS
