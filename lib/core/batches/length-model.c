/*
 * length-model.c: averages of completed texts with exponential decay.
 */
#include "core/batches/length-model.h"

/* Factor by which each completed text reduces the weight of earlier ones: an effective window of 200 texts,
 * about one training step. */
#define DECAY_FACTOR 0.995
/* Expected remainder of a text that exceeds its estimate, as a fraction of its events so far.  Lengths vary
 * widely, so such a text is usually far from its end. */
#define OVERSHOOT_REMAINING_FRACTION 0.3

struct _QuinceLengthModel
{
  /* Decayed sums over completed texts that had an estimate. */
  double estimated_tokens;
  double events_with_estimate;
  /* Decayed sums over all completed texts. */
  double events;
  double texts;
  guint64 longest_events; /* of any completed text; does not decay */
};

QuinceLengthModel *
quince_length_model_new (void)
{
  return g_new0 (QuinceLengthModel, 1);
}

void
quince_length_model_free (QuinceLengthModel *model)
{
  g_free (model);
}

void
quince_length_model_record (QuinceLengthModel *model, guint estimated_tokens, guint64 events)
{
  model->events = model->events * DECAY_FACTOR + (double)events;
  model->texts = model->texts * DECAY_FACTOR + 1;
  model->longest_events = MAX (model->longest_events, events);
  if (estimated_tokens == 0)
    return;
  model->estimated_tokens = model->estimated_tokens * DECAY_FACTOR + estimated_tokens;
  model->events_with_estimate = model->events_with_estimate * DECAY_FACTOR + (double)events;
}

static double
get_expected_events (const QuinceLengthModel *model, guint estimated_tokens)
{
  if (estimated_tokens == 0)
    return model->texts > 0 ? model->events / model->texts : 1;
  /* Until a text with an estimate completes, assume one token per event: samples still sort correctly. */
  double events_per_token
      = model->estimated_tokens > 0 ? model->events_with_estimate / model->estimated_tokens : 1;
  return MAX (estimated_tokens * events_per_token, 1);
}

double
quince_length_model_estimate_remaining (const QuinceLengthModel *model,
                                        guint estimated_tokens,
                                        guint64 events_so_far)
{
  double expected = get_expected_events (model, estimated_tokens);
  double remaining
      = MAX (expected - (double)events_so_far, OVERSHOOT_REMAINING_FRACTION * (double)events_so_far);
  if (model->longest_events > events_so_far)
    remaining = MIN (remaining, (double)(model->longest_events - events_so_far));
  return MAX (remaining, 1);
}
