/*
 * sample-next.h: what follows the end of a sample's run and of its reward call: another run, the reward, or
 * the sample is abandoned.
 *
 * For: the ledger's leader (daemons/replica/sample-outcome.c, sample-dispatch.c).  Owns nothing; pure. Relies
 * on: counts of failures, which backups are sent too.
 */
#pragma once

#include "core/decisions/admission.h"

G_BEGIN_DECLS

/* How a run ended. */
typedef enum
{
  QUINCE_RUN_COMPLETE,        /* the text is whole                                                    */
  QUINCE_RUN_REFUSED,         /* the worker did not run it                                            */
  QUINCE_RUN_NO_CONNECTION,   /* there was no connection to the worker: it did not run it             */
  QUINCE_RUN_BROKEN,          /* silent, or a malformed answer: goes on from the last whole event     */
  QUINCE_RUN_OUT_OF_ORDER,    /* an event out of order: the same; its worker answers well otherwise   */
  QUINCE_RUN_CONNECTION_LOST, /* the connection broke: the same                                       */
  QUINCE_RUN_MOVED,           /* cut here, to go on at a worker that ends it sooner                   */
  QUINCE_RUN_FAILED,          /* the worker answered that it failed                                   */
  QUINCE_RUN_UNPROCESSABLE,   /* the worker answered that it can never be done                        */
} QuinceRunEnd;

/**
 * QuinceSampleRunResult:
 * @end: how the run ended
 * @failures: answers of failed runs, this one too
 * @unprocessable_answers: answers that it can never be done, this one too
 * @max_attempts: of the sample's route; 0: the route is not configured any more
 */
typedef struct
{
  QuinceRunEnd end;
  guint failures;
  guint unprocessable_answers;
  guint max_attempts;
} QuinceSampleRunResult;

typedef enum
{
  QUINCE_SAMPLE_NEXT_REWARD,  /* the text is whole: make the reward call, or list it      */
  QUINCE_SAMPLE_NEXT_RUN,     /* run again from the last whole event, after the pause     */
  QUINCE_SAMPLE_NEXT_ABANDON, /* list it as abandoned                                     */
} QuinceSampleAction;

/**
 * QuinceSampleNext:
 * @action: what follows
 * @pause_us: QUINCE_SAMPLE_NEXT_RUN: time before it may run again, us
 * @eject_worker: the run's worker failed, and is no first choice for a while; see routing.h
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
 * Decides what follows a run.  Runs that broke, moved or were refused don't count: the text goes on
 * elsewhere. Answers that the worker failed count up to twice the attempts of the route, since a sample is
 * worth more than a lookup, and the platform bounds them at three times.  One answer that it can never be
 * done is enough.
 *
 * Edges: a sample whose route is gone counts as one with a single attempt.
 */
QuinceSampleNext quince_sample_next_after_run (const QuinceSampleRunResult *run);

/* Whether a sample that runs nowhere is abandoned since its time is up.  @give_up_us: monotonic, us; 0: never
 */
gboolean quince_sample_has_expired (gint64 give_up_us, gint64 now_us);

/**
 * quince_sample_next_after_reward:
 * @failures: answers of failed reward calls so far
 * @max_attempts: of the reward's route; 1 where it is not configured
 *
 * Decides what follows a reward call without a signed score.  Returns: QUINCE_SAMPLE_NEXT_REWARD: the call is
 * made again after pause_us; QUINCE_SAMPLE_NEXT_ABANDON: it failed too often
 */
QuinceSampleNext quince_sample_next_after_reward (guint failures, guint max_attempts);

/* Pause before a reward call whose route is not configured is tried again, us. */
gint64 quince_sample_reward_pause_us (void);
/* Time for one reward call, ms.  @timeout_ms: of its route; 0: none */
guint quince_sample_reward_timeout_ms (guint timeout_ms);

/* Pause of a sample that the policy refused, us.  @retry_after_ms: the policy's, 0: none */
gint64 quince_sample_policy_pause_us (guint retry_after_ms);
/* Pause of a sample that the send guard does not admit now, us. */
gint64 quince_sample_admission_pause_us (QuinceAdmission admission);

G_END_DECLS
