/*
 * forward.h: forwards one request to a worker and returns the answer, with retries, hedges and deadlines.
 *
 * Fronts use it for lookups, the leader for reward calls.  The outcome states whether a worker may have run
 * the request.  An at-most-once request is sent again only if a worker refused it or it was not sent.
 *
 * A forward owns its attempts in flight and its timer.  Workers and connections come from the backends, the
 * rules from core/decisions (retry, hedge, no-worker).
 */
#pragma once

#include "forward/backends.h"

G_BEGIN_DECLS

typedef struct _QuinceForward QuinceForward;

typedef enum
{
  QUINCE_FORWARD_ANSWERED, /* a worker sent a complete answer, with any status         */
  QUINCE_FORWARD_REFUSED,  /* no worker ran it, and it is not sent again               */
  QUINCE_FORWARD_FAILED,   /* it may have run, and there is no answer                  */
  QUINCE_FORWARD_TIMEOUT,  /* it may have run, and the deadline has passed             */
  QUINCE_FORWARD_HELD,     /* the quarantine holds it: workers ended while running it  */
} QuinceForwardOutcome;

/* How a platform encodes requests to its workers and decodes their answers. */
typedef struct
{
  /* Adds the platform's headers of an attempt at @worker_id. */
  void (*write_attempt_headers) (QuinceHttpHeaders *headers, const char *worker_id, gint64 time_left_ms);
  /* Reads the signature and whether the worker refused to run the request.  @signature: (out) (nullable):
   * valid as long as @head */
  void (*read_answer) (const QuinceHttpHead *head, const char **signature, gboolean *not_run);
} QuinceForwardCodec;

/**
 * QuinceForwardRequest:
 * @service: service whose workers may run the request
 * @caller: (nullable): tenant that sent the request
 * @tenant: (nullable): tenant whose region rules apply; %NULL: @caller
 * @kind: name of the route, as the policy sees it
 * @headers: headers of the caller, without hop-by-hop headers
 * @body: (nullable): body of the request
 * @prompt: (nullable): parts of the prompt, %NULL-terminated; a worker that has them cached is preferred
 * @is_reward: it is a reward call of a sample, not a caller's request; it is owed, so the quarantine does not
 *   hold it, see core/decisions/admission.h
 * @earlier_runs: number of runs of the same reward call by earlier forwards
 * @mixed_targets: the service serves routes of different latency targets, see
 *   quince_route_table_has_mixed_targets(); response times are then measured by route, and hedges and retries
 *   are limited by the attempt budget of the service
 * @repeatable: the request may run more than once; ignored for streams
 * @max_attempts: maximum number of attempts that may run; 0 counts as 1
 * @target_latency_ms: latency target of the route, ms; 0: none
 * @deadline_us: deadline of the caller, monotonic, us
 * @give_up_us: deadline after which no attempt starts, monotonic, us; limited to @deadline_us
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
  gboolean is_reward;
  guint earlier_runs;
  gboolean mixed_targets;
  gboolean repeatable;
  guint max_attempts;
  guint target_latency_ms;
  gint64 deadline_us;
  gint64 give_up_us;
} QuinceForwardRequest;

/* Cause of a refusal: all workers that serve the request are in evacuated zones. */
#define QUINCE_FORWARD_CAUSE_EVACUATED "zone_evacuated"
/* Cause of a failed attempt: the worker sent more bytes than an answer, its head or an event may have. */
#define QUINCE_FORWARD_CAUSE_TOO_LARGE "answer_too_large"

/* Result of a forward.  Valid until done() returns. */
typedef struct
{
  QuinceForwardOutcome outcome;
  const QuinceHttpHead *head; /* if answered */
  const GByteArray *body;     /* if answered */
  const char *signature;      /* if answered and signed */
  const char *cause; /* why the last attempt failed or could not start, for logs and refusals; NULL: none */
  guint retry_after_ms; /* if refused: time after which the caller may retry; 0: unknown */
  guint attempts;
  guint failed_runs;          /* number of answers with status 500 */
  const char *worker_id;      /* if answered: id of the worker */
  gint64 attempt_duration_us; /* if answered: time from the start of the answered attempt */
  gint64 first_run_us;        /* start of the first attempt, monotonic; 0: no attempt may have run */
} QuinceForwardResult;

/* Starts to forward a copy of @request.  Calls done() once, but never before this function returns; the
 * forward is freed after that. */
QuinceForward *quince_forward_start (QuinceBackends *backends,
                                     const QuinceForwardCodec *codec,
                                     const QuinceForwardRequest *request,
                                     void (*done) (const QuinceForwardResult *result, gpointer user_data),
                                     gpointer user_data);
/* Returns QuinceForwardResult.first_run_us of a forward in progress. */
gint64 quince_forward_get_first_run_us (const QuinceForward *forward);
/* Cancels the attempts in flight and frees the forward, without a call of done(). */
void quince_forward_cancel (QuinceForward *forward);

G_END_DECLS
