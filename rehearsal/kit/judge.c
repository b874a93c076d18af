/*
 * judge.c: compares what callers were told with what the engines did.
 */
#include "judge.h"

#include "http-sync.h"

#define RECORDS_TIMEOUT_MS 20000

struct _QuinceEvidence
{
  GHashTable *starts; /* request id -> count */
  guint missing;
};

static void
count_start (JsonArray *array, guint index, JsonNode *element, gpointer data)
{
  QuinceEvidence *evidence = data;
  const char *id = quince_json_dig_text (element, "request_id", "");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (evidence->starts, id));
  g_hash_table_insert (evidence->starts, g_strdup (id), GUINT_TO_POINTER (count + 1));
}

static void
add_starts (JsonNode *records, gpointer data)
{
  json_array_foreach_element (quince_json_dig_array (records, "starts"), count_start, data);
}

/* Returns: whether @records are those of an engine. */
static gboolean
show_records (JsonNode *records, QuinceRecordsFunc each, gpointer user_data)
{
  gboolean of_engine = quince_json_dig_array (records, "starts") != NULL;
  if (of_engine)
    each (records, user_data);
  return of_engine;
}

guint
quince_engine_foreach_records (QuinceCluster *cluster,
                               QuinceClusterPart *engine,
                               QuinceRecordsFunc each,
                               gpointer user_data)
{
  g_autoptr (JsonNode) live = NULL;
  quince_http_sync (engine->control, "/_records", NULL, RECORDS_TIMEOUT_MS, &live);
  guint found = show_records (live, each, user_data) ? 1 : 0;
  for (guint start = 0; start < engine->starts; start++)
    {
      g_autofree char *path = quince_cluster_make_records_path (cluster, engine, start);
      g_autofree char *text = NULL;
      g_file_get_contents (path, &text, NULL, NULL);
      g_autoptr (JsonNode) left = text != NULL ? json_from_string (text, NULL) : NULL;
      found += show_records (left, each, user_data) ? 1 : 0;
    }
  return engine->starts > found ? engine->starts - found : 0;
}

QuinceEvidence *
quince_evidence_collect (QuinceCluster *cluster)
{
  QuinceEvidence *evidence = g_new0 (QuinceEvidence, 1);
  evidence->starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    evidence->missing += quince_engine_foreach_records (cluster, engine, add_starts, evidence);
  return evidence;
}

void
quince_evidence_free (QuinceEvidence *evidence)
{
  g_hash_table_unref (evidence->starts);
  g_free (evidence);
}

guint
quince_evidence_count_starts (const QuinceEvidence *evidence, const char *request_id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (evidence->starts, request_id));
}

guint
quince_evidence_count_missing (const QuinceEvidence *evidence)
{
  return evidence->missing;
}

/* Ids with a call that may have run: several calls may carry one id. */
static GHashTable *
collect_not_refused (GPtrArray *calls)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < calls->len; i++)
    {
      QuinceCall *call = calls->pdata[i];
      gboolean turned_away
          = call->answer == QUINCE_ANSWER_NOT_RUN || g_str_equal (call->error_type, "duplicate_request");
      if (!turned_away)
        g_hash_table_add (ids, call->id);
    }
  return ids;
}

static void
judge_call (const QuinceCall *call,
            const QuinceEvidence *evidence,
            GHashTable *not_refused,
            QuinceVerdictOfCalls *out)
{
  guint starts = quince_evidence_count_starts (evidence, call->id);
  /* A start of an id belongs to a call that was not refused, when there is one. */
  gboolean refused_alone = !g_hash_table_contains (not_refused, call->id);
  out->requests++;
  out->answered += call->answer == QUINCE_ANSWER_WHOLE;
  out->on_time += call->on_time;
  out->refused += call->answer == QUINCE_ANSWER_NOT_RUN;
  out->unknown += call->answer == QUINCE_ANSWER_UNKNOWN;
  out->cut += call->answer == QUINCE_ANSWER_CUT;
  out->unanswered += call->answer == QUINCE_ANSWER_NONE;
  out->wrong += call->answer == QUINCE_ANSWER_WRONG;
  out->ran_though_refused += refused_alone && starts > 0;
  out->repeated += !call->repeatable && starts > 1;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return first < second ? -1 : first > second;
}

void
quince_judge_calls (GPtrArray *calls, const QuinceEvidence *evidence, QuinceVerdictOfCalls *out)
{
  *out = (QuinceVerdictOfCalls){ 0 };
  g_autoptr (GHashTable) not_refused = collect_not_refused (calls);
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < calls->len; i++)
    {
      const QuinceCall *call = calls->pdata[i];
      judge_call (call, evidence, not_refused, out);
      if (call->answer == QUINCE_ANSWER_WHOLE)
        g_array_append_val (times, call->latency_us);
    }
  g_array_sort (times, compare_times);
  if (times->len == 0)
    return;
  out->p50_us = g_array_index (times, gint64, times->len / 2);
  out->p99_us = g_array_index (times, gint64, times->len * 99 / 100);
}

char *
quince_judge_describe (const QuinceVerdictOfCalls *verdict)
{
  return g_strdup_printf (
      "requests=%u answered=%u on_time=%u refused=%u unknown=%u cut=%u unanswered=%u wrong=%u "
      "ran_though_refused=%u repeated=%u",
      verdict->requests, verdict->answered, verdict->on_time, verdict->refused, verdict->unknown,
      verdict->cut, verdict->unanswered, verdict->wrong, verdict->ran_though_refused, verdict->repeated);
}
