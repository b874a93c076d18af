/*
 * worker-pools.h: connection pools, one for each worker.
 */
#pragma once

#include "core/routing/worker-table.h"
#include "http1/http-client.h"

G_BEGIN_DECLS

typedef struct _QuinceWorkerPools QuinceWorkerPools;

/* @request_id_header: header by which a worker's answer names its request, see
 * quince_http_pool_new_with_ids() */
QuinceWorkerPools *quince_worker_pools_new (const char *request_id_header);
void quince_worker_pools_free (QuinceWorkerPools *pools);
/* Returns: (transfer none): the pool of @worker, created on first use */
QuinceHttpPool *quince_worker_pools_get (QuinceWorkerPools *pools, const QuinceWorker *worker);
/* Returns: (transfer none) (nullable): the pool of @worker_id, or %NULL if it has none */
QuinceHttpPool *quince_worker_pools_find (const QuinceWorkerPools *pools, const char *worker_id);
/* Returns: (transfer full) (element-type utf8): copies of the ids of all workers that have a pool */
GPtrArray *quince_worker_pools_list (const QuinceWorkerPools *pools);
/* Removes the pool of a worker that is gone, if there is one, and closes its idle connections; requests in
 * flight complete. */
void quince_worker_pools_remove (QuinceWorkerPools *pools, const char *worker_id);
/* Closes all idle connections. */
void quince_worker_pools_close_idle (QuinceWorkerPools *pools);
/* Returns the number of connections opened since the start, including those of removed pools. */
guint64 quince_worker_pools_get_n_connections_opened (const QuinceWorkerPools *pools);

G_END_DECLS
