/*
 * extra-attempts.c: applies the attempt budget of a service to the hedges and retries of one request.
 */
#include "extra-attempts.h"

#include "core/decisions/hedge.h"
#include "core/routing/worker-response.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

/* Time until a denied hedge is checked again, us: requests that arrive meanwhile add tokens, one
 * for seven first attempts. */
#define DENIED_CHECK_US (50 * 1000)

/* Returns: (nullable): the budget of the request's service, or %NULL if it has none */
static QuinceAttemptBudget *
get_budget (QuinceDispatch *dispatch)
{
  return dispatch->mixed_targets ? quince_backends_get_attempt_budget (dispatch->backends, dispatch->service)
                                 : NULL;
}

static void
count_metric (const QuinceDispatch *dispatch, const char *name, QuinceExtraAttempt extra)
{
  g_autofree char *labels = g_strdup_printf ("service=\"%s\",route=\"%s\",kind=\"%s\"", dispatch->service,
                                             dispatch->kind, extra == QUINCE_EXTRA_HEDGE ? "hedge" : "retry");
  quince_metric_add (name, labels, 1);
}

gint64
quince_extra_get_hedge_delay_us (QuinceDispatch *dispatch, const QuinceWorker *worker)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return quince_hedge_delay_us (dispatch->target_latency_us, worker->service_time_us);
  const QuinceRouteTimes *times = quince_attempt_budget_get_times (budget);
  return quince_hedge_route_delay_us (
      dispatch->target_latency_us, quince_route_times_get_smoothed_us (worker->route_times, dispatch->kind),
      quince_route_times_get_usual_us (times, dispatch->kind));
}

/* Records at the worker that @attempt is late.  Returns the slowdown so far. */
static double
record_late (QuinceDispatch *dispatch,
             QuinceAttemptBudget *budget,
             const QuinceAttemptRef *attempt,
             gint64 now_us)
{
  double slowdown = quince_route_times_get_slowdown (quince_attempt_budget_get_times (budget), dispatch->kind,
                                                     now_us - attempt->started_us);
  QuinceWorker *worker = quince_dispatch_find_worker (dispatch, attempt->worker);
  if (worker != NULL)
    quince_worker_record_late (worker, now_us, slowdown);
  return slowdown;
}

static void
record_denied (QuinceDispatch *dispatch, QuinceAttemptBudget *budget, gint64 now_us)
{
  guint n_denied = 0;
  count_metric (dispatch, "quince_forward_denied_total", QUINCE_EXTRA_HEDGE);
  if (quince_attempt_budget_count_denied (budget, now_us, &n_denied))
    quince_log_info ("hedge_denied", "service=%s route=%s request=%s denied=%u tokens=%.1f",
                     dispatch->service, dispatch->kind, dispatch->request_id, n_denied,
                     quince_attempt_budget_get_tokens (budget));
}

gboolean
quince_extra_may_hedge (QuinceDispatch *dispatch,
                        const QuinceAttemptRef *newest,
                        gint64 now_us,
                        gint64 *wait_us)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return TRUE;
  double slowdown = record_late (dispatch, budget, newest, now_us);
  if (!dispatch->attempt_state.is_late)
    quince_attempt_budget_record_response (budget, now_us, slowdown);
  dispatch->attempt_state.is_late = TRUE;
  if (quince_attempt_budget_may_take (budget, now_us, QUINCE_EXTRA_HEDGE, dispatch->is_reward))
    return TRUE;
  const QuinceRetryState *retry = &dispatch->retry;
  gint64 lost_after_us = quince_attempt_budget_lost_after_us (
      budget, now_us, dispatch->kind, dispatch->target_latency_us, retry->give_up_us - newest->started_us,
      retry->max_attempts - retry->runs + 1);
  gint64 remaining_us = newest->started_us + lost_after_us - now_us;
  if (remaining_us <= 0)
    {
      if (dispatch->attempt_state.is_denied)
        quince_attempt_budget_record_unhedged (budget, now_us, TRUE);
      /* Each attempt counts once, as lost or as answered. */
      dispatch->attempt_state.is_denied = FALSE;
      return TRUE;
    }
  if (!dispatch->attempt_state.is_denied)
    record_denied (dispatch, budget, now_us);
  dispatch->attempt_state.is_denied = TRUE;
  *wait_us = MIN (DENIED_CHECK_US, remaining_us);
  return FALSE;
}

gint64
quince_extra_get_retry_pause_us (QuinceDispatch *dispatch, gint64 now_us)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return 0;
  guint retries = dispatch->attempt_state.retries++;
  if (quince_attempt_budget_may_take (budget, now_us, QUINCE_EXTRA_RETRY, dispatch->is_reward))
    return 0;
  count_metric (dispatch, "quince_forward_denied_total", QUINCE_EXTRA_RETRY);
  return quince_attempt_budget_retry_pause_us (budget, dispatch->kind, retries,
                                               dispatch->retry.give_up_us - now_us);
}

gboolean
quince_extra_record_send (QuinceDispatch *dispatch, gboolean is_hedge)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return FALSE;
  gboolean is_first_send = !dispatch->attempt_state.first_sent;
  dispatch->attempt_state.first_sent = TRUE;
  dispatch->attempt_state.is_late = FALSE;
  dispatch->attempt_state.is_denied = FALSE;
  if (is_first_send && dispatch->attempt_state.earlier_runs == 0)
    {
      quince_attempt_budget_add_first (budget);
      return FALSE;
    }
  if (!is_hedge && dispatch->retry.runs + dispatch->attempt_state.earlier_runs == 0)
    return FALSE; /* all earlier sends were refused */
  quince_attempt_budget_take (budget);
  count_metric (dispatch, "quince_forward_extra_total", is_hedge ? QUINCE_EXTRA_HEDGE : QUINCE_EXTRA_RETRY);
  return TRUE;
}

void
quince_extra_record_answer (QuinceDispatch *dispatch,
                            const QuinceWorkerRef *ref,
                            gint64 now_us,
                            gboolean was_refused)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return;
  quince_attempt_budget_record_send (budget, now_us, was_refused);
  QuinceWorker *worker = quince_dispatch_find_worker (dispatch, ref);
  if (was_refused && worker != NULL && !worker->draining)
    quince_worker_record_refusal (worker, now_us);
}

void
quince_extra_return_token (QuinceDispatch *dispatch)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget != NULL)
    quince_attempt_budget_return (budget);
}

void
quince_extra_record_response (QuinceDispatch *dispatch,
                              QuinceWorker *worker,
                              gint64 now_us,
                              gint64 started_us)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget == NULL)
    return;
  QuinceRouteTimes *times = quince_attempt_budget_get_times (budget);
  gint64 elapsed_us = now_us - started_us;
  double slowdown = quince_route_times_get_slowdown (times, dispatch->kind, elapsed_us);
  quince_route_times_record (times, dispatch->kind, elapsed_us);
  quince_worker_record_route_response (worker, now_us, dispatch->kind, elapsed_us, slowdown);
  if (!dispatch->attempt_state.is_late)
    quince_attempt_budget_record_response (budget, now_us, slowdown);
  if (dispatch->attempt_state.is_denied)
    quince_attempt_budget_record_unhedged (budget, now_us, FALSE);
}

void
quince_extra_record_cancelled (QuinceDispatch *dispatch, const QuinceAttemptRef *attempt, gint64 now_us)
{
  QuinceAttemptBudget *budget = get_budget (dispatch);
  if (budget != NULL)
    record_late (dispatch, budget, attempt, now_us);
}
