/*
 * step.c: the rollouts of one trainer step and the batch made of them.
 */
#include "step.h"

#include "generated/rollout_state.h"

/* Results in one page, so that neither end holds more of a batch in memory; a greater sample goes alone. */
static const gsize PAGE_BYTES = 1024 * 1024;

QuinceRollout *
quince_rollout_new (const QuinceSubmitRollout *submit)
{
  QuinceRollout *rollout = g_new0 (QuinceRollout, 1);

  rollout->rollout_id = g_strdup (submit->rollout_id);
  rollout->service = g_strdup (submit->service);
  rollout->member = g_strdup (submit->member);
  rollout->step = submit->step;
  rollout->staleness_bound = submit->staleness_bound;
  rollout->samples = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_sample_free);
  for (guint i = 0; i < submit->samples.samples_len; i++)
    g_ptr_array_add (rollout->samples, quince_sample_new (&submit->samples.samples_val[i]));
  return rollout;
}

void
quince_rollout_free (QuinceRollout *rollout)
{
  g_free (rollout->rollout_id);
  g_free (rollout->service);
  g_free (rollout->member);
  g_ptr_array_unref (rollout->samples);
  g_free (rollout);
}

gboolean
quince_rollout_matches (const QuinceRollout *rollout, const QuinceSubmitRollout *submit)
{
  if (rollout->step != submit->step || rollout->staleness_bound != submit->staleness_bound
      || rollout->samples->len != submit->samples.samples_len)
    return FALSE;
  if (!g_str_equal (rollout->service, submit->service) || !g_str_equal (rollout->member, submit->member))
    return FALSE;
  for (guint i = 0; i < rollout->samples->len; i++)
    {
      const QuinceSample *sample = g_ptr_array_index (rollout->samples, i);
      if (!quince_sample_spec_equal (&sample->spec, &submit->samples.samples_val[i]))
        return FALSE;
    }
  return TRUE;
}

QuinceStep *
quince_step_new (guint64 number)
{
  QuinceStep *step = g_new0 (QuinceStep, 1);

  step->number = number;
  step->rollouts = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_rollout_free);
  step->samples = g_ptr_array_new ();
  step->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return step;
}

void
quince_step_free (QuinceStep *step)
{
  g_hash_table_unref (step->by_id);
  g_ptr_array_unref (step->samples);
  g_ptr_array_unref (step->rollouts);
  g_free (step);
}

gboolean
quince_step_has_room (const QuinceStep *step, const QuinceSubmitRollout *submit)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  guint held = step != NULL ? step->samples->len : 0;

  if (submit->samples.samples_len > QUINCE_MAX_SAMPLES - held)
    return FALSE;
  if (step != NULL && step->rollouts->len >= QUINCE_ROLLOUT_MAX_ROLLOUTS)
    return FALSE;
  for (guint i = 0; i < submit->samples.samples_len; i++)
    {
      char *sample_id = submit->samples.samples_val[i].sample_id;
      if (!g_hash_table_add (seen, sample_id))
        return FALSE;
      if (step != NULL && g_hash_table_contains (step->by_id, sample_id))
        return FALSE;
    }
  return TRUE;
}

void
quince_step_add (QuinceStep *step, QuinceRollout *rollout)
{
  g_ptr_array_add (step->rollouts, rollout);
  for (guint i = 0; i < rollout->samples->len; i++)
    {
      QuinceSample *sample = g_ptr_array_index (rollout->samples, i);
      sample->rollout = rollout;
      sample->step = step->number;
      sample->position = step->samples->len;
      g_ptr_array_add (step->samples, sample);
      g_hash_table_insert (step->by_id, sample->spec.sample_id, sample);
      if (sample->result == NULL)
        step->open++;
    }
}

QuinceSample *
quince_step_find (const QuinceStep *step, const char *sample_id)
{
  return g_hash_table_lookup (step->by_id, sample_id);
}

gboolean
quince_step_is_whole (const QuinceStep *step)
{
  return step->open == 0;
}

gboolean
quince_step_has_stale (const QuinceStep *step, guint64 trainer_version)
{
  for (guint i = 0; i < step->samples->len; i++)
    {
      const QuinceSample *sample = g_ptr_array_index (step->samples, i);
      if (quince_sample_is_stale (sample,
                                  quince_least_version (trainer_version, sample->rollout->staleness_bound)))
        return TRUE;
    }
  return FALSE;
}

guint64
quince_step_get_batch_id (const QuinceStep *step)
{
  guint64 generations = 0;

  for (guint i = 0; i < step->samples->len; i++)
    {
      const QuinceSample *sample = g_ptr_array_index (step->samples, i);
      generations += sample->generation;
    }
  return generations;
}

/* Index behind the last sample of the page that begins at @first. */
static guint
end_of_page (const QuinceStep *step, guint first)
{
  gsize bytes = 0;
  guint end = first;

  while (end < step->samples->len)
    {
      const QuinceSample *sample = g_ptr_array_index (step->samples, end);
      bytes += quince_sample_result_get_bytes (sample->result);
      if (end > first && bytes > PAGE_BYTES)
        break;
      end++;
    }
  return end;
}

void
quince_step_fill_page (const QuinceStep *step, guint first, QuinceBatch *batch)
{
  guint length = end_of_page (step, first) - first;

  batch->batch_id = quince_step_get_batch_id (step);
  batch->first = first;
  batch->results.results_len = length;
  batch->results.results_val = g_new0 (QuinceSampleResult, length);
  for (guint i = 0; i < length; i++)
    {
      const QuinceSample *sample = g_ptr_array_index (step->samples, first + i);
      quince_sample_result_copy_to (&batch->results.results_val[i], sample->result);
    }
}
