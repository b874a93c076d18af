/*
 * acceptor.c: listening TCP socket; see acceptor.h.
 */
#include "runtime/acceptor.h"

#include "runtime/address.h"
#include "runtime/listen-filter.h"
#include "runtime/log.h"
#include "runtime/socket-watch.h"
#include "runtime/timer.h"

#include <sys/socket.h>

/* Maximum length of the kernel's accept queue.  All 300 machines of the largest deployment may
 * connect to a new leader at the same time. */
#define LISTEN_BACKLOG 1024
/* Maximum number of connections accepted in one main loop iteration, so that a burst of new connections does
 * not delay the existing ones. */
#define ACCEPTS_PER_TURN_MAX 16

/* Time after which connections are accepted again when that failed, as for want of a descriptor, ms. */
#define ACCEPT_RETRY_MS 100

struct _QuinceAcceptor
{
  GSocket *socket;
  QuinceSocketWatch *watch;
  QuinceTimer *retry_timer; /* accepts again after a failure; NULL: none */
  char *address;
  void (*accepted) (GSocket *socket, gpointer user_data);
  gpointer user_data;
};

static gboolean
accept_again (gpointer data)
{
  QuinceAcceptor *acceptor = data;
  quince_timer_clear (&acceptor->retry_timer);
  quince_socket_watch_set_condition (acceptor->watch, G_IO_IN);
  return G_SOURCE_REMOVE;
}

/* Waits: the connection stays in the kernel's queue, and the socket would be ready again at once. */
static void
handle_accept_failure (QuinceAcceptor *acceptor, const GError *error)
{
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  quince_log_warning ("connection_not_accepted", "address=%s error=\"%s\"", acceptor->address,
                      error->message);
  quince_socket_watch_set_condition (acceptor->watch, 0);
  acceptor->retry_timer = quince_timer_add (ACCEPT_RETRY_MS, accept_again, acceptor);
}

static void
accept_connections (GIOCondition condition, gpointer data)
{
  QuinceAcceptor *acceptor = data;
  for (guint i = 0; i < ACCEPTS_PER_TURN_MAX; i++)
    {
      g_autoptr (GError) error = NULL;
      GSocket *connection = g_socket_accept (acceptor->socket, NULL, &error);
      if (connection == NULL)
        {
          handle_accept_failure (acceptor, error);
          break;
        }
      acceptor->accepted (connection, acceptor->user_data);
    }
}

QuinceAcceptor *
quince_acceptor_new (const char *address,
                     void (*accepted) (GSocket *socket, gpointer user_data),
                     gpointer user_data,
                     GError **error)
{
  g_autoptr (GSocketAddress) listen_address = quince_address_parse (address, error);
  if (listen_address == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (listen_address),
                                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (!g_socket_bind (socket, listen_address, TRUE, error) || !g_socket_listen (socket, error))
    return NULL;
  g_autoptr (GSocketAddress) local_address = g_socket_get_local_address (socket, error);
  if (local_address == NULL)
    return NULL;
  QuinceAcceptor *acceptor = g_new0 (QuinceAcceptor, 1);
  acceptor->address = quince_address_format (local_address);
  acceptor->accepted = accepted;
  acceptor->user_data = user_data;
  acceptor->watch = quince_socket_watch_new (socket, G_IO_IN, accept_connections, acceptor);
  acceptor->socket = g_steal_pointer (&socket);
  return acceptor;
}

const char *
quince_acceptor_get_address (QuinceAcceptor *acceptor)
{
  return acceptor->address;
}

void
quince_acceptor_ignore_new_connections (QuinceAcceptor *acceptor)
{
  if (!quince_listen_filter_ignore_new_connections (acceptor->socket))
    quince_log_warning ("connections_not_ignored", "address=%s", acceptor->address);
}

void
quince_acceptor_set_receive_buffer (QuinceAcceptor *acceptor, guint bytes)
{
  g_autoptr (GError) error = NULL;
  if (!g_socket_set_option (acceptor->socket, SOL_SOCKET, SO_RCVBUF, (gint)bytes, &error))
    quince_log_warning ("connection_not_accepted", "address=%s error=\"%s\"", acceptor->address,
                        error->message);
}

void
quince_acceptor_free (QuinceAcceptor *acceptor)
{
  if (acceptor == NULL)
    return;
  quince_timer_clear (&acceptor->retry_timer);
  quince_socket_watch_clear (&acceptor->watch);
  g_socket_close (acceptor->socket, NULL);
  g_clear_object (&acceptor->socket);
  g_free (acceptor->address);
  g_free (acceptor);
}
