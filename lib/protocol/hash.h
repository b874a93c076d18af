/*
 * hash.h: non-cryptographic hashes that are stable across versions and machines.
 *
 * Hash values may be stored and compared between processes: the output of XXH3 is a fixed format.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Returns the 64-bit XXH3 hash of @length bytes. */
guint64 quince_hash64 (gconstpointer data, gsize length, guint64 seed);
/* Returns: (transfer full): the 128-bit XXH3 hash of @length bytes of @text, as 32 hexadecimal digits */
char *quince_hash_text (const char *text, gsize length);

G_END_DECLS
