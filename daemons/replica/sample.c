/*
 * sample.c: one run of a sample on a worker, which streams the text as events.
 *
 * Only complete events are stored.  An event out of order ends the run; the next run resumes after the last
 * complete event.
 */
#include "sample.h"

#include "runtime/log.h"
#include "core/decisions/silence.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Maximum interval of the checks for silence, ms, since the timeout changes with the worker's pace. */
#define SILENCE_CHECK_INTERVAL_MS 300
/* Maximum time left that is sent to a worker, ms; also sent if the sample has no deadline. */
#define RUN_TIME_MAX_MS 60000

QuinceSample *
quince_sample_new (QuinceBatchEntry *entry, guint item)
{
  QuinceSample *sample = g_new0 (QuinceSample, 1);
  sample->entry = entry;
  sample->item = item;
  sample->text = g_string_new (NULL);
  sample->versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  return sample;
}

const QuinceBatchItem *
quince_sample_get_item (const QuinceSample *sample)
{
  return &sample->entry->batch->items.items_val[sample->item];
}

/* Uses the parts of the prompt, which are equal when a caller submits a group again; if the item has none,
 * uses the batch and the group.  Returns whether @digest is set. */
static gboolean
make_prompt_digest (const QuinceSample *sample, QuinceRequestDigest *digest)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  const QuinceBatchJob *batch = sample->entry->batch;
  g_auto (GStrv) parts = quince_platform_read_item_prompt (item);
  if (parts != NULL)
    return quince_request_digest_make_prompt (digest, sample->entry->tenant, batch->host,
                                              (const char *const *)parts);
  const char *const group[] = { batch->id, item->group, item->id, NULL };
  return *item->group != '\0'
         && quince_request_digest_make_prompt (digest, sample->entry->tenant, batch->host, group);
}

const QuinceRequestIdentity *
quince_sample_get_identity (QuinceSample *sample)
{
  QuinceRequestIdentity *identity = &sample->identity;
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  if (sample->has_identity)
    return identity;
  quince_request_digest_make (&identity->request, sample->entry->tenant, sample->entry->batch->host, "POST",
                              item->path, item->body.body_val, item->body.body_len);
  identity->has_prompt = make_prompt_digest (sample, &identity->prompt);
  sample->has_identity = TRUE;
  return identity;
}

static QuinceWorker *
find_run_worker (const QuinceSample *sample)
{
  return quince_worker_table_find_ref (quince_backends_get_workers (sample->backends), &sample->worker);
}

/* Clears the state of the ended run and frees its slot at the worker. */
static void
release_worker (QuinceSample *sample)
{
  quince_timer_clear (&sample->silence_timer);
  g_clear_pointer (&sample->event_parser, quince_platform_event_parser_free);
  sample->exchange = NULL;
  QuinceWorker *worker = find_run_worker (sample);
  if (worker != NULL && worker->running > 0)
    worker->running--;
}

void
quince_sample_free (QuinceSample *sample)
{
  if (sample->exchange != NULL)
    {
      quince_http_exchange_cancel (sample->exchange);
      release_worker (sample);
    }
  if (sample->reward != NULL)
    quince_forward_cancel (sample->reward);
  if (sample->permit.taken)
    quince_send_guard_return_permit (quince_backends_get_guard (sample->backends), &sample->permit);
  g_string_free (sample->text, TRUE);
  g_array_unref (sample->versions);
  g_free (sample->copies);
  g_free (sample->avoid_worker);
  quince_worker_ref_clear (&sample->worker);
  g_free (sample);
}

void
quince_sample_reset_replication (QuinceSample *sample)
{
  sample->replicated_event = 0;
  sample->replicated_bytes = 0;
  g_clear_pointer (&sample->copies, g_free);
}

void
quince_sample_discard_text (QuinceSample *sample)
{
  g_string_truncate (sample->text, 0);
  g_array_set_size (sample->versions, 0);
  sample->last_event = 0;
  quince_sample_reset_replication (sample);
}

/* ---- Events ----------------------------------------------------------- */

static void
record_run_version (QuinceSample *sample)
{
  for (guint i = 0; i < sample->versions->len; i++)
    if (g_array_index (sample->versions, guint64, i) == sample->run_version)
      return;
  g_array_append_val (sample->versions, sample->run_version);
}

void
quince_sample_stop_run (QuinceSample *sample, QuinceRunEnd end, const char *cause)
{
  if (sample->exchange != NULL)
    {
      quince_http_exchange_cancel (sample->exchange);
      release_worker (sample);
    }
  sample->run_ended (sample, end, cause, sample->user_data);
}

/* Records the mean time of @events that arrived together.  Skips intervals in which the worker loaded
 * weights, since these are not typical of its pace. */
static void
record_worker_pace (QuinceSample *sample, guint64 events)
{
  QuinceWorker *worker = find_run_worker (sample);
  gint64 now = quince_now_us ();
  if (worker != NULL && !worker->loading && sample->last_event_us > 0)
    quince_worker_record_event (worker, now, (now - sample->last_event_us) / (gint64)events);
  sample->last_event_us = worker != NULL && worker->loading ? 0 : now;
}

