/*
 * trainer-check.c: samples of the trainer stand-in, and what their delivery
 * must fulfil: once each, own text whole, segments that cover the tokens,
 * no older than the bound.
 */
#include "trainer.h"

#include <string.h>

#include <quince/request-id.h>

#define MAX_DELIVERIES 1000000

guint64
trainer_sample_tokens (const TrainerSettings *settings, guint64 step, guint64 sample)
{
  guint64 numbers[2] = { step, sample };
  double draw = (double)(quince_hash64 (numbers, sizeof numbers, settings->seed) >> 11) / 9007199254740992.0;
  gboolean is_long = draw < settings->tail_fraction;
  return MAX ((guint64)((double)settings->tokens * (is_long ? settings->tail_factor : 1.0)), 1);
}

char *
trainer_sample_id (guint64 step, guint64 sample)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, step, sample);
}

char *
trainer_sample_prompt (const TrainerSettings *settings, guint64 step, guint64 sample)
{
  return g_strdup_printf ("trainer=%s service=%s len=%" G_GUINT64_FORMAT " step=%" G_GUINT64_FORMAT
                          " sample=%" G_GUINT64_FORMAT,
                          settings->common.name, settings->common.service,
                          trainer_sample_tokens (settings, step, sample), step, sample);
}

/* The text that an engine must make of the prompt. */
static char *
expected_text (const char *prompt, guint64 tokens)
{
  guint32 prefix = (guint32)(quince_hash64 (prompt, strlen (prompt), 0) >> 32);
  GString *text = g_string_sized_new (tokens * 14);
  for (guint64 i = 0; i < tokens; i++)
    g_string_append_printf (text, "%08x-%" G_GUINT64_FORMAT " ", prefix, i);
  return g_string_free (text, FALSE);
}

static gboolean
parse_sample_id (const char *id, guint64 *step, guint64 *sample)
{
  char *end = NULL;
  *step = g_ascii_strtoull (id, &end, 10);
  if (end == id || *end != '-')
    return FALSE;
  return g_ascii_string_to_unsigned (end + 1, 10, 0, G_MAXINT64, sample, NULL);
}

/* What the segments of a sample say. */
typedef struct
{
  gboolean cover;   /* they cover the tokens without gap or overlap */
  guint64 least;    /* oldest weight version                        */
  guint64 greatest; /* newest weight version                        */
} SegmentSummary;

static SegmentSummary
summarize_segments (JsonObject *sample, guint64 token_count)
{
  SegmentSummary summary = { .least = G_MAXUINT64 };
  guint64 next = 0;
  JsonNode *node = json_object_get_member (sample, "segments");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return summary;
  JsonArray *segments = json_node_get_array (node);
  summary.cover = TRUE;
  for (guint i = 0; i < json_array_get_length (segments); i++)
    {
      JsonObject *segment = json_array_get_object_element (segments, i);
      guint64 version = (guint64)json_object_get_int_member (segment, "weight_version");
      guint64 count = (guint64)json_object_get_int_member (segment, "token_count");
      if ((guint64)json_object_get_int_member (segment, "first_token") != next || count == 0)
        summary.cover = FALSE;
      next += count;
      summary.least = MIN (summary.least, version);
      summary.greatest = MAX (summary.greatest, version);
    }
  summary.cover = summary.cover && next == token_count;
  return summary;
}

/* The segments as they were delivered, with the engines' name of the prompt. */
static void
record_delivery (Trainer *trainer, JsonObject *sample, const char *prompt, guint64 version)
{
  if (trainer->n_deliveries >= MAX_DELIVERIES)
    return;
  const char *id = json_object_get_string_member_with_default (sample, "sample_id", "");
  JsonNode *segments = json_object_get_member (sample, "segments");
  g_autofree char *text = segments != NULL ? json_to_string (segments, FALSE) : g_strdup ("[]");
  g_string_append_printf (trainer->deliveries,
                          "%s{\"sample_id\":\"%s\",\"version\":%" G_GUINT64_FORMAT
                          ",\"prompt_hash\":\"%016" G_GINT64_MODIFIER "x\",\"segments\":%s}",
                          trainer->n_deliveries > 0 ? "," : "", id, version,
                          quince_hash64 (prompt, strlen (prompt), 0), text);
  trainer->n_deliveries++;
}

static gboolean
has_own_text (JsonObject *sample, const char *prompt, guint64 tokens, guint64 token_count)
{
  g_autofree char *wanted = expected_text (prompt, tokens);
  const char *text = json_object_get_string_member_with_default (sample, "text", "");
  return token_count == tokens && g_str_equal (text, wanted);
}

/* The caller holds the lock.  Returns: TRUE when @sample is one of @step's,
 * seen for the first time. */
static gboolean
check_sample (Trainer *trainer, JsonObject *sample, guint64 step, guint64 version)
{
  TrainerCounters *counters = &trainer->counters;
  const char *id = json_object_get_string_member_with_default (sample, "sample_id", "");
  guint64 id_step = 0;
  guint64 number = 0;
  if (!parse_sample_id (id, &id_step, &number) || id_step != step || number >= trainer->settings.samples)
    {
      counters->unknown++;
      return FALSE;
    }
  if (!g_hash_table_add (trainer->delivered_ids, g_strdup (id)))
    {
      counters->duplicated++;
      return FALSE;
    }
  guint64 token_count = (guint64)json_object_get_int_member_with_default (sample, "token_count", 0);
  guint64 tokens = trainer_sample_tokens (&trainer->settings, step, number);
  g_autofree char *prompt = trainer_sample_prompt (&trainer->settings, step, number);
  SegmentSummary segments = summarize_segments (sample, token_count);
  counters->delivered++;
  counters->bad_text += has_own_text (sample, prompt, tokens, token_count) ? 0 : 1;
  counters->bad_segments += segments.cover ? 0 : 1;
  guint64 age = segments.cover && version > segments.least ? version - segments.least : 0;
  counters->staleness_sum += age;
  counters->over_staleness += age > trainer->settings.staleness ? 1 : 0;
  counters->mixed += segments.cover && segments.least != segments.greatest ? 1 : 0;
  record_delivery (trainer, sample, prompt, version);
  return TRUE;
}

void
trainer_check_batch (Trainer *trainer, JsonObject *batch, guint64 step, guint64 version)
{
  JsonNode *node = json_object_get_member (batch, "samples");
  JsonArray *samples = node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
  guint64 n_good = 0;
  g_mutex_lock (&trainer->lock);
  for (guint i = 0; samples != NULL && i < json_array_get_length (samples); i++)
    if (check_sample (trainer, json_array_get_object_element (samples, i), step, version))
      n_good++;
  trainer->counters.lost += trainer->settings.samples - n_good;
  trainer->counters.steps_done++;
  g_mutex_unlock (&trainer->lock);
}
