/*
 * execution.c: life, legs and ends of an execution.
 */
#include "execution-private.h"

#include <string.h>

#include <quince/log.h>
#include <quince/task.h>

#include "prefix-blocks.h"

#define LOOKUP_ATTEMPTS_MOST 5
#define ROLLOUT_ATTEMPTS_MOST 64
#define NOT_READY_RETRY_MS 500

guint
quince_execution_wire_attempt (const QuinceExecution *execution)
{
  return execution->attempt_base + quince_request_get_attempt (execution->request);
}

/* ---- Ends ------------------------------------------------------------------ */

/* Tells the node how its grant ended; does nothing when none is held. */
void
quince_execution_end_grant (QuinceExecution *execution, QuinceOutcome outcome)
{
  if (execution->node == NULL)
    return;
  gint64 now = quince_now_us ();
  QuinceGrantEnd end = {
    .grant_id = execution->grant_id,
    .outcome = outcome,
    .on_time = outcome == QUINCE_OUTCOME_FINISHED && now <= execution->options.deadline_us,
  };
  if (execution->engine_call != NULL)
    {
      end.tokens = execution->answer->token_count - execution->tokens_before;
      end.service_ms = (guint)((now - execution->dispatched_us) / G_TIME_SPAN_MILLISECOND);
      end.weight_version = end.tokens > 0 ? quince_answer_get_last_version (execution->answer) : 0;
      end.engine_leaving = quince_engine_call_is_leaving (execution->engine_call);
    }
  quince_hub_client_end_grant (execution->worker->hub, execution->node, &end);
  g_clear_pointer (&execution->node, g_free);
}

void
quince_execution_drop_engine_call (QuinceExecution *execution)
{
  g_clear_pointer (&execution->engine_call, quince_engine_call_unref);
}

/* Ends whatever is in progress, at the node and on the engine. */
static void
stop_attempt (QuinceExecution *execution)
{
  if (execution->ask_call != 0)
    quince_hub_client_cancel (execution->worker->hub, execution->ask_call);
  execution->ask_call = 0;
  quince_source_clear (&execution->claim_timer);
  if (execution->claim_call != 0)
    quince_hub_client_cancel (execution->worker->hub, execution->claim_call);
  execution->claim_call = 0;
  if (execution->engine_call != NULL)
    quince_engine_call_cancel (execution->engine_call);
  gboolean sent = quince_request_get_state (execution->request) != QUINCE_ATTEMPT_NOT_SENT;
  quince_execution_end_grant (execution, sent ? QUINCE_OUTCOME_CANCELLED : QUINCE_OUTCOME_NOT_SENT);
  quince_execution_drop_engine_call (execution);
}

static QuinceExecutionEnd
map_end (const QuinceExecution *execution, QuinceRequestStep step)
{
  if (step == QUINCE_STEP_ANSWER_WHOLE)
    return QUINCE_EXECUTION_WHOLE;
  if (execution->duplicate)
    return QUINCE_EXECUTION_DUPLICATE;
  if (execution->forwarded)
    return QUINCE_EXECUTION_BROKEN;
  if (step == QUINCE_STEP_ANSWER_NOT_RUN && !execution->ran)
    return QUINCE_EXECUTION_NOT_RUN;
  return QUINCE_EXECUTION_UNKNOWN;
}

/* The last thing that happens to an execution: done() may free it. */
static void
finish (QuinceExecution *execution, QuinceRequestStep step)
{
  g_autofree char *engine = g_strdup (quince_request_get_grant (execution->request)->engine);
  QuinceExecutionResult result = {
    .end = map_end (execution, step),
    .refusal = quince_request_get_refusal (execution->request),
    .retry_after_ms = quince_request_get_retry_after_ms (execution->request),
    .finish_reason = execution->finish_reason,
    .engine = engine,
    .attempts = quince_execution_wire_attempt (execution),
    .answer = execution->answer,
  };
  if (execution->out_of_budget)
    result.refusal = QUINCE_REFUSAL_OVERLOADED;
  if (execution->no_node)
    {
      result.refusal = QUINCE_REFUSAL_NOT_READY;
      result.retry_after_ms = MAX (result.retry_after_ms, NOT_READY_RETRY_MS);
    }
  result.deadline = execution->deadline_passed
                    || (result.refusal == QUINCE_REFUSAL_DEADLINE && result.end != QUINCE_EXECUTION_NOT_RUN);
  execution->ended = TRUE;
  quince_source_clear (&execution->deadline_timer);
  stop_attempt (execution);
  if (execution->claim_holder != 0 && result.end == QUINCE_EXECUTION_NOT_RUN)
    quince_execution_unclaim (execution);
  execution->worker->executions->ends[result.end]++;
  execution->worker->executions->deadlines += result.deadline ? 1 : 0;
  execution->worker->executions->running--;
  execution->callbacks->done (&result, execution->user_data);
}

