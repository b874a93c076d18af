/*
 * event-run.h: what an operator and the callers do in a rehearsed event.
 */
#pragma once

#include "cluster.h"
#include "load.h"

G_BEGIN_DECLS

/* Accepts the deployment's policy; TRUE once it is in force on every node. */
gboolean quince_event_run_accept_policy (QuinceCluster *cluster, const char *comment);
/* Creates the deployment's event.  Returns: its monotonic start, 0 on failure. */
gint64 quince_event_run_create_event (QuinceCluster *cluster);
/* Adds the burst of every member, from @start_us on, through the agents. */
void quince_event_run_add_burst (QuinceCluster *cluster, QuinceLoad *load, gint64 start_us);

G_END_DECLS
