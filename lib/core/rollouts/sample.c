/*
 * sample.c: one sample of a rollout, through its generations.
 */
#include "sample.h"

#include <string.h>

static const guint FIRST_GENERATION = 1;
/* Above the numbers, lengths and padding of one saved structure. */
static const gsize FIXED_BYTES = 64;

void
quince_sample_spec_copy_to (QuinceSampleSpec *target, const QuinceSampleSpec *source)
{
  *target = *source;
  target->sample_id = quince_string (source->sample_id);
  target->prompt = quince_string (source->prompt);
}

gboolean
quince_sample_spec_equal (const QuinceSampleSpec *a, const QuinceSampleSpec *b)
{
  return a->max_tokens == b->max_tokens && a->expected_tokens == b->expected_tokens
         && g_str_equal (a->sample_id, b->sample_id) && g_str_equal (a->prompt, b->prompt);
}

void
quince_sample_result_copy_to (QuinceSampleResult *target, const QuinceSampleResult *source)
{
  guint n_segments = source->segments.segments_len;

  *target = *source;
  target->sample_id = quince_string (source->sample_id);
  target->text = quince_string (source->text);
  target->segments.segments_val = g_new0 (QuinceSegment, n_segments);
  for (guint i = 0; i < n_segments; i++)
    {
      target->segments.segments_val[i] = source->segments.segments_val[i];
      target->segments.segments_val[i].engine = quince_string (source->segments.segments_val[i].engine);
    }
}

static void
result_free (QuinceSampleResult *result)
{
  if (result == NULL)
    return;
  xdr_free ((xdrproc_t)xdr_QuinceSampleResult, (char *)result);
  g_free (result);
}

QuinceSample *
quince_sample_new (const QuinceSampleSpec *spec)
{
  QuinceSample *sample = g_new0 (QuinceSample, 1);

  quince_sample_spec_copy_to (&sample->spec, spec);
  sample->generation = FIRST_GENERATION;
  return sample;
}

void
quince_sample_free (QuinceSample *sample)
{
  xdr_free ((xdrproc_t)xdr_QuinceSampleSpec, (char *)&sample->spec);
  result_free (sample->result);
  g_free (sample->lease.agent);
  g_free (sample);
}

guint
quince_sample_get_expected_tokens (const QuinceSample *sample)
{
  return sample->spec.expected_tokens != 0 ? sample->spec.expected_tokens : sample->spec.max_tokens;
}

gsize
quince_sample_result_get_bytes (const QuinceSampleResult *result)
{
  gsize bytes = FIXED_BYTES + strlen (result->sample_id) + strlen (result->text);

  for (guint i = 0; i < result->segments.segments_len; i++)
    bytes += FIXED_BYTES + strlen (result->segments.segments_val[i].engine);
  return bytes;
}

gsize
quince_sample_get_bytes (const QuinceSample *sample)
{
  gsize bytes = FIXED_BYTES + strlen (sample->spec.sample_id) + strlen (sample->spec.prompt);

  return sample->result != NULL ? bytes + quince_sample_result_get_bytes (sample->result) : bytes;
}

void
quince_sample_complete (QuinceSample *sample, const QuinceSampleResult *result)
{
  result_free (sample->result);
  sample->result = g_new0 (QuinceSampleResult, 1);
  quince_sample_result_copy_to (sample->result, result);
}

void
quince_sample_reopen (QuinceSample *sample)
{
  g_clear_pointer (&sample->result, result_free);
  sample->generation++;
}

gboolean
quince_sample_is_stale (const QuinceSample *sample, guint64 least_version)
{
  if (sample->result == NULL)
    return FALSE;
  for (guint i = 0; i < sample->result->segments.segments_len; i++)
    if (sample->result->segments.segments_val[i].weight_version < least_version)
      return TRUE;
  return FALSE;
}

guint64
quince_least_version (guint64 trainer_version, guint staleness_bound)
{
  return trainer_version > staleness_bound ? trainer_version - staleness_bound : 0;
}