/* No further attempt, for a reason that the state machine does not know of. */
void
quince_execution_give_up (QuinceExecution *execution)
{
  finish (execution, quince_request_deadline (execution->request, quince_now_us ()));
}

static gboolean
deadline_due (gpointer data)
{
  QuinceExecution *execution = data;
  quince_source_clear (&execution->deadline_timer);
  execution->deadline_passed = TRUE;
  QuinceRequestStep step = quince_request_deadline (execution->request, quince_now_us ());
  finish (execution, step);
  return G_SOURCE_REMOVE;
}

/* ---- Steps ----------------------------------------------------------------- */

void
quince_execution_start_leg (QuinceExecution *execution)
{
  const QuinceRequestOptions options = {
    .at_most_once = execution->options.at_most_once,
    .streaming = execution->options.streaming,
    .deadline_us = execution->options.deadline_us,
    .attempts_most
    = execution->options.work_class == QUINCE_WORK_ROLLOUT ? ROLLOUT_ATTEMPTS_MOST : LOOKUP_ATTEMPTS_MOST,
  };
  if (execution->request != NULL)
    execution->attempt_base = quince_execution_wire_attempt (execution);
  g_clear_pointer (&execution->request, quince_request_free);
  execution->request = quince_request_new (execution->options.id, &options);
  quince_execution_advance (execution, quince_request_start (execution->request, quince_now_us ()));
}

void
quince_execution_advance (QuinceExecution *execution, QuinceRequestStep step)
{
  switch (step)
    {
    case QUINCE_STEP_WAIT:
      break;
    case QUINCE_STEP_ASK_GRANT:
      quince_execution_ask_grant (execution);
      break;
    case QUINCE_STEP_CLAIM:
      quince_execution_claim (execution);
      break;
    case QUINCE_STEP_DISPATCH:
      quince_execution_dispatch (execution);
      break;
    default:
      finish (execution, step);
    }
}

/* ---- Life --------------------------------------------------------------------- */

QuinceExecution *
quince_execution_new (QuinceWorker *worker,
                      const QuinceExecutionOptions *options,
                      QuinceAnswer *answer,
                      const QuinceExecutionCallbacks *callbacks,
                      gpointer user_data)
{
  QuinceExecution *execution = g_new0 (QuinceExecution, 1);
  gsize length = strlen (options->prompt);
  guint64 id_key = quince_hash64 (options->id, QUINCE_ID_BYTES, 0);
  execution->worker = worker;
  execution->options = *options;
  execution->options.service = g_strdup (options->service);
  execution->options.member = g_strdup (options->member);
  execution->options.kind = g_strdup (options->kind);
  execution->options.prompt = g_strdup (options->prompt);
  execution->callbacks = callbacks;
  execution->user_data = user_data;
  quince_request_id_format (options->id, execution->id_text);
  execution->n_prefix = quince_prefix_blocks (options->prompt, length, execution->prefix);
  execution->node_key = options->at_most_once ? id_key
                                              : quince_prefix_key (options->prompt, length, execution->prefix,
                                                                   execution->n_prefix);
  execution->prompt_tokens = quince_count_tokens (options->prompt);
  execution->answer = answer != NULL ? answer : quince_answer_new ();
  execution->ran = execution->answer->token_count > 0;
  execution->tried = g_ptr_array_new_with_free_func (g_free);
  return execution;
}

void
quince_execution_start (QuinceExecution *execution)
{
  gint64 now = quince_now_us ();
  gint64 left_ms = (execution->options.deadline_us - now) / G_TIME_SPAN_MILLISECOND;
  execution->worker->executions->started++;
  execution->worker->executions->running++;
  execution->deadline_timer
      = quince_timer_add ((guint)CLAMP (left_ms, 1, G_MAXINT32), deadline_due, execution);
  quince_execution_start_leg (execution);
}

QuinceAnswer *
quince_execution_steal_answer (QuinceExecution *execution)
{
  QuinceAnswer *answer = execution->answer;
  execution->answer = quince_answer_new ();
  return answer;
}

void
quince_execution_free (QuinceExecution *execution)
{
  if (execution->request != NULL && !execution->ended)
    {
      execution->worker->executions->cancelled++;
      execution->worker->executions->running--;
      stop_attempt (execution);
    }
  quince_source_clear (&execution->deadline_timer);
  g_clear_pointer (&execution->request, quince_request_free);
  quince_answer_free (execution->answer);
  g_ptr_array_unref (execution->tried);
  g_free ((char *)execution->options.service);
  g_free ((char *)execution->options.member);
  g_free ((char *)execution->options.kind);
  g_free ((char *)execution->options.prompt);
  g_free (execution->node);
  g_free (execution);
}
