/*
 * trainer.c: the steps of one trainer and the rules of its calls.
 */
#include "trainer.h"

#include "generated/rollout_state.h"

#include <string.h>

/* Above the numbers, lengths and padding of a saved rollout and step. */
static const gsize ROLLOUT_FIXED_BYTES = 128;

static int
compare_numbers (gconstpointer a, gconstpointer b, gpointer user_data)
{
  guint64 left = *(const guint64 *)a;
  guint64 right = *(const guint64 *)b;

  return (left > right) - (left < right);
}

QuinceTrainer *
quince_trainer_new (const char *name, QuinceSampleLeases *leases, QuinceRolloutTotals *totals)
{
  QuinceTrainer *trainer = g_new0 (QuinceTrainer, 1);

  trainer->name = g_strdup (name);
  trainer->steps = g_tree_new_full (compare_numbers, NULL, NULL, (GDestroyNotify)quince_step_free);
  trainer->rollouts = g_hash_table_new (g_str_hash, g_str_equal);
  quince_version_forecast_init (&trainer->forecast);
  trainer->leases = leases;
  trainer->totals = totals;
  quince_sample_leases_add_trainer (leases, trainer);
  return trainer;
}

void
quince_trainer_free (QuinceTrainer *trainer)
{
  quince_sample_leases_remove_trainer (trainer->leases, trainer);
  g_hash_table_unref (trainer->rollouts);
  g_tree_unref (trainer->steps);
  g_free (trainer->name);
  g_free (trainer);
}

QuinceStep *
quince_trainer_find_step (const QuinceTrainer *trainer, guint64 number)
{
  return g_tree_lookup (trainer->steps, &number);
}

gboolean
quince_trainer_has_released (const QuinceTrainer *trainer, guint64 number)
{
  return trainer->released_any && number <= trainer->released_through;
}

/* Lowest step held, NULL when none is. */
static QuinceStep *
first_step (const QuinceTrainer *trainer)
{
  GTreeNode *node = g_tree_node_first (trainer->steps);

  return node != NULL ? g_tree_node_value (node) : NULL;
}

static gsize
rollout_bytes (const QuinceRollout *rollout)
{
  return ROLLOUT_FIXED_BYTES + strlen (rollout->rollout_id) + strlen (rollout->service)
         + strlen (rollout->member);
}

/* Finds the step of a call, or the status that its absence has. */
static QuinceStep *
require_step (const QuinceTrainer *trainer, guint64 number, QuinceLedgerStatus *status)
{
  QuinceStep *step;

  *status = QUINCE_LEDGER_NO_SUCH;
  if (trainer == NULL)
    return NULL;
  if (quince_trainer_has_released (trainer, number))
    {
      *status = QUINCE_LEDGER_GONE;
      return NULL;
    }
  step = quince_trainer_find_step (trainer, number);
  if (step != NULL)
    *status = QUINCE_LEDGER_OK;
  return step;
}

/* ---- Versions expected ------------------------------------------------ */

/* Counts each step's distance from the last one pulled.  Steps need not be contiguous. */
static void
count_steps_on (QuinceTrainer *trainer)
{
  guint steps_on = 0;

  for (GTreeNode *node = g_tree_node_first (trainer->steps); node != NULL; node = g_tree_node_next (node))
    {
      QuinceStep *step = g_tree_node_value (node);
      if (trainer->forecast.known && step->number > trainer->forecast.step)
        steps_on++;
      step->steps_on = steps_on;
    }
}

guint64
quince_trainer_expect_version (const QuinceTrainer *trainer, const QuinceSample *sample)
{
  const QuinceStep *step = quince_trainer_find_step (trainer, sample->step);

  return MAX (trainer->version_seen, quince_version_forecast_get (&trainer->forecast, step->steps_on));
}

gboolean
quince_trainer_may_start (const QuinceTrainer *trainer, const QuinceSample *sample)
{
  guint64 expected = quince_trainer_expect_version (trainer, sample);

  return quince_least_version (expected, sample->rollout->staleness_bound) <= trainer->version_seen;
}

void
quince_trainer_note_pull (QuinceTrainer *trainer, guint64 number)
{
  if (!quince_version_forecast_observe (&trainer->forecast, number, trainer->version_seen))
    return;
  count_steps_on (trainer);
  quince_sample_leases_review (trainer->leases, trainer);
}

/* ---- Submit ----------------------------------------------------------- */

