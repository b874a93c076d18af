/*
 * refused-item.h: the log line for an item of the metadata store that cannot be decoded.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The process keeps what it knew before; @error says why @key's value is no use. */
void quince_log_refused_item (const char *key, const GError *error);

G_END_DECLS
