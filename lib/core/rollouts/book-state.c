/*
 * book-state.c: a rollout book as bytes and back, for ledger snapshots.
 */
#include "book-private.h"

#include "generated/rollout_state.h"

#include <string.h>

/* ---- Save: the state borrows the book's strings, only its lists are owned ---- */

static void
save_sample (const QuinceSample *sample, QuinceSampleState *state)
{
  state->spec = sample->spec;
  state->generation = sample->generation;
  state->result = sample->result;
}

static void
save_rollout (const QuinceRollout *rollout, QuinceRolloutState *state)
{
  state->rollout_id = rollout->rollout_id;
  state->service = rollout->service;
  state->member = rollout->member;
  state->staleness_bound = rollout->staleness_bound;
  state->samples.samples_len = rollout->samples->len;
  state->samples.samples_val = g_new0 (QuinceSampleState, rollout->samples->len);
  for (guint i = 0; i < rollout->samples->len; i++)
    save_sample (g_ptr_array_index (rollout->samples, i), &state->samples.samples_val[i]);
}

static void
save_step (const QuinceStep *step, QuinceStepState *state)
{
  state->step = step->number;
  state->closed = step->closed;
  state->frozen = step->frozen;
  state->rollouts.rollouts_len = step->rollouts->len;
  state->rollouts.rollouts_val = g_new0 (QuinceRolloutState, step->rollouts->len);
  for (guint i = 0; i < step->rollouts->len; i++)
    save_rollout (g_ptr_array_index (step->rollouts, i), &state->rollouts.rollouts_val[i]);
}

static void
save_trainer (const QuinceTrainer *trainer, QuinceTrainerState *state)
{
  GTreeNode *node = g_tree_node_first (trainer->steps);
  QuinceStepState *step_state;

  state->name = trainer->name;
  state->version_seen = trainer->version_seen;
  state->released_any = trainer->released_any;
  state->released_through = trainer->released_through;
  state->steps.steps_len = g_tree_nnodes (trainer->steps);
  step_state = state->steps.steps_val = g_new0 (QuinceStepState, state->steps.steps_len);
  for (; node != NULL; node = g_tree_node_next (node))
    save_step (g_tree_node_value (node), step_state++);
}

static void
save_claims (const QuinceClaimBucket *bucket, gpointer user_data)
{
  QuinceClaimBucketState **next = user_data;

  (*next)->expires_ms = bucket->expires_ms;
  (*next)->claims.claims_len = bucket->claims->len;
  (*next)->claims.claims_val = (QuinceClaimState *)(gpointer)bucket->claims->data;
  (*next)++;
}

static void
save_book (const QuinceRolloutBook *book, QuinceBookState *state)
{
  GTreeNode *node = g_tree_node_first (book->trainers);
  QuinceTrainerState *trainer_state;
  QuinceClaimBucketState *claim_state;

  state->format = QUINCE_ROLLOUT_STATE_FORMAT;
  state->clock_ms = book->clock_ms;
  state->delivered = book->totals.counters.delivered;
  state->duplicates_dropped = book->totals.counters.duplicates_dropped;
  state->regenerated = book->totals.counters.regenerated;
  state->trainers.trainers_len = g_tree_nnodes (book->trainers);
  trainer_state = state->trainers.trainers_val = g_new0 (QuinceTrainerState, state->trainers.trainers_len);
  for (; node != NULL; node = g_tree_node_next (node))
    save_trainer (g_tree_node_value (node), trainer_state++);
  state->claims_floor_ms = quince_claim_table_get_floor_ms (book->claims);
  state->claims.claims_len = quince_claim_table_get_buckets (book->claims);
  claim_state = state->claims.claims_val = g_new0 (QuinceClaimBucketState, state->claims.claims_len);
  quince_claim_table_foreach (book->claims, save_claims, &claim_state);
}

