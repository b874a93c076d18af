/*
 * caller-request.h: one request of a caller, from its last byte to its answer.
 */
#pragma once

#include "front.h"

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
 * quince_caller_request_start:
 * @head: (transfer full)
 * @body: (transfer full)
 * @received_us: when its first byte was read
 * @done: called once, perhaps before this returns; the request is released after it
 *
 * Returns: (transfer none) (nullable): the request, %NULL when it is answered already
 */
QuinceCallerRequest *quince_caller_request_start (QuinceFront *front,
                                                  QuinceHttpHead *head,
                                                  GByteArray *body,
                                                  gint64 received_us,
                                                  void (*done) (const QuinceCallerAnswer *answer,
                                                                gpointer user_data),
                                                  gpointer user_data);
/* The caller has gone: ends it without done(). */
void quince_caller_request_cancel (QuinceCallerRequest *request);
