/*
 * retry-after.c: the Retry-After of a refused request.
 */
#include "core/decisions/retry-after.h"

/* Minimum Retry-After of refusals without a minimum of their own, ms: several typical lookups (25 ms), so
 * that slots are free again. */
#define DEFAULT_MIN_MS 200
/* Minimum Retry-After of batch calls, ms: a fraction of the time until a new leader is elected (about 1 s).
 */
#define LEDGER_MIN_MS 300
/* Minimum Retry-After if no worker or ledger is in the allowed regions, ms: an operator has to change the
 * deployment first. */
#define RESIDENCY_MIN_MS 1000
/* Minimum Retry-After of requests that found no memory, ms: the time in which one of several MiB is read and
 * passed on. */
#define MEMORY_MIN_MS 1000
#define US_PER_MS 1000

static guint
min_retry_after_ms (const QuinceRetryAfterInput *refusal)
{
  switch (refusal->cause)
    {
    case QUINCE_REFUSED_EVACUATED:
      /* An earlier retry could reach a front that does not know of the change yet. */
      return refusal->zone_change_ms;
    case QUINCE_REFUSED_RESIDENCY:
      return RESIDENCY_MIN_MS;
    case QUINCE_REFUSED_LEDGER:
      return LEDGER_MIN_MS;
    case QUINCE_REFUSED_MEMORY:
      return MEMORY_MIN_MS;
    case QUINCE_REFUSED_NO_WORKER:
    case QUINCE_REFUSED_POLICY:
    case QUINCE_REFUSED_NO_CONFIGURATION:
    default:
      return DEFAULT_MIN_MS;
    }
}

guint
quince_retry_after_ms (const QuinceRetryAfterInput *refusal)
{
  return MAX (refusal->known_ms, min_retry_after_ms (refusal));
}

guint
quince_retry_after_until_ms (gint64 available_us, gint64 now_us)
{
  gint64 remaining_us = MAX (available_us, now_us) - now_us;
  return (guint)((remaining_us + US_PER_MS - 1) / US_PER_MS);
}
