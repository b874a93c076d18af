/*
 * engine-completions.c: HTTP side of the engine stand-in's sequences.
 */
#include "engine.h"

#include <stdlib.h>
#include <string.h>

#include <quince/http.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define MAX_TOKENS_LIMIT 1000000
/* Keeps each event, which is one line, well below a megabyte. */
#define MAX_EVENT_TOKENS 4096
#define LENGTH_MARK "len="
#define CUT_DELAY_MS 20

typedef struct
{
  Sequence *sequence; /* referenced           */
  char *text;         /* owned                */
  gboolean last;      /* the answer ends here */
  gint64 due_us;
} DelayedChunk;

typedef struct
{
  Engine *engine;
  Sequence *sequence; /* referenced */
} CallerWatch;

/* ---- Sequences ---- */

Sequence *
sequence_ref (Sequence *sequence)
{
  g_ref_count_inc (&sequence->references);
  return sequence;
}

void
sequence_unref (Sequence *sequence)
{
  if (!g_ref_count_dec (&sequence->references))
    return;
  g_object_unref (sequence->message);
  g_free (sequence);
}

char *
sequence_make_key (const char *id, guint32 attempt)
{
  return g_strdup_printf ("%s/%u", id, attempt);
}

static void
caller_watch_free (gpointer data, GClosure *closure)
{
  CallerWatch *watch = data;
  sequence_unref (watch->sequence);
  g_free (watch);
}

static void
on_message_finished (SoupServerMessage *message, gpointer user_data)
{
  CallerWatch *watch = user_data;
  engine_batch_end (watch->engine, watch->sequence, OUTCOME_DISCONNECTED);
  g_signal_handlers_disconnect_by_func (message, on_message_finished, watch);
}

void
sequence_watch_caller (Engine *engine, Sequence *sequence)
{
  CallerWatch *watch = g_new0 (CallerWatch, 1);
  watch->engine = engine;
  watch->sequence = sequence_ref (sequence);
  g_signal_connect_data (sequence->message, "finished", G_CALLBACK (on_message_finished), watch,
                         caller_watch_free, 0);
}

/* ---- Answers ---- */

void
engine_refuse (Engine *engine, SoupServerMessage *message, guint status, const char *type)
{
  engine->refused++;
  engine_mark_leaving (engine, message);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "X-Engine-Not-Run",
                                "true");
  quince_http_reply_error (message, status, type, "the engine did not take the request", 1, -1);
}

static void
begin_stream (Engine *engine, Sequence *sequence)
{
  if (sequence->headers_sent)
    return;
  sequence->headers_sent = TRUE;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (sequence->message);
  engine_mark_leaving (engine, sequence->message);
  soup_server_message_set_status (sequence->message, 200, NULL);
  soup_message_headers_set_content_type (headers, "text/event-stream", NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (sequence->message), FALSE);
}

/* @text: (transfer full) (nullable) */
static void
write_chunk (Engine *engine, Sequence *sequence, char *text, gboolean last)
{
  SoupMessageBody *body = soup_server_message_get_response_body (sequence->message);
  gboolean whole = last && !sequence->headers_sent;
  if (whole)
    {
      sequence->headers_sent = TRUE;
      soup_server_message_set_status (sequence->message, 200, NULL);
      soup_server_message_set_response (sequence->message, "text/event-stream", SOUP_MEMORY_TAKE, text,
                                        strlen (text));
    }
  else
    {
      begin_stream (engine, sequence);
      if (text != NULL)
        soup_message_body_append_take (body, (guchar *)text, strlen (text));
      if (last)
        soup_message_body_complete (body);
    }
  soup_server_message_unpause (sequence->message);
}

static void
delayed_chunk_free (gpointer data)
{
  DelayedChunk *chunk = data;
  sequence_unref (chunk->sequence);
  g_free (chunk->text);
  g_free (chunk);
}

