/*
 * builtin-decisions.h: what is decided where no policy program decides.
 *
 * Used when a program leaves a function out, and when it fails.  Pure.
 */
#pragma once

#include "policy/policy.h"

G_BEGIN_DECLS

#define QUINCE_BUILTIN_LOOKUP_PRIORITY 10
#define QUINCE_BUILTIN_ROLLOUT_PRIORITY 0

/* Weights of the built-in score; one unit is a whole engine's load. */
#define QUINCE_BUILTIN_PREFIX_WEIGHT 0.5
#define QUINCE_BUILTIN_ZONE_WEIGHT 0.1
#define QUINCE_BUILTIN_FAILURE_WEIGHT 0.2
#define QUINCE_BUILTIN_FAILURES_MAX 5

/* Admits everything, Lookups before Rollouts, equal shares. */
static inline void
quince_builtin_admit (const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  *out = (QuincePolicyAdmission){
    .priority = request->rollout ? QUINCE_BUILTIN_ROLLOUT_PRIORITY : QUINCE_BUILTIN_LOOKUP_PRIORITY,
    .share = 1.0,
  };
}

/* Prefers cached prefixes as long as they do not cost half an engine's load. */
static inline double
quince_builtin_score (const QuincePolicyEngine *engine)
{
  guint failures = MIN (engine->recent_failures, QUINCE_BUILTIN_FAILURES_MAX);
  double queued = engine->capacity > 0 ? (double)engine->queued / engine->capacity : 0.0;
  return QUINCE_BUILTIN_PREFIX_WEIGHT * engine->prefix_match - engine->load - queued
         + (engine->same_zone ? QUINCE_BUILTIN_ZONE_WEIGHT : 0.0) - QUINCE_BUILTIN_FAILURE_WEIGHT * failures;
}

/* Starts again what would be too old, waits for what is nearly done, and goes
 * on under the new weights otherwise. */
static inline QuinceSwapChoice
quince_builtin_on_weights (const QuincePolicySample *sample)
{
  if (sample->started_version + sample->staleness_bound < sample->trainer_version)
    return QUINCE_SWAP_RESTART;
  if (sample->expected_tokens > 0
      && (guint64)sample->generated_tokens * 4 >= (guint64)sample->expected_tokens * 3)
    return QUINCE_SWAP_WAIT;
  return QUINCE_SWAP_RESUME;
}

G_END_DECLS
