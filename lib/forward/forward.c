/*
 * forward.c: attempts of one request at workers.
 */
#include <quince/forward.h>

#include <quince/log.h>
#include <quince/metrics.h>
#include <quince/task.h>

/* Where every worker is full the request waits this long and asks again, up to half its latency target. */
#define FULL_PAUSE_MS 20
/* Sends that workers refuse do not run; this many are made at the most. */
#define REFUSED_SENDS_MOST 8
/* A worker that stays silent for this part of the time left loses a repeatable request to another one. */
#define SILENCE_SHARE 0.5
/* Timers count whole milliseconds. */
#define TIMER_ROUNDING_US 2000
#define SILENCE_LEAST_US (250 * 1000)

struct _QuinceForward
{
  /* All fields belong to the context that started it. */
  QuinceBackends *backends;
  const QuinceForwardDialect *dialect;
  void (*done) (const QuinceForwardResult *, gpointer);
  gpointer user_data;
  char *service;
  char *kind;
  char *method;
  char *target;
  char *request_id;
  QuinceHttpHeaders *headers;
  GBytes *body;
  gboolean repeatable;
  guint max_attempts;
  gint64 target_latency_us;
  gint64 started_us;
  gint64 deadline_us;
  gint64 give_up_us;

  QuinceHttpExchange *exchange;
  char *worker_id; /* of the attempt in progress, or the last one */
  gint64 attempt_us;
  GHashTable *avoid;
  GSource *timer; /* next attempt */
  guint attempts;
  guint runs; /* attempts that may have run */
  guint refused_sends;
  guint failed_runs;
  const char *cause;
};

static void try_worker (QuinceForward *forward);

/* ---- Ends ------------------------------------------------------------- */

static void
leave_worker (QuinceForward *forward)
{
  QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (forward->backends), forward->worker_id);
  if (worker != NULL && worker->running > 0)
    worker->running--;
}

static void
forward_free (QuinceForward *forward)
{
  quince_source_clear (&forward->timer);
  quince_http_headers_free (forward->headers);
  g_clear_pointer (&forward->body, g_bytes_unref);
  g_hash_table_unref (forward->avoid);
  g_free (forward->service);
  g_free (forward->kind);
  g_free (forward->method);
  g_free (forward->target);
  g_free (forward->request_id);
  g_free (forward->worker_id);
  g_free (forward);
}

void
quince_forward_cancel (QuinceForward *forward)
{
  if (forward->exchange != NULL)
    {
      quince_http_exchange_cancel (forward->exchange);
      leave_worker (forward);
    }
  forward_free (forward);
}

static void
forward_end (QuinceForward *forward, QuinceForwardResult *result)
{
  result->attempts = forward->attempts;
  result->failed_runs = forward->failed_runs;
  result->worker = forward->worker_id;
  result->cause = forward->cause;
  result->worker_us = quince_now_us () - forward->attempt_us;
  forward->done (result, forward->user_data);
  forward_free (forward);
}

static void
forward_fail (QuinceForward *forward, gboolean late)
{
  QuinceForwardResult result = { .outcome = QUINCE_FORWARD_REFUSED };
  if (forward->runs > 0)
    result.outcome = late ? QUINCE_FORWARD_TIMEOUT : QUINCE_FORWARD_FAILED;
  forward_end (forward, &result);
}

/* ---- After an attempt ------------------------------------------------- */

static gboolean
timer_over (gpointer data)
{
  QuinceForward *forward = data;
  quince_source_clear (&forward->timer);
  try_worker (forward);
  return G_SOURCE_REMOVE;
}

static void
try_later (QuinceForward *forward, guint wait_ms)
{
  quince_source_clear (&forward->timer);
  forward->timer = quince_timer_add (wait_ms, timer_over, forward);
}

static gboolean
may_run_again (const QuinceForward *forward)
{
  return forward->runs == 0 || (forward->repeatable && forward->runs < forward->max_attempts);
}

static void
count_attempt (const char *outcome)
{
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_forward_attempts_total", labels, 1);
}

