/*
 * prefix-blocks.c: chained hashes of a prompt's blocks.
 */
#include "prefix-blocks.h"

#include <quince/request-id.h>

/* Prompts that share this many blocks go to the same node. */
#define KEY_BLOCKS 2

guint
quince_prefix_blocks (const char *prompt, gsize length, guint64 blocks[QUINCE_MAX_PREFIX])
{
  guint n_blocks = (guint)MIN (length / QUINCE_PREFIX_BLOCK_BYTES, QUINCE_MAX_PREFIX);
  guint64 seed = 0;
  for (guint i = 0; i < n_blocks; i++)
    {
      seed = quince_hash64 (prompt + (gsize)i * QUINCE_PREFIX_BLOCK_BYTES, QUINCE_PREFIX_BLOCK_BYTES, seed);
      blocks[i] = seed;
    }
  return n_blocks;
}

guint64
quince_prefix_key (const char *prompt, gsize length, const guint64 *blocks, guint n_blocks)
{
  return n_blocks > 0 ? blocks[MIN (n_blocks, KEY_BLOCKS) - 1] : quince_hash64 (prompt, length, 0);
}

guint
quince_count_tokens (const char *text)
{
  guint count = 0;
  for (const char *at = text; *at != '\0'; at++)
    if (*at != ' ' && (at[1] == ' ' || at[1] == '\0'))
      count++;
  return count;
}
