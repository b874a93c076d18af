/*
 * sim-judge.c: the nine promises, checked against what truly happened.
 */
#include "model.h"

#include <string.h>

static char *
id_key (const QuinceRequestId id)
{
  return g_memdup2 (id, QUINCE_ID_BYTES);
}

void
sim_judge_init (SimWorld *world)
{
  SimJudge *judge = &sim_model (world)->judge;
  judge->starts = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, g_free, NULL);
  judge->not_run = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, g_free, NULL);
  judge->senders = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, g_free, NULL);
  judge->unrepeatable = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, g_free, NULL);
  judge->productions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  judge->ended_early = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, g_free, NULL);
  judge->callers = g_ptr_array_new_with_free_func (g_free);
}

void
sim_judge_free (SimWorld *world)
{
  SimJudge *judge = &sim_model (world)->judge;
  g_hash_table_unref (judge->starts);
  g_hash_table_unref (judge->not_run);
  g_hash_table_unref (judge->senders);
  g_hash_table_unref (judge->unrepeatable);
  g_hash_table_unref (judge->ended_early);
  g_hash_table_unref (judge->productions);
  g_ptr_array_unref (judge->callers);
}

static guint
add_count (GHashTable *table, const QuinceRequestId id)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, id)) + 1;
  g_hash_table_insert (table, id_key (id), GUINT_TO_POINTER (count));
  return count;
}

/* ---- Lookups: "not run", at most once, one whole answer ---------------------- */

void
sim_judge_start (SimWorld *world, guint engine, const QuinceRequestId id)
{
  SimJudge *judge = &sim_model (world)->judge;
  guint count = add_count (judge->starts, id);
  if (g_hash_table_contains (judge->not_run, id))
    sim_world_violate (world, "engine %u runs a request whose caller was told that it did not run", engine);
  if (count > 1 && g_hash_table_contains (judge->unrepeatable, id))
    sim_world_violate (world, "engine %u runs a request again that must not be repeated", engine);
}

SimCaller *
sim_judge_caller (SimWorld *world, const SimProcess *agent, const QuinceRequestId id, gboolean at_most_once)
{
  SimJudge *judge = &sim_model (world)->judge;
  SimCaller *caller = g_new0 (SimCaller, 1);
  memcpy (caller->id, id, QUINCE_ID_BYTES);
  caller->at_most_once = at_most_once;
  caller->started = world->now;
  caller->agent = agent->id;
  caller->admitted = !agent->stopping;
  g_ptr_array_add (judge->callers, caller);
  add_count (judge->senders, id);
  /* A repeat by its caller asks for another run after all. */
  g_hash_table_remove (judge->not_run, id);
  if (at_most_once)
    g_hash_table_add (judge->unrepeatable, id_key (id));
  return caller;
}

void
sim_judge_ended_early (SimWorld *world, const QuinceRequestId id)
{
  g_hash_table_add (sim_model (world)->judge.ended_early, id_key (id));
}

/* While nothing fails, a planned stop is all that can keep a caller from its whole answer. */
static void
judge_calm_answer (SimWorld *world, const SimCaller *caller, guint senders)
{
  SimModel *model = sim_model (world);
  if (caller->started < model->calm_since || !caller->admitted || caller->answer == QUINCE_STEP_ANSWER_WHOLE
      || senders > 1 || g_hash_table_contains (model->judge.ended_early, caller->id))
    return;
  const SimProcess *agent = world->processes->pdata[caller->agent];
  sim_world_violate (world,
                     "a request through %s has no whole answer though nothing but planned stops happens",
                     agent->name);
}

void
sim_judge_answer (SimWorld *world, SimCaller *caller, QuinceRequestStep answer)
{
  SimJudge *judge = &sim_model (world)->judge;
  guint starts = GPOINTER_TO_UINT (g_hash_table_lookup (judge->starts, caller->id));
  guint senders = GPOINTER_TO_UINT (g_hash_table_lookup (judge->senders, caller->id));
  if (caller->answered)
    sim_world_violate (world, "a caller is answered twice");
  caller->answered = TRUE;
  caller->answer = answer;
  judge->lookups_answered += answer == QUINCE_STEP_ANSWER_WHOLE;
  judge->lookups_refused += answer == QUINCE_STEP_ANSWER_NOT_RUN;
  judge->lookups_unknown += answer == QUINCE_STEP_ANSWER_UNKNOWN || answer == QUINCE_STEP_ANSWER_BROKEN;
  if (answer == QUINCE_STEP_ANSWER_WHOLE && starts == 0)
    sim_world_violate (world, "a caller has an answer that no engine gave");
  judge_calm_answer (world, caller, senders);
  if (answer != QUINCE_STEP_ANSWER_NOT_RUN || senders > 1)
    return;
  if (starts > 0)
    sim_world_violate (world, "a caller is told \"not run\" of a request that ran");
  g_hash_table_add (judge->not_run, id_key (caller->id));
}

