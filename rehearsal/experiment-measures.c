/*
 * experiment-measures.c: measures of a run, from the records of the callers,
 * trainers and engines alone.
 */
#include "experiment.h"

#include <math.h>

#include "http-sync.h"
#include "judge.h"

#define RECORDS_TIMEOUT_MS 20000

/* ---- Callers ------------------------------------------------------------------- */

typedef struct
{
  const QuinceMemberPlan *member;
  guint asked;
  guint on_time;
} MemberCount;

static void
count_member (GPtrArray *calls, MemberCount *count)
{
  for (guint i = 0; i < calls->len; i++)
    {
      const QuinceCall *call = calls->pdata[i];
      if (!g_str_equal (call->member, count->member->name))
        continue;
      count->asked++;
      count->on_time += call->on_time;
    }
}

static gboolean
ask_the_same (const QuinceMemberPlan *first, const QuinceMemberPlan *second)
{
  return g_str_equal (first->service, second->service) && g_str_equal (first->kind, second->kind)
         && first->requests == second->requests && first->tokens == second->tokens
         && first->deadline_ms == second->deadline_ms;
}

/* Jain, Chiu and Hawe, 1984: 1 when all members that ask like @first get alike. */
static double
measure_fairness (const MemberCount *counts, guint n_counts, guint first)
{
  double sum = 0, squares = 0;
  guint n_members = 0;
  for (guint i = 0; i < n_counts; i++)
    {
      if (!ask_the_same (counts[first].member, counts[i].member))
        continue;
      sum += counts[i].on_time;
      squares += (double)counts[i].on_time * counts[i].on_time;
      n_members++;
    }
  return squares > 0 ? sum * sum / (n_members * squares) : 1.0;
}

static void
measure_members (QuinceCluster *cluster, GPtrArray *calls, QuinceExperimentResult *result)
{
  guint n_members = cluster->deployment->members->len;
  g_autofree MemberCount *counts = g_new0 (MemberCount, n_members);
  GString *text = g_string_new (NULL);
  double fairness = 1.0;
  for (guint i = 0; i < n_members; i++)
    {
      counts[i].member = cluster->deployment->members->pdata[i];
      count_member (calls, &counts[i]);
      g_string_append_printf (text, "%s%s/%s=%u/%u", i > 0 ? ";" : "", counts[i].member->name,
                              counts[i].member->kind, counts[i].on_time, counts[i].asked);
    }
  for (guint i = 0; i < n_members; i++)
    fairness = MIN (fairness, measure_fairness (counts, n_members, i));
  result->measures[QUINCE_MEASURE_FAIRNESS] = fairness;
  result->members = g_string_free (text, FALSE);
}

static void
measure_calls (QuinceCluster *cluster, GPtrArray *calls, QuinceExperimentResult *result)
{
  g_autoptr (QuinceEvidence) evidence = quince_evidence_collect (cluster);
  QuinceVerdictOfCalls verdict;
  quince_judge_calls (calls, evidence, &verdict);
  double *measures = result->measures;
  measures[QUINCE_MEASURE_ON_TIME] = 100.0 * verdict.on_time / MAX (1, verdict.requests);
  measures[QUINCE_MEASURE_REFUSED] = verdict.refused;
  measures[QUINCE_MEASURE_LATE] = (double)verdict.requests - verdict.on_time - verdict.refused;
  measures[QUINCE_MEASURE_P50] = (double)verdict.p50_us / 1000;
  measures[QUINCE_MEASURE_P99] = (double)verdict.p99_us / 1000;
  result->broken += verdict.wrong + verdict.ran_though_refused + verdict.repeated;
}

/* ---- Trainers ------------------------------------------------------------------ */

gint64
quince_experiment_count_steps (QuinceCluster *cluster, gint64 *wanted)
{
  QuinceClusterPart *trainer;
  gint64 done = 0;
  *wanted = 0;
  for (guint i = 0; (trainer = quince_cluster_get (cluster, QUINCE_PART_TRAINER, i)) != NULL; i++)
    {
      g_autoptr (JsonNode) records = NULL;
      quince_http_sync (trainer->control, "/_records", NULL, RECORDS_TIMEOUT_MS, &records);
      done += quince_json_dig_int (records, "steps_done", 0);
      *wanted += ((QuinceTrainerPlan *)cluster->deployment->trainers->pdata[i])->steps;
    }
  return done;
}

static void
add_age (JsonArray *array, guint index, JsonNode *delivery, gpointer data)
{
  JsonArray *segments = quince_json_dig_array (delivery, "segments");
  gint64 version = quince_json_dig_int (delivery, "version", 0);
  gint64 oldest = version;
  for (guint i = 0; segments != NULL && i < json_array_get_length (segments); i++)
    oldest
        = MIN (oldest, quince_json_dig_int (json_array_get_element (segments, i), "weight_version", version));
  gint64 age = version - oldest;
  g_array_append_val ((GArray *)data, age);
}

