/*
 * result-cache.c: caches unpacked results and evicts the oldest ones first.
 */
#include "batchlog/result-cache.h"

#include "runtime/packed-message.h"

typedef struct
{
  GBytes *body;              /* owned reference; packed result, the key of the cache */
  QuinceBatchResult *result; /* owned */
} CachedResult;

struct _QuinceResultCache
{
  GHashTable *by_body; /* GBytes (by address) to CachedResult; the queue owns both */
  GQueue order;        /* CachedResult, owned, oldest first */
  gsize max_bytes;
  gsize bytes;
};

static gsize
get_cached_bytes (const CachedResult *cached)
{
  return sizeof *cached + cached->result->text.text_len + g_bytes_get_size (cached->body);
}

static void
cached_result_free (gpointer data)
{
  CachedResult *cached = data;
  quince_batch_result_free (cached->result);
  g_bytes_unref (cached->body);
  g_free (cached);
}

QuinceResultCache *
quince_result_cache_new (gsize max_bytes)
{
  QuinceResultCache *cache = g_new0 (QuinceResultCache, 1);
  cache->by_body = g_hash_table_new (NULL, NULL);
  cache->max_bytes = max_bytes;
  g_queue_init (&cache->order);
  return cache;
}

void
quince_result_cache_free (QuinceResultCache *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_unref (cache->by_body);
  g_queue_clear_full (&cache->order, cached_result_free);
  g_free (cache);
}

const QuinceBatchResult *
quince_result_cache_get (QuinceResultCache *cache, GBytes *body, GError **error)
{
  CachedResult *cached = g_hash_table_lookup (cache->by_body, body);
  if (cached != NULL)
    return cached->result;
  QuinceBatchResult *result = quince_batch_result_unpack (body, error);
  if (result == NULL)
    return NULL;
  cached = g_new0 (CachedResult, 1);
  cached->body = g_bytes_ref (body);
  cached->result = result;
  g_hash_table_insert (cache->by_body, body, cached);
  g_queue_push_tail (&cache->order, cached);
  cache->bytes += get_cached_bytes (cached);
  return result;
}

void
quince_result_cache_trim (QuinceResultCache *cache)
{
  while (cache->bytes > cache->max_bytes)
    {
      CachedResult *oldest = g_queue_pop_head (&cache->order);
      cache->bytes -= get_cached_bytes (oldest);
      g_hash_table_remove (cache->by_body, oldest->body);
      cached_result_free (oldest);
    }
}

gsize
quince_result_cache_get_bytes (const QuinceResultCache *cache)
{
  return cache->bytes;
}
