/*
 * baseline-run.c: one request of the plain router, on one engine after
 * another until one ran it.
 */
#include "baseline.h"

#include <quince/task.h>

#define PAUSE_MS 50
#define AVOID_US (1 * G_USEC_PER_SEC)

static void start_attempt (BaselineRun *run);

BaselineRun *
baseline_run_new (Baseline *baseline,
                  const char *service,
                  const char *prompt,
                  const char *id,
                  guint max_tokens)
{
  BaselineRun *run = g_new0 (BaselineRun, 1);
  run->baseline = baseline;
  run->service = g_strdup (service);
  run->prompt = g_strdup (prompt);
  run->id = g_strdup (id);
  run->max_tokens = max_tokens;
  run->engine_name = g_strdup ("");
  run->text = g_string_new (NULL);
  run->segments = g_array_new (FALSE, FALSE, sizeof (BaselineSegment));
  return run;
}

static void
run_free (BaselineRun *run)
{
  quince_source_clear (&run->pause);
  g_clear_pointer (&run->call, quince_engine_call_unref);
  g_free (run->service);
  g_free (run->prompt);
  g_free (run->id);
  g_free (run->engine_name);
  g_string_free (run->text, TRUE);
  g_array_unref (run->segments);
  g_free (run);
}

guint
baseline_run_count_tokens (const BaselineRun *run)
{
  guint count = 0;
  for (guint i = 0; i < run->segments->len; i++)
    count += g_array_index (run->segments, BaselineSegment, i).token_count;
  return count;
}

void
baseline_run_describe_segments (const BaselineRun *run, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "segments");
  json_builder_begin_array (builder);
  for (guint i = 0; i < run->segments->len; i++)
    {
      const BaselineSegment *segment = &g_array_index (run->segments, BaselineSegment, i);
      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "engine");
      json_builder_add_string_value (builder, run->engine_name);
      json_builder_set_member_name (builder, "weight_version");
      json_builder_add_int_value (builder, (gint64)segment->version);
      json_builder_set_member_name (builder, "first_token");
      json_builder_add_int_value (builder, segment->first_token);
      json_builder_set_member_name (builder, "token_count");
      json_builder_add_int_value (builder, segment->token_count);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
end (BaselineRun *run, BaselineEnd how)
{
  run->on_end (how, run->user_data);
  run_free (run);
}

static void
leave_engine (BaselineRun *run)
{
  if (run->engine != NULL)
    run->engine->outstanding--;
  run->engine = NULL;
}

static gboolean
on_pause_over (gpointer data)
{
  BaselineRun *run = data;
  quince_source_clear (&run->pause);
  start_attempt (run);
  return G_SOURCE_REMOVE;
}

/* Tries again when it may. */
static void
go_on_or_end (BaselineRun *run, gboolean may_have_run)
{
  gboolean given_out = run->on_chunk != NULL && run->text->len > 0;
  leave_engine (run);
  if (run->tries_left == 0 || given_out || (may_have_run && !run->repeatable))
    {
      end (run, may_have_run ? BASELINE_UNKNOWN : BASELINE_NOT_RUN);
      return;
    }
  run->tries_left--;
  g_string_truncate (run->text, 0);
  g_array_set_size (run->segments, 0);
  run->pause = quince_timer_add (PAUSE_MS, on_pause_over, run);
}

static void
on_chunk (const QuinceEngineChunk *chunk, gpointer user_data)
{
  BaselineRun *run = user_data;
  BaselineSegment *last = run->segments->len > 0
                              ? &g_array_index (run->segments, BaselineSegment, run->segments->len - 1)
                              : NULL;
  if (chunk->token_count == 0)
    return;
  g_string_append (run->text, chunk->text);
  if (last != NULL && last->version == chunk->weight_version)
    last->token_count += chunk->token_count;
  else
    {
      BaselineSegment segment = { chunk->weight_version, chunk->token_start, chunk->token_count };
      g_array_append_val (run->segments, segment);
    }
  if (run->on_chunk != NULL)
    run->on_chunk (chunk, run->user_data);
}

static void
on_finished (QuinceFinishReason reason, gpointer user_data)
{
  BaselineRun *run = user_data;
  if (reason == QUINCE_FINISH_SWAP)
    {
      go_on_or_end (run, TRUE);
      return;
    }
  leave_engine (run);
  end (run, BASELINE_WHOLE);
}

static void
on_refused (const char *type, gpointer user_data)
{
  go_on_or_end (user_data, FALSE);
}

static void
on_failed (gboolean sent, const GError *error, gpointer user_data)
{
  BaselineRun *run = user_data;
  run->engine->avoid_until_us = quince_now_us () + AVOID_US;
  go_on_or_end (run, sent);
}

static gboolean
on_starting (gpointer user_data)
{
  return TRUE;
}

static void
on_accepted (gpointer user_data)
{
}

static const QuinceEngineCallbacks callbacks = { .starting = on_starting,
                                                 .accepted = on_accepted,
                                                 .chunk = on_chunk,
                                                 .finished = on_finished,
                                                 .refused = on_refused,
                                                 .failed = on_failed };

static void
start_attempt (BaselineRun *run)
{
  BaselineEngine *engine = baseline_choose_engine (run->baseline, run->service, run->prompt);
  if (engine == NULL)
    {
      go_on_or_end (run, FALSE);
      return;
    }
  run->engine = engine;
  engine->outstanding++;
  g_free (run->engine_name);
  run->engine_name = g_strdup (engine->name);
  const QuinceEngineDispatch dispatch = { .address = engine->address,
                                          .service = run->service,
                                          .prompt = run->prompt,
                                          .request_id = run->id,
                                          .attempt = ++run->attempt,
                                          .max_tokens = run->max_tokens,
                                          .resume_text = "",
                                          .fresh_connection = TRUE };
  g_clear_pointer (&run->call, quince_engine_call_unref);
  SoupSession *session = run->baseline->run_sessions[run->baseline->next_session++ % BASELINE_SESSIONS];
  run->call = quince_engine_call_start (session, &dispatch, &callbacks, run);
}

void
baseline_run_start (BaselineRun *run)
{
  start_attempt (run);
}
