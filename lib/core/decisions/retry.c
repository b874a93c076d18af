/*
 * retry.c: whether a lookup or stream is retried, and which error its caller gets when it is given up.
 */
#include "core/decisions/retry.h"

/* Maximum attempts of one request that workers refuse or that find no connection.  They do not run, so they
 * do not count against the maximum attempts of the route.  More than the workers that are usually full or
 * lost at the same time, but few enough that a request does not try a whole service. */
#define REFUSED_SENDS_MAX 8

gboolean
quince_retry_may_run (const QuinceRetryState *retry)
{
  return retry->runs == 0 || (retry->repeatable && retry->runs < retry->max_attempts);
}

gboolean
quince_retry_may_retry (const QuinceRetryState *retry, gint64 now_us)
{
  return retry->refused_sends < REFUSED_SENDS_MAX && quince_retry_may_run (retry)
         && now_us < retry->give_up_us;
}

QuinceGiveUp
quince_retry_give_up (gboolean may_have_run, gboolean timed_out)
{
  if (!may_have_run)
    return QUINCE_GIVE_UP_NOT_RUN;
  return timed_out ? QUINCE_GIVE_UP_TIMEOUT : QUINCE_GIVE_UP_FAILED;
}
