/*
 * silence.c: how long a run of a sample may be silent before it resumes at another worker.
 */
#include "core/decisions/silence.h"

/* Timeout of a silent run as a multiple of the worker's time between two events. */
#define SAMPLE_TIMEOUT_EVENTS 30
/* Minimum timeout, ms: longer than a load of weights (about 1 s), since this process does not know of loads
 * that another leader ordered. */
#define SAMPLE_TIMEOUT_MIN_MS 1300
/* Maximum timeout, ms; also used for workers without a measured pace. */
#define SAMPLE_TIMEOUT_MAX_MS 2500
#define US_PER_MS 1000

guint
quince_silence_sample_timeout_ms (gint64 pace_us)
{
  if (pace_us <= 0)
    return SAMPLE_TIMEOUT_MAX_MS;
  return (guint)CLAMP (SAMPLE_TIMEOUT_EVENTS * pace_us / US_PER_MS, SAMPLE_TIMEOUT_MIN_MS,
                       SAMPLE_TIMEOUT_MAX_MS);
}
