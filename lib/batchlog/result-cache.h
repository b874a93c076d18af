/*
 * result-cache.h: unpacked results of samples.
 *
 * Results are packed in memory.  Callers read a list twice a second and from any position, so that the newest
 * ones are read again and again.  Owns the unpacked results and a reference to each packed one.
 */
#pragma once

#include "core/batches/batch-table.h"

G_BEGIN_DECLS

typedef struct _QuinceResultCache QuinceResultCache;

/* @max_bytes: of results to keep when it is trimmed; the oldest are freed first */
QuinceResultCache *quince_result_cache_new (gsize max_bytes);
void quince_result_cache_free (QuinceResultCache *cache);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceResultCache, quince_result_cache_free)

/**
 * quince_result_cache_get:
 * @body: a packed result, as quince_batch_result_unpack() takes it
 * @error: errors as quince_batch_result_unpack()
 *
 * Returns: (transfer none) (nullable): valid until quince_result_cache_trim(); %NULL with @error
 */
const QuinceBatchResult *quince_result_cache_get (QuinceResultCache *cache, GBytes *body, GError **error);
/* Frees the oldest results until the rest is within the bound. */
void quince_result_cache_trim (QuinceResultCache *cache);
/* Bytes of unpacked results in memory.  For tests only: nothing else shows that they are bounded. */
gsize quince_result_cache_get_bytes (const QuinceResultCache *cache);

G_END_DECLS
