/*
 * http-text-server.c: HTTP server that serves a generated text at one path.
 */
#include "http1/text-server.h"

#include <string.h>

#include "runtime/acceptor.h"

/* Maximum size of a request line with its headers.  Far above the head that a metrics reader sends. */
#define REQUEST_HEAD_MAX_BYTES 8192
/* Further connections are closed, so that clients cannot use up the process's file descriptors. */
#define CLIENTS_MAX 32

struct _QuinceTextServer
{
  QuinceAcceptor *acceptor;
  char *path;
  char *(*produce_text) (void);
  GHashTable *clients; /* set of Client, owned */
};

typedef struct
{
  QuinceTextServer *server;
  QuinceHttpConnection *connection;
  QuinceHttpHead *head;
} Client;

static void
client_free (gpointer data)
{
  Client *client = data;
  quince_http_connection_unref (client->connection);
  quince_http_head_free (client->head);
  g_free (client);
}

static void
client_head (QuinceHttpConnection *connection, QuinceHttpHead *head, gpointer data)
{
  Client *client = data;
  quince_http_head_free (client->head);
  client->head = head;
}

static void
client_complete (QuinceHttpConnection *connection, gpointer data)
{
  Client *client = data;
  gboolean path_matches = g_str_equal (client->head->target, client->server->path);
  gboolean head_only = g_str_equal (client->head->method, "HEAD");
  g_autofree char *text = path_matches ? client->server->produce_text () : g_strdup ("");
  g_autofree char *response
      = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Type: text/plain; version=0.0.4\r\n"
                         "Connection: close\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                         path_matches ? "200 OK" : "404 Not Found", strlen (text), head_only ? "" : text);
  quince_http_connection_write (connection, response, strlen (response));
  quince_http_connection_finish (connection);
  g_hash_table_remove (client->server->clients, client);
}

static void
client_closed (QuinceHttpConnection *connection, const GError *error, gpointer data)
{
  Client *client = data;
  g_hash_table_remove (client->server->clients, client);
}

static const QuinceHttpConnectionCallbacks client_callbacks
    = { .head = client_head, .complete = client_complete, .closed = client_closed };

static void
accept_client (GSocket *socket, gpointer data)
{
  QuinceTextServer *server = data;
  if (g_hash_table_size (server->clients) >= CLIENTS_MAX)
    {
      g_object_unref (socket);
      return;
    }
  Client *client = g_new0 (Client, 1);
  client->server = server;
  client->connection
      = quince_http_connection_new_server (socket, REQUEST_HEAD_MAX_BYTES, &client_callbacks, client);
  g_hash_table_add (server->clients, client);
}

QuinceTextServer *
quince_text_server_new (const char *address, const char *path, char *(*produce_text) (void), GError **error)
{
  QuinceTextServer *server = g_new0 (QuinceTextServer, 1);
  server->acceptor = quince_acceptor_new (address, accept_client, server, error);
  if (server->acceptor == NULL)
    {
      g_free (server);
      return NULL;
    }
  server->path = g_strdup (path);
  server->produce_text = produce_text;
  server->clients = g_hash_table_new_full (NULL, NULL, client_free, NULL);
  return server;
}

void
quince_text_server_free (QuinceTextServer *server)
{
  if (server == NULL)
    return;
  quince_acceptor_free (server->acceptor);
  g_hash_table_unref (server->clients);
  g_free (server->path);
  g_free (server);
}
