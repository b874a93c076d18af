/*
 * baseline-rollouts.c: trainers' samples, kept in memory and run first in,
 * first out, so many at once.
 */
#include "baseline.h"

#include <string.h>

#include <quince/http.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define LONGEST_NAME 128
#define LONGEST_PROMPT (4 * 1024 * 1024)
#define MOST_TOKENS 1000000
#define MOST_SAMPLES 16384
#define MOST_STEPS 1000000
#define MOST_TRIES 1000
#define PULL_AGAIN_MS 20

struct _BaselineRollouts
{
  Baseline *baseline;
  GHashTable *steps; /* "TRAINER/STEP" -> Step, owned             */
  GQueue *waiting;   /* Sample, first in first out; borrowed      */
  guint running;
  guint at_once; /* samples that may run together             */
};

typedef struct
{
  guint64 number;
  guint64 staleness_bound; /* versions     */
  GPtrArray *samples;      /* Sample, referenced */
} Step;

typedef struct
{
  grefcount references; /* its step's, and that of a run or of the waiting queue */
  BaselineRollouts *rollouts;
  char *service;
  char *id;
  char *prompt;
  guint max_tokens;
  BaselineRun *run; /* while it runs                           */
  char *text;       /* NULL until it is ready                  */
  guint token_count;
  guint64 oldest_version;
  JsonNode *segments; /* object with the member "segments", NULL until it is ready */
} Sample;

static void
sample_unref (gpointer data)
{
  Sample *sample = data;
  if (!g_ref_count_dec (&sample->references))
    return;
  g_free (sample->service);
  g_free (sample->id);
  g_free (sample->prompt);
  g_free (sample->text);
  g_clear_pointer (&sample->segments, json_node_unref);
  g_free (sample);
}

static void
step_free (gpointer data)
{
  Step *step = data;
  g_ptr_array_unref (step->samples);
  g_free (step);
}

BaselineRollouts *
baseline_rollouts_new (Baseline *baseline, guint samples_at_once)
{
  BaselineRollouts *rollouts = g_new0 (BaselineRollouts, 1);
  rollouts->baseline = baseline;
  rollouts->steps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, step_free);
  rollouts->waiting = g_queue_new ();
  rollouts->at_once = samples_at_once;
  return rollouts;
}

void
baseline_rollouts_free (BaselineRollouts *rollouts)
{
  g_queue_free_full (rollouts->waiting, sample_unref);
  g_hash_table_unref (rollouts->steps);
  g_free (rollouts);
}

/* ---- Running -------------------------------------------------------------- */

static void start_waiting (BaselineRollouts *rollouts);

static void
enqueue (Sample *sample)
{
  g_clear_pointer (&sample->text, g_free);
  g_clear_pointer (&sample->segments, json_node_unref);
  g_ref_count_inc (&sample->references);
  g_queue_push_tail (sample->rollouts->waiting, sample);
}

static void
take_result (Sample *sample)
{
  const BaselineRun *run = sample->run;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  baseline_run_describe_segments (run, builder);
  json_builder_end_object (builder);
  sample->segments = json_builder_get_root (builder);
  sample->text = g_strdup (run->text->str);
  sample->token_count = baseline_run_count_tokens (run);
  sample->oldest_version = G_MAXUINT64;
  for (guint i = 0; i < run->segments->len; i++)
    sample->oldest_version
        = MIN (sample->oldest_version, g_array_index (run->segments, BaselineSegment, i).version);
}

static void
on_sample_end (BaselineEnd how, gpointer user_data)
{
  Sample *sample = user_data;
  BaselineRollouts *rollouts = sample->rollouts;
  if (how == BASELINE_WHOLE)
    take_result (sample);
  else
    enqueue (sample);
  sample->run = NULL;
  rollouts->running--;
  sample_unref (sample);
  start_waiting (rollouts);
}

