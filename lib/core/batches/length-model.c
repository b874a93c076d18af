/*
 * length-model.c: expected lengths of texts.
 */
#include "core/batches/length-model.h"

/* Part of the weight of earlier texts that each whole text keeps: the last 200 texts or so count, about one
 * step of the users' trainers. */
#define DECAY_FACTOR 0.995
/* Part of its length so far that is still to come of a text longer than expected: lengths are spread widely,
 * so that a text which has outgrown its estimate is likely far from its end.  Not measured by itself. */
#define OVERSHOOT_REMAINING_FRACTION 0.3

struct _QuinceLengthModel
{
  /* Of whole texts with an estimate, with fading weights. */
  double estimated_tokens;
  double events_with_estimate;
  /* Of all whole texts, with fading weights. */
  double events;
  double texts;
  guint64 longest_events;
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
  /* Until a text has ended an event counts as a token: the order of samples is right all the same. */
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
