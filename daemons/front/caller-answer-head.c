/*
 * caller-answer-head.c: formats the heads of answers to callers.
 */
#include "caller-answer-head.h"

/* Initial buffer size for the head of an answer, bytes; the buffer grows if needed. */
#define ANSWER_HEAD_INITIAL_BYTES 512

static const char *
get_reason_phrase (guint status)
{
  static const struct
  {
    guint status;
    const char *phrase;
  } phrases[] = { { 200, "OK" },
                  { 202, "Accepted" },
                  { 400, "Bad Request" },
                  { 401, "Unauthorized" },
                  { 404, "Not Found" },
                  { 408, "Request Timeout" },
                  { 413, "Content Too Large" },
                  { 429, "Too Many Requests" },
                  { 431, "Request Header Fields Too Large" },
                  { 500, "Internal Server Error" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };
  for (guint i = 0; i < G_N_ELEMENTS (phrases); i++)
    if (phrases[i].status == status)
      return phrases[i].phrase;
  return "Answer";
}

static void
append_headers (GString *text, const QuinceCallerAnswer *answer)
{
  for (guint i = 0; answer->headers != NULL && i < quince_http_headers_get_length (answer->headers); i++)
    {
      const QuinceHttpHeader *header = quince_http_headers_index (answer->headers, i);
      g_string_append_printf (text, "%s: %s\r\n", header->name, header->value);
    }
  if (answer->content_type != NULL && *answer->content_type != '\0')
    g_string_append_printf (text, "Content-Type: %s\r\n", answer->content_type);
  if (answer->retry_after_ms > 0)
    g_string_append_printf (text, "Retry-After: %u.%03u\r\n", answer->retry_after_ms / 1000,
                            answer->retry_after_ms % 1000);
}

GString *
quince_caller_answer_format_head (const QuinceCallerAnswer *answer, gboolean keep_open)
{
  GString *text = g_string_sized_new (ANSWER_HEAD_INITIAL_BYTES);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", answer->status, get_reason_phrase (answer->status));
  append_headers (text, answer);
  if (!keep_open)
    g_string_append (text, "Connection: close\r\n");
  return text;
}
