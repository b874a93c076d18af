/*
 * worker-pools.h: kept connections to workers, one pool for each.
 *
 * For: backends.c, which owns them, and evacuation.c.  Owns: the pools (sockets).  Relies on: lib/http1.
 */
#pragma once

#include "core/routing/worker-table.h"
#include "http1/http-client.h"

G_BEGIN_DECLS

typedef struct _QuinceWorkerPools QuinceWorkerPools;

QuinceWorkerPools *quince_worker_pools_new (void);
void quince_worker_pools_free (QuinceWorkerPools *pools);
/* Made when it is first asked for. */
QuinceHttpPool *quince_worker_pools_get (QuinceWorkerPools *pools, const QuinceWorker *worker);
/* (nullable): the pool of @worker_id, where there is one */
QuinceHttpPool *quince_worker_pools_find (const QuinceWorkerPools *pools, const char *worker_id);
/* (transfer full): copies of the ids of all workers that have a pool */
GPtrArray *quince_worker_pools_list (const QuinceWorkerPools *pools);
/* The worker is gone: closes its connections. */
void quince_worker_pools_remove (QuinceWorkerPools *pools, const char *worker_id);
/* Closes the connections that no request uses. */
void quince_worker_pools_drop_idle (QuinceWorkerPools *pools);
/* Connections made since the start, by removed pools too. */
guint64 quince_worker_pools_get_n_connections_opened (const QuinceWorkerPools *pools);

G_END_DECLS
