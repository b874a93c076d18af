/*
 * proxy-tcp.c: TCP route of the fault-injecting proxy: each accepted
 * connection is a tunnel of two pumps, one a direction.
 */
#include "proxy.h"

#include <string.h>
#include <sys/socket.h>

#include <quince/link.h>
#include <quince/log.h>
#include <quince/task.h>

#define PIECE_BYTES 65536
#define LISTEN_BACKLOG 4096
#define MAX_QUEUED_BYTES (4 * 1024 * 1024)

typedef struct _Tunnel Tunnel;

/* Bytes that wait for their time. */
typedef struct
{
  gsize length;
  gsize sent;
  gint64 due_us;
  char data[];
} Piece;

/* One direction of a tunnel. */
typedef struct
{
  Tunnel *tunnel;
  gboolean up;
  GSocket *from; /* the tunnel's */
  GSocket *to;   /* the tunnel's */
  GQueue pieces; /* Piece; owned */
  gsize queued_bytes;
  gboolean read_end;  /* @from has sent its end      */
  gboolean wrote_end; /* the end was passed to @to   */
  GSource *readable;  /* set while it wants to read  */
  GSource *writable;  /* set while it wants to write */
  GSource *timer;     /* until the first piece's time */
} Pump;

struct _Tunnel
{
  ProxyTcp *proxy;
  GSocket *client;     /* owned */
  GSocket *upstream;   /* owned */
  GSource *connecting; /* set until the upstream has answered */
  gboolean connected;
  gboolean blocked; /* by its sender: nothing is read or written */
  guint64 bytes;    /* passed in both directions */
  Pump up;
  Pump down;
};

struct _ProxyTcp
{
  char *address;             /* actual ip:port                      */
  GSocketAddress *upstream;  /* owned                               */
  const ProxyFaults *faults; /* the route's                         */
  ProxySenders *senders;     /* the route's */
  ProxyCounters *counters;   /* the route's                         */
  GSocket *listener;         /* owned; NULL while the route is cut  */
  GSource *acceptable;
  GPtrArray *tunnels; /* Tunnel; owned */
};

static void pump_update (Pump *pump);

/* ---- Tunnels ---- */

static void
pump_clear (Pump *pump)
{
  quince_source_clear (&pump->readable);
  quince_source_clear (&pump->writable);
  quince_source_clear (&pump->timer);
  g_queue_clear_full (&pump->pieces, g_free);
}

/* Closing with linger 0 sends a reset. */
static void
close_socket (GSocket *socket, gboolean reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  if (reset)
    setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  g_socket_close (socket, NULL);
  g_object_unref (socket);
}

static void
tunnel_close (Tunnel *tunnel, gboolean reset)
{
  pump_clear (&tunnel->up);
  pump_clear (&tunnel->down);
  quince_source_clear (&tunnel->connecting);
  close_socket (tunnel->client, reset);
  close_socket (tunnel->upstream, reset);
  g_ptr_array_remove_fast (tunnel->proxy->tunnels, tunnel);
  g_free (tunnel);
}

static void
tunnel_cut (Tunnel *tunnel)
{
  tunnel->proxy->counters->cut++;
  tunnel_close (tunnel, TRUE);
}

static void
tunnel_judge_sender (Tunnel *tunnel)
{
  ProxyTcp *proxy = tunnel->proxy;
  tunnel->blocked = proxy_senders_block_connection (proxy->senders, tunnel->client);
  proxy->counters->blocked += tunnel->blocked ? 1 : 0;
}

/* ---- Pumps ---- */

/* Returns: FALSE when the tunnel is gone */
static gboolean
count_passed (Pump *pump, gsize length)
{
  Tunnel *tunnel = pump->tunnel;
  ProxyCounters *counters = tunnel->proxy->counters;
  guint64 limit = tunnel->proxy->faults->cut_after_bytes;
  *(pump->up ? &counters->bytes_up : &counters->bytes_down) += length;
  tunnel->bytes += length;
  if (limit == 0 || tunnel->bytes < limit)
    return TRUE;
  tunnel_cut (tunnel);
  return FALSE;
}

