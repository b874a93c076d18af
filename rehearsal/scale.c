/*
 * scale.c: the scale run, membership and policy spread over many hollow nodes.
 *
 * Phases, one line of key=value pairs each: all nodes join; a steady phase
 * measures bytes, CPU and memory; policy revisions are offered at random
 * nodes; random nodes are killed; and machines fail and restart at the daily
 * rate, compressed in time, while revisions are offered.
 */
#include "scale.h"

#include <math.h>
#include <stdio.h>

#include "hollow.h"
#include "scale-cluster.h"
#include "scale-options.h"
#include "scale-real.h"

#define EXIT_FAILED 1
/* IPv4 and UDP headers; payload and these are "bytes on the wire" here. */
#define UDP_HEADER_BYTES 28
#define TRIALS 5
#define JOIN_LIMIT_US (240 * G_TIME_SPAN_SECOND)
#define JOIN_POLL_US (500 * G_TIME_SPAN_MILLISECOND)
#define SETTLE_LIMIT_US (60 * G_TIME_SPAN_SECOND)
#define TRIAL_LIMIT_US (15 * G_TIME_SPAN_SECOND)
#define TRIAL_GAP_US (2 * G_TIME_SPAN_SECOND)

/* The deployment that the rates are of. */
#define FAILURES_A_DAY 81.0
#define RESTARTS_A_DAY 1600.0
#define RATED_NODES 400.0
#define DAY_US (86400.0 * G_TIME_SPAN_SECOND)
/* A restarted process is back after this; a failed machine's successor after that. */
#define RESTART_US (2 * G_TIME_SPAN_SECOND)
#define REPLACEMENT_US (10 * G_TIME_SPAN_SECOND)
#define REVISION_INTERVAL_US (10 * G_TIME_SPAN_SECOND)

typedef struct
{
  const QuinceScaleOptions *options;
  QuinceScaleCluster *cluster;
  QuinceScaleReal *real; /* owned; NULL when there are none */
  GRand *random;
  guint64 revision; /* last one offered */
  gint64 base_kib;  /* resident memory of the processes without nodes */
  GArray *back;     /* Return: nodes that will start again */
} Scale;

typedef struct
{
  guint index;
  gint64 at_us;
} Return;

/* ---- Figures --------------------------------------------------------- */

/* -1 for a time that is not known. */
static double
seconds (gint64 us)
{
  return us < 0 ? -1 : (double)us / G_TIME_SPAN_SECOND;
}

/* What a phase cost, a node and a second. */
static void
print_cost (const Scale *scale,
            const char *phase,
            const QuinceScaleReport *before,
            const QuinceScaleReport *after)
{
  double nodes = scale->options->size.nodes;
  double elapsed = seconds (after->at_us - before->at_us);
  double datagrams = (double)(after->datagrams - before->datagrams);
  double payload = (double)(after->bytes_sent - before->bytes_sent);
  double links = (double)(after->link_bytes - before->link_bytes);
  double processor = seconds (after->processor_us - before->processor_us);
  printf ("phase=%s seconds=%.1f wire_bytes_per_node_s=%.0f greatest_node_bytes_s=%.0f "
          "payload_bytes_per_node_s=%.0f "
          "datagrams_per_node_s=%.2f policy_bytes_per_node_s=%.0f cpu_percent_per_node=%.3f "
          "rss_kib_per_node=%.0f malformed=%" G_GINT64_FORMAT "\n",
          phase, elapsed, (payload + datagrams * UDP_HEADER_BYTES) / nodes / elapsed,
          (double)after->greatest_bytes / elapsed, payload / nodes / elapsed, datagrams / nodes / elapsed,
          links / nodes / elapsed, 100 * processor / nodes / elapsed,
          (double)(after->resident_kib - scale->base_kib) / nodes, after->malformed);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a, second = *(const double *)b;
  return (first > second) - (first < second);
}

static void
print_spread (const char *name, GArray *values)
{
  if (values->len == 0)
    return;
  g_array_sort (values, compare_doubles);
  printf (" %s_median=%.3f %s_max=%.3f", name, g_array_index (values, double, values->len / 2), name,
          g_array_index (values, double, values->len - 1));
}

/* ---- Join and steady ------------------------------------------------- */

static guint
random_running (Scale *scale)
{
  guint index;
  do
    index = (guint)g_rand_int_range (scale->random, 0, (gint32)scale->options->size.nodes);
  while (!quince_scale_cluster_get_node (scale->cluster, index)->running);
  return index;
}

static guint
count_real (const Scale *scale)
{
  return scale->real != NULL ? scale->options->real : 0;
}

