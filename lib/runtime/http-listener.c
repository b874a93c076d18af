/*
 * http-listener.c: accepts connections for a libsoup server.
 *
 * KeptConnection is a GTcpConnection whose input goes through a KeptInput,
 * which follows the end of the client's bytes with the last request.  When
 * the client ended in the middle of a request, these bytes make that request
 * malformed: they hold neither a quote nor a brace, so no JSON body that was
 * cut short becomes a valid one.
 */
#include "runtime/http-listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "runtime/link.h"
#include "runtime/clock.h"

#define LISTEN_BACKLOG 4096
/* Connections accepted before other sources of the context get their turn. */
#define ACCEPT_RUN 64
/* Key of the client's GSocket in its address object. */
#define CLIENT_SOCKET "quince-client-socket"

static const char last_request[]
    = "GET " QUINCE_HTTP_LAST_PATH " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";

/* ---- Input that ends with the last request --------------------------------------- */

typedef struct
{
  GFilterInputStream parent;
  const char *rest; /* of the last request; NULL before the client's end */
} KeptInput;

typedef struct
{
  GFilterInputStreamClass parent;
} KeptInputClass;

static void kept_input_pollable_init (GPollableInputStreamInterface *interface);
GType kept_input_get_type (void);
G_DEFINE_TYPE_WITH_CODE (KeptInput,
                         kept_input,
                         G_TYPE_FILTER_INPUT_STREAM,
                         G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_INPUT_STREAM, kept_input_pollable_init))

static GInputStream *
get_base (gpointer stream)
{
  return g_filter_input_stream_get_base_stream (G_FILTER_INPUT_STREAM (stream));
}

/* @got: what the client's socket gave; 0 is its end. */
static gssize
follow_end (KeptInput *input, gpointer buffer, gsize size, gssize got)
{
  if (got != 0 || size == 0)
    return got;
  if (input->rest == NULL)
    input->rest = last_request;
  gsize length = MIN (strlen (input->rest), size);
  memcpy (buffer, input->rest, length);
  input->rest += length;
  return (gssize)length;
}

static gssize
kept_input_read (GInputStream *stream, void *buffer, gsize size, GCancellable *cancellable, GError **error)
{
  KeptInput *input = (KeptInput *)stream;
  gssize got
      = input->rest != NULL ? 0 : g_input_stream_read (get_base (stream), buffer, size, cancellable, error);
  return follow_end (input, buffer, size, got);
}

static gssize
kept_input_read_nonblocking (GPollableInputStream *stream, void *buffer, gsize size, GError **error)
{
  KeptInput *input = (KeptInput *)stream;
  gssize got = 0;
  if (input->rest == NULL)
    got = g_pollable_input_stream_read_nonblocking (G_POLLABLE_INPUT_STREAM (get_base (stream)), buffer, size,
                                                    NULL, error);
  return follow_end (input, buffer, size, got);
}

static gboolean
kept_input_can_poll (GPollableInputStream *stream)
{
  return TRUE;
}

static gboolean
kept_input_is_readable (GPollableInputStream *stream)
{
  return ((KeptInput *)stream)->rest != NULL
         || g_pollable_input_stream_is_readable (G_POLLABLE_INPUT_STREAM (get_base (stream)));
}

/* The client's end keeps its socket readable, so its source serves afterwards too. */
static GSource *
kept_input_create_source (GPollableInputStream *stream, GCancellable *cancellable)
{
  g_autoptr (GSource) base
      = g_pollable_input_stream_create_source (G_POLLABLE_INPUT_STREAM (get_base (stream)), cancellable);
  return g_pollable_source_new_full (stream, base, cancellable);
}

static void
kept_input_pollable_init (GPollableInputStreamInterface *interface)
{
  interface->can_poll = kept_input_can_poll;
  interface->is_readable = kept_input_is_readable;
  interface->create_source = kept_input_create_source;
  interface->read_nonblocking = kept_input_read_nonblocking;
}

static void
kept_input_class_init (KeptInputClass *class)
{
  G_INPUT_STREAM_CLASS (class)->read_fn = kept_input_read;
}

static void
kept_input_init (KeptInput *input)
{
}

/* ---- Connection -------------------------------------------------------------------- */

typedef struct
{
  GTcpConnection parent;
  GInputStream *input; /* owned; made at its first use */
} KeptConnection;

typedef struct
{
  GTcpConnectionClass parent;
} KeptConnectionClass;

GType kept_connection_get_type (void);
G_DEFINE_TYPE (KeptConnection, kept_connection, G_TYPE_TCP_CONNECTION)

