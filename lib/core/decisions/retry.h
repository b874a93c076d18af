/*
 * retry.h: whether a lookup or stream is retried, and which error its caller gets when it is given up.
 *
 * Pure functions, used by lib/forward, which counts the attempts.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceRetryState: the attempts of one request so far
 * @repeatable: the request may run more than once: its route is idempotent, or the stream can be resumed
 * @max_attempts: maximum number of attempts that may run, from the route; at least 1
 * @runs: number of attempts that may have run; for a lookup, including attempts in flight
 * @refused_sends: number of attempts that did not run
 * @give_up_us: deadline after which no attempt starts, monotonic, us
 */
typedef struct
{
  gboolean repeatable;
  guint max_attempts;
  guint runs;
  guint refused_sends;
  gint64 give_up_us;
} QuinceRetryState;

/**
 * quince_retry_may_run:
 *
 * Decides whether one more worker may run the request.  An at-most-once request runs at most once; other
 * requests run at most @max_attempts times.  A request that has not run may always run, regardless of refused
 * sends.
 */
gboolean quince_retry_may_run (const QuinceRetryState *retry);

/**
 * quince_retry_may_retry:
 * @now_us: monotonic, us
 *
 * Decides whether the request is sent again after a failed attempt.  In addition to quince_retry_may_run(),
 * limits the number of refused sends and checks the deadline @give_up_us.
 */
gboolean quince_retry_may_retry (const QuinceRetryState *retry, gint64 now_us);

/* Why a request without an answer is given up. */
typedef enum
{
  QUINCE_GIVE_UP_NOT_RUN, /* no worker ran it: the caller may retry */
  QUINCE_GIVE_UP_TIMEOUT, /* it may have run, and the deadline has passed */
  QUINCE_GIVE_UP_FAILED,  /* it may have run, and there is no answer */
} QuinceGiveUp;

/**
 * quince_retry_give_up:
 * @may_have_run: a worker may have run the request, or the caller has received a part of the answer
 * @timed_out: the deadline of the request has passed
 *
 * Decides which error the caller gets.  A caller may retry even an at-most-once request after "not run", so
 * that error is used only if no worker may have run the request.
 */
QuinceGiveUp quince_retry_give_up (gboolean may_have_run, gboolean timed_out);

G_END_DECLS
