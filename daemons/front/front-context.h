/*
 * front-context.h: the modules of a front that callers' connections and requests use.
 *
 * The front (front.c) owns the modules and outlives all connections.  Connections and requests hold a pointer
 * to the context and do not depend on the front itself.
 */
#pragma once

#include "core/routing/machine-zones.h"
#include "forward/backends.h"
#include "observer/observer.h"
#include "runtime/memory-account.h"

#include "directory.h"
#include "ledger-caller.h"
#include "route-splits.h"
#include "usage-reporter.h"

/**
 * QuinceFrontContext:
 * @backends: workers that requests are forwarded to
 * @observer: configuration in force, from the metadata store
 * @ledger: connection to the ledger's leader, for calls about batches
 * @usage: reports the requests of each tenant to the ledger's leader
 * @directory: fronts that callers may use
 * @replica_zones: zones of the machines that run ledger replicas
 * @splits: state of the split of routes between services
 * @memory: what callers' requests hold in this process
 * @connections_max: maximum number of callers' connections
 * @sockets_max: descriptors with this number and above are kept for files
 * @directory_ttl_s: how long callers may cache an answer of the directory, s
 * @in_progress: number of callers' requests in flight
 * @workers_known: %TRUE once all workers have been read or fed, also if there are none
 * @stopping: %TRUE once the planned stop has begun: each connection closes after its next answer, and the
 *   readiness check fails
 *
 * All fields belong to the main context.
 */
typedef struct
{
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceLedgerCaller *ledger;
  QuinceUsageReporter *usage;
  QuinceDirectory *directory;
  QuinceMachineZones *replica_zones;
  QuinceRouteSplits *splits;
  QuinceMemoryAccount *memory;
  guint connections_max;
  guint sockets_max;
  guint directory_ttl_s;
  guint in_progress;
  gboolean workers_known;
  gboolean stopping;
} QuinceFrontContext;

/* Returns whether this front can serve callers: it can route requests, knows some workers and is not
 * stopping. */
static inline gboolean
quince_front_context_is_ready (const QuinceFrontContext *context)
{
  gboolean knows_workers
      = context->workers_known
        || quince_worker_table_get_size (quince_backends_get_workers (context->backends)) > 0;
  return !context->stopping && knows_workers && quince_observer_get_routes (context->observer) != NULL;
}
