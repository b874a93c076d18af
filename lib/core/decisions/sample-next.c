/*
 * sample-next.c: the next step after a run or a reward call of a sample ends.
 */
#include "core/decisions/sample-next.h"

/* Pause after a refused run, us: prevents retries in a tight loop, but is shorter than the usual time between
 * two events (40 ms). */
#define REFUSED_PAUSE_US (30 * 1000)
/* Doublings of that pause, up to 0.96 s: a thousand samples that no worker accepts then take a fraction of a
 * slot, and a sample starts within a second after workers accept it. */
#define REFUSED_PAUSE_DOUBLINGS_MAX 5
/* Pause after a failed run, us: prevents retries in a tight loop. */
#define FAILED_PAUSE_US (50 * 1000)
/* Pause after a failed reward call, us: prevents retries in a tight loop. */
#define REWARD_PAUSE_US (100 * 1000)
/* Maximum timeout of a reward call, ms: far above the usual latency of a scorer. */
#define REWARD_TIMEOUT_MAX_MS 4000
/* Failed runs of a sample per attempt that its route allows.  The platform's limit is three; one less leaves
 * a margin for a failure that a new leader does not know of. */
#define FAILURES_PER_ATTEMPT 2
/* Answers that a sample is unprocessable after which it is abandoned: all workers of a service would give the
 * same answer. */
#define UNPROCESSABLE_MAX 1
/* Minimum pause after a refusal by the policy, ms; as for callers, see retry-after.c. */
#define POLICY_PAUSE_MIN_MS 200
#define US_PER_MS 1000

static QuinceSampleNext
run_again (gint64 pause_us, gboolean eject_worker)
{
  return (QuinceSampleNext){ QUINCE_SAMPLE_NEXT_RUN, pause_us, eject_worker };
}

static QuinceSampleNext
run_again_or_abandon (gboolean abandon)
{
  if (abandon)
    return (QuinceSampleNext){ .action = QUINCE_SAMPLE_NEXT_ABANDON };
  return run_again (FAILED_PAUSE_US, FALSE);
}

static gint64
double_pause_us (guint doublings)
{
  return REFUSED_PAUSE_US << MIN (doublings, REFUSED_PAUSE_DOUBLINGS_MAX);
}

/* Returns the pause after a refused run. */
static gint64
get_refused_pause_us (const QuinceSampleRunResult *run)
{
  return double_pause_us (MAX (run->runs_without_event, 1) - 1);
}

/* Returns the pause after a run whose answer broke.  The first one may have met a faulty worker, so that
 * another worker is tried at once. */
static gint64
get_broken_pause_us (const QuinceSampleRunResult *run)
{
  return run->runs_without_event > 1 ? double_pause_us (run->runs_without_event - 2) : 0;
}

QuinceSampleNext
quince_sample_next_after_run (const QuinceSampleRunResult *run)
{
  switch (run->end)
    {
    case QUINCE_RUN_REFUSED:
      return run_again (get_refused_pause_us (run), FALSE);
    case QUINCE_RUN_NO_CONNECTION:
      return run_again (get_refused_pause_us (run), TRUE);
    case QUINCE_RUN_BROKEN:
    case QUINCE_RUN_CONNECTION_LOST:
      return run_again (get_broken_pause_us (run), TRUE);
    case QUINCE_RUN_OUT_OF_ORDER:
      return run_again (get_broken_pause_us (run), FALSE);
    case QUINCE_RUN_MOVED:
    case QUINCE_RUN_REPLACED:
      return run_again (0, FALSE);
    case QUINCE_RUN_FAILED:
      return run_again_or_abandon (run->failures >= FAILURES_PER_ATTEMPT * MAX (run->max_attempts, 1));
    case QUINCE_RUN_UNPROCESSABLE:
      return run_again_or_abandon (run->unprocessable_answers >= UNPROCESSABLE_MAX);
    case QUINCE_RUN_COMPLETE:
    default:
      return (QuinceSampleNext){ .action = QUINCE_SAMPLE_NEXT_REWARD };
    }
}

gboolean
quince_sample_has_expired (gint64 give_up_us, gint64 now_us)
{
  return give_up_us > 0 && now_us >= give_up_us;
}

QuinceSampleNext
quince_sample_next_after_reward (guint failures, guint max_attempts)
{
  if (failures >= max_attempts)
    return (QuinceSampleNext){ .action = QUINCE_SAMPLE_NEXT_ABANDON };
  return (QuinceSampleNext){ .action = QUINCE_SAMPLE_NEXT_REWARD, .pause_us = REWARD_PAUSE_US };
}

gint64
quince_sample_reward_pause_us (void)
{
  return REWARD_PAUSE_US;
}

guint
quince_sample_reward_timeout_ms (guint timeout_ms)
{
  return timeout_ms > 0 ? MIN (timeout_ms, REWARD_TIMEOUT_MAX_MS) : REWARD_TIMEOUT_MAX_MS;
}

gint
quince_sample_compare_turns (gint64 first_run_us, gint64 second_run_us)
{
  return (first_run_us > second_run_us) - (first_run_us < second_run_us);
}

gint64
quince_sample_policy_pause_us (guint retry_after_ms)
{
  return (gint64)MAX (retry_after_ms, POLICY_PAUSE_MIN_MS) * US_PER_MS;
}

gint64
quince_sample_admission_pause_us (QuinceAdmission admission)
{
  switch (admission)
    {
    case QUINCE_ADMISSION_POSTPONED:
      return QUINCE_ADMISSION_POSTPONED_RETRY_MS * US_PER_MS;
    case QUINCE_ADMISSION_PROTECTED:
      return QUINCE_ADMISSION_PROTECTED_RETRY_MS * US_PER_MS;
    default:
      return QUINCE_ADMISSION_RETRY_MS * US_PER_MS;
    }
}
