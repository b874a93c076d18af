/*
 * execution-grant.c: the grant of a node and the claim in the ledger.
 */
#include "execution-private.h"

#include <string.h>

#include <quince/log.h>
#include <quince/task.h>

#define UNCLAIM_TIMEOUT_US (5 * G_USEC_PER_SEC)

/* ---- Grants ---------------------------------------------------------------- */

static void
grant_verdict (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  guint attempt = reply->attempt - execution->attempt_base;
  gint64 now = quince_now_us ();
  execution->ask_call = 0;
  if (reply->verdict.kind == QUINCE_VERDICT_GRANTED)
    {
      const QuinceGrant *grant = &reply->verdict.QuinceVerdict_u.grant;
      QuinceRequestStep step = quince_request_granted (execution->request, now, sent_at_us, attempt, grant);
      quince_log_debug (
          "granted",
          "request=%s attempt=%u node=%s engine=%s age_us=%" G_GINT64_FORMAT " expires_ms=%u step=%d",
          execution->id_text, reply->attempt, node, grant->engine, now - sent_at_us, grant->expires_ms, step);
      if (step == QUINCE_STEP_DISPATCH || step == QUINCE_STEP_CLAIM)
        {
          execution->node = g_strdup (node);
          execution->grant_id = grant->grant_id;
        }
      else
        {
          QuinceGrantEnd end = { .grant_id = grant->grant_id, .outcome = QUINCE_OUTCOME_NOT_SENT };
          quince_hub_client_end_grant (execution->worker->hub, node, &end);
        }
      quince_execution_advance (execution, step);
      return;
    }
  const QuinceRefused *refused = &reply->verdict.QuinceVerdict_u.refused;
  if (refused->reason == QUINCE_REFUSAL_STOPPING || refused->reason == QUINCE_REFUSAL_NOT_READY)
    g_ptr_array_add (execution->tried, g_strdup (node));
  quince_execution_advance (execution,
                            quince_request_grant_refused (execution->request, now, attempt, refused));
}

static void
grant_lost (const char *node, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->ask_call = 0;
  g_ptr_array_add (execution->tried, g_strdup (node));
  guint attempt = quince_request_get_attempt (execution->request);
  quince_execution_advance (execution,
                            quince_request_node_lost (execution->request, quince_now_us (), attempt));
}

static void
grant_not_asked (QuinceAskFailure failure, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  execution->ask_call = 0;
  execution->out_of_budget = failure == QUINCE_ASK_NO_BUDGET;
  execution->no_node = failure == QUINCE_ASK_NO_NODE;
  execution->worker->executions->budget_refused += execution->out_of_budget ? 1 : 0;
  quince_execution_give_up (execution);
}

static const QuinceAskCallbacks grant_callbacks
    = { .verdict = grant_verdict, .lost = grant_lost, .not_asked = grant_not_asked };

/* Fills in @request; its texts stay owned by the execution. */
static void
fill_grant_request (QuinceExecution *execution, QuinceGrantRequest *request)
{
  const QuinceExecutionOptions *options = &execution->options;
  GPtrArray *avoid = quince_request_get_avoid (execution->request);
  gint64 left_ms = (options->deadline_us - quince_now_us ()) / G_TIME_SPAN_MILLISECOND;
  guint generated = execution->answer->token_count;
  memcpy (request->request_id, options->id, QUINCE_ID_BYTES);
  request->attempt = quince_execution_wire_attempt (execution);
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

void
quince_execution_ask_grant (QuinceExecution *execution)
{
  QuinceGrantRequest request = { 0 };
  QuinceAskBudget budget = execution->asked ? QUINCE_ASK_AGAIN : QUINCE_ASK_FIRST;
  /* One that expired while the claim was on its way is still held by its node. */
  quince_execution_end_grant (execution, QUINCE_OUTCOME_NOT_SENT);
  if (execution->retrying)
    {
      execution->retrying = FALSE;
      execution->worker->executions->retried++;
      budget = QUINCE_ASK_RETRY;
    }
  execution->asked = TRUE;
  fill_grant_request (execution, &request);
  execution->ask_call = quince_hub_client_ask (execution->worker->hub, &request, execution->node_key,
                                               execution->tried, budget, &grant_callbacks, execution);
}

/* ---- Claim ------------------------------------------------------------------- */

static void
claim_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceExecution *execution = user_data;
  quince_source_clear (&execution->claim_timer);
  QuinceLedgerStatus status = reply != NULL ? reply->status : QUINCE_LEDGER_UNKNOWN;
  guint attempt = quince_request_get_attempt (execution->request);
  execution->claim_call = 0;
  execution->duplicate = status == QUINCE_LEDGER_DUPLICATE;
  quince_execution_advance (execution,
                            quince_request_claimed (execution->request, quince_now_us (), attempt, status));
}

/* Too late for a dispatch: the engine's slot is for others, and a claim that comes
 * through after this asks for another grant. */
static gboolean
grant_expired (gpointer data)
{
  QuinceExecution *execution = data;
  quince_source_clear (&execution->claim_timer);
  quince_execution_end_grant (execution, QUINCE_OUTCOME_NOT_SENT);
  return G_SOURCE_REMOVE;
}

void
quince_execution_claim (QuinceExecution *execution)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_CLAIM };
  QuinceClaimRequest *request = &command.QuinceCommand_u.claim;
  if (execution->claim_holder == 0)
    execution->claim_holder = quince_random_u64 ();
  memcpy (request->request_id, execution->options.id, QUINCE_ID_BYTES);
  request->holder = execution->claim_holder;
  request->keep_ms = execution->options.claim_keep_ms;
  quince_source_clear (&execution->claim_timer);
  execution->claim_timer = quince_timer_add (quince_request_get_grant (execution->request)->expires_ms,
                                             grant_expired, execution);
  execution->claim_call
      = quince_hub_client_call_ledger (execution->worker->hub, quince_command_copy (&command),
                                       execution->options.deadline_us, claim_answered, execution);
}

static void
unclaim_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  /* Best effort: a claim that stays only keeps the id from being used again. */
}

/* The id was not used: its caller may use it for another try. */
void
quince_execution_unclaim (QuinceExecution *execution)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_UNCLAIM };
  QuinceUnclaimRequest *request = &command.QuinceCommand_u.unclaim;
  memcpy (request->request_id, execution->options.id, QUINCE_ID_BYTES);
  request->holder = execution->claim_holder;
  quince_hub_client_call_ledger (execution->worker->hub, quince_command_copy (&command),
                                 quince_now_us () + UNCLAIM_TIMEOUT_US, unclaim_answered, NULL);
}
