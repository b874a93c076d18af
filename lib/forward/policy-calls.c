/*
 * policy-calls.c: calls the active policy program, and falls back to the built-in decisions if there is none
 * or it fails.
 */
#include "backends-private.h"

#include "policy/builtin-decisions.h"
#include "runtime/log.h"

void
quince_backends_admit (QuinceBackends *backends,
                       const QuincePolicyRequest *request,
                       QuincePolicyAdmission *admission)
{
  g_autoptr (GError) error = NULL;
  if (backends->policy != NULL && quince_policy_admit (backends->policy, request, admission, &error))
    return;
  if (error != NULL)
    quince_log_warning ("policy_failed", "function=admit code=%d", error->code);
  quince_builtin_admit (request, admission);
}

void
quince_backends_score (QuinceBackends *backends,
                       const QuincePolicyRequest *request,
                       const QuincePolicyEngine *engines,
                       guint n_engines,
                       double *scores)
{
  g_autoptr (GError) error = NULL;
  if (backends->policy != NULL
      && quince_policy_score (backends->policy, request, engines, n_engines, scores, &error))
    return;
  if (error != NULL)
    quince_log_warning ("policy_failed", "function=score code=%d", error->code);
  for (guint i = 0; i < n_engines; i++)
    scores[i] = quince_builtin_score (&engines[i]);
}
