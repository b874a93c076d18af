/*
 * baseline-completions.c: callers' requests to the plain router.
 */
#include "baseline.h"

#include <string.h>

#include <quince/http.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define LONGEST_PROMPT (4 * 1024 * 1024)
#define MOST_TOKENS 1000000
#define TRIES_MORE 2

typedef struct
{
  SoupServerMessage *message; /* referenced */
  BaselineRun *run;           /* owned by itself */
  gboolean streaming;
  gboolean headers_out;
} Completion;

static void
add_body (JsonBuilder *builder, const Completion *completion, const char *text, const char *finish_reason)
{
  json_builder_set_member_name (builder, "id");
  json_builder_add_string_value (builder, completion->run->id);
  json_builder_set_member_name (builder, "object");
  json_builder_add_string_value (builder, "text_completion");
  json_builder_set_member_name (builder, "model");
  json_builder_add_string_value (builder, completion->run->service);
  json_builder_set_member_name (builder, "choices");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "index");
  json_builder_add_int_value (builder, 0);
  json_builder_set_member_name (builder, "text");
  json_builder_add_string_value (builder, text);
  json_builder_set_member_name (builder, "finish_reason");
  if (finish_reason != NULL)
    json_builder_add_string_value (builder, finish_reason);
  else
    json_builder_add_null_value (builder);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
}

/* The object of an answer, or of one event of it. (transfer full) */
static char *
format_answer (const Completion *completion, const char *text, const char *finish_reason)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_body (builder, completion, text, finish_reason);
  if (finish_reason != NULL)
    {
      json_builder_set_member_name (builder, "quince");
      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "engine");
      json_builder_add_string_value (builder, completion->run->engine_name);
      json_builder_set_member_name (builder, "attempts");
      json_builder_add_int_value (builder, completion->run->attempt);
      baseline_run_describe_segments (completion->run, builder);
      json_builder_end_object (builder);
    }
  json_builder_end_object (builder);
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static void
write_event (Completion *completion, const char *text, const char *finish_reason)
{
  SoupMessageBody *body = soup_server_message_get_response_body (completion->message);
  g_autofree char *answer = format_answer (completion, text, finish_reason);
  char *event = g_strdup_printf ("data: %s\n\n%s", answer, finish_reason != NULL ? "data: [DONE]\n\n" : "");
  if (!completion->headers_out)
    {
      SoupMessageHeaders *headers = soup_server_message_get_response_headers (completion->message);
      soup_server_message_set_status (completion->message, 200, NULL);
      soup_message_headers_set_content_type (headers, "text/event-stream", NULL);
      soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
      soup_message_body_set_accumulate (body, FALSE);
      completion->headers_out = TRUE;
    }
  soup_message_body_append_take (body, (guchar *)event, strlen (event));
  soup_server_message_unpause (completion->message);
}

static void
on_chunk (const QuinceEngineChunk *chunk, gpointer user_data)
{
  write_event (user_data, chunk->text, NULL);
}

static void
answer_error (Completion *completion, BaselineEnd how)
{
  if (completion->headers_out)
    soup_message_body_complete (soup_server_message_get_response_body (completion->message));
  else if (how == BASELINE_NOT_RUN)
    quince_http_reply_error (completion->message, 503, "no_engine", "no engine took the request", 1, -1);
  else
    quince_http_reply_error (completion->message, 502, "outcome_unknown", "it may have run", 0, -1);
}

static void
on_end (BaselineEnd how, gpointer user_data)
{
  Completion *completion = user_data;
  if (how != BASELINE_WHOLE)
    answer_error (completion, how);
  else if (completion->streaming)
    {
      write_event (completion, "", "stop");
      soup_message_body_complete (soup_server_message_get_response_body (completion->message));
    }
  else
    {
      g_autofree char *answer = format_answer (completion, completion->run->text->str, "stop");
      quince_http_reply_text (completion->message, 200, "application/json", answer);
    }
  soup_server_message_unpause (completion->message);
  g_object_unref (completion->message);
  g_free (completion);
}

static const char *
get_header (SoupServerMessage *message, const char *name)
{
  return soup_message_headers_get_one (soup_server_message_get_request_headers (message), name);
}

static void
start (Baseline *baseline, SoupServerMessage *message, BaselineRun *run, gboolean streaming)
{
  Completion *completion = g_new0 (Completion, 1);
  const char *repeatable = get_header (message, "X-Quince-Repeatable");
  completion->message = g_object_ref (message);
  completion->run = run;
  completion->streaming = streaming;
  run->tries_left = TRIES_MORE;
  run->repeatable = repeatable == NULL || !g_str_equal (repeatable, "false");
  run->on_chunk = streaming ? on_chunk : NULL;
  run->on_end = on_end;
  run->user_data = completion;
  soup_server_message_pause (message);
  baseline_run_start (run);
}

void
baseline_handle_completion (Baseline *baseline, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = quince_http_read_object (message);
  if (root == NULL)
    return;
  JsonObject *body = json_node_get_object (root);
  const char *service = NULL, *prompt = NULL;
  guint64 max_tokens = 0;
  gboolean streaming = FALSE;
  g_autoptr (GError) error = NULL;
  if (!quince_json_get_text (body, "model", 128, &service, &error)
      || !quince_json_get_text (body, "prompt", LONGEST_PROMPT, &prompt, &error)
      || !quince_json_get_u64 (body, "max_tokens", MOST_TOKENS, &max_tokens, &error)
      || !quince_json_opt_bool (body, "stream", &streaming, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, 1, -1);
      return;
    }
  QuinceRequestId id;
  char own_id[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  quince_request_id_generate (id, quince_wall_ms ());
  quince_request_id_format (id, own_id);
  const char *given_id = get_header (message, "X-Quince-Request-Id");
  BaselineRun *run
      = baseline_run_new (baseline, service, prompt, given_id != NULL ? given_id : own_id, (guint)max_tokens);
  start (baseline, message, run, streaming);
}
