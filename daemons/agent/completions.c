/*
 * completions.c: POST /v1/completions.
 */
#include "completions.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <quince/http-listener.h>
#include <quince/http.h>
#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "completion-reply.h"
#include "completion-request.h"
#include "execution.h"
#include "prefix-blocks.h"

#define STOPPING_RETRY_MS 1000
#define CALLER_CHECK_US (100 * G_TIME_SPAN_MILLISECOND)
#define CALLER_CHECK_INTERVAL_MS 50

struct _QuinceCompletions
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  GHashTable *running; /* of Completion, owned                          */
  GHashTable *by_id;   /* id -> Completion that holds it, borrowed      */
  GSource *caller_timer;
  QuinceCompletionsCounters counters;
};

/* One request of a caller; lives until the message is finished, or its caller is gone. */
typedef struct
{
  QuinceCompletions *owner;
  SoupServerMessage *message;
  QuinceExecution *execution; /* %NULL once it has ended                  */
  QuinceRequestId request_id;
  char id[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  guint64 id_call; /* for the id, 0 when none is out          */
  gboolean has_id; /* no other request of the agent has it    */
  char *model;
  guint prompt_tokens;
  gboolean streaming;
  gboolean headers_out; /* the status and some of a stream went out */
  gboolean paused;      /* the message waits for us                 */
  gint64 checked_us;    /* when its caller was last seen, or arrived */
} Completion;

static void
end_execution (Completion *completion)
{
  QuinceHubClient *hub = completion->owner->worker->hub;
  g_clear_pointer (&completion->execution, quince_execution_free);
  if (completion->id_call != 0)
    quince_hub_client_cancel (hub, completion->id_call);
  completion->id_call = 0;
  if (!completion->has_id)
    return;
  completion->has_id = FALSE;
  g_hash_table_remove (completion->owner->by_id, completion->id);
  quince_hub_client_release_id (hub, completion->request_id);
}

static void
completion_free (Completion *completion)
{
  g_signal_handlers_disconnect_by_data (completion->message, completion);
  end_execution (completion);
  g_object_unref (completion->message);
  g_free (completion->model);
  g_free (completion);
}

static QuinceReplyHead
reply_head (const Completion *completion)
{
  return (QuinceReplyHead){ .id = completion->id,
                            .model = completion->model,
                            .prompt_tokens = completion->prompt_tokens };
}

/* ---- Answers ----------------------------------------------------------------- */

static void
resume_message (Completion *completion)
{
  if (!completion->paused)
    return;
  completion->paused = FALSE;
  soup_server_message_unpause (completion->message);
}

/* The first of a stream sends the headers too. */
static void
append_event (Completion *completion, char *event)
{
  SoupMessageBody *body = soup_server_message_get_response_body (completion->message);
  if (!completion->headers_out)
    {
      SoupMessageHeaders *headers = soup_server_message_get_response_headers (completion->message);
      soup_server_message_set_status (completion->message, SOUP_STATUS_OK, NULL);
      soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
      soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
      soup_message_body_set_accumulate (body, FALSE);
      completion->headers_out = TRUE;
    }
  soup_message_body_append (body, SOUP_MEMORY_TAKE, event, strlen (event));
  soup_server_message_unpause (completion->message);
  completion->paused = FALSE;
}

static void
execution_tokens (const QuinceEngineChunk *chunk, gpointer user_data)
{
  Completion *completion = user_data;
  QuinceReplyHead head = reply_head (completion);
  append_event (completion, quince_completion_reply_tokens (&head, chunk->text));
}

static void
answer_stream (Completion *completion, const QuinceExecutionResult *result)
{
  QuinceReplyHead head = reply_head (completion);
  char *event = result->end == QUINCE_EXECUTION_WHOLE ? quince_completion_reply_end (&head, result)
                                                      : quince_completion_reply_broken (result);
  append_event (completion, event);
  soup_message_body_complete (soup_server_message_get_response_body (completion->message));
}

static void
answer_whole (Completion *completion, const QuinceExecutionResult *result)
{
  QuinceReplyHead head = reply_head (completion);
  char *body = quince_completion_reply_whole (&head, result);
  soup_server_message_set_status (completion->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (completion->message, "application/json", SOUP_MEMORY_TAKE, body,
                                    strlen (body));
}

static void
execution_done (const QuinceExecutionResult *result, gpointer user_data)
{
  Completion *completion = user_data;
  QuinceCompletionsCounters *counters = &completion->owner->counters;
  gboolean whole = result->end == QUINCE_EXECUTION_WHOLE;
  counters->answered_whole += whole ? 1 : 0;
  counters->answered_error += whole ? 0 : 1;
  if (completion->headers_out || (whole && completion->streaming))
    answer_stream (completion, result);
  else if (whole)
    answer_whole (completion, result);
  else
    quince_completion_reply_error (completion->message, result);
  end_execution (completion);
  resume_message (completion);
}

static const QuinceExecutionCallbacks streamed_callbacks
    = { .tokens = execution_tokens, .done = execution_done };
static const QuinceExecutionCallbacks whole_callbacks = { .done = execution_done };

/* ---- Callers that go away ------------------------------------------------------ */

static void
message_finished (SoupServerMessage *message, gpointer user_data)
{
  Completion *completion = user_data;
  if (completion->execution != NULL)
    {
      completion->owner->counters.callers_gone++;
      quince_log_info ("caller_gone", "request=%s", completion->id);
    }
  g_hash_table_remove (completion->owner->running, completion);
}

/* The message is let go of with what there is, so that libsoup closes its connection. */
static void
caller_gone (Completion *completion)
{
  g_autoptr (SoupServerMessage) message = g_object_ref (completion->message);
  gboolean headers_out = completion->headers_out;
  message_finished (message, completion);
  if (headers_out)
    soup_message_body_complete (soup_server_message_get_response_body (message));
  else
    soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  soup_server_message_unpause (message);
}

static gboolean
caller_is_there (const Completion *completion)
{
  char byte;
  GSocket *socket = quince_http_get_client_socket (completion->message);
  if (socket == NULL)
    return FALSE;
  gssize got = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

/* While an answer is awaited nothing is read from the caller, so that libsoup
 * does not see it leave.  One timer for all costs less than a source each. */
static gboolean
check_callers (gpointer data)
{
  QuinceCompletions *completions = data;
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  gint64 now = quince_now_us ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, completions->running);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Completion *completion = key;
      if (completion->execution == NULL || now - completion->checked_us < CALLER_CHECK_US)
        continue;
      completion->checked_us = now;
      if (!caller_is_there (completion))
        g_ptr_array_add (gone, completion);
    }
  for (guint i = 0; i < gone->len; i++)
    caller_gone (g_ptr_array_index (gone, i));
  return G_SOURCE_CONTINUE;
}

/* ---- Requests ------------------------------------------------------------------ */

static Completion *
completion_new (QuinceCompletions *completions,
                SoupServerMessage *message,
                const QuinceExecutionOptions *options)
{
  Completion *completion = g_new0 (Completion, 1);
  completion->owner = completions;
  completion->message = g_object_ref (message);
  completion->checked_us = quince_now_us ();
  completion->model = g_strdup (options->service);
  completion->prompt_tokens = quince_count_tokens (options->prompt);
  completion->streaming = options->streaming;
  memcpy (completion->request_id, options->id, QUINCE_ID_BYTES);
  quince_request_id_format (options->id, completion->id);
  g_hash_table_add (completions->running, completion);
  g_signal_connect (message, "finished", G_CALLBACK (message_finished), completion);
  completion->execution
      = quince_execution_new (completions->worker, options, NULL,
                              options->streaming ? &streamed_callbacks : &whole_callbacks, completion);
  return completion;
}

static void
start_with_id (Completion *completion)
{
  completion->has_id = TRUE;
  g_hash_table_insert (completion->owner->by_id, completion->id, completion);
  quince_execution_start (completion->execution);
}

static void
id_answered (gboolean taken, gpointer user_data)
{
  Completion *completion = user_data;
  completion->id_call = 0;
  if (taken)
    {
      start_with_id (completion);
      return;
    }
  completion->owner->counters.answered_error++;
  quince_http_reply_error (completion->message, SOUP_STATUS_CONFLICT, "duplicate_request",
                           "a request with this id is in progress", -1, -1);
  end_execution (completion);
  resume_message (completion);
}

/* No other request has an id that was generated here, so its answer need not be awaited. */
static void
take_id (Completion *completion, gboolean generated)
{
  QuinceHubClient *hub = completion->owner->worker->hub;
  if (!generated)
    {
      completion->id_call = quince_hub_client_take_id (hub, completion->request_id, id_answered, completion);
      return;
    }
  quince_hub_client_take_new_id (hub, completion->request_id);
  start_with_id (completion);
}

void
quince_completions_check_id (QuinceCompletions *completions, const QuinceRequestId id)
{
  char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  quince_request_id_format (id, text);
  Completion *holder = g_hash_table_lookup (completions->by_id, text);
  if (holder == NULL)
    return; /* Its release is on its way. */
  if (caller_is_there (holder))
    quince_hub_client_id_held (completions->worker->hub, id);
  else
    caller_gone (holder);
}

void
quince_completions_handle (QuinceCompletions *completions, SoupServerMessage *message)
{
  QuinceCompletionRequest request;
  completions->counters.requests++;
  if (completions->worker->stopping)
    {
      completions->counters.refused_stopping++;
      quince_http_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                               "this agent stops: ask another", TRUE, STOPPING_RETRY_MS);
      return;
    }
  if (!quince_completion_request_read (message, completions->worker->settings, quince_now_us (),
                                       quince_wall_ms (), &request))
    {
      completions->counters.malformed++;
      return;
    }
  Completion *completion = completion_new (completions, message, &request.options);
  gboolean generated = request.generated_id;
  quince_completion_request_clear (&request);
  completion->paused = TRUE;
  soup_server_message_pause (message);
  take_id (completion, generated);
}

/* ---- Life ------------------------------------------------------------------------ */

QuinceCompletions *
quince_completions_new (QuinceWorker *worker)
{
  QuinceCompletions *completions = g_new0 (QuinceCompletions, 1);
  completions->worker = worker;
  completions->running = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)completion_free, NULL);
  completions->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  completions->caller_timer = quince_timer_add (CALLER_CHECK_INTERVAL_MS, check_callers, completions);
  return completions;
}

void
quince_completions_free (QuinceCompletions *completions)
{
  quince_source_clear (&completions->caller_timer);
  g_hash_table_unref (completions->running);
  g_hash_table_unref (completions->by_id);
  g_free (completions);
}

guint
quince_completions_get_running (const QuinceCompletions *completions)
{
  return g_hash_table_size (completions->running);
}

const QuinceCompletionsCounters *
quince_completions_get_counters (const QuinceCompletions *completions)
{
  return &completions->counters;
}
