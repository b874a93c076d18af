/*
 * address.h: conversion of numeric addresses, "ip:port" or "[ipv6]:port".  Host names are never resolved.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Returns: (transfer full) (nullable): the address, or %NULL with G_IO_ERROR_INVALID_ARGUMENT if @text is
 * %NULL or not a numeric address */
GSocketAddress *quince_address_parse (const char *text, GError **error);
/* Formats an IPv4 or IPv6 socket address.  Returns: (transfer full): text that quince_address_parse()
 * accepts */
char *quince_address_format (GSocketAddress *address);

G_END_DECLS
