/*
 * replica-parts.h: the parts of a replica, for the files that join them.
 *
 * replica-setup.c creates them from the settings, replica-ledger-events.c and replica-store-events.c pass
 * events from one part to the others, replica-leadership.c keeps what lasts as long as this replica leads,
 * and replica.c owns them all: it starts, steps and releases them.
 */
#pragma once

#include "core/weights/model-placement.h"
#include "forward/backends.h"
#include "http1/text-server.h"
#include "meta/meta-store.h"
#include "observer/observer.h"

#include "batch-service.h"
#include "heartbeats.h"
#include "ledger-node.h"
#include "progress-file.h"
#include "progress.h"
#include "quarantine-coordinator.h"
#include "residency-coordinator.h"
#include "retirement.h"
#include "usage-collector.h"
#include "warmup-coordinator.h"
#include "worker-scaler.h"

typedef struct _QuinceReplicaLeadership QuinceReplicaLeadership;

/**
 * QuinceReplicaParts:
 * @name: of this machine
 * @store: client of the metadata store
 * @backends: workers and the connections to them
 * @observer: configuration, workers and own keys, as read from the store or sent by the leader
 * @ledger: this replica's log and its part in the group
 * @placement: which workers are kept at which model
 * @progress: texts of samples that the leader sent, for the case that this replica leads next
 * @progress_file: the same on disk
 * @batches: the batches in the ledger
 * @leadership: weight orders and the store feed, while this replica leads
 * @heartbeats: to fronts, at the leader
 * @quarantine, @warmup, @residency: the leader's parts that grant for all processes
 * @usage: %NULL where the platform asks for no reports of usage
 * @scaler: %NULL where no workers are ordered
 * @retirement: machines that the operator wants to be emptied
 * @metrics: %NULL where no address is set
 *
 * All fields belong to the main context and are owned by replica.c.
 */
typedef struct
{
  char *name;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceLedgerNode *ledger;
  QuinceModelPlacement *placement;
  QuinceProgressStore *progress;
  QuinceProgressFile *progress_file;
  QuinceBatchService *batches;
  QuinceReplicaLeadership *leadership;
  QuinceHeartbeats *heartbeats;
  QuinceQuarantineCoordinator *quarantine;
  QuinceWarmupCoordinator *warmup;
  QuinceResidencyCoordinator *residency;
  QuinceUsageCollector *usage;
  QuinceWorkerScaler *scaler;
  QuinceRetirement *retirement;
  QuinceTextServer *metrics;
} QuinceReplicaParts;
