/*
 * execution.c: carries one request through its attempts.
 */
#include "execution.h"

#include <string.h>

#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "ledger-client.h"
#include "node-links.h"
#include "prefix-blocks.h"

#define LOOKUP_ATTEMPTS_MOST 5
#define ROLLOUT_ATTEMPTS_MOST 64
#define SWAPS_MOST 64
#define NOT_READY_RETRY_MS 500

struct _QuinceExecution
{
  /* All fields belong to the main context. */
  QuinceAgent *agent;
  QuinceExecutionOptions options; /* texts owned                            */
  const QuinceExecutionCallbacks *callbacks;
  gpointer user_data;
  char id_text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  guint64 prefix[QUINCE_MAX_PREFIX];
  guint n_prefix;
  guint64 node_key; /* for the rendezvous of nodes            */
  guint prompt_tokens;

  QuinceRequest *request; /* of the current leg, see start_leg()    */
  guint attempt_base;     /* attempts of the legs before            */
  guint swaps;            /* legs that ended by a weight swap       */
  gboolean ran;           /* an earlier leg ran                     */
  gboolean forwarded;     /* tokens went out to the caller          */
  gboolean retrying;      /* next grant is for a retry after dispatch */
  gboolean ended;
  QuinceAnswer *answer;
  GPtrArray *tried; /* nodes not to be asked again            */
  GSource *deadline_timer;

  gboolean asking; /* a request for a grant is out           */
  char *node;      /* that granted, %NULL: no grant is held  */
  gint64 dispatched_us;
  guint tokens_before;           /* tokens of the answer at the dispatch   */
  QuinceEngineCall *engine_call; /* in progress, %NULL when none           */

  guint64 claim_holder; /* 0 until a claim was sent               */
  guint64 claim_call;   /* in progress, 0 when none               */
  gboolean duplicate;
  gboolean out_of_budget;
  gboolean no_node;
  gboolean deadline_passed;
  QuinceFinishReason finish_reason;
};

static QuinceExecutionCounters counters;

const QuinceExecutionCounters *
quince_execution_get_counters (void)
{
  return &counters;
}

static void advance (QuinceExecution *execution, QuinceRequestStep step);

static guint
wire_attempt (const QuinceExecution *execution)
{
  return execution->attempt_base + quince_request_get_attempt (execution->request);
}

/* ---- Ends ------------------------------------------------------------------ */

/* Tells the node how its grant ended; does nothing when none is held. */
static void
end_grant (QuinceExecution *execution, QuinceOutcome outcome)
{
  if (execution->node == NULL)
    return;
  gint64 now = quince_now_us ();
  QuinceGrantEnd end = {
    .grant_id = quince_request_get_grant (execution->request)->grant_id,
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
  quince_node_links_end_grant (execution->agent->node_links, execution->node, &end);
  g_clear_pointer (&execution->node, g_free);
}

static void
drop_engine_call (QuinceExecution *execution)
{
  g_clear_pointer (&execution->engine_call, quince_engine_call_unref);
}

/* Ends whatever is in progress, at the node and on the engine. */
static void
stop_attempt (QuinceExecution *execution)
{
  if (execution->asking)
    quince_node_links_withdraw (execution->agent->node_links, execution->options.id,
                                wire_attempt (execution));
  execution->asking = FALSE;
  if (execution->claim_call != 0)
    quince_ledger_client_forget (execution->agent->ledger_client, execution->claim_call);
  execution->claim_call = 0;
  if (execution->engine_call != NULL)
    quince_engine_call_cancel (execution->engine_call);
  gboolean sent = quince_request_get_state (execution->request) != QUINCE_ATTEMPT_NOT_SENT;
  end_grant (execution, sent ? QUINCE_OUTCOME_CANCELLED : QUINCE_OUTCOME_NOT_SENT);
  drop_engine_call (execution);
}

static void
unclaim_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  /* Best effort: a claim that stays only keeps the id from being used again. */
}

/* The id was not used: its caller may use it for another try. */
static void
unclaim (QuinceExecution *execution)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_UNCLAIM };
  QuinceUnclaimRequest *request = &command.QuinceCommand_u.unclaim;
  memcpy (request->request_id, execution->options.id, QUINCE_ID_BYTES);
  request->holder = execution->claim_holder;
  quince_ledger_client_call (execution->agent->ledger_client, quince_command_copy (&command),
                             quince_now_us () + 5 * G_USEC_PER_SEC, unclaim_answered, NULL);
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
    .attempts = wire_attempt (execution),
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
    unclaim (execution);
  counters.ends[result.end]++;
  counters.deadlines += result.deadline ? 1 : 0;
  counters.running--;
  execution->callbacks->done (&result, execution->user_data);
}

/* No further attempt, for a reason that the state machine does not know of. */
static void
give_up (QuinceExecution *execution)
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

/* ---- Grants ---------------------------------------------------------------- */