static void
start_waiting (BaselineRollouts *rollouts)
{
  while (rollouts->running < rollouts->at_once && !g_queue_is_empty (rollouts->waiting))
    {
      Sample *sample = g_queue_pop_head (rollouts->waiting);
      QuinceRequestId id;
      char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
      quince_request_id_generate (id, quince_wall_ms ());
      quince_request_id_format (id, text);
      sample->run
          = baseline_run_new (rollouts->baseline, sample->service, sample->prompt, text, sample->max_tokens);
      sample->run->tries_left = MOST_TRIES;
      sample->run->repeatable = TRUE;
      sample->run->on_end = on_sample_end;
      sample->run->user_data = sample;
      rollouts->running++;
      baseline_run_start (sample->run);
    }
}

/* ---- Submission -------------------------------------------------------------- */

/* (transfer full) (nullable) */
static Sample *
read_sample (BaselineRollouts *rollouts, JsonObject *body, const char *service, GError **error)
{
  const char *id = NULL, *prompt = NULL;
  guint64 max_tokens = 0;
  if (!quince_json_get_text (body, "sample_id", LONGEST_NAME, &id, error)
      || !quince_json_get_text (body, "prompt", LONGEST_PROMPT, &prompt, error)
      || !quince_json_get_u64 (body, "max_tokens", MOST_TOKENS, &max_tokens, error))
    return NULL;
  Sample *sample = g_new0 (Sample, 1);
  g_ref_count_init (&sample->references);
  sample->rollouts = rollouts;
  sample->service = g_strdup (service);
  sample->id = g_strdup (id);
  sample->prompt = g_strdup (prompt);
  sample->max_tokens = (guint)max_tokens;
  return sample;
}

static gboolean
read_samples (BaselineRollouts *rollouts, Step *step, JsonObject *body, const char *service, GError **error)
{
  JsonNode *node = json_object_get_member (body, "samples");
  JsonArray *list = node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
  guint count = list != NULL ? json_array_get_length (list) : 0;
  if (count == 0 || count > MOST_SAMPLES)
    {
      g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD, "field 'samples'");
      return FALSE;
    }
  for (guint i = 0; i < count; i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      if (!JSON_NODE_HOLDS_OBJECT (item))
        {
          g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD, "field 'samples'");
          return FALSE;
        }
      Sample *sample = read_sample (rollouts, json_node_get_object (item), service, error);
      if (sample == NULL)
        return FALSE;
      g_ptr_array_add (step->samples, sample);
    }
  return TRUE;
}

static char *
make_step_key (const char *trainer, guint64 step)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, trainer, step);
}

/* @step: (transfer full) */
static void
accept_step (BaselineRollouts *rollouts, SoupServerMessage *message, const char *trainer, Step *step)
{
  char *key = make_step_key (trainer, step->number);
  guint count = step->samples->len;
  if (g_hash_table_contains (rollouts->steps, key))
    {
      g_free (key);
      step_free (step);
    }
  else
    {
      g_hash_table_insert (rollouts->steps, key, step);
      for (guint i = 0; i < count; i++)
        enqueue (step->samples->pdata[i]);
      start_waiting (rollouts);
    }
  g_autofree char *answer = g_strdup_printf ("{\"accepted\":%u}", count);
  quince_http_reply_text (message, 200, "application/json", answer);
}

void
baseline_handle_rollout (BaselineRollouts *rollouts, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = quince_http_read_object (message);
  if (root == NULL)
    return;
  JsonObject *body = json_node_get_object (root);
  const char *trainer = NULL, *service = NULL;
  Step *step = g_new0 (Step, 1);
  step->samples = g_ptr_array_new_with_free_func (sample_unref);
  g_autoptr (GError) error = NULL;
  if (!quince_json_get_text (body, "trainer", LONGEST_NAME, &trainer, &error)
      || !quince_json_get_text (body, "service", LONGEST_NAME, &service, &error)
      || !quince_json_get_u64 (body, "step", MOST_STEPS, &step->number, &error)
      || !quince_json_get_u64 (body, "staleness_bound", G_MAXINT64, &step->staleness_bound, &error)
      || !read_samples (rollouts, step, body, service, &error))
    {
      step_free (step);
      quince_http_reply_error (message, 400, "bad_request", error->message, 1, -1);
      return;
    }
  accept_step (rollouts, message, trainer, step);
}

