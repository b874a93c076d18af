/*
 * dispatch.h: state and functions that lookups (forward.c) and streams (stream.c) share: the request, its
 * attempts so far, the choice of a worker and the admission by the send guard.
 *
 * A dispatch owns a copy of the request and the permit of the attempt in flight.  The rules are in
 * core/decisions.
 */
#pragma once

#include "core/decisions/retry.h"
#include "forward/forward.h"
#include "forward/residency-lookup.h"
#include "core/request/request-digest.h"

/* State of a request for the attempt budget; see extra-attempts.h. */
typedef struct
{
  guint earlier_runs;  /* runs by earlier forwards of the same reward call */
  guint retries;       /* retries of attempts that may have run */
  gboolean first_sent; /* an attempt was sent; it may have been refused */
  gboolean is_late;    /* the attempt that started last was recorded as late */
  gboolean is_denied;  /* a hedge of the attempt that started last was denied */
} QuinceAttemptState;

typedef struct
{
  /* All fields belong to the forward or stream that contains it. */
  QuinceBackends *backends;
  const QuinceForwardCodec *codec;
  char *service;
  char *caller; /* NULL: unknown */
  char *tenant; /* tenant whose region rules apply; NULL: none */
  QuinceResidencyLookup residency_lookup;
  char *kind;
  char *method;
  char *target;
  char *request_id;
  QuinceHttpHeaders *headers;
  GBytes *body;
  QuinceRequestIdentity identity; /* valid if has_identity; computed on first use */
  gboolean has_identity;
  QuinceSendPermit permit;        /* of the attempt in flight */
  gint64 admission_wait_since_us; /* start of the wait for admission, monotonic; 0: not waiting */
  char **prompt;                  /* parts of the prompt, NULL-terminated; NULL: none */
  GHashTable *avoid;              /* ids of workers that already had an attempt */
  guint attempts;                 /* number of attempts started */
  QuinceRetryState retry;
  gboolean is_reward;
  gboolean mixed_targets; /* the service has an attempt budget */
  QuinceAttemptState attempt_state;
  const char *cause; /* why the last attempt failed or could not start, for logs and refusals; NULL: none */
  guint retry_after_ms;      /* time after which a refused caller may retry; 0: unknown */
  QuinceShare *route_share;  /* not owned; NULL: not counted */
  QuinceShare *tenant_share; /* not owned; NULL: no tenant */
  gboolean is_stream;        /* its target latency does not cover the whole answer */
  gint64 target_latency_us;
  gint64 started_us;
  gint64 deadline_us;
} QuinceDispatch;

/* Initializes @dispatch with a copy of @request.  The start time of the request is the current time.
 * @repeatable: the request may run more than once */
void quince_dispatch_init (QuinceDispatch *dispatch,
                           QuinceBackends *backends,
                           const QuinceForwardCodec *codec,
                           const QuinceForwardRequest *request,
                           gboolean repeatable);
void quince_dispatch_clear (QuinceDispatch *dispatch);
/* Chooses a worker for the next attempt.  Sets @worker to NULL unless the outcome is
 * QUINCE_BACKEND_CHOSEN. */
QuinceBackendOutcome
quince_dispatch_choose_worker (QuinceDispatch *dispatch, gint64 now_us, QuinceWorker **worker);
/* Records why no worker was chosen.  The cause of an earlier failed attempt is kept, unless @outcome is
 * QUINCE_BACKEND_EVACUATED. */
void quince_dispatch_record_no_worker (QuinceDispatch *dispatch, QuinceBackendOutcome outcome);
/* Returns whether a request without an attempt in flight waits for a worker; see no-worker.h.  Sets
 * retry_after_ms to the time until a cold worker may have capacity.  @response_started: the caller has
 * received the response head of a stream */
gboolean quince_dispatch_may_wait_for_worker (QuinceDispatch *dispatch,
                                              QuinceBackendOutcome outcome,
                                              gboolean is_stream,
                                              gboolean response_started,
                                              gint64 now_us);
