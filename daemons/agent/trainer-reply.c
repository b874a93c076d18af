/*
 * trainer-reply.c: the ledger's answers in the form that trainers get.
 */
#include "trainer-reply.h"

#include <quince/http.h>

#include "json-text.h"

#define RETRY_MS 250

static void
reply_text (SoupServerMessage *message, guint status, char *text /* transfer full */)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, text, strlen (text));
}

static void
append_sample (GString *out, const QuinceSampleResult *sample)
{
  char reward[G_ASCII_DTOSTR_BUF_SIZE];
  g_string_append (out, "{\"sample_id\":");
  quince_json_append_text (out, sample->sample_id);
  g_string_append (out, ",\"text\":");
  quince_json_append_text (out, sample->text);
  g_string_append_printf (out, ",\"token_count\":%u", sample->token_count);
  if (sample->scored)
    g_string_append_printf (out, ",\"reward\":%s", g_ascii_dtostr (reward, sizeof reward, sample->reward));
  g_string_append (out, ",\"segments\":[");
  for (guint i = 0; i < sample->segments.segments_len; i++)
    {
      const QuinceSegment *segment = &sample->segments.segments_val[i];
      g_string_append (out, i > 0 ? ",{\"engine\":" : "{\"engine\":");
      quince_json_append_text (out, segment->engine);
      g_string_append_printf (
          out, ",\"weight_version\":%" G_GUINT64_FORMAT ",\"first_token\":%u,\"token_count\":%u}",
          (guint64)segment->weight_version, segment->first_token, segment->token_count);
    }
  g_string_append (out, "]}");
}

char *
quince_trainer_reply_format_page (const QuinceBatch *page)
{
  GString *out = g_string_new (NULL);
  if (page->first == 0)
    g_string_append_printf (out, "{\"step\":%" G_GUINT64_FORMAT ",\"samples\":[", (guint64)page->step);
  for (guint i = 0; i < page->results.results_len; i++)
    {
      if (page->first + i > 0)
        g_string_append_c (out, ',');
      append_sample (out, &page->results.results_val[i]);
    }
  if (page->first + page->results.results_len >= page->total)
    g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

static void
reply_not_complete (SoupServerMessage *message, const QuinceCommand *command, const QuinceLedgerReply *reply)
{
  const QuinceBatch *batch
      = reply->result.kind == QUINCE_COMMAND_PULL ? &reply->result.QuinceLedgerResult_u.batch : NULL;
  guint retry_ms = MAX (reply->retry_after_ms, RETRY_MS);
  reply_text (message, SOUP_STATUS_ACCEPTED,
              g_strdup_printf ("{\"step\":%" G_GUINT64_FORMAT
                               ",\"ready\":%u,\"total\":%u,\"retry_after_ms\":%u}",
                               (guint64)command->QuinceCommand_u.pull.step, batch != NULL ? batch->ready : 0,
                               batch != NULL ? batch->total : 0, retry_ms));
}

static void
reply_ok (SoupServerMessage *message, const QuinceCommand *command, const QuinceLedgerReply *reply)
{
  if (command->kind == QUINCE_COMMAND_PULL && reply->result.kind == QUINCE_COMMAND_PULL)
    reply_text (message, SOUP_STATUS_OK,
                quince_trainer_reply_format_page (&reply->result.QuinceLedgerResult_u.batch));
  else if (command->kind == QUINCE_COMMAND_SUBMIT)
    reply_text (message, SOUP_STATUS_OK,
                g_strdup_printf ("{\"accepted\":%u}", command->QuinceCommand_u.submit.samples.samples_len));
  else
    reply_text (
        message, SOUP_STATUS_OK,
        g_strdup_printf ("{\"step\":%" G_GUINT64_FORMAT "}", (guint64)command->QuinceCommand_u.release.step));
}

void
quince_trainer_reply (SoupServerMessage *message,
                      const QuinceCommand *command,
                      const QuinceLedgerReply *reply)
{
  switch (reply != NULL ? reply->status : QUINCE_LEDGER_UNKNOWN)
    {
    case QUINCE_LEDGER_OK:
      reply_ok (message, command, reply);
      break;
    case QUINCE_LEDGER_NOT_COMPLETE:
      reply_not_complete (message, command, reply);
      break;
    case QUINCE_LEDGER_CONFLICT:
    case QUINCE_LEDGER_DUPLICATE:
      quince_http_reply_error (message, SOUP_STATUS_CONFLICT, "conflict", "same id, other content", -1, -1);
      break;
    case QUINCE_LEDGER_NO_SUCH:
      quince_http_reply_error (message, SOUP_STATUS_NOT_FOUND, "no_such_step", "no such step", -1, -1);
      break;
    case QUINCE_LEDGER_GONE:
      quince_http_reply_error (message, SOUP_STATUS_GONE, "gone", "the step was released", -1, -1);
      break;
    default:
      quince_http_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "unknown",
                               "the ledger did not answer: repeat the call", -1, RETRY_MS);
    }
}
