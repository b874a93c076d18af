/*
 * refused-item.h: log line for an item of the metadata store that cannot be decoded.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Logs that the value of @key cannot be decoded and is ignored.  @error: (transfer none): the reason */
void quince_log_refused_item (const char *key, const GError *error);

G_END_DECLS