/* Logs an attempt that failed or was refused, and counts a refusal by a full worker.  @since_us: start of the
 * attempt or, for a stream, time of its last data */
void quince_dispatch_record_failed_attempt (const QuinceDispatch *dispatch,
                                            const QuinceWorkerRef *ref,
                                            gint64 since_us);
/* Counts a hedge at @worker by route, tenant and zone. */
void quince_dispatch_count_hedge (const QuinceDispatch *dispatch, const QuinceWorker *worker);
/* Adds the time that an attempt at @worker took beyond the target latency of the route to the
 * metric of the zone.  @worker: (nullable): %NULL: not counted.  @took_us: duration of the attempt, us */
void
quince_dispatch_count_late_time (const QuinceDispatch *dispatch, const QuinceWorker *worker, gint64 took_us);
/* Returns the outcome of a request that is given up without an answer; see retry.h. */
QuinceForwardOutcome quince_dispatch_give_up (gboolean may_have_run, gboolean timed_out);
/* Counts an attempt at @worker, and reports it to the send guard.  Returns (transfer full): the headers of
 * the attempt */
QuinceHttpHeaders *
quince_dispatch_begin_attempt (QuinceDispatch *dispatch, QuinceWorker *worker, gint64 now_us);
/* Decrements the number of requests in flight at the worker of an attempt, if it is still listed and has not
 * started again. */
void quince_dispatch_release_worker (QuinceDispatch *dispatch, const QuinceWorkerRef *ref);
/* Returns the worker of an attempt, or NULL if it is no longer listed or has started again. */
QuinceWorker *quince_dispatch_find_worker (const QuinceDispatch *dispatch, const QuinceWorkerRef *ref);
/* Result of the admission of an attempt. */
typedef enum
{
  QUINCE_DISPATCH_SEND,    /* choose a worker and send the request               */
  QUINCE_DISPATCH_WAIT,    /* ask again later                                    */
  QUINCE_DISPATCH_GIVE_UP, /* refuse or fail                                     */
  QUINCE_DISPATCH_HELD,    /* the quarantine holds the request: do not send it   */
} QuinceDispatchAction;

/**
 * quince_dispatch_admit:
 * @response_started: the caller has received a part of the answer
 * @wait_ms: (out): pause before asking again, ms; valid for QUINCE_DISPATCH_WAIT
 *
 * Asks the send guard whether the next attempt may start; see core/decisions/admission.h.  Sets the cause
 * unless the result is QUINCE_DISPATCH_SEND or the request waits for a permit.  If a protected service
 * refuses the request, sets retry_after_ms.
 */
QuinceDispatchAction
quince_dispatch_admit (QuinceDispatch *dispatch, gboolean response_started, gint64 now_us, guint *wait_ms);
/* Returns whether a hedge may start while an attempt is in flight. */
gboolean quince_dispatch_may_hedge (QuinceDispatch *dispatch, gint64 now_us);
/* Tells the send guard that the worker answered; returns the permit. */
void quince_dispatch_handle_answer (QuinceDispatch *dispatch);
/* Returns why an exchange with a worker ended without an answer, for logs and refusals (static).
 * @error: the error of the exchange */
const char *quince_dispatch_get_cause (QuinceHttpOutcome outcome, const GError *error);
/* Returns whether a worker may have ended when its exchange ended with @outcome and @error.  It has not if it
 * was silent, or sent bytes that are no answer to the request. */
gboolean quince_dispatch_may_be_loss (QuinceHttpOutcome outcome, const GError *error);
/* Logs that the connection of an attempt broke, and lets the send guard check whether its worker ended. */
void quince_dispatch_handle_connection_loss (QuinceDispatch *dispatch, const QuinceWorkerRef *ref);
/* Returns the permit of the attempt, if it has one. */
void quince_dispatch_return_permit (QuinceDispatch *dispatch);
