/*
 * engine-batch.c: waiting queue and continuous batching of the engine
 * stand-in.
 *
 * All running sequences generate at one speed, which falls as the batch
 * grows.  Engine.progress counts the tokens that a sequence running all the
 * time would have; a sequence has the difference since it began to decode.
 */
#include "engine.h"

#include <quince/task.h>

/* A chunk for each sequence at most this often; more rarely in a large batch. */
#define CHUNK_INTERVAL_US 10000
#define CHUNK_INTERVAL_US_PER_SEQUENCE 100
/* A sequence looks whether its caller is still there once in so many ticks. */
#define TICKS_PER_CALLER_CHECK 16

static gboolean on_tick (gpointer user_data);

static double
slow_factor (const Engine *engine)
{
  return engine->faults.slow_factor > 0 ? engine->faults.slow_factor : 1.0;
}

static double
token_time_us (const Engine *engine)
{
  double crowd = engine->settings.capacity > 1 && engine->running->len > 1
                     ? (double)(engine->running->len - 1) / (double)(engine->settings.capacity - 1)
                     : 0;
  double slowdown = 1.0 + crowd * (double)engine->settings.batch_slowdown_percent / 100.0;
  return (double)engine->settings.token_us * slowdown * slow_factor (engine);
}

static void
advance_progress (Engine *engine, gint64 now_us)
{
  double token_us = token_time_us (engine);
  if (!engine->paused && !engine->faults.hang && token_us > 0)
    engine->progress += (double)(now_us - engine->progress_us) / token_us;
  engine->progress_us = now_us;
}

static guint32
tokens_due (const Engine *engine, const Sequence *sequence)
{
  if (engine->settings.token_us == 0)
    return sequence->total_tokens;
  double tokens = engine->progress - sequence->progress_at_start + sequence->resumed_tokens;
  return tokens >= sequence->total_tokens ? sequence->total_tokens : (guint32)tokens;
}

/* ---- Running ---- */

static void
remove_from_running (Engine *engine, Sequence *sequence)
{
  g_ptr_array_remove_index_fast (engine->running, sequence->running_place);
  if (sequence->running_place < engine->running->len)
    {
      Sequence *moved = g_ptr_array_index (engine->running, sequence->running_place);
      moved->running_place = sequence->running_place;
    }
}

static void
forget_key (Engine *engine, Sequence *sequence)
{
  g_autofree char *key = sequence_make_key (sequence->id, sequence->attempt);
  if (g_hash_table_lookup (engine->by_key, key) == sequence)
    g_hash_table_remove (engine->by_key, key);
}

void
engine_batch_end (Engine *engine, Sequence *sequence, SequenceOutcome outcome)
{
  if (sequence->state == SEQUENCE_ENDED)
    return;
  sequence_ref (sequence);
  gint64 now_us = quince_now_us ();
  advance_progress (engine, now_us);
  forget_key (engine, sequence);
  if (sequence->state == SEQUENCE_RUNNING)
    {
      remove_from_running (engine, sequence);
      engine_records_add_finish (engine->records, sequence, outcome, now_us);
    }
  else
    g_sequence_remove (g_steal_pointer (&sequence->waiting_place));
  sequence->state = SEQUENCE_ENDED;
  sequence_unref (sequence);
  engine_weights_on_sequence_end (engine->weights);
}

static void
finish_sequence (Engine *engine, Sequence *sequence)
{
  const char *reason = sequence->length_given ? "stop" : "length";
  engine_send_tokens (engine, sequence, sequence->total_tokens, reason);
  engine_batch_end (engine, sequence, OUTCOME_FINISHED);
}

