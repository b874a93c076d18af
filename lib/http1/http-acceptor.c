/*
 * http-acceptor.c: a listening socket that passes accepted sockets to its owner.
 */
#include "http1/http1.h"

#include "runtime/address.h"
#include "runtime/listen-filter.h"
#include "runtime/log.h"
#include "runtime/clock.h"

/* Connections that wait to be accepted.  Not measured: a burst of callers between two turns of the main loop.
 */
#define BACKLOG 512
/* Connections accepted in one turn of the main loop, so that those that exist are served in between. */
#define ACCEPT_MAX 16

struct _QuinceHttpAcceptor
{
  /* All fields belong to the context that created the acceptor. */
  GSocket *socket;
  GSource *source;
  char *address;
  void (*accepted) (GSocket *socket, gpointer user_data);
  gpointer user_data;
};

static gboolean
accept_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceHttpAcceptor *acceptor = data;
  for (guint i = 0; i < ACCEPT_MAX; i++)
    {
      GSocket *accepted = g_socket_accept (socket, NULL, NULL);
      if (accepted == NULL)
        break;
      acceptor->accepted (accepted, acceptor->user_data);
    }
  return G_SOURCE_CONTINUE;
}

QuinceHttpAcceptor *
quince_http_acceptor_new (const char *address,
                          void (*accepted) (GSocket *socket, gpointer user_data),
                          gpointer user_data,
                          GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (wanted), G_SOCKET_TYPE_STREAM,
                                             G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, BACKLOG);
  if (!g_socket_bind (socket, wanted, TRUE, error) || !g_socket_listen (socket, error))
    return NULL;
  g_autoptr (GSocketAddress) actual = g_socket_get_local_address (socket, error);
  if (actual == NULL)
    return NULL;
  QuinceHttpAcceptor *acceptor = g_new0 (QuinceHttpAcceptor, 1);
  acceptor->address = quince_address_format (actual);
  acceptor->accepted = accepted;
  acceptor->user_data = user_data;
  acceptor->source = g_socket_create_source (socket, G_IO_IN, NULL);
  acceptor->socket = g_steal_pointer (&socket);
  g_source_set_callback (acceptor->source, G_SOURCE_FUNC (accept_ready), acceptor, NULL);
  g_source_attach (acceptor->source, g_main_context_get_thread_default ());
  return acceptor;
}

const char *
quince_http_acceptor_get_address (QuinceHttpAcceptor *acceptor)
{
  return acceptor->address;
}

void
quince_http_acceptor_ignore_new (QuinceHttpAcceptor *acceptor)
{
  if (!quince_listen_filter_ignore_new (acceptor->socket))
    quince_log_warning ("connections_not_ignored", "address=%s", acceptor->address);
}

void
quince_http_acceptor_free (QuinceHttpAcceptor *acceptor)
{
  if (acceptor == NULL)
    return;
  quince_source_clear (&acceptor->source);
  g_socket_close (acceptor->socket, NULL);
  g_clear_object (&acceptor->socket);
  g_free (acceptor->address);
  g_free (acceptor);
}