void
engine_send_delayed (Engine *engine, gint64 now_us)
{
  while (!g_queue_is_empty (engine->delayed))
    {
      DelayedChunk *chunk = g_queue_peek_head (engine->delayed);
      if (chunk->due_us > now_us)
        return;
      g_queue_pop_head (engine->delayed);
      if (!quince_standin_caller_gone (chunk->sequence->message))
        write_chunk (engine, chunk->sequence, g_steal_pointer (&chunk->text), chunk->last);
      delayed_chunk_free (chunk);
    }
}

void
engine_drop_delayed (Engine *engine)
{
  g_queue_clear_full (engine->delayed, delayed_chunk_free);
}

static void
send_or_delay (Engine *engine, Sequence *sequence, char *text, gboolean last)
{
  if (engine->faults.chunk_delay_ms == 0 && g_queue_is_empty (engine->delayed))
    {
      write_chunk (engine, sequence, text, last);
      return;
    }
  if (!sequence->headers_sent)
    soup_server_message_pause (sequence->message);
  DelayedChunk *chunk = g_new0 (DelayedChunk, 1);
  chunk->sequence = sequence_ref (sequence);
  chunk->text = text;
  chunk->last = last;
  chunk->due_us = quince_now_us () + (gint64)engine->faults.chunk_delay_ms * 1000;
  DelayedChunk *newest = g_queue_peek_tail (engine->delayed);
  if (newest != NULL)
    chunk->due_us = MAX (chunk->due_us, newest->due_us);
  g_queue_push_tail (engine->delayed, chunk);
}

