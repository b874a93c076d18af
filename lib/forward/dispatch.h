/*
 * dispatch.h: what plain requests and streams share: the request, the choice of a worker for each attempt,
 * and what a worker is sent.
 */
#pragma once

#include "forward/forward.h"
#include "forward/residency-lookup.h"
#include "core/request/request-digest.h"

typedef struct
{
  /* All fields belong to the forward or stream that it is part of. */
  QuinceBackends *backends;
  const QuinceForwardDialect *dialect;
  char *service;
  char *caller; /* NULL: nobody in particular */
  char *tenant; /* whose regions bind; NULL: nobody's */
  QuinceResidencyLookup lookup;
  char *kind;
  char *method;
  char *target;
  char *request_id;
  QuinceHttpHeaders *headers;
  GBytes *body;
  QuinceRequestIdentity identity; /* see quince_dispatch_get_identity() */
  gboolean has_identity;
  QuinceSendPermit permit; /* of the send in progress */
  gint64 waits_us;         /* since when it waits for leave to be sent; 0: it does not */
  char **prompt;           /* NULL: nothing of it is kept */
  GHashTable *avoid;       /* ids of workers that were tried */
  guint attempts;          /* sends so far */
  guint max_attempts;      /* at least 1 */
  gint64 target_latency_us;
  gint64 started_us;
  gint64 deadline_us;
  gint64 give_up_us;
} QuinceDispatch;

/* Copies what it needs of @request; the request begins now. */
void quince_dispatch_init (QuinceDispatch *dispatch,
                           QuinceBackends *backends,
                           const QuinceForwardDialect *dialect,
                           const QuinceForwardRequest *request);
void quince_dispatch_clear (QuinceDispatch *dispatch);
/* Chooses a worker for the next attempt. */
QuinceBackendOutcome quince_dispatch_choose (QuinceDispatch *dispatch,
                                             gint64 now_us,
                                             gboolean at_most_once,
                                             QuinceWorker **worker);
/* Why there was no choice, one word. */
const char *quince_dispatch_cause (QuinceBackendOutcome outcome);
/* The attempt goes to @worker: counts it there and here. (transfer full): the headers that it is sent */
QuinceHttpHeaders *quince_dispatch_begin (QuinceDispatch *dispatch, QuinceWorker *worker, gint64 now_us);
/* The attempt at @worker_id is over. */
void quince_dispatch_release_worker (QuinceDispatch *dispatch, const char *worker_id);
/* (nullable): @worker_id where it is still listed */
QuinceWorker *quince_dispatch_find (const QuinceDispatch *dispatch, const char *worker_id);
/* A request that nobody runs and nobody has room for waits that long at the most. */
gboolean quince_dispatch_may_wait (const QuinceDispatch *dispatch, gint64 now_us);
/* After QUINCE_BACKEND_COLD: whether a cold worker may have room while the request may wait.
 * @retry_after_ms: when it may, where it is too late */
gboolean
quince_dispatch_has_room_in_time (const QuinceDispatch *dispatch, gint64 now_us, guint *retry_after_ms);
/* Made when it is first asked for: most requests never need it. */
const QuinceRequestIdentity *quince_dispatch_get_identity (QuinceDispatch *dispatch);
/* Whether the next attempt may be made; see send-guard.h.  QUINCE_ADMISSION_UNSURE also where the request has
 * waited for as long as its target latency. */
QuinceAdmission quince_dispatch_request_admission (QuinceDispatch *dispatch, gint64 now_us);
/* When a request that got QUINCE_ADMISSION_PROTECTED may come back, in ms. */
guint quince_dispatch_get_wait_ms (const QuinceDispatch *dispatch, gint64 now_us);
/* Whether another attempt may be made beside the one in progress. */
gboolean quince_dispatch_may_hedge (QuinceDispatch *dispatch, gint64 now_us);
/* How the attempt ended: see send-guard.h. */
void quince_dispatch_answered (QuinceDispatch *dispatch);
void quince_dispatch_lost (QuinceDispatch *dispatch, const char *worker_id);
void quince_dispatch_over (QuinceDispatch *dispatch);
