/*
 * http-peer.h: an HTTP connection under test, and the raw bytes that its peer sends to it.
 *
 * The connection's owner reads every message and appends it to a record: first line, headers and body.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http1/http1.h"
#include "runtime/acceptor.h"

/* Limit on a request's head, bytes. */
#define PEER_HEAD_MAX_BYTES 2048
/* Iterations of the main loop after which a connection that does not end fails the test. */
#define PEER_ITERATIONS_MAX 20000

typedef enum
{
  PEER_NO_MESSAGE,
  PEER_IN_MESSAGE, /* head() was called, complete() was not */
  PEER_ENDED,      /* closed() or refused() was called, or the owner closed the connection */
} PeerState;

typedef struct
{
  gboolean is_client; /* the connection under test reads responses */
  QuinceHttpConnection *connection;
  GSocket *socket; /* of the peer, blocking */
  QuinceAcceptor *acceptor;
  GSocket *accepted;
  GString *record; /* the messages that were read, e.g. "POST /a|Host=h|body;" */
  PeerState state;
  gboolean refused;
  gboolean failed;         /* closed() had an error */
  guint callbacks_to_stop; /* the owner closes the connection in this callback; 0: never */
  gboolean withholds_next; /* the owner does not ask for the next message in complete() */
  guint n_complete;        /* messages so far */
  guint depth;             /* calls of complete() that have not returned */
  guint depth_max;
} Peer;

/* Counts a callback.  Returns TRUE if the owner closed the connection in it. */
static inline gboolean
peer_stops (Peer *peer)
{
  assert_int_not_equal (peer->state, PEER_ENDED);
  if (peer->callbacks_to_stop == 0 || --peer->callbacks_to_stop > 0)
    return FALSE;
  quince_http_connection_close (peer->connection);
  g_clear_pointer (&peer->connection, quince_http_connection_unref);
  peer->state = PEER_ENDED;
  return TRUE;
}

static inline void
peer_head (QuinceHttpConnection *connection, QuinceHttpHead *head, gpointer data)
{
  Peer *peer = data;
  g_autoptr (QuinceHttpHead) owned = head;
  assert_int_equal (peer->state, PEER_NO_MESSAGE);
  if (peer->is_client)
    g_string_append_printf (peer->record, "%u", head->status);
  else
    g_string_append_printf (peer->record, "%s %s", head->method, head->target);
  for (guint i = 0; i < quince_http_headers_get_length (head->headers); i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (head->headers, i);
      g_string_append_printf (peer->record, "|%s=%s", line->name, line->value);
    }
  g_string_append_c (peer->record, '|');
  peer->state = PEER_IN_MESSAGE;
  peer_stops (peer);
}

static inline void
peer_body (QuinceHttpConnection *connection, const char *bytes, gsize length, gpointer data)
{
  Peer *peer = data;
  assert_int_equal (peer->state, PEER_IN_MESSAGE);
  g_string_append_len (peer->record, bytes, (gssize)length);
  peer_stops (peer);
}

static inline void
peer_complete (QuinceHttpConnection *connection, gpointer data)
{
  Peer *peer = data;
  assert_int_equal (peer->state, PEER_IN_MESSAGE);
  g_string_append_c (peer->record, ';');
  peer->state = PEER_NO_MESSAGE;
  peer->n_complete++;
  peer->depth++;
  peer->depth_max = MAX (peer->depth_max, peer->depth);
  if (!peer_stops (peer) && !peer->withholds_next)
    quince_http_connection_next (connection);
  peer->depth--;
}

static inline void
peer_refused (QuinceHttpConnection *connection, const GError *error, gpointer data)
{
  Peer *peer = data;
  assert_int_not_equal (peer->state, PEER_ENDED);
  peer->refused = TRUE;
  peer->state = PEER_ENDED;
  quince_http_connection_close (connection);
}

static inline void
peer_closed (QuinceHttpConnection *connection, const GError *error, gpointer data)
{
  Peer *peer = data;
  assert_int_not_equal (peer->state, PEER_ENDED);
  peer->failed = error != NULL;
  peer->state = PEER_ENDED;
}

static const QuinceHttpConnectionCallbacks peer_callbacks = { .head = peer_head,
                                                              .body = peer_body,
                                                              .complete = peer_complete,
                                                              .refused = peer_refused,
                                                              .closed = peer_closed };

static inline void
peer_accepted (GSocket *socket, gpointer data)
{
  ((Peer *)data)->accepted = socket;
}

static inline void
peer_run_until_accepted (Peer *peer)
{
  while (peer->accepted == NULL)
    g_main_context_iteration (NULL, TRUE);
}

/* @is_client: the connection under test is the client of its peer.  It resets when it closes, so that many
 * connections leave no ports in TIME_WAIT. */
static inline void
peer_init (Peer *peer, gboolean is_client)
{
  *peer = (Peer){ .is_client = is_client, .record = g_string_new (NULL) };
  peer->acceptor = quince_acceptor_new ("127.0.0.1:0", peer_accepted, peer, NULL);
  const char *address = quince_acceptor_get_address (peer->acceptor);
  if (is_client)
    {
      peer->connection = quince_http_connection_connect (address, &peer_callbacks, peer);
      quince_http_connection_reset_on_close (peer->connection);
      peer_run_until_accepted (peer);
      peer->socket = g_steal_pointer (&peer->accepted);
      g_socket_set_blocking (peer->socket, TRUE);
      return;
    }
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  g_autoptr (GSocketAddress) target
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  peer->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_true (g_socket_connect (peer->socket, target, NULL, NULL));
  peer_run_until_accepted (peer);
  peer->connection = quince_http_connection_new_server (g_steal_pointer (&peer->accepted),
                                                        PEER_HEAD_MAX_BYTES, &peer_callbacks, peer);
  quince_http_connection_reset_on_close (peer->connection);
}

static inline void
peer_clear (Peer *peer)
{
  if (peer->connection != NULL)
    quince_http_connection_close (peer->connection);
  g_clear_pointer (&peer->connection, quince_http_connection_unref);
  g_socket_close (peer->socket, NULL);
  g_object_unref (peer->socket);
  quince_acceptor_free (peer->acceptor);
  g_string_free (peer->record, TRUE);
}

/* Sends @bytes, and lets the connection read them. */
static inline void
peer_send (Peer *peer, const char *bytes, gsize length)
{
  for (gsize sent = 0; sent < length && peer->state != PEER_ENDED;)
    {
      gssize written = g_socket_send (peer->socket, bytes + sent, length - sent, NULL, NULL);
      if (written <= 0)
        break; /* the connection was closed */
      sent += (gsize)written;
    }
  while (peer->state != PEER_ENDED && g_main_context_iteration (NULL, FALSE))
    ;
}

/* Ends the peer's output and runs the connection until it has ended. */
static inline void
peer_finish (Peer *peer)
{
  g_socket_shutdown (peer->socket, FALSE, TRUE, NULL);
  for (guint i = 0; peer->state != PEER_ENDED; i++)
    {
      assert_true (i < PEER_ITERATIONS_MAX);
      g_main_context_iteration (NULL, TRUE);
    }
}
