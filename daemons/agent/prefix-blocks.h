/*
 * prefix-blocks.h: chained hashes of a prompt's blocks (docs/API.md, "Engine").
 */
#pragma once

#include <quince/codec.h>

#define QUINCE_PREFIX_BLOCK_BYTES 64

/* Returns: how many of @blocks were filled in, at most %QUINCE_MAX_PREFIX. */
guint quince_prefix_blocks (const char *prompt, gsize length, guint64 blocks[QUINCE_MAX_PREFIX]);
/* Rendezvous key of the first blocks, or of the whole of a short prompt. */
guint64 quince_prefix_key (const char *prompt, gsize length, const guint64 *blocks, guint n_blocks);
/* Tokens are words that end in one blank. */
guint quince_count_tokens (const char *text);