static void
start_sequence (Engine *engine, Sequence *sequence, gint64 now_us)
{
  advance_progress (engine, now_us);
  sequence->state = SEQUENCE_RUNNING;
  sequence->running_place = engine->running->len;
  g_ptr_array_add (engine->running, sequence_ref (sequence));
  sequence->first_version = engine_weights_get_active (engine->weights);
  sequence->started_us = now_us;
  engine_records_add_start (engine->records, sequence);
  guint32 hits = engine_cache_use (engine->cache, sequence->blocks, sequence->n_blocks, now_us);
  engine_records_add_blocks (engine->records, sequence->n_blocks, hits);
  guint32 cached_tokens = hits * ENGINE_BLOCK_BYTES / ENGINE_BYTES_PER_TOKEN;
  guint32 prefill_tokens
      = sequence->prompt_tokens + sequence->resumed_tokens - MIN (cached_tokens, sequence->prompt_tokens);
  double prefill_us = (double)prefill_tokens * (double)engine->settings.prefill_us * slow_factor (engine);
  sequence->prefill_until_us = now_us + (gint64)prefill_us;
  if (prefill_us <= 0 && engine->settings.token_us == 0)
    finish_sequence (engine, sequence);
  else
    engine_send_tokens (engine, sequence, sequence->sent_tokens, NULL);
}

static void
run_sequence (Engine *engine, Sequence *sequence, gint64 now_us)
{
  if (!sequence->decoding)
    {
      if (now_us < sequence->prefill_until_us)
        return;
      sequence->decoding = TRUE;
      sequence->progress_at_start = engine->progress;
    }
  guint32 due = tokens_due (engine, sequence);
  gint64 interval = MAX (CHUNK_INTERVAL_US, (gint64)engine->running->len * CHUNK_INTERVAL_US_PER_SEQUENCE);
  if (due >= sequence->total_tokens)
    finish_sequence (engine, sequence);
  else if (due > sequence->sent_tokens && now_us - sequence->last_chunk_us >= interval)
    {
      sequence->last_chunk_us = now_us;
      engine_send_tokens (engine, sequence, due, NULL);
    }
}

static gboolean
caller_gone (Engine *engine, Sequence *sequence, guint64 tick)
{
  return (sequence->serial + tick) % TICKS_PER_CALLER_CHECK == 0
         && quince_standin_caller_gone (sequence->message);
}

static void
drop_gone_waiting (Engine *engine, guint64 tick)
{
  GSequenceIter *place = g_sequence_get_begin_iter (engine->waiting);
  while (!g_sequence_iter_is_end (place))
    {
      Sequence *sequence = g_sequence_get (place);
      place = g_sequence_iter_next (place);
      if (!caller_gone (engine, sequence, tick))
        continue;
      soup_server_message_unpause (sequence->message);
      engine_batch_end (engine, sequence, OUTCOME_DISCONNECTED);
    }
}

static void
ensure_tick (Engine *engine)
{
  if (engine->tick == NULL)
    engine->tick = quince_timer_add ((guint)engine->settings.tick_ms, on_tick, engine);
}

static gboolean
on_tick (gpointer user_data)
{
  Engine *engine = user_data;
  gint64 now_us = quince_now_us ();
  advance_progress (engine, now_us);
  if (engine->faults.hang)
    return G_SOURCE_CONTINUE;
  engine->ticks++;
  engine_send_delayed (engine, now_us);
  /* Backwards: an ended sequence is replaced by the last one. */
  for (guint i = engine->running->len; i > 0 && !engine->paused; i--)
    {
      if (i > engine->running->len)
        continue;
      Sequence *sequence = g_ptr_array_index (engine->running, i - 1);
      if (caller_gone (engine, sequence, engine->ticks))
        engine_batch_end (engine, sequence, OUTCOME_DISCONNECTED);
      else
        run_sequence (engine, sequence, now_us);
    }
  drop_gone_waiting (engine, engine->ticks);
  engine_batch_admit (engine);
  gboolean idle = engine->running->len == 0 && g_sequence_is_empty (engine->waiting)
                  && g_queue_is_empty (engine->delayed);
  if (!idle)
    return G_SOURCE_CONTINUE;
  quince_source_clear (&engine->tick);
  return G_SOURCE_REMOVE;
}

