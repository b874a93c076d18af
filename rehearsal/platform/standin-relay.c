/*
 * standin-relay.c: TCP relay with simulated network faults.
 */
#include "standin-relay.h"

#include <sys/socket.h>

/* As many as the product's own listeners.  With GSocket's default of 10 the kernel drops connection requests
 * of a burst and repeats them after 1 s, which is longer than the connect timeout of a front. */
#define LISTEN_BACKLOG 1024
/* Upper limit of one read, also without a rate limit. */
#define CHUNK_MAX_BYTES 65536
/* With a rate limit, one read takes at most what the rate allows in this time. */
#define RATE_LIMITED_READ_MS 100
/* Lower limit of one read with a rate limit. */
#define CHUNK_MIN_BYTES 512
/* Receive buffer of client sockets with a rate limit: small, so that senders see back-pressure. */
#define RATE_LIMITED_BUFFER_BYTES 16384

typedef struct _RelayedConnection RelayedConnection;

/* One direction of a connection.  Received bytes wait in `pending` until they are sent. */
typedef struct
{
  RelayedConnection *connection;
  GSocket *from; /* not owned */
  GSocket *to;   /* not owned */
  GByteArray *pending;
  GSource *source;    /* NULL while the flow is paused */
  gint64 send_due_us; /* monotonic time when `pending` is sent */
  guint forwarded_bytes;
  gboolean is_shut_down; /* `to` is shut down for writing */
} Flow;

struct _RelayedConnection
{
  StandinRelay *relay;
  GSocket *client;
  GSocket *server; /* NULL until it is connected; connecting waits while upstream is paused */
  Flow upstream;
  Flow downstream;
};

struct _StandinRelay
{
  GSocket *listener;
  GSource *source;
  char *address;
  GSocketAddress *upstream_address;
  GPtrArray *connections; /* RelayedConnection, owned */
  guint n_accepted;       /* connections since the relay was created */
  gboolean upstream_paused;
  gboolean downstream_paused;
  guint delay_ms;
  guint bytes_per_s; /* 0: no limit */
  gboolean cut;
  guint byte_limit;                        /* per connection; 0: no limit */
  StandinRelayDirection limited_direction; /* direction that byte_limit applies to */
  StandinRelayDirection half_closed_direction;
};

static void arm_flow (Flow *flow);

