/*
 * front-context.h: the parts of a front that callers' connections and requests use.
 *
 * The front (front.c) owns the parts and outlives every connection; connections and requests hold a pointer
 * to the context only, so that none of them calls the front.
 */
#pragma once

#include "core/routing/machine-zones.h"
#include "forward/backends.h"
#include "observer/observer.h"

#include "directory.h"
#include "ledger-caller.h"
#include "route-splits.h"
#include "usage-reporter.h"

/**
 * QuinceFrontContext:
 * @backends: workers that requests are forwarded to
 * @observer: configuration in force, as read from the metadata store
 * @ledger: link to the ledger's leader, for calls about batches
 * @usage: counts requests of tenants
 * @directory: fronts that callers may use
 * @replica_zones: zones of the machines that keep the ledger
 * @splits: turns of the services of split routes
 * @directory_keep_s: how long callers may keep an answer of the directory, s
 * @in_progress: requests of callers that have no answer yet
 * @stopping: the planned stop has begun: each answer ends its connection, and the readiness check fails
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
  guint directory_keep_s;
  guint in_progress;
  gboolean stopping;
} QuinceFrontContext;
