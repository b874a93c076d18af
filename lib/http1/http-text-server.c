/*
 * http-text-server.c: one text at one path.
 */
#include "http1/text-server.h"

#include <string.h>

#include "runtime/acceptor.h"

/* Largest head of a request, bytes.  Not measured: far above that of a metrics reader. */
#define HEAD_MAX_BYTES 8192
/* Connections at once; more are closed.  Not measured: readers of metrics are few, and the bound keeps others
 * from taking the process's descriptors. */
#define CONNECTIONS_MAX 32

struct _QuinceTextServer
{
  /* All fields belong to the context that created the server. */
  QuinceAcceptor *acceptor;
  char *path;
  char *(*produce_text) (void);
  GHashTable *connections; /* Reader, owned */
};

typedef struct
{
  QuinceTextServer *server;
  QuinceHttpConnection *http;
  QuinceHttpHead *head;
} Reader;

static void
reader_free (gpointer data)
{
  Reader *reader = data;
  quince_http_connection_unref (reader->http);
  quince_http_head_free (reader->head);
  g_free (reader);
}

static void
reader_head (QuinceHttpConnection *http, QuinceHttpHead *head, gpointer data)
{
  Reader *reader = data;
  quince_http_head_free (reader->head);
  reader->head = head;
}

static void
reader_complete (QuinceHttpConnection *http, gpointer data)
{
  Reader *reader = data;
  gboolean known = g_str_equal (reader->head->target, reader->server->path);
  g_autofree char *text = known ? reader->server->produce_text () : g_strdup ("");
  g_autofree char *answer
      = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Type: text/plain; version=0.0.4\r\n"
                         "Connection: close\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                         known ? "200 OK" : "404 Not Found", strlen (text), text);
  quince_http_connection_write (http, answer, strlen (answer));
  quince_http_connection_finish (http);
  g_hash_table_remove (reader->server->connections, reader);
}

static void
reader_closed (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  Reader *reader = data;
  g_hash_table_remove (reader->server->connections, reader);
}

static const QuinceHttpConnectionCallbacks reader_callbacks
    = { .head = reader_head, .complete = reader_complete, .closed = reader_closed };

static void
accepted (GSocket *socket, gpointer data)
{
  QuinceTextServer *server = data;
  if (g_hash_table_size (server->connections) >= CONNECTIONS_MAX)
    {
      g_object_unref (socket);
      return;
    }
  Reader *reader = g_new0 (Reader, 1);
  reader->server = server;
  reader->http = quince_http_connection_new_server (socket, HEAD_MAX_BYTES, &reader_callbacks, reader);
  g_hash_table_add (server->connections, reader);
}

QuinceTextServer *
quince_text_server_new (const char *address, const char *path, char *(*produce_text) (void), GError **error)
{
  QuinceTextServer *server = g_new0 (QuinceTextServer, 1);
  server->acceptor = quince_acceptor_new (address, accepted, server, error);
  if (server->acceptor == NULL)
    {
      g_free (server);
      return NULL;
    }
  server->path = g_strdup (path);
  server->produce_text = produce_text;
  server->connections = g_hash_table_new_full (NULL, NULL, reader_free, NULL);
  return server;
}

void
quince_text_server_free (QuinceTextServer *server)
{
  if (server == NULL)
    return;
  quince_acceptor_free (server->acceptor);
  g_hash_table_unref (server->connections);
  g_free (server->path);
  g_free (server);
}
