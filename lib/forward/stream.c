/*
 * stream.c: attempts of one stream at workers, one at a time.
 *
 * The rules are in core/decisions: retry.h, no-worker.h and silence.h.
 */
#include "forward/stream.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "core/decisions/silence.h"

#include "forward/retry-timer.h"

#include "dispatch.h"

struct _QuinceStream
{
  /* All fields belong to the context that started it. */
  QuinceDispatch dispatch;
  const QuinceStreamCodec *codec;
  const QuinceStreamCallbacks *callbacks;
  gpointer user_data;

  QuinceHttpExchange *exchange;
  gpointer event_parser;      /* of the attempt in flight, if the stream is resumable */
  QuinceWorkerRef worker;     /* of the last attempt */
  QuinceRetryTimer timer;     /* next attempt */
  QuinceTimer *timeout_timer; /* silence of the worker, and the deadline of the request */
  gint64 contact_us;          /* start of the attempt, its head or its last event, monotonic */
  guint64 last_event_id;
  gboolean has_last_event;
  gsize bytes_since_event; /* received in the attempt in flight since its last event or its head */
  gboolean paused;         /* the caller does not take what was forwarded */
  gboolean head_forwarded;
  gboolean forwarding; /* the answer of this attempt is forwarded to the caller */
};

/* ---- Completion ------------------------------------------------------- */

static void
release_worker (QuinceStream *stream)
{
  quince_timer_clear (&stream->timeout_timer);
  if (stream->event_parser != NULL)
    stream->codec->event_parser_free (stream->event_parser);
  stream->event_parser = NULL;
  stream->exchange = NULL;
  quince_dispatch_release_worker (&stream->dispatch, &stream->worker);
}

static void
stream_free (QuinceStream *stream)
{
  quince_retry_timer_clear (&stream->timer);
  quince_dispatch_clear (&stream->dispatch);
  quince_worker_ref_clear (&stream->worker);
  g_free (stream);
}

void
quince_stream_cancel (QuinceStream *stream)
{
  if (stream->exchange != NULL)
    {
      quince_http_exchange_cancel (stream->exchange);
      release_worker (stream);
    }
  stream_free (stream);
}

guint
quince_stream_get_retry_after_ms (const QuinceStream *stream)
{
  return stream->dispatch.retry_after_ms;
}

static void
stream_end (QuinceStream *stream, QuinceForwardOutcome outcome)
{
  stream->callbacks->done (outcome, stream->dispatch.cause, stream->user_data);
  stream_free (stream);
}

static void
stream_fail (QuinceStream *stream)
{
  gboolean may_have_run = stream->dispatch.retry.runs > 0 || stream->head_forwarded;
  gboolean timed_out = quince_now_us () >= stream->dispatch.retry.give_up_us;
  stream_end (stream, quince_dispatch_give_up (may_have_run, timed_out));
}

/* ---- End of an attempt ------------------------------------------------ */

static void
attempt_failed (QuinceStream *stream, gboolean may_have_run, const char *cause)
{
  stream->dispatch.cause = cause;
  quince_dispatch_return_permit (&stream->dispatch);
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", cause);
  quince_metric_add ("quince_stream_attempts_total", labels, 1);
  quince_dispatch_record_failed_attempt (&stream->dispatch, &stream->worker, stream->contact_us);
  if (may_have_run)
    stream->dispatch.retry.runs++;
  else
    stream->dispatch.retry.refused_sends++;
  if (quince_retry_may_retry (&stream->dispatch.retry, quince_now_us ()))
    quince_retry_timer_set (&stream->timer, 0);
  else
    stream_fail (stream);
}

static void
eject_worker (QuinceStream *stream)
{
  QuinceWorker *worker = quince_dispatch_find_worker (&stream->dispatch, &stream->worker);
  if (worker != NULL)
    quince_worker_record_failure (worker, quince_now_us ());
}

/* ---- The answer ------------------------------------------------------- */

static void
exchange_head (QuinceHttpExchange *exchange, const QuinceHttpHead *head, gpointer data)
{
  QuinceStream *stream = data;
  const char *signature = NULL;
  gboolean not_run = FALSE;
  stream->codec->forward->read_answer (head, &signature, &not_run);
  stream->contact_us = quince_now_us ();
  stream->forwarding
      = !not_run && (head->status == 200 ? signature != NULL : !stream->dispatch.retry.repeatable);
  if (!stream->forwarding)
    {
      quince_http_exchange_limit_body (exchange, QUINCE_HTTP_UNUSED_BODY_MAX_BYTES);
      return;
    }
  if (!stream->head_forwarded)
    stream->callbacks->head (head, stream->user_data);
  stream->head_forwarded = TRUE;
}