static gsize
allowed_bytes (const Pump *pump, gsize wanted)
{
  guint64 limit = pump->tunnel->proxy->faults->cut_after_bytes;
  if (limit == 0 || pump->tunnel->bytes + wanted <= limit)
    return wanted;
  return limit > pump->tunnel->bytes ? (gsize)(limit - pump->tunnel->bytes) : 0;
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  Pump *pump = user_data;
  Piece *piece = g_queue_peek_head (&pump->pieces);
  if (piece != NULL)
    {
      g_autoptr (GError) error = NULL;
      gsize wanted = allowed_bytes (pump, piece->length - piece->sent);
      gssize sent = g_socket_send (socket, piece->data + piece->sent, wanted, NULL, &error);
      if (sent < 0 && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          tunnel_close (pump->tunnel, TRUE);
          return G_SOURCE_REMOVE;
        }
      if (sent > 0)
        {
          piece->sent += (gsize)sent;
          pump->queued_bytes -= (gsize)sent;
          if (piece->sent == piece->length)
            g_free (g_queue_pop_head (&pump->pieces));
          if (!count_passed (pump, (gsize)sent))
            return G_SOURCE_REMOVE;
        }
    }
  pump_update (pump);
  return G_SOURCE_CONTINUE;
}

static void
take_bytes (Pump *pump, const char *data, gsize length)
{
  const ProxyFaults *faults = pump->tunnel->proxy->faults;
  if (proxy_drops (faults, pump->up) || pump->wrote_end)
    {
      pump->tunnel->proxy->counters->dropped += length;
      return;
    }
  Piece *piece = g_malloc (sizeof (Piece) + length);
  piece->length = length;
  piece->sent = 0;
  piece->due_us = quince_now_us () + (gint64)faults->delay_ms * 1000;
  memcpy (piece->data, data, length);
  g_queue_push_tail (&pump->pieces, piece);
  pump->queued_bytes += length;
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  Pump *pump = user_data;
  g_autoptr (GError) error = NULL;
  char buffer[PIECE_BYTES];
  gssize length = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
  if (length > 0)
    take_bytes (pump, buffer, (gsize)length);
  else if (length == 0)
    pump->read_end = TRUE;
  else if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      tunnel_close (pump->tunnel, TRUE);
      return G_SOURCE_REMOVE;
    }
  pump_update (pump);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_piece_due (gpointer user_data)
{
  Pump *pump = user_data;
  quince_source_clear (&pump->timer);
  pump_update (pump);
  return G_SOURCE_REMOVE;
}

static void
set_source (GSource **source,
            gboolean wanted,
            GSocket *socket,
            GIOCondition condition,
            GSocketSourceFunc function,
            gpointer user_data)
{
  if (!wanted)
    quince_source_clear (source);
  else if (*source == NULL)
    {
      *source = g_socket_create_source (socket, condition, NULL);
      g_source_set_callback (*source, G_SOURCE_FUNC (function), user_data, NULL);
      g_source_attach (*source, NULL);
    }
}

static void
pass_end (Pump *pump)
{
  pump->wrote_end = TRUE;
  g_socket_shutdown (pump->to, FALSE, TRUE, NULL);
}

static void
close_when_ended (Tunnel *tunnel)
{
  if (tunnel->up.wrote_end && tunnel->down.wrote_end && tunnel->up.read_end && tunnel->down.read_end)
    tunnel_close (tunnel, FALSE);
}

