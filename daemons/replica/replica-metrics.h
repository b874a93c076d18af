/*
 * replica-metrics.h: the metrics of a replica that are read from its parts when they are asked for.
 *
 * Owns no state; the parts own the text server.
 */
#pragma once

#include "replica-parts.h"

/* Serves /metrics at @address, ip:port; nothing where it is empty.
 * Returns: %FALSE with @error where it can't be listened on */
gboolean quince_replica_metrics_open (QuinceReplicaParts *parts, const char *address, GError **error);
