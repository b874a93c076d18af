/*
 * forward.c: attempts of one lookup or reward call at workers.
 *
 * A repeatable request is hedged: if its worker is slow, a second attempt starts at another worker.  The
 * first valid answer is used, and the other attempt is cancelled.  The rules are in core/decisions: retry.h,
 * hedge.h, attempt-budget.h and no-worker.h.
 */
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "core/decisions/hedge.h"

#include "forward/retry-timer.h"

#include "extra-attempts.h"

/* Margin for the rounding of timers to whole milliseconds, us. */
#define TIMER_ROUNDING_US 2000

/* An attempt in flight. */
typedef struct
{
  QuinceForward *forward;
  QuinceHttpExchange *exchange;
  QuinceWorkerRef worker;
  gint64 started_us;
  gboolean took_token; /* of the attempt budget */
} Attempt;

struct _QuinceForward
{
  /* All fields belong to the context that started it. */
  QuinceDispatch dispatch;
  void (*done) (const QuinceForwardResult *, gpointer);
  gpointer user_data;

  GPtrArray *in_flight;   /* Attempt, owned; the oldest first */
  QuinceRetryTimer timer; /* next attempt or hedge */
  gint64 first_run_us;    /* start of the first attempt, monotonic; 0: no attempt may have run */
  guint failed_runs;
};

/* ---- Attempts --------------------------------------------------------- */

/* Frees the attempt, and cancels its exchange unless that is complete. */
static void
attempt_free (gpointer data)
{
  Attempt *attempt = data;
  quince_dispatch_release_worker (&attempt->forward->dispatch, &attempt->worker);
  if (attempt->exchange != NULL)
    quince_http_exchange_cancel (attempt->exchange);
  quince_worker_ref_clear (&attempt->worker);
  g_free (attempt);
}

static void
record_attempt_result (const Attempt *attempt, gboolean succeeded)
{
  QuinceWorker *worker = quince_dispatch_find_worker (&attempt->forward->dispatch, &attempt->worker);
  gint64 now = quince_now_us ();
  quince_dispatch_count_late_time (&attempt->forward->dispatch, worker, now - attempt->started_us);
  if (worker != NULL && succeeded)
    {
      quince_worker_record_response (worker, now - attempt->started_us);
      quince_extra_record_response (&attempt->forward->dispatch, worker, now, attempt->started_us);
    }
  else if (worker != NULL)
    quince_worker_record_failure (worker, now);
}

static void
count_attempt (const char *outcome)
{
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_forward_attempts_total", labels, 1);
}

/* ---- Completion ------------------------------------------------------- */

static void
forward_free (QuinceForward *forward)
{
  quince_retry_timer_clear (&forward->timer);
  g_ptr_array_unref (forward->in_flight);
  quince_dispatch_clear (&forward->dispatch);
  g_free (forward);
}

gint64
quince_forward_get_first_run_us (const QuinceForward *forward)
{
  return forward->first_run_us;
}

void
quince_forward_cancel (QuinceForward *forward)
{
  forward_free (forward);
}

static void
forward_end (QuinceForward *forward, QuinceForwardResult result)
{
  result.attempts = forward->dispatch.attempts;
  result.failed_runs = forward->failed_runs;
  result.cause = forward->dispatch.cause;
  result.first_run_us = forward->first_run_us;
  result.retry_after_ms = forward->dispatch.retry_after_ms;
  forward->done (&result, forward->user_data);
  forward_free (forward);
}

static void
forward_fail (QuinceForward *forward, gboolean timed_out)
{
  QuinceForwardResult result
      = { .outcome = quince_dispatch_give_up (forward->dispatch.retry.runs > 0, timed_out) };
  forward_end (forward, result);
}

/* ---- End of an attempt ------------------------------------------------ */

static void
schedule_attempt (QuinceForward *forward, gint64 wait_us)
{
  quince_retry_timer_set (&forward->timer, (guint)(wait_us / 1000));
}

static QuinceAttemptRef
get_attempt_ref (const Attempt *attempt)
{
  return (QuinceAttemptRef){ .worker = &attempt->worker, .started_us = attempt->started_us };
}

static void
remove_attempt (Attempt *attempt)
{
  attempt->exchange = NULL;
  g_ptr_array_remove (attempt->forward->in_flight, attempt);
}

/* Frees an attempt without a valid answer.  Then retries or fails the request, unless another attempt is in
 * flight.  @may_have_run: the worker may have run the request */
