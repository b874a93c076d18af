/*
 * scale-cluster.c: hollow nodes in several processes, as the scale run sees them.
 *
 * Each process is this program again, driven by the line protocol of hollow.h.
 */
#include "scale-cluster.h"

#include <string.h>

#include <quince/task.h>

G_DEFINE_QUARK (quince_scale_error, quince_scale_error)

#define SELF_EXECUTABLE "/proc/self/exe"
#define SEEDS 3
#define REPORT_LIMIT_US (30 * G_TIME_SPAN_SECOND)
#define NODE_START_LIMIT_US (10 * G_TIME_SPAN_SECOND)
/* The wait looks at its condition at least so often. */
#define WAIT_STEP_MS 20

typedef struct
{
  QuinceScaleCluster *cluster;
  GSubprocess *process;
  GOutputStream *commands;
  GDataInputStream *events;
  QuinceScaleReport report; /* last one */
  gboolean reported;        /* since it was asked */
} Worker;

struct _QuinceScaleCluster
{
  /* All fields belong to the default main context. */
  QuinceScaleSize size;
  GPtrArray *workers; /* Worker, owned */
  QuinceScaleNode *nodes;
  char *watched;   /* name of the member that gone events are about */
  gboolean broken; /* a process ended */
  GCancellable *cancellable;
};

static void worker_read (Worker *worker);

static void
worker_free (Worker *worker)
{
  /* The end of its input ends the process. */
  g_output_stream_close (worker->commands, NULL, NULL);
  g_subprocess_wait (worker->process, NULL, NULL);
  g_object_unref (worker->process);
  g_object_unref (worker->events);
  g_free (worker);
}

static Worker *
worker_of (QuinceScaleCluster *cluster, guint index)
{
  return cluster->workers->pdata[index % cluster->workers->len];
}

static void worker_command (Worker *worker, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
worker_command (Worker *worker, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_autofree char *line = g_strconcat (text, "\n", NULL);
  if (!g_output_stream_write_all (worker->commands, line, strlen (line), NULL, NULL, NULL))
    worker->cluster->broken = TRUE;
}

/* ---- Events ---------------------------------------------------------- */

static QuinceScaleNode *
event_node (Worker *worker, char **words)
{
  guint64 index = g_ascii_strtoull (words[1], NULL, 10);
  return index < worker->cluster->size.nodes ? &worker->cluster->nodes[index] : NULL;
}

static void
event_started (Worker *worker, char **words)
{
  QuinceScaleNode *node = event_node (worker, words);
  g_free (node->address);
  node->address = g_strdup (words[2]);
  node->running = TRUE;
}

static void
event_stopped (Worker *worker, char **words)
{
  event_node (worker, words)->stopped_us = g_ascii_strtoll (words[2], NULL, 10);
}

static void
event_in_force (Worker *worker, char **words)
{
  QuinceScaleNode *node = event_node (worker, words);
  node->revision = g_ascii_strtoull (words[2], NULL, 10);
  node->in_force_us = g_ascii_strtoll (words[3], NULL, 10);
}

static void
event_gone (Worker *worker, char **words)
{
  if (g_strcmp0 (words[2], worker->cluster->watched) == 0)
    event_node (worker, words)->gone_us = g_ascii_strtoll (words[3], NULL, 10);
}

static void
event_report (Worker *worker, char **words)
{
  QuinceScaleReport *report = &worker->report;
  report->nodes = (guint)g_ascii_strtoull (words[1], NULL, 10);
  report->agree = (guint)g_ascii_strtoull (words[2], NULL, 10);
  report->processor_us = g_ascii_strtoll (words[3], NULL, 10);
  report->resident_kib = g_ascii_strtoll (words[4], NULL, 10);
  report->datagrams = g_ascii_strtoll (words[5], NULL, 10);
  report->bytes_sent = g_ascii_strtoll (words[6], NULL, 10);
  report->bytes_received = g_ascii_strtoll (words[7], NULL, 10);
  report->link_bytes = g_ascii_strtoll (words[8], NULL, 10);
  report->malformed = g_ascii_strtoll (words[9], NULL, 10);
  report->greatest_bytes = g_ascii_strtoll (words[10], NULL, 10);
  worker->reported = TRUE;
}

static const struct
{
  const char *name;
  guint words;
  gboolean about_node; /* the first word is the index of a node */
  void (*take) (Worker *worker, char **words);
} events[] = {
  { "started", 3, TRUE, event_started }, { "killed", 3, TRUE, event_stopped },
  { "left", 3, TRUE, event_stopped },    { "inforce", 4, TRUE, event_in_force },
  { "gone", 4, TRUE, event_gone },       { "report", 11, FALSE, event_report },
};

static void
take_event (Worker *worker, const char *line)
{
  g_auto (GStrv) words = g_strsplit (line, " ", 0);
  guint count = g_strv_length (words);
  for (gsize i = 0; count > 0 && i < G_N_ELEMENTS (events); i++)
    {
      if (strcmp (words[0], events[i].name) != 0 || count != events[i].words)
        continue;
      if (!events[i].about_node || event_node (worker, words) != NULL)
        events[i].take (worker, words);
    }
}

static void
worker_line (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Worker *worker = user_data;
  g_autoptr (GError) error = NULL;
  g_autofree char *line
      = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, NULL, &error);
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  if (line == NULL)
    {
      worker->cluster->broken = TRUE;
      return;
    }
  take_event (worker, line);
  worker_read (worker);
}

