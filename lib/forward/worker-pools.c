/*
 * worker-pools.c: connection pools, one for each worker.
 */
#include "forward/worker-pools.h"

struct _QuinceWorkerPools
{
  /* All fields belong to the context that created it. */
  char *request_id_header;     /* by which answers name their requests */
  GHashTable *by_worker;       /* QuinceHttpPool by worker id, both owned */
  guint64 n_opened_by_removed; /* connections opened by pools that were removed */
};

QuinceWorkerPools *
quince_worker_pools_new (const char *request_id_header)
{
  QuinceWorkerPools *pools = g_new0 (QuinceWorkerPools, 1);
  pools->request_id_header = g_strdup (request_id_header);
  pools->by_worker
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_http_pool_unref);
  return pools;
}

void
quince_worker_pools_free (QuinceWorkerPools *pools)
{
  g_hash_table_unref (pools->by_worker);
  g_free (pools->request_id_header);
  g_free (pools);
}

QuinceHttpPool *
quince_worker_pools_find (const QuinceWorkerPools *pools, const char *worker_id)
{
  return g_hash_table_lookup (pools->by_worker, worker_id);
}

QuinceHttpPool *
quince_worker_pools_get (QuinceWorkerPools *pools, const QuinceWorker *worker)
{
  QuinceHttpPool *pool = quince_worker_pools_find (pools, worker->id);
  if (pool == NULL)
    {
      pool = quince_http_pool_new_with_ids (worker->address, pools->request_id_header);
      g_hash_table_insert (pools->by_worker, g_strdup (worker->id), pool);
    }
  return pool;
}

GPtrArray *
quince_worker_pools_list (const QuinceWorkerPools *pools)
{
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, pools->by_worker);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_ptr_array_add (ids, g_strdup (id));
  return ids;
}

void
quince_worker_pools_remove (QuinceWorkerPools *pools, const char *worker_id)
{
  const QuinceHttpPool *pool = quince_worker_pools_find (pools, worker_id);
  if (pool == NULL)
    return;
  pools->n_opened_by_removed += quince_http_pool_get_n_connections_opened (pool);
  g_hash_table_remove (pools->by_worker, worker_id);
}

void
quince_worker_pools_close_idle (QuinceWorkerPools *pools)
{
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, pools->by_worker);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    quince_http_pool_close_idle (pool);
}

guint64
quince_worker_pools_get_n_connections_opened (const QuinceWorkerPools *pools)
{
  guint64 opened = pools->n_opened_by_removed;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, pools->by_worker);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    opened += quince_http_pool_get_n_connections_opened (pool);
  return opened;
}