static void
log_retry (const QuinceForward *forward, const char *cause)
{
  quince_log_info ("request_retried",
                   "request=%s worker=%s cause=%s attempts=%u runs=%u took_ms=%" G_GINT64_FORMAT, forward->request_id,
                   forward->worker_id, cause, forward->attempts, forward->runs,
                   (quince_now_us () - forward->attempt_us) / 1000);
}

/* The attempt did not run. */
static void
not_run (QuinceForward *forward, const char *cause)
{
  log_retry (forward, cause);
  count_attempt (cause);
  forward->cause = cause;
  forward->refused_sends++;
  if (forward->refused_sends >= REFUSED_SENDS_MOST)
    forward_fail (forward, FALSE);
  else
    try_later (forward, 0);
}

/* The attempt may have run and gave no answer that counts. */
static void
run_lost (QuinceForward *forward, const char *cause)
{
  log_retry (forward, cause);
  count_attempt (cause);
  forward->cause = cause;
  forward->runs++;
  if (may_run_again (forward))
    try_later (forward, 0);
  else
    forward_fail (forward, quince_now_us () >= forward->give_up_us - TIMER_ROUNDING_US);
}

static void
note_worker (QuinceForward *forward, gboolean good)
{
  QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (forward->backends), forward->worker_id);
  if (worker == NULL)
    return;
  gint64 now = quince_now_us ();
  if (good)
    quince_worker_note_answer (worker, now - forward->attempt_us);
  else
    quince_worker_note_failure (worker, now);
}

static void
answered (QuinceForward *forward, QuinceHttpExchange *exchange)
{
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  const char *request_id = NULL;
  const char *signature = NULL;
  gboolean refused = FALSE;
  forward->dialect->read_answer (head, &request_id, &signature, &refused);
  gboolean good = head->status >= 200 && head->status < 300;
  if (g_strcmp0 (request_id, forward->request_id) != 0 && (good || request_id != NULL))
    {
      note_worker (forward, FALSE);
      run_lost (forward, "wrong_answer");
    }
  else if (refused)
    {
      not_run (forward, head->status == 421 ? "other_worker" : "worker_refused");
    }
  else if (good && signature == NULL)
    run_lost (forward, "unsigned_answer");
  else
    {
      note_worker (forward, good);
      forward->failed_runs += head->status == 500;
      if (!good && head->status >= 500 && forward->repeatable && forward->runs + 1 < forward->max_attempts)
        {
          run_lost (forward, "worker_failed");
          return;
        }
      forward->runs++;
      count_attempt ("answered");
      QuinceForwardResult result = { .outcome = QUINCE_FORWARD_ANSWERED,
                                     .head = head,
                                     .body = quince_http_exchange_get_body (exchange),
                                     .signature = signature };
      forward_end (forward, &result);
    }
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceForward *forward = data;
  forward->exchange = NULL;
  leave_worker (forward);
  if (outcome == QUINCE_HTTP_ANSWERED)
    {
      answered (forward, exchange);
      return;
    }
  note_worker (forward, FALSE);
  if (outcome == QUINCE_HTTP_NOT_SENT)
    not_run (forward, "no_connection");
  else
    run_lost (forward, error->code == QUINCE_HTTP1_ERROR_TIMEOUT ? "worker_silent" : "connection_lost");
}

/* An answer to another request: whatever follows on this connection belongs to nobody. */
static void
exchange_head (QuinceHttpExchange *exchange, const QuinceHttpHead *head, gpointer data)
{
  QuinceForward *forward = data;
  const char *request_id = NULL;
  const char *signature = NULL;
  gboolean refused = FALSE;
  forward->dialect->read_answer (head, &request_id, &signature, &refused);
  if (request_id != NULL && !g_str_equal (request_id, forward->request_id))
    quince_http_exchange_distrust (exchange);
}

static const QuinceHttpExchangeCallbacks exchange_callbacks
    = { .head = exchange_head, .done = exchange_done };

/* ---- An attempt ------------------------------------------------------- */

static gint64
attempt_time (const QuinceForward *forward, gint64 now_us)
{
  gint64 left = forward->give_up_us - now_us;
  gboolean another = forward->repeatable && forward->runs + 1 < forward->max_attempts;
  if (!another)
    return left;
  gint64 patience = MAX ((gint64)(SILENCE_SHARE * (double)left), SILENCE_LEAST_US);
  return MIN (left, MIN (patience, MAX (2 * forward->target_latency_us, SILENCE_LEAST_US)));
}