static void
worker_read (Worker *worker)
{
  g_data_input_stream_read_line_async (worker->events, G_PRIORITY_DEFAULT, worker->cluster->cancellable,
                                       worker_line, worker);
}

/* ---- Life ------------------------------------------------------------ */

static gboolean
add_worker (QuinceScaleCluster *cluster, GError **error)
{
  const QuinceScaleSize *size = &cluster->size;
  g_autofree char *zones = g_strdup_printf ("--zones=%u", size->zones);
  g_autofree char *regions = g_strdup_printf ("--regions=%u", size->regions);
  g_autofree char *engines = g_strdup_printf ("--engines=%u", size->engines);
  g_autofree char *seed = g_strdup_printf ("--seed=%" G_GUINT64_FORMAT, size->seed);
  GSubprocess *process
      = g_subprocess_new (G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE, error,
                          SELF_EXECUTABLE, "scale", "--hollow", zones, regions, engines, seed, NULL);
  if (process == NULL)
    return FALSE;
  Worker *worker = g_new0 (Worker, 1);
  worker->cluster = cluster;
  worker->process = process;
  worker->commands = g_subprocess_get_stdin_pipe (process);
  worker->events = g_data_input_stream_new (g_subprocess_get_stdout_pipe (process));
  g_ptr_array_add (cluster->workers, worker);
  worker_read (worker);
  return TRUE;
}

QuinceScaleCluster *
quince_scale_cluster_new (const QuinceScaleSize *size, GError **error)
{
  g_autoptr (QuinceScaleCluster) cluster = g_new0 (QuinceScaleCluster, 1);
  cluster->size = *size;
  cluster->nodes = g_new0 (QuinceScaleNode, size->nodes);
  cluster->workers = g_ptr_array_new_with_free_func ((GDestroyNotify)worker_free);
  cluster->cancellable = g_cancellable_new ();
  for (guint i = 0; i < size->processes; i++)
    {
      if (!add_worker (cluster, error))
        return NULL;
    }
  return g_steal_pointer (&cluster);
}

void
quince_scale_cluster_free (QuinceScaleCluster *cluster)
{
  g_cancellable_cancel (cluster->cancellable);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_ptr_array_unref (cluster->workers);
  g_object_unref (cluster->cancellable);
  for (guint i = 0; i < cluster->size.nodes; i++)
    g_free (cluster->nodes[i].address);
  g_free (cluster->nodes);
  g_free (cluster->watched);
  g_free (cluster);
}

const QuinceScaleNode *
quince_scale_cluster_get_node (QuinceScaleCluster *cluster, guint index)
{
  return &cluster->nodes[index];
}

guint
quince_scale_cluster_count_running (QuinceScaleCluster *cluster)
{
  guint running = 0;
  for (guint i = 0; i < cluster->size.nodes; i++)
    running += cluster->nodes[i].running;
  return running;
}

/* ---- Commands -------------------------------------------------------- */

char *
quince_scale_cluster_list_seeds (QuinceScaleCluster *cluster)
{
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  for (guint i = 0; i < cluster->size.nodes && addresses->len < SEEDS; i++)
    {
      if (cluster->nodes[i].running)
        g_ptr_array_add (addresses, cluster->nodes[i].address);
    }
  if (addresses->len == 0)
    return g_strdup ("-");
  g_ptr_array_add (addresses, NULL);
  return g_strjoinv (",", (char **)addresses->pdata);
}

char *
quince_scale_cluster_name_zone (QuinceScaleCluster *cluster, guint index)
{
  guint zone = index % cluster->size.zones;
  return g_strdup_printf ("region%u-zone%u", zone % cluster->size.regions, zone);
}

static gboolean
node_runs (QuinceScaleCluster *cluster, gpointer node)
{
  return ((QuinceScaleNode *)node)->running;
}

