/*
 * trainer-api.c: what trainers call: submit rollouts, pull and release steps.
 *
 * Every call is one idempotent ledger command; a pull that may wait repeats
 * its command until the step is whole or its time is over.
 */
#include "trainer-api.h"

#include <quince/http.h>
#include <quince/log.h>
#include <quince/task.h>

#include "trainer-batch.h"
#include "trainer-reply.h"
#include "trainer-request.h"

#define POLL_INTERVAL_MS 100
#define STOPPING_RETRY_MS 1000

struct _QuinceTrainerApi
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  GHashTable *running; /* of TrainerCall, owned */
};

/* One call of a trainer; lives until its message is finished. */
typedef struct
{
  QuinceTrainerApi *owner;
  SoupServerMessage *message;
  QuinceCommand *command;
  gint64 wait_until_us; /* a pull may wait until then                      */
  guint64 ledger_call;  /* in progress, 0 when none                        */
  GSource *poll_timer;
  QuinceTrainerBatch *batch; /* answer of several pages, NULL: none       */
} TrainerCall;

static void
call_free (TrainerCall *call)
{
  g_signal_handlers_disconnect_by_data (call->message, call);
  quince_source_clear (&call->poll_timer);
  g_clear_pointer (&call->batch, quince_trainer_batch_free);
  if (call->ledger_call != 0)
    quince_hub_client_cancel (call->owner->worker->hub, call->ledger_call);
  quince_command_free (call->command);
  g_object_unref (call->message);
  g_free (call);
}

static void
message_finished (SoupServerMessage *message, gpointer user_data)
{
  TrainerCall *call = user_data;
  g_hash_table_remove (call->owner->running, call);
}

/* ---- The ledger's side ----------------------------------------------------------- */

static void call_ledger (TrainerCall *call);

static gboolean
poll_due (gpointer data)
{
  TrainerCall *call = data;
  quince_source_clear (&call->poll_timer);
  call_ledger (call);
  return G_SOURCE_REMOVE;
}

static gboolean
may_wait (const TrainerCall *call, const QuinceLedgerReply *reply)
{
  return reply != NULL && reply->status == QUINCE_LEDGER_NOT_COMPLETE && !call->owner->worker->stopping
         && quince_now_us () < call->wait_until_us;
}

/* The first page of a batch that has more, or %NULL. */
static const QuinceBatch *
get_first_page (const QuinceLedgerReply *reply)
{
  const QuinceBatch *page;
  if (reply == NULL || reply->status != QUINCE_LEDGER_OK || reply->result.kind != QUINCE_COMMAND_PULL)
    return NULL;
  page = &reply->result.QuinceLedgerResult_u.batch;
  return page->results.results_len < page->total ? page : NULL;
}

static void
ledger_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  TrainerCall *call = user_data;
  call->ledger_call = 0;
  if (may_wait (call, reply))
    {
      call->poll_timer = quince_timer_add (POLL_INTERVAL_MS, poll_due, call);
      return;
    }
  const QuinceBatch *page = get_first_page (reply);
  if (page != NULL)
    call->batch = quince_trainer_batch_new (call->owner->worker, call->message, page);
  else
    quince_trainer_reply (call->message, call->command, reply);
  soup_server_message_unpause (call->message);
}

static void
call_ledger (TrainerCall *call)
{
  const QuinceSettings *settings = call->owner->worker->settings;
  gint64 limit_us = quince_settings_get_duration_us (settings, "agent", "ledger_timeout");
  call->ledger_call
      = quince_hub_client_call_ledger (call->owner->worker->hub, quince_command_copy (call->command),
                                       quince_now_us () + limit_us, ledger_answered, call);
}

/* ---- The trainer's side ------------------------------------------------------------ */

/* @command: (transfer full) */
static void
start_call (QuinceTrainerApi *api, SoupServerMessage *message, QuinceCommand *command, guint64 wait_ms)
{
  TrainerCall *call = g_new0 (TrainerCall, 1);
  call->owner = api;
  call->message = g_object_ref (message);
  call->command = command;
  call->wait_until_us = quince_now_us () + (gint64)wait_ms * G_TIME_SPAN_MILLISECOND;
  g_hash_table_add (api->running, call);
  g_signal_connect (message, "finished", G_CALLBACK (message_finished), call);
  soup_server_message_pause (message);
  call_ledger (call);
}

/* Returns: (transfer full): the body; %NULL when @message was answered. */
static JsonNode *
read_body (QuinceTrainerApi *api, SoupServerMessage *message)
{
  if (!api->worker->stopping)
    return quince_http_read_object (message);
  quince_http_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                           "this agent stops: ask another", TRUE, STOPPING_RETRY_MS);
  return NULL;
}

static void
handle_call (QuinceTrainerApi *api, SoupServerMessage *message, const char *trainer, QuinceCommandKind kind)
{
  g_autoptr (JsonNode) body = read_body (api, message);
  g_autoptr (GError) error = NULL;
  guint64 wait_ms = 0;
  if (body == NULL)
    return;
  QuinceCommand *command
      = quince_trainer_request_read (kind, json_node_get_object (body), trainer, &wait_ms, &error);
  if (command != NULL)
    start_call (api, message, command, wait_ms);
  else
    quince_http_reply_error (message, SOUP_STATUS_BAD_REQUEST, "bad_request", error->message, TRUE, -1);
}

void
quince_trainer_api_submit (QuinceTrainerApi *api, SoupServerMessage *message)
{
  handle_call (api, message, NULL, QUINCE_COMMAND_SUBMIT);
}

void
quince_trainer_api_pull (QuinceTrainerApi *api, SoupServerMessage *message, const char *trainer)
{
  handle_call (api, message, trainer, QUINCE_COMMAND_PULL);
}

void
quince_trainer_api_release (QuinceTrainerApi *api, SoupServerMessage *message, const char *trainer)
{
  handle_call (api, message, trainer, QUINCE_COMMAND_RELEASE);
}

/* ---- Life ---------------------------------------------------------------------------- */

QuinceTrainerApi *
quince_trainer_api_new (QuinceWorker *worker)
{
  QuinceTrainerApi *api = g_new0 (QuinceTrainerApi, 1);
  api->worker = worker;
  api->running = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)call_free, NULL);
  return api;
}

void
quince_trainer_api_free (QuinceTrainerApi *api)
{
  g_hash_table_unref (api->running);
  g_free (api);
}

guint
quince_trainer_api_get_running (const QuinceTrainerApi *api)
{
  return g_hash_table_size (api->running);
}
