/*
 * builtin-decisions.h: the decisions taken without a policy program.
 *
 * They apply when no program is accepted, when a program leaves a function out, and when it fails.  Pure.
 */
#pragma once

#include "policy/policy.h"

G_BEGIN_DECLS

/* Priority of a lookup, whose caller waits: above that of samples, which have minutes.  Only the order of the
 * two counts. */
#define QUINCE_BUILTIN_LOOKUP_PRIORITY 10
/* Priority of a sample. */
#define QUINCE_BUILTIN_ROLLOUT_PRIORITY 0

/* The weights of the score are parts of a worker's full load (running / capacity = 1).  Not measured. */
/* Gain of a prompt that is cached whole: worth half a worker's load, so that a hot prompt does not fill one.
 */
#define QUINCE_BUILTIN_PREFIX_WEIGHT 0.5
/* Gain of the own zone: decides between workers of nearly equal load. */
#define QUINCE_BUILTIN_ZONE_WEIGHT 0.1
/* Loss for each recent failure: five of them outweigh an idle worker. */
#define QUINCE_BUILTIN_FAILURE_WEIGHT 0.2
/* Failures that count; more say nothing new, and a worker must not be ruled out by them alone. */
#define QUINCE_BUILTIN_FAILURES_MAX 5
/* Part of the expected tokens from which on a sample is left to end before new weights are loaded: what is
 * left costs less than reading its prompt again.  Not measured. */
#define QUINCE_BUILTIN_NEARLY_DONE_MIN_FRACTION 0.75

/* Admits everything: lookups before samples, equal shares. */
static inline void
quince_builtin_admit (const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  *out = (QuincePolicyAdmission){
    .priority = request->rollout ? QUINCE_BUILTIN_ROLLOUT_PRIORITY : QUINCE_BUILTIN_LOOKUP_PRIORITY,
    .share = 1.0,
  };
}

/* Score of a worker, greatest wins: load and queue count against it, cached prompt and own zone for it. */
static inline double
quince_builtin_score (const QuincePolicyEngine *engine)
{
  guint failures = MIN (engine->recent_failures, QUINCE_BUILTIN_FAILURES_MAX);
  double queued = engine->capacity > 0 ? (double)engine->queued / engine->capacity : 0.0;
  return QUINCE_BUILTIN_PREFIX_WEIGHT * engine->prefix_match - engine->load - queued
         + (engine->same_zone ? QUINCE_BUILTIN_ZONE_WEIGHT : 0.0) - QUINCE_BUILTIN_FAILURE_WEIGHT * failures;
}

/* Restarts a sample that would exceed the staleness bound, waits for one that is nearly done, and otherwise
 * resumes under the new weights. */
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
