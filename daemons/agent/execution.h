/*
 * execution.h: carries one request through its attempts.
 *
 * Joins the pure state machine (quince/attempt.h) with what it asks for:
 * grants of the nodes, the claim in the ledger, the stream of the engine, the
 * deadline and the retry budget.  Tokens of a broken attempt are kept and the
 * next one resumes after them.
 */
#pragma once

#include "segments.h"
#include "worker.h"

/**
 * QuinceExecutionOptions:
 * @streaming: tokens go out as they come; an attempt that broke after that is not tried again
 * @claim_keep_ms: how long the claim of an at-most-once request is remembered
 *
 * Texts are copied.
 */
typedef struct
{
  QuinceRequestId id;
  const char *service;
  const char *member;
  const char *kind;
  const char *prompt;
  QuinceWorkClass work_class;
  gboolean at_most_once;
  gboolean streaming;
  guint max_tokens;
  guint expected_tokens;
  guint64 min_version;
  gint64 deadline_us;
  guint claim_keep_ms;
} QuinceExecutionOptions;

typedef enum
{
  QUINCE_EXECUTION_WHOLE,
  QUINCE_EXECUTION_NOT_RUN,   /* certainly not run                          */
  QUINCE_EXECUTION_UNKNOWN,   /* may have run                               */
  QUINCE_EXECUTION_BROKEN,    /* cut after tokens went out                  */
  QUINCE_EXECUTION_DUPLICATE, /* another holder has the request id          */
} QuinceExecutionEnd;

/**
 * QuinceExecutionResult:
 * @deadline: the deadline ended it
 * @refusal: why, when it did not run
 * @answer: what was generated, also when it is not whole; owned by the execution
 */
typedef struct
{
  QuinceExecutionEnd end;
  gboolean deadline;
  QuinceRefusal refusal;
  guint retry_after_ms;
  QuinceFinishReason finish_reason;
  const char *engine;
  guint attempts;
  const QuinceAnswer *answer;
} QuinceExecutionResult;

typedef struct _QuinceExecution QuinceExecution;

/**
 * QuinceExecutionCallbacks:
 * @tokens: (nullable): new tokens; they count as sent to the caller when streaming
 * @done: the one end; the execution may be freed here
 */
typedef struct
{
  void (*tokens) (const QuinceEngineChunk *chunk, gpointer user_data);
  void (*done) (const QuinceExecutionResult *result, gpointer user_data);
} QuinceExecutionCallbacks;

/* @answer: (nullable) (transfer full): tokens to go on from */
QuinceExecution *quince_execution_new (QuinceWorker *worker,
                                       const QuinceExecutionOptions *options,
                                       QuinceAnswer *answer,
                                       const QuinceExecutionCallbacks *callbacks,
                                       gpointer user_data);
/* May call done() before it returns. */
void quince_execution_start (QuinceExecution *execution);
/* Takes the answer out, for another execution that goes on from it. (transfer full) */
QuinceAnswer *quince_execution_steal_answer (QuinceExecution *execution);
/* One that has not ended is cancelled: on the engine, and at the node. */
void quince_execution_free (QuinceExecution *execution);

/* Over all executions of a worker. */
struct _QuinceExecutionCounters
{
  guint64 started;
  guint64 dispatched;
  guint64 retried;
  guint64 resumed;
  guint64 budget_refused;
  guint64 engine_refused;
  guint64 engine_failed_unsent;
  guint64 engine_failed_sent;
  guint64 ends[QUINCE_EXECUTION_DUPLICATE + 1]; /* by QuinceExecutionEnd */
  guint64 cancelled;
  guint64 deadlines;
  guint running;
};