static int
compare_ages (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a, second = *(const gint64 *)b;
  return first < second ? -1 : first > second;
}

static void
measure_trainers (QuinceCluster *cluster, gint64 elapsed_us, QuinceExperimentResult *result)
{
  g_autoptr (GArray) ages = g_array_new (FALSE, FALSE, sizeof (gint64));
  QuinceClusterPart *trainer;
  double idle_ms = 0;
  for (guint i = 0; (trainer = quince_cluster_get (cluster, QUINCE_PART_TRAINER, i)) != NULL; i++)
    {
      g_autoptr (JsonNode) records = NULL;
      quince_http_sync (trainer->control, "/_records", NULL, RECORDS_TIMEOUT_MS, &records);
      gint64 busy_ms = quince_json_dig_int (records, "busy_ms", 0);
      /* A batch that never came is not in the trainer's own sum. */
      idle_ms += result->complete ? (double)quince_json_dig_int (records, "idle_ms", 0)
                                  : (double)(elapsed_us / 1000 - busy_ms);
      static const char *const faults[]
          = { "lost", "duplicated", "over_staleness", "bad_text", "bad_segments", "unknown" };
      for (guint j = 0; j < G_N_ELEMENTS (faults); j++)
        result->broken += (guint)quince_json_dig_int (records, faults[j], 0);
      JsonArray *samples = quince_json_dig_array (records, "samples");
      if (samples != NULL)
        json_array_foreach_element (samples, add_age, ages);
    }
  g_array_sort (ages, compare_ages);
  result->measures[QUINCE_MEASURE_IDLE] = idle_ms / 1000;
  if (ages->len == 0)
    return;
  result->measures[QUINCE_MEASURE_STALE_P50] = (double)g_array_index (ages, gint64, ages->len / 2);
  result->measures[QUINCE_MEASURE_STALE_P99] = (double)g_array_index (ages, gint64, ages->len * 99 / 100);
}

/* ---- Engines ------------------------------------------------------------------- */

/* What the engines made of one prompt. */
typedef struct
{
  guint64 made;   /* tokens, by all attempts              */
  guint64 useful; /* tokens of one whole text             */
  guint whole;    /* times that the whole text was made   */
} PromptWork;

typedef struct
{
  GHashTable *prompts; /* prompt hash -> PromptWork, owned */
  gint64 blocks_seen;
  gint64 blocks_hit;
} EngineWork;

static void
add_finish (JsonArray *array, guint index, JsonNode *finish, gpointer data)
{
  EngineWork *work = data;
  const char *hash = quince_json_dig_text (finish, "prompt_hash", "");
  PromptWork *prompt = g_hash_table_lookup (work->prompts, hash);
  if (prompt == NULL)
    {
      prompt = g_new0 (PromptWork, 1);
      g_hash_table_insert (work->prompts, g_strdup (hash), prompt);
    }
  guint64 tokens = (guint64)quince_json_dig_int (finish, "tokens", 0);
  prompt->made += tokens;
  if (!g_str_equal (quince_json_dig_text (finish, "outcome", ""), "finished"))
    return;
  prompt->whole++;
  prompt->useful = tokens + (guint64)quince_json_dig_int (finish, "resumed", 0);
}

static void
add_records (JsonNode *records, gpointer data)
{
  EngineWork *work = data;
  work->blocks_seen += quince_json_dig_int (records, "blocks_seen", 0);
  work->blocks_hit += quince_json_dig_int (records, "blocks_hit", 0);
  JsonArray *finishes = quince_json_dig_array (records, "finishes");
  if (finishes != NULL)
    json_array_foreach_element (finishes, add_finish, work);
}

static void
measure_engines (QuinceCluster *cluster, QuinceExperimentResult *result)
{
  EngineWork work = { .prompts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free) };
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    quince_engine_foreach_records (cluster, engine, add_records, &work);
  guint64 made = 0, wasted = 0;
  guint regenerated = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, work.prompts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PromptWork *prompt = value;
      made += prompt->made;
      wasted += prompt->made - MIN (prompt->made, prompt->useful);
      regenerated += prompt->whole > 1;
    }
  g_hash_table_unref (work.prompts);
  double *measures = result->measures;
  measures[QUINCE_MEASURE_REGENERATED] = regenerated;
  measures[QUINCE_MEASURE_WASTED] = 100.0 * (double)wasted / (double)MAX (1, made);
  measures[QUINCE_MEASURE_PREFIX_HITS] = 100.0 * (double)work.blocks_hit / (double)MAX (1, work.blocks_seen);
}

void
quince_experiment_measure (QuinceCluster *cluster,
                           GPtrArray *calls,
                           gint64 elapsed_us,
                           QuinceExperimentResult *result)
{
  measure_members (cluster, calls, result);
  measure_calls (cluster, calls, result);
  measure_trainers (cluster, elapsed_us, result);
  measure_engines (cluster, result);
}
