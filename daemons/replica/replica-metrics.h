/*
 * replica-metrics.h: sets the metrics that a replica computes for each scrape.
 *
 * The text server is owned by QuinceReplicaParts.
 */
#pragma once

#include "replica-parts.h"

/* Serves /metrics at @address, an ip:port; does nothing if it is empty.
 * Returns: %FALSE with @error if it can't listen on @address */
gboolean quince_replica_metrics_open (QuinceReplicaParts *parts, const char *address, GError **error);