static void
attempt_failed (Attempt *attempt, gboolean may_have_run, const char *cause)
{
  QuinceForward *forward = attempt->forward;
  count_attempt (cause);
  forward->dispatch.cause = cause;
  quince_dispatch_record_failed_attempt (&forward->dispatch, &attempt->worker, attempt->started_us);
  if (!may_have_run && attempt->took_token)
    quince_extra_return_token (&forward->dispatch);
  remove_attempt (attempt);
  quince_dispatch_return_permit (&forward->dispatch);
  if (!may_have_run)
    {
      forward->dispatch.retry.runs--;
      forward->dispatch.retry.refused_sends++;
      if (forward->dispatch.retry.runs == 0)
        forward->first_run_us = 0;
    }
  gint64 now = quince_now_us ();
  if (forward->in_flight->len > 0)
    {
      /* A refused hedge may have been the last one allowed, for which no timer is set. */
      if (!may_have_run && forward->dispatch.mixed_targets && forward->timer.timer == NULL)
        schedule_attempt (forward, QUINCE_NO_WORKER_PAUSE_US);
      return;
    }
  if (quince_retry_may_retry (&forward->dispatch.retry, now))
    schedule_attempt (forward, may_have_run ? quince_extra_get_retry_pause_us (&forward->dispatch, now) : 0);
  else
    forward_fail (forward, now >= forward->dispatch.retry.give_up_us - TIMER_ROUNDING_US);
}

/* Records the attempts in flight other than @answered as late.  They are cancelled, so that their response
 * times remain unknown. */
static void
record_cancelled_attempts (QuinceForward *forward, const Attempt *answered)
{
  for (guint i = 0; i < forward->in_flight->len; i++)
    {
      const QuinceAttemptRef other = get_attempt_ref (forward->in_flight->pdata[i]);
      if (forward->in_flight->pdata[i] != answered)
        quince_extra_record_cancelled (&forward->dispatch, &other, quince_now_us ());
    }
}

static void
attempt_answered (Attempt *attempt, QuinceHttpExchange *exchange, const char *signature)
{
  QuinceForward *forward = attempt->forward;
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  gboolean succeeded = head->status >= 200 && head->status < 300;
  record_attempt_result (attempt, succeeded);
  quince_extra_record_answer (&forward->dispatch, &attempt->worker, quince_now_us (), FALSE);
  quince_dispatch_handle_answer (&forward->dispatch);
  forward->failed_runs += head->status == 500;
  gboolean has_alternative = forward->in_flight->len > 1 || quince_retry_may_run (&forward->dispatch.retry);
  if (head->status >= 500 && has_alternative)
    {
      attempt_failed (attempt, TRUE, "worker_failed");
      return;
    }
  count_attempt ("answered");
  record_cancelled_attempts (forward, attempt);
  g_autofree char *worker_id = g_strdup (attempt->worker.id);
  QuinceForwardResult result = { .outcome = QUINCE_FORWARD_ANSWERED,
                                 .head = head,
                                 .body = quince_http_exchange_get_body (exchange),
                                 .signature = signature,
                                 .worker_id = worker_id,
                                 .attempt_duration_us = quince_now_us () - attempt->started_us };
  remove_attempt (attempt);
  forward_end (forward, result);
}

/* Handles the end of an attempt whose answer did not arrive. */
static void
handle_no_answer (Attempt *attempt, QuinceHttpOutcome outcome, const GError *error)
{
  const char *cause = quince_dispatch_get_cause (outcome, error);
  record_attempt_result (attempt, FALSE);
  if (quince_dispatch_may_be_loss (outcome, error))
    quince_dispatch_handle_connection_loss (&attempt->forward->dispatch, &attempt->worker);
  attempt_failed (attempt, outcome != QUINCE_HTTP_NOT_SENT, cause);
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Attempt *attempt = data;
  QuinceForward *forward = attempt->forward;
  if (outcome != QUINCE_HTTP_ANSWERED)
    {
      handle_no_answer (attempt, outcome, error);
      return;
    }
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  const char *signature = NULL;
  gboolean refused = FALSE;
  forward->dispatch.codec->read_answer (head, &signature, &refused);
  gboolean succeeded = head->status >= 200 && head->status < 300;
  if (refused)
    {
      quince_extra_record_answer (&forward->dispatch, &attempt->worker, quince_now_us (),
                                  head->status != 421);
      attempt_failed (attempt, FALSE, head->status == 421 ? "other_worker" : "worker_refused");
    }
  else if (succeeded && signature == NULL)
    attempt_failed (attempt, TRUE, "unsigned_answer");
  else
    attempt_answered (attempt, exchange, signature);
}