/* All real nodes see exactly @alive members alive. */
static gboolean
real_agree (const Scale *scale, guint alive)
{
  return scale->real == NULL || quince_scale_real_count_agreeing (scale->real, alive) == scale->options->real;
}

/* Waits until every node sees all that run; -1 when it does not come to that. */
static gint64
wait_for_agreement (Scale *scale, gint64 limit_us, GError **error)
{
  gint64 start_us = g_get_monotonic_time ();
  QuinceScaleReport report;
  guint running = quince_scale_cluster_count_running (scale->cluster);
  while (g_get_monotonic_time () - start_us < limit_us)
    {
      guint alive = running + count_real (scale);
      if (!quince_scale_cluster_report (scale->cluster, alive, &report, error))
        return -1;
      if (report.agree == running && real_agree (scale, alive))
        return g_get_monotonic_time () - start_us;
      quince_scale_cluster_run (scale->cluster, JOIN_POLL_US);
    }
  return -1;
}

static gboolean
phase_join (Scale *scale, GError **error)
{
  QuinceScaleReport empty;
  if (!quince_scale_cluster_report (scale->cluster, 0, &empty, error))
    return FALSE;
  scale->base_kib = empty.resident_kib;
  printf ("process_base_rss_kib=%" G_GINT64_FORMAT "\n", scale->base_kib / scale->options->size.processes);

  gint64 start_us = g_get_monotonic_time ();
  for (guint i = 0; i < scale->options->size.nodes; i++)
    quince_scale_cluster_start_node (scale->cluster, i);
  if (scale->options->real > 0)
    {
      scale->real = quince_scale_real_new (scale->cluster, scale->options->real, error);
      if (scale->real == NULL)
        return FALSE;
    }
  gint64 started_us = g_get_monotonic_time ();
  gint64 joined_us = wait_for_agreement (scale, JOIN_LIMIT_US, error);
  if (joined_us < 0 && *error != NULL)
    return FALSE;
  printf ("phase=join start_s=%.2f full_membership_s=%.2f complete=%s\n", seconds (started_us - start_us),
          seconds (joined_us), joined_us >= 0 ? "true" : "false");
  return TRUE;
}

/* What the real nodes cost in a phase, a node and a second. */
static void
print_real_cost (const Scale *scale,
                 gint64 elapsed_us,
                 const QuinceScaleRealCost *before,
                 const QuinceScaleRealCost *after)
{
  double nodes = scale->options->real;
  double elapsed = seconds (elapsed_us);
  printf ("phase=steady_real nodes=%u payload_bytes_per_node_s=%.0f cpu_percent_per_node=%.3f "
          "rss_kib_per_node=%.0f\n",
          scale->options->real, (double)(after->gossip_bytes - before->gossip_bytes) / nodes / elapsed,
          100 * seconds (after->processor_us - before->processor_us) / nodes / elapsed,
          (double)after->resident_kib / nodes);
}

static gboolean
phase_steady (Scale *scale, GError **error)
{
  QuinceScaleReport before, after;
  QuinceScaleRealCost real_before, real_after;
  if (scale->real != NULL)
    quince_scale_real_get_cost (scale->real, &real_before);
  if (!quince_scale_cluster_report (scale->cluster, 0, &before, error))
    return FALSE;
  quince_scale_cluster_run (scale->cluster, (gint64)scale->options->seconds * G_TIME_SPAN_SECOND);
  if (!quince_scale_cluster_report (scale->cluster, 0, &after, error))
    return FALSE;
  print_cost (scale, "steady", &before, &after);
  if (scale->real == NULL)
    return TRUE;
  quince_scale_real_get_cost (scale->real, &real_after);
  print_real_cost (scale, after.at_us - before.at_us, &real_before, &real_after);
  return TRUE;
}

/* ---- Policy revisions ------------------------------------------------ */

static gboolean
revision_in_force (QuinceScaleCluster *cluster, gpointer user_data)
{
  const Scale *scale = user_data;
  for (guint i = 0; i < scale->options->size.nodes; i++)
    {
      const QuinceScaleNode *node = quince_scale_cluster_get_node (cluster, i);
      if (node->running && node->revision < scale->revision)
        return FALSE;
    }
  return scale->real == NULL
         || quince_scale_real_count_in_force (scale->real, scale->revision) == scale->options->real;
}