void
quince_scale_cluster_start_node (QuinceScaleCluster *cluster, guint index)
{
  QuinceScaleNode *node = &cluster->nodes[index];
  g_autofree char *seeds = quince_scale_cluster_list_seeds (cluster);
  node->incarnation = MAX ((guint64)g_get_real_time (), node->incarnation + 1);
  node->revision = 0;
  worker_command (worker_of (cluster, index), "start %u %" G_GUINT64_FORMAT " %s", index, node->incarnation,
                  seeds);
  if (!quince_scale_cluster_wait (cluster, NODE_START_LIMIT_US, node_runs, node))
    cluster->broken = TRUE;
}

void
quince_scale_cluster_kill_node (QuinceScaleCluster *cluster, guint index)
{
  cluster->nodes[index].running = FALSE;
  worker_command (worker_of (cluster, index), "kill %u", index);
}

void
quince_scale_cluster_leave_node (QuinceScaleCluster *cluster, guint index)
{
  cluster->nodes[index].running = FALSE;
  worker_command (worker_of (cluster, index), "leave %u", index);
}

void
quince_scale_cluster_offer (QuinceScaleCluster *cluster, guint index, guint64 revision)
{
  worker_command (worker_of (cluster, index), "offer %u %" G_GUINT64_FORMAT, index, revision);
}

void
quince_scale_cluster_watch (QuinceScaleCluster *cluster, guint index)
{
  g_free (cluster->watched);
  cluster->watched = g_strdup_printf ("node-%u", index);
  for (guint i = 0; i < cluster->size.nodes; i++)
    cluster->nodes[i].gone_us = 0;
  for (guint i = 0; i < cluster->workers->len; i++)
    worker_command (cluster->workers->pdata[i], "watch %s", cluster->watched);
}

/* ---- Waiting --------------------------------------------------------- */

static gboolean
keep_turning (gpointer data)
{
  return G_SOURCE_CONTINUE;
}

gboolean
quince_scale_cluster_wait (QuinceScaleCluster *cluster,
                           gint64 limit_us,
                           QuinceScaleCondition condition,
                           gpointer user_data)
{
  gint64 end_us = quince_now_us () + limit_us;
  GSource *timer = quince_timer_add (WAIT_STEP_MS, keep_turning, NULL);
  gboolean holds = FALSE;
  while (!(holds = condition (cluster, user_data)) && !cluster->broken && quince_now_us () < end_us)
    g_main_context_iteration (NULL, TRUE);
  quince_source_clear (&timer);
  return holds;
}

static gboolean
never (QuinceScaleCluster *cluster, gpointer user_data)
{
  return FALSE;
}

void
quince_scale_cluster_run (QuinceScaleCluster *cluster, gint64 duration_us)
{
  quince_scale_cluster_wait (cluster, duration_us, never, NULL);
}

static gboolean
all_reported (QuinceScaleCluster *cluster, gpointer user_data)
{
  for (guint i = 0; i < cluster->workers->len; i++)
    {
      if (!((Worker *)cluster->workers->pdata[i])->reported)
        return FALSE;
    }
  return TRUE;
}

static void
add_report (QuinceScaleReport *sum, const QuinceScaleReport *report)
{
  sum->nodes += report->nodes;
  sum->agree += report->agree;
  sum->processor_us += report->processor_us;
  sum->resident_kib += report->resident_kib;
  sum->datagrams += report->datagrams;
  sum->bytes_sent += report->bytes_sent;
  sum->bytes_received += report->bytes_received;
  sum->link_bytes += report->link_bytes;
  sum->malformed += report->malformed;
  sum->greatest_bytes = MAX (sum->greatest_bytes, report->greatest_bytes);
}

gboolean
quince_scale_cluster_report (QuinceScaleCluster *cluster,
                             guint alive,
                             QuinceScaleReport *report,
                             GError **error)
{
  for (guint i = 0; i < cluster->workers->len; i++)
    {
      Worker *worker = cluster->workers->pdata[i];
      worker->reported = FALSE;
      worker_command (worker, "report %u", alive);
    }
  if (!quince_scale_cluster_wait (cluster, REPORT_LIMIT_US, all_reported, NULL))
    {
      g_set_error_literal (error, QUINCE_SCALE_ERROR, QUINCE_SCALE_ERROR_PROCESS,
                           "a process of hollow nodes does not answer");
      return FALSE;
    }
  *report = (QuinceScaleReport){ .at_us = quince_now_us () };
  for (guint i = 0; i < cluster->workers->len; i++)
    add_report (report, &((Worker *)cluster->workers->pdata[i])->report);
  return TRUE;
}
