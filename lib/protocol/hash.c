/*
 * hash.c: hashes by libxxhash; see hash.h.
 */
#include "protocol/hash.h"

#include <xxhash.h>

guint64
quince_hash64 (gconstpointer data, gsize length, guint64 seed)
{
  return XXH3_64bits_withSeed (data, length, seed);
}

char *
quince_hash_text (const char *text, gsize length)
{
  XXH128_hash_t hash = XXH3_128bits (text, length);
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", (guint64)hash.high64,
                          (guint64)hash.low64);
}
