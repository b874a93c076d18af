/*
 * address.c: conversion of numeric addresses; see address.h.
 */
#include "runtime/address.h"

#include <string.h>

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
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "'%s' is not a numeric ip:port",
               text != NULL ? text : "");
  return NULL;
}

char *
quince_address_format (GSocketAddress *address)
{
  GInetSocketAddress *inet_address = G_INET_SOCKET_ADDRESS (address);
  g_autofree char *host = g_inet_address_to_string (g_inet_socket_address_get_address (inet_address));
  guint port = g_inet_socket_address_get_port (inet_address);
  gboolean is_ipv6 = g_socket_address_get_family (address) == G_SOCKET_FAMILY_IPV6;
  return is_ipv6 ? g_strdup_printf ("[%s]:%u", host, port) : g_strdup_printf ("%s:%u", host, port);
}
