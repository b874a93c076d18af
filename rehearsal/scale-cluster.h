/*
 * scale-cluster.h: hollow nodes in several processes, as the scale run sees them.
 *
 * Runs on the default main context; every wait iterates it and is bounded.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_SCALE_ERROR (quince_scale_error_quark ())
GQuark quince_scale_error_quark (void);

typedef enum
{
  QUINCE_SCALE_ERROR_PROCESS, /* a process of hollow nodes ended or does not answer */
} QuinceScaleError;

typedef struct
{
  guint nodes;
  guint zones;
  guint regions;
  guint engines; /* hollow engines a node */
  guint processes;
  guint64 seed;
} QuinceScaleSize;

/* One hollow node, running or not. */
typedef struct
{
  gboolean running;
  guint64 incarnation;
  char *address;      /* owned gossip address; NULL before the first start */
  guint64 revision;   /* policy revision in force                          */
  gint64 in_force_us; /* when it came into force                           */
  gint64 gone_us;     /* when this node knew the watched member gone; 0 not yet */
  gint64 stopped_us;  /* when it was killed or began to leave              */
} QuinceScaleNode;

/* Sums over all processes; counters only grow. */
typedef struct
{
  gint64 at_us;
  guint nodes;
  guint agree; /* nodes that see exactly the asked number of members alive */
  gint64 processor_us;
  gint64 resident_kib;
  gint64 datagrams;
  gint64 bytes_sent;     /* UDP payload */
  gint64 bytes_received; /* UDP payload */
  gint64 link_bytes;     /* TCP payload */
  gint64 malformed;
  gint64 greatest_bytes; /* sent by one node since the last report, with headers of datagrams */
} QuinceScaleReport;

typedef struct _QuinceScaleCluster QuinceScaleCluster;
typedef gboolean (*QuinceScaleCondition) (QuinceScaleCluster *cluster, gpointer user_data);

/* Starts the processes, without nodes. */
QuinceScaleCluster *quince_scale_cluster_new (const QuinceScaleSize *size, GError **error);
/* Ends the processes. */
void quince_scale_cluster_free (QuinceScaleCluster *cluster);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScaleCluster, quince_scale_cluster_free)

const QuinceScaleNode *quince_scale_cluster_get_node (QuinceScaleCluster *cluster, guint index);
guint quince_scale_cluster_count_running (QuinceScaleCluster *cluster);

/* Gossip addresses of the first nodes that run, one in each of the first zones, "-" for none. (transfer full)
 */
char *quince_scale_cluster_list_seeds (QuinceScaleCluster *cluster);
/* Zone of node @index. (transfer full) */
char *quince_scale_cluster_name_zone (QuinceScaleCluster *cluster, guint index);

void quince_scale_cluster_start_node (QuinceScaleCluster *cluster, guint index);
void quince_scale_cluster_kill_node (QuinceScaleCluster *cluster, guint index);
void quince_scale_cluster_leave_node (QuinceScaleCluster *cluster, guint index);
void quince_scale_cluster_offer (QuinceScaleCluster *cluster, guint index, guint64 revision);
/* From now on the nodes' gone_us are about node @index. */
void quince_scale_cluster_watch (QuinceScaleCluster *cluster, guint index);

/* FALSE when @condition does not hold after @limit_us, or a process ended. */
gboolean quince_scale_cluster_wait (QuinceScaleCluster *cluster,
                                    gint64 limit_us,
                                    QuinceScaleCondition condition,
                                    gpointer user_data);
/* Lets @duration_us pass. */
void quince_scale_cluster_run (QuinceScaleCluster *cluster, gint64 duration_us);
gboolean quince_scale_cluster_report (QuinceScaleCluster *cluster,
                                      guint alive,
                                      QuinceScaleReport *report,
                                      GError **error);

G_END_DECLS