static void
grant_verdict (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  guint attempt = reply->attempt - execution->attempt_base;
  gint64 now = quince_now_us ();
  execution->asking = FALSE;
  if (reply->verdict.kind == QUINCE_VERDICT_GRANTED)
    {
      const QuinceGrant *grant = &reply->verdict.QuinceVerdict_u.grant;
      QuinceRequestStep step = quince_request_granted (execution->request, now, sent_at_us, attempt, grant);
      if (step == QUINCE_STEP_DISPATCH || step == QUINCE_STEP_CLAIM)
        execution->node = g_strdup (node);
      else
        {
          QuinceGrantEnd end = { .grant_id = grant->grant_id, .outcome = QUINCE_OUTCOME_NOT_SENT };
          quince_node_links_end_grant (execution->agent->node_links, node, &end);
        }
      advance (execution, step);
      return;
    }
  const QuinceRefused *refused = &reply->verdict.QuinceVerdict_u.refused;
  if (refused->reason == QUINCE_REFUSAL_STOPPING || refused->reason == QUINCE_REFUSAL_NOT_READY)
    g_ptr_array_add (execution->tried, g_strdup (node));
  advance (execution, quince_request_grant_refused (execution->request, now, attempt, refused));
}

static void
grant_lost (const char *node, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->asking = FALSE;
  g_ptr_array_add (execution->tried, g_strdup (node));
  guint attempt = quince_request_get_attempt (execution->request);
  advance (execution, quince_request_node_lost (execution->request, quince_now_us (), attempt));
}

static const QuinceGrantCallbacks grant_callbacks = { .verdict = grant_verdict, .lost = grant_lost };

/* Fills in @request; its texts stay owned by the execution. */
static void
fill_grant_request (QuinceExecution *execution, QuinceGrantRequest *request)
{
  const QuinceExecutionOptions *options = &execution->options;
  GPtrArray *avoid = quince_request_get_avoid (execution->request);
  gint64 left_ms = (options->deadline_us - quince_now_us ()) / G_TIME_SPAN_MILLISECOND;
  guint generated = execution->answer->token_count;
  memcpy (request->request_id, options->id, QUINCE_ID_BYTES);
  request->attempt = wire_attempt (execution);
  request->service = (char *)options->service;
  request->member = (char *)options->member;
  request->kind = (char *)options->kind;
  request->work_class = options->work_class;
  request->at_most_once = options->at_most_once;
  request->deadline_ms = (guint)CLAMP (left_ms, 1, G_MAXUINT32);
  request->prompt_tokens = execution->prompt_tokens + generated;
  request->expected_tokens = options->expected_tokens > generated ? options->expected_tokens - generated : 1;
  request->prefix.prefix_len = execution->n_prefix;
  request->prefix.prefix_val = (u_quad_t *)execution->prefix;
  request->min_version = options->min_version;
  request->avoid.avoid_len = avoid->len;
  request->avoid.avoid_val = (QuinceName *)avoid->pdata;
}

static void
ask_grant (QuinceExecution *execution)
{
  QuinceGrantRequest request = { 0 };
  if (execution->retrying)
    {
      execution->retrying = FALSE;
      counters.retried++;
      if (!quince_retry_budget_take (execution->agent->retry_budget, quince_now_us ()))
        {
          counters.budget_refused++;
          execution->out_of_budget = TRUE;
          give_up (execution);
          return;
        }
    }
  fill_grant_request (execution, &request);
  execution->asking = quince_node_links_ask (execution->agent->node_links, &request, execution->node_key,
                                             execution->tried, &grant_callbacks, execution);
  if (execution->asking)
    return;
  execution->no_node = TRUE;
  give_up (execution);
}

/* ---- Claim ------------------------------------------------------------------- */

static void
claim_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  QuinceLedgerStatus status = reply != NULL ? reply->status : QUINCE_LEDGER_UNKNOWN;
  guint attempt = quince_request_get_attempt (execution->request);
  execution->claim_call = 0;
  execution->duplicate = status == QUINCE_LEDGER_DUPLICATE;
  advance (execution, quince_request_claimed (execution->request, quince_now_us (), attempt, status));
}

static void
claim (QuinceExecution *execution)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_CLAIM };
  QuinceClaimRequest *request = &command.QuinceCommand_u.claim;
  if (execution->claim_holder == 0)
    execution->claim_holder = quince_random_u64 ();
  memcpy (request->request_id, execution->options.id, QUINCE_ID_BYTES);
  request->holder = execution->claim_holder;
  request->keep_ms = execution->options.claim_keep_ms;
  execution->claim_call
      = quince_ledger_client_call (execution->agent->ledger_client, quince_command_copy (&command),
                                   execution->options.deadline_us, claim_answered, execution);
}

/* ---- Engine --------------------------------------------------------------- */