QuinceLedgerStatus
quince_trainer_judge_submit (const QuinceTrainer *trainer,
                             const QuinceSubmitRollout *submit,
                             gboolean *changes)
{
  const QuinceRollout *known;
  const QuinceStep *first, *step;

  *changes = FALSE;
  if (trainer != NULL && quince_trainer_has_released (trainer, submit->step))
    return QUINCE_LEDGER_GONE;
  known = trainer != NULL ? g_hash_table_lookup (trainer->rollouts, submit->rollout_id) : NULL;
  if (known != NULL)
    return quince_rollout_matches (known, submit) ? QUINCE_LEDGER_OK : QUINCE_LEDGER_CONFLICT;

  /* A step below the closed one would be lost when that one is released. */
  first = trainer != NULL ? first_step (trainer) : NULL;
  if (first != NULL && first->closed && submit->step <= first->number)
    return QUINCE_LEDGER_CONFLICT;
  step = trainer != NULL ? quince_trainer_find_step (trainer, submit->step) : NULL;
  if (!quince_step_has_room (step, submit))
    return QUINCE_LEDGER_CONFLICT;
  if (trainer != NULL && step == NULL && g_tree_nnodes (trainer->steps) >= QUINCE_ROLLOUT_MAX_STEPS)
    return QUINCE_LEDGER_BUSY;
  *changes = TRUE;
  return QUINCE_LEDGER_OK;
}

void
quince_trainer_add_rollout (QuinceTrainer *trainer, QuinceRollout *rollout)
{
  QuinceStep *step = quince_trainer_find_step (trainer, rollout->step);

  if (step == NULL)
    {
      step = quince_step_new (rollout->step);
      g_tree_insert (trainer->steps, &step->number, step);
      count_steps_on (trainer);
      quince_sample_leases_review (trainer->leases, trainer);
    }
  quince_step_add (step, rollout);
  g_hash_table_insert (trainer->rollouts, rollout->rollout_id, rollout);
  trainer->totals->counters.rollouts++;
  trainer->totals->bytes += rollout_bytes (rollout);
  for (guint i = 0; i < rollout->samples->len; i++)
    {
      QuinceSample *sample = g_ptr_array_index (rollout->samples, i);
      sample->trainer = trainer;
      trainer->totals->bytes += quince_sample_get_bytes (sample);
      if (sample->result != NULL)
        {
          trainer->totals->counters.samples_complete++;
          continue;
        }
      trainer->totals->counters.samples_open++;
      quince_sample_leases_add (trainer->leases, sample);
    }
}

void
quince_trainer_submit (QuinceTrainer *trainer, const QuinceSubmitRollout *submit)
{
  quince_trainer_add_rollout (trainer, quince_rollout_new (submit));
}

/* ---- Complete --------------------------------------------------------- */

QuinceLedgerStatus
quince_trainer_judge_complete (const QuinceTrainer *trainer,
                               const QuinceCompleteSample *complete,
                               gboolean *changes)
{
  QuinceLedgerStatus status;
  const QuinceStep *step = require_step (trainer, complete->step, &status);
  const QuinceSample *sample;

  *changes = FALSE;
  if (step == NULL)
    return status;
  sample = quince_step_find (step, complete->result.sample_id);
  if (sample == NULL)
    return QUINCE_LEDGER_NO_SUCH;
  /* A result must name the versions that made it. */
  if (complete->result.segments.segments_len == 0)
    return QUINCE_LEDGER_CONFLICT;
  *changes = sample->result == NULL && sample->generation == complete->generation;
  return QUINCE_LEDGER_OK;
}

void
quince_trainer_complete (QuinceTrainer *trainer, const QuinceCompleteSample *complete)
{
  QuinceStep *step = quince_trainer_find_step (trainer, complete->step);
  QuinceSample *sample = quince_step_find (step, complete->result.sample_id);

  quince_sample_leases_remove (trainer->leases, sample);
  trainer->totals->bytes -= quince_sample_get_bytes (sample);
  quince_sample_complete (sample, &complete->result);
  trainer->totals->bytes += quince_sample_get_bytes (sample);
  step->open--;
  trainer->totals->counters.samples_open--;
  trainer->totals->counters.samples_complete++;
}

/* ---- Pull ------------------------------------------------------------- */