/* Appends one event with the tokens up to @upto. */
static void
append_event (Engine *engine, Sequence *sequence, GString *text, guint32 upto, const char *finish_reason)
{
  guint64 version = engine_weights_get_active (engine->weights);
  engine_records_add_tokens (engine->records, sequence, sequence->sent_tokens, upto - sequence->sent_tokens,
                             version);
  g_string_append_printf (text, "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"", sequence->id);
  for (guint32 token = sequence->sent_tokens; token < upto; token++)
    g_string_append_printf (text, "%s%u ", sequence->token_prefix, token);
  g_string_append (text, "\",\"finish_reason\":");
  if (finish_reason != NULL)
    g_string_append_printf (text, "\"%s\"", finish_reason);
  else
    g_string_append (text, "null");
  g_string_append_printf (
      text, "}],\"weight_version\":%" G_GUINT64_FORMAT ",\"token_start\":%u,\"token_count\":%u}\n\n", version,
      sequence->sent_tokens, upto - sequence->sent_tokens);
  sequence->sent_tokens = upto;
}

/* The events for the tokens up to @upto; they count as sent. */
static char *
take_events (Engine *engine, Sequence *sequence, guint32 upto, const char *finish_reason)
{
  GString *text = g_string_sized_new (256 + (gsize)(upto - sequence->sent_tokens) * 16);
  while (upto - sequence->sent_tokens > MAX_EVENT_TOKENS)
    append_event (engine, sequence, text, sequence->sent_tokens + MAX_EVENT_TOKENS, NULL);
  append_event (engine, sequence, text, upto, finish_reason);
  if (finish_reason != NULL)
    g_string_append (text, "data: [DONE]\n\n");
  return g_string_free (text, FALSE);
}

void
engine_cut_stream (Sequence *sequence)
{
  quince_standin_cut (sequence->message);
  soup_message_body_complete (soup_server_message_get_response_body (sequence->message));
  soup_server_message_unpause (sequence->message);
}

static gboolean
on_cut_due (gpointer user_data)
{
  engine_cut_stream (user_data);
  return G_SOURCE_REMOVE;
}

/* Cuts once what was written before has left. */
static void
cut_soon (Sequence *sequence)
{
  g_timeout_add_full (G_PRIORITY_DEFAULT, CUT_DELAY_MS, on_cut_due, sequence_ref (sequence),
                      (GDestroyNotify)sequence_unref);
}

/* TRUE when the fault cuts this stream before @upto; counts it. */
static gboolean
is_cut_here (Engine *engine, Sequence *sequence, guint32 upto)
{
  EngineFaults *faults = &engine->faults;
  if (faults->cut_after_tokens == 0 || upto - sequence->resumed_tokens < faults->cut_after_tokens)
    return FALSE;
  if (faults->cut_times > 0 && --faults->cut_times == 0)
    faults->cut_after_tokens = 0;
  return TRUE;
}

void
engine_send_tokens (Engine *engine, Sequence *sequence, guint32 upto, const char *finish_reason)
{
  guint64 cut_after = engine->faults.cut_after_tokens;
  if (is_cut_here (engine, sequence, upto))
    {
      guint32 last = MAX (sequence->resumed_tokens + (guint32)cut_after, sequence->sent_tokens);
      begin_stream (engine, sequence);
      write_chunk (engine, sequence, take_events (engine, sequence, last, NULL), FALSE);
      cut_soon (sequence);
      engine_batch_end (engine, sequence, OUTCOME_CUT);
      return;
    }
  char *text = NULL;
  if (upto > sequence->sent_tokens || finish_reason != NULL)
    text = take_events (engine, sequence, upto, finish_reason);
  send_or_delay (engine, sequence, text, finish_reason != NULL);
}

/* ---- Requests ---- */

static gboolean
is_plain_id (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-._:/", *c) == NULL)
      return FALSE;
  return *text != '\0';
}

static void
read_prompt (Sequence *sequence, const char *prompt, guint64 max_tokens)
{
  gsize length = strlen (prompt);
  sequence->prompt_hash = quince_hash64 (prompt, length, 0);
  g_snprintf (sequence->token_prefix, sizeof sequence->token_prefix, "%08x-",
              (guint32)(sequence->prompt_hash >> 32));
  sequence->prompt_tokens = (guint32)((length + ENGINE_BYTES_PER_TOKEN - 1) / ENGINE_BYTES_PER_TOKEN);
  sequence->n_blocks = engine_cache_hash_prompt (prompt, sequence->blocks);
  sequence->total_tokens = (guint32)max_tokens;
  const char *mark = strstr (prompt, LENGTH_MARK);
  if (mark == NULL || !g_ascii_isdigit (mark[strlen (LENGTH_MARK)]))
    return;
  guint64 wanted = g_ascii_strtoull (mark + strlen (LENGTH_MARK), NULL, 10);
  sequence->length_given = wanted <= max_tokens;
  sequence->total_tokens = (guint32)MIN (wanted, max_tokens);
}

static gboolean
read_optional_fields (JsonObject *body, Sequence *sequence, GError **error)
{
  guint64 attempt = 1;
  guint64 resumed = 0;
  const char *resume_text = "";
  if (!quince_json_opt_u64 (body, "attempt", G_MAXUINT32, &attempt, error)
      || !quince_json_opt_u64 (body, "min_weight_version", G_MAXINT64, &sequence->min_version, error)
      || !quince_json_opt_u64 (body, "resume_tokens", MAX_TOKENS_LIMIT, &resumed, error)
      || !quince_json_opt_text (body, "resume_text", QUINCE_STANDIN_MAX_TEXT, &resume_text, error))
    return FALSE;
  JsonNode *priority = json_object_get_member (body, "priority");
  if (priority != NULL && JSON_NODE_HOLDS_VALUE (priority))
    sequence->priority = json_node_get_int (priority);
  sequence->attempt = (guint32)attempt;
  sequence->resumed_tokens = sequence->sent_tokens = (guint32)resumed;
  return TRUE;
}

/* Returns: (transfer full): NULL and an error when a field is bad */
static Sequence *
read_sequence (Engine *engine, SoupServerMessage *message, JsonObject *body, GError **error)
{
  const char *model = engine->settings.common.service;
  const char *id = NULL;
  const char *prompt = NULL;
  guint64 max_tokens = 0;
  Sequence *sequence = g_new0 (Sequence, 1);
  g_ref_count_init (&sequence->references);
  sequence->message = g_object_ref (message);
  if (!quince_json_opt_text (body, "model", ENGINE_ID_LENGTH, &model, error)
      || !quince_json_get_text (body, "prompt", QUINCE_STANDIN_MAX_TEXT, &prompt, error)
      || !quince_json_get_u64 (body, "max_tokens", MAX_TOKENS_LIMIT, &max_tokens, error)
      || !quince_json_get_text (body, "request_id", ENGINE_ID_LENGTH, &id, error)
      || !read_optional_fields (body, sequence, error))
    goto bad;
  if (!is_plain_id (id) || !g_str_equal (model, engine->settings.common.service))
    {
      g_set_error (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD,
                   "bad request_id, or not the model served");
      goto bad;
    }
  g_strlcpy (sequence->id, id, sizeof sequence->id);
  read_prompt (sequence, prompt, max_tokens);
  sequence->total_tokens = MAX (sequence->total_tokens, sequence->resumed_tokens);
  return sequence;
bad:
  sequence_unref (sequence);
  return NULL;
}

/* The refusal that holds for every completion now, or NULL. */
static const char *
find_refusal (const Engine *engine, const Sequence *sequence)
{
  if (engine->faults.refuse != NULL)
    return engine->faults.refuse;
  if (engine_is_leaving (engine))
    return "leaving";
  if (sequence->min_version > engine_weights_get_active (engine->weights))
    return "wrong_version";
  return NULL;
}

static void
submit_or_refuse (Engine *engine, Sequence *sequence)
{
  const char *refusal = find_refusal (engine, sequence);
  if (refusal == NULL)
    engine_batch_submit (engine, sequence);
  else
    engine_refuse (engine, sequence->message, g_str_equal (refusal, "wrong_version") ? 409 : 503, refusal);
}

typedef struct
{
  Engine *engine;
  Sequence *sequence; /* referenced */
} DelayedSubmit;

static gboolean
on_accept_due (gpointer user_data)
{
  DelayedSubmit *submit = user_data;
  soup_server_message_unpause (submit->sequence->message);
  submit_or_refuse (submit->engine, submit->sequence);
  sequence_unref (submit->sequence);
  g_free (submit);
  return G_SOURCE_REMOVE;
}

void
engine_handle_completion (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  g_autoptr (GError) error = NULL;
  Sequence *sequence = read_sequence (engine, message, json_node_get_object (body), &error);
  if (sequence == NULL)
    {
      engine->refused++;
      quince_http_reply_error (message, 400, "bad_request", error->message, 1, -1);
      return;
    }
  if (engine->faults.accept_delay_ms == 0)
    {
      submit_or_refuse (engine, sequence);
      sequence_unref (sequence);
      return;
    }
  DelayedSubmit *submit = g_new0 (DelayedSubmit, 1);
  submit->engine = engine;
  submit->sequence = sequence;
  soup_server_message_pause (message);
  g_timeout_add ((guint)engine->faults.accept_delay_ms, on_accept_due, submit);
  /* cppcheck-suppress memleak ; the callback owns it */
}

static void
cancel_sequence (Engine *engine, Sequence *sequence)
{
  if (sequence->state == SEQUENCE_WAITING)
    {
      engine_refuse (engine, sequence->message, 409, "cancelled");
      soup_server_message_unpause (sequence->message);
    }
  else
    engine_cut_stream (sequence);
  engine_batch_end (engine, sequence, OUTCOME_CANCELLED);
  engine_batch_admit (engine);
}

void
engine_handle_cancel (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  g_autoptr (GError) error = NULL;
  JsonObject *object = json_node_get_object (body);
  const char *id = NULL;
  guint64 attempt = 1;
  if (!quince_json_get_text (object, "request_id", ENGINE_ID_LENGTH, &id, &error)
      || !quince_json_opt_u64 (object, "attempt", G_MAXUINT32, &attempt, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  g_autofree char *key = sequence_make_key (id, (guint32)attempt);
  Sequence *sequence = g_hash_table_lookup (engine->by_key, key);
  quince_standin_reply_text (message, 200,
                             g_strdup_printf ("{\"cancelled\":%s}", sequence != NULL ? "true" : "false"));
  if (sequence != NULL)
    cancel_sequence (engine, sequence);
}