static void
free_lists (QuinceBookState *state)
{
  for (guint t = 0; t < state->trainers.trainers_len; t++)
    {
      QuinceTrainerState *trainer = &state->trainers.trainers_val[t];
      for (guint s = 0; s < trainer->steps.steps_len; s++)
        {
          QuinceStepState *step = &trainer->steps.steps_val[s];
          for (guint r = 0; r < step->rollouts.rollouts_len; r++)
            g_free (step->rollouts.rollouts_val[r].samples.samples_val);
          g_free (step->rollouts.rollouts_val);
        }
      g_free (trainer->steps.steps_val);
    }
  g_free (state->trainers.trainers_val);
  g_free (state->claims.claims_val);
}

/* Like quince_xdr_encode(), but a book may be greater than a frame. */
static GBytes *
encode_state (QuinceBookState *state)
{
  gulong size = xdr_sizeof ((xdrproc_t)xdr_QuinceBookState, state);
  char *buffer = g_malloc (size);
  gboolean encoded;
  XDR xdrs;

  xdrmem_create (&xdrs, buffer, size, XDR_ENCODE);
  encoded = xdr_QuinceBookState (&xdrs, state);
  xdr_destroy (&xdrs);
  /* The book keeps every bound of the saved form, so this cannot fail. */
  g_assert (encoded);
  return g_bytes_new_take (buffer, size);
}

/* Returns: (nullable): %NULL when @data does not begin with an encoding */
static QuinceBookState *
decode_state (gconstpointer data, gsize length)
{
  QuinceBookState *state;
  gboolean decoded;
  XDR xdrs;

  if (length > G_MAXUINT32)
    return NULL;
  state = g_new0 (QuinceBookState, 1);
  xdrmem_create (&xdrs, (char *)data, length, XDR_DECODE);
  decoded = xdr_QuinceBookState (&xdrs, state);
  xdr_destroy (&xdrs);
  if (decoded)
    return state;
  quince_xdr_free ((xdrproc_t)xdr_QuinceBookState, state);
  return NULL;
}

GBytes *
quince_rollout_book_save (const QuinceRolloutBook *book)
{
  QuinceBookState state = { 0 };
  GBytes *bytes;

  save_book (book, &state);
  bytes = encode_state (&state);
  free_lists (&state);
  return bytes;
}

/* ---- Load: nothing is taken on trust ---- */

static QuinceRollout *
load_rollout (const QuinceRolloutState *state, guint64 step)
{
  QuinceRollout *rollout = quince_rollout_new (&(QuinceSubmitRollout){
      .rollout_id = state->rollout_id,
      .service = state->service,
      .member = state->member,
      .step = step,
      .staleness_bound = state->staleness_bound,
  });

  for (guint i = 0; i < state->samples.samples_len; i++)
    {
      const QuinceSampleState *sample_state = &state->samples.samples_val[i];
      QuinceSample *sample = quince_sample_new (&sample_state->spec);
      sample->generation = sample_state->generation;
      if (sample_state->result != NULL)
        quince_sample_complete (sample, sample_state->result);
      g_ptr_array_add (rollout->samples, sample);
    }
  return rollout;
}

/* Whether the ids are new to the step and each result is one of its sample. */
static gboolean
is_rollout_valid (const QuinceTrainer *trainer, const QuinceRolloutState *state, guint64 number)
{
  g_autofree QuinceSampleSpec *specs = g_new0 (QuinceSampleSpec, state->samples.samples_len);
  QuinceSubmitRollout ids = { .samples = { state->samples.samples_len, specs } };

  for (guint i = 0; i < state->samples.samples_len; i++)
    {
      const QuinceSampleState *sample = &state->samples.samples_val[i];
      specs[i] = sample->spec;
      if (sample->generation == 0)
        return FALSE;
      if (sample->result == NULL)
        continue;
      if (sample->result->segments.segments_len == 0
          || !g_str_equal (sample->result->sample_id, sample->spec.sample_id))
        return FALSE;
    }
  return !g_hash_table_contains (trainer->rollouts, state->rollout_id)
         && quince_step_has_room (quince_trainer_find_step (trainer, number), &ids);
}

