/*
 * address.h: numeric addresses, "ip:port" or "[ipv6]:port".  Keeps no state; names are never looked up.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_ADDRESS_ERROR (quince_address_error_quark ())
GQuark quince_address_error_quark (void);

typedef enum
{
  QUINCE_ADDRESS_ERROR_FORM, /* not a numeric ip:port */
} QuinceAddressError;

/* Returns: (transfer full) (nullable): %NULL with QUINCE_ADDRESS_ERROR_FORM */
GSocketAddress *quince_address_parse (const char *text, GError **error);
/* @address: of an internet family.  Returns: (transfer full): as parse() takes it */
char *quince_address_format (GSocketAddress *address);

G_END_DECLS
