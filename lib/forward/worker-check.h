/*
 * worker-check.h: whether a worker whose connection broke has ended.
 *
 * A worker that ended refuses new connections at once.  One that is alive, and reset a connection or broke
 * off an answer, accepts them.  One that is cut off or frozen does neither.
 *
 * For: send-guard.c.  Owns: one connection and one timer for each check.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_WORKER_CHECK_ENDED,     /* it refused the connection              */
  QUINCE_WORKER_CHECK_ALIVE,     /* it took it                             */
  QUINCE_WORKER_CHECK_TIMED_OUT, /* neither: that says nothing             */
} QuinceWorkerCheckResult;

typedef struct _QuinceWorkerCheck QuinceWorkerCheck;

/* Connects to @address; done() is called once, never before this returns, and releases the check after it. */
QuinceWorkerCheck *quince_worker_check_start (const char *address,
                                              void (*done) (QuinceWorkerCheckResult result,
                                                            gpointer user_data),
                                              gpointer user_data);
/* Ends it without done(). */
void quince_worker_check_cancel (QuinceWorkerCheck *check);

G_END_DECLS