/* Appends @event to the text.  Returns NULL, or the cause why the run must end; @end: how it ends. */
static const char *
apply_stream_event (QuinceSample *sample, const QuincePlatformEvent *event, QuinceRunEnd *end)
{
  *end = QUINCE_RUN_BROKEN;
  if (event->id != sample->last_event + 1)
    {
      *end = QUINCE_RUN_OUT_OF_ORDER;
      return "event_out_of_turn";
    }
  if (event->version != 0)
    sample->run_version = event->version;
  if (sample->run_version < sample->entry->batch->minimum_version)
    return "version_too_old";
  if (sample->text->len + event->data->len > QUINCE_SAMPLE_TEXT_MAX_BYTES)
    {
      /* Nothing tells where the text ceased to be one, so that no other worker can continue it. */
      quince_sample_discard_text (sample);
      return QUINCE_FORWARD_CAUSE_TOO_LARGE;
    }
  if (sample->last_event > 0)
    g_string_append_c (sample->text, '\n');
  g_string_append_len (sample->text, event->data->str, (gssize)event->data->len);
  sample->last_event = event->id;
  record_run_version (sample);
  return NULL;
}

static const char *
apply_stream_events (QuinceSample *sample, QuinceRunEnd *end)
{
  QuincePlatformEvent event = { 0 };
  g_autoptr (GError) error = NULL;
  const char *cause = NULL;
  guint64 previous_event = sample->last_event;
  while (cause == NULL && quince_platform_event_parser_next_event (sample->event_parser, &event, &error))
    {
      cause = apply_stream_event (sample, &event, end);
      quince_platform_event_clear (&event);
    }
  if (sample->last_event > previous_event)
    {
      sample->last_received_us = quince_now_us ();
      record_worker_pace (sample, sample->last_event - previous_event);
    }
  if (error == NULL)
    return cause;
  *end = QUINCE_RUN_BROKEN;
  gboolean too_large
      = quince_platform_event_parser_get_partial_bytes (sample->event_parser) > QUINCE_STREAM_EVENT_MAX_BYTES;
  return too_large ? QUINCE_FORWARD_CAUSE_TOO_LARGE : "event_malformed";
}

static void
exchange_body (QuinceHttpExchange *exchange, const char *data, gsize length, gpointer user_data)
{
  QuinceSample *sample = user_data;
  if (!sample->accepted)
    return;
  quince_platform_event_parser_feed (sample->event_parser, data, length);
  QuinceRunEnd end = QUINCE_RUN_BROKEN;
  const char *cause = apply_stream_events (sample, &end);
  if (cause != NULL)
    {
      quince_sample_stop_run (sample, end, cause);
      return;
    }
  gsize held_bytes = quince_platform_event_parser_get_partial_bytes (sample->event_parser);
  quince_http_exchange_set_held_bytes (exchange, held_bytes);
}

/* ---- The answer ------------------------------------------------------- */

static void
exchange_head (QuinceHttpExchange *exchange, const QuinceHttpHead *head, gpointer user_data)
{
  QuinceSample *sample = user_data;
  QuincePlatformAnswerHeaders answer_headers;
  quince_platform_read_answer (head, &answer_headers);
  sample->last_received_us = quince_now_us ();
  if (head->status != 200)
    {
      quince_http_exchange_limit_body (exchange, QUINCE_HTTP_UNUSED_BODY_MAX_BYTES);
      return;
    }
  sample->run_version = answer_headers.version;
  if (answer_headers.version != 0 && answer_headers.version < sample->entry->batch->minimum_version)
    {
      quince_sample_stop_run (sample, QUINCE_RUN_REFUSED, "version_too_old");
      return;
    }
  sample->accepted = TRUE;
}

static void
handle_answer (QuinceSample *sample, const QuinceHttpHead *head, gboolean has_partial_event)
{
  QuincePlatformAnswerHeaders answer_headers;
  quince_platform_read_answer (head, &answer_headers);
  if (sample->accepted && !has_partial_event && sample->last_event > 0)
    sample->run_ended (sample, QUINCE_RUN_COMPLETE, "whole", sample->user_data);
  else if (answer_headers.not_run)
    sample->run_ended (sample, QUINCE_RUN_REFUSED, "worker_refused", sample->user_data);
  else if (head->status == 422)
    sample->run_ended (sample, QUINCE_RUN_UNPROCESSABLE, "unprocessable", sample->user_data);
  else if (head->status == 500)
    sample->run_ended (sample, QUINCE_RUN_FAILED, "worker_failed", sample->user_data);
  else
    sample->run_ended (sample, QUINCE_RUN_BROKEN, "answer_not_whole", sample->user_data);
}

