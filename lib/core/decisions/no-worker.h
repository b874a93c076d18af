/*
 * no-worker.h: whether a lookup or stream for which no worker can be chosen waits or is refused.
 *
 * Pure functions, used by lib/forward.  The outcome of the choice comes from worker-choice.h.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Pause before a request without a worker retries the choice, us: shorter than a typical lookup (25 ms), so
 * that a slot is found soon after it becomes free. */
#define QUINCE_NO_WORKER_PAUSE_US (20 * 1000)

/* Outcome of the choice of a worker. */
typedef enum
{
  QUINCE_BACKEND_CHOSEN,    /* a worker was chosen */
  QUINCE_BACKEND_NONE,      /* no worker serves this request */
  QUINCE_BACKEND_FULL,      /* no worker has capacity; at least one is at the request limit of this process */
  QUINCE_BACKEND_COLD,      /* all workers with free slots have reached their warmup limits */
  QUINCE_BACKEND_EVACUATED, /* all workers that serve it are in evacuated zones */
  QUINCE_BACKEND_ZONES_UNKNOWN, /* this process does not yet know which zones are evacuated */
} QuinceBackendOutcome;

/**
 * QuinceNoWorkerInput:
 * @outcome: why no worker was chosen
 * @is_stream: a stream, not a lookup
 * @response_started: the caller has received the response head of a stream
 * @tried_any: workers were excluded because they already had an attempt of this request
 * @runs: number of attempts that may have run
 * @now_us: monotonic, us
 * @started_us: when the request started, monotonic, us
 * @target_latency_us: latency target of the route, us; 0: none
 * @cold_available_us: for QUINCE_BACKEND_COLD: when a cold worker may have capacity, monotonic, us; a past
 *   time means now
 */
typedef struct
{
  QuinceBackendOutcome outcome;
  gboolean is_stream;
  gboolean response_started;
  gboolean tried_any;
  guint runs;
  gint64 now_us;
  gint64 started_us;
  gint64 target_latency_us;
  gint64 cold_available_us;
} QuinceNoWorkerInput;

/* Whether the request waits, and when a refused caller may retry. */
typedef struct
{
  gboolean wait;        /* retry the choice after QUINCE_NO_WORKER_PAUSE_US; otherwise refuse or fail */
  guint retry_after_ms; /* time until a cold worker may have capacity, ms; 0: not known */
} QuinceNoWorkerDecision;

/**
 * quince_no_worker_decide:
 *
 * Decides for a request without an attempt in flight.  The request waits if a worker may become available
 * within half its latency target; otherwise a refusal (503, "not run") lets the caller try elsewhere in time.
 * A request that may have run cannot be refused as "not run", so it may wait longer, up to its deadline.
 *
 * A lookup also waits if all workers are full, since slots become free after about 25 ms.  A stream does not,
 * since streams occupy their slots for seconds.
 *
 * With QUINCE_BACKEND_NONE or QUINCE_BACKEND_EVACUATED the request is refused immediately, unless workers
 * that already had an attempt may be tried again.  Without a latency target, a request that has not run never
 * waits.
 */
QuinceNoWorkerDecision quince_no_worker_decide (const QuinceNoWorkerInput *input);

/* What a lookup with an attempt in flight does if there is no worker for a hedge. */
typedef enum
{
  QUINCE_HEDGE_FALLBACK_KEEP,    /* keep the attempt in flight and start no other */
  QUINCE_HEDGE_FALLBACK_WAIT,    /* retry the choice after QUINCE_NO_WORKER_PAUSE_US */
  QUINCE_HEDGE_FALLBACK_ABANDON, /* abandon the oldest attempt after its timeout; see hedge.h */
} QuinceHedgeFallback;

/**
 * quince_no_worker_for_hedge:
 *
 * Decides for a lookup with an attempt in flight.  If only evacuated zones serve the lookup, the attempt is
 * kept.  If a worker may become available soon, the attempt is kept and the choice is retried.
 */
QuinceHedgeFallback quince_no_worker_for_hedge (QuinceBackendOutcome outcome);

G_END_DECLS