static void
source_clear (GSource **source)
{
  if (*source != NULL)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

static void
flow_clear (Flow *flow)
{
  source_clear (&flow->source);
  g_clear_pointer (&flow->pending, g_byte_array_unref);
}

static void
relayed_connection_free (gpointer data)
{
  RelayedConnection *connection = data;
  flow_clear (&connection->upstream);
  flow_clear (&connection->downstream);
  g_socket_close (connection->client, NULL);
  g_object_unref (connection->client);
  if (connection->server != NULL)
    g_socket_close (connection->server, NULL);
  g_clear_object (&connection->server);
  g_free (connection);
}

static StandinRelayDirection
get_flow_direction (const Flow *flow)
{
  return flow == &flow->connection->upstream ? STANDIN_RELAY_REQUESTS : STANDIN_RELAY_ANSWERS;
}

static gboolean
is_paused (const Flow *flow)
{
  const StandinRelay *relay = flow->connection->relay;
  return get_flow_direction (flow) == STANDIN_RELAY_REQUESTS ? relay->upstream_paused
                                                             : relay->downstream_paused;
}

static gsize
get_chunk_max_bytes (const StandinRelay *relay)
{
  gsize slice = (gsize)relay->bytes_per_s * RATE_LIMITED_READ_MS / 1000;
  return relay->bytes_per_s == 0 ? CHUNK_MAX_BYTES : CLAMP (slice, CHUNK_MIN_BYTES, CHUNK_MAX_BYTES);
}

/* Sets the time when the bytes received last are sent, by delay and rate. */
static void
set_send_time (Flow *flow, gsize length)
{
  const StandinRelay *relay = flow->connection->relay;
  gint64 transfer_us = relay->bytes_per_s > 0 ? (gint64)length * G_USEC_PER_SEC / relay->bytes_per_s : 0;
  flow->send_due_us = g_get_monotonic_time () + relay->delay_ms * 1000 + transfer_us;
}

/* Returns FALSE if the connection must be closed. */
static gboolean
receive_chunk (Flow *flow)
{
  guint8 chunk[CHUNK_MAX_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (flow->from, (char *)chunk, get_chunk_max_bytes (flow->connection->relay),
                                    NULL, &error);
  if (length > 0)
    {
      g_byte_array_append (flow->pending, chunk, (guint)length);
      set_send_time (flow, (gsize)length);
    }
  return length > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

/* Returns how many more bytes the byte limit allows. */
static guint
get_sendable_bytes (const Flow *flow)
{
  const StandinRelay *relay = flow->connection->relay;
  if (relay->byte_limit == 0 || relay->limited_direction != get_flow_direction (flow))
    return G_MAXUINT;
  return relay->byte_limit > flow->forwarded_bytes ? relay->byte_limit - flow->forwarded_bytes : 0;
}

/* Returns FALSE if the connection must be closed. */
static gboolean
send_pending (Flow *flow)
{
  if (flow->pending->len == 0 || flow->send_due_us > g_get_monotonic_time ())
    return TRUE;
  guint sendable_bytes = MIN (flow->pending->len, get_sendable_bytes (flow));
  if (sendable_bytes == 0)
    return FALSE;
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_send (flow->to, (const char *)flow->pending->data, sendable_bytes, NULL, &error);
  if (length > 0)
    {
      g_byte_array_remove_range (flow->pending, 0, (guint)length);
      flow->forwarded_bytes += (guint)length;
    }
  return length > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

static gboolean
is_half_closed (const Flow *flow)
{
  return flow->connection->relay->half_closed_direction == get_flow_direction (flow);
}

/* Drops pending bytes and shuts down the receiver's socket for writing. */
static void
shut_down_flow (Flow *flow)
{
  g_byte_array_set_size (flow->pending, 0);
  if (!flow->is_shut_down)
    g_socket_shutdown (flow->to, FALSE, TRUE, NULL);
  flow->is_shut_down = TRUE;
}

/* Returns FALSE if the connection must be closed. */
static gboolean
transfer (Flow *flow)
{
  if (is_half_closed (flow))
    shut_down_flow (flow);
  if (flow->pending->len == 0 && !receive_chunk (flow))
    return FALSE;
  if (flow->is_shut_down || is_half_closed (flow))
    {
      shut_down_flow (flow);
      return TRUE;
    }
  return send_pending (flow);
}

static gboolean
run_flow (Flow *flow)
{
  if (transfer (flow))
    arm_flow (flow);
  else
    g_ptr_array_remove (flow->connection->relay->connections, flow->connection);
  return G_SOURCE_REMOVE;
}

static gboolean
flow_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  return run_flow (data);
}

static gboolean
flow_timer_fired (gpointer data)
{
  return run_flow (data);
}

/* Waits until there is input, or until pending bytes are due and the receiver is writable. */
static void
arm_flow (Flow *flow)
{
  source_clear (&flow->source);
  if (is_paused (flow) || flow->connection->server == NULL)
    return;
  gboolean has_pending = flow->pending->len > 0;
  gint64 wait_us = has_pending ? flow->send_due_us - g_get_monotonic_time () : 0;
  if (wait_us > 0)
    {
      flow->source = g_timeout_source_new ((guint)(wait_us / 1000) + 1);
      g_source_set_callback (flow->source, flow_timer_fired, flow, NULL);
    }
  else
    {
      flow->source = g_socket_create_source (has_pending ? flow->to : flow->from,
                                             has_pending ? G_IO_OUT : G_IO_IN, NULL);
      g_source_set_callback (flow->source, G_SOURCE_FUNC (flow_ready), flow, NULL);
    }
  g_source_attach (flow->source, NULL);
}

/* Returns FALSE if connecting fails. */
static gboolean
connect_upstream (RelayedConnection *connection)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  if (!g_socket_connect (socket, connection->relay->upstream_address, NULL, NULL))
    return FALSE;
  g_socket_set_blocking (socket, FALSE);
  connection->server = g_steal_pointer (&socket);
  connection->upstream = (Flow){ .connection = connection,
                                 .from = connection->client,
                                 .to = connection->server,
                                 .pending = g_byte_array_new () };
  connection->downstream = (Flow){ .connection = connection,
                                   .from = connection->server,
                                   .to = connection->client,
                                   .pending = g_byte_array_new () };
  return TRUE;
}

static void
start_relaying (RelayedConnection *connection)
{
  if (connection->server == NULL && !connect_upstream (connection))
    {
      g_ptr_array_remove (connection->relay->connections, connection);
      return;
    }
  arm_flow (&connection->upstream);
  arm_flow (&connection->downstream);
}

static gboolean
accept_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  StandinRelay *relay = data;
  GSocket *client = g_socket_accept (socket, NULL, NULL);
  if (client == NULL)
    return G_SOURCE_CONTINUE;
  relay->n_accepted++;
  g_socket_set_blocking (client, FALSE);
  if (relay->cut)
    {
      g_socket_close (client, NULL);
      g_object_unref (client);
      return G_SOURCE_CONTINUE;
    }
  if (relay->bytes_per_s > 0)
    g_socket_set_option (client, SOL_SOCKET, SO_RCVBUF, RATE_LIMITED_BUFFER_BYTES, NULL);
  RelayedConnection *connection = g_new0 (RelayedConnection, 1);
  connection->relay = relay;
  connection->client = client;
  g_ptr_array_add (relay->connections, connection);
  if (!relay->upstream_paused)
    start_relaying (connection);
  return G_SOURCE_CONTINUE;
}

/* ---- Public ----------------------------------------------------------- */

StandinRelay *
standin_relay_new (const char *upstream_address)
{
  StandinRelay *relay = g_new0 (StandinRelay, 1);
  g_auto (GStrv) parts = g_strsplit (upstream_address, ":", 2);
  relay->upstream_address
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  relay->connections = g_ptr_array_new_with_free_func (relayed_connection_free);
  g_autoptr (GSocketAddress) any_port = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  relay->listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (relay->listener, FALSE);
  g_socket_set_listen_backlog (relay->listener, LISTEN_BACKLOG);
  g_assert_true (g_socket_bind (relay->listener, any_port, TRUE, NULL)
                 && g_socket_listen (relay->listener, NULL));
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (relay->listener, NULL);
  relay->address
      = g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  relay->source = g_socket_create_source (relay->listener, G_IO_IN, NULL);
  g_source_set_callback (relay->source, G_SOURCE_FUNC (accept_ready), relay, NULL);
  g_source_attach (relay->source, NULL);
  return relay;
}

void
standin_relay_free (StandinRelay *relay)
{
  source_clear (&relay->source);
  g_socket_close (relay->listener, NULL);
  g_object_unref (relay->listener);
  g_ptr_array_unref (relay->connections);
  g_object_unref (relay->upstream_address);
  g_free (relay->address);
  g_free (relay);
}

const char *
standin_relay_get_address (const StandinRelay *relay)
{
  return relay->address;
}

void
standin_relay_set_paused_directions (StandinRelay *relay, gboolean upstream, gboolean downstream)
{
  if (relay->upstream_paused == upstream && relay->downstream_paused == downstream)
    return;
  relay->upstream_paused = upstream;
  relay->downstream_paused = downstream;
  for (guint i = relay->connections->len; i > 0; i--)
    {
      RelayedConnection *connection = relay->connections->pdata[i - 1];
      if (upstream)
        source_clear (&connection->upstream.source);
      if (downstream)
        source_clear (&connection->downstream.source);
      if (!upstream || connection->server != NULL)
        start_relaying (connection);
    }
}

void
standin_relay_set_paused (StandinRelay *relay, gboolean paused)
{
  standin_relay_set_paused_directions (relay, paused, paused);
}

void
standin_relay_set_delay_and_rate (StandinRelay *relay, guint delay_ms, guint bytes_per_s)
{
  relay->delay_ms = delay_ms;
  relay->bytes_per_s = bytes_per_s;
}

void
standin_relay_set_cut (StandinRelay *relay, gboolean cut)
{
  relay->cut = cut;
  if (cut)
    g_ptr_array_set_size (relay->connections, 0);
}

void
standin_relay_set_byte_limit (StandinRelay *relay, StandinRelayDirection direction, guint bytes)
{
  relay->limited_direction = direction;
  relay->byte_limit = bytes;
}

void
standin_relay_set_half_closed (StandinRelay *relay, StandinRelayDirection direction)
{
  relay->half_closed_direction = direction;
  for (guint i = 0; i < relay->connections->len; i++)
    {
      RelayedConnection *connection = relay->connections->pdata[i];
      if (connection->server != NULL && direction == STANDIN_RELAY_REQUESTS)
        shut_down_flow (&connection->upstream);
      if (connection->server != NULL && direction == STANDIN_RELAY_ANSWERS)
        shut_down_flow (&connection->downstream);
    }
}

gboolean
standin_relay_is_paused (const StandinRelay *relay)
{
  return relay->upstream_paused || relay->downstream_paused;
}

guint
standin_relay_get_n_connections (const StandinRelay *relay)
{
  return relay->connections->len;
}

guint
standin_relay_get_n_accepted (const StandinRelay *relay)
{
  return relay->n_accepted;
}
