/*
 * cluster-router.h: plain routers in the service's place, to compare with.
 */
#pragma once

#include "cluster.h"

G_BEGIN_DECLS

/* Leaves the platform and the engines in the plan: no nodes, no agents. */
void quince_deployment_remove_service (QuinceDeployment *deployment);

/**
 * quince_cluster_add_routers:
 * @cluster: without agents
 * @mode: of "quinceroute-rehearsal baseline"
 *
 * Starts plain routers where the service's agents would be: one more than there
 * are zones, since the first runs the trainers' samples and swaps weights too.
 * One router alone would be short of processor time, not of good decisions.
 */
gboolean quince_cluster_add_routers (QuinceCluster *cluster, const char *mode, GError **error);

G_END_DECLS
