/*
 * result-cache.h: a cache of unpacked sample results.
 *
 * Results are held packed in memory.  Callers poll a batch's results twice a second, from any position, so
 * the newest results are read repeatedly.  The cache owns the unpacked results and a reference to each packed
 * one.
 */
#pragma once

#include "core/batches/batch-table.h"

G_BEGIN_DECLS

typedef struct _QuinceResultCache QuinceResultCache;

/* @max_bytes: limit that quince_result_cache_trim() enforces */
QuinceResultCache *quince_result_cache_new (gsize max_bytes);
void quince_result_cache_free (QuinceResultCache *cache);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceResultCache, quince_result_cache_free)

/**
 * quince_result_cache_get:
 * @body: a packed result, in the form that quince_batch_result_unpack() takes; results are cached by the
 *   address of @body, not by its contents
 * @error: as quince_batch_result_unpack()
 *
 * Unpacks the result unless it is cached.  The cache may exceed its limit until it is trimmed.
 *
 * Returns: (transfer none) (nullable): the result, valid until the next quince_result_cache_trim(), or %NULL
 * with @error
 */
const QuinceBatchResult *quince_result_cache_get (QuinceResultCache *cache, GBytes *body, GError **error);
/* Frees the results that were unpacked first until the rest is within the limit. */
void quince_result_cache_trim (QuinceResultCache *cache);
/* Returns the bytes counted against the limit: texts of unpacked results and their packed bodies.  Only tests
 * use it. */
gsize quince_result_cache_get_bytes (const QuinceResultCache *cache);

G_END_DECLS