static void
exchange_done (QuinceHttpExchange *exchange,
               QuinceHttpOutcome outcome,
               const GError *error,
               gpointer user_data)
{
  QuinceSample *sample = user_data;
  gboolean has_partial_event = quince_platform_event_parser_get_partial_bytes (sample->event_parser) > 0;
  release_worker (sample);
  if (outcome == QUINCE_HTTP_ANSWERED)
    handle_answer (sample, quince_http_exchange_get_head (exchange), has_partial_event);
  else if (outcome == QUINCE_HTTP_NOT_SENT)
    sample->run_ended (sample, QUINCE_RUN_NO_CONNECTION, "no_connection", sample->user_data);
  else if (error->code == QUINCE_HTTP1_ERROR_UNMATCHED)
    sample->run_ended (sample, QUINCE_RUN_BROKEN, "wrong_answer", sample->user_data);
  else if (error->code == QUINCE_HTTP1_ERROR_TOO_LARGE)
    sample->run_ended (sample, QUINCE_RUN_BROKEN, QUINCE_FORWARD_CAUSE_TOO_LARGE, sample->user_data);
  else
    sample->run_ended (sample, QUINCE_RUN_CONNECTION_LOST, "connection_lost", sample->user_data);
}

static const QuinceHttpExchangeCallbacks exchange_callbacks
    = { .head = exchange_head, .body = exchange_body, .done = exchange_done };

static guint
get_silence_timeout_ms (const QuinceSample *sample)
{
  const QuinceWorker *worker = find_run_worker (sample);
  gboolean measured = worker != NULL && !worker->loading && sample->last_event_us > 0;
  return quince_silence_sample_timeout_ms (measured ? worker->pace_us : 0);
}

static gboolean
check_silence (gpointer data)
{
  QuinceSample *sample = data;
  gint64 silent_ms = (quince_now_us () - sample->last_received_us) / 1000;
  guint timeout_ms = get_silence_timeout_ms (sample);
  quince_timer_clear (&sample->silence_timer);
  /* After a suspension of this process, reads the received bytes before it decides that the worker is silent.
   */
  if (silent_ms >= timeout_ms && quince_http_exchange_defer_timeout (sample->exchange))
    sample->silence_timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, check_silence, sample);
  else if (silent_ms >= timeout_ms)
    quince_sample_stop_run (sample, QUINCE_RUN_BROKEN, "worker_silent");
  else
    sample->silence_timer = quince_timer_add (
        MIN ((guint)(timeout_ms - silent_ms) + 1, SILENCE_CHECK_INTERVAL_MS), check_silence, sample);
  return G_SOURCE_REMOVE;
}

/* ---- The request ------------------------------------------------------ */

static QuinceHttpHeaders *
make_headers (QuinceSample *sample, const QuinceWorker *worker, gint priority)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  QuinceHttpHeaders *headers = quince_http_headers_new ();
  for (guint i = 0; i < item->headers.headers_len; i++)
    quince_http_headers_add (headers, item->headers.headers_val[i].name, item->headers.headers_val[i].value);
  quince_http_headers_remove_hop_by_hop (headers);
  quince_http_headers_set (headers, "Host", sample->entry->batch->host);
  quince_platform_write_request_id (headers, item->id);
  gint64 time_left_ms = RUN_TIME_MAX_MS;
  if (sample->give_up_us > 0)
    time_left_ms = CLAMP ((sample->give_up_us - quince_now_us ()) / 1000, 1, RUN_TIME_MAX_MS);
  const QuincePlatformAttemptHeaders attempt_headers
      = { .worker_id = worker->id,
          .time_left_ms = time_left_ms,
          .last_event_id = sample->last_event > 0 ? (gint64)sample->last_event : -1,
          .priority = priority,
          .tenant = sample->entry->tenant };
  quince_platform_write_attempt_headers (headers, &attempt_headers);
  return headers;
}

void
quince_sample_start_run (QuinceSample *sample,
                         QuinceBackends *backends,
                         QuinceWorker *worker,
                         gint priority,
                         void (*run_ended) (QuinceSample *, QuinceRunEnd, const char *cause, gpointer),
                         gpointer user_data)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  g_autoptr (QuinceHttpHeaders) headers = make_headers (sample, worker, priority);
  g_autoptr (GBytes) body = g_bytes_new_static (item->body.body_val, item->body.body_len);
  const QuinceHttpRequest request = {
    .method = "POST", .target = item->path, .headers = headers, .body = body, .send_by_us = worker->send_by_us
  };
  quince_worker_ref_set (&sample->worker, worker, quince_now_us ());
  sample->backends = backends;
  sample->run_ended = run_ended;
  sample->user_data = user_data;
  sample->state = QUINCE_SAMPLE_RUNNING;
  sample->accepted = FALSE;
  sample->runs++;
  sample->started_us = quince_now_us ();
  sample->last_received_us = sample->started_us;
  sample->event_at_start = sample->last_event;
  sample->last_event_us = 0;
  sample->event_parser = quince_platform_event_parser_new ();
  worker->running++;
  sample->exchange = quince_http_pool_start (quince_backends_get_pool (backends, worker), &request,
                                             &exchange_callbacks, sample);
  sample->silence_timer = quince_timer_add (SILENCE_CHECK_INTERVAL_MS, check_silence, sample);
}
