/*
 * address.h: numeric addresses, "ip:port" or "[ipv6]:port".  Keeps no state; names are never looked up.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Returns: (transfer full) (nullable): %NULL with G_IO_ERROR_INVALID_ARGUMENT */
GSocketAddress *quince_address_parse (const char *text, GError **error);
/* @address: of an internet family.  Returns: (transfer full): as parse() takes it */
char *quince_address_format (GSocketAddress *address);

G_END_DECLS