/* Brings the sources in line with the state; may close the tunnel. */
static void
pump_update (Pump *pump)
{
  gboolean frozen = pump->tunnel->proxy->faults->freeze || pump->tunnel->blocked;
  gboolean ready = pump->tunnel->connected && !frozen;
  const Piece *first = g_queue_peek_head (&pump->pieces);
  gint64 wait_us = first != NULL ? first->due_us - quince_now_us () : 0;
  set_source (&pump->readable, !frozen && !pump->read_end && pump->queued_bytes < MAX_QUEUED_BYTES,
              pump->from, G_IO_IN, on_readable, pump);
  set_source (&pump->writable, ready && first != NULL && wait_us <= 0, pump->to, G_IO_OUT, on_writable, pump);
  if (ready && first != NULL && wait_us > 0 && pump->timer == NULL)
    pump->timer = quince_timer_add ((guint)(wait_us / 1000 + 1), on_piece_due, pump);
  if (ready && first == NULL && pump->read_end && !pump->wrote_end)
    pass_end (pump);
  close_when_ended (pump->tunnel);
}

/* ---- Accepting ---- */

static gboolean
on_connected (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  Tunnel *tunnel = user_data;
  quince_source_clear (&tunnel->connecting);
  if (!g_socket_check_connect_result (socket, NULL))
    {
      tunnel->proxy->counters->failed++;
      tunnel_close (tunnel, TRUE);
      return G_SOURCE_REMOVE;
    }
  tunnel->connected = TRUE;
  pump_update (&tunnel->up);
  pump_update (&tunnel->down);
  return G_SOURCE_REMOVE;
}

static void
pump_init (Pump *pump, Tunnel *tunnel, gboolean up)
{
  pump->tunnel = tunnel;
  pump->up = up;
  pump->from = up ? tunnel->client : tunnel->upstream;
  pump->to = up ? tunnel->upstream : tunnel->client;
  g_queue_init (&pump->pieces);
}

static void
open_tunnel (ProxyTcp *proxy, GSocket *client)
{
  GSocket *upstream = g_socket_new (g_socket_address_get_family (proxy->upstream), G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, NULL);
  if (upstream == NULL)
    {
      close_socket (client, TRUE);
      return;
    }
  g_socket_set_blocking (client, FALSE);
  g_socket_set_blocking (upstream, FALSE);
  g_socket_set_option (client, IPPROTO_TCP, 1 /* TCP_NODELAY */, 1, NULL);
  g_socket_set_option (upstream, IPPROTO_TCP, 1 /* TCP_NODELAY */, 1, NULL);
  Tunnel *tunnel = g_new0 (Tunnel, 1);
  tunnel->proxy = proxy;
  tunnel->client = client;
  tunnel->upstream = upstream;
  proxy_senders_refresh (proxy->senders);
  tunnel_judge_sender (tunnel);
  pump_init (&tunnel->up, tunnel, TRUE);
  pump_init (&tunnel->down, tunnel, FALSE);
  g_ptr_array_add (proxy->tunnels, tunnel);
  proxy->counters->connections++;
  g_autoptr (GError) error = NULL;
  if (!g_socket_connect (upstream, proxy->upstream, NULL, &error)
      && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      proxy->counters->failed++;
      tunnel_close (tunnel, TRUE);
      return;
    }
  set_source (&tunnel->connecting, TRUE, upstream, G_IO_OUT, on_connected, tunnel);
}

static gboolean
on_acceptable (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  GSocket *client = g_socket_accept (socket, NULL, NULL);
  if (client != NULL)
    open_tunnel (user_data, client);
  return G_SOURCE_CONTINUE;
}

static gboolean
listen_on (ProxyTcp *proxy, const char *address, GError **error)
{
  char *actual = NULL;
  GSocket *listener = proxy_bind (address, G_SOCKET_TYPE_STREAM, &actual, error);
  if (listener == NULL)
    return FALSE;
  g_socket_set_listen_backlog (listener, LISTEN_BACKLOG);
  if (!g_socket_listen (listener, error))
    {
      g_object_unref (listener);
      g_free (actual);
      return FALSE;
    }
  g_free (proxy->address);
  proxy->address = actual;
  proxy->listener = listener;
  set_source (&proxy->acceptable, TRUE, listener, G_IO_IN, on_acceptable, proxy);
  return TRUE;
}

