/*
 * silence.c: how long a sample's run may be silent before it is resumed at another worker.
 */
#include "core/decisions/silence.h"

/* Events of the worker's pace for which its run may be silent.  Not measured by itself. */
#define SAMPLE_TIMEOUT_EVENTS 30
/* Shortest silence, ms: a load of weights stops a worker for about a second (measured 0.9 s), and a load that
 * another leader ordered is not known here. */
#define SAMPLE_TIMEOUT_MIN_MS 1300
/* Longest silence, ms, also of workers without a measured pace.  Not measured. */
#define SAMPLE_TIMEOUT_MAX_MS 2500
/* Microseconds in a millisecond. */
#define US_PER_MS 1000

guint
quince_silence_sample_timeout_ms (gint64 pace_us)
{
  if (pace_us <= 0)
    return SAMPLE_TIMEOUT_MAX_MS;
  return (guint)CLAMP (SAMPLE_TIMEOUT_EVENTS * pace_us / US_PER_MS, SAMPLE_TIMEOUT_MIN_MS,
                       SAMPLE_TIMEOUT_MAX_MS);
}
