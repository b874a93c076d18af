/*
 * hash.h: hashes that do not change between versions and machines, for what is stored or compared by them.
 *
 * Keeps no state; relies on libxxhash, whose XXH3 is a fixed format.  Not for secrets.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* XXH3 of @length bytes, 64 bits. */
guint64 quince_hash64 (gconstpointer data, gsize length, guint64 seed);
/* XXH3 of @text, 128 bits, as 32 hexadecimal digits. (transfer full) */
char *quince_hash_text (const char *text, gsize length);

G_END_DECLS
