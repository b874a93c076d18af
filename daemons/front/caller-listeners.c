/*
 * caller-listeners.c: the listening addresses of a front and the connections accepted on them.
 */
#include "caller-listeners.h"

#include "runtime/acceptor.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

/* Bytes that the kernel keeps for a connection before they are read: they count as memory of the machine. */
#define RECEIVE_BUFFER_BYTES (128 * 1024)

struct _QuinceCallerListeners
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceAcceptor *acceptors[QUINCE_LISTEN_N_KINDS]; /* owned; NULL: not open */
  GHashTable *connections;                          /* set of QuinceCallerConnection, not owned */
};

static void
connection_closed (QuinceCallerConnection *connection, gpointer data)
{
  QuinceCallerListeners *listeners = data;
  g_hash_table_remove (listeners->connections, connection);
}

/* Returns: (nullable): the connection to close for a new one, by its use and the time since it was active;
 * %NULL if all are in use */
static QuinceCallerConnection *
find_least_used (const QuinceCallerListeners *listeners)
{
  gint64 now_us = quince_now_us ();
  QuinceCallerConnection *found = NULL;
  QuinceConnectionUse found_use = QUINCE_CONNECTION_IN_USE;
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init (&iter, listeners->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    {
      QuinceConnectionUse use = quince_caller_connection_get_use (connection, now_us);
      gboolean is_older = found != NULL && use == found_use
                          && quince_caller_connection_get_active_us (connection)
                                 < quince_caller_connection_get_active_us (found);
      if (use < found_use || is_older)
        {
          found = connection;
          found_use = use;
        }
    }
  return found;
}

/* Returns whether a connection on @socket, which is open already, would be one too many. */
static gboolean
is_full (const QuinceCallerListeners *listeners, GSocket *socket)
{
  const QuinceFrontContext *context = listeners->context;
  return g_hash_table_size (listeners->connections) >= context->connections_max
         || (guint)g_socket_get_fd (socket) >= context->sockets_max;
}

/* Closes an idle connection if there are too many, so that its descriptor serves a later one.
 * Returns: %FALSE if there is no place for the new connection */
static gboolean
make_place (QuinceCallerListeners *listeners, GSocket *socket)
{
  if (!is_full (listeners, socket))
    return TRUE;
  QuinceCallerConnection *idle = find_least_used (listeners);
  const char *cause = idle != NULL ? "idle" : "new";
  g_autofree char *labels = g_strdup_printf ("cause=\"full_%s\"", cause);
  quince_metric_add ("quince_front_connections_closed_total", labels, 1);
  quince_log_warning ("connections_full", "closed=%s open=%u", cause,
                      g_hash_table_size (listeners->connections));
  if (idle != NULL)
    quince_caller_connection_close (idle);
  return idle != NULL;
}

static void
accept_connection (QuinceCallerListeners *listeners, QuinceListenKind kind, GSocket *socket)
{
  if (!make_place (listeners, socket))
    {
      g_object_unref (socket);
      return;
    }
  QuinceCallerConnection *connection
      = quince_caller_connection_new (listeners->context, kind, socket, connection_closed, listeners);
  g_hash_table_add (listeners->connections, connection);
}

static void
caller_accepted (GSocket *socket, gpointer data)
{
  accept_connection (data, QUINCE_LISTEN_CALLERS, socket);
}

static void
ready_accepted (GSocket *socket, gpointer data)
{
  accept_connection (data, QUINCE_LISTEN_READY, socket);
}

static void
directory_accepted (GSocket *socket, gpointer data)
{
  accept_connection (data, QUINCE_LISTEN_DIRECTORY, socket);
}

static const struct
{
  const char *key; /* in the section "listen" */
  void (*accepted) (GSocket *socket, gpointer data);
} listen_kinds[QUINCE_LISTEN_N_KINDS] = { [QUINCE_LISTEN_CALLERS] = { "callers", caller_accepted },
                                          [QUINCE_LISTEN_READY] = { "ready", ready_accepted },
                                          [QUINCE_LISTEN_DIRECTORY] = { "directory", directory_accepted } };

QuinceCallerListeners *
quince_caller_listeners_new (QuinceFrontContext *context, const QuinceSettings *settings, GError **error)
{
  QuinceCallerListeners *listeners = g_new0 (QuinceCallerListeners, 1);
  listeners->context = context;
  listeners->connections = g_hash_table_new (NULL, NULL);
  for (guint kind = 0; kind < QUINCE_LISTEN_N_KINDS; kind++)
    {
      const char *address = quince_settings_get_text (settings, "listen", listen_kinds[kind].key);
      listeners->acceptors[kind]
          = quince_acceptor_new (address, listen_kinds[kind].accepted, listeners, error);
      if (listeners->acceptors[kind] == NULL)
        {
          quince_caller_listeners_free (listeners);
          return NULL;
        }
      quince_acceptor_set_receive_buffer (listeners->acceptors[kind], RECEIVE_BUFFER_BYTES);
    }
  return listeners;
}

/* Collects the connections first, since each one removes itself from the set when it closes. */
static void
close_connections (QuinceCallerListeners *listeners, gboolean only_idle)
{
  g_autoptr (GPtrArray) closing = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init (&iter, listeners->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    if (!only_idle || quince_caller_connection_is_idle (connection))
      g_ptr_array_add (closing, connection);
  for (guint i = 0; i < closing->len; i++)
    quince_caller_connection_close (closing->pdata[i]);
}

void
quince_caller_listeners_free (QuinceCallerListeners *listeners)
{
  if (listeners == NULL)
    return;
  close_connections (listeners, FALSE);
  for (guint kind = 0; kind < QUINCE_LISTEN_N_KINDS; kind++)
    quince_acceptor_free (listeners->acceptors[kind]);
  g_hash_table_unref (listeners->connections);
  g_free (listeners);
}

const char *
quince_caller_listeners_get_address (const QuinceCallerListeners *listeners, QuinceListenKind kind)
{
  return quince_acceptor_get_address (listeners->acceptors[kind]);
}

guint
quince_caller_listeners_count_connections (const QuinceCallerListeners *listeners)
{
  return g_hash_table_size (listeners->connections);
}

void
quince_caller_listeners_ignore_new_connections (QuinceCallerListeners *listeners)
{
  quince_acceptor_ignore_new_connections (listeners->acceptors[QUINCE_LISTEN_CALLERS]);
}

void
quince_caller_listeners_close_caller_address (QuinceCallerListeners *listeners)
{
  if (listeners->acceptors[QUINCE_LISTEN_CALLERS] == NULL)
    return;
  g_clear_pointer (&listeners->acceptors[QUINCE_LISTEN_CALLERS], quince_acceptor_free);
  close_connections (listeners, TRUE);
}
