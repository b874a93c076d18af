/*
 * builtin-decisions.h: default decisions, used when no policy program is accepted, when the program does not
 * define a function, or when it fails.
 *
 * The functions have no side effects.
 */
#pragma once

#include "policy/policy.h"

G_BEGIN_DECLS

/* Priority of a lookup.  Greater than that of a sample because its caller waits for the answer. */
#define QUINCE_BUILTIN_LOOKUP_PRIORITY 10
/* Priority of a sample. */
#define QUINCE_BUILTIN_ROLLOUT_PRIORITY 0

/* The weights below are in units of load: 1.0 is a worker at full load (running / capacity = 1). */

/* Bonus for a completely cached prompt.  Equals half of a full load, so that a popular prompt does not
 * overload the worker that caches it. */
#define QUINCE_BUILTIN_PREFIX_WEIGHT 0.5
/* Bonus for a worker in the zone of the deciding process: breaks ties between nearly equal loads. */
#define QUINCE_BUILTIN_ZONE_WEIGHT 0.1
/* Penalty for each recent failure: five failures count as much as a full load. */
#define QUINCE_BUILTIN_FAILURE_WEIGHT 0.2
/* Maximum number of failures that lower the score, so that failures alone never rule a worker out. */
#define QUINCE_BUILTIN_FAILURES_MAX 5
/* A sample with at least this fraction of its expected tokens finishes before the new weights are loaded:
 * generating the rest costs less than processing the prompt again. */
#define QUINCE_BUILTIN_NEARLY_DONE_MIN_FRACTION 0.75

/* Admits every request, lookups with a higher priority than samples, tenants with equal shares. */
static inline void
quince_builtin_admit (const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  *out = (QuincePolicyAdmission){
    .priority = request->rollout ? QUINCE_BUILTIN_ROLLOUT_PRIORITY : QUINCE_BUILTIN_LOOKUP_PRIORITY,
    .share = 1.0,
  };
}

/* Returns the score of a worker; the greatest score wins.  Load, queued requests and recent failures lower
 * it, a cached prompt and the same zone raise it. */
static inline double
quince_builtin_score (const QuincePolicyEngine *engine)
{
  guint failures = MIN (engine->recent_failures, QUINCE_BUILTIN_FAILURES_MAX);
  double queued = engine->capacity > 0 ? (double)engine->queued / engine->capacity : 0.0;
  return QUINCE_BUILTIN_PREFIX_WEIGHT * engine->prefix_match - engine->load - queued
         + (engine->same_zone ? QUINCE_BUILTIN_ZONE_WEIGHT : 0.0) - QUINCE_BUILTIN_FAILURE_WEIGHT * failures;
}

/* Restarts a sample that exceeds the staleness bound, waits for one that is nearly done, and otherwise
 * resumes with the new weights. */
static inline QuinceWeightUpdateAction
quince_builtin_on_weights (const QuincePolicySample *sample)
{
  if (sample->started_version + sample->staleness_bound < sample->trainer_version)
    return QUINCE_WEIGHT_UPDATE_RESTART;
  if (sample->expected_tokens > 0
      && sample->generated_tokens >= QUINCE_BUILTIN_NEARLY_DONE_MIN_FRACTION * sample->expected_tokens)
    return QUINCE_WEIGHT_UPDATE_WAIT;
  return QUINCE_WEIGHT_UPDATE_RESUME;
}

G_END_DECLS
