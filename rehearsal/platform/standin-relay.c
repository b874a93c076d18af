/*
 * standin-relay.c: see standin-relay.h.
 */
#include "standin-relay.h"

#include <sys/socket.h>

/* Bytes of one read, without a rate or at most. */
#define CHUNK_MAX_BYTES 65536
/* With a rate: a read is what passes in this time, ms. */
#define RATE_LIMITED_READ_MS 100
/* With a rate: bytes of one read at least. */
#define CHUNK_MIN_BYTES 512
/* With a rate: size of the kernel's buffers, bytes: few wait there, as on a link that is full. */
#define RATE_LIMITED_BUFFER_BYTES 16384

typedef struct _Pair Pair;

/* One way of a connection: what came waits in `pending` until it is sent. */
typedef struct
{
  Pair *pair;
  GSocket *from; /* not owned */
  GSocket *to;   /* not owned */
  GByteArray *pending;
  GSource *source; /* NULL while the way is held */
  gint64 due_us;   /* what is pending is sent then */
  guint passed;    /* bytes */
  gboolean ended;  /* the receiver's end is shut down */
} Flow;

struct _Pair
{
  StandinRelay *relay;
  GSocket *client;
  GSocket *server; /* NULL until the relay is held no more */
  Flow up;
  Flow down;
};

struct _StandinRelay
{
  GSocket *listener;
  GSource *source;
  char *address;
  GSocketAddress *upstream;
  GPtrArray *pairs; /* Pair, owned */
  gboolean upstream_paused;
  gboolean downstream_paused;
  guint delay_ms;
  guint bytes_per_s; /* 0: no bound */
  gboolean cut;
  guint limit;                       /* bytes on one connection; 0: none */
  StandinRelayDirection limited;     /* which way they are counted */
  StandinRelayDirection half_closed; /* which way */
};

static void arm (Flow *way);

