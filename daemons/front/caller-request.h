/*
 * caller-request.h: one request of a caller, from its last byte to its answer.
 *
 * Owns the request's head and body and the work for it: a forwarded request, a stream, or a call to the
 * ledger's leader.  Relies on the parts of the front context, on lib/forward and on the platform's reader of
 * requests.
 */
#pragma once

#include "http1/http1.h"

#include "front-context.h"

typedef struct _QuinceCallerRequest QuinceCallerRequest;

/**
 * QuinceCallerAnswer:
 * @status: HTTP status
 * @headers: (nullable): of a worker's answer, without hop-by-hop headers
 * @content_type: (nullable): where @headers is %NULL
 * @body, @body_length: bytes; not set in an answer that comes in pieces
 * @retry_after_ms: 0: the answer has no Retry-After
 */
typedef struct
{
  guint status;
  const QuinceHttpHeaders *headers;
  const char *content_type;
  const char *body;
  gsize body_length;
  guint retry_after_ms;
} QuinceCallerAnswer;

/**
 * QuinceCallerSink: receives the answer of a request, either by answer() or by begin(), data() and end()
 * @answer: the complete answer
 * @begin: status and headers of an answer whose body comes in pieces
 * @data: a piece of the body
 * @end: no more pieces come; @complete: %FALSE: the answer is truncated, and the caller must be able to see
 * it
 *
 * Arguments are valid until the return.  After answer() or end() the request is released.
 */
typedef struct
{
  void (*answer) (const QuinceCallerAnswer *answer, gpointer user_data);
  void (*begin) (const QuinceCallerAnswer *answer, gpointer user_data);
  void (*data) (const char *data, gsize length, gpointer user_data);
  void (*end) (gboolean complete, gpointer user_data);
} QuinceCallerSink;

/**
 * quince_caller_request_start:
 * @head: (transfer full)
 * @body: (transfer full)
 * @received_us: monotonic: when its head was read; its deadlines count from there
 * @sink: may be called before this returns
 *
 * Returns: (transfer none) (nullable): the request; %NULL where it was answered already
 */
QuinceCallerRequest *quince_caller_request_start (QuinceFrontContext *context,
                                                  QuinceHttpHead *head,
                                                  GByteArray *body,
                                                  gint64 received_us,
                                                  const QuinceCallerSink *sink,
                                                  gpointer user_data);
/* The caller closed the connection: ends the work for the request and releases it; the sink isn't called. */
void quince_caller_request_cancel (QuinceCallerRequest *request);
