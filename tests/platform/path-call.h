/*
 * path-call.h: sends requests to a front as a caller does, and keeps the answers.
 */
#pragma once

#include <string.h>

#include "http1/http-client.h"

#include "await.h"

/* Host header of all requests; the routes of path-world.h are for this host. */
#define PATH_HOST "h.example"

typedef struct
{
  gboolean done;
  QuinceHttpOutcome outcome;
  guint status;
  char *body; /* NUL-terminated; body_length excludes the NUL */
  gsize body_length;
  char *connection;
  char *signature;
  char *retry_after;
} PathAnswer;

static inline void
path_answer_clear (PathAnswer *answer)
{
  g_free (answer->body);
  g_free (answer->connection);
  g_free (answer->signature);
  g_free (answer->retry_after);
  *answer = (PathAnswer){ 0 };
}

static inline void
path_exchange_done (QuinceHttpExchange *exchange,
                    QuinceHttpOutcome outcome,
                    const GError *error,
                    gpointer data)
{
  PathAnswer *answer = data;
  const GByteArray *body = quince_http_exchange_get_body (exchange);
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  answer->done = TRUE;
  answer->outcome = outcome;
  answer->body_length = body->len;
  answer->body = g_malloc0 (body->len + 1);
  if (body->len > 0)
    memcpy (answer->body, body->data, body->len);
  if (head == NULL)
    return;
  answer->status = head->status;
  answer->connection = g_strdup (quince_http_headers_get (head->headers, "Connection"));
  answer->signature = g_strdup (quince_http_headers_get (head->headers, "Server-Stamp"));
  answer->retry_after = g_strdup (quince_http_headers_get (head->headers, "Retry-After"));
}

static const QuinceHttpExchangeCallbacks path_callbacks = { .done = path_exchange_done };

/* Sends a request without waiting for the answer, with the header @name if it is not NULL.  @answer must stay
 * valid until its field done is TRUE. */
static inline void
path_start_call_with_header (const char *address,
                             const char *method,
                             const char *target,
                             const char *id,
                             const char *text,
                             const char *name,
                             const char *value,
                             PathAnswer *answer)
{
  QuinceHttpPool *pool = quince_http_pool_new (address);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", PATH_HOST);
  quince_http_headers_add (headers, "Request-Id", id);
  quince_http_headers_add (headers, "Request-Deadline-Ms", "3000");
  if (name != NULL)
    quince_http_headers_add (headers, name, value);
  g_autoptr (GBytes) body = text != NULL ? g_bytes_new (text, strlen (text)) : NULL;
  const QuinceHttpRequest request = {
    .method = method, .target = target, .headers = headers, .body = body, .timeout_us = 8 * G_USEC_PER_SEC
  };
  *answer = (PathAnswer){ 0 };
  quince_http_pool_start (pool, &request, &path_callbacks, answer);
  quince_http_pool_unref (pool);
}

static inline void
path_start_call (const char *address,
                 const char *method,
                 const char *target,
                 const char *id,
                 const char *text,
                 PathAnswer *answer)
{
  path_start_call_with_header (address, method, target, id, text, NULL, NULL, answer);
}

/* Sends a request, waits for the answer and returns its status.  The caller clears @answer. */
static inline guint
path_call (const char *address,
           const char *method,
           const char *target,
           const char *id,
           const char *text,
           PathAnswer *answer)
{
  path_start_call (address, method, target, id, text, answer);
  AWAIT (answer->done);
  return answer->status;
}

/* Sends a request, waits for the answer and returns its status. */
static inline guint
path_status (const char *address, const char *method, const char *target, const char *id, const char *text)
{
  PathAnswer answer;
  guint status = path_call (address, method, target, id, text, &answer);
  path_answer_clear (&answer);
  return status;
}
