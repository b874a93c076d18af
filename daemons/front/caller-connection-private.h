/*
 * caller-connection-private.h: internals of a caller's connection, shared by
 *
 *   caller-connection.c          requests, their limits and timeouts
 *   caller-connection-answer.c   answers
 */
#pragma once

#include "runtime/timer.h"

#include "caller-body.h"
#include "caller-connection.h"
#include "caller-request.h"

struct _QuinceCallerConnection
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceListenKind kind;
  QuinceCallerConnectionClosed closed;
  gpointer user_data;
  QuinceHttpConnection *http;
  QuinceHttpHead *head;         /* of the request being read; NULL: none */
  QuinceCallerBody *body;       /* of the request being read, at a listener for requests; NULL: none */
  guint64 unused_body_bytes;    /* of the request being read, at the other listeners */
  QuinceMemoryHold *hold;       /* owned; of input_bytes and the unsent answer */
  gsize input_bytes;            /* incomplete head, or input behind the request in progress */
  QuinceCallerRequest *request; /* in progress; NULL: none */
  gboolean answering;           /* a request was read and its answer is not complete */
  gboolean keep_alive;
  gboolean head_only;           /* the request's method is HEAD, so that its answer ends with the head */
  gboolean paused;              /* the caller does not take the streamed answer, see write_answer_chunk() */
  gboolean used;                /* a request was read whole */
  gint64 input_us;              /* when the last part of a request was read, monotonic */
  gint64 received_us;           /* when the last request head was read, monotonic */
  gint64 idle_since_us;         /* end of the last answer or start of the connection, monotonic */
  gint64 partial_head_since_us; /* when the timer first found an incomplete head, monotonic; 0: none */
  QuinceTimer *timer;
};

/* Passes the answer of a request to its connection, the user data. */
extern const QuinceCallerSink quince_caller_connection_sink;

/* Calls closed() and frees the connection, whose HTTP connection is closed or being closed. */
void quince_caller_connection_free (QuinceCallerConnection *connection);
/* Returns whether a part of a request's head has arrived. */
gboolean quince_caller_connection_is_reading_head (const QuinceCallerConnection *connection);
/* Writes a complete answer.  Frees the connection unless it stays open. */
void quince_caller_connection_write_answer (QuinceCallerConnection *connection,
                                            const QuinceCallerAnswer *answer);
/* Called when the caller has taken all output; @data is the QuinceCallerConnection. */
void quince_caller_connection_handle_drained (QuinceHttpConnection *http, gpointer data);
