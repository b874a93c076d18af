/*
 * cluster-parts.h: flags of each kind of process of a cluster.
 */
#pragma once

#include "cluster.h"

G_BEGIN_DECLS

QuinceClusterPart *
quince_part_new (QuincePartKind kind, const char *name, const char *zone, const char *service);
void quince_part_free (gpointer data);

/* Starts the part's process without waiting. */
gboolean quince_part_spawn (QuinceCluster *cluster, QuinceClusterPart *part, GError **error);
/* Waits for its ready line and learns its addresses. */
gboolean quince_part_await (QuinceClusterPart *part, GError **error);

/* Fill in the flags; what they need of others must be up. */
void quince_part_set_standin_flags (QuinceCluster *cluster, QuinceClusterPart *part, const char *subcommand);
void
quince_part_set_engine_flags (QuinceCluster *cluster, QuinceClusterPart *part, const QuinceServicePlan *plan);
void quince_part_set_node_flags (QuinceCluster *cluster,
                                 QuinceClusterPart *part,
                                 const char *seeds,
                                 gboolean ledger);
void quince_part_set_agent_flags (QuinceCluster *cluster, QuinceClusterPart *part, const char *nodes);
void quince_part_set_trainer_flags (QuinceCluster *cluster,
                                    QuinceClusterPart *part,
                                    const QuinceTrainerPlan *plan);

G_END_DECLS