/* Offers the next revision at a random node; seconds until it is in force on all, -1 when it is not. */
static double
spread_revision (Scale *scale)
{
  guint origin = random_running (scale);
  scale->revision++;
  quince_scale_cluster_offer (scale->cluster, origin, scale->revision);
  if (!quince_scale_cluster_wait (scale->cluster, TRIAL_LIMIT_US, revision_in_force, scale))
    return -1;
  gint64 start_us = quince_scale_cluster_get_node (scale->cluster, origin)->in_force_us;
  gint64 end_us = start_us;
  for (guint i = 0; i < scale->options->size.nodes; i++)
    {
      const QuinceScaleNode *node = quince_scale_cluster_get_node (scale->cluster, i);
      if (node->running)
        end_us = MAX (end_us, node->in_force_us);
    }
  if (scale->real != NULL) /* asked again and again until all have it: seen a little late */
    end_us = MAX (end_us, g_get_monotonic_time ());
  return seconds (end_us - start_us);
}

static void
phase_revisions (Scale *scale)
{
  g_autoptr (GArray) spreads = g_array_new (FALSE, FALSE, sizeof (double));
  for (guint i = 0; i < TRIALS; i++)
    {
      double spread = spread_revision (scale);
      if (spread >= 0)
        g_array_append_val (spreads, spread);
      quince_scale_cluster_run (scale->cluster, TRIAL_GAP_US);
    }
  printf ("phase=revision trials=%d in_force_on_all=%u", TRIALS, spreads->len);
  print_spread ("in_force_s", spreads);
  printf ("\n");
}

/* ---- Killed nodes ---------------------------------------------------- */

static gboolean
all_know_gone (QuinceScaleCluster *cluster, gpointer user_data)
{
  const Scale *scale = user_data;
  for (guint i = 0; i < scale->options->size.nodes; i++)
    {
      const QuinceScaleNode *node = quince_scale_cluster_get_node (cluster, i);
      if (node->running && node->gone_us == 0)
        return FALSE;
    }
  return TRUE;
}

/* Latest time at which a node, of zone @zone when >= 0, knew the victim gone. */
static gint64
last_gone_us (Scale *scale, int zone)
{
  gint64 last_us = 0;
  for (guint i = 0; i < scale->options->size.nodes; i++)
    {
      const QuinceScaleNode *node = quince_scale_cluster_get_node (scale->cluster, i);
      if (node->running && (zone < 0 || (int)(i % scale->options->size.zones) == zone))
        last_us = MAX (last_us, node->gone_us);
    }
  return last_us;
}

static void
phase_kills (Scale *scale)
{
  g_autoptr (GArray) zone_times = g_array_new (FALSE, FALSE, sizeof (double));
  g_autoptr (GArray) all_times = g_array_new (FALSE, FALSE, sizeof (double));
  for (guint i = 0; i < TRIALS; i++)
    {
      guint victim = random_running (scale);
      quince_scale_cluster_watch (scale->cluster, victim);
      quince_scale_cluster_kill_node (scale->cluster, victim);
      if (quince_scale_cluster_wait (scale->cluster, TRIAL_LIMIT_US, all_know_gone, scale))
        {
          gint64 killed_us = quince_scale_cluster_get_node (scale->cluster, victim)->stopped_us;
          double zone
              = seconds (last_gone_us (scale, (int)(victim % scale->options->size.zones)) - killed_us);
          double all = seconds (last_gone_us (scale, -1) - killed_us);
          g_array_append_val (zone_times, zone);
          g_array_append_val (all_times, all);
        }
      quince_scale_cluster_start_node (scale->cluster, victim);
      quince_scale_cluster_run (scale->cluster, TRIAL_GAP_US);
    }
  printf ("phase=kill trials=%d known_by_all=%u", TRIALS, all_times->len);
  print_spread ("known_by_zone_s", zone_times);
  print_spread ("known_by_all_s", all_times);
  printf ("\n");
}

/* ---- Machine failures ------------------------------------------------ */

/* Time to the next event of a Poisson process of @rate events a day of the rated deployment. */
static gint64
next_event_us (Scale *scale, double rate)
{
  double nodes = scale->options->size.nodes;
  double mean_us = DAY_US / (rate * nodes / RATED_NODES * scale->options->failures);
  return (gint64)(-log (1 - g_rand_double (scale->random)) * mean_us);
}

static void
start_returned (Scale *scale, gint64 now_us)
{
  for (guint i = scale->back->len; i > 0; i--)
    {
      Return back = g_array_index (scale->back, Return, i - 1);
      if (back.at_us > now_us)
        continue;
      quince_scale_cluster_start_node (scale->cluster, back.index);
      g_array_remove_index_fast (scale->back, i - 1);
    }
}

/* Stops a random node; at least half of them always run. */
static void
stop_one (Scale *scale, gboolean planned, gint64 now_us)
{
  if (quince_scale_cluster_count_running (scale->cluster) <= scale->options->size.nodes / 2 + 1)
    return;
  Return back
      = { .index = random_running (scale), .at_us = now_us + (planned ? RESTART_US : REPLACEMENT_US) };
  if (planned)
    quince_scale_cluster_leave_node (scale->cluster, back.index);
  else
    quince_scale_cluster_kill_node (scale->cluster, back.index);
  g_array_append_val (scale->back, back);
}

