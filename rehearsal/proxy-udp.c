/*
 * proxy-udp.c: UDP route of the fault-injecting proxy.  Each client gets a
 * socket of its own towards the upstream, so that answers find their way.
 */
#include "proxy.h"

#include <quince/link.h>
#include <quince/task.h>

#define MAX_CLIENTS 4096
#define MAX_DATAGRAM 65536
#define MAX_DELAYED 65536
#define LOSS_SEED 1

typedef struct
{
  ProxyUdp *proxy;
  GSocketAddress *address; /* owned; the client's             */
  GSocket *socket;         /* owned; connected to the upstream */
  GSource *readable;
  gboolean blocked; /* nothing is passed, either way */
} UdpClient;

struct _ProxyUdp
{
  char *address;
  GSocketAddress *upstream;  /* owned       */
  const ProxyFaults *faults; /* the route's */
  ProxySenders *senders;     /* the route's */
  ProxyCounters *counters;   /* the route's */
  GSocket *socket;           /* owned       */
  GSource *readable;
  GHashTable *clients; /* "ip:port" -> UdpClient; owned */
  GRand *random;       /* for losses                    */
  guint n_delayed;
};

typedef struct
{
  UdpClient *client;
  gboolean up;
  GBytes *data; /* owned */
} DelayedDatagram;

static void
pass_datagram (UdpClient *client, gboolean up, const char *data, gsize length)
{
  ProxyUdp *proxy = client->proxy;
  gssize sent = up ? g_socket_send (client->socket, data, length, NULL, NULL)
                   : g_socket_send_to (proxy->socket, client->address, data, length, NULL, NULL);
  if (sent > 0)
    *(up ? &proxy->counters->bytes_up : &proxy->counters->bytes_down) += (guint64)sent;
}

static gboolean
on_datagram_due (gpointer user_data)
{
  DelayedDatagram *delayed = user_data;
  gsize length = 0;
  const char *data = g_bytes_get_data (delayed->data, &length);
  delayed->client->proxy->n_delayed--;
  pass_datagram (delayed->client, delayed->up, data, length);
  g_bytes_unref (delayed->data);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static gboolean
is_lost (ProxyUdp *proxy, gboolean up)
{
  const ProxyFaults *faults = proxy->faults;
  return faults->cut || faults->freeze || proxy_drops (faults, up) || proxy->n_delayed >= MAX_DELAYED
         || (guint64)g_rand_int_range (proxy->random, 0, 100) < faults->loss_percent;
}

static void
take_datagram (UdpClient *client, gboolean up, const char *data, gsize length)
{
  ProxyUdp *proxy = client->proxy;
  if (client->blocked || is_lost (proxy, up))
    {
      proxy->counters->dropped++;
      return;
    }
  if (proxy->faults->delay_ms == 0)
    {
      pass_datagram (client, up, data, length);
      return;
    }
  DelayedDatagram *delayed = g_new0 (DelayedDatagram, 1);
  delayed->client = client;
  delayed->up = up;
  delayed->data = g_bytes_new (data, length);
  proxy->n_delayed++;
  g_timeout_add ((guint)proxy->faults->delay_ms, on_datagram_due, delayed);
  /* cppcheck-suppress memleak ; the callback owns it */
}

static gboolean
on_answer (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  char buffer[MAX_DATAGRAM];
  gssize length = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL);
  if (length > 0)
    take_datagram (user_data, FALSE, buffer, (gsize)length);
  return G_SOURCE_CONTINUE;
}

static GSource *
watch_socket (GSocket *socket, GSocketSourceFunc function, gpointer user_data)
{
  GSource *source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (source, G_SOURCE_FUNC (function), user_data, NULL);
  g_source_attach (source, NULL);
  return source;
}

static void
judge_sender (UdpClient *client)
{
  ProxyUdp *proxy = client->proxy;
  client->blocked = proxy_senders_block_datagrams (proxy->senders, client->address);
  proxy->counters->blocked += client->blocked ? 1 : 0;
}

static UdpClient *
find_client (ProxyUdp *proxy, GSocketAddress *address)
{
  g_autofree char *key = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (address));
  UdpClient *client = g_hash_table_lookup (proxy->clients, key);
  if (client != NULL || g_hash_table_size (proxy->clients) >= MAX_CLIENTS)
    return client;
  GSocket *socket = g_socket_new (g_socket_address_get_family (proxy->upstream), G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_UDP, NULL);
  if (socket == NULL || !g_socket_connect (socket, proxy->upstream, NULL, NULL))
    {
      g_clear_object (&socket);
      return NULL;
    }
  g_socket_set_blocking (socket, FALSE);
  client = g_new0 (UdpClient, 1);
  client->proxy = proxy;
  client->address = g_object_ref (address);
  client->socket = socket;
  proxy_senders_refresh (proxy->senders);
  judge_sender (client);
  client->readable = watch_socket (socket, on_answer, client);
  g_hash_table_insert (proxy->clients, g_steal_pointer (&key), client);
  proxy->counters->connections++;
  return client;
}

static gboolean
on_datagram (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  ProxyUdp *proxy = user_data;
  char buffer[MAX_DATAGRAM];
  g_autoptr (GSocketAddress) from = NULL;
  gssize length = g_socket_receive_from (socket, &from, buffer, sizeof buffer, NULL, NULL);
  UdpClient *client = length > 0 && from != NULL ? find_client (proxy, from) : NULL;
  if (client != NULL)
    take_datagram (client, TRUE, buffer, (gsize)length);
  return G_SOURCE_CONTINUE;
}

ProxyUdp *
proxy_udp_new (const char *listen,
               const char *upstream,
               const ProxyFaults *faults,
               ProxySenders *senders,
               ProxyCounters *counters,
               GError **error)
{
  g_autoptr (GSocketAddress) upstream_address = quince_address_parse (upstream, error);
  char *actual = NULL;
  GSocket *socket
      = upstream_address != NULL ? proxy_bind (listen, G_SOCKET_TYPE_DATAGRAM, &actual, error) : NULL;
  if (socket == NULL)
    return NULL;
  ProxyUdp *proxy = g_new0 (ProxyUdp, 1);
  proxy->address = actual;
  proxy->upstream = g_steal_pointer (&upstream_address);
  proxy->faults = faults;
  proxy->senders = senders;
  proxy->counters = counters;
  proxy->socket = socket;
  proxy->readable = watch_socket (socket, on_datagram, proxy);
  /* Clients stay until the process ends: delayed datagrams refer to them. */
  proxy->clients = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  proxy->random = g_rand_new_with_seed (LOSS_SEED);
  return proxy;
}

gboolean
proxy_udp_set_upstream (ProxyUdp *proxy, const char *upstream, GError **error)
{
  GSocketAddress *address = quince_address_parse (upstream, error);
  if (address == NULL)
    return FALSE;
  g_object_unref (proxy->upstream);
  proxy->upstream = address;
  GHashTableIter iter;
  gpointer client;
  g_hash_table_iter_init (&iter, proxy->clients);
  while (g_hash_table_iter_next (&iter, NULL, &client))
    if (!g_socket_connect (((UdpClient *)client)->socket, address, NULL, error))
      return FALSE;
  return TRUE;
}

void
proxy_udp_senders_changed (ProxyUdp *proxy)
{
  GHashTableIter iter;
  gpointer value;
  proxy_senders_refresh (proxy->senders);
  g_hash_table_iter_init (&iter, proxy->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      UdpClient *client = value;
      judge_sender (client);
    }
}

const char *
proxy_udp_get_address (ProxyUdp *proxy)
{
  return proxy->address;
}
