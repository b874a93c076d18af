/*
 * prefix-index.c: see prefix-index.h.
 */
#include "prefix-index.h"

#include <string.h>

#include "spread.h"

#define SETS 8192
#define WAYS 8

/* A block and the engines that likely hold it; no engine: the place is free. */
typedef struct
{
  guint64 block;
  guint64 used; /* the index's use count at the last store or match */
  guint64 holders[QUINCE_PREFIX_WORDS];
} Place;

struct _QuincePrefixIndex
{
  Place *places; /* SETS * WAYS, owned */
  guint64 uses;
  guint64 slots[QUINCE_PREFIX_WORDS]; /* engine slots that are taken */
};

QuincePrefixIndex *
quince_prefix_index_new (void)
{
  QuincePrefixIndex *index = g_new0 (QuincePrefixIndex, 1);
  index->places = g_new0 (Place, SETS * WAYS);
  return index;
}

void
quince_prefix_index_free (QuincePrefixIndex *index)
{
  g_free (index->places);
  g_free (index);
}

static gboolean
is_free (const Place *place)
{
  for (guint word = 0; word < QUINCE_PREFIX_WORDS; word++)
    if (place->holders[word] != 0)
      return FALSE;
  return TRUE;
}

static Place *
set_of (QuincePrefixIndex *index, guint64 block)
{
  return &index->places[(quince_spread (0, block) % SETS) * WAYS];
}

static Place *
find (QuincePrefixIndex *index, guint64 block)
{
  Place *set = set_of (index, block);
  for (guint way = 0; way < WAYS; way++)
    if (set[way].block == block && !is_free (&set[way]))
      return &set[way];
  return NULL;
}

/* Finds or makes the place, replacing the one unused for the longest time. */
static Place *
claim (QuincePrefixIndex *index, guint64 block)
{
  Place *place = find (index, block);
  if (place != NULL)
    return place;
  Place *set = set_of (index, block);
  place = &set[0];
  for (guint way = 0; way < WAYS; way++)
    {
      if (is_free (&set[way]))
        {
          place = &set[way];
          break;
        }
      if (set[way].used < place->used)
        place = &set[way];
    }
  memset (place, 0, sizeof *place);
  place->block = block;
  return place;
}

int
quince_prefix_index_add_engine (QuincePrefixIndex *index)
{
  for (int slot = 0; slot < QUINCE_PREFIX_ENGINES; slot++)
    {
      guint64 bit = G_GUINT64_CONSTANT (1) << (slot % 64);
      if ((index->slots[slot / 64] & bit) != 0)
        continue;
      index->slots[slot / 64] |= bit;
      return slot;
    }
  return -1;
}

void
quince_prefix_index_remove_engine (QuincePrefixIndex *index, int slot)
{
  if (slot < 0)
    return;
  quince_prefix_index_reset_engine (index, slot);
  index->slots[slot / 64] &= ~(G_GUINT64_CONSTANT (1) << (slot % 64));
}

void
quince_prefix_index_reset_engine (QuincePrefixIndex *index, int slot)
{
  if (slot < 0)
    return;
  for (guint i = 0; i < SETS * WAYS; i++)
    index->places[i].holders[slot / 64] &= ~(G_GUINT64_CONSTANT (1) << (slot % 64));
}

void
quince_prefix_index_store (QuincePrefixIndex *index, int slot, const guint64 *blocks, guint n_blocks)
{
  if (slot < 0)
    return;
  index->uses++;
  for (guint i = 0; i < n_blocks; i++)
    {
      Place *place = claim (index, blocks[i]);
      place->holders[slot / 64] |= G_GUINT64_CONSTANT (1) << (slot % 64);
      place->used = index->uses;
    }
}

void
quince_prefix_index_evict (QuincePrefixIndex *index, int slot, const guint64 *blocks, guint n_blocks)
{
  if (slot < 0)
    return;
  for (guint i = 0; i < n_blocks; i++)
    {
      Place *place = find (index, blocks[i]);
      if (place != NULL)
        place->holders[slot / 64] &= ~(G_GUINT64_CONSTANT (1) << (slot % 64));
    }
}

/* Notes @length for every engine in @ended. */
static void
end_matches (QuincePrefixMatch *match, guint word, guint64 ended, guint length)
{
  while (ended != 0)
    {
      match->blocks[word * 64 + (guint)__builtin_ctzll (ended)] = (guint8)length;
      ended &= ended - 1;
    }
}

void
quince_prefix_index_match (QuincePrefixIndex *index,
                           const guint64 *blocks,
                           guint n_blocks,
                           QuincePrefixMatch *match)
{
  guint64 matching[QUINCE_PREFIX_WORDS];
  guint length;
  memset (match, 0, sizeof *match);
  memcpy (matching, index->slots, sizeof matching);
  for (length = 0; length < n_blocks; length++)
    {
      Place *place = find (index, blocks[length]);
      if (place == NULL)
        break;
      place->used = index->uses;
      for (guint word = 0; word < QUINCE_PREFIX_WORDS; word++)
        {
          end_matches (match, word, matching[word] & ~place->holders[word], length);
          matching[word] &= place->holders[word];
        }
    }
  for (guint word = 0; word < QUINCE_PREFIX_WORDS; word++)
    end_matches (match, word, matching[word], length);
}