static const QuinceHttpExchangeCallbacks exchange_callbacks = { .done = exchange_done };

/* ---- Start of an attempt ---------------------------------------------- */

static void
send_to (QuinceForward *forward, QuinceWorker *worker, gint64 now_us)
{
  QuinceDispatch *dispatch = &forward->dispatch;
  g_autoptr (QuinceHttpHeaders) headers = quince_dispatch_begin_attempt (dispatch, worker, now_us);
  const QuinceHttpRequest request = { .method = dispatch->method,
                                      .target = dispatch->target,
                                      .headers = headers,
                                      .body = dispatch->body,
                                      .timeout_us = dispatch->retry.give_up_us - now_us,
                                      .send_by_us = worker->send_by_us };
  Attempt *attempt = g_new0 (Attempt, 1);
  attempt->forward = forward;
  quince_worker_ref_set (&attempt->worker, worker, now_us);
  attempt->started_us = now_us;
  attempt->took_token = quince_extra_record_send (dispatch, forward->in_flight->len > 0);
  g_ptr_array_add (forward->in_flight, attempt);
  if (forward->in_flight->len > 1)
    quince_dispatch_count_hedge (dispatch, worker);
  forward->dispatch.retry.runs++;
  if (forward->first_run_us == 0)
    forward->first_run_us = now_us;
  QuinceHttpPool *pool = quince_backends_get_pool (dispatch->backends, worker);
  attempt->exchange = quince_http_pool_start (pool, &request, &exchange_callbacks, attempt);
  if (quince_hedge_is_allowed (&dispatch->retry) && quince_dispatch_may_hedge (dispatch, now_us))
    schedule_attempt (forward, quince_extra_get_hedge_delay_us (dispatch, worker));
}

static gint64
get_oldest_remaining_us (const QuinceForward *forward, gint64 now_us)
{
  const Attempt *oldest = forward->in_flight->pdata[0];
  return oldest->started_us + quince_hedge_attempt_timeout_us (forward->dispatch.target_latency_us) - now_us;
}

/* Returns whether the attempt budget allows an attempt beside the one in flight, or instead of the oldest one
 * once that has timed out.  If not, sets the timer for a later check. */
static gboolean
has_budget (QuinceForward *forward, gint64 now_us)
{
  guint in_flight = forward->in_flight->len;
  if (in_flight == 0
      || (in_flight >= QUINCE_HEDGE_IN_FLIGHT_MAX && get_oldest_remaining_us (forward, now_us) > 0))
    return TRUE;
  const QuinceAttemptRef newest = get_attempt_ref (forward->in_flight->pdata[in_flight - 1]);
  gint64 wait_us = 0;
  if (quince_extra_may_hedge (&forward->dispatch, &newest, now_us, &wait_us))
    return TRUE;
  schedule_attempt (forward, wait_us + TIMER_ROUNDING_US);
  return FALSE;
}

/* Cancels the oldest attempt if it has timed out.  Otherwise, or if bytes of its answer are still unread,
 * sets the timer for a later check.  Returns whether the attempt was cancelled. */
static gboolean
abandon_oldest (QuinceForward *forward, gint64 now_us)
{
  Attempt *oldest = forward->in_flight->pdata[0];
  gint64 remaining_us = get_oldest_remaining_us (forward, now_us);
  if (remaining_us > 0)
    {
      schedule_attempt (forward, remaining_us + TIMER_ROUNDING_US);
      return FALSE;
    }
  if (quince_http_exchange_defer_timeout (oldest->exchange))
    {
      schedule_attempt (forward, QUINCE_TIMEOUT_DEFERRAL_MS * 1000);
      return FALSE;
    }
  record_attempt_result (oldest, FALSE);
  count_attempt ("abandoned");
  g_ptr_array_remove_index (forward->in_flight, 0);
  return TRUE;
}

/* Allows attempts at all workers again, except those with an attempt in flight. */
static void
reset_tried_workers (QuinceForward *forward)
{
  g_hash_table_remove_all (forward->dispatch.avoid);
  for (guint i = 0; i < forward->in_flight->len; i++)
    g_hash_table_add (forward->dispatch.avoid,
                      g_strdup (((Attempt *)forward->in_flight->pdata[i])->worker.id));
}