/* Forwards complete events, each once.  Returns NULL, or the cause why the attempt must end. */
static const char *
forward_events (QuinceStream *stream)
{
  guint64 id = 0;
  g_autoptr (GString) bytes = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  while (stream->codec->event_parser_next_event (stream->event_parser, &id, bytes, &error))
    {
      if (stream->has_last_event && id <= stream->last_event_id)
        return "event_out_of_turn";
      stream->last_event_id = id;
      stream->has_last_event = TRUE;
      stream->contact_us = quince_now_us ();
      stream->bytes_since_event = stream->codec->event_parser_get_partial_bytes (stream->event_parser);
      stream->callbacks->data (bytes->str, bytes->len, stream->user_data);
      g_string_truncate (bytes, 0);
    }
  if (error != NULL)
    return "event_malformed";
  return stream->bytes_since_event > QUINCE_STREAM_EVENT_MAX_BYTES ? QUINCE_FORWARD_CAUSE_TOO_LARGE : NULL;
}

static void
exchange_body (QuinceHttpExchange *exchange, const char *data, gsize length, gpointer user_data)
{
  QuinceStream *stream = user_data;
  if (!stream->forwarding)
    return;
  if (!stream->dispatch.retry.repeatable)
    {
      stream->callbacks->data (data, length, stream->user_data);
      return;
    }
  stream->codec->event_parser_feed (stream->event_parser, data, length);
  stream->bytes_since_event += length;
  const char *cause = forward_events (stream);
  if (cause == NULL)
    {
      gsize held_bytes = stream->codec->event_parser_get_partial_bytes (stream->event_parser);
      quince_http_exchange_set_held_bytes (exchange, held_bytes);
      return;
    }
  quince_http_exchange_cancel (exchange);
  release_worker (stream);
  attempt_failed (stream, TRUE, cause);
}

static void
handle_answer (QuinceStream *stream, const QuinceHttpHead *head, gboolean has_partial_event)
{
  const char *signature = NULL;
  gboolean not_run = FALSE;
  stream->codec->forward->read_answer (head, &signature, &not_run);
  if (!not_run)
    quince_dispatch_handle_answer (&stream->dispatch);
  if (stream->forwarding && !has_partial_event)
    {
      stream->dispatch.cause = "whole";
      stream_end (stream, QUINCE_FORWARD_ANSWERED);
    }
  else if (not_run)
    attempt_failed (stream, FALSE, head->status == 421 ? "other_worker" : "worker_refused");
  else
    attempt_failed (stream, TRUE, head->status >= 500 ? "worker_failed" : "wrong_answer");
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceStream *stream = data;
  gboolean has_partial_event = stream->event_parser != NULL
                               && stream->codec->event_parser_get_partial_bytes (stream->event_parser) > 0;
  release_worker (stream);
  if (outcome == QUINCE_HTTP_ANSWERED)
    {
      handle_answer (stream, quince_http_exchange_get_head (exchange), has_partial_event);
      return;
    }
  const char *cause = quince_dispatch_get_cause (outcome, error);
  eject_worker (stream);
  if (quince_dispatch_may_be_loss (outcome, error))
    quince_dispatch_handle_connection_loss (&stream->dispatch, &stream->worker);
  attempt_failed (stream, outcome != QUINCE_HTTP_NOT_SENT, cause);
}

static const QuinceHttpExchangeCallbacks exchange_callbacks
    = { .head = exchange_head, .body = exchange_body, .done = exchange_done };

/* ---- Start of an attempt ---------------------------------------------- */

/* Ends the attempt if its worker is silent for too long or the deadline has passed; otherwise sets the timer
 * for the next check. */
static gboolean
check_timeouts (gpointer data)
{
  QuinceStream *stream = data;
  gint64 now = quince_now_us ();
  quince_timer_clear (&stream->timeout_timer);
  gint64 silent_ms = stream->paused ? 0 : (now - stream->contact_us) / 1000;
  gboolean timed_out = now >= stream->dispatch.retry.give_up_us;
  if (!timed_out && (!stream->dispatch.retry.repeatable || silent_ms < QUINCE_SILENCE_STREAM_TIMEOUT_MS))
    {
      gint64 wait_ms = (stream->dispatch.retry.give_up_us - now) / 1000 + 1;
      if (stream->dispatch.retry.repeatable)
        wait_ms = MIN (wait_ms, QUINCE_SILENCE_STREAM_TIMEOUT_MS - silent_ms + 1);
      stream->timeout_timer = quince_timer_add ((guint)wait_ms, check_timeouts, stream);
      return G_SOURCE_REMOVE;
    }
  /* Bytes that arrived while this process was stopped are read first, even after the timeout. */
  if (quince_http_exchange_defer_timeout (stream->exchange))
    {
      stream->timeout_timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, check_timeouts, stream);
      return G_SOURCE_REMOVE;
    }
  quince_http_exchange_cancel (stream->exchange);
  release_worker (stream);
  if (!timed_out)
    eject_worker (stream);
  attempt_failed (stream, TRUE, timed_out ? "timeout" : "worker_silent");
  return G_SOURCE_REMOVE;
}

