/*
 * demo-cluster.h: runs the real fronts and replicas of a deployment on loopback addresses, with a simulated
 * store and simulated workers.
 *
 * A DemoCluster owns its processes, store and workers.  The store and the workers run in the default main
 * context of the program.  Settings of the processes come from the templates in deploy/, which must be in the
 * working directory.
 */
#pragma once

#include "demo-configuration.h"
#include "process.h"
#include "standin-store.h"
#include "standin-worker.h"

typedef struct
{
  const QuinceDeployment *deployment;
  char *build_folder;
  char *run_folder; /* settings, logs and data */
  StandinStore *store;
  GPtrArray *workers;       /* StandinWorker, owned */
  GPtrArray *fronts;        /* QuinceProcess, owned, one in each zone */
  GPtrArray *replicas;      /* QuinceProcess, owned, one in each zone */
  guint network_number;     /* selects the network 127.A.B.0/24, from the process id */
  gboolean is_bootstrapped; /* all processes have started once; replicas no longer bootstrap the ledger */
} DemoCluster;

/* Runs the default main context until @condition holds.
 *
 * Returns: %FALSE if @condition did not hold within @timeout_ms */
gboolean demo_await (gboolean (*condition) (gpointer data), gpointer data, guint timeout_ms);

/**
 * demo_cluster_start:
 * @build_folder: build folder that contains the daemons and tools
 * @run_folder: folder for settings, logs and data; created if missing
 * @deployment: must outlive the cluster and have at least one trainer
 *
 * Starts all processes and waits up to 20 s for a leader.
 *
 * Returns: (transfer full) (nullable): the cluster, or %NULL with an error
 */
DemoCluster *demo_cluster_start (const char *build_folder,
                                 const char *run_folder,
                                 const QuinceDeployment *deployment,
                                 GError **error);
void demo_cluster_free (DemoCluster *cluster);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (DemoCluster, demo_cluster_free)
/* Returns: (transfer none): address for callers of front @index, modulo the number of fronts */
const char *demo_cluster_get_front_address (const DemoCluster *cluster, guint index);
/* Runs the operator tool on the store.
 * @command: (array zero-terminated=1): arguments of the tool
 *
 * Returns: the exit status, 128 + signal number, or -1 if the tool did not start or did not end within 20 s
 */
int demo_cluster_run_operator_tool (DemoCluster *cluster, const char *const *command);
/* Waits until the same policy revision is in force at every process.
 *
 * Returns: %FALSE if it is not within @timeout_ms */
gboolean demo_cluster_await_policy (DemoCluster *cluster, guint timeout_ms);
/* Kills the leader of the ledger and restarts that replica with its data.
 *
 * Returns: %FALSE with an error if there is no leader or the replica does not restart */
gboolean demo_cluster_kill_leader (DemoCluster *cluster, GError **error);