void
engine_batch_flush (Engine *engine)
{
  advance_progress (engine, quince_now_us ());
  for (guint i = engine->running->len; i > 0; i--)
    {
      Sequence *sequence = g_ptr_array_index (engine->running, i - 1);
      guint32 due = sequence->decoding ? tokens_due (engine, sequence) : sequence->sent_tokens;
      if (due > sequence->sent_tokens && due < sequence->total_tokens)
        engine_send_tokens (engine, sequence, due, NULL);
      else if (due >= sequence->total_tokens)
        finish_sequence (engine, sequence);
    }
}

void
engine_batch_set_paused (Engine *engine, gboolean paused)
{
  advance_progress (engine, quince_now_us ());
  engine->paused = paused;
  if (!paused)
    engine_batch_admit (engine);
}

/* ---- Waiting ---- */

static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const Sequence *first = a;
  const Sequence *second = b;
  if (first->priority != second->priority)
    return first->priority > second->priority ? -1 : 1;
  return first->serial < second->serial ? -1 : 1;
}

static gboolean
has_room (const Engine *engine)
{
  return engine->running->len < engine->settings.capacity && !engine->paused && !engine->admission_closed
         && !engine->faults.hang;
}

static void
admit_first (Engine *engine)
{
  GSequenceIter *place = g_sequence_get_begin_iter (engine->waiting);
  Sequence *sequence = sequence_ref (g_sequence_get (place));
  if (sequence->min_version > engine_weights_get_active (engine->weights))
    {
      engine_refuse (engine, sequence->message, 409, "wrong_version");
      engine_batch_end (engine, sequence, OUTCOME_CANCELLED);
      soup_server_message_unpause (sequence->message);
    }
  else
    {
      g_sequence_remove (place);
      sequence->waiting_place = NULL;
      start_sequence (engine, sequence, quince_now_us ());
    }
  sequence_unref (sequence);
}

void
engine_batch_admit (Engine *engine)
{
  while (has_room (engine) && !g_sequence_is_empty (engine->waiting))
    admit_first (engine);
}

void
engine_batch_submit (Engine *engine, Sequence *sequence)
{
  gboolean waits = !has_room (engine) || !g_sequence_is_empty (engine->waiting);
  if (waits && (guint64)g_sequence_get_length (engine->waiting) >= engine->settings.queue)
    {
      engine_refuse (engine, sequence->message, 503, "overloaded");
      return;
    }
  sequence->serial = ++engine->next_serial;
  char *key = sequence_make_key (sequence->id, sequence->attempt);
  g_hash_table_replace (engine->by_key, key, sequence);
  sequence_watch_caller (engine, sequence);
  if (waits)
    {
      soup_server_message_pause (sequence->message);
      sequence->waiting_place
          = g_sequence_insert_sorted (engine->waiting, sequence_ref (sequence), compare_waiting, NULL);
    }
  else
    start_sequence (engine, sequence, quince_now_us ());
  if (sequence->state != SEQUENCE_ENDED || !g_queue_is_empty (engine->delayed))
    ensure_tick (engine);
}

void
engine_batch_refuse_waiting (Engine *engine, const char *type)
{
  while (!g_sequence_is_empty (engine->waiting))
    {
      Sequence *sequence = sequence_ref (g_sequence_get (g_sequence_get_begin_iter (engine->waiting)));
      engine_refuse (engine, sequence->message, 503, type);
      engine_batch_end (engine, sequence, OUTCOME_CANCELLED);
      soup_server_message_unpause (sequence->message);
      sequence_unref (sequence);
    }
}

void
engine_batch_crash (Engine *engine)
{
  while (!g_sequence_is_empty (engine->waiting))
    {
      Sequence *sequence = g_sequence_get (g_sequence_get_begin_iter (engine->waiting));
      quince_standin_cut (sequence->message);
      soup_server_message_unpause (sequence->message);
      engine_batch_end (engine, sequence, OUTCOME_CRASHED);
    }
  while (engine->running->len > 0)
    {
      Sequence *sequence = g_ptr_array_index (engine->running, 0);
      engine_cut_stream (sequence);
      engine_batch_end (engine, sequence, OUTCOME_CRASHED);
    }
}
