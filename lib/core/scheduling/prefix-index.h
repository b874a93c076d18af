/*
 * prefix-index.h: which engines likely hold which prefix blocks.
 *
 * A set-associative table of fixed size; the block that was not used for the
 * longest time in a full set is replaced.  What it says is only likely: cache
 * events come late and with gaps, and own grants are entered before they ran.
 */
#pragma once

#include <glib.h>

/* Engines beyond this many are served without cache locality. */
#define QUINCE_PREFIX_ENGINES 256
#define QUINCE_PREFIX_WORDS (QUINCE_PREFIX_ENGINES / 64)

typedef struct _QuincePrefixIndex QuincePrefixIndex;

/* Length of the match, in blocks, for each engine slot. */
typedef struct
{
  guint8 blocks[QUINCE_PREFIX_ENGINES];
} QuincePrefixMatch;

QuincePrefixIndex *quince_prefix_index_new (void);
void quince_prefix_index_free (QuincePrefixIndex *index);

/* Returns: a slot for an engine, -1 when all are taken. */
int quince_prefix_index_add_engine (QuincePrefixIndex *index);
/* Forgets all that the engine holds and frees the slot. */
void quince_prefix_index_remove_engine (QuincePrefixIndex *index, int slot);
void quince_prefix_index_reset_engine (QuincePrefixIndex *index, int slot);

void quince_prefix_index_store (QuincePrefixIndex *index, int slot, const guint64 *blocks, guint n_blocks);
void quince_prefix_index_evict (QuincePrefixIndex *index, int slot, const guint64 *blocks, guint n_blocks);
/* Blocks are chained hashes: the match of an engine ends at the first block it lacks. */
void quince_prefix_index_match (QuincePrefixIndex *index,
                                const guint64 *blocks,
                                guint n_blocks,
                                QuincePrefixMatch *match);
