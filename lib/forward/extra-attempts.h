/*
 * extra-attempts.h: applies the attempt budget of a service to the hedges and retries of one request, and
 * logs and counts denied hedges.
 *
 * Has no effect on requests whose service serves routes of one latency target only (QuinceForwardRequest,
 * mixed_targets): they are hedged and retried without a budget.
 */
#pragma once

#include "dispatch.h"

/* An attempt that is in flight or has ended. */
typedef struct
{
  const QuinceWorkerRef *worker;
  gint64 started_us;
} QuinceAttemptRef;

/* Returns when an attempt at @worker is hedged, us from its start. */
gint64 quince_extra_get_hedge_delay_us (QuinceDispatch *dispatch, const QuinceWorker *worker);
/**
 * quince_extra_may_hedge:
 * @newest: the attempt that started last, in flight
 * @wait_us: (out): time until the next check, us; valid if this returns %FALSE
 *
 * Records that @newest is late at its worker.  Decides whether another attempt may start beside it or instead
 * of the oldest one: if the budget has a token, or if @newest counts as lost.
 */
gboolean quince_extra_may_hedge (QuinceDispatch *dispatch,
                                 const QuinceAttemptRef *newest,
                                 gint64 now_us,
                                 gint64 *wait_us);
/* Returns the pause before the retry of a request whose last attempt may have run and failed, us; 0 if the
 * budget has a token. */
gint64 quince_extra_get_retry_pause_us (QuinceDispatch *dispatch, gint64 now_us);
/* Records an attempt that is being sent.  To be called before it is counted in the runs of the retry state.
 * @is_hedge: another attempt is in flight.  Returns whether it took a token. */
gboolean quince_extra_record_send (QuinceDispatch *dispatch, gboolean is_hedge);
/* Records that a worker answered an attempt.  @was_refused: it refused to run it since it was full */
void quince_extra_record_answer (QuinceDispatch *dispatch,
                                 const QuinceWorkerRef *ref,
                                 gint64 now_us,
                                 gboolean was_refused);
/* Returns the token of an attempt that did not run. */
void quince_extra_return_token (QuinceDispatch *dispatch);
/* Records a response of @worker. */
void quince_extra_record_response (QuinceDispatch *dispatch,
                                   QuinceWorker *worker,
                                   gint64 now_us,
                                   gint64 started_us);
/* Records that @attempt is cancelled without a response, since another attempt was answered. */
void quince_extra_record_cancelled (QuinceDispatch *dispatch, const QuinceAttemptRef *attempt, gint64 now_us);
