/*
 * scale-real.h: real node processes beside the hollow ones of a scale run.
 */
#pragma once

#include <gio/gio.h>

#include "scale-cluster.h"

G_BEGIN_DECLS

typedef struct _QuinceScaleReal QuinceScaleReal;

/**
 * quince_scale_real_new:
 * @cluster: hollow nodes, some of which run; they are the seeds
 * @count: real nodes, 1 to 16
 * @error: return location
 *
 * Starts quinceroute-node of this build without any platform service, one
 * process a node, in the first zones.
 */
QuinceScaleReal *quince_scale_real_new (QuinceScaleCluster *cluster, guint count, GError **error);
/* Kills them. */
void quince_scale_real_free (QuinceScaleReal *real);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScaleReal, quince_scale_real_free)

/* Real nodes that see exactly @alive members alive. */
guint quince_scale_real_count_agreeing (QuinceScaleReal *real, guint alive);
/* Real nodes that have policy revision @revision or a later one in force. */
guint quince_scale_real_count_in_force (QuinceScaleReal *real, guint64 revision);

/* What the real nodes cost since they started; sums. */
typedef struct
{
  gint64 gossip_bytes; /* UDP payload                       */
  gint64 processor_us;
  gint64 resident_kib;
} QuinceScaleRealCost;

void quince_scale_real_get_cost (QuinceScaleReal *real, QuinceScaleRealCost *cost);

G_END_DECLS