QuinceLedgerStatus
quince_trainer_judge_pull (const QuinceTrainer *trainer, const QuincePullStep *pull, gboolean *changes)
{
  QuinceLedgerStatus status;
  const QuinceStep *step = require_step (trainer, pull->step, &status);
  const QuinceStep *first;
  guint64 version;
  gboolean stale;

  *changes = FALSE;
  if (step == NULL)
    return status;
  /* Only the first step can be closed, so only it can be released by this pull. */
  first = first_step (trainer);
  if (first != step)
    {
      GTreeNode *second = g_tree_node_next (g_tree_node_first (trainer->steps));
      if (!first->frozen || g_tree_node_value (second) != step)
        return QUINCE_LEDGER_CONFLICT;
    }

  version = MAX (trainer->version_seen, pull->trainer_version);
  stale = quince_step_has_stale (step, version);
  status = quince_step_is_whole (step) && !stale ? QUINCE_LEDGER_OK : QUINCE_LEDGER_NOT_COMPLETE;
  *changes = first != step || version > trainer->version_seen || stale
             || (status == QUINCE_LEDGER_OK && !step->frozen);
  return status;
}

QuinceLedgerStatus
quince_trainer_judge_page (const QuinceTrainer *trainer, const QuinceReadPage *page)
{
  QuinceLedgerStatus status;
  const QuinceStep *step = require_step (trainer, page->step, &status);

  if (step == NULL)
    return status;
  if (!step->frozen || quince_step_get_batch_id (step) != page->batch_id || page->first >= step->samples->len)
    return QUINCE_LEDGER_CONFLICT;
  return QUINCE_LEDGER_OK;
}

/* Opens anew what a trainer at @version must not get. */
static void
put_back_stale (QuinceTrainer *trainer, QuinceStep *step, guint64 version)
{
  for (guint i = 0; i < step->samples->len; i++)
    {
      QuinceSample *sample = g_ptr_array_index (step->samples, i);
      guint64 least_version = quince_least_version (version, sample->rollout->staleness_bound);
      if (!quince_sample_is_stale (sample, least_version))
        continue;
      trainer->totals->bytes -= quince_sample_get_bytes (sample);
      quince_sample_reopen (sample);
      step->frozen = FALSE;
      trainer->totals->bytes += quince_sample_get_bytes (sample);
      step->open++;
      trainer->totals->counters.samples_complete--;
      trainer->totals->counters.samples_open++;
      trainer->totals->counters.regenerated++;
      quince_sample_leases_add (trainer->leases, sample);
    }
}

void
quince_trainer_pull (QuinceTrainer *trainer, const QuincePullStep *pull)
{
  QuinceStep *step = quince_trainer_find_step (trainer, pull->step);
  QuinceStep *first = first_step (trainer);

  if (first != step)
    quince_trainer_release (trainer, first->number);
  trainer->version_seen = MAX (trainer->version_seen, pull->trainer_version);
  quince_trainer_note_pull (trainer, step->number);
  put_back_stale (trainer, step, trainer->version_seen);
  if (!quince_step_is_whole (step))
    return;
  step->closed = TRUE;
  step->frozen = TRUE;
}

/* ---- Release ---------------------------------------------------------- */

QuinceLedgerStatus
quince_trainer_judge_release (const QuinceTrainer *trainer, guint64 number, gboolean *changes)
{
  QuinceLedgerStatus status;
  const QuinceStep *step = require_step (trainer, number, &status);

  *changes = FALSE;
  if (status == QUINCE_LEDGER_GONE)
    return QUINCE_LEDGER_OK;
  if (step == NULL)
    return status;
  if (!step->frozen)
    return QUINCE_LEDGER_CONFLICT;
  *changes = TRUE;
  return QUINCE_LEDGER_OK;
}

void
quince_trainer_release (QuinceTrainer *trainer, guint64 number)
{
  QuinceStep *step = quince_trainer_find_step (trainer, number);

  for (guint i = 0; i < step->rollouts->len; i++)
    {
      const QuinceRollout *rollout = g_ptr_array_index (step->rollouts, i);
      trainer->totals->bytes -= rollout_bytes (rollout);
      g_hash_table_remove (trainer->rollouts, rollout->rollout_id);
    }
  for (guint i = 0; i < step->samples->len; i++)
    trainer->totals->bytes -= quince_sample_get_bytes (g_ptr_array_index (step->samples, i));
  trainer->totals->counters.rollouts -= step->rollouts->len;
  trainer->totals->counters.samples_complete -= step->samples->len;
  trainer->totals->counters.delivered += step->samples->len;
  trainer->released_any = TRUE;
  trainer->released_through = number;
  g_tree_remove (trainer->steps, &number);
}