/* ---- Pull ------------------------------------------------------------------- */

/* Ready samples of @step; those that @version has made too old run again. */
static guint
check_samples (Step *step, guint64 version)
{
  guint ready = 0;
  for (guint i = 0; i < step->samples->len; i++)
    {
      Sample *sample = step->samples->pdata[i];
      gboolean is_ready = sample->text != NULL;
      if (is_ready && sample->oldest_version + step->staleness_bound < version)
        enqueue (sample);
      else if (is_ready)
        ready++;
    }
  return ready;
}

static void
answer_batch (SoupServerMessage *message, const Step *step)
{
  JsonArray *samples = json_array_new ();
  for (guint i = 0; i < step->samples->len; i++)
    {
      const Sample *sample = step->samples->pdata[i];
      JsonNode *node = json_node_copy (sample->segments);
      JsonObject *object = json_node_get_object (node);
      json_object_set_string_member (object, "sample_id", sample->id);
      json_object_set_string_member (object, "text", sample->text);
      json_object_set_int_member (object, "token_count", sample->token_count);
      json_array_add_element (samples, node);
    }
  g_autoptr (JsonObject) answer = json_object_new ();
  json_object_set_int_member (answer, "step", (gint64)step->number);
  json_object_set_array_member (answer, "samples", samples);
  g_autoptr (JsonNode) root = json_node_init_object (json_node_alloc (), answer);
  quince_http_reply_json (message, 200, root);
}

static void
pull (BaselineRollouts *rollouts,
      SoupServerMessage *message,
      const char *trainer,
      guint64 number,
      guint64 version)
{
  g_autofree char *key = make_step_key (trainer, number);
  g_autofree char *previous = make_step_key (trainer, number - 1);
  g_hash_table_remove (rollouts->steps, previous);
  Step *step = g_hash_table_lookup (rollouts->steps, key);
  if (step == NULL)
    {
      quince_http_reply_error (message, 404, "no_such_step", "the step was not submitted", -1, -1);
      return;
    }
  guint ready = check_samples (step, version);
  start_waiting (rollouts);
  if (ready == step->samples->len)
    {
      answer_batch (message, step);
      return;
    }
  g_autofree char *answer
      = g_strdup_printf ("{\"step\":%" G_GUINT64_FORMAT ",\"ready\":%u,\"total\":%u,\"retry_after_ms\":%d}",
                         number, ready, step->samples->len, PULL_AGAIN_MS);
  quince_http_reply_text (message, 202, "application/json", answer);
}

void
baseline_handle_trainer (BaselineRollouts *rollouts, SoupServerMessage *message, const char *path)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", 2);
  g_autoptr (JsonNode) root = quince_http_read_object (message);
  if (root == NULL)
    return;
  guint64 step = 0, version = 0;
  g_autoptr (GError) error = NULL;
  JsonObject *body = json_node_get_object (root);
  if (!quince_json_get_u64 (body, "step", MOST_STEPS, &step, &error)
      || !quince_json_opt_u64 (body, "version", G_MAXINT64, &version, &error))
    quince_http_reply_error (message, 400, "bad_request", error->message, 1, -1);
  else if (g_strcmp0 (parts[1], "pull") == 0)
    pull (rollouts, message, parts[0], step, version);
  else if (g_strcmp0 (parts[1], "release") == 0)
    {
      g_autofree char *key = make_step_key (parts[0], step);
      g_hash_table_remove (rollouts->steps, key);
      quince_http_reply_text (message, 200, "application/json", "{}");
    }
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}
