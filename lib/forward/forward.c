/*
 * forward.c: attempts of one request at workers.
 *
 * A repeatable request whose worker takes unusually long is sent to a second one while the first goes on; the
 * first answer that counts is taken and the other run is cancelled.  No more workers get it than its route
 * allows.
 */
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "dispatch.h"

/* Where every worker is full the request waits this long and asks again, up to half its latency target. */
#define FULL_PAUSE_MS 20
/* Sends that workers refuse do not run; this many are made at the most. */
#define REFUSED_SENDS_MAX 8
/* Runs at the same time. */
#define LIVE_MAX 2
/* A second run begins when the first takes this many times its worker's smoothed time, within these bounds.
 */
#define HEDGE_TIMES 3
#define HEDGE_MIN_US (60 * 1000)
#define HEDGE_TARGET_SHARE 0.5
/* A run that is silent for this many latency targets gives way to a third one. */
#define ABANDON_TARGETS 2
#define ABANDON_MIN_US (250 * 1000)
/* Timers count whole milliseconds. */
#define TIMER_ROUNDING_US 2000

/* One run at one worker. */
typedef struct
{
  QuinceForward *forward;
  QuinceHttpExchange *exchange;
  char *worker_id;
  gint64 started_us;
} Attempt;

struct _QuinceForward
{
  /* All fields belong to the context that started it. */
  QuinceDispatch dispatch;
  void (*done) (const QuinceForwardResult *, gpointer);
  gpointer user_data;
  gboolean repeatable;

  GPtrArray *live; /* Attempt, owned: in progress, the oldest first */
  GSource *timer;  /* next attempt, or another one beside those in progress */
  guint runs;      /* attempts that may have run, those in progress too */
  gint64 began_us; /* when the first of them was sent; 0: there is none */
  guint refused_sends;
  guint failed_runs;
  const char *cause;
  guint retry_after_ms; /* 0: not known */
};

static void try_worker (QuinceForward *forward);

/* ---- Attempts --------------------------------------------------------- */

/* Cancels it where it is in progress. */
static void
attempt_free (gpointer data)
{
  Attempt *attempt = data;
  quince_dispatch_release_worker (&attempt->forward->dispatch, attempt->worker_id);
  if (attempt->exchange != NULL)
    quince_http_exchange_cancel (attempt->exchange);
  g_free (attempt->worker_id);
  g_free (attempt);
}

static void
note_worker (const Attempt *attempt, gboolean good)
{
  QuinceWorker *worker = quince_dispatch_find (&attempt->forward->dispatch, attempt->worker_id);
  gint64 now = quince_now_us ();
  if (worker != NULL && good)
    quince_worker_note_answer (worker, now - attempt->started_us);
  else if (worker != NULL)
    quince_worker_note_failure (worker, now);
}

static void
count_attempt (const char *outcome)
{
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_forward_attempts_total", labels, 1);
}

/* ---- Ends ------------------------------------------------------------- */

static void
forward_free (QuinceForward *forward)
{
  quince_source_clear (&forward->timer);
  g_ptr_array_unref (forward->live);
  quince_dispatch_clear (&forward->dispatch);
  g_free (forward);
}

gint64
quince_forward_get_began_us (const QuinceForward *forward)
{
  return forward->began_us;
}

void
quince_forward_cancel (QuinceForward *forward)
{
  forward_free (forward);
}

static void
forward_end (QuinceForward *forward, QuinceForwardResult *result)
{
  result->attempts = forward->dispatch.attempts;
  result->failed_runs = forward->failed_runs;
  result->cause = forward->cause;
  result->began_us = forward->began_us;
  result->retry_after_ms = forward->retry_after_ms;
  forward->done (result, forward->user_data);
  forward_free (forward);
}

static void
forward_hold (QuinceForward *forward)
{
  QuinceForwardResult result = { .outcome = QUINCE_FORWARD_HELD };
  forward->cause = "request_held";
  forward_end (forward, &result);
}

/* Its end would leave too few workers of its service.  Its caller is told at once: the workers that ended are
 * back after seconds, longer than a lookup may wait. */
