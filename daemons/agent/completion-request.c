/*
 * completion-request.c: a caller's request as read from its headers and body.
 */
#include "completion-request.h"

#include <quince/http.h>
#include <quince/request-id.h>

#define LONGEST_DEADLINE_MS (600 * 1000)
#define MOST_TOKENS 1000000
/* libsoup puts it where a header is not UTF-8. */
#define REPLACEMENT_CHARACTER "\xef\xbf\xbd"
#define DEFAULT_KIND "lookup"
#define ID_HEADER "X-Quince-Request-Id"

static gboolean
bad_header (GError **error, const char *name, const char *wanted)
{
  g_set_error (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD, "header '%s': %s", name, wanted);
  return FALSE;
}

static const char *
get_header (SoupServerMessage *message, const char *name)
{
  return soup_message_headers_get_one (soup_server_message_get_request_headers (message), name);
}

/* Keeps @value when the header is absent. */
static gboolean
read_name (SoupServerMessage *message, const char *name, const char **value, GError **error)
{
  const char *text = get_header (message, name);
  if (text == NULL)
    return TRUE;
  gsize length = strlen (text);
  if (length == 0 || length > QUINCE_MAX_NAME || strstr (text, REPLACEMENT_CHARACTER) != NULL)
    return bad_header (error, name, "1 to 128 bytes of text are wanted");
  *value = text;
  return TRUE;
}

static gboolean
read_number (SoupServerMessage *message,
             const char *name,
             guint64 least,
             guint64 most,
             guint64 *value,
             GError **error)
{
  const char *text = get_header (message, name);
  if (text == NULL || g_ascii_string_to_unsigned (text, 10, least, most, value, NULL))
    return TRUE;
  return bad_header (error, name, "a whole number in range is wanted");
}

static gboolean
read_repeatable (SoupServerMessage *message, gboolean *at_most_once, GError **error)
{
  const char *text = get_header (message, "X-Quince-Repeatable");
  *at_most_once = text != NULL && g_ascii_strcasecmp (text, "false") == 0;
  if (text == NULL || *at_most_once || g_ascii_strcasecmp (text, "true") == 0)
    return TRUE;
  return bad_header (error, "X-Quince-Repeatable", "true or false is wanted");
}

/* An id whose claim may have been forgotten could run a second time: it is not taken. */
static gboolean
check_id_time (const QuinceRequestId id, const QuinceSettings *settings, gint64 wall_ms, GError **error)
{
  gint64 keep_ms
      = quince_settings_get_duration_us (settings, "agent", "claim_keep") / G_TIME_SPAN_MILLISECOND;
  gint64 skew_ms
      = quince_settings_get_duration_us (settings, "agent", "clock_skew") / G_TIME_SPAN_MILLISECOND;
  gint64 created_ms = quince_request_id_get_time_ms (id);
  if (created_ms < wall_ms - keep_ms)
    return bad_header (error, ID_HEADER, "the id is too old");
  if (created_ms > wall_ms + skew_ms)
    return bad_header (error, ID_HEADER, "the id is from the future");
  return TRUE;
}

static gboolean
read_id (SoupServerMessage *message,
         const QuinceSettings *settings,
         gint64 wall_ms,
         QuinceExecutionOptions *options,
         GError **error)
{
  const char *text = get_header (message, ID_HEADER);
  if (text == NULL)
    {
      quince_request_id_generate (options->id, wall_ms);
      return TRUE;
    }
  if (!quince_request_id_parse (text, options->id))
    return bad_header (error, ID_HEADER, "a UUID of version 7 is wanted");
  return !options->at_most_once || check_id_time (options->id, settings, wall_ms, error);
}

/* A repeat of an id is taken until claim_keep after its creation, plus skew
 * and the time that the repeat itself may take: so long must a claim last. */
static guint
claim_keep_ms (const QuinceSettings *settings)
{
  gint64 keep_us = quince_settings_get_duration_us (settings, "agent", "claim_keep");
  gint64 skew_us = quince_settings_get_duration_us (settings, "agent", "clock_skew");
  return (guint)((keep_us + 2 * skew_us) / G_TIME_SPAN_MILLISECOND) + LONGEST_DEADLINE_MS;
}

static gboolean
read_headers (SoupServerMessage *message,
              const QuinceSettings *settings,
              gint64 now_us,
              gint64 wall_ms,
              QuinceExecutionOptions *options,
              GError **error)
{
  guint64 deadline_ms
      = (guint64)(quince_settings_get_duration_us (settings, "agent", "deadline") / G_TIME_SPAN_MILLISECOND);
  options->member = quince_settings_get_text (settings, "agent", "member");
  options->kind = DEFAULT_KIND;
  options->work_class = QUINCE_WORK_LOOKUP;
  options->claim_keep_ms = claim_keep_ms (settings);
  if (!read_name (message, "X-Quince-Member", &options->member, error)
      || !read_name (message, "X-Quince-Kind", &options->kind, error)
      || !read_number (message, "X-Quince-Deadline-Ms", 1, LONGEST_DEADLINE_MS, &deadline_ms, error)
      || !read_number (message, "X-Quince-Min-Version", 0, G_MAXINT64, &options->min_version, error)
      || !read_repeatable (message, &options->at_most_once, error)
      || !read_id (message, settings, wall_ms, options, error))
    return FALSE;
  options->deadline_us = now_us + (gint64)deadline_ms * G_TIME_SPAN_MILLISECOND;
  return TRUE;
}

static gboolean
read_body (JsonObject *body, QuinceExecutionOptions *options, GError **error)
{
  guint64 max_tokens = 0;
  if (!quince_json_get_text (body, "model", QUINCE_MAX_NAME, &options->service, error)
      || !quince_json_get_text (body, "prompt", QUINCE_MAX_TEXT, &options->prompt, error)
      || !quince_json_get_u64 (body, "max_tokens", MOST_TOKENS, &max_tokens, error)
      || !quince_json_opt_bool (body, "stream", &options->streaming, error))
    return FALSE;
  if (*options->service == '\0' || max_tokens == 0)
    {
      g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD,
                           "fields 'model' and 'max_tokens' must not be empty");
      return FALSE;
    }
  options->max_tokens = (guint)max_tokens;
  options->expected_tokens = (guint)max_tokens;
  return TRUE;
}

gboolean
quince_completion_request_read (SoupServerMessage *message,
                                const QuinceSettings *settings,
                                gint64 now_us,
                                gint64 wall_ms,
                                QuinceCompletionRequest *request)
{
  g_autoptr (GError) error = NULL;
  *request = (QuinceCompletionRequest){ 0 };
  request->body = quince_http_read_object (message);
  if (request->body == NULL)
    return FALSE;
  if (read_headers (message, settings, now_us, wall_ms, &request->options, &error)
      && read_body (json_node_get_object (request->body), &request->options, &error))
    {
      request->generated_id = get_header (message, ID_HEADER) == NULL;
      return TRUE;
    }
  quince_http_reply_error (message, SOUP_STATUS_BAD_REQUEST, "bad_request", error->message, TRUE, -1);
  quince_completion_request_clear (request);
  return FALSE;
}

void
quince_completion_request_clear (QuinceCompletionRequest *request)
{
  g_clear_pointer (&request->body, json_node_unref);
}
