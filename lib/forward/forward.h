/*
 * forward.h: brings one request to a worker and its answer back: attempts, retries, hedges, deadlines.
 *
 * The outcome says whether any worker can have run the request.  An at-most-once request is sent again only
 * after a worker refused it, or when nothing was sent.
 *
 * For: lookups at fronts, reward calls at the leader.  Owns: the attempts in progress, their timers.  Relies
 * on: the backends for workers and connections; core/decisions (retry, hedge, no-worker) for the rules.
 */
#pragma once

#include "forward/backends.h"

G_BEGIN_DECLS

typedef struct _QuinceForward QuinceForward;

typedef enum
{
  QUINCE_FORWARD_ANSWERED, /* a worker's whole answer, of any status               */
  QUINCE_FORWARD_REFUSED,  /* no worker ran it, and none will                      */
  QUINCE_FORWARD_FAILED,   /* it may have run, and there is no answer              */
  QUINCE_FORWARD_TIMEOUT,  /* it may have run, and the time is up                  */
  QUINCE_FORWARD_HELD,     /* it has run before and ended its workers: it is not sent any more */
} QuinceForwardOutcome;

/* How one platform writes requests to its workers and reads their answers. */
typedef struct
{
  /* Adds the headers of the platform for this attempt. */
  void (*write_attempt_headers) (QuinceHttpHeaders *headers, const char *worker_id, gint64 time_left_ms);
  /* Reads an answer; texts live as long as @head. */
  void (*read_answer) (const QuinceHttpHead *head,
                       const char **request_id,
                       const char **signature,
                       gboolean *not_run);
} QuinceForwardDialect;

/**
 * QuinceForwardRequest:
 * @service: where to
 * @caller: (nullable): tenant that asks
 * @tenant: (nullable): whose regions bind; %NULL: @caller's
 * @headers: the caller's, without hop-by-hop headers
 * @prompt: (nullable): parts of its prompt, %NULL-terminated, where a worker that keeps them is to be
 * preferred
 * @repeatable: it may run more than once
 * @max_attempts: workers that may run it
 * @target_latency_ms: an answer within it earns its full credit
 * @deadline_us: the caller's own, monotonic
 * @give_up_us: no later than @deadline_us: the operator's bound, monotonic
 */
typedef struct
{
  const char *service;
  const char *caller;
  const char *tenant;
  const char *kind;
  const char *method;
  const char *target;
  const char *request_id;
  const QuinceHttpHeaders *headers;
  GBytes *body;
  const char *const *prompt;
  gboolean repeatable;
  guint max_attempts;
  guint target_latency_ms;
  gint64 deadline_us;
  gint64 give_up_us;
} QuinceForwardRequest;

/* Cause of a refusal: all workers that serve the request stand in zones that the operator has evacuated. */
#define QUINCE_FORWARD_CAUSE_EVACUATED "zone_evacuated"

/* How it went; lives until done() returns. */
typedef struct
{
  QuinceForwardOutcome outcome;
  const QuinceHttpHead *head; /* answered */
  const GByteArray *body;     /* answered */
  const char *signature;      /* answered, signed */
  const char *cause;          /* why not, as logs and refusals name it */
  guint retry_after_ms;       /* refused: when it may come back; 0: not known */
  guint attempts;
  guint failed_runs; /* answers of 500 */
  const char *worker;
  gint64 attempt_duration_us; /* time of the last attempt */
  gint64 first_run_us; /* when the first attempt that may have run was sent, monotonic; 0: none may have */
} QuinceForwardResult;

/* Copies what it needs of @request.  done() is called once, never before this returns. */
QuinceForward *quince_forward_start (QuinceBackends *backends,
                                     const QuinceForwardDialect *dialect,
                                     const QuinceForwardRequest *request,
                                     void (*done) (const QuinceForwardResult *result, gpointer user_data),
                                     gpointer user_data);
/* As in QuinceForwardResult, of a forward in progress. */
gint64 quince_forward_get_first_run_us (const QuinceForward *forward);
/* Ends it without done(); work at a worker is cancelled. */
void quince_forward_cancel (QuinceForward *forward);

G_END_DECLS
