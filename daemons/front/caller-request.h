/*
 * caller-request.h: processes one complete request of a caller and passes the answer to a sink.
 *
 * A request owns its head and body, and the forward, stream or call to the ledger's leader that produces the
 * answer.
 */
#pragma once

#include "http1/http1.h"

#include "front-context.h"

typedef struct _QuinceCallerRequest QuinceCallerRequest;

/**
 * QuinceCallerAnswer:
 * @status: HTTP status
 * @headers: (nullable): headers of the worker's answer, without hop-by-hop headers
 * @content_type: (nullable): content type, if @headers is %NULL
 * @body: body of a complete answer; unused for a streamed answer
 * @body_length: length of @body, bytes
 * @shared_body: (nullable): body of a complete answer, in place of @body; shared while it is sent
 * @retry_after_ms: value of Retry-After, ms; 0: no such header
 */
typedef struct
{
  guint status;
  const QuinceHttpHeaders *headers;
  const char *content_type;
  const char *body;
  gsize body_length;
  GBytes *shared_body;
  guint retry_after_ms;
} QuinceCallerAnswer;

/**
 * QuinceCallerSink:
 * @answer: the complete answer
 * @begin: status and headers of a streamed answer
 * @data: a piece of the body of a streamed answer
 * @end: end of a streamed answer; if @complete is %FALSE, the sink must let the caller detect the truncation
 *
 * Receives the answer of a request: either one call of answer(), or begin(), calls of data() and end().
 * Arguments are valid during the call.  The request is freed after answer() or end().
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
 * @received_us: when its head was read, monotonic, us; its deadlines start then
 * @sink: (transfer none): may be called before this function returns; must outlive the request
 *
 * Returns: (transfer none) (nullable): the request, or %NULL if it is already answered and freed
 */
QuinceCallerRequest *quince_caller_request_start (QuinceFrontContext *context,
                                                  QuinceHttpHead *head,
                                                  GBytes *body,
                                                  gint64 received_us,
                                                  const QuinceCallerSink *sink,
                                                  gpointer user_data);
/* Stops or continues to read the streamed answer from its worker, while the caller does not take it. */
void quince_caller_request_set_paused (QuinceCallerRequest *request, gboolean paused);
/* Cancels the request and frees it without calling the sink, because its connection closed. */
void quince_caller_request_cancel (QuinceCallerRequest *request);