static void
send_to (QuinceForward *forward, QuinceWorker *worker, gint64 now_us)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_copy (forward->headers);
  forward->dialect->write_dispatch (headers, worker->id, MAX ((forward->deadline_us - now_us) / 1000, 1));
  const QuinceHttpRequest request = { .method = forward->method,
                                      .target = forward->target,
                                      .headers = headers,
                                      .body = forward->body,
                                      .timeout_us = attempt_time (forward, now_us) };
  g_free (forward->worker_id);
  forward->worker_id = g_strdup (worker->id);
  g_hash_table_add (forward->avoid, g_strdup (worker->id));
  forward->attempt_us = now_us;
  forward->attempts++;
  worker->running++;
  QuinceHttpPool *pool = quince_backends_get_pool (forward->backends, worker);
  forward->exchange = quince_http_pool_start (pool, &request, &exchange_callbacks, forward);
}

/* No worker is left: all were tried, or none is there, or all are full. */
static void
no_choice (QuinceForward *forward, QuinceBackendOutcome outcome, gint64 now_us)
{
  if (forward->cause == NULL)
    forward->cause = outcome == QUINCE_BACKEND_NONE ? "no_worker" : "workers_full";
  gint64 patience_end = forward->started_us + forward->target_latency_us / 2;
  gboolean tried_any = g_hash_table_size (forward->avoid) > 0;
  if (!tried_any && outcome == QUINCE_BACKEND_NONE)
    {
      forward_fail (forward, FALSE);
      return;
    }
  /* The others may have room by now, and so may those that refused. */
  g_hash_table_remove_all (forward->avoid);
  if (now_us < patience_end || forward->runs > 0)
    try_later (forward, FULL_PAUSE_MS);
  else
    forward_fail (forward, FALSE);
}

static void
try_worker (QuinceForward *forward)
{
  gint64 now = quince_now_us ();
  if (now >= forward->give_up_us)
    {
      forward_fail (forward, TRUE);
      return;
    }
  QuincePolicyRequest request = {
    .service = forward->service,
    .member = "",
    .kind = forward->kind,
    .at_most_once = !forward->repeatable,
    .attempt = forward->attempts + 1,
    .deadline_ms = (guint)((forward->deadline_us - now) / 1000),
  };
  quince_backends_describe_events (forward->backends, quince_wall_ms (), &request);
  const QuinceBackendQuery query = { .request = &request, .avoid = forward->avoid };
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = quince_backends_choose (forward->backends, now, &query, &worker);
  if (worker != NULL)
    send_to (forward, worker, now);
  else
    no_choice (forward, outcome, now);
}

QuinceForward *
quince_forward_start (QuinceBackends *backends,
                      const QuinceForwardDialect *dialect,
                      const QuinceForwardRequest *request,
                      void (*done) (const QuinceForwardResult *result, gpointer user_data),
                      gpointer user_data)
{
  QuinceForward *forward = g_new0 (QuinceForward, 1);
  forward->backends = backends;
  forward->dialect = dialect;
  forward->done = done;
  forward->user_data = user_data;
  forward->service = g_strdup (request->service);
  forward->kind = g_strdup (request->kind);
  forward->method = g_strdup (request->method);
  forward->target = g_strdup (request->target);
  forward->request_id = g_strdup (request->request_id != NULL ? request->request_id : "");
  forward->headers = quince_http_headers_copy (request->headers);
  forward->body = request->body != NULL ? g_bytes_ref (request->body) : NULL;
  forward->repeatable = request->repeatable;
  forward->max_attempts = MAX (request->max_attempts, 1);
  forward->target_latency_us = (gint64)request->target_latency_ms * 1000;
  forward->started_us = quince_now_us ();
  forward->attempt_us = forward->started_us;
  forward->deadline_us = request->deadline_us;
  forward->give_up_us = MIN (request->give_up_us, request->deadline_us);
  forward->avoid = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  try_later (forward, 0);
  return forward;
}
