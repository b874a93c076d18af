/*
 * stream.h: forwards one request whose answer is a stream of events.
 *
 * If a worker fails, a resumable stream continues at another worker after the last complete event that was
 * forwarded; the caller keeps the response head of the first worker.  Any other stream is an at-most-once
 * request: its bytes are forwarded as they arrive, and it ends when its worker ends it.
 *
 * Fronts use it.  A stream owns its attempt in flight and its timers.  Workers and connections come from the
 * backends, the rules from core/decisions (retry, no-worker, silence).
 */
#pragma once

#include "forward/forward.h"

G_BEGIN_DECLS

/* Maximum number of bytes from one event of a resumable stream to the next; far above an event of the
 * largest result that callers may read. */
#define QUINCE_STREAM_EVENT_MAX_BYTES (1024 * 1024)

typedef struct _QuinceStream QuinceStream;

/* How a platform encodes requests for streams and decodes their events. */
typedef struct
{
  const QuinceForwardCodec *forward;
  /* Adds the header that asks a worker to resume after the event @last_event_id. */
  void (*write_resume) (QuinceHttpHeaders *headers, guint64 last_event_id);
  /* A parser that splits the body into complete events.  event_parser_next_event() sets the id of an event
   * and appends its bytes; it returns FALSE if no complete event is buffered, or with an error if the bytes
   * are no events.  It drops complete events without an id, such as comments.
   * event_parser_get_partial_bytes() returns the number of bytes of an incomplete event. */
  gpointer (*event_parser_new) (void);
  void (*event_parser_free) (gpointer parser);
  void (*event_parser_feed) (gpointer parser, const char *data, gsize length);
  gboolean (*event_parser_next_event) (gpointer parser, guint64 *id, GString *bytes, GError **error);
  gsize (*event_parser_get_partial_bytes) (gpointer parser);
} QuinceStreamCodec;

/**
 * QuinceStreamCallbacks:
 * @head: the response head; called at most once
 * @data: a piece of the body
 * @done: the last callback; the stream is freed after it.  QUINCE_FORWARD_ANSWERED: the answer is complete.
 *   QUINCE_FORWARD_REFUSED: no worker ran the request and @head was not called.  Otherwise the answer is
 *   incomplete, or missing if @head was not called.
 */
typedef struct
{
  void (*head) (const QuinceHttpHead *head, gpointer user_data);
  void (*data) (const char *data, gsize length, gpointer user_data);
  void (*done) (QuinceForwardOutcome outcome, const char *cause, gpointer user_data);
} QuinceStreamCallbacks;

/* Starts to forward a copy of @request.  No callback is called before this function returns.  @callbacks and
 * @codec must outlive the stream. */
QuinceStream *quince_stream_start (QuinceBackends *backends,
                                   const QuinceStreamCodec *codec,
                                   const QuinceForwardRequest *request,
                                   gboolean resumable,
                                   const QuinceStreamCallbacks *callbacks,
                                   gpointer user_data);
/* Stops or continues to read from the worker, while the caller does not take what was forwarded.  The worker
 * does not count as silent meanwhile. */
void quince_stream_set_paused (QuinceStream *stream, gboolean paused);
/* Returns the time after which a refused caller may retry, ms; 0: unknown.  Valid in done() with
 * QUINCE_FORWARD_REFUSED. */
guint quince_stream_get_retry_after_ms (const QuinceStream *stream);
/* Cancels the attempt in flight and frees the stream, without further callbacks. */
void quince_stream_cancel (QuinceStream *stream);

G_END_DECLS
