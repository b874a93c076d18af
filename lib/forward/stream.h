/*
 * stream.h: one request whose answer is a series of events, forwarded as they come.
 *
 * A stream that may be resumed goes on at another worker when its own breaks off, behind the last whole event
 * that was passed on; the answer keeps the head of its first worker.  Any other stream is an at-most-once
 * request: its bytes are passed on as they come, and it ends where its worker ends it.
 *
 * For: fronts.  Owns: the attempt in progress, its timers.  Relies on: the backends; core/decisions (retry,
 * no-worker, silence) for the rules.
 */
#pragma once

#include "forward/forward.h"

G_BEGIN_DECLS

typedef struct _QuinceStream QuinceStream;

/* How one platform writes requests for streams and reads their events. */
typedef struct
{
  const QuinceForwardDialect *forward;
  /* Asks a worker to begin behind the event @after. */
  void (*write_resume) (QuinceHttpHeaders *headers, guint64 last_event_id);
  /* Takes bytes in and gives whole events: their id and all of their bytes. */
  gpointer (*event_parser_new) (void);
  void (*event_parser_free) (gpointer parser);
  void (*event_parser_feed) (gpointer parser, const char *data, gsize length);
  gboolean (*event_parser_next_event) (gpointer parser, guint64 *id, GString *bytes);
  gboolean (*event_parser_has_partial_event) (gpointer parser);
} QuinceStreamDialect;

/**
 * QuinceStreamCallbacks:
 * @head: the answer begins, called at most once
 * @data: bytes of its body
 * @done: last; ANSWERED: the answer is whole; REFUSED: nothing ran and there was no head; otherwise the
 * answer is not whole, or there is none where @head was not called
 */
typedef struct
{
  void (*head) (const QuinceHttpHead *head, gpointer user_data);
  void (*data) (const char *data, gsize length, gpointer user_data);
  void (*done) (QuinceForwardOutcome outcome, const char *cause, gpointer user_data);
} QuinceStreamCallbacks;

/* No callback comes before this returns. */
QuinceStream *quince_stream_start (QuinceBackends *backends,
                                   const QuinceStreamDialect *dialect,
                                   const QuinceForwardRequest *request,
                                   gboolean resumable,
                                   const QuinceStreamCallbacks *callbacks,
                                   gpointer user_data);
/* While done() says REFUSED: when there may be room; 0: not known. */
guint quince_stream_get_retry_after_ms (const QuinceStream *stream);
/* Ends it without further callbacks; work at a worker is cancelled. */
void quince_stream_cancel (QuinceStream *stream);

G_END_DECLS
