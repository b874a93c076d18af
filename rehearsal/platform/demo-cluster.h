/*
 * demo-cluster.h: a deployment as real fronts and replicas on loopback, with the platform's stand-ins.
 *
 * A cluster owns its processes and its stand-ins, which live in the main context of the program that starts
 * it. Relies on the kit for processes, on the templates in deploy/ for their settings.
 */
#pragma once

#include "demo-configuration.h"
#include "process.h"
#include "standin-store.h"
#include "standin-worker.h"

typedef struct
{
  const QuinceDeployment *deployment;
  char *build_folder; /* folder */
  char *run_folder;   /* of settings, logs and data */
  StandinStore *store;
  GPtrArray *workers;   /* StandinWorker, owned */
  GPtrArray *fronts;    /* QuinceProcess, owned, one in each zone */
  GPtrArray *replicas;  /* QuinceProcess, owned, one in each zone */
  guint network_number; /* of the addresses 127.A.B.x: two clusters do not meet */
  gboolean is_bootstrapped;
} DemoCluster;

/* Runs the main context until @condition holds. Returns: %FALSE: it did not within @timeout_ms */
gboolean demo_await (gboolean (*condition) (gpointer data), gpointer data, guint timeout_ms);

DemoCluster *demo_cluster_start (const char *build_folder,
                                 const char *run_folder,
                                 const QuinceDeployment *deployment,
                                 GError **error);
void demo_cluster_free (DemoCluster *cluster);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (DemoCluster, demo_cluster_free)
const char *demo_cluster_get_front_address (const DemoCluster *cluster, guint index);
/* Runs the operators' command on the store. Returns: its exit status */
int demo_cluster_run_operator_tool (DemoCluster *cluster, const char *const *command);
/* The greatest policy revision is in force at every process. */
gboolean demo_cluster_await_policy (DemoCluster *cluster, guint timeout_ms);
/* Kills the replica that leads the ledger; it starts again with its data. Returns: %FALSE when none leads */
gboolean demo_cluster_kill_leader (DemoCluster *cluster, GError **error);
