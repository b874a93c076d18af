/*
 * dispatch.h: what lookups and streams share: the request, its attempts so far, the choice of a worker for
 * the next one, and its admission by the send guard.
 *
 * For: forward.c and stream.c, which own one each.  Owns: copies of the request, and the permit of the send
 * in progress. Relies on: the backends; core/decisions for each rule.
 */
#pragma once

#include "core/decisions/retry.h"
#include "forward/forward.h"
#include "forward/residency-lookup.h"
#include "core/request/request-digest.h"

typedef struct
{
  /* All fields belong to the forward or stream that it is part of. */
  QuinceBackends *backends;
  const QuinceForwardDialect *dialect;
  char *service;
  char *caller; /* NULL: not known */
  char *tenant; /* whose regions bind; NULL: none */
  QuinceResidencyLookup lookup;
  char *kind;
  char *method;
  char *target;
  char *request_id;
  QuinceHttpHeaders *headers;
  GBytes *body;
  QuinceRequestIdentity identity; /* made when it is first needed */
  gboolean has_identity;
  QuinceSendPermit permit;        /* of the send in progress */
  gint64 admission_wait_since_us; /* since when it waits for its admission, monotonic; 0: it does not */
  char **prompt;                  /* NULL: nothing of it is kept */
  GHashTable *avoid;              /* ids of workers that were tried */
  guint attempts;                 /* sends so far */
  QuinceRetryState retry;
  const char *cause; /* why the last attempt gave no answer that counts, or there was none; NULL: none yet */
  guint retry_after_ms; /* for a refused caller; 0: not known */
  gint64 target_latency_us;
  gint64 started_us;
  gint64 deadline_us;
} QuinceDispatch;

/* Copies what it needs of @request; the request begins now.  @repeatable: it may run more than once */
void quince_dispatch_init (QuinceDispatch *dispatch,
                           QuinceBackends *backends,
                           const QuinceForwardDialect *dialect,
                           const QuinceForwardRequest *request,
                           gboolean repeatable);
void quince_dispatch_clear (QuinceDispatch *dispatch);
/* Chooses a worker for the next attempt. */
QuinceBackendOutcome
quince_dispatch_choose_worker (QuinceDispatch *dispatch, gint64 now_us, QuinceWorker **worker);
/* There was no worker to choose: notes the cause, unless that of an earlier attempt is known. */
void quince_dispatch_record_no_worker (QuinceDispatch *dispatch, QuinceBackendOutcome outcome);
/* What follows then, without an attempt in progress; see no-worker.h.  @began: a stream whose caller has the
 * head.  Notes when a cold worker may have room. */
gboolean quince_dispatch_may_wait_for_worker (QuinceDispatch *dispatch,
                                              QuinceBackendOutcome outcome,
                                              gboolean is_stream,
                                              gboolean response_started,
                                              gint64 now_us);
/* The attempt at @worker_id, begun, or with its last data, at @since_us, gave no answer that counts: logs it.
 */
void
quince_dispatch_log_failed_attempt (const QuinceDispatch *dispatch, const char *worker_id, gint64 since_us);
/* How the request ends without an answer; see retry.h. */
QuinceForwardOutcome quince_dispatch_give_up (gboolean may_have_run, gboolean timed_out);
/* The attempt goes to @worker: counts it there and here. (transfer full): the headers that it is sent */
QuinceHttpHeaders *
quince_dispatch_begin_attempt (QuinceDispatch *dispatch, QuinceWorker *worker, gint64 now_us);
/* The attempt at @worker_id is over. */
void quince_dispatch_release_worker (QuinceDispatch *dispatch, const char *worker_id);
/* (nullable): @worker_id where it is still listed */
QuinceWorker *quince_dispatch_find_worker (const QuinceDispatch *dispatch, const char *worker_id);
/* What follows when the next attempt asks for its admission. */
typedef enum
{
  QUINCE_DISPATCH_SEND,    /* choose a worker and send                                      */
  QUINCE_DISPATCH_WAIT,    /* ask again later                                               */
  QUINCE_DISPATCH_GIVE_UP, /* refuse or fail; the cause and Retry-After are noted           */
  QUINCE_DISPATCH_HELD,    /* it is held: it is not sent any more                           */
} QuinceDispatchAction;

/**
 * quince_dispatch_admit:
 * @began: the caller has a part of the answer
 * @wait_ms: (out): QUINCE_DISPATCH_WAIT: for how long
 *
 * Asks the send guard whether the next attempt may be made; see core/decisions/admission.h.
 */
QuinceDispatchAction
quince_dispatch_admit (QuinceDispatch *dispatch, gboolean response_started, gint64 now_us, guint *wait_ms);
/* Whether another attempt may be made beside the one in progress. */
gboolean quince_dispatch_may_hedge (QuinceDispatch *dispatch, gint64 now_us);
/* How the attempt ended: see send-guard.h. */
void quince_dispatch_handle_answer (QuinceDispatch *dispatch);
void quince_dispatch_handle_connection_loss (QuinceDispatch *dispatch, const char *worker_id);
void quince_dispatch_return_permit (QuinceDispatch *dispatch);
