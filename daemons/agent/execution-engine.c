/*
 * execution-engine.c: the attempt on the engine.
 */
#include "execution-private.h"

#include <quince/log.h>
#include <quince/task.h>

#define SWAPS_MOST 64

/* ---- Engine --------------------------------------------------------------- */

static gboolean
engine_starting (gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->dispatched_us = quince_now_us ();
  gboolean allowed = quince_request_dispatching (execution->request, execution->dispatched_us,
                                                 quince_request_get_attempt (execution->request));
  execution->worker->executions->dispatched += allowed ? 1 : 0;
  return allowed;
}

static void
engine_accepted (gpointer user_data)
{
  QuinceExecution *execution = user_data;
  quince_request_accepted (execution->request, quince_request_get_attempt (execution->request));
}

/* The attempt failed; the next one resumes after the tokens that are there. */
static void
attempt_failed (QuinceExecution *execution, gboolean sent)
{
  guint attempt = quince_request_get_attempt (execution->request);
  quince_execution_end_grant (execution, sent ? QUINCE_OUTCOME_BROKEN : QUINCE_OUTCOME_NOT_SENT);
  quince_execution_drop_engine_call (execution);
  execution->worker->executions->engine_failed_sent += sent ? 1 : 0;
  execution->worker->executions->engine_failed_unsent += sent ? 0 : 1;
  execution->retrying = TRUE;
  if (quince_answer_is_below (execution->answer, execution->options.min_version))
    quince_answer_clear (execution->answer);
  quince_execution_advance (
      execution, quince_request_engine_failed (execution->request, quince_now_us (), attempt, sent));
}

static void
engine_chunk (const QuinceEngineChunk *chunk, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  const char *engine = quince_request_get_grant (execution->request)->engine;
  if (!quince_answer_append (execution->answer, engine, chunk))
    {
      quince_log_warning ("answer_too_large", "request=%s engine=%s", execution->id_text, engine);
      quince_engine_call_cancel (execution->engine_call);
      attempt_failed (execution, TRUE);
      return;
    }
  if (execution->options.streaming)
    {
      execution->forwarded = TRUE;
      quince_request_forwarded (execution->request, quince_request_get_attempt (execution->request));
    }
  if (execution->callbacks->tokens != NULL)
    execution->callbacks->tokens (chunk, execution->user_data);
}

/* The engine stopped for a weight swap: the rest is a new leg, resumed on any engine. */
static void
resume_after_swap (QuinceExecution *execution)
{
  quince_execution_end_grant (execution, QUINCE_OUTCOME_FINISHED);
  quince_execution_drop_engine_call (execution);
  execution->worker->executions->resumed++;
  execution->swaps++;
  execution->ran = TRUE;
  if (quince_answer_is_below (execution->answer, execution->options.min_version))
    quince_answer_clear (execution->answer);
  quince_execution_start_leg (execution);
}

static void
engine_finished (QuinceFinishReason reason, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->finish_reason = reason;
  if (reason == QUINCE_FINISH_SWAP)
    {
      if (execution->options.at_most_once || execution->swaps >= SWAPS_MOST)
        attempt_failed (execution, TRUE);
      else
        resume_after_swap (execution);
      return;
    }
  quince_execution_end_grant (execution, QUINCE_OUTCOME_FINISHED);
  quince_execution_drop_engine_call (execution);
  guint attempt = quince_request_get_attempt (execution->request);
  quince_execution_advance (execution,
                            quince_request_finished (execution->request, quince_now_us (), attempt));
}

static void
engine_refused (const char *type, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  guint attempt = quince_request_get_attempt (execution->request);
  quince_log_debug ("engine_refused", "request=%s attempt=%u engine=%s", execution->id_text,
                    quince_execution_wire_attempt (execution),
                    quince_request_get_grant (execution->request)->engine);
  quince_execution_end_grant (execution, QUINCE_OUTCOME_REFUSED);
  quince_execution_drop_engine_call (execution);
  execution->worker->executions->engine_refused++;
  execution->retrying = TRUE;
  quince_execution_advance (execution,
                            quince_request_engine_refused (execution->request, quince_now_us (), attempt));
}

static void
engine_failed (gboolean sent, const GError *error, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning ("engine_attempt_failed", "request=%s attempt=%u engine=%s sent=%d tokens=%u reason=%s",
                      execution->id_text, quince_execution_wire_attempt (execution),
                      quince_request_get_grant (execution->request)->engine, sent,
                      execution->answer->token_count, reason);
  attempt_failed (execution, sent);
}

static const QuinceEngineCallbacks engine_callbacks = {
  .starting = engine_starting,
  .accepted = engine_accepted,
  .chunk = engine_chunk,
  .finished = engine_finished,
  .refused = engine_refused,
  .failed = engine_failed,
};

void
quince_execution_dispatch (QuinceExecution *execution)
{
  const QuinceGrant *grant = quince_request_get_grant (execution->request);
  const QuinceEngineDispatch what = {
    .address = grant->engine_address,
    .service = execution->options.service,
    .prompt = execution->options.prompt,
    .request_id = execution->id_text,
    .attempt = quince_execution_wire_attempt (execution),
    .max_tokens = execution->options.max_tokens,
    .priority = grant->priority,
    .min_version = MAX (grant->min_version, execution->options.min_version),
    .resume_text = execution->answer->text->str,
    .resume_tokens = execution->answer->token_count,
    .fresh_connection = execution->options.at_most_once,
    .expires_us = quince_request_get_grant_expiry (execution->request),
  };
  execution->tokens_before = execution->answer->token_count;
  execution->dispatched_us = quince_now_us ();
  execution->engine_call
      = quince_engine_call_start (execution->worker->engines, &what, &engine_callbacks, execution);
}
