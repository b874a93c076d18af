/*
 * sample-next.h: the next step after a run or a reward call of a sample ends: another run, the reward call,
 * or abandoning the sample.
 *
 * Pure functions, used by the ledger's leader (daemons/replica/sample-outcome.c, sample-dispatch.c).
 */
#pragma once

#include "core/decisions/admission.h"

G_BEGIN_DECLS

/* How a run ended. */
typedef enum
{
  QUINCE_RUN_COMPLETE,        /* the text is complete */
  QUINCE_RUN_REFUSED,         /* the worker did not run it */
  QUINCE_RUN_NO_CONNECTION,   /* there was no connection to the worker */
  QUINCE_RUN_BROKEN,          /* the worker was silent, or its answer malformed or incomplete */
  QUINCE_RUN_OUT_OF_ORDER,    /* an event arrived out of order; the worker is not ejected */
  QUINCE_RUN_CONNECTION_LOST, /* the connection broke during the run */
  QUINCE_RUN_MOVED,           /* stopped, to resume at a faster worker; see sample-move.h */
  QUINCE_RUN_REPLACED,        /* stopped, to resume from a longer text of another replica */
  QUINCE_RUN_FAILED,          /* the worker answered that it failed */
  QUINCE_RUN_UNPROCESSABLE,   /* the worker answered that the sample cannot be processed */
} QuinceRunEnd;

/**
 * QuinceSampleRunResult:
 * @end: how the run ended
 * @failures: number of runs of the sample for which a worker answered that it failed, including this one
 * @unprocessable_answers: number of answers that the sample is unprocessable, including this one
 * @max_attempts: maximum attempts of the sample's route; 0: the route is no longer configured
 * @runs_without_event: number of runs in turn that ended without an event, including this one
 */
typedef struct
{
  QuinceRunEnd end;
  guint failures;
  guint unprocessable_answers;
  guint max_attempts;
  guint runs_without_event;
} QuinceSampleRunResult;

typedef enum
{
  QUINCE_SAMPLE_NEXT_REWARD,  /* make the reward call; without one, list the complete sample */
  QUINCE_SAMPLE_NEXT_RUN,     /* resume from the last complete event, after the pause */
  QUINCE_SAMPLE_NEXT_ABANDON, /* list it as abandoned */
} QuinceSampleAction;

/**
 * QuinceSampleNext:
 * @action: the next step
 * @pause_us: pause before the next run or reward call, us; 0: none
 * @eject_worker: the worker of the run is ejected for a while; see quince_worker_record_failure()
 */
typedef struct
{
  QuinceSampleAction action;
  gint64 pause_us;
  gboolean eject_worker;
} QuinceSampleNext;

/**
 * quince_sample_next_after_run:
 *
 * Decides the next step after a run.  Runs that broke, were moved or were refused do not count as failures;
 * the sample resumes from its last event.  A sample is abandoned after twice its @max_attempts failed runs
 * (the platform's limit is three times), or after one answer that it is unprocessable.  A @max_attempts of 0
 * counts as 1.
 *
 * The pause after a refused or broken run doubles with each such run without an event, up to about 1 s: a
 * sample that no worker accepts would otherwise keep workers from others.
 */
QuinceSampleNext quince_sample_next_after_run (const QuinceSampleRunResult *run);

/* Returns whether the deadline of a waiting sample has passed, so that it is abandoned.
 * @give_up_us: the deadline, monotonic, us; 0: none */
gboolean quince_sample_has_expired (gint64 give_up_us, gint64 now_us);

/**
 * quince_sample_next_after_reward:
 * @failures: number of failed reward calls so far
 * @max_attempts: maximum attempts of the reward's route; 1 if the route is not configured
 *
 * Decides the next step after a reward call without a signed score.
 *
 * Returns: QUINCE_SAMPLE_NEXT_REWARD if the call is retried after pause_us; QUINCE_SAMPLE_NEXT_ABANDON if it
 * failed too often
 */
QuinceSampleNext quince_sample_next_after_reward (guint failures, guint max_attempts);

/* Returns the pause before a reward call without a configured route is tried again, us. */
gint64 quince_sample_reward_pause_us (void);
/* Returns the timeout of one reward call, ms.  @timeout_ms: timeout of its route, ms; 0: none */
guint quince_sample_reward_timeout_ms (guint timeout_ms);

/**
 * quince_sample_compare_turns:
 * @first_run_us: last run of the first sample under a permit, or end of its last reward call that may have
 * run in vain, monotonic, us; 0: none
 *
 * Orders two samples that wait for a run or a reward call while there are suspects: those without such a run
 * come first, then the one whose run is longest ago.  Otherwise a few samples that end each of their workers
 * would run whenever their service has recovered, and samples after them never.
 *
 * Returns: less than, equal to or greater than 0, as for qsort()
 */
gint quince_sample_compare_turns (gint64 first_run_us, gint64 second_run_us);

/* Returns the pause of a sample that the policy refused, us.
 * @retry_after_ms: the retry time that the policy gave, ms; 0: none */
gint64 quince_sample_policy_pause_us (guint retry_after_ms);
/* Returns the pause of a sample that the send guard does not admit now, us. */
gint64 quince_sample_admission_pause_us (QuinceAdmission admission);

G_END_DECLS
