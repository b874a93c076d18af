/*
 * retry-after.c: the Retry-After that a refused caller is given.
 */
#include "core/decisions/retry-after.h"

/* Shortest Retry-After, ms, where workers have no room, the policy refuses, or no configuration is known. Not
 * measured: several usual runs of a lookup (25 ms), so that places are free again. */
#define DEFAULT_MIN_MS 200
/* Shortest Retry-After of a call about batches, ms.  Not measured: a part of the second or so in which
 * another leader follows a lost one, so that a submission is late by a fraction of that. */
#define LEDGER_MIN_MS 300
/* Shortest Retry-After where no machine of the allowed regions keeps the ledger, ms.  Not measured: an
 * operator has to change something first. */
#define RESIDENCY_MIN_MS 1000
/* Microseconds in a millisecond. */
#define US_PER_MS 1000

static guint
min_retry_after_ms (const QuinceRetryAfterInput *refusal)
{
  switch (refusal->cause)
    {
    case QUINCE_REFUSED_EVACUATED:
      /* A caller that came sooner would be refused by fronts that don't know of the change yet. */
      return refusal->zone_change_ms;
    case QUINCE_REFUSED_RESIDENCY:
      return RESIDENCY_MIN_MS;
    case QUINCE_REFUSED_LEDGER:
      return LEDGER_MIN_MS;
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