static void
forward_spare (QuinceForward *forward, gint64 now_us)
{
  QuinceForwardResult result
      = { .outcome = forward->runs > 0 ? QUINCE_FORWARD_FAILED : QUINCE_FORWARD_REFUSED };
  if (forward->runs == 0)
    forward->retry_after_ms = quince_dispatch_get_wait_ms (&forward->dispatch, now_us);
  forward->cause = "workers_spared";
  forward_end (forward, &result);
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
try_later (QuinceForward *forward, gint64 wait_us)
{
  quince_source_clear (&forward->timer);
  forward->timer = quince_timer_add ((guint)(wait_us / 1000), timer_over, forward);
}

static gboolean
may_run_again (const QuinceForward *forward)
{
  return forward->runs == 0 || (forward->repeatable && forward->runs < forward->dispatch.max_attempts);
}

static void
drop_attempt (Attempt *attempt)
{
  attempt->exchange = NULL;
  g_ptr_array_remove (attempt->forward->live, attempt);
}

/* The attempt gave no answer that counts.  @ran: it may have run */
static void
attempt_over (Attempt *attempt, gboolean ran, const char *cause)
{
  QuinceForward *forward = attempt->forward;
  count_attempt (cause);
  quince_log_info ("request_retried",
                   "request=%s worker=%s cause=%s attempts=%u runs=%u took_ms=%" G_GINT64_FORMAT,
                   forward->dispatch.request_id, attempt->worker_id, cause, forward->dispatch.attempts,
                   forward->runs, (quince_now_us () - attempt->started_us) / 1000);
  forward->cause = cause;
  drop_attempt (attempt);
  quince_dispatch_over (&forward->dispatch);
  if (!ran)
    {
      forward->runs--;
      forward->refused_sends++;
      if (forward->runs == 0)
        forward->began_us = 0;
    }
  gint64 now = quince_now_us ();
  if (forward->live->len > 0)
    return; /* another run goes on */
  if (forward->refused_sends < REFUSED_SENDS_MAX && may_run_again (forward)
      && now < forward->dispatch.give_up_us)
    try_later (forward, 0);
  else
    forward_fail (forward, now >= forward->dispatch.give_up_us - TIMER_ROUNDING_US);
}

static void
attempt_answered (Attempt *attempt, QuinceHttpExchange *exchange, const char *signature)
{
  QuinceForward *forward = attempt->forward;
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  gboolean good = head->status >= 200 && head->status < 300;
  note_worker (attempt, good);
  quince_dispatch_answered (&forward->dispatch);
  forward->failed_runs += head->status == 500;
  gboolean another
      = forward->live->len > 1 || (forward->repeatable && forward->runs < forward->dispatch.max_attempts);
  if (head->status >= 500 && another)
    {
      attempt_over (attempt, TRUE, "worker_failed");
      return;
    }
  count_attempt ("answered");
  g_autofree char *worker = g_strdup (attempt->worker_id);
  QuinceForwardResult result = { .outcome = QUINCE_FORWARD_ANSWERED,
                                 .head = head,
                                 .body = quince_http_exchange_get_body (exchange),
                                 .signature = signature,
                                 .worker = worker,
                                 .worker_us = quince_now_us () - attempt->started_us };
  drop_attempt (attempt);
  forward_end (forward, &result);
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Attempt *attempt = data;
  QuinceForward *forward = attempt->forward;
  if (outcome != QUINCE_HTTP_ANSWERED)
    {
      gboolean ran = outcome != QUINCE_HTTP_NOT_SENT;
      gboolean silent = ran && error->code == QUINCE_HTTP1_ERROR_TIMEOUT;
      note_worker (attempt, FALSE);
      if (ran && !silent)
        quince_dispatch_lost (&forward->dispatch, attempt->worker_id);
      attempt_over (attempt, ran, !ran ? "no_connection" : silent ? "worker_silent" : "connection_lost");
      return;
    }
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  const char *request_id = NULL;
  const char *signature = NULL;
  gboolean refused = FALSE;
  forward->dispatch.dialect->read_answer (head, &request_id, &signature, &refused);
  gboolean good = head->status >= 200 && head->status < 300;
  if (g_strcmp0 (request_id, forward->dispatch.request_id) != 0 && (good || request_id != NULL))
    {
      note_worker (attempt, FALSE);
      attempt_over (attempt, TRUE, "wrong_answer");
    }
  else if (refused)
    attempt_over (attempt, FALSE, head->status == 421 ? "other_worker" : "worker_refused");
  else if (good && signature == NULL)
    attempt_over (attempt, TRUE, "unsigned_answer");
  else
    attempt_answered (attempt, exchange, signature);
}

/* An answer to another request: whatever follows on this connection belongs to nobody. */
static void
exchange_head (QuinceHttpExchange *exchange, const QuinceHttpHead *head, gpointer data)
{
  Attempt *attempt = data;
  const char *request_id = NULL;
  const char *signature = NULL;
  gboolean refused = FALSE;
  attempt->forward->dispatch.dialect->read_answer (head, &request_id, &signature, &refused);
  if (request_id != NULL && !g_str_equal (request_id, attempt->forward->dispatch.request_id))
    quince_http_exchange_distrust (exchange);
}

static const QuinceHttpExchangeCallbacks exchange_callbacks
    = { .head = exchange_head, .done = exchange_done };

/* ---- An attempt ------------------------------------------------------- */

/* When another run begins beside the one on @worker. */
static gint64
hedge_after (const QuinceForward *forward, const QuinceWorker *worker)
{
  gint64 most
      = MAX ((gint64)(HEDGE_TARGET_SHARE * (double)forward->dispatch.target_latency_us), HEDGE_MIN_US);
  gint64 usual = worker->service_us > 0 ? (gint64)HEDGE_TIMES * worker->service_us : most;
  return CLAMP (usual, HEDGE_MIN_US, most);
}

static void
send_to (QuinceForward *forward, QuinceWorker *worker, gint64 now_us)
{
  QuinceDispatch *dispatch = &forward->dispatch;
  g_autoptr (QuinceHttpHeaders) headers = quince_dispatch_begin (dispatch, worker, now_us);
  const QuinceHttpRequest request = { .method = dispatch->method,
                                      .target = dispatch->target,
                                      .headers = headers,
                                      .body = dispatch->body,
                                      .timeout_us = dispatch->give_up_us - now_us,
                                      .send_by_us = worker->send_by_us };
  Attempt *attempt = g_new0 (Attempt, 1);
  attempt->forward = forward;
  attempt->worker_id = g_strdup (worker->id);
  attempt->started_us = now_us;
  g_ptr_array_add (forward->live, attempt);
  forward->runs++;
  if (forward->began_us == 0)
    forward->began_us = now_us;
  QuinceHttpPool *pool = quince_backends_get_pool (dispatch->backends, worker);
  attempt->exchange = quince_http_pool_start (pool, &request, &exchange_callbacks, attempt);
  if (may_run_again (forward) && forward->repeatable && quince_dispatch_may_hedge (dispatch, now_us))
    try_later (forward, hedge_after (forward, worker));
}

/* Makes the oldest run give way once it has been silent for long. Returns: %FALSE when it is too early for
 * that */
static gboolean
abandon_oldest (QuinceForward *forward, gint64 now_us)
{
  Attempt *oldest = forward->live->pdata[0];
  gint64 patience = MAX (ABANDON_TARGETS * forward->dispatch.target_latency_us, ABANDON_MIN_US);
  gint64 left = oldest->started_us + patience - now_us;
  if (left > 0)
    {
      try_later (forward, left + TIMER_ROUNDING_US);
      return FALSE;
    }
  note_worker (oldest, FALSE);
  count_attempt ("abandoned");
  g_ptr_array_remove_index (forward->live, 0);
  return TRUE;
}

/* All workers may be tried again, but for those that have the request now. */
static void
forget_tried (QuinceForward *forward)
{
  g_hash_table_remove_all (forward->dispatch.avoid);
  for (guint i = 0; i < forward->live->len; i++)
    g_hash_table_add (forward->dispatch.avoid, g_strdup (((Attempt *)forward->live->pdata[i])->worker_id));
}

/* No worker is left: all were tried, or none is there, or all are full. */
static void
no_choice (QuinceForward *forward, QuinceBackendOutcome outcome, gint64 now_us)
{
  if (forward->live->len > 0)
    {
      /* Nobody else may take it: what runs in an evacuated zone ends there. */
      if (outcome == QUINCE_BACKEND_EVACUATED)
        return;
      /* The run in progress is not given up for a place that there is not yet. */
      if (outcome == QUINCE_BACKEND_COLD || outcome == QUINCE_BACKEND_ZONES_UNKNOWN)
        {
          try_later (forward, FULL_PAUSE_MS * 1000);
          return;
        }
      if (!abandon_oldest (forward, now_us))
        return;
      forget_tried (forward);
      try_later (forward, 0);
      return;
    }
  if (forward->cause == NULL || outcome == QUINCE_BACKEND_EVACUATED)
    forward->cause = quince_dispatch_cause (outcome);
  if (outcome == QUINCE_BACKEND_COLD && forward->runs == 0
      && !quince_dispatch_has_room_in_time (&forward->dispatch, now_us, &forward->retry_after_ms))
    {
      forward_fail (forward, FALSE);
      return;
    }
  gboolean tried_any = g_hash_table_size (forward->dispatch.avoid) > 0;
  /* The others may have room by now, and so may those that refused. */
  forget_tried (forward);
  gboolean may_change = outcome == QUINCE_BACKEND_FULL || outcome == QUINCE_BACKEND_COLD
                        || outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  if ((tried_any || may_change)
      && (quince_dispatch_may_wait (&forward->dispatch, now_us) || forward->runs > 0))
    try_later (forward, FULL_PAUSE_MS * 1000);
  else
    forward_fail (forward, FALSE);
}

/* Returns: %FALSE when no attempt is to be made now. */
static gboolean
is_admitted (QuinceForward *forward, gint64 now_us)
{
  if (forward->live->len > 0)
    return quince_dispatch_may_hedge (&forward->dispatch, now_us);
  switch (quince_dispatch_request_admission (&forward->dispatch, now_us))
    {
    case QUINCE_ADMISSION_HELD:
      forward_hold (forward);
      return FALSE;
    case QUINCE_ADMISSION_PROTECTED:
      forward_spare (forward, now_us);
      return FALSE;
    case QUINCE_ADMISSION_UNSURE:
      forward->cause = "no_permit";
      forward_fail (forward, FALSE);
      return FALSE;
    case QUINCE_ADMISSION_WAIT:
      try_later (forward, QUINCE_ADMISSION_RETRY_MS * 1000);
      return FALSE;
    case QUINCE_ADMISSION_GRANTED:
    case QUINCE_ADMISSION_CAREFUL:
    case QUINCE_ADMISSION_PERMIT:
    default:
      return TRUE;
    }
}

static void
try_worker (QuinceForward *forward)
{
  gint64 now = quince_now_us ();
  if (forward->live->len == 0 && now >= forward->dispatch.give_up_us)
    {
      forward_fail (forward, TRUE);
      return;
    }
  if (now >= forward->dispatch.give_up_us || !may_run_again (forward))
    return;
  if (forward->live->len >= LIVE_MAX && !abandon_oldest (forward, now))
    return;
  if (!is_admitted (forward, now))
    return;
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome
      = quince_dispatch_choose (&forward->dispatch, now, !forward->repeatable, &worker);
  if (worker != NULL)
    {
      send_to (forward, worker, now);
      return;
    }
  quince_dispatch_over (&forward->dispatch);
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
  quince_dispatch_init (&forward->dispatch, backends, dialect, request);
  forward->done = done;
  forward->user_data = user_data;
  forward->repeatable = request->repeatable;
  forward->live = g_ptr_array_new_with_free_func (attempt_free);
  try_later (forward, 0);
  return forward;
}
