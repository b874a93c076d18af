/*
 * replica-parts.h: the parts of a replica, for the files that connect them.
 *
 * replica-setup.c creates the parts from the settings.  replica-ledger-events.c and replica-store-events.c
 * dispatch events between them.  replica-leadership.c starts and stops the leader's tasks.  replica.c owns
 * the parts and frees them.
 */
#pragma once

#include "core/weights/model-placement.h"
#include "forward/backends.h"
#include "http1/text-server.h"
#include "meta/meta-store.h"
#include "observer/observer.h"

#include "batch-service.h"
#include "feed-service.h"
#include "heartbeats.h"
#include "ledger-node.h"
#include "member-feed-wait.h"
#include "order-records.h"
#include "progress-copies.h"
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
 * @observer: configuration, workers and the product's own keys, read from the store or sent by the leader
 * @ledger: this replica's log and its membership of the ledger group
 * @placement: assignment of workers to models
 * @progress: texts of running samples that the leader sent, to resume from after a failover
 * @progress_file: progress of samples on disk
 * @progress_copies: copies of the progress of samples at backups
 * @batches: the batches in the ledger
 * @batch_memory: memory that callers' batches hold
 * @order_records: records of the workers that this leader orders
 * @leadership: weight orders, while this replica leads
 * @feed: feeds other processes with what this one reads or is fed
 * @member_feed_wait: lists the workers if this replica is a member of the ledger and is not fed in time
 * @heartbeats: to fronts, at the leader
 * @quarantine: quarantine of suspect requests; grants permits at the leader
 * @warmup: warm-up of cold workers; grants sends at the leader
 * @residency: residency rules of batches; admits batches at the leader
 * @usage: (nullable): %NULL if the platform wants no usage reports
 * @scaler: (nullable): %NULL if this deployment orders no workers
 * @retirement: machines that the operator drains
 * @metrics: (nullable): %NULL if no address is set
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
  QuinceProgressCopies *progress_copies;
  QuinceBatchService *batches;
  QuinceBatchMemory *batch_memory;
  QuinceOrderRecords *order_records;
  QuinceReplicaLeadership *leadership;
  QuinceFeedService *feed;
  QuinceMemberFeedWait *member_feed_wait;
  QuinceHeartbeats *heartbeats;
  QuinceQuarantineCoordinator *quarantine;
  QuinceWarmupCoordinator *warmup;
  QuinceResidencyCoordinator *residency;
  QuinceUsageCollector *usage;
  QuinceWorkerScaler *scaler;
  QuinceRetirement *retirement;
  QuinceTextServer *metrics;
} QuinceReplicaParts;
