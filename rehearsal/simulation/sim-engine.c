/*
 * sim-engine.c: engines with weight swaps that fail, streams that break, and
 * a true record of what they ran.
 */
#include "model.h"

#include <string.h>

#define CAPACITY 8
#define SWAP_FAILURES 0.15

typedef struct
{
  SimDispatch *dispatch;
  guint done; /* tokens, resumed ones included */
} Sequence;

typedef struct
{
  guint64 fence; /* greatest seen */
  guint64 version;
  guint64 target;
  guint running;
} SimEngine;

void
sim_dispatch_free (gpointer data)
{
  SimDispatch *dispatch = data;
  g_free (dispatch->sample);
  g_free (dispatch);
}

static void
sequence_free (gpointer data)
{
  Sequence *sequence = data;
  sim_dispatch_free (sequence->dispatch);
  g_free (sequence);
}

static gboolean
is_leaving (SimWorld *world, const SimProcess *process)
{
  gint64 at = sim_model (world)->engine_leaves_at[process->index];
  return at != 0 && world->now >= at;
}

static void
send_stream (SimWorld *world, SimProcess *process, const SimDispatch *dispatch, const SimStream *content)
{
  SimStream *stream = g_memdup2 (content, sizeof *content);
  stream->job = dispatch->job;
  stream->attempt = dispatch->attempt;
  stream->engine = process->index;
  memcpy (stream->id, dispatch->id, QUINCE_ID_BYTES);
  sim_world_deliver (world, process, dispatch->agent, sim_agent_stream, stream, g_free);
}

static void
end_stream (SimWorld *world, SimProcess *process, Sequence *sequence, SimStreamKind kind)
{
  SimEngine *engine = process->state;
  const SimStream content = { .kind = kind };
  engine->running--;
  if (kind != SIM_STREAM_FINISHED)
    sim_judge_ended_early (world, sequence->dispatch->id);
  send_stream (world, process, sequence->dispatch, &content);
  sequence_free (sequence);
}

static void
produce (SimWorld *world, SimProcess *process, gpointer data)
{
  SimEngine *engine = process->state;
  Sequence *sequence = data;
  const SimDispatch *dispatch = sequence->dispatch;
  guint wanted = 1 + sim_random (world, 4);
  guint count = MIN (wanted, dispatch->total_tokens - sequence->done);
  const SimStream chunk = { .kind = SIM_STREAM_CHUNK,
                            .first_token = sequence->done,
                            .token_count = count,
                            .weight_version = engine->version,
                            .ordered_version = engine->target };
  const SimProduction production = { process->index, engine->version, sequence->done, count };
  if (dispatch->sample != NULL)
    sim_judge_production (world, dispatch->sample, &production);
  sequence->done += count;
  send_stream (world, process, dispatch, &chunk);
  if (sequence->done >= dispatch->total_tokens)
    end_stream (world, process, sequence, SIM_STREAM_FINISHED);
  else if (sim_model (world)->faults && sim_chance (world, 0.002))
    end_stream (world, process, sequence, SIM_STREAM_BROKEN);
  else if (sim_chance (world, 0.002))
    end_stream (world, process, sequence, SIM_STREAM_SWAPPED);
  else
    sim_world_at (world, process, 10 * SIM_MILLISECOND + (gint64)sim_random (world, 30 * SIM_MILLISECOND),
                  produce, sequence, sequence_free);
}

void
sim_engine_dispatch (SimWorld *world, SimProcess *process, gpointer data)
{
  SimEngine *engine = process->state;
  SimDispatch *dispatch = data;
  gboolean leaving = is_leaving (world, process);
  gboolean wrong_version = engine->version < dispatch->min_version;
  /* The refusal protects the work; that it was sent at all breaks the promise. */
  if (leaving && world->now > sim_model (world)->engine_leaves_at[process->index] + SIM_LEAVING_BOUND)
    sim_world_violate (world, "%s gets new work after it has left", process->name);
  if (leaving || wrong_version || engine->running >= CAPACITY)
    {
      const SimStream refusal = { .kind = SIM_STREAM_REFUSED };
      send_stream (world, process, dispatch, &refusal);
      sim_dispatch_free (dispatch);
      return;
    }
  Sequence *sequence = g_new0 (Sequence, 1);
  sequence->dispatch = dispatch;
  sequence->done = dispatch->have_tokens;
  engine->running++;
  sim_judge_start (world, process->index, dispatch->id);
  sim_world_at (world, process, 5 * SIM_MILLISECOND, produce, sequence, sequence_free);
}

/* A swap may leave the old version, or end on another one. */
void
sim_engine_order (SimWorld *world, SimProcess *process, gpointer data)
{
  SimEngine *engine = process->state;
  g_autofree SimOrder *order = data;
  if (order->fence < engine->fence)
    return;
  engine->fence = order->fence;
  engine->target = order->version;
  if (engine->version == order->version)
    return;
  if (sim_model (world)->faults && sim_chance (world, SWAP_FAILURES))
    {
      sim_model (world)->judge.swaps_failed++;
      if (sim_chance (world, 0.5) && order->version > 1)
        engine->version = 1 + sim_random (world, (guint)order->version - 1);
      return;
    }
  engine->version = order->version;
}

void
sim_engine_poll (SimWorld *world, SimProcess *process, gpointer data)
{
  SimEngine *engine = process->state;
  SimReport *report = g_new0 (SimReport, 1);
  report->engine = process->index;
  report->running = engine->running;
  report->weight_version = engine->version;
  report->target_version = engine->target;
  report->leaving = is_leaving (world, process);
  sim_world_deliver (world, process, GPOINTER_TO_UINT (data), sim_node_report, report, g_free);
}

static void
start (SimWorld *world, SimProcess *process)
{
  SimEngine *engine = g_new0 (SimEngine, 1);
  engine->version = 1;
  engine->target = 1;
  sim_model (world)->engine_leaves_at[process->index] = 0;
  process->state = engine;
}

static void
receive (SimWorld *world, SimProcess *process, guint from, QuinceMessage *message)
{
  quince_message_free (message);
}

static void
end (SimWorld *world, SimProcess *process)
{
  g_free (process->state);
}

const SimClass sim_engine_class = { start, receive, NULL, end };
