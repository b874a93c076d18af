/*
 * cluster-routes.h: routes of a cluster's parts through the fault proxy.
 */
#pragma once

#include "cluster.h"

G_BEGIN_DECLS

/* Makes the routes of a part that is about to start; they lead nowhere yet. */
gboolean quince_part_add_routes (QuinceCluster *cluster, QuinceClusterPart *part, guint64 delay_us);
/* Leads them to the addresses that the part has learnt. */
void quince_part_point_routes (QuinceCluster *cluster, QuinceClusterPart *part);

G_END_DECLS
