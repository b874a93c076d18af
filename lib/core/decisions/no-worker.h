/*
 * no-worker.h: what a lookup or a stream does when no worker can be chosen: wait and choose again, or be
 * refused.
 *
 * For: lib/forward.  Owns nothing; pure.  Relies on: the outcome of the choice (worker-choice.h).
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Pause before a request without a worker chooses again, us.  Not measured: below a usual run of a lookup
 * (25 ms), so that a place that becomes free is found soon. */
#define QUINCE_NO_WORKER_PAUSE_US (20 * 1000)

/* Why there is no choice. */
typedef enum
{
  QUINCE_BACKEND_CHOSEN,
  QUINCE_BACKEND_NONE,          /* no worker serves this at all                                        */
  QUINCE_BACKEND_FULL,          /* the workers that serve this have no room for this process            */
  QUINCE_BACKEND_COLD,          /* all workers with room are cold, and their warmup limit is reached    */
  QUINCE_BACKEND_EVACUATED,     /* the workers that serve this are in evacuated zones                   */
  QUINCE_BACKEND_ZONES_UNKNOWN, /* which zones are evacuated is not known yet                           */
} QuinceBackendOutcome;

/**
 * QuinceNoWorkerInput:
 * @outcome: why no worker was chosen
 * @is_stream: a stream, not a lookup
 * @response_started: the caller has the head of a stream
 * @tried_any: workers were left out since they had an attempt already
 * @runs: attempts that may have run
 * @now_us: monotonic, us
 * @started_us: when the request began, monotonic, us
 * @target_latency_us: of the route, us
 * @cold_room_us: QUINCE_BACKEND_COLD: when a cold worker may have room, monotonic, us; a time that has passed
 *   counts as now
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
  gint64 cold_room_us;
} QuinceNoWorkerInput;

/* What follows. */
typedef struct
{
  gboolean wait;        /* for QUINCE_NO_WORKER_PAUSE_US, then choose again; else refuse or fail */
  guint retry_after_ms; /* known time until a cold worker has room; 0: not known */
} QuinceNoWorkerDecision;

/**
 * quince_no_worker_decide:
 *
 * Decides for a request without an attempt in progress.  It waits while the situation may change within half
 * its latency target; after that an answer would earn its caller little, and a refusal (503, "not run") lets
 * the caller try elsewhere.  A request that may have run, and a stream that its caller has begun to read,
 * wait for as long as they have time, since they cannot be refused as "not run".
 *
 * A lookup waits also where all workers are full: a place is free after some 25 ms.  A stream does not: its
 * places are taken for seconds.
 *
 * Edges: without any worker (QUINCE_BACKEND_NONE, QUINCE_BACKEND_EVACUATED) it is refused at once, unless
 * workers that had an attempt may be tried again.  No @target_latency_us: no waiting.
 */
QuinceNoWorkerDecision quince_no_worker_decide (const QuinceNoWorkerInput *input);

/* What a lookup does whose attempt is in progress and that finds no worker for a second one. */
typedef enum
{
  QUINCE_HEDGE_FALLBACK_KEEP,    /* let the attempt end; make no other one          */
  QUINCE_HEDGE_FALLBACK_WAIT,    /* choose again after QUINCE_NO_WORKER_PAUSE_US    */
  QUINCE_HEDGE_FALLBACK_ABANDON, /* give the oldest attempt up once it was silent for long; see hedge.h */
} QuinceHedgeFallback;

/**
 * quince_no_worker_for_hedge:
 *
 * Decides for a lookup with an attempt in progress.  An attempt in an evacuated zone ends there, and one is
 * not given up for a place that is not there yet.
 */
QuinceHedgeFallback quince_no_worker_for_hedge (QuinceBackendOutcome outcome);

G_END_DECLS
