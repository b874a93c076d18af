/*
 * caller-request.h: one request of a caller, from its last byte to its answer.
 */
#pragma once

#include "http1/http1.h"

#include "front-context.h"

typedef struct _QuinceCallerRequest QuinceCallerRequest;

/**
 * QuinceCallerAnswer:
 * @headers: (nullable): of a worker's answer, without those of its connection
 * @retry_after_ms: 0: none is told
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
 * QuinceCallerSink: where the answer of a request goes
 * @answer: a whole answer
 * @begin: an answer whose body comes piece by piece begins; @answer's body is not looked at
 * @data: a piece of it
 * @end: it is over; @whole: as its worker meant it. Otherwise the caller must not take it for whole
 *
 * After answer() or end() the request is released.
 */
typedef struct
{
  void (*answer) (const QuinceCallerAnswer *answer, gpointer user_data);
  void (*begin) (const QuinceCallerAnswer *answer, gpointer user_data);
  void (*data) (const char *data, gsize length, gpointer user_data);
  void (*end) (gboolean whole, gpointer user_data);
} QuinceCallerSink;

/**
 * quince_caller_request_start:
 * @head: (transfer full)
 * @body: (transfer full)
 * @received_us: when its first byte was read
 * @sink: called perhaps before this returns
 *
 * Returns: (transfer none) (nullable): the request, %NULL when it is answered already
 */
QuinceCallerRequest *quince_caller_request_start (QuinceFrontContext *context,
                                                  QuinceHttpHead *head,
                                                  GByteArray *body,
                                                  gint64 received_us,
                                                  const QuinceCallerSink *sink,
                                                  gpointer user_data);
/* The caller has gone: ends it, and the sink hears no more. */
void quince_caller_request_cancel (QuinceCallerRequest *request);