typedef struct
{
  guint failures;
  guint restarts;
  guint revisions; /* offered */
  GArray *spreads; /* seconds until in force on all that run, of those that were */
} Churn;

static void
run_churn (Scale *scale, Churn *churn)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 end_us = now_us + (gint64)scale->options->seconds * G_TIME_SPAN_SECOND;
  gint64 failure_us = now_us + next_event_us (scale, FAILURES_A_DAY);
  gint64 restart_us = now_us + next_event_us (scale, RESTARTS_A_DAY);
  gint64 revision_us = now_us + REVISION_INTERVAL_US / 2;
  for (; now_us < end_us; now_us = g_get_monotonic_time ())
    {
      start_returned (scale, now_us);
      if (now_us >= failure_us)
        {
          stop_one (scale, FALSE, now_us);
          churn->failures++;
          failure_us += next_event_us (scale, FAILURES_A_DAY);
        }
      if (now_us >= restart_us)
        {
          stop_one (scale, TRUE, now_us);
          churn->restarts++;
          restart_us += next_event_us (scale, RESTARTS_A_DAY);
        }
      if (now_us >= revision_us)
        {
          double spread = spread_revision (scale);
          churn->revisions++;
          if (spread >= 0)
            g_array_append_val (churn->spreads, spread);
          revision_us += REVISION_INTERVAL_US;
        }
      quince_scale_cluster_run (scale->cluster, 20 * G_TIME_SPAN_MILLISECOND);
    }
}

static gboolean
phase_churn (Scale *scale, GError **error)
{
  Churn churn = { .spreads = g_array_new (FALSE, FALSE, sizeof (double)) };
  g_autoptr (GArray) owned = churn.spreads;
  QuinceScaleReport before, after;
  if (!quince_scale_cluster_report (scale->cluster, 0, &before, error))
    return FALSE;
  run_churn (scale, &churn);
  if (!quince_scale_cluster_report (scale->cluster, 0, &after, error))
    return FALSE;
  print_cost (scale, "churn_cost", &before, &after);

  start_returned (scale, G_MAXINT64);
  gint64 settled_us = wait_for_agreement (scale, SETTLE_LIMIT_US, error);
  if (settled_us < 0 && *error != NULL)
    return FALSE;
  printf ("phase=churn time_factor=%u failures=%u restarts=%u revisions=%u in_force_on_all=%u",
          scale->options->failures, churn.failures, churn.restarts, churn.revisions, churn.spreads->len);
  print_spread ("in_force_s", churn.spreads);
  printf (" settle_s=%.2f settled=%s\n", seconds (settled_us), settled_us >= 0 ? "true" : "false");
  return TRUE;
}

/* ---- All phases ------------------------------------------------------ */

static gboolean
run_phases (Scale *scale, GError **error)
{
  if (!phase_join (scale, error) || !phase_steady (scale, error))
    return FALSE;
  phase_revisions (scale);
  phase_kills (scale);
  return scale->options->failures == 0 || phase_churn (scale, error);
}

static int
run_scale (const QuinceScaleOptions *options)
{
  const QuinceScaleSize *size = &options->size;
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceScaleCluster) cluster = quince_scale_cluster_new (size, &error);
  Scale scale = { .options = options, .cluster = cluster };
  gboolean done = FALSE;
  if (cluster != NULL)
    {
      setvbuf (stdout, NULL, _IOLBF, 0);
      printf ("nodes=%u zones=%u regions=%u hollow_workers=%u processes=%u seed=%" G_GUINT64_FORMAT "\n",
              size->nodes, size->zones, size->regions, size->nodes * size->engines, size->processes,
              size->seed);
      scale.random = g_rand_new_with_seed ((guint32)size->seed);
      scale.back = g_array_new (FALSE, FALSE, sizeof (Return));
      done = run_phases (&scale, &error);
      quince_scale_real_free (scale.real);
      g_rand_free (scale.random);
      g_array_unref (scale.back);
    }
  if (!done)
    fprintf (stderr, "scale: %s\n", error->message);
  return done ? 0 : EXIT_FAILED;
}

int
quince_scale_run (int argc, char **argv)
{
  QuinceScaleOptions options;
  quince_scale_options_parse (&options, argc, argv);
  if (!options.hollow)
    return run_scale (&options);
  QuinceHollowOptions hollow = {
    .zones = options.size.zones,
    .regions = options.size.regions,
    .engines = options.size.engines,
    .seed = options.size.seed,
  };
  return quince_hollow_run (&hollow);
}
