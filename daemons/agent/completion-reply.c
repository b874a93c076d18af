/*
 * completion-reply.c: bodies of answers to callers, in the OpenAI form.
 *
 * Written as text, without a JSON tree: one is made for every chunk of every
 * stream.
 */
#include "completion-reply.h"

#include <quince/http.h>

#include "json-text.h"

static void
append_head (GString *out, const QuinceReplyHead *head, const char *text, const char *finish_reason)
{
  g_string_append_printf (out, "{\"id\":\"%s\",\"object\":\"text_completion\",\"model\":", head->id);
  quince_json_append_text (out, head->model);
  g_string_append (out, ",\"choices\":[{\"index\":0,\"text\":");
  quince_json_append_text (out, text);
  if (finish_reason != NULL)
    g_string_append_printf (out, ",\"finish_reason\":\"%s\"}]", finish_reason);
  else
    g_string_append (out, ",\"finish_reason\":null}]");
}

static void
append_tail (GString *out, const QuinceReplyHead *head, const QuinceExecutionResult *result)
{
  const QuinceAnswer *answer = result->answer;
  g_string_append_printf (out, ",\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u}",
                          head->prompt_tokens, answer->token_count);
  g_string_append (out, ",\"quince\":{\"engine\":");
  quince_json_append_text (out, result->engine);
  g_string_append_printf (out, ",\"attempts\":%u,\"segments\":[", result->attempts);
  for (guint i = 0; i < answer->runs->len; i++)
    {
      const QuinceTokenRun *run = &g_array_index (answer->runs, QuinceTokenRun, i);
      g_string_append (out, i > 0 ? ",{\"engine\":" : "{\"engine\":");
      quince_json_append_text (out, run->engine);
      g_string_append_printf (
          out, ",\"weight_version\":%" G_GUINT64_FORMAT ",\"first_token\":%u,\"token_count\":%u}",
          run->weight_version, run->first_token, run->token_count);
    }
  g_string_append (out, "]}}");
}

char *
quince_completion_reply_whole (const QuinceReplyHead *head, const QuinceExecutionResult *result)
{
  GString *out = g_string_sized_new (512);
  append_head (out, head, result->answer->text->str, quince_finish_reason_to_text (result->finish_reason));
  append_tail (out, head, result);
  return g_string_free (out, FALSE);
}

char *
quince_completion_reply_tokens (const QuinceReplyHead *head, const char *text)
{
  GString *out = g_string_sized_new (256);
  g_string_append (out, "data: ");
  append_head (out, head, text, NULL);
  g_string_append (out, "}\n\n");
  return g_string_free (out, FALSE);
}

char *
quince_completion_reply_end (const QuinceReplyHead *head, const QuinceExecutionResult *result)
{
  GString *out = g_string_sized_new (512);
  g_string_append (out, "data: ");
  append_head (out, head, "", quince_finish_reason_to_text (result->finish_reason));
  append_tail (out, head, result);
  g_string_append (out, "\n\ndata: [DONE]\n\n");
  return g_string_free (out, FALSE);
}

char *
quince_completion_reply_broken (const QuinceExecutionResult *result)
{
  const char *cause = result->deadline ? "the deadline passed" : "the engine's stream broke";
  return g_strdup_printf ("data: {\"error\":{\"type\":\"stream_broken\",\"message\":\"%s after %u tokens\","
                          "\"not_run\":false}}\n\n",
                          cause, result->answer->token_count);
}

typedef struct
{
  guint status;
  const char *type;
  const char *text;
} ErrorForm;

/* Indexed by QuinceRefusal. */
static const ErrorForm not_run_forms[] = {
  [QUINCE_REFUSAL_OVERLOADED] = { 429, "overloaded", "cannot be answered in time now" },
  [QUINCE_REFUSAL_POLICY] = { 429, "policy_refused", "refused by the policy in force" },
  [QUINCE_REFUSAL_NO_ENGINE] = { 503, "no_engine", "no engine serves this" },
  [QUINCE_REFUSAL_NOT_READY] = { 503, "not_ready", "no node is ready" },
  [QUINCE_REFUSAL_STOPPING] = { 503, "not_ready", "no node is ready" },
  [QUINCE_REFUSAL_DEADLINE] = { 429, "deadline", "the deadline passed before an engine was free" },
  [QUINCE_REFUSAL_BAD_REQUEST] = { 400, "bad_request", "the node found the request not valid" },
};

void
quince_completion_reply_error (SoupServerMessage *message, const QuinceExecutionResult *result)
{
  if (result->end == QUINCE_EXECUTION_NOT_RUN)
    {
      const ErrorForm *form = &not_run_forms[MIN (result->refusal, QUINCE_REFUSAL_BAD_REQUEST)];
      quince_http_reply_error (message, form->status, form->type, form->text, TRUE, result->retry_after_ms);
    }
  else if (result->end == QUINCE_EXECUTION_DUPLICATE)
    quince_http_reply_error (message, SOUP_STATUS_CONFLICT, "duplicate_request",
                             "another request holds this id", -1, -1);
  else if (result->deadline)
    quince_http_reply_error (message, SOUP_STATUS_GATEWAY_TIMEOUT, "deadline_unknown",
                             "the deadline passed after dispatch", FALSE, result->retry_after_ms);
  else
    quince_http_reply_error (message, SOUP_STATUS_BAD_GATEWAY, "outcome_unknown",
                             "it may have run, but there is no whole answer", FALSE, result->retry_after_ms);
}