ProxyTcp *
proxy_tcp_new (const char *listen,
               const char *upstream,
               const ProxyFaults *faults,
               ProxySenders *senders,
               ProxyCounters *counters,
               GError **error)
{
  g_autoptr (GSocketAddress) upstream_address = quince_address_parse (upstream, error);
  if (upstream_address == NULL)
    return NULL;
  ProxyTcp *proxy = g_new0 (ProxyTcp, 1);
  proxy->upstream = g_steal_pointer (&upstream_address);
  proxy->faults = faults;
  proxy->senders = senders;
  proxy->counters = counters;
  proxy->tunnels = g_ptr_array_new ();
  if (listen_on (proxy, listen, error))
    return proxy;
  g_object_unref (proxy->upstream);
  g_ptr_array_unref (proxy->tunnels);
  g_free (proxy);
  return NULL;
}

gboolean
proxy_tcp_set_upstream (ProxyTcp *proxy, const char *upstream, GError **error)
{
  GSocketAddress *address = quince_address_parse (upstream, error);
  if (address == NULL)
    return FALSE;
  g_object_unref (proxy->upstream);
  proxy->upstream = address;
  return TRUE;
}

const char *
proxy_tcp_get_address (ProxyTcp *proxy)
{
  return proxy->address;
}

guint
proxy_tcp_get_open (ProxyTcp *proxy)
{
  return proxy->tunnels->len;
}

/* ---- Faults ---- */

static void
cut_route (ProxyTcp *proxy)
{
  while (proxy->tunnels->len > 0)
    tunnel_cut (g_ptr_array_index (proxy->tunnels, proxy->tunnels->len - 1));
  if (proxy->listener == NULL)
    return;
  quince_source_clear (&proxy->acceptable);
  g_socket_close (proxy->listener, NULL);
  g_clear_object (&proxy->listener);
}

static void
listen_again (ProxyTcp *proxy)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *address = g_strdup (proxy->address);
  if (!listen_on (proxy, address, &error))
    {
      g_autofree char *quoted = quince_log_quote (error->message);
      quince_log_warning ("listen_failed", "address=%s error=%s", address, quoted);
    }
}

static void
half_close (Pump *pump)
{
  if (pump->wrote_end)
    return;
  g_queue_clear_full (&pump->pieces, g_free);
  pump->queued_bytes = 0;
  pass_end (pump);
}

void
proxy_tcp_faults_changed (ProxyTcp *proxy)
{
  if (proxy->faults->cut)
    {
      cut_route (proxy);
      return;
    }
  if (proxy->listener == NULL)
    listen_again (proxy);
  proxy_senders_refresh (proxy->senders);
  for (guint i = 0; i < proxy->tunnels->len; i++)
    {
      Tunnel *tunnel = g_ptr_array_index (proxy->tunnels, i);
      tunnel_judge_sender (tunnel);
    }
  for (guint i = proxy->tunnels->len; i > 0; i--)
    {
      Tunnel *tunnel = g_ptr_array_index (proxy->tunnels, i - 1);
      pump_update (&tunnel->down);
    }
  for (guint i = proxy->tunnels->len; i > 0; i--)
    {
      Tunnel *tunnel = g_ptr_array_index (proxy->tunnels, i - 1);
      pump_update (&tunnel->up);
    }
  for (guint i = proxy->tunnels->len; proxy->faults->half_close != NULL && i > 0; i--)
    {
      Tunnel *tunnel = g_ptr_array_index (proxy->tunnels, i - 1);
      half_close (g_str_equal (proxy->faults->half_close, "up") ? &tunnel->up : &tunnel->down);
    }
}