/* ---- Samples: versions, staleness, exactly once -------------------------------- */

void
sim_judge_production (SimWorld *world, const char *sample, const SimProduction *production)
{
  SimJudge *judge = &sim_model (world)->judge;
  GArray *known = g_hash_table_lookup (judge->productions, sample);
  if (known == NULL)
    {
      known = g_array_new (FALSE, FALSE, sizeof (SimProduction));
      g_hash_table_insert (judge->productions, g_strdup (sample), known);
    }
  g_array_append_val (known, *production);
}

static gboolean
was_produced (SimWorld *world, const GArray *known, const QuinceSegment *segment, guint token)
{
  for (guint i = 0; known != NULL && i < known->len; i++)
    {
      const SimProduction *production = &g_array_index (known, SimProduction, i);
      const char *engine = sim_model (world)->engines[production->engine]->name;
      if (production->weight_version == segment->weight_version && g_str_equal (engine, segment->engine)
          && token >= production->first_token && token < production->first_token + production->token_count)
        return TRUE;
    }
  return FALSE;
}

static void
judge_result (SimWorld *world, const QuinceSampleResult *result, guint64 version)
{
  const GArray *known = g_hash_table_lookup (sim_model (world)->judge.productions, result->sample_id);
  guint next = 0;
  for (guint i = 0; i < result->segments.segments_len; i++)
    {
      const QuinceSegment *segment = &result->segments.segments_val[i];
      if (segment->first_token != next)
        sim_world_violate (world, "segments of %s do not join", result->sample_id);
      next = segment->first_token + segment->token_count;
      for (guint token = segment->first_token; token < next; token++)
        if (!was_produced (world, known, segment, token))
          {
            sim_world_violate (world, "%s names a version that did not make token %u", result->sample_id,
                               token);
            return;
          }
      if (segment->weight_version + SIM_STALENESS_BOUND < version)
        sim_world_violate (world, "%s is handed over too old", result->sample_id);
    }
  if (next != result->token_count)
    sim_world_violate (world, "segments of %s do not cover it", result->sample_id);
}

void
sim_judge_batch (SimWorld *world, const QuinceBatch *batch, guint64 step, guint64 version, guint expected)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_autofree char *prefix = g_strdup_printf ("s%" G_GUINT64_FORMAT "-", step);
  if (batch->results.results_len != expected)
    sim_world_violate (world, "step %" G_GUINT64_FORMAT " has %u samples", step, batch->results.results_len);
  for (guint i = 0; i < batch->results.results_len; i++)
    {
      const QuinceSampleResult *result = &batch->results.results_val[i];
      if (!g_str_has_prefix (result->sample_id, prefix) || !g_hash_table_add (seen, result->sample_id))
        sim_world_violate (world, "%s is delivered in step %" G_GUINT64_FORMAT " or twice", result->sample_id,
                           step);
      judge_result (world, result, version);
    }
}

/* ---- Planned stops ----------------------------------------------------------------- */

void
sim_judge_planned_end (SimWorld *world, const SimProcess *process)
{
  SimModel *model = sim_model (world);
  model->judge.planned_stops++;
  if (process->class != &sim_agent_class)
    return;
  for (guint i = 0; i < model->judge.callers->len; i++)
    {
      const SimCaller *caller = model->judge.callers->pdata[i];
      if (!caller->answered && caller->agent == process->id)
        sim_world_violate (world, "the planned stop of %s cuts a request", process->name);
    }
  if (sim_agent_count_running (process) > 0)
    sim_world_violate (world, "the planned stop of %s cuts a sample", process->name);
}

/* ---- Policy ---------------------------------------------------------------------- */

void
sim_judge_policy (SimWorld *world, SimProcess *node, guint64 before, guint64 after)
{
  if (after < before)
    sim_world_violate (world, "%s goes back from policy %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
                       node->name, before, after);
}

void
sim_judge_tick (SimWorld *world)
{
  SimModel *model = sim_model (world);
  gint64 since = MAX (model->last_accept, model->last_disturbance);
  if (world->now < since + SIM_POLICY_BOUND)
    return;
  for (guint i = 0; i < SIM_NODES; i++)
    {
      SimProcess *node = model->nodes[i];
      if (node->alive && node->frozen_until <= world->now && sim_node_get_policy (node) != model->kv_revision)
        sim_world_violate (world, "%s lacks policy %" G_GUINT64_FORMAT " after its time", node->name,
                           model->kv_revision);
    }
}
