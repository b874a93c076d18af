/*
 * link-server.c: accepts connections and makes links of them.
 */
#include "link-private.h"
#include "runtime/acceptor.h"

struct _QuinceLinkServer
{
  QuinceAcceptor *acceptor;
  const QuinceLinkCallbacks *callbacks;
  void (*accepted) (QuinceLink *link, gpointer user_data);
  gpointer user_data;
};

static void
socket_accepted (GSocket *socket, gpointer data)
{
  QuinceLinkServer *server = data;
  server->accepted (quince_link_new_accepted (socket, server->callbacks, server->user_data),
                    server->user_data);
}

QuinceLinkServer *
quince_link_server_new (const char *address,
                        const QuinceLinkCallbacks *callbacks,
                        void (*accepted) (QuinceLink *link, gpointer user_data),
                        gpointer user_data,
                        GError **error)
{
  g_autofree QuinceLinkServer *server = g_new0 (QuinceLinkServer, 1);
  server->acceptor = quince_acceptor_new (address, socket_accepted, server, error);
  if (server->acceptor == NULL)
    return NULL;
  server->callbacks = callbacks;
  server->accepted = accepted;
  server->user_data = user_data;
  return g_steal_pointer (&server);
}

const char *
quince_link_server_get_address (QuinceLinkServer *server)
{
  return quince_acceptor_get_address (server->acceptor);
}

void
quince_link_server_free (QuinceLinkServer *server)
{
  quince_acceptor_free (server->acceptor);
  g_free (server);
}
