/*
 * datagrams.c: gossip over one UDP socket, and numeric addresses.
 */
#include <quince/link.h>

#include <string.h>

#include <quince/task.h>

#define DATAGRAM_MOST_BYTES 65536
/* Datagrams read before other sources of the context get their turn. */
#define DATAGRAM_RUN 64

struct _QuinceDatagrams
{
  /* All fields belong to the context that created the socket. */
  GSocket *socket;
  GSource *source;
  char *address;
  void (*received) (QuinceGossip *gossip, const char *from, gpointer user_data);
  gpointer user_data;
  guint8 *buffer;
  GHashTable *targets; /* address text -> GSocketAddress */
  guint64 bytes_sent;
  guint64 bytes_received;
  guint64 malformed;
};

GSocketAddress *
quince_address_parse (const char *text, GError **error)
{
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  guint64 port;
  if (colon != NULL && colon > text
      && g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
    {
      gboolean bracketed = text[0] == '[' && colon[-1] == ']';
      g_autofree char *host = bracketed ? g_strndup (text + 1, (gsize)(colon - text) - 2)
                                        : g_strndup (text, (gsize)(colon - text));
      GSocketAddress *address = g_inet_socket_address_new_from_string (host, (guint)port);
      if (address != NULL)
        return address;
    }
  g_set_error (error, QUINCE_LINK_ERROR, QUINCE_LINK_ERROR_ADDRESS, "'%s' is not a numeric ip:port",
               text != NULL ? text : "");
  return NULL;
}

char *
quince_address_format (GSocketAddress *address)
{
  GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS (address);
  g_autofree char *host = g_inet_address_to_string (g_inet_socket_address_get_address (inet));
  guint port = g_inet_socket_address_get_port (inet);
  gboolean six = g_socket_address_get_family (address) == G_SOCKET_FAMILY_IPV6;
  return six ? g_strdup_printf ("[%s]:%u", host, port) : g_strdup_printf ("%s:%u", host, port);
}

/* Returns: FALSE when nothing is left to read. */
static gboolean
receive_one (QuinceDatagrams *datagrams)
{
  g_autoptr (GSocketAddress) from = NULL;
  gssize length = g_socket_receive_from (datagrams->socket, &from, (char *)datagrams->buffer,
                                         DATAGRAM_MOST_BYTES, NULL, NULL);
  if (length < 0)
    return FALSE;
  datagrams->bytes_received += (guint64)length;
  QuinceGossip *gossip = quince_gossip_decode (datagrams->buffer, (gsize)length, NULL);
  if (gossip == NULL)
    {
      datagrams->malformed++;
      return TRUE;
    }
  g_autofree char *sender = quince_address_format (from);
  datagrams->received (gossip, sender, datagrams->user_data);
  return TRUE;
}

static gboolean
socket_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceDatagrams *datagrams = data;
  for (guint i = 0; i < DATAGRAM_RUN; i++)
    if (!receive_one (datagrams))
      break;
  return G_SOURCE_CONTINUE;
}

static GSocket *
bind_socket (const char *address, GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL)
    return NULL;
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (wanted), G_SOCKET_TYPE_DATAGRAM,
                                             G_SOCKET_PROTOCOL_UDP, error);
  if (socket == NULL || !g_socket_bind (socket, wanted, FALSE, error))
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  return g_steal_pointer (&socket);
}

QuinceDatagrams *
quince_datagrams_new (const char *address,
                      void (*received) (QuinceGossip *gossip, const char *from, gpointer user_data),
                      gpointer user_data,
                      GError **error)
{
  g_autoptr (GSocket) socket = bind_socket (address, error);
  if (socket == NULL)
    return NULL;
  g_autoptr (GSocketAddress) actual = g_socket_get_local_address (socket, error);
  if (actual == NULL)
    return NULL;
  QuinceDatagrams *datagrams = g_new0 (QuinceDatagrams, 1);
  datagrams->socket = g_steal_pointer (&socket);
  datagrams->address = quince_address_format (actual);
  datagrams->received = received;
  datagrams->user_data = user_data;
  datagrams->buffer = g_malloc (DATAGRAM_MOST_BYTES);
  datagrams->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  datagrams->source = g_socket_create_source (datagrams->socket, G_IO_IN, NULL);
  g_source_set_callback (datagrams->source, G_SOURCE_FUNC (socket_readable), datagrams, NULL);
  g_source_attach (datagrams->source, g_main_context_get_thread_default ());
  return datagrams;
}

static GSocketAddress *
lookup_target (QuinceDatagrams *datagrams, const char *to)
{
  enum
  {
    TARGETS_MOST = 4096
  };
  GSocketAddress *target = g_hash_table_lookup (datagrams->targets, to);
  if (target != NULL)
    return target;
  target = quince_address_parse (to, NULL);
  if (target == NULL)
    return NULL;
  if (g_hash_table_size (datagrams->targets) >= TARGETS_MOST)
    g_hash_table_remove_all (datagrams->targets);
  g_hash_table_insert (datagrams->targets, g_strdup (to), target);
  return target;
}

void
quince_datagrams_send (QuinceDatagrams *datagrams, const char *to, const QuinceGossip *gossip)
{
  GSocketAddress *target = lookup_target (datagrams, to);
  g_autoptr (GBytes) encoded = quince_gossip_encode (gossip, NULL);
  if (target == NULL || encoded == NULL)
    return;
  gsize length;
  const char *data = g_bytes_get_data (encoded, &length);
  /* Best effort: gossip bears loss. */
  gssize sent = g_socket_send_to (datagrams->socket, target, data, length, NULL, NULL);
  if (sent > 0)
    datagrams->bytes_sent += (guint64)sent;
}

const char *
quince_datagrams_get_address (QuinceDatagrams *datagrams)
{
  return datagrams->address;
}

guint64
quince_datagrams_get_bytes_sent (QuinceDatagrams *datagrams)
{
  return datagrams->bytes_sent;
}

guint64
quince_datagrams_get_bytes_received (QuinceDatagrams *datagrams)
{
  return datagrams->bytes_received;
}

guint64
quince_datagrams_get_malformed (QuinceDatagrams *datagrams)
{
  return datagrams->malformed;
}

void
quince_datagrams_free (QuinceDatagrams *datagrams)
{
  quince_source_clear (&datagrams->source);
  g_socket_close (datagrams->socket, NULL);
  g_object_unref (datagrams->socket);
  g_hash_table_unref (datagrams->targets);
  g_free (datagrams->buffer);
  g_free (datagrams->address);
  g_free (datagrams);
}
