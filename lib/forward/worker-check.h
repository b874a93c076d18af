/*
 * worker-check.h: checks whether a worker has ended after a connection to it broke.
 *
 * The check opens a new connection.  The port of a worker that ended refuses it; a running worker accepts it,
 * even if it reset the old connection.  A worker that is partitioned or frozen does not respond.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_WORKER_CHECK_ENDED,     /* the connection was refused or failed in another way */
  QUINCE_WORKER_CHECK_ALIVE,     /* the connection was accepted */
  QUINCE_WORKER_CHECK_TIMED_OUT, /* no response: the worker may have ended or not */
} QuinceWorkerCheckResult;

typedef struct _QuinceWorkerCheck QuinceWorkerCheck;

/* Starts a check of the worker at @address.  @done is called once, after this function has returned; the
 * check is freed when @done returns.  Returns: (transfer none): the check */
QuinceWorkerCheck *quince_worker_check_start (const char *address,
                                              void (*done) (QuinceWorkerCheckResult result,
                                                            gpointer user_data),
                                              gpointer user_data);
/* Cancels and frees the check; its @done is not called. */
void quince_worker_check_cancel (QuinceWorkerCheck *check);

G_END_DECLS