/* Handles a hedge for which no worker was chosen, while an attempt is in flight. */
static void
handle_no_hedge_worker (QuinceForward *forward, QuinceBackendOutcome outcome, gint64 now_us)
{
  switch (quince_no_worker_for_hedge (outcome))
    {
    case QUINCE_HEDGE_FALLBACK_KEEP:
      break;
    case QUINCE_HEDGE_FALLBACK_WAIT:
      schedule_attempt (forward, QUINCE_NO_WORKER_PAUSE_US);
      break;
    case QUINCE_HEDGE_FALLBACK_ABANDON:
    default:
      if (!abandon_oldest (forward, now_us))
        break;
      reset_tried_workers (forward);
      schedule_attempt (forward, 0);
      break;
    }
}

/* Handles an attempt or hedge for which no worker was chosen. */
static void
handle_no_worker (QuinceForward *forward, QuinceBackendOutcome outcome, gint64 now_us)
{
  if (forward->in_flight->len > 0)
    {
      handle_no_hedge_worker (forward, outcome, now_us);
      return;
    }
  quince_dispatch_record_no_worker (&forward->dispatch, outcome);
  gboolean may_wait = quince_dispatch_may_wait_for_worker (&forward->dispatch, outcome, FALSE, FALSE, now_us);
  /* Workers that refused the request may have capacity by now. */
  reset_tried_workers (forward);
  if (may_wait)
    schedule_attempt (forward, QUINCE_NO_WORKER_PAUSE_US);
  else
    forward_fail (forward, FALSE);
}

/* Returns whether the attempt may start now.  If not, a hedge is skipped, and any other request is retried
 * later or ends. */
static gboolean
is_admitted (QuinceForward *forward, gint64 now_us)
{
  if (forward->in_flight->len > 0)
    return quince_dispatch_may_hedge (&forward->dispatch, now_us);
  guint wait_ms = 0;
  const QuinceForwardResult held = { .outcome = QUINCE_FORWARD_HELD };
  switch (quince_dispatch_admit (&forward->dispatch, FALSE, now_us, &wait_ms))
    {
    case QUINCE_DISPATCH_HELD:
      forward_end (forward, held);
      return FALSE;
    case QUINCE_DISPATCH_GIVE_UP:
      forward_fail (forward, FALSE);
      return FALSE;
    case QUINCE_DISPATCH_WAIT:
      schedule_attempt (forward, (gint64)wait_ms * 1000);
      return FALSE;
    case QUINCE_DISPATCH_SEND:
    default:
      return TRUE;
    }
}

static void
start_attempt (gpointer data)
{
  QuinceForward *forward = data;
  gint64 now = quince_now_us ();
  if (forward->in_flight->len == 0 && now >= forward->dispatch.retry.give_up_us)
    {
      forward_fail (forward, TRUE);
      return;
    }
  if (now >= forward->dispatch.retry.give_up_us || !quince_retry_may_run (&forward->dispatch.retry))
    return;
  if (!has_budget (forward, now))
    return;
  if (forward->in_flight->len >= QUINCE_HEDGE_IN_FLIGHT_MAX && !abandon_oldest (forward, now))
    return;
  if (!is_admitted (forward, now))
    return;
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = quince_dispatch_choose_worker (&forward->dispatch, now, &worker);
  if (worker != NULL)
    {
      send_to (forward, worker, now);
      return;
    }
  quince_dispatch_return_permit (&forward->dispatch);
  handle_no_worker (forward, outcome, now);
}

QuinceForward *
quince_forward_start (QuinceBackends *backends,
                      const QuinceForwardCodec *codec,
                      const QuinceForwardRequest *request,
                      void (*done) (const QuinceForwardResult *result, gpointer user_data),
                      gpointer user_data)
{
  QuinceForward *forward = g_new0 (QuinceForward, 1);
  quince_dispatch_init (&forward->dispatch, backends, codec, request, request->repeatable);
  forward->done = done;
  forward->user_data = user_data;
  forward->in_flight = g_ptr_array_new_with_free_func (attempt_free);
  quince_retry_timer_init (&forward->timer, start_attempt, forward);
  schedule_attempt (forward, 0);
  return forward;
}