static GInputStream *
kept_connection_get_input_stream (GIOStream *stream)
{
  KeptConnection *connection = (KeptConnection *)stream;
  if (connection->input == NULL)
    {
      GInputStream *base = G_IO_STREAM_CLASS (kept_connection_parent_class)->get_input_stream (stream);
      connection->input
          = g_object_new (kept_input_get_type (), "base-stream", base, "close-base-stream", FALSE, NULL);
    }
  return connection->input;
}

static void
kept_connection_finalize (GObject *object)
{
  KeptConnection *connection = (KeptConnection *)object;
  g_clear_object (&connection->input);
  G_OBJECT_CLASS (kept_connection_parent_class)->finalize (object);
}

static void
kept_connection_class_init (KeptConnectionClass *class)
{
  G_IO_STREAM_CLASS (class)->get_input_stream = kept_connection_get_input_stream;
  G_OBJECT_CLASS (class)->finalize = kept_connection_finalize;
}

static void
kept_connection_init (KeptConnection *connection)
{
}

/* ---- Listener ------------------------------------------------------------------------ */

struct _QuinceHttpListener
{
  /* All fields belong to the context that created the listener. */
  QuinceHttpAccepted accepted;
  gpointer user_data; /* not owned */
  GSocket *socket;
  GSource *source;
  char *address;
};

void
quince_http_serve (SoupServer *server, GSocket *socket)
{
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_get_remote_address (socket, NULL);
  if (local == NULL || remote == NULL)
    return; /* It has gone already. */
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  /* The connection keeps this very address object, see quince_http_get_client_socket(). */
  g_object_set_data_full (G_OBJECT (remote), CLIENT_SOCKET, g_object_ref (socket), g_object_unref);
  g_autoptr (GIOStream) stream = g_object_new (kept_connection_get_type (), "socket", socket, NULL);
  soup_server_accept_iostream (server, stream, local, remote, NULL);
}

static gboolean
accept_some (GSocket *listening, GIOCondition condition, gpointer data)
{
  QuinceHttpListener *listener = data;
  for (guint i = 0; i < ACCEPT_RUN; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listening, NULL, NULL);
      if (socket == NULL)
        break;
      listener->accepted (socket, listener->user_data);
    }
  return G_SOURCE_CONTINUE;
}

static GSocket *
listen_on (const char *address, GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (wanted), G_SOCKET_TYPE_STREAM,
                                             G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL || !g_socket_bind (socket, wanted, TRUE, error))
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  return g_socket_listen (socket, error) ? g_steal_pointer (&socket) : NULL;
}

QuinceHttpListener *
quince_http_listener_new_handing (const char *address,
                                  QuinceHttpAccepted accepted,
                                  gpointer user_data,
                                  GError **error)
{
  g_autoptr (GSocket) socket = listen_on (address, error);
  g_autoptr (GSocketAddress) actual = socket != NULL ? g_socket_get_local_address (socket, error) : NULL;
  if (actual == NULL)
    return NULL;
  QuinceHttpListener *listener = g_new0 (QuinceHttpListener, 1);
  listener->accepted = accepted;
  listener->user_data = user_data;
  listener->socket = g_steal_pointer (&socket);
  listener->address = quince_address_format (actual);
  listener->source = g_socket_create_source (listener->socket, G_IO_IN, NULL);
  g_source_set_callback (listener->source, G_SOURCE_FUNC (accept_some), listener, NULL);
  g_source_attach (listener->source, g_main_context_get_thread_default ());
  return listener;
}

static void
serve_accepted (GSocket *socket, gpointer user_data)
{
  quince_http_serve (user_data, socket);
}

QuinceHttpListener *
quince_http_listener_new (SoupServer *server, const char *address, GError **error)
{
  return quince_http_listener_new_handing (address, serve_accepted, server, error);
}

const char *
quince_http_listener_get_address (const QuinceHttpListener *listener)
{
  return listener->address;
}

GSocket *
quince_http_listener_get_socket (const QuinceHttpListener *listener)
{
  return listener->socket;
}

GSocket *
quince_http_get_client_socket (SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);
  GSocket *socket = remote != NULL ? g_object_get_data (G_OBJECT (remote), CLIENT_SOCKET) : NULL;
  if (socket == NULL)
    socket = soup_server_message_get_socket (message);
  return socket != NULL && !g_socket_is_closed (socket) ? socket : NULL;
}

void
quince_http_listener_free (QuinceHttpListener *listener)
{
  quince_source_clear (&listener->source);
  g_socket_close (listener->socket, NULL);
  g_object_unref (listener->socket);
  g_free (listener->address);
  g_free (listener);
}