static gboolean
load_step (QuinceTrainer *trainer, const QuinceStepState *state)
{
  gboolean is_first = g_tree_nnodes (trainer->steps) == 0;
  QuinceStep *step;

  if (quince_trainer_has_released (trainer, state->step)
      || quince_trainer_find_step (trainer, state->step) != NULL)
    return FALSE;
  if (state->rollouts.rollouts_len == 0 || (state->closed && !is_first))
    return FALSE;
  for (guint i = 0; i < state->rollouts.rollouts_len; i++)
    {
      const QuinceRolloutState *rollout_state = &state->rollouts.rollouts_val[i];
      if (!is_rollout_valid (trainer, rollout_state, state->step))
        return FALSE;
      quince_trainer_add_rollout (trainer, load_rollout (rollout_state, state->step));
    }
  step = quince_trainer_find_step (trainer, state->step);
  step->closed = state->closed;
  step->frozen = state->frozen;
  return !step->frozen || (step->closed && quince_step_is_whole (step));
}

static gboolean
load_trainer (QuinceRolloutBook *book, const QuinceTrainerState *state)
{
  QuinceTrainer *trainer;

  if (quince_rollout_book_find_trainer (book, state->name) != NULL)
    return FALSE;
  trainer = quince_rollout_book_add_trainer (book, state->name);
  trainer->version_seen = state->version_seen;
  trainer->released_any = state->released_any;
  trainer->released_through = state->released_through;
  for (guint i = 0; i < state->steps.steps_len; i++)
    {
      const QuinceStepState *step = &state->steps.steps_val[i];
      if (!load_step (trainer, step))
        return FALSE;
    }
  return TRUE;
}

static gboolean
load_book (QuinceRolloutBook *book, const QuinceBookState *state)
{
  if (state->format != QUINCE_ROLLOUT_STATE_FORMAT)
    return FALSE;
  book->clock_ms = state->clock_ms;
  book->totals.counters.delivered = state->delivered;
  book->totals.counters.duplicates_dropped = state->duplicates_dropped;
  book->totals.counters.regenerated = state->regenerated;
  for (guint i = 0; i < state->trainers.trainers_len; i++)
    if (!load_trainer (book, &state->trainers.trainers_val[i]))
      return FALSE;
  quince_claim_table_set_floor_ms (book->claims, state->claims_floor_ms);
  for (guint i = 0; i < state->claims.claims_len; i++)
    if (!quince_claim_table_add_bucket (book->claims, &state->claims.claims_val[i]))
      return FALSE;
  return TRUE;
}

/* A book has one saved form, so lists out of order and bytes left over are faults. */
static gboolean
is_saved_form (const QuinceRolloutBook *book, gconstpointer data, gsize length)
{
  g_autoptr (GBytes) saved = quince_rollout_book_save (book);

  return g_bytes_get_size (saved) == length && memcmp (g_bytes_get_data (saved, NULL), data, length) == 0;
}

QuinceRolloutBook *
quince_rollout_book_load (gconstpointer data, gsize length, GError **error)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  QuinceBookState *state = decode_state (data, length);
  gboolean loaded;

  if (state == NULL)
    {
      g_set_error (error, QUINCE_ROLLOUT_BOOK_ERROR, QUINCE_ROLLOUT_BOOK_ERROR_MALFORMED,
                   "not a saved rollout book");
      return NULL;
    }
  loaded = load_book (book, state) && is_saved_form (book, data, length);
  quince_xdr_free ((xdrproc_t)xdr_QuinceBookState, state);
  if (loaded)
    return g_steal_pointer (&book);
  g_set_error (error, QUINCE_ROLLOUT_BOOK_ERROR, QUINCE_ROLLOUT_BOOK_ERROR_MALFORMED,
               "saved rollout book breaks its own rules");
  return NULL;
}