static void
send_to (QuinceStream *stream, QuinceWorker *worker, gint64 now_us)
{
  QuinceDispatch *dispatch = &stream->dispatch;
  g_autoptr (QuinceHttpHeaders) headers = quince_dispatch_begin_attempt (dispatch, worker, now_us);
  if (stream->has_last_event)
    stream->codec->write_resume (headers, stream->last_event_id);
  const QuinceHttpRequest request = { .method = dispatch->method,
                                      .target = dispatch->target,
                                      .headers = headers,
                                      .body = dispatch->body,
                                      .send_by_us = worker->send_by_us };
  quince_worker_ref_set (&stream->worker, worker, now_us);
  stream->contact_us = now_us;
  stream->bytes_since_event = 0;
  stream->forwarding = FALSE;
  stream->event_parser = stream->dispatch.retry.repeatable ? stream->codec->event_parser_new () : NULL;
  QuinceHttpPool *pool = quince_backends_get_pool (dispatch->backends, worker);
  stream->exchange = quince_http_pool_start (pool, &request, &exchange_callbacks, stream);
  quince_http_exchange_set_reading (stream->exchange, !stream->paused);
  stream->timeout_timer = quince_timer_add (1, check_timeouts, stream);
}

void
quince_stream_set_paused (QuinceStream *stream, gboolean paused)
{
  if (stream->paused == paused)
    return;
  stream->paused = paused;
  stream->contact_us = quince_now_us ();
  if (stream->exchange != NULL)
    quince_http_exchange_set_reading (stream->exchange, !paused);
}

/* Returns whether the attempt may start now.  If not, the stream is retried later or ends. */
static gboolean
is_admitted (QuinceStream *stream, gint64 now_us)
{
  guint wait_ms = 0;
  switch (quince_dispatch_admit (&stream->dispatch, stream->head_forwarded, now_us, &wait_ms))
    {
    case QUINCE_DISPATCH_HELD:
      stream_end (stream, QUINCE_FORWARD_HELD);
      return FALSE;
    case QUINCE_DISPATCH_GIVE_UP:
      stream_fail (stream);
      return FALSE;
    case QUINCE_DISPATCH_WAIT:
      quince_retry_timer_set (&stream->timer, wait_ms);
      return FALSE;
    case QUINCE_DISPATCH_SEND:
    default:
      return TRUE;
    }
}

static void
start_attempt (gpointer data)
{
  QuinceStream *stream = data;
  gint64 now = quince_now_us ();
  stream->dispatch.retry_after_ms = 0;
  if (now >= stream->dispatch.retry.give_up_us)
    {
      stream_fail (stream);
      return;
    }
  if (!is_admitted (stream, now))
    return;
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = quince_dispatch_choose_worker (&stream->dispatch, now, &worker);
  if (worker != NULL)
    {
      send_to (stream, worker, now);
      return;
    }
  quince_dispatch_return_permit (&stream->dispatch);
  quince_dispatch_record_no_worker (&stream->dispatch, outcome);
  gboolean may_wait
      = quince_dispatch_may_wait_for_worker (&stream->dispatch, outcome, TRUE, stream->head_forwarded, now);
  g_hash_table_remove_all (stream->dispatch.avoid);
  if (may_wait)
    quince_retry_timer_set (&stream->timer, QUINCE_NO_WORKER_PAUSE_US / 1000);
  else
    stream_fail (stream);
}

QuinceStream *
quince_stream_start (QuinceBackends *backends,
                     const QuinceStreamCodec *codec,
                     const QuinceForwardRequest *request,
                     gboolean resumable,
                     const QuinceStreamCallbacks *callbacks,
                     gpointer user_data)
{
  QuinceStream *stream = g_new0 (QuinceStream, 1);
  quince_dispatch_init (&stream->dispatch, backends, codec->forward, request, resumable);
  stream->dispatch.is_stream = TRUE;
  stream->codec = codec;
  stream->callbacks = callbacks;
  stream->user_data = user_data;
  quince_retry_timer_init (&stream->timer, start_attempt, stream);
  quince_retry_timer_set (&stream->timer, 0);
  return stream;
}
