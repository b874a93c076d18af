/*
 * request-id.h: request identifiers that carry their creation time.
 *
 * Format: UUID version 7 (RFC 9562): 48 bits of Unix milliseconds, then
 * random bits.
 */
#pragma once

#include <glib.h>

#include "quince_protocol.h"

G_BEGIN_DECLS

#define QUINCE_REQUEST_ID_TEXT_LENGTH 36

void quince_request_id_generate (QuinceRequestId id, gint64 wall_ms);
/* Returns: %FALSE when @text is not a UUID version 7. */
gboolean quince_request_id_parse (const char *text, QuinceRequestId id);
/* Writes 36 characters and a NUL to @text. */
void quince_request_id_format (const QuinceRequestId id, char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1]);
/* Creation time, Unix milliseconds. */
gint64 quince_request_id_get_time_ms (const QuinceRequestId id);
/* For GHashTable; keys point at QUINCE_ID_BYTES bytes. */
guint quince_request_id_hash (gconstpointer id);
gboolean quince_request_id_equal (gconstpointer a, gconstpointer b);

/* Seeded XXH3 of @length bytes. */
guint64 quince_hash64 (gconstpointer data, gsize length, guint64 seed);
/* Hex XXH3-128 of @text. (transfer full) */
char *quince_hash_text (const char *text, gsize length);

G_END_DECLS