static gboolean
engine_starting (gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->dispatched_us = quince_now_us ();
  gboolean allowed = quince_request_dispatching (execution->request, execution->dispatched_us,
                                                 quince_request_get_attempt (execution->request));
  counters.dispatched += allowed ? 1 : 0;
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
  end_grant (execution, sent ? QUINCE_OUTCOME_BROKEN : QUINCE_OUTCOME_NOT_SENT);
  drop_engine_call (execution);
  counters.engine_failed_sent += sent ? 1 : 0;
  counters.engine_failed_unsent += sent ? 0 : 1;
  execution->retrying = TRUE;
  if (quince_answer_is_below (execution->answer, execution->options.min_version))
    quince_answer_clear (execution->answer);
  advance (execution, quince_request_engine_failed (execution->request, quince_now_us (), attempt, sent));
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

static void
start_leg (QuinceExecution *execution)
{
  const QuinceRequestOptions options = {
    .at_most_once = execution->options.at_most_once,
    .streaming = execution->options.streaming,
    .deadline_us = execution->options.deadline_us,
    .attempts_most
    = execution->options.work_class == QUINCE_WORK_ROLLOUT ? ROLLOUT_ATTEMPTS_MOST : LOOKUP_ATTEMPTS_MOST,
  };
  if (execution->request != NULL)
    execution->attempt_base = wire_attempt (execution);
  g_clear_pointer (&execution->request, quince_request_free);
  execution->request = quince_request_new (execution->options.id, &options);
  advance (execution, quince_request_start (execution->request, quince_now_us ()));
}

/* The engine stopped for a weight swap: the rest is a new leg, resumed on any engine. */
static void
resume_after_swap (QuinceExecution *execution)
{
  end_grant (execution, QUINCE_OUTCOME_FINISHED);
  drop_engine_call (execution);
  counters.resumed++;
  execution->swaps++;
  execution->ran = TRUE;
  if (quince_answer_is_below (execution->answer, execution->options.min_version))
    quince_answer_clear (execution->answer);
  start_leg (execution);
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
  end_grant (execution, QUINCE_OUTCOME_FINISHED);
  drop_engine_call (execution);
  guint attempt = quince_request_get_attempt (execution->request);
  advance (execution, quince_request_finished (execution->request, quince_now_us (), attempt));
}

static void
engine_refused (const char *type, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  guint attempt = quince_request_get_attempt (execution->request);
  quince_log_debug ("engine_refused", "request=%s attempt=%u engine=%s", execution->id_text,
                    wire_attempt (execution), quince_request_get_grant (execution->request)->engine);
  end_grant (execution, QUINCE_OUTCOME_REFUSED);
  drop_engine_call (execution);
  counters.engine_refused++;
  execution->retrying = TRUE;
  advance (execution, quince_request_engine_refused (execution->request, quince_now_us (), attempt));
}

static void
engine_failed (gboolean sent, const GError *error, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning ("engine_attempt_failed", "request=%s attempt=%u engine=%s sent=%d tokens=%u reason=%s",
                      execution->id_text, wire_attempt (execution),
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

static void
dispatch (QuinceExecution *execution)
{
  const QuinceGrant *grant = quince_request_get_grant (execution->request);
  const QuinceEngineDispatch what = {
    .address = grant->engine_address,
    .service = execution->options.service,
    .prompt = execution->options.prompt,
    .request_id = execution->id_text,
    .attempt = wire_attempt (execution),
    .max_tokens = execution->options.max_tokens,
    .priority = grant->priority,
    .min_version = MAX (grant->min_version, execution->options.min_version),
    .resume_text = execution->answer->text->str,
    .resume_tokens = execution->answer->token_count,
    .fresh_connection = execution->options.at_most_once,
  };
  execution->tokens_before = execution->answer->token_count;
  execution->dispatched_us = quince_now_us ();
  execution->engine_call
      = quince_engine_call_start (execution->agent->engines, &what, &engine_callbacks, execution);
}

static void
advance (QuinceExecution *execution, QuinceRequestStep step)
{
  switch (step)
    {
    case QUINCE_STEP_WAIT:
      break;
    case QUINCE_STEP_ASK_GRANT:
      ask_grant (execution);
      break;
    case QUINCE_STEP_CLAIM:
      claim (execution);
      break;
    case QUINCE_STEP_DISPATCH:
      dispatch (execution);
      break;
    default:
      finish (execution, step);
    }
}

/* ---- Life --------------------------------------------------------------------- */

QuinceExecution *
quince_execution_new (QuinceAgent *agent,
                      const QuinceExecutionOptions *options,
                      QuinceAnswer *answer,
                      const QuinceExecutionCallbacks *callbacks,
                      gpointer user_data)
{
  QuinceExecution *execution = g_new0 (QuinceExecution, 1);
  gsize length = strlen (options->prompt);
  guint64 id_key = quince_hash64 (options->id, QUINCE_ID_BYTES, 0);
  execution->agent = agent;
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
  counters.started++;
  counters.running++;
  quince_retry_budget_first (execution->agent->retry_budget, now);
  execution->deadline_timer
      = quince_timer_add ((guint)CLAMP (left_ms, 1, G_MAXINT32), deadline_due, execution);
  start_leg (execution);
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
      counters.cancelled++;
      counters.running--;
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
