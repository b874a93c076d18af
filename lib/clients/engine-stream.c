/*
 * engine-stream.c: the server-sent events of an engine, parsed as they come.
 */
#include "engine-stream.h"

#include <string.h>

#include <quince/http.h>

#define LONGEST_LINE (1024 * 1024)
#define LONGEST_REASON 32
#define DATA_FIELD "data:"
#define DONE_MARKER "[DONE]"

struct _QuinceEngineStream
{
  GString *line;       /* bytes of a line that has not ended          */
  JsonParser *parser;  /* made anew by each load                      */
  guint next_token;    /* index that the next token must have         */
  gboolean has_reason; /* a finish reason came                        */
  gboolean done;       /* "[DONE]" came after it                      */
  QuinceFinishReason reason;
  QuinceEngineStreamChunk chunk;
  gpointer user_data;
};

QuinceEngineStream *
quince_engine_stream_new (guint first_token, QuinceEngineStreamChunk chunk, gpointer user_data)
{
  QuinceEngineStream *stream = g_new0 (QuinceEngineStream, 1);
  stream->line = g_string_new (NULL);
  stream->parser = json_parser_new ();
  stream->next_token = first_token;
  stream->chunk = chunk;
  stream->user_data = user_data;
  return stream;
}

void
quince_engine_stream_free (QuinceEngineStream *stream)
{
  g_string_free (stream->line, TRUE);
  g_object_unref (stream->parser);
  g_free (stream);
}

gboolean
quince_engine_stream_is_whole (const QuinceEngineStream *stream, QuinceFinishReason *reason)
{
  *reason = stream->reason;
  return stream->done;
}

static gboolean
malformed (GError **error, const char *what)
{
  g_set_error (error, QUINCE_ENGINE_CLIENT_ERROR, QUINCE_ENGINE_CLIENT_ERROR_MALFORMED, "event: %s", what);
  return FALSE;
}

static gboolean
parse_reason (const char *text, QuinceFinishReason *reason)
{
  for (QuinceFinishReason known = QUINCE_FINISH_STOP; known <= QUINCE_FINISH_SWAP; known++)
    if (g_str_equal (text, quince_finish_reason_to_text (known)))
      {
        *reason = known;
        return TRUE;
      }
  return FALSE;
}

/* Returns: the first choice of @root; %NULL when there is none. */
static JsonObject *
find_choice (JsonObject *root)
{
  JsonNode *choices = json_object_get_member (root, "choices");
  if (choices == NULL || !JSON_NODE_HOLDS_ARRAY (choices)
      || json_array_get_length (json_node_get_array (choices)) == 0)
    return NULL;
  JsonNode *choice = json_array_get_element (json_node_get_array (choices), 0);
  return JSON_NODE_HOLDS_OBJECT (choice) ? json_node_get_object (choice) : NULL;
}

/* Tokens must follow those before them, without a gap or a repeat. */
static gboolean
take_tokens (QuinceEngineStream *stream, JsonObject *root, const char *text, GError **error)
{
  guint64 version = 0;
  guint64 start = 0;
  guint64 count = 0;
  if (!quince_json_get_u64 (root, "weight_version", G_MAXINT64, &version, error)
      || !quince_json_get_u64 (root, "token_start", G_MAXUINT32, &start, error)
      || !quince_json_get_u64 (root, "token_count", G_MAXUINT32, &count, error))
    return FALSE;
  if (start != stream->next_token || count > G_MAXUINT32 - start)
    {
      g_set_error (error, QUINCE_ENGINE_CLIENT_ERROR, QUINCE_ENGINE_CLIENT_ERROR_GAP,
                   "token %" G_GUINT64_FORMAT " where %u is due", start, stream->next_token);
      return FALSE;
    }
  if (count == 0)
    return *text == '\0' || malformed (error, "text without tokens");
  stream->next_token += (guint)count;
  QuinceEngineChunk chunk
      = { .text = text, .weight_version = version, .token_start = (guint)start, .token_count = (guint)count };
  stream->chunk (&chunk, stream->user_data);
  return TRUE;
}

static gboolean
take_event (QuinceEngineStream *stream, const char *data, gsize length, GError **error)
{
  if (stream->done)
    return malformed (error, "follows the end of the stream");
  if (length == strlen (DONE_MARKER) && memcmp (data, DONE_MARKER, length) == 0)
    {
      stream->done = stream->has_reason;
      return stream->done || malformed (error, "end without a finish reason");
    }
  if (stream->has_reason)
    return malformed (error, "follows the finish reason");
  if (!quince_json_check (data, length)
      || !json_parser_load_from_data (stream->parser, data, (gssize)length, NULL))
    return malformed (error, "not JSON");
  JsonNode *node = json_parser_get_root (stream->parser);
  JsonObject *root = node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  JsonObject *choice = root != NULL ? find_choice (root) : NULL;
  if (choice == NULL)
    return malformed (error, "has no choice");
  const char *text = "";
  const char *reason = NULL;
  if (!quince_json_opt_text (choice, "text", LONGEST_LINE, &text, error)
      || !quince_json_opt_text (choice, "finish_reason", LONGEST_REASON, &reason, error))
    return FALSE;
  if (reason != NULL && !parse_reason (reason, &stream->reason))
    return malformed (error, "unknown finish reason");
  stream->has_reason = reason != NULL;
  return take_tokens (stream, root, text, error);
}

/* Only data fields matter; comments, blank lines and other fields are passed over. */
static gboolean
take_line (QuinceEngineStream *stream, const char *line, gsize length, GError **error)
{
  gsize field = strlen (DATA_FIELD);
  if (length > 0 && line[length - 1] == '\r')
    length--;
  if (length < field || memcmp (line, DATA_FIELD, field) != 0)
    return TRUE;
  if (length > field && line[field] == ' ')
    field++;
  return take_event (stream, line + field, length - field, error);
}

gboolean
quince_engine_stream_feed (QuinceEngineStream *stream, const char *data, gsize length, GError **error)
{
  while (length > 0)
    {
      const char *end = memchr (data, '\n', length);
      gsize part = end != NULL ? (gsize)(end - data) : length;
      if (stream->line->len + part > LONGEST_LINE)
        {
          g_set_error_literal (error, QUINCE_ENGINE_CLIENT_ERROR, QUINCE_ENGINE_CLIENT_ERROR_TOO_LARGE,
                               "line is too long");
          return FALSE;
        }
      g_string_append_len (stream->line, data, (gssize)part);
      if (end == NULL)
        return TRUE;
      if (!take_line (stream, stream->line->str, stream->line->len, error))
        return FALSE;
      g_string_truncate (stream->line, 0);
      data += part + 1;
      length -= part + 1;
    }
  return TRUE;
}
