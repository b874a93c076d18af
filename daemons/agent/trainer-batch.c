/*
 * trainer-batch.c: hands a step's batch to its trainer, page by page.
 */
#include "trainer-batch.h"

#include <quince/http.h>
#include <quince/http-listener.h>
#include <quince/log.h>
#include <quince/task.h>

#include "trainer-reply.h"

struct _QuinceTrainerBatch
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  SoupServerMessage *message; /* not owned                                   */
  char *trainer;
  guint64 step;
  guint64 batch_id;
  guint next;          /* index of the first sample not written yet        */
  guint total;         /* samples of the batch                             */
  guint64 ledger_call; /* for the next page, 0 when none                   */
};

static gboolean
is_whole (const QuinceTrainerBatch *batch)
{
  return batch->next >= batch->total;
}

static void
append_page (QuinceTrainerBatch *batch, const QuinceBatch *page)
{
  SoupMessageBody *body = soup_server_message_get_response_body (batch->message);
  char *text = quince_trainer_reply_format_page (page);
  soup_message_body_append (body, SOUP_MEMORY_TAKE, text, strlen (text));
  batch->next += page->results.results_len;
  if (is_whole (batch))
    soup_message_body_complete (body);
}

/* Ends the connection before the answer is whole: a trainer cannot take it for one. */
static void
cut (QuinceTrainerBatch *batch, const char *cause)
{
  GSocket *socket = quince_http_get_client_socket (batch->message);
  quince_log_warning ("batch_cut", "trainer=%s step=%" G_GUINT64_FORMAT " written=%u total=%u cause=%s",
                      batch->trainer, batch->step, batch->next, batch->total, cause);
  batch->next = batch->total;
  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
  soup_message_body_complete (soup_server_message_get_response_body (batch->message));
  soup_server_message_unpause (batch->message);
}

static gboolean
is_next_page (const QuinceTrainerBatch *batch, const QuinceLedgerReply *reply)
{
  const QuinceBatch *page;
  if (reply->status != QUINCE_LEDGER_OK || reply->result.kind != QUINCE_COMMAND_PAGE)
    return FALSE;
  page = &reply->result.QuinceLedgerResult_u.batch;
  return page->batch_id == batch->batch_id && page->first == batch->next && page->total == batch->total
         && page->results.results_len > 0 && page->results.results_len <= batch->total - batch->next;
}

static void
page_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceTrainerBatch *batch = user_data;
  batch->ledger_call = 0;
  if (reply == NULL)
    cut (batch, "no_answer");
  else if (!is_next_page (batch, reply))
    cut (batch, reply->status == QUINCE_LEDGER_GONE ? "released" : "made_anew");
  else
    {
      append_page (batch, &reply->result.QuinceLedgerResult_u.batch);
      soup_server_message_unpause (batch->message);
    }
}

static void
page_written (SoupServerMessage *message, gpointer user_data)
{
  QuinceTrainerBatch *batch = user_data;
  if (is_whole (batch) || batch->ledger_call != 0)
    return;
  QuinceCommand command = { .kind = QUINCE_COMMAND_PAGE };
  command.QuinceCommand_u.page = (QuinceReadPage){
    .trainer = batch->trainer, .step = batch->step, .batch_id = batch->batch_id, .first = batch->next
  };
  gint64 limit_us = quince_settings_get_duration_us (batch->worker->settings, "agent", "ledger_timeout");
  batch->ledger_call = quince_hub_client_call_ledger (batch->worker->hub, quince_command_copy (&command),
                                                      quince_now_us () + limit_us, page_answered, batch);
}

QuinceTrainerBatch *
quince_trainer_batch_new (QuinceWorker *worker, SoupServerMessage *message, const QuinceBatch *page)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  QuinceTrainerBatch *batch = g_new0 (QuinceTrainerBatch, 1);
  batch->worker = worker;
  batch->message = message;
  batch->trainer = g_strdup (page->trainer);
  batch->step = page->step;
  batch->batch_id = page->batch_id;
  batch->total = page->total;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace (headers, "Content-Type", "application/json");
  soup_message_body_set_accumulate (soup_server_message_get_response_body (message), FALSE);
  g_signal_connect (message, "wrote-chunk", G_CALLBACK (page_written), batch);
  append_page (batch, page);
  return batch;
}

void
quince_trainer_batch_free (QuinceTrainerBatch *batch)
{
  g_signal_handlers_disconnect_by_data (batch->message, batch);
  if (batch->ledger_call != 0)
    quince_hub_client_cancel (batch->worker->hub, batch->ledger_call);
  g_free (batch->trainer);
  g_free (batch);
}