static void
source_clear (GSource **source)
{
  if (*source != NULL)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

static void
flow_clear (Flow *way)
{
  source_clear (&way->source);
  g_clear_pointer (&way->pending, g_byte_array_unref);
}

static void
relayed_connection_free (gpointer data)
{
  Pair *pair = data;
  flow_clear (&pair->up);
  flow_clear (&pair->down);
  g_socket_close (pair->client, NULL);
  g_object_unref (pair->client);
  if (pair->server != NULL)
    g_socket_close (pair->server, NULL);
  g_clear_object (&pair->server);
  g_free (pair);
}

static StandinRelayDirection
get_flow_direction (const Flow *way)
{
  return way == &way->pair->up ? STANDIN_RELAY_REQUESTS : STANDIN_RELAY_ANSWERS;
}

static gboolean
is_held (const Flow *way)
{
  const StandinRelay *relay = way->pair->relay;
  return get_flow_direction (way) == STANDIN_RELAY_REQUESTS ? relay->upstream_paused
                                                            : relay->downstream_paused;
}

static gsize
get_chunk_max_bytes (const StandinRelay *relay)
{
  gsize slice = (gsize)relay->bytes_per_s * RATE_LIMITED_READ_MS / 1000;
  return relay->bytes_per_s == 0 ? CHUNK_MAX_BYTES : CLAMP (slice, CHUNK_MIN_BYTES, CHUNK_MAX_BYTES);
}

/* When what came just now is at the other end. */
static void
set_send_time (Flow *way, gsize length)
{
  const StandinRelay *relay = way->pair->relay;
  gint64 passing_us = relay->bytes_per_s > 0 ? (gint64)length * G_USEC_PER_SEC / relay->bytes_per_s : 0;
  way->due_us = g_get_monotonic_time () + relay->delay_ms * 1000 + passing_us;
}

/* Returns: whether the connection goes on. */
static gboolean
receive (Flow *way)
{
  guint8 chunk[CHUNK_MAX_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length
      = g_socket_receive (way->from, (char *)chunk, get_chunk_max_bytes (way->pair->relay), NULL, &error);
  if (length > 0)
    {
      g_byte_array_append (way->pending, chunk, (guint)length);
      set_send_time (way, (gsize)length);
    }
  return length > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

/* Returns: how many bytes may still pass. */
static guint
allowance (const Flow *way)
{
  const StandinRelay *relay = way->pair->relay;
  if (relay->limit == 0 || relay->limited != get_flow_direction (way))
    return G_MAXUINT;
  return relay->limit > way->passed ? relay->limit - way->passed : 0;
}

/* Returns: whether the connection goes on. */
static gboolean
forward (Flow *way)
{
  if (way->pending->len == 0 || way->due_us > g_get_monotonic_time ())
    return TRUE;
  guint allowed = MIN (way->pending->len, allowance (way));
  if (allowed == 0)
    return FALSE;
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_send (way->to, (const char *)way->pending->data, allowed, NULL, &error);
  if (length > 0)
    {
      g_byte_array_remove_range (way->pending, 0, (guint)length);
      way->passed += (guint)length;
    }
  return length > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

static gboolean
is_half_closed (const Flow *way)
{
  return way->pair->relay->half_closed == get_flow_direction (way);
}

/* Drops what waits and shuts the receiver's end down. */
static void
shut_down_flow (Flow *way)
{
  g_byte_array_set_size (way->pending, 0);
  if (!way->ended)
    g_socket_shutdown (way->to, FALSE, TRUE, NULL);
  way->ended = TRUE;
}

/* Returns: whether the connection goes on. */
static gboolean
pass (Flow *way)
{
  if (is_half_closed (way))
    shut_down_flow (way);
  if (way->pending->len == 0 && !receive (way))
    return FALSE;
  if (way->ended || is_half_closed (way))
    {
      shut_down_flow (way);
      return TRUE;
    }
  return forward (way);
}

static gboolean
step (Flow *way)
{
  if (pass (way))
    arm (way);
  else
    g_ptr_array_remove (way->pair->relay->pairs, way->pair);
  return G_SOURCE_REMOVE;
}

static gboolean
flow_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  return step (data);
}

static gboolean
flow_timer_fired (gpointer data)
{
  return step (data);
}

/* Waits for more, or until what came can be sent. */
static void
arm (Flow *way)
{
  source_clear (&way->source);
  if (is_held (way) || way->pair->server == NULL)
    return;
  gboolean sends = way->pending->len > 0;
  gint64 wait_us = sends ? way->due_us - g_get_monotonic_time () : 0;
  if (wait_us > 0)
    {
      way->source = g_timeout_source_new ((guint)(wait_us / 1000) + 1);
      g_source_set_callback (way->source, flow_timer_fired, way, NULL);
    }
  else
    {
      way->source = g_socket_create_source (sends ? way->to : way->from, sends ? G_IO_OUT : G_IO_IN, NULL);
      g_source_set_callback (way->source, G_SOURCE_FUNC (flow_ready), way, NULL);
    }
  g_source_attach (way->source, NULL);
}

/* Returns: %FALSE when the connection is refused. */
static gboolean
connect_upstream (Pair *pair)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  if (!g_socket_connect (socket, pair->relay->upstream, NULL, NULL))
    return FALSE;
  g_socket_set_blocking (socket, FALSE);
  pair->server = g_steal_pointer (&socket);
  pair->up = (Flow){ .pair = pair, .from = pair->client, .to = pair->server, .pending = g_byte_array_new () };
  pair->down
      = (Flow){ .pair = pair, .from = pair->server, .to = pair->client, .pending = g_byte_array_new () };
  return TRUE;
}

static void
start_relaying (Pair *pair)
{
  if (pair->server == NULL && !connect_upstream (pair))
    {
      g_ptr_array_remove (pair->relay->pairs, pair);
      return;
    }
  arm (&pair->up);
  arm (&pair->down);
}

static gboolean
accept_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  StandinRelay *relay = data;
  GSocket *client = g_socket_accept (socket, NULL, NULL);
  if (client == NULL)
    return G_SOURCE_CONTINUE;
  g_socket_set_blocking (client, FALSE);
  if (relay->cut)
    {
      g_socket_close (client, NULL);
      g_object_unref (client);
      return G_SOURCE_CONTINUE;
    }
  if (relay->bytes_per_s > 0)
    g_socket_set_option (client, SOL_SOCKET, SO_RCVBUF, RATE_LIMITED_BUFFER_BYTES, NULL);
  Pair *pair = g_new0 (Pair, 1);
  pair->relay = relay;
  pair->client = client;
  g_ptr_array_add (relay->pairs, pair);
  if (!relay->upstream_paused)
    start_relaying (pair);
  return G_SOURCE_CONTINUE;
}

/* ---- Public ----------------------------------------------------------- */

StandinRelay *
standin_relay_new (const char *upstream)
{
  StandinRelay *relay = g_new0 (StandinRelay, 1);
  g_auto (GStrv) parts = g_strsplit (upstream, ":", 2);
  relay->upstream
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  relay->pairs = g_ptr_array_new_with_free_func (relayed_connection_free);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  relay->listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (relay->listener, FALSE);
  g_assert_true (g_socket_bind (relay->listener, any, TRUE, NULL) && g_socket_listen (relay->listener, NULL));
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
  g_ptr_array_unref (relay->pairs);
  g_object_unref (relay->upstream);
  g_free (relay->address);
  g_free (relay);
}

const char *
standin_relay_get_address (const StandinRelay *relay)
{
  return relay->address;
}

void
standin_relay_set_paused_directions (StandinRelay *relay, gboolean up, gboolean down)
{
  if (relay->upstream_paused == up && relay->downstream_paused == down)
    return;
  relay->upstream_paused = up;
  relay->downstream_paused = down;
  for (guint i = relay->pairs->len; i > 0; i--)
    {
      Pair *pair = relay->pairs->pdata[i - 1];
      if (up)
        source_clear (&pair->up.source);
      if (down)
        source_clear (&pair->down.source);
      if (!up || pair->server != NULL)
        start_relaying (pair);
    }
}

void
standin_relay_set_paused (StandinRelay *relay, gboolean held)
{
  standin_relay_set_paused_directions (relay, held, held);
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
    g_ptr_array_set_size (relay->pairs, 0);
}

void
standin_relay_set_byte_limit (StandinRelay *relay, StandinRelayDirection way, guint bytes)
{
  relay->limited = way;
  relay->limit = bytes;
}

void
standin_relay_set_half_closed (StandinRelay *relay, StandinRelayDirection way)
{
  relay->half_closed = way;
  for (guint i = 0; i < relay->pairs->len; i++)
    {
      Pair *pair = relay->pairs->pdata[i];
      if (pair->server != NULL && way == STANDIN_RELAY_REQUESTS)
        shut_down_flow (&pair->up);
      if (pair->server != NULL && way == STANDIN_RELAY_ANSWERS)
        shut_down_flow (&pair->down);
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
  return relay->pairs->len;
}
